//! Names and announcements of upstreams for tests.

use model::{announce::Announcement, name::Name};

/// Returns a name from a valid text.
pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Returns the announcement of an upstream of service "booking".
pub(crate) fn announcement(upstream: &str) -> Announcement {
    Announcement {
        service: name("booking"),
        upstream: name(upstream),
        domain: name("vejle"),
        flow_address: "10.1.0.1:1".parse().expect("an address"),
        request_address: "10.1.0.1:2".parse().expect("an address"),
        slots: 3,
        connections: 2_000,
        incarnation: 1,
        held_flows: 0,
        warmth_percent: 100,
        leaving: false,
    }
}
