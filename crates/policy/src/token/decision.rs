//! What becomes of a packet, and why, as the shell of an entry VM learns it.

use std::net::SocketAddrV4;

/// Time for which a packet is held at most, in milliseconds: a fifth of the shortest deadlines, and
/// less than the time after which clients send it again twice.
pub const MAX_HOLD_MS: u64 = 300;

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It goes to an upstream.
    Forward {
        /// Identity of the upstream, which refuses packets for another.
        id: u64,
        /// Where the upstream takes packets.
        to: SocketAddrV4,
        /// Token that the packet carries from here on.
        token: u32,
    },
    /// The client is told that the flow is over or never began.
    Reset,
    /// It is decided on again when more is known, within [`MAX_HOLD_MS`].
    Hold,
    /// Nothing.
    Drop,
}

/// Why that becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its token names the upstream.
    Token,
    /// It opens a flow, which was placed.
    Placed,
    /// It repeats an opening packet whose upstream answers others.
    Repeated,
    /// It repeats an opening packet whose upstream answered nobody since.
    MovedOn,
    /// This VM has no plan yet.
    NoPlan,
    /// No route leads from the address.
    NoRoute,
    /// No upstream of the route may take a flow now.
    NoUpstream,
    /// Most upstreams have still to announce themselves after all control VMs started anew.
    Gathering,
    /// It has no token, or one that stands for no known upstream.
    UnknownToken,
    /// The upstream of the flow has stopped.
    Stopped,
    /// The upstream of the flow answers neither clients nor probes.
    Down,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 11] = [
        Self::Token,
        Self::Placed,
        Self::Repeated,
        Self::MovedOn,
        Self::NoPlan,
        Self::NoRoute,
        Self::NoUpstream,
        Self::Gathering,
        Self::UnknownToken,
        Self::Stopped,
        Self::Down,
    ];

    /// A word for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Placed => "placed",
            Self::Repeated => "repeated",
            Self::MovedOn => "moved-on",
            Self::NoPlan => "no-plan",
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::Gathering => "gathering",
            Self::UnknownToken => "unknown-token",
            Self::Stopped => "upstream-stopped",
            Self::Down => "upstream-down",
        }
    }
}

/// A decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// What becomes of the packet.
    pub action: Action,
    /// Why.
    pub why: Reason,
    /// How long the client waited for its upstream, or has waited so far, in milliseconds; none
    /// where the packet doesn't tell.
    pub waited_ms: Option<u64>,
}

impl Decision {
    /// A decision on a packet that doesn't tell how long its client has waited.
    #[must_use]
    pub fn new(action: Action, why: Reason) -> Self {
        Self {
            action,
            why,
            waited_ms: None,
        }
    }
}
