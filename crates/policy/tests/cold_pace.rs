//! Whether a replica is cold, and that all daemons together keep to its rate.

use std::time::Duration;

use policy::cold_pace::{self, ColdAllowance, ColdEvidence, ColdPace, ColdRule, ColdSource};
use policy::request_limit::RequestLimitTable;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RULE: ColdRule = ColdRule { time: Duration::from_secs(6), per_s: 8.0 };
/// The bound of the design page: 8 x 1.5 + 5.
const MOST_IN_SECOND: usize = 17;
const ZERO: ColdEvidence = ColdEvidence::Stated(Duration::ZERO);
const DAEMONS: usize = 85;
const REPLICAS: usize = 30;
/// When the zone stops and when it is back.
const DOWN_AT: u64 = 1_000;
const BACK_AT: u64 = 4_000;
/// When it is no longer cold.
const WARM_AT: u64 = BACK_AT + 6_000;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn observe(pace: &mut ColdPace, at_ms: u64, evidence: ColdEvidence) {
    pace.observe(ms(at_ms), evidence);
}

fn source(pace: &ColdPace, at_ms: u64) -> Option<ColdSource> {
    pace.state(ms(at_ms), RULE).map(|it| it.source)
}

/// Guards against requests without tokens to a process that nobody has seen before, and against an old
/// row that hides a restart.
#[rstest]
#[case::nothing_stated(&[], 5_999, Some(ColdSource::Unstated))]
#[case::warmed_up(&[], 6_000, None)]
#[case::old_row(&[(1_000, ZERO)], 1_001, Some(ColdSource::Unstated))]
#[case::later_row(&[(1_000, ZERO), (2_400, ZERO)], 2_401, None)]
#[case::stated(&[(500, ColdEvidence::Stated(ms(2_000)))], 2_499, Some(ColdSource::Stated))]
#[case::stated_time_over(&[(500, ColdEvidence::Stated(ms(2_000)))], 2_500, None)]
#[case::cold_again(&[(2_400, ZERO), (9_000, ColdEvidence::Stated(ms(900)))], 9_800, Some(ColdSource::Stated))]
fn a_new_process_is_cold_until_its_row_says_otherwise(
    #[case] evidence: &[(u64, ColdEvidence)],
    #[case] at_ms: u64,
    #[case] expected: Option<ColdSource>,
) {
    let mut pace = ColdPace::new_process(Duration::ZERO);
    evidence.iter().for_each(|it| observe(&mut pace, it.0, it.1));
    assert_eq!(source(&pace, at_ms), expected);
}

/// Guards against floods after a silence: the row of a restart may not be read yet.
#[rstest]
#[case::silent(&[], 90_000, Some(ColdSource::Stopped))]
#[case::row_while_silent(&[(9_000, ZERO)], 90_000, Some(ColdSource::Stopped))]
#[case::answered(&[(3_000, ColdEvidence::Answered)], 8_999, Some(ColdSource::Recovered))]
#[case::warmed_up(&[(3_000, ColdEvidence::Answered)], 9_000, None)]
#[case::row_of_before(&[(3_000, ColdEvidence::Answered), (4_000, ZERO)], 4_001, Some(ColdSource::Recovered))]
#[case::row_after(&[(3_000, ColdEvidence::Answered), (5_400, ZERO)], 5_401, None)]
#[case::late_answer(&[(3_000, ColdEvidence::Answered), (3_100, ColdEvidence::Stopped)], 3_101, Some(ColdSource::Recovered))]
#[case::stopped_again(&[(3_000, ColdEvidence::Answered), (3_300, ColdEvidence::Stopped)], 60_000, Some(ColdSource::Stopped))]
fn a_replica_that_stopped_is_cold_until_its_row_says_otherwise(
    #[case] evidence: &[(u64, ColdEvidence)],
    #[case] at_ms: u64,
    #[case] expected: Option<ColdSource>,
) {
    let mut pace = ColdPace::at_daemon_start(Duration::ZERO);
    pace.observe(Duration::ZERO, ZERO);
    assert_eq!(source(&pace, 1), None, "a daemon that has just started trusts the row");
    assert!(pace.observe(ms(1_000), ColdEvidence::Stopped));
    assert!(!pace.observe(ms(1_001), ColdEvidence::Stopped), "peers have been told");
    evidence.iter().for_each(|it| observe(&mut pace, it.0, it.1));
    assert_eq!(source(&pace, at_ms), expected);
}

#[rstest]
#[case(-1.0, None)]
#[case(f64::NAN, None)]
#[case(60_001.0, None)]
#[case(60_000.0, Some(ms(60_000)))]
#[case(0.0, Some(ms(0)))]
fn invalid_stated_times_are_ignored(#[case] left_ms: f64, #[case] expected: Option<Duration>) {
    assert_eq!(RULE.parse_stated(left_ms), expected);
}

#[rstest]
#[case(6.0, 0.0)]
#[case(0.0, 8.0)]
#[case(-6.0, 8.0)]
#[case(6.0, f64::NAN)]
#[case(1e18, 8.0)]
fn a_pool_without_rate_or_time_has_no_rule(#[case] time_s: f64, #[case] per_s: f64) {
    assert_eq!(ColdRule::new(time_s, per_s), None);
}

/// Guards against the use of many tokens at once when a replica begins to accept connections.
#[test]
fn a_token_covers_a_request_for_a_moment() {
    assert!(cold_pace::is_token_valid(ms(1_250), Some(ms(1_000))));
    assert!(!cold_pace::is_token_valid(ms(1_251), Some(ms(1_000))));
    assert!(!cold_pace::is_token_valid(ms(1_000), None));
}

/// How a zone comes back, and who reaches the keepers of its tokens.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Daemons that reach neither keepers nor other daemons.
    cut_off: usize,
    /// The replicas come back under other ids, which daemons hear of from the list.
    new_ids: bool,
    /// Two daemons keep the same tokens from 5.0 to 6.5 s.
    two_keepers: bool,
    /// The keepers stand still from 7 to 8 s, so that all daemons are alone.
    pause: bool,
    /// Callers ask from the time when the zone is back, not before.
    late_burst: bool,
}

const CALM: Scenario =
    Scenario { cut_off: 0, new_ids: false, two_keepers: false, pause: false, late_burst: false };

struct Daemon {
    paces: Vec<ColdPace>,
    closed_until: Vec<Duration>,
    tokens: RequestLimitTable,
    /// When it hears of new rows.
    row_delay: u64,
}

/// A fleet of daemons before a zone; `sent` holds the times of requests that a cold replica got.
struct Fleet {
    scenario: Scenario,
    daemons: Vec<Daemon>,
    /// Two tables of tokens, of which the second serves half of the daemons while there are two.
    keepers: [RequestLimitTable; 2],
    sent: Vec<Vec<u64>>,
    random: StdRng,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut random = StdRng::seed_from_u64(seed);
        let daemon = |_| Daemon {
            paces: vec![settled(); REPLICAS],
            closed_until: vec![Duration::ZERO; REPLICAS],
            tokens: RequestLimitTable::default(),
            row_delay: random.random_range(1_200..3_600),
        };
        let daemons = (0..DAEMONS).map(daemon).collect();
        let sent = vec![Vec::new(); REPLICAS];
        Fleet { scenario, daemons, keepers: Default::default(), sent, random }
    }

    fn run(mut self) -> Vec<Vec<u64>> {
        for at in (0..WARM_AT).step_by(10) {
            for daemon in 0..DAEMONS {
                self.read_rows(at, daemon);
                // Each daemon has callers for two thirds of the replicas in each 10 ms.
                for replica in 0..REPLICAS {
                    let has_callers = at >= BACK_AT || !self.scenario.late_burst;
                    if has_callers && self.random.random_bool(0.66) {
                        self.send(at, daemon, replica);
                    }
                }
            }
        }
        self.sent
    }

    fn read_rows(&mut self, at: u64, index: usize) {
        let scenario = self.scenario;
        let daemon = &mut self.daemons[index];
        // A fleet without callers hears of the stop from health checks and the list.
        if at == DOWN_AT + 500 && (scenario.late_burst || scenario.new_ids) {
            daemon.paces.iter_mut().for_each(|it| observe(it, at, ColdEvidence::Stopped));
        }
        let read_at = BACK_AT + daemon.row_delay / 10 * 10;
        if at == read_at {
            daemon.paces.fill(ColdPace::new_process(ms(at)));
        }
        if at > read_at && at.is_multiple_of(400) {
            // The row was written up to 1.2 s ago.
            let left = ColdEvidence::Stated(ms(WARM_AT + 1_200 - at));
            daemon.paces.iter_mut().for_each(|it| observe(it, at, left));
        }
    }

    fn send(&mut self, at: u64, daemon: usize, replica: usize) {
        let now = ms(at);
        let is_listed = at > BACK_AT + self.daemons[daemon].row_delay;
        if now < self.daemons[daemon].closed_until[replica] {
            return;
        }
        // The address of a replica that is back under another id rejects what is for the old one.
        let is_gone = self.scenario.new_ids && at >= BACK_AT && !is_listed;
        if self.daemons[daemon].paces[replica].state(now, RULE).is_some()
            && let Err(wait) = self.take(at, daemon, replica)
        {
            self.daemons[daemon].closed_until[replica] = now + wait;
            return;
        }
        if (DOWN_AT..BACK_AT).contains(&at) {
            return self.notify(at, daemon, replica, ColdEvidence::Stopped);
        }
        if at >= BACK_AT && !is_gone {
            self.sent[replica].push(at + self.random.random_range(0..60));
            self.notify(at, daemon, replica, ColdEvidence::Answered);
        }
    }

    /// Takes a token from the keeper, or from the own bucket of a daemon that reaches none.
    fn take(&mut self, at: u64, daemon: usize, replica: usize) -> Result<(), Duration> {
        let Scenario { cut_off, two_keepers, pause, .. } = self.scenario;
        let rate = RULE.grant_rate(ColdAllowance { overage: 1.5, slack: 5.0 }).expect("a rate");
        let (now, key, draw) = (ms(at), replica as u64, self.random.random());
        if daemon < cut_off || (pause && (7_000..8_000).contains(&at)) {
            let share = 1.0 / DAEMONS as f64;
            return self.daemons[daemon].tokens.take_cold(now, key, rate, share, draw);
        }
        let share = (DAEMONS - cut_off) as f64 / DAEMONS as f64;
        let is_second = two_keepers && at >= 5_000 && (daemon % 2 == 1 || at >= 6_500);
        self.keepers[usize::from(is_second)].take_cold(now, key, rate, share, draw)
    }

    /// Tells the daemons that are in contact.
    fn notify(&mut self, at: u64, daemon: usize, replica: usize, evidence: ColdEvidence) {
        let is_news = self.daemons[daemon].paces[replica].observe(ms(at), evidence);
        if is_news && daemon >= self.scenario.cut_off {
            for it in &mut self.daemons[self.scenario.cut_off..] {
                it.paces[replica].observe(ms(at), evidence);
            }
        }
    }
}

/// Of a replica that has long been warm.
fn settled() -> ColdPace {
    let mut pace = ColdPace::at_daemon_start(Duration::ZERO);
    pace.observe(Duration::ZERO, ZERO);
    pace
}

fn most_in_second(times: &[u64]) -> usize {
    let count = |from: &u64| times.iter().filter(|it| (*from..from + 1_000).contains(it)).count();
    times.iter().map(count).max().unwrap_or(0)
}

/// Guards against the overload of a zone that comes back cold under a burst: 17 requests in any second
/// for each replica, and 0.9 of the rate is used from when all daemons know of it.
#[rstest]
#[case::in_contact(CALM, true)]
#[case::cut_off(Scenario { cut_off: 10, ..CALM }, true)]
#[case::new_ids(Scenario { cut_off: 10, new_ids: true, ..CALM }, true)]
#[case::two_keepers(Scenario { two_keepers: true, ..CALM }, true)]
#[case::late_burst(Scenario { cut_off: 10, late_burst: true, ..CALM }, true)]
#[case::keepers_pause(Scenario { pause: true, ..CALM }, false)]
#[case::nobody_in_contact(Scenario { cut_off: DAEMONS, ..CALM }, false)]
fn a_zone_that_returns_cold_gets_no_more_than_it_tolerates(
    #[case] scenario: Scenario,
    #[case] is_used: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let sent = Fleet::new(scenario, seed).run();
    let most = sent.iter().map(|it| most_in_second(it)).max().unwrap_or(0);
    let used_from = BACK_AT + if scenario.new_ids { 3_600 } else { 500 };
    let used = sent.iter().flatten().filter(|it| (used_from..WARM_AT).contains(it)).count();
    let per_s = used as f64 / REPLICAS as f64 / ((WARM_AT - used_from) as f64 / 1_000.0);
    println!("{scenario:?}: {most} in a second at most, {per_s:.2} a second used");
    assert!(most <= MOST_IN_SECOND, "{most} requests in a second");
    assert!(!is_used || per_s >= 0.9 * RULE.per_s, "{per_s} a second are used");
}
