//! Durable state of a control VM: one data folder with the replica's identity, its log and its
//! snapshot.
//!
//! | file | holds |
//! |---|---|
//! | `lock` | nothing; locked while a process uses the folder |
//! | `identity` | name and id of the replica, written once |
//! | `log-N` | records behind the snapshot; only the one with the largest `N` counts |
//! | `snapshot` | the application's state at one index |
//! | `mark` | how much of the log was synced, as a lower bound |
//!
//! Nothing may be acknowledged before [`Store::save`] returned. A record that was cut short by a
//! crash at the end of the log was never acknowledged and is dropped with a notice; anything else
//! that is wrong is an error, and the replica is to be replaced by a new one.
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
pub use store::{Opened, Store};
