//! The inputs and outputs of an entry VM's state machines.

use std::{net::SocketAddr, sync::Arc};

use model::{announce::Announcement, config::Config, key, name::Name};
use serde::{Deserialize, Serialize};
use wire::{blob::Blob, coap, gue::Segment};

use crate::{flow, load, membership, request, time::Instant, view::View};

/// An input of [`Node`](crate::node::Node).
#[derive(Debug, Clone)]
pub enum Event {
    /// Runs the timers; occurs at least every [`TICK_MS`].
    Tick,
    /// A control VM or a peer delivered a configuration.
    Config(Arc<Config>),
    /// A control VM confirmed that this VM's configuration is the newest.
    ControlCurrent,
    /// An upstream announced itself to this VM.
    Announce(Announcement),
    /// The fabric delivered a packet of a flow.
    Packet(Packet),
    /// A caller sent a request.
    Request {
        /// Address of the caller, to which the answer is sent.
        caller: SocketAddr,
        /// Request as received.
        request: coap::Request,
    },
    /// An upstream answered an attempt.
    Reply {
        /// Address of the upstream.
        upstream: SocketAddr,
        /// The answer, with the token of the attempt.
        response: coap::Response,
    },
    /// Another entry VM sent a message.
    Message {
        /// Address of the sender.
        from: SocketAddr,
        /// Message as received.
        message: Message,
    },
    /// The process was asked to stop.
    Stop,
    /// The process exits now; no event may follow.
    End,
}

/// Longest time between two [`Event::Tick`]s, in milliseconds.
pub const TICK_MS: u64 = 10;

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The flow to which the packet belongs.
    pub flow: key::Flow,
    /// Whether the packet opens, continues or closes the flow.
    pub segment: Segment,
    /// The caller's IP packet, unchanged.
    pub bytes: Blob,
}

/// An output of [`Node`](crate::node::Node) that the process carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another entry VM.
    Send {
        /// Address of the other VM.
        to: SocketAddr,
        /// Message to send.
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
        /// Message id of the request, if the answer acknowledges the request.
        acknowledges: Option<u16>,
    },
    /// Report an announced upstream to the control VM.
    Report(Announcement),
    /// Count an event for the metrics.
    Count(Counter),
}

/// A message between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the membership protocol.
    Membership(membership::Message),
    /// A message about flows.
    Flow(flow::Message),
    /// A message about the load of upstreams.
    Load(load::Message),
    /// A message about requests.
    Request(request::Message),
    /// An upstream's announcement, forwarded to the dispatcher.
    Announce(Announcement),
    /// Requests the receiver's configuration, because the receiver reported a newer index.
    WantConfig,
    /// The sender's configuration.
    Config(Arc<Config>),
}

impl Message {
    /// Returns the `purpose` label of the metrics for the message's bytes. `packets` and `requests`
    /// are traffic forwarded for callers, once to the deciding VM and once back; all other purposes
    /// are control traffic.
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

/// The state of this VM that every state machine reads.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// The live entry VMs.
    pub view: &'a View,
    /// The configuration in force on this VM.
    pub config: &'a Config,
    /// Whether the configuration was confirmed since this process was last frozen for longer than
    /// its lease. While `false`, this VM decides nothing by its own knowledge alone.
    pub is_config_fresh: bool,
}

impl Context<'_> {
    /// Returns the address of a VM, if the VM is live.
    #[must_use]
    pub fn address(&self, vm: &Name) -> Option<SocketAddr> {
        self.view.get(vm).map(|vm| vm.address)
    }
}

/// Counted events, one metric each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Packets forwarded directly to an upstream.
    PacketDirect,
    /// Packets forwarded through the primary.
    PacketViaPrimary,
    /// Packets whose destination is not a known service.
    PacketNoService,
    /// Packets whose upstream cannot be determined.
    PacketUnknownFlow,
    /// Packets whose upstream is in a failure domain that was taken out.
    PacketDomainOut,
    /// Opening packets that no upstream could accept.
    PacketRefused,
    /// Requests accepted from callers.
    RequestTaken,
    /// Requests answered with the answer of an upstream.
    RequestAnswered,
    /// Requests refused as not run.
    RequestRefused,
    /// Requests whose outcome is unknown.
    RequestUnknown,
    /// Retransmissions of known requests.
    RequestRepeat,
    /// Answers from upstreams that match no attempt.
    ReplyUnmatched,
    /// Answers from upstreams to abandoned attempts.
    ReplyLate,
    /// Messages from unknown VMs.
    MessageUnknownPeer,
}

impl Counter {
    /// Returns the name of the metric.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::PacketDirect => "oriole_packets_direct_total",
            Self::PacketViaPrimary => "oriole_packets_via_home_total",
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
