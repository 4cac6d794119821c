//! Answers operators' reads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{
    config::{ChangeState, Config, Service, UpstreamState},
    name::Name,
};
use rpc::{
    convert::{self, text},
    schema,
};
use tokio::time::timeout;

use crate::state::State;

/// Maximum time for a leader to confirm its leadership.
const CONFIRM_WAIT: Duration = Duration::from_secs(2);

/// The configuration that a read is answered from.
#[derive(Debug)]
pub struct ReadView {
    /// The configuration.
    pub config: Arc<Config>,
    /// Freshness of the configuration.
    pub freshness: schema::Freshness,
}

impl ReadView {
    /// Reads the configuration linearizably, or returns this replica's configuration if `allow_old`
    /// is set or no leader confirms in time.
    pub async fn read(state: &State, allow_old: bool) -> Self {
        let reason = if allow_old {
            "the request allows an old answer".to_owned()
        } else {
            match timeout(CONFIRM_WAIT, state.replica.read_linearizable()).await {
                Ok(Ok(config)) => return Self::new(state, config, None),
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no leader confirmed its leadership within 2 s".to_owned(),
            }
        };
        Self::new(state, state.replica.applied_config(), Some(reason))
    }

    fn new(state: &State, config: Arc<Config>, old: Option<String>) -> Self {
        let now_ms = state.now_ms();
        let last_leader_ms = state.soft_state().last_leader_ms.unwrap_or_default();
        let age_ms = old
            .as_ref()
            .map_or(0, |_| now_ms - last_leader_ms.min(now_ms));
        let freshness = schema::Freshness {
            linearizable: old.is_none(),
            age_ms,
            index: config.index,
            version: config.version,
            answered_by: text(&state.name),
            reason: old.unwrap_or_default().into(),
        };
        Self { config, freshness }
    }
}

/// Returns the status of the cluster.
#[must_use]
pub fn status(state: &State, view: &ReadView) -> schema::StatusResponse {
    let config = &view.config;
    let replica = state.replica.status();
    let domains = config.domains.iter().map(|(name, domain)| {
        let state = convert::domain_state(domain.state).into();
        schema::DomainStatus {
            name: text(name),
            state,
        }
    });
    let services = config.services.iter().map(|(name, s)| service(name, s));
    schema::StatusResponse {
        freshness: view.freshness.clone(),
        cluster: format!("{:016x}", config.cluster).into(),
        leader: leader(state).into(),
        term: replica.term,
        entry_vms: entry_vms(state),
        domains: domains.collect(),
        services: services.collect(),
        voters: replica.voters.iter().map(text).collect(),
    }
}

fn leader(state: &State) -> String {
    let status = state.replica.status();
    match status.leader {
        Some(leader) => leader,
        None if status.is_leader => state.name.to_string(),
        None => String::new(),
    }
}

fn entry_vms(state: &State) -> Vec<schema::EntryVm> {
    let now_ms = state.now_ms();
    let soft = state.soft_state();
    let live: Vec<Name> = soft.vms.live(now_ms).map(|h| h.vm.clone()).collect();
    let line = |heard: crate::lease::EntryVmRecord| schema::EntryVm {
        live: live.contains(&heard.vm),
        name: text(&heard.vm),
        domain: text(&heard.domain),
        index: heard.heartbeat.index,
        age_ms: heard.age_ms,
    };
    soft.vms.all(now_ms).map(line).collect()
}

fn service(name: &Name, service: &Service) -> schema::ServiceStatus {
    let draining = service
        .upstreams
        .values()
        .filter(|upstream| upstream.state == UpstreamState::Draining);
    schema::ServiceStatus {
        name: text(name),
        address: text(service.address),
        deadline_ms: service.deadline_ms,
        idle_ms: service.idle_ms,
        upstreams: count(service.upstreams.len()),
        draining: count(draining.count()),
        generations: service.generations.iter().map(|g| g.number).collect(),
    }
}

/// Returns the upstreams of all services.
#[must_use]
pub fn upstreams(state: &State, view: &ReadView) -> schema::ListUpstreamsResponse {
    let mut lines = BTreeMap::new();
    let soft = state.soft_state();
    for announced in soft.upstreams.all() {
        let key = (announced.service.clone(), announced.upstream.clone());
        let line = schema::UpstreamStatus {
            service: text(&announced.service),
            name: text(&announced.upstream),
            domain: text(&announced.domain),
            state: "announced".into(),
            live: !announced.leaving,
            flow_address: text(announced.flow_address),
            request_address: text(announced.request_address),
            slots: u32::from(announced.slots),
            connections: announced.connections,
        };
        lines.insert(key, line);
    }
    for (service, settings) in &view.config.services {
        for (name, upstream) in &settings.upstreams {
            let key = (service.clone(), name.clone());
            let live = lines.get(&key).is_some_and(|line| line.live);
            let line = schema::UpstreamStatus {
                service: text(service),
                name: text(name),
                domain: text(&upstream.domain),
                state: convert::upstream_state(upstream.state).into(),
                live,
                flow_address: text(upstream.flow_address),
                request_address: text(upstream.request_address),
                slots: u32::from(upstream.slots),
                connections: upstream.connections,
            };
            lines.insert(key, line);
        }
    }
    schema::ListUpstreamsResponse {
        freshness: view.freshness.clone(),
        upstreams: lines.into_values().collect(),
    }
}

/// Returns all planned changes, oldest first.
#[must_use]
pub fn changes(state: &State, view: &ReadView) -> schema::ListChangesResponse {
    let numbers = view.config.changes.keys();
    schema::ListChangesResponse {
        freshness: view.freshness.clone(),
        changes: numbers
            .filter_map(|n| change_status(state, view, *n))
            .collect(),
    }
}

/// Returns the planned change with the given number.
#[must_use]
pub fn change(state: &State, view: &ReadView, number: u64) -> schema::GetChangeResponse {
    schema::GetChangeResponse {
        freshness: view.freshness.clone(),
        change: change_status(state, view, number),
    }
}

/// Returns the status of a change. A change is in force once every live entry VM has applied the
/// command that completed it; before completion, the entry VMs that have not applied its newest
/// command are listed as missing.
fn change_status(state: &State, view: &ReadView, number: u64) -> Option<schema::Change> {
    let change = view.config.changes.get(&number)?;
    let now_ms = state.now_ms();
    let soft = state.soft_state();
    let missing = soft
        .vms
        .live_vms_behind(now_ms, index_to_reach(&view.config, number));
    let mut shown = convert::change(number, change, &missing);
    // A control VM that has just started may not know all entry VMs yet.
    if change.state == ChangeState::InForce && !soft.vms.knows_all_live_vms(now_ms) {
        shown.state = "accepted".into();
    }
    Some(shown)
}

/// Returns the index that entry VMs have to reach next for the change `number`.
fn index_to_reach(config: &Config, number: u64) -> u64 {
    let change = config.changes.get(&number);
    change
        .and_then(|change| change.done_index)
        .unwrap_or(number)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
