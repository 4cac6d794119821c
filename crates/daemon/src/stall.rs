//! Notices that the process stood still: frozen, or without processor time.
//!
//! What others believe of the process then no longer holds, and its own deadlines have passed, so
//! its log says so, with the first moment at which it ran again.

use std::time::{Duration, Instant};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Shortest delay of a look that is told of.
const SHORTEST: Duration = Duration::from_millis(300);

/// Logs each time that the process stood still, until `token` is cancelled.
pub async fn watch(token: CancellationToken) {
    loop {
        let slept_at = Instant::now();
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(LOOK_EVERY) => {}
        }
        if let Some(stalled) = delay(slept_at.elapsed()) {
            let ms = stalled.as_millis();
            log::warn!(target: "process", "event=stalled for_ms={ms}");
        }
    }
}

/// How long a look that came after `passed` was held up, where that is worth a line.
#[must_use]
pub fn delay(passed: Duration) -> Option<Duration> {
    let delay = passed.saturating_sub(LOOK_EVERY);
    (delay >= SHORTEST).then_some(delay)
}
