//! Tests of the choice of an engine for a prompt, and of the estimates that it rests on.

use std::time::Duration;

use policy::demand::DemandRate;
use policy::engine_choice::{self, EngineView, PrefillSpeed, PromptSize, UnseenLoad, UnseenLoads};
use policy::rendezvous;
use rstest::rstest;

const IDLE: EngineView = EngineView {
    batch_size: 48,
    running: 0,
    pending_tokens: 0,
    kv_tokens: 0,
    kv_capacity: 70_000,
    member: 0,
    cached_tokens: 0,
    position: 0.5,
    same_domain: true,
    is_limited: false,
    penalty_s: 0.0,
};

const NOTHING: UnseenLoad = UnseenLoad { requests: 0.0, tokens: 0.0 };
const ALL_SEEN: UnseenLoads = UnseenLoads { short: NOTHING, long: NOTHING };

const LONG: PromptSize =
    PromptSize { tokens: 9_000, shared_tokens: 0, key: 0, token_gap_s: Some(0.5) };
const SHORT: PromptSize = PromptSize { tokens: 800, ..LONG };

#[rstest]
#[case::cached_part(LONG, IDLE, EngineView { cached_tokens: 6_000, ..IDLE })]
#[case::less_pending_prefill(SHORT, EngineView { pending_tokens: 9_000, ..IDLE }, IDLE)]
#[case::own_failure_domain(SHORT, EngineView { same_domain: false, ..IDLE }, IDLE)]
#[case::free_kv_memory(LONG, EngineView { kv_tokens: 65_000, ..IDLE }, IDLE)]
#[case::free_slot_in_the_batch(SHORT, EngineView { running: 96, ..IDLE }, IDLE)]
#[case::no_streams_to_delay(LONG, EngineView { running: 12, ..IDLE }, IDLE)]
#[case::no_penalty(SHORT, EngineView { penalty_s: 0.5, ..IDLE }, IDLE)]
#[case::group_of_short_prompts(
    SHORT,
    EngineView { position: 0.9, ..IDLE },
    EngineView { position: 0.0, ..IDLE }
)]
#[case::group_of_long_prompts(
    LONG,
    EngineView { position: 0.0, ..IDLE },
    EngineView { position: 0.9, ..IDLE }
)]
fn the_better_engine_is_chosen(
    #[case] prompt: PromptSize,
    #[case] worse: EngineView,
    #[case] better: EngineView,
) {
    let speed = PrefillSpeed::default();
    for (views, index) in [([worse, better], 1), ([better, worse], 0)] {
        assert_eq!(
            engine_choice::choose(&views, prompt, speed, ALL_SEEN).map(|it| it.0),
            Some(index)
        );
    }
}

#[test]
fn a_prompt_that_would_exceed_the_token_gap_of_streams_goes_to_a_free_engine() {
    // Two long prompts are pending beside six streams; a third would make the streams exceed their
    // token gap. The cached prefix must not outweigh that.
    let busy = EngineView { running: 6, pending_tokens: 12_000, cached_tokens: 6_000, ..IDLE };
    let chosen = engine_choice::choose(&[busy, IDLE], LONG, PrefillSpeed::default(), ALL_SEEN);
    assert_eq!(chosen.map(|it| it.0), Some(1));
}

#[test]
fn no_engine_is_chosen_from_none() {
    assert_eq!(engine_choice::choose(&[], SHORT, PrefillSpeed::default(), ALL_SEEN), None);
}

#[test]
fn prefill_speed_follows_observed_first_tokens() {
    let mut speed = PrefillSpeed::default();
    let before = speed.prefill_s(10_000);
    for _ in 0..200 {
        speed.record_first_token(10_000, 0.04 + 1.0);
    }
    assert!(before < 0.4 && (0.9..1.1).contains(&speed.prefill_s(10_000)));
    // Prompts too short to show a speed, and times below the fixed overhead, change nothing.
    let learned = speed;
    speed.record_first_token(10, 1.0);
    speed.record_first_token(10_000, 0.01);
    assert_eq!(speed, learned);
}

#[test]
fn waiting_behind_other_daemons_prompts_hardly_lowers_the_learned_speed() {
    let mut speed = PrefillSpeed::default();
    for number in 0..400 {
        let wait_s = if number % 2 == 0 { 0.0 } else { 0.5 };
        speed.record_first_token(10_000, 0.04 + 0.5 + wait_s);
    }
    assert!(speed.prefill_s(10_000) < 0.6, "{} s", speed.prefill_s(10_000));
}

fn shared(key: u64) -> PromptSize {
    PromptSize { shared_tokens: 6_000, key, ..LONG }
}

/// The idle engines of a pool, at evenly spaced positions.
fn pool(count: u32) -> Vec<EngineView> {
    let view = |it: u32| EngineView {
        member: rendezvous::weight(u64::from(it), 1),
        position: f64::from(it) / f64::from(count),
        ..IDLE
    };
    (0..count).map(view).collect()
}

fn place(views: &[EngineView], prompt: PromptSize, unseen: UnseenLoads) -> usize {
    let chosen = engine_choice::choose(views, prompt, PrefillSpeed::default(), unseen);
    chosen.expect("engines").0
}

/// Ninety daemons place a prompt each before any sees the load of the others. All see the same idle
/// engine, such as one that has just loaded new weights, among 44 with a backlog. Returns the
/// prompts placed on each engine.
fn placed_by_ninety(unseen: UnseenLoads) -> Vec<u32> {
    let mut views = pool(45);
    for view in &mut views[..44] {
        *view = EngineView { pending_tokens: 9_000, penalty_s: 0.3, ..*view };
    }
    let mut placed = vec![0; views.len()];
    for key in 0..90 {
        placed[place(&views, shared(key), unseen)] += 1;
    }
    placed
}

#[rstest]
#[case::without_an_estimate_of_unseen_load(ALL_SEEN, 80..=90)]
#[case::with_an_estimate_of_unseen_load(
    UnseenLoads {
        long: UnseenLoad { requests: 90.0, tokens: 500_000.0 },
        short: UnseenLoad { requests: 90.0, tokens: 80_000.0 },
    },
    2..=8
)]
fn the_estimate_of_unseen_load_prevents_a_thundering_herd_on_an_idle_engine(
    #[case] unseen: UnseenLoads,
    #[case] busiest_range: std::ops::RangeInclusive<u32>,
) {
    let placed = placed_by_ninety(unseen);
    let busiest = placed.iter().max().copied().unwrap_or_default();
    assert!(busiest_range.contains(&busiest), "{placed:?}");
}

#[test]
fn unseen_load_is_estimated_from_the_daemons_own_demand() {
    let ms = Duration::from_millis;
    let mut demand = DemandRate::default();
    for request in 0..100 {
        demand.record(ms(request * 200), 1_000);
    }
    // Each of ten peers places five requests a second for 20 s, and reports them half a second
    // late.
    let unseen = demand.estimate_unseen(ms(20_000), 10, ms(500));
    assert!((22.0..28.0).contains(&unseen.requests), "{unseen:?}");
    assert!((22_000.0..28_000.0).contains(&unseen.tokens), "{unseen:?}");
    assert_eq!(demand.estimate_unseen(ms(20_000), 0, ms(500)), NOTHING);
    assert!(demand.estimate_unseen(ms(60_000), 10, ms(500)).requests < 0.01, "old demand decays");
}

#[test]
fn prompts_with_the_same_prefix_go_to_one_home_and_others_spread() {
    let mut views = pool(30);
    let home = place(&views, shared(7), ALL_SEEN);
    views.reverse();
    assert_eq!(views[place(&views, shared(7), ALL_SEEN)].member, pool(30)[home].member);
    // A copy on another engine does not draw prompts away from their home.
    let other = if home == 29 { 28 } else { 29 };
    let mut views = pool(30);
    views[other].cached_tokens = 6_000;
    assert_eq!(place(&views, shared(7), ALL_SEEN), home);
    // A home with a large backlog is avoided.
    views[home].pending_tokens = 40_000;
    assert_ne!(place(&views, shared(7), ALL_SEEN), home);
    let mut homes: Vec<usize> =
        (0..300).map(|key| place(&pool(30), shared(key), ALL_SEEN)).collect();
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() > 20, "of the 22 engines in the group for long prompts: {homes:?}");
}

#[test]
fn short_prompts_use_a_quarter_of_the_engines_while_load_allows() {
    let views = pool(40);
    for key in 0..100 {
        let short = PromptSize { shared_tokens: 100, key, ..SHORT };
        assert!(views[place(&views, short, ALL_SEEN)].position < 0.25);
        assert!(views[place(&views, shared(key), ALL_SEEN)].position >= 0.25);
    }
    // With a backlog on the whole group, short prompts go to the other engines.
    let mut views = views;
    views[..10].iter_mut().for_each(|it| it.pending_tokens = 20_000);
    let short = PromptSize { shared_tokens: 100, key: 1, ..SHORT };
    assert!(views[place(&views, short, ALL_SEEN)].position >= 0.25);
}

#[test]
fn unseen_long_prompts_do_not_affect_the_choice_among_engines_for_short_prompts() {
    let mut views = pool(40);
    views[..10].iter_mut().for_each(|it| it.pending_tokens = 3_000);
    views[3].pending_tokens = 0;
    let unseen = UnseenLoads {
        long: UnseenLoad { requests: 90.0, tokens: 700_000.0 },
        short: UnseenLoad { requests: 2.0, tokens: 1_500.0 },
    };
    for key in 0..20 {
        let short = PromptSize { shared_tokens: 100, key, ..SHORT };
        assert_eq!(place(&views, short, unseen), 3);
    }
}

/// A home that may take one request a second is not everybody's first choice.
#[test]
fn prompts_that_share_a_prefix_go_to_an_engine_without_a_limit() {
    let view = |it: u64, is_limited| EngineView { member: it, position: 0.9, is_limited, ..IDLE };
    let limited = |count: u64| (0..6).map(|it| view(it, it < count)).collect::<Vec<_>>();
    for key in 0..50 {
        let prompt = PromptSize { key, shared_tokens: 6_000, ..LONG };
        let choose = |views: &[EngineView]| {
            engine_choice::choose(views, prompt, PrefillSpeed::default(), UnseenLoads::default())
                .map(|it| it.0)
        };
        assert!(choose(&limited(4)) >= Some(4), "{key}");
        assert_eq!(choose(&limited(6)), choose(&limited(0)), "{key}: all of them are limited");
    }
}
