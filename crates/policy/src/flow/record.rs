//! Records of flows, by fingerprint.

use std::collections::BTreeMap;

use crate::time::Instant;

/// Milliseconds in one unit of the times that a record holds.
const UNIT_MS: u64 = 100;

/// A moment in units of [`UNIT_MS`], which lasts for 13 years of uptime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timestamp(u32);

impl From<Instant> for Timestamp {
    fn from(now: Instant) -> Self {
        let units = now.ms_since(Instant::ZERO) / UNIT_MS;
        Self(u32::try_from(units).unwrap_or(u32::MAX))
    }
}

impl Timestamp {
    /// Milliseconds from this moment to `now`.
    pub(super) fn age_ms(self, now: Instant) -> u64 {
        u64::from(Self::from(now).0.saturating_sub(self.0)) * UNIT_MS
    }
}

/// Where one flow goes. Kept at 16 bytes, since a VM holds hundreds of thousands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Record {
    /// When the last packet passed here.
    pub(super) last_seen_at: Timestamp,
    /// When the last packet went through the backup.
    pub(super) backed_up_at: Timestamp,
    /// Position of the service.
    pub(super) service: u16,
    /// Position of the upstream within the service.
    pub(super) upstream: u16,
    /// Whether this VM is the home, as of the last change of the view.
    pub(super) is_primary: bool,
    /// Whether the flow depends on this record, so that the backup needs it as well.
    ///
    /// Flows without such a record belong to the oldest retained generation.
    pub(super) is_required: bool,
    /// Whether the backup holds it.
    pub(super) is_backed_up: bool,
    /// How far the flow is.
    pub(super) stage: Stage,
}

/// How far a flow is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// Only opening packets passed.
    Opening,
    /// A later packet passed.
    Established,
    /// A closing packet passed.
    Closing,
}

/// The records of one VM.
pub(super) type Records = BTreeMap<u64, Record>;
