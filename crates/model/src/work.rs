//! Messages about the flows and the work at upstreams, which entry VMs share through control VMs.
//!
//! An entry VM sees only its own flows. Each entry VM sends a [`Digest`] of them to one control VM,
//! which sends the sums as a [`Summary`] to its entry VMs. Both contain only upstreams whose values
//! have changed.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

mod sums;

pub use sums::Sums;

/// Maximum number of entries in a message.
pub const MAX_ENTRIES: usize = 64;

/// Interval between two messages on a stream, in milliseconds.
pub const INTERVAL_MS: u64 = 1_000;

/// Time without a message of a sender after which its values count as unknown, in milliseconds.
pub const EXPIRY_MS: u64 = 3_000;

/// Largest plausible demand at one upstream, in thousandths of a slot.
pub const MAX_DEMAND_MILLI: u32 = 1_000_000;

/// Largest plausible wait of a request, in milliseconds.
const MAX_WAIT_MS: u32 = 60_000;

/// Flows and work at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Token of the upstream.
    pub token: u32,
    /// Open flows.
    pub flows: u16,
    /// Slots that the open flows are expected to occupy on average, in thousandths.
    pub demand_milli: u32,
    /// Requests that ended since the previous message.
    pub requests: u16,
    /// Requests that the upstream refused since the previous message, included in `requests`.
    pub refused: u16,
    /// Sum of the waits of the answered requests in `requests`, in milliseconds.
    pub waited_ms: u32,
    /// Sum of the usual times of the same requests, in milliseconds.
    pub usual_ms: u32,
}

/// Flows and work that one entry VM has placed on upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the digest on its stream, from 1; the first digest of a stream contains all
    /// upstreams with flows.
    pub sequence: u64,
    /// Changed upstreams.
    pub entries: Vec<Entry>,
}

/// Flows and work at upstreams, summed over the entry VMs that report to one control VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the summary on its stream, from 1; the first summary of a stream contains all
    /// upstreams with flows.
    pub sequence: u64,
    /// Number of entry VMs that report to the control VM.
    pub reporters: u32,
    /// Changed upstreams.
    pub entries: Vec<Entry>,
}

/// The reason why an entry or a message is refused.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// an entry has token 0
    NoToken,
    /// demand of {0} thousandths of a slot
    Demand(u32),
    /// {0} refused of {1} requests
    Refused(u16, u16),
    /// {0} ms waited for {1} requests
    Wait(u32, u16),
    /// {0} entries in a message
    TooLong(usize),
    /// sequence {0} after {1}
    Sequence(u64, u64),
}

impl std::error::Error for Fault {}

impl Entry {
    /// Checks that the values are possible.
    ///
    /// # Errors
    ///
    /// Returns the first impossible value.
    pub fn check(&self) -> Result<(), Fault> {
        if self.token == 0 {
            return Err(Fault::NoToken);
        }
        if self.demand_milli > MAX_DEMAND_MILLI {
            return Err(Fault::Demand(self.demand_milli));
        }
        if self.refused > self.requests {
            return Err(Fault::Refused(self.refused, self.requests));
        }
        let longest_ms = MAX_WAIT_MS.saturating_mul(u32::from(self.requests));
        let wait_ms = self.waited_ms.max(self.usual_ms);
        if wait_ms > longest_ms {
            return Err(Fault::Wait(wait_ms, self.requests));
        }
        Ok(())
    }

    /// Reports whether the entry contains no flow, no work and no request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self
            == Self {
                token: self.token,
                ..Self::default()
            }
    }
}

/// Checks the number and the length of a message that follows message `previous` of its stream.
/// Number 1 begins a new state and is always in order.
///
/// # Errors
///
/// Returns the fault of the message.
pub fn check_message(previous: u64, sequence: u64, entries: usize) -> Result<(), Fault> {
    if entries > MAX_ENTRIES {
        return Err(Fault::TooLong(entries));
    }
    if sequence != 1 && sequence <= previous {
        return Err(Fault::Sequence(sequence, previous));
    }
    Ok(())
}
