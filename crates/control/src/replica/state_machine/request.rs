//! Commands and reads that wait for the cluster.

use std::{collections::BTreeMap, sync::Arc};

use consensus::{ReadState, ReplicaId};
use model::{
    command,
    config::{Applied, Config},
};
use store::Disk;

use super::{Answer, Output, REQUEST_TIMEOUT_TICKS, RESEND_INTERVAL_TICKS, StateMachine};
use crate::{
    peer::{Body, Sender},
    replica::Error,
};

/// Identity of a command: operator and request id.
type Key = (String, String);

/// Commands and reads without an answer.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    /// Commands of this control VM, by token.
    commands: BTreeMap<u64, PendingCommand>,
    /// Reads of this control VM, by token.
    reads: BTreeMap<u64, RetryTimer>,
    /// On the leader: commands in the log that are not applied yet, with the term in which they
    /// were appended. A command that is sent again is not appended twice.
    appended: BTreeMap<Key, u64>,
    /// On the leader: reads in progress, by number, with the requester of each.
    running_reads: BTreeMap<u64, Requester>,
    /// Number of the last read that was started.
    context: u64,
}

#[derive(Debug)]
struct PendingCommand {
    entry: command::Entry,
    /// Whether the command was sent to a leader, so that it may be committed.
    is_sent: bool,
    timer: RetryTimer,
}

/// Send and expiry times of a request, in ticks, and for a read the index that must be applied
/// before its answer.
#[derive(Debug)]
struct RetryTimer {
    next_send_at: u64,
    expires_at: u64,
    index: Option<u64>,
}

impl RetryTimer {
    fn from(now: u64) -> Self {
        Self {
            next_send_at: now,
            expires_at: now + REQUEST_TIMEOUT_TICKS,
            index: None,
        }
    }

    /// Reports whether the request is due and `can_send` is true, and if so schedules the next
    /// attempt.
    fn is_due(&mut self, now: u64, can_send: bool) -> bool {
        if !can_send || now < self.next_send_at {
            return false;
        }
        self.next_send_at = now + RESEND_INTERVAL_TICKS;
        true
    }
}

/// The requester of a read: a token of this control VM, or another replica and its read number.
#[derive(Debug, Clone)]
enum Requester {
    Local(u64),
    Remote(ReplicaId, u64),
}

impl PendingRequests {
    /// Answers all requests for `command`, which was applied.
    pub(super) fn answer_command(
        &mut self,
        command: &command::Entry,
        applied: &Applied,
        output: &mut Output,
    ) {
        let key = (command.operator.clone(), command.request.clone());
        self.appended.remove(&key);
        let is_same = |c: &PendingCommand| {
            c.entry.operator == command.operator
                && c.entry.request == command.request
                && c.entry.command.subject() == command.command.subject()
        };
        let answered = self.commands.extract_if(.., |_, c| is_same(c));
        for (token, _) in answered {
            let answer = Answer::Proposed(token, Ok(applied.clone()));
            output.answers.push(answer);
        }
    }

    /// Answers the commands that a snapshot includes.
    pub(super) fn answer_from_snapshot(&mut self, config: &Config, output: &mut Output) {
        let first = |c: &PendingCommand| config.answer_to(&c.entry);
        let answered = self.commands.extract_if(.., |_, c| first(c).is_some());
        for (token, command) in answered {
            let answer = first(&command).ok_or(Error::OutcomeUnknown);
            output.answers.push(Answer::Proposed(token, answer));
        }
    }
}

impl<D: Disk> StateMachine<D> {
    /// Submits a command to the cluster; the answer carries `token`.
    pub fn propose(&mut self, token: u64, entry: command::Entry) {
        if let Some(first) = self.config.answer_to(&entry) {
            let answer = Answer::Proposed(token, Ok(first));
            self.output.answers.push(answer);
            return;
        }
        let command = PendingCommand {
            entry,
            is_sent: false,
            timer: RetryTimer::from(self.now),
        };
        self.requests.commands.insert(token, command);
        self.send_commands();
    }

    /// Starts a linearizable read; the answer carries `token`.
    pub fn request_read(&mut self, token: u64) {
        let timer = RetryTimer::from(self.now);
        self.requests.reads.insert(token, timer);
        self.send_reads();
    }

    /// Resends requests without an answer, and fails the expired ones.
    pub(super) fn tick_requests(&mut self) {
        self.send_commands();
        self.send_reads();
        let now = self.now;
        let table = &mut self.requests;
        let expired = table
            .commands
            .extract_if(.., |_, c| now >= c.timer.expires_at);
        for (token, command) in expired {
            let error = match command.is_sent {
                true => Error::OutcomeUnknown,
                false => Error::NoLeader,
            };
            self.output
                .answers
                .push(Answer::Proposed(token, Err(error)));
        }
        let expired = table.reads.extract_if(.., |_, r| now >= r.expires_at);
        for (token, _) in expired {
            let answer = Answer::Read(token, Err(Error::NoLeader));
            self.output.answers.push(answer);
        }
    }

    fn send_commands(&mut self) {
        let leader = self.replica.leader();
        let mut due = Vec::new();
        for command in self.requests.commands.values_mut() {
            if command.timer.is_due(self.now, leader.is_some()) {
                command.is_sent = true;
                due.push(command.entry.clone());
            }
        }
        for entry in due {
            self.send_to_leader(entry);
        }
    }

    fn send_to_leader(&mut self, entry: command::Entry) {
        match self.replica.leader() {
            Some(leader) if leader == self.replica.id() => self.append(&entry),
            Some(leader) => self.send(leader, Body::Propose(entry)),
            None => {}
        }
    }

    /// As leader, appends a command unless it is in the log already.
    pub(super) fn append(&mut self, entry: &command::Entry) {
        let key = (entry.operator.clone(), entry.request.clone());
        let term = self.replica.term();
        if self.requests.appended.get(&key) == Some(&term) {
            return;
        }
        let Ok(bytes) = wire::frame::encode_body(entry) else {
            return;
        };
        // A refused proposal needs no reply: the requester sends the command again.
        if self.replica.propose(bytes.into()).is_ok() {
            let appended = &mut self.requests.appended;
            appended.retain(|_, t| *t == term);
            appended.insert(key, term);
        }
    }

    fn send_reads(&mut self) {
        let leader = self.replica.leader();
        let mut due = Vec::new();
        for (token, read) in &mut self.requests.reads {
            let can_send = leader.is_some() && read.index.is_none();
            if read.is_due(self.now, can_send) {
                due.push(*token);
            }
        }
        for token in due {
            match leader {
                Some(leader) if leader != self.replica.id() => {
                    self.send(leader, Body::ReadIndex { context: token });
                }
                _ => self.start_read(Requester::Local(token)),
            }
        }
    }

    fn start_read(&mut self, requester: Requester) {
        let table = &mut self.requests;
        table.context += 1;
        if self.replica.request_read_index(table.context).is_ok() {
            table.running_reads.insert(table.context, requester);
        }
    }

    pub(super) fn handle_read_index(&mut self, from: &Sender, context: u64) {
        self.start_read(Requester::Remote(from.id, context));
    }

    pub(super) fn handle_read_index_reply(&mut self, token: u64, index: u64) {
        if let Some(read) = self.requests.reads.get_mut(&token) {
            read.index = Some(index);
        }
    }

    /// Forwards the index of a read, which consensus has confirmed, to the requester.
    pub(super) fn handle_read_state(&mut self, read: ReadState) {
        let requester = self.requests.running_reads.remove(&read.context);
        match (requester, read.index) {
            (Some(Requester::Local(token)), Some(index)) => {
                self.handle_read_index_reply(token, index)
            }
            (Some(Requester::Remote(to, context)), Some(index)) => {
                self.send(to, Body::ReadIndexReply { context, index });
            }
            // Leadership was lost: the requester sends the read again.
            _ => {}
        }
    }

    /// Answers the reads whose index is applied.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        let is_done = |index: Option<u64>| index.is_some_and(|i| i <= applied);
        let reads = &mut self.requests.reads;
        let done = reads.extract_if(.., |_, r| is_done(r.index));
        for (token, _) in done {
            let answer = Answer::Read(token, Ok(Arc::clone(&self.config)));
            self.output.answers.push(answer);
        }
    }
}
