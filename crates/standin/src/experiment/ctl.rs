//! Operators' commands, through `oriolectl`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use displaydoc::Display;
use serde_json::Value;

/// Pause before a command is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// oriolectl {0} can't be started: {1}
    Start(String, std::io::Error),
    /// oriolectl {command} ended with {status}: {text}
    Failed {
        /// The arguments.
        command: String,
        /// Its exit status.
        status: String,
        /// What it wrote to standard error.
        text: String,
    },
    /// oriolectl {0} printed no JSON: {1}
    Output(String, serde_json::Error),
}

impl std::error::Error for Error {}

/// `oriolectl` with the control VMs that it calls.
#[derive(Debug, Clone)]
pub struct Ctl {
    program: PathBuf,
    controls: Vec<SocketAddr>,
}

impl Ctl {
    /// Calls the control VMs at `controls`.
    #[must_use]
    pub fn new(program: PathBuf, controls: Vec<SocketAddr>) -> Self {
        Self { program, controls }
    }

    /// Runs one command, and returns the JSON that it prints.
    ///
    /// # Errors
    ///
    /// Says what the command wrote to standard error.
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

    /// Runs a command again and again until it succeeds; the last error after `limit`.
    ///
    /// # Errors
    ///
    /// The last failure.
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
