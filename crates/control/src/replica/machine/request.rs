//! Commands and reads that wait for the cluster.

use std::{collections::BTreeMap, sync::Arc};

use consensus::{ReadState, ReplicaId};
use model::{
    command,
    config::{Applied, Config},
};
use store::Disk;

use super::{Answer, GIVE_UP_TICKS, Machine, Output, RESEND_TICKS};
use crate::{
    peer::{Body, Sender},
    replica::Error,
};

/// What identifies a command: operator and request id.
type Key = (String, String);

/// What waits.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// Commands of this VM by the token under which they were asked.
    commands: BTreeMap<u64, Command>,
    /// Reads of this VM by token.
    reads: BTreeMap<u64, Waiting>,
    /// As leader: commands in the log that aren't applied yet, with the term in which they were
    /// appended, so that a resend isn't appended twice.
    appended: BTreeMap<Key, u64>,
    /// As leader: reads in progress by number, with who asked for each.
    asked: BTreeMap<u64, Asker>,
    /// Number of the last read.
    context: u64,
}

#[derive(Debug)]
struct Command {
    entry: command::Entry,
    /// Whether it was handed to a leader, so that it may be committed.
    is_sent: bool,
    waiting: Waiting,
}

/// Times of something that waits, in ticks; and for reads, the index to wait for.
#[derive(Debug)]
struct Waiting {
    send_at: u64,
    give_up_at: u64,
    index: Option<u64>,
}

impl Waiting {
    fn from(now: u64) -> Self {
        Self {
            send_at: now,
            give_up_at: now + GIVE_UP_TICKS,
            index: None,
        }
    }

    /// Whether it is time to send, where `can_send`; the next time is then set.
    fn is_due(&mut self, now: u64, can_send: bool) -> bool {
        if !can_send || now < self.send_at {
            return false;
        }
        self.send_at = now + RESEND_TICKS;
        true
    }
}

/// Who asked for a read: a token of this VM or another replica with its number.
#[derive(Debug, Clone)]
enum Asker {
    Token(u64),
    Peer(ReplicaId, u64),
}

impl Table {
    /// Answers those who wait for `command`, which was applied.
    pub(super) fn settle(
        &mut self,
        command: &command::Entry,
        applied: &Applied,
        output: &mut Output,
    ) {
        let key = (command.operator.clone(), command.request.clone());
        self.appended.remove(&key);
        let is_same = |c: &Command| {
            c.entry.operator == command.operator
                && c.entry.request == command.request
                && c.entry.command.subject() == command.command.subject()
        };
        let settled = self.commands.extract_if(.., |_, c| is_same(c));
        for (token, _) in settled {
            let answer = Answer::Proposed(token, Ok(applied.clone()));
            output.answers.push(answer);
        }
    }

    /// Answers those whose commands a snapshot includes.
    pub(super) fn settle_from(&mut self, config: &Config, output: &mut Output) {
        let first = |c: &Command| config.answer_to(&c.entry);
        let known = self.commands.extract_if(.., |_, c| first(c).is_some());
        for (token, command) in known {
            let answer = first(&command).ok_or(Error::OutcomeUnknown);
            output.answers.push(Answer::Proposed(token, answer));
        }
    }
}

impl<D: Disk> Machine<D> {
    /// Asks for a command to be committed; the answer comes under `token`.
    pub fn propose(&mut self, token: u64, entry: command::Entry) {
        if let Some(first) = self.config.answer_to(&entry) {
            let answer = Answer::Proposed(token, Ok(first));
            self.output.answers.push(answer);
            return;
        }
        let command = Command {
            entry,
            is_sent: false,
            waiting: Waiting::from(self.now),
        };
        self.requests.commands.insert(token, command);
        self.send_commands();
    }

    /// Asks for a linearizable read; the answer comes under `token`.
    pub fn read(&mut self, token: u64) {
        let waiting = Waiting::from(self.now);
        self.requests.reads.insert(token, waiting);
        self.send_reads();
    }

    /// Sends again what got no answer, and gives up what waited too long.
    pub(super) fn tick_requests(&mut self) {
        self.send_commands();
        self.send_reads();
        let now = self.now;
        let table = &mut self.requests;
        let late = table
            .commands
            .extract_if(.., |_, c| now >= c.waiting.give_up_at);
        for (token, command) in late {
            let error = match command.is_sent {
                true => Error::OutcomeUnknown,
                false => Error::NoLeader,
            };
            self.output
                .answers
                .push(Answer::Proposed(token, Err(error)));
        }
        let late = table.reads.extract_if(.., |_, r| now >= r.give_up_at);
        for (token, _) in late {
            let answer = Answer::Read(token, Err(Error::NoLeader));
            self.output.answers.push(answer);
        }
    }

    fn send_commands(&mut self) {
        let leader = self.replica.leader();
        let mut due = Vec::new();
        for command in self.requests.commands.values_mut() {
            if command.waiting.is_due(self.now, leader.is_some()) {
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

    /// As leader, appends a command unless it is on its way already.
    pub(super) fn append(&mut self, entry: &command::Entry) {
        let key = (entry.operator.clone(), entry.request.clone());
        let term = self.replica.term();
        if self.requests.appended.get(&key) == Some(&term) {
            return;
        }
        let Ok(bytes) = wire::frame::encode_body(entry) else {
            return;
        };
        // A refusal needs no answer: who asked sends it again.
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
                _ => self.start_read(Asker::Token(token)),
            }
        }
    }

    fn start_read(&mut self, asker: Asker) {
        let table = &mut self.requests;
        table.context += 1;
        if self.replica.request_read_index(table.context).is_ok() {
            table.asked.insert(table.context, asker);
        }
    }

    pub(super) fn on_read_index(&mut self, from: &Sender, context: u64) {
        self.start_read(Asker::Peer(from.id, context));
    }

    pub(super) fn on_read_index_reply(&mut self, token: u64, index: u64) {
        if let Some(read) = self.requests.reads.get_mut(&token) {
            read.index = Some(index);
        }
    }

    /// Passes on the index of a read that the consensus settled.
    pub(super) fn on_read(&mut self, read: ReadState) {
        let asker = self.requests.asked.remove(&read.context);
        match (asker, read.index) {
            (Some(Asker::Token(token)), Some(index)) => self.on_read_index_reply(token, index),
            (Some(Asker::Peer(to, context)), Some(index)) => {
                self.send(to, Body::ReadIndexReply { context, index });
            }
            // Leadership was lost; who asked asks again.
            _ => {}
        }
    }

    /// Answers the reads whose index is applied.
    pub(super) fn settle_reads(&mut self) {
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
