//! A small world of instances that share a customer's rate: processes that die and freeze, a
//! platform that fails, peers that are cut off.

use std::time::Duration;

use catalog::{CatalogState, ChangeSet, Customer, Operation};
use control::{ShareHolder, SyncInput, TakeResult};
use ids::{CustomerId, Incarnation, InstanceId, Millionths, Revision, TokenCount, TokenRate};
use policy::rate_shares::ListedMember;
use ports::Clock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fakes::{FakeClock, FakeStore};

pub const RATE: u64 = 1_000;
pub const BURST: u64 = 5_000;
/// How long the platform takes to notice that an instance stopped.
pub const LIST_LAG: Duration = Duration::from_secs(9);
pub const STEP: Duration = Duration::from_millis(100);
/// How often an instance reads the platform.
pub const POLL_STEPS: u64 = 15;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    Running,
    Frozen,
    Dead,
}

pub struct Instance {
    pub id: InstanceId,
    pub life: u64,
    pub store: FakeStore,
    pub holder: ShareHolder<FakeStore, FakeClock>,
    pub process: Process,
    /// Cut off from the platform.
    pub cut: bool,
    /// Cut off from its peers.
    pub deaf: bool,
    pub seen_at: Duration,
}

/// Tokens admitted at one moment.
pub struct Grant {
    pub at: Duration,
    pub tokens: f64,
}

pub struct World {
    pub clock: FakeClock,
    pub store: FakeStore,
    pub catalog: CatalogState,
    pub rate: u64,
    pub instances: Vec<Instance>,
    pub grants: Vec<Grant>,
    pub platform_down: bool,
    pub random: StdRng,
    pub step: u64,
}

impl World {
    pub fn new(count: usize, seed: u64) -> World {
        World::with_rate(count, seed, RATE)
    }

    pub fn with_rate(count: usize, seed: u64, rate: u64) -> World {
        let clock = FakeClock::default();
        clock.advance(Duration::from_secs(100));
        let store = FakeStore::default();
        let customer = Customer {
            id: customer_id(),
            rate: TokenRate(rate),
            burst: TokenCount(BURST),
            weight: 1,
        };
        let change = ChangeSet { operations: vec![Operation::PutCustomer(customer)] };
        let catalog = CatalogState::default().changed(&change, Revision(1)).unwrap();
        let instances = (0..count).map(|it| instance(it, 1, &store, &clock)).collect();
        World {
            clock,
            store,
            catalog,
            rate,
            instances,
            grants: Vec::new(),
            platform_down: false,
            random: StdRng::seed_from_u64(seed),
            step: 0,
        }
    }

    /// The list as the platform has it: those seen lately.
    pub fn listed(&self) -> Vec<ListedMember> {
        let now = self.clock.now();
        let fresh = self.instances.iter().filter(|it| now - it.seen_at < LIST_LAG);
        fresh
            .map(|it| ListedMember {
                id: it.id.clone(),
                incarnation: Incarnation(it.life),
                leaving: false,
            })
            .collect()
    }

    /// Lets a tenth of a second pass; running instances tick, announce and poll.
    pub async fn pass(&mut self) {
        self.clock.advance(STEP);
        self.step += 1;
        let now = self.clock.now();
        for it in &mut self.instances {
            if it.process == Process::Running && !it.cut && !self.platform_down {
                it.seen_at = now;
            }
        }
        let listed = self.listed();
        for index in 0..self.instances.len() {
            let it = &self.instances[index];
            if it.process != Process::Running {
                continue;
            }
            if !(self.step + index as u64).is_multiple_of(POLL_STEPS) {
                continue;
            }
            let reaches = !it.cut && !self.platform_down;
            let view =
                SyncInput { members: reaches.then_some(&listed[..]), catalog: &self.catalog };
            if it.holder.sync(view).await.is_err() {
                self.ask_peers(index);
            }
        }
    }

    /// Lets instances find each other and make the customer's parts.
    pub async fn settle(&mut self) {
        for _ in 0..50 {
            self.pass().await;
        }
    }

    pub fn ask_peers(&self, index: usize) {
        let it = &self.instances[index];
        let asked_at = self.clock.now();
        let mut words = Vec::new();
        for peer in self.instances.iter().filter(|peer| peer.id != it.id) {
            if peer.process == Process::Running && !peer.deaf && !it.deaf {
                words.push(peer.holder.report_for_peer(&it.id, it.holder.row_revision()));
            }
        }
        it.holder.record_peer_reports(asked_at, &words, self.instances.len());
    }

    /// A caller asks an instance's own part, as a peer's message would.
    pub fn ask(&mut self, index: usize, tokens: u64) -> bool {
        let customer = self.catalog.customers[&customer_id()].clone();
        let ticket = self.random.random();
        let it = &self.instances[index];
        if it.process != Process::Running {
            return false;
        }
        let TakeResult::Taken(taken) = it.holder.take(&customer, tokens, 1, ticket) else {
            return false;
        };
        // A message that comes twice, or a refund that comes twice, makes no tokens.
        if self.random.random_bool(0.2) {
            let again = it.holder.take(&customer, tokens, 1, ticket);
            assert!(!matches!(again, TakeResult::Taken(_)), "the same ticket was served twice");
        }
        let mut used = taken;
        if self.random.random_bool(0.3) {
            used = self.random.random_range(0..=taken);
            for _ in 0..self.random.random_range(0..3_u32) {
                it.holder.refund(ticket, taken - used);
            }
        }
        self.grants.push(Grant { at: self.clock.now(), tokens: used as f64 });
        true
    }

    pub fn restart(&mut self, index: usize) {
        let life = self.instances[index].life + 1;
        self.instances[index] = instance(index, life, &self.store, &self.clock);
        self.instances[index].seen_at = self.clock.now();
    }

    /// The greatest excess over the law, over every window.
    pub fn overshoot(&self) -> f64 {
        let mut worst = f64::MIN;
        // The greatest sum minus rate over windows that end here.
        let mut best = f64::MIN;
        let mut last = Duration::ZERO;
        for grant in &self.grants {
            let fill = self.rate as f64 * (grant.at - last).as_secs_f64();
            best = (best - fill).max(0.0) + grant.tokens;
            last = grant.at;
            worst = worst.max(best - BURST as f64);
        }
        worst
    }

    pub fn check(&self, seed: u64) {
        let overshoot = self.overshoot();
        assert!(overshoot <= 1e-6, "overshoot of {overshoot} tokens (seed {seed})");
        let table = self.instances[0].holder.table();
        assert!(table.sum(&customer_id()) <= Millionths::ONE, "parts add up to more than one");
    }
}

pub fn instance(index: usize, life: u64, store: &FakeStore, clock: &FakeClock) -> Instance {
    let id: InstanceId = format!("entry-{index}").parse().unwrap();
    let own = store.another();
    let holder = ShareHolder::new(own.clone(), clock.clone(), id.clone(), Incarnation(life));
    Instance {
        id,
        life,
        store: own,
        holder,
        process: Process::Running,
        cut: false,
        deaf: false,
        seen_at: clock.now(),
    }
}

pub fn customer_id() -> CustomerId {
    "greedy".parse().unwrap()
}

impl World {
    /// An instance that holds a part.
    pub fn holder_index(&self) -> usize {
        let table = self.instances[0].holder.table();
        let holder = &table.shares[&customer_id()][0].holder;
        self.instances.iter().position(|it| it.id == *holder).unwrap()
    }
}
