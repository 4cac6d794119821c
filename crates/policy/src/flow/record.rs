//! Records of flows by fingerprint.

use std::collections::BTreeMap;

use crate::time::Instant;

/// Milliseconds in one unit of a [`Timestamp`].
const UNIT_MS: u64 = 100;

/// A time in units of [`UNIT_MS`]. The range covers 13 years of uptime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timestamp(u32);

impl From<Instant> for Timestamp {
    fn from(now: Instant) -> Self {
        let units = now.ms_since(Instant::ZERO) / UNIT_MS;
        Self(u32::try_from(units).unwrap_or(u32::MAX))
    }
}

impl Timestamp {
    /// Returns the milliseconds from this time to `now`.
    pub(super) fn age_ms(self, now: Instant) -> u64 {
        u64::from(Self::from(now).0.saturating_sub(self.0)) * UNIT_MS
    }
}

/// Route of one flow. The size is kept at 16 bytes, since a VM holds hundreds of thousands of
/// records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Record {
    /// Time of the last packet that passed this VM.
    pub(super) last_seen_at: Timestamp,
    /// Time of the last packet that went through the backup.
    pub(super) backed_up_at: Timestamp,
    /// Position of the service.
    pub(super) service: u16,
    /// Position of the upstream within the service.
    pub(super) upstream: u16,
    /// Whether this VM is the primary, as of the last view change.
    pub(super) is_primary: bool,
    /// Whether the flow depends on this record, so that the backup needs a copy.
    ///
    /// Flows without such a record belong to the upstream that the oldest retained generation
    /// chooses.
    pub(super) is_required: bool,
    /// Whether the backup holds the record.
    pub(super) is_backed_up: bool,
    /// Stage of the flow.
    pub(super) stage: Stage,
}

/// Stage of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// Only opening packets have passed.
    Opening,
    /// A later packet has passed.
    Established,
    /// A closing packet has passed.
    Closing,
}

/// Records of one VM by fingerprint.
pub(super) type Records = BTreeMap<u64, Record>;
