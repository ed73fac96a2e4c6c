//! Bodies of requests and answers as they pass through a node.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    std::{
        error::Error,
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Any error of a body.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A body that is streamed or whole.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A streamed body.
pub fn stream(body: Incoming) -> Body {
    body.map_err(Into::into).boxed_unsync()
}

/// A body that drops a guard when it ends or is dropped.
pub struct Guarded<G> {
    inner: Body,
    guard: Option<G>,
}

impl<G> Guarded<G> {
    /// Ties a guard to the life of a body.
    pub fn new(inner: Body, guard: G) -> Self {
        let guard = (!inner.is_end_stream()).then_some(guard);
        Self { inner, guard }
    }
}

impl<G> fmt::Debug for Guarded<G> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Guarded").field("ended", &self.guard.is_none()).finish_non_exhaustive()
    }
}

impl<G: Unpin> HttpBody for Guarded<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let ended = match &polled {
            Poll::Ready(None | Some(Err(_))) => true,
            Poll::Ready(Some(Ok(_))) => self.inner.is_end_stream(),
            Poll::Pending => false,
        };
        if ended {
            self.guard = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
