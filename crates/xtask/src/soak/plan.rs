//! The fault schedule of a run, drawn from a seed so that the run can be repeated.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stand_ins::relay::RelayMode;

/// The shortest and longest time between the starts of two faults, in milliseconds.
const FAULT_GAP_MS: (u64, u64) = (150, 1_200);
/// The shortest and longest time that a fault lasts, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 3_000);

/// Index of a daemon in the fleet, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DaemonIndex(pub(crate) usize);

/// Index of a relayed link to the platform or a target in the fleet, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkIndex(pub(crate) usize);

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A daemon is suspended by SIGSTOP, then resumed.
    Suspend(DaemonIndex),
    /// A daemon is killed by SIGKILL, then started again.
    Kill(DaemonIndex),
    /// A daemon is stopped gracefully by SIGTERM, then started again.
    Stop(DaemonIndex),
    /// The relay of a link changes its mode, then forwards again.
    Network(LinkIndex, RelayMode),
    /// The order service executes this many calls, but their answers are lost.
    LostAnswers(u32),
    /// The order service gives this many answers the id of another request.
    WrongIdAnswers(u32),
}

/// A fault with its start, counted from the run's start, and its duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) starts_at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:.2} s, for {:.2} s: ",
            self.starts_at.as_secs_f64(),
            self.duration.as_secs_f64()
        )?;
        match self.fault {
            Fault::Suspend(it) => write!(out, "daemon {} is suspended", it.0 + 1),
            Fault::Kill(it) => write!(out, "daemon {} is killed", it.0 + 1),
            Fault::Stop(it) => write!(out, "daemon {} is stopped gracefully", it.0 + 1),
            Fault::Network(it, mode) => write!(out, "link {}: {mode:?}", it.0 + 1),
            Fault::LostAnswers(count) => write!(out, "the service drops {count} answers"),
            Fault::WrongIdAnswers(count) => {
                write!(out, "the service sends {count} answers with another request's id")
            }
        }
    }
}

/// Draws the faults that start within `length`, in the order of their start; they may overlap.
pub(crate) fn draw_faults(
    seed: u64,
    daemons: usize,
    links: usize,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut starts_at = Duration::ZERO;
    loop {
        starts_at += Duration::from_millis(random.random_range(FAULT_GAP_MS.0..=FAULT_GAP_MS.1));
        if starts_at >= length {
            return faults;
        }
        let duration =
            Duration::from_millis(random.random_range(FAULT_DURATION_MS.0..=FAULT_DURATION_MS.1));
        let daemon = DaemonIndex(random.random_range(0..daemons));
        let link = LinkIndex(random.random_range(0..links));
        let fault = match random.random_range(0..9) {
            0 | 1 => Fault::Suspend(daemon),
            2 => Fault::Kill(daemon),
            3 => Fault::Stop(daemon),
            4 => Fault::Network(link, RelayMode::Disconnect),
            5 => Fault::Network(link, RelayMode::BlackholeExisting),
            6 => Fault::Network(link, RelayMode::BlackholeAll),
            7 => Fault::LostAnswers(random.random_range(1..4)),
            _ => Fault::WrongIdAnswers(random.random_range(1..4)),
        };
        faults.push(PlannedFault { starts_at, duration, fault });
    }
}
