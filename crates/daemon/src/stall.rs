//! Detects that the process was stalled: frozen, or without processor time.
//!
//! After a stall, other VMs may hold the process for dead, and its own deadlines have passed. The
//! log line about the stall explains both, and its time shows when the process ran again.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest delay of a check that is logged as a stall.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(300);

/// Detects stalls: each check of the clock is due at a known time, and a late check shows a stall.
///
/// Times are since the machine started and include its suspension, because the clock of the
/// runtime's timers stops while the machine is suspended.
#[derive(Debug)]
pub struct StallDetector {
    due: Duration,
}

impl StallDetector {
    /// Creates the detector of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            due: now + CHECK_INTERVAL,
        }
    }

    /// Checks the clock at `now`. Returns the delay of the check if the delay is at least
    /// [`MIN_LOGGED_DELAY`].
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let delay = now.saturating_sub(self.due);
        self.due = now + CHECK_INTERVAL;
        (delay >= MIN_LOGGED_DELAY).then_some(delay)
    }
}

/// Returns the time since the machine started, including its suspension.
#[must_use]
pub fn now() -> Duration {
    // The conversion fails only for a negative time, which the kernel never returns.
    clock_gettime(ClockId::Boottime)
        .try_into()
        .unwrap_or_default()
}

/// Logs each stall of the process until `token` is cancelled.
///
/// `detector` was created when the process started, so that a stall before the first run of this
/// task is logged too.
pub async fn log_stalls(mut detector: StallDetector, token: CancellationToken) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        if let Some(stalled) = detector.check(now()) {
            let ms = stalled.as_millis();
            log::warn!(target: "process", "event=stalled for_ms={ms}");
        }
    }
}
