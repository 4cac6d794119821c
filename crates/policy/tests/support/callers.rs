//! Callers that repeat their requests through any VM until they are answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use model::key;
use policy::time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::coap;

/// Time after which a caller repeats, in milliseconds; it doubles with each copy.
const REPEAT_MS: u64 = 300;

/// One request of a caller.
pub(crate) struct Request {
    pub(crate) method: coap::Method,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Answers in the order in which they came.
    pub(crate) answers: Vec<coap::Response>,
    /// When each answer came.
    pub(crate) times: Vec<Instant>,
    /// When the first answer came.
    pub(crate) answered: Option<Instant>,
    caller: SocketAddr,
    request: coap::Request,
    copies: u32,
}

/// All callers.
pub(crate) struct Callers {
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) per_second: f64,
    pub(crate) post_share: f64,
    pub(crate) deadline_ms: u32,
    pub(crate) until: Instant,
    /// Whether callers send copies of what is not answered.
    pub(crate) repeats: bool,
    /// The first request that counts in the numbers.
    mark: u64,
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
            mark: 0,
            forgotten: 0,
            by_caller: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xCA11),
        }
    }

    pub(crate) fn arrive(&mut self, now: Instant) -> Option<(u64, u64)> {
        if now >= self.until {
            return None;
        }
        let post = self.rng.random_bool(self.post_share);
        let method = if post {
            coap::Method::Post
        } else {
            coap::Method::Get
        };
        let id = self.start(now, method, self.deadline_ms);
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let gap_us = (-draw.ln() / self.per_second * 1e6) as u64;
        Some((id, gap_us))
    }

    pub(crate) fn start(&mut self, now: Instant, method: coap::Method, deadline_ms: u32) -> u64 {
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
            times: Vec::new(),
            answered: None,
            caller,
            request,
            copies: 0,
        };
        self.by_caller.insert(caller, id);
        self.requests.insert(id, request);
        id
    }

    /// The next copy of a request that is not answered, and when to send one more.
    pub(crate) fn next_copy(
        &mut self,
        now: Instant,
        id: u64,
    ) -> Option<(SocketAddr, coap::Request, u64)> {
        let request = self.requests.get_mut(&id)?;
        let over = request.answered.is_some() || now >= request.deadline;
        if over || (request.copies > 0 && !self.repeats) {
            return None;
        }
        let again_ms = REPEAT_MS << request.copies.min(4);
        request.copies += 1;
        Some((request.caller, request.request.clone(), again_ms))
    }

    pub(crate) fn answered(&mut self, now: Instant, caller: SocketAddr, response: coap::Response) {
        let id = self.by_caller[&caller];
        let request = self.requests.get_mut(&id).unwrap();
        assert_eq!(
            response.token, request.request.token,
            "token of another request"
        );
        request.answers.push(response);
        request.times.push(now);
        request.answered.get_or_insert(now);
    }

    /// One more copy of a request.
    pub(crate) fn copy(&self, id: u64) -> (SocketAddr, coap::Request) {
        let request = &self.requests[&id];
        (request.caller, request.request.clone())
    }

    /// Has the next answers bear another token than the request's own.
    pub(crate) fn expect_token(&mut self, id: u64, token: Vec<u8>) {
        self.requests.get_mut(&id).unwrap().request.token = token;
    }

    /// The key of a request.
    pub(crate) fn key(&self, id: u64) -> key::Request {
        let request = &self.requests[&id];
        key::Request {
            caller: request.caller,
            token: request.request.token.clone(),
        }
    }

    /// Forgets the requests so far, which must all be over.
    pub(crate) fn forget(&mut self) {
        self.forgotten += self.requests.len() as u64;
        self.requests.clear();
        self.by_caller.clear();
    }

    /// Leaves the requests so far out of the numbers.
    pub(crate) fn mark(&mut self) {
        self.mark = self.requests.len() as u64 + 1;
    }

    /// The requests since the mark.
    pub(crate) fn marked(&self) -> impl Iterator<Item = &Request> {
        self.requests.range(self.mark..).map(|(_, request)| request)
    }

    /// How many requests there were since the mark.
    pub(crate) fn asked(&self) -> usize {
        self.marked().count()
    }

    /// How many requests got this code as their first answer.
    pub(crate) fn first(&self, code: u8) -> usize {
        let first = self.marked().filter_map(|r| r.answers.first());
        first.filter(|r| r.code == code).count()
    }

    /// How many requests got no answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.marked().filter(|r| r.answers.is_empty()).count()
    }
}
