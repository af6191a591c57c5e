//! Decisions of the gateway: cached prefixes, rollouts of new weights, gossip hubs, plain calls, retry
//! budgets and who reads shared state.

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
#[case::whole_prompt(&[1, 2], 7, 1, 5, 6_000)]
#[case::only_the_shorter_prefix(&[1], 7, 1, 5, 2_500)]
#[case::another_replica(&[1, 2], 8, 1, 5, 0)]
#[case::another_incarnation(&[1, 2], 7, 2, 5, 0)]
#[case::expired(&[1, 2], 7, 1, 60, 0)]
fn cached_tokens_are_those_of_the_longest_cached_prefix(
    #[case] held: &[u64],
    #[case] member: u64,
    #[case] incarnation: u64,
    #[case] after_s: u64,
    #[case] tokens: u64,
) {
    let mut table = PrefixTable::default();
    table.record_use(at(0), held, 7, 1);
    assert_eq!(table.cached_tokens(at(after_s), &PREFIXES, member, incarnation), tokens);
}

#[test]
fn the_size_of_the_prefix_table_is_bounded() {
    let mut table = PrefixTable::default();
    for digest in 0..50_000 {
        table.record_use(at(0), &[digest], 7, 1);
    }
    assert!(table.len() <= 20_001);
}

fn lagging(running: u32, commanded: bool) -> LaggingTarget {
    LaggingTarget {
        weights: 1,
        running,
        loading: commanded,
        command_active: commanded,
        deferred: false,
        unreported: false,
        reachable: true,
    }
}

/// Lagging engines without a command, each with this number of running requests.
fn uncommanded(running: &[u32]) -> Vec<LaggingTarget> {
    running.iter().map(|it| lagging(*it, false)).collect()
}

#[rstest]
#[case::a_third_at_a_time(uncommanded(&[3, 1, 2, 0, 5, 4]), 0, false, &[3, 1])]
#[case::engines_on_the_new_weights_count(uncommanded(&[3, 1]), 4, false, &[1, 0])]
#[case::engines_under_command_count(vec![lagging(3, true), lagging(1, true), lagging(2, false), lagging(0, false)], 2, false, &[])]
#[case::a_lost_command_is_repeated(vec![lagging(3, true), LaggingTarget { command_active: false, ..lagging(0, true) }, lagging(2, false)], 3, false, &[1])]
#[case::all_when_overdue(vec![lagging(3, true), lagging(1, false), lagging(0, false)], 0, true, &[2, 1])]
#[case::the_oldest_weights_first(vec![LaggingTarget { weights: 3, ..lagging(0, false) }, LaggingTarget { weights: 2, ..lagging(9, false) }], 1, false, &[1])]
#[case::a_deferred_engine_is_skipped(vec![LaggingTarget { deferred: true, ..lagging(0, false) }, lagging(5, false)], 1, false, &[1])]
#[case::an_unreachable_engine_does_not_count(vec![LaggingTarget { reachable: false, ..lagging(0, true) }, lagging(5, false), lagging(7, false)], 1, false, &[1])]
#[case::an_engine_that_does_not_report_lets_others_go_first(vec![LaggingTarget { unreported: true, ..lagging(0, false) }, lagging(5, false)], 1, false, &[1])]
#[case::an_unreachable_engine_comes_last(vec![LaggingTarget { reachable: false, ..lagging(0, false) }, lagging(5, false)], 0, false, &[1])]
#[case::a_single_engine_is_chosen(vec![lagging(9, false)], 0, false, &[0])]
fn new_weights_are_rolled_out_in_rounds(
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
fn the_number_of_hubs_grows_with_the_square_root_of_the_fleet(
    #[case] fleet: usize,
    #[case] hubs: usize,
) {
    assert_eq!(peer_tree::hub_count(fleet), hubs);
}

/// Capable and weak instances in one fleet.
#[rstest]
#[case::enough_capable(40, 300, 18)]
#[case::nearly_enough(15, 300, 15)]
#[case::too_few(3, 300, 18)]
#[case::none(0, 300, 18)]
#[case::all(300, 300, 18)]
#[case::small_fleet(2, 8, 8)]
fn weak_daemons_are_no_hubs_if_nearly_enough_are_capable(
    #[case] capable: usize,
    #[case] fleet: u64,
    #[case] hubs: usize,
) {
    let mut fleet = members(fleet);
    fleet.iter_mut().take(capable).for_each(|it| it.capacity = self::capacity(500));
    let order = peer_tree::rank_members(&fleet);
    assert_eq!(peer_tree::count_hubs(&fleet, &order), hubs);
}

#[test]
fn the_most_capable_daemon_ranks_first_in_any_order_of_input() {
    let mut fleet = members(20);
    fleet[13].capacity = capacity(500);
    let order = peer_tree::rank_members(&fleet);
    assert_eq!(order[0], 13);
    fleet.reverse();
    let reversed = peer_tree::rank_members(&fleet);
    assert_eq!(fleet[reversed[0]].member, 13 * 7_919);
}

#[test]
fn hubs_of_the_own_failure_domain_rank_first_as_parents() {
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
#[case::same_domain(PlainView { slots: 6, running: 1, same_domain: false, penalty: 0.0 })]
#[case::no_penalty(PlainView { slots: 6, running: 0, same_domain: true, penalty: 1.0 })]
fn plain_calls_go_to_the_better_replica(#[case] worse: PlainView) {
    let better = PlainView { slots: 6, running: 1, same_domain: true, penalty: 0.0 };
    for spread in 0..4 {
        assert_eq!(plain_choice::choose(&[worse, better], spread), Some(1));
    }
}

#[test]
fn a_smaller_reserve_removes_credit_and_a_larger_one_adds_none() {
    let mut budget = RetryBudget::new(0.5, 4.0);
    budget.resize(0.5, 2.0);
    budget.resize(0.5, 8.0);
    assert!(budget.spend() && budget.spend() && !budget.spend());
    budget.earn();
    budget.earn();
    assert!(budget.spend());
}

#[rstest]
#[case::two_seconds(2_000)]
#[case::eighteen_seconds(18_000)]
fn readers_take_over_in_order_of_rank_well_within_the_bound(#[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let limits: Vec<Duration> =
        (0..400).map(|rank| read_schedule::age_limit(bound, rank)).collect();
    assert!(limits.windows(2).all(|it| it[0] <= it[1]));
    // The second daemon must not read as well while the result of the first is on its way.
    assert!(limits[1] > limits[0].mul_f64(1.5));
    assert!(limits[399] < bound.mul_f64(0.7));
}

/// Of 195 daemons 68 are cut off from all others and each the first among those it reaches. The first
/// ones of the other part take the lease before any of them.
#[test]
fn daemons_that_are_cut_off_let_others_take_the_lease() {
    let cut_off = weight_rollout::lease_delay(0, 1.0 / 195.0);
    for rank in 0..8 {
        assert!(weight_rollout::lease_delay(rank, 127.0 / 195.0) < cut_off, "rank {rank}");
    }
    assert_eq!(weight_rollout::lease_delay(0, 1.0), Duration::ZERO);
    // Where no daemon reaches most others, one of them takes it all the same.
    assert!(cut_off < Duration::from_secs(4));
    assert!(weight_rollout::lease_delay(20, 0.1) > cut_off);
}

/// A few daemons read after a start of all, and none waits longer than for a newer copy.
#[rstest]
#[case::depot(2_000)]
#[case::large_fleet(4_000)]
fn when_all_daemons_start_at_once_seeds_read_and_few_others(#[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    assert_eq!(read_schedule::first_read_delay(bound, 7, true), Duration::ZERO);
    let delays: Vec<Duration> =
        (0..400).map(|rank| read_schedule::first_read_delay(bound, rank, false)).collect();
    assert!(delays.iter().all(|it| *it >= Duration::from_millis(800)));
    assert!(delays.iter().all(|it| *it < bound.mul_f64(0.7)));
    let early = delays.iter().filter(|it| **it <= Duration::from_secs(1));
    assert!(early.count() <= 4, "further daemons read only if the first ones did not");
}
