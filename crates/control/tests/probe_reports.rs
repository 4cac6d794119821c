//! Which entry VMs receive the probe results of others.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{sync::Arc, time::Instant};

use control::probe_reports::{
    ProbeUpdate, ReportRelay, Reporter, reports_for_domain, suspected_ids,
};
use model::{
    name::Name,
    routing::{Incarnation, ProbeOutcome, ProbeReport},
};

fn domain(name: &str) -> Name {
    name.parse().unwrap()
}

fn probe_update(
    vm: &str,
    in_domain: &str,
    id: u64,
    probed: ProbeOutcome,
    for_all_domains: bool,
) -> ProbeUpdate {
    ProbeUpdate::Probe {
        reporter: Arc::new(Reporter {
            vm: vm.into(),
            domain: domain(in_domain),
        }),
        finding: ProbeReport {
            upstream: Incarnation { id, started_ms: 1 },
            probed,
            age_ms: 3,
        },
        received_at: Instant::now(),
        for_all_domains,
    }
}

#[test]
fn other_domains_receive_a_repeated_failure_once() {
    let mut relay = ReportRelay::default();
    let (a, b) = (domain("a"), domain("b"));
    assert!(relay.record_probe(0, 7, &a, ProbeOutcome::Silent));
    // During a network partition, domain a keeps finding the upstream silent while domain b keeps
    // reaching it.
    for ms in (500..60_000).step_by(500) {
        assert!(!relay.record_probe(ms, 7, &b, ProbeOutcome::Accepted));
        assert!(!relay.record_probe(ms, 7, &a, ProbeOutcome::Silent));
    }
    // The upstream recovers and fails again.
    assert!(!relay.record_probe(60_000, 7, &a, ProbeOutcome::Accepted));
    assert!(relay.record_probe(60_500, 7, &a, ProbeOutcome::Refused));
    // After 10 s without a report, the same result is relayed again.
    assert!(relay.record_probe(90_000, 7, &a, ProbeOutcome::Refused));
}

#[test]
fn a_vm_receives_all_results_of_its_domain_and_only_relayed_ones_of_others() {
    let updates = [
        probe_update("one", "a", 1, ProbeOutcome::Accepted, false),
        probe_update("one", "a", 2, ProbeOutcome::Silent, true),
        probe_update("two", "b", 3, ProbeOutcome::Silent, false),
        ProbeUpdate::LegacyDown(4),
    ];
    let results_for = |name| -> Vec<(String, Vec<u64>)> {
        let reports = reports_for_domain(&updates, &domain(name));
        let ids = |f: &[ProbeReport]| f.iter().map(|f| f.upstream.id).collect();
        reports
            .iter()
            .map(|r| (r.vm.to_string(), ids(&r.results)))
            .collect()
    };
    let one = "one".to_owned();
    assert_eq!(results_for("a"), [(one.clone(), vec![1, 2])]);
    assert_eq!(
        results_for("b"),
        [(one, vec![2]), ("two".to_owned(), vec![3])]
    );
    assert_eq!(suspected_ids(&updates), [2, 4]);
}

#[test]
fn entry_vms_are_counted_by_their_failure_domain() {
    let mut relay = ReportRelay::default();
    let a = domain("a");
    relay.add_listener(&a);
    relay.add_listener(&a);
    relay.add_listener(&domain("b"));
    relay.remove_listener(&a);
    assert_eq!(
        (relay.listener_count(&a), relay.listener_count(&domain("c"))),
        (1, 0)
    );
}
