//! Beginning as a new replica in a folder whose state is lost.
//!
//! The file `successor` names the id of the new replica and is synced before any other file is
//! touched. From then on the old identity is not used again, and each later start continues until
//! the folder holds the new identity. The files of the old replica are kept under names with a
//! prefix; those of an earlier loss are removed.

use consensus::ReplicaId;
use serde::{Deserialize, Serialize};

use super::{
    IDENTITY_FILE, Identity, RecoveredState, SNAPSHOT_FILE, Store, parse_log_sequence,
    synced_length,
};
use crate::{Disk, Error};

const SUCCESSION_FILE: &str = "successor";

/// Prefix of the files of a replica whose state was lost.
const ASIDE_PREFIX: &str = "lost-";

/// The new replica of a folder whose state was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Succession {
    /// Id of the new replica.
    pub(super) id: ReplicaId,
    /// Damage because of which the state was lost.
    reason: String,
}

impl<D: Disk> Store<D> {
    pub(super) fn read_succession(&self) -> Result<Option<Succession>, Error> {
        self.read_single_record(SUCCESSION_FILE)
    }

    /// Begins as the new replica `id` because of `error`.
    ///
    /// # Errors
    ///
    /// Fails with `error` if the folder already belongs to `id`, which may have voted.
    pub(super) fn rejoin(
        &mut self,
        name: &str,
        id: ReplicaId,
        error: &Error,
    ) -> Result<RecoveredState, Error> {
        let identity: Option<Identity> = self.read_single_record(IDENTITY_FILE).ok().flatten();
        let earlier = self.read_succession().ok().flatten();
        if identity.is_some_and(|i| i.id == id) || earlier.is_some_and(|s| s.id == id) {
            return Err(error.clone());
        }
        for file in self.list_files()? {
            if file.starts_with(ASIDE_PREFIX) {
                self.remove_file(&file)?;
            }
        }
        let succession = Succession {
            id,
            reason: error.without_advice(),
        };
        self.write_single_record(SUCCESSION_FILE, &succession)?;
        self.is_successor = true;
        self.finish_rejoin(name, &succession)
    }

    /// Sets the files of the old replica aside and creates those of the new one.
    pub(super) fn finish_rejoin(
        &mut self,
        name: &str,
        succession: &Succession,
    ) -> Result<RecoveredState, Error> {
        self.set_files_aside()?;
        self.id = succession.id;
        self.sequence = 0;
        self.next_slot = 0;
        self.create_replica_files(name)?;
        let notice = format!(
            "state of this replica is lost: {}: began as new replica {:016x}, which asks to be \
             added to the cluster; the old files are kept as {ASIDE_PREFIX}*",
            succession.reason, succession.id
        );
        Ok(RecoveredState {
            has_rejoined: true,
            ..RecoveredState::empty(notice)
        })
    }

    fn set_files_aside(&mut self) -> Result<(), Error> {
        let names = self.list_files()?;
        for name in names.iter().filter(|n| is_state_file(n)) {
            let aside = format!("{ASIDE_PREFIX}{name}");
            // After an interrupted attempt the file of that name may be one of the new replica.
            if names.contains(&aside) {
                self.remove_file(name)?;
                continue;
            }
            let renamed = self.disk.rename(name, &aside);
            renamed.map_err(|e| Error::io("renaming", name, &e))?;
        }
        self.sync_folder_of(SUCCESSION_FILE)
    }
}

/// Reports whether a file holds state of a replica. Other parts of the daemon keep files in the
/// folder too.
fn is_state_file(name: &str) -> bool {
    [IDENTITY_FILE, SNAPSHOT_FILE].contains(&name)
        || synced_length::file_names().any(|n| n == name)
        || parse_log_sequence(name).is_some()
}
