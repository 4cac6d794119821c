//! Flows and work at upstreams: what this VM has placed, and what all entry VMs have placed, as far
//! as control VMs have told.

use std::{collections::BTreeMap, net::SocketAddr};

use model::work::{Entry, Summary};

use crate::time::Instant;

/// Time in milliseconds after which an entry counts as unknown.
const EXPIRY_MS: u64 = 3_000;

/// Flows and work at one upstream, over all entry VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Slots that the open flows are expected to occupy on average.
    pub demand: f32,
    /// Ratio of the response time to the usual time. Invariant: at least 1.
    pub slowness: f32,
    /// Share of the recent requests that the upstream refused.
    pub refused_share: f32,
    /// Age of the oldest value that the others are based on, in milliseconds.
    pub age_ms: u64,
}

/// Flows and work at all upstreams, summed over the summaries of all control VMs.
#[derive(Debug, Clone, Default)]
pub struct View {
    entries: BTreeMap<(u32, SocketAddr), (Instant, Entry)>,
}

impl View {
    /// Applies a summary of the control VM `source`.
    pub fn apply_summary(&mut self, now: Instant, source: SocketAddr, summary: Summary) {
        for mut entry in summary.entries {
            let key = (entry.token, source);
            if let Some((_, before)) = self.entries.get(&key)
                && entry.usual_ms == 0
            {
                // An upstream without answers in this period is as slow as before.
                (entry.waited_ms, entry.usual_ms) = (before.waited_ms, before.usual_ms);
            }
            self.entries.insert(key, (now, entry));
        }
    }

    /// Removes what the control VM `source` has told.
    pub fn remove_source(&mut self, source: SocketAddr) {
        self.entries.retain(|(_, other), _| *other != source);
    }

    /// Returns flows and work at the upstream with `token`; none if nothing recent is known.
    #[must_use]
    // Sums of a few entries are far below the precision of f32.
    #[expect(clippy::cast_precision_loss)]
    pub fn load(&self, now: Instant, token: u32) -> Option<Load> {
        let first = (token, SocketAddr::from(([0, 0, 0, 0], 0)));
        let mut load = None;
        let entries = self.entries.range(first..);
        for ((_, _), (at, entry)) in entries.take_while(|((other, _), _)| *other == token) {
            if now.ms_since(*at) > EXPIRY_MS {
                continue;
            }
            let load = load.get_or_insert(Load {
                flows: 0,
                demand: 0.0,
                slowness: 1.0,
                refused_share: 0.0,
                age_ms: 0,
            });
            load.flows += u32::from(entry.flows);
            load.demand += entry.demand_milli as f32 / 1_000.0;
            let usual_ms = entry.usual_ms.max(1) as f32;
            load.slowness = load.slowness.max(entry.waited_ms as f32 / usual_ms);
            let refused = f32::from(entry.refused) / f32::from(entry.requests.max(1));
            load.refused_share = load.refused_share.max(refused);
            load.age_ms = load.age_ms.max(now.ms_since(*at));
        }
        load
    }
}
