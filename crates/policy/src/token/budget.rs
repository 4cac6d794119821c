//! How many probes a VM may make of its own accord.

use crate::time::Instant;

/// Probes in a second.
const PROBES_PER_SECOND: u64 = 20;

/// Probes that may come at once after a pause.
const MAX_BURST_PROBES: u64 = 20;

/// A token bucket, in thousandths of a probe.
#[derive(Debug, Clone)]
pub(super) struct ProbeBudget {
    millis: u64,
    refilled_at: Instant,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            millis: MAX_BURST_PROBES * 1_000,
            refilled_at: Instant::ZERO,
        }
    }
}

impl ProbeBudget {
    /// Time in which an empty budget has room for a probe again, in milliseconds.
    pub(super) const REFILL_MS: u64 = 1_000 / PROBES_PER_SECOND;

    /// Takes room for up to `wanted` probes. Returns for how many there is room.
    pub(super) fn acquire(&mut self, now: Instant, wanted: usize) -> usize {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(PROBES_PER_SECOND) / 1_000;
        self.millis = self
            .millis
            .saturating_add(gained)
            .min(MAX_BURST_PROBES * 1_000);
        self.refilled_at = now;
        let room = usize::try_from(self.millis / 1_000).unwrap_or(usize::MAX);
        let taken = wanted.min(room);
        self.millis -= 1_000 * taken as u64;
        taken
    }
}
