//! Compression of settings subtrees for their exchange between nodes.

use {
    crate::schema::{PackedSubtree, Subtree},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::{
        io::{Read, Write},
        sync::Arc,
    },
};

/// Maximum size of a decompressed document in bytes; the store holds smaller ones.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// Error of a compressed subtree that cannot be decompressed.
#[derive(Debug, thiserror::Error)]
pub enum PackingError {
    /// The data is not deflated text.
    #[error("cannot decompress the document: {0}")]
    Corrupt(#[from] std::io::Error),
    /// The document exceeds the maximum size.
    #[error("the document exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge,
}

/// Compresses a subtree.
///
/// # Errors
/// Fails if the compressor does, which has no cause in the data.
pub fn pack(subtree: &Subtree) -> Result<PackedSubtree, PackingError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(subtree.document.as_bytes())?;
    Ok(PackedSubtree {
        name: Arc::clone(&subtree.name),
        version: subtree.version,
        change: subtree.change.clone(),
        deflated: encoder.finish()?,
    })
}

/// Decompresses a subtree.
///
/// # Errors
/// Fails if the data is corrupt or the document is too large.
pub fn unpack(packed: &PackedSubtree) -> Result<Subtree, PackingError> {
    let mut document = String::new();
    let mut decoder = DeflateDecoder::new(packed.deflated.as_slice()).take(MAX_DOCUMENT_BYTES + 1);
    decoder.read_to_string(&mut document)?;
    if document.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(PackingError::TooLarge);
    }
    Ok(Subtree {
        name: Arc::clone(&packed.name),
        version: packed.version,
        change: packed.change.clone(),
        document,
    })
}
