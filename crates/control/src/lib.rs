//! The daemon of a control VM: keeps the cluster configuration, takes operators' commands and
//! delivers the configuration to the entry VMs.
//!
//! [`replica`] holds the replicated log. [`operator`] handles operators' commands and [`read`]
//! answers their reads. [`config_stream`] serves the configuration stream of an entry VM; [`lease`]
//! and [`candidates`] store what entry VMs report on it, and [`soft_state_sync`] shares that state
//! with the other control VMs. [`generations`] plans the leader's own commands, which
//! [`maintenance`] proposes. [`api`] answers the HTTP calls of the platform. [`announcement_table`]
//! stores the upstreams that announce themselves there, [`announcement_cache`] keeps them on disk,
//! and [`routing_stream`] sends plan and upstreams to entry VMs, with the terms of the plan from
//! [`plan_terms`]. [`audience`] tells whether announcements reach an entry VM. [`work_table`] sums
//! what entry VMs have placed on upstreams. [`upstream_lookup`] asks entry VMs which incarnation of an
//! upstream they know. [`process`] builds and runs all parts.
//!
//! ```
//! use control::{lease::LeaseTable, generations::GenerationPlanner};
//!
//! // No command is due in a configuration without services.
//! let due = GenerationPlanner::default().due_commands(10_000, &model::config::Config::default(), &LeaseTable::default());
//! assert!(due.is_empty());
//! ```

pub mod announcement_cache;
pub mod announcement_table;
pub mod api;
pub mod audience;
pub mod candidates;
pub mod config_stream;
pub mod dump;
pub mod generations;
pub mod lease;
pub mod maintenance;
pub mod operator;
pub mod peer;
pub mod plan_terms;
pub mod probe_reports;
pub mod process;
pub mod read;
pub mod replica;
pub mod routing_stream;
pub mod soft_state_sync;
pub mod state;
pub mod upstream_lookup;
pub mod work_table;
