//! Library behind `oriolectl`, the command-line client for operators.
//!
//! [`args`] defines the command line, [`call`] finds a control VM that answers, [`change`] sends
//! commands and waits for them, and [`show`] prints results. [`exit::Code`] lists the exit codes.
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
pub mod place;
mod render;
pub mod report;
pub mod show;

/// Runs the parsed command line and returns the exit code.
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

/// Runs the parsed command line on ntex's runtime.
///
/// # Errors
///
/// Returns the error message and the exit code.
pub async fn dispatch(matches: &ArgMatches) -> Result<(), exit::Failure> {
    if let Some(("completions", matches)) = matches.subcommand() {
        args::print_completions(matches);
        return Ok(());
    }
    if let Some(("report", report)) = matches.subcommand() {
        return report::run(report, args::output_format(matches));
    }
    if let Some(("explain", explain)) = matches.subcommand() {
        return explain::run(explain);
    }
    if let Some(("place", place)) = matches.subcommand() {
        return place::run(place, args::output_format(matches), args::timeout(matches)).await;
    }
    let mut control_client =
        call::ControlClient::new(args::control_addresses(matches)?, args::timeout(matches));
    if let Some(command) = change::command_from_args(matches)? {
        return change::run(&mut control_client, matches, command).await;
    }
    list::run(&mut control_client, matches).await
}
