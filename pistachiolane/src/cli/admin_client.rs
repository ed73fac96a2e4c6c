//! Client of a node's admin address.

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

/// Time for an answer; a change waits for the regions' acknowledgements.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Why a node gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The address cannot be read.
    #[error("--node: `{0}` is not an IP address and port such as 127.0.0.1:8083")]
    Address(String),
    /// Nothing was sent.
    #[error("no node answers at {0}; start one, or name another with --node")]
    Unreachable(SocketAddr),
    /// The request was sent, and no answer came.
    #[error("the answer of the node at {0} was lost")]
    ResponseLost(SocketAddr),
}

/// Options of a request that changes settings.
#[derive(Debug, Default)]
pub struct ChangeOptions {
    /// Version that must hold.
    pub if_version: Option<u64>,
    /// Token of the team.
    pub token: Option<String>,
}

/// Answer of a node.
#[derive(Debug)]
pub struct AdminResponse {
    /// Status.
    pub status: StatusCode,
    /// Body; a text if it is not JSON.
    pub body: Value,
}

/// Client of one node.
#[derive(Debug)]
pub struct AdminClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// A client of the node at an address.
    ///
    /// # Errors
    /// Fails when the address cannot be read.
    pub fn new(address: &str) -> Result<Self, AdminError> {
        let parsed = address.parse();
        let address = parsed.map_err(|_e| AdminError::Address(address.to_owned()))?;
        Ok(Self { address, http: Client::builder(TokioExecutor::new()).build_http() })
    }

    /// Sends one request.
    ///
    /// # Errors
    /// Fails when the node cannot be asked or its answer is lost.
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
        timeout(TIMEOUT, exchange).await.map_err(lost)?
    }
}
