//! Settings of the daemons on the platform, where upstreams and operators call the HTTP API.
//!
//! All VMs of a deployment use the same ports for traffic between VMs, so the IP address of a
//! control VM is enough to connect to that VM and to learn the other control VMs from it.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use model::name::Name;
use serde::Serialize;

use crate::{Fault, Fields, Load, control, log::Level};

/// Number of consecutive ports that a VM needs for traffic between VMs.
const PORTS_PER_VM: u16 = 4;

/// Default capacity of the network link of a VM, in megabits per second.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// Default time between two announcements of an upstream, in milliseconds.
const DEFAULT_ANNOUNCE_MS: u64 = 1_000;

const LINK_ADVICE: &str =
    "write the capacity of this VM's network link in megabits per second, above 0";

/// Ports for traffic between VMs, as offsets from the first port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Port {
    Delivery = 0,
    Peer = 1,
    Rpc = 2,
    Http = 3,
}

/// Settings of an entry VM on the platform.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Listen address for packets from the fabric: UDP.
    pub fabric_listen: SocketAddr,
    /// Listen address for health, metrics and the state dump: TCP, HTTP.
    pub health_listen: SocketAddr,
    /// First of the consecutive ports for traffic between VMs.
    pub first_port: u16,
    /// Addresses of some control VMs; the ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Capacity of the network link of this VM, in megabits per second.
    pub link_mbps: f64,
    /// Whether new flows are placed by the work that all entry VMs share, or by what this VM sees alone.
    pub place_by_shared_work: bool,
    /// Time between two announcements of an upstream, in milliseconds.
    pub announce_ms: u64,
    /// Lowest level of the lines that the process logs.
    pub log: Level,
    /// Seed of the random numbers of this process, for tests; a random seed if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// Settings of a control VM on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Control {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Folder that holds all files of this process.
    pub data_folder: PathBuf,
    /// Listen address for calls of operators and upstreams: TCP, HTTP.
    pub desk_listen: SocketAddr,
    /// First of the consecutive ports at which other VMs connect to this VM.
    pub first_port: u16,
    /// First port that this process binds for traffic between VMs, if a port forwarder maps
    /// `first_port` to a different port.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bind_port: Option<u16>,
    /// Addresses of some control VMs; the ports are ignored. At the first start of the cluster, the
    /// control VMs that found the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time.
    pub found: bool,
    /// Time between two announcements of an upstream, in milliseconds.
    pub announce_ms: u64,
    /// Number of control VMs whose disks may be lost at the same time without loss of data.
    pub tolerated: usize,
    /// Lowest level of the lines that the process logs.
    pub log: Level,
}

impl Load for Entry {
    const KEYS: &'static [&'static str] = &[
        "name",
        "domain",
        "fabric_listen",
        "health_listen",
        "first_port",
        "seeds",
        "link_mbps",
        "place_by_shared_work",
        "announce_ms",
        "log",
        "seed",
    ];

    fn read(fields: &mut Fields) -> Result<Self, Fault> {
        Ok(Self {
            name: fields.required("name", "give this VM a name")?,
            domain: fields.required("domain", "name the failure domain of this VM")?,
            fabric_listen: fields.listen("fabric_listen")?,
            health_listen: fields.listen("health_listen")?,
            first_port: first_port(fields)?,
            seeds: seeds(fields)?,
            link_mbps: fields
                .optional("link_mbps", LINK_ADVICE)?
                .unwrap_or(DEFAULT_LINK_MBPS),
            place_by_shared_work: fields
                .optional(
                    "place_by_shared_work",
                    "write true or false, or remove the key",
                )?
                .unwrap_or_default(),
            announce_ms: fields
                .optional(
                    "announce_ms",
                    "write a whole number of milliseconds, or remove the key",
                )?
                .unwrap_or(DEFAULT_ANNOUNCE_MS),
            log: fields.log()?,
            seed: fields.optional("seed", "write a whole number, or remove the key")?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            let shown = self.link_mbps.to_string();
            return Err(Fault::new(
                "link_mbps",
                shown,
                "the capacity of the link must be positive and finite",
                LINK_ADVICE,
            ));
        }
        check_seeds(&self.seeds)
    }
}

impl Entry {
    /// Returns the address at which the control VM at `ip` accepts streams of entry VMs.
    #[must_use]
    pub fn delivery(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, port(self.first_port, Port::Delivery))
    }
}

impl Load for Control {
    const KEYS: &'static [&'static str] = &[
        "name",
        "domain",
        "data_folder",
        "desk_listen",
        "first_port",
        "bind_port",
        "seeds",
        "found",
        "announce_ms",
        "tolerated",
        "log",
    ];

    fn read(fields: &mut Fields) -> Result<Self, Fault> {
        Ok(Self {
            name: fields.required("name", "give this VM a name")?,
            domain: fields.required("domain", "name the failure domain of this VM")?,
            data_folder: fields.required("data_folder", "name a folder on this VM's disk")?,
            desk_listen: fields.listen("desk_listen")?,
            first_port: first_port(fields)?,
            bind_port: bind_port(fields)?,
            seeds: seeds(fields)?,
            found: fields.required("found", "write true at the very first start only")?,
            announce_ms: fields.required("announce_ms", "write a number of milliseconds")?,
            tolerated: fields.required("tolerated", "write a number of control VMs")?,
            log: fields.log()?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        check_seeds(&self.seeds)
    }
}

impl Control {
    /// Returns the settings of the control daemon, with all addresses that the daemon binds.
    #[must_use]
    pub fn daemon(&self) -> control::Settings {
        let first = self.bind_port.unwrap_or(self.first_port);
        let own = |which| SocketAddr::new(self.desk_listen.ip(), port(first, which));
        let peer_listen = own(Port::Peer);
        control::Settings {
            name: self.vm_name(),
            domain: self.domain.clone(),
            data_folder: self.data_folder.clone(),
            rpc_listen: own(Port::Rpc),
            delivery_listen: own(Port::Delivery),
            peer_listen,
            http_listen: own(Port::Http),
            replicas: BTreeMap::new(),
            found: self.found,
            // Entry VMs keep a stream to every control VM, so control VMs need not exchange which
            // entry VMs are live.
            controls: Vec::new(),
            log: self.log,
            seed: None,
        }
    }

    /// Returns the address at which other control VMs connect to the replica on this VM.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.desk_listen.ip(), port(self.first_port, Port::Peer))
    }

    /// Returns the port at which control VMs accept streams of entry VMs.
    #[must_use]
    pub fn delivery_port(&self) -> u16 {
        port(self.first_port, Port::Delivery)
    }

    /// Returns the names and addresses of the replicas on the seed VMs. The address of a replica also
    /// serves as its name, since the settings hold no names of other VMs.
    #[must_use]
    pub fn replicas(&self) -> BTreeMap<String, SocketAddr> {
        let address =
            |seed: &SocketAddr| SocketAddr::new(seed.ip(), port(self.first_port, Port::Peer));
        let all = self.seeds.iter().map(address);
        all.map(|a| (a.to_string(), a)).collect()
    }

    /// Returns the number of voters whose majority survives the loss of `tolerated` disks.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated + 1
    }

    /// Returns the name of this VM, or a placeholder if the name is not a valid [`Name`].
    fn vm_name(&self) -> Name {
        Name::new(&self.name).unwrap_or_else(|_| Name::unknown())
    }
}

fn port(first: u16, which: Port) -> u16 {
    first + which as u16
}

fn first_port(fields: &mut Fields) -> Result<u16, Fault> {
    let advice = "write the first of 4 consecutive free ports, the same on all VMs";
    let first = fields.required("first_port", advice)?;
    check_ports("first_port", first, advice)
}

fn bind_port(fields: &mut Fields) -> Result<Option<u16>, Fault> {
    let advice = "write the first of 4 consecutive free ports, or remove the key";
    let first: Option<u16> = fields.optional("bind_port", advice)?;
    let checked = first.map(|first| check_ports("bind_port", first, advice));
    checked.transpose()
}

fn check_ports(key: &'static str, first: u16, advice: &'static str) -> Result<u16, Fault> {
    if first == 0 || first > u16::MAX - (PORTS_PER_VM - 1) {
        let reason = "there is no room for 4 consecutive ports";
        return Err(Fault::new(key, first.to_string(), reason, advice));
    }
    Ok(first)
}

fn seeds(fields: &mut Fields) -> Result<Vec<SocketAddr>, Fault> {
    fields.required("seeds", "list IP address and port of some control VMs")
}

fn check_seeds(seeds: &[SocketAddr]) -> Result<(), Fault> {
    if seeds.is_empty() {
        let advice = "list at least one control VM";
        return Err(Fault::new("seeds", "[]", "the list is empty", advice));
    }
    Ok(())
}
