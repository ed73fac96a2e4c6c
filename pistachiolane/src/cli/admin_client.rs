//! HTTP client for a node's admin address.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time limit for a response; a change waits for the acknowledgements of the regions.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason for which a request to a node failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The address cannot be parsed.
    #[error("--node: `{0}` is not an IP address and port such as 127.0.0.1:8083")]
    Address(String),
    /// No connection could be established; nothing was sent.
    #[error("cannot connect to a node at {0}; start one, or specify another with --node")]
    Unreachable(SocketAddr),
    /// The request was sent, but no response arrived.
    #[error("the response of the node at {0} was lost")]
    ResponseLost(SocketAddr),
}

/// Options of a request that changes settings.
#[derive(Debug, Default)]
pub struct ChangeOptions {
    /// Version that the subtree must have for the change to be written.
    pub if_version: Option<u64>,
    /// Access token of the team.
    pub token: Option<String>,
}

/// Response of a node.
#[derive(Debug)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; a JSON string with the raw text if it is not JSON.
    pub body: Value,
}

/// Client for the admin address of one node.
#[derive(Debug)]
pub struct AdminClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Creates a client for the node at an address.
    ///
    /// # Errors
    /// Fails when the address cannot be parsed.
    pub fn new(address: &str) -> Result<Self, AdminError> {
        let parsed = address.parse();
        let address = parsed.map_err(|_e| AdminError::Address(address.to_owned()))?;
        Ok(Self { address, http: Client::builder(TokioExecutor::new()).build_http() })
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    /// Fails when the node cannot be reached or its response is lost.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        options: &ChangeOptions,
    ) -> Result<AdminResponse, AdminError> {
        let mut req = Request::builder().method(method).uri(format!(
            "http://{}/{}",
            self.address,
            path.trim_start_matches('/')
        ));
        if let Some(version) = options.if_version {
            req = req.header("if-version", version);
        }
        if let Some(token) = &options.token {
            req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let bytes = body.map_or_else(Bytes::new, |v| Bytes::from(v.to_string()));
        let req = req.body(Full::new(bytes)).map_err(|_e| AdminError::Unreachable(self.address))?;
        let exchange = async {
            let res = self.http.request(req).await.map_err(|e| {
                if e.is_connect() {
                    AdminError::Unreachable(self.address)
                } else {
                    AdminError::ResponseLost(self.address)
                }
            })?;
            let status = res.status();
            let body = res.into_body().collect().await;
            let bytes = body.map_err(|_e| AdminError::ResponseLost(self.address))?.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&bytes).trim_end().to_owned());
            let body = serde_json::from_slice(&bytes).unwrap_or_else(|_e| text());
            Ok(AdminResponse { status, body })
        };
        let lost = |_e| AdminError::ResponseLost(self.address);
        timeout(REQUEST_TIMEOUT, exchange).await.map_err(lost)?
    }
}
