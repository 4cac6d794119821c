//! A settings file that may change while the process runs, with or without a signal.

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

/// Time between two looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Lets the process outlive SIGHUP, which may come before it has read its settings.
///
/// # Errors
///
/// As the kernel says.
pub fn outlive_hang_up() -> io::Result<()> {
    // What has changed until the file is watched is found at the first look, without a signal.
    let came = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, came).map(|_| ())
}

/// A settings file, and the settings that the process goes by.
#[derive(Debug)]
pub struct File<T> {
    path: PathBuf,
    settings: T,
    /// What the file held at the last look; none before the first.
    text: Option<String>,
    hang_up: Option<Signal>,
}

impl<T: Load + Clone + PartialEq> File<T> {
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

    /// Waits until the file holds other settings that can be used; none once `token` is
    /// cancelled. Settings that can't be used are logged and passed over.
    pub async fn changed(&mut self, token: &CancellationToken) -> Option<T> {
        loop {
            tokio::select! {
                () = token.cancelled() => return None,
                () = hung_up(self.hang_up.as_mut()) => {
                    log::info!(target: "reload", "event=sighup");
                }
                () = tokio::time::sleep(LOOK_EVERY) => {}
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

async fn hung_up(signal: Option<&mut Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
