//! `oriole-control`: the daemon of a control VM.

use std::process::ExitCode;

use clap::parser::ValueSource;
use settings::control::Settings;

fn main() -> ExitCode {
    let matches = daemon::args::command(
        "oriole-control",
        "The daemon of a control VM: keeps the cluster configuration on disk together with the \
         other control VMs, takes operators' commands and delivers the configuration to the entry \
         VMs.",
    )
    .get_matches();
    let settings: Settings = match settings::load(daemon::args::settings_path(&matches)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if daemon::args::only_checks(&matches) {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    let level = match matches.value_source("log") {
        Some(ValueSource::CommandLine) => daemon::args::log_level(&matches),
        _ => settings
            .log
            .as_str()
            .parse()
            .unwrap_or(log::LevelFilter::Info),
    };
    daemon::logs::start(level);
    daemon::process::run("oriole-control", |token| {
        control::process::run(settings, token)
    })
}
