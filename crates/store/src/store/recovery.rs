//! Reading the log at a start, and the decision about damage in it.

use consensus::{Entry, HardState, PersistentState, Snapshot};

use super::{
    IDENTITY_FILE, Identity, RecoveredState, SNAPSHOT_FILE, Store, log_file_name,
    parse_log_sequence,
    synced_length::{self, Known, SyncedLength},
    unknown_format,
};
use crate::{
    Disk, Error,
    record::{self, Decoded, Record},
};

impl<D: Disk> Store<D> {
    pub(super) fn recover(&mut self) -> Result<RecoveredState, Error> {
        let file = log_file_name(self.sequence);
        let missing = || Error::MissingFile(file.clone());
        let mut notices = Vec::new();
        let known = self.read_synced_lengths(&mut notices)?;
        let synced_length = self.synced_length_of_log(known)?;
        let mut log = self.read_log(&file)?.ok_or_else(missing)?;
        if let Some(damage) = log.damage.take() {
            self.check_never_acknowledged(&file, &log, &damage, known, synced_length)?;
            notices.insert(
                0,
                format!(
                    "{file}: dropped {} bytes at byte {}: a crash cut short a write that was not \
                     acknowledged ({}; synced up to byte {synced_length})",
                    damage.length, log.length, damage.reason
                ),
            );
            log.dropped_bytes = damage.length;
        } else if log.length < synced_length {
            return Err(synced_data_lost(&file, synced_length, log.length));
        }
        let snapshot: Option<Snapshot> = self.read_single_record(SNAPSHOT_FILE)?;
        match &snapshot {
            None if log.snapshot_index > 0 => {
                return Err(Error::MissingFile(SNAPSHOT_FILE.to_owned()));
            }
            Some(snapshot) if snapshot.index < log.snapshot_index => {
                return Err(Error::OldSnapshot {
                    snapshot_index: snapshot.index,
                    log: file,
                    log_snapshot_index: log.snapshot_index,
                });
            }
            _ => {}
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
            _ => self.truncate_and_sync_log(&file, log.dropped_bytes > 0)?,
        }
        self.restore_synced_lengths()?;
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
        Ok(RecoveredState {
            stored,
            notices,
            dropped_bytes: log.dropped_bytes,
            has_rejoined: false,
        })
    }

    /// Checks that the damage at the end of the valid records of `log` lies in a write that was
    /// never acknowledged, so that it can be dropped.
    fn check_never_acknowledged(
        &self,
        file: &str,
        log: &LogContents,
        damage: &Damage,
        known: Known,
        synced_length: u64,
    ) -> Result<(), Error> {
        let (file, offset) = (file.to_owned(), log.length);
        let reason = damage.reason.clone();
        if damage.is_cut_short && offset > 0 && offset < synced_length {
            return Err(synced_data_lost(&file, synced_length, offset));
        }
        // The first records of a log file are synced before the file gets its name.
        if offset == 0 || offset < synced_length {
            return Err(Error::Corrupt {
                file,
                offset,
                reason,
            });
        }
        match known {
            Known::Exact(SyncedLength { sequence, .. }) if sequence == self.sequence => Ok(()),
            // Nothing is appended to a log file before its synced length is stored.
            Known::Exact(_) => Err(Error::Corrupt {
                file,
                offset,
                reason,
            }),
            // Earlier builds drop what the end of the file cuts short. A synced record has its whole
            // length, since a sync covers the length of the file.
            Known::ByEarlierBuild(_) if damage.is_cut_short => Ok(()),
            Known::ByEarlierBuild(_) | Known::LowerBound(_) => Err(Error::Doubtful {
                file,
                offset,
                reason,
                synced_length,
            }),
        }
    }

    /// Truncates a log file after its last valid record if the file `is_damaged` behind it, and
    /// syncs the file: a process that died before its sync may have left the records only in the
    /// page cache.
    fn truncate_and_sync_log(&mut self, file: &str, is_damaged: bool) -> Result<(), Error> {
        if is_damaged {
            let truncated = self.disk.truncate(file, self.length);
            truncated.map_err(|e| Error::io("truncating", file, &e))?;
        }
        let synced = self.disk.sync(file);
        synced.map_err(|e| Error::io("syncing", file, &e))?;
        self.sync_folder_of(file)
    }

    /// Returns the error for a record of a newer build, if a file has one. Other errors are ignored.
    pub(super) fn find_unknown_format(&self) -> Option<Error> {
        let names = self.list_files().unwrap_or_default();
        let logs = names.iter().filter(|n| parse_log_sequence(n).is_some());
        let outcomes = [
            self.read_single_record::<Identity>(IDENTITY_FILE).err(),
            self.read_succession().err(),
            self.read_single_record::<Snapshot>(SNAPSHOT_FILE).err(),
        ];
        let lengths = synced_length::file_names().map(|n| self.read_length(n).err());
        let logs = logs.map(|n| self.read_log(n).err());
        let mut errors = outcomes.into_iter().chain(lengths).chain(logs).flatten();
        errors.find(|e| matches!(e, Error::UnknownFormat { .. }))
    }

    /// Reads a log file up to the first damage; returns `None` if the file doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or if the first record that is not valid has a format that
    /// this build doesn't know. Such a record is never dropped, also not behind the synced length: a
    /// write that was torn has no valid checksum.
    pub(super) fn read_log(&self, file: &str) -> Result<Option<LogContents>, Error> {
        let Some(bytes) = self.read_file(file)? else {
            return Ok(None);
        };
        let mut log = LogContents::default();
        loop {
            let start = usize::try_from(log.length).unwrap_or(usize::MAX);
            let (is_cut_short, reason) = match record::decode(&bytes, start) {
                Decoded::Complete(record, end) => match log.apply_record(record) {
                    Ok(()) => {
                        log.length = end as u64;
                        continue;
                    }
                    Err(reason) => (false, reason),
                },
                Decoded::EndOfFile if start == 0 => (true, "file is empty".to_owned()),
                Decoded::EndOfFile => return Ok(Some(log)),
                Decoded::Torn => (true, "the file ends within a record".to_owned()),
                Decoded::Corrupt(reason) => (false, reason),
                Decoded::UnknownFormat(reason) => {
                    return Err(unknown_format(file, log.length, reason));
                }
            };
            log.damage = Some(Damage {
                is_cut_short,
                reason,
                length: (bytes.len() - start) as u64,
            });
            return Ok(Some(log));
        }
    }
}

fn synced_data_lost(file: &str, synced_length: u64, valid_length: u64) -> Error {
    Error::SyncedDataLost {
        file: file.to_owned(),
        synced_length,
        valid_length,
    }
}

/// Bytes behind the last valid record of a log file.
#[derive(Debug)]
pub(super) struct Damage {
    /// Whether the end of the file, or zeros up to it, cut the record short.
    is_cut_short: bool,
    /// Description of the damage.
    reason: String,
    /// Number of bytes up to the end of the file.
    length: u64,
}

/// Contents of a log file.
#[derive(Debug, Default)]
pub(super) struct LogContents {
    snapshot_index: u64,
    /// Whether the file-start record was read.
    has_file_start: bool,
    hard_state: HardState,
    /// Invariant: without gaps.
    entries: Vec<Entry>,
    /// Length of the valid records, in bytes.
    length: u64,
    /// Damage behind the valid records.
    pub(super) damage: Option<Damage>,
    /// Number of damaged bytes that are dropped.
    dropped_bytes: u64,
}

impl LogContents {
    /// Applies a record. Contradictions are refused: a power loss may leave records of an earlier
    /// file in sectors that were not written.
    fn apply_record(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::FileStart { snapshot_index, .. } if !self.has_file_start => {
                self.snapshot_index = snapshot_index;
                self.has_file_start = true;
            }
            Record::FileStart { .. } => return Err("a second file-start record".to_owned()),
            _ if !self.has_file_start => return Err("first record is not a file start".to_owned()),
            Record::HardState(state) => {
                let HardState { term, vote, .. } = self.hard_state;
                if state.term < term {
                    return Err(format!("term {} follows term {term}", state.term));
                }
                if state.term == term && vote.is_some() && state.vote != vote {
                    return Err(format!("a second vote in term {term}"));
                }
                self.hard_state = state;
            }
            Record::Entry(entry) => {
                let kept = self.entries.iter().rposition(|e| e.index < entry.index);
                let previous = kept.and_then(|i| self.entries.get(i));
                let expected = previous.map_or(self.snapshot_index, |e| e.index) + 1;
                if entry.index != expected {
                    return Err(format!(
                        "entry {} follows entry {}",
                        entry.index,
                        expected - 1
                    ));
                }
                if let Some(previous) = previous.filter(|p| p.term > entry.term) {
                    return Err(format!(
                        "an entry of term {} follows one of term {}",
                        entry.term, previous.term
                    ));
                }
                self.entries.truncate(kept.map_or(0, |i| i + 1));
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    pub(super) fn has_content(&self) -> bool {
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
