//! Keeps the set of replicas whole without operators: whoever is there takes part, and a voter
//! that is gone gives its place to one that has the whole log.
//!
//! Each step follows from what the leader sees at the moment, so any leader goes on where the last
//! one stopped. A voter is only taken out once another is in its place.

use std::collections::BTreeMap;

use consensus::{Member, Membership, MembershipChange, ReplicaId};

/// Ticks without a message after which a voter is replaced, where another replica is ready.
const VOTER_TIMEOUT_TICKS: u64 = 50;

/// Ticks without a message after which a learner is taken out.
const LEARNER_TIMEOUT_TICKS: u64 = 400;

/// Replicas that take part at most.
const MAX_MEMBERS: usize = 32;

/// What the leader sees.
#[derive(Debug)]
pub(super) struct LeaderView<'a> {
    /// Id of the leader.
    pub(super) leader: ReplicaId,
    /// Voters to keep.
    pub(super) target_voters: usize,
    /// Time, in ticks.
    pub(super) now: u64,
    /// When it began to lead, in ticks: only since then do the others answer to it.
    pub(super) leader_since: u64,
    /// Who takes part.
    pub(super) membership: &'a Membership,
    /// When each replica was last heard.
    pub(super) last_contact: &'a BTreeMap<ReplicaId, u64>,
    /// Replicas that were heard lately and take no part.
    pub(super) newcomers: &'a BTreeMap<ReplicaId, Member>,
    /// Learners that have all that is committed.
    pub(super) caught_up: &'a [ReplicaId],
}

impl LeaderView<'_> {
    /// Ticks for which `id` could have been heard, but was not.
    fn silent_ticks(&self, id: ReplicaId) -> u64 {
        if id == self.leader {
            return 0;
        }
        let contact_at = self.last_contact.get(&id).copied().unwrap_or_default();
        self.now.saturating_sub(contact_at.max(self.leader_since))
    }

    /// Whether another replica speaks from the address of `id`: its disk was emptied.
    fn is_superseded(&self, id: ReplicaId, member: &Member) -> bool {
        let others = self.membership.members().chain(self.newcomer_members());
        let mut same = others.filter(|(i, m)| *i != id && m.address == member.address);
        same.any(|(i, _)| self.last_contact.get(&i) > self.last_contact.get(&id))
    }

    fn newcomer_members(&self) -> impl Iterator<Item = (ReplicaId, &Member)> {
        self.newcomers.iter().map(|(id, member)| (*id, member))
    }

    fn is_unreachable(&self, id: ReplicaId, member: &Member, after: u64) -> bool {
        self.silent_ticks(id) > after || self.is_superseded(id, member)
    }

    /// Whether the voters of `membership` that still speak are a quorum of it.
    fn has_live_quorum(&self, membership: &Membership) -> bool {
        membership.has_quorum(|id| {
            let member = membership.member(id);
            member.is_some_and(|m| !self.is_unreachable(id, m, VOTER_TIMEOUT_TICKS))
        })
    }
}

/// The next change that brings the membership to what it should be; none where it is.
pub(super) fn next_change(view: &LeaderView<'_>) -> Option<MembershipChange> {
    let change = remove_silent_learner(view)
        .or_else(|| add_newcomer(view))
        .or_else(|| promote_learner(view))
        .or_else(|| remove_surplus_voter(view))?;
    let after = view.membership.after(&change).ok()?;
    view.has_live_quorum(&after).then_some(change)
}

fn remove_silent_learner(view: &LeaderView<'_>) -> Option<MembershipChange> {
    let mut learners = view.membership.learners.iter();
    let unreachable =
        learners.find(|(id, member)| view.is_unreachable(**id, member, LEARNER_TIMEOUT_TICKS));
    unreachable.map(|(id, _)| MembershipChange::Remove(*id))
}

fn add_newcomer(view: &LeaderView<'_>) -> Option<MembershipChange> {
    if view.membership.ids().count() >= MAX_MEMBERS {
        return None;
    }
    let mut newcomers = view.newcomer_members();
    let (id, member) = newcomers.find(|(id, _)| !view.membership.contains(*id))?;
    Some(MembershipChange::AddLearner(id, member.clone()))
}

fn promote_learner(view: &LeaderView<'_>) -> Option<MembershipChange> {
    let voters = view.membership.voters.iter();
    let reachable =
        voters.filter(|(id, member)| !view.is_unreachable(**id, member, VOTER_TIMEOUT_TICKS));
    if reachable.count() >= view.target_voters {
        return None;
    }
    let ready = |id: &&ReplicaId| {
        let learner = view.membership.learners.get(id);
        learner.is_some_and(|member| !view.is_unreachable(**id, member, VOTER_TIMEOUT_TICKS))
    };
    let id = view.caught_up.iter().find(ready)?;
    Some(MembershipChange::Promote(*id))
}

fn remove_surplus_voter(view: &LeaderView<'_>) -> Option<MembershipChange> {
    if view.membership.voters.len() <= view.target_voters {
        return None;
    }
    let voters = view.membership.voters.iter();
    let others = voters.filter(|(id, _)| **id != view.leader);
    let longest_silent = others.max_by_key(|(id, member)| {
        let is_superseded = view.is_superseded(**id, member);
        (is_superseded, view.silent_ticks(**id))
    });
    longest_silent.map(|(id, _)| MembershipChange::Remove(*id))
}
