//! Tests of the emulators, run against each other without the system.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

mod caller;
mod common;
mod fabric;
mod platform;
mod upstream;
