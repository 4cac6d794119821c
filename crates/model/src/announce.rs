//! What an upstream says of itself, and how long that counts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Upstream, UpstreamState},
    name::Name,
};

/// Time between two announcements of an upstream, in milliseconds.
pub const INTERVAL_MS: u64 = 1_000;

/// Time without an announcement after which an upstream counts as gone, in milliseconds.
pub const LEASE_MS: u64 = 4_000;

/// What an upstream announces of itself, once every [`INTERVAL_MS`], to an entry VM of its own
/// failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that it serves.
    pub service: Name,
    /// Its name.
    pub upstream: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes the packets of flows, as GUE over UDP.
    pub flow_address: SocketAddr,
    /// Where it takes requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Flows that it bears at a time.
    pub connections: u32,
    /// Grows with each start of the upstream's process; a larger one means a cold start.
    pub incarnation: u64,
    /// Flows that it says it holds; may lag or be wrong.
    pub held_flows: u32,
    /// Share of its full load that it says it bears, in percent; may lag or be wrong.
    pub warmth_percent: u8,
    /// Whether it is about to stop.
    pub leaving: bool,
}

impl Announcement {
    /// What the configuration keeps of it once operators admit it.
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
