//! Tests of the messages between control VMs and entry VMs: grouping loses no announcement.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::net::SocketAddrV4;

use bolero::check;
use model::{
    name::Name,
    routing::{Announced, Group, Incarnation, Phase},
};

/// Builds an announcement and its age from a few bytes, so that many announcements share fields.
fn announced(bytes: [u8; 6]) -> (Announced, u64) {
    let [id, start, ip, port, common, rest] = bytes;
    let announced = Announced {
        incarnation: Incarnation {
            id: u64::from(id) << 40 | 1,
            started_ms: 1_767_679_777_801 + u64::from(start) * 100,
        },
        service: format!("service-{}", common % 3).into(),
        address: SocketAddrV4::new([10, 0, 0, ip].into(), 8_080 + u16::from(port % 2)),
        domain: format!("domain-{}", common % 5).parse::<Name>().unwrap(),
        slots: 1 + u32::from(rest % 2),
        phase: [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(rest % 3)],
        cold_ms: u64::from(rest) * 10,
        sequence: u64::from(rest),
    };
    (announced, u64::from(start))
}

fn sorted(mut all: Vec<(Announced, u64)>) -> Vec<(Announced, u64)> {
    all.sort_by_key(|(a, age_ms)| (a.incarnation, a.address, a.sequence, *age_ms, a.slots));
    all
}

#[test]
fn groups_say_what_was_announced() {
    check!().with_type::<Vec<[u8; 6]>>().for_each(|bytes| {
        let all: Vec<(Announced, u64)> = bytes.iter().copied().map(announced).collect();
        let groups = Group::all_of(all.clone());
        assert_eq!(groups.iter().map(Group::len).sum::<usize>(), all.len());
        assert!(!groups.iter().any(Group::is_empty));
        let ungrouped = groups.into_iter().flat_map(Group::into_announced);
        let key = |all| {
            let mut shown: Vec<String> = sorted(all).iter().map(|a| format!("{a:?}")).collect();
            shown.sort();
            shown
        };
        assert_eq!(key(ungrouped.collect()), key(all));
    });
}
