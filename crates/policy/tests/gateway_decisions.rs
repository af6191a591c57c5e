//! Decisions about prefixes, waves of new weights, hubs and plain calls.

use std::time::Duration;

use policy::peer_tree::{self, InstanceCapacity, TreeMember};
use policy::plain_choice::{self, PlainView};
use policy::prefix_table::{PrefixTable, PromptPrefix};
use policy::read_schedule;
use policy::retry::RetryBudget;
use policy::weight_rollout::{self, LaggingTarget};
use rstest::rstest;

const PREFIXES: [PromptPrefix; 2] =
    [PromptPrefix { digest: 1, tokens: 2_500 }, PromptPrefix { digest: 2, tokens: 6_000 }];

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[rstest]
#[case::whole(&[1, 2], 7, 1, 5, 6_000)]
#[case::only_the_first_part(&[1], 7, 1, 5, 2_500)]
#[case::another_replica(&[1, 2], 8, 1, 5, 0)]
#[case::another_life(&[1, 2], 7, 2, 5, 0)]
#[case::long_ago(&[1, 2], 7, 1, 60, 0)]
fn cached_tokens_are_those_of_the_longest_beginning_held(
    #[case] held: &[u64],
    #[case] member: u64,
    #[case] born: u64,
    #[case] after_s: u64,
    #[case] tokens: u64,
) {
    let mut table = PrefixTable::default();
    table.record_use(at(0), held, 7, 1);
    assert_eq!(table.cached_tokens(at(after_s), &PREFIXES, member, born), tokens);
}

#[test]
fn the_table_of_beginnings_is_bounded() {
    let mut table = PrefixTable::default();
    for digest in 0..50_000 {
        table.record_use(at(0), &[digest], 7, 1);
    }
    assert!(table.len() <= 20_001);
}

fn lagging(running: u32, ordered: bool) -> LaggingTarget {
    LaggingTarget {
        weights: 1,
        running,
        loading: ordered,
        command_active: ordered,
        deferred: false,
        reachable: true,
    }
}

/// Engines that serve, with so many requests each.
fn serving(running: &[u32]) -> Vec<LaggingTarget> {
    running.iter().map(|it| lagging(*it, false)).collect()
}

#[rstest]
#[case::a_third_at_a_time(serving(&[3, 1, 2, 0, 5, 4]), 0, false, &[3, 1])]
#[case::those_on_the_new_weights_count(serving(&[3, 1]), 4, false, &[1, 0])]
#[case::those_under_order_count(vec![lagging(3, true), lagging(1, true), lagging(2, false), lagging(0, false)], 2, false, &[])]
#[case::a_lost_order_is_repeated(vec![lagging(3, true), LaggingTarget { command_active: false, ..lagging(0, true) }, lagging(2, false)], 3, false, &[1])]
#[case::all_once_they_serve_nothing(vec![lagging(3, true), lagging(1, false), lagging(0, false)], 0, true, &[2, 1])]
#[case::the_oldest_weights_first(vec![LaggingTarget { weights: 3, ..lagging(0, false) }, LaggingTarget { weights: 2, ..lagging(9, false) }], 1, false, &[1])]
#[case::a_deferred_one_takes_no_place(vec![LaggingTarget { deferred: true, ..lagging(0, false) }, lagging(5, false)], 1, false, &[1])]
#[case::one_that_is_gone_leaves_its_place(vec![LaggingTarget { reachable: false, ..lagging(0, true) }, lagging(5, false), lagging(7, false)], 1, false, &[1])]
#[case::one_that_is_gone_is_ordered_last(vec![LaggingTarget { reachable: false, ..lagging(0, false) }, lagging(5, false)], 0, false, &[1])]
#[case::a_single_engine_goes(vec![lagging(9, false)], 0, false, &[0])]
fn weights_move_round_by_round(
    #[case] engines: Vec<LaggingTarget>,
    #[case] ready: usize,
    #[case] overdue: bool,
    #[case] expected: &[usize],
) {
    assert_eq!(weight_rollout::choose_targets(&engines, ready, overdue), expected);
}

fn capacity(millicores: u32) -> InstanceCapacity {
    InstanceCapacity { millicores, link_mbps: 10 }
}

fn members(count: u64) -> Vec<TreeMember> {
    (0..count)
        .map(|it| TreeMember {
            member: it * 7_919,
            capacity: capacity(100),
            same_domain: it % 2 == 0,
        })
        .collect()
}

#[rstest]
#[case(1, 1)]
#[case(8, 8)]
#[case(12, 12)]
#[case(90, 10)]
#[case(370, 20)]
fn hubs_grow_with_the_square_root(#[case] fleet: usize, #[case] hubs: usize) {
    assert_eq!(peer_tree::hub_count(fleet), hubs);
}

#[test]
fn the_most_capable_daemons_come_first_whoever_asks() {
    let mut fleet = members(20);
    fleet[13].capacity = capacity(500);
    let order = peer_tree::rank_members(&fleet);
    assert_eq!(order[0], 13);
    fleet.reverse();
    let reversed = peer_tree::rank_members(&fleet);
    assert_eq!(fleet[reversed[0]].member, 13 * 7_919);
}

#[test]
fn daemons_turn_to_hubs_of_their_own_domain_first() {
    let fleet = members(40);
    let hubs = [0, 1, 2, 3];
    for own in 0..20 {
        let parents = peer_tree::rank_parents(&fleet, &hubs, own);
        assert!(
            fleet[parents[0]].same_domain
                && fleet[parents[1]].same_domain
                && !fleet[parents[2]].same_domain
        );
    }
}

#[rstest]
#[case::less_loaded(PlainView { slots: 6, running: 4, same_domain: true, penalty: 0.0 })]
#[case::own_domain(PlainView { slots: 6, running: 1, same_domain: false, penalty: 0.0 })]
#[case::not_suspected(PlainView { slots: 6, running: 0, same_domain: true, penalty: 1.0 })]
fn plain_calls_go_to_the_better_replica(#[case] worse: PlainView) {
    let better = PlainView { slots: 6, running: 1, same_domain: true, penalty: 0.0 };
    for spread in 0..4 {
        assert_eq!(plain_choice::choose(&[worse, better], spread), Some(1));
    }
}

#[test]
fn a_smaller_reserve_takes_credit_away_and_a_greater_one_gives_none() {
    let mut budget = RetryBudget::new(0.5, 4.0);
    budget.resize(0.5, 2.0);
    budget.resize(0.5, 8.0);
    assert!(budget.spend() && budget.spend() && !budget.spend());
    budget.earn();
    budget.earn();
    assert!(budget.spend());
}

#[rstest]
#[case::of_two_seconds(2_000)]
#[case::of_eighteen_seconds(18_000)]
fn readers_take_over_in_turn_and_well_within_the_bound(#[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let limits: Vec<Duration> =
        (0..400).map(|place| read_schedule::age_limit(bound, place)).collect();
    assert!(limits.windows(2).all(|it| it[0] <= it[1]));
    // The second does not read beside the first, whose news take a moment.
    assert!(limits[1] > limits[0].mul_f64(1.5));
    assert!(limits[399] < bound.mul_f64(0.7));
}
