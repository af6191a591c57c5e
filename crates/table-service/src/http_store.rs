//! The platform's services over HTTP.

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

/// Longest answer read from the platform.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// First pause before a read is repeated; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Connections with bytes unacknowledged for this long are given up.
const SILENCE: Duration = Duration::from_secs(3);

/// Where the platform's services listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddress {
    /// The instance list.
    pub list: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// The platform's services. One try of a call lasts at most `deadline`; reads are repeated
/// within it while the store refuses them.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    caller: HttpClient,
    address: PlatformAddress,
    deadline: Duration,
}

impl PlatformClient {
    /// A client of the services at `address`.
    pub fn new(address: PlatformAddress, deadline: Duration) -> PlatformClient {
        PlatformClient { caller: HttpClient::new(SILENCE), address, deadline }
    }

    async fn once(
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
        let call = self.caller.call(request, Connection::Pooled, self.deadline, MAX_ANSWER_BYTES);
        let answer = call.await.map_err(store_error)?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Unavailable(answer.status().as_str().into()))
            }
            it if it.is_server_error() => Err(StoreError::AnswerLost(it.as_str().into())),
            _ => Ok(answer),
        }
    }

    /// Repeats a call without effect until it is answered or the deadline has passed.
    async fn repeated(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        let tries = async {
            let mut pause = FIRST_PAUSE;
            loop {
                let res = self.once(method.clone(), address, path, body.clone()).await;
                let Err(error) = res else { return res };
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause *= 2;
                if pause > self.deadline {
                    return Err(error);
                }
            }
        };
        match tokio::time::timeout(self.deadline, tries).await {
            Ok(res) => res,
            Err(_) => Err(StoreError::Unavailable("no answer in time".into())),
        }
    }
}

impl TableStore for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let body = encode(&wire::ReadRequest { key: key.into() });
        let res = self.repeated(Method::POST, self.address.table, "/v1/table/read", body);
        let answer: wire::RowsAnswer = decode(&res.await?)?;
        Ok(answer.rows.into_iter().next())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let body = encode(&wire::ScanRequest { prefix: prefix.into(), after: after.into(), limit });
        let res = self.repeated(Method::POST, self.address.table, "/v1/table/scan", body);
        let answer: wire::RowsAnswer = decode(&res.await?)?;
        Ok(answer.rows)
    }

    async fn commit(&self, txn: Transaction) -> Result<CommitResult, StoreError> {
        let body = encode(&txn);
        let res = self.once(Method::POST, self.address.table, "/v1/table/commit", body).await?;
        // An answer that cannot be read does not say that nothing happened.
        let answer: Result<wire::CommitAnswer, StoreError> = decode(&res);
        answer.map(|it| it.commit).map_err(|it| StoreError::AnswerLost(it.to_string().into()))
    }
}

impl ObjectStore for PlatformClient {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/objects/{name}");
        let answer = self.repeated(Method::GET, self.address.objects, &path, Bytes::new()).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            it if it.is_success() => Ok(Some(answer.into_body())),
            it => Err(StoreError::Malformed(it.as_str().into())),
        }
    }

    async fn put(&self, name: &str, data: Bytes) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{name}");
        let answer = self.once(Method::PUT, self.address.objects, &path, data).await?;
        succeed(&answer)
    }
}

impl WeightStore for PlatformClient {
    async fn has(&self, name: &str) -> Result<bool, StoreError> {
        let path = format!("/v1/weights/{name}");
        let answer = self.repeated(Method::GET, self.address.weights, &path, Bytes::new()).await?;
        Ok(answer.status().is_success())
    }
}

impl MemberList for PlatformClient {
    async fn members(&self) -> Result<Vec<Member>, StoreError> {
        let answer =
            self.repeated(Method::GET, self.address.list, "/v1/instances", Bytes::new()).await?;
        let answer: wire::MembersAnswer = decode(&answer)?;
        Ok(answer.members)
    }

    async fn announce(&self, member: &Member) -> Result<(), StoreError> {
        let body = encode(member);
        let answer = self.once(Method::PUT, self.address.list, "/v1/instances", body).await?;
        succeed(&answer)
    }
}

fn store_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(text) => StoreError::Unavailable(text),
        it => StoreError::AnswerLost(it.to_string().into()),
    }
}

fn succeed(answer: &Response<Bytes>) -> Result<(), StoreError> {
    if answer.status().is_success() {
        return Ok(());
    }
    Err(StoreError::Malformed(answer.status().as_str().into()))
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn decode<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, StoreError> {
    if !answer.status().is_success() {
        return Err(StoreError::Malformed(answer.status().as_str().into()));
    }
    serde_json::from_slice(answer.body())
        .map_err(|error| StoreError::Malformed(error.to_string().into()))
}
