//! A settings file that may change while the process runs, with or without a signal.

use std::{fs, path::PathBuf, time::Duration};

use settings::Load;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Time between two looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// A settings file and what it held last.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    text: String,
    hang_up: Option<Signal>,
}

impl File {
    /// Watches the file at `path`, from what it holds now. SIGHUP no longer ends the process.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        let hang_up = signal(SignalKind::hangup());
        if let Err(error) = &hang_up {
            log::warn!(target: "reload", "event=no-sighup reason=\"{error}\"");
        }
        Self {
            text: fs::read_to_string(&path).unwrap_or_default(),
            path,
            hang_up: hang_up.ok(),
        }
    }

    /// Waits until the file holds other settings that can be used; none once `token` is
    /// cancelled. Settings that can't be used are logged and passed over.
    pub async fn changed<T: Load>(&mut self, token: &CancellationToken) -> Option<T> {
        loop {
            tokio::select! {
                () = token.cancelled() => return None,
                () = hung_up(self.hang_up.as_mut()) => {
                    log::info!(target: "reload", "event=sighup");
                }
                () = tokio::time::sleep(LOOK_EVERY) => {}
            }
            let text = match fs::read_to_string(&self.path) {
                Ok(text) if text != self.text => text,
                Ok(_) => continue,
                Err(error) => {
                    log::debug!(target: "reload", "event=unreadable reason=\"{error}\"");
                    continue;
                }
            };
            let file = self.path.display().to_string();
            let parsed = settings::parse::<T>(&file, &text);
            self.text = text;
            match parsed {
                Ok(settings) => {
                    log::info!(target: "reload", "event=reload outcome=taken");
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
