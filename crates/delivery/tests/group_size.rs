//! Size of the message that lists all upstreams for an entry VM that has just connected.

use std::net::SocketAddrV4;

use delivery::stream::encode;
use model::routing::{Announced, Group, Incarnation, Phase, ToEntry};

/// Budget for control traffic of one VM, in bytes per second.
const BUDGET: usize = 2_048;

/// Upstreams of a large deployment, as announced to one control VM.
fn upstreams() -> Vec<(Announced, u64)> {
    let upstream = |n: u64| {
        let [.., high, low] = n.to_be_bytes();
        let announced = Announced {
            incarnation: Incarnation {
                id: n.wrapping_mul(0x9e37_79b9_7f4a) & 0xff_ffff_ffff,
                started_ms: 1_767_679_777_801 + n * 7,
            },
            service: ["dano57b", "rami4a"][usize::from(n.is_multiple_of(5))].into(),
            address: SocketAddrV4::new([10, 3, high, low].into(), 8_106),
            domain: ["horsens", "randers", "vejle"][usize::from(low % 3)]
                .parse()
                .expect("it is a name"),
            slots: 2,
            phase: Phase::Ready,
            cold_ms: 0,
            sequence: 20 + n % 50,
        };
        (announced, n % 770)
    };
    (0..500).map(upstream).collect()
}

#[test]
fn groups_cost_less_than_half_of_what_single_announcements_cost() {
    let all = upstreams();
    let single = encode(&ToEntry::Announced(all.clone()))
        .expect("it fits")
        .len();
    let grouped = encode(&ToEntry::AnnouncedGroups(Group::all_of(all)))
        .expect("it fits")
        .len();
    println!("{} and {} bytes an upstream", single / 500, grouped / 500);
    assert!(2 * grouped < single, "{grouped} of {single}");
    // Announcing 6,500 upstreams takes at most a second on a link of 2 Mbit/s.
    assert!(13 * grouped < 250_000, "{grouped}");
    // One restart in two minutes stays within the budget for control traffic.
    assert!(13 * grouped / 120 < BUDGET, "{grouped}");
}
