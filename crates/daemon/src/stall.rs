//! Notices that the process stood still: frozen, or without processor time.
//!
//! What others believe of the process then no longer holds, and its own deadlines have passed, so
//! its log says so, with the first moment at which it ran again.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Shortest delay of a look that is told of.
const SHORTEST: Duration = Duration::from_millis(300);

/// Looks at the clock, of which the next one is due at a known time.
///
/// Times are since the machine started, its sleep included: the clock that timers go by stands
/// still while a machine is suspended.
#[derive(Debug)]
pub struct Looks {
    due: Duration,
}

impl Looks {
    /// Looks of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            due: now + LOOK_EVERY,
        }
    }

    /// Takes a look at `now`. Returns how long it was held up, where that is worth a line.
    pub fn look(&mut self, now: Duration) -> Option<Duration> {
        let delay = now.saturating_sub(self.due);
        self.due = now + LOOK_EVERY;
        (delay >= SHORTEST).then_some(delay)
    }
}

/// Time since the machine started, its sleep included.
#[must_use]
pub fn now() -> Duration {
    // The kernel never gives a time before its start.
    clock_gettime(ClockId::Boottime)
        .try_into()
        .unwrap_or_default()
}

/// Logs each time that the process stood still, until `token` is cancelled.
///
/// `looks` starts with the process, so that one that is frozen before this task first runs says so
/// as well.
pub async fn watch(mut looks: Looks, token: CancellationToken) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = sleep(LOOK_EVERY) => {}
        }
        if let Some(stalled) = looks.look(now()) {
            let ms = stalled.as_millis();
            log::warn!(target: "process", "event=stalled for_ms={ms}");
        }
    }
}
