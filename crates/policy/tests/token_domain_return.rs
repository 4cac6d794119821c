//! New flows while a failure domain that was taken out comes back.
//!
//! Guards against upstreams that turned cold shortly before and get as many flows as warm ones until
//! their next announcement.

mod token_support;

use model::routing::Announced;
use policy::token::gateway::Gateway;
use token_support::{
    SETTLED_MS, agreed_state, announcement, at, chosen_upstream, control_vm, data_packet, gateway,
    opening_packet,
};

/// Time between two announcements of an upstream, and time for which a domain that is back gets no
/// flows, in milliseconds.
const ANNOUNCE_MS: u64 = 770;
const WAIT_MS: u64 = ANNOUNCE_MS + ANNOUNCE_MS / 2 + 200;

/// Time of the return, in milliseconds.
const BACK_MS: u64 = SETTLED_MS + 1_000;

/// Returns a gateway in domain a, whose upstream is 1, shortly after the domain was brought back.
fn gateway_with_returned_domain() -> Gateway {
    let mut gateway = gateway(&[(1, "a"), (2, "b")]);
    gateway.set_announce_ms(ANNOUNCE_MS);
    gateway.update_agreed(agreed_state(2, &["a"]));
    assert_eq!(place(&mut gateway, SETTLED_MS, 1), Some(2));
    assert!(gateway.update_agreed(agreed_state(3, &[])));
    gateway
}

fn place(gateway: &mut Gateway, ms: u64, port: u16) -> Option<u64> {
    chosen_upstream(gateway.decide(at(ms), &opening_packet(port, 0)))
}

#[test]
fn domain_that_is_back_gets_no_new_flows_until_its_upstreams_can_have_announced_themselves() {
    let mut gateway = gateway_with_returned_domain();
    assert_eq!(place(&mut gateway, BACK_MS, 10), Some(2));
    assert_eq!(place(&mut gateway, BACK_MS + WAIT_MS - 1, 11), Some(2));
    // Packets of open flows are forwarded all the while.
    let packet = data_packet(99, 1, 101, 50, 1);
    let decision = gateway.decide(at(BACK_MS + 5), &packet);
    assert_eq!(chosen_upstream(decision), Some(1));
    assert_eq!(place(&mut gateway, BACK_MS + WAIT_MS, 12), Some(1));
}

#[test]
fn upstream_that_turned_cold_before_the_return_gets_no_flows_while_it_is_cold() {
    let mut gateway = gateway_with_returned_domain();
    assert_eq!(place(&mut gateway, BACK_MS, 10), Some(2));
    let cold = Announced {
        cold_ms: 1_500,
        sequence: 2,
        ..announcement(1, "a")
    };
    gateway.announce(at(BACK_MS + ANNOUNCE_MS), control_vm(1), cold, 0);
    for (ms, port) in (BACK_MS..BACK_MS + ANNOUNCE_MS + 1_500)
        .step_by(100)
        .zip(11..)
    {
        assert_eq!(place(&mut gateway, ms, port), Some(2));
    }
    assert_eq!(place(&mut gateway, BACK_MS + 4_000, 99), Some(1));
}

#[test]
fn domain_that_is_taken_out_again_stays_out() {
    let mut gateway = gateway_with_returned_domain();
    assert_eq!(place(&mut gateway, BACK_MS, 10), Some(2));
    gateway.update_agreed(agreed_state(4, &["a"]));
    assert_eq!(place(&mut gateway, BACK_MS + 5 * WAIT_MS, 11), Some(2));
    // Another domain is taken out meanwhile, which doesn't shorten the wait for the first.
    gateway.update_agreed(agreed_state(5, &[]));
    let back_ms = BACK_MS + 6 * WAIT_MS;
    assert_eq!(place(&mut gateway, back_ms, 12), Some(2));
    gateway.update_agreed(agreed_state(6, &["c"]));
    assert_eq!(place(&mut gateway, back_ms + WAIT_MS - 1, 13), Some(2));
    assert_eq!(place(&mut gateway, back_ms + WAIT_MS, 14), Some(1));
}
