//! Maintains the voter set without operators: running replicas become learners, and a voter that is
//! unreachable is replaced by a learner that has the whole log.
//!
//! Each step follows from the leader's current view, so any leader continues where the last one
//! stopped. A voter is only removed once its replacement is a voter.

use std::collections::BTreeMap;

use consensus::{Member, Membership, MembershipChange, ReplicaId};

/// Ticks without a message after which a voter is replaced, if a learner is ready.
const VOTER_TIMEOUT_TICKS: u64 = 50;

/// Ticks without a message after which a learner is removed.
const LEARNER_TIMEOUT_TICKS: u64 = 400;

/// Maximum number of members, voters and learners together.
const MAX_MEMBERS: usize = 32;

/// State of the cluster as the leader sees it.
#[derive(Debug)]
pub(super) struct LeaderView<'a> {
    /// Id of the leader.
    pub(super) leader: ReplicaId,
    /// Number of voters to maintain.
    pub(super) target_voters: usize,
    /// Current time, in ticks.
    pub(super) now: u64,
    /// Tick at which the leader was elected. Followers send messages to the leader only since then.
    pub(super) leader_since: u64,
    /// Current membership.
    pub(super) membership: &'a Membership,
    /// Tick of the last message of each replica.
    pub(super) last_contact: &'a BTreeMap<ReplicaId, u64>,
    /// Replicas that reported recently and are not members.
    pub(super) newcomers: &'a BTreeMap<ReplicaId, Member>,
    /// Learners that hold every committed entry.
    pub(super) caught_up: &'a [ReplicaId],
}

impl LeaderView<'_> {
    /// Returns the number of ticks for which the leader has received no message of `id`.
    fn silent_ticks(&self, id: ReplicaId) -> u64 {
        if id == self.leader {
            return 0;
        }
        let contact_at = self.last_contact.get(&id).copied().unwrap_or_default();
        self.now.saturating_sub(contact_at.max(self.leader_since))
    }

    /// Reports whether another replica has sent more recently from the address of `id`, which means
    /// that the disk of `id` was emptied.
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

    /// Reports whether the reachable voters of `membership` form a quorum.
    fn has_live_quorum(&self, membership: &Membership) -> bool {
        membership.has_quorum(|id| {
            let member = membership.member(id);
            member.is_some_and(|m| !self.is_unreachable(id, m, VOTER_TIMEOUT_TICKS))
        })
    }
}

/// Returns the next membership change towards the target, or `None` when no change is needed or
/// safe.
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
