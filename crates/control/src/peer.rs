//! Messages between control VMs, and the `h2` streams that carry them.
//!
//! Each control VM opens one connection with one long request to each of the others and only
//! sends on it; what it gets arrives on the connections that the others opened. A frame is the
//! length of its body as 4 bytes, big-endian, and the body in `bincode`. Queues are bounded:
//! what finds one full is dropped, since the consensus and the requests send again.

use consensus::ReplicaId;
use model::command;
use serde::{Deserialize, Serialize};

mod client;
mod server;

pub use client::Client;
pub use server::serve;

/// Largest body of a frame, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Messages that may wait for one peer.
pub const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Length of a frame's header, in bytes.
const HEADER_LEN: usize = 4;

/// Window of a stream, in bytes.
const WINDOW_BYTES: u32 = 8 << 20;

/// A message between control VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: Sender,
    /// Replica that it is for; 0 for whichever is at the address.
    pub to: ReplicaId,
    /// What it says.
    pub body: Body,
}

/// Who sends a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its replica.
    pub id: ReplicaId,
    /// Name of its VM.
    pub name: String,
    /// Where it takes messages.
    pub address: String,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the consensus.
    Consensus(consensus::Message),
    /// The sender takes no part in a cluster.
    NotInCluster {
        /// Whether it never did, and may found one.
        is_empty: bool,
    },
    /// Asks the leader to append a command.
    Propose(command::Entry),
    /// Asks the leader for the index that a read must see.
    ReadIndex {
        /// Sender's number of the read.
        context: u64,
    },
    /// Answers [`Body::ReadIndex`].
    ReadIndexReply {
        /// Number of the read.
        context: u64,
        /// Index that the read must see.
        index: u64,
    },
    /// Asks the leader for the next step of a replacement.
    Replace {
        /// Sender's number of the question.
        context: u64,
        /// Replica to be replaced.
        old: String,
        /// Replica that takes its place.
        new: String,
    },
    /// Answers [`Body::Replace`].
    ReplaceReply {
        /// Number of the question.
        context: u64,
        /// How far the replacement is.
        state: Replacement,
    },
}

/// How far a replacement is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Replacement {
    /// It waits for something.
    Pending(String),
    /// It can't be done.
    Refused(String),
    /// The newcomer votes and has synced everything committed; the old replica is removed.
    Done,
}
