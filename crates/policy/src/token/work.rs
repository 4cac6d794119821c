//! Flows and work at upstreams: what this VM has placed, and what all entry VMs have placed, as far
//! as control VMs have told.
//!
//! The intended load is a hundred or more entry VMs before upstreams with few slots: what one VM
//! sees of an upstream says little about the load there. [`Ledger`] collects what this VM sees, for
//! a digest a second to one control VM; [`View`] adds up the summaries of all control VMs.

mod ledger;
mod view;

pub use ledger::{Ledger, OpenFlow, Response};
pub use view::{Applied, View};

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
