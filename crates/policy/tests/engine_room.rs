//! Tests of the room on engines, and of what is answered on time while load rises to three times the
//! peak.

use std::collections::VecDeque;
use std::time::Duration;

use policy::demand::PromptDemand;
use policy::engine_choice::{self, EngineView, PrefillSpeed, PromptSize};
use policy::engine_room::{self, AttemptRate, RoomRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const IDLE: EngineView = EngineView {
    batch_size: 12,
    running: 0,
    pending_tokens: 0,
    kv_tokens: 0,
    kv_capacity: 80_000,
    member: 0,
    cached_tokens: 0,
    position: 0.5,
    same_domain: true,
    is_limited: false,
    penalty_s: 0.0,
};
const LONG: RoomRequest = RoomRequest {
    prompt: PromptSize { tokens: 9_000, shared_tokens: 6_000, key: 0, token_gap_s: Some(0.5) },
    output_tokens: 50,
    time_left_s: 1.5,
};
const SHORT: RoomRequest =
    RoomRequest { prompt: PromptSize { tokens: 800, shared_tokens: 200, ..LONG.prompt }, ..LONG };
const HUGE: RoomRequest =
    RoomRequest { prompt: PromptSize { tokens: 70_000, ..LONG.prompt }, ..LONG };

/// Each case guards against one way in which an engine is given more than it can begin in time, or
/// is left idle.
#[rstest]
#[case::idle(LONG, IDLE, true)]
#[case::full_batch(SHORT, EngineView { running: 12, ..IDLE }, false)]
#[case::last_slot(SHORT, EngineView { running: 11, ..IDLE }, true)]
#[case::long_prompt_beside_streams_of_short_ones(
    LONG,
    EngineView { running: 1, position: 0.1, ..IDLE },
    false
)]
#[case::short_prompt_beside_long_ones(SHORT, EngineView { running: 5, ..IDLE }, true)]
#[case::memory_for_shared_prefixes(
    LONG,
    EngineView { running: 5, kv_tokens: 45_000, ..IDLE },
    false
)]
#[case::short_prompt_uses_that_memory(
    SHORT,
    EngineView { running: 5, kv_tokens: 45_000, ..IDLE },
    true
)]
#[case::no_memory(SHORT, EngineView { running: 5, kv_tokens: 79_500, ..IDLE }, false)]
#[case::late_behind_the_backlog(
    LONG,
    EngineView { running: 3, pending_tokens: 40_000, ..IDLE },
    false
)]
#[case::idle_engine_takes_a_prompt_above_its_share(HUGE, IDLE, true)]
fn an_engine_gets_what_it_can_begin(
    #[case] request: RoomRequest,
    #[case] view: EngineView,
    #[case] has_room: bool,
) {
    let rooms = request.rooms(&[view], PrefillSpeed::default(), 0.0);
    assert_eq!(rooms.open().count(), usize::from(has_room));
    assert_eq!(rooms.fraction(), f64::from(u8::from(has_room)));
}

#[test]
fn daemons_that_see_the_same_idle_engine_do_not_all_use_it() {
    let rooms = LONG.rooms(&[IDLE], PrefillSpeed::default(), 80.0);
    // Eighty attempts come to a room of five or so.
    assert!(rooms.fraction() < 0.1, "{rooms:?}");
    assert!(!rooms.admits(0, 0.5) && rooms.admits(0, 0.01));
}

#[test]
fn a_request_without_any_chance_has_no_expected_wait() {
    let interval = Duration::from_millis(60);
    assert_eq!(engine_room::expected_wait(0.0, interval), None);
    assert_eq!(engine_room::expected_wait(0.5, interval), Some(2 * interval));
}

const ENGINES: usize = 16;
const DAEMONS: usize = 40;
const STEP: Duration = Duration::from_millis(20);
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// How often a request that waits tries again, and how long it waits at most.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
const MAX_WAIT: Duration = Duration::from_millis(750);
const PREFILL_PER_STEP: f64 = 760.0;
/// Requests a second at the peak: 0.6 of what the engines can do with the shared prefixes cached.
const PEAK_PER_S: f64 = 120.0;

/// Fake engine: prefills in order of arrival, and keeps shared prefixes only while its requests leave
/// memory for them.
#[derive(Default)]
struct FakeEngine {
    /// When each request arrived at a daemon, and the tokens that are left to prefill; unset until
    /// its prefill begins.
    queue: VecDeque<(Duration, Option<f64>)>,
    /// The lengths of the queue that daemons see, oldest first.
    reported: VecDeque<usize>,
}

impl FakeEngine {
    /// Prefills for one step; returns how many first tokens came within the objective.
    fn step(&mut self, now: Duration) -> usize {
        self.reported.push_back(self.queue.len());
        let delay_steps = (REPORT_DELAY.as_millis() / STEP.as_millis()) as usize;
        if self.reported.len() > delay_steps {
            self.reported.pop_front();
        }
        let running = self.queue.len().min(12) as u64;
        let evicted = running * LONG.prompt.tokens > IDLE.kv_capacity * 7 / 10;
        let needed = if evicted { LONG.prompt.tokens } else { 3_000 } as f64;
        let mut budget = PREFILL_PER_STEP;
        let mut on_time = 0;
        while let Some((arrived_at, left)) = self.queue.front_mut() {
            let tokens = left.get_or_insert(needed);
            if *tokens > budget {
                *tokens -= budget;
                break;
            }
            budget -= *tokens;
            on_time += usize::from((now - *arrived_at).as_secs_f64() <= LONG.time_left_s);
            self.queue.pop_front();
        }
        on_time
    }

    fn view(&self, index: usize, placed_here: usize) -> EngineView {
        let seen = self.reported.front().copied().unwrap_or(0) + placed_here;
        EngineView {
            running: seen as u32,
            pending_tokens: seen as u64 * 3_000,
            kv_tokens: seen as u64 * LONG.prompt.tokens,
            cached_tokens: 6_000,
            member: index as u64,
            position: 0.9,
            ..IDLE
        }
    }
}

/// First tokens on time in a second, after a second of warm-up, at `per_s` requests a second.
fn goodput(per_s: f64, limited: bool, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let speed = PrefillSpeed::default();
    let mut engines: Vec<FakeEngine> = (0..ENGINES).map(|_| FakeEngine::default()).collect();
    let mut attempts = vec![(PromptDemand::default(), AttemptRate::default()); DAEMONS];
    // What each daemon placed since the reports that it sees.
    let mut placed: VecDeque<(Duration, usize, usize)> = VecDeque::new();
    let mut waiting: Vec<(Duration, usize)> = Vec::new();
    let mut on_time = 0;
    let end = Duration::from_secs(8);
    let mut now = Duration::ZERO;
    while now < end {
        let expected = per_s * STEP.as_secs_f64();
        let arrivals = expected as usize + usize::from(random.random_bool(expected.fract()));
        waiting.extend((0..arrivals).map(|_| (now, random.random_range(0..DAEMONS))));
        placed.retain(|it| now < it.0 + REPORT_DELAY);
        let tries = std::mem::take(&mut waiting);
        for (arrived_at, daemon) in tries {
            let is_due = (now - arrived_at).as_millis().is_multiple_of(RETRY_INTERVAL.as_millis());
            if limited && !is_due {
                waiting.push((arrived_at, daemon));
                continue;
            }
            let views: Vec<EngineView> = engines
                .iter()
                .enumerate()
                .map(|(index, it)| {
                    let own = placed.iter().filter(|it| it.1 == daemon && it.2 == index);
                    it.view(index, own.count())
                })
                .collect();
            let peers = DAEMONS - 1;
            let request = RoomRequest {
                prompt: PromptSize { key: random.random(), ..LONG.prompt },
                time_left_s: (LONG.time_left_s - (now - arrived_at).as_secs_f64()),
                ..LONG
            };
            let (demand, attempts) = &mut attempts[daemon];
            let unseen = attempts.estimate_unseen(now, true, peers, REPORT_DELAY);
            attempts.record(now, true);
            let rooms = request.rooms(&views, speed, unseen);
            let open: Vec<usize> =
                if limited { rooms.open().collect() } else { (0..ENGINES).collect() };
            let open_views: Vec<EngineView> = open.iter().map(|it| views[*it]).collect();
            let unseen = demand.estimate_unseen(now, peers, REPORT_DELAY);
            let choice = engine_choice::choose(&open_views, request.prompt, speed, unseen);
            let choice =
                choice.map(|it| it.0).filter(|it| !limited || rooms.admits(*it, random.random()));
            let Some(index) = choice else {
                if now - arrived_at < MAX_WAIT {
                    waiting.push((arrived_at, daemon));
                }
                continue;
            };
            demand.record(now, true, 3_000);
            engines[open[index]].queue.push_back((arrived_at, None));
            placed.push_back((now, daemon, open[index]));
        }
        let answered: usize = engines.iter_mut().map(|it| it.step(now)).sum();
        on_time += if now >= Duration::from_secs(1) { answered } else { 0 };
        now += STEP;
    }
    on_time as f64 / (end.as_secs_f64() - 1.0)
}

const LOADS: [f64; 6] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0];

fn goodput_by_load(limited: bool, seed: u64) -> Vec<f64> {
    LOADS.iter().map(|it| goodput(PEAK_PER_S * it, limited, seed)).collect()
}

/// Guards against the collapse under load: requests beyond what the engines can begin evict the
/// shared prefixes, which makes every request three times as expensive.
#[rstest]
fn more_load_never_serves_less(#[values(1, 2, 3)] seed: u64) {
    let served = goodput_by_load(true, seed);
    println!("load x peak {LOADS:?}\non time a second {served:.0?}");
    let mut best: f64 = 0.0;
    for it in &served {
        best = best.max(*it);
        assert!(*it >= 0.9 * best, "on time a second: {served:.0?}");
    }
}

/// Guards against a limit that refuses what could be served: at no load does it serve fewer requests
/// than without a limit, and up to the peak it serves all.
#[rstest]
fn limited_engines_serve_no_less(#[values(1, 2, 3)] seed: u64) {
    let limited = goodput_by_load(true, seed);
    let unlimited = goodput_by_load(false, seed);
    println!("load x peak {LOADS:?}\nlimited {limited:.0?}\nunlimited {unlimited:.0?}");
    for (load, (with, without)) in LOADS.iter().zip(limited.iter().zip(&unlimited)) {
        assert!(*with >= 0.95 * without, "{limited:.0?} {unlimited:.0?}");
        assert!(*load > 1.0 || *with >= 0.95 * PEAK_PER_S * load, "{limited:.0?}");
    }
}
