//! What the application asks of a leader: commands, reads, membership changes, handing over.

use std::sync::Arc;

use super::{Error, Leader, Read, Replica, Role};
use crate::{Body, Change, Id, Payload, Refusal, progress::Progress};

impl Replica {
    /// Appends a command to the log and says at which index and in which term it stands. It is
    /// committed when an entry with that index and that term is handed out, and lost when another
    /// term is.
    ///
    /// # Errors
    ///
    /// Says why it was not appended.
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

    /// Asks for the index that a linearizable read must see applied; the answer is in
    /// [`super::Ready::reads`] under the number `context`.
    ///
    /// # Errors
    ///
    /// Fails unless this replica leads and has committed an entry of its term.
    pub fn read(&mut self, context: u64) -> Result<(), Error> {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return Err(Error::NotLeader);
        };
        // Before that, entries of older terms may be committed without its knowledge.
        if commit < leader.term_start {
            return Err(Error::NotReady);
        }
        leader.reads.push((context, commit, leader.round + 1));
        leader.is_round_due = true;
        Ok(())
    }

    /// Appends a change of the membership.
    ///
    /// # Errors
    ///
    /// Says why the change can't be made now.
    pub fn change(&mut self, change: &Change) -> Result<u64, Error> {
        let leader = self.leader_state()?;
        if self.commit < leader.term_start || leader.transfer_target.is_some() {
            return Err(Error::NotReady);
        }
        if self.log.membership_index() > self.commit {
            return Err(Error::Refused(Refusal::ChangeInProgress));
        }
        if let Change::Promote(id) = change
            && self.match_index(*id).is_none_or(|m| m < self.commit)
        {
            return Err(Error::Refused(Refusal::NotCaughtUp(*id)));
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

    /// Hands leadership over to `to`, or else to the voter that is furthest, and takes no command
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when this replica doesn't lead or there is no other voter.
    pub fn transfer_leadership(&mut self, to: Option<Id>) -> Result<Id, Error> {
        let id = self.settings.id;
        let leader = self.leader_state()?;
        let voters = self.log.membership().voters.keys();
        let furthest = voters
            .copied()
            .filter(|i| *i != id && to.is_none_or(|t| t == *i))
            .max_by_key(|i| leader.progress.get(i).map(|p| p.match_index));
        let to = furthest.ok_or(Error::Refused(Refusal::LastVoter(id)))?;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer_target = Some((to, 0));
        }
        self.try_finish_transfer(to);
        Ok(to)
    }

    /// Lets the replica that is to take over start, once it has the whole log.
    pub(super) fn try_finish_transfer(&mut self, from: Id) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let is_due = leader.transfer_target.is_some_and(|(to, _)| to == from);
        if is_due
            && leader
                .progress
                .get(&from)
                .is_some_and(|p| p.match_index == last)
        {
            self.send(from, Body::TimeoutNow);
        }
    }

    /// Sends the round of heartbeats that reads wait for.
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

    /// Settles the reads whose round a quorum has answered: no other leader was elected before
    /// the round was sent.
    pub(super) fn complete_reads(&mut self) {
        let id = self.settings.id;
        let membership = self.log.membership();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Leader {
            progress,
            reads,
            round: sent,
            ..
        } = leader;
        let answered = |round: u64| {
            let has =
                |other: Id| other == id || progress.get(&other).is_some_and(|p| p.round >= round);
            round <= *sent && membership.has_quorum(has)
        };
        let (settled, waiting) = reads.drain(..).partition(|(_, _, round)| answered(*round));
        *reads = waiting;
        let settled: Vec<(u64, u64, u64)> = settled;
        let settled = settled.into_iter().map(|(context, index, _)| Read {
            context,
            index: Some(index),
        });
        self.ready.reads.extend(settled);
    }

    fn leader_state(&self) -> Result<&Leader, Error> {
        match &self.role {
            Role::Leader(leader) => Ok(leader),
            _ => Err(Error::NotLeader),
        }
    }

    /// Follows a change of the membership: progress is kept for members only.
    fn refresh_progress(&mut self) {
        let other_members = self.other_members();
        let next = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.progress.retain(|id, _| other_members.contains(id));
        for id in other_members {
            let fresh = || Progress::new(next);
            leader.progress.entry(id).or_insert_with(fresh);
        }
    }
}
