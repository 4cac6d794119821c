//! Packets of open flows whose upstream was found down some time ago.
//!
//! Guards against flows of a live upstream that are reset on an outdated probe result: a network cut
//! may refuse connections or drop them, and end before the upstream announces itself again.

mod token_support;

use model::{
    plan::Service,
    routing::{Announced, Incarnation, Phase, ProbeOutcome},
};
use policy::token::{
    decision::{Action, Reason},
    gateway::Gateway,
};
use token_support::{
    SETTLED_MS, action_and_reason, announcement, at, chosen_upstream, control_vm, data_packet,
    gateway, opening_packet, plan, probe_report,
};

/// Time in milliseconds at which the control VM reports the upstream as silent.
const SILENT_AT_MS: u64 = SETTLED_MS + 4_000;

/// Time in milliseconds after a probe from which on its result no longer justifies a reset; half of
/// the time for which flows of an upstream that was cut off may suffer.
const OUTDATED_MS: u64 = 2_000;

/// Time after which an unannounced upstream is probed again, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 4_000;

/// Returns a gateway with idle flows from ports 1 to 3 to upstream 1, which no control VM hears any
/// longer and which a probe at [`SILENT_AT_MS`] has found `outcome`.
fn gateway_with_down_upstream(outcome: ProbeOutcome) -> Gateway {
    let mut gateway = gateway(&[(1, "a")]);
    for port in 1..=3 {
        let opened = gateway.decide(at(SETTLED_MS), &opening_packet(port, 0));
        assert_eq!(chosen_upstream(opened), Some(1));
        gateway.decide(at(SETTLED_MS + 5), &data_packet(port, 1, 101, 0, 1));
    }
    let incarnation = announcement(1, "a").incarnation;
    assert!(gateway.remove_claim(at(SILENT_AT_MS), control_vm(1), incarnation));
    assert_eq!(due_probes(&mut gateway, SILENT_AT_MS), [1]);
    gateway.record_probe(at(SILENT_AT_MS), 1, outcome);
    gateway
}

fn due_probes(gateway: &mut Gateway, ms: u64) -> Vec<u64> {
    let probes = gateway.due_probes(at(ms));
    probes.into_iter().map(|probe| probe.id).collect()
}

/// Sends a request on the flow from `port` at `ms`, and returns the decision.
fn send_request(gateway: &mut Gateway, ms: u64, port: u16) -> (Action, Reason) {
    action_and_reason(gateway.decide(at(ms), &data_packet(port, 1, 101, 50, 1)))
}

fn is_forwarded((action, _): (Action, Reason)) -> bool {
    matches!(action, Action::Forward { id: 1, .. })
}

const DOWN: [ProbeOutcome; 2] = [ProbeOutcome::Refused, ProbeOutcome::Silent];
const RESET: (Action, Reason) = (Action::Reset, Reason::Down);

#[test]
fn flows_are_reset_while_the_result_is_recent() {
    for outcome in DOWN {
        let mut gateway = gateway_with_down_upstream(outcome);
        let ms = SILENT_AT_MS + OUTDATED_MS;
        assert_eq!(send_request(&mut gateway, ms, 1), RESET, "{outcome:?}");
    }
}

#[test]
fn flows_of_an_upstream_that_is_back_are_not_reset_on_an_outdated_result() {
    for outcome in DOWN {
        let mut gateway = gateway_with_down_upstream(outcome);
        // No probe has run since, as in a VM that was frozen or whose probe budget is spent.
        let ms = SILENT_AT_MS + OUTDATED_MS + 1;
        assert!(
            is_forwarded(send_request(&mut gateway, ms, 1)),
            "{outcome:?}"
        );
        assert_eq!(due_probes(&mut gateway, ms), [1]);
        gateway.record_probe(at(ms + 2), 1, ProbeOutcome::Accepted);
        assert!(gateway.take_pending_resets().is_empty());
        assert!(is_forwarded(send_request(&mut gateway, ms + 3, 2)));
    }
}

#[test]
fn waiting_clients_are_reset_once_a_new_probe_finds_the_upstream_down() {
    for (before, after) in DOWN.into_iter().flat_map(|b| DOWN.map(|a| (b, a))) {
        let mut gateway = gateway_with_down_upstream(before);
        let ms = SILENT_AT_MS + OUTDATED_MS + 1;
        send_request(&mut gateway, ms, 1);
        send_request(&mut gateway, ms + 1, 2);
        assert_eq!(due_probes(&mut gateway, ms + 1), [1]);
        gateway.record_probe(at(ms + 2), 1, after);
        let resets = gateway.take_pending_resets();
        let ports = resets.iter().map(|segment| segment.key.client.port());
        assert_eq!(ports.collect::<Vec<_>>(), [1, 2], "{before:?}, {after:?}");
        assert_eq!(send_request(&mut gateway, ms + 3, 3), RESET);
    }
}

#[test]
fn report_of_another_vm_replaces_an_outdated_result() {
    for outcome in DOWN {
        let mut gateway = gateway_with_down_upstream(outcome);
        let ms = SILENT_AT_MS + OUTDATED_MS + 1;
        gateway.apply_report(at(ms), &probe_report("entry-2", "a", 1, outcome));
        assert_eq!(send_request(&mut gateway, ms + 1, 1), RESET, "{outcome:?}");
    }
}

#[test]
fn unannounced_upstream_is_probed_until_it_accepts() {
    for outcome in DOWN {
        let mut gateway = gateway_with_down_upstream(outcome);
        let mut ms = SILENT_AT_MS;
        for _ in 0..10 {
            ms = gateway.next_probe().unwrap().0 / 1_000;
            assert_eq!(due_probes(&mut gateway, ms), [1], "{outcome:?}");
            gateway.record_probe(at(ms + 1), 1, outcome);
        }
        let next_ms = gateway.next_probe().unwrap().0 / 1_000;
        assert!(next_ms <= ms + 1 + MAX_PROBE_INTERVAL_MS);
        for _ in 0..2 {
            ms = gateway.next_probe().map_or(ms, |at| at.0 / 1_000);
            due_probes(&mut gateway, ms);
            gateway.record_probe(at(ms + 1), 1, ProbeOutcome::Accepted);
        }
        assert!(!gateway.is_down(1), "{outcome:?}");
    }
}

/// An upstream that stopped, or whose address belongs to another upstream now, needs no probes: they
/// would reach the new owner of the address.
#[test]
fn upstream_that_has_ended_for_sure_is_not_probed_again() {
    let successor = Announced {
        incarnation: Incarnation {
            id: 9,
            started_ms: 9_000,
        },
        service: "planroom".into(),
        ..announcement(1, "a")
    };
    let mut gateway = gateway_with_down_upstream(ProbeOutcome::Refused);
    let mut with_planroom = plan(2).as_ref().clone();
    with_planroom.services.push(Service {
        name: "planroom".into(),
    });
    gateway.apply_plan(with_planroom.into());
    gateway.announce(at(SILENT_AT_MS + 100), control_vm(1), successor.clone(), 0);
    for ms in [SILENT_AT_MS + 500, SILENT_AT_MS + 1_500] {
        // A probe that was scheduled before reaches the successor.
        for id in due_probes(&mut gateway, ms) {
            gateway.record_probe(at(ms + 1), id, ProbeOutcome::Accepted);
        }
    }
    assert_eq!(gateway.next_probe(), None);
    let ms = SILENT_AT_MS + 2 * OUTDATED_MS;
    assert_eq!(send_request(&mut gateway, ms, 1), RESET);
    assert_eq!(due_probes(&mut gateway, ms), []);
    // The supposed successor has ended, and the upstream may be back.
    let stopped = Announced {
        phase: Phase::Gone,
        ..successor
    };
    gateway.announce(at(ms + 1), control_vm(1), stopped, 0);
    assert!(is_forwarded(send_request(&mut gateway, ms + 2, 2)));
    assert_eq!(due_probes(&mut gateway, ms + 2), [1]);
}

/// Guards against flows of a live upstream that are reset by a VM which has just started, or has lost its
/// streams: it hears of the stop of an earlier incarnation before the control VM that hears the later
/// one.
#[test]
fn stop_alone_resets_no_flows_while_a_control_vm_has_yet_to_be_heard() {
    let stopped = Announced {
        phase: Phase::Gone,
        ..announcement(1, "a")
    };
    let successor = Announced {
        incarnation: Incarnation {
            id: 1,
            started_ms: 2_000,
        },
        ..announcement(1, "a")
    };
    for was_known_before in [false, true] {
        let mut gateway = match was_known_before {
            true => gateway(&[(1, "a")]),
            false => gateway(&[]),
        };
        gateway.add_control_stream(control_vm(2));
        gateway.announce(at(SETTLED_MS), control_vm(1), stopped.clone(), 0);
        let ms = SETTLED_MS + 3_000;
        assert!(is_forwarded(send_request(&mut gateway, ms, 1)));
        // The client gets no answer, and the upstream accepts the probe.
        assert!(is_forwarded(send_request(&mut gateway, ms + 200, 1)));
        assert_eq!(due_probes(&mut gateway, ms + 200), [1]);
        gateway.record_probe(at(ms + 202), 1, ProbeOutcome::Accepted);
        assert!(is_forwarded(send_request(&mut gateway, ms + 600, 1)));
        gateway.announce(at(ms + 700), control_vm(2), successor.clone(), 0);
        gateway.mark_control_stream_synced(at(ms + 700), control_vm(2));
        assert!(is_forwarded(send_request(&mut gateway, ms + 1_400, 1)));
    }
}

#[test]
fn waiting_clients_of_a_stopped_upstream_are_reset_once_it_refuses_a_probe() {
    let stopped = Announced {
        phase: Phase::Gone,
        ..announcement(1, "a")
    };
    let mut gateway = gateway(&[(1, "a")]);
    gateway.add_control_stream(control_vm(2));
    gateway.announce(at(SETTLED_MS), control_vm(1), stopped, 0);
    let ms = SETTLED_MS + 3_000;
    send_request(&mut gateway, ms, 1);
    send_request(&mut gateway, ms + 200, 1);
    assert_eq!(due_probes(&mut gateway, ms + 200), [1]);
    gateway.record_probe(at(ms + 202), 1, ProbeOutcome::Refused);
    assert_eq!(gateway.take_pending_resets().len(), 1);
    assert_eq!(send_request(&mut gateway, ms + 300, 2), RESET);
    // Once all control VMs are heard, the stop alone is enough.
    gateway.mark_control_stream_synced(at(ms + 400), control_vm(2));
    let decision = send_request(&mut gateway, ms + 500, 3);
    assert_eq!(decision, (Action::Reset, Reason::Stopped));
}

/// A VM that never knew the incarnation as live hears of its stop long after. The upstream may have
/// started again since.
#[test]
fn stop_of_an_upstream_that_was_never_known_as_live_resets_nothing_by_itself() {
    let mut gateway = gateway(&[]);
    let stopped = Announced {
        phase: Phase::Gone,
        ..announcement(1, "a")
    };
    gateway.announce(at(SETTLED_MS), control_vm(1), stopped, 60_000);
    let ms = SETTLED_MS + 3_000;
    assert!(is_forwarded(send_request(&mut gateway, ms, 1)));
    send_request(&mut gateway, ms + 200, 1);
    assert_eq!(due_probes(&mut gateway, ms + 200), [1]);
    gateway.record_probe(at(ms + 202), 1, ProbeOutcome::Refused);
    assert_eq!(gateway.take_pending_resets().len(), 1);
}
