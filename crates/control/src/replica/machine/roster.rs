//! Keeps the set of replicas whole without operators: whoever is there takes part, and a voter
//! that is gone gives its place to one that has the whole log.
//!
//! Each step follows from what the leader sees at the moment, so any leader goes on where the last
//! one stopped. A voter is only taken out once another is in its place.

use std::collections::BTreeMap;

use consensus::{Member, Membership, MembershipChange, ReplicaId};

/// Ticks without a message after which a voter is replaced, where another replica is ready.
const SILENT_TICKS: u64 = 50;

/// Ticks without a message after which a learner is taken out.
const GONE_TICKS: u64 = 400;

/// Replicas that take part at most.
const MAX_MEMBERS: usize = 32;

/// What the leader sees.
#[derive(Debug)]
pub(super) struct Sight<'a> {
    /// Id of the leader.
    pub(super) leader: ReplicaId,
    /// Voters to keep.
    pub(super) voters: usize,
    /// Time, in ticks.
    pub(super) now: u64,
    /// When it began to lead, in ticks: only since then do the others answer to it.
    pub(super) since: u64,
    /// Who takes part.
    pub(super) membership: &'a Membership,
    /// When each replica was last heard.
    pub(super) heard: &'a BTreeMap<ReplicaId, u64>,
    /// Replicas that were heard lately and take no part.
    pub(super) newcomers: &'a BTreeMap<ReplicaId, Member>,
    /// Learners that have all that is committed.
    pub(super) caught_up: &'a [ReplicaId],
}

impl Sight<'_> {
    /// Ticks for which `id` could have been heard, but was not.
    fn silence(&self, id: ReplicaId) -> u64 {
        if id == self.leader {
            return 0;
        }
        let heard_at = self.heard.get(&id).copied().unwrap_or_default();
        self.now.saturating_sub(heard_at.max(self.since))
    }

    /// Whether another replica speaks from the address of `id`: its disk was emptied.
    fn is_superseded(&self, id: ReplicaId, member: &Member) -> bool {
        let others = self.membership.members().chain(self.newcomer_members());
        let mut same = others.filter(|(i, m)| *i != id && m.address == member.address);
        same.any(|(i, _)| self.heard.get(&i) > self.heard.get(&id))
    }

    fn newcomer_members(&self) -> impl Iterator<Item = (ReplicaId, &Member)> {
        self.newcomers.iter().map(|(id, member)| (*id, member))
    }

    fn is_gone(&self, id: ReplicaId, member: &Member, after: u64) -> bool {
        self.silence(id) > after || self.is_superseded(id, member)
    }

    /// Whether the voters of `membership` that still speak are a quorum of it.
    fn is_alive(&self, membership: &Membership) -> bool {
        membership.has_quorum(|id| {
            let member = membership.member(id);
            member.is_some_and(|m| !self.is_gone(id, m, SILENT_TICKS))
        })
    }
}

/// The next change that brings the membership to what it should be; none where it is.
pub(super) fn next(sight: &Sight<'_>) -> Option<MembershipChange> {
    let change = drop_learner(sight)
        .or_else(|| add_learner(sight))
        .or_else(|| promote(sight))
        .or_else(|| drop_voter(sight))?;
    let after = sight.membership.after(&change).ok()?;
    sight.is_alive(&after).then_some(change)
}

fn drop_learner(sight: &Sight<'_>) -> Option<MembershipChange> {
    let mut learners = sight.membership.learners.iter();
    let gone = learners.find(|(id, member)| sight.is_gone(**id, member, GONE_TICKS));
    gone.map(|(id, _)| MembershipChange::Remove(*id))
}

fn add_learner(sight: &Sight<'_>) -> Option<MembershipChange> {
    if sight.membership.ids().count() >= MAX_MEMBERS {
        return None;
    }
    let mut newcomers = sight.newcomer_members();
    let (id, member) = newcomers.find(|(id, _)| !sight.membership.contains(*id))?;
    Some(MembershipChange::AddLearner(id, member.clone()))
}

fn promote(sight: &Sight<'_>) -> Option<MembershipChange> {
    let voters = sight.membership.voters.iter();
    let good = voters.filter(|(id, member)| !sight.is_gone(**id, member, SILENT_TICKS));
    if good.count() >= sight.voters {
        return None;
    }
    let ready = |id: &&ReplicaId| {
        let learner = sight.membership.learners.get(id);
        learner.is_some_and(|member| !sight.is_gone(**id, member, SILENT_TICKS))
    };
    let id = sight.caught_up.iter().find(ready)?;
    Some(MembershipChange::Promote(*id))
}

fn drop_voter(sight: &Sight<'_>) -> Option<MembershipChange> {
    if sight.membership.voters.len() <= sight.voters {
        return None;
    }
    let voters = sight.membership.voters.iter();
    let others = voters.filter(|(id, _)| **id != sight.leader);
    let quietest = others.max_by_key(|(id, member)| {
        let is_superseded = sight.is_superseded(**id, member);
        (is_superseded, sight.silence(**id))
    });
    quietest.map(|(id, _)| MembershipChange::Remove(*id))
}
