//! Announcements of upstreams, and how long an announcement stays valid.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Upstream, UpstreamState},
    name::Name,
};

/// Time between two announcements of an upstream, in milliseconds.
pub const INTERVAL_MS: u64 = 1_000;

/// Time without an announcement after which an upstream counts as terminated, in milliseconds.
pub const LEASE_MS: u64 = 4_000;

/// Self-reported state of an upstream, sent every [`INTERVAL_MS`] to an entry VM of the upstream's
/// failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the upstream serves.
    pub service: Name,
    /// Name of the upstream.
    pub upstream: Name,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Address that receives the packets of flows, as GUE over UDP.
    pub flow_address: SocketAddr,
    /// Address that receives requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of concurrent flows.
    pub connections: u32,
    /// Grows with each start of the upstream's process; a larger one means a cold start.
    pub incarnation: u64,
    /// Self-reported number of open flows; may lag or be wrong.
    pub held_flows: u32,
    /// Self-reported share of the full load that the upstream accepts, in percent; may lag or be wrong.
    pub warmth_percent: u8,
    /// Whether the upstream is about to stop.
    pub leaving: bool,
}

impl Announcement {
    /// Returns the configuration entry of the upstream once operators admit the upstream.
    #[must_use]
    pub fn admitted(&self) -> Upstream {
        Upstream {
            domain: self.domain.clone(),
            flow_address: self.flow_address,
            request_address: self.request_address,
            slots: self.slots,
            connections: self.connections,
            state: UpstreamState::Admitted,
        }
    }
}
