//! Replicas over a network and disks in memory, under seeded faults: what is committed stays, and
//! histories of concurrent operators are linearizable.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod concurrent_operators;
#[path = "../../../store/tests/fake/mod.rs"]
mod fake;
mod fault_at_each_step;
mod linearizability;
mod network;
mod random_faults;
mod repair;
mod voter_set;

/// Seeds of a test; the environment variables `FIRST_SEED` and `SEEDS` give others.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = |name: &str| std::env::var(name).ok().map(|s| s.parse().unwrap());
    let first: u64 = given("FIRST_SEED").unwrap_or(0);
    first..first + given("SEEDS").unwrap_or(count)
}
