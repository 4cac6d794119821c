//! Development commands of the repository.

mod demo;
mod soak;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let command = Command::new("xtask")
        .about("Development commands of the repository")
        .subcommand_required(true)
        .subcommand(demo::command())
        .subcommand(soak::command());
    match command.get_matches().subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("soak", matches)) => soak::run(matches),
        _ => ExitCode::FAILURE,
    }
}
