//! How many probes a VM may make of its own accord.

use crate::time::Instant;

/// Probes in a second.
const RATE: u64 = 20;

/// Probes that may come at once after a pause.
const BURST: u64 = 20;

/// A token bucket, in thousandths of a probe.
#[derive(Debug, Clone)]
pub(super) struct Budget {
    left: u64,
    at: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            left: BURST * 1_000,
            at: Instant::ZERO,
        }
    }
}

impl Budget {
    /// Time in which an empty budget has room for a probe again, in milliseconds.
    pub(super) const REFILL_MS: u64 = 1_000 / RATE;

    /// Takes room for up to `wanted` probes. Returns for how many there is room.
    pub(super) fn take(&mut self, now: Instant, wanted: usize) -> usize {
        let micros = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(RATE) / 1_000;
        self.left = self.left.saturating_add(gained).min(BURST * 1_000);
        self.at = now;
        let room = usize::try_from(self.left / 1_000).unwrap_or(usize::MAX);
        let taken = wanted.min(room);
        self.left -= 1_000 * taken as u64;
        taken
    }
}
