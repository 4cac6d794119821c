//! Log levels.

use serde::{Deserialize, Serialize};

/// Lowest severity of the lines that a process logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Failures that stop the process or a part of the process.
    Error,
    /// Conditions that an operator should investigate.
    Warn,
    /// Infrequent events of normal operation.
    #[default]
    Info,
    /// Details that explain single decisions.
    Debug,
    /// All lines.
    Trace,
}

impl Level {
    /// Returns the name of the level, as in the settings.
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
