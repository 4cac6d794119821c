//! What can go wrong with a data folder.

use std::io;

use displaydoc::Display;

/// What went wrong, where, and what to do.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// data folder {0} is in use by another process: stop that one, or give this one another folder
    InUse(String),
    /// disk is full while {step} {file}: free space, then start the process again
    Full {
        /// What was being done.
        step: &'static str,
        /// File.
        file: String,
    },
    /// {step} {file} failed: {reason}: mend the disk, then start the process again
    Io {
        /// What was being done.
        step: &'static str,
        /// File.
        file: String,
        /// What the file system said.
        reason: String,
    },
    /// file {file} is damaged at byte {offset}: {reason}: empty the folder and replace this replica
    Damaged {
        /// File.
        file: String,
        /// Place, in bytes from the start.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// file {file} has {found} valid bytes, but {synced} were synced: empty the folder and replace this replica
    Short {
        /// File.
        file: String,
        /// Bytes that were synced at least.
        synced: u64,
        /// Bytes that are valid.
        found: u64,
    },
    /// file {0} is missing: put it back, or empty the folder and replace this replica
    Missing(String),
    /// data folder belongs to replica {found}, not to {wanted}: correct the settings
    OtherName {
        /// Name in the folder.
        found: String,
        /// Name in the settings.
        wanted: String,
    },
    /// an earlier write failed, so that nothing more is acknowledged: start the process again
    Failed,
    /// record can't be encoded: {0}
    Encode(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Wraps what the file system said.
    pub(crate) fn io(step: &'static str, file: &str, error: &io::Error) -> Self {
        let file = file.to_owned();
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { step, file },
            _ => Self::Io {
                step,
                file,
                reason: error.to_string(),
            },
        }
    }
}
