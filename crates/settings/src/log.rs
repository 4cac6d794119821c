//! How much a process logs.

use serde::{Deserialize, Serialize};

/// Least severity of the lines that a process logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// What stops the process or a part of it.
    Error,
    /// What an operator should look into.
    Warn,
    /// What the process does, seldom enough to read.
    #[default]
    Info,
    /// What explains a single decision.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// The word for the level.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
