//! Tests that callers detect faults, each simulated behind the fabric of the callers.

use std::{cell::RefCell, rc::Rc};

use crate::common::{Callers, direct_entry, entry, name, on_one_thread, start, traffic, upstream};
use standin::{
    caller::{Command, Traffic},
    message::{self, Done, Work},
    run_log::RunLog,
};
use tokio::net::UdpSocket;
use wire::coap::{self, Received, Response};

/// Starts a fake upstream that answers each request with `answers` and ignores flows, and callers that
/// send requests to it.
async fn start_fake_upstream(
    answers: impl Fn(&Work, Vec<u8>) -> Vec<Response> + 'static,
) -> Callers {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let mut buffer = vec![0; 2_048];
        loop {
            let (len, from) = socket.recv_from(&mut buffer).await.unwrap();
            let Ok(Received::Request(request)) = coap::parse(&buffer[..len]) else {
                continue;
            };
            let work = message::decode(&request.payload.0).unwrap();
            for response in answers(&work, request.token) {
                let bytes = coap::response(&response, coap::Kind::Acknowledges(request.message_id))
                    .unwrap();
                socket.send_to(&bytes, from).await.unwrap();
            }
        }
    });
    let requests = Traffic {
        requests_per_second: 50,
        ..traffic("booking")
    };
    Callers::start(vec![entry(address, address)], vec![requests])
}

fn result(token: Vec<u8>, id: u64, service: &str) -> Response {
    let done = Done {
        id,
        service: name(service),
        upstream: name("b-1"),
        run: 1,
    };
    Response {
        token,
        code: coap::CHANGED,
        max_age_s: None,
        payload: message::encode(&done).into(),
    }
}

fn refusal(token: Vec<u8>) -> Response {
    Response {
        token,
        code: coap::UNAVAILABLE,
        max_age_s: Some(1),
        payload: Vec::new().into(),
    }
}

#[test]
fn traffic_directly_to_an_upstream_has_no_faults() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        let all = Traffic {
            feeds: 10,
            uploads_per_100_s: 500,
            requests_per_second: 50,
            ..traffic("booking")
        };
        let callers = Callers::start(vec![direct_entry(&server)], vec![all]);
        callers
            .wait_until(|r| r.requests.answered > 20 && r.flows.uploads_finished > 0)
            .await;
        callers.ask(Command::Stop).await;
        let report = callers
            .wait_until(|r| r.requests.open == 0 && r.flows.open == 0)
            .await;
        let (flows, requests) = (report.flows, report.requests);
        assert_eq!(flows.broken + flows.wrong_service + flows.not_opened, 0);
        assert_eq!(flows.opened, flows.kept);
        assert_eq!(requests.wrong_answer + requests.wrong_service, 0);
        assert_eq!(runs.borrow().run_twice(), 0);
        assert_eq!(server.stats().unknown_packets, 0);
    });
}

#[test]
fn a_flow_whose_packets_reach_two_upstreams_is_broken() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let one = start(upstream("b-1", "booking"), &runs).await;
        let other = start(upstream("b-2", "booking"), &runs).await;
        let feeds = Traffic {
            feeds: 5,
            ..traffic("booking")
        };
        let callers = Callers::start(vec![direct_entry(&one), direct_entry(&other)], vec![feeds]);
        callers.wait_until(|r| r.flows.broken > 0).await;
        assert!(one.stats().unknown_packets + other.stats().unknown_packets > 0);
    });
}

#[test]
fn a_flow_of_a_domain_that_was_taken_out_is_given_up_and_not_broken() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        let feeds = Traffic {
            feeds: 3,
            ..traffic("booking")
        };
        let callers = Callers::start(vec![direct_entry(&server)], vec![feeds]);
        callers.wait_until(|r| r.flows.open == 3).await;
        let domain = name("aarhus-a");
        callers.ask(Command::DomainOut { domain }).await;
        server.freeze(true);
        let report = callers.wait_until(|r| r.flows.given_up == 3).await;
        assert_eq!(report.flows.broken, 0);
    });
}

#[test]
fn a_flow_at_another_service_is_detected_on_both_sides() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("p-1", "plan-intake"), &runs).await;
        let feeds = Traffic {
            feeds: 1,
            ..traffic("booking")
        };
        let callers = Callers::start(vec![direct_entry(&server)], vec![feeds]);
        callers.wait_until(|r| r.flows.wrong_service > 0).await;
        assert!(server.stats().wrong_service_flows > 0);
    });
}

#[test]
fn an_answer_to_another_request_is_detected() {
    on_one_thread(async {
        let callers =
            start_fake_upstream(|work, token| vec![result(token, work.id + 1, "booking")]).await;
        let report = callers.wait_until(|r| r.requests.wrong_answer > 0).await;
        assert_eq!(report.requests.answered, 0);
    });
}

#[test]
fn an_answer_of_another_service_is_detected() {
    on_one_thread(async {
        let callers =
            start_fake_upstream(|work, token| vec![result(token, work.id, "plan-intake")]).await;
        let report = callers.wait_until(|r| r.requests.wrong_service > 0).await;
        assert_eq!(report.requests.answered, 0);
    });
}

#[test]
fn a_result_after_a_refusal_as_not_run_is_detected() {
    on_one_thread(async {
        let callers = start_fake_upstream(|work, token| {
            let refusal = refusal(token.clone());
            vec![refusal, result(token, work.id, "booking")]
        })
        .await;
        let report = callers
            .wait_until(|r| r.requests.refused_but_answered > 0)
            .await;
        assert!(!report.refused.is_empty());
    });
}

#[test]
fn unanswered_requests_are_counted_and_retransmitted() {
    on_one_thread(async {
        let callers = start_fake_upstream(|_, _| Vec::new()).await;
        let report = callers.wait_until(|r| r.requests.no_answer > 0).await;
        assert!(report.requests.repeats > 0);
    });
}
