//! Messages between primaries and dispatchers.

use model::{key, name::Name};
use serde::{Deserialize, Serialize};
use wire::coap;

/// A request from a primary to a dispatcher to make one attempt to run a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Id of the attempt, unique across all VMs; also its token at the upstream.
    pub attempt: u64,
    /// Epoch of the dispatcher that the primary addresses; 0 if unknown.
    pub epoch: u64,
    /// Key of the request.
    pub key: key::Request,
    /// Fingerprint of the request's content.
    pub content_fingerprint: u64,
    /// Service that the request names.
    pub service: Name,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u32,
    /// The request to send to an upstream.
    pub request: coap::Request,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered.
    Answered(coap::Response),
    /// The request certainly has not run.
    NotRun {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u32,
        /// Whether an upstream got the request and refused it.
        shed: bool,
    },
    /// The dispatcher does not know the attempt, and its epoch is not the one that the primary
    /// addressed: an earlier start of the dispatcher's process may have sent the attempt to an
    /// upstream.
    Stale,
    /// The request may have run, may still run, or may not have run.
    Unknown,
}

/// Load of a dispatcher's upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// The dispatcher's epoch.
    pub epoch: u64,
    /// Requests that the upstreams may process at a time.
    pub limit: u16,
    /// Requests that are in flight or queued.
    pub busy: u16,
    /// Smoothed service time of the upstreams, in milliseconds.
    pub service_ms: u32,
}

/// An attempt that may be in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightAttempt {
    /// Id of the attempt.
    pub attempt: u64,
    /// Upstream that the attempt was dispatched to, if known.
    pub upstream: Option<Name>,
    /// Time until no upstream slot is busy with the attempt, in milliseconds.
    pub remaining_ms: u32,
}

/// State that a dispatcher hands over when another VM takes over its role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightTable {
    /// Attempts in flight.
    pub in_flight: Vec<InFlightAttempt>,
    /// Capacities of the upstreams.
    pub upstreams: Vec<CapacitySnapshot>,
}

/// Capacity of an upstream, as its dispatcher has learned it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySnapshot {
    /// Name of the upstream.
    pub upstream: Name,
    /// Incarnation of the upstream's process that the figures are for.
    pub incarnation: u64,
    /// Requests that the upstream may process at a time.
    pub limit: u16,
    /// Smoothed service time, in microseconds; 0 before the first answer.
    pub service_us: u64,
    /// Flows that the upstream holds.
    pub flows: u32,
    /// New flows that the upstream gets per window.
    pub flow_rate: u32,
}

/// Usage of an upstream, as its dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Whether the upstream announced itself recently.
    pub live: bool,
    /// Whether the upstream gets new work.
    pub takes_work: bool,
    /// Requests that the upstream may process at a time now; 0 while it is paused.
    pub limit: u16,
    /// Slots that are busy or may be.
    pub busy: u32,
    /// Flows that the upstream holds.
    pub flows: u32,
    /// Smoothed service time, in microseconds; 0 before the first answer.
    pub service_us: u64,
}
