//! Elections: pre-vote, vote, and who steps down when.

use std::collections::BTreeMap;

use super::{Leader, Read, Replica, Role};
use crate::{Body, Entry, Id, Message, Payload, progress::Progress};

/// Ticks after its start in which a pre-vote counts as one of about the same time.
const TIE_WINDOW_TICKS: u32 = 1;

impl Replica {
    /// Asks all voters whether they would elect this replica.
    ///
    /// A replica that lost contact asks first, so that its term doesn't grow while it is cut off
    /// and its return doesn't end a working leader's term.
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

    pub(super) fn handle_pre_vote(&mut self, from: Id, term: u64, last_index: u64, last_term: u64) {
        if self.has_recent_leader() {
            return;
        }
        let granted = term > self.term
            && self.log.is_up_to_date(last_index, last_term)
            && !self.wins_tie_against(from, last_index, last_term);
        if granted && matches!(self.role, Role::PreCandidate(_)) {
            // Two that go on to ask for votes would each keep their own.
            self.role = Role::Follower;
        }
        let body = Body::PreVoteReply { granted };
        let term = if granted { term } else { self.term };
        self.ready.messages.push((from, Message { term, body }));
    }

    /// Whether this replica and `from`, whose log ends as given, have begun to ask at about the same
    /// time, and this one is to be elected.
    ///
    /// One that has asked for longer lets the others ask: it may reach no quorum.
    fn wins_tie_against(&self, from: Id, last_index: u64, last_term: u64) -> bool {
        matches!(self.role, Role::PreCandidate(_))
            && self.election_elapsed_ticks < TIE_WINDOW_TICKS
            && (last_index, last_term) == (self.log.last_index(), self.log.last_term())
            && self.settings.id < from
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: Id, term: u64) {
        if let Role::PreCandidate(votes) = &mut self.role
            && term == self.term + 1
        {
            votes.insert(from, true);
            self.count_votes();
        }
    }

    pub(super) fn handle_vote(&mut self, from: Id, last_index: u64, last_term: u64) {
        let is_free = self.vote.is_none_or(|v| v == from) && self.leader.is_none();
        let granted = is_free && self.log.is_up_to_date(last_index, last_term);
        if granted {
            self.vote = Some(from);
            self.reset_election_timeout();
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: Id, granted: bool) {
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

    /// Answers a message of an older term, so that its sender learns of the newer one.
    pub(super) fn reply_to_stale_term(&mut self, from: Id, body: &Body) {
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

    /// Whether a leader was heard so lately that none other can have a quorum's votes unasked.
    pub(super) fn has_recent_leader(&self) -> bool {
        match self.role {
            Role::Leader(_) => true,
            _ => {
                self.leader.is_some() && self.election_elapsed_ticks < self.settings.election_ticks
            }
        }
    }

    /// Goes back to following, in `term`.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        if let Role::Leader(leader) = &mut self.role {
            let lost = leader.reads.drain(..).map(|(context, _, _)| Read {
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

    /// Takes `from` for the leader of the present term.
    pub(super) fn follow_leader(&mut self, from: Id) {
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

    fn other_voters(&self) -> Vec<Id> {
        let voters = self.log.membership().voters.keys();
        let id = self.settings.id;
        voters.copied().filter(|i| *i != id).collect()
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let won = |votes: &BTreeMap<Id, bool>| {
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
        // Entries of older terms count as committed only behind one of this term.
        self.log.push(Entry {
            index: next,
            term: self.term,
            payload: Payload::Empty,
        });
        self.replicate_to_all();
    }
}
