//! The daemon of an entry VM: a thin shell of sockets, clock and streams around
//! [`policy::node::Node`], which takes every decision.
//!
//! - [`engine`] owns the machines and performs their actions.
//! - [`sockets`] reads datagrams and hands them to the engine as events.
//! - [`announce`] takes announcements of upstreams over gRPC.
//! - [`control`] keeps the stream to a control VM.
//! - [`run`] is the tree of tasks.
//! - [`gateway`] is all of it on the platform, where packets carry their upstream's token.
//!
//! ```
//! let command = entry::run::command();
//! assert!(command.try_get_matches_from(["oriole-entry"]).is_err(), "settings are required");
//! ```

pub mod announce;
pub mod control;
pub mod engine;
pub mod gateway;
pub mod run;
pub mod sockets;
