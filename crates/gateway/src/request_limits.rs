//! Keeps requests to replicas within the rates that these name in their answers. The tokens of each
//! replica are kept by one daemon, which the others query.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::{RequestId, RequestRate};

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{LimitQuery, PeerMessage, RequestLimitReport};
use crate::placement::PlacedTarget;
use crate::token_query;

/// Takes a token for a request to a replica, or returns how long to wait for one. The log field `from`
/// says whose bucket decided: that of another daemon (`keeper`), the one that this daemon keeps
/// (`here`), or its own as no keeper replied (`alone`).
pub(crate) async fn take<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    request: &RequestId,
    target: &PlacedTarget,
    rate: RequestRate,
) -> Result<(), Duration> {
    let process = target.process().digest();
    let keeper = lock(&gateway.members).keeper(gateway.now(), process);
    let (result, from) = match keeper {
        None => {
            let share = lock(&gateway.members).keeper_share(gateway.now(), process);
            (lock(&gateway.request_limits).take(gateway.now(), process, rate, share), "here")
        }
        Some(keeper) => {
            let message = |query_id| {
                PeerMessage::LimitQuery(LimitQuery { query_id, process, per_s: rate.per_s() })
            };
            match token_query::ask(gateway, &keeper, message).await {
                Some(result) => (result, "keeper"),
                None => {
                    let share = 1.0 / lock(&gateway.members).fleet_size() as f64;
                    let mut limits = lock(&gateway.request_limits);
                    (limits.take(gateway.now(), process, rate, share), "alone")
                }
            }
        }
    };
    if let Err(wait) = result {
        let wait_ms = wait.as_millis() as u64;
        tracing::debug!(%request, target = %target.id, %rate, from, wait_ms, "targets: replica at its limit");
    }
    result
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
    let taken =
        lock(&gateway.request_limits).take_once(now, query.query_id, query.process, rate, share);
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
