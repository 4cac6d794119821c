//! Builds the settings of all processes of an experiment, with free ports of loopback addresses.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use model::name::Name;
use settings::{control, entry, log::Level};

use super::Error;
use crate::{
    caller,
    experiment::plan::{Plan, Service, Vm},
    fabric,
    ports::Ports,
    upstream,
};

/// Minimum service time of a request at an upstream, in milliseconds.
const SERVICE_MIN_MS: u64 = 10;

/// Mean of the random time added to the minimum service time, in milliseconds.
const SERVICE_MEAN_MS: u64 = 30;

/// Wait before the first retransmission of a packet of a flow, in milliseconds.
const RETRANSMIT_MS: u64 = 300;

/// Time without an answer after which a flow counts as broken, in milliseconds.
const STALL_MS: u64 = 5_000;

/// Number of sockets that submit requests.
const SOCKETS: usize = 16;

/// Returns the loopback address of a process by its kind, failure domain and number.
pub(super) fn ip(kind: u8, domain: usize, number: usize) -> IpAddr {
    let byte = |n: usize| u8::try_from(n + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, kind, byte(domain), byte(number)))
}

/// Returns an address of `ip` with a free port.
pub(super) fn free_address(ports: &mut Ports, ip: IpAddr) -> Result<SocketAddr, Error> {
    ports.free(ip).map_err(|e| Error::Io(ip.to_string(), e))
}

fn domain_index(plan: &Plan, vm: &Vm) -> usize {
    let found = plan.domains.iter().position(|d| *d == vm.domain);
    found.unwrap_or_default()
}

/// Returns the settings of all control VMs, each with the addresses of all control VMs.
pub(super) fn control_settings(
    plan: &Plan,
    ports: &mut Ports,
    folder: &Path,
    seed: u64,
) -> Result<BTreeMap<Name, control::Settings>, Error> {
    let mut all = BTreeMap::new();
    for (number, vm) in plan.controls.iter().enumerate() {
        let ip = ip(3, domain_index(plan, vm), number);
        let settings = control::Settings {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            data_folder: folder.join(format!("{}-data", vm.name)),
            rpc_listen: free_address(ports, ip)?,
            delivery_listen: free_address(ports, ip)?,
            peer_listen: free_address(ports, ip)?,
            http_listen: free_address(ports, ip)?,
            replicas: BTreeMap::new(),
            controls: Vec::new(),
            log: Level::Info,
            found: true,
            seed: Some(seed),
        };
        all.insert(vm.name.clone(), settings);
    }
    let replicas: BTreeMap<Name, SocketAddr> = all
        .iter()
        .map(|(name, s)| (name.clone(), s.peer_listen))
        .collect();
    let controls: Vec<SocketAddr> = all.values().map(|s| s.delivery_listen).collect();
    for settings in all.values_mut() {
        settings.replicas = replicas.clone();
        settings.controls = controls.clone();
    }
    Ok(all)
}

/// Returns the settings of all entry VMs, each with the addresses of its peers and of the control VMs.
pub(super) fn entry_settings(
    plan: &Plan,
    ports: &mut Ports,
    controls: &BTreeMap<Name, control::Settings>,
    seed: u64,
) -> Result<BTreeMap<Name, entry::Settings>, Error> {
    let mut all: BTreeMap<Name, entry::Settings> = BTreeMap::new();
    for (number, vm) in plan.entries.iter().enumerate() {
        let ip = ip(1, domain_index(plan, vm), number);
        let settings = entry::Settings {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            fabric_listen: free_address(ports, ip)?,
            request_listen: free_address(ports, ip)?,
            peer_listen: free_address(ports, ip)?,
            rpc_listen: free_address(ports, ip)?,
            http_listen: free_address(ports, ip)?,
            peers: Vec::new(),
            controls: controls.values().map(|c| c.delivery_listen).collect(),
            log: Level::Info,
            seed: Some(seed + u64::try_from(number).unwrap_or_default()),
        };
        all.insert(vm.name.clone(), settings);
    }
    let peers: Vec<SocketAddr> = all.values().map(|s| s.peer_listen).collect();
    for settings in all.values_mut() {
        let me = settings.peer_listen;
        settings.peers = peers.iter().copied().filter(|p| *p != me).collect();
    }
    Ok(all)
}

/// Returns the settings of an upstream that announces itself to the entry VMs of its failure domain.
pub(super) fn upstream_settings(
    service: &Service,
    vm: &Vm,
    entries: &BTreeMap<Name, entry::Settings>,
) -> upstream::Upstream {
    let own_domain = entries.values().filter(|e| e.domain == vm.domain);
    upstream::Upstream {
        name: vm.name.clone(),
        service: service.name.clone(),
        domain: vm.domain.clone(),
        ip: IpAddr::V4(Ipv4Addr::new(127, 2, 0, 1)),
        slots: service.slots,
        connections: service.connections,
        service_min_ms: SERVICE_MIN_MS,
        service_mean_ms: SERVICE_MEAN_MS,
        cold: false,
        collapses: false,
        entries: own_domain.map(|e| e.rpc_listen).collect(),
    }
}

/// Returns the settings of the callers, whose fabric sends to all entry VMs.
pub(super) fn caller_settings(
    plan: &Plan,
    entries: &BTreeMap<Name, entry::Settings>,
    control: SocketAddr,
    seed: u64,
) -> caller::Settings {
    caller::Settings {
        control,
        seed,
        ip: ip(4, 0, 0),
        sockets: SOCKETS,
        entries: entries
            .values()
            .map(|e| fabric::Entry {
                name: e.name.clone(),
                domain: e.domain.clone(),
                fabric_address: e.fabric_listen,
                request_address: e.request_listen,
                http_address: Some(e.http_listen),
                service: None,
            })
            .collect(),
        services: plan.services.iter().map(|s| s.traffic.clone()).collect(),
        retransmit_ms: RETRANSMIT_MS,
        stall_ms: STALL_MS,
    }
}
