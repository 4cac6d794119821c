//! Emulates upstreams, or callers behind a fabric, as one process.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::de::DeserializeOwned;
use standin::{caller, upstream};
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    daemon::logs::start(log::LevelFilter::Info);
    let matches = command().get_matches();
    daemon::process::run("oriole-standin", |token| run(matches, token))
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file, YAML");
    Command::new("oriole-standin")
        .about("Emulates upstreams, or callers behind a fabric")
        .subcommand_required(true)
        .subcommand(
            Command::new("upstream")
                .about("Runs upstreams")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("caller")
                .about("Runs callers and their fabric")
                .arg(settings),
        )
}

async fn run(matches: ArgMatches, token: CancellationToken) -> Result<(), String> {
    let Some((kind, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let Some(file) = matches.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    match kind {
        "upstream" => {
            let run = upstream::run(load(file)?, token);
            run.await.map_err(|e| e.to_string())
        }
        _ => {
            let run = caller::run(load(file)?, token);
            run.await.map_err(|e| e.to_string())
        }
    }
}

fn load<T: DeserializeOwned>(file: &Path) -> Result<T, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    serde_norway::from_str(&text).map_err(|e| format!("{name}: {e}: correct the file"))
}
