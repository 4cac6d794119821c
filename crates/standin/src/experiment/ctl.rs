//! Runs operator commands through `oriolectl`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use displaydoc::Display;
use serde_json::Value;

/// Pause before a failed command is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reason why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// oriolectl {0} can't be started: {1}
    Start(String, std::io::Error),
    /// oriolectl {command} ended with {status}: {text}
    Failed {
        /// Arguments of the command.
        command: String,
        /// Exit status of the command.
        status: String,
        /// Output of the command on standard error.
        text: String,
    },
    /// oriolectl {0} printed no JSON: {1}
    Output(String, serde_json::Error),
}

impl std::error::Error for Error {}

/// Path of `oriolectl`, with the addresses of the control VMs to call.
#[derive(Debug, Clone)]
pub struct Ctl {
    program: PathBuf,
    controls: Vec<SocketAddr>,
}

impl Ctl {
    /// Creates a runner of commands that calls the control VMs at `controls`.
    #[must_use]
    pub fn new(program: PathBuf, controls: Vec<SocketAddr>) -> Self {
        Self { program, controls }
    }

    /// Runs one command and returns the JSON that the command prints.
    ///
    /// # Errors
    ///
    /// Returns what the command wrote to standard error.
    pub fn run(&self, arguments: &[&str]) -> Result<Value, Error> {
        let text = arguments.join(" ");
        let mut command = Command::new(&self.program);
        for control in &self.controls {
            command.arg("--control").arg(control.to_string());
        }
        let output = command
            .args(["--operator", "experiment", "--output", "json"])
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .map_err(|e| Error::Start(text.clone(), e))?;
        if !output.status.success() {
            return Err(Error::Failed {
                command: text,
                status: output.status.to_string(),
                text: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
            });
        }
        if output.stdout.iter().all(u8::is_ascii_whitespace) {
            return Ok(Value::Null);
        }
        serde_json::from_slice(&output.stdout).map_err(|e| Error::Output(text, e))
    }

    /// Runs a command until it succeeds or `limit` has passed.
    ///
    /// # Errors
    ///
    /// Returns the last error after `limit`.
    pub fn retry(&self, arguments: &[&str], limit: Duration) -> Result<Value, Error> {
        let start = Instant::now();
        loop {
            match self.run(arguments) {
                Err(error) if start.elapsed() > limit => return Err(error),
                Err(_) => sleep(RETRY_PAUSE),
                Ok(value) => return Ok(value),
            }
        }
    }
}
