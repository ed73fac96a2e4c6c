//! Request body that is passed on as it arrives.

use {
    crate::{
        limits::held::Lease,
        node::{
            body::{Body, BoxError},
            shared::Shared,
        },
    },
    bytes::{Bytes, BytesMut},
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
    tokio_util::sync::WaitForCancellationFutureOwned,
};

/// Bytes that buffers on the way hold for a streamed body.
pub const STREAM_BYTES: u64 = 64 << 10;

/// Size from which received data is passed on as it is. Smaller pieces are joined, as each costs a frame at both nodes.
const MIN_PIECE_BYTES: usize = 4 << 10;

/// Longest time for which small pieces wait for more.
const JOIN_TIME: Duration = Duration::from_millis(20);

/// Body that is passed on as it arrives, in pieces that are not too small. It fails if it has to give way to others.
pub struct StreamedBody {
    inner: Body,
    /// Small pieces that are not passed on yet.
    joined: BytesMut,
    /// Time at which they are passed on.
    timer: Option<Pin<Box<Sleep>>>,
    has_ended: bool,
    lease: Lease,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
    shared: Arc<Shared>,
}

impl StreamedBody {
    /// Wraps a body; `lease` holds [`STREAM_BYTES`] for it.
    pub fn new(inner: Body, lease: Lease, shared: Arc<Shared>) -> Self {
        let evicted = Box::pin(lease.holder().eviction().clone().cancelled_owned());
        Self {
            inner,
            joined: BytesMut::new(),
            timer: None,
            has_ended: false,
            lease,
            evicted,
            shared,
        }
    }

    fn take_joined(&mut self) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.timer = None;
        self.lease.holder().record_work();
        let piece = std::mem::take(&mut self.joined).freeze();
        Poll::Ready((!piece.is_empty()).then(|| Ok(Frame::data(piece))))
    }

    /// Passes small pieces on once they have waited long enough.
    fn poll_joined(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.joined.is_empty() {
            self.lease.holder().record_wait(self.shared.now());
            return Poll::Pending;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(JOIN_TIME)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.take_joined()
    }
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedBody").field("joined", &self.joined.len()).finish_non_exhaustive()
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        while !this.has_ended {
            if this.evicted.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Some(Err("the request body stalled".into())));
            }
            let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(e))),
                Poll::Ready(None) => {
                    this.has_ended = true;
                    break;
                }
                Poll::Pending => return this.poll_joined(cx),
            };
            let data = frame.into_data().unwrap_or_default();
            if this.joined.is_empty() && data.len() >= MIN_PIECE_BYTES {
                this.lease.holder().record_work();
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            this.joined.extend_from_slice(&data);
            if this.joined.len() >= MIN_PIECE_BYTES {
                return this.take_joined();
            }
        }
        this.take_joined()
    }

    fn is_end_stream(&self) -> bool {
        self.joined.is_empty() && (self.has_ended || self.inner.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let (joined, rest) = (self.joined.len() as u64, self.inner.size_hint());
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(joined));
        }
        hint.set_lower(rest.lower().saturating_add(joined));
        hint
    }
}
