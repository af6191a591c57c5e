//! The clock interface and its system implementation.

use std::time::Duration;

/// A monotonic clock that keeps counting while the host is suspended.
pub trait Clock: Send + Sync + 'static {
    /// Time since an arbitrary start, the same for all threads of the process.
    fn now(&self) -> Duration;
}

/// What the clock reads when the host starts, so that times before that can be expressed: other
/// processes report ages of up to some hours.
const READING_AT_BOOT: Duration = Duration::from_secs(24 * 3_600);

/// The clock of the operating system (`CLOCK_BOOTTIME`), a day ahead.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        READING_AT_BOOT + Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}
