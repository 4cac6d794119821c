//! State of the directory after announcements of several control VMs in any order.
//!
//! A wrong merge sends new flows to an upstream that drains, has stopped or has lost its address,
//! or withholds them from a live upstream.

mod token_support;

use std::sync::Arc;

use model::{
    name::Name,
    routing::{Announced, Incarnation, Phase},
};
use policy::token::directory::{Directory, token_of};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use token_support::{announcement, at, control_vm};

fn accepts_flows(directory: &Directory, ms: u64, id: u64) -> bool {
    directory.get(id).is_some_and(|u| u.accepts_flows(at(ms)))
}

fn draining_announcement(id: u64, sequence: u64) -> Announced {
    Announced {
        phase: Phase::Draining,
        sequence,
        ..announcement(id, "a")
    }
}

fn started_at(id: u64, started_ms: u64) -> Announced {
    Announced {
        incarnation: Incarnation { id, started_ms },
        ..announcement(id, "a")
    }
}

#[test]
fn older_announcement_does_not_undo_drain() {
    let mut directory = Directory::default();
    directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    assert!(accepts_flows(&directory, 0, 1));
    directory.announce(at(1), control_vm(2), draining_announcement(1, 9), 0);
    directory.announce(at(2), control_vm(1), announcement(1, "a"), 0);
    assert!(!accepts_flows(&directory, 3, 1));
}

#[test]
fn stop_is_final_for_its_incarnation_only() {
    let mut directory = Directory::default();
    directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    // A control VM that never received an announcement doesn't know which incarnation stops.
    let stop = Announced {
        phase: Phase::Gone,
        ..started_at(1, 0)
    };
    directory.announce(at(1), control_vm(2), stop, 0);
    let late = Announced {
        sequence: 50,
        ..announcement(1, "a")
    };
    directory.announce(at(2), control_vm(1), late, 0);
    assert!(!accepts_flows(&directory, 3, 1));
    directory.announce(at(4), control_vm(1), started_at(1, 2_000), 0);
    assert!(accepts_flows(&directory, 5, 1));
}

#[test]
fn upstream_is_silent_only_after_its_last_claim_is_removed() {
    let mut directory = Directory::default();
    let upstream = announcement(1, "a");
    for number in [1, 2] {
        directory.add_control_stream(control_vm(number));
        directory.announce(at(0), control_vm(number), upstream.clone(), 0);
        directory.mark_control_stream_synced(control_vm(number));
    }
    assert!(!directory.remove_claim(at(1), control_vm(1), upstream.incarnation));
    assert!(accepts_flows(&directory, 1, 1));
    assert!(directory.remove_claim(at(2), control_vm(2), upstream.incarnation));
    assert!(!accepts_flows(&directory, 2, 1));
    directory.announce(at(3), control_vm(1), upstream, 0);
    assert!(accepts_flows(&directory, 3, 1));
}

#[test]
fn claims_of_lost_control_vm_last_for_a_limited_time() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.add_control_stream(control_vm(number));
        directory.mark_control_stream_synced(control_vm(number));
    }
    directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    directory.remove_control_stream(at(100), control_vm(1));
    directory.tick(at(4_000));
    assert!(accepts_flows(&directory, 4_000, 1));
    directory.tick(at(6_000));
    assert!(!accepts_flows(&directory, 6_000, 1));
}

#[test]
fn vm_without_control_streams_keeps_its_upstreams() {
    let mut directory = Directory::default();
    directory.add_control_stream(control_vm(1));
    directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    directory.mark_control_stream_synced(control_vm(1));
    directory.remove_control_stream(at(100), control_vm(1));
    for ms in (1_000..60_000).step_by(1_000) {
        directory.tick(at(ms));
    }
    assert!(accepts_flows(&directory, 60_000, 1));
}

#[test]
fn address_belongs_to_the_upstream_with_the_latest_start() {
    let mut directory = Directory::default();
    let old = announcement(1, "a");
    let new = Announced {
        incarnation: Incarnation {
            id: 2,
            started_ms: 5_000,
        },
        service: "planroom".into(),
        ..old.clone()
    };
    directory.announce(at(0), control_vm(1), new.clone(), 0);
    // The announcement of the earlier upstream arrives late, delayed by a network cut.
    directory.announce(at(1), control_vm(1), old, 0);
    assert!(!accepts_flows(&directory, 2, 1));
    assert!(accepts_flows(&directory, 2, 2));
}

/// Returns the announcement of upstream 2, which took over the address of upstream 1. Upstream 1
/// has the later start time, because its clock is ahead.
fn successor() -> Announced {
    let incarnation = started_at(2, 400).incarnation;
    Announced {
        incarnation,
        ..started_at(1, 1_000)
    }
}

#[test]
fn upstream_with_lagging_clock_takes_over_address_of_stopped_upstream() {
    let mut directory = Directory::default();
    directory.announce(at(0), control_vm(1), started_at(1, 1_000), 0);
    directory.announce(at(1), control_vm(1), successor(), 0);
    assert!(!accepts_flows(&directory, 1, 2));
    let stop = Announced {
        phase: Phase::Gone,
        ..started_at(1, 1_000)
    };
    directory.announce(at(2), control_vm(1), stop, 0);
    assert!(accepts_flows(&directory, 2, 2));
}

#[test]
fn upstream_with_lagging_clock_takes_over_address_of_silent_upstream() {
    let mut directory = Directory::default();
    directory.announce(at(0), control_vm(1), started_at(1, 1_000), 0);
    directory.announce(at(1), control_vm(1), successor(), 0);
    let previous = started_at(1, 1_000).incarnation;
    assert!(directory.remove_claim(at(5_000), control_vm(1), previous));
    assert!(accepts_flows(&directory, 5_000, 2));
    // An older announcement that arrives late makes upstream 1 count as live again.
    directory.announce(at(5_001), control_vm(2), started_at(1, 1_000), 0);
    assert!(!accepts_flows(&directory, 5_001, 2));
}

#[test]
fn upstream_with_lagging_clock_takes_over_address_after_loss_of_control_vm() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.add_control_stream(control_vm(number));
        directory.mark_control_stream_synced(control_vm(number));
    }
    directory.announce(at(0), control_vm(1), started_at(1, 1_000), 0);
    directory.announce(at(1), control_vm(2), successor(), 0);
    directory.remove_control_stream(at(100), control_vm(1));
    directory.tick(at(6_000));
    assert!(accepts_flows(&directory, 6_000, 2));
}

#[test]
fn cold_upstream_accepts_flows_once_it_is_warm() {
    let mut directory = Directory::default();
    let cold = Announced {
        cold_ms: 2_000,
        ..announcement(1, "a")
    };
    directory.announce(at(0), control_vm(1), cold, 500);
    assert!(!accepts_flows(&directory, 1_500, 1));
    let warm_at = directory.get(1).unwrap().warm_at;
    assert!(at(1_500) < warm_at && warm_at <= at(1_700));
    assert!(directory.get(1).unwrap().accepts_flows(warm_at));
    assert!(accepts_flows(&directory, 1_700, 1));
}

#[test]
fn recalled_upstream_keeps_open_flows_and_gets_no_new_ones() {
    let mut directory = Directory::default();
    directory.add_recalled(at(0), announcement(1, "a"));
    assert!(directory.by_token(token_of(1)).is_some());
    assert!(!accepts_flows(&directory, 1, 1));
    assert!(directory.is_gathering(at(1), &"booking".into()));
    directory.announce(at(2), control_vm(1), announcement(1, "a"), 0);
    assert!(accepts_flows(&directory, 3, 1));
    assert!(!directory.is_gathering(at(3), &"booking".into()));
}

#[test]
fn upstreams_that_share_a_token_get_no_new_flows() {
    let (one, other) = (5, 5 << 32);
    assert_eq!(token_of(one), token_of(other));
    let both = [started_at(one, 1_000), started_at(other, 2_000)];
    for order in [[0, 1], [1, 0]] {
        let mut directory = Directory::default();
        for position in order {
            directory.announce(at(0), control_vm(1), both[position].clone(), 0);
        }
        assert!(!accepts_flows(&directory, 1, one));
        assert!(!accepts_flows(&directory, 1, other));
        // Flows opened before the second upstream was announced are still forwarded.
        let upstream = directory.by_token(token_of(one)).unwrap();
        assert_eq!(upstream.announced.incarnation.id, one);
    }
}

#[test]
fn token_is_never_0() {
    assert_ne!(token_of(0), 0);
    assert_ne!(token_of(0x0000_0001_0000_0001), 0);
}

#[test]
fn order_of_announcements_makes_no_difference() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut announcements: Vec<Announced> = (0..12)
            .map(|sequence| Announced {
                phase: match random.random_range(0..4) {
                    0 => Phase::Draining,
                    _ => Phase::Ready,
                },
                sequence: sequence % 6,
                ..started_at(random.random_range(1..3), random.random_range(1..4))
            })
            .collect();
        // Equal sequence numbers must stand for equal announcements.
        announcements.sort_by_key(|a| (a.incarnation, a.sequence));
        announcements.dedup_by_key(|a| (a.incarnation, a.sequence));
        let mut first_result = None;
        for _ in 0..5 {
            announcements.shuffle(&mut random);
            let mut directory = Directory::default();
            for announcement in &announcements {
                directory.announce(at(0), control_vm(1), announcement.clone(), 0);
            }
            let all: Vec<Announced> = directory.all().map(|u| u.announced.clone()).collect();
            let first = first_result.get_or_insert_with(|| all.clone());
            assert_eq!(*first, all, "seed {seed}");
        }
    }
}

#[test]
fn members_of_a_service_follow_restarted_upstreams() {
    let mut directory = Directory::default();
    let [a, b]: [Name; 2] = ["a", "b"].map(|d| d.parse().unwrap());
    let booking: Arc<str> = Arc::from("booking");
    let members = |directory: &Directory, service: &Arc<str>, domain: &Name| {
        let members = directory.members(service);
        members.map_or(Vec::new(), |m| m.in_domain(domain).to_vec())
    };
    directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
    directory.announce(at(0), control_vm(1), announcement(2, "b"), 0);
    assert_eq!(members(&directory, &booking, &a), [1]);
    assert_eq!(members(&directory, &booking, &b), [2]);
    // The upstream restarts for another service, in another failure domain.
    let planroom: Arc<str> = Arc::from("planroom");
    let moved = Announced {
        incarnation: Incarnation {
            id: 1,
            started_ms: 2_000,
        },
        service: Arc::clone(&planroom),
        ..announcement(1, "b")
    };
    directory.announce(at(10), control_vm(1), moved, 0);
    assert_eq!(members(&directory, &booking, &a), []);
    assert_eq!(members(&directory, &planroom, &b), [1]);
    assert_eq!(directory.of_service(&booking).count(), 1);
}

/// Returns the stop of `upstream`.
fn stop_of(upstream: &Announced) -> Announced {
    Announced {
        phase: Phase::Gone,
        ..upstream.clone()
    }
}

/// Guards against flows of a live upstream that are reset because its id had been stopped before: a
/// stop ends the incarnation that it names, whichever control VM is heard first.
#[test]
fn stop_of_an_earlier_incarnation_does_not_stop_its_successor_in_any_order() {
    let successor = Announced {
        address: "10.0.0.9:8080".parse().unwrap(),
        service: "planroom".into(),
        ..started_at(1, 2_000)
    };
    let mut messages = [
        (control_vm(1), started_at(1, 1_000)),
        (control_vm(2), stop_of(&started_at(1, 1_000))),
        (control_vm(3), successor.clone()),
    ];
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..50 {
        messages.shuffle(&mut random);
        let mut directory = Directory::default();
        for (source, announced) in &messages {
            directory.announce(at(0), *source, announced.clone(), 0);
        }
        assert!(accepts_flows(&directory, 1, 1), "{messages:?}");
        assert_eq!(directory.get(1).unwrap().announced, successor);
    }
}

/// Guards against the same fault during an upgrade: control VMs of the build before send stops that
/// name no incarnation, also to a stream that opens long after the stop.
#[test]
fn stop_without_incarnation_ends_nothing_before_the_stream_is_synced() {
    let stop = stop_of(&started_at(1, 0));
    for is_stop_first in [true, false] {
        let mut directory = Directory::default();
        directory.add_control_stream(control_vm(1));
        directory.add_control_stream(control_vm(2));
        if is_stop_first {
            directory.announce(at(0), control_vm(2), stop.clone(), 0);
        }
        directory.announce(at(0), control_vm(1), announcement(1, "a"), 0);
        if !is_stop_first {
            directory.announce(at(0), control_vm(2), stop.clone(), 0);
        }
        assert!(accepts_flows(&directory, 1, 1));
        // A stop that arrives later is about the incarnation that is known then.
        directory.mark_control_stream_synced(control_vm(2));
        directory.announce(at(2), control_vm(2), stop.clone(), 0);
        assert!(!accepts_flows(&directory, 3, 1));
    }
}

/// Guards against flows of a live upstream that are reset, or sent elsewhere, because an announcement of
/// a service that no plan defines names its address or shares its token.
#[test]
fn upstream_of_an_undefined_service_takes_neither_address_nor_token() {
    let services = |names: &[&str]| names.iter().map(|n| Arc::from(*n)).collect::<Vec<_>>();
    let live = announcement(1, "a");
    let at_address = Announced {
        service: "ghost".into(),
        address: live.address,
        ..started_at(2, 9_000)
    };
    // Token 1 as well, and an earlier start.
    let with_token = Announced {
        service: "ghost".into(),
        ..started_at(0x5_0000_0004, 1)
    };
    assert_eq!(token_of(with_token.incarnation.id), token_of(1));
    for is_live_first in [true, false] {
        let mut directory = Directory::default();
        directory.define_services(services(&["booking"]));
        let mut all = vec![at_address.clone(), with_token.clone()];
        all.insert(if is_live_first { 0 } else { 2 }, live.clone());
        for announced in all {
            directory.announce(at(0), control_vm(1), announced, 0);
        }
        assert!(accepts_flows(&directory, 1, 1));
        assert!(!directory.has_successor(1));
        let upstream = directory.by_token(1).unwrap();
        assert_eq!(upstream.announced.incarnation.id, 1);
        // A plan that defines the service makes them ordinary upstreams.
        directory.define_services(services(&["booking", "ghost"]));
        assert!(!accepts_flows(&directory, 1, 1));
        assert!(directory.has_successor(1));
        // A later plan without the service doesn't undo that: they may have flows.
        directory.define_services(services(&["booking"]));
        assert!(directory.has_successor(1));
    }
}

/// Guards against a live upstream that gets no flows, because an announcement of a service that no plan
/// defines came under its id.
#[test]
fn upstream_of_an_undefined_service_does_not_replace_a_live_one() {
    let defined = |names: &[&str]| names.iter().map(|n| Arc::from(*n)).collect::<Vec<_>>();
    for odd_started_ms in [1_000, 2_000] {
        let odd = Announced {
            service: "ghost".into(),
            sequence: 99,
            ..started_at(1, odd_started_ms)
        };
        let mut directory = Directory::default();
        directory.define_services(defined(&["booking"]));
        directory.announce(at(0), control_vm(1), started_at(1, 1_000), 0);
        assert!(!directory.announce(at(1), control_vm(2), odd.clone(), 0));
        assert!(accepts_flows(&directory, 2, 1));
        let known = &directory.get(1).unwrap().announced;
        assert_eq!(*known, started_at(1, 1_000));
        // The id may belong to another service once the upstream has stopped.
        directory.announce(at(3), control_vm(1), stop_of(&started_at(1, 1_000)), 0);
        let next = Announced {
            service: "ghost".into(),
            ..started_at(1, 3_000)
        };
        assert!(directory.announce(at(4), control_vm(2), next.clone(), 0));
        assert_eq!(directory.get(1).unwrap().announced, next);
    }
}
