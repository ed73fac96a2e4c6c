//! Encoding of messages as postcard, with an authentication tag on UDP and base64 in HTTP headers.

use {
    super::{Packet, StoreReads},
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    serde::{Serialize, de::DeserializeOwned},
    std::fmt,
};

/// Maximum size of a gossip packet in bytes, below the usual MTU.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// Length of the authentication tag, which is a truncated BLAKE3 hash.
const TAG_BYTES: usize = 16;

/// BLAKE3 context string of the key derivation.
const KEY_CONTEXT: &str = "pistachiolane 2026-12 fleet key";

/// Error for a message that cannot be encoded, decoded or authenticated.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WireError {
    /// The message cannot be encoded, is too short, or is not a valid encoding of its type.
    #[error("malformed message")]
    Malformed,
    /// The tag was not made with any key of the fleet.
    #[error("message not authenticated")]
    NotAuthenticated,
}

/// Keys that authenticate messages between nodes: the first one signs, all verify.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKey").field("keys", &self.keys.len()).finish_non_exhaustive()
    }
}

impl FleetKey {
    /// Derives keys from comma-separated secrets. During a rotation there are two secrets.
    pub fn new(secrets: &str) -> Self {
        // `split` returns at least one item, so there is always a key that signs.
        let keys = secrets
            .split(',')
            .map(|s| blake3::derive_key(KEY_CONTEXT, s.trim().as_bytes()))
            .collect();
        Self { keys }
    }

    /// Appends the authentication tag to a message.
    pub fn seal(&self, mut message: Vec<u8>) -> Vec<u8> {
        let tag = compute_tag(&self.keys[0], &message);
        message.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        message
    }

    /// Verifies and removes the authentication tag.
    ///
    /// # Errors
    /// Fails when the tag was not made with any key of the fleet.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], WireError> {
        let tag_start = sealed.len().checked_sub(TAG_BYTES).ok_or(WireError::Malformed)?;
        let (message, received_tag) = sealed.split_at(tag_start);
        let mut padded_tag = [0; 32];
        padded_tag[..TAG_BYTES].copy_from_slice(received_tag);
        let matches = self.keys.iter().any(|key| {
            let mut expected = *compute_tag(key, message).as_bytes();
            expected[TAG_BYTES..].fill(0);
            // `blake3::Hash` compares in constant time.
            blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(padded_tag)
        });
        if matches { Ok(message) } else { Err(WireError::NotAuthenticated) }
    }

    /// Encodes a gossip packet with its tag.
    ///
    /// # Errors
    /// Fails when the packet cannot be encoded.
    pub fn encode_packet(&self, packet: &Packet) -> Result<Vec<u8>, WireError> {
        let message = postcard::to_stdvec(packet).map_err(malformed)?;
        Ok(self.seal(message))
    }

    /// Encodes a gossip packet, followed by the sender's last reads of the store, with its tag. Earlier builds decode
    /// the packet and ignore the rest.
    ///
    /// # Errors
    /// Fails when the packet cannot be encoded.
    pub fn encode_packet_with_reads(
        &self,
        packet: &Packet,
        reads: &StoreReads,
    ) -> Result<Vec<u8>, WireError> {
        let message = postcard::to_stdvec(packet).map_err(malformed)?;
        let message = postcard::to_extend(reads, message).map_err(malformed)?;
        Ok(self.seal(message))
    }

    /// Encodes a message with its tag as the value of an HTTP header.
    ///
    /// # Errors
    /// Fails when the message cannot be encoded.
    pub fn encode_header<T: Serialize>(&self, message: &T) -> Result<String, WireError> {
        let message = postcard::to_stdvec(message).map_err(malformed)?;
        Ok(URL_SAFE_NO_PAD.encode(self.seal(message)))
    }

    /// Verifies the tag and decodes a message from the value of an HTTP header.
    ///
    /// # Errors
    /// Fails when the tag or the encoding is invalid.
    pub fn decode_header<T: DeserializeOwned>(&self, value: &[u8]) -> Result<T, WireError> {
        let sealed = URL_SAFE_NO_PAD.decode(value).map_err(|_e| WireError::Malformed)?;
        postcard::from_bytes(self.open(&sealed)?).map_err(malformed)
    }

    /// Verifies the tag and decodes a gossip packet.
    ///
    /// # Errors
    /// Fails when the tag or the encoding is invalid.
    pub fn decode_packet(&self, sealed: &[u8]) -> Result<Packet, WireError> {
        postcard::from_bytes(self.open(sealed)?).map_err(malformed)
    }

    /// Verifies the tag and decodes a gossip packet with the sender's last reads of the store, which earlier builds
    /// don't send.
    ///
    /// # Errors
    /// Fails when the tag or the encoding is invalid.
    pub fn decode_packet_with_reads(
        &self,
        sealed: &[u8],
    ) -> Result<(Packet, Option<StoreReads>), WireError> {
        let (packet, rest) = postcard::take_from_bytes(self.open(sealed)?).map_err(malformed)?;
        let reads = (!rest.is_empty()).then(|| postcard::from_bytes(rest)).transpose();
        Ok((packet, reads.map_err(malformed)?))
    }
}

fn compute_tag(key: &[u8; 32], message: &[u8]) -> blake3::Hash {
    blake3::keyed_hash(key, message)
}

/// Encodes a message as the value of an HTTP header.
///
/// # Errors
/// Fails when the message cannot be encoded.
pub fn encode_header<T: Serialize>(message: &T) -> Result<String, WireError> {
    let bytes = postcard::to_stdvec(message).map_err(malformed)?;
    Ok(URL_SAFE_NO_PAD.encode(bytes))
}

/// Decodes a message from the value of an HTTP header.
///
/// # Errors
/// Fails when the value is not base64 or not an encoding of the message type.
pub fn decode_header<T: DeserializeOwned>(value: &[u8]) -> Result<T, WireError> {
    let bytes = URL_SAFE_NO_PAD.decode(value).map_err(|_e| WireError::Malformed)?;
    postcard::from_bytes(&bytes).map_err(malformed)
}

fn malformed(_e: postcard::Error) -> WireError {
    WireError::Malformed
}
