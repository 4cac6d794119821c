//! Which replicas take part, and the changes of that set.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::Id;

/// What a membership says of a replica, for people and for the transport.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub name: String,
    /// Where other replicas reach it.
    pub address: String,
}

/// The replicas that take part. Invariant: no id is both voter and learner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for commits.
    pub voters: BTreeMap<Id, Member>,
    /// Replicas that get the log but don't count yet.
    pub learners: BTreeMap<Id, Member>,
}

/// A change of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    AddLearner(Id, Member),
    /// Makes a learner that has synced everything committed a voter.
    Promote(Id),
    /// Removes a voter or learner.
    Remove(Id),
}

/// Why a membership change can't be made.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// replica {0:016x} already takes part
    AlreadyMember(Id),
    /// replica {0:016x} doesn't take part as this change needs it
    NotAMember(Id),
    /// replica {0:016x} is the last voter: add another first
    LastVoter(Id),
    /// replica {0:016x} hasn't synced everything committed yet: wait, then ask again
    NotCaughtUp(Id),
    /// another membership change isn't committed yet: wait, then ask again
    ChangeInProgress,
}

impl std::error::Error for Refusal {}

impl Membership {
    /// Whether `id` takes part, in whichever role.
    #[must_use]
    pub fn contains(&self, id: Id) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Ids of all that take part.
    pub fn ids(&self) -> impl Iterator<Item = Id> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// All that take part, with their names and addresses.
    pub fn members(&self) -> impl Iterator<Item = (Id, &Member)> + '_ {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|(id, member)| (*id, member))
    }

    /// What is known of `id`.
    #[must_use]
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Whether the voters for which `test` holds are more than half of all voters.
    #[must_use]
    pub fn has_quorum(&self, test: impl Fn(Id) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| test(**id)).count();
        count * 2 > self.voters.len()
    }

    /// The membership after `change`.
    ///
    /// # Errors
    ///
    /// Says why the change doesn't fit this membership.
    pub fn after(&self, change: &Change) -> Result<Self, Refusal> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(id, member) => {
                if self.contains(*id) {
                    return Err(Refusal::AlreadyMember(*id));
                }
                next.learners.insert(*id, member.clone());
            }
            Change::Promote(id) => {
                let member = next.learners.remove(id).ok_or(Refusal::NotAMember(*id))?;
                next.voters.insert(*id, member);
            }
            Change::Remove(id) => {
                if !self.contains(*id) {
                    return Err(Refusal::NotAMember(*id));
                }
                next.voters.remove(id);
                next.learners.remove(id);
                if next.voters.is_empty() {
                    return Err(Refusal::LastVoter(*id));
                }
            }
        }
        Ok(next)
    }
}
