//! The part of the log that is held in memory: all behind the snapshot.

use crate::{Entry, Membership, Payload, Snapshot};

/// Entries behind a base, with the memberships that they set.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Index of the last entry that the snapshot includes; 0 without one.
    snapshot_index: u64,
    /// Term of that entry.
    snapshot_term: u64,
    /// Invariant: `entries[i].index == snapshot_index + 1 + i`.
    entries: Vec<Entry>,
    /// Memberships with the index from which each counts.
    /// Invariant: never empty; indices grow; the first is at most `snapshot_index`.
    memberships: Vec<(u64, Membership)>,
    /// Last index that was handed out to be stored.
    handed_out_index: u64,
    /// Last index that is stored and synced.
    synced_index: u64,
}

impl Log {
    /// A log as found in the store.
    pub(crate) fn new(snapshot: Option<&Snapshot>, entries: Vec<Entry>) -> Self {
        let (snapshot_index, snapshot_term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
        let membership = snapshot.map_or_else(Membership::default, |s| s.membership.clone());
        let mut log = Self {
            snapshot_index,
            snapshot_term,
            entries: Vec::new(),
            memberships: vec![(snapshot_index, membership)],
            handed_out_index: snapshot_index,
            synced_index: snapshot_index,
        };
        for entry in entries {
            log.push(entry);
        }
        log.handed_out_index = log.last_index();
        log.synced_index = log.handed_out_index;
        log
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.snapshot_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_term, |e| e.term)
    }

    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Term of the entry at `index`; `None` where the log doesn't hold it any longer or yet.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|e| e.term)
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Entries from `first` to `last`, both included, as far as they are held.
    pub(crate) fn range(&self, first: u64, last: u64) -> &[Entry] {
        let place = |index: u64| {
            let place = index.saturating_sub(self.snapshot_index + 1);
            usize::try_from(place).map_or(self.entries.len(), |p| p.min(self.entries.len()))
        };
        let (from, to) = (place(first), place(last + 1));
        &self.entries[from..to.max(from)]
    }

    /// The membership that counts now: the last one appended.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index from which the present membership counts.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership as of `index`.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        let known = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        known.map_or(&self.memberships[0].1, |(_, m)| m)
    }

    /// Whether a log that ends with `last_index` and `last_term` holds at least as much.
    pub(crate) fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Appends the entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push(entry);
    }

    /// Drops all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.memberships.retain(|(i, _)| *i < index);
        self.handed_out_index = self.handed_out_index.min(index - 1);
        self.synced_index = self.synced_index.min(index - 1);
    }

    /// First index of the run of entries with the term of the one at `index`.
    pub(crate) fn term_start_index(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.snapshot_index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Forgets the entries up to `index`, which a snapshot includes.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        if index <= self.snapshot_index {
            return;
        }
        let gone = usize::try_from(index - self.snapshot_index).unwrap_or(usize::MAX);
        self.entries.drain(..gone.min(self.entries.len()));
        let membership = self.membership_at(index).clone();
        self.memberships.retain(|(i, _)| *i > index);
        self.memberships.insert(0, (index, membership));
        (self.snapshot_index, self.snapshot_term) = (index, term);
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn replace_with_snapshot(&mut self, snapshot: &Snapshot) {
        *self = Self::new(Some(snapshot), Vec::new());
    }

    /// Entries that weren't handed out to be stored yet.
    pub(crate) fn take_unsaved_entries(&mut self) -> Vec<Entry> {
        let new = self
            .range(self.handed_out_index + 1, self.last_index())
            .to_vec();
        self.handed_out_index = self.last_index();
        new
    }

    /// Notes that all that was handed out is stored and synced.
    pub(crate) fn mark_synced(&mut self) {
        self.synced_index = self.handed_out_index;
    }
}
