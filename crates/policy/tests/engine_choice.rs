//! Which engine gets a prompt.

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
    penalty_s: 0.0,
};

const NOTHING: UnseenLoad = UnseenLoad { requests: 0.0, tokens: 0.0 };
const ALL_SEEN: UnseenLoads = UnseenLoads { short: NOTHING, long: NOTHING };

const LONG: PromptSize =
    PromptSize { tokens: 9_000, shared_tokens: 0, key: 0, token_gap_s: Some(0.5) };
const SHORT: PromptSize = PromptSize { tokens: 800, ..LONG };

#[rstest]
#[case::cached_part(LONG, IDLE, EngineView { cached_tokens: 6_000, ..IDLE })]
#[case::less_to_read_before_it(SHORT, EngineView { pending_tokens: 9_000, ..IDLE }, IDLE)]
#[case::own_failure_domain(SHORT, EngineView { same_domain: false, ..IDLE }, IDLE)]
#[case::room_in_memory(LONG, EngineView { kv_tokens: 65_000, ..IDLE }, IDLE)]
#[case::a_free_place_in_the_batch(SHORT, EngineView { running: 96, ..IDLE }, IDLE)]
#[case::no_streams_to_hold_up(LONG, EngineView { running: 12, ..IDLE }, IDLE)]
#[case::not_suspected(SHORT, EngineView { penalty_s: 0.5, ..IDLE }, IDLE)]
#[case::short_prompts_at_their_end(
    SHORT,
    EngineView { position: 0.9, ..IDLE },
    EngineView { position: 0.0, ..IDLE }
)]
#[case::long_prompts_at_theirs(
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
fn streams_are_not_stretched_beyond_their_pause_while_an_engine_is_free() {
    // Two long prompts are pending beside six streams: a third would make all of them late.
    let busy = EngineView { running: 6, pending_tokens: 12_000, cached_tokens: 6_000, ..IDLE };
    let chosen = engine_choice::choose(&[busy, IDLE], LONG, PrefillSpeed::default(), ALL_SEEN);
    assert_eq!(chosen.map(|it| it.0), Some(1));
}

#[test]
fn no_engine_gives_no_choice() {
    assert_eq!(engine_choice::choose(&[], SHORT, PrefillSpeed::default(), ALL_SEEN), None);
}

#[test]
fn pace_follows_what_engines_show() {
    let mut speed = PrefillSpeed::default();
    let before = speed.prefill_s(10_000);
    for _ in 0..200 {
        speed.record_first_token(10_000, 0.04 + 1.0);
    }
    assert!(before < 0.4 && (0.9..1.1).contains(&speed.prefill_s(10_000)));
    // Prompts too short to tell, and times that cannot be, change nothing.
    let same = speed;
    speed.record_first_token(10, 1.0);
    speed.record_first_token(10_000, 0.01);
    assert_eq!(speed, same);
}

#[test]
fn waiting_for_other_daemons_prompts_is_not_taken_for_a_slow_engine() {
    let mut speed = PrefillSpeed::default();
    for number in 0..400 {
        let waited = if number % 2 == 0 { 0.0 } else { 0.5 };
        speed.record_first_token(10_000, 0.04 + 0.5 + waited);
    }
    assert!(speed.prefill_s(10_000) < 0.6, "{} s", speed.prefill_s(10_000));
}

fn shared(key: u64) -> PromptSize {
    PromptSize { shared_tokens: 6_000, key, ..LONG }
}

/// Engines of a pool, idle, in their order.
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

/// Ninety daemons place a prompt each before any hears of the others. All see one engine that is idle
/// since it has just loaded new weights, among others with a backlog. Counts the prompts by engine.
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
#[case::each_takes_what_it_sees_for_all_there_is(ALL_SEEN, 80..=90)]
#[case::each_counts_what_it_cannot_see(
    UnseenLoads {
        long: UnseenLoad { requests: 90.0, tokens: 500_000.0 },
        short: UnseenLoad { requests: 90.0, tokens: 80_000.0 },
    },
    2..=8
)]
fn a_herd_of_daemons_does_not_fall_on_the_idle_engine(
    #[case] unseen: UnseenLoads,
    #[case] most: std::ops::RangeInclusive<u32>,
) {
    let placed = placed_by_ninety(unseen);
    let busiest = placed.iter().max().copied().unwrap_or_default();
    assert!(most.contains(&busiest), "{placed:?}");
}

#[test]
fn what_peers_place_unseen_follows_the_own_demand() {
    let ms = Duration::from_millis;
    let mut demand = DemandRate::default();
    for request in 0..100 {
        demand.record(ms(request * 200), 1_000);
    }
    // Five requests a second for 20 s, by each of ten peers, heard of after half a second.
    let unseen = demand.estimate_unseen(ms(20_000), 10, ms(500));
    assert!((22.0..28.0).contains(&unseen.requests), "{unseen:?}");
    assert!((22_000.0..28_000.0).contains(&unseen.tokens), "{unseen:?}");
    assert_eq!(demand.estimate_unseen(ms(20_000), 0, ms(500)), NOTHING);
    assert!(
        demand.estimate_unseen(ms(60_000), 10, ms(500)).requests < 0.01,
        "old demand is forgotten"
    );
}

#[test]
fn prompts_with_the_same_beginning_meet_on_one_engine_and_others_spread() {
    let mut views = pool(30);
    let home = place(&views, shared(7), ALL_SEEN);
    views.reverse();
    assert_eq!(views[place(&views, shared(7), ALL_SEEN)].member, pool(30)[home].member);
    // A copy that another engine holds is no reason to keep two.
    let other = if home == 29 { 28 } else { 29 };
    let mut views = pool(30);
    views[other].cached_tokens = 6_000;
    assert_eq!(place(&views, shared(7), ALL_SEEN), home);
    // A home that is behind with its work is left.
    views[home].pending_tokens = 40_000;
    assert_ne!(place(&views, shared(7), ALL_SEEN), home);
    let mut homes: Vec<usize> =
        (0..300).map(|key| place(&pool(30), shared(key), ALL_SEEN)).collect();
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() > 20, "of 22 that long prompts keep to: {homes:?}");
}

#[test]
fn short_prompts_keep_to_a_quarter_of_the_engines() {
    let views = pool(40);
    for key in 0..100 {
        let short = PromptSize { shared_tokens: 100, key, ..SHORT };
        assert!(views[place(&views, short, ALL_SEEN)].position < 0.25);
        assert!(views[place(&views, shared(key), ALL_SEEN)].position >= 0.25);
    }
    // As far as load allows.
    let mut views = views;
    views[..10].iter_mut().for_each(|it| it.pending_tokens = 20_000);
    let short = PromptSize { shared_tokens: 100, key: 1, ..SHORT };
    assert!(views[place(&views, short, ALL_SEEN)].position >= 0.25);
}

#[test]
fn unseen_long_prompts_do_not_hide_which_engine_of_the_short_ones_is_behind() {
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
