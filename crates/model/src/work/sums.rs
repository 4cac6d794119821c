//! Decaying sums of the responses in consecutive messages.

use super::Entry;

/// Time in milliseconds in which the weight of a response falls to 1/e. Shorter times leave too few
/// responses of one upstream, longer ones hide an upstream that has just become slow.
const DECAY_MS: f32 = 2_000.0;

/// Usual time in milliseconds that is assumed to have been seen without any delay, so that few
/// responses say little and old ones nothing.
const PRIOR_MS: f32 = 20.0;

/// Requests that are assumed to have been seen without a refusal.
const PRIOR_REQUESTS: f32 = 2.0;

/// Responses of one upstream, each weighted by its age at the last update.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sums {
    /// Requests that ended.
    pub requests: f32,
    /// Requests that the upstream refused.
    pub refused: f32,
    /// Sum of the waits, in milliseconds.
    pub waited_ms: f32,
    /// Sum of the usual times of the same requests, in milliseconds.
    pub usual_ms: f32,
}

impl Sums {
    /// Returns the sums `elapsed_ms` milliseconds later.
    #[must_use]
    pub fn decayed(self, elapsed_ms: u64) -> Self {
        let elapsed_ms = f32::from(u16::try_from(elapsed_ms).unwrap_or(u16::MAX));
        let left = (-elapsed_ms / DECAY_MS).exp();
        Self {
            requests: self.requests * left,
            refused: self.refused * left,
            waited_ms: self.waited_ms * left,
            usual_ms: self.usual_ms * left,
        }
    }

    /// Adds the responses of a message.
    pub fn add(&mut self, entry: &Entry) {
        // Sums of a few seconds are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let (waited_ms, usual_ms) = (entry.waited_ms as f32, entry.usual_ms as f32);
        self.merge(Self {
            requests: f32::from(entry.requests),
            refused: f32::from(entry.refused),
            waited_ms,
            usual_ms,
        });
    }

    /// Adds other sums of the same time.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.waited_ms += other.waited_ms;
        self.usual_ms += other.usual_ms;
    }

    /// Returns the ratio of the waits to the usual times; at least 1.
    #[must_use]
    pub fn slowness(&self) -> f32 {
        let ratio = (self.waited_ms + PRIOR_MS) / (self.usual_ms + PRIOR_MS);
        ratio.max(1.0)
    }

    /// Returns the share of the requests that the upstream refused.
    #[must_use]
    pub fn refused_share(&self) -> f32 {
        self.refused / (self.requests + PRIOR_REQUESTS)
    }

    /// Moves the sums into `entry`, rounded, and keeps the remainders.
    pub fn take_into(&mut self, entry: &mut Entry) {
        let requests = take_whole(&mut self.requests);
        let refused = take_whole(&mut self.refused);
        entry.requests = u16::try_from(requests).unwrap_or(u16::MAX);
        entry.refused = u16::try_from(refused)
            .unwrap_or(u16::MAX)
            .min(entry.requests);
        entry.waited_ms = take_whole(&mut self.waited_ms);
        entry.usual_ms = take_whole(&mut self.usual_ms);
    }
}

/// Returns the whole part of `value`, and leaves the fraction.
fn take_whole(value: &mut f32) -> u32 {
    // The cast saturates, and sums are never negative.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = value.max(0.0) as u32;
    *value = value.max(0.0).fract();
    whole
}
