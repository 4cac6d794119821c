//! Emulates upstreams, or callers behind a fabric, as one process.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, Command, value_parser};
use serde::de::DeserializeOwned;
use standin::{caller, upstream};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriole-standin: {error}");
            ExitCode::FAILURE
        }
    }
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

fn run(matches: &clap::ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let Some((kind, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let Some(file) = matches.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let token = CancellationToken::new();
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        let stop = token.clone();
        tokio::task::spawn_local(async move {
            terminate.recv().await;
            stop.cancel();
        });
        match kind {
            "upstream" => upstream::run(load(file)?, token).await?,
            _ => caller::run(load(file)?, token).await?,
        }
        Ok(())
    })
}

fn load<T: DeserializeOwned>(file: &Path) -> Result<T, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    serde_norway::from_str(&text).map_err(|e| format!("{name}: {e}: correct the file"))
}
