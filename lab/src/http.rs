//! An HTTP client for the lab's own requests.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::time::Duration,
    tokio::time::timeout,
};

/// Time for one of the lab's own requests.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A request that got no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The request cannot be built.
    #[error("the request is not valid")]
    Invalid,
    /// No answer came.
    #[error("no answer")]
    NoResponse,
    /// The answer was cut.
    #[error("the answer was cut")]
    ResponseCutOff,
}

/// A whole answer.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Head of the answer.
    pub head: Response<()>,
    /// Body.
    pub body: Bytes,
}

/// A client with a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { http: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    /// Fails when the answer does not come, or is cut.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<CompleteResponse, HttpError> {
        let whole = async {
            let res: Response<Incoming> =
                self.http.request(req).await.map_err(|_e| HttpError::NoResponse)?;
            let (parts, body) = res.into_parts();
            let body = body.collect().await.map_err(|_e| HttpError::ResponseCutOff)?.to_bytes();
            Ok(CompleteResponse { head: Response::from_parts(parts, ()), body })
        };
        timeout(TIMEOUT, whole).await.map_err(|_e| HttpError::NoResponse)?
    }

    /// Posts a JSON value.
    ///
    /// # Errors
    /// Fails when the answer does not come, or is cut.
    pub async fn post_json(&self, uri: &str, value: &Value) -> Result<CompleteResponse, HttpError> {
        self.send_json(Method::POST, uri, value).await
    }

    /// Sends a JSON value.
    ///
    /// # Errors
    /// Fails when the answer does not come, or is cut.
    pub async fn send_json(
        &self,
        method: Method,
        uri: &str,
        value: &Value,
    ) -> Result<CompleteResponse, HttpError> {
        let body = Full::new(Bytes::from(value.to_string()));
        let req = Request::builder().method(method).uri(uri).body(body);
        self.send(req.map_err(|_e| HttpError::Invalid)?).await
    }

    async fn fetch(&self, uri: &str) -> Result<CompleteResponse, HttpError> {
        let req = Request::get(uri).body(Full::new(Bytes::new()));
        self.send(req.map_err(|_e| HttpError::Invalid)?).await
    }

    /// Gets the status of an answer.
    ///
    /// # Errors
    /// Fails when the answer does not come, or is cut.
    pub async fn get_status(&self, uri: &str) -> Result<u16, HttpError> {
        let answer = self.fetch(uri).await?;
        Ok(answer.head.status().as_u16())
    }

    /// Gets a text.
    ///
    /// # Errors
    /// Fails when the answer does not come, or is cut.
    pub async fn get(&self, uri: &str) -> Result<String, HttpError> {
        let answer = self.fetch(uri).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }
}
