//! Frames between the system's own processes: `bincode` bodies behind a small header.
//!
//! A datagram between entry VMs has 4 bytes of header: a magic byte, the version of the protocol,
//! and the low 2 bytes of the cluster's identity, so that datagrams of another cluster or version
//! are refused. The sender is known by its address. A stream message has its length as 4 bytes,
//! big-endian, before the body.

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};

/// First byte of each datagram.
const MAGIC: u8 = 0xA7;

/// Version of the protocol between the system's own processes.
pub const VERSION: u8 = 1;

/// Length of a datagram's header, in bytes.
pub const HEADER_LEN: usize = 4;

/// Cluster of a process that has no configuration yet; it may talk to any.
pub const UNKNOWN_CLUSTER: u16 = 0;

/// Largest datagram, in bytes: what UDP over IPv4 carries.
pub const MAX_DATAGRAM: usize = 65_507;

/// Why bytes are no frame.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// frame is shorter than its header
    Short,
    /// frame starts with another magic byte
    Magic,
    /// frame has version {0}, this process speaks 1: upgrade the older side
    Version(u8),
    /// frame belongs to another cluster
    Cluster,
    /// frame's body can't be decoded: {0}
    Body(String),
    /// frame of {0} bytes is too large
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
/// Says which part of the frame is wrong.
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
    let theirs = u16::from_be_bytes([*high, *low]);
    if theirs != cluster && theirs != UNKNOWN_CLUSTER && cluster != UNKNOWN_CLUSTER {
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

/// Decodes the whole body of a stream message that may take at most `LIMIT` bytes in memory.
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
        return Err(Error::Body("bytes follow the body".to_owned()));
    }
    Ok(body)
}
