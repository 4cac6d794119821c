//! `oriolectl`: the command-line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::args::command().get_matches();
    cli::run(&matches)
}
