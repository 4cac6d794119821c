//! Flows of one upstream: an opening packet opens one, a later packet of an unknown one is
//! answered like a reset.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::name::Name;
use wire::gue::{self, Packet, Segment};

use super::{Stats, Upstream, Warmth};
use crate::message::{self, Call, Content, Reply};

/// Flows of one upstream.
#[derive(Debug)]
pub struct Flows {
    service: Name,
    upstream: Name,
    domain: Name,
    connections: usize,
    held: BTreeMap<u64, Flow>,
    /// Flows that their callers have closed: late packets of them mean nothing.
    closed: BTreeSet<u64>,
}

/// A held flow.
#[derive(Debug, Default)]
struct Flow {
    /// Chunks of an upload by number.
    chunks: BTreeMap<u32, Vec<u8>>,
}

/// What to do with a packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send these bytes to the caller.
    Answer(SocketAddr, Vec<u8>),
    /// Nothing.
    Silence,
    /// The upstream got more than it bears.
    Overload,
}

impl Flows {
    /// No flows yet.
    #[must_use]
    pub fn new(settings: &Upstream) -> Self {
        Self {
            service: settings.service.clone(),
            upstream: settings.name.clone(),
            domain: settings.domain.clone(),
            connections: usize::try_from(settings.connections).unwrap_or(usize::MAX),
            held: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Flows held now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes an encapsulated packet.
    pub fn on_packet(
        &mut self,
        now_ms: u64,
        bytes: &[u8],
        warmth: &mut Warmth,
        stats: &mut Stats,
    ) -> Outcome {
        stats.packets += 1;
        let call = gue::payload(bytes).and_then(message::decode::<Call>);
        let (Ok(packet), Some(call)) = (Packet::parse(bytes), call) else {
            stats.malformed += 1;
            return Outcome::Silence;
        };
        let flow = call.flow();
        let content = match call {
            Call::Open { service, flow } => {
                match self.open(now_ms, &service, flow, warmth, stats) {
                    Some(content) => content,
                    None => return Outcome::Overload,
                }
            }
            _ if self.closed.contains(&flow) => return Outcome::Silence,
            call => self.on_later(call, stats),
        };
        let segment = match content {
            Content::Unknown | Content::Refused => Segment::Close,
            Content::Opened | Content::Acknowledged(_) | Content::Finished(_) => Segment::Later,
        };
        let reply = Reply {
            flow,
            service: self.service.clone(),
            upstream: self.upstream.clone(),
            domain: self.domain.clone(),
            content,
        };
        let payload = message::encode(&reply);
        let (caller, service) = (packet.flow.caller, packet.flow.service);
        let sequence = gue::sequence(bytes).unwrap_or_default();
        let answer = gue::build(service, caller, segment, sequence, &payload);
        Outcome::Answer(caller, answer)
    }

    /// Opens a flow; `None` where a cold upstream doesn't bear it.
    fn open(
        &mut self,
        now_ms: u64,
        service: &Name,
        flow: u64,
        warmth: &mut Warmth,
        stats: &mut Stats,
    ) -> Option<Content> {
        if self.held.contains_key(&flow) {
            return Some(Content::Opened);
        }
        if *service != self.service {
            stats.wrong_service_flows += 1;
        }
        if !warmth.on_flow(now_ms) {
            stats.cold_overloads += 1;
            return None;
        }
        if self.held.len() >= self.connections {
            stats.flows_refused += 1;
            return Some(Content::Refused);
        }
        self.held.insert(flow, Flow::default());
        stats.flows_opened += 1;
        Some(Content::Opened)
    }

    fn on_later(&mut self, call: Call, stats: &mut Stats) -> Content {
        let Some(held) = self.held.get_mut(&call.flow()) else {
            stats.unknown_packets += 1;
            return Content::Unknown;
        };
        match call {
            Call::Open { .. } => Content::Opened,
            Call::Poll { number, .. } => Content::Acknowledged(number),
            Call::Chunk { number, data, .. } => {
                held.chunks.insert(number, data);
                Content::Acknowledged(number)
            }
            Call::Finish { chunks, digest, .. } => {
                let is_whole = held.chunks.len() == usize::try_from(chunks).unwrap_or_default();
                let received = message::digest(held.chunks.values().map(Vec::as_slice));
                Content::Finished(is_whole && received == digest)
            }
            Call::Close { flow } => {
                self.held.remove(&flow);
                self.closed.insert(flow);
                Content::Acknowledged(0)
            }
        }
    }
}
