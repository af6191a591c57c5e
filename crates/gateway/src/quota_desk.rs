//! Takes a request's tokens from its customer's bucket, here or at the customer's home.

use std::sync::Arc;
use std::time::Duration;

use ids::{CustomerId, ErrorKind};
use policy::customer_quota::QuotaSource;

use crate::config::CustomerRule;
use crate::dialect::Dialect;
use crate::digest::PeerMessage;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::refusal::CallRefusal;

/// How long a customer's home may take to answer before it is asked again: datagrams get lost.
const ANSWER_TIME: Duration = Duration::from_millis(35);
/// Times that one home is asked.
const ASKED: u32 = 2;
/// Homes that are tried in turn.
const HOMES: u32 = 2;

/// Takes tokens, or refuses the request with the time after which they will be there.
pub(crate) async fn take<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    customer: &CustomerId,
    rule: &CustomerRule,
    tokens: u64,
) -> Result<(), CallRefusal> {
    if rule.rate.0 == 0 {
        return Ok(());
    }
    let mut word = HomeWord::Silent;
    for place in 0..HOMES {
        word = ask_home(gateway, customer, tokens, place > 0).await;
        if !matches!(word, HomeWord::Silent) {
            break;
        }
    }
    let now = gateway.now();
    let taken = match word {
        HomeWord::Said(taken) => {
            lock(&gateway.quotas).hear_home(customer);
            taken
        }
        HomeWord::Own(substitute) => {
            let share = lock(&gateway.members).reachable_share(now);
            let source =
                if substitute { QuotaSource::Substitute } else { QuotaSource::Home(share) };
            lock(&gateway.quotas).take(now, customer, rule.quota_rate(), tokens, source)
        }
        HomeWord::Silent => {
            let share = 1.0 / lock(&gateway.members).most() as f64;
            let source = QuotaSource::Alone(share);
            lock(&gateway.quotas).take(now, customer, rule.quota_rate(), tokens, source)
        }
    };
    taken.map_err(|wait| {
        tracing::info!(%customer, tokens, wait_ms = wait.as_millis() as u64, "rate: refused");
        CallRefusal::not_run(ErrorKind::RateExceeded).retry_after(wait)
    })
}

enum HomeWord {
    Said(Result<(), Duration>),
    /// This daemon is the home, or is asked in its place.
    Own(bool),
    Silent,
}

async fn ask_home<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    customer: &CustomerId,
    tokens: u64,
    substitute: bool,
) -> HomeWord {
    let home = lock(&gateway.members).home(gateway.now(), customer);
    let Some(home) = home else { return HomeWord::Own(substitute) };
    let (ticket, receiver) = gateway.peers.ask();
    let question = PeerMessage::Take { ticket, customer: customer.clone(), tokens, substitute };
    let mut receiver = receiver;
    for _ in 0..ASKED {
        gateway.peers.send(&[home.address], &question);
        match tokio::time::timeout(ANSWER_TIME, &mut receiver).await {
            Ok(Ok(None)) => return HomeWord::Said(Ok(())),
            Ok(Ok(Some(wait))) => return HomeWord::Said(Err(wait)),
            Ok(Err(_)) => break,
            Err(_) => {}
        }
    }
    lock(&gateway.members).miss(gateway.now(), &home.id);
    tracing::info!(%customer, home = %home.id, "rate: the home is silent");
    HomeWord::Silent
}
