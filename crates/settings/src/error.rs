//! Faults in settings files.

use displaydoc::Display;

/// Reason why settings can't be used, displayed on one line.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {file}: file can't be read: {reason}; check the path given with --settings
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// {file}: content is not a YAML mapping of keys to values: {reason}; see the example settings
    Syntax {
        /// Path of the settings file.
        file: String,
        /// Error of the YAML parser, with the position.
        reason: String,
    },
    /// {file}: {fault}
    Key {
        /// Path of the settings file.
        file: String,
        /// Key that is invalid, and the reason.
        fault: Fault,
    },
}

impl std::error::Error for Error {}

/// key `{key}`, value {value}: {reason}; {advice}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Key in the settings file.
    pub key: String,
    /// Value of the key as text on one line, or "(none)" if the key is missing.
    pub value: String,
    /// Reason why the value is invalid.
    pub reason: String,
    /// Action that corrects the fault.
    pub advice: String,
}

impl Fault {
    /// Creates a fault. Line breaks in the arguments become spaces, so that the error line stays one
    /// line.
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
