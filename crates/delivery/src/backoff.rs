//! Random waits before a retry.
//!
//! Each wait is random between half of its nominal length and the whole: peers that lost the same
//! control VM at the same time would otherwise reconnect at the same time, again and again.

use std::{
    hash::{BuildHasher, RandomState},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of doublings after which a wait stops growing, so that the multiplication can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Waits that double with each failure up to a maximum.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Returns waits from `first` to `max`; the same `seed` gives the same waits.
    #[must_use]
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self {
            first,
            max,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the wait before the next attempt after `failures` previous failures since the last
    /// success.
    pub fn wait(&mut self, failures: usize) -> Duration {
        let doublings = u32::try_from(failures)
            .unwrap_or(u32::MAX)
            .min(MAX_DOUBLINGS);
        let wait = (self.first * 2_u32.pow(doublings)).min(self.max);
        wait.mul_f64(self.random.random_range(0.5..1.0))
    }
}

/// Returns a seed that differs between processes and between calls.
#[must_use]
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(0_u8)
}
