//! Whether a replica may get work: failures in a row, slowness against its pool, crash loops.

use std::time::Duration;

use ids::Incarnation;

/// Failures in a row that take a replica out.
const FAILURE_LIMIT: u32 = 3;
/// The first pause of a replica that was taken out; it doubles with each trip.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// New lives within the window that make a crash loop.
const LOOP_LIVES: usize = 3;
/// The window in which lives are counted.
const LOOP_WINDOW: Duration = Duration::from_secs(60);
/// A replica this many times slower than its pool's middle is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of one observation in a replica's first-token time.
const SPEED_STEP: f64 = 0.1;
/// Observations before a replica can be called slow.
const SPEED_SAMPLES: u32 = 16;

/// Why a replica gets no or less work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It gets its share.
    Healthy,
    /// It is left out until its pause ends; then one request probes it.
    Paused,
    /// It restarts again and again.
    CrashLoop,
}

/// The health of one replica as one daemon sees it.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    failures: u32,
    trips: u32,
    paused_until: Duration,
    lives: Vec<(Incarnation, Duration)>,
    speed_s: f64,
    samples: u32,
}

impl ReplicaHealth {
    /// Whether the replica may get work at `now`.
    pub fn state(&self, now: Duration) -> HealthState {
        let recent = self.lives.iter().filter(|it| now.saturating_sub(it.1) < LOOP_WINDOW);
        if recent.count() > LOOP_LIVES {
            return HealthState::CrashLoop;
        }
        if now < self.paused_until {
            return HealthState::Paused;
        }
        HealthState::Healthy
    }

    /// A request succeeded; `first_token_s` per thousand computed tokens if it was a model's.
    pub fn record_success(&mut self, first_token_s: Option<f64>) {
        self.failures = 0;
        self.trips = 0;
        self.paused_until = Duration::ZERO;
        if let Some(seen) = first_token_s {
            let step = if self.samples == 0 { 1.0 } else { SPEED_STEP };
            self.speed_s += step * (seen - self.speed_s);
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// A request failed for a reason that is the replica's. `hard`: it is surely down.
    pub fn record_failure(&mut self, now: Duration, hard: bool) {
        self.failures += 1;
        if !hard && self.failures < FAILURE_LIMIT {
            return;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.trips.min(6));
        self.trips += 1;
        self.failures = 0;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// The replica was seen in this life; true if it is a new one.
    pub fn observe_incarnation(&mut self, now: Duration, incarnation: Incarnation) -> bool {
        if self.lives.last().is_some_and(|it| it.0 == incarnation) {
            return false;
        }
        self.lives.retain(|it| now.saturating_sub(it.1) < LOOP_WINDOW);
        self.lives.push((incarnation, now));
        self.samples = 0;
        self.paused_until = Duration::ZERO;
        true
    }

    /// The replica's life, if it was ever seen.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lives.last().map(|it| it.0)
    }

    /// Its smoothed first-token seconds, once there are enough observations.
    pub fn first_token_s(&self) -> Option<f64> {
        (self.samples >= SPEED_SAMPLES).then_some(self.speed_s)
    }

    /// Whether it is slow against the middle of its pool.
    pub fn is_slow(&self, pool_middle_s: f64) -> bool {
        self.first_token_s().is_some_and(|it| it > SLOW_FACTOR * pool_middle_s)
    }
}
