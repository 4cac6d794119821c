//! Cluster membership: founding a cluster, replicas that are not members, and replacing a lost
//! replica.

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

/// Ticks after its last message during which a replica that is not a member counts as running.
const NEWCOMER_TICKS: u64 = 60;

/// Ticks without a known leader after which a replica asks to be added to the cluster again.
const NO_LEADER_TICKS: u64 = 40;

/// Factor by which a replacement may take longer than a command, since the new replica has to catch
/// up.
const REPLACE_FACTOR: u64 = 6;

/// State of replicas that is not part of the membership in the log.
#[derive(Debug, Default)]
pub(super) struct MembershipTable {
    /// Id of the latest replica that sent from each address.
    addresses: BTreeMap<String, ReplicaId>,
    /// Running replicas that are not members, by name.
    newcomers: BTreeMap<String, Newcomer>,
    /// Replacements requested at this control VM, by token.
    replacements: BTreeMap<u64, PendingReplacement>,
    /// On the leader: term and heartbeat round at which a replacement was first requested, by
    /// requester and request number.
    start_rounds: BTreeMap<(ReplicaId, u64), (u64, u64)>,
    /// Tick of the last message of each replica.
    last_contact: BTreeMap<ReplicaId, u64>,
    /// Tick at which a leader was last known.
    last_leader_at: u64,
    /// Tick at which this replica became the leader; `None` while it is not the leader.
    leader_since: Option<u64>,
}

#[derive(Debug)]
struct Newcomer {
    sender: Sender,
    is_empty: bool,
    reported_at: u64,
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
    /// Last reason of the leader why the replacement is not complete.
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
    /// Replaces replica `old` by replica `new`, which is not a member yet; the answer carries
    /// `token`.
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
        let is_member = self.replica.membership().contains(id);
        if self.now.is_multiple_of(RESEND_INTERVAL_TICKS)
            && (!is_member || self.may_have_been_removed())
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

    /// Reports whether this replica has never been a member of a cluster.
    fn is_empty(&self) -> bool {
        self.replica.last_index() == 0 && self.replica.term() == 0
    }

    /// Reports whether this replica may have been removed from the membership while it was
    /// disconnected: it has known no leader for [`NO_LEADER_TICKS`].
    fn may_have_been_removed(&self) -> bool {
        let silence = self.now - self.members.last_leader_at;
        self.settings.target_voters.is_some() && silence > NO_LEADER_TICKS
    }

    /// Replaces the peers that are informed while this replica is not a member.
    pub fn set_peers(&mut self, peers: BTreeMap<String, String>) {
        self.settings.peers = peers;
    }

    pub(super) fn record_contact(&mut self, from: &Sender) {
        self.members.last_contact.insert(from.id, self.now);
    }

    /// As leader, proposes the next membership change that the automatic voter set requires.
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
            .filter(|n| self.now < n.reported_at + NEWCOMER_TICKS)
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
            let notice = format!("automatic voter set: {change:?}: {outcome}");
            self.output.notices.push(notice);
        }
    }

    /// Sends all peers a message that this replica is not a member.
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

    /// Records a replica that is not a member, and forwards its message to the leader, which the
    /// replica may not be able to reach itself.
    pub(super) fn handle_not_in_cluster(&mut self, from: Sender, is_empty: bool, to: ReplicaId) {
        let leader = self.replica.leader().filter(|l| *l != self.replica.id());
        // A message with a replica id was forwarded already and is not forwarded again.
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
            reported_at: self.now,
            sender: from,
        };
        let name = newcomer.sender.name.clone();
        self.members.newcomers.insert(name, newcomer);
    }

    /// Founds the cluster if this replica has the first name and all other initial replicas have
    /// reported empty disks.
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
        let notice = "founded a cluster with all initial replicas as voters".to_owned();
        self.output.notices.push(notice);
        Ok(())
    }

    /// Returns id and address of the initial replica `name`, if it reported an empty disk recently.
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
        (self.now < newcomer.reported_at + NEWCOMER_TICKS).then_some(newcomer)
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

    /// As leader, performs the next step of a replacement.
    ///
    /// Each step follows from the membership alone, so that any leader can continue the
    /// replacement. Clusters are founded with an odd number of voters, so an even number means that
    /// a replacement is half done.
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
            // The learner has lost its disk too, and its old id will never answer.
            if newcomer_id.is_some_and(|f| !membership.contains(f)) {
                return self.propose_change(&MembershipChange::Remove(learner));
            }
            if is_half_done {
                return Replacement::Pending("another replacement is not finished".to_owned());
            }
            return self.propose_change(&MembershipChange::Promote(learner));
        }
        if newcomer_id.is_some_and(|f| !membership.contains(f)) {
            return self.add_learner(new);
        }
        // Of two voters with the same name, the one whose log reaches further is the new replica.
        let mut voters = ids_by_name(&membership.voters, new);
        voters.sort_by_key(|id| self.replica.match_index(*id));
        let Some(newcomer) = voters.pop() else {
            return Replacement::Pending(format!(
                "replica {new} has not reported recently: check that it runs"
            ));
        };
        let replaced = match old == new {
            true => voters.pop(),
            false => ids_by_name(&membership.voters, old).pop(),
        };
        if !self.has_synced_all(newcomer, start_round) {
            return Replacement::Pending(format!(
                "replica {new} has not synced all committed entries yet"
            ));
        }
        match replaced {
            Some(id) if is_half_done => self.propose_change(&MembershipChange::Remove(id)),
            Some(_) => Replacement::Refused(format!("replica {new} is already a voter")),
            None if self.replica.is_membership_changing() => {
                Replacement::Pending("a membership change is not committed yet".to_owned())
            }
            None => Replacement::Done,
        }
    }

    /// Returns the heartbeat round in which a replacement was first requested in this term, and
    /// records the current round on the first request.
    fn record_start_round(&mut self, requester: (ReplicaId, u64)) -> u64 {
        let term = self.replica.term();
        let (round, _) = self.replica.rounds(self.replica.id()).unwrap_or_default();
        let start_rounds = &mut self.members.start_rounds;
        start_rounds.retain(|_, (t, _)| *t == term);
        start_rounds.entry(requester).or_insert((term, round)).1
    }

    /// Reports whether `id` has synced every committed entry and has answered a heartbeat sent
    /// after round `start_round`. Without the second condition, a replica that lost its disk right
    /// before its replacement under the same name would count as synced for a short time.
    fn has_synced_all(&self, id: ReplicaId, start_round: u64) -> bool {
        let commit = self.replica.commit_index();
        let match_index = self.replica.match_index(id);
        let rounds = self.replica.rounds(id);
        rounds.is_some_and(|(_, answered)| answered > start_round)
            && match_index.is_some_and(|m| m >= commit)
    }

    fn add_learner(&mut self, name: &str) -> Replacement {
        let Some(newcomer) = self.newcomer(name) else {
            return Replacement::Pending(format!(
                "replica {name} has not reported recently: check that it runs"
            ));
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
            Ok(_) => Replacement::Pending("a membership change is not committed yet".to_owned()),
            Err(Error::Refused(
                r @ (ChangeRefusal::ChangeInProgress | ChangeRefusal::NotCaughtUp(_)),
            )) => Replacement::Pending(r.to_string()),
            Err(Error::Refused(refusal)) => Replacement::Refused(refusal.to_string()),
            Err(error) => Replacement::Pending(error.to_string()),
        }
    }
}

/// Returns the ids of the replicas with the given name.
fn ids_by_name(of: &BTreeMap<ReplicaId, Member>, name: &str) -> Vec<ReplicaId> {
    let same = of.iter().filter(|(_, m)| m.name == name);
    same.map(|(id, _)| *id).collect()
}
