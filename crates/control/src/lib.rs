//! The daemon of a control VM: keeps the cluster configuration, takes operators' commands and
//! delivers the configuration to the entry VMs.
//!
//! [`replica`] holds the replicated log. [`operator`] takes commands and [`read`] answers reads.
//! [`session`] serves the stream of an entry VM; [`lease`] and [`announced`] keep what arrives on
//! it, and [`exchange`] shares that with the other control VMs. [`step`] decides the leader's own
//! commands. [`desk`] answers the platform's callers, [`heard`] keeps the upstreams that announce
//! themselves to it ([`hints`] on disk as well), and [`routing`] tells entry VMs of both. [`process`] puts the parts together.
//!
//! ```
//! use control::{lease::Table, step::Stepper};
//!
//! // Without any service there is nothing to do.
//! let due = Stepper::default().commands(10_000, &model::config::Config::default(), &Table::default());
//! assert!(due.is_empty());
//! ```

pub mod announced;
pub mod desk;
pub mod dump;
pub mod exchange;
pub mod findings;
pub mod heard;
pub mod hints;
pub mod lease;
pub mod operator;
pub mod peer;
pub mod process;
pub mod read;
pub mod replica;
pub mod routing;
pub mod session;
pub mod state;
pub mod step;
pub mod steps;
