//! Durable state of a control VM: a data folder with the identity, the log and the snapshot of one
//! replica.
//!
//! | file | contents |
//! |---|---|
//! | `lock` | empty; locked while a process uses the folder |
//! | `identity` | name and id of the replica, written once |
//! | `log-N` | records after the snapshot; only the file with the largest `N` is in use |
//! | `snapshot` | state of the application at one index |
//! | `synced-0`, `synced-1` | length of the log that was synced, written in turn |
//! | `successor` | id of the replica that replaces one whose state was lost |
//! | `lost-*` | files of a replica whose state was lost |
//!
//! The driver must acknowledge nothing before [`Store::save`] has returned. Damage at or behind the
//! synced length lies in a write that a crash cut short and that was never acknowledged; it is
//! dropped with a notice. A record of a newer build is an error that only that build
//! resolves. Any other damage is an error, and the replica must be replaced by a new
//! one, which [`Store::open_or_rejoin`] does at once.
//!
//! ```
//! use store::{Folder, Store};
//!
//! let dir = tempfile::tempdir()?;
//! let (store, opened) = Store::open(Folder::open(dir.path())?, "control-1", 42)?;
//! assert_eq!((store.id(), opened.stored.entries.len()), (42, 0));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod disk;
mod error;
mod record;
mod store;

pub use disk::{Disk, Folder};
pub use error::Error;
pub use store::{RecoveredState, Store};
