//! Flows of one upstream. An opening packet opens a flow; any other packet of an unknown flow is
//! answered with a closing packet, like a TCP reset.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::name::Name;
use wire::gue::{self, Packet, Segment};

use super::{Stats, Upstream, Warmth};
use crate::message::{self, Call, Content, Reply};

/// Flow table of one upstream.
#[derive(Debug)]
pub struct Flows {
    service: Name,
    upstream: Name,
    domain: Name,
    connections: usize,
    held: BTreeMap<u64, Flow>,
    /// Flows closed by their callers; late packets of closed flows are ignored.
    closed: BTreeSet<u64>,
}

/// State of an open flow.
#[derive(Debug, Default)]
struct Flow {
    /// Received chunks of an upload, by number.
    chunks: BTreeMap<u32, Vec<u8>>,
}

/// Action of the server after a packet.
#[derive(Debug, PartialEq, Eq)]
pub enum FlowAction {
    /// Send these bytes to the caller.
    Answer(SocketAddr, Vec<u8>),
    /// Send no answer.
    NoAnswer,
    /// Collapse, because the packet exceeds the capacity of the upstream.
    Overload,
}

impl Flows {
    /// Returns an empty flow table.
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

    /// Returns the number of open flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Reports whether no flow is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Processes an encapsulated packet.
    pub fn on_packet(
        &mut self,
        now_ms: u64,
        bytes: &[u8],
        warmth: &mut Warmth,
        stats: &mut Stats,
    ) -> FlowAction {
        stats.packets += 1;
        let call = gue::payload(bytes).and_then(message::decode::<Call>);
        let (Ok(packet), Some(call)) = (Packet::parse(bytes), call) else {
            stats.malformed += 1;
            return FlowAction::NoAnswer;
        };
        let flow = call.flow();
        let content = match call {
            Call::Open { service, flow } => {
                match self.open(now_ms, &service, flow, warmth, stats) {
                    Some(content) => content,
                    None => return FlowAction::Overload,
                }
            }
            _ if self.closed.contains(&flow) => return FlowAction::NoAnswer,
            call => self.on_later_packet(call, stats),
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
        FlowAction::Answer(caller, answer)
    }

    /// Opens a flow; returns `None` when a cold upstream lacks the capacity for the flow.
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

    fn on_later_packet(&mut self, call: Call, stats: &mut Stats) -> Content {
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
                let is_complete = held.chunks.len() == usize::try_from(chunks).unwrap_or_default();
                let received = message::digest(held.chunks.values().map(Vec::as_slice));
                Content::Finished(is_complete && received == digest)
            }
            Call::Close { flow } => {
                self.held.remove(&flow);
                self.closed.insert(flow);
                Content::Acknowledged(0)
            }
        }
    }
}
