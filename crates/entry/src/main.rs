//! `oriole-entry`: the daemon of an entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = entry::run::command().get_matches();
    let path = daemon::args::settings_path(&matches);
    let settings = match settings::load::<settings::entry::Settings>(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("oriole-entry: {error}");
            return ExitCode::FAILURE;
        }
    };
    if daemon::args::only_checks(&matches) {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    daemon::logs::start(daemon::args::log_level(&matches));
    daemon::process::run("oriole-entry", |token| entry::run::run(settings, token))
}
