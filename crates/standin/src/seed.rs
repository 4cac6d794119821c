//! Seeded random generators, one for each part that draws random numbers.

use model::key;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Returns the generator of the part `name` for `seed`. Each part has a sequence of its own.
#[must_use]
pub fn generator(seed: u64, name: impl AsRef<str>) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(key::hash(seed, name.as_ref().as_bytes()))
}
