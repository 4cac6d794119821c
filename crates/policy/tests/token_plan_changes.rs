//! Opening packets of flows that were first seen under an earlier plan.
//!
//! Guards against a copy of an opening packet that goes to the service that the route had before: the
//! first copy found no room, and the plan has changed since.

mod token_support;

use std::sync::Arc;

use model::{
    plan::{Plan, Service, Target},
    routing::{Announced, Phase},
};
use policy::token::{
    decision::{Action, Reason},
    gateway::Gateway,
};
use token_support::{
    SETTLED_MS, action_and_reason, agreed_state, announcement, at, chosen_upstream, control_vm,
    data_packet, empty_gateway, gateway, opening_packet, plan,
};

/// Upstreams of the services `booking` and `planroom`.
const BOOKING: [u64; 2] = [1, 2];
const PLANROOM: [u64; 2] = [11, 12];

/// Time in milliseconds of the first copy of an opening packet, and of its repetitions.
const FIRST_MS: u64 = SETTLED_MS;
const COPIES_MS: [u64; 2] = [FIRST_MS + 200, FIRST_MS + 600];

/// Returns the plan that sends new flows to `targets`, each a service with its weight.
fn plan_to(version: u64, targets: &[(&str, u32)]) -> Arc<Plan> {
    let mut changed = plan(version).as_ref().clone();
    changed.services = ["booking", "planroom"]
        .map(|s| Service { name: s.into() })
        .into();
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    changed.routes[0].targets = targets.collect();
    changed.into()
}

fn add_planroom(gateway: &mut Gateway) {
    for id in PLANROOM {
        let upstream = Announced {
            service: "planroom".into(),
            ..announcement(id, "a")
        };
        gateway.announce(at(0), control_vm(1), upstream, 0);
    }
}

/// Returns a gateway that has sent the opening packet of port 1 to an upstream of `booking`, which
/// answers other clients but not this one, and the upstream.
fn gateway_with_ignored_opening() -> (Gateway, u64) {
    let mut gateway = gateway(&BOOKING.map(|id| (id, "a")));
    add_planroom(&mut gateway);
    let id = chosen_upstream(gateway.decide(at(FIRST_MS), &opening_packet(1, 0)));
    let id = id.unwrap_or_default();
    assert!(BOOKING.contains(&id));
    let mut place =
        |port: &u16| chosen_upstream(gateway.decide(at(FIRST_MS + 1), &opening_packet(*port, 0)));
    let other = (2..)
        .find(|port| place(port) == Some(id))
        .unwrap_or_default();
    let token = u32::try_from(id).unwrap_or_default();
    gateway.decide(at(FIRST_MS + 50), &data_packet(other, token, 101, 0, 1));
    (gateway, id)
}

#[test]
fn copy_of_an_opening_packet_follows_the_route_to_its_new_service() {
    for targets in [
        &[("planroom", 1)][..],
        &[("booking", 0), ("planroom", 1)][..],
    ] {
        let (mut gateway, _) = gateway_with_ignored_opening();
        gateway.apply_plan(plan_to(2, targets));
        let decision = gateway.decide(at(COPIES_MS[0]), &opening_packet(1, 1));
        let id = chosen_upstream(decision).unwrap_or_default();
        assert!(PLANROOM.contains(&id), "{decision:?}");
        assert_eq!(decision.reason, Reason::Rerouted);
        // The plan changes once more, back to the first service.
        gateway.apply_plan(plan_to(3, &[("booking", 1)]));
        let decision = gateway.decide(at(COPIES_MS[1]), &opening_packet(1, 2));
        let id = chosen_upstream(decision).unwrap_or_default();
        assert!(BOOKING.contains(&id), "{decision:?}");
    }
}

#[test]
fn copy_of_an_opening_packet_stays_if_the_plan_still_leads_to_its_service() {
    let (mut gateway, id) = gateway_with_ignored_opening();
    gateway.apply_plan(plan_to(2, &[("booking", 1), ("planroom", 99)]));
    let decision = gateway.decide(at(COPIES_MS[0]), &opening_packet(1, 1));
    assert_eq!(chosen_upstream(decision), Some(id));
    assert_eq!(decision.reason, Reason::Repeated);
}

#[test]
fn copy_of_an_opening_packet_is_reset_if_its_route_is_gone() {
    let (mut gateway, _) = gateway_with_ignored_opening();
    let mut without_route = plan(2).as_ref().clone();
    without_route.routes.clear();
    gateway.apply_plan(without_route.into());
    let decision = gateway.decide(at(COPIES_MS[0]), &opening_packet(1, 1));
    assert_eq!(
        action_and_reason(decision),
        (Action::Reset, Reason::NoRoute)
    );
}

/// Guards against a second upstream that answers: the client would keep the token of the wrong one.
#[test]
fn copy_of_an_opening_packet_stays_at_the_upstream_where_the_flow_is_open() {
    let draining = |id| Announced {
        phase: Phase::Draining,
        sequence: 2,
        ..announcement(id, "a")
    };
    type Change = Box<dyn Fn(&mut Gateway, u64)>;
    let changes: [Change; 3] = [
        Box::new(|gateway, _| assert!(gateway.apply_plan(plan_to(2, &[("planroom", 1)])))),
        Box::new(|gateway, _| assert!(gateway.update_agreed(agreed_state(2, &["a"])))),
        Box::new(move |gateway, id| {
            gateway.announce(at(FIRST_MS + 150), control_vm(1), draining(id), 0);
        }),
    ];
    for change in changes {
        let (mut gateway, id) = gateway_with_ignored_opening();
        let token = u32::try_from(id).unwrap_or_default();
        gateway.decide(at(FIRST_MS + 100), &data_packet(1, token, 101, 0, 1));
        change(&mut gateway, id);
        let decision = gateway.decide(at(COPIES_MS[0]), &opening_packet(1, 1));
        assert_eq!(chosen_upstream(decision), Some(id));
        assert_eq!(decision.reason, Reason::Repeated);
    }
}

#[test]
fn held_opening_packet_is_decided_on_by_the_newest_plan() {
    let mut gateway = empty_gateway();
    gateway.add_control_stream(control_vm(1));
    for id in BOOKING {
        gateway.announce(at(0), control_vm(1), announcement(id, "a"), 0);
    }
    add_planroom(&mut gateway);
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    let held = gateway.decide(at(FIRST_MS), &opening_packet(1, 0));
    assert_eq!(action_and_reason(held), (Action::Hold, Reason::NoPlan));
    gateway.apply_plan(plan_to(2, &[("booking", 1)]));
    gateway.apply_plan(plan_to(3, &[("planroom", 1)]));
    let decision = gateway.decide(at(FIRST_MS + 100), &opening_packet(1, 0));
    let id = chosen_upstream(decision).unwrap_or_default();
    assert!(PLANROOM.contains(&id), "{decision:?}");
}
