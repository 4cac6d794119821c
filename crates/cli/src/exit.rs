//! Exit codes of `oriolectl`, and the failures that lead to them.

use std::process::ExitCode;

/// Exit code of a failed command; 0 is success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The command was refused, or the requested object does not exist; nothing was changed.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The outcome is unknown; a resend with the same request id returns the outcome.
    Unknown = 3,
    /// No control VM answered, or no control VM knows a leader; nothing was changed.
    NoAnswer = 4,
    /// The command was accepted but not in force at every live entry VM before the deadline; the
    /// rollout continues.
    NotInForce = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Failure that ends `oriolectl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Exit code of the process.
    pub code: Code,
    /// Error message: what failed and what the user can do.
    pub message: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, message }
    }
}
