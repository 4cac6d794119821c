//! Decisions of an entry VM, as deterministic state machines without I/O.
//!
//! Time, messages and the seed of the random generator are arguments; typed [`io::Action`]s are the
//! results. Nothing in this crate uses a socket, a clock, a thread or a log, so that tests and
//! benches drive the same code and each failure test can be replayed from its seed.
//!
//! - [`membership`]: detects which entry VMs are live, by probes and gossip.
//! - [`flow`]: forwards a flow to its upstream, whichever VM the flow's packets reach.
//! - [`load`]: admits work within the capacity of each upstream, on the one VM that is the
//!   upstream's dispatcher.
//! - [`request`]: runs each request at most once and returns its answer to the caller.
//! - [`history`]: keeps earlier views under which requests may still be in progress.
//! - [`token`]: forwards flows whose packets carry a token that names the upstream.
//! - [`node`]: combines the first five modules, as `oriole-entry` runs them.
//!
//! ```
//! use policy::{io::Event, node, time::Instant};
//!
//! let settings = node::Settings::new("vm-1".parse()?, "north".parse()?, "127.0.0.1:7000".parse()?);
//! let mut node = node::Node::new(settings, Instant::ZERO);
//! let mut actions = Vec::new();
//! node.handle(Instant::ZERO, Event::Tick, &mut actions);
//! assert!(actions.is_empty(), "a VM without peers and configuration has nothing to do");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod flow;
pub mod history;
pub mod io;
pub mod load;
pub mod membership;
pub mod node;
pub mod request;
pub mod time;
pub mod token;
pub mod view;
