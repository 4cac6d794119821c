//! Requests of one upstream, which runs one request per slot at a time and sheds the rest.

use std::{collections::BTreeMap, net::SocketAddr};

use model::name::Name;
use wire::coap::{self, Received, Request, Response};

use super::{Stats, Warmth};
use crate::{
    message::{self, Done, Work},
    run_log::RunLog,
};

/// Max-Age of the answer to a shed request: the time after which a client may retry, in seconds.
const SHED_MAX_AGE_S: u32 = 1;

/// Key of a running request: source address and message id.
pub type RequestKey = (SocketAddr, u16);

/// Running requests and limits of one upstream.
#[derive(Debug)]
pub struct Requests {
    service: Name,
    upstream: Name,
    slots: u32,
    /// Whether a request beyond the slots makes the upstream collapse.
    collapses: bool,
    /// Running requests. Invariant: the number of a run is never reused.
    running: BTreeMap<RequestKey, RunningRequest>,
    next_run: u64,
}

/// A running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    /// Number of the run at this upstream.
    pub number: u64,
    /// Time left until the deadline in milliseconds, if the request has a deadline.
    pub deadline_ms: Option<u32>,
    token: Vec<u8>,
    acknowledges: Option<u16>,
    done: Done,
}

/// Action of the server after a datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Send these bytes as the answer.
    Answer(Vec<u8>),
    /// Run the request.
    Run(RequestKey, RunningRequest),
    /// Send no answer.
    NoAnswer,
    /// Collapse, because the datagram exceeds the capacity of the upstream.
    Overload,
}

impl Requests {
    /// Returns a state without running requests.
    #[must_use]
    pub fn new(service: Name, upstream: Name, slots: u16, collapses: bool) -> Self {
        Self {
            service,
            upstream,
            slots: u32::from(slots),
            collapses,
            running: BTreeMap::new(),
            next_run: 1,
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Drops all running requests without an answer.
    pub fn drop_running(&mut self) {
        self.running.clear();
    }

    /// Processes a received datagram.
    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        warmth: &Warmth,
        runs: &mut RunLog,
        stats: &mut Stats,
    ) -> RequestAction {
        match coap::parse(bytes) {
            Ok(Received::Request(request)) => self.on_request(from, &request, warmth, runs, stats),
            Ok(Received::Reset(message_id)) => self.on_cancel((from, message_id), stats),
            Ok(Received::Response { .. } | Received::Empty) => RequestAction::NoAnswer,
            Err(_) => {
                stats.malformed += 1;
                RequestAction::NoAnswer
            }
        }
    }

    fn on_request(
        &mut self,
        from: SocketAddr,
        request: &Request,
        warmth: &Warmth,
        runs: &mut RunLog,
        stats: &mut Stats,
    ) -> RequestAction {
        let Some(work) = message::decode::<Work>(&request.payload.0) else {
            stats.malformed += 1;
            return refusal(request, coap::BAD_REQUEST, None);
        };
        if work.service != self.service {
            stats.wrong_service_requests += 1;
        }
        let running_count = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        if running_count >= warmth.usable_slots() && warmth.usable_slots() < self.slots {
            stats.cold_overloads += 1;
            return RequestAction::Overload;
        }
        if running_count >= self.slots {
            stats.requests_shed += 1;
            return match self.collapses {
                true => RequestAction::Overload,
                false => refusal(request, coap::UNAVAILABLE, Some(SHED_MAX_AGE_S)),
            };
        }
        stats.requests_run += 1;
        stats.most_busy = stats.most_busy.max(u64::from(running_count) + 1);
        let run = runs.record(&work);
        let running = self.new_run(request, &work, run);
        let key = (from, request.message_id);
        self.running.insert(key, running.clone());
        RequestAction::Run(key, running)
    }

    fn new_run(&mut self, request: &Request, work: &Work, run: u32) -> RunningRequest {
        let number = self.next_run;
        self.next_run += 1;
        RunningRequest {
            number,
            deadline_ms: request.deadline_ms,
            token: request.token.clone(),
            acknowledges: request.confirmable.then_some(request.message_id),
            done: Done {
                id: work.id,
                service: self.service.clone(),
                upstream: self.upstream.clone(),
                run,
            },
        }
    }

    /// Ends a cancelled request and answers with a timeout, because the request may have had effects.
    fn on_cancel(&mut self, key: RequestKey, stats: &mut Stats) -> RequestAction {
        match self.running.remove(&key) {
            Some(running) => {
                stats.requests_cancelled += 1;
                answer(running.token, coap::TIMEOUT, Vec::new(), None)
            }
            None => RequestAction::NoAnswer,
        }
    }

    /// Ends run `number` and returns the answer; `None` when the run was cancelled or dropped before.
    pub fn finish(
        &mut self,
        key: RequestKey,
        number: u64,
        in_time: bool,
        stats: &mut Stats,
    ) -> Option<Vec<u8>> {
        if self.running.get(&key)?.number != number {
            return None;
        }
        let running = self.running.remove(&key)?;
        let action = if in_time {
            stats.requests_answered += 1;
            let body = message::encode(&running.done);
            answer(running.token, coap::CHANGED, body, running.acknowledges)
        } else {
            answer(
                running.token,
                coap::TIMEOUT,
                Vec::new(),
                running.acknowledges,
            )
        };
        match action {
            RequestAction::Answer(bytes) => Some(bytes),
            RequestAction::Run(..) | RequestAction::NoAnswer | RequestAction::Overload => None,
        }
    }
}

fn refusal(request: &Request, code: u8, max_age_s: Option<u32>) -> RequestAction {
    let response = Response {
        token: request.token.clone(),
        code,
        max_age_s,
        payload: Vec::new().into(),
    };
    encode(&response, request.confirmable.then_some(request.message_id))
}

fn answer(token: Vec<u8>, code: u8, payload: Vec<u8>, acknowledges: Option<u16>) -> RequestAction {
    let response = Response {
        token,
        code,
        max_age_s: None,
        payload: payload.into(),
    };
    encode(&response, acknowledges)
}

fn encode(response: &Response, acknowledges: Option<u16>) -> RequestAction {
    // Each attempt has its own token, so the last two bytes of the token serve as message id.
    let own = response.token.last_chunk().copied().unwrap_or_default();
    let own = coap::Kind::Own(u16::from_be_bytes(own));
    let kind = acknowledges.map_or(own, coap::Kind::Acknowledges);
    coap::response(response, kind).map_or(RequestAction::NoAnswer, RequestAction::Answer)
}
