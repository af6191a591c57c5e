//! A simulated fleet whose instances share a customer's rate: processes stop or are suspended, the
//! platform fails, and the network cuts instances off from the platform or from their peers.

use std::time::Duration;

use catalog::{CatalogState, ChangeSet, Customer, Operation};
use control::{ShareHolder, SyncInput, TakeResult};
use ids::{CustomerId, Incarnation, InstanceId, Millionths, Revision, TokenCount, TokenRate};
use policy::rate_shares::ListedMember;
use ports::Clock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fakes::{FakeClock, FakeStore};

/// Tokens per second.
pub const RATE: u64 = 1_000;
/// Tokens.
pub const BURST: u64 = 5_000;
/// How long the platform lists an instance after its last announcement.
pub const LIST_LAG: Duration = Duration::from_secs(9);
/// The time that one call of `advance` lets pass.
pub const STEP: Duration = Duration::from_millis(100);
/// Steps between two polls of the platform by one instance.
pub const POLL_STEPS: u64 = 15;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    Running,
    Suspended,
    Killed,
}

pub struct Instance {
    pub id: InstanceId,
    pub incarnation: u64,
    pub store: FakeStore,
    pub holder: ShareHolder<FakeStore, FakeClock>,
    pub process: Process,
    /// Whether the instance cannot reach the platform.
    pub platform_cut: bool,
    /// Whether the instance and its peers cannot reach each other.
    pub peers_cut: bool,
    pub announced_at: Duration,
}

/// Tokens taken and not refunded, with the time of taking them.
pub struct Grant {
    pub at: Duration,
    pub tokens: f64,
}

pub struct Simulation {
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

impl Simulation {
    pub fn new(count: usize, seed: u64) -> Simulation {
        Simulation::with_rate(count, seed, RATE)
    }

    pub fn with_rate(count: usize, seed: u64, rate: u64) -> Simulation {
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
        let catalog = CatalogState::default().with_changes(&change, Revision(1)).unwrap();
        let instances = (0..count).map(|it| instance(it, 1, &store, &clock)).collect();
        Simulation {
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

    /// The platform's member list: the instances that announced themselves within `LIST_LAG`.
    pub fn listed(&self) -> Vec<ListedMember> {
        let now = self.clock.now();
        let listed = self.instances.iter().filter(|it| now - it.announced_at < LIST_LAG);
        listed
            .map(|it| ListedMember {
                id: it.id.clone(),
                incarnation: Incarnation(it.incarnation),
                leaving: false,
            })
            .collect()
    }

    /// Advances the time by `STEP`; running instances announce themselves and poll the platform.
    pub async fn advance(&mut self) {
        self.clock.advance(STEP);
        self.step += 1;
        let now = self.clock.now();
        for it in &mut self.instances {
            if it.process == Process::Running && !it.platform_cut && !self.platform_down {
                it.announced_at = now;
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
            let reachable = !it.platform_cut && !self.platform_down;
            let input =
                SyncInput { members: reachable.then_some(&listed[..]), catalog: &self.catalog };
            if it.holder.sync(input).await.is_err() {
                self.ask_peers(index);
            }
        }
    }

    /// Runs until the instances are listed and hold the customer's shares.
    pub async fn settle(&mut self) {
        for _ in 0..50 {
            self.advance().await;
        }
    }

    pub fn ask_peers(&self, index: usize) {
        let it = &self.instances[index];
        let asked_at = self.clock.now();
        let mut reports = Vec::new();
        for peer in self.instances.iter().filter(|peer| peer.id != it.id) {
            if peer.process == Process::Running && !peer.peers_cut && !it.peers_cut {
                reports.push(peer.holder.report_for_peer(&it.id, it.holder.row_revision()));
            }
        }
        it.holder.record_peer_reports(asked_at, &reports, self.instances.len());
    }

    /// Takes tokens from an instance's own share, as a peer's message does. Returns whether any
    /// were taken.
    pub fn take_tokens(&mut self, index: usize, tokens: u64) -> bool {
        let customer = self.catalog.customers[&customer_id()].clone();
        let ticket = self.random.random();
        let it = &self.instances[index];
        if it.process != Process::Running {
            return false;
        }
        let TakeResult::Taken(taken) = it.holder.take(&customer, tokens, 1, ticket) else {
            return false;
        };
        // A repeated message takes nothing, and a repeated refund returns nothing.
        if self.random.random_bool(0.2) {
            let repeated = it.holder.take(&customer, tokens, 1, ticket);
            assert!(!matches!(repeated, TakeResult::Taken(_)), "the same ticket was served twice");
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
        let incarnation = self.instances[index].incarnation + 1;
        self.instances[index] = instance(index, incarnation, &self.store, &self.clock);
        self.instances[index].announced_at = self.clock.now();
    }

    /// The tokens taken beyond the limit, in the window where they are most; negative if none.
    pub fn overshoot(&self) -> f64 {
        let mut max_overshoot = f64::MIN;
        // The greatest sum of tokens minus the rate's refill, over windows that end here.
        let mut window_excess = f64::MIN;
        let mut last = Duration::ZERO;
        for grant in &self.grants {
            let fill = self.rate as f64 * (grant.at - last).as_secs_f64();
            window_excess = (window_excess - fill).max(0.0) + grant.tokens;
            last = grant.at;
            max_overshoot = max_overshoot.max(window_excess - BURST as f64);
        }
        max_overshoot
    }

    pub fn assert_within_limit(&self, seed: u64) {
        let overshoot = self.overshoot();
        assert!(overshoot <= 1e-6, "overshoot of {overshoot} tokens (seed {seed})");
        let table = self.instances[0].holder.table();
        assert!(table.sum(&customer_id()) <= Millionths::ONE, "shares add up to more than one");
    }
}

pub fn instance(index: usize, incarnation: u64, store: &FakeStore, clock: &FakeClock) -> Instance {
    let id: InstanceId = format!("entry-{index}").parse().unwrap();
    let own = store.new_client();
    let holder = ShareHolder::new(own.clone(), clock.clone(), id.clone(), Incarnation(incarnation));
    Instance {
        id,
        incarnation,
        store: own,
        holder,
        process: Process::Running,
        platform_cut: false,
        peers_cut: false,
        announced_at: clock.now(),
    }
}

pub fn customer_id() -> CustomerId {
    "greedy".parse().unwrap()
}

impl Simulation {
    /// The index of an instance that holds a share.
    pub fn holder_index(&self) -> usize {
        let table = self.instances[0].holder.table();
        let holder = &table.shares[&customer_id()][0].holder;
        self.instances.iter().position(|it| it.id == *holder).unwrap()
    }
}
