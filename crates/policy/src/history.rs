//! The recent past of the view: which VMs may hold what this VM can't know.
//!
//! Work that was taken under an earlier view may still be under way for the longest deadline. A
//! VM that was started, or that was frozen, less than that ago can't vouch for the past at all.

use std::collections::VecDeque;

use model::{config::Config, name::Name};

use crate::{time::Instant, view::View};

/// Longest time that a caller may name as its deadline where its service has a shorter default, in
/// milliseconds.
pub const MAX_DEADLINE_MS: u32 = 4_000;

/// Time after a deadline during which an upstream may still be busy with the request, in
/// milliseconds.
pub const DEADLINE_GRACE_MS: u64 = 200;

/// Gap between two events after which this VM counts as having been frozen, in milliseconds.
///
/// Invariant: shorter than any lease by which others count this VM as gone.
pub const FREEZE_THRESHOLD_MS: u64 = 1_000;

/// Earlier views that are kept at most.
const MAX_VIEWS: usize = 64;

/// Longest time for which a request that was taken may still be under way, in milliseconds.
#[must_use]
pub fn max_request_duration_ms(config: &Config) -> u64 {
    let longest = config.services.values().map(|s| s.deadline_ms).max();
    u64::from(longest.unwrap_or_default().max(MAX_DEADLINE_MS)) + DEADLINE_GRACE_MS
}

/// Earlier views of this VM, as far as requests that were taken under them may be under way.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Since when this VM has seen everything.
    since: Instant,
    /// When this VM last saw an event.
    last_event: Instant,
    /// The view in force.
    current: Option<View>,
    /// Earlier views with the moment at which each ended, oldest first.
    past: VecDeque<(Instant, View)>,
}

impl History {
    /// Notes that an event has come; returns whether this VM was frozen before it.
    pub(crate) fn wake(&mut self, now: Instant) -> bool {
        let frozen = now.ms_since(self.last_event) > FREEZE_THRESHOLD_MS;
        self.last_event = now;
        if frozen {
            self.since = now;
            self.past.clear();
        }
        frozen
    }

    /// Notes the view in force, on a side of a network partition that has not the majority.
    pub(crate) fn observe_in_minority(
        &mut self,
        now: Instant,
        view: &View,
        max_request_duration_ms: u64,
    ) {
        self.observe(now, view, max_request_duration_ms);
        // The other side has homes that this one knows nothing of.
        self.since = now;
    }

    /// Notes the view in force.
    pub(crate) fn observe(&mut self, now: Instant, view: &View, max_request_duration_ms: u64) {
        let ended = |ended: Instant| now.ms_since(ended) > max_request_duration_ms;
        while self.past.front().is_some_and(|(at, _)| ended(*at)) {
            self.past.pop_front();
        }
        let known = self
            .current
            .as_ref()
            .is_some_and(|old| old.vms == view.vms && old.out == view.out);
        if known {
            return;
        }
        if let Some(old) = self.current.replace(view.clone()) {
            self.past.push_back((now, old));
        }
        if self.past.len() > MAX_VIEWS {
            self.past.clear();
            self.since = now;
        }
    }

    /// Whether this VM has seen everything for the longest deadline.
    pub(crate) fn has_complete_history(&self, now: Instant, max_request_duration_ms: u64) -> bool {
        now.ms_since(self.since) > max_request_duration_ms
    }

    /// Home and backup of a key under each earlier view.
    pub(crate) fn replica_pairs(&self, key: u64) -> impl Iterator<Item = ReplicaPair> + '_ {
        self.past
            .iter()
            .map(move |(_, view)| ReplicaPair::of(view, key))
    }

    /// Whether each of the domains had a live VM in all earlier views.
    pub(crate) fn reached<'a>(&self, mut domains: impl Iterator<Item = &'a Name>) -> bool {
        domains.all(|domain| {
            self.past
                .iter()
                .all(|(_, view)| view.has_live_vm_in(domain))
        })
    }

    /// Whether this VM was home or backup of a key for all of the longest deadline, and still is.
    pub(crate) fn covers(
        &self,
        now: Instant,
        me: &Name,
        key: u64,
        max_request_duration_ms: u64,
    ) -> bool {
        let still = self.current.as_ref().map(|view| ReplicaPair::of(view, key));
        self.has_complete_history(now, max_request_duration_ms)
            && still.is_some_and(|pair| pair.has(me))
            && self.replica_pairs(key).all(|pair| pair.has(me))
    }

    /// Whether a VM was lost, without having announced that it stops, that may have left
    /// requests under way.
    pub(crate) fn lost_any_vm(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let mut gone = self
            .past
            .iter()
            .flat_map(|(_, view)| view.vms.keys())
            .filter(|name| current.get(name).is_none());
        gone.any(|name| !self.left(name))
    }

    /// Whether a VM that is no longer live had announced that it stops when it was last seen. It
    /// finished its requests before its end, whatever earlier views say of it.
    pub(crate) fn left(&self, name: &Name) -> bool {
        let last = self.past.iter().rev().find_map(|(_, view)| view.get(name));
        last.is_some_and(|vm| vm.leaving)
    }
}

/// Home and backup of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaPair {
    /// The home.
    pub(crate) home: Option<Name>,
    /// The backup.
    pub(crate) backup: Option<Name>,
}

impl ReplicaPair {
    fn of(view: &View, key: u64) -> Self {
        Self {
            home: view.home(key).map(|vm| vm.name.clone()),
            backup: view.backup(key).map(|vm| vm.name.clone()),
        }
    }

    /// Whether `vm` is one of the two.
    pub(crate) fn has(&self, vm: &Name) -> bool {
        self.names().any(|name| name == vm)
    }

    /// The two.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.home.iter().chain(&self.backup)
    }
}
