//! Development commands of the repository.

mod demo;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("xtask")
        .about("Development commands of the repository")
        .subcommand_required(true)
        .subcommand(demo::command());
    match command.get_matches().subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        _ => ExitCode::FAILURE,
    }
}
