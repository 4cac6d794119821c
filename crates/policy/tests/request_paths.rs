//! Requests through home, holder and steward while nothing fails, and the plain refusals.

mod support;

use policy::io::Counter;
use support::{Net, Shape};
use wire::coap::{self, Method};

/// Time after which every VM vouches for the past, in milliseconds.
const SETTLED_MS: u64 = 5_000;

#[test]
fn a_post_is_run_once_and_answered_with_its_own_answer() {
    let mut net = Net::new(Shape::LYSGARD, 1);
    net.run_ms(SETTLED_MS);
    let id = net.request(Method::Post, 1_000);
    net.run_ms(500);
    net.check("one post");
    assert_eq!(net.callers.requests[&id].answers[0].code, coap::CHANGED);
    assert_eq!(net.runs()[&id], 1);
}

#[test]
fn many_requests_are_all_answered_below_capacity() {
    for shape in [Shape::LYSGARD, Shape::BLUE_MAHOE] {
        let mut net = Net::new(shape, 2);
        net.run_ms(SETTLED_MS);
        net.arrivals(300.0, 0.5, 3_000);
        net.run_ms(5_000);
        net.check("below capacity");
        let asked = net.callers.asked();
        assert_eq!(net.callers.first(coap::CHANGED), asked, "{:?}", net.counts);
        assert_eq!(net.callers.unanswered(), 0);
        assert_eq!(net.counts.get(&Counter::ReplyUnmatched), None);
    }
}
