//! Trust in probe results that other VMs report, and the number of VMs that probe at once.
//!
//! A VM that trusts too little wastes probes or lets clients wait; a VM that trusts too much resets
//! flows of live upstreams, for example when the reporting VM is behind a cut.

mod token_support;

use model::routing::{Peers, ProbeOutcome, ProbeReport, Report};
use policy::token::{
    backoff,
    decision::{Action, Reason},
    gateway::{Gateway, reachability::ReportSummary},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, action_and_reason, announcement, at, chosen_upstream, control_vm, data_packet,
    gateway, opening_packet, peer_count, probe_report,
};

const ONE_REFUSED: ReportSummary = ReportSummary {
    changes: 0,
    probes: 0,
    refused: 1,
};

const ONE_PROBE: ReportSummary = ReportSummary {
    changes: 0,
    probes: 1,
    refused: 0,
};

const ONE_CHANGE: ReportSummary = ReportSummary {
    changes: 1,
    probes: 0,
    refused: 0,
};

/// Returns a VM in domain a with one upstream in its domain and so many peers that its own probe is
/// due only after a long back-off.
fn gateway_with_long_backoff() -> Gateway {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.set_peer_count(control_vm(1), peer_count(10_000));
    gateway
}

fn count_due_probes(gateway: &mut Gateway, ms: u64) -> usize {
    gateway.due_probes(at(ms)).len()
}

#[test]
fn first_down_report_of_own_domain_schedules_probe_and_second_is_trusted() {
    for down in [ProbeOutcome::Silent, ProbeOutcome::Refused] {
        let mut gateway = gateway_with_long_backoff();
        let now = at(SETTLED_MS);
        assert_eq!(
            gateway.apply_report(now, &probe_report("two", "a", 1, down)),
            ONE_PROBE
        );
        // A second report of the same VM is no confirmation.
        assert_eq!(
            gateway.apply_report(now, &probe_report("two", "a", 1, down)),
            ONE_PROBE
        );
        assert!(!gateway.is_down(1));
        assert_eq!(
            gateway.apply_report(now, &probe_report("three", "a", 1, down)),
            ONE_CHANGE
        );
        assert!(gateway.is_down(1));
        assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 10), 0);
    }
}

#[test]
fn down_reports_of_other_domains_only_schedule_probe() {
    let mut gateway = gateway(&[(1, "a")]);
    for vm in ["two", "three", "four"] {
        let down_report = Report {
            domain: "b".parse().unwrap(),
            ..probe_report(vm, "a", 1, ProbeOutcome::Refused)
        };
        gateway.apply_report(at(SETTLED_MS), &down_report);
    }
    assert!(!gateway.is_down(1));
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS), 1);
}

#[test]
fn accepted_report_of_own_domain_cancels_scheduled_probe() {
    let mut gateway = gateway_with_long_backoff();
    gateway.apply_report(
        at(SETTLED_MS),
        &probe_report("two", "a", 1, ProbeOutcome::Silent),
    );
    gateway.apply_report(
        at(SETTLED_MS + 1),
        &probe_report("three", "a", 1, ProbeOutcome::Accepted),
    );
    assert_eq!(
        gateway
            .next_probe()
            .map(|_| count_due_probes(&mut gateway, 60_000)),
        Some(0)
    );
}

#[test]
fn scheduled_probe_becomes_due_without_further_reports() {
    let mut gateway = gateway_with_long_backoff();
    gateway.apply_report(
        at(SETTLED_MS),
        &probe_report("two", "a", 1, ProbeOutcome::Silent),
    );
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 5_000), 1);
}

#[test]
fn waiting_clients_are_reset_when_reports_mark_upstream_down() {
    let mut gateway = gateway_with_long_backoff();
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    gateway.decide(at(SETTLED_MS + 5), &data_packet(1, 1, 101, 0, 1));
    gateway.decide(at(SETTLED_MS + 10), &data_packet(1, 1, 101, 50, 1));
    for vm in ["two", "three"] {
        gateway.apply_report(
            at(SETTLED_MS + 20),
            &probe_report(vm, "a", id, ProbeOutcome::Refused),
        );
    }
    assert_eq!(gateway.take_pending_resets().len(), 1);
    let decision = gateway.decide(at(SETTLED_MS + 30), &data_packet(2, 1, 101, 50, 1));
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
}

#[test]
fn unknown_old_and_outdated_reports_change_nothing() {
    let mut gateway = gateway_with_long_backoff();
    let now = at(SETTLED_MS + 500);
    assert_eq!(
        gateway.apply_report(now, &probe_report("two", "a", 9, ProbeOutcome::Refused)),
        ONE_REFUSED
    );
    let report_on = |started_ms, age_ms| {
        let upstream = model::routing::Incarnation { id: 1, started_ms };
        let probed = ProbeOutcome::Refused;
        let finding = ProbeReport {
            upstream,
            probed,
            age_ms,
        };
        Report {
            results: vec![finding],
            ..probe_report("two", "a", 1, probed)
        }
    };
    let known_ms = announcement(1, "a").incarnation.started_ms;
    // Reports on an earlier and a later incarnation than the known one.
    assert_eq!(
        gateway.apply_report(now, &report_on(known_ms - 1, 0)),
        ONE_REFUSED
    );
    assert_eq!(
        gateway.apply_report(now, &report_on(known_ms + 1, 0)),
        ONE_REFUSED
    );
    assert_eq!(
        gateway.apply_report(now, &report_on(known_ms, u64::MAX)),
        ONE_REFUSED
    );
    // A client opened a flow after the probe had started.
    gateway.decide(at(SETTLED_MS + 300), &opening_packet(1, 0));
    gateway.decide(at(SETTLED_MS + 305), &data_packet(1, 1, 101, 0, 1));
    for vm in ["two", "three"] {
        let late = Report {
            vm: vm.into(),
            ..report_on(known_ms, 400)
        };
        assert_eq!(gateway.apply_report(now, &late), ReportSummary::default());
    }
    assert!(!gateway.is_down(1));
    // The VM receives its own report.
    assert_eq!(
        gateway.apply_report(now, &probe_report("entry-1", "a", 1, ProbeOutcome::Silent)),
        ReportSummary::default()
    );
}

#[test]
fn isolated_vm_ignores_accepted_reports() {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.apply_report(
        at(SETTLED_MS),
        &probe_report("two", "a", 1, ProbeOutcome::Silent),
    );
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS), 1);
    gateway.record_probe(at(SETTLED_MS + 250), 1, ProbeOutcome::Silent);
    assert!(gateway.is_down(1));
    // Another VM reaches the upstream. This VM finds the upstream silent again and treats itself as
    // isolated.
    let accepted = probe_report("two", "a", 1, ProbeOutcome::Accepted);
    assert_eq!(
        gateway.apply_report(at(SETTLED_MS + 300), &accepted),
        ONE_CHANGE
    );
    gateway.apply_report(
        at(SETTLED_MS + 400),
        &probe_report("two", "a", 1, ProbeOutcome::Silent),
    );
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 400), 1);
    gateway.record_probe(at(SETTLED_MS + 650), 1, ProbeOutcome::Silent);
    assert_eq!(
        gateway.apply_report(at(SETTLED_MS + 700), &accepted),
        ReportSummary::default()
    );
    assert!(gateway.is_down(1));
}

/// Upstreams that a VM found silent itself recover at once when other VMs report them as reachable,
/// regardless of the VM's probe budget. Otherwise their flows would be reset until the next probe.
#[test]
fn accepted_reports_recover_all_silent_upstreams_at_once() {
    let upstreams: Vec<(u64, &str)> = (1..=200).map(|id| (id, "a")).collect();
    let mut gateway = gateway(&upstreams);
    for (id, _) in &upstreams {
        gateway.apply_report(
            at(SETTLED_MS),
            &probe_report("two", "a", *id, ProbeOutcome::Silent),
        );
    }
    for ms in (SETTLED_MS..SETTLED_MS + 12_000).step_by(10) {
        for probe in gateway.due_probes(at(ms)) {
            gateway.record_probe(at(ms + 2), probe.id, ProbeOutcome::Silent);
        }
    }
    assert!(upstreams.iter().all(|(id, _)| gateway.is_down(*id)));
    for (id, _) in &upstreams {
        let accepted = probe_report("two", "a", *id, ProbeOutcome::Accepted);
        gateway.apply_report(at(SETTLED_MS + 13_000), &accepted);
    }
    assert!(!upstreams.iter().any(|(id, _)| gateway.is_down(*id)));
}

#[test]
fn refused_upstream_recovers_after_two_accepted_probes() {
    let mut gateway = gateway(&[(1, "a")]);
    for vm in ["two", "three"] {
        gateway.apply_report(
            at(SETTLED_MS),
            &probe_report(vm, "a", 1, ProbeOutcome::Refused),
        );
    }
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 500), 1);
    gateway.record_probe(at(SETTLED_MS + 502), 1, ProbeOutcome::Accepted);
    assert!(
        gateway.is_down(1),
        "another upstream may have taken over the address"
    );
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 1_002), 1);
    gateway.record_probe(at(SETTLED_MS + 1_004), 1, ProbeOutcome::Accepted);
    assert!(!gateway.is_down(1));
}

#[test]
fn probes_of_suspected_upstreams_are_limited_to_twenty_per_second() {
    let upstreams: Vec<(u64, &str)> = (1..=200).map(|id| (id, "a")).collect();
    let mut gateway = gateway(&upstreams);
    for (id, _) in &upstreams {
        gateway.apply_report(
            at(SETTLED_MS),
            &probe_report("two", "a", *id, ProbeOutcome::Silent),
        );
    }
    let mut probe_count = 0;
    for ms in (SETTLED_MS..SETTLED_MS + 3_000).step_by(10) {
        for probe in gateway.due_probes(at(ms)) {
            probe_count += 1;
            gateway.record_probe(at(ms + 2), probe.id, ProbeOutcome::Accepted);
        }
    }
    // A burst of one second's budget, then the budget of three seconds.
    assert!((70..=80).contains(&probe_count), "{probe_count} probes");
}

#[test]
fn random_backoff_lets_few_vms_act_at_once_and_all_within_two_seconds() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for peers in [2_u32, 10, 50, 1_000] {
        let rounds = 200;
        let (mut at_once, mut within_scale) = (0, 0);
        for _ in 0..rounds {
            for _ in 0..peers {
                let ms = backoff::random_backoff_ms(peers, &mut random);
                assert!(ms < 2_000, "wait of {ms} ms with {peers} VMs");
                at_once += u32::from(ms == 0);
                within_scale += u32::from(ms < 250);
            }
        }
        assert!(
            (80..150).contains(&(100 * at_once / rounds)),
            "{peers} VMs: {at_once} without a wait"
        );
        assert!(
            within_scale <= 4 * rounds,
            "{peers} VMs: {within_scale} within 250 ms"
        );
    }
    assert_eq!(backoff::random_backoff_ms(1, &mut random), 0);
    assert_eq!(backoff::random_backoff_ms(0, &mut random), 0);
}

#[test]
fn refused_upstream_recovers_after_two_spaced_accepted_reports() {
    let mut gateway = gateway_with_long_backoff();
    for vm in ["two", "three"] {
        gateway.apply_report(
            at(SETTLED_MS),
            &probe_report(vm, "a", 1, ProbeOutcome::Refused),
        );
    }
    // A cut that refused connections has ended: a few VMs probe, and all VMs trust their reports.
    for (ms, vm, is_down) in [
        (600, "two", true),
        (601, "three", true),
        (1_150, "four", false),
    ] {
        gateway.apply_report(
            at(SETTLED_MS + ms),
            &probe_report(vm, "a", 1, ProbeOutcome::Accepted),
        );
        assert_eq!(gateway.is_down(1), is_down, "after {ms} ms");
    }
    assert_eq!(count_due_probes(&mut gateway, 60_000), 0);
}

#[test]
fn reports_go_to_a_control_vm_of_the_own_domain_if_possible() {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.add_control_stream(control_vm(2));
    gateway.mark_control_stream_synced(at(0), control_vm(2));
    let reports_to = |gateway: &Gateway| [1, 2].map(|n| gateway.reports_to(control_vm(n)));
    assert_eq!(reports_to(&gateway), [true, false]);
    let near = Peers {
        is_same_domain: true,
        ..peer_count(9)
    };
    gateway.set_peer_count(control_vm(1), peer_count(9));
    gateway.set_peer_count(control_vm(2), near);
    assert_eq!(reports_to(&gateway), [false, true]);
    gateway.remove_control_stream(at(10), control_vm(2));
    assert_eq!(reports_to(&gateway), [true, false]);
}

#[test]
fn accepted_probe_before_the_last_refusal_does_not_count() {
    let mut gateway = gateway(&[(1, "a")]);
    let start = announcement(1, "a").incarnation;
    gateway.apply_report(
        at(SETTLED_MS),
        &probe_report("two", "a", 1, ProbeOutcome::Silent),
    );
    for (ms, probed) in [(0, ProbeOutcome::Refused), (502, ProbeOutcome::Accepted)] {
        assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + ms), 1);
        gateway.record_probe(at(SETTLED_MS + ms + 2), 1, probed);
    }
    // The upstream refuses again, and no control VM receives its announcements until the restart.
    gateway.remove_claim(at(SETTLED_MS + 600), control_vm(1), start);
    for ms in [1_004, 2_006, 4_008, 8_010] {
        assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + ms - 1), 0);
        assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + ms), 1);
        gateway.record_probe(at(SETTLED_MS + ms + 2), 1, ProbeOutcome::Refused);
    }
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 9_000), 0);
    gateway.announce(
        at(SETTLED_MS + 9_000),
        control_vm(1),
        announcement(1, "a"),
        0,
    );
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 9_000), 1);
    gateway.record_probe(at(SETTLED_MS + 9_002), 1, ProbeOutcome::Accepted);
    assert!(gateway.is_down(1));
}

#[test]
fn accepted_report_does_not_clear_busy_status() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    let token = u32::try_from(id).unwrap();
    gateway.decide(at(SETTLED_MS + 5), &data_packet(1, token, 101, 0, 1));
    for ms in [10, 210] {
        gateway.decide(at(SETTLED_MS + ms), &data_packet(1, token, 101, 50, 1));
    }
    assert_eq!(count_due_probes(&mut gateway, SETTLED_MS + 210), 1);
    gateway.record_probe(at(SETTLED_MS + 212), id, ProbeOutcome::Accepted);
    gateway.apply_report(
        at(SETTLED_MS + 220),
        &probe_report("two", "a", id, ProbeOutcome::Accepted),
    );
    // New flows go to the other upstream for a while.
    for port in 10..20 {
        let opened = gateway.decide(at(SETTLED_MS + 230), &opening_packet(port, 0));
        assert_ne!(chosen_upstream(opened), Some(id));
    }
}
