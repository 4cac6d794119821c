//! `oriole-control`: the daemon of a control VM.

use std::process::ExitCode;

use clap::{ArgMatches, parser::ValueSource};
use settings::{control::Settings, gateway};

fn main() -> ExitCode {
    let matches = daemon::args::command(
        "oriole-control",
        "The daemon of a control VM: keeps the cluster configuration on disk together with the \
         other control VMs, takes operators' commands and delivers the configuration to the entry \
         VMs.",
    )
    .get_matches();
    let path = daemon::args::settings_path(&matches);
    if daemon::args::is_gateway(&matches) {
        return daemon::args::load::<gateway::Control>(&matches, |settings| {
            start_logs(&matches, settings.log);
            daemon::process::run("oriole-control", |token| {
                control::process::run_gateway(settings, path, token)
            })
        });
    }
    daemon::args::load::<Settings>(&matches, |settings| {
        start_logs(&matches, settings.log);
        daemon::process::run("oriole-control", |token| {
            control::process::run(settings, token)
        })
    })
}

/// Starts logging; a level on the command line takes precedence over the settings.
fn start_logs(matches: &ArgMatches, level: settings::log::Level) {
    let level = match matches.value_source("log") {
        Some(ValueSource::CommandLine) => daemon::args::log_level(matches),
        _ => level.as_str().parse().unwrap_or(log::LevelFilter::Info),
    };
    daemon::logs::start(level);
}
