//! The task that owns a gate's queue.

use {
    super::shared::Shared,
    crate::limits::{Dequeued, QueueKey, RefusalReason, StartDeadlines, WaitQueue},
    std::sync::Arc,
    tokio::{
        sync::{Notify, mpsc, oneshot},
        time::{Duration, sleep},
    },
};

/// Time between two looks for expired attempts while anything queues.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// What a queued attempt is told.
#[derive(Debug)]
pub enum QueueDecision {
    /// A slot was taken for it.
    Run(SlotGuard),
    /// It is not run.
    Refused(RefusalReason),
}

/// A queued attempt; the gate has taken a place for it.
#[derive(Debug)]
pub struct QueueItem {
    /// Key of the sub-queue that it waits in.
    pub key: QueueKey,
    /// Latest starts.
    pub start_by: StartDeadlines,
    /// Where the verdict goes; closed when the attempt was cancelled.
    pub reply: oneshot::Sender<QueueDecision>,
}

/// Gives back the slot of a request when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    shared: Arc<Shared>,
}

impl SlotGuard {
    /// A guard of a slot that was taken.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.admission.gate.release_slot();
        if self.shared.admission.gate.has_queue() {
            self.shared.queue.wake.notify_one();
        }
    }
}

/// Handle to the queue's task.
#[derive(Debug)]
pub struct QueueHandle {
    items: mpsc::UnboundedSender<QueueItem>,
    wake: Notify,
}

impl QueueHandle {
    /// A handle and the receiving end for [`run_queue`]. The gate bounds what is sent.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<QueueItem>) {
        let (items, rx) = mpsc::unbounded_channel();
        (Self { items, wake: Notify::new() }, rx)
    }

    /// Hands over an attempt.
    pub fn push(&self, item: QueueItem) {
        // The receiver lives as long as the node; a closed channel drops the reply, which refuses.
        let _closed = self.items.send(item);
    }
}

/// Runs the queue until the node's last handle is gone.
pub async fn run_queue(shared: Arc<Shared>, mut items: mpsc::UnboundedReceiver<QueueItem>) {
    let mut queue = WaitQueue::default();
    loop {
        tokio::select! {
            item = items.recv() => match item {
                Some(item) => queue.push(item.key.clone(), item.start_by, item),
                None => return,
            },
            () = shared.queue.wake.notified() => {}
            () = sleep(EXPIRY_INTERVAL), if !queue.is_empty() => {}
        }
        grant(&shared, &mut queue);
    }
}

fn grant(shared: &Arc<Shared>, queue: &mut WaitQueue<QueueItem>) {
    let gone = |item: &QueueItem| item.reply.is_closed();
    while let Some(next) = queue.next(shared.now(), &shared.admission.gate, gone) {
        let (item, verdict) = match next {
            Dequeued::Run(item) => (item, QueueDecision::Run(SlotGuard::new(Arc::clone(shared)))),
            Dequeued::Expired(item) => (item, QueueDecision::Refused(RefusalReason::Expired)),
            Dequeued::UpstreamUnavailable(item) => {
                (item, QueueDecision::Refused(RefusalReason::Draining))
            }
            Dequeued::Shed(item) => (item, QueueDecision::Refused(RefusalReason::QueueFull)),
        };
        // A verdict that nobody takes gives its slot back by its guard.
        let _unclaimed = item.reply.send(verdict);
    }
}
