//! Settings of the daemons where upstreams and operators are met through the platform.
//!
//! The VMs of a deployment use the same ports for the traffic between them, so that the address of
//! one control VM is enough to find it; further control VMs are learnt from it.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use model::name::Name;
use serde::Serialize;

use crate::{Fault, Fields, Load, control, log::Level};

/// Ports that a VM needs for the traffic between VMs, in a row.
const PORTS: u16 = 4;

/// Rate of a VM's link where the settings name none, in megabits a second.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

const LINK_ADVICE: &str = "write the megabits a second that this VM's link carries, above 0";

/// Names of the ports, as steps from the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Port {
    Delivery = 0,
    Peer = 1,
    Rpc = 2,
    Http = 3,
}

/// What an entry VM is told at its start.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Where the fabric hands over packets: UDP.
    pub fabric_listen: SocketAddr,
    /// Where health, metrics and the state dump are served: TCP, HTTP.
    pub health_listen: SocketAddr,
    /// First port of the traffic between VMs.
    pub first_port: u16,
    /// Addresses of some control VMs; their ports don't matter.
    pub seeds: Vec<SocketAddr>,
    /// Rate of this VM's link, in megabits a second.
    pub link_mbps: f64,
    /// How much the process logs.
    pub log: Level,
    /// Seed of this process's random choices, for tests; drawn when it is not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// What a control VM is told at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Control {
    /// Name of this VM.
    pub name: String,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Folder for all files of this process.
    pub data_folder: PathBuf,
    /// Where operators and upstreams call: TCP, HTTP.
    pub desk_listen: SocketAddr,
    /// First port at which others reach this VM for the traffic between VMs.
    pub first_port: u16,
    /// First port that this process binds for it, where a port forwarder stands before it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bind_port: Option<u16>,
    /// Addresses of some control VMs; their ports don't matter. Those that found the cluster, at
    /// its first start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub found: bool,
    /// Time between two announcements of an upstream, in milliseconds.
    pub announce_ms: u64,
    /// Control VMs whose disks may be lost at the same time.
    pub tolerated: usize,
    /// How much the process logs.
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
            log: fields.log()?,
            seed: fields.optional("seed", "write a whole number, or leave it out")?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            let shown = self.link_mbps.to_string();
            return Err(Fault::new(
                "link_mbps",
                shown,
                "no packet fits",
                LINK_ADVICE,
            ));
        }
        check_seeds(&self.seeds)
    }
}

impl Entry {
    /// Where the control VM at `ip` takes streams.
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
    /// The settings of the daemon, with all addresses that it binds.
    #[must_use]
    pub fn daemon(&self) -> control::Settings {
        let first = self.bind_port.unwrap_or(self.first_port);
        let own = |which| SocketAddr::new(self.desk_listen.ip(), port(first, which));
        let peer_listen = own(Port::Peer);
        control::Settings {
            name: self.member(),
            domain: self.domain.clone(),
            data_folder: self.data_folder.clone(),
            rpc_listen: own(Port::Rpc),
            delivery_listen: own(Port::Delivery),
            peer_listen,
            http_listen: own(Port::Http),
            replicas: BTreeMap::new(),
            found: self.found,
            // Entry VMs listen to each control VM, so none has to tell another what it hears.
            controls: Vec::new(),
            log: self.log,
            seed: None,
        }
    }

    /// Where other control VMs reach the replica of this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.desk_listen.ip(), port(self.first_port, Port::Peer))
    }

    /// Port at which entry VMs reach any control VM.
    #[must_use]
    pub fn delivery_port(&self) -> u16 {
        port(self.first_port, Port::Delivery)
    }

    /// The replicas behind the seeds: name and address. Replicas are named by their addresses,
    /// since that is all that is known of the others.
    #[must_use]
    pub fn replicas(&self) -> BTreeMap<String, SocketAddr> {
        let address =
            |seed: &SocketAddr| SocketAddr::new(seed.ip(), port(self.first_port, Port::Peer));
        let all = self.seeds.iter().map(address);
        all.map(|a| (a.to_string(), a)).collect()
    }

    /// Voters that bear the loss of as many disks as are tolerated.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated + 1
    }

    /// A name for this VM that the rest of the product accepts.
    fn member(&self) -> Name {
        Name::new(&self.name).unwrap_or_else(|_| Name::unknown())
    }
}

fn port(first: u16, which: Port) -> u16 {
    first + which as u16
}

fn first_port(fields: &mut Fields) -> Result<u16, Fault> {
    let advice = "write the first of 4 free ports in a row, the same on all VMs";
    let first = fields.required("first_port", advice)?;
    check_ports("first_port", first, advice)
}

fn bind_port(fields: &mut Fields) -> Result<Option<u16>, Fault> {
    let advice = "write the first of 4 free ports in a row, or leave it out";
    let first: Option<u16> = fields.optional("bind_port", advice)?;
    let checked = first.map(|first| check_ports("bind_port", first, advice));
    checked.transpose()
}

fn check_ports(key: &'static str, first: u16, advice: &'static str) -> Result<u16, Fault> {
    if first == 0 || first > u16::MAX - PORTS {
        let reason = "no 4 ports follow";
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
