//! What goes wrong in a run, and when: drawn from a seed, so that a run can be played again.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stand_ins::relay::RelayMode;

/// The shortest and longest time between the beginnings of two faults, in milliseconds.
const APART_MS: (u64, u64) = (150, 1_200);
/// The shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 3_000);

/// A daemon, by its place in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DaemonIndex(pub(crate) usize);

/// A link to the platform or a target, by its place in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkIndex(pub(crate) usize);

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A daemon stands still, then goes on.
    Pause(DaemonIndex),
    /// A daemon is killed and started again.
    Kill(DaemonIndex),
    /// A daemon is told to stop and started again.
    Stop(DaemonIndex),
    /// The network to one process breaks, then works again.
    Network(LinkIndex, RelayMode),
    /// The order service runs this many calls whose answers are lost.
    LostAnswers(u32),
    /// The order service gives this many answers the id of another call.
    CrossedAnswers(u32),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:.2} s, for {:.2} s: ", self.at.as_secs_f64(), self.lasts.as_secs_f64())?;
        match self.fault {
            Fault::Pause(it) => write!(out, "daemon {} stands still", it.0 + 1),
            Fault::Kill(it) => write!(out, "daemon {} is killed", it.0 + 1),
            Fault::Stop(it) => write!(out, "daemon {} is told to stop", it.0 + 1),
            Fault::Network(it, mode) => write!(out, "link {}: {mode:?}", it.0 + 1),
            Fault::LostAnswers(count) => write!(out, "the service loses {count} answers"),
            Fault::CrossedAnswers(count) => write!(out, "the service crosses {count} answers"),
        }
    }
}

/// Faults of one run over `length`, in order; they overlap.
pub(crate) fn draw(seed: u64, daemons: usize, links: usize, length: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(APART_MS.0..=APART_MS.1));
        if at >= length {
            return faults;
        }
        let lasts = Duration::from_millis(random.random_range(LASTS_MS.0..=LASTS_MS.1));
        let daemon = DaemonIndex(random.random_range(0..daemons));
        let link = LinkIndex(random.random_range(0..links));
        let fault = match random.random_range(0..9) {
            0 | 1 => Fault::Pause(daemon),
            2 => Fault::Kill(daemon),
            3 => Fault::Stop(daemon),
            4 => Fault::Network(link, RelayMode::Disconnect),
            5 => Fault::Network(link, RelayMode::BlackholeExisting),
            6 => Fault::Network(link, RelayMode::BlackholeAll),
            7 => Fault::LostAnswers(random.random_range(1..4)),
            _ => Fault::CrossedAnswers(random.random_range(1..4)),
        };
        faults.push(PlannedFault { at, lasts, fault });
    }
}
