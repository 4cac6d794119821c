//! Builds the programs that an experiment starts.

use std::{
    env, io,
    path::PathBuf,
    process::{Command, Stdio},
};

use displaydoc::Display;

/// Packages whose programs an experiment starts.
const PACKAGES: [&str; 4] = ["entry", "control", "cli", "standin"];

/// Why there are no programs.
#[derive(Debug, Display)]
pub enum Error {
    /// cargo can't be started: {0}; run this through cargo
    Cargo(io::Error),
    /// the programs don't build: see the lines of cargo above
    Failed,
    /// the folder of the built programs can't be found: {0}
    Folder(io::Error),
}

impl std::error::Error for Error {}

/// Builds the programs in the profile of this one, and returns their folder.
///
/// # Errors
///
/// Says which step failed.
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

/// Folder of the built programs: that of this one, without the folder of test programs.
fn folder() -> io::Result<PathBuf> {
    let mut folder = env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
