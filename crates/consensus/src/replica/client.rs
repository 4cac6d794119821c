//! Requests of the application to a leader: commands, linearizable reads, membership changes and
//! leadership transfer.

use std::sync::Arc;

use super::{Error, Leader, ReadState, Replica, Role};
use crate::{Body, ChangeRefusal, MembershipChange, Payload, ReplicaId, progress::Progress};

impl Replica {
    /// Appends a command to the log and returns its index and term. The command is committed once
    /// [`super::Ready::committed`] contains an entry with this index and term; it is lost if the
    /// entry with this index has another term.
    ///
    /// # Errors
    ///
    /// Fails if the command was not appended: this replica isn't the leader, is transferring
    /// leadership, or has reached a limit.
    pub fn propose(&mut self, command: Arc<[u8]>) -> Result<(u64, u64), Error> {
        let leader = self.leader_state()?;
        if leader.transfer_target.is_some() {
            return Err(Error::NotReady);
        }
        if command.len() > self.settings.max_command_bytes {
            return Err(Error::TooLarge(command.len()));
        }
        if self.log.last_index() - self.commit >= self.settings.max_uncommitted_entries {
            return Err(Error::Busy);
        }
        let index = self.append(Payload::Command(command));
        Ok((index, self.term))
    }

    /// Requests the read index for a linearizable read. The result appears in
    /// [`super::Ready::reads`] with the number `context`.
    ///
    /// # Errors
    ///
    /// Fails unless this replica is the leader and has committed an entry of its term.
    pub fn request_read_index(&mut self, context: u64) -> Result<(), Error> {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return Err(Error::NotLeader);
        };
        // Until an entry of the leader's own term is committed, entries of older terms may be
        // committed without the leader's knowledge.
        if commit < leader.term_start {
            return Err(Error::NotReady);
        }
        leader.reads.push((context, commit, leader.round + 1));
        leader.is_round_due = true;
        Ok(())
    }

    /// Appends a membership change to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if the change can't be made now, with the reason.
    pub fn propose_membership_change(&mut self, change: &MembershipChange) -> Result<u64, Error> {
        let leader = self.leader_state()?;
        if self.commit < leader.term_start || leader.transfer_target.is_some() {
            return Err(Error::NotReady);
        }
        if self.log.membership_index() > self.commit {
            return Err(Error::Refused(ChangeRefusal::ChangeInProgress));
        }
        if let MembershipChange::Promote(id) = change
            && self.match_index(*id).is_none_or(|m| m < self.commit)
        {
            return Err(Error::Refused(ChangeRefusal::NotCaughtUp(*id)));
        }
        let membership = self
            .log
            .membership()
            .after(change)
            .map_err(Error::Refused)?;
        let index = self.append(Payload::Membership(membership));
        self.refresh_progress();
        self.replicate_to_all();
        Ok(index)
    }

    /// Starts a leadership transfer to `to`, or to the voter with the longest matching log if `to`
    /// is `None`, and returns the target. Commands are refused while the transfer is pending.
    ///
    /// # Errors
    ///
    /// Fails if this replica isn't the leader, or if `to` isn't another voter or there is none.
    pub fn transfer_leadership(&mut self, to: Option<ReplicaId>) -> Result<ReplicaId, Error> {
        let id = self.settings.id;
        let leader = self.leader_state()?;
        let voters = self.log.membership().voters.keys();
        let most_advanced = voters
            .copied()
            .filter(|i| *i != id && to.is_none_or(|t| t == *i))
            .max_by_key(|i| leader.progress.get(i).map(|p| p.match_index));
        let to = most_advanced.ok_or(Error::Refused(ChangeRefusal::LastVoter(id)))?;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer_target = Some((to, 0));
        }
        self.try_finish_transfer(to);
        Ok(to)
    }

    /// Tells `from` to start an election if `from` is the transfer target and has the whole log.
    pub(super) fn try_finish_transfer(&mut self, from: ReplicaId) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let is_target = leader.transfer_target.is_some_and(|(to, _)| to == from);
        if is_target
            && leader
                .progress
                .get(&from)
                .is_some_and(|p| p.match_index == last)
        {
            self.send(from, Body::TimeoutNow);
        }
    }

    /// Starts the heartbeat round that pending reads need, if there are any.
    pub(super) fn send_due_heartbeats(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !leader.is_round_due {
            return;
        }
        leader.is_round_due = false;
        self.broadcast_heartbeats();
        self.complete_reads();
    }

    /// Completes the reads whose heartbeat round a quorum has answered, which proves that no other
    /// leader was elected before the round was sent.
    pub(super) fn complete_reads(&mut self) {
        let id = self.settings.id;
        let membership = self.log.membership();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Leader {
            progress,
            reads,
            round: latest_round,
            ..
        } = leader;
        let is_confirmed = |round: u64| {
            let has_answered = |other: ReplicaId| {
                other == id || progress.get(&other).is_some_and(|p| p.round >= round)
            };
            round <= *latest_round && membership.has_quorum(has_answered)
        };
        let (completed, waiting) = reads
            .drain(..)
            .partition(|(_, _, round)| is_confirmed(*round));
        *reads = waiting;
        let completed: Vec<(u64, u64, u64)> = completed;
        let completed = completed.into_iter().map(|(context, index, _)| ReadState {
            context,
            index: Some(index),
        });
        self.ready.reads.extend(completed);
    }

    fn leader_state(&self) -> Result<&Leader, Error> {
        match &self.role {
            Role::Leader(leader) => Ok(leader),
            _ => Err(Error::NotLeader),
        }
    }

    /// Adds progress for new members and removes the progress of former members.
    fn refresh_progress(&mut self) {
        let other_members = self.other_members();
        let next = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.progress.retain(|id, _| other_members.contains(id));
        for id in other_members {
            let new_progress = || Progress::new(next);
            leader.progress.entry(id).or_insert_with(new_progress);
        }
    }
}
