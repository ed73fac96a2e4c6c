//! Postcard codec for tarpc transports; each frame is authenticated with the fleet key.

use {
    crate::schema::FleetKey,
    bytes::{Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
    std::{io, marker::PhantomData, pin::Pin},
    tokio_serde::{Deserializer, Serializer},
};

/// Codec for the frames of one connection.
#[derive(Debug)]
pub struct PostcardCodec<In, Out> {
    key: FleetKey,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> PostcardCodec<In, Out> {
    /// Creates a codec that tags outgoing frames with the fleet key and rejects incoming frames
    /// without a valid tag.
    pub fn new(key: FleetKey) -> Self {
        Self { key, types: PhantomData }
    }
}

impl<In, Out: Serialize> Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        let message = postcard::to_stdvec(item).map_err(io::Error::other)?;
        Ok(Bytes::from(self.key.seal(message)))
    }
}

impl<In: DeserializeOwned, Out> Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<In> {
        let message = self.key.open(src).map_err(io::Error::other)?;
        postcard::from_bytes(message).map_err(io::Error::other)
    }
}
