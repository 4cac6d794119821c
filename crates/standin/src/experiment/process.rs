//! Processes that an experiment starts, by their ids; none outlives its experiment.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// Time between two looks whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// A signal that an experiment sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Stop gracefully.
    Terminate,
    /// Freeze.
    Stop,
    /// Go on.
    Continue,
    /// Read the settings again.
    HangUp,
}

impl Signal {
    fn argument(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::HangUp => "-HUP",
        }
    }
}

/// A started process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
}

impl Process {
    /// Starts `program`; its output is added to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program or the file is missing.
    pub fn start(
        name: impl Into<String>,
        program: &Path,
        arguments: Vec<String>,
        log: PathBuf,
    ) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(&arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            name: name.into(),
            child,
            program: program.to_owned(),
            arguments,
            log,
        })
    }

    /// Its name in the experiment.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where its output goes.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if !self.is_running() {
            return Err(io::ErrorKind::NotFound.into());
        }
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([signal.argument(), &id])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("kill failed")),
        }
    }

    /// Waits for the end; `None` when it doesn't come within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            sleep(POLL);
        }
        None
    }

    /// Stops it gracefully, and says how it ended; kills it after `limit`.
    pub fn stop(&mut self, limit: Duration) -> Exit {
        if !self.is_running() {
            return Exit::Early;
        }
        if self.signal(Signal::Terminate).is_err() {
            return Exit::Early;
        }
        match self.wait(limit) {
            Some(status) if status.success() => Exit::Graceful,
            Some(status) => Exit::Failed(status.to_string()),
            None => {
                self.kill();
                Exit::Late
            }
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // A process that has ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Fails when the program or the file is missing.
    pub fn restart(&mut self) -> io::Result<()> {
        let (name, arguments) = (self.name.clone(), self.arguments.clone());
        let program = self.program.clone();
        *self = Self::start(name, &program, arguments, self.log.clone())?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            self.kill();
        }
    }
}

/// How a process ended that was asked to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Exit {
    /// With exit code 0.
    Graceful,
    /// Before it was asked to.
    Early,
    /// With another status.
    Failed(String),
    /// Not in time; it was killed.
    Late,
}
