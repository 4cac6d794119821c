//! Data types that all processes of the system share: names, addresses, keys of flows and requests,
//! messages, and the cluster configuration with the commands that change the configuration.
//!
//! The crate does no I/O. A configuration is a plain value: control VMs apply committed commands to
//! the configuration in order, and entry VMs receive the whole configuration.
//!
//! ```
//! use model::{command, config, name::Name};
//!
//! let mut config = config::Config::default();
//! let command = command::Command::PutService {
//!     name: Name::new("booking")?,
//!     service: config::Service::at("10.9.0.1:443".parse()?),
//! };
//! let outcome = config.apply(1, &command::Entry::new("op", "req-1", None, command));
//! assert!(outcome.is_ok());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod announce;
pub mod command;
pub mod config;
pub mod delivery;
pub mod key;
pub mod name;
pub mod plan;
pub mod routing;
pub mod work;
