//! Messages between replicas.
//!
//! Any message may be lost, delayed, repeated or reordered. Sender and receiver are named by the
//! transport, which must hand a message only to the replica with the id that it was sent to.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, Membership};

/// A message with the sender's term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote, the term that it would start.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answers a pre-vote; where granted, `term` is that of the question.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Whether the leader itself asked the sender to take over.
        is_transfer: bool,
    },
    /// Answers a vote.
    VoteReply {
        /// Whether it is granted.
        granted: bool,
    },
    /// Appends entries; without any, a heartbeat.
    Append {
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries, without gaps.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Round of heartbeats, for reads.
        round: u64,
    },
    /// Answers [`Body::Append`] and the last [`Body::SnapshotChunk`] of a snapshot.
    AppendReply {
        /// Whether the entry before the first one matched.
        accepted: bool,
        /// `prev_index` of the question.
        prev_index: u64,
        /// Where accepted, the last index that matches the leader's log and is synced; else an
        /// index at which the logs may match.
        index: u64,
        /// Round of the question.
        round: u64,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// Membership as of that entry.
        membership: Membership,
        /// Place of `data` in the snapshot, in bytes.
        offset: u64,
        /// Size of the snapshot, in bytes.
        total: u64,
        /// The part.
        data: Arc<[u8]>,
        /// Round of heartbeats, for reads.
        round: u64,
    },
    /// Asks for the next part of a snapshot.
    SnapshotChunkReply {
        /// Index of the snapshot.
        index: u64,
        /// Place of the wanted part, in bytes.
        offset: u64,
        /// Round of the question.
        round: u64,
    },
    /// The leader asks the receiver to take over at once.
    TimeoutNow,
}
