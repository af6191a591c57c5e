//! Moves end by their deadline, done or rolled back, whichever daemon holds the lease and whatever
//! fails.

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
    highest_fencing: u64,
    stuck: bool,
}

/// All targets, with the fencing numbers of the commands that they received.
#[derive(Debug, Clone)]
struct FakeTargets {
    clock: FakeClock,
    load_time: Duration,
    targets: Arc<Mutex<Vec<FakeTarget>>>,
    fencing_numbers: Arc<Mutex<Vec<u64>>>,
    max_loading: Arc<Mutex<usize>>,
}

impl FakeTargets {
    fn finish_loads(&self) {
        let now = self.clock.now();
        let mut targets = self.targets.lock().unwrap();
        for it in targets.iter_mut() {
            if let Some((version, _)) = it.load.filter(|(_, at)| now >= *at && !it.stuck) {
                (it.version, it.load) = (version, None);
            }
        }
        let loading = targets.iter().filter(|it| it.load.is_some()).count();
        let mut max_loads = self.max_loading.lock().unwrap();
        *max_loads = loading.max(*max_loads);
    }

    fn index(target: &Target) -> usize {
        target.id.as_str().strip_prefix("d-").unwrap().parse().unwrap()
    }

    fn versions(&self) -> Vec<u64> {
        self.finish_loads();
        self.targets.lock().unwrap().iter().map(|it| it.version.0).collect()
    }
}

impl TargetCommands for FakeTargets {
    async fn fetch_state(&self, target: &Target) -> Option<TargetState> {
        self.finish_loads();
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
        self.finish_loads();
        self.fencing_numbers.lock().unwrap().push(fencing);
        let mut targets = self.targets.lock().unwrap();
        let it = &mut targets[Self::index(target)];
        if it.checks_fencing && fencing < it.highest_fencing {
            return Err(CommandError::StaleFencing);
        }
        it.highest_fencing = it.highest_fencing.max(fencing);
        if it.version != version && it.load.is_none() {
            it.load = Some((version, self.clock.now() + self.load_time));
        }
        Ok(())
    }
}

struct Simulation {
    clock: FakeClock,
    stores: Vec<FakeStore>,
    controllers: Vec<MoveController<FakeStore, FakeClock>>,
    suspended: Vec<bool>,
    targets: FakeTargets,
    catalog: CatalogState,
    started_at: Duration,
}

impl Simulation {
    fn new(replicas: usize, deadline_s: u64, load_time: Duration) -> Simulation {
        let clock = FakeClock::default();
        clock.advance(Duration::from_secs(50));
        let store = FakeStore::default();
        let stores: Vec<FakeStore> = (0..3).map(|_| store.new_client()).collect();
        let controllers = stores.iter().enumerate().map(|(number, it)| {
            let id = format!("entry-{number}").parse().unwrap();
            MoveController::new(it.clone(), clock.clone(), id, Incarnation(1))
        });
        let target = FakeTarget {
            version: OLD,
            load: None,
            checks_fencing: true,
            highest_fencing: 0,
            stuck: false,
        };
        let targets = FakeTargets {
            clock: clock.clone(),
            load_time,
            targets: Arc::new(Mutex::new(vec![target; replicas])),
            fencing_numbers: Arc::default(),
            max_loading: Arc::default(),
        };
        Simulation {
            controllers: controllers.collect(),
            stores,
            suspended: vec![false; 3],
            targets,
            catalog: catalog(replicas, deadline_s),
            started_at: clock.now(),
            clock,
        }
    }

    fn apply(&mut self, change: &ChangeSet) -> bool {
        let revision = Revision(self.catalog.revision.0 + 1);
        match self.catalog.with_changes(change, revision) {
            Ok(next) => {
                self.catalog = next;
                true
            }
            Err(_) => false,
        }
    }

    async fn advance(&mut self, trial_requests: u64) {
        self.clock.advance(ROUND);
        for index in 0..self.controllers.len() {
            if self.suspended[index] {
                continue;
            }
            let trial = |_: &_| trial_requests;
            let step = self.controllers[index].run_round(&self.catalog, &self.targets, trial).await;
            for it in step.unwrap_or_default() {
                self.apply(&it.change);
            }
        }
    }

    /// Advances until the move is over; returns its stage and how long it took.
    async fn run(&mut self, trial_requests: u64) -> (MoveStage, Duration) {
        for _ in 0..2_000 {
            self.advance(trial_requests).await;
            if self.stage().is_finished() {
                break;
            }
        }
        (self.stage(), self.clock.now() - self.started_at)
    }

    fn stage(&self) -> MoveStage {
        self.catalog.moves[&move_id()].stage
    }

    fn roll_back(&mut self) {
        let version_move = self.catalog.moves[&move_id()].clone();
        let change =
            build_stage_change(&version_move, MoveStage::TakingBack, Some("the new version fails"));
        assert!(self.apply(&change.change));
    }

    fn lease_holder(&self) -> Option<usize> {
        self.controllers.iter().position(MoveController::holds_lease)
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
    CatalogState::default().with_changes(&ChangeSet { operations }, Revision(1)).unwrap()
}

#[rstest]
#[case::fast_loads(18, 120, Duration::from_millis(400))]
#[case::medium_loads(18, 120, Duration::from_millis(600))]
#[case::slow_loads(18, 300, Duration::from_secs(5))]
#[case::one_replica(1, 60, Duration::from_millis(400))]
#[case::two_replicas(2, 60, Duration::from_millis(400))]
#[tokio::test]
async fn a_good_version_is_rolled_out_by_the_deadline(
    #[case] replicas: usize,
    #[case] deadline_s: u64,
    #[case] load_time: Duration,
) {
    let mut simulation = Simulation::new(replicas, deadline_s, load_time);
    let (stage, elapsed) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(elapsed <= Duration::from_secs(deadline_s), "took {elapsed:?}");
    assert_eq!(simulation.targets.versions(), vec![2; replicas]);
    let max_loads = *simulation.targets.max_loading.lock().unwrap();
    assert!(max_loads <= 3, "{max_loads} loads at once");
}

#[tokio::test]
async fn a_version_without_traffic_is_rolled_out_by_the_deadline() {
    let mut simulation = Simulation::new(18, 120, Duration::from_millis(400));
    let (stage, elapsed) = simulation.run(0).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(elapsed <= Duration::from_secs(120), "took {elapsed:?}");
}

#[rstest]
#[case::in_trial(8)]
#[case::in_rollout(40)]
#[tokio::test]
async fn a_move_is_rolled_back_on_all_replicas_after_a_fault(#[case] rounds: usize) {
    let mut simulation = Simulation::new(18, 120, Duration::from_millis(400));
    for _ in 0..rounds {
        simulation.advance(1_000).await;
    }
    assert!(simulation.targets.versions().contains(&2), "some replica runs the new version");
    simulation.roll_back();
    let (stage, elapsed) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::TakenBack);
    assert!(elapsed <= Duration::from_secs(120), "took {elapsed:?}");
    assert_eq!(simulation.targets.versions(), vec![1; 18]);
    assert_eq!(simulation.catalog.pools[0].version, OLD);
}

#[tokio::test]
async fn a_move_that_cannot_meet_its_deadline_is_rolled_back_by_then() {
    // Loads are so slow that the move cannot meet its deadline.
    let mut simulation = Simulation::new(18, 120, Duration::from_secs(12));
    let (stage, elapsed) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::TakenBack);
    assert!(elapsed <= Duration::from_secs(120), "took {elapsed:?}");
    assert_eq!(simulation.targets.versions(), vec![1; 18]);
    let reason = simulation.catalog.moves[&move_id()].reason.clone();
    assert_eq!(reason.as_deref(), Some("it cannot be done by its deadline"));
}

#[rstest]
#[case::all_check_fencing(true)]
#[case::all_ignore_fencing(false)]
#[tokio::test]
async fn a_suspended_lease_holder_is_replaced_and_sends_no_command_on_resume(
    #[case] checks_fencing: bool,
) {
    let mut simulation = Simulation::new(18, 180, Duration::from_secs(1));
    simulation
        .targets
        .targets
        .lock()
        .unwrap()
        .iter_mut()
        .for_each(|it| it.checks_fencing = checks_fencing);
    for _ in 0..30 {
        simulation.advance(1_000).await;
    }
    let first = simulation.lease_holder().expect("a daemon holds the lease");
    simulation.suspended[first] = true;
    for _ in 0..24 {
        simulation.advance(1_000).await;
    }
    let second = simulation.lease_holder().expect("another daemon holds the lease");
    assert_ne!(first, second);
    simulation.suspended[first] = false;
    let (stage, elapsed) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(elapsed <= Duration::from_secs(180), "took {elapsed:?}");
    let fencing_numbers = simulation.targets.fencing_numbers.lock().unwrap().clone();
    assert!(
        fencing_numbers.is_sorted(),
        "a command under an older lease came late: {fencing_numbers:?}"
    );
}

#[tokio::test]
async fn a_late_command_of_an_earlier_lease_holder_is_corrected() {
    let mut simulation = Simulation::new(6, 60, Duration::from_millis(400));
    simulation.targets.targets.lock().unwrap().iter_mut().for_each(|it| it.checks_fencing = false);
    let (stage, _) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    // A command of a suspended holder arrives late at a target that ignores fencing numbers.
    let target = simulation.catalog.targets[0].clone();
    simulation.targets.set_version(&target, OLD, 0).await.unwrap();
    for _ in 0..20 {
        simulation.advance(0).await;
    }
    assert_eq!(simulation.targets.versions(), vec![2; 6]);
}

#[tokio::test]
async fn no_command_is_sent_while_the_table_is_down() {
    let mut simulation = Simulation::new(18, 300, Duration::from_secs(1));
    for _ in 0..20 {
        simulation.advance(1_000).await;
    }
    simulation.stores.iter().for_each(|it| it.set_fault(StoreFault::Down));
    for _ in 0..20 {
        simulation.advance(1_000).await;
    }
    let before = simulation.targets.fencing_numbers.lock().unwrap().len();
    for _ in 0..40 {
        simulation.advance(1_000).await;
    }
    assert_eq!(
        simulation.targets.fencing_numbers.lock().unwrap().len(),
        before,
        "the lease has expired"
    );
    simulation.stores.iter().for_each(|it| it.set_fault(StoreFault::Healthy));
    let (stage, elapsed) = simulation.run(1_000).await;
    assert_eq!(stage, MoveStage::Done);
    assert!(elapsed <= Duration::from_secs(300), "took {elapsed:?}");
}

#[tokio::test]
async fn lost_table_answers_do_not_lead_to_two_lease_holders() {
    let mut simulation = Simulation::new(18, 300, Duration::from_secs(1));
    for round in 0..200 {
        let fault = if round % 3 == 0 { StoreFault::LoseAnswers } else { StoreFault::Healthy };
        simulation.stores[round % simulation.stores.len()].set_fault(fault);
        simulation.advance(1_000).await;
        let holders = simulation.controllers.iter().filter(|it| it.holds_lease()).count();
        assert!(holders <= 1, "{holders} controllers hold the lease at once");
    }
    let fencing_numbers = simulation.targets.fencing_numbers.lock().unwrap().clone();
    assert!(fencing_numbers.is_sorted(), "{fencing_numbers:?}");
}

#[tokio::test]
async fn two_concurrent_moves_share_the_limit_of_three_loads() {
    let mut simulation = Simulation::new(18, 300, Duration::from_secs(2));
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
    assert!(simulation.apply(&ChangeSet { operations }));
    let mut both_ran = false;
    for _ in 0..600 {
        simulation.advance(1_000).await;
        let targets = simulation.targets.targets.lock().unwrap();
        let loads = |range: std::ops::Range<usize>| {
            targets[range].iter().filter(|it| it.load.is_some()).count()
        };
        both_ran |= loads(0..9) > 0 && loads(9..18) > 0;
    }
    assert!(both_ran, "both pools loaded at the same time");
    assert!(simulation.catalog.moves.values().all(|it| it.stage == MoveStage::Done));
    let max_loads = *simulation.targets.max_loading.lock().unwrap();
    assert!(max_loads <= 3, "{max_loads} loads at once");
    assert_eq!(simulation.targets.versions(), vec![2; 18]);
}
