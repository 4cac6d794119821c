//! The set of voters and learners, and changes of this set.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// Name and address of a replica, for operators and for the transport.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the replica's VM.
    pub name: String,
    /// Address at which other replicas reach the replica.
    pub address: String,
}

/// The members of the cluster. Invariant: no id is both a voter and a learner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote in elections and count toward the commit quorum.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Replicas that receive the log but don't vote or count toward any quorum.
    pub learners: BTreeMap<ReplicaId, Member>,
}

/// Membership change of a single replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(ReplicaId, Member),
    /// Makes a learner a voter; the learner must have synced all committed entries.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// Reason for which a membership change is refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// replica {0:016x} is already a member
    AlreadyMember(ReplicaId),
    /// replica {0:016x} isn't a member in the role that this change requires
    NotAMember(ReplicaId),
    /// replica {0:016x} is the last voter: add another voter first
    LastVoter(ReplicaId),
    /// replica {0:016x} hasn't synced all committed entries yet: wait, then retry
    NotCaughtUp(ReplicaId),
    /// another membership change isn't committed yet: wait, then retry
    ChangeInProgress,
}

impl std::error::Error for ChangeRefusal {}

impl Membership {
    /// Reports whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Returns the ids of all voters and learners.
    pub fn ids(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns all voters and learners with their names and addresses.
    pub fn members(&self) -> impl Iterator<Item = (ReplicaId, &Member)> + '_ {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|(id, member)| (*id, member))
    }

    /// Returns the name and address of the voter or learner `id`.
    #[must_use]
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Reports whether `test` holds for more than half of the voters.
    #[must_use]
    pub fn has_quorum(&self, test: impl Fn(ReplicaId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| test(**id)).count();
        count * 2 > self.voters.len()
    }

    /// Returns the membership after `change`.
    ///
    /// # Errors
    ///
    /// Fails if the change doesn't fit this membership.
    pub fn after(&self, change: &MembershipChange) -> Result<Self, ChangeRefusal> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id, member) => {
                if self.contains(*id) {
                    return Err(ChangeRefusal::AlreadyMember(*id));
                }
                next.learners.insert(*id, member.clone());
            }
            MembershipChange::Promote(id) => {
                let member = next
                    .learners
                    .remove(id)
                    .ok_or(ChangeRefusal::NotAMember(*id))?;
                next.voters.insert(*id, member);
            }
            MembershipChange::Remove(id) => {
                if !self.contains(*id) {
                    return Err(ChangeRefusal::NotAMember(*id));
                }
                next.voters.remove(id);
                next.learners.remove(id);
                if next.voters.is_empty() {
                    return Err(ChangeRefusal::LastVoter(*id));
                }
            }
        }
        Ok(next)
    }
}
