//! Moves are done or taken back by their deadline, whoever drives them and whatever fails.

mod fakes;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use catalog::{CatalogState, ChangeSet, MoveStage, Target};
use control::{MoveController, build_stage_change};
use fakes::{FakeClock, FakeStore, StoreFault};
use ids::{Incarnation, MoveId, Revision, VersionNumber};
use ports::{Clock, CommandError, TargetCommands, TargetState};
use rstest::rstest;
use serde_json::json;

const OLD: VersionNumber = VersionNumber(1);
const ROUND: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
struct FakeTarget {
    version: VersionNumber,
    load: Option<(VersionNumber, Duration)>,
    checks_fencing: bool,
    highest: u64,
    stuck: bool,
}

/// All targets, with a record of the orders that came in.
#[derive(Debug, Clone)]
struct FakeTargets {
    clock: FakeClock,
    load_time: Duration,
    targets: Arc<Mutex<Vec<FakeTarget>>>,
    fencings: Arc<Mutex<Vec<u64>>>,
    most_loading: Arc<Mutex<usize>>,
}

impl FakeTargets {
    fn settle(&self) {
        let now = self.clock.now();
        let mut targets = self.targets.lock().unwrap();
        for it in targets.iter_mut() {
            if let Some((version, _)) = it.load.filter(|(_, at)| now >= *at && !it.stuck) {
                (it.version, it.load) = (version, None);
            }
        }
        let loading = targets.iter().filter(|it| it.load.is_some()).count();
        let mut most = self.most_loading.lock().unwrap();
        *most = loading.max(*most);
    }

    fn index(target: &Target) -> usize {
        target.id.as_str().strip_prefix("d-").unwrap().parse().unwrap()
    }

    fn versions(&self) -> Vec<u64> {
        self.settle();
        self.targets.lock().unwrap().iter().map(|it| it.version.0).collect()
    }
}

impl TargetCommands for FakeTargets {
    async fn fetch_state(&self, target: &Target) -> Option<TargetState> {
        self.settle();
        let it = self.targets.lock().unwrap()[Self::index(target)].clone();
        let loading = it.load.is_some();
        Some(TargetState { incarnation: Incarnation(1), version: it.version, loading })
    }

    async fn set_version(
        &self,
        target: &Target,
        version: VersionNumber,
        fencing: u64,
    ) -> Result<(), CommandError> {
        self.settle();
        self.fencings.lock().unwrap().push(fencing);
        let mut targets = self.targets.lock().unwrap();
        let it = &mut targets[Self::index(target)];
        if it.checks_fencing && fencing < it.highest {
            return Err(CommandError::StaleFencing);
        }
        it.highest = it.highest.max(fencing);
        if it.version != version && it.load.is_none() {
            it.load = Some((version, self.clock.now() + self.load_time));
        }
        Ok(())
    }
}

struct World {
    clock: FakeClock,
    stores: Vec<FakeStore>,
    drivers: Vec<MoveController<FakeStore, FakeClock>>,
    frozen: Vec<bool>,
    targets: FakeTargets,
    catalog: CatalogState,
    began: Duration,
}

impl World {
    fn new(replicas: usize, deadline_s: u64, load_time: Duration) -> World {
        let clock = FakeClock::default();
        clock.advance(Duration::from_secs(50));
        let store = FakeStore::default();
        let stores: Vec<FakeStore> = (0..3).map(|_| store.another()).collect();
        let drivers = stores.iter().enumerate().map(|(number, it)| {
            let id = format!("entry-{number}").parse().unwrap();
            MoveController::new(it.clone(), clock.clone(), id, Incarnation(1))
        });
        let target =
            FakeTarget { version: OLD, load: None, checks_fencing: true, highest: 0, stuck: false };
        let targets = FakeTargets {
            clock: clock.clone(),
            load_time,
            targets: Arc::new(Mutex::new(vec![target; replicas])),
            fencings: Arc::default(),
            most_loading: Arc::default(),
        };
        World {
            drivers: drivers.collect(),
            stores,
            frozen: vec![false; 3],
            targets,
            catalog: catalog(replicas, deadline_s),
            began: clock.now(),
            clock,
        }
    }

    fn apply(&mut self, change: &ChangeSet) -> bool {
        let revision = Revision(self.catalog.revision.0 + 1);
        match self.catalog.changed(change, revision) {
            Ok(next) => {
                self.catalog = next;
                true
            }
            Err(_) => false,
        }
    }

    async fn pass(&mut self, trial_requests: u64) {
        self.clock.advance(ROUND);
        for index in 0..self.drivers.len() {
            if self.frozen[index] {
                continue;
            }
            let trial = |_: &_| trial_requests;
            let step = self.drivers[index].run_round(&self.catalog, &self.targets, trial).await;
            for it in step.unwrap_or_default() {
                self.apply(&it.change);
            }
        }
    }

    /// Passes until the move is over; returns its stage and how long it took.
    async fn run(&mut self, trial_requests: u64) -> (MoveStage, Duration) {
        for _ in 0..2_000 {
            self.pass(trial_requests).await;
            if self.stage().is_over() {
                break;
            }
        }
        (self.stage(), self.clock.now() - self.began)
    }

    fn stage(&self) -> MoveStage {
        self.catalog.moves[&move_id()].stage
    }

    fn take_back(&mut self) {
        let open = self.catalog.moves[&move_id()].clone();
        let change = build_stage_change(&open, MoveStage::TakingBack, Some("a fault shows"));
        assert!(self.apply(&change.change));
    }

    fn driver(&self) -> Option<usize> {
        self.drivers.iter().position(MoveController::holds_lease)
    }
}

fn move_id() -> MoveId {
    "m1".parse().unwrap()
}

fn catalog(replicas: usize, deadline_s: u64) -> CatalogState {
    let mut operations = vec![
        json!({ "put_pool": { "id": "desk", "kind": "engine", "version": 1 } }),
        json!({ "put_version": { "pool": "desk", "number": 1, "weights": "d1" } }),
        json!({ "put_version": { "pool": "desk", "number": 2, "weights": "d2" } }),
    ];
    operations.extend((0..replicas).map(|it| {
        json!({ "put_target": {
            "id": format!("d-{it}"), "pool": "desk", "address": "10.0.0.1:80",
            "failure_domain": "a",
        } })
    }));
    operations.push(json!({ "put_move": {
        "id": "m1", "pool": "desk", "from": 1, "to": 2, "stage": "trial",
        "deadline_s": deadline_s,
    } }));
    let operations = serde_json::from_value(json!(operations)).unwrap();
    CatalogState::default().changed(&ChangeSet { operations }, Revision(1)).unwrap()
}

#[rstest]
#[case::cooperative(18, 120, Duration::from_millis(400))]
#[case::wholesalers(18, 120, Duration::from_millis(600))]
#[case::slow_loads(18, 300, Duration::from_secs(5))]
#[case::one_replica(1, 60, Duration::from_millis(400))]
#[case::two_replicas(2, 60, Duration::from_millis(400))]
#[tokio::test]
async fn a_good_version_is_done_by_the_deadline(
    #[case] replicas: usize,
    #[case] deadline_s: u64,
    #[case] load_time: Duration,
) {
    let mut world = World::new(replicas, deadline_s, load_time);
    let (stage, took) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(took <= Duration::from_secs(deadline_s), "took {took:?}");
    assert_eq!(world.targets.versions(), vec![2; replicas]);
    let most = *world.targets.most_loading.lock().unwrap();
    assert!(most <= 3, "{most} loads at once");
}

#[tokio::test]
async fn without_traffic_a_version_is_done_by_the_deadline_too() {
    let mut world = World::new(18, 120, Duration::from_millis(400));
    let (stage, took) = world.run(0).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(took <= Duration::from_secs(120), "took {took:?}");
}

#[rstest]
#[case::on_trial(8)]
#[case::on_rollout(40)]
#[tokio::test]
async fn a_move_is_taken_back_everywhere_when_a_fault_shows(#[case] rounds: usize) {
    let mut world = World::new(18, 120, Duration::from_millis(400));
    for _ in 0..rounds {
        world.pass(1_000).await;
    }
    assert!(world.targets.versions().contains(&2), "some replica runs it");
    world.take_back();
    let (stage, took) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::TakenBack);
    assert!(took <= Duration::from_secs(120), "took {took:?}");
    assert_eq!(world.targets.versions(), vec![1; 18]);
    assert_eq!(world.catalog.pools[0].version, OLD);
}

#[tokio::test]
async fn a_move_that_cannot_be_done_in_time_is_taken_back_in_time() {
    // Loads become so slow that the deadline cannot be met.
    let mut world = World::new(18, 120, Duration::from_secs(12));
    let (stage, took) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::TakenBack);
    assert!(took <= Duration::from_secs(120), "took {took:?}");
    assert_eq!(world.targets.versions(), vec![1; 18]);
    let reason = world.catalog.moves[&move_id()].reason.clone();
    assert_eq!(reason.as_deref(), Some("it cannot be done by its deadline"));
}

#[rstest]
#[case::all_check_fencing(true)]
#[case::all_ignore_fencing(false)]
#[tokio::test]
async fn a_frozen_driver_is_replaced_and_gives_no_order_when_it_wakes(#[case] checks: bool) {
    let mut world = World::new(18, 180, Duration::from_secs(1));
    world.targets.targets.lock().unwrap().iter_mut().for_each(|it| it.checks_fencing = checks);
    for _ in 0..30 {
        world.pass(1_000).await;
    }
    let first = world.driver().expect("someone drives");
    world.frozen[first] = true;
    for _ in 0..24 {
        world.pass(1_000).await;
    }
    let second = world.driver().expect("another drives");
    assert_ne!(first, second);
    world.frozen[first] = false;
    let (stage, took) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(took <= Duration::from_secs(180), "took {took:?}");
    let fencings = world.targets.fencings.lock().unwrap().clone();
    assert!(fencings.is_sorted(), "an order under an older lease came late: {fencings:?}");
}

#[tokio::test]
async fn a_late_order_of_an_earlier_driver_is_put_right() {
    let mut world = World::new(6, 60, Duration::from_millis(400));
    world.targets.targets.lock().unwrap().iter_mut().for_each(|it| it.checks_fencing = false);
    let (stage, _) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    // It was on its way when its sender was frozen, to a target that ignores fencing numbers.
    let target = world.catalog.targets[0].clone();
    world.targets.set_version(&target, OLD, 0).await.unwrap();
    for _ in 0..20 {
        world.pass(0).await;
    }
    assert_eq!(world.targets.versions(), vec![2; 6]);
}

#[tokio::test]
async fn without_the_table_no_order_is_given() {
    let mut world = World::new(18, 300, Duration::from_secs(1));
    for _ in 0..20 {
        world.pass(1_000).await;
    }
    world.stores.iter().for_each(|it| it.set(StoreFault::Down));
    for _ in 0..20 {
        world.pass(1_000).await;
    }
    let before = world.targets.fencings.lock().unwrap().len();
    for _ in 0..40 {
        world.pass(1_000).await;
    }
    assert_eq!(world.targets.fencings.lock().unwrap().len(), before, "the lease has run out");
    world.stores.iter().for_each(|it| it.set(StoreFault::Healthy));
    let (stage, took) = world.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(took <= Duration::from_secs(300), "took {took:?}");
}

#[tokio::test]
async fn lost_answers_of_the_table_do_not_make_two_drivers() {
    let mut world = World::new(18, 300, Duration::from_secs(1));
    for round in 0..200 {
        let fault = if round % 3 == 0 { StoreFault::LoseAnswers } else { StoreFault::Healthy };
        world.stores[round % world.stores.len()].set(fault);
        world.pass(1_000).await;
        let driving = world.drivers.iter().filter(|it| it.holds_lease()).count();
        assert!(driving <= 1, "{driving} drive at once");
    }
    let fencings = world.targets.fencings.lock().unwrap().clone();
    assert!(fencings.is_sorted(), "{fencings:?}");
}

#[tokio::test]
async fn two_pools_that_move_at_once_share_the_three_loads() {
    let mut world = World::new(18, 300, Duration::from_secs(2));
    let mut operations = vec![
        json!({ "put_pool": { "id": "sieves", "kind": "engine", "version": 1 } }),
        json!({ "put_version": { "pool": "sieves", "number": 1, "weights": "s1" } }),
        json!({ "put_version": { "pool": "sieves", "number": 2, "weights": "s2" } }),
    ];
    operations.extend((9..18).map(|it| {
        json!({ "put_target": {
            "id": format!("d-{it}"), "pool": "sieves", "address": "10.0.0.1:80",
            "failure_domain": "a",
        } })
    }));
    operations.push(json!({ "put_move": {
        "id": "m2", "pool": "sieves", "from": 1, "to": 2, "stage": "trial", "deadline_s": 300,
    } }));
    let operations = serde_json::from_value(json!(operations)).unwrap();
    assert!(world.apply(&ChangeSet { operations }));
    let mut both_ran = false;
    for _ in 0..600 {
        world.pass(1_000).await;
        let targets = world.targets.targets.lock().unwrap();
        let loads = |range: std::ops::Range<usize>| {
            targets[range].iter().filter(|it| it.load.is_some()).count()
        };
        both_ran |= loads(0..9) > 0 && loads(9..18) > 0;
    }
    assert!(both_ran, "they moved at the same time");
    assert!(world.catalog.moves.values().all(|it| it.stage == MoveStage::Done));
    let most = *world.targets.most_loading.lock().unwrap();
    assert!(most <= 3, "{most} loads at once");
    assert_eq!(world.targets.versions(), vec![2; 18]);
}
