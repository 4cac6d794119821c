//! What a home asks of a steward, and what it gets back.

use model::{key, name::Name};
use serde::{Deserialize, Serialize};
use wire::coap;

/// One attempt to run a request, on its way from home to steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identifies the attempt; no other attempt of any VM has it. It is the token at the upstream.
    pub attempt: u64,
    /// Epoch of the steward that the home means; 0 where it knows none.
    pub epoch: u64,
    /// The request.
    pub key: key::Request,
    /// Fingerprint of the request's content.
    pub content_fingerprint: u64,
    /// Service that is asked.
    pub service: Name,
    /// Time that is left, in milliseconds.
    pub remaining_ms: u32,
    /// What to send.
    pub request: coap::Request,
}

/// What came of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered.
    Answered(coap::Response),
    /// It certainly has not run.
    NotRun {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
        /// Whether an upstream was asked and refused.
        shed: bool,
    },
    /// The steward does not know the attempt and has another epoch than the home meant: an
    /// earlier start of the steward may have sent it to an upstream.
    Stale,
    /// It may have run, may run still, or may not have run.
    Unknown,
}

/// How busy a steward's upstreams are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// The steward's epoch.
    pub epoch: u64,
    /// Requests that its upstreams bear at a time.
    pub limit: u16,
    /// Requests that are under way or queued.
    pub busy: u16,
    /// Usual time of a request at an upstream, in milliseconds.
    pub service_ms: u32,
}

/// An attempt that a home knows to be under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightAttempt {
    /// The attempt.
    pub attempt: u64,
    /// Where it is, if the home knows.
    pub upstream: Option<Name>,
    /// Time until no upstream is busy with it any longer, in milliseconds.
    pub remaining_ms: u32,
}

/// What a steward hands over when another VM becomes steward in its place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightTable {
    /// Attempts that are under way.
    pub in_flight: Vec<InFlightAttempt>,
    /// What it knows of the upstreams.
    pub upstreams: Vec<CapacitySnapshot>,
}

/// What a steward knows of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySnapshot {
    /// Name of the upstream.
    pub upstream: Name,
    /// Start of the upstream's process that this is about.
    pub incarnation: u64,
    /// Requests that it bears at a time.
    pub limit: u16,
    /// Usual time of a request, in microseconds; 0 where none was seen.
    pub service_us: u64,
    /// Flows that it holds.
    pub flows: u32,
    /// New flows that it bears in one window.
    pub flow_rate: u32,
}

/// How an upstream is used, as its steward sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Whether it announced itself lately.
    pub live: bool,
    /// Whether it gets new work.
    pub takes_work: bool,
    /// Requests that it bears at a time now; 0 while it is paused.
    pub limit: u16,
    /// Slots that are busy, or may be.
    pub busy: u32,
    /// Flows that it holds.
    pub flows: u32,
    /// Usual time of a request, in microseconds; 0 where none was seen.
    pub service_us: u64,
}
