//! Repeated requests, reused tokens, late answers and the bounds on records.

mod support;

use policy::{io::Counter, request::MAX_RECORDS};
use support::{Net, Shape};
use wire::coap::{self, Method};

/// Time after which every VM has a complete history, in milliseconds.
const HISTORY_COMPLETE_MS: u64 = 5_000;

fn net(seed: u64) -> Net {
    let mut net = Net::new(Shape::LYSGARD, seed);
    net.run_ms(HISTORY_COMPLETE_MS);
    net
}

#[test]
fn a_repeat_gets_the_recorded_answer_and_runs_nothing() {
    let mut net = net(1);
    let id = net.issue_request(Method::Post, 1_000);
    net.run_ms(200);
    for _ in 0..9 {
        let (caller, request) = net.callers.request_copy(id);
        net.submit_request(caller, request);
    }
    net.run_ms(200);
    net.check_invariants("repeats");
    assert_eq!(net.callers.requests[&id].answers.len(), 10);
    assert_eq!(net.count_runs()[&id], 1);
}

#[test]
fn a_token_can_be_reused_once_the_first_request_is_answered() {
    let mut net = net(2);
    let id = net.issue_request(Method::Post, 1_000);
    net.run_ms(200);
    let (caller, mut request) = net.callers.request_copy(id);
    request.message_id += 1;
    net.submit_request(caller, request);
    net.run_ms(200);
    let answers = &net.callers.requests[&id].answers;
    assert_eq!(answers.len(), 2);
    assert!(answers.iter().all(|a| a.code == coap::CHANGED));
    assert_eq!(
        net.count_runs()[&id],
        2,
        "the second request with the same body did not run"
    );
}

#[test]
fn an_unanswered_request_repeated_under_a_new_message_id_runs_once() {
    let mut net = net(3);
    net.callers.repeats = false;
    for upstream in &mut net.upstreams {
        upstream.service_us = 900_000;
    }
    let id = net.issue_request(Method::Post, 2_000);
    net.run_ms(100);
    let (caller, mut request) = net.callers.request_copy(id);
    request.message_id += 1;
    net.submit_request(caller, request);
    net.run_ms(3_000);
    net.check_invariants("repeated under another message id");
    assert_eq!(net.count_runs()[&id], 1);
}

#[test]
fn a_post_given_up_at_its_deadline_is_unknown_and_its_late_answer_is_recorded() {
    let mut net = net(4);
    net.callers.repeats = false;
    for upstream in &mut net.upstreams {
        upstream.service_us = 600_000;
        upstream.honors_deadlines = false;
    }
    let id = net.issue_request(Method::Post, 200);
    net.run_ms(250);
    let request = &net.callers.requests[&id];
    assert_eq!(request.answers[0].code, coap::TIMEOUT);
    assert!(
        request.answer_times[0] <= request.deadline,
        "answered after the deadline"
    );
    net.run_ms(1_500);
    assert_eq!(net.counters[&Counter::ReplyLate], 1);
    let (caller, request) = net.callers.request_copy(id);
    net.submit_request(caller, request);
    net.run_ms(50);
    let answers = &net.callers.requests[&id].answers;
    assert_eq!(answers[1].code, coap::CHANGED);
    assert_eq!(net.count_runs()[&id], 1);
}

#[test]
fn a_request_to_an_unknown_service_is_not_found() {
    let mut net = net(5);
    let id = net.issue_request(Method::Get, 1_000);
    let (caller, mut request) = net.callers.request_copy(id);
    request.host = "nobody".to_owned();
    request.token = vec![9];
    net.callers.expect_token(id, vec![9]);
    net.submit_request(caller, request);
    net.run_ms(5);
    assert_eq!(net.callers.requests[&id].answers[0].code, coap::NOT_FOUND);
}

#[test]
fn records_stay_within_their_bound_and_requests_without_room_do_not_run() {
    let shape = Shape {
        domains: 1,
        vms: 1,
        upstreams: 1,
        ..Shape::LYSGARD
    };
    let mut net = Net::new(shape, 6);
    net.run_ms(HISTORY_COMPLETE_MS);
    net.callers.repeats = false;
    for _ in 0..MAX_RECORDS + 2_000 {
        net.issue_request(Method::Post, 500);
    }
    net.run_ms(2_000);
    net.check_invariants("records full");
    let (records, _) = net
        .vms
        .values()
        .next()
        .map(|e| e.requests.record_count_and_bytes())
        .unwrap();
    assert!(records <= MAX_RECORDS, "{records} records");
    assert!(
        net.callers.count_unanswered() <= 2_000,
        "{}",
        net.callers.count_unanswered()
    );
}
