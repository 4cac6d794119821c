//! Announcements of upstreams, and the limits of their values.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Longest name of a service, in bytes.
pub const MAX_SERVICE_LEN: usize = 255;

/// Largest number of concurrent requests of an upstream.
pub const MAX_SLOTS: u32 = 65_535;

/// Longest time for which an upstream stays cold, in milliseconds: a day.
pub const MAX_COLD_MS: u64 = 86_400_000;

/// Latest start time and highest sequence number: both are signed in many languages.
pub const MAX_INTEGER: u64 = i64::MAX as u64;

/// Time in milliseconds by which the clock of an upstream may be ahead of the receiver's. A start that
/// no clock has reached would count as newer than all starts to come.
pub const MAX_CLOCK_LEAD_MS: u64 = 300_000;

/// The reason why an announcement names no upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// service has a name of {0} bytes: expected 1 to 255
    Service(usize),
    /// address {0} can't belong to an upstream
    Address(SocketAddrV4),
    /// upstream runs {0} requests at a time: expected 1 to 65,535
    Slots(u32),
    /// upstream stays cold for {0} ms: expected a day at most
    Cold(u64),
    /// start time {0} is beyond 63 bits
    Start(u64),
    /// start time is {0} ms ahead of this clock: expected 300,000 ms at most
    Future(u64),
    /// sequence number {0} is beyond 63 bits
    Sequence(u64),
}

impl std::error::Error for Fault {}

/// Identifies one run of an upstream's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity of the upstream; may stay the same across restarts.
    pub id: u64,
    /// Start time of the process: milliseconds since 1970 by the upstream's wall clock.
    pub started_ms: u64,
}

/// Self-reported life-cycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The upstream accepts new flows.
    Ready,
    /// The upstream is about to stop: existing flows continue, new flows go elsewhere.
    Draining,
    /// The upstream has stopped.
    Gone,
}

/// Self-reported state of an upstream from its latest announcement.
///
/// Anyone can send an announcement, so each is checked with [`Announced::check`] where it enters a
/// VM: from an upstream, a stream or a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Process run that sent the announcement.
    pub incarnation: Incarnation,
    /// Name of the service that the upstream serves.
    pub service: Arc<str>,
    /// Address at which the upstream receives packets.
    pub address: SocketAddrV4,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Life-cycle phase of the upstream.
    pub phase: Phase,
    /// Time for which the upstream stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Sequence number of the announcement; grows within an incarnation.
    pub sequence: u64,
}

impl Announced {
    /// Checks that the values are possible.
    ///
    /// # Errors
    ///
    /// Returns the first impossible value.
    pub fn check(&self) -> Result<(), Fault> {
        if self.is_stop_without_incarnation() {
            return Ok(());
        }
        if !(1..=MAX_SERVICE_LEN).contains(&self.service.len()) {
            return Err(Fault::Service(self.service.len()));
        }
        if !is_host(*self.address.ip()) || self.address.port() == 0 {
            return Err(Fault::Address(self.address));
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(Fault::Slots(self.slots));
        }
        if self.cold_ms > MAX_COLD_MS {
            return Err(Fault::Cold(self.cold_ms));
        }
        if self.incarnation.started_ms > MAX_INTEGER {
            return Err(Fault::Start(self.incarnation.started_ms));
        }
        if self.sequence > MAX_INTEGER {
            return Err(Fault::Sequence(self.sequence));
        }
        Ok(())
    }

    /// Checks the start time against the clock of the receiver, which shows `wall_ms` milliseconds
    /// since 1970.
    ///
    /// # Errors
    ///
    /// Fails if the start lies too far in the future.
    pub fn check_start(&self, wall_ms: u64) -> Result<(), Fault> {
        match self.incarnation.started_ms.saturating_sub(wall_ms) {
            lead_ms if lead_ms > MAX_CLOCK_LEAD_MS => Err(Fault::Future(lead_ms)),
            _ => Ok(()),
        }
    }

    /// Reports whether this is a stop in the form of the build before, which names no incarnation and
    /// has no other values.
    #[must_use]
    pub fn is_stop_without_incarnation(&self) -> bool {
        self.phase == Phase::Gone && self.incarnation.started_ms == 0
    }
}

/// Reports whether `ip` can be the address of one host.
fn is_host(ip: Ipv4Addr) -> bool {
    !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}
