//! Opaque bytes that the load balancer forwards without decoding: packets of flows and bodies of
//! requests.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, Visitor},
};

/// Reference-counted bytes that are serialized as one byte string.
///
/// The derived implementation for a byte vector encodes each byte separately. Every relayed packet
/// is encoded through this type, so its visitor is written by hand.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

/// Builds a [`Blob`] from owned or borrowed bytes.
struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Blob, E> {
        Ok(Blob(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(bytes.into())
    }
}
