//! Errors of a data folder.

use std::io;

use displaydoc::Display;

/// Error of a data folder, with the action that resolves it.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// data folder {0} is in use by another process: stop that process, or give this process another folder
    InUse(String),
    /// disk is full while {action} {file}: free space, then start the process again
    Full {
        /// Operation that failed, as in "writing".
        action: &'static str,
        /// Name of the file.
        file: String,
    },
    /// {action} {file} failed: {reason}: repair the disk, then start the process again
    Io {
        /// Operation that failed, as in "writing".
        action: &'static str,
        /// Name of the file.
        file: String,
        /// Message of the operating system.
        reason: String,
    },
    /// file {file} is damaged at byte {offset}: {reason}: empty the folder and replace this replica
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the damage from the start of the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// file {file}, byte {offset}: record has a format that this build doesn't know ({reason}): start a newer build
    UnknownFormat {
        /// Name of the file.
        file: String,
        /// Offset of the record from the start of the file, in bytes.
        offset: u64,
        /// Message of the decoder.
        reason: String,
    },
    /// file {file} has {valid_length} valid bytes, but at least {synced_length} bytes were synced: empty the folder and replace this replica
    SyncedDataLost {
        /// Name of the file.
        file: String,
        /// Lower bound of the synced length, in bytes.
        synced_length: u64,
        /// Length of the valid records, in bytes.
        valid_length: u64,
    },
    /// file {file} is damaged at byte {offset}, {reason}, and whether these bytes were acknowledged is unknown (synced up to byte {synced_length} at least): empty the folder and replace this replica
    Doubtful {
        /// Name of the file.
        file: String,
        /// Offset of the damage from the start of the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
        /// Lower bound of the synced length, in bytes.
        synced_length: u64,
    },
    /// file snapshot ends with entry {snapshot_index}, but file {log} begins after entry {log_snapshot_index}: restore the snapshot that belongs to the log, or empty the folder and replace this replica
    OldSnapshot {
        /// Index of the last entry that the snapshot includes.
        snapshot_index: u64,
        /// Name of the log file.
        log: String,
        /// Index of the last entry before those of the log file.
        log_snapshot_index: u64,
    },
    /// file {0} is missing: restore the file, or empty the folder and replace this replica
    MissingFile(String),
    /// data folder belongs to replica {found}, not to {wanted}: correct the name or the data folder in the settings
    ReplicaNameMismatch {
        /// Name of the replica in the folder.
        found: String,
        /// Name of the replica in the settings.
        wanted: String,
    },
    /// an earlier write failed and nothing more is acknowledged: start the process again
    EarlierWriteFailed,
    /// record can't be encoded: {0}
    Encode(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Reports whether state that this replica has acknowledged is lost, or may be. A start can't
    /// continue then, however often it is repeated. Records of a newer build are not lost: that
    /// build can read them.
    #[must_use]
    pub fn is_lost_state(&self) -> bool {
        match self {
            Self::Corrupt { .. }
            | Self::SyncedDataLost { .. }
            | Self::Doubtful { .. }
            | Self::OldSnapshot { .. }
            | Self::MissingFile(_) => true,
            Self::UnknownFormat { .. }
            | Self::InUse(_)
            | Self::Full { .. }
            | Self::Io { .. }
            | Self::ReplicaNameMismatch { .. }
            | Self::EarlierWriteFailed
            | Self::Encode(_) => false,
        }
    }

    /// Reports whether each repetition of the start by this build with these settings fails the same
    /// way.
    #[must_use]
    pub fn is_permanent(&self) -> bool {
        match self {
            Self::UnknownFormat { .. } | Self::ReplicaNameMismatch { .. } => true,
            _ => self.is_lost_state(),
        }
    }

    /// Returns the text of the error without its last part, which says what to do.
    pub(crate) fn without_advice(&self) -> String {
        let text = self.to_string();
        match text.rsplit_once(": ") {
            Some((cause, _)) => cause.to_owned(),
            None => text,
        }
    }

    /// Wraps an I/O error; a full disk or an exhausted quota becomes [`Error::Full`].
    pub(crate) fn io(action: &'static str, file: &str, error: &io::Error) -> Self {
        let file = file.to_owned();
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::Full { action, file }
            }
            _ => Self::Io {
                action,
                file,
                reason: error.to_string(),
            },
        }
    }
}
