//! Messages about the flows and the work at upstreams, which entry VMs share through control VMs.
//!
//! An entry VM sees only its own flows. Each entry VM sends a [`Digest`] of them to one control VM,
//! which sends the sums as a [`Summary`] to its entry VMs. Both contain only upstreams whose values
//! have changed.

use serde::{Deserialize, Serialize};

/// Flows and work at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Token of the upstream.
    pub token: u32,
    /// Open flows.
    pub flows: u16,
    /// Slots that the open flows are expected to occupy on average, in thousandths.
    pub demand_milli: u32,
    /// Requests that ended since the previous message.
    pub requests: u16,
    /// Requests that the upstream refused since the previous message, included in `requests`.
    pub refused: u16,
    /// Sum of the waits of the answered requests in `requests`, in milliseconds.
    pub waited_ms: u32,
    /// Sum of the usual times of the same requests, in milliseconds.
    pub usual_ms: u32,
}

/// Flows and work that one entry VM has placed on upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the digest on its stream, from 1; the first digest of a stream contains all
    /// upstreams with flows.
    pub sequence: u64,
    /// Changed upstreams.
    pub entries: Vec<Entry>,
}

/// Flows and work at upstreams, summed over the entry VMs that report to one control VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the summary on its stream, from 1; the first summary of a stream contains all
    /// upstreams with flows.
    pub sequence: u64,
    /// Number of entry VMs that report to the control VM.
    pub reporters: u32,
    /// Changed upstreams.
    pub entries: Vec<Entry>,
}
