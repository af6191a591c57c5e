//! Taking tokens of a customer's rate from whoever holds its parts.

use std::time::Duration;

use catalog::Customer;
use control::TakeResult;
use ids::{ErrorKind, InstanceId, Refusal};
use peers::{PeerError, PeerRequest, PeerResponse};

use crate::background;
use crate::router::Router;

/// The shortest pause before tokens are asked for again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

/// Tokens taken for one request.
#[derive(Debug)]
pub(crate) struct RateTicket {
    takings: Vec<Taking>,
}

#[derive(Debug)]
struct Taking {
    holder: InstanceId,
    ticket: u64,
    tokens: u64,
}

/// What one holder answered.
enum HolderAnswer {
    Taken(u64),
    Short(Option<Duration>),
    Absent,
}

/// Takes `tokens` for a request, waiting a little if the customer is just short.
pub(crate) async fn take_tokens(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateTicket, Refusal> {
    if tokens > customer.burst.0 {
        let detail = format!("{tokens} tokens are more than the burst of {}", customer.burst);
        return Err(Refusal::not_run(ErrorKind::RateExceeded).detail(detail));
    }
    let until = router.now() + router.settings.timeouts.rate_wait_ms.duration();
    loop {
        let (retry, answered) = match try_once(router, customer, tokens).await {
            Ok(ticket) => return Ok(ticket),
            Err(it) => it,
        };
        let pause = retry.unwrap_or(Duration::from_millis(100)).max(SHORTEST_PAUSE);
        if router.now() + pause > until {
            let kind = if answered { ErrorKind::RateExceeded } else { ErrorKind::RateUnavailable };
            let seconds = pause.as_secs() as u32 + 1;
            return Err(Refusal::not_run(kind).retry_after(seconds));
        }
        tokio::time::sleep(pause).await;
    }
}

/// Gives back what the request did not use.
pub(crate) async fn settle(router: &Router, ticket: RateTicket, used: u64) {
    let mut used = used;
    for taking in ticket.takings {
        let spent = used.min(taking.tokens);
        used -= spent;
        if spent < taking.tokens {
            refund(router, &taking, taking.tokens - spent).await;
        }
    }
}

/// One round over the holders: first all from one of them, then pieces from several.
async fn try_once(
    router: &Router,
    customer: &Customer,
    tokens: u64,
) -> Result<RateTicket, (Option<Duration>, bool)> {
    let mut holders = router.shares.holders(&customer.id);
    if holders.is_empty() {
        // A new customer: its first home has just made its parts, or is about to.
        router.poll_wakeup.notify_one();
        background::ask_peers_for_parts(router).await;
        holders = router.shares.holders(&customer.id);
    }
    let mut holders: Vec<InstanceId> = holders.into_iter().map(|(id, _)| id).collect();
    let turn = rand::random_range(0..holders.len().max(1));
    holders.rotate_left(turn);
    if let Some(at) = holders.iter().position(|it| *it == router.instance_id) {
        holders.swap(0, at);
    }
    let mut retry: Option<Duration> = None;
    let mut answered = false;
    let mut ticket = RateTicket { takings: Vec::new() };
    let mut missing = tokens;
    // The second round pieces together what no single part holds.
    for (round, minimum) in [tokens, 1].into_iter().enumerate() {
        for holder in &holders {
            let number = rand::random();
            let minimum = minimum.min(missing);
            match ask(router, customer, holder, missing, minimum, number).await {
                HolderAnswer::Taken(taken) => {
                    answered = true;
                    let holder = holder.clone();
                    ticket.takings.push(Taking { holder, ticket: number, tokens: taken });
                    missing -= taken.min(missing);
                }
                HolderAnswer::Short(after) => {
                    answered = true;
                    if round == 0 {
                        retry = retry.into_iter().chain(after).min();
                    }
                }
                HolderAnswer::Absent => {}
            }
            if missing == 0 {
                router.metrics.rate_asks.with_label_values(&["taken"]).inc();
                return Ok(ticket);
            }
        }
        if holders.len() < 2 {
            break;
        }
    }
    let result = if answered { "short" } else { "absent" };
    router.metrics.rate_asks.with_label_values(&[result]).inc();
    for taking in &ticket.takings {
        refund(router, taking, taking.tokens).await;
    }
    Err((retry, answered))
}

async fn ask(
    router: &Router,
    customer: &Customer,
    holder: &InstanceId,
    tokens: u64,
    minimum: u64,
    ticket: u64,
) -> HolderAnswer {
    if *holder == router.instance_id {
        return match router.shares.take(customer, tokens, minimum, ticket) {
            TakeResult::Taken(it) => HolderAnswer::Taken(it),
            TakeResult::Insufficient(it) => HolderAnswer::Short(it),
            TakeResult::NotHolder => HolderAnswer::Absent,
        };
    }
    let Some((address, _)) = router.members.address(holder) else { return HolderAnswer::Absent };
    let request =
        PeerRequest::TakeTokens { customer: customer.id.clone(), tokens, minimum, ticket };
    match router.peers.call(address, &request).await {
        Ok(PeerResponse::Taken { tokens: 0, retry_after_ms }) => {
            HolderAnswer::Short(retry_after_ms.map(Duration::from_millis))
        }
        Ok(PeerResponse::Taken { tokens, .. }) => HolderAnswer::Taken(tokens),
        Ok(_) | Err(PeerError::NotSent(_)) => HolderAnswer::Absent,
        Err(PeerError::AnswerLost(_)) => {
            // What it may have given is spent: asking again could only take more.
            router.metrics.rate_asks.with_label_values(&["lost"]).inc();
            HolderAnswer::Absent
        }
    }
}

async fn refund(router: &Router, taking: &Taking, tokens: u64) {
    if taking.holder == router.instance_id {
        router.shares.refund(taking.ticket, tokens);
        return;
    }
    let Some((address, _)) = router.members.address(&taking.holder) else { return };
    let request = PeerRequest::RefundTokens { ticket: taking.ticket, tokens };
    // A lost refund loses tokens and never makes any.
    let _ = router.peers.call(address, &request).await;
}
