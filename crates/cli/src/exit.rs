//! Exit codes.

use std::process::ExitCode;

/// What an exit code tells a script. 0 is success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The command was refused, or what was asked for does not exist; nothing was changed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The outcome is unknown: resend it with the same request id.
    Unknown = 3,
    /// No control VM answered, or none knows a leader; nothing was changed.
    NoAnswer = 4,
    /// The command was accepted, but is not in force everywhere in time; it goes on.
    NotInForce = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why the client ends without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The exit code.
    pub code: Code,
    /// What happened and what to do.
    pub message: String,
}

impl Failure {
    /// Makes a failure.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, message }
    }
}
