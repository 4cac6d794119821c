//! Runs a daemon: sets up the runtime, handles signals, and returns the exit code.

use std::{
    future::Future,
    hash::{BuildHasher, RandomState},
    process::ExitCode,
    time::Instant,
};

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{logs, stall};

/// Runs `main` on a single-threaded runtime until `main` ends. SIGTERM and SIGINT cancel the token
/// that `main` receives. The exit code is 1 if `main` fails.
pub fn run<F, E>(name: &'static str, main: impl FnOnce(CancellationToken) -> F) -> ExitCode
where
    F: Future<Output = Result<(), E>> + 'static,
    E: std::fmt::Display,
{
    let detector = stall::StallDetector::new(stall::now());
    let token = CancellationToken::new();
    let future = main(token.clone());
    let system = ntex::rt::System::build()
        .name(name)
        .build(ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        ntex::rt::spawn(stall::log_stalls(detector, token.clone()));
        ntex::rt::spawn(watch_signals(token));
        future.await.map_err(|e| e.to_string())
    });
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "process", "{name} exits after a failure: {error}");
            ExitCode::FAILURE
        }
    };
    logs::finish();
    code
}

/// Returns a random number other than 0, derived from the system's random generator.
#[must_use]
pub fn random_nonzero() -> u64 {
    RandomState::new().hash_one(Instant::now()).max(1)
}

async fn watch_signals(token: CancellationToken) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!(target: "process", "can't handle SIGTERM and SIGINT: stop the process with SIGKILL");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: "process", "received SIGTERM or SIGINT: stopping gracefully");
    token.cancel();
}
