//! Requests of one upstream: as many at a time as it has slots, the rest is shed.

use std::{collections::BTreeMap, net::SocketAddr};

use model::name::Name;
use wire::coap::{self, Received, Request, Response};

use super::{Stats, Warmth};
use crate::{
    message::{self, Done, Work},
    run_log::RunLog,
};

/// When a shed request may come back, in seconds.
const SHED_MAX_AGE_S: u32 = 1;

/// Identifies a running request: where it came from, and its message id.
pub type Key = (SocketAddr, u16);

/// Requests of one upstream.
#[derive(Debug)]
pub struct Requests {
    service: Name,
    upstream: Name,
    slots: u32,
    /// Whether requests beyond the slots make it collapse.
    collapses: bool,
    /// Running requests. Invariant: numbers of runs are never reused.
    running: BTreeMap<Key, Job>,
    next_job: u64,
}

/// A running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Number of the run at this upstream.
    pub number: u64,
    /// Time that is left, in milliseconds, where the request named one.
    pub deadline_ms: Option<u32>,
    token: Vec<u8>,
    acknowledges: Option<u16>,
    done: Done,
}

/// What to do with a datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Answer at once.
    Answer(Vec<u8>),
    /// The request runs from now on.
    Run(Key, Job),
    /// Nothing.
    Silence,
    /// The upstream got more than it bears.
    Overload,
}

impl Requests {
    /// No requests yet.
    #[must_use]
    pub fn new(service: Name, upstream: Name, slots: u16, collapses: bool) -> Self {
        Self {
            service,
            upstream,
            slots: u32::from(slots),
            collapses,
            running: BTreeMap::new(),
            next_job: 1,
        }
    }

    /// Requests that run now.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Drops what runs, without an answer.
    pub fn abort(&mut self) {
        self.running.clear();
    }

    /// Takes a datagram.
    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        warmth: &Warmth,
        runs: &mut RunLog,
        stats: &mut Stats,
    ) -> Step {
        match coap::parse(bytes) {
            Ok(Received::Request(request)) => self.on_request(from, &request, warmth, runs, stats),
            Ok(Received::Reset(message_id)) => self.on_cancel((from, message_id), stats),
            Ok(Received::Response { .. } | Received::Empty) => Step::Silence,
            Err(_) => {
                stats.malformed += 1;
                Step::Silence
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
    ) -> Step {
        let Some(work) = message::decode::<Work>(&request.payload.0) else {
            stats.malformed += 1;
            return refusal(request, coap::BAD_REQUEST, None);
        };
        if work.service != self.service {
            stats.wrong_service_requests += 1;
        }
        let busy = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        if busy >= warmth.bears_slots() && warmth.bears_slots() < self.slots {
            stats.cold_overloads += 1;
            return Step::Overload;
        }
        if busy >= self.slots {
            stats.requests_shed += 1;
            return match self.collapses {
                true => Step::Overload,
                false => refusal(request, coap::UNAVAILABLE, Some(SHED_MAX_AGE_S)),
            };
        }
        stats.requests_run += 1;
        stats.most_busy = stats.most_busy.max(u64::from(busy) + 1);
        let run = runs.record(&work);
        let job = self.job(request, &work, run);
        let key = (from, request.message_id);
        self.running.insert(key, job.clone());
        Step::Run(key, job)
    }

    fn job(&mut self, request: &Request, work: &Work, run: u32) -> Job {
        let number = self.next_job;
        self.next_job += 1;
        Job {
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

    /// Ends a cancelled request and says so, since it may have had effects.
    fn on_cancel(&mut self, key: Key, stats: &mut Stats) -> Step {
        match self.running.remove(&key) {
            Some(job) => {
                stats.requests_cancelled += 1;
                answer(job.token, coap::TIMEOUT, Vec::new(), None)
            }
            None => Step::Silence,
        }
    }

    /// The answer to a request whose time has run; `None` where it was cancelled or dropped.
    pub fn finish(
        &mut self,
        key: Key,
        number: u64,
        in_time: bool,
        stats: &mut Stats,
    ) -> Option<Vec<u8>> {
        if self.running.get(&key)?.number != number {
            return None;
        }
        let job = self.running.remove(&key)?;
        let step = if in_time {
            stats.requests_answered += 1;
            let body = message::encode(&job.done);
            answer(job.token, coap::CHANGED, body, job.acknowledges)
        } else {
            answer(job.token, coap::TIMEOUT, Vec::new(), job.acknowledges)
        };
        match step {
            Step::Answer(bytes) => Some(bytes),
            Step::Run(..) | Step::Silence | Step::Overload => None,
        }
    }
}

fn refusal(request: &Request, code: u8, max_age_s: Option<u32>) -> Step {
    let response = Response {
        token: request.token.clone(),
        code,
        max_age_s,
        payload: Vec::new().into(),
    };
    encode(&response, request.confirmable.then_some(request.message_id))
}

fn answer(token: Vec<u8>, code: u8, payload: Vec<u8>, acknowledges: Option<u16>) -> Step {
    let response = Response {
        token,
        code,
        max_age_s: None,
        payload: payload.into(),
    };
    encode(&response, acknowledges)
}

fn encode(response: &Response, acknowledges: Option<u16>) -> Step {
    // Tokens of attempts differ, so that their last bytes serve as message ids.
    let own = response.token.last_chunk().copied().unwrap_or_default();
    let own = coap::Kind::Own(u16::from_be_bytes(own));
    let kind = acknowledges.map_or(own, coap::Kind::Acknowledges);
    coap::response(response, kind).map_or(Step::Silence, Step::Answer)
}
