//! Fakes at the interfaces of a node: upstreams and callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{announce::Announcement, name::Name};
use wire::{
    blob::Blob,
    coap::{self, Method, Request, Response},
};

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) announced: Announcement,
    /// Fingerprints of the flows that it holds.
    pub(crate) flows: BTreeSet<u64>,
    /// Requests under way: attempt to body.
    pub(crate) running: BTreeMap<u64, Run>,
    /// Latest time a packet or request of new work came, in milliseconds.
    pub(crate) last_new_work_ms: u64,
    /// Latest time anything came, in milliseconds.
    pub(crate) last_packet_ms: u64,
    /// Messages answered by a message id that was seen before.
    pub(crate) next_run: u64,
}

/// A request that runs.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) from: SocketAddr,
    pub(crate) token: Vec<u8>,
    pub(crate) message_id: u16,
    pub(crate) body: Blob,
}

impl Upstream {
    pub(crate) fn new(announced: Announcement) -> Self {
        Self {
            announced,
            flows: BTreeSet::new(),
            running: BTreeMap::new(),
            last_new_work_ms: 0,
            last_packet_ms: 0,
            next_run: 0,
        }
    }

    /// Starts to run a request; `None` when all slots are taken.
    pub(crate) fn start(&mut self, from: SocketAddr, request: &Request) -> Option<u64> {
        if self.running.len() >= usize::from(self.announced.slots) {
            return None;
        }
        self.next_run += 1;
        let run = Run {
            from,
            token: request.token.clone(),
            message_id: request.message_id,
            body: request.payload.clone(),
        };
        self.running.insert(self.next_run, run);
        Some(self.next_run)
    }

    /// Ends a run; `None` when it was cancelled or lost by a restart.
    pub(crate) fn end(&mut self, run: u64) -> Option<(SocketAddr, Response)> {
        let run = self.running.remove(&run)?;
        let response = Response {
            token: run.token,
            code: coap::CHANGED,
            max_age_s: None,
            payload: run.body,
        };
        Some((run.from, response))
    }
}

/// A flow as its caller sees it.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) caller: SocketAddr,
    pub(crate) service: usize,
    /// Upstream that opened it.
    pub(crate) upstream: Option<Name>,
    /// Latest time a packet of it reached its upstream, in milliseconds.
    pub(crate) last_ms: u64,
    /// Whether it ended with an upstream that restarted.
    pub(crate) ended: bool,
}

/// A request as its caller sees it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) caller: SocketAddr,
    pub(crate) request: Request,
    pub(crate) answer: Option<Response>,
    pub(crate) repeats: u32,
}

impl Call {
    /// A reservation whose body is its own number.
    pub(crate) fn new(number: u64, caller: SocketAddr, host: String) -> Self {
        let request = Request {
            message_id: u16::try_from(number % 65_536).unwrap_or_default(),
            confirmable: true,
            token: number.to_be_bytes().to_vec(),
            method: Method::Post,
            host,
            port: None,
            path: "reservations".to_owned(),
            deadline_ms: Some(1_500),
            payload: Blob::from(number.to_be_bytes().to_vec()),
        };
        Self {
            caller,
            request,
            answer: None,
            repeats: 0,
        }
    }

    /// Whether the answer says that the request was not run.
    pub(crate) fn is_refused(&self) -> bool {
        let code = self.answer.as_ref().map(|answer| answer.code);
        matches!(code, Some(coap::UNAVAILABLE | coap::TOO_MANY))
    }
}
