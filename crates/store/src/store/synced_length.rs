//! The synced length of the log, kept on disk.
//!
//! The length is written and synced after each sync of the log and before anything is acknowledged.
//! Two files take turns: a power loss can only damage the one that was being written, whose length
//! was not relied on yet, and the other one holds the length before. Bytes of the log at or behind
//! the larger readable length were therefore never acknowledged, as long as both files are
//! readable.
//!
//! Earlier builds kept one length in the file `mark`, which they did not sync: after a power loss
//! it is only a lower bound. They ignore the two files, so `mark` is removed at each start, and a
//! folder that holds it was last written by an earlier build.

use serde::{Deserialize, Serialize};

use super::{Store, log_file_name, unknown_format};
use crate::{
    Disk, Error,
    record::{self, Decoded},
};

/// Files that hold the synced length in turn.
const SLOT_FILES: [&str; 2] = ["synced-0", "synced-1"];

/// File in which earlier builds kept a lower bound of the synced length.
const UNSYNCED_FILE: &str = "mark";

/// Synced length of a log file. The order is that of writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SyncedLength {
    /// Number of the log file.
    pub(super) sequence: u64,
    /// Synced length of the log file, in bytes.
    pub(super) length: u64,
}

/// Encoding of [`SyncedLength`]; the fixed width lets each value overwrite the previous one in
/// place.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Encoded {
    sequence: [u8; 8],
    length: [u8; 8],
}

/// Returns the names of all files that hold a synced length.
pub(super) fn file_names() -> impl Iterator<Item = &'static str> {
    SLOT_FILES.into_iter().chain([UNSYNCED_FILE])
}

/// What the files tell about the synced length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Known {
    /// All bytes that were acknowledged lie before this length.
    Exact(SyncedLength),
    /// An earlier build wrote to the folder: bytes at or behind the length may have been
    /// acknowledged.
    ByEarlierBuild(Option<SyncedLength>),
    /// A file is missing or unreadable: bytes at or behind the length may have been acknowledged.
    LowerBound(Option<SyncedLength>),
}

impl Known {
    /// Returns a lower bound of the synced length; `None` if nothing is known.
    pub(super) fn lower_bound(self) -> Option<SyncedLength> {
        match self {
            Self::Exact(synced) => Some(synced),
            Self::ByEarlierBuild(synced) | Self::LowerBound(synced) => synced,
        }
    }
}

impl<D: Disk> Store<D> {
    /// Writes and syncs the length of the log, which must be synced itself.
    pub(super) fn write_synced_length(&mut self) -> Result<(), Error> {
        self.write_slot(self.next_slot)?;
        self.next_slot = 1 - self.next_slot;
        Ok(())
    }

    /// Writes the length of the log to both files, creates them if they are missing, and removes
    /// the file of an earlier build. The log must be synced.
    pub(super) fn restore_synced_lengths(&mut self) -> Result<(), Error> {
        // The older or unreadable length is overwritten first, so that a power loss never leaves
        // both unreadable.
        for _ in SLOT_FILES {
            self.write_synced_length()?;
        }
        self.sync_folder_of(SLOT_FILES[0])?;
        if self.read_file(UNSYNCED_FILE)?.is_some() {
            self.remove_file(UNSYNCED_FILE)?;
            self.sync_folder_of(UNSYNCED_FILE)?;
        }
        Ok(())
    }

    /// Reads what is known of the synced length, and adds a notice if a file is missing or
    /// unreadable.
    pub(super) fn read_synced_lengths(
        &mut self,
        notices: &mut Vec<String>,
    ) -> Result<Known, Error> {
        let slots = [
            self.read_length(SLOT_FILES[0])?,
            self.read_length(SLOT_FILES[1])?,
        ];
        let unsynced = self.read_length(UNSYNCED_FILE)?;
        let [first, second] = slots.map(Option::flatten);
        // An unreadable length sorts first.
        self.next_slot = usize::from(second < first);
        if unsynced.is_some() || slots == [None, None] {
            let synced = first.max(second).max(unsynced.flatten());
            if synced.is_none() {
                notices.push(
                    "files with the synced length are missing or can't be read and are ignored"
                        .to_owned(),
                );
            }
            return Ok(Known::ByEarlierBuild(synced));
        }
        if let (Some(first), Some(second)) = (first, second) {
            return Ok(Known::Exact(first.max(second)));
        }
        for (name, length) in SLOT_FILES.iter().zip([first, second]) {
            if length.is_none() {
                notices.push(format!(
                    "file {name} with the synced length is missing or can't be read and is written anew"
                ));
            }
        }
        Ok(Known::LowerBound(first.max(second)))
    }

    /// Reads one file: `None` if it doesn't exist, `Some(None)` if it is damaged.
    pub(super) fn read_length(&self, name: &str) -> Result<Option<Option<SyncedLength>>, Error> {
        let Some(bytes) = self.read_file(name)? else {
            return Ok(None);
        };
        let encoded: Encoded = match record::decode(&bytes, 0) {
            Decoded::Complete(encoded, _) => encoded,
            Decoded::UnknownFormat(reason) => return Err(unknown_format(name, 0, reason)),
            Decoded::EndOfFile | Decoded::Torn | Decoded::Corrupt(_) => return Ok(Some(None)),
        };
        Ok(Some(Some(SyncedLength {
            sequence: u64::from_le_bytes(encoded.sequence),
            length: u64::from_le_bytes(encoded.length),
        })))
    }

    fn write_slot(&mut self, slot: usize) -> Result<(), Error> {
        let name = SLOT_FILES[slot];
        let encoded = Encoded {
            sequence: self.sequence.to_le_bytes(),
            length: self.length.to_le_bytes(),
        };
        let mut bytes = Vec::new();
        record::encode(&encoded, &mut bytes)?;
        let written = self.disk.overwrite(name, &bytes);
        written.map_err(|e| Error::io("writing", name, &e))?;
        let synced = self.disk.sync(name);
        synced.map_err(|e| Error::io("syncing", name, &e))
    }

    /// Returns the lower bound of the synced length of the current log file.
    ///
    /// # Errors
    ///
    /// Fails if a later log file was synced.
    pub(super) fn synced_length_of_log(&self, known: Known) -> Result<u64, Error> {
        match known.lower_bound() {
            Some(synced) if synced.sequence > self.sequence => {
                Err(Error::MissingFile(log_file_name(synced.sequence)))
            }
            Some(synced) if synced.sequence == self.sequence => Ok(synced.length),
            _ => Ok(0),
        }
    }
}
