//! Simulated upstreams and callers at the interfaces of a node.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{announce::Announcement, name::Name};
use wire::{
    blob::Blob,
    coap::{self, Method, Request, Response},
};

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) announced: Announcement,
    /// Fingerprints of the open flows.
    pub(crate) flows: BTreeSet<u64>,
    /// Running requests by run number.
    pub(crate) running: BTreeMap<u64, Run>,
    /// Time at which the last opening packet or request arrived, in milliseconds.
    pub(crate) last_new_work_ms: u64,
    /// Time at which the last packet arrived, in milliseconds.
    pub(crate) last_packet_ms: u64,
    /// Number of the most recent run.
    pub(crate) last_run: u64,
}

/// A running request.
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
            last_run: 0,
        }
    }

    /// Starts to run a request and returns the run number, or `None` if all slots are in use.
    pub(crate) fn start(&mut self, from: SocketAddr, request: &Request) -> Option<u64> {
        if self.running.len() >= usize::from(self.announced.slots) {
            return None;
        }
        self.last_run += 1;
        let run = Run {
            from,
            token: request.token.clone(),
            message_id: request.message_id,
            body: request.payload.clone(),
        };
        self.running.insert(self.last_run, run);
        Some(self.last_run)
    }

    /// Finishes a run and returns the answer, or `None` if the run was cancelled or was lost in a
    /// restart.
    pub(crate) fn finish_run(&mut self, run: u64) -> Option<(SocketAddr, Response)> {
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

/// A flow from the point of view of its caller.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) caller: SocketAddr,
    pub(crate) service: usize,
    /// Upstream that the flow's opening packet reached.
    pub(crate) upstream: Option<Name>,
    /// Time at which a packet of the flow last reached an upstream, in milliseconds.
    pub(crate) last_ms: u64,
    /// Whether the flow was lost because its upstream restarted.
    pub(crate) upstream_lost: bool,
}

/// A request from the point of view of its caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) caller: SocketAddr,
    pub(crate) request: Request,
    pub(crate) answer: Option<Response>,
    pub(crate) repeats: u32,
}

impl Call {
    /// Creates a reservation request whose body is its number.
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

    /// Reports whether the answer says that the request was not run.
    pub(crate) fn is_refused(&self) -> bool {
        let code = self.answer.as_ref().map(|answer| answer.code);
        matches!(code, Some(coap::UNAVAILABLE | coap::TOO_MANY_REQUESTS))
    }
}
