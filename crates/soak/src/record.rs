//! What a run records. Times are milliseconds since its start.

use standin::platform::client::ClientOutcome;

use crate::fault::Kind;

/// A fault that was played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// What it was.
    pub kind: Kind,
    /// When it began.
    pub from_ms: u64,
    /// When it had ended.
    pub to_ms: u64,
}

/// What a client got on an open flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Number of the flow.
    pub flow: u64,
    /// When the client had its outcome.
    pub at_ms: u64,
    /// The outcome.
    pub got: ClientOutcome,
}

/// A change that was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledged {
    /// Version of the plan.
    pub version: u64,
    /// When it was acknowledged.
    pub at_ms: u64,
}

/// A read of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// Version that was read.
    pub version: u64,
    /// When the read was sent.
    pub sent_ms: u64,
}

/// A span in which an upstream must get no new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// Number of the upstream.
    pub upstream: u64,
    /// When that was acknowledged.
    pub from_ms: u64,
    /// When it ended.
    pub to_ms: u64,
    /// Time from the acknowledgement in which it may still get some.
    pub allowed_ms: u64,
}

/// An opening packet that reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened {
    /// Number of the upstream.
    pub upstream: u64,
    /// When it came.
    pub at_ms: u64,
}

/// All that a run records.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Faults.
    pub disturbances: Vec<Disturbance>,
    /// What clients got on open flows.
    pub asks: Vec<Ask>,
    /// Acknowledged plans.
    pub acknowledged: Vec<Acknowledged>,
    /// Reads of the plan.
    pub reads: Vec<Read>,
    /// Spans in which upstreams were closed.
    pub closed: Vec<Closed>,
    /// Opening packets.
    pub opened: Vec<Opened>,
    /// Processes that ended by themselves.
    pub early_exits: Vec<String>,
    /// How many requests were answered after the faults had ended, and asked.
    pub served_after: (u64, u64),
}
