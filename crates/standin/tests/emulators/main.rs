//! The emulators against each other.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

mod caller;
mod common;
mod fabric;
mod upstream;
