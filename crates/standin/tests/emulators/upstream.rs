//! Tests that emulated upstreams log repeated runs, shed requests beyond their slots, and collapse
//! under overload while cold.

use std::{cell::RefCell, rc::Rc};

use crate::common::{name, on_one_thread, start, upstream};
use standin::{
    message::{self, Work},
    run_log::RunLog,
    upstream::{Server, Upstream},
};
use tokio::net::UdpSocket;
use wire::{
    coap::{self, Method, Received, Request, Response},
    gue::{self, Segment},
};

fn post(id: u64) -> Request {
    let work = Work {
        id,
        service: name("booking"),
        idempotent: false,
    };
    Request {
        message_id: u16::try_from(id).unwrap(),
        confirmable: true,
        token: id.to_be_bytes().to_vec(),
        method: Method::Post,
        host: "booking".to_owned(),
        port: None,
        path: "work".to_owned(),
        deadline_ms: Some(60_000),
        payload: message::encode(&work).into(),
    }
}

/// Returns the settings of an upstream whose requests take longer than any test.
fn slow_upstream() -> Upstream {
    Upstream {
        service_min_ms: 60_000,
        ..upstream("b-1", "booking")
    }
}

struct Client {
    socket: UdpSocket,
}

impl Client {
    async fn to(server: &Server) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket
            .connect(server.request_address().unwrap())
            .await
            .unwrap();
        Self { socket }
    }

    async fn send(&self, bytes: &[u8]) {
        self.socket.send(bytes).await.unwrap();
    }

    async fn post(&self, id: u64) {
        self.send(&coap::request(&post(id)).unwrap()).await;
    }

    async fn answer(&self) -> Response {
        let mut buffer = vec![0; 2_048];
        let len = self.socket.recv(&mut buffer).await.unwrap();
        match coap::parse(&buffer[..len]).unwrap() {
            Received::Response { response, .. } => response,
            other => panic!("no response: {other:?}"),
        }
    }
}

#[test]
fn a_non_idempotent_request_that_arrives_twice_is_a_doubled_run() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        let client = Client::to(&server).await;
        for _ in 0..2 {
            client.post(7).await;
            assert_eq!(client.answer().await.code, coap::CHANGED);
        }
        assert_eq!(runs.borrow().run_twice(), 1);
    });
}

#[test]
fn requests_beyond_the_slots_are_shed_and_not_run() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(slow_upstream(), &runs).await;
        let client = Client::to(&server).await;
        for id in 1..=4 {
            client.post(id).await;
        }
        let refusal = client.answer().await;
        assert_eq!(refusal.code, coap::UNAVAILABLE);
        assert_eq!(refusal.max_age_s, Some(1));
        assert_eq!(runs.borrow().runs(4), 0);
        assert_eq!(server.stats().requests_run, 3);
    });
}

#[test]
fn a_cancelled_request_frees_its_slot_and_is_answered_as_unknown() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(slow_upstream(), &runs).await;
        let client = Client::to(&server).await;
        client.post(1).await;
        client.send(&coap::reset(1).unwrap()).await;
        assert_eq!(client.answer().await.code, coap::TIMEOUT);
        assert_eq!(server.stats().requests_cancelled, 1);
    });
}

#[test]
fn a_request_whose_deadline_passes_is_answered_as_unknown() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(slow_upstream(), &runs).await;
        let client = Client::to(&server).await;
        let hasty = Request {
            deadline_ms: Some(5),
            ..post(1)
        };
        client.send(&coap::request(&hasty).unwrap()).await;
        assert_eq!(client.answer().await.code, coap::TIMEOUT);
    });
}

#[test]
fn a_cold_upstream_runs_one_request_and_collapses_under_two() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(slow_upstream(), &runs).await;
        server.turn_cold(false);
        let client = Client::to(&server).await;
        client.post(1).await;
        client.post(2).await;
        while server.stats().collapses == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(server.stats().cold_overloads, 1);
        assert_eq!(runs.borrow().runs(2), 0);
    });
}

#[test]
fn a_cold_upstream_collapses_under_a_burst_of_new_flows() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        server.turn_cold(false);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let local_address = socket.local_addr().unwrap();
        let service = "10.9.0.1:443".parse().unwrap();
        for flow in 1..=30 {
            let open = message::Call::Open {
                service: name("booking"),
                flow,
            };
            let packet = gue::build(
                local_address,
                service,
                Segment::Open,
                1,
                &message::encode(&open),
            );
            socket
                .send_to(&packet, server.flow_address().unwrap())
                .await
                .unwrap();
        }
        while server.stats().collapses == 0 {
            tokio::task::yield_now().await;
        }
        assert!(server.stats().flows_opened < 30);
    });
}

#[test]
fn announcements_can_be_false_lag_and_report_a_cold_start() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        let first = server.announcement().unwrap();
        assert_eq!(first.warmth_percent, 100);
        server.update_health(|h| h.lag = 1);
        server.turn_cold(true);
        let lagging = server.announcement().unwrap();
        assert!(lagging.incarnation > first.incarnation);
        assert_eq!(lagging.warmth_percent, 100);
        assert!(server.announcement().unwrap().warmth_percent < 100);
        server.update_health(|h| h.lies = true);
        assert_eq!(server.announcement().unwrap().warmth_percent, 100);
    });
}

#[test]
fn malformed_datagrams_are_counted_and_dropped() {
    on_one_thread(async {
        let runs = Rc::new(RefCell::new(RunLog::default()));
        let server = start(upstream("b-1", "booking"), &runs).await;
        let client = Client::to(&server).await;
        client.send(&[0xFF; 3]).await;
        client.post(1).await;
        assert_eq!(client.answer().await.code, coap::CHANGED);
        assert_eq!(server.stats().malformed, 1);
    });
}
