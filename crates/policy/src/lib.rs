//! Decisions of an entry VM: deterministic state machines without I/O.
//!
//! Time, messages and the seed of the random generator come in as arguments; typed [`io::Action`]s
//! come out. Nothing in here touches a socket, a clock, a thread or a log, so that a bench of any
//! form can drive the same code and each failure test replays from its seed.
//!
//! - [`membership`]: which entry VMs are live, by probes and gossip.
//! - [`flow`]: which upstream a flow belongs to, whichever VM its packets reach.
//! - [`load`]: what each upstream bears, admitted by the one VM that is its steward.
//! - [`request`]: each request runs at most once and gets its own answer.
//! - [`history`]: what an earlier view may still mean for this one.
//! - [`token`]: flows whose packets name their upstream themselves.
//! - [`node`]: the first five together, as `oriole-entry` runs them.
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
