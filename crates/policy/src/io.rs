//! What goes into the machines of an entry VM and what comes out.

use std::{net::SocketAddr, sync::Arc};

use model::{announce::Announcement, config::Config, key, name::Name};
use serde::{Deserialize, Serialize};
use wire::{blob::Blob, coap, gue::Segment};

use crate::{flow, load, membership, request, time::Instant, view::View};

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; comes at least every [`TICK_MS`].
    Tick,
    /// A control VM or a peer delivered a configuration.
    Config(Arc<Config>),
    /// A control VM confirmed that this VM's configuration is the newest.
    ControlCurrent,
    /// An upstream announced itself here.
    Announce(Announcement),
    /// The fabric handed over a packet of a flow.
    Packet(Packet),
    /// A caller's request arrived.
    Request {
        /// Address that the answer goes to.
        caller: SocketAddr,
        /// The request.
        request: coap::Request,
    },
    /// An upstream answered.
    Reply {
        /// Address that it came from.
        upstream: SocketAddr,
        /// The answer, with the token of the attempt.
        response: coap::Response,
    },
    /// Another entry VM sent a message.
    Message {
        /// Address that it came from.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The process was asked to stop.
    Stop,
    /// The process ends now; nothing may follow.
    End,
}

/// Longest time between two [`Event::Tick`]s, in milliseconds.
pub const TICK_MS: u64 = 10;

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The flow that it belongs to.
    pub flow: key::Flow,
    /// What it means for the flow.
    pub segment: Segment,
    /// The caller's IP packet, unchanged.
    pub bytes: Blob,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another entry VM.
    Send {
        /// Its address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Forward a packet of a flow to an upstream.
    Forward {
        /// The upstream's flow address.
        to: SocketAddr,
        /// The caller's IP packet, unchanged.
        bytes: Blob,
    },
    /// Send a request to an upstream.
    Dispatch {
        /// The upstream's request address.
        to: SocketAddr,
        /// The request, with the token and message id of the attempt.
        request: coap::Request,
    },
    /// Cancel a request at an upstream.
    Cancel {
        /// The upstream's request address.
        to: SocketAddr,
        /// Message id of the attempt.
        message_id: u16,
    },
    /// Answer a caller.
    Answer {
        /// The caller's address.
        caller: SocketAddr,
        /// The answer, with the token of the request.
        response: coap::Response,
        /// Message id of the request, where the answer acknowledges it.
        acknowledges: Option<u16>,
    },
    /// Tell the control VM about an announced upstream.
    Report(Announcement),
    /// Count an event for the metrics.
    Count(Counter),
}

/// A message between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Of the membership protocol.
    Membership(membership::Message),
    /// Of flows.
    Flow(flow::Message),
    /// Of upstream load.
    Load(load::Message),
    /// Of requests.
    Request(request::Message),
    /// An upstream's announcement, on its way to the steward.
    Announce(Announcement),
    /// Asks a peer for its configuration, since it said that it has a newer one.
    WantConfig,
    /// A peer's configuration.
    Config(Arc<Config>),
}

impl Message {
    /// What its bytes are spent on, as metrics name it. `packets` and `requests` are what is passed
    /// on for callers, once to where it is decided and once back; all else is control.
    #[must_use]
    pub fn purpose(&self) -> &'static str {
        match self {
            Self::Membership(_) => "membership",
            Self::Flow(
                flow::Message::Primary { .. }
                | flow::Message::Backup { .. }
                | flow::Message::Dispatcher { .. }
                | flow::Message::Refused { .. },
            ) => "packets",
            Self::Flow(_) => "flow-records",
            Self::Load(load::Message::Work(_))
            | Self::Request(request::Message::Relay { .. } | request::Message::Outcome(_)) => {
                "requests"
            }
            Self::Load(_) => "load",
            Self::Request(_) => "request-records",
            Self::Announce(_) => "announcements",
            Self::WantConfig | Self::Config(_) => "configuration",
        }
    }
}

/// What a machine sees of the VM that it runs on.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Now.
    pub now: Instant,
    /// The live entry VMs.
    pub view: &'a View,
    /// The configuration by which to decide.
    pub config: &'a Config,
    /// Whether the configuration was confirmed since this process last stood still for longer
    /// than its lease. Without it, nothing is decided by this VM's own knowledge.
    pub fresh: bool,
}

impl Context<'_> {
    /// Address of a live VM.
    #[must_use]
    pub fn address(&self, vm: &Name) -> Option<SocketAddr> {
        self.view.get(vm).map(|vm| vm.address)
    }
}

/// Events that are counted, one metric each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Packets that went straight to an upstream.
    PacketDirect,
    /// Packets that went through the home.
    PacketViaHome,
    /// Packets to no known service.
    PacketNoService,
    /// Packets whose upstream can't be known.
    PacketUnknownFlow,
    /// Packets to a failure domain that was taken out.
    PacketDomainOut,
    /// Opening packets that no upstream could take.
    PacketRefused,
    /// Requests taken from callers.
    RequestTaken,
    /// Requests answered with an upstream's answer.
    RequestAnswered,
    /// Requests refused as not run.
    RequestRefused,
    /// Requests whose outcome is unknown.
    RequestUnknown,
    /// Repeats of requests that are known already.
    RequestRepeat,
    /// Answers of upstreams that match no attempt.
    ReplyUnmatched,
    /// Answers of upstreams to attempts that were given up.
    ReplyLate,
    /// Messages of VMs that are not known.
    MessageUnknownPeer,
}

impl Counter {
    /// Name of the metric.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::PacketDirect => "oriole_packets_direct_total",
            Self::PacketViaHome => "oriole_packets_via_home_total",
            Self::PacketNoService => "oriole_packets_no_service_total",
            Self::PacketUnknownFlow => "oriole_packets_unknown_flow_total",
            Self::PacketDomainOut => "oriole_packets_domain_out_total",
            Self::PacketRefused => "oriole_packets_refused_total",
            Self::RequestTaken => "oriole_requests_taken_total",
            Self::RequestAnswered => "oriole_requests_answered_total",
            Self::RequestRefused => "oriole_requests_refused_total",
            Self::RequestUnknown => "oriole_requests_outcome_unknown_total",
            Self::RequestRepeat => "oriole_requests_repeated_total",
            Self::ReplyUnmatched => "oriole_replies_unmatched_total",
            Self::ReplyLate => "oriole_replies_late_total",
            Self::MessageUnknownPeer => "oriole_messages_unknown_peer_total",
        }
    }
}
