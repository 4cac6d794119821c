//! A control VM's replica as a state machine: consensus, the store and the configuration.
//!
//! Time comes in as ticks and messages as [`peer::Envelope`]s. [`StateMachine::flush`] stores what must
//! be stored and only then hands out messages and answers.
//!
//! # Founding
//!
//! A replica whose disk is empty takes a fresh random id and takes no part; it only tells its
//! peers that it is there and that it is empty. The one with the first name founds the cluster,
//! once it has heard from each of the other initial replicas that they are empty too. A replica
//! that once took part never says so, so a replica whose disk was emptied can't found a second
//! cluster beside the first one: it waits until operators replace it.

use std::{collections::BTreeMap, sync::Arc};

use consensus::{Entry, Payload, PersistentState, Ready, Replica, ReplicaId, Snapshot};
use displaydoc::Display;
use model::{
    command::{self, Command},
    config::{Applied, Config},
};
use store::{Disk, Store};

use crate::{
    peer::{Body, Envelope, Sender},
    replica::{Error, Status},
};

mod membership;
mod request;
mod voter_set;

/// Ticks after which a command or read is given up.
const REQUEST_TIMEOUT_TICKS: u64 = 100;

/// Ticks after which a command or read is sent to the leader again.
const RESEND_INTERVAL_TICKS: u64 = 10;

/// Size of the log, in bytes, at which a snapshot replaces it, however few entries it holds.
const MAX_LOG_BYTES: u64 = 16 << 20;

/// Largest configuration, in bytes as encoded in a snapshot.
const MAX_CONFIG_BYTES: usize = 256 << 20;

/// Settings of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this control VM.
    pub name: String,
    /// Where the others reach it.
    pub address: String,
    /// Initial replicas with their addresses, this one included.
    pub peers: BTreeMap<String, String>,
    /// Whether it may take part in founding a cluster.
    pub may_found_cluster: bool,
    /// Voters that the leader keeps by itself out of all replicas that are there; where there is
    /// none, operators replace replicas.
    pub target_voters: Option<usize>,
    /// Random numbers: the id for an empty disk, and the identity of a cluster to be founded.
    pub random_ids: (ReplicaId, u64),
    /// Seed of election timeouts.
    pub seed: u64,
    /// Entries after which the log is replaced by a snapshot.
    pub snapshot_every: u64,
    /// Settings of the consensus.
    pub consensus: consensus::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            address: String::new(),
            peers: BTreeMap::new(),
            may_found_cluster: true,
            target_voters: None,
            random_ids: (1, 1),
            seed: 0,
            snapshot_every: 1_024,
            consensus: consensus::Settings::default(),
        }
    }
}

/// Why a machine can't go on. Nothing may be acknowledged after it.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// store: {0}
    Store(store::Error),
    /// consensus: {0}
    Consensus(consensus::Error),
    /// log entry {index} can't be decoded: {reason}: upgrade this control VM
    Command {
        /// Index of the entry.
        index: u64,
        /// What is wrong.
        reason: String,
    },
    /// snapshot can't be used: {0}: upgrade this control VM
    Snapshot(String),
}

impl std::error::Error for Fault {}

impl From<store::Error> for Fault {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

impl From<consensus::Error> for Fault {
    fn from(error: consensus::Error) -> Self {
        Self::Consensus(error)
    }
}

/// An answer to what was asked under a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Of a command.
    Proposed(u64, Result<Applied, Error>),
    /// Of a read.
    Read(u64, Result<Arc<Config>, Error>),
    /// Of a replacement.
    Replaced(u64, Result<(), Error>),
}

/// What is to be done after everything was stored.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages, with the addresses that they go to.
    pub envelopes: Vec<(String, Envelope)>,
    /// Answers.
    pub answers: Vec<Answer>,
    /// Log lines.
    pub notices: Vec<String>,
}

/// One control VM's replica.
#[derive(Debug)]
pub struct StateMachine<D> {
    settings: Settings,
    replica: Replica,
    store: Store<D>,
    config: Arc<Config>,
    /// Index of the last entry that was applied, of any kind.
    applied: u64,
    now: u64,
    requests: request::PendingRequests,
    members: membership::MembershipTable,
    output: Output,
}

impl<D: Disk> StateMachine<D> {
    /// Opens the store and goes on from what it holds.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the store.
    pub fn open(disk: D, settings: Settings) -> Result<Self, Fault> {
        let (store, opened) = Store::open(disk, &settings.name, settings.random_ids.0)?;
        let config = match &opened.stored.snapshot {
            Some(snapshot) => decode_config(snapshot)?,
            None => Config::default(),
        };
        let applied = opened.stored.snapshot.as_ref().map_or(0, |s| s.index);
        let mut machine = Self {
            replica: replica(&settings, store.id(), opened.stored)?,
            settings,
            store,
            config: Arc::new(config),
            applied,
            now: 0,
            requests: request::PendingRequests::default(),
            members: membership::MembershipTable::default(),
            output: Output::default(),
        };
        machine.output.notices = opened.notices;
        Ok(machine)
    }

    /// Lets one tick of time pass.
    ///
    /// # Errors
    ///
    /// Fails when founding the cluster can't be stored.
    pub fn tick(&mut self) -> Result<(), Fault> {
        self.now += 1;
        self.replica.tick();
        self.tick_members()?;
        self.tick_requests();
        self.propose_cluster_identity();
        Ok(())
    }

    /// Takes a message of another replica.
    ///
    /// # Errors
    ///
    /// Fails when it contradicts what is committed.
    pub fn receive(&mut self, envelope: Envelope) -> Result<(), Fault> {
        let Envelope { from, to, body } = envelope;
        // A message to the replica that was here before the disk was emptied isn't for this one.
        if to != 0 && to != self.replica.id() {
            return Ok(());
        }
        self.members.record_address(&from);
        self.record_contact(&from);
        match body {
            Body::Consensus(message) => self.replica.step(from.id, message)?,
            Body::NotInCluster { is_empty } => self.handle_not_in_cluster(from, is_empty, to),
            Body::Propose(entry) => self.append(&entry),
            Body::ReadIndex { context } => self.handle_read_index(&from, context),
            Body::ReadIndexReply { context, index } => self.handle_read_index_reply(context, index),
            Body::Replace { context, old, new } => self.handle_replace(&from, context, &old, &new),
            Body::ReplaceReply { context, state } => self.handle_replace_reply(context, state),
        }
        Ok(())
    }

    /// Stores what must be stored, applies what is committed, and hands out the rest.
    ///
    /// # Errors
    ///
    /// Nothing of what was asked may be acknowledged.
    pub fn flush(&mut self) -> Result<Output, Fault> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            self.store.save(&ready)?;
            self.replica.mark_persisted();
            self.process_ready(ready)?;
        }
        let entries_since_snapshot = self.applied - self.replica.snapshot_index();
        let is_large = entries_since_snapshot > 0 && self.store.log_len() > MAX_LOG_BYTES;
        if entries_since_snapshot >= self.settings.snapshot_every || is_large {
            self.compact()?;
        }
        self.answer_reads();
        Ok(std::mem::take(&mut self.output))
    }

    /// Asks another replica to lead, before this one stops.
    ///
    /// Returns whether there was leadership to hand over.
    pub fn transfer_leadership(&mut self) -> bool {
        self.replica.transfer_leadership(None).is_ok()
    }

    /// The configuration that this replica has applied.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The consensus of this replica.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The store of this replica.
    #[must_use]
    pub fn store(&self) -> &Store<D> {
        &self.store
    }

    /// Who leads, and how far this replica is.
    #[must_use]
    pub fn status(&self) -> Status {
        let membership = self.replica.membership();
        let name = |id: ReplicaId| membership.member(id).map(|m| m.name.clone());
        let names = |of: &BTreeMap<ReplicaId, consensus::Member>| {
            of.values().map(|m| m.name.clone()).collect::<Vec<_>>()
        };
        Status {
            is_leader: self.replica.is_leader(),
            leader: self.replica.leader().and_then(name),
            term: self.replica.term(),
            committed: self.applied,
            voters: names(&membership.voters),
            learners: names(&membership.learners),
            stop_reason: None,
        }
    }

    /// Does what a stored [`Ready`] asks for.
    fn process_ready(&mut self, ready: Ready) -> Result<(), Fault> {
        if let Some(snapshot) = &ready.snapshot {
            self.config = Arc::new(decode_config(snapshot)?);
            self.applied = snapshot.index;
            self.requests
                .answer_from_snapshot(&self.config, &mut self.output);
        }
        for (to, message) in ready.messages {
            self.send(to, Body::Consensus(message));
        }
        for entry in &ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            self.handle_read_state(read);
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Fault> {
        self.applied = entry.index;
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(());
        };
        let index = entry.index;
        let command: command::Entry = wire::frame::decode_body::<_, MAX_CONFIG_BYTES>(bytes)
            .map_err(|e| Fault::Command {
                index,
                reason: e.to_string(),
            })?;
        let config = Arc::make_mut(&mut self.config);
        let outcome = config.apply(index, &command);
        let applied = config.answer_to(&command).unwrap_or(Applied {
            index,
            outcome,
            subject: command.command.subject(),
        });
        self.requests
            .answer_command(&command, &applied, &mut self.output);
        Ok(())
    }

    fn compact(&mut self) -> Result<(), Fault> {
        let data =
            wire::frame::encode_body(&*self.config).map_err(|e| Fault::Snapshot(e.to_string()))?;
        let Some(snapshot) = self.replica.snapshot(data) else {
            return Ok(());
        };
        let last = self.replica.last_index();
        let rest = self.replica.entries(snapshot.index + 1, last);
        self.store.compact(&snapshot, rest)?;
        self.replica.compact(snapshot);
        Ok(())
    }

    /// As leader, gives a new cluster its identity.
    fn propose_cluster_identity(&mut self) {
        if !self.replica.is_leader() || self.config.cluster != 0 {
            return;
        }
        let cluster = self.settings.random_ids.1.max(1);
        let command = Command::Found { cluster };
        let entry = command::Entry::new(command::SYSTEM, "found", None, command);
        self.append(&entry);
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let known = self.replica.membership().member(to);
        let known = known.map(|m| m.address.clone());
        let address = known.or_else(|| self.members.address(to));
        if let Some(address) = address {
            let envelope = self.envelope(to, body);
            self.output.envelopes.push((address, envelope));
        }
    }

    fn envelope(&self, to: ReplicaId, body: Body) -> Envelope {
        let from = Sender {
            id: self.replica.id(),
            name: self.settings.name.clone(),
            address: self.settings.address.clone(),
        };
        Envelope { from, to, body }
    }
}

fn replica(settings: &Settings, id: ReplicaId, stored: PersistentState) -> Result<Replica, Fault> {
    let settings = consensus::Settings {
        id,
        seed: settings.seed,
        ..settings.consensus.clone()
    };
    Ok(Replica::new(settings, stored)?)
}

/// The configuration that a snapshot holds; the founding one holds none.
fn decode_config(snapshot: &Snapshot) -> Result<Config, Fault> {
    if snapshot.data.is_empty() {
        return Ok(Config::default());
    }
    wire::frame::decode_body::<_, MAX_CONFIG_BYTES>(&snapshot.data)
        .map_err(|e| Fault::Snapshot(e.to_string()))
}
