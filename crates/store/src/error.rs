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
    /// file {file} has {valid_length} valid bytes, but at least {synced_length} bytes were synced: empty the folder and replace this replica
    SyncedDataLost {
        /// Name of the file.
        file: String,
        /// Lower bound of the synced length, in bytes.
        synced_length: u64,
        /// Length of the valid records, in bytes.
        valid_length: u64,
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
