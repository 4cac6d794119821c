//! What the parts of the daemon share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use delivery::delta::History;
use model::{config::Config, name::Name};
use tokio::sync::{Notify, watch};

use crate::{announced, lease, replica::Handle};

/// State that streams feed and that the RPC, the leader's steps and the dump read; clones share
/// it.
#[derive(Debug, Clone)]
pub struct State {
    /// Name of this control VM.
    pub name: Name,
    /// This control VM's replica.
    pub replica: Handle,
    /// The configuration as entry VMs get it: without the answers, which only control VMs need.
    pub delivered: watch::Receiver<History>,
    /// Told whenever `soft` changes in a way that may make a step due.
    pub changed: Arc<Notify>,
    soft: Arc<Mutex<Soft>>,
    started: Instant,
}

/// State that is rebuilt from beats and announcements.
#[derive(Debug, Default)]
pub struct Soft {
    /// Entry VMs.
    pub vms: lease::Table,
    /// Announced upstreams.
    pub upstreams: announced::Table,
    /// When this control VM last knew a leader.
    pub in_touch_ms: Option<u64>,
}

impl State {
    /// Starts with no soft state.
    #[must_use]
    pub fn new(name: Name, replica: Handle, delivered: watch::Receiver<History>) -> Self {
        Self {
            name,
            replica,
            delivered,
            changed: Arc::default(),
            soft: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start of this process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the soft state; hold it for a moment only.
    pub fn soft(&self) -> MutexGuard<'_, Soft> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this control VM knows a leader, so that it may renew entry VMs' trust in their
    /// configuration.
    #[must_use]
    pub fn is_in_touch(&self) -> bool {
        let status = self.replica.status();
        status.is_leader || status.leader.is_some()
    }
}

/// The configuration as entry VMs get it.
///
/// Invariant: equal for equal indices, as on every control VM.
#[must_use]
pub fn strip(config: &Config) -> Arc<Config> {
    let mut config = config.clone();
    config.answers.clear();
    Arc::new(config)
}

/// Follows the replica's configuration and publishes it in the form that entry VMs get.
pub async fn publish(mut applied: watch::Receiver<Arc<Config>>, delivered: watch::Sender<History>) {
    loop {
        let config = applied.borrow_and_update().clone();
        let config = strip(&config);
        delivered.send_if_modified(|history| {
            let is_newer = config.index > history.newest().index;
            if is_newer {
                history.push(config);
            }
            is_newer
        });
        if applied.changed().await.is_err() {
            return;
        }
    }
}
