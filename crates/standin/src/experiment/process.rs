//! Starts, signals and stops the processes of an experiment. No process outlives its experiment.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// Interval between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A signal that an experiment sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Terminate,
    /// SIGSTOP: suspend.
    Stop,
    /// SIGCONT: resume.
    Continue,
    /// SIGHUP: read the settings again.
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

/// A started process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
}

impl Process {
    /// Starts `program`, whose output is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or the file can't be opened.
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

    /// Returns the name of the process in the experiment.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Reports whether the process is running.
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
            false => Err(io::Error::other(
                "the kill command failed to send the signal",
            )),
        }
    }

    /// Waits for the end of the process; returns `None` when the process runs longer than `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            sleep(POLL_INTERVAL);
        }
        None
    }

    /// Stops the process gracefully, kills it after `limit`, and returns how it ended.
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

    /// Kills the process.
    pub fn kill(&mut self) {
        // The kill fails when the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the program again with the same arguments and log file.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or the log file can't be opened.
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

/// End of a process that was asked to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Exit {
    /// The process ended with exit code 0.
    Graceful,
    /// The process ended before it was asked to stop.
    Early,
    /// The process ended with another exit status.
    Failed(String),
    /// The process did not stop in time and was killed.
    Late,
}
