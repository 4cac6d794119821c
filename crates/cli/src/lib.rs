//! The operators' client.
//!
//! [`args`] describes the command line, [`call`] finds a control VM that answers, [`change`] runs
//! commands and follows them, [`show`] prints. [`exit::Code`] tells scripts what happened.
//!
//! ```
//! let matches = cli::args::command().try_get_matches_from(["oriolectl", "domain", "out", "vejle"])?;
//! assert_eq!(matches.subcommand_name(), Some("domain"));
//! # Ok::<(), clap::Error>(())
//! ```

use std::process::ExitCode;

use clap::ArgMatches;

pub mod args;
pub mod call;
pub mod change;
pub mod exit;
pub mod explain;
mod list;
mod render;
pub mod report;
pub mod show;

/// Runs what the command line asks for and returns the exit code.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    let system = ntex::rt::System::build()
        .name("oriolectl")
        .build(ntex::rt::DefaultRuntime);
    let matches = matches.clone();
    let done = system.block_on(async move { dispatch(&matches).await });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("oriolectl: {}", failure.message);
            failure.code.into()
        }
    }
}

/// Does what the command line asks for, on ntex's runtime.
///
/// # Errors
///
/// Says what happened, with the exit code.
pub async fn dispatch(matches: &ArgMatches) -> Result<(), exit::Failure> {
    if let Some(("completions", matches)) = matches.subcommand() {
        args::completions(matches);
        return Ok(());
    }
    if let Some(("report", report)) = matches.subcommand() {
        return report::run(report, args::output(matches));
    }
    if let Some(("explain", explain)) = matches.subcommand() {
        return explain::run(explain);
    }
    let mut controls = call::Controls::new(args::controls(matches)?, args::timeout(matches));
    if let Some(command) = change::asked(matches)? {
        return change::run(&mut controls, matches, command).await;
    }
    list::run(&mut controls, matches).await
}
