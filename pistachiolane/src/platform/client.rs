//! Client of the platform's object API.
//!
//! `GET /v1/objects/KIND/NAME` reads, `PUT …?version=N` writes on condition that N is the present version
//! (0: there is none; 409 otherwise), `GET /v1/objects/KIND` lists, and `…?watch=R&wait_ms=T` waits for
//! changes after revision R.

use {
    super::{Listing, Object, PlatformError, PutAnswer},
    crate::{
        config::WriteResult,
        limits::{MILLI, TokenBucket, platform_share},
        tick::Tick,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Calls that one node may make at once.
const BURST_CALLS: u64 = 16;

/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Client of the object API with the node's share of the fleet's budget.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: Arc<str>,
    http: Client<HttpConnector, Full<Bytes>>,
    budget: Arc<TokenBucket>,
    started: Instant,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl PlatformClient {
    /// A client of the API at a base URL.
    pub fn new(base: Arc<str>) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(2)
            .build_http();
        let budget = Arc::new(TokenBucket::new(platform_share(1, 1, true), BURST_CALLS * MILLI));
        Self { base, http, budget, started: Instant::now() }
    }

    /// Sets this node's share of the budget by the fleet that it knows.
    pub fn share_budget(&self, members: u64, regions: u64, is_watcher: bool) {
        self.budget.set(platform_share(members, regions, is_watcher), BURST_CALLS * MILLI);
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    /// Fails when the platform cannot be asked.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let answer = self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => read(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    /// Writes an object on condition that `expected` is its present version, zero if there is none.
    pub async fn put(&self, kind: &str, name: &str, expected: u64, value: &Value) -> WriteResult {
        let path = format!("/v1/objects/{kind}/{name}?version={expected}");
        let body = Bytes::from(value.to_string());
        match self.call(Method::PUT, &path, body, CALL_TIMEOUT).await {
            Ok(answer) => match answer.status {
                StatusCode::OK => read::<PutAnswer>(&answer.body)
                    .map_or(WriteResult::Lost, |put| WriteResult::Written(put.version)),
                StatusCode::CONFLICT => WriteResult::Conflict,
                status if status.is_server_error() => WriteResult::Lost,
                _ => WriteResult::NotWritten,
            },
            Err(PlatformError::AnswerLost | PlatformError::Malformed) => WriteResult::Lost,
            Err(_) => WriteResult::NotWritten,
        }
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    /// Fails when the platform cannot be asked.
    pub async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.listing(&format!("/v1/objects/{kind}"), CALL_TIMEOUT).await
    }

    /// Waits for changes of a kind after a revision; empty when none came in time.
    ///
    /// # Errors
    /// Fails when the platform cannot be asked.
    pub async fn watch(&self, kind: &str, since: u64) -> Result<Listing, PlatformError> {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = format!("/v1/objects/{kind}?watch={since}&wait_ms={wait_ms}");
        self.listing(&path, WATCH_WAIT + CALL_TIMEOUT).await
    }

    async fn listing(&self, path: &str, limit: Duration) -> Result<Listing, PlatformError> {
        let answer = self.call(Method::GET, path, Bytes::new(), limit).await?;
        match answer.status {
            StatusCode::OK => read(&answer.body),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, PlatformError> {
        let now = Tick(crate::tick::micros(self.started.elapsed()));
        if !self.budget.try_take(now, MILLI) {
            return Err(PlatformError::OverBudget);
        }
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_e| PlatformError::Unreachable)?;
        let exchange = async {
            let answer = self.http.request(req).await.map_err(|e| {
                if e.is_connect() { PlatformError::Unreachable } else { PlatformError::AnswerLost }
            })?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|_e| PlatformError::AnswerLost)?.to_bytes();
            Ok(Answer { status, body })
        };
        timeout(limit, exchange).await.map_err(|_e| PlatformError::AnswerLost)?
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_e| PlatformError::Malformed)
}
