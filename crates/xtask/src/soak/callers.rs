//! Callers that use kept connections, and send orders and prompts through all daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::Instant;
use web::client::{CallError, Connection, HttpClient};

use crate::fleet::ChoreError;
use crate::soak::ledger::{self, CallLedger, SentOrder};

/// How long a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(12);
/// The pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Longest answer read.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Pieces of an answer that a prompt asks for.
const PIECES: u64 = 20;

/// One caller.
#[derive(Debug, Clone)]
pub(crate) struct SoakCaller {
    pub(crate) name: String,
    pub(crate) daemons: Vec<SocketAddr>,
    pub(crate) key: String,
    /// What it does when is drawn from this.
    pub(crate) seed: u64,
}

impl SoakCaller {
    /// Calls until `until`; returns what came of it.
    pub(crate) async fn call_until(self, until: Instant) -> Result<CallLedger, ChoreError> {
        let caller = HttpClient::new(PATIENCE);
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut seen = CallLedger::default();
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let daemon = random.random_range(0..self.daemons.len());
            match random.random_range(0..3) {
                0 => self.order(&caller, daemon, number, false, &mut seen).await?,
                1 => {
                    // The same order once more, as a caller does that got no answer.
                    self.order(&caller, daemon, number, true, &mut seen).await?;
                    let other = (daemon + 1) % self.daemons.len();
                    self.order(&caller, other, number, true, &mut seen).await?;
                }
                _ => self.prompt(&caller, daemon, number, &mut seen).await?,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(seen)
    }

    /// Sends one order to one daemon.
    pub(crate) async fn order(
        &self,
        caller: &HttpClient,
        daemon: usize,
        number: u64,
        keyed: bool,
        seen: &mut CallLedger,
    ) -> Result<(), ChoreError> {
        let id = format!("{}-{number}", self.name);
        let body = json!({ "order": id }).to_string();
        let key = keyed.then_some(id.as_str());
        let answer = self.send(caller, daemon, "/orders", key, &body).await?;
        let end = ledger::read_order(&answer);
        seen.orders.push(SentOrder { body, keyed, end });
        Ok(())
    }

    /// Sends one prompt to one daemon.
    pub(crate) async fn prompt(
        &self,
        caller: &HttpClient,
        daemon: usize,
        number: u64,
        seen: &mut CallLedger,
    ) -> Result<(), ChoreError> {
        let question = format!("question {number} of {}", self.name);
        let body = json!({
            "model": "desk", "stream": true, "max_tokens": PIECES,
            "messages": [{ "role": "user", "content": question }],
        });
        let path = "/v1/chat/completions";
        let answer = self.send(caller, daemon, path, None, &body.to_string()).await?;
        let prompt = format!("user\n{question}\n");
        seen.streams.push(ledger::read_stream(&answer, &prompt, PIECES));
        Ok(())
    }

    async fn send(
        &self,
        caller: &HttpClient,
        daemon: usize,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<Result<Response<Bytes>, CallError>, ChoreError> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.daemons[daemon]))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Bytes::copy_from_slice(body.as_bytes()).into())?;
        Ok(caller.call(request, Connection::Pooled, PATIENCE, MAX_ANSWER_BYTES).await)
    }
}
