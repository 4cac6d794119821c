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
const SYNCED_LENGTH_FILE: &str = "mark";
const LOG_FILE_PREFIX: &str = "log-";
/// Suffix of files that aren't completely written.
const TEMP_FILE_SUFFIX: &str = ".tmp";

/// Identity of the replica, written once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    name: String,
    id: ReplicaId,
}

/// Lower bound of the synced length of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct SyncedLength {
    /// Number of the log file; the fixed width lets each value overwrite the previous one in place.
    sequence: [u8; 8],
    /// Synced length of the log file, in bytes.
    length: [u8; 8],
}

/// State that was recovered from a folder when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// State from which the replica resumes.
    pub stored: PersistentState,
    /// Notices for the log of the process, such as repairs and a new identity.
    pub notices: Vec<String>,
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
    /// Fails if a file can't be read, is missing or damaged, or belongs to another replica.
    pub fn open(disk: D, name: &str, new_id: ReplicaId) -> Result<(Self, RecoveredState), Error> {
        let names = disk
            .list()
            .map_err(|e| Error::io("listing", "data folder", &e))?;
        let mut store = Self {
            disk,
            id: new_id,
            sequence: 0,
            length: 0,
            hard_state: HardState::default(),
            has_failed: false,
        };
        store.sequence = names
            .iter()
            .filter_map(|n| parse_log_sequence(n))
            .max()
            .unwrap_or(0);
        for temp_name in names.iter().filter(|n| n.ends_with(TEMP_FILE_SUFFIX)) {
            store.remove_file(temp_name)?;
        }
        let identity: Option<Identity> = store.read_single_record(IDENTITY_FILE)?;
        match identity {
            Some(identity) if identity.name != name => Err(Error::ReplicaNameMismatch {
                found: identity.name,
                wanted: name.to_owned(),
            }),
            Some(identity) => {
                store.id = identity.id;
                let opened = store.recover()?;
                Ok((store, opened))
            }
            None => {
                store.create_replica_files(name)?;
                let stored = PersistentState::default();
                let notices = vec![format!("data folder is empty: new replica {new_id:016x}")];
                Ok((store, RecoveredState { stored, notices }))
            }
        }
    }

    /// Returns the id of the replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
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

    fn write_synced_length(&mut self) -> Result<(), Error> {
        let synced_length = SyncedLength {
            sequence: self.sequence.to_le_bytes(),
            length: self.length.to_le_bytes(),
        };
        let mut bytes = Vec::new();
        record::encode(&synced_length, &mut bytes)?;
        // Not synced: an older value is a valid lower bound, and a second sync would double the
        // time of each commit.
        self.disk
            .overwrite(SYNCED_LENGTH_FILE, &bytes)
            .map_err(|e| Error::io("writing", SYNCED_LENGTH_FILE, &e))
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
                .is_some_and(|log| log.has_content())
        {
            return Err(Error::MissingFile(IDENTITY_FILE.to_owned()));
        }
        if self.sequence == 1 {
            self.remove_file(&log_file_name(1))?;
        }
        self.write_new_log(1, 0, &[])?;
        let identity = Identity {
            name: name.to_owned(),
            id: self.id,
        };
        self.write_single_record(IDENTITY_FILE, &identity)
    }

    fn recover(&mut self) -> Result<RecoveredState, Error> {
        let file = log_file_name(self.sequence);
        let missing = || Error::MissingFile(file.clone());
        let log = self.read_log(&file)?.ok_or_else(missing)?;
        let mut notices = log.notices.clone();
        self.check_synced_length(&file, log.length, &mut notices)?;
        let snapshot: Option<Snapshot> = self.read_single_record(SNAPSHOT_FILE)?;
        if snapshot.as_ref().map_or(0, |s| s.index) < log.snapshot_index {
            return Err(Error::MissingFile(SNAPSHOT_FILE.to_owned()));
        }
        self.length = log.length;
        self.hard_state = log.hard_state;
        let entries = match &snapshot {
            Some(snapshot) => entries_after(snapshot, log.entries),
            None => log.entries,
        };
        match &snapshot {
            // A crash interrupted the replacement after the snapshot and before the log.
            Some(snapshot) if snapshot.index > log.snapshot_index => {
                self.write_new_log(self.sequence + 1, snapshot.index, &entries)?;
            }
            _ => self.truncate_and_sync_log(&file, log.is_torn)?,
        }
        for number in 1..self.sequence {
            let old = log_file_name(number);
            if self.read_file(&old)?.is_some() {
                self.remove_file(&old)?;
            }
        }
        let stored = PersistentState {
            hard_state: log.hard_state,
            snapshot,
            entries,
        };
        Ok(RecoveredState { stored, notices })
    }

    /// Truncates a log file after its last complete record if the file `is_torn`, and syncs the
    /// file: a process that died before its sync may have left the records only in the page cache.
    fn truncate_and_sync_log(&mut self, file: &str, is_torn: bool) -> Result<(), Error> {
        if is_torn {
            let truncated = self.disk.truncate(file, self.length);
            truncated.map_err(|e| Error::io("truncating", file, &e))?;
        }
        let synced = self.disk.sync(file);
        synced.map_err(|e| Error::io("syncing", file, &e))?;
        let synced = self.disk.sync_folder();
        synced.map_err(|e| Error::io("syncing the folder of", file, &e))?;
        self.write_synced_length()
    }

    /// Checks that the log holds at least the bytes that were synced.
    fn check_synced_length(
        &self,
        file: &str,
        valid_length: u64,
        notices: &mut Vec<String>,
    ) -> Result<(), Error> {
        let bytes = self.read_file(SYNCED_LENGTH_FILE)?.unwrap_or_default();
        let Decoded::Complete(lower_bound, _) = record::decode::<SyncedLength>(&bytes, 0) else {
            notices
                .push("file mark with the synced length can't be read and is ignored".to_owned());
            return Ok(());
        };
        let sequence = u64::from_le_bytes(lower_bound.sequence);
        let synced_length = u64::from_le_bytes(lower_bound.length);
        if sequence > self.sequence {
            return Err(Error::MissingFile(log_file_name(sequence)));
        }
        if sequence == self.sequence && valid_length < synced_length {
            return Err(Error::SyncedDataLost {
                file: file.to_owned(),
                synced_length,
                valid_length,
            });
        }
        Ok(())
    }

    /// Reads a log file; returns `None` if the file doesn't exist.
    fn read_log(&self, file: &str) -> Result<Option<LogContents>, Error> {
        let Some(bytes) = self.read_file(file)? else {
            return Ok(None);
        };
        let mut log = LogContents::default();
        loop {
            let offset = log.length;
            let corrupt = |reason: String| Error::Corrupt {
                file: file.to_owned(),
                offset,
                reason,
            };
            let start = usize::try_from(offset).unwrap_or(usize::MAX);
            match record::decode(&bytes, start) {
                Decoded::Complete(record, end) => {
                    log.apply_record(record).map_err(corrupt)?;
                    log.length = end as u64;
                }
                Decoded::EndOfFile if log.length == 0 => {
                    return Err(corrupt("file is empty".to_owned()));
                }
                Decoded::EndOfFile => return Ok(Some(log)),
                Decoded::Torn if log.length == 0 => {
                    return Err(corrupt("file is cut short".to_owned()));
                }
                Decoded::Torn => {
                    log.is_torn = true;
                    let lost = bytes.len() as u64 - offset;
                    log.notices.push(format!(
                        "{file}: dropped {lost} bytes at byte {offset}: a crash cut short a record"
                    ));
                    return Ok(Some(log));
                }
                Decoded::Corrupt(reason) => return Err(corrupt(reason)),
            }
        }
    }
}

/// Contents of a log file.
#[derive(Debug, Default)]
struct LogContents {
    snapshot_index: u64,
    /// Whether the file-start record was read.
    has_file_start: bool,
    hard_state: HardState,
    /// Invariant: without gaps.
    entries: Vec<Entry>,
    /// Length of the complete records, in bytes.
    length: u64,
    is_torn: bool,
    notices: Vec<String>,
}

impl LogContents {
    fn apply_record(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::FileStart { snapshot_index, .. } if !self.has_file_start => {
                self.snapshot_index = snapshot_index;
                self.has_file_start = true;
            }
            Record::FileStart { .. } => return Err("a second file-start record".to_owned()),
            _ if !self.has_file_start => return Err("first record is not a file start".to_owned()),
            Record::HardState(state) => self.hard_state = state,
            Record::Entry(entry) => {
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                let expected = self.entries.last().map_or(self.snapshot_index, |e| e.index) + 1;
                if entry.index != expected {
                    return Err(format!(
                        "entry {} follows entry {}",
                        entry.index,
                        expected - 1
                    ));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    fn has_content(&self) -> bool {
        !self.entries.is_empty() || self.hard_state != HardState::default()
    }
}

/// Returns the entries that follow `snapshot`.
///
/// A snapshot from a leader may be newer than the log. Entries after the snapshot's last index are
/// kept only if the log holds the snapshot's last entry with the same term, or begins directly
/// after the snapshot; otherwise these entries were never committed.
fn entries_after(snapshot: &Snapshot, entries: Vec<Entry>) -> Vec<Entry> {
    let first = entries.first().map_or(u64::MAX, |e| e.index);
    let holds_snapshot_entry = entries
        .iter()
        .any(|e| e.index == snapshot.index && e.term == snapshot.term);
    if !holds_snapshot_entry && first != snapshot.index + 1 {
        return Vec::new();
    }
    let rest = entries.into_iter().filter(|e| e.index > snapshot.index);
    rest.collect()
}

fn log_file_name(sequence: u64) -> String {
    format!("{LOG_FILE_PREFIX}{sequence}")
}

fn parse_log_sequence(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_FILE_PREFIX)?.parse().ok()
}
