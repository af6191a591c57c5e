//! Whether a replica may get work: consecutive failures, slowness against its pool, crash loops.

use std::time::Duration;

use ids::Incarnation;

/// Consecutive failures after which a replica is paused.
const FAILURE_LIMIT: u32 = 3;
/// The first pause of a replica; it doubles with each further pause until a request succeeds.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Upper limit of a pause.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// More incarnations than this within the window make a crash loop.
const CRASH_LOOP_INCARNATIONS: usize = 3;
/// The window in which incarnations are counted.
const CRASH_LOOP_WINDOW: Duration = Duration::from_secs(60);
/// A replica is slow above this multiple of its pool's median first-token time.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of one sample in a replica's moving average of first-token times.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Samples before a replica can be called slow.
const MIN_FIRST_TOKEN_SAMPLES: u32 = 16;

/// Whether a replica gets work and, if not, why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthState {
    /// It gets its share of the work.
    #[default]
    Healthy,
    /// It gets nothing until its pause ends. If it is paused again before a request succeeds, that
    /// pause is twice as long.
    Paused,
    /// It restarts again and again.
    CrashLoop,
}

/// The health of one replica as one daemon sees it.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    failures: u32,
    /// Pauses since the last success.
    trips: u32,
    paused_until: Duration,
    incarnations: Vec<(Incarnation, Duration)>,
    first_token_s: f64,
    samples: u32,
}

impl ReplicaHealth {
    /// Whether the replica may get work at `now`.
    pub fn state(&self, now: Duration) -> HealthState {
        let recent =
            self.incarnations.iter().filter(|it| now.saturating_sub(it.1) < CRASH_LOOP_WINDOW);
        if recent.count() > CRASH_LOOP_INCARNATIONS {
            return HealthState::CrashLoop;
        }
        if now < self.paused_until {
            return HealthState::Paused;
        }
        HealthState::Healthy
    }

    /// Records a request that succeeded, which ends a pause. `first_token_s` is the time to the
    /// first token for each thousand computed prompt tokens, if a model answered.
    pub fn record_success(&mut self, first_token_s: Option<f64>) {
        self.failures = 0;
        self.trips = 0;
        self.paused_until = Duration::ZERO;
        if let Some(sample) = first_token_s {
            let weight = if self.samples == 0 { 1.0 } else { FIRST_TOKEN_WEIGHT };
            self.first_token_s += weight * (sample - self.first_token_s);
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Records a request that failed through the replica's fault. A `hard` failure (it is certainly
    /// down) pauses the replica at once, another one only after `FAILURE_LIMIT` in a row.
    pub fn record_failure(&mut self, now: Duration, hard: bool) {
        self.failures += 1;
        if !hard && self.failures < FAILURE_LIMIT {
            return;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.trips.min(6));
        self.trips += 1;
        self.failures = 0;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Records the incarnation that the replica reports; true if it is a new one. A new incarnation
    /// ends a pause and discards the first-token samples.
    pub fn observe_incarnation(&mut self, now: Duration, incarnation: Incarnation) -> bool {
        if self.incarnations.last().is_some_and(|it| it.0 == incarnation) {
            return false;
        }
        self.incarnations.retain(|it| now.saturating_sub(it.1) < CRASH_LOOP_WINDOW);
        self.incarnations.push((incarnation, now));
        self.samples = 0;
        self.paused_until = Duration::ZERO;
        true
    }

    /// The last observed incarnation; `None` before the first.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnations.last().map(|it| it.0)
    }

    /// Moving average of the seconds to the first token for each thousand computed prompt tokens;
    /// `None` until there are enough samples.
    pub fn first_token_s(&self) -> Option<f64> {
        (self.samples >= MIN_FIRST_TOKEN_SAMPLES).then_some(self.first_token_s)
    }

    /// Whether the replica is slow against the median first-token time of its pool.
    pub fn is_slow(&self, pool_median_s: f64) -> bool {
        self.first_token_s().is_some_and(|it| it > SLOW_FACTOR * pool_median_s)
    }
}
