//! The daemon of an entry VM: sockets, clock and streams around [`policy::node::Node`], which makes
//! every decision.
//!
//! - [`engine`] owns the node and performs its actions.
//! - [`sockets`] reads datagrams and passes them to the engine as events.
//! - [`announce`] receives announcements of upstreams over gRPC.
//! - [`control`] exchanges messages with control VMs.
//! - [`run`] starts and stops the tasks of the daemon.
//! - [`gateway`] is the daemon for the platform, where packets carry the token of their upstream.
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
