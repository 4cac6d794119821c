//! Watches a settings file for changes while the process runs. SIGHUP triggers a check at once.

use std::{
    fs, io,
    path::PathBuf,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use settings::Load;
use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Time between two checks of the file.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Installs a handler that ignores SIGHUP, which may come before the process has read its settings
/// and would end the process by default.
///
/// # Errors
///
/// Fails when the handler can't be installed.
pub fn ignore_hang_up() -> io::Result<()> {
    // The signal needs no record: the first check after the start finds all earlier changes.
    let received = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, received).map(|_| ())
}

/// A watched settings file, and the settings in use.
#[derive(Debug)]
pub struct SettingsFile<T> {
    path: PathBuf,
    settings: T,
    /// Content of the file at the last check; `None` before the first check.
    text: Option<String>,
    hang_up: Option<Signal>,
}

impl<T: Load + Clone + PartialEq> SettingsFile<T> {
    /// Watches the file at `path`, from which the process has read `settings`.
    #[must_use]
    pub fn new(path: PathBuf, settings: T) -> Self {
        let hang_up = signal(SignalKind::hangup());
        if let Err(error) = &hang_up {
            log::warn!(target: "reload", "event=no-sighup reason=\"{error}\"");
        }
        Self {
            path,
            settings,
            text: None,
            hang_up: hang_up.ok(),
        }
    }

    /// Waits until the file holds valid settings that differ from those in use, and returns them.
    /// Returns `None` once `token` is cancelled. Invalid settings are logged and ignored.
    pub async fn changed(&mut self, token: &CancellationToken) -> Option<T> {
        loop {
            tokio::select! {
                () = token.cancelled() => return None,
                () = wait_for_hang_up(self.hang_up.as_mut()) => {
                    log::info!(target: "reload", "event=sighup");
                }
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let text = match fs::read_to_string(&self.path) {
                Ok(text) if self.text.as_ref() != Some(&text) => text,
                Ok(_) => continue,
                Err(error) => {
                    log::debug!(target: "reload", "event=unreadable reason=\"{error}\"");
                    continue;
                }
            };
            let file = self.path.display().to_string();
            let parsed = settings::parse::<T>(&file, &text);
            self.text = Some(text);
            match parsed {
                Ok(settings) if settings == self.settings => {}
                Ok(settings) => {
                    log::info!(target: "reload", "event=reload outcome=taken");
                    self.settings = settings.clone();
                    return Some(settings);
                }
                Err(error) => {
                    log::warn!(target: "reload", "event=reload outcome=refused reason=\"{error}\"");
                }
            }
        }
    }
}

async fn wait_for_hang_up(signal: Option<&mut Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
