//! Messages between the request state machines of two VMs, and from dispatchers to primaries.

use std::net::SocketAddr;

use model::{key, name::Name};
use serde::{Deserialize, Serialize};
use wire::coap;

use crate::load::messages;

/// A message to the request state machine of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's request, relayed to its primary.
    Relay {
        /// Address that the answer goes to.
        caller: SocketAddr,
        /// The request, with the remaining time as its deadline.
        request: coap::Request,
        /// Times that VMs have relayed the request.
        hops: u8,
        /// Whether the backup processes the request because the primary has no complete history.
        at_backup: bool,
    },
    /// Announces that a primary is about to run a request that is not idempotent.
    Intent(Intent),
    /// Reply of a VM that was asked to hold an intent.
    IntentReply {
        /// Key of the request.
        key: key::Request,
        /// Fingerprint of the request's content.
        content_fingerprint: u64,
        /// What the holder knew of the request.
        status: IntentStatus,
        /// Whether the holder has run without a gap for the longest time a request may be in
        /// flight.
        has_complete_history: bool,
        /// Whether the holder was primary or backup of the request for all of that time.
        always_responsible: bool,
    },
    /// The answer to a request whose intent the receiver holds.
    RecordAnswer {
        /// Key of the request.
        key: key::Request,
        /// Fingerprint of the request's content.
        content_fingerprint: u64,
        /// The answer.
        response: coap::Response,
    },
    /// Confirms that the holder has recorded the answer.
    RecordAnswerAck {
        /// Key of the request.
        key: key::Request,
        /// Fingerprint of the request's content.
        content_fingerprint: u64,
    },
    /// Reports that a dispatcher has accepted an attempt.
    AttemptAccepted {
        /// Id of the attempt.
        attempt: u64,
        /// Key of the request.
        key: key::Request,
        /// Fingerprint of the request's content.
        content_fingerprint: u64,
        /// Upstream that the attempt was dispatched to; `None` while it is queued.
        upstream: Option<Name>,
    },
    /// Reports the outcome of an attempt.
    Outcome(Box<AttemptOutcome>),
    /// Asks for this VM's attempts that may be in flight at the upstreams of a new dispatcher.
    QueryInFlight {
        /// Service of the upstreams.
        service: Name,
        /// Epoch of the new dispatcher.
        epoch: u64,
    },
}

/// The intent to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Key of the request.
    pub key: key::Request,
    /// Fingerprint of the request's content.
    pub content_fingerprint: u64,
    /// Fingerprint of the request's content without the message id.
    pub body_fingerprint: u64,
    /// Number of the start of the primary's process.
    pub start_number: u64,
    /// Service that the request names.
    pub service: Name,
    /// Message id of the request, which the answer acknowledges.
    pub message_id: u16,
    /// Whether the caller expects an acknowledgement.
    pub confirmable: bool,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// What the holder of an intent knew of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentStatus {
    /// Nothing; it holds the intent from now on.
    New,
    /// Another VM, named here, is processing the request.
    Pending(Name),
    /// Another primary has processed the request, and its outcome is unknown.
    Unknown,
    /// The request was answered.
    Answered(coap::Response),
    /// The holder has no room for more intents.
    Full,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOutcome {
    /// Id of the attempt.
    pub attempt: u64,
    /// Key of the request.
    pub key: key::Request,
    /// Fingerprint of the request's content.
    pub content_fingerprint: u64,
    /// Service that the request names.
    pub service: Name,
    /// Upstream that the attempt was dispatched to, if any.
    pub upstream: Option<Name>,
    /// The outcome.
    pub outcome: messages::Outcome,
    /// Whether the dispatcher repeats the report until it is acknowledged. An attempt that was
    /// refused on arrival is reported once, since the primary asks again if that report is lost.
    pub acknowledge: bool,
    /// Load of the dispatcher's upstreams.
    pub load_hint: messages::LoadHint,
}
