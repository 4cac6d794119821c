//! The store of one replica.

use std::io;

use consensus::{Entry, HardState, Id, PersistentState, Ready, Snapshot};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    Disk, Error,
    record::{self, Found, Record},
};

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const MARK: &str = "mark";
const LOG: &str = "log-";
/// Suffix of files that aren't complete yet.
const PARTIAL: &str = ".tmp";

/// Who the replica is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    name: String,
    id: Id,
}

/// How much of the log was synced at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    /// Number of the log file, in a fixed width so that each mark overwrites the last one.
    sequence: [u8; 8],
    /// Its length in bytes.
    length: [u8; 8],
}

/// What a folder held when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// State from which the replica goes on.
    pub stored: PersistentState,
    /// What was put right, for the log of the process.
    pub notices: Vec<String>,
}

/// The store of one replica.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    id: Id,
    /// Number of the log file.
    sequence: u64,
    /// Length of the log file in bytes.
    length: u64,
    hard_state: HardState,
    /// Whether a write failed. What the file holds is then unknown until it is read again.
    failed: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the folder of replica `name`; an empty one becomes that of a new replica with the id
    /// `fresh`.
    ///
    /// # Errors
    ///
    /// Says which file is wrong and what to do.
    pub fn open(disk: D, name: &str, fresh: Id) -> Result<(Self, Opened), Error> {
        let names = disk
            .list()
            .map_err(|e| Error::io("listing", "folder", &e))?;
        let mut store = Self {
            disk,
            id: fresh,
            sequence: 0,
            length: 0,
            hard_state: HardState::default(),
            failed: false,
        };
        store.sequence = names
            .iter()
            .filter_map(|n| sequence_of(n))
            .max()
            .unwrap_or(0);
        for partial in names.iter().filter(|n| n.ends_with(PARTIAL)) {
            store.remove(partial)?;
        }
        let identity: Option<Identity> = store.read_whole(IDENTITY)?;
        match identity {
            Some(identity) if identity.name != name => Err(Error::OtherName {
                found: identity.name,
                wanted: name.to_owned(),
            }),
            Some(identity) => {
                store.id = identity.id;
                let opened = store.recover()?;
                Ok((store, opened))
            }
            None => {
                store.start_new(name)?;
                let stored = PersistentState::default();
                let notices = vec![format!("data folder is empty: new replica {fresh:016x}")];
                Ok((store, Opened { stored, notices }))
            }
        }
    }

    /// Identity of the replica.
    #[must_use]
    pub fn id(&self) -> Id {
        self.id
    }

    /// Length of the log file, in bytes.
    #[must_use]
    pub fn log_len(&self) -> u64 {
        self.length
    }

    /// The folder's files.
    #[must_use]
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Stores and, where needed, syncs what `ready` holds. Only then may its messages be sent.
    ///
    /// # Errors
    ///
    /// Nothing of `ready` may be acknowledged, and nothing later either.
    pub fn save(&mut self, ready: &Ready) -> Result<(), Error> {
        let mut hard_state = ready.hard_state;
        if let Some(snapshot) = &ready.snapshot {
            let state = hard_state.take().unwrap_or(self.hard_state);
            self.replace(snapshot, &ready.entries, state)?;
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
        self.guarded(|store| store.append(&bytes, ready.must_sync))
    }

    /// Replaces the snapshot, and the log by `rest`, which follows it.
    ///
    /// # Errors
    ///
    /// Nothing may be acknowledged any longer.
    pub fn compact(&mut self, snapshot: &Snapshot, rest: &[Entry]) -> Result<(), Error> {
        self.replace(snapshot, rest, self.hard_state)
    }

    /// Stores the state from which a new cluster starts.
    ///
    /// # Errors
    ///
    /// Nothing may be acknowledged.
    pub fn found(&mut self, stored: &PersistentState) -> Result<(), Error> {
        let Some(snapshot) = &stored.snapshot else {
            return Ok(());
        };
        self.replace(snapshot, &stored.entries, stored.hard_state)
    }

    /// Runs a step after which, if it fails, nothing more is written: after a failed sync the
    /// system may have dropped what was to be written, so that a second one proves nothing.
    fn guarded(&mut self, step: impl FnOnce(&mut Self) -> Result<(), Error>) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        let outcome = step(self);
        self.failed = outcome.is_err();
        outcome
    }

    fn append(&mut self, bytes: &[u8], must_sync: bool) -> Result<(), Error> {
        let file = log_name(self.sequence);
        let failed = |step| {
            let file = file.clone();
            move |e: io::Error| Error::io(step, &file, &e)
        };
        self.disk.append(&file, bytes).map_err(failed("writing"))?;
        self.length += bytes.len() as u64;
        if must_sync {
            self.disk.sync(&file).map_err(failed("syncing"))?;
            self.write_mark()?;
        }
        Ok(())
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        rest: &[Entry],
        hard_state: HardState,
    ) -> Result<(), Error> {
        self.guarded(|store| {
            // First the snapshot, then the log behind it: a crash between them leaves an older
            // log whose start the snapshot includes.
            store.write_whole(SNAPSHOT, snapshot)?;
            let old = store.sequence;
            store.hard_state = hard_state;
            store.write_log(old + 1, snapshot.index, rest)?;
            store.remove(&log_name(old))
        })
    }

    /// Writes a new log file, which counts once it has its name.
    fn write_log(&mut self, sequence: u64, index: u64, rest: &[Entry]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::encode(&Record::Base { sequence, index }, &mut bytes)?;
        for entry in rest {
            record::encode(&Record::Entry(entry.clone()), &mut bytes)?;
        }
        record::encode(&Record::HardState(self.hard_state), &mut bytes)?;
        self.write_file(&log_name(sequence), &bytes)?;
        self.sequence = sequence;
        self.length = bytes.len() as u64;
        self.write_mark()
    }

    fn write_mark(&mut self) -> Result<(), Error> {
        let mark = Mark {
            sequence: self.sequence.to_le_bytes(),
            length: self.length.to_le_bytes(),
        };
        let mut bytes = Vec::new();
        record::encode(&mark, &mut bytes)?;
        // It isn't synced: as a lower bound it may be old, and a second sync would double the time
        // of each commit.
        self.disk
            .overwrite(MARK, &bytes)
            .map_err(|e| Error::io("writing", MARK, &e))
    }

    /// Writes a file of one record.
    fn write_whole(&mut self, name: &str, value: &impl Serialize) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::encode(value, &mut bytes)?;
        self.write_file(name, &bytes)
    }

    /// Writes a file so that after a crash either the old one is there or the whole new one.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let partial = format!("{name}{PARTIAL}");
        let failed = |step| move |e: io::Error| Error::io(step, name, &e);
        let disk = &mut self.disk;
        disk.append(&partial, bytes).map_err(failed("writing"))?;
        disk.sync(&partial).map_err(failed("syncing"))?;
        disk.rename(&partial, name).map_err(failed("renaming"))?;
        disk.sync_folder().map_err(failed("syncing the folder of"))
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        let removed = self.disk.remove(name);
        removed.map_err(|e| Error::io("removing", name, &e))
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let read = self.disk.read(name);
        read.map_err(|e| Error::io("reading", name, &e))
    }

    /// Reads a file of one record.
    fn read_whole<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Error> {
        let Some(bytes) = self.read(name)? else {
            return Ok(None);
        };
        let damaged = |offset: usize, reason: String| Error::Damaged {
            file: name.to_owned(),
            offset: offset as u64,
            reason,
        };
        match record::decode(&bytes, 0) {
            Found::Whole(value, end) if end == bytes.len() => Ok(Some(value)),
            Found::Whole(_, end) => Err(damaged(end, "bytes follow the record".to_owned())),
            Found::Damaged(reason) => Err(damaged(0, reason)),
            Found::End | Found::Torn => Err(damaged(bytes.len(), "file is cut short".to_owned())),
        }
    }

    /// Makes the files of a new replica. The identity comes last, so that a crash before it leaves
    /// a folder that counts as empty.
    fn start_new(&mut self, name: &str) -> Result<(), Error> {
        let used = self.sequence > 1 || self.read(SNAPSHOT)?.is_some();
        if used || self.replay(&log_name(1))?.is_some_and(|log| log.is_used()) {
            return Err(Error::Missing(IDENTITY.to_owned()));
        }
        if self.sequence == 1 {
            self.remove(&log_name(1))?;
        }
        self.write_log(1, 0, &[])?;
        let identity = Identity {
            name: name.to_owned(),
            id: self.id,
        };
        self.write_whole(IDENTITY, &identity)
    }

    fn recover(&mut self) -> Result<Opened, Error> {
        let file = log_name(self.sequence);
        let missing = || Error::Missing(file.clone());
        let log = self.replay(&file)?.ok_or_else(missing)?;
        let mut notices = log.notices.clone();
        self.check_mark(&file, log.length, &mut notices)?;
        let snapshot: Option<Snapshot> = self.read_whole(SNAPSHOT)?;
        if snapshot.as_ref().map_or(0, |s| s.index) < log.base {
            return Err(Error::Missing(SNAPSHOT.to_owned()));
        }
        self.length = log.length;
        self.hard_state = log.hard_state;
        let entries = match &snapshot {
            Some(snapshot) => behind(snapshot, log.entries),
            None => log.entries,
        };
        match &snapshot {
            // A crash came between the snapshot and the log behind it.
            Some(snapshot) if snapshot.index > log.base => {
                self.write_log(self.sequence + 1, snapshot.index, &entries)?;
            }
            _ => self.settle(&file, log.is_torn)?,
        }
        for number in 1..self.sequence {
            let old = log_name(number);
            if self.read(&old)?.is_some() {
                self.remove(&old)?;
            }
        }
        let stored = PersistentState {
            hard_state: log.hard_state,
            snapshot,
            entries,
        };
        Ok(Opened { stored, notices })
    }

    /// Cuts a log file behind its last whole record, where it `is_torn`, and syncs what was read:
    /// a process that died before its sync may have left it in the cache alone.
    fn settle(&mut self, file: &str, is_torn: bool) -> Result<(), Error> {
        if is_torn {
            let cut = self.disk.truncate(file, self.length);
            cut.map_err(|e| Error::io("cutting", file, &e))?;
        }
        let synced = self.disk.sync(file);
        synced.map_err(|e| Error::io("syncing", file, &e))?;
        let synced = self.disk.sync_folder();
        synced.map_err(|e| Error::io("syncing the folder of", file, &e))?;
        self.write_mark()
    }

    /// Compares the log with what was synced at least.
    fn check_mark(&self, file: &str, found: u64, notices: &mut Vec<String>) -> Result<(), Error> {
        let bytes = self.read(MARK)?.unwrap_or_default();
        let Found::Whole(mark, _) = record::decode::<Mark>(&bytes, 0) else {
            notices.push("mark of the synced length can't be read and is passed over".to_owned());
            return Ok(());
        };
        let sequence = u64::from_le_bytes(mark.sequence);
        let synced = u64::from_le_bytes(mark.length);
        if sequence > self.sequence {
            return Err(Error::Missing(log_name(sequence)));
        }
        if sequence == self.sequence && found < synced {
            return Err(Error::Short {
                file: file.to_owned(),
                synced,
                found,
            });
        }
        Ok(())
    }

    /// Reads a log file; `None` where there is none.
    fn replay(&self, file: &str) -> Result<Option<Replay>, Error> {
        let Some(bytes) = self.read(file)? else {
            return Ok(None);
        };
        let mut log = Replay::default();
        loop {
            let offset = log.length;
            let damaged = |reason: String| Error::Damaged {
                file: file.to_owned(),
                offset,
                reason,
            };
            let place = usize::try_from(offset).unwrap_or(usize::MAX);
            match record::decode(&bytes, place) {
                Found::Whole(record, end) => {
                    log.take(record).map_err(damaged)?;
                    log.length = end as u64;
                }
                Found::End if log.length == 0 => {
                    return Err(damaged("file is empty".to_owned()));
                }
                Found::End => return Ok(Some(log)),
                Found::Torn if log.length == 0 => {
                    return Err(damaged("file is cut short".to_owned()));
                }
                Found::Torn => {
                    log.is_torn = true;
                    let lost = bytes.len() as u64 - offset;
                    log.notices.push(format!(
                        "{file}: dropped {lost} bytes at byte {offset} that a crash cut short"
                    ));
                    return Ok(Some(log));
                }
                Found::Damaged(reason) => return Err(damaged(reason)),
            }
        }
    }
}

/// What a log file holds.
#[derive(Debug, Default)]
struct Replay {
    base: u64,
    /// Whether the base was read.
    is_started: bool,
    hard_state: HardState,
    /// Invariant: without gaps.
    entries: Vec<Entry>,
    /// Length of the whole records, in bytes.
    length: u64,
    is_torn: bool,
    notices: Vec<String>,
}

impl Replay {
    fn take(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Base { index, .. } if !self.is_started => {
                self.base = index;
                self.is_started = true;
            }
            Record::Base { .. } => return Err("a second base".to_owned()),
            _ if !self.is_started => return Err("no base at the start".to_owned()),
            Record::HardState(state) => self.hard_state = state,
            Record::Entry(entry) => {
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                let expected = self.entries.last().map_or(self.base, |e| e.index) + 1;
                if entry.index != expected {
                    return Err(format!("entry {} follows {}", entry.index, expected - 1));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    fn is_used(&self) -> bool {
        !self.entries.is_empty() || self.hard_state != HardState::default()
    }
}

/// The entries that go on behind `snapshot`.
///
/// A snapshot from a leader may be newer than the log. What follows its last entry in the log
/// counts only where that entry is the same one; else it was never committed.
fn behind(snapshot: &Snapshot, entries: Vec<Entry>) -> Vec<Entry> {
    let first = entries.first().map_or(u64::MAX, |e| e.index);
    let same = entries
        .iter()
        .any(|e| e.index == snapshot.index && e.term == snapshot.term);
    if !same && first != snapshot.index + 1 {
        return Vec::new();
    }
    let rest = entries.into_iter().filter(|e| e.index > snapshot.index);
    rest.collect()
}

fn log_name(sequence: u64) -> String {
    format!("{LOG}{sequence}")
}

fn sequence_of(name: &str) -> Option<u64> {
    name.strip_prefix(LOG)?.parse().ok()
}
