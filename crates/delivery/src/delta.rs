//! What changed between two configurations.
//!
//! Most commands touch one service, so a delta is smaller than a configuration by about the number
//! of services. Its parts are whole services, domains and changes: at 900 services, that is small
//! enough for the budget, and nothing has to be replayed.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use model::{
    config::{Change, Config, Domain, Service},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Deltas that a control VM keeps for entry VMs that are a little behind.
pub const MAX_DELTAS: usize = 64;

/// What a control VM says to an entry VM, as it stands on the stream.
///
/// The entry VM's client applies deltas; the rest of the daemon gets whole configurations, as
/// [`model::delivery::ToEntry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A newer configuration, whole.
    Whole(Arc<Config>),
    /// Nothing newer than the entry VM's index; also the answer to a beat.
    Current {
        /// Index at the control VM.
        index: u64,
    },
    /// This control VM can't answer for the cluster: try another.
    TryOther,
    /// A newer configuration, as what changed since an older one.
    Delta(Arc<Delta>),
}

/// What changed from the configuration at index `from` to the one at `index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Identity of the cluster.
    pub cluster: u64,
    /// Index of the configuration that it applies to.
    pub from: u64,
    /// Index of the configuration that it makes.
    pub index: u64,
    /// Version of the configuration that it makes.
    pub version: u64,
    /// Failure domains that changed; `None` where one is gone.
    pub domains: BTreeMap<Name, Option<Domain>>,
    /// Services that changed; `None` where one is gone.
    pub services: BTreeMap<Name, Option<Service>>,
    /// Planned changes that changed; `None` where one is gone.
    pub changes: BTreeMap<u64, Option<Change>>,
}

/// the delta is for index {from} of cluster {cluster:x}, not for this configuration
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch {
    /// Cluster of the delta.
    pub cluster: u64,
    /// Index that it applies to.
    pub from: u64,
}

impl std::error::Error for Mismatch {}

impl Delta {
    /// What changed from `old` to `new`; neither has answers to commands or a plan.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        // Names each field, so that a new one is not forgotten here.
        let Config {
            cluster,
            index,
            version,
            domains,
            services,
            changes,
            answers: _,
            plan: _,
        } = new;
        Self {
            cluster: *cluster,
            from: old.index,
            index: *index,
            version: *version,
            domains: difference(&old.domains, domains),
            services: difference(&old.services, services),
            changes: difference(&old.changes, changes),
        }
    }

    /// The configuration that it makes out of `old`.
    ///
    /// # Errors
    ///
    /// Fails when it is for another configuration.
    pub fn apply(&self, old: &Config) -> Result<Config, Mismatch> {
        let same_cluster = old.cluster == self.cluster || old.cluster == 0;
        if old.index != self.from || !same_cluster {
            return Err(Mismatch {
                cluster: self.cluster,
                from: self.from,
            });
        }
        let mut new = old.clone();
        new.cluster = self.cluster;
        new.index = self.index;
        new.version = self.version;
        apply_changes(&mut new.domains, &self.domains);
        apply_changes(&mut new.services, &self.services);
        apply_changes(&mut new.changes, &self.changes);
        Ok(new)
    }
}

fn difference<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let removed = old.keys().filter(|key| !new.contains_key(key));
    let updated = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value));
    removed
        .map(|key| (key.clone(), None))
        .chain(updated.map(|(key, value)| (key.clone(), Some(value.clone()))))
        .collect()
}

fn apply_changes<K: Ord + Clone, V: Clone>(
    map: &mut BTreeMap<K, V>,
    changed: &BTreeMap<K, Option<V>>,
) {
    for (key, value) in changed {
        match value {
            Some(value) => map.insert(key.clone(), value.clone()),
            None => map.remove(key),
        };
    }
}

/// The newest configuration and the last deltas before it.
#[derive(Debug, Clone, Default)]
pub struct History {
    newest: Arc<Config>,
    /// Invariant: each applies to what the one before it makes; the last makes `newest`.
    deltas: Vec<Arc<Delta>>,
}

impl History {
    /// Starts with one configuration.
    #[must_use]
    pub fn new(newest: Arc<Config>) -> Self {
        let deltas = Vec::new();
        Self { newest, deltas }
    }

    /// The newest configuration.
    #[must_use]
    pub fn newest(&self) -> &Arc<Config> {
        &self.newest
    }

    /// Adds a newer configuration.
    pub fn push(&mut self, newest: Arc<Config>) {
        let delta = Delta::between(&self.newest, &newest);
        self.deltas.push(Arc::new(delta));
        let surplus = self.deltas.len().saturating_sub(MAX_DELTAS);
        self.deltas.drain(..surplus);
        self.newest = newest;
    }

    /// Deltas that lead from the configuration at `index` to the newest, if all are kept.
    #[must_use]
    pub fn since(&self, index: u64) -> Option<&[Arc<Delta>]> {
        let first = self.deltas.iter().position(|delta| delta.from == index)?;
        Some(&self.deltas[first..])
    }
}
