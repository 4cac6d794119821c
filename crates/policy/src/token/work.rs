//! Flows and work at upstreams: what this VM has placed, and what all entry VMs have placed, as far
//! as control VMs have told.

use std::net::SocketAddr;

use model::work::Summary;

use crate::time::Instant;

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
pub struct View {}

impl View {
    /// Applies a summary of the control VM `source`.
    pub fn apply_summary(&mut self, _now: Instant, _source: SocketAddr, _summary: Summary) {}

    /// Removes what the control VM `source` has told.
    pub fn remove_source(&mut self, _source: SocketAddr) {}

    /// Returns flows and work at the upstream with `token`; none if nothing recent is known.
    #[must_use]
    pub fn load(&self, _now: Instant, _token: u32) -> Option<Load> {
        None
    }
}
