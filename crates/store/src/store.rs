//! The store of a replica: writing and recovery of its files.

use std::io;

use consensus::{Entry, HardState, PersistentState, Ready, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    Disk, Error,
    record::{self, Decoded, Record},
};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE_PREFIX: &str = "log-";
/// Suffix of files that aren't completely written.
const TEMP_FILE_SUFFIX: &str = ".tmp";

mod recovery;
mod rejoin;
mod synced_length;

/// Identity of the replica, written once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    name: String,
    id: ReplicaId,
}

/// State that was recovered from a folder when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// State from which the replica resumes.
    pub stored: PersistentState,
    /// Notices for the log of the process, such as repairs and a new identity.
    pub notices: Vec<String>,
    /// Number of bytes of a write cut short by a crash that were dropped from the log; 0 if none.
    pub dropped_bytes: u64,
    /// Whether the state of the replica was lost, and this start set it aside and began as a new
    /// replica.
    pub has_rejoined: bool,
}

impl RecoveredState {
    /// Returns the state of a new replica.
    fn empty(notice: String) -> Self {
        Self {
            stored: PersistentState::default(),
            notices: vec![notice],
            dropped_bytes: 0,
            has_rejoined: false,
        }
    }
}

/// The store of one replica.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    id: ReplicaId,
    /// Number of the log file.
    sequence: u64,
    /// Length of the log file, in bytes.
    length: u64,
    hard_state: HardState,
    /// Slot that holds the older synced length, to be overwritten next.
    next_slot: usize,
    /// Whether this replica replaces one in the same folder whose state was lost.
    is_successor: bool,
    /// Whether a write failed. The content of the file is then unknown until the file is read
    /// again.
    has_failed: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the folder of replica `name`. An empty folder becomes the folder of a new replica with
    /// the id `new_id`.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, is missing or damaged, was written by a newer build, or belongs
    /// to another replica.
    pub fn open(disk: D, name: &str, new_id: ReplicaId) -> Result<(Self, RecoveredState), Error> {
        let mut store = Self::new(disk, new_id);
        let opened = store.open_files(name)?;
        Ok((store, opened))
    }

    /// Opens the folder like [`Store::open`]; if the state of the replica is lost, sets its files
    /// aside and begins as a new replica with the id `new_id`, which no replica may have had before.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or written, was written by a newer build, or belongs to another
    /// replica.
    pub fn open_or_rejoin(
        disk: D,
        name: &str,
        new_id: ReplicaId,
    ) -> Result<(Self, RecoveredState), Error> {
        let mut store = Self::new(disk, new_id);
        let opened = match store.open_files(name) {
            Err(error) if error.is_lost_state() => store.rejoin(name, new_id, &error)?,
            opened => opened?,
        };
        Ok((store, opened))
    }

    fn new(disk: D, new_id: ReplicaId) -> Self {
        Self {
            disk,
            id: new_id,
            sequence: 0,
            length: 0,
            hard_state: HardState::default(),
            next_slot: 0,
            is_successor: false,
            has_failed: false,
        }
    }

    fn open_files(&mut self, name: &str) -> Result<RecoveredState, Error> {
        let opened = self.recover_or_create(name);
        opened.map_err(|error| match error.is_lost_state() {
            // A newer build may be able to use what looks like lost state here.
            true => self.find_unknown_format().unwrap_or(error),
            false => error,
        })
    }

    fn recover_or_create(&mut self, name: &str) -> Result<RecoveredState, Error> {
        let names = self.list_files()?;
        self.sequence = names
            .iter()
            .filter_map(|n| parse_log_sequence(n))
            .max()
            .unwrap_or(0);
        for temp_name in names.iter().filter(|n| n.ends_with(TEMP_FILE_SUFFIX)) {
            self.remove_file(temp_name)?;
        }
        let identity: Option<Identity> = self.read_single_record(IDENTITY_FILE)?;
        if let Some(identity) = &identity
            && identity.name != name
        {
            return Err(Error::ReplicaNameMismatch {
                found: identity.name.clone(),
                wanted: name.to_owned(),
            });
        }
        let id = identity.map(|i| i.id);
        // Read after the name was checked: damage of this file may lead to a rejoin.
        if let Some(succession) = self.read_succession()? {
            self.is_successor = true;
            if id != Some(succession.id) {
                return self.finish_rejoin(name, &succession);
            }
        }
        if let Some(id) = id {
            self.id = id;
            return self.recover();
        }
        self.create_replica_files(name)?;
        let notice = format!("data folder is empty: new replica {:016x}", self.id);
        Ok(RecoveredState::empty(notice))
    }

    /// Returns the id of the replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Reports whether this replica replaces one in the same folder whose state was lost. Such a
    /// replica must not take part in founding a cluster: the lost state may be that of a member.
    #[must_use]
    pub fn is_successor(&self) -> bool {
        self.is_successor
    }

    /// Returns the length of the log file, in bytes.
    #[must_use]
    pub fn log_len(&self) -> u64 {
        self.length
    }

    /// Returns the disk that holds the files.
    #[must_use]
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Stores the contents of `ready`, and syncs them if `ready` requires a sync. The messages of
    /// `ready` may be sent only after this method has returned.
    ///
    /// # Errors
    ///
    /// After an error the driver must acknowledge neither `ready` nor anything later.
    pub fn save(&mut self, ready: &Ready) -> Result<(), Error> {
        let mut hard_state = ready.hard_state;
        if let Some(snapshot) = &ready.snapshot {
            let state = hard_state.take().unwrap_or(self.hard_state);
            self.replace_snapshot_and_log(snapshot, &ready.entries, state)?;
            return Ok(());
        }
        let mut bytes = Vec::new();
        for entry in &ready.entries {
            record::encode(&Record::Entry(entry.clone()), &mut bytes)?;
        }
        if let Some(state) = hard_state {
            record::encode(&Record::HardState(state), &mut bytes)?;
            self.hard_state = state;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.run_unless_failed(|store| store.append_to_log(&bytes, ready.must_sync))
    }

    /// Replaces the snapshot, and replaces the log with `rest`, the entries after the snapshot.
    ///
    /// # Errors
    ///
    /// After an error the driver must acknowledge nothing more.
    pub fn compact(&mut self, snapshot: &Snapshot, rest: &[Entry]) -> Result<(), Error> {
        self.replace_snapshot_and_log(snapshot, rest, self.hard_state)
    }

    /// Stores the state from which a new cluster starts.
    ///
    /// # Errors
    ///
    /// After an error the driver must acknowledge nothing.
    pub fn initialize_cluster(&mut self, stored: &PersistentState) -> Result<(), Error> {
        let Some(snapshot) = &stored.snapshot else {
            return Ok(());
        };
        self.replace_snapshot_and_log(snapshot, &stored.entries, stored.hard_state)
    }

    /// Runs `action`, and refuses all later writes if it fails: after a failed sync the operating
    /// system may have dropped the unsynced data, so a later successful sync proves nothing.
    fn run_unless_failed(
        &mut self,
        action: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.has_failed {
            return Err(Error::EarlierWriteFailed);
        }
        let outcome = action(self);
        self.has_failed = outcome.is_err();
        outcome
    }

    fn append_to_log(&mut self, bytes: &[u8], must_sync: bool) -> Result<(), Error> {
        let file = log_file_name(self.sequence);
        let to_error = |action| {
            let file = file.clone();
            move |e: io::Error| Error::io(action, &file, &e)
        };
        self.disk
            .append(&file, bytes)
            .map_err(to_error("writing"))?;
        self.length += bytes.len() as u64;
        if must_sync {
            self.disk.sync(&file).map_err(to_error("syncing"))?;
            self.write_synced_length()?;
        }
        Ok(())
    }

    fn replace_snapshot_and_log(
        &mut self,
        snapshot: &Snapshot,
        rest: &[Entry],
        hard_state: HardState,
    ) -> Result<(), Error> {
        self.run_unless_failed(|store| {
            // The snapshot is written before the log: a crash between the two leaves an older log
            // whose first entries the snapshot includes.
            store.write_single_record(SNAPSHOT_FILE, snapshot)?;
            let old = store.sequence;
            store.hard_state = hard_state;
            store.write_new_log(old + 1, snapshot.index, rest)?;
            store.remove_file(&log_file_name(old))
        })
    }

    /// Writes a new log file, which replaces the current log once the file has its final name.
    fn write_new_log(
        &mut self,
        sequence: u64,
        snapshot_index: u64,
        rest: &[Entry],
    ) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::encode(
            &Record::FileStart {
                sequence,
                snapshot_index,
            },
            &mut bytes,
        )?;
        for entry in rest {
            record::encode(&Record::Entry(entry.clone()), &mut bytes)?;
        }
        record::encode(&Record::HardState(self.hard_state), &mut bytes)?;
        self.write_file_atomically(&log_file_name(sequence), &bytes)?;
        self.sequence = sequence;
        self.length = bytes.len() as u64;
        self.write_synced_length()
    }

    /// Writes a file that holds a single record.
    fn write_single_record(&mut self, name: &str, value: &impl Serialize) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::encode(value, &mut bytes)?;
        self.write_file_atomically(name, &bytes)
    }

    /// Writes a file so that a crash leaves either the old file or the complete new file.
    fn write_file_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let temp_name = format!("{name}{TEMP_FILE_SUFFIX}");
        let to_error = |action| move |e: io::Error| Error::io(action, name, &e);
        let disk = &mut self.disk;
        disk.append(&temp_name, bytes)
            .map_err(to_error("writing"))?;
        disk.sync(&temp_name).map_err(to_error("syncing"))?;
        disk.rename(&temp_name, name)
            .map_err(to_error("renaming"))?;
        disk.sync_folder()
            .map_err(to_error("syncing the folder of"))
    }

    fn remove_file(&mut self, name: &str) -> Result<(), Error> {
        let removed = self.disk.remove(name);
        removed.map_err(|e| Error::io("removing", name, &e))
    }

    fn list_files(&self) -> Result<Vec<String>, Error> {
        let listed = self.disk.list();
        listed.map_err(|e| Error::io("listing", "data folder", &e))
    }

    fn sync_folder_of(&mut self, name: &str) -> Result<(), Error> {
        let synced = self.disk.sync_folder();
        synced.map_err(|e| Error::io("syncing the folder of", name, &e))
    }

    fn read_file(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let read = self.disk.read(name);
        read.map_err(|e| Error::io("reading", name, &e))
    }

    /// Reads a file that holds a single record; returns `None` if the file doesn't exist.
    fn read_single_record<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Error> {
        let Some(bytes) = self.read_file(name)? else {
            return Ok(None);
        };
        let corrupt = |offset: usize, reason: String| Error::Corrupt {
            file: name.to_owned(),
            offset: offset as u64,
            reason,
        };
        match record::decode(&bytes, 0) {
            Decoded::Complete(value, end) if end == bytes.len() => Ok(Some(value)),
            Decoded::Complete(_, end) => Err(corrupt(
                end,
                "file has trailing bytes after the record".to_owned(),
            )),
            Decoded::Corrupt(reason) => Err(corrupt(0, reason)),
            Decoded::UnknownFormat(reason) => Err(unknown_format(name, 0, reason)),
            Decoded::EndOfFile | Decoded::Torn => {
                Err(corrupt(bytes.len(), "file is cut short".to_owned()))
            }
        }
    }

    /// Creates the files of a new replica. The identity is written last, so that a crash before
    /// leaves a folder that is treated as empty.
    fn create_replica_files(&mut self, name: &str) -> Result<(), Error> {
        let has_data = self.sequence > 1 || self.read_file(SNAPSHOT_FILE)?.is_some();
        if has_data
            || self
                .read_log(&log_file_name(1))?
                .is_some_and(|log| log.has_content() || log.damage.is_some())
        {
            return Err(Error::MissingFile(IDENTITY_FILE.to_owned()));
        }
        if self.sequence == 1 {
            self.remove_file(&log_file_name(1))?;
        }
        self.write_new_log(1, 0, &[])?;
        self.restore_synced_lengths()?;
        let identity = Identity {
            name: name.to_owned(),
            id: self.id,
        };
        self.write_single_record(IDENTITY_FILE, &identity)
    }
}

fn unknown_format(file: &str, offset: u64, reason: String) -> Error {
    Error::UnknownFormat {
        file: file.to_owned(),
        offset,
        reason,
    }
}

fn log_file_name(sequence: u64) -> String {
    format!("{LOG_FILE_PREFIX}{sequence}")
}

fn parse_log_sequence(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_FILE_PREFIX)?.parse().ok()
}
