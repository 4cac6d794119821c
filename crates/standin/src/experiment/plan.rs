//! Shapes of systems: failure domains, VMs, services, upstreams and traffic.

use std::net::{Ipv4Addr, SocketAddr};

use model::name::Name;

use super::Firm;
use crate::caller::Traffic;

/// Entry VMs in each failure domain.
const ENTRIES_PER_DOMAIN: usize = 2;

/// Control VMs.
const CONTROLS: usize = 3;

/// Flows that an upstream bears at a time.
const CONNECTIONS: u32 = 2_000;

/// Port of the services' addresses.
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

/// A VM, or an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// A service with its upstreams and traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that an upstream runs at a time.
    pub slots: u16,
    /// Flows that an upstream bears at a time.
    pub connections: u32,
    /// Upstreams that are admitted at the start.
    pub upstreams: Vec<Vm>,
    /// An upstream that announces itself, but isn't admitted at the start.
    pub spare: Vm,
    /// What callers do.
    pub traffic: Traffic,
}

/// What differs from service to service.
#[derive(Debug, Clone, Copy)]
struct Shape {
    name: &'static str,
    upstreams: usize,
    slots: u16,
    feeds: u32,
    uploads_per_100_s: u32,
    upload_chunks: u32,
    requests_per_second: u32,
}

impl Plan {
    /// The system of a firm under `load_percent` of its load.
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
            entries: spread("entry", entries, &domains),
            controls: spread("control", CONTROLS, &domains),
            services: (1..)
                .zip(shapes)
                .map(|(number, shape)| service(number, shape, &domains, load_percent))
                .collect(),
            domains,
        }
    }
}

const SMALL: [Shape; 2] = [
    Shape {
        name: "booking",
        upstreams: 3,
        slots: 3,
        feeds: 240,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 60,
    },
    Shape {
        name: "plan-intake",
        upstreams: 3,
        slots: 3,
        feeds: 0,
        uploads_per_100_s: 600,
        upload_chunks: 50,
        requests_per_second: 20,
    },
];

const LYSGARD: [Shape; 2] = [
    Shape {
        name: "booking",
        upstreams: 14,
        slots: 3,
        feeds: 1_400,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 250,
    },
    Shape {
        name: "plan-intake",
        upstreams: 4,
        slots: 3,
        feeds: 0,
        uploads_per_100_s: 800,
        upload_chunks: 50,
        requests_per_second: 20,
    },
];

const BLUE_MAHOE: [Shape; 2] = [
    Shape {
        name: "cut-lists",
        upstreams: 14,
        slots: 2,
        feeds: 840,
        uploads_per_100_s: 0,
        upload_chunks: 0,
        requests_per_second: 200,
    },
    Shape {
        name: "drawing-intake",
        upstreams: 4,
        slots: 2,
        feeds: 0,
        uploads_per_100_s: 400,
        upload_chunks: 200,
        requests_per_second: 10,
    },
];

fn service(number: u8, shape: Shape, domains: &[Name], load_percent: u32) -> Service {
    let address = SocketAddr::from((Ipv4Addr::new(10, 9, 0, number), SERVICE_PORT));
    let mut upstreams = spread(shape.name, shape.upstreams + 1, domains);
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

/// `count` VMs, one after the other over the failure domains.
fn spread(prefix: &str, count: usize, domains: &[Name]) -> Vec<Vm> {
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
    // The texts are constants of this module.
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}
