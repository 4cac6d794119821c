//! Demand of the flows that this VM has placed and that the shared view does not contain yet.

use std::collections::BTreeMap;

use crate::time::Instant;

/// Time in milliseconds after which the counts change over: the interval of this VM's digests. A flow
/// counts for one to two intervals, because its digest reaches the other VMs in a summary that is
/// sent up to one interval later.
const INTERVAL_MS: u64 = 1_000;

/// Demand placed in the current and in the previous interval, by upstream.
#[derive(Debug, Default)]
pub(super) struct Recent {
    started_at: Instant,
    current: BTreeMap<u64, f32>,
    previous: BTreeMap<u64, f32>,
}

impl Recent {
    pub(super) fn add(&mut self, id: u64, demand: f32) {
        *self.current.entry(id).or_default() += demand;
    }

    /// Forgets flows that the view contains by now.
    pub(super) fn expire(&mut self, now: Instant) {
        let age_ms = now.ms_since(self.started_at);
        if age_ms < INTERVAL_MS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age_ms >= 2 * INTERVAL_MS {
            self.previous.clear();
        }
        self.started_at = now;
    }

    pub(super) fn demand(&self, id: u64) -> f32 {
        let of = |counts: &BTreeMap<u64, f32>| counts.get(&id).copied().unwrap_or_default();
        of(&self.current) + of(&self.previous)
    }
}
