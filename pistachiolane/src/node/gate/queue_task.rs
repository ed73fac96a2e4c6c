//! Task that owns a gate's wait queue.

use {
    crate::limits::{Dequeued, QueueKey, RefusalReason, StartDeadlines, WaitQueue},
    crate::node::shared::Shared,
    std::sync::Arc,
    tokio::{
        runtime::Handle,
        sync::{Notify, mpsc, oneshot},
        time::{Duration, sleep},
    },
};

/// Interval between two checks for expired attempts while the queue is not empty.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Least time without a byte of a body after which its request leaves its slot to those that wait.
const MIN_BODY_STALL: Duration = Duration::from_secs(1);

/// Decision on a queued attempt.
#[derive(Debug)]
pub enum QueueDecision {
    /// The attempt runs in the slot that this guard holds.
    Run(SlotGuard),
    /// The attempt does not run.
    Refused(RefusalReason),
}

/// Queued attempt, for which the gate has reserved a place in the queue.
#[derive(Debug)]
pub struct QueueItem {
    /// Key of the sub-queue in which the attempt waits.
    pub key: QueueKey,
    /// Deadlines for the start of the attempt.
    pub start_deadlines: StartDeadlines,
    /// Channel for the decision; closed if the attempt was cancelled.
    pub reply: oneshot::Sender<QueueDecision>,
}

/// Guard of the slot of an attempt. When dropped, it releases the slot and wakes the queue.
#[derive(Debug)]
pub struct SlotGuard {
    shared: Arc<Shared>,
}

impl SlotGuard {
    /// Creates a guard for a slot that the gate has already assigned.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Releases the slot after a delay, or at once if no runtime is left to wait in.
    pub fn release_after(self, delay: Duration) {
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                sleep(delay).await;
                drop(self);
            });
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.admission.gate.release_slot();
        if self.shared.admission.gate.has_queue() {
            self.shared.queue.wake();
        }
    }
}

/// Handle to the queue task.
#[derive(Debug)]
pub struct QueueHandle {
    items: mpsc::UnboundedSender<QueueItem>,
    wake: Notify,
}

impl QueueHandle {
    /// Creates a handle and the receiver for [`run_queue`]. The channel is unbounded because the
    /// gate limits the number of queued attempts.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<QueueItem>) {
        let (items, rx) = mpsc::unbounded_channel();
        (Self { items, wake: Notify::new() }, rx)
    }

    /// Lets the queue decide again, after something that its decisions depend on has changed.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Adds an attempt to the queue.
    pub fn push(&self, item: QueueItem) {
        // Fails only if the queue task has ended, and it runs as long as the node. The failure
        // drops the reply channel, which refuses the attempt.
        let _closed = self.items.send(item);
    }
}

/// Runs the queue until its task is dropped. The channel of new items stays open, because the task
/// holds the shared state with the sender.
pub async fn run_queue(shared: Arc<Shared>, mut items: mpsc::UnboundedReceiver<QueueItem>) {
    let mut queue = WaitQueue::default();
    loop {
        tokio::select! {
            item = items.recv() => match item {
                Some(item) => enqueue(&shared, &mut queue, item),
                None => return,
            },
            () = shared.queue.wake.notified() => {}
            () = sleep(EXPIRY_CHECK_INTERVAL), if !queue.is_empty() => {}
        }
        decide_queued(&shared, &mut queue);
        if !queue.is_empty() {
            free_stalled_slot(&shared);
        }
    }
}

/// Ends the request whose body has stalled longest in its slot, because others wait for one.
fn free_stalled_slot(shared: &Shared) {
    let stalled = shared.slot_holders.longest_stalled(shared.now(), MIN_BODY_STALL);
    if let Some(holder) = stalled.filter(|holder| holder.evict()) {
        shared.record_eviction(&holder);
    }
}

fn enqueue(shared: &Shared, queue: &mut WaitQueue<QueueItem>, item: QueueItem) {
    let key = item.key.clone();
    queue.push(key.clone(), item.start_deadlines, item);
    if !key.is_workspace() {
        return;
    }
    if let Some(late) = queue.remove_newest_if_late(shared.now(), &shared.admission.gate, &key) {
        // Fails if the attempt was cancelled.
        let _unclaimed = late.reply.send(QueueDecision::Refused(RefusalReason::QueueFull));
    }
}

fn decide_queued(shared: &Arc<Shared>, queue: &mut WaitQueue<QueueItem>) {
    let is_cancelled = |item: &QueueItem| item.reply.is_closed();
    while let Some(next) = queue.next(shared.now(), &shared.admission.gate, is_cancelled) {
        let (item, decision) = match next {
            Dequeued::Run(item) => (item, QueueDecision::Run(SlotGuard::new(Arc::clone(shared)))),
            Dequeued::Expired(item) => (item, QueueDecision::Refused(RefusalReason::Expired)),
            Dequeued::UpstreamUnavailable(item) => {
                let reason = shared.admission.gate.queue_refusal(shared.now());
                (item, QueueDecision::Refused(reason))
            }
            Dequeued::Shed(item) => (item, QueueDecision::Refused(RefusalReason::QueueFull)),
        };
        // If the attempt was cancelled, dropping the decision releases its slot.
        let _unclaimed = item.reply.send(decision);
    }
    // A slow phase may defer what is left; only a probe shows its end.
    if let Some(service_time) = queue.longest_service_time() {
        shared.load_probe.request_if_stale(shared, service_time);
    }
}
