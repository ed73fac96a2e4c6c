//! Budget of the bytes that a process holds for its peers.

use {
    super::{Holder, Holders},
    crate::tick::Tick,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Most bytes of a holder that may use the whole budget; larger ones leave the rest of it to such small ones.
pub const SMALL_BYTES: u64 = 16 << 10;

/// Part of the budget that is left for holders of up to [`SMALL_BYTES`].
const SMALL_DIVISOR: u64 = 4;

/// Least time without progress after which a holder gives way, so that a body that crosses a slow link doesn't.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Answer to a request for bytes.
#[derive(Clone, Debug)]
pub enum Grant {
    /// The bytes are taken.
    Granted,
    /// A holder that has stalled gives way; the bytes can be asked for again once [`ByteBudget::wait_for_release`] returns.
    Pending(Option<Arc<Holder>>),
    /// The budget is used up, and all holders make progress.
    Refused,
}

/// The budget is used up, and no holder gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for the body")]
pub struct NoRoom;

/// Budget of bytes over all holders. They are taken as they arrive, and given back on each way out.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    held: AtomicU64,
    /// Bytes of evicted holders that are not given back yet.
    giving_way: AtomicU64,
    pub(super) holders: Holders,
    released: Notify,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            held: AtomicU64::new(0),
            giving_way: AtomicU64::new(0),
            holders: Holders::default(),
            released: Notify::new(),
        }
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether so little is held that answers may be kept for callers that can't take them yet.
    pub fn has_room_ahead(&self) -> bool {
        self.held() < self.limit / 2
    }

    /// Takes `bytes` for a holder, unless the budget is used up. Then the holder that has stalled longest is evicted.
    pub(super) fn take(&self, holder: &Holder, bytes: u64, now: Tick) -> Grant {
        let limit = match holder.bytes() + bytes {
            ..=SMALL_BYTES => self.limit,
            _ => self.limit - self.limit / SMALL_DIVISOR,
        };
        let add = |held: u64| Some(held + bytes).filter(|held| *held <= limit);
        if self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok() {
            holder.bytes.fetch_add(bytes, Ordering::Relaxed);
            return Grant::Granted;
        }
        let giving_way = self.giving_way.load(Ordering::Relaxed);
        if self.held() + bytes <= limit + giving_way {
            return Grant::Pending(None);
        }
        self.evict_one(now).map_or(Grant::Refused, |evicted| Grant::Pending(Some(evicted)))
    }

    /// Takes `bytes` for a holder that can't be refused any more, and evicts another one if the budget is exceeded.
    pub(super) fn force(&self, holder: &Holder, bytes: u64, now: Tick) -> Option<Arc<Holder>> {
        let held = self.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        holder.bytes.fetch_add(bytes, Ordering::Relaxed);
        let is_exceeded = held > self.limit + self.giving_way.load(Ordering::Relaxed);
        is_exceeded.then(|| self.evict_one(now)).flatten()
    }

    fn evict_one(&self, now: Tick) -> Option<Arc<Holder>> {
        let stalled = self.holders.longest_stalled(now, MIN_STALL)?;
        // Counted before it ends, because its bytes are given back after that.
        self.giving_way.fetch_add(stalled.bytes(), Ordering::Relaxed);
        if stalled.evict() {
            return Some(stalled);
        }
        self.giving_way.fetch_sub(stalled.bytes(), Ordering::Relaxed);
        None
    }

    /// Gives back all bytes of a holder.
    pub(super) fn give_back(&self, holder: &Holder) {
        let bytes = holder.bytes.swap(0, Ordering::Relaxed);
        if bytes == 0 {
            return;
        }
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if holder.was_evicted() {
            // Saturates, because bytes may have been taken after the eviction.
            let rest = |giving_way: u64| Some(giving_way.saturating_sub(bytes));
            let _updated = self.giving_way.fetch_update(Ordering::Relaxed, Ordering::Relaxed, rest);
        }
        self.released.notify_waiters();
    }

    /// Returns a future that completes once bytes are given back after this call.
    pub fn wait_for_release(&self) -> impl Future<Output = ()> + '_ {
        self.released.notified()
    }
}
