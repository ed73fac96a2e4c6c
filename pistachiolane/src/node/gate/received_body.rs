//! Body of a request that runs at the upstream while the rest of it still arrives.

use {
    crate::{
        limits::held::Holder,
        node::{
            body::{Body, BoxError},
            shared::Shared,
        },
    },
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio_util::sync::WaitForCancellationFutureOwned,
};

/// Body that fails if it stalls while other attempts wait for the slot of its request.
pub struct ReceivedBody {
    inner: Body,
    /// Holder of the slot, once the upstream had to wait for the body.
    slot: Option<SlotHolder>,
    shared: Arc<Shared>,
}

/// Entry of a slot's holder among those that may have to give way.
struct SlotHolder {
    holder: Arc<Holder>,
    key: u64,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
    shared: Arc<Shared>,
}

impl SlotHolder {
    fn new(shared: &Arc<Shared>) -> Self {
        let holder = Arc::new(Holder::new("slot"));
        let key = shared.slot_holders.add(&holder);
        let evicted = Box::pin(holder.eviction().clone().cancelled_owned());
        Self { holder, key, evicted, shared: Arc::clone(shared) }
    }
}

impl Drop for SlotHolder {
    fn drop(&mut self) {
        self.shared.slot_holders.remove(self.key);
    }
}

impl ReceivedBody {
    /// Wraps the body of a request that has a slot.
    pub fn new(inner: Body, shared: Arc<Shared>) -> Self {
        Self { inner, slot: None, shared }
    }
}

impl fmt::Debug for ReceivedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReceivedBody").finish_non_exhaustive()
    }
}

impl HttpBody for ReceivedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        match (&polled, &mut this.slot) {
            (Poll::Pending, slot) => {
                let slot = slot.get_or_insert_with(|| SlotHolder::new(&this.shared));
                slot.holder.record_wait(this.shared.now());
                if slot.evicted.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Some(Err("the request body stalled".into())));
                }
            }
            (Poll::Ready(Some(Ok(_))), Some(slot)) => slot.holder.record_work(),
            // The body has ended, and the upstream works on the request.
            (Poll::Ready(None | Some(Err(_))), slot) => *slot = None,
            (Poll::Ready(Some(Ok(_))), None) => {}
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
