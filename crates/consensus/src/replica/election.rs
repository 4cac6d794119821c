//! Elections: pre-vote, vote, and the transitions between roles.

use std::collections::BTreeMap;

use super::{Leader, ReadState, Replica, Role};
use crate::{Body, Entry, Message, Payload, ReplicaId, progress::Progress};

/// Part of the shortest election timeout, after the start of a pre-vote, in which the pre-vote of
/// another replica counts as simultaneous. Two messages that cross must fit in: otherwise two replicas
/// give up their pre-votes for each other, and none is elected until the next timeout.
const TIE_WINDOW_DIVISOR: u32 = 3;

impl Replica {
    /// Starts a pre-vote: asks the other voters whether they would vote for this replica.
    ///
    /// Without a pre-vote, the term of an isolated replica would grow with each election timeout,
    /// and on its return would depose a working leader.
    pub(super) fn start_pre_vote(&mut self) {
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        self.role = Role::PreCandidate(BTreeMap::from([(self.settings.id, true)]));
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = self.term + 1;
        for to in self.other_voters() {
            let body = body.clone();
            self.ready.messages.push((to, Message { term, body }));
        }
        self.count_votes();
    }

    /// Starts an election in the next term.
    pub(super) fn start_election(&mut self, is_transfer: bool) {
        self.term += 1;
        self.vote = Some(self.settings.id);
        self.leader = None;
        self.reset_election_timeout();
        self.role = Role::Candidate(BTreeMap::from([(self.settings.id, true)]));
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_transfer,
        };
        for to in self.other_voters() {
            self.send(to, body.clone());
        }
        self.count_votes();
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        if self.has_recent_leader() {
            return;
        }
        let granted = term > self.term
            && self.log.is_up_to_date(last_index, last_term)
            && !self.wins_tie_against(from, last_index, last_term);
        if granted && matches!(self.role, Role::PreCandidate(_)) {
            // This replica gives up its own pre-vote: two candidates would each vote for themselves
            // and split the vote.
            self.role = Role::Follower;
        }
        let body = Body::PreVoteReply { granted };
        let term = if granted { term } else { self.term };
        self.ready.messages.push((from, Message { term, body }));
    }

    /// Reports whether this replica and `from` started a pre-vote at about the same time with equal
    /// logs, and this replica has precedence because its id is lower.
    ///
    /// A replica whose pre-vote started earlier has no precedence, since it may be unable to reach
    /// a quorum.
    fn wins_tie_against(&self, from: ReplicaId, last_index: u64, last_term: u64) -> bool {
        matches!(self.role, Role::PreCandidate(_))
            && self.election_elapsed_ticks <= self.shortest_election_timeout() / TIE_WINDOW_DIVISOR
            && (last_index, last_term) == (self.log.last_index(), self.log.last_term())
            && self.settings.id < from
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: ReplicaId, term: u64) {
        if let Role::PreCandidate(votes) = &mut self.role
            && term == self.term + 1
        {
            votes.insert(from, true);
            self.count_votes();
        }
    }

    pub(super) fn handle_vote(&mut self, from: ReplicaId, last_index: u64, last_term: u64) {
        let is_free = self.vote.is_none_or(|v| v == from) && self.leader.is_none();
        let granted = is_free && self.log.is_up_to_date(last_index, last_term);
        if granted {
            self.vote = Some(from);
            self.reset_election_timeout();
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role {
            votes.insert(from, granted);
            self.count_votes();
        }
    }

    pub(super) fn handle_timeout_now(&mut self) {
        if self.is_voter() && !self.is_leader() {
            self.start_election(true);
        }
    }

    /// Answers a message of an older term, so that the sender learns of the newer term.
    pub(super) fn reply_to_stale_term(&mut self, from: ReplicaId, body: &Body) {
        match body {
            Body::Vote { .. } => self.send(from, Body::VoteReply { granted: false }),
            Body::Append { round, .. } | Body::SnapshotChunk { round, .. } => {
                let reply = Body::AppendReply {
                    accepted: false,
                    prev_index: 0,
                    index: 0,
                    round: *round,
                };
                self.send(from, reply);
            }
            _ => {}
        }
    }

    /// Reports whether this replica leads or has heard from a leader within the election timeout.
    /// While a quorum is in this state, only a leadership transfer can elect another replica.
    pub(super) fn has_recent_leader(&self) -> bool {
        match self.role {
            Role::Leader(_) => true,
            _ => {
                self.leader.is_some() && self.election_elapsed_ticks < self.settings.election_ticks
            }
        }
    }

    /// Becomes a follower in `term`, and fails the pending reads of a former leader.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        if let Role::Leader(leader) = &mut self.role {
            let lost = leader.reads.drain(..).map(|(context, _, _)| ReadState {
                context,
                index: None,
            });
            self.ready.reads.extend(lost);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.partial_snapshot = None;
        self.reset_election_timeout();
    }

    /// Accepts `from` as the leader of the current term.
    pub(super) fn follow_leader(&mut self, from: ReplicaId) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.term, Some(from));
        }
        self.leader = Some(from);
        self.election_elapsed_ticks = 0;
        if !self.has_known_leader {
            self.has_known_leader = true;
            self.reset_election_timeout();
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        let voters = &self.log.membership().voters;
        voters.contains_key(&self.settings.id)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().voters.keys();
        let id = self.settings.id;
        voters.copied().filter(|i| *i != id).collect()
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let won = |votes: &BTreeMap<ReplicaId, bool>| {
            membership.has_quorum(|id| votes.get(&id).copied().unwrap_or(false))
        };
        match &self.role {
            Role::PreCandidate(votes) if won(votes) => self.start_election(false),
            Role::Candidate(votes) if won(votes) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let other_members = self.other_members();
        self.role = Role::Leader(Leader {
            progress: other_members
                .iter()
                .map(|i| (*i, Progress::new(next)))
                .collect(),
            term_start: next,
            ticks_since_heartbeat: 0,
            round: 0,
            reads: Vec::new(),
            is_round_due: false,
            transfer_target: None,
        });
        self.leader = Some(self.settings.id);
        self.election_elapsed_ticks = 0;
        self.has_known_leader = true;
        // Entries of older terms are committed only together with an entry of the current term.
        self.log.push(Entry {
            index: next,
            term: self.term,
            payload: Payload::Empty,
        });
        self.replicate_to_all();
    }
}
