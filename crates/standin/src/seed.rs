//! Seeded random generators, one for each part that draws.

use model::key;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The generator of the part `name` under `seed`; parts never share a sequence.
#[must_use]
pub fn generator(seed: u64, name: impl AsRef<str>) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(key::hash(seed, name.as_ref().as_bytes()))
}
