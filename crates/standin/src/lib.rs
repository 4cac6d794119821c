//! Emulators of the system's environment: fabric, callers and upstreams. Never shipped.
//!
//! The emulators count what passes through their own sockets, so that no report depends on figures
//! from the load balancer: an upstream logs each run of a request, and a caller checks each answer.
//!
//! ```
//! use standin::{message::Work, run_log::RunLog};
//!
//! let mut log = RunLog::default();
//! let work = Work { id: 7, service: "booking".parse()?, idempotent: false };
//! log.record(&work);
//! log.record(&work);
//! assert_eq!(log.run_twice(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod announce;
pub mod caller;
pub mod channel;
pub mod experiment;
pub mod fabric;
pub mod message;
pub mod platform;
pub mod ports;
pub mod run_log;
pub mod seed;
pub mod upstream;
