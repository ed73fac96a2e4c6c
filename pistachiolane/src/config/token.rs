//! Team tokens, stored only as salted digests.

use rand::{Rng, RngExt};

/// Context string of the key derivation; a different one invalidates all stored digests.
const KEY_CONTEXT: &str = "pistachiolane 2026-12 team token";

/// Returns a digest of a token with a new random salt, as `salt$digest` in hexadecimal.
pub fn new_token_digest<R: Rng>(token: &str, rng: &mut R) -> String {
    let salt = format!("{:032x}", rng.random::<u128>());
    let hash = digest(&salt, token).to_hex();
    format!("{salt}${hash}")
}

/// Whether a token matches a digest created by [`new_token_digest`]. An empty digest accepts any
/// caller, also without a token.
pub fn verify_token(stored: &str, token: Option<&str>) -> bool {
    if stored.is_empty() {
        return true;
    }
    let (Some((salt, hash)), Some(token)) = (stored.split_once('$'), token) else {
        return false;
    };
    // `blake3::Hash` compares in constant time.
    blake3::Hash::from_hex(hash).is_ok_and(|hash| hash == digest(salt, token))
}

fn digest(salt: &str, token: &str) -> blake3::Hash {
    let key = blake3::derive_key(KEY_CONTEXT, salt.as_bytes());
    blake3::keyed_hash(&key, token.as_bytes())
}
