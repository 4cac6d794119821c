//! Faults in settings files.

use displaydoc::Display;

/// Why settings can't be used; one line.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {file}: can't be read: {reason}; check the path given with --settings
    Unreadable {
        /// The file.
        file: String,
        /// What the operating system said.
        reason: String,
    },
    /// {file}: is no YAML mapping of keys to values: {reason}; see the example settings
    Syntax {
        /// The file.
        file: String,
        /// What is wrong, and where.
        reason: String,
    },
    /// {file}: {fault}
    Key {
        /// The file.
        file: String,
        /// What is wrong.
        fault: Fault,
    },
}

impl std::error::Error for Error {}

/// key `{key}`, value {value}: {reason}; {advice}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The key.
    pub key: String,
    /// Its value as JSON-like text, or "(none)".
    pub value: String,
    /// What is wrong.
    pub reason: String,
    /// What to do.
    pub advice: String,
}

impl Fault {
    /// Makes a fault; line breaks in its parts become spaces, so that it stays one line.
    pub fn new(
        key: impl Into<String>,
        value: impl Into<String>,
        reason: impl Into<String>,
        advice: impl Into<String>,
    ) -> Self {
        let one_line = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        Self {
            key: one_line(key.into()),
            value: one_line(value.into()),
            reason: one_line(reason.into()),
            advice: one_line(advice.into()),
        }
    }
}
