//! Decisions on packets: placement of flows, repeated opening packets, tokens and resets, and the
//! effects of probes and reports on them.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::collections::BTreeSet;

use model::{
    plan::Target,
    routing::{Announced, Incarnation, Phase, ProbeOutcome},
};
use policy::token::{
    decision::{Action, Reason},
    gateway::Gateway,
    health::Probe,
    segment::{Kind, Segment},
};
use token_support::{
    SETTLED_MS, action_and_reason, agreed_state, announcement, at, chosen_upstream, control_vm,
    data_packet, empty_gateway, gateway, opening_packet, plan, probe_report,
};

/// Opens a flow and lets the client acknowledge the opening. Returns the upstream.
fn open_flow(gateway: &mut Gateway, ms: u64, port: u16) -> u64 {
    let decision = gateway.decide(at(ms), &opening_packet(port, 0));
    let id = chosen_upstream(decision).unwrap();
    gateway.decide(at(ms + 5), &data_packet(port, token_of(id), 101, 0, 1));
    id
}

fn token_of(id: u64) -> u32 {
    u32::try_from(id).unwrap()
}

/// Sends a request at `ms` that gets no answer, and its retransmission 200 ms later.
fn send_unanswered_request(gateway: &mut Gateway, ms: u64, port: u16, id: u64) {
    gateway.decide(at(ms), &data_packet(port, token_of(id), 101, 50, 1));
    gateway.decide(at(ms + 200), &data_packet(port, token_of(id), 101, 50, 1));
}

#[test]
fn packet_is_forwarded_by_its_token_on_any_vm() {
    let mut first = gateway(&[(1, "a"), (2, "b")]);
    let id = open_flow(&mut first, SETTLED_MS, 1);
    let mut second = gateway(&[(1, "a"), (2, "b")]);
    let decision = second.decide(at(SETTLED_MS), &data_packet(1, token_of(id), 101, 50, 1));
    assert_eq!(chosen_upstream(decision), Some(id));
    assert_eq!(decision.reason, Reason::Token);
}

#[test]
fn packet_without_known_token_is_dropped() {
    let mut gateway = gateway(&[(1, "a")]);
    for token in [0, 99] {
        let decision = gateway.decide(at(SETTLED_MS), &data_packet(1, token, 101, 50, 1));
        assert_eq!(
            action_and_reason(decision),
            (Action::Drop, Reason::UnknownToken)
        );
    }
}

#[test]
fn fresh_vm_holds_packets_it_cannot_decide_on() {
    let mut gateway = empty_gateway();
    let decision = gateway.decide(at(0), &opening_packet(1, 0));
    assert_eq!(action_and_reason(decision), (Action::Hold, Reason::NoPlan));
    let decision = gateway.decide(at(0), &data_packet(2, 7, 101, 50, 1));
    assert_eq!(
        action_and_reason(decision),
        (Action::Hold, Reason::UnknownToken)
    );
    assert!(gateway.is_ready(at(0)).is_err());
}

#[test]
fn vm_is_ready_once_it_has_a_plan_and_all_control_streams_are_synced() {
    let mut gateway = empty_gateway();
    for number in [1, 2] {
        gateway.add_control_stream(control_vm(number));
    }
    gateway.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    gateway.mark_control_stream_synced(at(10), control_vm(1));
    assert!(gateway.is_ready(at(11)).is_err(), "there is no plan");
    gateway.apply_plan(plan(1));
    assert!(
        gateway.is_ready(at(12)).is_err(),
        "one control VM is not synced"
    );
    gateway.mark_control_stream_synced(at(20), control_vm(2));
    gateway.is_ready(at(21)).unwrap();
    gateway.stop();
    assert!(gateway.is_ready(at(22)).is_err(), "the VM is about to stop");
}

#[test]
fn unresponsive_control_vm_does_not_prevent_readiness() {
    let mut gateway = empty_gateway();
    gateway.apply_plan(plan(1));
    for number in [1, 2] {
        gateway.add_control_stream(control_vm(number));
    }
    gateway.mark_control_stream_synced(at(10), control_vm(1));
    gateway.is_ready(at(1_200)).unwrap();
}

#[test]
fn flow_without_route_or_upstream_is_reset_at_once() {
    let mut gateway = gateway(&[(1, "a")]);
    let mut unrouted = opening_packet(1, 0);
    unrouted.key.service = "198.18.0.9:80".parse().unwrap();
    let decision = gateway.decide(at(SETTLED_MS), &unrouted);
    assert_eq!(
        action_and_reason(decision),
        (Action::Reset, Reason::NoRoute)
    );
    gateway.update_agreed(agreed_state(2, &["a"]));
    let decision = gateway.decide(at(SETTLED_MS), &opening_packet(2, 0));
    assert_eq!(
        action_and_reason(decision),
        (Action::Reset, Reason::NoUpstream)
    );
}

#[test]
fn domain_that_is_out_gets_no_new_flows_and_keeps_open_flows() {
    let mut gateway = gateway(&[(1, "a"), (2, "b")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    assert_eq!(id, 1, "flows stay in their domain");
    assert!(gateway.update_agreed(agreed_state(2, &["a"])));
    for port in 10..60 {
        let decision = gateway.decide(at(SETTLED_MS), &opening_packet(port, 0));
        assert_eq!(chosen_upstream(decision), Some(2));
    }
    let decision = gateway.decide(at(SETTLED_MS), &data_packet(1, 1, 101, 50, 1));
    assert_eq!(chosen_upstream(decision), Some(1));
    // An older state from a lagging control VM changes nothing.
    assert!(!gateway.update_agreed(agreed_state(1, &[])));
    let decision = gateway.decide(at(SETTLED_MS), &opening_packet(99, 0));
    assert_eq!(chosen_upstream(decision), Some(2));
}

#[test]
fn older_plan_never_replaces_newer_plan() {
    let mut gateway = gateway(&[(1, "a")]);
    assert!(gateway.apply_plan(plan(9)));
    assert!(!gateway.apply_plan(plan(8)));
    assert!(!gateway.apply_plan(plan(9)));
    assert_eq!(gateway.plan_version(), Some(9));
    assert_eq!(gateway.plan_version_to_request(Some(9)), None);
    assert_eq!(gateway.plan_version_to_request(Some(10)), Some(10));
}

#[test]
fn draining_or_cold_upstream_gets_no_new_flows() {
    let mut gateway = gateway(&[(1, "a"), (2, "a"), (3, "a")]);
    let draining = Announced {
        phase: Phase::Draining,
        sequence: 2,
        ..announcement(1, "a")
    };
    gateway.announce(at(1), control_vm(1), draining, 0);
    let cold = Announced {
        incarnation: Incarnation {
            id: 2,
            started_ms: 9_000,
        },
        cold_ms: 60_000,
        ..announcement(2, "a")
    };
    gateway.announce(at(1), control_vm(1), cold, 0);
    for port in 1..100 {
        let decision = gateway.decide(at(SETTLED_MS), &opening_packet(port, 0));
        assert_eq!(chosen_upstream(decision), Some(3));
    }
}

#[test]
fn new_flows_are_split_by_weight_among_services_with_upstreams() {
    let mut gateway = gateway(&[(1, "a")]);
    let other = Announced {
        service: "planroom".into(),
        ..announcement(2, "a")
    };
    gateway.announce(at(0), control_vm(1), other, 0);
    let mut weighted = plan(2).as_ref().clone();
    weighted.routes[0].targets = [("booking", 90), ("planroom", 10), ("empty", 900)]
        .map(|(service, weight)| Target {
            service: service.into(),
            weight,
        })
        .to_vec();
    gateway.apply_plan(weighted.into());
    let placed = (1..=1_000).map(|port| gateway.decide(at(SETTLED_MS), &opening_packet(port, 0)));
    let second = placed.filter(|d| chosen_upstream(*d) == Some(2)).count();
    assert!((60..150).contains(&second), "{second} of 1000 flows");
}

#[test]
fn repeated_opening_goes_to_same_upstream_if_it_answers_others() {
    let mut gateway = gateway(&[(1, "a"), (2, "a"), (3, "a")]);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    // Another flow at the same upstream gets an answer, so a packet of the first flow must have
    // been lost.
    let mut place =
        |port: &u16| chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(*port, 0)));
    let other = (2..).find(|port| place(port) == Some(id)).unwrap();
    gateway.decide(
        at(SETTLED_MS + 50),
        &data_packet(other, token_of(id), 101, 0, 1),
    );
    let decision = gateway.decide(at(SETTLED_MS + 200), &opening_packet(1, 1));
    assert_eq!(chosen_upstream(decision), Some(id));
    assert_eq!(decision.reason, Reason::Repeated);
}

/// Opens a flow that gets no answer, and repeats the opening packet, which waits for a probe. Returns the
/// gateway and the upstream.
fn gateway_with_repeated_opening() -> (Gateway, u64) {
    let mut gateway = gateway(&[(1, "a"), (2, "a"), (3, "a")]);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    let held = gateway.decide(at(SETTLED_MS + 200), &opening_packet(1, 1));
    assert_eq!(action_and_reason(held), (Action::Hold, Reason::Probing));
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 201), [id]);
    (gateway, id)
}

/// Checks that the opening packet goes to another upstream than `id`, which gets no new flows either.
fn check_that_flow_moves_on(mut gateway: Gateway, id: u64, ms: u64) {
    let decision = gateway.decide(at(ms), &opening_packet(1, 1));
    assert!(chosen_upstream(decision).is_some_and(|other| other != id));
    assert_eq!(decision.reason, Reason::MovedOn);
    for port in 10..60 {
        let decision = gateway.decide(at(ms), &opening_packet(port, 0));
        assert_ne!(chosen_upstream(decision), Some(id));
    }
}

#[test]
fn repeated_opening_goes_to_another_upstream_if_the_first_answers_nobody() {
    for outcome in [ProbeOutcome::Refused, ProbeOutcome::Silent] {
        let (mut gateway, id) = gateway_with_repeated_opening();
        gateway.record_probe(at(SETTLED_MS + 205), id, outcome);
        check_that_flow_moves_on(gateway, id, SETTLED_MS + 205);
    }
}

#[test]
fn repeated_opening_does_not_wait_for_a_late_probe() {
    let (mut gateway, id) = gateway_with_repeated_opening();
    let probe_started_ms = SETTLED_MS + 201;
    let waits = gateway.decide(at(probe_started_ms + 99), &opening_packet(1, 1));
    assert_eq!(action_and_reason(waits), (Action::Hold, Reason::Probing));
    check_that_flow_moves_on(gateway, id, probe_started_ms + 100);
}

#[test]
fn last_copy_of_an_opening_packet_does_not_wait_for_a_probe_that_has_not_started() {
    let mut gateway = gateway(&[(1, "a"), (2, "a"), (3, "a")]);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    let held = gateway.decide(at(SETTLED_MS + 200), &opening_packet(1, 1));
    assert_eq!(action_and_reason(held), (Action::Hold, Reason::Probing));
    check_that_flow_moves_on(gateway, id, SETTLED_MS + 600);
}

/// Guards against two upstreams that answer one client because an answer was lost: the client would keep
/// the token of the wrong one.
#[test]
fn repeated_opening_goes_to_same_upstream_once_if_it_accepts_a_probe() {
    let (mut gateway, id) = gateway_with_repeated_opening();
    gateway.record_probe(at(SETTLED_MS + 203), id, ProbeOutcome::Accepted);
    let decision = gateway.decide(at(SETTLED_MS + 203), &opening_packet(1, 1));
    assert_eq!(chosen_upstream(decision), Some(id));
    assert_eq!(decision.reason, Reason::Repeated);
    // It may be full, so the next copy goes elsewhere.
    check_that_flow_moves_on(gateway, id, SETTLED_MS + 500);
}

#[test]
fn flows_of_crashed_upstream_are_reset_after_refused_probe() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    send_unanswered_request(&mut gateway, SETTLED_MS + 100, 1, id);
    let now = at(SETTLED_MS + 301);
    assert_eq!(gateway.due_probes(now).len(), 1);
    assert!(gateway.record_probe(now, id, ProbeOutcome::Refused));
    let decision = gateway.decide(now, &data_packet(1, token_of(id), 101, 50, 1));
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
}

#[test]
fn flows_of_busy_upstream_are_never_reset() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    for round in 0..5 {
        let ms = SETTLED_MS + 100 + round * 1_000;
        send_unanswered_request(&mut gateway, ms, 1, id);
        for Probe { id, .. } in gateway.due_probes(at(ms + 201)) {
            gateway.record_probe(at(ms + 205), id, ProbeOutcome::Accepted);
        }
        let decision = gateway.decide(at(ms + 400), &data_packet(1, token_of(id), 101, 50, 1));
        assert_eq!(chosen_upstream(decision), Some(id));
    }
}

#[test]
fn lost_packet_causes_no_probe_if_upstream_answers_others() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    gateway.decide(at(SETTLED_MS + 50), &opening_packet(2, 0));
    gateway.decide(
        at(SETTLED_MS + 100),
        &data_packet(1, token_of(id), 101, 50, 1),
    );
    // Meanwhile, another flow gets an answer.
    gateway.decide(
        at(SETTLED_MS + 150),
        &data_packet(2, token_of(id), 101, 0, 1),
    );
    gateway.decide(
        at(SETTLED_MS + 300),
        &data_packet(1, token_of(id), 101, 50, 1),
    );
    assert_eq!(gateway.due_probes(at(SETTLED_MS + 301)), []);
}

#[test]
fn first_packet_of_flow_placed_by_another_vm_does_not_clear_down_status() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    send_unanswered_request(&mut gateway, SETTLED_MS + 10, 1, id);
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 300), [id]);
    gateway.record_probe(at(SETTLED_MS + 301), id, ProbeOutcome::Silent);
    // Flows whose packets reached another VM until now, as when the fabric changes its choice of
    // VM.
    for port in 2..5 {
        let packet = data_packet(port, token_of(id), 101, 50, 9_000);
        let decision = gateway.decide(at(SETTLED_MS + 302), &packet);
        assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
    }
}

#[test]
fn restart_clears_down_status() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    send_unanswered_request(&mut gateway, SETTLED_MS + 10, 1, id);
    gateway.due_probes(at(SETTLED_MS + 211));
    gateway.record_probe(at(SETTLED_MS + 450), id, ProbeOutcome::Silent);
    assert!(gateway.is_ready(at(SETTLED_MS + 460)).is_err());
    let restarted = Announced {
        incarnation: Incarnation {
            id,
            started_ms: 9_000,
        },
        ..announcement(id, "a")
    };
    gateway.announce(at(SETTLED_MS + 470), control_vm(1), restarted, 0);
    gateway.is_ready(at(SETTLED_MS + 471)).unwrap();
    let decision = gateway.decide(at(SETTLED_MS + 472), &opening_packet(9, 0));
    assert_eq!(chosen_upstream(decision), Some(id));
}

#[test]
fn silent_upstream_causes_probes_of_its_whole_domain() {
    let mut gateway = gateway(&[(1, "b"), (2, "b"), (3, "b"), (4, "a")]);
    gateway.update_agreed(agreed_state(2, &["a"]));
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    send_unanswered_request(&mut gateway, SETTLED_MS + 10, 1, id);
    let now = at(SETTLED_MS + 300);
    assert_eq!(gateway.due_probes(now).len(), 1);
    gateway.record_probe(now, id, ProbeOutcome::Silent);
    let others: BTreeSet<u64> = gateway.due_probes(now).iter().map(|p| p.id).collect();
    assert_eq!(others, [1, 2, 3].into_iter().filter(|i| *i != id).collect());
    for other in others {
        gateway.record_probe(now, other, ProbeOutcome::Silent);
    }
    // No upstream is reachable here, so the fabric should prefer other failure domains.
    assert!(gateway.is_ready(now).is_err());
    // Probes continue, and one accepted probe makes the VM ready again.
    let later = at(SETTLED_MS + 900);
    assert_eq!(gateway.due_probes(later).len(), 3);
    gateway.record_probe(later, 2, ProbeOutcome::Accepted);
    gateway.is_ready(later).unwrap();
}

/// Returns the ids of the upstreams with due probes.
fn due_probe_ids(gateway: &mut Gateway, ms: u64) -> Vec<u64> {
    let probes = gateway.due_probes(at(ms));
    probes.into_iter().map(|probe| probe.id).collect()
}

#[test]
fn unannounced_upstream_is_probed_before_a_client_waits_for_it() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    let incarnation = announcement(id, "a").incarnation;
    assert!(gateway.remove_claim(at(SETTLED_MS + 5_000), control_vm(1), incarnation));
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 5_000), [id]);
    gateway.record_probe(at(SETTLED_MS + 5_250), id, ProbeOutcome::Silent);
    // Probes continue.
    for due_ms in [5_750, 7_000] {
        assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + due_ms - 1), []);
        assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + due_ms), [id]);
        gateway.record_probe(at(SETTLED_MS + due_ms + 250), id, ProbeOutcome::Silent);
    }
    // The flow has been idle since; its next packet is reset at once.
    let packet = data_packet(1, token_of(id), 101, 50, 1);
    let decision = gateway.decide(at(SETTLED_MS + 9_000), &packet);
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
    // A new announcement makes the next probe due at once.
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 9_009), []);
    gateway.announce(
        at(SETTLED_MS + 9_010),
        control_vm(1),
        announcement(id, "a"),
        0,
    );
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 9_010), [id]);
}

#[test]
fn reported_upstream_is_confirmed_by_own_probe() {
    let upstreams = [(1, "a"), (2, "a"), (3, "a")];
    let (mut first, mut second) = (gateway(&upstreams), gateway(&upstreams));
    let id = open_flow(&mut first, SETTLED_MS, 1);
    send_unanswered_request(&mut first, SETTLED_MS + 100, 1, id);
    let now = SETTLED_MS + 301;
    assert_eq!(due_probe_ids(&mut first, now), [id]);
    first.record_probe(at(now), id, ProbeOutcome::Silent);
    let findings = first.take_probe_reports(at(now));
    assert_eq!(
        findings,
        probe_report("entry-1", "a", id, ProbeOutcome::Silent).results
    );
    assert_eq!(first.take_probe_reports(at(now)), []);
    second.apply_report(
        at(now),
        &probe_report("entry-2", "a", id, ProbeOutcome::Silent),
    );
    // This VM first makes its own probe, because the other VM may be cut off.
    let packet = data_packet(1, token_of(id), 101, 50, 1);
    assert_eq!(chosen_upstream(second.decide(at(now), &packet)), Some(id));
    assert_eq!(due_probe_ids(&mut second, now), [id]);
    second.record_probe(at(now + 1), id, ProbeOutcome::Silent);
    let decision = second.decide(at(now + 2), &packet);
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
    // The VM reports the result of its own probe, but doesn't probe the whole domain for one
    // upstream.
    assert_eq!(second.take_probe_reports(at(now + 1)).len(), 1);
    assert_eq!(due_probe_ids(&mut second, now + 2), []);
    second.apply_report(
        at(now + 3),
        &probe_report("entry-2", "a", 99, ProbeOutcome::Silent),
    );
    assert_eq!(due_probe_ids(&mut second, now + 3), []);
}

#[test]
fn probe_interval_of_unannounced_upstream_doubles_up_to_its_limit() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    send_unanswered_request(&mut gateway, SETTLED_MS + 100, 1, id);
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 300), [id]);
    gateway.remove_claim(
        at(SETTLED_MS + 400),
        control_vm(1),
        announcement(id, "a").incarnation,
    );
    // The probe may have failed because of a lost packet.
    let mut ms = SETTLED_MS + 550;
    for wait_ms in [500, 1_000, 2_000, 4_000, 4_000] {
        gateway.record_probe(at(ms), id, ProbeOutcome::Silent);
        assert_eq!(due_probe_ids(&mut gateway, ms + wait_ms - 1), []);
        assert_eq!(due_probe_ids(&mut gateway, ms + wait_ms), [id]);
        ms += wait_ms + 250;
    }
    gateway.record_probe(at(ms), id, ProbeOutcome::Accepted);
    assert!(!gateway.is_down(id));
}

/// Returns the announcement of upstream 9, which took over the address of upstream `id`.
fn successor(id: u64) -> Announced {
    let incarnation = Incarnation {
        id: 9,
        started_ms: 9_000,
    };
    Announced {
        incarnation,
        ..announcement(id, "a")
    }
}

#[test]
fn accepted_probe_of_successor_at_same_address_does_not_count() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    gateway.announce(at(SETTLED_MS + 50), control_vm(1), successor(id), 0);
    // No client has shown a fault yet, and the supposed successor may have started earlier by
    // another clock.
    gateway.apply_report(
        at(SETTLED_MS + 60),
        &probe_report("entry-2", "a", id, ProbeOutcome::Silent),
    );
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 60), [id]);
    gateway.record_probe(at(SETTLED_MS + 62), id, ProbeOutcome::Accepted);
    let packet = data_packet(1, token_of(id), 101, 50, 1);
    assert_eq!(
        chosen_upstream(gateway.decide(at(SETTLED_MS + 100), &packet)),
        Some(id)
    );
    gateway.decide(at(SETTLED_MS + 300), &packet);
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 300), [id]);
    assert!(gateway.record_probe(at(SETTLED_MS + 302), id, ProbeOutcome::Accepted));
    let decision = gateway.decide(at(SETTLED_MS + 700), &packet);
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
    let finding = gateway
        .take_probe_reports(at(SETTLED_MS + 700))
        .pop()
        .unwrap();
    assert_eq!(
        (finding.upstream.id, finding.probed),
        (id, ProbeOutcome::Refused)
    );
}

#[test]
fn unannounced_upstream_with_successor_is_down_without_probe() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    gateway.announce(at(SETTLED_MS + 50), control_vm(1), successor(id), 0);
    gateway.remove_claim(
        at(SETTLED_MS + 4_000),
        control_vm(1),
        announcement(id, "a").incarnation,
    );
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 4_000), []);
    let packet = data_packet(1, token_of(id), 101, 50, 1);
    let decision = gateway.decide(at(SETTLED_MS + 5_000), &packet);
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
}

#[test]
fn waiting_clients_are_reset_as_soon_as_their_upstream_is_down() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    for port in [2, 3] {
        open_flow(&mut gateway, SETTLED_MS, port);
    }
    // Clients 1 and 2 wait for an answer, client 3 is idle.
    gateway.decide(
        at(SETTLED_MS + 290),
        &data_packet(2, token_of(id), 101, 50, 1),
    );
    send_unanswered_request(&mut gateway, SETTLED_MS + 100, 1, id);
    assert_eq!(due_probe_ids(&mut gateway, SETTLED_MS + 300), [id]);
    gateway.record_probe(at(SETTLED_MS + 301), id, ProbeOutcome::Refused);
    let resets = gateway.take_pending_resets();
    let port_and_ack = |s: &Segment| (s.key.client.port(), s.acknowledged);
    assert_eq!(
        resets.iter().map(port_and_ack).collect::<Vec<_>>(),
        [(1, 1), (2, 1)]
    );
    assert!(gateway.take_pending_resets().is_empty());
}

#[test]
fn flows_of_stopped_upstream_are_reset_after_grace_period() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    let stopped = Announced {
        phase: Phase::Gone,
        ..announcement(id, "a")
    };
    gateway.announce(at(SETTLED_MS + 10), control_vm(1), stopped, 0);
    let packet = data_packet(1, token_of(id), 101, 50, 1);
    assert_eq!(
        chosen_upstream(gateway.decide(at(SETTLED_MS + 100), &packet)),
        Some(id)
    );
    let decision = gateway.decide(at(SETTLED_MS + 600), &packet);
    assert_eq!(
        action_and_reason(decision),
        (Action::Reset, Reason::Stopped)
    );
    let mut reset = packet;
    reset.kind = Kind::Reset;
    assert_eq!(
        gateway.decide(at(SETTLED_MS + 700), &reset).action,
        Action::Drop
    );
}

#[test]
fn fresh_vm_places_no_flows_before_most_upstreams_announced_themselves() {
    let mut gateway = empty_gateway();
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    for id in 1..=6 {
        gateway.add_recalled(at(0), announcement(id, "a"));
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    gateway.announce(at(10), control_vm(1), announcement(1, "a"), 0);
    let decision = gateway.decide(at(20), &opening_packet(1, 0));
    assert_eq!(
        action_and_reason(decision),
        (Action::Hold, Reason::Gathering)
    );
    // Packets of open flows to the other upstreams are still forwarded.
    assert_eq!(
        chosen_upstream(gateway.decide(at(20), &data_packet(2, 5, 101, 50, 1))),
        Some(5)
    );
    for id in [2, 3] {
        gateway.announce(at(30), control_vm(1), announcement(id, "a"), 0);
    }
    assert!(chosen_upstream(gateway.decide(at(40), &opening_packet(1, 0))).is_some());
}

#[test]
fn flows_are_removed_when_they_end_or_idle() {
    let mut gateway = gateway(&[(1, "a")]);
    open_flow(&mut gateway, SETTLED_MS, 1);
    open_flow(&mut gateway, SETTLED_MS, 2);
    assert_eq!(gateway.flows(), 2);
    let mut last = data_packet(1, 1, 101, 0, 2);
    last.kind = Kind::Finish;
    gateway.decide(at(SETTLED_MS + 10), &last);
    gateway.tick(at(SETTLED_MS + 20));
    assert_eq!(gateway.flows(), 1);
    gateway.tick(at(SETTLED_MS + 30_000));
    assert_eq!(gateway.flows(), 0);
}

#[test]
fn reordered_packets_are_neither_retransmissions_nor_answers() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    let ms = SETTLED_MS + 20;
    // Two packets of one request arrive in reverse order.
    gateway.decide(at(ms), &data_packet(1, token_of(id), 201, 50, 1));
    let overtaken = gateway.decide(at(ms + 1), &data_packet(1, token_of(id), 101, 100, 1));
    assert_eq!(overtaken.waited_ms, None);
    assert_eq!(gateway.due_probes(at(ms + 2)), []);
    let answer = gateway.decide(at(ms + 40), &data_packet(1, token_of(id), 251, 0, 800));
    assert_eq!(answer.waited_ms, Some(40));
    // The next request is sent, then an older acknowledgement arrives.
    gateway.decide(at(ms + 100), &data_packet(1, token_of(id), 251, 50, 800));
    let late = gateway.decide(at(ms + 101), &data_packet(1, token_of(id), 251, 0, 1));
    assert_eq!(late.waited_ms, None);
    let answer = gateway.decide(at(ms + 130), &data_packet(1, token_of(id), 301, 0, 1_600));
    assert_eq!(answer.waited_ms, Some(30));
}

#[test]
fn reopened_flow_is_placed_again() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    let mut finish = data_packet(1, token_of(id), 101, 0, 1);
    finish.kind = Kind::Finish;
    gateway.decide(at(SETTLED_MS + 10), &finish);
    // Acknowledgement of the end of the upstream's direction.
    gateway.decide(
        at(SETTLED_MS + 11),
        &data_packet(1, token_of(id), 102, 0, 2),
    );
    let (_, why) = action_and_reason(gateway.decide(at(SETTLED_MS + 500), &opening_packet(1, 0)));
    assert_eq!(why, Reason::Placed);
}

#[test]
fn next_probe_returns_time_of_next_due_probe() {
    let mut gateway = gateway(&[(1, "a")]);
    let id = open_flow(&mut gateway, SETTLED_MS, 1);
    assert_eq!(gateway.next_probe(), None);
    send_unanswered_request(&mut gateway, SETTLED_MS + 10, 1, id);
    let first_probe_at = at(SETTLED_MS + 210);
    assert_eq!(gateway.next_probe(), Some(first_probe_at));
    assert_eq!(gateway.due_probes(first_probe_at).len(), 1);
    assert_eq!(gateway.next_probe(), None);
    gateway.record_probe(at(SETTLED_MS + 300), id, ProbeOutcome::Refused);
    let second_probe_at = at(SETTLED_MS + 800);
    assert_eq!(gateway.next_probe(), Some(second_probe_at));
    assert_eq!(gateway.due_probes(second_probe_at).len(), 1);
}
