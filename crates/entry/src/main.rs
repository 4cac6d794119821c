//! `oriole-entry`: the daemon of an entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = entry::run::command().get_matches();
    if daemon::args::is_gateway(&matches) {
        let path = daemon::args::settings_path(&matches);
        return daemon::args::load::<settings::gateway::Entry>(&matches, |settings| {
            daemon::logs::start(daemon::args::log_level(&matches));
            daemon::process::run("oriole-entry", |token| {
                entry::gateway::run(settings, path, token)
            })
        });
    }
    daemon::args::load::<settings::entry::Settings>(&matches, |settings| {
        daemon::logs::start(daemon::args::log_level(&matches));
        daemon::process::run("oriole-entry", |token| entry::run::run(settings, token))
    })
}
