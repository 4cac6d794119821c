//! Encoding of records: a header of 12 bytes and a `bincode` body.
//!
//! The header holds the length of the body, the CRC-32 of these 4 length bytes, and the CRC-32 of
//! the body, all little-endian. The length has its own checksum, so that a damaged length isn't
//! mistaken for a record that was cut short by a crash.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use consensus::{Entry, HardState};

use crate::Error;

/// Length of a record header, in bytes.
const HEADER_LEN: usize = 12;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The first record of each log file: the snapshot that the log continues.
    FileStart {
        /// Number of the log file.
        sequence: u64,
        /// Index of the last entry that the snapshot includes; 0 without a snapshot.
        snapshot_index: u64,
    },
    /// Term, vote and commit index, which replace those of earlier records.
    HardState(HardState),
    /// A log entry, which replaces all earlier entries with the same or a later index.
    Entry(Entry),
}

/// Result of decoding at one offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded<T> {
    /// A complete record, and the offset of the next record in bytes.
    Complete(T, usize),
    /// The end of the file.
    EndOfFile,
    /// The start of a record that was not completely written.
    Torn,
    /// Invalid bytes, with a description of the damage.
    Corrupt(String),
    /// A complete record with valid checksums that can't be decoded, with the reason. A newer build
    /// wrote it: damage would have changed a checksum.
    UnknownFormat(String),
}

/// Appends one encoded record to `bytes`.
///
/// # Errors
///
/// Fails if the body can't be encoded.
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

/// Decodes the record at `offset`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> Decoded<T> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return Decoded::EndOfFile;
    }
    // A crash may leave a file whose length was extended but whose data was not written.
    if rest.iter().all(|b| *b == 0) {
        return Decoded::Torn;
    }
    let Some((header, body)) = rest.split_first_chunk::<HEADER_LEN>() else {
        return Decoded::Torn;
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3, b0, b1, b2, b3] = *header;
    let length = [l0, l1, l2, l3];
    if crc32fast::hash(&length) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return Decoded::Corrupt("checksum of a record's length doesn't match".to_owned());
    }
    let length = u32::from_le_bytes(length) as usize;
    let Some(body) = body.get(..length) else {
        return Decoded::Torn;
    };
    if crc32fast::hash(body) != u32::from_le_bytes([b0, b1, b2, b3]) {
        return Decoded::Corrupt("checksum of a record's body doesn't match".to_owned());
    }
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((value, used)) if used == length => {
            Decoded::Complete(value, offset + HEADER_LEN + length)
        }
        Ok(_) => Decoded::UnknownFormat("its body has trailing bytes".to_owned()),
        Err(e) => Decoded::UnknownFormat(format!("its body can't be decoded: {e}")),
    }
}
