//! Charges requests to their customers' rates. Each customer's token bucket is kept by one daemon,
//! its home, which the others query.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::{CustomerId, ErrorKind, RequestId};
use policy::customer_quota::QuotaSource;
use policy::rendezvous;

use crate::config::CustomerRule;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{PeerMessage, QuotaQuery};
use crate::refusal::CallRefusal;
use crate::token_query;

/// Number of daemons that are queried in turn: the home, then the one that would be the home
/// without it.
const MAX_HOMES: u32 = 2;

/// Takes tokens for a request, or refuses it with the time after which they will be available. The
/// log field `from` says whose bucket decided: that of another daemon (`home`), the one that this
/// daemon keeps as home or substitute (`here`), or its local one as no home replied (`alone`).
pub(crate) async fn take<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    request: &RequestId,
    customer: &CustomerId,
    rule: &CustomerRule,
    tokens: u64,
) -> Result<(), CallRefusal> {
    if rule.rate.0 == 0 {
        return Ok(());
    }
    let mut reply = HomeReply::Unreachable;
    let mut asks_substitute = false;
    for attempt in 0..MAX_HOMES {
        asks_substitute = attempt > 0;
        reply = query_home(gateway, request, customer, tokens, asks_substitute).await;
        if !matches!(reply, HomeReply::Unreachable) {
            break;
        }
    }
    let now = gateway.now();
    let (result, from) = match reply {
        HomeReply::Answered(result) => {
            let mut quotas = lock(&gateway.quotas);
            quotas.reset_local(customer);
            if !asks_substitute {
                quotas.record_other_home(now, customer);
            }
            (result, "home")
        }
        HomeReply::IsSelf(substitute) => {
            let source = source_as_home(gateway, customer, substitute);
            let result =
                lock(&gateway.quotas).take(now, customer, rule.quota_rate(), tokens, source);
            (record_grant(gateway, source, tokens, result), "here")
        }
        HomeReply::Unreachable => {
            let share = 1.0 / lock(&gateway.members).fleet_size() as f64;
            let source = QuotaSource::Local(share);
            let result =
                lock(&gateway.quotas).take(now, customer, rule.quota_rate(), tokens, source);
            (record_grant(gateway, source, tokens, result), "alone")
        }
    };
    result.map_err(|wait| {
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(%request, %customer, tokens, from, wait_ms, "rate: request refused");
        CallRefusal::not_run(ErrorKind::RateExceeded).retry_after(wait)
    })
}

/// Answers a query of a peer that takes this daemon for a customer's home, or for its substitute.
pub(crate) fn answer_query<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    query: &QuotaQuery,
) {
    let QuotaQuery { query_id, customer, tokens, substitute } = query;
    let Some(config) = gateway.config() else { return };
    let Some(rule) = config.customers.get(customer) else { return };
    let source = source_as_home(gateway, customer, *substitute);
    let (now, rate) = (gateway.now(), rule.quota_rate());
    let result = lock(&gateway.quotas).take_once(now, *query_id, customer, rate, *tokens, source);
    let result = record_grant(gateway, source, *tokens, result);
    gateway.peer_socket.send(
        now,
        &[from],
        &PeerMessage::QuotaReply { query_id: *query_id, wait: result.err() },
    );
}

/// Counts the tokens if they were granted.
fn record_grant<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: QuotaSource,
    tokens: u64,
    result: Result<(), Duration>,
) -> Result<(), Duration> {
    if result.is_ok() {
        gateway.metrics.record_granted_tokens(source, tokens);
    }
    result
}

/// The bucket that this daemon takes tokens from for a query: the home's or a substitute's. A peer
/// may see other daemons as reachable than this one does, and two homes would grant the rate twice.
fn source_as_home<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    customer: &CustomerId,
    substitute: bool,
) -> QuotaSource {
    let now = gateway.now();
    let members = lock(&gateway.members);
    match members.home(now, customer) {
        None if !substitute => {
            let key = rendezvous::hash_member(customer.as_str());
            QuotaSource::Home(members.keeper_share(now, key))
        }
        _ => QuotaSource::Substitute,
    }
}

enum HomeReply {
    Answered(Result<(), Duration>),
    /// This daemon is the home itself, or the home's substitute if true.
    IsSelf(bool),
    Unreachable,
}

async fn query_home<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    request: &RequestId,
    customer: &CustomerId,
    tokens: u64,
    substitute: bool,
) -> HomeReply {
    let home = lock(&gateway.members).home(gateway.now(), customer);
    let Some(home) = home else { return HomeReply::IsSelf(substitute) };
    let message = |query_id| {
        let customer = customer.clone();
        PeerMessage::QuotaQuery(QuotaQuery { query_id, customer, tokens, substitute })
    };
    match token_query::ask(gateway, &home, message).await {
        Some(result) => HomeReply::Answered(result),
        None => {
            tracing::info!(%request, %customer, home = %home.id, "rate: no reply from the customer's home");
            HomeReply::Unreachable
        }
    }
}
