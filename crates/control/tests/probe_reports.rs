//! Which entry VMs are told of what others find out.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{sync::Arc, time::Instant};

use control::probe_reports::{
    ProbeUpdate, ReportRelay, Reporter, reports_for_domain, suspected_ids,
};
use model::{
    name::Name,
    routing::{Finding, Incarnation, Probed},
};

fn domain(name: &str) -> Name {
    name.parse().unwrap()
}

fn probe_update(
    vm: &str,
    in_domain: &str,
    id: u64,
    probed: Probed,
    for_all_domains: bool,
) -> ProbeUpdate {
    ProbeUpdate::Probe {
        reporter: Arc::new(Reporter {
            vm: vm.into(),
            domain: domain(in_domain),
        }),
        finding: Finding {
            upstream: Incarnation { id, started_ms: 1 },
            probed,
            age_ms: 3,
        },
        received_at: Instant::now(),
        for_all_domains,
    }
}

#[test]
fn other_domains_are_told_once_of_what_a_domain_finds_down() {
    let mut relay = ReportRelay::default();
    let (a, b) = (domain("a"), domain("b"));
    assert!(relay.record_probe(0, 7, &a, Probed::Silent));
    // Domain a goes on finding it so, and b goes on finding otherwise, as long as a cut lasts.
    for ms in (500..60_000).step_by(500) {
        assert!(!relay.record_probe(ms, 7, &b, Probed::Accepted));
        assert!(!relay.record_probe(ms, 7, &a, Probed::Silent));
    }
    // It is back, and goes down again.
    assert!(!relay.record_probe(60_000, 7, &a, Probed::Accepted));
    assert!(relay.record_probe(60_500, 7, &a, Probed::Refused));
    // After a long silence the same is news.
    assert!(relay.record_probe(90_000, 7, &a, Probed::Refused));
}

#[test]
fn a_vm_is_told_all_of_its_own_domain_and_what_is_wide_of_others() {
    let updates = [
        probe_update("one", "a", 1, Probed::Accepted, false),
        probe_update("one", "a", 2, Probed::Silent, true),
        probe_update("two", "b", 3, Probed::Silent, false),
        ProbeUpdate::LegacyDown(4),
    ];
    let told = |name| -> Vec<(String, Vec<u64>)> {
        let reports = reports_for_domain(&updates, &domain(name));
        let ids = |f: &[Finding]| f.iter().map(|f| f.upstream.id).collect();
        reports
            .iter()
            .map(|r| (r.vm.to_string(), ids(&r.findings)))
            .collect()
    };
    let one = "one".to_owned();
    assert_eq!(told("a"), [(one.clone(), vec![1, 2])]);
    assert_eq!(told("b"), [(one, vec![2]), ("two".to_owned(), vec![3])]);
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
