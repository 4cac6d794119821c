//! Requests from caller to upstream and back while nothing fails.

mod support;

use policy::io::Counter;
use support::{Net, Shape};
use wire::coap::{self, Method};

/// Time after which every VM has a complete history, in milliseconds.
const HISTORY_COMPLETE_MS: u64 = 5_000;

#[test]
fn a_post_is_run_once_and_answered_with_its_own_answer() {
    let mut net = Net::new(Shape::LYSGARD, 1);
    net.run_ms(HISTORY_COMPLETE_MS);
    let id = net.issue_request(Method::Post, 1_000);
    net.run_ms(500);
    net.check_invariants("one post");
    assert_eq!(net.callers.requests[&id].answers[0].code, coap::CHANGED);
    assert_eq!(net.count_runs()[&id], 1);
}

#[test]
fn many_requests_are_all_answered_below_capacity() {
    for shape in [Shape::LYSGARD, Shape::BLUE_MAHOE] {
        let mut net = Net::new(shape, 2);
        net.run_ms(HISTORY_COMPLETE_MS);
        net.start_arrivals(300.0, 0.5, 3_000);
        net.run_ms(5_000);
        net.check_invariants("below capacity");
        let request_count = net.callers.request_count();
        assert_eq!(
            net.callers.count_first_answers(coap::CHANGED),
            request_count,
            "{:?}",
            net.counters
        );
        assert_eq!(net.callers.count_unanswered(), 0);
        assert_eq!(net.counters.get(&Counter::ReplyUnmatched), None);
    }
}
