//! Plans the commands that activate prepared generations and retire old ones.
//!
//! This module does no I/O: [`GenerationPlanner::due_commands`] examines the configuration and the
//! live entry VMs, and returns the commands that the leader should propose.

use std::collections::BTreeMap;

use model::{
    command::{Command, Entry, SYSTEM},
    config::{Config, Service, Stage},
    name::Name,
};

use crate::lease::LeaseTable;

/// State that the planner keeps between two calls.
#[derive(Debug, Default)]
pub struct GenerationPlanner {
    /// The newest generation of each service, with the configuration index at which its current
    /// stage was first observed. A late observation only delays a command.
    observed: BTreeMap<Name, ObservedGeneration>,
}

/// The newest generation of a service in its current stage, as first observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedGeneration {
    generation: u64,
    stage: Stage,
    index: u64,
}

impl GenerationPlanner {
    /// Returns the commands that are due at `config`, given the live entry VMs.
    pub fn due_commands(&mut self, now_ms: u64, config: &Config, vms: &LeaseTable) -> Vec<Entry> {
        self.observe(config);
        if !vms.knows_all_live_vms(now_ms) {
            return Vec::new();
        }
        let due = |(name, service)| {
            let observed = self.observed.get(name)?;
            // A live entry VM has not applied the configuration of the newest stage yet.
            if !vms.live_vms_behind(now_ms, observed.index).is_empty() {
                return None;
            }
            match observed.stage {
                Stage::Prepared => Some(Command::Activate {
                    service: Name::clone(name),
                    generation: observed.generation,
                }),
                Stage::Active => retire_command(now_ms, name, service, vms),
            }
        };
        config
            .services
            .iter()
            .filter_map(due)
            .map(|command| system_entry(config.index, command))
            .collect()
    }

    /// Records the index at which the newest generation of each service is first observed in its
    /// stage.
    fn observe(&mut self, config: &Config) {
        self.observed
            .retain(|name, _| config.services.contains_key(name));
        for (name, service) in &config.services {
            let Some(last) = service.generations.last() else {
                self.observed.remove(name);
                continue;
            };
            let observed = ObservedGeneration {
                generation: last.number,
                stage: last.stage,
                index: config.index,
            };
            let known = self.observed.entry(name.clone()).or_insert(observed);
            if (known.generation, known.stage) != (observed.generation, observed.stage) {
                *known = observed;
            }
        }
    }
}

/// Returns the command that retires all generations which no live entry VM needs, if there are any.
fn retire_command(
    now_ms: u64,
    name: &Name,
    service: &Service,
    vms: &LeaseTable,
) -> Option<Command> {
    let oldest = service.generations.first()?.number;
    let newest = service.generations.last()?.number;
    let needed = vms
        .live(now_ms)
        .filter_map(|vm| vm.heartbeat.needed.get(name).copied())
        .min()
        .unwrap_or(newest);
    let keep = service
        .generations
        .iter()
        .map(|generation| generation.number)
        .filter(|number| *number <= needed)
        .max()?;
    (keep > oldest).then(|| Command::Retire {
        service: name.clone(),
        keep,
    })
}

/// Wraps a command in an entry whose request id contains the configuration index. A retry at the
/// same index gets the same id; a later configuration gets a different one, since a service that is
/// removed and put again numbers its generations from 1.
fn system_entry(index: u64, command: Command) -> Entry {
    let request = match &command {
        Command::Activate {
            service,
            generation,
        } => format!("activate/{service}/{generation}/{index}"),
        Command::Retire { service, keep } => format!("retire/{service}/{keep}/{index}"),
        _ => format!("{index}"),
    };
    Entry::new(SYSTEM, request, None, command)
}
