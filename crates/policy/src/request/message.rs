//! What the request machines of two VMs, and stewards and homes, tell each other.

use std::net::SocketAddr;

use model::{key, name::Name};
use serde::{Deserialize, Serialize};
use wire::coap;

use crate::load::work;

/// A message to the request machine of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's request, on its way to its home.
    Relay {
        /// Address that the answer goes to.
        caller: SocketAddr,
        /// The request, with the time that is left.
        request: coap::Request,
        /// VMs that have passed it on.
        hops: u8,
        /// Whether the home can't vouch for the past, so that its backup deals with the request.
        at_backup: bool,
    },
    /// A home is about to run a request that is not idempotent.
    Intent(Intent),
    /// What the holder of an intent knew.
    IntentReply {
        /// The request.
        key: key::Request,
        /// Fingerprint of its content.
        content_fingerprint: u64,
        /// What the holder knew.
        status: IntentStatus,
        /// Whether the holder has seen everything for the longest deadline.
        has_complete_history: bool,
        /// Whether the holder was home or backup of the request for all of that time.
        always_responsible: bool,
    },
    /// The answer to a request whose intent is held.
    RecordAnswer {
        /// The request.
        key: key::Request,
        /// Fingerprint of its content.
        content_fingerprint: u64,
        /// The answer.
        response: coap::Response,
    },
    /// The holder has recorded the answer.
    RecordAnswerAck {
        /// The request.
        key: key::Request,
        /// Fingerprint of its content.
        content_fingerprint: u64,
    },
    /// A steward has taken an attempt.
    AttemptAccepted {
        /// The attempt.
        attempt: u64,
        /// The request.
        key: key::Request,
        /// Fingerprint of its content.
        content_fingerprint: u64,
        /// Where it was dispatched; `None` while it waits.
        upstream: Option<Name>,
    },
    /// What came of an attempt.
    Outcome(Box<AttemptOutcome>),
    /// A new steward asks for the attempts of this VM that may be under way at its upstreams.
    QueryInFlight {
        /// The service.
        service: Name,
        /// Epoch of the steward.
        epoch: u64,
    },
}

/// The intent to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The request.
    pub key: key::Request,
    /// Fingerprint of its content.
    pub content_fingerprint: u64,
    /// Fingerprint of its content without the message id.
    pub body_fingerprint: u64,
    /// Number of the start of the home's process.
    pub start_number: u64,
    /// Service that is asked.
    pub service: Name,
    /// Message id, to which the answer is an acknowledgement.
    pub message_id: u16,
    /// Whether the caller wants an acknowledgement.
    pub confirmable: bool,
    /// Time that is left, in milliseconds.
    pub remaining_ms: u32,
}

/// What the holder of an intent knew of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentStatus {
    /// Nothing; it holds the intent from now on.
    New,
    /// Another home deals with it.
    Pending(Name),
    /// Another home has dealt with it that can't say what came of it.
    Unknown,
    /// It was answered.
    Answered(coap::Response),
    /// The holder can't hold more intents.
    Full,
}

/// What came of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOutcome {
    /// The attempt.
    pub attempt: u64,
    /// The request.
    pub key: key::Request,
    /// Fingerprint of its content.
    pub content_fingerprint: u64,
    /// Service that was asked.
    pub service: Name,
    /// Where it was dispatched, if it was.
    pub upstream: Option<Name>,
    /// What came of it.
    pub outcome: work::Outcome,
    /// Whether the steward tells it again until it is acknowledged. What was refused when it came
    /// is told once, since the home asks again where that is lost.
    pub acknowledge: bool,
    /// How busy the steward's upstreams are.
    pub load_hint: work::LoadHint,
}
