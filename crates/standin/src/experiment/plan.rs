//! Plans of systems: failure domains, VMs, services, upstreams and traffic.

use std::net::{Ipv4Addr, SocketAddr};

use model::name::Name;

use super::Firm;
use crate::caller::Traffic;

/// Number of entry VMs in each failure domain.
const ENTRIES_PER_DOMAIN: usize = 2;

/// Number of control VMs.
const CONTROLS: usize = 3;

/// Number of flows that an upstream holds at a time.
const CONNECTIONS: u32 = 2_000;

/// Port of all service addresses.
const SERVICE_PORT: u16 = 443;

/// A system and its traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Failure domains.
    pub domains: Vec<Name>,
    /// Entry VMs.
    pub entries: Vec<Vm>,
    /// Control VMs.
    pub controls: Vec<Vm>,
    /// Services.
    pub services: Vec<Service>,
}

/// Name and failure domain of a VM or an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
}

/// A service with its upstreams and traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Address of the service.
    pub address: SocketAddr,
    /// Number of requests that an upstream runs at a time.
    pub slots: u16,
    /// Number of flows that an upstream holds at a time.
    pub connections: u32,
    /// Upstreams that are admitted at the start.
    pub upstreams: Vec<Vm>,
    /// Spare upstream, which announces itself but is not admitted at the start.
    pub spare: Vm,
    /// Traffic of the callers to the service.
    pub traffic: Traffic,
}

/// Parameters that differ between services.
#[derive(Debug, Clone, Copy)]
struct ServiceShape {
    name: &'static str,
    upstreams: usize,
    slots: u16,
    feeds: u32,
    uploads_per_100_s: u32,
    upload_chunks: u32,
    requests_per_second: u32,
}

impl Plan {
    /// Returns the plan of a firm's system with `load_percent` of the firm's normal load.
    #[must_use]
    pub fn new(firm: Firm, load_percent: u32) -> Self {
        let (domains, shapes) = match firm {
            Firm::Small => (&["north", "east", "south"][..], SMALL),
            Firm::Lysgard => (&["aarhus-a", "aarhus-b", "vejle", "horsens"][..], LYSGARD),
            Firm::BlueMahoe => (&["jm-south-a", "jm-south-b", "jm-south-c"][..], BLUE_MAHOE),
        };
        let domains: Vec<Name> = domains.iter().map(|d| name(d)).collect();
        let entries = domains.len() * ENTRIES_PER_DOMAIN;
        Self {
            entries: distribute_vms("entry", entries, &domains),
            controls: distribute_vms("control", CONTROLS, &domains),
            services: (1..)
                .zip(shapes)
                .map(|(number, shape)| service(number, shape, &domains, load_percent))
                .collect(),
            domains,
        }
    }
}

const SMALL: [ServiceShape; 2] = [
    ServiceShape {
        name: "booking",
        upstreams: 3,
        slots: 3,
        feeds: 240,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 60,
    },
    ServiceShape {
        name: "plan-intake",
        upstreams: 3,
        slots: 3,
        feeds: 0,
        uploads_per_100_s: 600,
        upload_chunks: 50,
        requests_per_second: 20,
    },
];

const LYSGARD: [ServiceShape; 2] = [
    ServiceShape {
        name: "booking",
        upstreams: 14,
        slots: 3,
        feeds: 1_400,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 250,
    },
    ServiceShape {
        name: "plan-intake",
        upstreams: 4,
        slots: 3,
        feeds: 0,
        uploads_per_100_s: 800,
        upload_chunks: 50,
        requests_per_second: 20,
    },
];

const BLUE_MAHOE: [ServiceShape; 2] = [
    ServiceShape {
        name: "cut-lists",
        upstreams: 14,
        slots: 2,
        feeds: 840,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 200,
    },
    ServiceShape {
        name: "drawing-intake",
        upstreams: 4,
        slots: 2,
        feeds: 0,
        uploads_per_100_s: 400,
        upload_chunks: 200,
        requests_per_second: 10,
    },
];

fn service(number: u8, shape: ServiceShape, domains: &[Name], load_percent: u32) -> Service {
    let address = SocketAddr::from((Ipv4Addr::new(10, 9, 0, number), SERVICE_PORT));
    let mut upstreams = distribute_vms(shape.name, shape.upstreams + 1, domains);
    let spare = upstreams.remove(shape.upstreams);
    let scale = |value: u32| value * load_percent / 100;
    Service {
        name: name(shape.name),
        address,
        slots: shape.slots,
        connections: CONNECTIONS,
        upstreams,
        spare,
        traffic: Traffic {
            service: name(shape.name),
            address,
            feeds: scale(shape.feeds),
            feeds_per_second: scale(shape.feeds) / 3,
            poll_ms: 250,
            uploads_per_100_s: scale(shape.uploads_per_100_s),
            upload_chunks: shape.upload_chunks,
            chunk_bytes: 800,
            requests_per_second: scale(shape.requests_per_second),
            idempotent_percent: 50,
            deadline_ms: 2_000,
        },
    }
}

/// Returns `count` VMs, distributed over the failure domains in turn.
fn distribute_vms(prefix: &str, count: usize, domains: &[Name]) -> Vec<Vm> {
    let numbers = 1..=count;
    numbers
        .zip(domains.iter().cycle())
        .map(|(number, domain)| Vm {
            name: name(&format!("{prefix}-{number}")),
            domain: domain.clone(),
        })
        .collect()
}

fn name(text: &str) -> Name {
    // All texts are constants of this module.
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}
