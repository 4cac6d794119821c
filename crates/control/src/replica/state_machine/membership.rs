//! Who takes part: founding, newcomers, and replacing a lost replica.

use std::collections::BTreeMap;

use consensus::{ChangeRefusal, Member, Membership, MembershipChange, PersistentState, ReplicaId};
use store::Disk;

use super::{
    Answer, Fault, REQUEST_TIMEOUT_TICKS, RESEND_INTERVAL_TICKS, StateMachine, replica, voter_set,
};
use crate::{
    peer::{Body, Envelope, Replacement, Sender},
    replica::Error,
};

/// Ticks for which a newcomer counts as there after it was heard.
const NEWCOMER_TICKS: u64 = 60;

/// Ticks without a leader after which a replica asks to be taken in again.
const NO_LEADER_TICKS: u64 = 40;

/// How often longer than a command a replacement may take: the newcomer has to catch up.
const REPLACE_FACTOR: u64 = 6;

/// What is known of replicas beyond the membership.
#[derive(Debug, Default)]
pub(super) struct MembershipTable {
    /// Addresses from which replicas sent, by id; only the latest id of each address is kept.
    addresses: BTreeMap<String, ReplicaId>,
    /// Replicas that take no part, by name.
    newcomers: BTreeMap<String, Newcomer>,
    /// Replacements that this VM was asked for, by token.
    replacements: BTreeMap<u64, PendingReplacement>,
    /// As leader: term and round of heartbeats at which a replacement was first asked for, by who
    /// asked and its number.
    start_rounds: BTreeMap<(ReplicaId, u64), (u64, u64)>,
    /// When each replica was last heard, in ticks.
    last_contact: BTreeMap<ReplicaId, u64>,
    /// When a leader was last known, in ticks.
    last_leader_at: u64,
    /// When this replica began to lead, in ticks; none while it doesn't.
    leader_since: Option<u64>,
}

#[derive(Debug)]
struct Newcomer {
    sender: Sender,
    is_empty: bool,
    heard_at: u64,
}

impl Newcomer {
    fn member(&self) -> Member {
        Member {
            name: self.sender.name.clone(),
            address: self.sender.address.clone(),
        }
    }
}

#[derive(Debug)]
struct PendingReplacement {
    old: String,
    new: String,
    next_send_at: u64,
    expires_at: u64,
    /// What was missing when the leader last answered.
    reason: Option<String>,
}

impl MembershipTable {
    pub(super) fn record_address(&mut self, from: &Sender) {
        self.addresses.insert(from.address.clone(), from.id);
    }

    pub(super) fn address(&self, id: ReplicaId) -> Option<String> {
        let known = self.addresses.iter().find(|(_, i)| **i == id);
        known.map(|(address, _)| address.clone())
    }
}

impl<D: Disk> StateMachine<D> {
    /// Replaces replica `old` by the newcomer `new`; the answer comes under `token`.
    pub fn replace(&mut self, token: u64, old: &str, new: &str) {
        let replace = PendingReplacement {
            old: old.to_owned(),
            new: new.to_owned(),
            next_send_at: self.now,
            expires_at: self.now + REPLACE_FACTOR * REQUEST_TIMEOUT_TICKS,
            reason: None,
        };
        self.members.replacements.insert(token, replace);
        self.send_replacements();
    }

    pub(super) fn tick_members(&mut self) -> Result<(), Fault> {
        let id = self.replica.id();
        if self.replica.leader().is_some() {
            self.members.last_leader_at = self.now;
        }
        let takes_part = self.replica.membership().contains(id);
        if self.now.is_multiple_of(RESEND_INTERVAL_TICKS)
            && (!takes_part || self.may_have_been_removed())
        {
            self.announce_not_in_cluster();
            self.try_found_cluster()?;
        }
        self.maintain_voter_set();
        self.send_replacements();
        let now = self.now;
        let table = &mut self.members;
        let expired = table
            .replacements
            .extract_if(.., |_, r| now >= r.expires_at);
        for (token, replace) in expired {
            let error = replace.reason.map_or(Error::NoLeader, Error::Refused);
            self.output
                .answers
                .push(Answer::Replaced(token, Err(error)));
        }
        Ok(())
    }

    /// Whether this replica never took part in anything.
    fn is_empty(&self) -> bool {
        self.replica.last_index() == 0 && self.replica.term() == 0
    }

    /// Whether this replica has known no leader for so long that it may have been taken out while
    /// it was away.
    fn may_have_been_removed(&self) -> bool {
        let silence = self.now - self.members.last_leader_at;
        self.settings.target_voters.is_some() && silence > NO_LEADER_TICKS
    }

    /// Replaces the peers that are told that this replica takes no part.
    pub fn set_peers(&mut self, peers: BTreeMap<String, String>) {
        self.settings.peers = peers;
    }

    pub(super) fn record_contact(&mut self, from: &Sender) {
        self.members.last_contact.insert(from.id, self.now);
    }

    /// As leader, makes the next change of the membership where replicas are kept without
    /// operators.
    fn maintain_voter_set(&mut self) {
        if !self.replica.is_leader() {
            self.members.leader_since = None;
            return;
        }
        let leader_since = *self.members.leader_since.get_or_insert(self.now);
        let Some(target_voters) = self.settings.target_voters else {
            return;
        };
        if self.replica.is_membership_changing() {
            return;
        }
        let newcomers: BTreeMap<ReplicaId, Member> = self
            .members
            .newcomers
            .values()
            .filter(|n| self.now < n.heard_at + NEWCOMER_TICKS)
            .filter(|n| !self.replica.membership().contains(n.sender.id))
            .map(|n| (n.sender.id, n.member()))
            .collect();
        let commit = self.replica.commit_index();
        let learners = self.replica.membership().learners.keys();
        let caught_up: Vec<ReplicaId> = learners
            .filter(|id| self.replica.match_index(**id).is_some_and(|m| m >= commit))
            .copied()
            .collect();
        let view = voter_set::LeaderView {
            leader: self.replica.id(),
            target_voters,
            now: self.now,
            leader_since,
            membership: self.replica.membership(),
            last_contact: &self.members.last_contact,
            newcomers: &newcomers,
            caught_up: &caught_up,
        };
        if let Some(change) = voter_set::next_change(&view) {
            let outcome = match self.replica.propose_membership_change(&change) {
                Ok(index) => format!("index={index}"),
                Err(error) => error.to_string(),
            };
            let notice = format!("roster: {change:?}: {outcome}");
            self.output.notices.push(notice);
        }
    }

    /// Tells all peers that this replica takes no part.
    fn announce_not_in_cluster(&mut self) {
        let body = Body::NotInCluster {
            is_empty: self.is_empty() && self.settings.may_found_cluster,
        };
        let known = self.replica.membership().members();
        let known = known.map(|(_, member)| member.address.clone());
        let mut addresses: Vec<String> = self.settings.peers.values().cloned().collect();
        addresses.extend(known);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.settings.address);
        for address in addresses {
            let envelope = self.envelope(0, body.clone());
            self.output.envelopes.push((address, envelope));
        }
    }

    /// Notes a replica that takes no part, and lets the leader know where it may not hear it.
    pub(super) fn handle_not_in_cluster(&mut self, from: Sender, is_empty: bool, to: ReplicaId) {
        let leader = self.replica.leader().filter(|l| *l != self.replica.id());
        // What was passed on to a replica by its id isn't passed on again.
        if let Some(leader) = leader
            && to == 0
            && let Some(member) = self.replica.membership().member(leader)
        {
            let envelope = Envelope {
                from: from.clone(),
                to: leader,
                body: Body::NotInCluster { is_empty },
            };
            let address = member.address.clone();
            self.output.envelopes.push((address, envelope));
        }
        let newcomer = Newcomer {
            is_empty,
            heard_at: self.now,
            sender: from,
        };
        let name = newcomer.sender.name.clone();
        self.members.newcomers.insert(name, newcomer);
    }

    /// Founds the cluster where this replica is the one to do so and all others are empty.
    fn try_found_cluster(&mut self) -> Result<(), Fault> {
        let is_first = self.settings.peers.keys().next() == Some(&self.settings.name);
        if !is_first || !self.settings.may_found_cluster || !self.is_empty() {
            return Ok(());
        }
        let mut voters = BTreeMap::new();
        for name in self.settings.peers.keys() {
            let Some((id, member)) = self.founder(name) else {
                return Ok(());
            };
            voters.insert(id, member);
        }
        let membership = Membership {
            voters,
            ..Membership::default()
        };
        let stored = PersistentState::for_new_cluster(membership);
        self.store.initialize_cluster(&stored)?;
        self.applied = 1;
        self.replica = replica(&self.settings, self.store.id(), stored)?;
        let notice = "founded a cluster of all initial replicas".to_owned();
        self.output.notices.push(notice);
        Ok(())
    }

    /// The initial replica `name`, where it said lately that it is empty.
    fn founder(&self, name: &str) -> Option<(ReplicaId, Member)> {
        let (id, address) = if name == self.settings.name {
            (self.replica.id(), self.settings.address.clone())
        } else {
            let newcomer = self.newcomer(name).filter(|n| n.is_empty)?;
            (newcomer.sender.id, newcomer.sender.address.clone())
        };
        let name = name.to_owned();
        Some((id, Member { name, address }))
    }

    fn newcomer(&self, name: &str) -> Option<&Newcomer> {
        let newcomer = self.members.newcomers.get(name)?;
        (self.now < newcomer.heard_at + NEWCOMER_TICKS).then_some(newcomer)
    }

    fn send_replacements(&mut self) {
        let Some(leader) = self.replica.leader() else {
            return;
        };
        let mut due = Vec::new();
        for (token, replace) in &mut self.members.replacements {
            if self.now >= replace.next_send_at {
                replace.next_send_at = self.now + RESEND_INTERVAL_TICKS;
                due.push((*token, replace.old.clone(), replace.new.clone()));
            }
        }
        for (context, old, new) in due {
            if leader == self.replica.id() {
                let state = self.advance_replacement((leader, context), &old, &new);
                self.handle_replace_reply(context, state);
            } else {
                self.send(leader, Body::Replace { context, old, new });
            }
        }
    }

    pub(super) fn handle_replace(&mut self, from: &Sender, context: u64, old: &str, new: &str) {
        let state = self.advance_replacement((from.id, context), old, new);
        self.send(from.id, Body::ReplaceReply { context, state });
    }

    pub(super) fn handle_replace_reply(&mut self, token: u64, state: Replacement) {
        let Some(replace) = self.members.replacements.get_mut(&token) else {
            return;
        };
        let outcome = match state {
            Replacement::Done => Ok(()),
            Replacement::Refused(reason) => Err(Error::Refused(reason)),
            Replacement::Pending(reason) => {
                replace.reason = Some(reason);
                return;
            }
        };
        self.members.replacements.remove(&token);
        self.output.answers.push(Answer::Replaced(token, outcome));
    }

    /// As leader, does the next step of a replacement.
    ///
    /// Each step follows from the membership alone, so that any leader can go on with it. An even
    /// number of voters tells that a replacement is half done, since clusters are founded with an
    /// odd one.
    fn advance_replacement(
        &mut self,
        requester: (ReplicaId, u64),
        old: &str,
        new: &str,
    ) -> Replacement {
        if !self.replica.is_leader() {
            return Replacement::Pending("the leader has changed".to_owned());
        }
        let start_round = self.record_start_round(requester);
        let membership = self.replica.membership().clone();
        let is_half_done = membership.voters.len().is_multiple_of(2);
        let newcomer_id = self.newcomer(new).map(|n| n.sender.id);
        if let Some(learner) = ids_by_name(&membership.learners, new).pop() {
            // A learner that lost its disk as well will never answer.
            if newcomer_id.is_some_and(|f| !membership.contains(f)) {
                return self.propose_change(&MembershipChange::Remove(learner));
            }
            if is_half_done {
                return Replacement::Pending("another replacement isn't finished".to_owned());
            }
            return self.propose_change(&MembershipChange::Promote(learner));
        }
        if newcomer_id.is_some_and(|f| !membership.contains(f)) {
            return self.add_learner(new);
        }
        // Of two voters with one name, the one that is further is the newcomer.
        let mut voters = ids_by_name(&membership.voters, new);
        voters.sort_by_key(|id| self.replica.match_index(*id));
        let Some(newcomer) = voters.pop() else {
            return Replacement::Pending(format!("no replica {new} was heard lately"));
        };
        let replaced = match old == new {
            true => voters.pop(),
            false => ids_by_name(&membership.voters, old).pop(),
        };
        if !self.has_synced_all(newcomer, start_round) {
            return Replacement::Pending(format!("replica {new} hasn't synced everything yet"));
        }
        match replaced {
            Some(id) if is_half_done => self.propose_change(&MembershipChange::Remove(id)),
            Some(_) => Replacement::Refused(format!("replica {new} votes already")),
            None if self.replica.is_membership_changing() => {
                Replacement::Pending("a step isn't committed yet".to_owned())
            }
            None => Replacement::Done,
        }
    }

    /// The round of heartbeats at which a replacement was first asked for in this term.
    fn record_start_round(&mut self, requester: (ReplicaId, u64)) -> u64 {
        let term = self.replica.term();
        let (round, _) = self.replica.rounds(self.replica.id()).unwrap_or_default();
        let start_rounds = &mut self.members.start_rounds;
        start_rounds.retain(|_, (t, _)| *t == term);
        start_rounds.entry(requester).or_insert((term, round)).1
    }

    /// Whether `id` has synced everything that is committed, and has answered a heartbeat that
    /// was sent after round `start_round`. One that was lost before it was to be replaced under its
    /// own name would else still count for a moment.
    fn has_synced_all(&self, id: ReplicaId, start_round: u64) -> bool {
        let commit = self.replica.commit_index();
        let match_index = self.replica.match_index(id);
        let rounds = self.replica.rounds(id);
        rounds.is_some_and(|(_, answered)| answered > start_round)
            && match_index.is_some_and(|m| m >= commit)
    }

    fn add_learner(&mut self, name: &str) -> Replacement {
        let Some(newcomer) = self.newcomer(name) else {
            return Replacement::Pending(format!("no replica {name} was heard lately"));
        };
        let member = Member {
            name: name.to_owned(),
            address: newcomer.sender.address.clone(),
        };
        let change = MembershipChange::AddLearner(newcomer.sender.id, member);
        self.propose_change(&change)
    }

    fn propose_change(&mut self, change: &MembershipChange) -> Replacement {
        use consensus::Error;
        match self.replica.propose_membership_change(change) {
            Ok(_) => Replacement::Pending("a step isn't committed yet".to_owned()),
            Err(Error::Refused(
                r @ (ChangeRefusal::ChangeInProgress | ChangeRefusal::NotCaughtUp(_)),
            )) => Replacement::Pending(r.to_string()),
            Err(Error::Refused(refusal)) => Replacement::Refused(refusal.to_string()),
            Err(error) => Replacement::Pending(error.to_string()),
        }
    }
}

/// Ids of the replicas of one name.
fn ids_by_name(of: &BTreeMap<ReplicaId, Member>, name: &str) -> Vec<ReplicaId> {
    let same = of.iter().filter(|(_, m)| m.name == name);
    same.map(|(id, _)| *id).collect()
}
