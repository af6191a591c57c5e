//! The client of the platform's services over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use ports::{
    CommitResult, Member, MemberList, ObjectStore, Row, StoreError, TableStore, Transaction,
    WeightStore,
};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::client::{CallError, Connection, HttpClient};

use crate::wire;

/// The longest answer that is accepted from the platform, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The delay before the first retry of a read; it doubles with each retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection whose sent bytes stay unacknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// The addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddress {
    /// The list of instances.
    pub list: SocketAddr,
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// A client of the platform's services. Each call, with all its retries, lasts at most `deadline`.
/// Reads are retried while they fail; writes are sent once, as they may have taken effect.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: HttpClient,
    address: PlatformAddress,
    deadline: Duration,
}

impl PlatformClient {
    /// A client of the services at `address`.
    pub fn new(address: PlatformAddress, deadline: Duration) -> PlatformClient {
        PlatformClient { client: HttpClient::new(UNACKED_TIMEOUT), address, deadline }
    }

    /// Sends a request once. Status 503 and 429 mean that it had no effect; after any other server
    /// error it may have had one.
    async fn send_once(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body.into())
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let call = self.client.call(request, Connection::Pooled, self.deadline, MAX_ANSWER_BYTES);
        let answer = call.await.map_err(store_error)?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Unavailable(answer.status().as_str().into()))
            }
            it if it.is_server_error() => Err(StoreError::AnswerLost(it.as_str().into())),
            _ => Ok(answer),
        }
    }

    /// Sends a read, and retries it with exponential backoff and jitter until it is answered or the
    /// deadline has passed.
    async fn send_with_retries(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        let attempts = async {
            let mut delay = FIRST_RETRY_DELAY;
            loop {
                let res = self.send_once(method.clone(), address, path, body.clone()).await;
                let Err(error) = res else { return res };
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(delay.mul_f64(jitter)).await;
                delay *= 2;
                if delay > self.deadline {
                    return Err(error);
                }
            }
        };
        match tokio::time::timeout(self.deadline, attempts).await {
            Ok(res) => res,
            Err(_) => Err(StoreError::Unavailable("no answer within the deadline".into())),
        }
    }
}

impl TableStore for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let body = encode(&wire::ReadRequest { key: key.into() });
        let res = self.send_with_retries(Method::POST, self.address.table, "/v1/table/read", body);
        let answer: wire::RowsAnswer = decode(&res.await?)?;
        Ok(answer.rows.into_iter().next())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let body = encode(&wire::ScanRequest { prefix: prefix.into(), after: after.into(), limit });
        let res = self.send_with_retries(Method::POST, self.address.table, "/v1/table/scan", body);
        let answer: wire::RowsAnswer = decode(&res.await?)?;
        Ok(answer.rows)
    }

    async fn commit(&self, txn: Transaction) -> Result<CommitResult, StoreError> {
        let body = encode(&txn);
        let res =
            self.send_once(Method::POST, self.address.table, "/v1/table/commit", body).await?;
        // If the answer cannot be parsed, the transaction may still have been committed.
        let answer: Result<wire::CommitAnswer, StoreError> = decode(&res);
        answer.map(|it| it.commit).map_err(|it| StoreError::AnswerLost(it.to_string().into()))
    }
}

impl ObjectStore for PlatformClient {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/objects/{name}");
        let answer =
            self.send_with_retries(Method::GET, self.address.objects, &path, Bytes::new()).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            it if it.is_success() => Ok(Some(answer.into_body())),
            it => Err(StoreError::Malformed(it.as_str().into())),
        }
    }

    async fn put(&self, name: &str, data: Bytes) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{name}");
        let answer = self.send_once(Method::PUT, self.address.objects, &path, data).await?;
        check_success(&answer)
    }
}

impl WeightStore for PlatformClient {
    async fn has(&self, name: &str) -> Result<bool, StoreError> {
        let path = format!("/v1/weights/{name}");
        let answer =
            self.send_with_retries(Method::GET, self.address.weights, &path, Bytes::new()).await?;
        Ok(answer.status().is_success())
    }
}

impl MemberList for PlatformClient {
    async fn members(&self) -> Result<Vec<Member>, StoreError> {
        let answer = self
            .send_with_retries(Method::GET, self.address.list, "/v1/instances", Bytes::new())
            .await?;
        let answer: wire::MembersAnswer = decode(&answer)?;
        Ok(answer.members)
    }

    async fn announce(&self, member: &Member) -> Result<(), StoreError> {
        let body = encode(member);
        let answer = self.send_once(Method::PUT, self.address.list, "/v1/instances", body).await?;
        check_success(&answer)
    }
}

/// Maps the error of a call to whether the call may have taken effect.
fn store_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(text) => StoreError::Unavailable(text),
        it => StoreError::AnswerLost(it.to_string().into()),
    }
}

/// Turns any status but success into an error.
fn check_success(answer: &Response<Bytes>) -> Result<(), StoreError> {
    if answer.status().is_success() {
        return Ok(());
    }
    Err(StoreError::Malformed(answer.status().as_str().into()))
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Parses the JSON body of a successful answer.
fn decode<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, StoreError> {
    if !answer.status().is_success() {
        return Err(StoreError::Malformed(answer.status().as_str().into()));
    }
    serde_json::from_slice(answer.body())
        .map_err(|error| StoreError::Malformed(error.to_string().into()))
}
