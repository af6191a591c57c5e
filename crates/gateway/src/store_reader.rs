//! Who reads the store, and when.
//!
//! One daemon reads and tells the others; the next in line takes over when the reader is gone or
//! cut off, from the store or from its peers (`policy::read_schedule`).

use std::sync::Arc;
use std::time::Duration;

use policy::read_schedule;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::gossip;

/// The pause after a call that failed; it doubles with each further one.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a new daemon waits for its seeds before it turns to the store.
const FIRST_WAIT: Duration = Duration::from_millis(800);
/// The first pause before another announcement, or another look for daemons; it doubles.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(250);
/// The time between two readings of the daemons announced.
const MEMBERS_PERIOD: Duration = Duration::from_secs(5);

/// What a daemon reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    Control,
    Targets,
}

/// Keeps what operators ordered fresh.
pub(crate) async fn follow_control<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    follow(gateway, Subject::Control).await;
}

/// Keeps the listing of replicas fresh.
pub(crate) async fn follow_targets<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    follow(gateway, Subject::Targets).await;
}

async fn follow<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>, subject: Subject) {
    let mut pause = FAILED_PAUSE;
    loop {
        let due = due_in(&gateway, subject);
        if !due.is_zero() {
            tokio::time::sleep(due).await;
            continue;
        }
        if read(&gateway, subject).await {
            pause = FAILED_PAUSE;
        } else {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

/// The time until this daemon has to read.
fn due_in<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, subject: Subject) -> Duration {
    let now = gateway.now();
    let settings = gateway.settings();
    let bounds = &settings.bounds;
    let (known_at, bound) = {
        let view = lock(&gateway.view);
        match subject {
            Subject::Control => (view.control_at(), bounds.config_apply),
            Subject::Targets => (view.listing().map(|it| it.read_at), bounds.drain),
        }
    };
    let Some(known_at) = known_at else {
        // Seeds read at once, and tell the others as soon as they are heard.
        let wait = if gateway.is_seed() { Duration::ZERO } else { FIRST_WAIT };
        return (gateway.started_at + wait).saturating_sub(now);
    };
    let place = lock(&gateway.members).rank(now);
    let limit = read_schedule::age_limit(bound, place);
    (known_at + limit).saturating_sub(now)
}

/// Reads and tells the peers what is new; false if the store did not answer.
async fn read<D: Dialect, S: Directory>(gateway: &Arc<Gateway<D, S>>, subject: Subject) -> bool {
    let asked_at = gateway.now();
    let failed = match subject {
        Subject::Control => match gateway.directory.read_control().await {
            Ok(snapshot) => {
                let change = gateway.apply_control(asked_at, snapshot, "store");
                if change.any() {
                    gossip::push_control(gateway, None);
                }
                None
            }
            Err(error) => Some(error),
        },
        Subject::Targets => match gateway.directory.read_targets().await {
            Ok(snapshot) => {
                let change = gateway.apply_listing(asked_at, snapshot, "store");
                if change.any() {
                    gossip::push_listing(gateway, None);
                }
                None
            }
            Err(error) => Some(error),
        },
    };
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call(subject.name(), took, failed.is_some());
    if let Some(error) = &failed {
        tracing::warn!(subject = subject.name(), "store: not read: {error}");
    }
    failed.is_none()
}

/// Announces this daemon if others may have to find it in the store, and learns of others.
pub(crate) async fn announce<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    // Seeds tell a new daemon of the others; the store is for those whose seeds are gone.
    tokio::time::sleep(FIRST_WAIT).await;
    let mut announced = false;
    let mut pause = ANNOUNCE_AGAIN;
    loop {
        let now = gateway.now();
        let (is_hub, rank, alone) = {
            let members = lock(&gateway.members);
            (members.is_hub(now), members.rank(now), !members.reaches_any(now))
        };
        if is_hub && !announced {
            let done = gateway.directory.announce(&gateway.own).await;
            let took = gateway.now().saturating_sub(now);
            gateway.metrics.record_store_call("announce", took, done.is_err());
            match done {
                Ok(()) => announced = true,
                Err(error) => tracing::warn!("members: not announced: {error}"),
            }
        }
        if rank == 0 || alone {
            read_members(&gateway).await;
        }
        let in_a_hurry = (is_hub && !announced) || alone;
        pause = if in_a_hurry { (pause * 2).min(MEMBERS_PERIOD) } else { MEMBERS_PERIOD };
        tokio::time::sleep(pause).await;
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
        Err(error) => tracing::warn!("members: not read: {error}"),
    }
}

impl Subject {
    fn name(self) -> &'static str {
        match self {
            Subject::Control => "control",
            Subject::Targets => "targets",
        }
    }
}
