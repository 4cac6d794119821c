//! Replicas over a network and disks in memory, under seeded faults: what is committed stays, and
//! histories of concurrent operators are linearizable.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

#[path = "../../../store/tests/fake/mod.rs"]
mod fake;
mod fault;
mod history;
mod net;
mod operators;
mod repair;
mod step;
