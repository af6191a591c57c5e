//! Takes a request's tokens from its customer's bucket, here or at the customer's home.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::{CustomerId, ErrorKind, RequestId};
use policy::customer_quota::QuotaSource;

use crate::config::CustomerRule;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{PeerMessage, QuotaQuery};
use crate::refusal::CallRefusal;

/// How long a customer's home may take to answer before it is asked again: datagrams get lost.
const ANSWER_TIME: Duration = Duration::from_millis(35);
/// Times that one home is asked.
const ASKED: u32 = 2;
/// Homes that are tried in turn.
const HOMES: u32 = 2;

/// Takes tokens for a request, or refuses it with the time after which they will be there.
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
    let mut word = HomeWord::Silent;
    for place in 0..HOMES {
        word = ask_home(gateway, request, customer, tokens, place > 0).await;
        if !matches!(word, HomeWord::Silent) {
            break;
        }
    }
    let now = gateway.now();
    let (taken, from) = match word {
        HomeWord::Said(taken) => {
            lock(&gateway.quotas).reset_local(customer);
            (taken, "home")
        }
        HomeWord::Own(substitute) => {
            let source = source_here(gateway, customer, substitute);
            let rate = rule.quota_rate();
            (lock(&gateway.quotas).take(now, customer, rate, tokens, source), "here")
        }
        HomeWord::Silent => {
            let share = 1.0 / lock(&gateway.members).fleet_size() as f64;
            let source = QuotaSource::Local(share);
            let rate = rule.quota_rate();
            (lock(&gateway.quotas).take(now, customer, rate, tokens, source), "alone")
        }
    };
    taken.map_err(|wait| {
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(%request, %customer, tokens, from, wait_ms, "rate: refused");
        CallRefusal::not_run(ErrorKind::RateExceeded).retry_after(wait)
    })
}

/// Answers a peer that takes this daemon for a customer's home, or asks it in the home's place.
pub(crate) fn answer_peer<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    question: &QuotaQuery,
) {
    let QuotaQuery { query_id, customer, tokens, substitute } = question;
    let Some(config) = gateway.config() else { return };
    let Some(rule) = config.customers.get(customer) else { return };
    let source = source_here(gateway, customer, *substitute);
    let (now, rate) = (gateway.now(), rule.quota_rate());
    let taken = lock(&gateway.quotas).take_once(now, *query_id, customer, rate, *tokens, source);
    gateway
        .peer_socket
        .send(&[from], &PeerMessage::QuotaReply { query_id: *query_id, wait: taken.err() });
}

/// The bucket that this daemon takes tokens from, as the customer's home or in its place. Who asks
/// may see another fleet than this daemon; two homes would grant twice.
fn source_here<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    customer: &CustomerId,
    substitute: bool,
) -> QuotaSource {
    let now = gateway.now();
    let members = lock(&gateway.members);
    match members.home(now, customer) {
        None if !substitute => QuotaSource::Home(members.reachable_share(now)),
        _ => QuotaSource::Substitute,
    }
}

enum HomeWord {
    Said(Result<(), Duration>),
    /// This daemon is the home, or is asked in its place.
    Own(bool),
    Silent,
}

async fn ask_home<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    request: &RequestId,
    customer: &CustomerId,
    tokens: u64,
    substitute: bool,
) -> HomeWord {
    let home = lock(&gateway.members).home(gateway.now(), customer);
    let Some(home) = home else { return HomeWord::Own(substitute) };
    let (query_id, mut receiver) = gateway.peer_socket.register_query();
    let question = QuotaQuery { query_id, customer: customer.clone(), tokens, substitute };
    let question = PeerMessage::QuotaQuery(question);
    for _ in 0..ASKED {
        gateway.peer_socket.send(&[home.address], &question);
        match tokio::time::timeout(ANSWER_TIME, &mut receiver).await {
            Ok(Ok(None)) => return HomeWord::Said(Ok(())),
            Ok(Ok(Some(wait))) => return HomeWord::Said(Err(wait)),
            Ok(Err(_)) => break,
            Err(_) => {}
        }
    }
    lock(&gateway.members).mark_unresponsive(gateway.now(), &home.id);
    tracing::info!(%request, %customer, home = %home.id, "rate: the home is silent");
    HomeWord::Silent
}
