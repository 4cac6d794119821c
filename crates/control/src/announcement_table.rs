//! The announcement table: upstreams that announce themselves to this control VM over the HTTP API,
//! for the entry VMs that are connected to it. Soft state, rebuilt from announcements.
//!
//! Times are milliseconds since the start of this process.

use std::collections::BTreeMap;

use model::routing::{Announced, Incarnation, Phase};

/// Number of consecutive announcements that may be missed.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 3;

/// Allowance for delays, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// Time for which an upstream that has stopped stays in the table, in milliseconds, so that a
/// delayed announcement does not bring it back.
const RETENTION_MS: u64 = 120_000;

/// Time after the start of this process during which recalled upstreams are kept, in milliseconds.
/// They can announce themselves again meanwhile.
const RECALL_PERIOD_MS: u64 = 10_000;

/// Maximum number of upstreams in the table.
pub const MAX_UPSTREAMS: usize = 65_536;

/// Effect of an announcement on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The announcement contains news for entry VMs.
    New,
    /// The announcement repeats known information.
    Repeated,
    /// The announcement is older than the known state and is ignored.
    Stale,
    /// The table already holds [`MAX_UPSTREAMS`] upstreams.
    Full,
}

/// Changes for an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnnouncementUpdates {
    /// Announcements, each with its age in milliseconds.
    pub announced: Vec<(Announced, u64)>,
    /// Upstreams whose announcements have stopped arriving.
    pub silent: Vec<Incarnation>,
}

#[derive(Debug, Clone)]
struct TableEntry {
    announced: Announced,
    received_at_ms: u64,
    is_silent: bool,
    /// Revision of the last change that entry VMs need to know.
    revision: u64,
}

/// Upstreams that announce themselves to this control VM, by id.
#[derive(Debug)]
pub struct AnnouncementTable {
    entries: BTreeMap<u64, TableEntry>,
    /// Upstream ids by the revision of their last change. Invariant: holds exactly one revision for
    /// each entry.
    changes: BTreeMap<u64, u64>,
    revision: u64,
    /// Time without an announcement after which an upstream counts as silent, in milliseconds.
    expiry_ms: u64,
    /// Upstreams that were known before this process started, by id.
    recalled: BTreeMap<u64, Announced>,
}

impl AnnouncementTable {
    /// Returns an empty table for upstreams that announce themselves every `interval_ms`.
    #[must_use]
    pub fn new(interval_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            changes: BTreeMap::new(),
            revision: 0,
            expiry_ms: MAX_MISSED_ANNOUNCEMENTS * interval_ms + SLACK_MS,
            recalled: BTreeMap::new(),
        }
    }

    /// Adds the upstreams that were known before this process started.
    #[must_use]
    pub fn with_recalled(mut self, announced: Vec<Announced>) -> Self {
        let by_id = announced.into_iter().map(|a| (a.incarnation.id, a));
        self.recalled = by_id.collect();
        self
    }

    /// Returns the upstreams that were known before this process started and have not announced
    /// themselves since.
    #[must_use]
    pub fn recalled(&self) -> Vec<Announced> {
        let is_announced_again = |id: &u64| self.entries.contains_key(id);
        let not_announced = self
            .recalled
            .iter()
            .filter(|(id, _)| !is_announced_again(id));
        not_announced
            .map(|(_, announced)| announced.clone())
            .collect()
    }

    /// Records an announcement.
    pub fn record(&mut self, now_ms: u64, announced: Announced) -> Outcome {
        let id = announced.incarnation.id;
        let Some(entry) = self.entries.get_mut(&id) else {
            if self.entries.len() >= MAX_UPSTREAMS {
                return Outcome::Full;
            }
            self.insert(now_ms, announced);
            return Outcome::New;
        };
        let known = &entry.announced;
        let sort_key = |a: &Announced| (a.incarnation.started_ms, a.sequence);
        let has_stopped = known.phase == Phase::Gone && known.incarnation == announced.incarnation;
        if has_stopped || sort_key(&announced) <= sort_key(known) {
            return Outcome::Stale;
        }
        let is_new = entry.is_silent || is_notable_change(known, &announced);
        entry.received_at_ms = now_ms;
        entry.is_silent = false;
        entry.announced = announced;
        if !is_new {
            return Outcome::Repeated;
        }
        self.bump_revision(id);
        Outcome::New
    }

    /// Records the stop of the incarnation that sent `last`, which other control VMs may have
    /// received. Other incarnations of the upstream are not affected.
    pub fn record_stop(&mut self, now_ms: u64, last: Announced) -> Outcome {
        let id = last.incarnation.id;
        let started_ms = last.incarnation.started_ms;
        let known = self.entries.get(&id).map(|entry| &entry.announced);
        match known {
            Some(known) if known.incarnation.started_ms > started_ms => return Outcome::Stale,
            Some(known) if known.incarnation == last.incarnation && known.phase == Phase::Gone => {
                return Outcome::Repeated;
            }
            None if self.entries.len() >= MAX_UPSTREAMS => return Outcome::Full,
            Some(_) | None => {}
        }
        let stopped = Announced {
            phase: Phase::Gone,
            ..last
        };
        self.insert(now_ms, stopped);
        Outcome::New
    }

    /// Returns the last announcement of upstream `id`, also if it is silent or has stopped.
    #[must_use]
    pub fn last_announcement(&self, id: u64) -> Option<&Announced> {
        self.entries.get(&id).map(|entry| &entry.announced)
    }

    /// Returns the last announcement of upstream `id` if it is neither silent nor stopped.
    #[must_use]
    pub fn active_upstream(&self, id: u64) -> Option<&Announced> {
        let entry = self.entries.get(&id).filter(|entry| !entry.is_silent)?;
        Some(&entry.announced).filter(|announced| announced.phase != Phase::Gone)
    }

    /// Marks upstreams without recent announcements as silent, and removes those that stopped or
    /// fell silent long ago. Returns the number of newly silent upstreams.
    pub fn expire_silent(&mut self, now_ms: u64) -> usize {
        let expiry_ms = self.expiry_ms;
        if now_ms > RECALL_PERIOD_MS {
            self.recalled.clear();
        }
        let is_due = |entry: &&mut TableEntry| {
            let is_live = !entry.is_silent && entry.announced.phase != Phase::Gone;
            is_live && now_ms >= entry.received_at_ms + expiry_ms
        };
        let expired: Vec<u64> = self
            .entries
            .values_mut()
            .filter(is_due)
            .map(|entry| {
                entry.is_silent = true;
                entry.announced.incarnation.id
            })
            .collect();
        for id in &expired {
            self.bump_revision(*id);
        }
        let changes = &mut self.changes;
        self.entries.retain(|_, entry| {
            let is_inactive = entry.is_silent || entry.announced.phase == Phase::Gone;
            let is_kept = !is_inactive || now_ms < entry.received_at_ms + RETENTION_MS;
            if !is_kept {
                changes.remove(&entry.revision);
            }
            is_kept
        });
        expired.len()
    }

    /// Returns the changes since `revision`, and the revision that they lead to.
    #[must_use]
    pub fn updates_since(&self, now_ms: u64, revision: u64) -> (AnnouncementUpdates, u64) {
        let mut updates = AnnouncementUpdates::default();
        for id in self.changes.range(revision + 1..).map(|(_, id)| id) {
            let Some(entry) = self.entries.get(id) else {
                continue;
            };
            if entry.is_silent {
                updates.silent.push(entry.announced.incarnation);
            } else {
                let age_ms = now_ms.saturating_sub(entry.received_at_ms);
                updates.announced.push((entry.announced.clone(), age_ms));
            }
        }
        (updates, self.revision)
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the upstreams that are neither silent nor stopped.
    pub fn active(&self) -> impl Iterator<Item = &Announced> {
        let announced = self.entries.values().filter(|entry| !entry.is_silent);
        let announced = announced.map(|entry| &entry.announced);
        announced.filter(|announced| announced.phase != Phase::Gone)
    }

    /// Inserts the state of an upstream as a change, in place of its former state.
    fn insert(&mut self, now_ms: u64, announced: Announced) {
        let id = announced.incarnation.id;
        let entry = TableEntry {
            announced,
            received_at_ms: now_ms,
            is_silent: false,
            revision: 0,
        };
        if let Some(former) = self.entries.insert(id, entry) {
            self.changes.remove(&former.revision);
        }
        self.bump_revision(id);
    }

    fn bump_revision(&mut self, id: u64) {
        self.revision += 1;
        if let Some(entry) = self.entries.get_mut(&id) {
            self.changes.remove(&entry.revision);
            entry.revision = self.revision;
            self.changes.insert(self.revision, id);
        }
    }
}

/// Reports whether entry VMs need to know `new`, which follows `known`.
fn is_notable_change(known: &Announced, new: &Announced) -> bool {
    let becomes_warm = known.cold_ms > 0 && new.cold_ms == 0;
    let becomes_cold = known.cold_ms == 0 && new.cold_ms > 0;
    let same = Announced {
        sequence: new.sequence,
        cold_ms: new.cold_ms,
        ..known.clone()
    };
    becomes_warm || becomes_cold || same != *new
}
