//! Taking tokens of a customer's rate from whoever holds its parts.

use std::time::Duration;

use catalog::Customer;
use control::TakeResult;
use ids::{ErrorKind, InstanceId, Refusal};
use peers::{PeerError, PeerRequest, PeerResponse};

use crate::background;
use crate::router::Router;

/// The shortest pause before tokens are asked for again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Tokens taken for one request.
#[derive(Debug)]
pub(crate) struct RateGrant {
    grants: Vec<HolderGrant>,
}

#[derive(Debug)]
struct HolderGrant {
    holder: InstanceId,
    ticket: u64,
    tokens: u64,
}

/// What one holder answered.
enum TakeReply {
    Taken(u64),
    Insufficient(Option<Duration>),
    Absent,
}

/// Takes `tokens` for a request, waiting a little if the customer is just short.
pub(crate) async fn take_tokens(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateGrant, Refusal> {
    if tokens > customer.burst.0 {
        let detail = format!("{tokens} tokens are more than the burst of {}", customer.burst);
        return Err(Refusal::not_run(ErrorKind::RateExceeded).detail(detail));
    }
    let until = router.now() + router.settings.timeouts.rate_wait_ms.duration();
    loop {
        let (retry, answered) = match take_from_holders(router, customer, tokens).await {
            Ok(ticket) => return Ok(ticket),
            Err(it) => it,
        };
        let pause = retry.unwrap_or(Duration::from_millis(100)).max(MIN_RETRY_DELAY);
        if router.now() + pause > until {
            let kind = if answered { ErrorKind::RateExceeded } else { ErrorKind::RateUnavailable };
            let seconds = pause.as_secs() as u32 + 1;
            return Err(Refusal::not_run(kind).retry_after(seconds));
        }
        tokio::time::sleep(pause).await;
    }
}

/// Gives back what the request did not use.
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

/// One round over the holders: first all from one of them, then pieces from several.
async fn take_from_holders(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateGrant, (Option<Duration>, bool)> {
    let mut holders = router.shares.holders(&customer.id);
    if holders.is_empty() {
        // A new customer: its first home has just made its parts, or is about to.
        router.poll_wakeup.notify_one();
        background::ask_peers_for_parts(router).await;
        holders = router.shares.holders(&customer.id);
    }
    let mut holders: Vec<InstanceId> = holders.into_iter().map(|(id, _)| id).collect();
    let offset = rand::random_range(0..holders.len().max(1));
    holders.rotate_left(offset);
    if let Some(at) = holders.iter().position(|it| *it == router.instance_id) {
        holders.swap(0, at);
    }
    let mut retry: Option<Duration> = None;
    let mut answered = false;
    let mut ticket = RateGrant { grants: Vec::new() };
    let mut remaining = tokens;
    // The second round pieces together what no single part holds.
    for (round, min_tokens) in [tokens, 1].into_iter().enumerate() {
        for holder in &holders {
            let number = rand::random();
            let min_tokens = min_tokens.min(remaining);
            match take_from_holder(router, customer, holder, remaining, min_tokens, number).await {
                TakeReply::Taken(taken) => {
                    answered = true;
                    let holder = holder.clone();
                    ticket.grants.push(HolderGrant { holder, ticket: number, tokens: taken });
                    remaining -= taken.min(remaining);
                }
                TakeReply::Insufficient(after) => {
                    answered = true;
                    if round == 0 {
                        retry = retry.into_iter().chain(after).min();
                    }
                }
                TakeReply::Absent => {}
            }
            if remaining == 0 {
                router.metrics.rate_requests.with_label_values(&["taken"]).inc();
                return Ok(ticket);
            }
        }
        if holders.len() < 2 {
            break;
        }
    }
    let result = if answered { "short" } else { "absent" };
    router.metrics.rate_requests.with_label_values(&[result]).inc();
    for grant in &ticket.grants {
        refund(router, grant, grant.tokens).await;
    }
    Err((retry, answered))
}

async fn take_from_holder(
    router: &Router,
    customer: &Customer,
    holder: &InstanceId,
    tokens: u64,
    least: u64,
    ticket: u64,
) -> TakeReply {
    if *holder == router.instance_id {
        return match router.shares.take(customer, tokens, least, ticket) {
            TakeResult::Taken(it) => TakeReply::Taken(it),
            TakeResult::Insufficient(it) => TakeReply::Insufficient(it),
            TakeResult::NotHolder => TakeReply::Absent,
        };
    }
    let Some((address, _)) = router.members.peer_address(holder) else { return TakeReply::Absent };
    let request = PeerRequest::Take { customer: customer.id.clone(), tokens, least, ticket };
    match router.peers.call(address, &request).await {
        Ok(PeerResponse::Taken { tokens: 0, retry_after_ms }) => {
            TakeReply::Insufficient(retry_after_ms.map(Duration::from_millis))
        }
        Ok(PeerResponse::Taken { tokens, .. }) => TakeReply::Taken(tokens),
        Ok(_) | Err(PeerError::NotSent(_)) => TakeReply::Absent,
        Err(PeerError::AnswerLost(_)) => {
            // What it may have given is spent: asking again could only take more.
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
    let request = PeerRequest::Refund { ticket: grant.ticket, tokens };
    // A lost refund loses tokens and never makes any.
    let _ = router.peers.call(address, &request).await;
}
