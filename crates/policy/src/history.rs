//! The history of the membership view: which VMs may hold records that this VM does not know.
//!
//! A request that was accepted under an earlier view may still be in progress for the longest
//! deadline. A VM that was started or frozen within that time has an incomplete history and cannot
//! rule out that an unknown request has run.

use std::collections::VecDeque;

use model::{config::Config, name::Name};

use crate::{time::Instant, view::View};

/// Longest deadline that a caller may request, in milliseconds, unless the default deadline of the
/// service is longer.
pub const MAX_DEADLINE_MS: u32 = 4_000;

/// Time after a deadline during which an upstream may still be busy with the request, in
/// milliseconds.
pub const DEADLINE_GRACE_MS: u64 = 200;

/// Gap between two events that counts as a freeze of this VM, in milliseconds.
///
/// Invariant: shorter than any lease after which other VMs consider this VM dead.
pub const FREEZE_THRESHOLD_MS: u64 = 1_000;

/// Maximum number of earlier views kept.
const MAX_PAST_VIEWS: usize = 64;

/// Returns the longest time for which an accepted request may be in progress, in milliseconds.
#[must_use]
pub fn max_request_duration_ms(config: &Config) -> u64 {
    let longest = config.services.values().map(|s| s.deadline_ms).max();
    u64::from(longest.unwrap_or_default().max(MAX_DEADLINE_MS)) + DEADLINE_GRACE_MS
}

/// Earlier views of this VM under which requests were accepted that may still be in progress.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Start of the time for which this VM's history is complete.
    complete_since: Instant,
    /// Time of the last event.
    last_event: Instant,
    /// The view in force.
    current: Option<View>,
    /// Earlier views with the time at which each was replaced, oldest first.
    past: VecDeque<(Instant, View)>,
}

impl History {
    /// Records an event; returns whether this VM was frozen before the event.
    pub(crate) fn detect_freeze(&mut self, now: Instant) -> bool {
        let frozen = now.ms_since(self.last_event) > FREEZE_THRESHOLD_MS;
        self.last_event = now;
        if frozen {
            self.complete_since = now;
            self.past.clear();
        }
        frozen
    }

    /// Records the current view while this VM is on the minority side of a network partition.
    pub(crate) fn observe_in_minority(
        &mut self,
        now: Instant,
        view: &View,
        max_request_duration_ms: u64,
    ) {
        self.observe(now, view, max_request_duration_ms);
        // The other side of the partition has primaries that are unknown on this side.
        self.complete_since = now;
    }

    /// Records the current view, and drops views replaced more than `max_request_duration_ms` ago.
    pub(crate) fn observe(&mut self, now: Instant, view: &View, max_request_duration_ms: u64) {
        let is_expired = |replaced: Instant| now.ms_since(replaced) > max_request_duration_ms;
        while self.past.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.past.pop_front();
        }
        let is_unchanged = self
            .current
            .as_ref()
            .is_some_and(|old| old.vms == view.vms && old.out == view.out);
        if is_unchanged {
            return;
        }
        if let Some(old) = self.current.replace(view.clone()) {
            self.past.push_back((now, old));
        }
        if self.past.len() > MAX_PAST_VIEWS {
            self.past.clear();
            self.complete_since = now;
        }
    }

    /// Reports whether the history is complete for the last `max_request_duration_ms`.
    pub(crate) fn has_complete_history(&self, now: Instant, max_request_duration_ms: u64) -> bool {
        now.ms_since(self.complete_since) > max_request_duration_ms
    }

    /// Returns the primary and backup of a key under each earlier view.
    pub(crate) fn replica_pairs(&self, key: u64) -> impl Iterator<Item = ReplicaPair> + '_ {
        self.past
            .iter()
            .map(move |(_, view)| ReplicaPair::of(view, key))
    }

    /// Reports whether each of the domains had a live VM in all earlier views.
    pub(crate) fn all_had_live_vms<'a>(&self, mut domains: impl Iterator<Item = &'a Name>) -> bool {
        domains.all(|domain| {
            self.past
                .iter()
                .all(|(_, view)| view.has_live_vm_in(domain))
        })
    }

    /// Reports whether this VM is primary or backup of a key, and has been for the last
    /// `max_request_duration_ms`.
    pub(crate) fn was_replica_throughout(
        &self,
        now: Instant,
        me: &Name,
        key: u64,
        max_request_duration_ms: u64,
    ) -> bool {
        let current_pair = self.current.as_ref().map(|view| ReplicaPair::of(view, key));
        self.has_complete_history(now, max_request_duration_ms)
            && current_pair.is_some_and(|pair| pair.has(me))
            && self.replica_pairs(key).all(|pair| pair.has(me))
    }

    /// Reports whether a VM of an earlier view is no longer live and had not announced its
    /// shutdown. Such a VM may have left requests in progress.
    pub(crate) fn lost_any_vm(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let mut lost = self
            .past
            .iter()
            .flat_map(|(_, view)| view.vms.keys())
            .filter(|name| current.get(name).is_none());
        lost.any(|name| !self.announced_leave(name))
    }

    /// Reports whether a VM that is no longer live had announced its shutdown when last seen. Such
    /// a VM finished its requests before its process exited, even if earlier views show the VM as
    /// not leaving.
    pub(crate) fn announced_leave(&self, name: &Name) -> bool {
        let last = self.past.iter().rev().find_map(|(_, view)| view.get(name));
        last.is_some_and(|vm| vm.leaving)
    }
}

/// The primary and backup of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaPair {
    /// Name of the primary.
    pub(crate) primary: Option<Name>,
    /// Name of the backup.
    pub(crate) backup: Option<Name>,
}

impl ReplicaPair {
    fn of(view: &View, key: u64) -> Self {
        Self {
            primary: view.primary(key).map(|vm| vm.name.clone()),
            backup: view.backup(key).map(|vm| vm.name.clone()),
        }
    }

    /// Reports whether `vm` is the primary or the backup.
    pub(crate) fn has(&self, vm: &Name) -> bool {
        self.names().any(|name| name == vm)
    }

    /// Returns the names of primary and backup.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.primary.iter().chain(&self.backup)
    }
}
