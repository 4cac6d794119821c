//! Replicas with a simulated network and in-memory disks, under seeded faults: committed entries
//! must survive, and histories of concurrent operators must be linearizable.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod concurrent_operators;
#[path = "../../../store/tests/fake/mod.rs"]
mod fake;
mod fault_at_each_step;
mod full_disks;
mod linearizability;
mod network;
mod random_faults;
mod repair;
mod voter_set;

/// Returns the seeds of a test; the environment variables `FIRST_SEED` and `SEEDS` override them.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = |name: &str| std::env::var(name).ok().map(|s| s.parse().unwrap());
    let first: u64 = given("FIRST_SEED").unwrap_or(0);
    first..first + given("SEEDS").unwrap_or(count)
}
