//! Keeps requests to replicas within the rates that these name in their answers. The tokens of each
//! replica are kept by one daemon, which the others query.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::{RequestId, RequestRate};

use crate::cold_replicas;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{LimitQuery, PeerMessage, RequestLimitReport};
use crate::placement::PlacedTarget;
use crate::token_query;

/// Takes a token for a request to a replica and returns when, `None` if it needs none; or returns how
/// long to wait for one. The log field `from` says whose bucket decided: that of another daemon
/// (`keeper`), the one that this daemon keeps (`here`), or its own as no keeper replied (`alone`).
pub(crate) async fn take<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    request: &RequestId,
    target: &PlacedTarget,
) -> Result<Option<Duration>, Duration> {
    let Some(demand) = token_demand(gateway, target) else { return Ok(None) };
    let TokenDemand { key, rate, is_cold } = demand;
    let asked_at = gateway.now();
    let keeper = lock(&gateway.members).keeper(asked_at, key);
    let take_here = |share: f64| {
        let mut limits = lock(&gateway.request_limits);
        match is_cold {
            true => limits.take_cold(gateway.now(), key, rate, share, rand::random()),
            false => limits.take(gateway.now(), key, rate, share),
        }
    };
    let (result, from) = match keeper {
        None => {
            let share = lock(&gateway.members).keeper_share(gateway.now(), key);
            (take_here(share), "here")
        }
        Some(keeper) => {
            let message = |query_id| {
                let query = LimitQuery { query_id, process: key, per_s: rate.per_s() };
                PeerMessage::LimitQuery(query)
            };
            match token_query::ask(gateway, &keeper, message).await {
                Some(result) => (result, "keeper"),
                None => {
                    let share = 1.0 / lock(&gateway.members).fleet_size() as f64;
                    (take_here(share), "alone")
                }
            }
        }
    };
    if let Err(wait) = result {
        let wait_ms = wait.as_millis() as u64;
        tracing::debug!(%request, target = %target.id, %rate, is_cold, from, wait_ms, "targets: replica at its limit");
    }
    // The token may be as old as the question for it.
    result.map(|()| Some(asked_at))
}

/// The bucket that a request to a replica needs a token of.
struct TokenDemand {
    key: u64,
    rate: RequestRate,
    is_cold: bool,
}

/// The lower limit applies if a cold replica also names one.
fn token_demand<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &PlacedTarget,
) -> Option<TokenDemand> {
    let allowance = gateway.settings().bounds.cold;
    let named = target.request_limit;
    match target.cold_rule.and_then(|it| it.grant_rate(allowance)) {
        Some(cold) => {
            let rate = named.filter(|it| *it < cold).unwrap_or(cold);
            Some(TokenDemand { key: cold_replicas::token_key(target.member), rate, is_cold: true })
        }
        None => Some(TokenDemand { key: target.process().digest(), rate: named?, is_cold: false }),
    }
}

/// Answers a query of a peer that takes this daemon for the keeper of a replica's tokens.
pub(crate) fn answer_query<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    query: LimitQuery,
) {
    let now = gateway.now();
    let Ok(rate) = RequestRate::new(query.per_s) else { return };
    let share = {
        let members = lock(&gateway.members);
        match members.keeper(now, query.process) {
            None => members.keeper_share(now, query.process),
            // The peer sees other daemons: two keepers must not grant the whole rate twice.
            Some(_) => 1.0 / members.fleet_size() as f64,
        }
    };
    let LimitQuery { query_id, process, .. } = query;
    let is_cold = lock(&gateway.fleet).is_cold_key(process);
    let mut limits = lock(&gateway.request_limits);
    let taken = match is_cold {
        true => limits.take_cold_once(now, query_id, process, rate, share, rand::random()),
        false => limits.take_once(now, query_id, process, rate, share),
    };
    drop(limits);
    let reply = PeerMessage::QuotaReply { query_id: query.query_id, wait: taken.err() };
    gateway.peer_socket.send(now, &[from], &reply);
}

/// Tells peers of a limit that a replica named or lifted, which `source` reported or this daemon saw.
pub(crate) fn forward<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
    reports: Vec<RequestLimitReport>,
) {
    if reports.is_empty() {
        return;
    }
    let now = gateway.now();
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    gateway.peer_socket.send(now, &to, &PeerMessage::RequestLimits(reports));
}

/// Merges what a peer knew at `reported_at`, and passes on what is new.
pub(crate) fn merge<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    reported_at: Duration,
    reports: &[RequestLimitReport],
) {
    let news = {
        let mut fleet = lock(&gateway.fleet);
        let is_news = |it: &&RequestLimitReport| fleet.merge_request_limit(reported_at, it);
        reports.iter().filter(is_news).cloned().collect()
    };
    forward(gateway, Some(from), news);
}

impl FleetTable {
    /// Records the limit of requests in an answer, `None` if it names none. Returns what to tell
    /// peers if it is new.
    pub(crate) fn record_request_limit(
        &mut self,
        now: Duration,
        placed: &PlacedTarget,
        rate: Option<RequestRate>,
    ) -> Option<RequestLimitReport> {
        let replica = self.same_incarnation(placed)?;
        if !replica.request_limit.apply(now, rate) {
            return None;
        }
        let per_s = rate.map(RequestRate::per_s);
        tracing::info!(target = %placed.id, per_s, "targets: replica names another limit of requests");
        let (member, incarnation) = (placed.member, placed.incarnation);
        Some(RequestLimitReport { member, incarnation, per_s, age: Duration::ZERO })
    }

    /// Merges a limit that a peer knew at `reported_at`; returns whether it is new.
    pub(crate) fn merge_request_limit(
        &mut self,
        reported_at: Duration,
        report: &RequestLimitReport,
    ) -> bool {
        let Ok(rate) = report.per_s.map(RequestRate::new).transpose() else { return false };
        let replica = self.replicas.get_mut(&report.member);
        let same = replica.filter(|it| it.entry.incarnation == report.incarnation);
        let stated_at = reported_at.saturating_sub(report.age);
        same.is_some_and(|it| it.request_limit.apply(stated_at, rate))
    }

    /// Records that there is no token for a replica before a time.
    pub(crate) fn close_until(&mut self, placed: &PlacedTarget, time: Duration) {
        if let Some(it) = self.same_incarnation(placed) {
            it.request_limit.close_until(time);
        }
    }
}
