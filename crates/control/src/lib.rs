//! The daemon of a control VM: keeps the cluster configuration, takes operators' commands and
//! delivers the configuration to the entry VMs.
//!
//! [`replica`] holds the replicated log. [`operator`] takes commands and [`read`] answers reads.
//! [`config_stream`] serves the stream of an entry VM; [`lease`] and [`candidates`] keep what arrives on
//! it, and [`soft_state_sync`] shares that with the other control VMs. [`generations`] decides the leader's own
//! commands. [`api`] answers the platform's callers, [`announcement_table`] keeps the upstreams that announce
//! themselves to it ([`announcement_cache`] on disk as well), and [`routing_stream`] tells entry VMs of both. [`process`] puts the parts together.
//!
//! ```
//! use control::{lease::LeaseTable, generations::GenerationPlanner};
//!
//! // Without any service there is nothing to do.
//! let due = GenerationPlanner::default().due_commands(10_000, &model::config::Config::default(), &LeaseTable::default());
//! assert!(due.is_empty());
//! ```

pub mod announcement_cache;
pub mod announcement_table;
pub mod api;
pub mod candidates;
pub mod config_stream;
pub mod dump;
pub mod generations;
pub mod lease;
pub mod maintenance;
pub mod operator;
pub mod peer;
pub mod probe_reports;
pub mod process;
pub mod read;
pub mod replica;
pub mod routing_stream;
pub mod soft_state_sync;
pub mod state;
