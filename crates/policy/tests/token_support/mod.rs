//! Announcements, plans and packets for tests of flow tokens.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{net::SocketAddr, sync::Arc};

use model::{
    plan::{Plan, Route, Service, Target},
    routing::{Agreed, Announced, Incarnation, Peers, Phase, ProbeOutcome, ProbeReport, Report},
};
use policy::{
    time::Instant,
    token::{
        decision::{Action, Decision, Reason},
        gateway::{Gateway, Settings},
        segment::{Key, Kind, Segment},
    },
};

/// Address of the route in all tests.
pub(crate) const ROUTE: &str = "198.18.0.1:443";

pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Returns the address of a control VM.
pub(crate) fn control_vm(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_000))
}

/// Returns the first announcement of upstream `id` in `domain`.
pub(crate) fn announcement(id: u64, domain: &str) -> Announced {
    let [_, _, _, _, _, _, high, low] = id.to_be_bytes();
    Announced {
        incarnation: Incarnation {
            id,
            started_ms: 1_000,
        },
        service: Arc::from("booking"),
        address: SocketAddr::from(([10, 0, high, low], 8_080))
            .to_string()
            .parse()
            .unwrap(),
        domain: domain.parse().unwrap(),
        slots: 2,
        phase: Phase::Ready,
        cold_ms: 0,
        sequence: 1,
    }
}

pub(crate) fn plan(version: u64) -> Arc<Plan> {
    Arc::new(Plan {
        version,
        routes: vec![Route {
            name: "r".into(),
            address: ROUTE.parse().unwrap(),
            deadline_ms: 800,
            targets: vec![Target {
                service: "booking".into(),
                weight: 1,
            }],
        }],
        services: vec![Service {
            name: "booking".into(),
        }],
        idle_ms: 15_000,
        text: "{}".into(),
    })
}

/// Returns a gateway in domain `a` with a plan. The gateway has the complete list of one control VM
/// with the given upstreams (id and domain), received long enough ago to be settled at
/// [`SETTLED_MS`].
pub(crate) fn gateway(upstreams: &[(u64, &str)]) -> Gateway {
    gateway_named("entry-1", upstreams)
}

/// Returns the same gateway, but of VM `vm`.
pub(crate) fn gateway_named(vm: &str, upstreams: &[(u64, &str)]) -> Gateway {
    let mut gateway = gateway_in_domain(vm, "a", 1);
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    for (id, domain) in upstreams {
        gateway.announce(at(0), control_vm(1), announcement(*id, domain), 0);
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    gateway
}

/// Returns the message of a control VM that counts `count` entry VMs in the failure domain.
pub(crate) fn peer_count(count: u32) -> Peers {
    Peers {
        count,
        is_same_domain: false,
    }
}

/// Returns a gateway without a plan, upstreams or flows.
pub(crate) fn empty_gateway() -> Gateway {
    gateway_in_domain("entry-1", "a", 1)
}

/// Returns an empty gateway of VM `vm` in `domain`.
pub(crate) fn gateway_in_domain(vm: &str, domain: &str, seed: u64) -> Gateway {
    Gateway::new(Settings {
        vm: vm.into(),
        domain: domain.parse().unwrap(),
        seed,
    })
}

/// Returns a report of VM `vm` in `domain` on a probe of upstream `id` that started just now.
pub(crate) fn probe_report(vm: &str, domain: &str, id: u64, probed: ProbeOutcome) -> Report {
    Report {
        vm: vm.into(),
        domain: domain.parse().unwrap(),
        results: vec![ProbeReport {
            upstream: announcement(id, domain).incarnation,
            probed,
            age_ms: 0,
        }],
    }
}

/// Time in milliseconds from which on a gateway regards its directory as complete.
pub(crate) const SETTLED_MS: u64 = 2_000;

pub(crate) fn flow_key(port: u16) -> Key {
    Key {
        client: SocketAddr::from(([100, 64, 0, 1], port))
            .to_string()
            .parse()
            .unwrap(),
        service: ROUTE.parse().unwrap(),
    }
}

pub(crate) fn opening_packet(port: u16, copy: u32) -> Segment {
    Segment {
        key: flow_key(port),
        kind: Kind::Open { copy },
        token: 0,
        sequence: 100,
        acknowledged: copy,
        length: 0,
    }
}

/// Returns a packet of an open flow with data from sequence number `sequence` on.
pub(crate) fn data_packet(
    port: u16,
    token: u32,
    sequence: u32,
    length: u16,
    acknowledged: u32,
) -> Segment {
    Segment {
        key: flow_key(port),
        kind: Kind::Data,
        token,
        sequence,
        acknowledged,
        length,
    }
}

/// Returns the upstream that a decision forwards to.
pub(crate) fn chosen_upstream(decision: Decision) -> Option<u64> {
    match decision.action {
        Action::Forward { id, .. } => Some(id),
        Action::Reset | Action::Hold | Action::Drop => None,
    }
}

pub(crate) fn agreed_state(index: u64, out: &[&str]) -> Agreed {
    Agreed {
        index,
        plan: Some(1),
        domains_out: out.iter().map(|d| d.parse().unwrap()).collect(),
        controls: vec![control_vm(1)],
    }
}

/// Returns the action and the reason of a decision.
pub(crate) fn action_and_reason(decision: Decision) -> (Action, Reason) {
    (decision.action, decision.reason)
}
