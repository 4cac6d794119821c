//! Messages between control VMs, and the `h2` streams that carry them.
//!
//! Each control VM opens one connection with one long request to each other control VM and only
//! sends on it; messages to a control VM arrive on the connections that the others opened. A frame
//! is the length of its body as 4 bytes, big-endian, and the body in `bincode`. Queues are bounded:
//! a message that finds its queue full is dropped, since consensus and requests resend.

use consensus::ReplicaId;
use model::command;
use serde::{Deserialize, Serialize};

mod client;
mod server;

pub use client::Client;
pub use server::serve;

/// Maximum size of a frame body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum number of messages that wait for one peer.
pub const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Length of a frame header, in bytes.
const HEADER_LEN: usize = 4;

/// Flow-control window of a stream, in bytes.
const WINDOW_BYTES: u32 = 8 << 20;

/// A message between control VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender of the message.
    pub from: Sender,
    /// Id of the receiving replica; 0 for any replica at the address.
    pub to: ReplicaId,
    /// Content of the message.
    pub body: Body,
}

/// Sender of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Id of the sending replica.
    pub id: ReplicaId,
    /// Name of the sending VM.
    pub name: String,
    /// Address at which the sender receives messages.
    pub address: String,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A consensus message.
    Consensus(consensus::Message),
    /// Reports that the sender is not a member of a cluster.
    NotInCluster {
        /// Whether the sender has never been a member, so that it may take part in founding a
        /// cluster.
        is_empty: bool,
    },
    /// Asks the leader to append a command.
    Propose(command::Entry),
    /// Asks the leader for the read index, which must be applied before the read is answered.
    ReadIndex {
        /// Number of the read at the sender.
        context: u64,
    },
    /// Answers [`Body::ReadIndex`].
    ReadIndexReply {
        /// Number of the read at the receiver.
        context: u64,
        /// Read index.
        index: u64,
    },
    /// Asks the leader to perform the next step of a replacement.
    Replace {
        /// Number of the request at the sender.
        context: u64,
        /// Name of the replica to remove.
        old: String,
        /// Name of the replica to add.
        new: String,
    },
    /// Answers [`Body::Replace`].
    ReplaceReply {
        /// Number of the request at the receiver.
        context: u64,
        /// Progress of the replacement.
        state: Replacement,
    },
}

/// Progress of a replacement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Replacement {
    /// Not complete, with the reason.
    Pending(String),
    /// Refused, with the reason.
    Refused(String),
    /// Complete: the new replica is a voter that has synced every committed entry, and the old
    /// replica is removed.
    Done,
}
