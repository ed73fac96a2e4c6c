//! HTTP client of the lab.

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

/// Time limit for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why a request received no complete response. The soak run counts outcomes by these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The request could not be built from the URI and headers.
    #[error("invalid request")]
    Invalid,
    /// The connection failed before the response headers, or the time limit was exceeded.
    #[error("no response")]
    NoResponse,
    /// The body of the response was invalid or not complete when the connection ended.
    #[error("response cut off")]
    ResponseCutOff,
}

/// A response with its complete body.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Status and headers.
    pub head: Response<()>,
    /// Body.
    pub body: Bytes,
}

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Returns a client with an empty connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// Fails if no complete response arrives within the time limit.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<CompleteResponse, HttpError> {
        let exchange = async {
            let res: Response<Incoming> =
                self.client.request(req).await.map_err(|_e| HttpError::NoResponse)?;
            let (parts, body) = res.into_parts();
            let body = body.collect().await.map_err(|_e| HttpError::ResponseCutOff)?.to_bytes();
            Ok(CompleteResponse { head: Response::from_parts(parts, ()), body })
        };
        timeout(REQUEST_TIMEOUT, exchange).await.map_err(|_e| HttpError::NoResponse)?
    }

    /// Sends a JSON value with POST.
    ///
    /// # Errors
    /// Fails if the URI is not valid or no complete response arrives within the time limit.
    pub async fn post_json(&self, uri: &str, value: &Value) -> Result<CompleteResponse, HttpError> {
        self.send_json(Method::POST, uri, value).await
    }

    /// Sends a JSON value with the given method.
    ///
    /// # Errors
    /// Fails if the URI is not valid or no complete response arrives within the time limit.
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

    async fn get_response(&self, uri: &str) -> Result<CompleteResponse, HttpError> {
        let req = Request::get(uri).body(Full::new(Bytes::new()));
        self.send(req.map_err(|_e| HttpError::Invalid)?).await
    }

    /// Sends a GET request and returns the status of the response.
    ///
    /// # Errors
    /// Fails if the URI is not valid or no complete response arrives within the time limit.
    pub async fn get_status(&self, uri: &str) -> Result<u16, HttpError> {
        let response = self.get_response(uri).await?;
        Ok(response.head.status().as_u16())
    }

    /// Sends a GET request and returns the body of the response as text, whatever the status.
    ///
    /// # Errors
    /// Fails if the URI is not valid or no complete response arrives within the time limit.
    pub async fn get(&self, uri: &str) -> Result<String, HttpError> {
        let response = self.get_response(uri).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }
}
