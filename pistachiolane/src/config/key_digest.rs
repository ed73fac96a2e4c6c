//! Digests of callers' keys: nodes hold no key, only digests.

use std::fmt::{self, Write as _};

/// Context of the digests; it separates them from other uses of the hash function.
const CONTEXT: &str = "pistachiolane 2026-12 caller key";

/// Length of a digest in bytes.
const BYTES: usize = 32;

/// Digest of a caller's key.
///
/// Keys are looked up by digest, so the time of a lookup tells nothing about the keys of others.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(blake3::derive_key(CONTEXT, key))
    }

    /// Returns the digest in hexadecimal, as settings hold it.
    pub fn to_hex(self) -> String {
        self.0.iter().fold(String::with_capacity(BYTES * 2), |mut text, byte| {
            // Writing to a string never fails.
            let _written = write!(text, "{byte:02x}");
            text
        })
    }

    /// Parses a digest in hexadecimal; `None` if the text is none.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(|hash| Self(*hash.as_bytes()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
