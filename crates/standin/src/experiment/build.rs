//! Builds the programs of an experiment.

use std::{
    env, io,
    path::PathBuf,
    process::{Command, Stdio},
};

use displaydoc::Display;

/// Cargo packages whose programs an experiment starts.
const PACKAGES: [&str; 4] = ["entry", "control", "cli", "standin"];

/// Reason why the programs can't be built.
#[derive(Debug, Display)]
pub enum Error {
    /// cargo can't be started: {0}; run this program through cargo
    Cargo(io::Error),
    /// the programs of the experiment don't compile; see the output of cargo above
    Failed,
    /// folder of the built programs not found: {0}
    Folder(io::Error),
}

impl std::error::Error for Error {}

/// Builds the programs in the profile of the running program and returns their folder.
///
/// # Errors
///
/// Returns which step failed.
pub fn programs() -> Result<PathBuf, Error> {
    let folder = folder().map_err(Error::Folder)?;
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--bins"]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    for package in PACKAGES {
        command.args(["--package", package]);
    }
    let status = command.stdin(Stdio::null()).status();
    match status.map_err(Error::Cargo)?.success() {
        true => Ok(folder),
        false => Err(Error::Failed),
    }
}

/// Returns the folder of the built programs: the folder of the running program, or its parent for a
/// test program.
fn folder() -> io::Result<PathBuf> {
    let mut folder = env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
