//! Rate limit for probes of suspected upstreams.

use crate::time::Instant;

/// Average number of probes per second.
const PROBES_PER_SECOND: u64 = 20;

/// Maximum number of probes at once after a pause.
const MAX_BURST_PROBES: u64 = 20;

/// A token bucket. The unit is a thousandth of a probe.
#[derive(Debug, Clone)]
pub(super) struct ProbeBudget {
    milli_probes: u64,
    refilled_at: Instant,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            milli_probes: MAX_BURST_PROBES * 1_000,
            refilled_at: Instant::ZERO,
        }
    }
}

impl ProbeBudget {
    /// Time in milliseconds in which an empty budget gains one probe.
    pub(super) const REFILL_MS: u64 = 1_000 / PROBES_PER_SECOND;

    /// Takes up to `wanted` probes from the budget. Returns the number of granted probes.
    pub(super) fn acquire(&mut self, now: Instant, wanted: usize) -> usize {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gain = micros.saturating_mul(PROBES_PER_SECOND) / 1_000;
        self.milli_probes = self
            .milli_probes
            .saturating_add(gain)
            .min(MAX_BURST_PROBES * 1_000);
        self.refilled_at = now;
        let available = usize::try_from(self.milli_probes / 1_000).unwrap_or(usize::MAX);
        let granted = wanted.min(available);
        self.milli_probes -= 1_000 * granted as u64;
        granted
    }
}
