//! The command line that the daemons of entry VMs and control VMs share.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Returns the command line of the daemon `name`.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Read settings from this YAML file"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print the first fault or \"ok\", and exit"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .default_value("info")
                .help("Log this level and those above it"),
        )
        .arg(
            Arg::new("gateway")
                .long("gateway")
                .action(ArgAction::SetTrue)
                .help("Serve clients, upstreams and operators of the platform")
                .long_help(
                    "Serve clients, upstreams and operators of the platform: packets carry the \
                     token of their upstream, and plans and announcements arrive over HTTP. The \
                     settings file then has the keys listed in GUIDE.md, \"On the platform\".",
                ),
        )
        .after_help(
            "SIGTERM and SIGINT stop the process gracefully: it accepts no new work, finishes the \
             work in flight and exits with 0.",
        )
}

/// Returns the path of the settings file.
#[must_use]
pub fn settings_path(matches: &ArgMatches) -> PathBuf {
    let path: Option<&PathBuf> = matches.get_one("settings");
    path.cloned().unwrap_or_default()
}

/// Reports whether the process should only check the settings.
#[must_use]
pub fn is_check_only(matches: &ArgMatches) -> bool {
    matches.get_flag("check-settings")
}

/// Reports whether the process should run on the platform.
#[must_use]
pub fn is_gateway(matches: &ArgMatches) -> bool {
    matches.get_flag("gateway")
}

/// Reads the settings and passes them to `run`, or prints the first fault in the settings. With
/// `--check-settings`, prints `ok` instead of calling `run`. From this call on, SIGHUP doesn't end
/// the process.
pub fn load<T: settings::Load>(matches: &ArgMatches, run: impl FnOnce(T) -> ExitCode) -> ExitCode {
    if let Err(error) = crate::reload::ignore_hang_up() {
        eprintln!("can't install a handler for SIGHUP: {error}");
        return ExitCode::FAILURE;
    }
    let settings = match settings::load(settings_path(matches)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if is_check_only(matches) {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

/// Returns the level of the log.
#[must_use]
pub fn log_level(matches: &ArgMatches) -> log::LevelFilter {
    let level: Option<&String> = matches.get_one("log");
    level
        .and_then(|level| level.parse().ok())
        .unwrap_or(log::LevelFilter::Info)
}
