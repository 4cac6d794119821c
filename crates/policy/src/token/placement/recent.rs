//! Demand of the flows that this VM has placed and that the shared view does not contain yet.

use std::collections::BTreeMap;

use super::candidates::FlowKind;
use crate::time::Instant;

/// Time in milliseconds after which the counts change over: the interval of this VM's digests. A flow
/// counts for one to two intervals, because its digest reaches the other VMs in a summary that is
/// sent up to one interval later.
const INTERVAL_MS: u64 = 1_000;

/// Demand placed at an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Placed {
    /// Sum of the slots that long flows occupy.
    long: f32,
    /// Sum of the slots that single requests occupy for a second each. Most of them have ended.
    single: f32,
}

/// Demand placed in the current and in the previous interval, by upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct Recent {
    started_at: Instant,
    current: BTreeMap<u64, Placed>,
    previous: BTreeMap<u64, Placed>,
}

impl Recent {
    pub(super) fn add(&mut self, id: u64, kind: FlowKind, demand: f32) {
        let placed = self.current.entry(id).or_default();
        match kind {
            FlowKind::Long => placed.long += demand,
            FlowKind::Single => placed.single += demand,
        }
    }

    /// Removes flows that the view contains by now.
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

    /// Returns the slots that recent flows occupy at upstream `id`: those of all long flows, and the
    /// mean over the time of the counts for single requests.
    pub(super) fn demand(&self, now: Instant, id: u64) -> f32 {
        let of = |counts: &BTreeMap<u64, Placed>| counts.get(&id).copied().unwrap_or_default();
        let (current, previous) = (of(&self.current), of(&self.previous));
        let counted_ms = INTERVAL_MS + now.ms_since(self.started_at).min(INTERVAL_MS);
        // At most two intervals.
        #[expect(clippy::cast_precision_loss)]
        let counted_s = counted_ms as f32 / 1_000.0;
        current.long + previous.long + (current.single + previous.single) / counted_s
    }
}
