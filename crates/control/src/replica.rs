//! This control VM's replica of the configuration log, as the rest of the daemon sees it.

use std::sync::{Arc, Mutex, PoisonError};

use displaydoc::Display;
use model::{
    command,
    config::{Applied, Config},
};
use tokio::sync::watch;

/// Why a command or a read got no answer from the cluster.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// no leader is known: the quorum may be lost; try again in a second
    NoLeader,
    /// the outcome of the command is unknown: resend it with the same request id
    OutcomeUnknown,
    /// the replica has stopped: {0}
    Stopped(String),
}

impl std::error::Error for Error {}

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
}

/// The way to this control VM's replica; clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    config: watch::Sender<Arc<Config>>,
    log: Arc<Mutex<Config>>,
}

impl Handle {
    /// A replica that is alone and keeps nothing.
    #[must_use]
    pub fn alone() -> Self {
        let config = Config::default();
        Self {
            config: watch::Sender::new(Arc::new(config.clone())),
            log: Arc::new(Mutex::new(config)),
        }
    }

    /// Appends a command to the log, through the leader wherever it is, and waits until it is
    /// committed and applied here. A resend gets the first answer.
    ///
    /// # Errors
    ///
    /// Says whether the command may still be committed.
    pub async fn propose(&self, entry: command::Entry) -> Result<Applied, Error> {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let index = log.index + 1;
        let outcome = log.apply(index, &entry);
        self.config.send_replace(Arc::new(log.clone()));
        Ok(Applied { index, outcome })
    }

    /// The committed configuration as of a moment after the call: a linearizable read.
    ///
    /// # Errors
    ///
    /// Fails when no leader confirms that it still leads.
    pub async fn read(&self) -> Result<Arc<Config>, Error> {
        Ok(self.latest())
    }

    /// The configuration that this replica has applied; may be old.
    #[must_use]
    pub fn latest(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Watches the configuration that this replica has applied.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Who leads, and how far this replica is.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            is_leader: true,
            committed: self.latest().index,
            ..Status::default()
        }
    }
}
