//! What the log is made of, and what a replica keeps over a restart.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Membership;

/// Identity of a replica: random, drawn anew for each empty data folder, never 0.
///
/// A replica whose disk was emptied gets another one, so that it can't vote twice in a term.
pub type Id = u64;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place in the log; the first one is 1.
    pub index: u64,
    /// Term of the leader that appended it. Invariant: never falls along the log.
    pub term: u64,
    /// What it holds.
    pub payload: Payload,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry, which commits those before it.
    Empty,
    /// A command of the application, opaque here.
    Command(Arc<[u8]>),
    /// A membership, which counts from the moment it is appended.
    Membership(Membership),
}

impl Payload {
    /// Size of the command in bytes; other payloads count as 0.
    #[must_use]
    pub fn command_len(&self) -> usize {
        match self {
            Self::Command(data) => data.len(),
            Self::Empty | Self::Membership(_) => 0,
        }
    }
}

/// What must be stored before a replica answers for its term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that got its vote in that term.
    pub vote: Option<Id>,
    /// Last index known to be committed; a lower bound that need not be synced.
    pub commit: u64,
}

/// The application's state at one index, which replaces the log up to there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The application's state, opaque here.
    pub data: Arc<[u8]>,
}

/// What a replica finds in its store when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries behind the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The state from which the replicas of a new cluster start: an empty snapshot at index 1 that
    /// holds the founding membership.
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
