//! Runs a daemon: a runtime, the signals, and the exit code.

use std::{
    future::Future,
    hash::{BuildHasher, RandomState},
    process::ExitCode,
    time::Instant,
};

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{logs, stall};

/// Runs `main` on a runtime of one thread until it ends. SIGTERM and SIGINT cancel the token that
/// it gets; the exit code is 1 when it fails.
pub fn run<F, E>(name: &'static str, main: impl FnOnce(CancellationToken) -> F) -> ExitCode
where
    F: Future<Output = Result<(), E>> + 'static,
    E: std::fmt::Display,
{
    let looks = stall::Looks::new(stall::now());
    let token = CancellationToken::new();
    let future = main(token.clone());
    let system = ntex::rt::System::build()
        .name(name)
        .build(ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        ntex::rt::spawn(stall::watch(looks, token.clone()));
        ntex::rt::spawn(watch_signals(token));
        future.await.map_err(|e| e.to_string())
    });
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "process", "{name} stops: {error}");
            ExitCode::FAILURE
        }
    };
    logs::finish();
    code
}

/// A random number other than 0, from the system's generator.
#[must_use]
pub fn random_nonzero() -> u64 {
    RandomState::new().hash_one(Instant::now()).max(1)
}

async fn watch_signals(token: CancellationToken) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!(target: "process", "signals can't be watched: stop the process with SIGKILL");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: "process", "stops gracefully");
    token.cancel();
}
