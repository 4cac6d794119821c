//! Differences between two configurations.
//!
//! Most commands change one service, so a delta is smaller than a configuration by a factor of
//! about the number of services. A delta contains whole services, domains and changes: even with
//! 900 services, that is small enough for the traffic budget, and no commands have to be replayed.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use model::{
    config::{Change, Config, Domain, Service},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Number of deltas that a control VM keeps for entry VMs that are slightly behind.
pub const MAX_DELTAS: usize = 64;

/// Message of a control VM to an entry VM, as encoded on the stream.
///
/// The entry VM's client applies deltas; the rest of the daemon receives whole configurations, as
/// [`model::delivery::ToEntry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The full newer configuration.
    Whole(Arc<Config>),
    /// Confirms that nothing is newer than the entry VM's index; also answers a heartbeat.
    Current {
        /// Index of the configuration at the control VM.
        index: u64,
    },
    /// This control VM can't answer for the cluster, and the entry VM should try another.
    TryOther,
    /// The newer configuration as its difference from an older one.
    Delta(Arc<Delta>),
}

/// Difference between the configuration at index `from` and the one at `index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Identity of the cluster.
    pub cluster: u64,
    /// Index of the configuration that the delta applies to.
    pub from: u64,
    /// Index of the resulting configuration.
    pub index: u64,
    /// Version of the resulting configuration.
    pub version: u64,
    /// Failure domains that were added or changed; `None` for a removed one.
    pub domains: BTreeMap<Name, Option<Domain>>,
    /// Services that were added or changed; `None` for a removed one.
    pub services: BTreeMap<Name, Option<Service>>,
    /// Planned changes that were added or changed; `None` for a removed one.
    pub changes: BTreeMap<u64, Option<Change>>,
}

/// the delta applies to index {from} of cluster {cluster:x}, not to the configuration held here
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch {
    /// Cluster of the delta.
    pub cluster: u64,
    /// Index of the configuration that the delta applies to.
    pub from: u64,
}

impl std::error::Error for Mismatch {}

impl Delta {
    /// Returns the difference between `old` and `new`. Answers to commands and the plan are not
    /// part of delivered configurations.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        // Naming each field makes a new field a compile error here.
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

    /// Applies the delta to `old` and returns the resulting configuration.
    ///
    /// # Errors
    ///
    /// Fails when the delta is for another configuration.
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

/// The newest configuration and the last deltas that led to it.
#[derive(Debug, Clone, Default)]
pub struct History {
    newest: Arc<Config>,
    /// Invariant: each delta applies to the result of the previous one; the last one results in
    /// `newest`.
    deltas: Vec<Arc<Delta>>,
}

impl History {
    /// Returns a history with one configuration and no deltas.
    #[must_use]
    pub fn new(newest: Arc<Config>) -> Self {
        let deltas = Vec::new();
        Self { newest, deltas }
    }

    /// Returns the newest configuration.
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

    /// Returns the deltas from the configuration at `index` to the newest one, if all are kept.
    #[must_use]
    pub fn since(&self, index: u64) -> Option<&[Arc<Delta>]> {
        let first = self.deltas.iter().position(|delta| delta.from == index)?;
        Some(&self.deltas[first..])
    }
}
