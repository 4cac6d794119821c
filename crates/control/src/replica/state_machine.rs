//! The state machine of a control VM's replica: consensus, the store and the configuration.
//!
//! Time arrives as ticks and messages as [`peer::Envelope`]s. [`StateMachine::flush`] stores all
//! changes first and returns messages and answers afterwards.
//!
//! # Founding a cluster
//!
//! A replica whose disk is empty draws a random id and is not a member of any cluster; it only
//! reports to its peers that it runs and that its disk is empty. The replica with the first name
//! founds the cluster once each other initial replica has reported an empty disk.
//!
//! A replica that was a member never reports an empty disk as long as it keeps its data. A replica
//! that lost its disk can't found a second cluster, because the other replicas do not report empty
//! disks: it waits until operators replace it.
//!
//! With [`Settings::target_voters`], a replica whose stored state is lost begins as a new replica
//! in the same folder, since no operator would replace it. It never reports an empty disk: if all
//! disks are damaged at once, that must not look like a new beginning.

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
    replica::{Error, Members, Status},
};

mod membership;
mod request;
mod voter_set;

/// Ticks after which a command or read fails without an answer.
const REQUEST_TIMEOUT_TICKS: u64 = 100;

/// Ticks after which a command or read is sent to the leader again.
const RESEND_INTERVAL_TICKS: u64 = 10;

/// Size of the log, in bytes, above which a snapshot replaces it regardless of the number of
/// entries.
const MAX_LOG_BYTES: u64 = 16 << 20;

/// Maximum size of a configuration, in bytes, as encoded in a snapshot.
const MAX_CONFIG_BYTES: usize = 256 << 20;

/// Settings of a state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this control VM.
    pub name: String,
    /// Address at which the other replicas reach this replica.
    pub address: String,
    /// Initial replicas with their addresses, including this one.
    pub peers: BTreeMap<String, String>,
    /// Whether this replica may take part in founding a cluster.
    pub may_found_cluster: bool,
    /// Number of voters that the leader maintains automatically, chosen from all running replicas.
    /// `None` if operators replace replicas.
    pub target_voters: Option<usize>,
    /// Random numbers: the replica id for an empty disk, and the identity of a new cluster.
    pub random_ids: (ReplicaId, u64),
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Number of entries after which a snapshot replaces the log.
    pub snapshot_every: u64,
    /// Settings of consensus.
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

/// Error after which the state machine can't continue; nothing may be acknowledged after it.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// store: {0}
    Store(store::Error),
    /// consensus: {0}
    Consensus(consensus::Error),
    /// log entry {index} can't be decoded: {reason}: upgrade this control VM
    Command {
        /// Index of the log entry.
        index: u64,
        /// Description of the decoding error.
        reason: String,
    },
    /// the configuration in a snapshot can't be encoded or decoded: {0}: upgrade this control VM
    Snapshot(String),
}

impl std::error::Error for Fault {}

impl Fault {
    /// Reports whether a start may wait for a full or failing disk. A folder that another process uses
    /// is an error of the settings.
    pub(super) fn may_pass(&self) -> bool {
        let is_in_use = matches!(self, Self::Store(store::Error::InUse(_)));
        !is_in_use && !self.is_permanent()
    }

    /// Reports whether opening the store again fails the same way, as opposed to a full or failing
    /// disk.
    pub(super) fn is_permanent(&self) -> bool {
        match self {
            Self::Store(error) => error.is_permanent(),
            Self::Consensus(_) | Self::Command { .. } | Self::Snapshot(_) => true,
        }
    }
}

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

/// An answer to the request with the given token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Outcome of a command.
    Proposed(u64, Result<Applied, Error>),
    /// Outcome of a linearizable read.
    Read(u64, Result<Arc<Config>, Error>),
    /// Outcome of a replacement.
    Replaced(u64, Result<(), Error>),
}

/// Messages and answers that may leave the replica once all changes are stored.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages with their destination addresses.
    pub envelopes: Vec<(String, Envelope)>,
    /// Answers to requests of this control VM.
    pub answers: Vec<Answer>,
    /// Texts to log.
    pub notices: Vec<String>,
}

/// The replica of one control VM.
#[derive(Debug)]
pub struct StateMachine<D> {
    settings: Settings,
    replica: Replica,
    store: Store<D>,
    config: Arc<Config>,
    /// Index of the last applied entry of any kind.
    applied: u64,
    now: u64,
    requests: request::PendingRequests,
    members: membership::MembershipTable,
    output: Output,
    recovery: Recovery,
}

/// What opening the store did to the stored state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of bytes of a write cut short by a crash that were dropped; 0 if none.
    pub dropped_bytes: u64,
    /// Whether the state was lost and the replica began as a new one.
    pub has_rejoined: bool,
}

impl<D: Disk> StateMachine<D> {
    /// Opens the store and restores the replica from its contents.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be opened or its contents can't be used, and says why.
    pub fn open(disk: D, mut settings: Settings) -> Result<Self, Fault> {
        let id = settings.random_ids.0;
        let (store, opened) = match settings.target_voters {
            Some(_) => Store::open_or_rejoin(disk, &settings.name, id)?,
            None => Store::open(disk, &settings.name, id)?,
        };
        settings.may_found_cluster &= !store.is_successor();
        let recovery = Recovery {
            dropped_bytes: opened.dropped_bytes,
            has_rejoined: opened.has_rejoined,
        };
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
            recovery,
        };
        machine.output.notices = opened.notices;
        Ok(machine)
    }

    /// Advances time by one tick.
    ///
    /// # Errors
    ///
    /// Fails when a new cluster can't be stored.
    pub fn tick(&mut self) -> Result<(), Fault> {
        self.now += 1;
        self.replica.tick();
        self.tick_members()?;
        self.tick_requests();
        self.propose_cluster_identity();
        Ok(())
    }

    /// Processes a message of another replica.
    ///
    /// # Errors
    ///
    /// Fails when the message contradicts a committed entry.
    pub fn receive(&mut self, envelope: Envelope) -> Result<(), Fault> {
        let Envelope { from, to, body } = envelope;
        // The message is for the replica that used this address before its disk was emptied.
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

    /// Stores all changes, applies committed entries, and returns messages and answers.
    ///
    /// # Errors
    ///
    /// After an error no pending request may be acknowledged.
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

    /// Asks another replica to become the leader, before this replica stops.
    ///
    /// Returns whether a transfer was started.
    pub fn transfer_leadership(&mut self) -> bool {
        self.replica.transfer_leadership(None).is_ok()
    }

    /// Returns the configuration that this replica has applied.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the consensus state of this replica.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the store of this replica.
    #[must_use]
    pub fn store(&self) -> &Store<D> {
        &self.store
    }

    /// Returns what opening the store did to the stored state.
    #[must_use]
    pub fn recovery(&self) -> Recovery {
        self.recovery
    }

    /// Returns the leadership, progress and membership of this replica.
    #[must_use]
    pub fn status(&self) -> Status {
        let membership = self.replica.membership();
        let name = |id: ReplicaId| membership.member(id).map(|m| m.name.clone());
        let names = |of: &BTreeMap<ReplicaId, consensus::Member>| {
            of.values().map(|m| m.name.clone()).collect::<Vec<_>>()
        };
        let (index, committed) = self.replica.committed_membership();
        let members = Members {
            index,
            names: committed
                .voters
                .values()
                .chain(committed.learners.values())
                .map(|m| m.name.clone())
                .collect(),
        };
        Status {
            is_leader: self.replica.is_leader(),
            leader: self.replica.leader().and_then(name),
            term: self.replica.term(),
            committed: self.applied,
            voters: names(&membership.voters),
            learners: names(&membership.learners),
            members,
            stop_reason: None,
        }
    }

    /// Processes a [`Ready`] whose state is stored: installs the snapshot, sends messages, applies
    /// entries.
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

    /// As leader, proposes the identity of a new cluster.
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

/// Decodes the configuration of a snapshot. The snapshot of a new cluster is empty and stands for
/// the default configuration.
fn decode_config(snapshot: &Snapshot) -> Result<Config, Fault> {
    if snapshot.data.is_empty() {
        return Ok(Config::default());
    }
    wire::frame::decode_body::<_, MAX_CONFIG_BYTES>(&snapshot.data)
        .map_err(|e| Fault::Snapshot(e.to_string()))
}
