//! The clock of the state machines.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// An instant of this VM's monotonic clock, in microseconds since the process started.
///
/// Instants of two VMs are never compared: messages carry durations.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Returns the instant `ms` milliseconds after the start of the process.
    #[must_use]
    pub fn from_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from `earlier` to this instant in whole milliseconds, or 0 if `earlier` is
    /// later.
    #[must_use]
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }

    /// Returns the weight at this instant of a sample taken at `earlier`, which decays from 1 by a
    /// factor of e in each `memory_ms` milliseconds.
    #[must_use]
    pub fn remaining_fraction(self, earlier: Self, memory_ms: f32) -> f32 {
        // Ages range from milliseconds to minutes, so the loss of precision does not matter.
        #[expect(clippy::cast_precision_loss)]
        let age_ms = self.ms_since(earlier) as f32;
        (-age_ms / memory_ms).exp()
    }

    /// Returns the instant `ms` milliseconds earlier, or the start of the process.
    #[must_use]
    pub fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms.saturating_mul(1_000)))
    }

    /// Returns the instant `ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
