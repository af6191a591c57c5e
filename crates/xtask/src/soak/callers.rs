//! Callers that send orders and prompts to randomly chosen daemons over pooled connections.

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
use crate::soak::outcomes::{self, CallOutcomes, SentOrder};

/// Timeout of one call, until its whole answer is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// The pause between two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// The `max_tokens` of each prompt; the engine stand-in generates exactly this many.
const MAX_TOKENS: u64 = 20;

/// A simulated caller, which sends one call at a time.
#[derive(Debug, Clone)]
pub(crate) struct SoakCaller {
    /// Distinguishes its orders and prompts from those of other callers and runs.
    pub(crate) name: String,
    /// Caller-facing addresses of the daemons.
    pub(crate) daemons: Vec<SocketAddr>,
    /// The API key's secret.
    pub(crate) key: String,
    /// Seed of the sequence of calls and daemons.
    pub(crate) seed: u64,
}

impl SoakCaller {
    /// Sends calls until `deadline`; returns their outcomes.
    pub(crate) async fn run_until(self, deadline: Instant) -> Result<CallOutcomes, ChoreError> {
        let client = HttpClient::new(CALL_TIMEOUT);
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut outcomes = CallOutcomes::default();
        let mut number = 0;
        while Instant::now() < deadline {
            number += 1;
            let daemon = random.random_range(0..self.daemons.len());
            match random.random_range(0..3) {
                0 => self.send_order(&client, daemon, number, false, &mut outcomes).await?,
                1 => {
                    // The second attempt is a retry at another daemon, as after a lost answer.
                    self.send_order(&client, daemon, number, true, &mut outcomes).await?;
                    let other = (daemon + 1) % self.daemons.len();
                    self.send_order(&client, other, number, true, &mut outcomes).await?;
                }
                _ => self.send_prompt(&client, daemon, number, &mut outcomes).await?,
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        Ok(outcomes)
    }

    /// Sends one order to one daemon and appends its outcome; `keyed` sends an idempotency key.
    pub(crate) async fn send_order(
        &self,
        client: &HttpClient,
        daemon: usize,
        number: u64,
        keyed: bool,
        outcomes: &mut CallOutcomes,
    ) -> Result<(), ChoreError> {
        let id = format!("{}-{number}", self.name);
        let body = json!({ "order": id }).to_string();
        let key = keyed.then_some(id.as_str());
        let answer = self.post(client, daemon, "/orders", key, &body).await?;
        let outcome = outcomes::parse_order_answer(&answer);
        outcomes.orders.push(SentOrder { body, keyed, outcome });
        Ok(())
    }

    /// Sends one prompt to one daemon and appends the outcome of its stream.
    pub(crate) async fn send_prompt(
        &self,
        client: &HttpClient,
        daemon: usize,
        number: u64,
        outcomes: &mut CallOutcomes,
    ) -> Result<(), ChoreError> {
        let question = format!("question {number} of {}", self.name);
        let body = json!({
            "model": "desk", "stream": true, "max_tokens": MAX_TOKENS,
            "messages": [{ "role": "user", "content": question }],
        });
        let path = "/v1/chat/completions";
        let answer = self.post(client, daemon, path, None, &body.to_string()).await?;
        let prompt = format!("user\n{question}\n");
        outcomes.streams.push(outcomes::check_stream(&answer, &prompt, MAX_TOKENS));
        Ok(())
    }

    async fn post(
        &self,
        client: &HttpClient,
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
        Ok(client.call(request, Connection::Pooled, CALL_TIMEOUT, MAX_ANSWER_BYTES).await)
    }
}
