//! Response body whose bytes count in the budget of the process while the caller has not taken them.

use {
    crate::{
        limits::held::{Holder, Lease, SMALL_BYTES},
        node::{
            body::{Body, BoxError},
            bounded_connection::BoundedConnection,
            entry::hop::STREAM_WINDOW_BYTES,
            shared::Shared,
        },
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Response,
        body::{Body as HttpBody, Frame, SizeHint},
    },
    std::{
        fmt,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Response body whose connection is closed if its caller takes nothing while others need the memory.
pub struct HeldResponse {
    inner: Body,
    lease: Lease,
    connection: Arc<BoundedConnection>,
    shared: Arc<Shared>,
}

impl HeldResponse {
    /// Counts the bytes of a response that may have arrived before its caller takes them, unless they are few.
    pub fn wrap(
        res: Response<Body>,
        connection: &Arc<BoundedConnection>,
        shared: &Arc<Shared>,
    ) -> Response<Body> {
        let window = u64::from(STREAM_WINDOW_BYTES);
        let bytes = res.body().size_hint().upper().unwrap_or(window).min(window);
        if bytes <= SMALL_BYTES {
            return res;
        }
        let eviction = connection.holder().eviction().clone();
        let lease = Lease::new(&shared.held_bytes, Holder::new("response").with_eviction(eviction));
        if let Some(evicted) = lease.force(bytes, shared.now()) {
            shared.record_eviction(&evicted);
        }
        let (connection, shared) = (Arc::clone(connection), Arc::clone(shared));
        res.map(|inner| Self { inner, lease, connection, shared }.boxed_unsync())
    }
}

impl fmt::Debug for HeldResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldResponse").field("lease", &self.lease).finish_non_exhaustive()
    }
}

impl HttpBody for HeldResponse {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match polled {
            // The upstream is waited for.
            Poll::Pending => {
                self.lease.holder().record_work();
                self.connection.holder().record_work();
            }
            Poll::Ready(_) => {
                let now = self.shared.now();
                self.lease.holder().record_progress(now);
                self.connection.record_progress(now);
            }
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
