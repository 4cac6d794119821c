//! Log entries, snapshots, and the state that a replica keeps across a restart.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Membership;

/// Random identity of a replica, drawn for each empty data folder; never 0.
///
/// A replica whose disk was emptied gets a new id, because under its old id it could vote a second
/// time in a term.
pub type ReplicaId = u64;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that appended the entry. Invariant: never decreases along the log.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry of a new leader, whose commit also commits all earlier entries.
    Empty,
    /// Command of the application; this crate doesn't interpret its bytes.
    Command(Arc<[u8]>),
    /// New membership, in effect as soon as the entry is appended.
    Membership(Membership),
}

impl Payload {
    /// Returns the length of the command in bytes; other payloads count as 0.
    #[must_use]
    pub fn command_len(&self) -> usize {
        match self {
            Self::Command(data) => data.len(),
            Self::Empty | Self::Membership(_) => 0,
        }
    }
}

/// Raft state that a replica must store before it replies in its term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that received this replica's vote in `term`.
    pub vote: Option<ReplicaId>,
    /// Last index known to be committed; need not be synced, because an older value is a valid
    /// lower bound.
    pub commit: u64,
}

/// State of the application at one index, which replaces the log up to that index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Membership as of the entry at `index`.
    pub membership: Membership,
    /// Encoded state of the application; this crate doesn't interpret its bytes.
    pub data: Arc<[u8]>,
}

/// State that a replica reads from its store when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the state from which the replicas of a new cluster start: an empty snapshot with
    /// index 1 and the initial membership.
    #[must_use]
    pub fn for_new_cluster(membership: Membership) -> Self {
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            membership,
            data: Arc::default(),
        };
        Self {
            hard_state: HardState {
                term: 1,
                vote: None,
                commit: 1,
            },
            snapshot: Some(snapshot),
            entries: Vec::new(),
        }
    }
}
