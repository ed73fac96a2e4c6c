//! Bodies of requests and responses that pass through a node.

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
    tokio::time::{Instant, Sleep, sleep_until},
};

/// Error while reading a body.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Body that is streamed or buffered.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Creates a buffered body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that streams `body`.
pub fn stream(body: Incoming) -> Body {
    body.map_err(Into::into).boxed_unsync()
}

/// Body of which the first bytes were already read.
#[derive(Debug)]
pub struct PrefixedBody {
    prefix: Bytes,
    rest: Body,
}

impl PrefixedBody {
    /// Creates a body that yields `prefix` and then `rest`.
    pub fn new(prefix: Bytes, rest: Body) -> Self {
        Self { prefix, rest }
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.prefix.is_empty() {
            return Pin::new(&mut self.rest).poll_frame(cx);
        }
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (prefix, rest) = (self.prefix.len() as u64, self.rest.size_hint());
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(prefix));
        }
        hint.set_lower(rest.lower().saturating_add(prefix));
        hint
    }
}

/// Body that fails if it has not ended at a time.
pub struct TimedBody {
    inner: Body,
    timer: Pin<Box<Sleep>>,
}

impl TimedBody {
    /// Limits a body to the time until `deadline`.
    pub fn new(inner: Body, deadline: Instant) -> Self {
        Self { inner, timer: Box::pin(sleep_until(deadline)) }
    }
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the response body did not end in time".into())));
        }
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body that passes a guard to a closure once it was read to its end, and otherwise drops the
/// guard.
pub struct GuardedBody<G, F> {
    inner: Body,
    guard: Option<(G, F)>,
}

impl<G, F: FnOnce(G)> GuardedBody<G, F> {
    /// Wraps a body; `on_complete` receives the guard after the last byte.
    pub fn new(inner: Body, guard: G, on_complete: F) -> Self {
        let mut body = Self { inner, guard: Some((guard, on_complete)) };
        if body.inner.is_end_stream() {
            body.complete();
        }
        body
    }

    fn complete(&mut self) {
        if let Some((guard, on_complete)) = self.guard.take() {
            on_complete(guard);
        }
    }
}

impl<G, F> fmt::Debug for GuardedBody<G, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedBody").field("ended", &self.guard.is_none()).finish_non_exhaustive()
    }
}

impl<G: Unpin, F: FnOnce(G) + Unpin> HttpBody for GuardedBody<G, F> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.complete(),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.complete(),
            Poll::Ready(Some(Err(_))) => self.guard = None,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
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
