//! Frames between entry and control VMs: a small header and a body encoded with `bincode`.
//!
//! A datagram between entry VMs has a header of 4 bytes: a magic byte, the protocol version, and
//! the low 2 bytes of the cluster id, so that the receiver rejects datagrams of another cluster or
//! version. The source address identifies the sender. A stream message has its length as 4 bytes,
//! big-endian, before the body.

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};

/// First byte of each datagram.
const MAGIC: u8 = 0xA7;

/// Version of the protocol between entry and control VMs.
pub const VERSION: u8 = 1;

/// Length of the header of a datagram, in bytes.
pub const HEADER_LEN: usize = 4;

/// Cluster id of a process without a configuration; such a process accepts frames of any cluster,
/// and any cluster accepts its frames.
pub const UNKNOWN_CLUSTER: u16 = 0;

/// Largest payload of a UDP datagram over IPv4, in bytes.
pub const MAX_DATAGRAM: usize = 65_507;

/// Reason why a frame can't be encoded or decoded.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// frame is shorter than its header
    Short,
    /// frame starts with a wrong magic byte
    Magic,
    /// frame has protocol version {0}, this process supports 1: upgrade the older process
    Version(u8),
    /// frame belongs to another cluster
    Cluster,
    /// frame body can't be encoded or decoded: {0}
    Body(String),
    /// frame of {0} bytes exceeds the size limit
    TooLarge(usize),
}

impl std::error::Error for Error {}

/// Encodes a datagram between entry VMs.
///
/// # Errors
///
/// Fails when the body can't be encoded or the frame is too large for a datagram.
pub fn encode<T: Serialize>(cluster: u16, body: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![MAGIC, VERSION];
    bytes.extend_from_slice(&cluster.to_be_bytes());
    bincode::serde::encode_into_std_write(body, &mut bytes, bincode::config::standard())
        .map_err(|e| Error::Body(e.to_string()))?;
    if bytes.len() > MAX_DATAGRAM {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a datagram between entry VMs.
///
/// # Errors
///
/// Fails when the header or the body is invalid; the error names the invalid part.
pub fn decode<T: DeserializeOwned>(cluster: u16, bytes: &[u8]) -> Result<T, Error> {
    let [magic, version, high, low, body @ ..] = bytes else {
        return Err(Error::Short);
    };
    if *magic != MAGIC {
        return Err(Error::Magic);
    }
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    let frame_cluster = u16::from_be_bytes([*high, *low]);
    if frame_cluster != cluster && frame_cluster != UNKNOWN_CLUSTER && cluster != UNKNOWN_CLUSTER {
        return Err(Error::Cluster);
    }
    decode_body::<T, MAX_DATAGRAM>(body)
}

/// Encodes the body of a stream message, without its length.
///
/// # Errors
///
/// Fails when the body can't be encoded.
pub fn encode_body<T: Serialize>(body: &T) -> Result<Vec<u8>, Error> {
    bincode::serde::encode_to_vec(body, bincode::config::standard())
        .map_err(|e| Error::Body(e.to_string()))
}

/// Decodes the body of a stream message, of which neither `bytes` nor the decoded value may take
/// more than `LIMIT` bytes.
///
/// # Errors
///
/// Fails when the body is malformed, too large, or followed by other bytes.
pub fn decode_body<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > LIMIT {
        return Err(Error::TooLarge(bytes.len()));
    }
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (body, used) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|e| Error::Body(e.to_string()))?;
    if used != bytes.len() {
        return Err(Error::Body(
            "the body is followed by extra bytes".to_owned(),
        ));
    }
    Ok(body)
}
