//! Callers that send a request again, through any VM, until it is answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use model::key;
use policy::time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::coap;

/// Time after which a caller first repeats a request, in milliseconds; it doubles with each copy.
const FIRST_REPEAT_MS: u64 = 300;

/// One request of a caller.
pub(crate) struct Request {
    pub(crate) method: coap::Method,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Answers in order of arrival.
    pub(crate) answers: Vec<coap::Response>,
    /// Arrival time of each answer.
    pub(crate) answer_times: Vec<Instant>,
    /// Arrival time of the first answer.
    pub(crate) first_answered_at: Option<Instant>,
    caller: SocketAddr,
    request: coap::Request,
    copies_sent: u32,
}

/// All callers.
pub(crate) struct Callers {
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) per_second: f64,
    pub(crate) post_share: f64,
    pub(crate) deadline_ms: u32,
    pub(crate) until: Instant,
    /// Whether callers send copies of unanswered requests.
    pub(crate) repeats: bool,
    /// Id of the first request that the counts include.
    measured_from: u64,
    forgotten: u64,
    by_caller: BTreeMap<SocketAddr, u64>,
    rng: Pcg64Mcg,
}

impl Callers {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            requests: BTreeMap::new(),
            per_second: 0.0,
            post_share: 0.0,
            deadline_ms: 1_000,
            until: Instant::ZERO,
            repeats: true,
            measured_from: 0,
            forgotten: 0,
            by_caller: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xCA11),
        }
    }

    pub(crate) fn next_arrival(&mut self, now: Instant) -> Option<(u64, u64)> {
        if now >= self.until {
            return None;
        }
        let post = self.rng.random_bool(self.post_share);
        let method = if post {
            coap::Method::Post
        } else {
            coap::Method::Get
        };
        let id = self.start_request(now, method, self.deadline_ms);
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let gap_us = (-uniform.ln() / self.per_second * 1e6) as u64;
        Some((id, gap_us))
    }

    pub(crate) fn start_request(
        &mut self,
        now: Instant,
        method: coap::Method,
        deadline_ms: u32,
    ) -> u64 {
        let id = self.forgotten + self.requests.len() as u64 + 1;
        let [.., a, b, c] = id.to_be_bytes();
        let caller = SocketAddr::from(([10, a | 64, b, c], 40_000));
        let request = coap::Request {
            message_id: id as u16,
            confirmable: true,
            token: vec![1, 2, 3, 4],
            method,
            host: "booking".to_owned(),
            port: None,
            path: "orders".to_owned(),
            deadline_ms: Some(deadline_ms),
            payload: id.to_be_bytes().to_vec().into(),
        };
        let request = Request {
            method,
            sent: now,
            deadline: now.plus_ms(u64::from(deadline_ms)),
            answers: Vec::new(),
            answer_times: Vec::new(),
            first_answered_at: None,
            caller,
            request,
            copies_sent: 0,
        };
        self.by_caller.insert(caller, id);
        self.requests.insert(id, request);
        id
    }

    /// Returns the next copy of an unanswered request, and the time until one more copy is due, in
    /// milliseconds.
    pub(crate) fn next_copy(
        &mut self,
        now: Instant,
        id: u64,
    ) -> Option<(SocketAddr, coap::Request, u64)> {
        let request = self.requests.get_mut(&id)?;
        let is_over = request.first_answered_at.is_some() || now >= request.deadline;
        if is_over || (request.copies_sent > 0 && !self.repeats) {
            return None;
        }
        let repeat_after_ms = FIRST_REPEAT_MS << request.copies_sent.min(4);
        request.copies_sent += 1;
        Some((request.caller, request.request.clone(), repeat_after_ms))
    }

    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        caller: SocketAddr,
        response: coap::Response,
    ) {
        let id = self.by_caller[&caller];
        let request = self.requests.get_mut(&id).unwrap();
        assert_eq!(
            response.token, request.request.token,
            "the answer carries the token of another request"
        );
        request.answers.push(response);
        request.answer_times.push(now);
        request.first_answered_at.get_or_insert(now);
    }

    /// Returns one more copy of a request.
    pub(crate) fn request_copy(&self, id: u64) -> (SocketAddr, coap::Request) {
        let request = &self.requests[&id];
        (request.caller, request.request.clone())
    }

    /// Expects the next answers to a request to carry another token than its own.
    pub(crate) fn expect_token(&mut self, id: u64, token: Vec<u8>) {
        self.requests.get_mut(&id).unwrap().request.token = token;
    }

    pub(crate) fn key(&self, id: u64) -> key::Request {
        let request = &self.requests[&id];
        key::Request {
            caller: request.caller,
            token: request.request.token.clone(),
        }
    }

    /// Forgets all requests so far, each of which must be over.
    pub(crate) fn forget_requests(&mut self) {
        self.forgotten += self.requests.len() as u64;
        self.requests.clear();
        self.by_caller.clear();
    }

    /// Excludes all requests so far from the counts.
    pub(crate) fn start_measuring(&mut self) {
        self.measured_from = self.requests.len() as u64 + 1;
    }

    /// Returns the requests since measuring started.
    pub(crate) fn measured(&self) -> impl Iterator<Item = &Request> {
        self.requests
            .range(self.measured_from..)
            .map(|(_, request)| request)
    }

    /// Returns the number of requests since measuring started.
    pub(crate) fn request_count(&self) -> usize {
        self.measured().count()
    }

    /// Counts the requests whose first answer has this code.
    pub(crate) fn count_first_answers(&self, code: u8) -> usize {
        let first = self.measured().filter_map(|r| r.answers.first());
        first.filter(|r| r.code == code).count()
    }

    /// Counts the requests without an answer.
    pub(crate) fn count_unanswered(&self) -> usize {
        self.measured().filter(|r| r.answers.is_empty()).count()
    }
}
