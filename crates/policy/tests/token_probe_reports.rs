//! How far a VM goes by what other VMs found out, and how many act at once.

mod token_support;

use model::routing::{Finding, Peers, Probed, Report};
use policy::token::{
    backoff,
    decision::{Action, Reason},
    gateway::{Gateway, reachability::Taken},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, action_and_reason, announcement, at, chosen_upstream, control_vm, data_packet,
    gateway, opening_packet, peer_count, probe_report,
};

const REFUSED: Taken = Taken {
    news: 0,
    probes: 0,
    refused: 1,
};

const PROBES: Taken = Taken {
    news: 0,
    probes: 1,
    refused: 0,
};

const NEWS: Taken = Taken {
    news: 1,
    probes: 0,
    refused: 0,
};

/// A VM of domain a with an upstream there, far from its turn to probe.
fn patient() -> Gateway {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.set_peer_count(control_vm(1), peer_count(10_000));
    gateway
}

fn due(gateway: &mut Gateway, ms: u64) -> usize {
    gateway.due_probes(at(ms)).len()
}

#[test]
fn one_vm_of_its_domain_makes_a_vm_probe_and_two_are_believed() {
    for down in [Probed::Silent, Probed::Refused] {
        let mut gateway = patient();
        let now = at(SETTLED_MS);
        assert_eq!(
            gateway.told(now, &probe_report("two", "a", 1, down)),
            PROBES
        );
        // The same VM again is no second one.
        assert_eq!(
            gateway.told(now, &probe_report("two", "a", 1, down)),
            PROBES
        );
        assert!(!gateway.is_down(1));
        assert_eq!(
            gateway.told(now, &probe_report("three", "a", 1, down)),
            NEWS
        );
        assert!(gateway.is_down(1));
        assert_eq!(due(&mut gateway, SETTLED_MS + 10), 0);
    }
}

#[test]
fn vms_of_other_domains_only_make_a_vm_probe() {
    let mut gateway = gateway(&[(1, "a")]);
    for vm in ["two", "three", "four"] {
        let found = Report {
            domain: "b".parse().unwrap(),
            ..probe_report(vm, "a", 1, Probed::Refused)
        };
        gateway.told(at(SETTLED_MS), &found);
    }
    assert!(!gateway.is_down(1));
    assert_eq!(due(&mut gateway, SETTLED_MS), 1);
}

#[test]
fn a_vm_spares_its_probe_where_another_of_its_domain_reached_the_upstream() {
    let mut gateway = patient();
    gateway.told(at(SETTLED_MS), &probe_report("two", "a", 1, Probed::Silent));
    gateway.told(
        at(SETTLED_MS + 1),
        &probe_report("three", "a", 1, Probed::Accepted),
    );
    assert_eq!(
        gateway.next_probe().map(|_| due(&mut gateway, 60_000)),
        Some(0)
    );
}

#[test]
fn a_vm_that_is_told_nothing_more_probes_by_itself() {
    let mut gateway = patient();
    gateway.told(at(SETTLED_MS), &probe_report("two", "a", 1, Probed::Silent));
    assert_eq!(due(&mut gateway, SETTLED_MS + 5_000), 1);
}

#[test]
fn clients_that_wait_are_told_when_others_found_their_upstream_down() {
    let mut gateway = patient();
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    gateway.decide(at(SETTLED_MS + 5), &data_packet(1, 1, 101, 0, 1));
    gateway.decide(at(SETTLED_MS + 10), &data_packet(1, 1, 101, 50, 1));
    for vm in ["two", "three"] {
        gateway.told(
            at(SETTLED_MS + 20),
            &probe_report(vm, "a", id, Probed::Refused),
        );
    }
    assert_eq!(gateway.take_pending_resets().len(), 1);
    let decision = gateway.decide(at(SETTLED_MS + 30), &data_packet(2, 1, 101, 50, 1));
    assert_eq!(action_and_reason(decision), (Action::Reset, Reason::Down));
}

#[test]
fn what_is_unknown_too_old_or_overtaken_changes_no_belief() {
    let mut gateway = patient();
    let now = at(SETTLED_MS + 500);
    assert_eq!(
        gateway.told(now, &probe_report("two", "a", 9, Probed::Refused)),
        REFUSED
    );
    let of = |started_ms, age_ms| {
        let upstream = model::routing::Incarnation { id: 1, started_ms };
        let probed = Probed::Refused;
        let finding = Finding {
            upstream,
            probed,
            age_ms,
        };
        Report {
            findings: vec![finding],
            ..probe_report("two", "a", 1, probed)
        }
    };
    let known_ms = announcement(1, "a").incarnation.started_ms;
    // Another start, before and after the one that is known.
    assert_eq!(gateway.told(now, &of(known_ms - 1, 0)), REFUSED);
    assert_eq!(gateway.told(now, &of(known_ms + 1, 0)), REFUSED);
    assert_eq!(gateway.told(now, &of(known_ms, u64::MAX)), REFUSED);
    // A client took up a flow after the probe had begun.
    gateway.decide(at(SETTLED_MS + 300), &opening_packet(1, 0));
    gateway.decide(at(SETTLED_MS + 305), &data_packet(1, 1, 101, 0, 1));
    for vm in ["two", "three"] {
        let late = Report {
            vm: vm.into(),
            ..of(known_ms, 400)
        };
        assert_eq!(gateway.told(now, &late), Taken::default());
    }
    assert!(!gateway.is_down(1));
    // What it found itself comes back.
    assert_eq!(
        gateway.told(now, &probe_report("entry-1", "a", 1, Probed::Silent)),
        Taken::default()
    );
}

#[test]
fn a_vm_that_is_cut_off_alone_goes_by_its_own_probes() {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.told(at(SETTLED_MS), &probe_report("two", "a", 1, Probed::Silent));
    assert_eq!(due(&mut gateway, SETTLED_MS), 1);
    gateway.probed(at(SETTLED_MS + 250), 1, Probed::Silent);
    assert!(gateway.is_down(1));
    // Another reaches it. This VM doesn't, the next time that it looks, and knows that it is alone.
    let reached = probe_report("two", "a", 1, Probed::Accepted);
    assert_eq!(gateway.told(at(SETTLED_MS + 300), &reached), NEWS);
    gateway.told(
        at(SETTLED_MS + 400),
        &probe_report("two", "a", 1, Probed::Silent),
    );
    assert_eq!(due(&mut gateway, SETTLED_MS + 400), 1);
    gateway.probed(at(SETTLED_MS + 650), 1, Probed::Silent);
    assert_eq!(
        gateway.told(at(SETTLED_MS + 700), &reached),
        Taken::default()
    );
    assert!(gateway.is_down(1));
}

/// Many upstreams that a VM itself found silent are back at once where others reach them, whatever
/// its budget of probes is: their flows would be refused meanwhile.
#[test]
fn a_cut_that_ends_is_over_for_all_upstreams_at_once() {
    let upstreams: Vec<(u64, &str)> = (1..=200).map(|id| (id, "a")).collect();
    let mut gateway = gateway(&upstreams);
    for (id, _) in &upstreams {
        gateway.told(
            at(SETTLED_MS),
            &probe_report("two", "a", *id, Probed::Silent),
        );
    }
    for ms in (SETTLED_MS..SETTLED_MS + 12_000).step_by(10) {
        for probe in gateway.due_probes(at(ms)) {
            gateway.probed(at(ms + 2), probe.id, Probed::Silent);
        }
    }
    assert!(upstreams.iter().all(|(id, _)| gateway.is_down(*id)));
    for (id, _) in &upstreams {
        let reached = probe_report("two", "a", *id, Probed::Accepted);
        gateway.told(at(SETTLED_MS + 13_000), &reached);
    }
    assert!(!upstreams.iter().any(|(id, _)| gateway.is_down(*id)));
}

#[test]
fn one_that_refused_is_back_after_two_connections() {
    let mut gateway = gateway(&[(1, "a")]);
    for vm in ["two", "three"] {
        gateway.told(at(SETTLED_MS), &probe_report(vm, "a", 1, Probed::Refused));
    }
    assert_eq!(due(&mut gateway, SETTLED_MS + 500), 1);
    gateway.probed(at(SETTLED_MS + 502), 1, Probed::Accepted);
    assert!(
        gateway.is_down(1),
        "another may have taken over the address"
    );
    assert_eq!(due(&mut gateway, SETTLED_MS + 1_002), 1);
    gateway.probed(at(SETTLED_MS + 1_004), 1, Probed::Accepted);
    assert!(!gateway.is_down(1));
}

#[test]
fn a_vm_makes_twenty_probes_a_second_of_its_own_accord() {
    let upstreams: Vec<(u64, &str)> = (1..=200).map(|id| (id, "a")).collect();
    let mut gateway = gateway(&upstreams);
    for (id, _) in &upstreams {
        gateway.told(
            at(SETTLED_MS),
            &probe_report("two", "a", *id, Probed::Silent),
        );
    }
    let mut made = 0;
    for ms in (SETTLED_MS..SETTLED_MS + 3_000).step_by(10) {
        for probe in gateway.due_probes(at(ms)) {
            made += 1;
            gateway.probed(at(ms + 2), probe.id, Probed::Accepted);
        }
    }
    // A second's worth at once, then three seconds' worth.
    assert!((70..=80).contains(&made), "{made} probes");
}

#[test]
fn of_any_number_of_vms_few_act_at_once_and_all_within_seconds() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for peers in [2_u32, 10, 50, 1_000] {
        let rounds = 200;
        let (mut at_once, mut soon) = (0, 0);
        for _ in 0..rounds {
            for _ in 0..peers {
                let ms = backoff::random_backoff_ms(peers, &mut random);
                assert!(ms < 2_000, "{ms} ms of {peers}");
                at_once += u32::from(ms == 0);
                soon += u32::from(ms < 250);
            }
        }
        assert!(
            (80..150).contains(&(100 * at_once / rounds)),
            "{peers}: {at_once}"
        );
        assert!(soon <= 4 * rounds, "{peers}: {soon}");
    }
    assert_eq!(backoff::random_backoff_ms(1, &mut random), 0);
    assert_eq!(backoff::random_backoff_ms(0, &mut random), 0);
}

#[test]
fn one_that_refused_is_back_where_others_connect_twice_with_a_pause() {
    let mut gateway = patient();
    for vm in ["two", "three"] {
        gateway.told(at(SETTLED_MS), &probe_report(vm, "a", 1, Probed::Refused));
    }
    // A cut that refuses has ended: few VMs look, and all believe them.
    for (ms, vm, is_down) in [
        (600, "two", true),
        (601, "three", true),
        (1_150, "four", false),
    ] {
        gateway.told(
            at(SETTLED_MS + ms),
            &probe_report(vm, "a", 1, Probed::Accepted),
        );
        assert_eq!(gateway.is_down(1), is_down, "after {ms} ms");
    }
    assert_eq!(due(&mut gateway, 60_000), 0);
}

#[test]
fn a_vm_reports_to_the_control_vm_of_its_own_domain_where_there_is_one() {
    let mut gateway = gateway(&[(1, "a")]);
    gateway.add_control_stream(control_vm(2));
    gateway.mark_control_stream_synced(at(0), control_vm(2));
    let reports_to = |gateway: &Gateway| [1, 2].map(|n| gateway.reports_to(control_vm(n)));
    assert_eq!(reports_to(&gateway), [true, false]);
    let near = Peers {
        is_near: true,
        ..peer_count(9)
    };
    gateway.set_peer_count(control_vm(1), peer_count(9));
    gateway.set_peer_count(control_vm(2), near);
    assert_eq!(reports_to(&gateway), [false, true]);
    gateway.remove_control_stream(at(10), control_vm(2));
    assert_eq!(reports_to(&gateway), [true, false]);
}

#[test]
fn a_connection_from_before_the_last_refusal_counts_for_nothing() {
    let mut gateway = gateway(&[(1, "a")]);
    let start = announcement(1, "a").incarnation;
    gateway.told(at(SETTLED_MS), &probe_report("two", "a", 1, Probed::Silent));
    for (ms, probed) in [(0, Probed::Refused), (502, Probed::Accepted)] {
        assert_eq!(due(&mut gateway, SETTLED_MS + ms), 1);
        gateway.probed(at(SETTLED_MS + ms + 2), 1, probed);
    }
    // It refuses again, and no control VM hears it until it is back.
    gateway.silent(at(SETTLED_MS + 600), control_vm(1), start);
    assert_eq!(due(&mut gateway, SETTLED_MS + 1_004), 1);
    gateway.probed(at(SETTLED_MS + 1_006), 1, Probed::Refused);
    assert_eq!(due(&mut gateway, SETTLED_MS + 9_000), 0);
    gateway.announce(
        at(SETTLED_MS + 9_000),
        control_vm(1),
        announcement(1, "a"),
        0,
    );
    assert_eq!(due(&mut gateway, SETTLED_MS + 9_000), 1);
    gateway.probed(at(SETTLED_MS + 9_002), 1, Probed::Accepted);
    assert!(gateway.is_down(1));
}

#[test]
fn a_busy_upstream_stays_so_where_another_vm_connects() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    let token = u32::try_from(id).unwrap();
    gateway.decide(at(SETTLED_MS + 5), &data_packet(1, token, 101, 0, 1));
    for ms in [10, 210] {
        gateway.decide(at(SETTLED_MS + ms), &data_packet(1, token, 101, 50, 1));
    }
    assert_eq!(due(&mut gateway, SETTLED_MS + 210), 1);
    gateway.probed(at(SETTLED_MS + 212), id, Probed::Accepted);
    gateway.told(
        at(SETTLED_MS + 220),
        &probe_report("two", "a", id, Probed::Accepted),
    );
    // New flows go to the other one for a moment.
    for port in 10..20 {
        let opened = gateway.decide(at(SETTLED_MS + 230), &opening_packet(port, 0));
        assert_ne!(chosen_upstream(opened), Some(id));
    }
}
