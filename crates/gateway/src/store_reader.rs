//! Keeps this daemon's copy of the store current with few reads.
//!
//! One daemon reads and forwards changes to the others; the next in rank takes over when the reader
//! is gone or cut off, from the store or from its peers (`policy::read_schedule`).

use std::sync::Arc;
use std::time::Duration;

use ids::{Revision, StoreEra};
use policy::read_schedule;

use crate::cold_replicas;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, StateSource, lock};
use crate::gossip;

/// The pause after a failed read; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// How long a new daemon waits for its seeds before it looks for daemons in the store.
const SEED_WAIT: Duration = Duration::from_millis(800);
/// Half of the first pause before the announcement or the search for daemons is repeated: the pause
/// doubles before each wait.
const ANNOUNCE_MIN_BACKOFF: Duration = Duration::from_millis(250);
/// The time between two reads of the announced daemons.
const MEMBERS_PERIOD: Duration = Duration::from_secs(5);

/// A part of the store that is read for all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreSubject {
    Control,
    Targets,
}

/// Keeps the control state current until the process ends.
pub(crate) async fn refresh_control<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    refresh_loop(gateway, StoreSubject::Control).await;
}

/// Keeps the list of replicas current until the process ends.
pub(crate) async fn refresh_targets<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    refresh_loop(gateway, StoreSubject::Targets).await;
}

async fn refresh_loop<D: Dialect, S: Directory>(
    gateway: Arc<Gateway<D, S>>,
    subject: StoreSubject,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let due = time_until_read(&gateway, subject);
        if !due.is_zero() {
            tokio::time::sleep(due).await;
            continue;
        }
        if read(&gateway, subject).await {
            backoff = MIN_BACKOFF;
        } else {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// The time until this daemon has to read, zero if it is due.
fn time_until_read<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    subject: StoreSubject,
) -> Duration {
    let now = gateway.now();
    let settings = gateway.settings();
    let bounds = &settings.bounds;
    let (known_at, bound) = {
        let view = lock(&gateway.view);
        match subject {
            StoreSubject::Control => (view.control_confirmed_at(), bounds.control_bound()),
            StoreSubject::Targets => (view.listing().map(|it| it.read_at), bounds.drain),
        }
    };
    let rank = lock(&gateway.members).rank(now);
    let Some(known_at) = known_at else {
        let wait = read_schedule::first_read_delay(bound, rank, gateway.is_seed());
        return (gateway.started_at + wait).saturating_sub(now);
    };
    let max_age = read_schedule::age_limit(bound, rank);
    (known_at + max_age).saturating_sub(now)
}

/// Reads from the store and forwards changes to peers; false if the store did not answer.
async fn read<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    subject: StoreSubject,
) -> bool {
    let asked_at = gateway.now();
    let failed = match subject {
        StoreSubject::Control => match gateway.directory.read_control().await {
            Ok(snapshot) => {
                check_order(gateway, subject, snapshot.revision);
                let change =
                    gateway.apply_control(asked_at, gateway.now(), snapshot, StateSource::Store);
                if change.any() {
                    gossip::forward_control(gateway, None);
                }
                None
            }
            Err(error) => Some(error),
        },
        StoreSubject::Targets => match gateway.directory.read_targets().await {
            Ok(snapshot) => {
                check_order(gateway, subject, snapshot.revision);
                let update = gateway.apply_listing(asked_at, snapshot, StateSource::Store);
                gossip::forward_listing(gateway, None, update);
                cold_replicas::publish(gateway);
                None
            }
            Err(error) => Some(error),
        },
    };
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call(subject.name(), took, failed.is_some());
    if let Some(error) = &failed {
        tracing::warn!(subject = subject.name(), "store: read failed, will retry: {error}");
    }
    failed.is_none()
}

/// Notes that the store came back from an older copy, or that an answer is older than what is known
/// here.
fn check_order<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    subject: StoreSubject,
    revision: Revision,
) {
    let known = {
        let view = lock(&gateway.view);
        match subject {
            StoreSubject::Control => Some(view.control_revision()),
            StoreSubject::Targets => view.listing().map(|it| it.revision),
        }
    };
    let Some(known) = known else { return };
    let (era, subject) = (revision.era(), subject.name());
    if era > known.era() && known != Revision::default() {
        let (counter, known) = (revision.counter(), known.counter());
        tracing::warn!(%era, subject, counter, known, "store: came back from an older copy");
    }
    if known > revision {
        gateway.metrics.record_older_answer(subject);
        tracing::info!(subject, %revision, %known, "store: answer is older than what is known");
    }
}

/// Announces this daemon in the store if it is a hub, so that daemons whose seeds are gone find it,
/// and reads the announced daemons if it is the first in rank or reaches no other.
pub(crate) async fn announce<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    // Seeds name the other daemons to a new one; the store is needed when no seed runs any more.
    tokio::time::sleep(SEED_WAIT).await;
    // The era of the store that holds the announcement.
    let mut announced_in: Option<StoreEra> = None;
    let mut backoff = ANNOUNCE_MIN_BACKOFF;
    loop {
        let now = gateway.now();
        let (is_hub, rank, has_no_peers) = {
            let members = lock(&gateway.members);
            (members.is_hub(now), members.rank(now), !members.reaches_any(now))
        };
        // A store that came back from an older copy may have lost it.
        let era = lock(&gateway.view).control_revision().era();
        let is_announced = announced_in.is_some_and(|it| it >= era);
        if is_hub && !is_announced {
            let done = gateway.directory.announce(&gateway.own).await;
            let took = gateway.now().saturating_sub(now);
            gateway.metrics.record_store_call("announce", took, done.is_err());
            match done {
                Ok(()) => announced_in = Some(era),
                Err(error) => tracing::warn!("members: announcement failed, will retry: {error}"),
            }
        }
        if rank == 0 || has_no_peers {
            read_members(&gateway).await;
        }
        let retry_soon = (is_hub && announced_in.is_none()) || has_no_peers;
        backoff = if retry_soon { (backoff * 2).min(MEMBERS_PERIOD) } else { MEMBERS_PERIOD };
        tokio::time::sleep(backoff).await;
    }
}

async fn read_members<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let asked_at = gateway.now();
    let read = gateway.directory.read_members().await;
    let now = gateway.now();
    gateway.metrics.record_store_call("members", now.saturating_sub(asked_at), read.is_err());
    match read {
        Ok(snapshot) => {
            let mut members = lock(&gateway.members);
            for it in &snapshot.value {
                members.add(now, it);
            }
        }
        Err(error) => tracing::warn!("members: announced daemons not read, will retry: {error}"),
    }
}

impl StoreSubject {
    fn name(self) -> &'static str {
        match self {
            StoreSubject::Control => "control",
            StoreSubject::Targets => "targets",
        }
    }
}
