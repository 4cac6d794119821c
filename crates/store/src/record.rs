//! Records: a header of 12 bytes and a `bincode` body.
//!
//! The header holds the length of the body, the checksum (CRC-32) of these 4 bytes, and the
//! checksum of the body, all little-endian. The length has a checksum of its own, so that a
//! damaged one isn't taken for a record that was cut short.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use consensus::{Entry, HardState};

use crate::Error;

/// Length of a record's header, in bytes.
const HEADER_LEN: usize = 12;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The first record of each file: the snapshot behind which it goes on.
    Base {
        /// Number of the file.
        sequence: u64,
        /// Index of the last entry that the snapshot includes; 0 without one.
        index: u64,
    },
    /// Term, vote and commit index from here on.
    HardState(HardState),
    /// An entry, which replaces all with its index or a later one.
    Entry(Entry),
}

/// What stands at one place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found<T> {
    /// A whole record, and where the next one starts.
    Whole(T, usize),
    /// The end of the file.
    End,
    /// The start of a record that was never written whole.
    Torn,
    /// Something else.
    Damaged(String),
}

/// Encodes one record behind `bytes`.
///
/// # Errors
///
/// Fails when the body can't be encoded.
pub(crate) fn encode(value: &impl Serialize, bytes: &mut Vec<u8>) -> Result<(), Error> {
    let body = bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|e| Error::Encode(e.to_string()))?;
    let length = u32::try_from(body.len()).map_err(|e| Error::Encode(e.to_string()))?;
    let length = length.to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Reads the record at `offset`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> Found<T> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return Found::End;
    }
    // A file may have grown in a crash without its contents.
    if rest.iter().all(|b| *b == 0) {
        return Found::Torn;
    }
    let Some((header, body)) = rest.split_first_chunk::<HEADER_LEN>() else {
        return Found::Torn;
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3, b0, b1, b2, b3] = *header;
    let length = [l0, l1, l2, l3];
    if crc32fast::hash(&length) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return Found::Damaged("checksum of a record's length is wrong".to_owned());
    }
    let length = u32::from_le_bytes(length) as usize;
    let Some(body) = body.get(..length) else {
        return Found::Torn;
    };
    if crc32fast::hash(body) != u32::from_le_bytes([b0, b1, b2, b3]) {
        return Found::Damaged("checksum of a record is wrong".to_owned());
    }
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((value, used)) if used == length => Found::Whole(value, offset + HEADER_LEN + length),
        Ok(_) => Found::Damaged("bytes follow a record's body".to_owned()),
        Err(e) => Found::Damaged(format!("record can't be decoded: {e}")),
    }
}
