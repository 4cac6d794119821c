//! Messages between replicas.
//!
//! Any message may be lost, delayed, repeated or reordered. The transport names the sender and the
//! receiver, and must deliver a message only to the replica whose id is the receiver's.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, Membership};

/// A Raft message with the sender's term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote, the term of the election that the sender would start.
    pub term: u64,
    /// Kind and fields of the message.
    pub body: Body,
}

/// Kind and fields of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote; the receiver's term and vote don't change.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answers [`Body::PreVote`]; if granted, the message's `term` is the term of the request.
    PreVoteReply {
        /// Whether the sender would grant the vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Whether the leader asked the sender to take over (leadership transfer).
        is_transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the sender grants the vote.
        granted: bool,
    },
    /// Appends entries to the receiver's log; a heartbeat if `entries` is empty.
    Append {
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Entries from `prev_index + 1` on, without gaps.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round of the leader, which confirms linearizable reads.
        round: u64,
    },
    /// Answers [`Body::Append`], and the last [`Body::SnapshotChunk`] of a snapshot.
    AppendReply {
        /// Whether the sender's log matches the leader's at `prev_index`.
        accepted: bool,
        /// `prev_index` of the request.
        prev_index: u64,
        /// If accepted, the last index that matches the leader's log and is synced; otherwise an
        /// index at which the two logs may match.
        index: u64,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Carries one chunk of a snapshot.
    SnapshotChunk {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Term of the entry at `index`.
        index_term: u64,
        /// Membership as of the entry at `index`.
        membership: Membership,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Bytes of the chunk.
        data: Arc<[u8]>,
        /// Heartbeat round of the leader, which confirms linearizable reads.
        round: u64,
    },
    /// Asks for the next chunk of a snapshot.
    SnapshotChunkReply {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Offset of the requested chunk in the snapshot, in bytes.
        offset: u64,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Asks the receiver to start an election at once, so that the receiver becomes the leader.
    TimeoutNow,
}
