//! Fingerprint of what a request asks for, the same for each repetition of it.

use crate::schema::Announcement;

/// Number of bytes from the start of a body that count; what follows counts by its length only.
const MAX_BODY_BYTES: usize = 4_096;

value! {
    /// Truncated hash of a request's calling service, method, host, path, query and body.
    ///
    /// A repeated request has the same fingerprint at each node, in particular without its request id.
    pub struct Fingerprint(pub u64);
}

impl Fingerprint {
    /// Returns the fingerprint of a request. `parts` are its calling service, method, host, and path with query;
    /// `body_length` is the length of the whole body as far as it is known.
    pub fn new(parts: [&str; 4], body_start: &[u8], body_length: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&body_length.to_le_bytes());
        hasher.update(&body_start[..body_start.len().min(MAX_BODY_BYTES)]);
        Self::truncate(&hasher)
    }

    /// Returns the identity of one run of an upstream, which distinguishes its crash from others.
    pub fn of_incarnation(upstream: &Announcement) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&upstream.started_ms.to_le_bytes());
        hasher.update(upstream.address.to_string().as_bytes());
        hasher.update(upstream.instance.as_bytes());
        Self::truncate(&hasher).0
    }

    fn truncate(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}
