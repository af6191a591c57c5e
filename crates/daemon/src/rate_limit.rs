//! Enforces customers' rates: takes tokens from the daemons that hold the shares of a rate.

use std::time::Duration;

use catalog::Customer;
use control::TakeResult;
use ids::{ErrorKind, InstanceId, Refusal};
use peers::{PeerError, PeerRequest, PeerResponse};

use crate::background;
use crate::router::Router;

/// Shortest delay before tokens are requested again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The tokens taken for one request, by holder.
#[derive(Debug)]
pub(crate) struct RateGrant {
    grants: Vec<HolderGrant>,
}

/// Tokens taken from one holder; `ticket` identifies the taking in a refund.
#[derive(Debug)]
struct HolderGrant {
    holder: InstanceId,
    ticket: u64,
    tokens: u64,
}

/// The reply of one holder.
enum TakeReply {
    Taken(u64),
    /// The holder has too few tokens; it has enough after this time, if known.
    Insufficient(Option<Duration>),
    /// It holds no share, could not be reached, or its answer was lost.
    Absent,
}

/// Takes `tokens` for a request, retrying up to the setting `rate_wait_ms` while there are too
/// few. Refuses with `RateExceeded` if a holder answered, and with `RateUnavailable` if none did.
pub(crate) async fn take_tokens(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateGrant, Refusal> {
    if tokens > customer.burst.0 {
        let detail = format!("{tokens} tokens are more than the burst of {}", customer.burst);
        return Err(Refusal::not_run(ErrorKind::RateExceeded).detail(detail));
    }
    let deadline = router.now() + router.settings.timeouts.rate_wait_ms.duration();
    loop {
        let (retry_after, answered) = match take_from_holders(router, customer, tokens).await {
            Ok(rate_grant) => return Ok(rate_grant),
            Err(it) => it,
        };
        let pause = retry_after.unwrap_or(Duration::from_millis(100)).max(MIN_RETRY_DELAY);
        if router.now() + pause > deadline {
            let kind = if answered { ErrorKind::RateExceeded } else { ErrorKind::RateUnavailable };
            let seconds = pause.as_secs() as u32 + 1;
            return Err(Refusal::not_run(kind).retry_after(seconds));
        }
        tokio::time::sleep(pause).await;
    }
}

/// Refunds what the request did not use of its grant.
pub(crate) async fn refund_unused(router: &Router, rate_grant: RateGrant, used: u64) {
    let mut used = used;
    for grant in rate_grant.grants {
        let spent = used.min(grant.tokens);
        used -= spent;
        if spent < grant.tokens {
            refund(router, &grant, grant.tokens - spent).await;
        }
    }
}

/// Tries to take all tokens from a single holder, then a part from each of several. If the sum
/// stays short, refunds what was taken and returns when to retry and whether any holder answered.
async fn take_from_holders(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateGrant, (Option<Duration>, bool)> {
    let mut holders = router.shares.holders(&customer.id);
    if holders.is_empty() {
        // A new customer: the first daemon by rendezvous has just created its shares or is about
        // to.
        router.poll_wakeup.notify_one();
        background::fetch_shares_from_peers(router).await;
        holders = router.shares.holders(&customer.id);
    }
    let mut holders: Vec<InstanceId> = holders.into_iter().map(|(id, _)| id).collect();
    let offset = rand::random_range(0..holders.len().max(1));
    holders.rotate_left(offset);
    if let Some(at) = holders.iter().position(|it| *it == router.instance_id) {
        holders.swap(0, at);
    }
    let mut retry_after: Option<Duration> = None;
    let mut answered = false;
    let mut rate_grant = RateGrant { grants: Vec::new() };
    let mut remaining = tokens;
    // The second round combines tokens of several shares when no single one has enough.
    for (round, minimum) in [tokens, 1].into_iter().enumerate() {
        for holder in &holders {
            let ticket = rand::random();
            let minimum = minimum.min(remaining);
            match take_from_holder(router, customer, holder, remaining, minimum, ticket).await {
                TakeReply::Taken(taken) => {
                    answered = true;
                    let holder = holder.clone();
                    rate_grant.grants.push(HolderGrant { holder, ticket, tokens: taken });
                    remaining -= taken.min(remaining);
                }
                TakeReply::Insufficient(after) => {
                    answered = true;
                    if round == 0 {
                        retry_after = retry_after.into_iter().chain(after).min();
                    }
                }
                TakeReply::Absent => {}
            }
            if remaining == 0 {
                router.metrics.rate_requests.with_label_values(&["taken"]).inc();
                return Ok(rate_grant);
            }
        }
        if holders.len() < 2 {
            break;
        }
    }
    let result = if answered { "short" } else { "absent" };
    router.metrics.rate_requests.with_label_values(&[result]).inc();
    for grant in &rate_grant.grants {
        refund(router, grant, grant.tokens).await;
    }
    Err((retry_after, answered))
}

/// Takes between `minimum` and `tokens` tokens from one holder, this daemon or a peer.
async fn take_from_holder(
    router: &Router,
    customer: &Customer,
    holder: &InstanceId,
    tokens: u64,
    minimum: u64,
    ticket: u64,
) -> TakeReply {
    if *holder == router.instance_id {
        return match router.shares.take(customer, tokens, minimum, ticket) {
            TakeResult::Taken(it) => TakeReply::Taken(it),
            TakeResult::Insufficient(it) => TakeReply::Insufficient(it),
            TakeResult::NotHolder => TakeReply::Absent,
        };
    }
    let Some((address, _)) = router.members.peer_address(holder) else { return TakeReply::Absent };
    let request =
        PeerRequest::TakeTokens { customer: customer.id.clone(), tokens, minimum, ticket };
    match router.peers.call(address, &request).await {
        Ok(PeerResponse::Taken { tokens: 0, retry_after_ms }) => {
            TakeReply::Insufficient(retry_after_ms.map(Duration::from_millis))
        }
        Ok(PeerResponse::Taken { tokens, .. }) => TakeReply::Taken(tokens),
        Ok(_) | Err(PeerError::NotSent(_)) => TakeReply::Absent,
        Err(PeerError::AnswerLost(_)) => {
            // The holder may have given the tokens; they count as spent, as asking again could
            // only take more.
            router.metrics.rate_requests.with_label_values(&["lost"]).inc();
            TakeReply::Absent
        }
    }
}

async fn refund(router: &Router, grant: &HolderGrant, tokens: u64) {
    if grant.holder == router.instance_id {
        router.shares.refund(grant.ticket, tokens);
        return;
    }
    let Some((address, _)) = router.members.peer_address(&grant.holder) else { return };
    let request = PeerRequest::RefundTokens { ticket: grant.ticket, tokens };
    // A lost refund loses tokens and never creates any.
    let _ = router.peers.call(address, &request).await;
}
