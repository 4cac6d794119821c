//! Time as the machines see it.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A moment of this VM's monotonic clock, in microseconds since the process started.
///
/// Moments of two VMs are never compared: messages carry spans.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The moment `ms` milliseconds after the start.
    #[must_use]
    pub fn from_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Time from `earlier` to this moment; zero where `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time from `earlier` to this moment in whole milliseconds; 0 where `earlier` is later.
    #[must_use]
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }

    /// The part that is left at this moment of what counted in full at `earlier`, where it falls to
    /// 1/e in each `memory_ms` milliseconds.
    #[must_use]
    pub fn remaining_fraction(self, earlier: Self, memory_ms: f32) -> f32 {
        // Spans are milliseconds to minutes, so the loss of precision doesn't matter.
        #[expect(clippy::cast_precision_loss)]
        let age_ms = self.ms_since(earlier) as f32;
        (-age_ms / memory_ms).exp()
    }

    /// The moment `ms` milliseconds earlier, or the start of the process.
    #[must_use]
    pub fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms.saturating_mul(1_000)))
    }

    /// The moment `ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
