//! Parts that the daemons share: command line, logs, supervision of tasks, metrics and state dumps.
//!
//! ```
//! let command = daemon::args::command("oriole-example", "Does nothing.");
//! let matches = command.try_get_matches_from(["oriole-example", "--settings", "a.yaml"])?;
//! assert_eq!(daemon::args::settings_path(&matches).as_os_str(), "a.yaml");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod args;
pub mod http;
pub mod logs;
pub mod process;
pub mod reload;
pub mod stall;
pub mod supervisor;
