//! Which engine gets a prompt.

use policy::engine_choice::{self, EngineView, PrefillSpeed, PromptSize};
use rstest::rstest;

const IDLE: EngineView = EngineView {
    batch: 48,
    running: 0,
    pending_tokens: 0,
    kv_tokens: 0,
    kv_limit: 70_000,
    cached_tokens: 0,
    lane: 0.5,
    near: true,
    penalty_s: 0.0,
};

const LONG: PromptSize = PromptSize { tokens: 9_000, pause_s: Some(0.5) };
const SHORT: PromptSize = PromptSize { tokens: 800, pause_s: Some(0.5) };

#[rstest]
#[case::cached_part(LONG, IDLE, EngineView { cached_tokens: 6_000, ..IDLE })]
#[case::less_to_read_before_it(SHORT, EngineView { pending_tokens: 9_000, ..IDLE }, IDLE)]
#[case::own_failure_domain(SHORT, EngineView { near: false, ..IDLE }, IDLE)]
#[case::room_in_memory(LONG, EngineView { kv_tokens: 65_000, ..IDLE }, IDLE)]
#[case::a_free_place_in_the_batch(SHORT, EngineView { running: 96, ..IDLE }, IDLE)]
#[case::no_streams_to_hold_up(LONG, EngineView { running: 12, ..IDLE }, IDLE)]
#[case::not_suspected(SHORT, EngineView { penalty_s: 0.5, ..IDLE }, IDLE)]
#[case::short_prompts_at_their_end(
    SHORT,
    EngineView { lane: 0.9, ..IDLE },
    EngineView { lane: 0.1, ..IDLE }
)]
#[case::long_prompts_at_theirs(
    LONG,
    EngineView { lane: 0.1, ..IDLE },
    EngineView { lane: 0.9, ..IDLE }
)]
fn the_better_engine_is_chosen(
    #[case] prompt: PromptSize,
    #[case] worse: EngineView,
    #[case] better: EngineView,
) {
    let speed = PrefillSpeed::default();
    for (views, index) in [([worse, better], 1), ([better, worse], 0)] {
        assert_eq!(engine_choice::choose(&views, prompt, speed).map(|it| it.0), Some(index));
    }
}

#[test]
fn streams_are_not_stretched_beyond_their_pause_while_an_engine_is_free() {
    // Two long prompts are pending beside six streams: a third would make all of them late.
    let busy = EngineView { running: 6, pending_tokens: 12_000, cached_tokens: 6_000, ..IDLE };
    let chosen = engine_choice::choose(&[busy, IDLE], LONG, PrefillSpeed::default());
    assert_eq!(chosen.map(|it| it.0), Some(1));
}

#[test]
fn no_engine_gives_no_choice() {
    assert_eq!(engine_choice::choose(&[], SHORT, PrefillSpeed::default()), None);
}

#[test]
fn pace_follows_what_engines_show() {
    let mut speed = PrefillSpeed::default();
    let before = speed.prefill_s(10_000);
    for _ in 0..200 {
        speed.learn(10_000, 0.04 + 1.0);
    }
    assert!(before < 0.4 && (0.9..1.1).contains(&speed.prefill_s(10_000)));
    // Prompts too short to tell, and times that cannot be, change nothing.
    let same = speed;
    speed.learn(10, 1.0);
    speed.learn(10_000, 0.01);
    assert_eq!(speed, same);
}

#[test]
fn waiting_for_other_daemons_prompts_is_not_taken_for_a_slow_engine() {
    let mut speed = PrefillSpeed::default();
    for number in 0..400 {
        let waited = if number % 2 == 0 { 0.0 } else { 0.5 };
        speed.learn(10_000, 0.04 + 0.5 + waited);
    }
    assert!(speed.prefill_s(10_000) < 0.6, "{} s", speed.prefill_s(10_000));
}
