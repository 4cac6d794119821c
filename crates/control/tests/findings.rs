//! Which entry VMs are told of what others find out.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{sync::Arc, time::Instant};

use control::findings::{Finder, News, Relay, doubted, reports};
use model::{
    name::Name,
    routing::{Incarnation, ProbeOutcome, ProbeReport},
};

fn domain(name: &str) -> Name {
    name.parse().unwrap()
}

fn found(vm: &str, in_domain: &str, id: u64, probed: ProbeOutcome, is_wide: bool) -> News {
    News::Found {
        by: Arc::new(Finder {
            vm: vm.into(),
            domain: domain(in_domain),
        }),
        finding: ProbeReport {
            upstream: Incarnation { id, started_ms: 1 },
            probed,
            age_ms: 3,
        },
        at: Instant::now(),
        is_wide,
    }
}

#[test]
fn other_domains_are_told_once_of_what_a_domain_finds_down() {
    let mut relay = Relay::default();
    let (a, b) = (domain("a"), domain("b"));
    assert!(relay.take(0, 7, &a, ProbeOutcome::Silent));
    // Domain a goes on finding it so, and b goes on finding otherwise, as long as a cut lasts.
    for ms in (500..60_000).step_by(500) {
        assert!(!relay.take(ms, 7, &b, ProbeOutcome::Accepted));
        assert!(!relay.take(ms, 7, &a, ProbeOutcome::Silent));
    }
    // It is back, and goes down again.
    assert!(!relay.take(60_000, 7, &a, ProbeOutcome::Accepted));
    assert!(relay.take(60_500, 7, &a, ProbeOutcome::Refused));
    // After a long silence the same is news.
    assert!(relay.take(90_000, 7, &a, ProbeOutcome::Refused));
}

#[test]
fn a_vm_is_told_all_of_its_own_domain_and_what_is_wide_of_others() {
    let news = [
        found("one", "a", 1, ProbeOutcome::Accepted, false),
        found("one", "a", 2, ProbeOutcome::Silent, true),
        found("two", "b", 3, ProbeOutcome::Silent, false),
        News::Suspected(4),
    ];
    let told = |name| -> Vec<(String, Vec<u64>)> {
        let reports = reports(&news, &domain(name));
        let ids = |f: &[ProbeReport]| f.iter().map(|f| f.upstream.id).collect();
        reports
            .iter()
            .map(|r| (r.vm.to_string(), ids(&r.results)))
            .collect()
    };
    let one = "one".to_owned();
    assert_eq!(told("a"), [(one.clone(), vec![1, 2])]);
    assert_eq!(told("b"), [(one, vec![2]), ("two".to_owned(), vec![3])]);
    assert_eq!(doubted(&news), [2, 4]);
}

#[test]
fn entry_vms_are_counted_by_their_failure_domain() {
    let mut relay = Relay::default();
    let a = domain("a");
    relay.join(&a);
    relay.join(&a);
    relay.join(&domain("b"));
    relay.leave(&a);
    assert_eq!((relay.peers(&a), relay.peers(&domain("c"))), (1, 0));
}
