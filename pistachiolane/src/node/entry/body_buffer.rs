//! Buffer of a request body, whose bytes count in the budget of the process.

use {
    crate::{
        limits::held::{Grant, Holder, Lease, NoRoom},
        node::shared::Shared,
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::time::timeout,
};

/// Least number of bytes by which the buffer grows.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// Time limit for holders that give way to end, after which another one is asked to.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes of a body that have arrived so far. Allocates what arrives, not what is announced.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    lease: Lease,
}

/// Memory of a buffer, with its lease.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: Lease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(shared: &Shared) -> Self {
        let lease = Lease::new(&shared.held_bytes, Holder::new("request body"));
        lease.holder().record_progress(shared.now());
        Self { bytes: Vec::new(), lease }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Waits until the body has to give way to others.
    pub async fn evicted(&self) {
        self.lease.holder().evicted().await;
    }

    /// Appends bytes that have arrived.
    ///
    /// # Errors
    /// Fails if the budget of the process is used up.
    pub async fn push(&mut self, data: &[u8], shared: &Shared) -> Result<(), NoRoom> {
        // Before bytes are taken, or a body that comes slowly would give way to itself.
        self.lease.holder().record_progress(shared.now());
        let missing = (self.bytes.len() + data.len()).saturating_sub(self.bytes.capacity());
        if missing > 0 {
            let growth = missing.max(MIN_GROWTH_BYTES).max(self.bytes.len() / 4);
            let before = self.bytes.capacity();
            take(&self.lease, growth as u64, shared).await?;
            self.bytes.reserve_exact(before + growth - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.lease.holder().record_progress(shared.now());
        Ok(())
    }

    /// Returns the bytes; they count in the budget until the last reference to them is dropped.
    pub fn freeze(self) -> Bytes {
        let Self { bytes, lease } = self;
        if bytes.is_empty() {
            return Bytes::new();
        }
        lease.holder().record_work();
        Bytes::from_owner(LeasedBytes { bytes, _lease: lease })
    }
}

/// Takes bytes for a lease, and waits for holders that give way for it.
///
/// # Errors
/// Fails if the budget is used up and no holder has stalled.
pub async fn take(lease: &Lease, bytes: u64, shared: &Shared) -> Result<(), NoRoom> {
    loop {
        let released = lease.budget().wait_for_release();
        match lease.take(bytes, shared.now()) {
            Grant::Granted => return Ok(()),
            Grant::Pending(evicted) => {
                if let Some(holder) = evicted {
                    shared.record_eviction(&holder);
                }
                lease.holder().record_work();
                // After the time limit, another holder may have to give way.
                let _released = timeout(RELEASE_TIMEOUT, released).await;
            }
            Grant::Refused => return Err(NoRoom),
        }
    }
}
