//! The parts of customers' rates that this daemon holds, and its way to get and give them.

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

/// The row that maps customers to parts; at full size it is some 30 KB.
const PARTS_KEY: &str = "rate/parts";
/// A small row written with it, by whose revision a reader knows whether it has changed.
const HEAD_KEY: &str = "rate/head";
/// How long an instance counts as known after it was last listed.
const KNOWN_FOR: Duration = Duration::from_secs(60);

/// How a taking ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeResult {
    /// This many tokens were taken.
    Taken(u64),
    /// Too few are there; ask again after this time, if that can help.
    Insufficient(Option<Duration>),
    /// This daemon holds no part that it may spend now.
    NotHolder,
}

/// What the daemon knows when it looks after its parts.
#[derive(Debug, Clone, Copy)]
pub struct SyncInput<'a> {
    /// The platform's list, if it was read just now.
    pub members: Option<&'a [ListedMember]>,
    /// The catalog.
    pub catalog: &'a CatalogState,
}

#[derive(Debug)]
struct HolderState {
    table: ShareTable,
    row: Option<Revision>,
    buckets: IndexMap<CustomerId, TokenBucket>,
    /// What is left of own parts of which some is being given away. A write whose answer is lost
    /// may land late, so this stands until a newer row is read.
    giving: IndexMap<CustomerId, Millionths>,
    tickets: TicketHistory,
    unlisted_since: IndexMap<InstanceId, Duration>,
    /// Instances listed lately, and when last.
    known: IndexMap<InstanceId, Duration>,
    guard: SpendGuard,
    /// When the row was last read.
    read_at: Option<Duration>,
    /// When the row was last proved to be the newest.
    proved_at: Option<Duration>,
    stopped: bool,
}

/// This daemon's parts.
#[derive(Debug)]
pub struct ShareHolder<T, C> {
    store: T,
    clock: C,
    own: InstanceId,
    incarnation: Incarnation,
    state: Mutex<HolderState>,
}

impl<T: TableStore, C: Clock> ShareHolder<T, C> {
    /// A holder that has read nothing yet.
    pub fn new(store: T, clock: C, own: InstanceId, incarnation: Incarnation) -> ShareHolder<T, C> {
        let state = HolderState {
            table: ShareTable::default(),
            row: None,
            buckets: IndexMap::new(),
            giving: IndexMap::new(),
            tickets: TicketHistory::default(),
            unlisted_since: IndexMap::new(),
            known: IndexMap::new(),
            guard: SpendGuard::default(),
            read_at: None,
            proved_at: None,
            stopped: false,
        };
        ShareHolder { store, clock, own, incarnation, state: Mutex::new(state) }
    }

    /// The instances that hold parts of a customer's rate.
    pub fn holders(&self, customer: &CustomerId) -> Vec<(InstanceId, Incarnation)> {
        let state = self.lock();
        let parts = state.table.shares.get(customer).map_or(&[][..], |it| it);
        parts.iter().map(|it| (it.holder.clone(), it.incarnation)).collect()
    }

    /// The part table as last read.
    pub fn table(&self) -> ShareTable {
        self.lock().table.clone()
    }

    /// Takes up to `tokens` of a customer's rate, at least `least` or nothing. The same ticket
    /// is served once: a message that comes twice takes nothing more.
    pub fn take(&self, customer: &Customer, tokens: u64, least: u64, ticket: u64) -> TakeResult {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.stopped || !state.guard.may_spend(now) {
            return TakeResult::NotHolder;
        }
        let Some(share) = self.share(&state, &customer.id) else {
            return TakeResult::NotHolder;
        };
        let capacity = (customer.burst.0 as f64 * share.factor()).floor();
        let rate = customer.rate.0 as f64 * share.factor();
        if state.tickets.contains(ticket) {
            return TakeResult::Insufficient(None);
        }
        let bucket = state
            .buckets
            .entry(customer.id.clone())
            .or_insert_with(|| TokenBucket::empty(now, capacity, rate));
        bucket.resize(now, capacity, rate);
        let taken = bucket.take(now, tokens as f64, least as f64) as u64;
        if taken == 0 {
            return TakeResult::Insufficient(bucket.wait_for(now, least as f64));
        }
        state.tickets.insert(ticket, customer.id.clone(), taken);
        TakeResult::Taken(taken)
    }

    /// Takes back unused tokens of a ticket, at most what it took and only once.
    pub fn refund(&self, ticket: u64, tokens: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some((customer, taken)) = state.tickets.get_mut(ticket) else { return };
        let back = tokens.min(*taken);
        *taken = 0;
        let customer = customer.clone();
        if let Some(bucket) = state.buckets.get_mut(&customer) {
            bucket.refund(now, back as f64);
        }
    }

    /// The revision of the row as last read.
    pub fn row_revision(&self) -> Option<Revision> {
        self.lock().row
    }

    /// The row and its revision, if it is newer than what a peer goes by.
    pub fn newer_row(&self, row: Option<Revision>) -> Option<(Revision, Box<str>)> {
        let state = self.lock();
        let own = state.row.filter(|it| Some(*it) > row)?;
        Some((own, serde_json::to_string(&state.table).ok()?.into()))
    }

    /// Takes a newer row from a peer: it tells whom to ask for tokens, and proves nothing.
    pub fn adopt_newer_row(&self, revision: Revision, text: &str) {
        let Ok(table) = serde_json::from_str(text) else { return };
        let mut state = self.lock();
        if Some(revision) > state.row {
            state.row = Some(revision);
            self.adopt(&mut state, table);
        }
    }

    /// What this daemon can say to a peer that asks whether it still holds its parts, given the
    /// revision of the row that the peer goes by.
    pub fn reply_to_ping(&self, peer: &InstanceId, row: Option<Revision>) -> PeerReport {
        let now = self.clock.now();
        let state = self.lock();
        let fresh =
            |at: Option<Duration>| at.is_some_and(|it| now.saturating_sub(it) <= REPORT_MAX_AGE);
        if state.row > row || state.unlisted_since.contains_key(peer) {
            return PeerReport::NotHolder;
        }
        if !fresh(state.read_at) {
            return PeerReport::OutageToo;
        }
        if state.row == row && fresh(state.proved_at) {
            PeerReport::StillHolder
        } else {
            PeerReport::Unsure
        }
    }

    /// Hears the words of peers asked at `asked_at`, when `listed` instances were known.
    pub fn apply_peer_replies(&self, asked_at: Duration, words: &[PeerReport], listed: usize) {
        self.lock().guard.record_reports(asked_at, words, listed);
    }

    /// Whether this daemon holds any part.
    pub fn holds_any(&self) -> bool {
        self.lock().table.shares.values().flatten().any(|it| self.is_own(it))
    }

    /// Whether the holder may spend now.
    pub fn may_spend(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        !state.stopped && state.guard.may_spend(now)
    }

    /// Reads the row, proves what this daemon holds, and takes what is its to take.
    pub async fn sync(&self, view: SyncInput<'_>) -> Result<(), StoreError> {
        self.read_row().await?;
        self.prove(view.members).await?;
        let Some(members) = view.members else { return Ok(()) };
        let customers: Vec<CustomerId> = view.catalog.customers.keys().cloned().collect();
        let (plan, row) = {
            let mut state = self.lock();
            if state.stopped {
                return Ok(());
            }
            self.note_unlisted(&mut state, members);
            let unlisted = self.unlisted_for(&state);
            let view = PlanView {
                own: &self.own,
                incarnation: self.incarnation,
                members,
                unlisted: &unlisted,
                customers: &customers,
                majority_listed: 2 * members.len() > state.known.len(),
            };
            (state.table.plan(view), state.row)
        };
        let Some((next, fresh)) = plan else { return Ok(()) };
        self.shrink(&next, view.catalog);
        let asked_at = self.clock.now();
        if let CommitResult::Done(revision) =
            self.store.commit(parts_transaction(&next, row)).await?
        {
            let mut state = self.lock();
            self.adopt(&mut state, next.clone());
            state.row = Some(revision);
            let now = self.clock.now();
            for id in fresh {
                let Some(customer) = view.catalog.customers.get(&id) else { continue };
                let held = next.held(&id, &self.own, self.incarnation);
                let Some(share) = held.map(|it| it.fraction) else { continue };
                let capacity = (customer.burst.0 as f64 * share.factor()).floor();
                let rate = customer.rate.0 as f64 * share.factor();
                state.buckets.insert(id, TokenBucket::full(now, capacity, rate));
            }
            state.guard.record_proof(asked_at);
            state.proved_at = Some(asked_at);
        }
        Ok(())
    }

    /// Stops spending and gives all parts away, for a graceful stop.
    pub async fn hand_over(&self, members: &[ListedMember]) -> Result<(), StoreError> {
        self.lock().stopped = true;
        self.read_row().await?;
        let (plan, row) = {
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
            (state.table.hand_over(view), state.row)
        };
        match plan {
            Some(next) => self.store.commit(parts_transaction(&next, row)).await.map(drop),
            None => Ok(()),
        }
    }

    async fn read_row(&self) -> Result<(), StoreError> {
        let asked_at = self.clock.now();
        let head = self.store.read(HEAD_KEY).await?.map(|it| it.revision);
        {
            let mut state = self.lock();
            if head <= state.row {
                state.read_at = Some(asked_at);
                return Ok(());
            }
        }
        let row = self.store.read(PARTS_KEY).await?;
        let table = match &row {
            None => ShareTable::default(),
            Some(it) => serde_json::from_str(&it.value)
                .map_err(|error| StoreError::Malformed(error.to_string().into()))?,
        };
        let mut state = self.lock();
        state.read_at = Some(asked_at);
        let revision = row.map(|it| it.revision);
        if revision > state.row {
            state.row = revision;
            self.adopt(&mut state, table);
        }
        Ok(())
    }

    /// Proves by a transaction without changes that the row read is the newest, if a proof is
    /// due and there is something to prove.
    async fn prove(&self, members: Option<&[ListedMember]>) -> Result<(), StoreError> {
        let asked_at = self.clock.now();
        let row = {
            let state = self.lock();
            let holds = state.table.shares.values().flatten().any(|it| self.is_own(it));
            if !holds || !state.guard.needs_proof(asked_at) {
                return Ok(());
            }
            state.row
        };
        let txn = Transaction::default().require(PARTS_KEY, row);
        if let CommitResult::Conflict = self.store.commit(txn).await? {
            return Ok(());
        }
        let mut state = self.lock();
        state.proved_at = Some(asked_at);
        // An instance that the platform does not list may lose its parts any moment.
        let listed = members.is_none_or(|it| it.iter().any(|member| member.id == self.own));
        if listed {
            state.guard.record_proof(asked_at);
        }
        Ok(())
    }

    /// Before a part is given, its bucket shrinks: the new holder may begin at any moment.
    fn shrink(&self, next: &ShareTable, catalog: &CatalogState) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (id, customer) in &catalog.customers {
            let share = |it: &ShareTable| {
                it.held(id, &self.own, self.incarnation).map(|part| part.fraction)
            };
            let (before, after) = (share(&state.table), share(next));
            let Some(after) = after.filter(|it| before.is_some_and(|old| *it < old)) else {
                continue;
            };
            state.giving.insert(id.clone(), after);
            let capacity = (customer.burst.0 as f64 * after.factor()).floor();
            let rate = customer.rate.0 as f64 * after.factor();
            if let Some(bucket) = state.buckets.get_mut(id) {
                bucket.resize(now, capacity, rate);
            }
        }
    }

    /// The part that may be spent.
    fn share(&self, state: &HolderState, customer: &CustomerId) -> Option<Millionths> {
        let held = state.table.held(customer, &self.own, self.incarnation)?.fraction;
        Some(state.giving.get(customer).map_or(held, |it| held.min(*it)))
    }

    fn is_own(&self, part: &RateShare) -> bool {
        part.holder == self.own && part.incarnation == self.incarnation
    }

    fn adopt(&self, state: &mut HolderState, table: ShareTable) {
        let (own, life) = (&self.own, self.incarnation);
        let before = std::mem::take(&mut state.table);
        let transfer =
            |it: &ShareTable, id: &CustomerId| it.held(id, own, life).map(|part| part.transfer);
        state.buckets.retain(|id, _| {
            let held = transfer(&table, id);
            held.is_some() && held == transfer(&before, id)
        });
        state.giving.clear();
        state.table = table;
    }

    fn note_unlisted(&self, state: &mut HolderState, members: &[ListedMember]) {
        let now = self.clock.now();
        let listed = |id: &InstanceId| members.iter().any(|it| it.id == *id);
        state.unlisted_since.retain(|id, _| !listed(id));
        state.known.extend(members.iter().map(|it| (it.id.clone(), now)));
        state.known.retain(|_, at| now.saturating_sub(*at) < KNOWN_FOR);
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

    fn unlisted_for(&self, state: &HolderState) -> IndexMap<InstanceId, Duration> {
        let now = self.clock.now();
        let since = state.unlisted_since.iter();
        since.map(|(id, at)| (id.clone(), now.saturating_sub(*at))).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HolderState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

fn parts_transaction(next: &ShareTable, row: Option<Revision>) -> Transaction {
    let text = serde_json::to_string(next).unwrap_or_default();
    let head = next.transfers.to_string();
    Transaction::default().require(PARTS_KEY, row).put(PARTS_KEY, text).put(HEAD_KEY, head)
}
