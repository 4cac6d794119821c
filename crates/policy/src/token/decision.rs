//! The decision on a packet and its reason, as passed to the caller of the gateway.

use std::net::SocketAddrV4;

/// Maximum time in milliseconds for which a packet is held: a fifth of the shortest deadline, and
/// less than the time after which a client has repeated the packet twice.
pub const MAX_HOLD_MS: u64 = 300;

/// What is done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Forward the packet to an upstream.
    Forward {
        /// Id of the upstream, which refuses packets for other ids.
        id: u64,
        /// Address to send the packet to.
        to: SocketAddrV4,
        /// Token to write into the packet.
        token: u32,
    },
    /// Tell the client that the flow has ended or was never opened.
    Reset,
    /// Hold the packet for up to [`MAX_HOLD_MS`] and decide again when the state has changed.
    Hold,
    /// Drop the packet.
    Drop,
}

/// Reason for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The token of the packet identifies the upstream.
    Token,
    /// The packet opened a flow, which was placed.
    Placed,
    /// The packet repeats an opening packet, and the upstream has answered other clients or accepted a
    /// probe since.
    Repeated,
    /// The packet repeats an opening packet, and the upstream has answered no client since: it accepted
    /// no probe either, or left two copies without an answer.
    MovedOn,
    /// The packet repeats an opening packet, and a probe of the upstream, which has answered no client
    /// since, has no result yet.
    Probing,
    /// The packet repeats an opening packet, and the plan in force no longer leads to the service of
    /// the upstream.
    Rerouted,
    /// This VM has no plan yet.
    NoPlan,
    /// The plan has no route for the address.
    NoRoute,
    /// No upstream of the route accepts new flows.
    NoUpstream,
    /// The upstreams of the route have no room for a flow of this class or caller.
    NoRoom,
    /// All upstreams of the route hold as many flows as the plan allows.
    FlowCap,
    /// All control VMs were restarted, and most upstreams have yet to announce themselves again.
    Gathering,
    /// The packet has no token, or a token of no known upstream.
    UnknownToken,
    /// The upstream of the flow has stopped.
    Stopped,
    /// The upstream of the flow answers neither clients nor probes.
    Down,
    /// The upstream of the flow was found down, but too long ago for a reset: it is probed again.
    Outdated,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 16] = [
        Self::Token,
        Self::Placed,
        Self::Repeated,
        Self::MovedOn,
        Self::Probing,
        Self::Rerouted,
        Self::NoPlan,
        Self::NoRoute,
        Self::NoUpstream,
        Self::NoRoom,
        Self::FlowCap,
        Self::Gathering,
        Self::UnknownToken,
        Self::Stopped,
        Self::Down,
        Self::Outdated,
    ];

    /// Returns the reason as a word for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Placed => "placed",
            Self::Repeated => "repeated",
            Self::MovedOn => "moved-on",
            Self::Probing => "probing",
            Self::Rerouted => "rerouted",
            Self::NoPlan => "no-plan",
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::NoRoom => "no-room",
            Self::FlowCap => "flow-cap",
            Self::Gathering => "gathering",
            Self::UnknownToken => "unknown-token",
            Self::Stopped => "upstream-stopped",
            Self::Down => "upstream-down",
            Self::Outdated => "upstream-down-outdated",
        }
    }
}

/// A decision on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// What is done with the packet.
    pub action: Action,
    /// Reason for the action.
    pub reason: Reason,
    /// Time in milliseconds for which the client waited for an answer, or has waited so far; none
    /// if the packet doesn't show the time.
    pub waited_ms: Option<u64>,
}

impl Decision {
    /// Creates a decision without a waiting time.
    #[must_use]
    pub fn new(action: Action, reason: Reason) -> Self {
        Self {
            action,
            reason,
            waited_ms: None,
        }
    }
}
