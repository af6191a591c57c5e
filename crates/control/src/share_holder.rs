//! The shares of customers' rates that this daemon holds: spending, acquiring and giving them up.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use catalog::{CatalogState, Customer};
use ids::{CustomerId, Incarnation, InstanceId, Millionths, Revision};
use indexmap::IndexMap;
use policy::bucket::TokenBucket;
use policy::rate_shares::{ListedMember, PlanView, RateShare, ShareTable};
use policy::spend_guard::{PeerReport, REPORT_MAX_AGE, SpendGuard};
use ports::{Clock, CommitResult, StoreError, TableStore, Transaction};

use crate::ticket_history::TicketHistory;

/// The key of the row with all shares; at full size it is some 30 KB.
const SHARES_KEY: &str = "rate/parts";
/// The key of a small row that is written with it. Its revision shows whether the shares changed.
const HEAD_KEY: &str = "rate/head";
/// How long an instance counts towards the fleet's size after it was last listed.
const RECENT_LISTING_TIME: Duration = Duration::from_secs(60);

/// The result of taking tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeResult {
    /// This many tokens were taken.
    Taken(u64),
    /// The bucket has too few tokens. They are there after this time; `None` if waiting is no help.
    Insufficient(Option<Duration>),
    /// This daemon holds no share that it may spend now.
    NotHolder,
}

/// What `ShareHolder::sync` works from.
#[derive(Debug, Clone, Copy)]
pub struct SyncInput<'a> {
    /// The platform's member list; `None` if it could not be read just now.
    pub members: Option<&'a [ListedMember]>,
    /// The catalog, with the customers and their rates.
    pub catalog: &'a CatalogState,
}

#[derive(Debug)]
struct HolderState {
    table: ShareTable,
    /// The revision of the row that `table` was read from.
    row_revision: Option<Revision>,
    buckets: IndexMap<CustomerId, TokenBucket>,
    /// What remains of own shares that are partly being given away. A write whose answer is lost
    /// may take effect late, so this limit holds until a newer row is read.
    reduced_fractions: IndexMap<CustomerId, Millionths>,
    tickets: TicketHistory,
    /// Since when each holder has been missing in the platform's list.
    unlisted_since: IndexMap<InstanceId, Duration>,
    /// When each recently listed instance was last listed.
    recent_members: IndexMap<InstanceId, Duration>,
    guard: SpendGuard,
    /// When the row was last read.
    read_at: Option<Duration>,
    /// When a transaction last proved that the row was the newest.
    proved_at: Option<Duration>,
    /// Set on a graceful stop; nothing is spent from then on.
    stopped: bool,
}

/// Holds this daemon's shares and spends from them.
#[derive(Debug)]
pub struct ShareHolder<T, C> {
    store: T,
    clock: C,
    own: InstanceId,
    incarnation: Incarnation,
    state: Mutex<HolderState>,
}

impl<T: TableStore, C: Clock> ShareHolder<T, C> {
    /// Creates a holder without shares; `sync` reads the row and acquires them.
    pub fn new(store: T, clock: C, own: InstanceId, incarnation: Incarnation) -> ShareHolder<T, C> {
        let state = HolderState {
            table: ShareTable::default(),
            row_revision: None,
            buckets: IndexMap::new(),
            reduced_fractions: IndexMap::new(),
            tickets: TicketHistory::default(),
            unlisted_since: IndexMap::new(),
            recent_members: IndexMap::new(),
            guard: SpendGuard::default(),
            read_at: None,
            proved_at: None,
            stopped: false,
        };
        ShareHolder { store, clock, own, incarnation, state: Mutex::new(state) }
    }

    /// The instances that hold shares of a customer's rate.
    pub fn holders(&self, customer: &CustomerId) -> Vec<(InstanceId, Incarnation)> {
        let state = self.lock();
        let shares = state.table.shares.get(customer).map_or(&[][..], |it| it);
        shares.iter().map(|it| (it.holder.clone(), it.incarnation)).collect()
    }

    /// The share table as last read.
    pub fn table(&self) -> ShareTable {
        self.lock().table.clone()
    }

    /// Takes up to `tokens` of a customer's rate, or nothing if fewer than `minimum` are there.
    /// Each ticket is served once, so that a repeated message takes nothing more.
    pub fn take(&self, customer: &Customer, tokens: u64, minimum: u64, ticket: u64) -> TakeResult {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.stopped || !state.guard.may_spend(now) {
            return TakeResult::NotHolder;
        }
        let Some(fraction) = self.spendable_fraction(&state, &customer.id) else {
            return TakeResult::NotHolder;
        };
        let capacity = (customer.burst.0 as f64 * fraction.factor()).floor();
        let rate = customer.rate.0 as f64 * fraction.factor();
        if state.tickets.contains(ticket) {
            return TakeResult::Insufficient(None);
        }
        let bucket = state
            .buckets
            .entry(customer.id.clone())
            .or_insert_with(|| TokenBucket::empty(now, capacity, rate));
        bucket.resize(now, capacity, rate);
        let taken = bucket.take(now, tokens as f64, minimum as f64) as u64;
        if taken == 0 {
            return TakeResult::Insufficient(bucket.wait_for(now, minimum as f64));
        }
        state.tickets.insert(ticket, customer.id.clone(), taken);
        TakeResult::Taken(taken)
    }

    /// Returns unused tokens of a ticket to the bucket, at most what it took and only once.
    pub fn refund(&self, ticket: u64, tokens: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some((customer, taken)) = state.tickets.get_mut(ticket) else { return };
        let refunded = tokens.min(*taken);
        *taken = 0;
        let customer = customer.clone();
        if let Some(bucket) = state.buckets.get_mut(&customer) {
            bucket.refund(now, refunded as f64);
        }
    }

    /// The revision of the row as last read.
    pub fn row_revision(&self) -> Option<Revision> {
        self.lock().row_revision
    }

    /// The row and its revision, if it is newer than the revision that a peer knows.
    pub fn newer_row(&self, known: Option<Revision>) -> Option<(Revision, Box<str>)> {
        let state = self.lock();
        let own = state.row_revision.filter(|it| Some(*it) > known)?;
        Some((own, serde_json::to_string(&state.table).ok()?.into()))
    }

    /// Takes a newer row from a peer. It shows whom to ask for tokens, but is no proof of a right
    /// to spend.
    pub fn adopt_newer_row(&self, revision: Revision, text: &str) {
        let Ok(table) = serde_json::from_str(text) else { return };
        let mut state = self.lock();
        if Some(revision) > state.row_revision {
            state.row_revision = Some(revision);
            self.replace_table(&mut state, table);
        }
    }

    /// Reports to `peer` whether it still holds its shares, as far as this daemon knows. `known` is
    /// the revision of the row that the peer works from.
    pub fn report_for_peer(&self, peer: &InstanceId, known: Option<Revision>) -> PeerReport {
        let now = self.clock.now();
        let state = self.lock();
        let fresh =
            |at: Option<Duration>| at.is_some_and(|it| now.saturating_sub(it) <= REPORT_MAX_AGE);
        if state.row_revision > known || state.unlisted_since.contains_key(peer) {
            return PeerReport::NotHolder;
        }
        if !fresh(state.read_at) {
            return PeerReport::OutageToo;
        }
        if state.row_revision == known && fresh(state.proved_at) {
            PeerReport::StillHolder
        } else {
            PeerReport::Unsure
        }
    }

    /// Records the reports of peers asked at `asked_at`, when `listed` instances were known.
    pub fn record_peer_reports(&self, asked_at: Duration, reports: &[PeerReport], listed: usize) {
        self.lock().guard.record_reports(asked_at, reports, listed);
    }

    /// Whether this daemon holds any share.
    pub fn holds_any(&self) -> bool {
        self.lock().table.shares.values().flatten().any(|it| self.is_own(it))
    }

    /// Whether this daemon may spend from its shares now.
    pub fn may_spend(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        !state.stopped && state.guard.may_spend(now)
    }

    /// Reads the row, proves that it is the newest, and acquires or gives up shares as planned.
    pub async fn sync(&self, input: SyncInput<'_>) -> Result<(), StoreError> {
        self.read_row().await?;
        self.prove_current(input.members).await?;
        let Some(members) = input.members else { return Ok(()) };
        let customers: Vec<CustomerId> = input.catalog.customers.keys().cloned().collect();
        let (plan, row_revision) = {
            let mut state = self.lock();
            if state.stopped {
                return Ok(());
            }
            self.update_unlisted(&mut state, members);
            let unlisted = self.unlisted_durations(&state);
            let view = PlanView {
                own: &self.own,
                incarnation: self.incarnation,
                members,
                unlisted: &unlisted,
                customers: &customers,
                majority_listed: 2 * members.len() > state.recent_members.len(),
            };
            (state.table.plan(view), state.row_revision)
        };
        let Some((next, new_customers)) = plan else { return Ok(()) };
        self.shrink_buckets(&next, input.catalog);
        let asked_at = self.clock.now();
        if let CommitResult::Done(revision) =
            self.store.commit(build_transaction(&next, row_revision)).await?
        {
            let mut state = self.lock();
            self.replace_table(&mut state, next.clone());
            state.row_revision = Some(revision);
            let now = self.clock.now();
            for id in new_customers {
                let Some(customer) = input.catalog.customers.get(&id) else { continue };
                let held = next.held(&id, &self.own, self.incarnation);
                let Some(fraction) = held.map(|it| it.fraction) else { continue };
                let capacity = (customer.burst.0 as f64 * fraction.factor()).floor();
                let rate = customer.rate.0 as f64 * fraction.factor();
                state.buckets.insert(id, TokenBucket::full(now, capacity, rate));
            }
            state.guard.record_proof(asked_at);
            state.proved_at = Some(asked_at);
        }
        Ok(())
    }

    /// Stops spending and gives all shares to other instances, for a graceful stop.
    pub async fn hand_over(&self, members: &[ListedMember]) -> Result<(), StoreError> {
        self.lock().stopped = true;
        self.read_row().await?;
        let (plan, row_revision) = {
            let state = self.lock();
            let unlisted = IndexMap::new();
            let view = PlanView {
                own: &self.own,
                incarnation: self.incarnation,
                members,
                unlisted: &unlisted,
                customers: &[],
                majority_listed: true,
            };
            (state.table.hand_over(view), state.row_revision)
        };
        match plan {
            Some(next) => self.store.commit(build_transaction(&next, row_revision)).await.map(drop),
            None => Ok(()),
        }
    }

    async fn read_row(&self) -> Result<(), StoreError> {
        let asked_at = self.clock.now();
        let head = self.store.read(HEAD_KEY).await?.map(|it| it.revision);
        {
            let mut state = self.lock();
            if head <= state.row_revision {
                state.read_at = Some(asked_at);
                return Ok(());
            }
        }
        let row = self.store.read(SHARES_KEY).await?;
        let table = match &row {
            None => ShareTable::default(),
            Some(it) => serde_json::from_str(&it.value)
                .map_err(|error| StoreError::Malformed(error.to_string().into()))?,
        };
        let mut state = self.lock();
        state.read_at = Some(asked_at);
        let revision = row.map(|it| it.revision);
        if revision > state.row_revision {
            state.row_revision = revision;
            self.replace_table(&mut state, table);
        }
        Ok(())
    }

    /// Proves by a transaction without changes that the row read is the newest, if a proof is due
    /// and this daemon holds a share.
    async fn prove_current(&self, members: Option<&[ListedMember]>) -> Result<(), StoreError> {
        let asked_at = self.clock.now();
        let row_revision = {
            let state = self.lock();
            let holds = state.table.shares.values().flatten().any(|it| self.is_own(it));
            if !holds || !state.guard.needs_proof(asked_at) {
                return Ok(());
            }
            state.row_revision
        };
        let txn = Transaction::default().require(SHARES_KEY, row_revision);
        if let CommitResult::Conflict = self.store.commit(txn).await? {
            return Ok(());
        }
        let mut state = self.lock();
        state.proved_at = Some(asked_at);
        // An instance that the platform does not list may lose its shares at any moment.
        let listed = members.is_none_or(|it| it.iter().any(|member| member.id == self.own));
        if listed {
            state.guard.record_proof(asked_at);
        }
        Ok(())
    }

    /// Shrinks the buckets of shares that `next` reduces, before it is written: the new holder may
    /// start spending at any moment after that.
    fn shrink_buckets(&self, next: &ShareTable, catalog: &CatalogState) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (id, customer) in &catalog.customers {
            let fraction = |it: &ShareTable| {
                it.held(id, &self.own, self.incarnation).map(|share| share.fraction)
            };
            let (before, after) = (fraction(&state.table), fraction(next));
            let Some(after) = after.filter(|it| before.is_some_and(|old| *it < old)) else {
                continue;
            };
            state.reduced_fractions.insert(id.clone(), after);
            let capacity = (customer.burst.0 as f64 * after.factor()).floor();
            let rate = customer.rate.0 as f64 * after.factor();
            if let Some(bucket) = state.buckets.get_mut(id) {
                bucket.resize(now, capacity, rate);
            }
        }
    }

    /// The fraction of the customer's rate that may be spent here.
    fn spendable_fraction(&self, state: &HolderState, customer: &CustomerId) -> Option<Millionths> {
        let held = state.table.held(customer, &self.own, self.incarnation)?.fraction;
        Some(state.reduced_fractions.get(customer).map_or(held, |it| held.min(*it)))
    }

    fn is_own(&self, share: &RateShare) -> bool {
        share.holder == self.own && share.incarnation == self.incarnation
    }

    /// Replaces the table. A bucket is kept only if its share was not transferred in between.
    fn replace_table(&self, state: &mut HolderState, table: ShareTable) {
        let (own, incarnation) = (&self.own, self.incarnation);
        let before = std::mem::take(&mut state.table);
        let transfer = |it: &ShareTable, id: &CustomerId| {
            it.held(id, own, incarnation).map(|share| share.transfer)
        };
        state.buckets.retain(|id, _| {
            let held = transfer(&table, id);
            held.is_some() && held == transfer(&before, id)
        });
        state.reduced_fractions.clear();
        state.table = table;
    }

    fn update_unlisted(&self, state: &mut HolderState, members: &[ListedMember]) {
        let now = self.clock.now();
        let listed = |id: &InstanceId| members.iter().any(|it| it.id == *id);
        state.unlisted_since.retain(|id, _| !listed(id));
        state.recent_members.extend(members.iter().map(|it| (it.id.clone(), now)));
        state.recent_members.retain(|_, at| now.saturating_sub(*at) < RECENT_LISTING_TIME);
        let holders: Vec<InstanceId> = state
            .table
            .shares
            .values()
            .flatten()
            .map(|it| it.holder.clone())
            .filter(|it| !listed(it))
            .collect();
        for id in holders {
            state.unlisted_since.entry(id).or_insert(now);
        }
    }

    fn unlisted_durations(&self, state: &HolderState) -> IndexMap<InstanceId, Duration> {
        let now = self.clock.now();
        let since = state.unlisted_since.iter();
        since.map(|(id, at)| (id.clone(), now.saturating_sub(*at))).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HolderState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

fn build_transaction(next: &ShareTable, row_revision: Option<Revision>) -> Transaction {
    let text = serde_json::to_string(next).unwrap_or_default();
    let head = next.transfers.to_string();
    Transaction::default()
        .require(SHARES_KEY, row_revision)
        .put(SHARES_KEY, text)
        .put(HEAD_KEY, head)
}
