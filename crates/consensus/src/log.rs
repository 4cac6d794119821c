//! The part of the log that is held in memory: all entries after the snapshot.

use crate::{Entry, Membership, Payload, Snapshot};

/// Entries after a snapshot, with the memberships that these entries set.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Index of the last entry that the snapshot includes; 0 without a snapshot.
    snapshot_index: u64,
    /// Term of the entry at `snapshot_index`.
    snapshot_term: u64,
    /// Invariant: `entries[i].index == snapshot_index + 1 + i`.
    entries: Vec<Entry>,
    /// Memberships, each with the index from which it is in effect.
    /// Invariant: never empty; indices increase; the first is at most `snapshot_index`.
    memberships: Vec<(u64, Membership)>,
    /// Last index that was handed out to the driver to be stored.
    handed_out_index: u64,
    /// Last index that is stored and synced.
    synced_index: u64,
}

impl Log {
    /// Returns the log as read from the store.
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

    /// Returns the term of the entry at `index`; `None` if the entry was compacted or isn't
    /// appended yet.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|e| e.term)
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` to `last` inclusive that are held in memory.
    pub(crate) fn range(&self, first: u64, last: u64) -> &[Entry] {
        let offset = |index: u64| {
            let offset = index.saturating_sub(self.snapshot_index + 1);
            usize::try_from(offset).map_or(self.entries.len(), |p| p.min(self.entries.len()))
        };
        let (from, to) = (offset(first), offset(last + 1));
        &self.entries[from..to.max(from)]
    }

    /// Returns the membership in effect, which is the last one appended.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index from which the current membership is in effect.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the membership as of `index`.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        self.membership_entry_at(index).1
    }

    /// Returns the membership as of `index`, with the index from which it is in effect.
    pub(crate) fn membership_entry_at(&self, index: u64) -> (u64, &Membership) {
        let known = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        let (from, membership) = known.unwrap_or(&self.memberships[0]);
        (*from, membership)
    }

    /// Reports whether a log that ends with `last_index` and `last_term` is at least as up-to-date
    /// as this log.
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

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.snapshot_index + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(0));
        self.memberships.retain(|(i, _)| *i < index);
        self.handed_out_index = self.handed_out_index.min(index - 1);
        self.synced_index = self.synced_index.min(index - 1);
    }

    /// Returns the first index of the consecutive entries that have the same term as the entry at
    /// `index`.
    pub(crate) fn term_start_index(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.snapshot_index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Removes the entries up to `index`, which a snapshot includes.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        if index <= self.snapshot_index {
            return;
        }
        let compacted = usize::try_from(index - self.snapshot_index).unwrap_or(usize::MAX);
        self.entries.drain(..compacted.min(self.entries.len()));
        let membership = self.membership_at(index).clone();
        self.memberships.retain(|(i, _)| *i > index);
        self.memberships.insert(0, (index, membership));
        (self.snapshot_index, self.snapshot_term) = (index, term);
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn replace_with_snapshot(&mut self, snapshot: &Snapshot) {
        *self = Self::new(Some(snapshot), Vec::new());
    }

    /// Returns the entries that weren't handed out to be stored yet, and marks them as handed out.
    pub(crate) fn take_unsaved_entries(&mut self) -> Vec<Entry> {
        let new = self
            .range(self.handed_out_index + 1, self.last_index())
            .to_vec();
        self.handed_out_index = self.last_index();
        new
    }

    /// Records that all entries that were handed out are stored and synced.
    pub(crate) fn mark_synced(&mut self) {
        self.synced_index = self.handed_out_index;
    }
}
