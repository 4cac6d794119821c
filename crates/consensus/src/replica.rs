//! A Raft replica: settings, state, and the dispatch of ticks and messages.

use std::{collections::BTreeMap, mem};

use displaydoc::Display;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Body, ChangeRefusal, Entry, HardState, Membership, Message, PersistentState, ReplicaId,
    Snapshot, log::Log, progress::Progress,
};

mod client;
mod election;
mod replication;
mod snapshot;

/// Settings of a replica. Times are in ticks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Id of this replica, from its data folder.
    pub id: ReplicaId,
    /// Seed of the generator that randomizes election timeouts.
    pub seed: u64,
    /// Shortest election timeout in ticks; each timeout is drawn between this and twice this value.
    pub election_ticks: u32,
    /// Shortest election timeout in ticks for a replica that has known no leader since it started.
    /// If all replicas have just started there is no leader to wait for; if there is a leader,
    /// pre-vote protects that leader.
    pub first_election_ticks: u32,
    /// Interval between two heartbeats of a leader, in ticks.
    /// Invariant: below a third of `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Largest number of entries in a message.
    pub max_message_entries: usize,
    /// Largest total length of commands in a message, in bytes (a single entry may exceed the
    /// limit); also the length of a snapshot chunk.
    pub max_message_bytes: usize,
    /// Largest number of uncommitted entries that a leader holds.
    pub max_uncommitted_entries: u64,
    /// Largest length of a command, in bytes.
    pub max_command_bytes: usize,
    /// Largest length of a snapshot, in bytes.
    pub max_snapshot_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: 0,
            seed: 0,
            election_ticks: 10,
            first_election_ticks: 10,
            heartbeat_ticks: 2,
            max_message_entries: 256,
            max_message_bytes: 256 << 10,
            max_uncommitted_entries: 1_024,
            max_command_bytes: 1 << 20,
            max_snapshot_bytes: 64 << 20,
        }
    }
}

/// Error of a request to a replica, of a received message, or of the stored state.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// replica isn't the leader: ask the leader
    NotLeader,
    /// leader hasn't committed an entry of its term yet or is transferring leadership: retry soon
    NotReady,
    /// leader has reached its limit of uncommitted entries: retry soon
    Busy,
    /// command of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// {0}
    Refused(ChangeRefusal),
    /// replica {from:016x} sent entry {index}, which contradicts the committed log: stop this replica and replace it
    Diverged {
        /// Replica that sent the entry.
        from: ReplicaId,
        /// Index of the entry.
        index: u64,
    },
    /// stored log has a gap: entry {0} is missing; replace this replica
    LogGap(u64),
}

impl std::error::Error for Error {}

/// Outcome of a linearizable read that was requested with [`Replica::request_read_index`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadState {
    /// Number that the caller gave the read.
    pub context: u64,
    /// Read index: the index that must be applied before the read is served; `None` if this replica
    /// lost leadership.
    pub index: Option<u64>,
}

/// Work for the driver, to be done in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// Snapshot to store; it replaces the whole log and the state of the application.
    pub snapshot: Option<Snapshot>,
    /// Entries to store; the first entry replaces all stored entries with the same or a later
    /// index.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index to store, if any of them changed.
    pub hard_state: Option<HardState>,
    /// Whether the store must be synced before the messages are sent.
    pub must_sync: bool,
    /// Messages with their receivers, to send after all fields above are stored.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Committed entries to apply.
    pub committed: Vec<Entry>,
    /// Completed linearizable reads.
    pub reads: Vec<ReadState>,
}

impl Ready {
    /// Reports whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A Raft replica.
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    rng: Pcg64Mcg,
    term: u64,
    vote: Option<ReplicaId>,
    commit: u64,
    /// Last committed index that was handed out to be applied. Invariant: at most `commit`.
    applied: u64,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    /// Ticks since the last message from the leader, or since the election timeout was last drawn.
    election_elapsed_ticks: u32,
    /// Value of `election_elapsed_ticks` at which an election starts.
    election_timeout_ticks: u32,
    /// Whether this replica has known a leader since it started.
    has_known_leader: bool,
    /// Hard state that was last handed out to be stored.
    stored_hard_state: HardState,
    /// Latest snapshot, sent to replicas that need entries that are already compacted.
    snapshot: Option<Snapshot>,
    /// Received chunks of a snapshot that a leader is sending to this replica.
    partial_snapshot: Option<snapshot::PartialSnapshot>,
    ready: Ready,
}

/// Current role of a replica.
#[derive(Debug)]
enum Role {
    Follower,
    /// Asks the other voters whether an election would succeed; holds the granted replies.
    PreCandidate(BTreeMap<ReplicaId, bool>),
    /// Asks for votes; holds the replies received.
    Candidate(BTreeMap<ReplicaId, bool>),
    Leader(Leader),
}

/// State that only a leader holds.
#[derive(Debug)]
struct Leader {
    /// Replication progress of each other member.
    progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of the leader's term.
    term_start: u64,
    /// Ticks since the last round of heartbeats.
    ticks_since_heartbeat: u32,
    /// Number of the latest heartbeat round.
    round: u64,
    /// Pending reads: context, read index, and the heartbeat round that confirms the read.
    reads: Vec<(u64, u64, u64)>,
    /// Whether a pending read needs a heartbeat round that wasn't sent yet.
    is_round_due: bool,
    /// Target of a leadership transfer, and ticks since the transfer was requested.
    transfer_target: Option<(ReplicaId, u32)>,
}

impl Replica {
    /// Returns a follower that resumes from the state in its store.
    ///
    /// # Errors
    ///
    /// Fails if the stored log has a gap.
    pub fn new(settings: Settings, stored: PersistentState) -> Result<Self, Error> {
        let snapshot_index = stored.snapshot.as_ref().map_or(0, |s| s.index);
        for (expected, entry) in (snapshot_index + 1..).zip(&stored.entries) {
            if entry.index != expected {
                return Err(Error::LogGap(expected));
            }
        }
        let log = Log::new(stored.snapshot.as_ref(), stored.entries);
        let hard_state = stored.hard_state;
        let mut replica = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ settings.id),
            settings,
            term: hard_state.term,
            vote: hard_state.vote,
            commit: hard_state.commit.clamp(snapshot_index, log.last_index()),
            applied: snapshot_index,
            log,
            role: Role::Follower,
            leader: None,
            election_elapsed_ticks: 0,
            election_timeout_ticks: 0,
            has_known_leader: false,
            stored_hard_state: hard_state,
            snapshot: stored.snapshot,
            partial_snapshot: None,
            ready: Ready::default(),
        };
        replica.reset_election_timeout();
        Ok(replica)
    }

    /// Advances the replica's clock by one tick.
    pub fn tick(&mut self) {
        self.election_elapsed_ticks = self.election_elapsed_ticks.saturating_add(1);
        if self.is_leader() {
            self.tick_leader();
        } else if self.election_elapsed_ticks >= self.election_timeout_ticks {
            self.reset_election_timeout();
            self.start_pre_vote();
        }
    }

    /// Processes a message that was sent to this replica.
    ///
    /// # Errors
    ///
    /// Fails if the message contradicts the committed log; the replica must then stop.
    pub fn step(&mut self, from: ReplicaId, message: Message) -> Result<(), Error> {
        let Message { term, body } = message;
        match &body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                self.handle_pre_vote(from, term, *last_index, *last_term);
                return Ok(());
            }
            Body::PreVoteReply { granted: true } => {
                self.handle_pre_vote_reply(from, term);
                return Ok(());
            }
            // A replica that lost contact with the leader must not disrupt replicas that still hear
            // from the leader.
            Body::Vote {
                is_transfer: false, ..
            } if self.has_recent_leader() => return Ok(()),
            _ => {}
        }
        if term < self.term {
            self.reply_to_stale_term(from, &body);
            return Ok(());
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        match body {
            Body::Vote {
                last_index,
                last_term,
                ..
            } => self.handle_vote(from, last_index, last_term),
            Body::VoteReply { granted } => self.handle_vote_reply(from, granted),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.follow_leader(from);
                return self.handle_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::AppendReply {
                accepted,
                prev_index,
                index,
                round,
            } => self.handle_append_reply(from, accepted, prev_index, index, round),
            Body::SnapshotChunk {
                index,
                index_term,
                membership,
                offset,
                total,
                data,
                round,
            } => {
                self.follow_leader(from);
                let chunk = snapshot::Chunk {
                    index,
                    term: index_term,
                    membership,
                    offset,
                    total,
                    data,
                };
                self.handle_chunk(from, chunk, round);
            }
            Body::SnapshotChunkReply {
                index,
                offset,
                round,
            } => self.handle_chunk_reply(from, index, offset, round),
            Body::TimeoutNow => self.handle_timeout_now(),
            Body::PreVote { .. } | Body::PreVoteReply { .. } => {}
        }
        Ok(())
    }

    /// Returns the pending work and clears it. After storing and syncing the work, the driver must
    /// call [`Replica::mark_persisted`] before it calls `ready` again.
    #[must_use]
    pub fn ready(&mut self) -> Ready {
        self.send_due_heartbeats();
        let mut ready = mem::take(&mut self.ready);
        ready.entries = self.log.take_unsaved_entries();
        let hard_state = self.hard_state();
        if hard_state != self.stored_hard_state {
            let term_and_vote = |h: &HardState| (h.term, h.vote);
            ready.must_sync = term_and_vote(&hard_state) != term_and_vote(&self.stored_hard_state);
            ready.hard_state = Some(hard_state);
            self.stored_hard_state = hard_state;
        }
        ready.must_sync |= !ready.entries.is_empty() || ready.snapshot.is_some();
        ready.committed = self.log.range(self.applied + 1, self.commit).to_vec();
        self.applied = self.commit;
        ready
    }

    /// Records that the whole last [`Ready`] is stored and synced.
    pub fn mark_persisted(&mut self) {
        self.log.mark_synced();
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Removes the log up to the index of `snapshot`, which the driver has stored and synced.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Returns a snapshot with the application's state `data`, which must reflect all committed
    /// entries that were handed out.
    #[must_use]
    pub fn snapshot(&self, data: Vec<u8>) -> Option<Snapshot> {
        Some(Snapshot {
            index: self.applied,
            term: self.log.term(self.applied)?,
            membership: self.log.membership_at(self.applied).clone(),
            data: data.into(),
        })
    }

    /// Returns the term, the vote and the commit index.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.commit,
        }
    }

    /// Returns the id of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Reports whether this replica believes itself to be the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the id of the leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry in the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the index of the last entry that the snapshot includes.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index()
    }

    /// Returns the entries from `first` to `last` inclusive that are held in memory.
    #[must_use]
    pub fn entries(&self, first: u64, last: u64) -> &[Entry] {
        self.log.range(first, last)
    }

    /// Returns the membership in effect.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the last membership that is known to be committed, with the index of its entry, or of
    /// the snapshot that includes the entry.
    ///
    /// Replicas that return the same index return the same membership, and a higher index belongs
    /// to a later membership or to a snapshot with the same one.
    #[must_use]
    pub fn committed_membership(&self) -> (u64, &Membership) {
        self.log.membership_entry_at(self.commit)
    }

    /// Returns the last index that `id` is known to have synced; `None` unless this replica leads.
    #[must_use]
    pub fn match_index(&self, id: ReplicaId) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) if id != self.settings.id => {
                leader.progress.get(&id).map(|p| p.match_index)
            }
            Role::Leader(_) => Some(self.log.synced_index()),
            _ => None,
        }
    }

    /// Returns the latest heartbeat round that was sent, and the latest round that `id` answered;
    /// `None` unless this replica leads.
    #[must_use]
    pub fn rounds(&self, id: ReplicaId) -> Option<(u64, u64)> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let answered = match leader.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == self.settings.id => leader.round,
            None => 0,
        };
        Some((leader.round, answered))
    }

    /// Reports whether the current membership isn't known to be committed.
    #[must_use]
    pub fn is_membership_changing(&self) -> bool {
        self.log.membership_index() > self.commit
    }

    /// Reports whether this replica leads and `id` has answered within the election timeout.
    fn is_recently_active(&self, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let progress = leader.progress.get(&id);
        let limit = self.settings.election_ticks;
        id == self.settings.id || progress.is_some_and(|p| p.ticks_since_reply < limit)
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let term = self.term;
        self.ready.messages.push((to, Message { term, body }));
    }

    /// Returns the least number of ticks without a leader before this replica starts an election.
    fn shortest_election_timeout(&self) -> u32 {
        let ticks = match self.has_known_leader {
            true => self.settings.election_ticks,
            false => self.settings.first_election_ticks,
        };
        ticks.max(1)
    }

    fn reset_election_timeout(&mut self) {
        let shortest = self.shortest_election_timeout();
        self.election_elapsed_ticks = 0;
        self.election_timeout_ticks = self.rng.random_range(shortest..shortest * 2);
    }

    /// Returns the ids of all other members.
    fn other_members(&self) -> Vec<ReplicaId> {
        let id = self.settings.id;
        self.log.membership().ids().filter(|i| *i != id).collect()
    }
}
