//! Waits before a new try.
//!
//! Each is random within a half: peers that lost the same control VM at the same moment would
//! otherwise come back at the same moment, again and again.

use std::{
    hash::{BuildHasher, RandomState},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Doublings after which a wait grows no more, so that it stays in the range of its type.
const MAX_DOUBLINGS: u32 = 16;

/// Waits that double up to a longest one.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Waits from `first` to `max`; a `seed` makes them the same each time.
    #[must_use]
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self {
            first,
            max,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The wait before a new try, where `before` others have failed since one succeeded.
    pub fn wait(&mut self, failures: usize) -> Duration {
        let doublings = u32::try_from(failures)
            .unwrap_or(u32::MAX)
            .min(MAX_DOUBLINGS);
        let wait = (self.first * 2_u32.pow(doublings)).min(self.max);
        wait.mul_f64(self.random.random_range(0.5..1.0))
    }
}

/// A seed that differs between processes, and between calls.
#[must_use]
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(0_u8)
}
