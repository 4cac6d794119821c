//! One replica of the log.

use std::{collections::BTreeMap, mem};

use displaydoc::Display;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Body, Entry, HardState, Id, Membership, Message, PersistentState, Refusal, Snapshot, log::Log,
    progress::Progress,
};

mod client;
mod election;
mod replication;
mod snapshot;

/// Settings of a replica. Times are in ticks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identity of this replica, from its data folder.
    pub id: Id,
    /// Seed of the generator that spreads election timeouts.
    pub seed: u64,
    /// Shortest time without a leader before an election; the longest is twice that.
    pub election_ticks: u32,
    /// The same for a replica that has known no leader since it started: where all have started at
    /// once nobody leads, and where somebody does, the pre-vote keeps it leading.
    pub first_election_ticks: u32,
    /// Time between two heartbeats of a leader. Invariant: below a third of `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Most entries in a message.
    pub max_message_entries: usize,
    /// Most bytes of commands in a message (one entry may exceed it), and size of a snapshot part.
    pub max_message_bytes: usize,
    /// Most entries of a leader that aren't committed.
    pub max_uncommitted_entries: u64,
    /// Largest command, in bytes.
    pub max_command_bytes: usize,
    /// Largest snapshot, in bytes.
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

/// Why a replica doesn't do what it was asked.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// replica doesn't lead: ask the leader
    NotLeader,
    /// leader hasn't committed an entry of its term yet, or hands over: ask again soon
    NotReady,
    /// leader has its limit of uncommitted entries: ask again soon
    Busy,
    /// command of {0} bytes is too large
    TooLarge(usize),
    /// {0}
    Refused(Refusal),
    /// replica {from:016x} sent entry {index}, which contradicts a committed one: stop this replica and replace it
    Diverged {
        /// Who sent it.
        from: Id,
        /// Index of the entry.
        index: u64,
    },
    /// stored log has a gap at entry {0}: replace this replica
    LogGap(u64),
}

impl std::error::Error for Error {}

/// Outcome of a read that was asked for with [`Replica::read`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// The caller's number of it.
    pub context: u64,
    /// Index that must be applied before the read; `None` when leadership was lost.
    pub index: Option<u64>,
}

/// What a driver must do, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// Snapshot to store, which replaces the whole log and the application's state.
    pub snapshot: Option<Snapshot>,
    /// Entries to store; the first one replaces any stored entry with its index or a later one.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index to store, where they changed.
    pub hard_state: Option<HardState>,
    /// Whether storage must be synced before the messages are sent.
    pub must_sync: bool,
    /// Messages to send, once all the above is stored.
    pub messages: Vec<(Id, Message)>,
    /// Committed entries to apply.
    pub committed: Vec<Entry>,
    /// Reads that are settled.
    pub reads: Vec<Read>,
}

impl Ready {
    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    rng: Pcg64Mcg,
    term: u64,
    vote: Option<Id>,
    commit: u64,
    /// Last committed index that was handed out. Invariant: at most `commit`.
    applied: u64,
    log: Log,
    role: Role,
    leader: Option<Id>,
    /// Ticks since the last sign of a leader or the start of an election.
    election_elapsed_ticks: u32,
    /// Value of `election_elapsed_ticks` at which an election starts.
    election_timeout_ticks: u32,
    /// Whether any leader was known since the start.
    has_known_leader: bool,
    /// Hard state as last handed out to be stored.
    stored: HardState,
    /// Latest snapshot, for replicas that lag behind the log.
    snapshot: Option<Snapshot>,
    /// Snapshot that a leader is sending to this replica.
    partial_snapshot: Option<snapshot::PartialSnapshot>,
    ready: Ready,
}

/// What a replica is at the moment.
#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether an election would succeed; the replies so far.
    PreCandidate(BTreeMap<Id, bool>),
    /// Asks for votes; the replies so far.
    Candidate(BTreeMap<Id, bool>),
    Leader(Leader),
}

/// What only a leader holds.
#[derive(Debug)]
struct Leader {
    /// Progress of each other member.
    progress: BTreeMap<Id, Progress>,
    /// Index of the first entry of its term.
    term_start: u64,
    /// Ticks since the last heartbeat.
    ticks_since_heartbeat: u32,
    /// Latest round of heartbeats.
    round: u64,
    /// Reads with the index and the round that they wait for.
    reads: Vec<(u64, u64, u64)>,
    /// Whether a read waits for a round that wasn't sent yet.
    is_round_due: bool,
    /// Replica that is to take over, and ticks since it was asked for.
    transfer_target: Option<(Id, u32)>,
}

impl Replica {
    /// A replica that goes on from what its store holds.
    ///
    /// # Errors
    ///
    /// Fails when the stored log has a gap.
    pub fn new(settings: Settings, stored: PersistentState) -> Result<Self, Error> {
        let base = stored.snapshot.as_ref().map_or(0, |s| s.index);
        for (expected, entry) in (base + 1..).zip(&stored.entries) {
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
            commit: hard_state.commit.clamp(base, log.last_index()),
            applied: base,
            log,
            role: Role::Follower,
            leader: None,
            election_elapsed_ticks: 0,
            election_timeout_ticks: 0,
            has_known_leader: false,
            stored: hard_state,
            snapshot: stored.snapshot,
            partial_snapshot: None,
            ready: Ready::default(),
        };
        replica.reset_election_timeout();
        Ok(replica)
    }

    /// Lets one tick of time pass.
    pub fn tick(&mut self) {
        self.election_elapsed_ticks = self.election_elapsed_ticks.saturating_add(1);
        if self.is_leader() {
            self.tick_leader();
        } else if self.election_elapsed_ticks >= self.election_timeout_ticks {
            self.reset_election_timeout();
            self.start_pre_vote();
        }
    }

    /// Takes a message that was sent to this replica.
    ///
    /// # Errors
    ///
    /// Fails when the message contradicts what is committed; the replica must then stop.
    pub fn step(&mut self, from: Id, message: Message) -> Result<(), Error> {
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
            // A replica that can't hear the leader must not disturb those that can.
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

    /// Takes out what is to be done. Call [`Replica::mark_persisted`] once it is stored and synced,
    /// and not again before that.
    #[must_use]
    pub fn ready(&mut self) -> Ready {
        self.send_due_heartbeats();
        let mut ready = mem::take(&mut self.ready);
        ready.entries = self.log.take_unsaved_entries();
        let hard_state = self.hard_state();
        if hard_state != self.stored {
            let voted = |h: &HardState| (h.term, h.vote);
            ready.must_sync = voted(&hard_state) != voted(&self.stored);
            ready.hard_state = Some(hard_state);
            self.stored = hard_state;
        }
        ready.must_sync |= !ready.entries.is_empty() || ready.snapshot.is_some();
        ready.committed = self.log.range(self.applied + 1, self.commit).to_vec();
        self.applied = self.commit;
        ready
    }

    /// Notes that all of the last [`Ready`] is stored and synced.
    pub fn mark_persisted(&mut self) {
        self.log.mark_synced();
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Forgets the log up to the index of `snapshot`, which the driver has stored and synced.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// A snapshot of the application's state `data` after it applied all that was handed out.
    #[must_use]
    pub fn snapshot(&self, data: Vec<u8>) -> Option<Snapshot> {
        Some(Snapshot {
            index: self.applied,
            term: self.log.term(self.applied)?,
            membership: self.log.membership_at(self.applied).clone(),
            data: data.into(),
        })
    }

    /// Term, vote and commit index.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.commit,
        }
    }

    /// Identity of this replica.
    #[must_use]
    pub fn id(&self) -> Id {
        self.settings.id
    }

    /// Whether this replica leads, as far as it knows.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, where known.
    #[must_use]
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// The present term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Last index known to be committed.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry held, committed or not.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the last entry that the snapshot includes.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot_index()
    }

    /// Entries from `first` to `last`, both included, as far as they are held.
    #[must_use]
    pub fn entries(&self, first: u64, last: u64) -> &[Entry] {
        self.log.range(first, last)
    }

    /// The membership that counts now.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// On a leader, the last index that `id` has synced.
    #[must_use]
    pub fn match_index(&self, id: Id) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) if id != self.settings.id => {
                leader.progress.get(&id).map(|p| p.match_index)
            }
            Role::Leader(_) => Some(self.log.synced_index()),
            _ => None,
        }
    }

    /// On a leader, the latest round of heartbeats that was sent, and the latest one that `id`
    /// answered.
    #[must_use]
    pub fn rounds(&self, id: Id) -> Option<(u64, u64)> {
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

    /// Whether the present membership isn't known to be committed.
    #[must_use]
    pub fn is_membership_changing(&self) -> bool {
        self.log.membership_index() > self.commit
    }

    /// On a leader, whether `id` has answered lately.
    fn is_recently_active(&self, id: Id) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let heard = leader.progress.get(&id);
        let limit = self.settings.election_ticks;
        id == self.settings.id || heard.is_some_and(|p| p.ticks_since_reply < limit)
    }

    fn send(&mut self, to: Id, body: Body) {
        let term = self.term;
        self.ready.messages.push((to, Message { term, body }));
    }

    fn reset_election_timeout(&mut self) {
        let ticks = match self.has_known_leader {
            true => self.settings.election_ticks,
            false => self.settings.first_election_ticks,
        };
        let shortest = ticks.max(1);
        self.election_elapsed_ticks = 0;
        self.election_timeout_ticks = self.rng.random_range(shortest..shortest * 2);
    }

    /// Ids of all other members.
    fn other_members(&self) -> Vec<Id> {
        let id = self.settings.id;
        self.log.membership().ids().filter(|i| *i != id).collect()
    }
}
