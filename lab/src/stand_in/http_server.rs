//! A minimal HTTP server that calls a handler for each request.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    serde::Serialize,
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// Response body of a stand-in.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Handler error that closes the connection without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub struct Disconnect;

/// Serves connections until `stop` is cancelled, which also closes the open connections.
pub async fn serve<F, Fut>(listener: TcpListener, stop: CancellationToken, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Response<Body>, Disconnect>> + Send + 'static,
{
    loop {
        let socket = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((socket, _)) = socket else { continue };
        let _no_effect = socket.set_nodelay(true);
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            let service = service_fn(handler);
            let http = auto::Builder::new(TokioExecutor::new());
            tokio::select! {
                _ended = http.serve_connection(TokioIo::new(socket), service) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// Builds a response with a text body.
pub fn text_response(code: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut res =
        Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed_unsync());
    *res.status_mut() = code;
    res
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    text_response(code, serde_json::to_vec(value).unwrap_or_default())
}
