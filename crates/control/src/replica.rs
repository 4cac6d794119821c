//! This control VM's replica of the configuration log, as the rest of the daemon uses it.
//!
//! [`state_machine`] makes every decision and does no I/O except through the store. [`driver`] is
//! the thread that runs the state machine, and [`crate::peer`] carries its messages.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
};

use displaydoc::Display;
use model::{
    command,
    config::{Applied, Config},
};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

pub mod driver;
pub mod state_machine;

use driver::Input;

/// Reason why a command, read or replacement failed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// no leader is known, the quorum of control VMs may be lost: try again in a second
    NoLeader,
    /// the outcome of the command is unknown: resend the command with the same request id
    OutcomeUnknown,
    /// the replica has stopped: {0}
    Stopped(String),
    /// the membership change is refused: {0}
    Refused(String),
}

impl std::error::Error for Error {}

/// Settings of this control VM's replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this control VM.
    pub name: String,
    /// Data folder, which holds only the state of this replica.
    pub folder: PathBuf,
    /// Address at which the other replicas reach this replica.
    pub address: SocketAddr,
    /// Address to listen on, if it differs from `address`.
    pub listen: Option<SocketAddr>,
    /// Initial replicas with their addresses, including this one. A replica that is not a member of
    /// the cluster also uses these addresses to ask to be added.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Whether this replica may take part in founding a cluster; see [`state_machine`] for the
    /// conditions.
    pub may_found_cluster: bool,
    /// Number of voters that the leader maintains automatically; see
    /// [`state_machine::Settings::target_voters`].
    pub target_voters: Option<usize>,
    /// Whether the replica waits for a failing disk, such as a full one, to recover instead of
    /// stopping.
    pub retries_disk_errors: bool,
    /// Number of commands after which a snapshot replaces the log.
    pub snapshot_every: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            folder: PathBuf::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listen: None,
            peers: BTreeMap::new(),
            may_found_cluster: true,
            target_voters: None,
            retries_disk_errors: false,
            snapshot_every: 1_024,
        }
    }
}

/// Leadership, progress and membership of this replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Index of the last entry that this replica has applied.
    pub committed: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the learners, which receive the log and do not vote.
    pub learners: Vec<String>,
    /// Last membership that is known to be committed.
    pub members: Members,
    /// Reason why the replica has stopped, if it has.
    pub stop_reason: Option<String>,
}

/// A committed membership of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Index in the log from which the membership is in effect.
    pub index: u64,
    /// Names of the voters and learners.
    pub names: Vec<String>,
}

/// A handle to this control VM's replica; clones share the same replica.
#[derive(Debug, Clone)]
pub struct Handle {
    config: watch::Sender<Arc<Config>>,
    status: watch::Sender<Status>,
    backend: Backend,
}

/// Destination of commands and reads.
#[derive(Debug, Clone)]
enum Backend {
    InMemory(Arc<Mutex<Config>>),
    Driver(driver::Sender),
}

impl Handle {
    /// Returns a handle to a single replica that keeps its configuration in memory only.
    #[must_use]
    pub fn in_memory() -> Self {
        let config = Config::default();
        let status = Status {
            is_leader: true,
            ..Status::default()
        };
        Self {
            config: watch::Sender::new(Arc::new(config.clone())),
            status: watch::Sender::new(status),
            backend: Backend::InMemory(Arc::new(Mutex::new(config))),
        }
    }

    /// Starts the replica and the transport to the other replicas. Both stop when `token` is
    /// cancelled, after the replica has tried to transfer leadership. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Fails when the data folder or the listen address can't be used, and says why.
    pub async fn start(settings: Settings, token: CancellationToken) -> Result<Self, Error> {
        let config = watch::Sender::new(Arc::new(Config::default()));
        let status = watch::Sender::new(Status::default());
        let sender = driver::start(settings, config.clone(), status.clone(), token).await?;
        Ok(Self {
            config,
            status,
            backend: Backend::Driver(sender),
        })
    }

    /// Appends a command to the log, through the leader if that is another replica, and waits until
    /// the command is committed and applied. A command that is sent again gets its first answer.
    ///
    /// # Errors
    ///
    /// The error tells whether the command may still be committed.
    pub async fn propose(&self, entry: command::Entry) -> Result<Applied, Error> {
        match &self.backend {
            Backend::InMemory(log) => Ok(self.apply_in_memory(log, &entry)),
            Backend::Driver(sender) => {
                let (answer, wait) = oneshot::channel();
                sender.send(Input::Propose(entry, answer), Error::NoLeader)?;
                wait.await.unwrap_or(Err(Error::OutcomeUnknown))
            }
        }
    }

    /// Performs a linearizable read: returns a configuration that includes every command committed
    /// before the call.
    ///
    /// # Errors
    ///
    /// Fails when no leader confirms its leadership in time.
    pub async fn read_linearizable(&self) -> Result<Arc<Config>, Error> {
        match &self.backend {
            Backend::InMemory(_) => Ok(self.applied_config()),
            Backend::Driver(sender) => {
                let (answer, wait) = oneshot::channel();
                sender.send(Input::Read(answer), Error::NoLeader)?;
                wait.await.unwrap_or(Err(Error::NoLeader))
            }
        }
    }

    /// Replaces replica `old` by the running replica `new`, which is not a member of the cluster
    /// yet. Both names are the same when a replica comes back with an empty disk.
    ///
    /// Returns once `new` is a voter that has synced every committed entry and `old` is removed, so
    /// that losing another replica right afterwards loses no data.
    ///
    /// # Errors
    ///
    /// Says why the replacement is not complete. Calling again resumes the replacement.
    pub async fn replace(&self, old: &str, new: &str) -> Result<(), Error> {
        match &self.backend {
            Backend::InMemory(_) => Err(Error::Refused(
                "this control VM runs a single replica in memory".to_owned(),
            )),
            Backend::Driver(sender) => {
                let (answer, wait) = oneshot::channel();
                let input = Input::Replace(old.to_owned(), new.to_owned(), answer);
                sender.send(input, Error::NoLeader)?;
                wait.await.unwrap_or(Err(Error::NoLeader))
            }
        }
    }

    /// Replaces the addresses that this replica contacts while it is not a member of the cluster.
    pub fn set_peers(&self, peers: BTreeMap<String, SocketAddr>) {
        if let Backend::Driver(sender) = &self.backend {
            // A replica that has stopped contacts no peers.
            drop(sender.send(Input::Peers(peers), Error::NoLeader));
        }
    }

    /// Returns the configuration that this replica has applied, which may be behind the leader's.
    #[must_use]
    pub fn applied_config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Returns a receiver of the configuration that this replica has applied.
    #[must_use]
    pub fn watch_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Returns the leadership, progress and membership of this replica.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Returns a receiver of the replica's status.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }

    /// Waits until the replica has stopped, because its token was cancelled or its disk failed, and
    /// returns the reason.
    pub async fn wait_stopped(&self) -> String {
        let mut status = self.status.subscribe();
        let stopped = status.wait_for(|s| s.stop_reason.is_some()).await;
        let reason = stopped.ok().and_then(|s| s.stop_reason.clone());
        reason.unwrap_or_default()
    }

    fn apply_in_memory(&self, log: &Mutex<Config>, entry: &command::Entry) -> Applied {
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        let index = log.index + 1;
        let outcome = log.apply(index, entry);
        self.config.send_replace(Arc::new(log.clone()));
        self.status.send_modify(|s| s.committed = index);
        Applied {
            index,
            outcome,
            subject: entry.command.subject(),
        }
    }
}
