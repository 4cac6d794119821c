//! Log replication: appends and heartbeats of a leader, replies of its followers, and the commit
//! index.

use super::{Error, Replica, Role};
use crate::{Body, Entry, Payload, ReplicaId, progress::Progress};

impl Replica {
    /// Runs the tick of a leader: sends heartbeats, permits resends, gives up an overdue leadership
    /// transfer, and steps down if no quorum answers (check-quorum).
    pub(super) fn tick_leader(&mut self) {
        let election_ticks = self.settings.election_ticks;
        let heartbeat_ticks = self.settings.heartbeat_ticks;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for progress in leader.progress.values_mut() {
            progress.ticks_since_reply = progress.ticks_since_reply.saturating_add(1);
            progress.ticks_awaiting_reply =
                progress.ticks_awaiting_reply.map(|t| t.saturating_add(1));
            if progress
                .ticks_awaiting_reply
                .is_some_and(|t| t > 2 * heartbeat_ticks)
            {
                progress.ticks_awaiting_reply = None;
            }
        }
        leader.transfer_target = leader
            .transfer_target
            .map(|(to, age)| (to, age + 1))
            .filter(|(_, age)| *age < election_ticks);
        leader.ticks_since_heartbeat += 1;
        let is_heartbeat_due = leader.ticks_since_heartbeat >= heartbeat_ticks;
        if !self
            .log
            .membership()
            .has_quorum(|id| self.is_recently_active(id))
        {
            self.become_follower(self.term, None);
        } else if is_heartbeat_due {
            self.broadcast_heartbeats();
        }
    }

    /// Starts a heartbeat round: sends each other member the entries that are due, or else a
    /// heartbeat.
    pub(super) fn broadcast_heartbeats(&mut self) {
        if let Role::Leader(leader) = &mut self.role {
            leader.ticks_since_heartbeat = 0;
            leader.round += 1;
        }
        for to in self.other_members() {
            if !self.replicate_to(to) {
                self.send_heartbeat(to);
            }
        }
    }

    /// Sends each other member the entries or the snapshot chunk that are due.
    pub(super) fn replicate_to_all(&mut self) {
        for to in self.other_members() {
            self.replicate_to(to);
        }
    }

    /// Sends `to` the next entries, or a snapshot chunk if those entries are compacted. Does
    /// nothing and returns false if `to` has all entries or if earlier ones are still in flight.
    pub(super) fn replicate_to(&mut self, to: ReplicaId) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&to) else {
            return false;
        };
        if progress.ticks_awaiting_reply.is_some() || progress.next_index > self.log.last_index() {
            return false;
        }
        progress.ticks_awaiting_reply = Some(0);
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot_chunk(to);
        };
        let entries = self.collect_batch(prev_index + 1);
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, body);
        true
    }

    /// Sends `to` an append without entries, at the last index that is known to match.
    fn send_heartbeat(&mut self, to: ReplicaId) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let match_term = self.log.term(progress.match_index);
        let (prev_index, prev_term) =
            match_term.map_or((0, 0), |term| (progress.match_index, term));
        progress.sent_commit = progress.sent_commit.max(commit.min(prev_index));
        let body = Body::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: commit.min(prev_index),
            round: leader.round,
        };
        self.send(to, body);
    }

    /// Returns the entries from `first` on that fit into one message.
    fn collect_batch(&self, first: u64) -> Vec<Entry> {
        let last = first + self.settings.max_message_entries as u64 - 1;
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.log.range(first, last) {
            bytes += entry.payload.command_len();
            if bytes > self.settings.max_message_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) -> Result<(), Error> {
        let reply = |accepted, index| Body::AppendReply {
            accepted,
            prev_index,
            index,
            round,
        };
        let last = prev_index + entries.len() as u64;
        // Entries that the snapshot includes are committed and therefore match, but their terms are
        // no longer known.
        let matches =
            prev_index < self.log.snapshot_index() || self.log.term(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.conflict_hint(prev_index);
            self.send(from, reply(false, hint));
            return Ok(());
        }
        for entry in entries {
            self.accept_entry(from, entry)?;
        }
        if commit.min(last) > self.commit {
            self.commit = commit.min(last);
        }
        self.send(from, reply(true, last));
        Ok(())
    }

    /// Returns an index before `prev_index` at which the leader's log may match.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let before = self.log.term_start_index(prev_index).saturating_sub(1);
        before.max(self.commit).min(prev_index - 1)
    }

    /// Appends one entry whose predecessor matches, and removes conflicting uncommitted entries
    /// first.
    fn accept_entry(&mut self, from: ReplicaId, entry: Entry) -> Result<(), Error> {
        let index = entry.index;
        if index <= self.log.snapshot_index() {
            return Ok(());
        }
        match self.log.term(index) {
            Some(term) if term == entry.term => return Ok(()),
            Some(_) if index <= self.commit => return Err(Error::Diverged { from, index }),
            Some(_) => self.log.truncate(index),
            None if index != self.log.last_index() + 1 => {
                return Err(Error::Diverged { from, index });
            }
            None => {}
        }
        self.log.push(entry);
        Ok(())
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        accepted: bool,
        prev_index: u64,
        index: u64,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.record_reply(from, round) else {
            return;
        };
        if accepted {
            // Bounded by the leader's own log: a follower can't confirm entries that the leader
            // lacks.
            progress.record_match(index.min(last));
            self.advance_commit();
            self.try_finish_transfer(from);
        } else if !progress.record_mismatch(prev_index, index) {
            return;
        }
        if !self.replicate_to(from) {
            self.notify_commit(from);
        }
        self.complete_reads();
    }

    /// Sends `to` the commit index at once if the commit index has advanced over entries that `to`
    /// holds. A follower that replies after the quorum would otherwise learn of the commit only
    /// with the next heartbeat.
    fn notify_commit(&mut self, to: ReplicaId) {
        let commit = self.commit;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let progress = leader.progress.get(&to);
        if progress.is_some_and(|p| p.sent_commit < commit.min(p.match_index)) {
            self.send_heartbeat(to);
        }
    }

    /// Records that `from` replied in this term, and returns its progress.
    pub(super) fn record_reply(&mut self, from: ReplicaId, round: u64) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(&from)?;
        progress.ticks_since_reply = 0;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    /// Advances the commit index to the last index that a quorum has synced.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let id = self.settings.id;
        let match_index = |other: ReplicaId| {
            if other == id {
                return self.log.synced_index();
            }
            leader.progress.get(&other).map_or(0, |p| p.match_index)
        };
        let membership = self.log.membership();
        let mut match_indexes: Vec<u64> =
            membership.voters.keys().map(|i| match_index(*i)).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = match_indexes.len() / 2;
        let index = match_indexes.get(quorum).copied().unwrap_or(0);
        // An entry of an older term may still be overwritten even if a quorum holds it.
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        if self.commit >= self.log.membership_index() && !self.is_voter() {
            // The leader has removed itself and steps down after a last heartbeat round. Members
            // that miss this round learn of the commit from the next leader.
            self.broadcast_heartbeats();
            self.become_follower(self.term, None);
            return;
        }
        self.broadcast_heartbeats();
        self.complete_reads();
    }

    /// Appends an entry to the leader's log, sends it to the other members, and returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let term = self.term;
        self.log.push(Entry {
            index,
            term,
            payload,
        });
        self.replicate_to_all();
        index
    }
}
