//! The leader's own steps: activates prepared generations and retires old ones.
//!
//! No I/O: [`GenerationPlanner::commands`] looks at the configuration and at the live entry VMs, and says
//! which commands to propose.

use std::collections::BTreeMap;

use model::{
    command::{Command, Entry, SYSTEM},
    config::{Config, Service, Stage},
    name::Name,
};

use crate::lease::LeaseTable;

/// What the leader remembers between two looks.
#[derive(Debug, Default)]
pub struct GenerationPlanner {
    /// Index of the configuration in which each service's newest generation was first seen in its
    /// present stage. An index that is seen late only delays a step.
    observed: BTreeMap<Name, ObservedGeneration>,
}

/// A service's newest generation as it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedGeneration {
    generation: u64,
    stage: Stage,
    index: u64,
}

impl GenerationPlanner {
    /// Commands that are due at `config`, given the live entry VMs.
    pub fn due_commands(&mut self, now_ms: u64, config: &Config, vms: &LeaseTable) -> Vec<Entry> {
        self.observe(config);
        if !vms.knows_all_live_vms(now_ms) {
            return Vec::new();
        }
        let due = |(name, service)| {
            let observed = self.observed.get(name)?;
            // An entry VM that has not applied the newest stage is waited for.
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

    /// Notes when each service's newest generation is first seen in its stage.
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

/// Retires the generations that no live entry VM needs.
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

/// The command with an id that a new try at the same configuration shares, and none at a later
/// one: a service that is removed and put again counts its generations from 1 once more.
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
