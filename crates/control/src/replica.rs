//! This control VM's replica of the configuration log, as the rest of the daemon sees it.
//!
//! [`state_machine`] holds every decision, without I/O but for the store. [`driver`] is the thread that
//! runs it, and [`crate::peer`] carries its messages.

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

/// Why a command or a read got no answer from the cluster.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// no leader is known: the quorum may be lost; try again in a second
    NoLeader,
    /// the outcome of the command is unknown: resend it with the same request id
    OutcomeUnknown,
    /// the replica has stopped: {0}
    Stopped(String),
    /// the membership can't be changed so: {0}
    Refused(String),
}

impl std::error::Error for Error {}

/// Settings of this control VM's replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this control VM.
    pub name: String,
    /// Data folder, which holds this replica's state and nothing else.
    pub folder: PathBuf,
    /// Where the others reach this replica.
    pub address: SocketAddr,
    /// Where it takes their messages, if that is elsewhere.
    pub listen: Option<SocketAddr>,
    /// Replicas that found the cluster, this one included, with their addresses. Later it is
    /// whom a replica asks that takes no part yet.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Whether this replica may take part in founding a cluster; see
    /// [`state_machine`] for when that happens.
    pub may_found_cluster: bool,
    /// Voters that the leader keeps by itself; see [`state_machine::Settings::target_voters`].
    pub target_voters: Option<usize>,
    /// Whether to wait for a disk that fails, such as a full one, rather than to stop.
    pub retries_disk_errors: bool,
    /// Commands after which the log is replaced by a snapshot.
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

/// Who leads, and how far this replica is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// Name of the leader, where one is known.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Index of the last command that this replica knows to be committed.
    pub committed: u64,
    /// Names of the replicas that vote.
    pub voters: Vec<String>,
    /// Names of the replicas that are catching up.
    pub learners: Vec<String>,
    /// Why the replica has stopped, if it has.
    pub stop_reason: Option<String>,
}

/// The way to this control VM's replica; clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    config: watch::Sender<Arc<Config>>,
    status: watch::Sender<Status>,
    backend: Backend,
}

/// Where commands go.
#[derive(Debug, Clone)]
enum Backend {
    InMemory(Arc<Mutex<Config>>),
    Driver(driver::Sender),
}

impl Handle {
    /// A replica that is alone and keeps nothing.
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

    /// Starts the replica and the transport to the others; both end with `token`, after
    /// leadership was handed over. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the data folder or the address.
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

    /// Appends a command to the log, through the leader wherever it is, and waits until it is
    /// committed and applied here. A resend gets the first answer.
    ///
    /// # Errors
    ///
    /// Says whether the command may still be committed.
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

    /// The committed configuration as of a moment after the call: a linearizable read.
    ///
    /// # Errors
    ///
    /// Fails when no leader confirms that it still leads.
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

    /// Replaces replica `old` by the one that runs under the name `new` and takes no part yet;
    /// both names may be the same where a disk was emptied. Returns once the newcomer votes, has
    /// synced everything committed, and the old one is removed: a second loss right after it
    /// loses nothing.
    ///
    /// # Errors
    ///
    /// Says why it isn't done. It may be asked for again, and goes on where it was.
    pub async fn replace(&self, old: &str, new: &str) -> Result<(), Error> {
        match &self.backend {
            Backend::InMemory(_) => Err(Error::Refused("this replica is alone".to_owned())),
            Backend::Driver(sender) => {
                let (answer, wait) = oneshot::channel();
                let input = Input::Replace(old.to_owned(), new.to_owned(), answer);
                sender.send(input, Error::NoLeader)?;
                wait.await.unwrap_or(Err(Error::NoLeader))
            }
        }
    }

    /// Replaces the replicas that are asked while this one takes no part.
    pub fn set_peers(&self, peers: BTreeMap<String, SocketAddr>) {
        if let Backend::Driver(sender) = &self.backend {
            // A replica that has stopped asks nobody.
            drop(sender.send(Input::Peers(peers), Error::NoLeader));
        }
    }

    /// The configuration that this replica has applied; may be old.
    #[must_use]
    pub fn applied_config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Watches the configuration that this replica has applied.
    #[must_use]
    pub fn watch_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Who leads, and how far this replica is.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Watches who leads, and how far this replica is.
    #[must_use]
    pub fn watch_status(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }

    /// Waits until the replica has stopped, and says why: at the end of its token, or because its
    /// disk failed.
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
