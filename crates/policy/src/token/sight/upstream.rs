//! What a VM believes of one upstream, and how a probe changes that.

use std::sync::Arc;

use model::routing::Probed;

use super::{HealthChange, HealthStatus, ProbeReason, ProbeResult};
use crate::time::Instant;

/// Time until an upstream that was found down is probed again, in milliseconds; doubles with each
/// further time.
const MIN_PROBE_INTERVAL_MS: u64 = 500;

/// The longest such time for an upstream that announces itself, in milliseconds: flows that are open
/// there are refused until then.
const MAX_PROBE_INTERVAL_MS: u64 = 1_500;

/// The longest such time for one that announces itself to no control VM either: it is hardly there,
/// but a lost packet makes a probe silent as well.
const MAX_UNANNOUNCED_PROBE_INTERVAL_MS: u64 = 4_000;

/// Time in which a probe has its outcome at the latest, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time for which an upstream that answers probes, but not a client, gets no new flows where there
/// is another, in milliseconds.
const BUSY_MS: u64 = 300;

/// Time within which two VMs have to find an upstream down for others to believe it, in
/// milliseconds.
const CONFIRM_WINDOW_MS: u64 = 2_000;

/// Time in which a request's weight falls to 1/e, in milliseconds.
const LOAD_DECAY_MS: f32 = 2_000.0;

/// What this VM knows of one upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct UpstreamHealth {
    /// Requests passed on lately, each weighted by its age, as of `at`.
    pub(super) load: f32,
    pub(super) at: Instant,
    /// When a client last took up a flow with it, or acknowledged something new.
    pub(super) answered_at: Option<Instant>,
    pub(super) status: HealthStatus,
    /// When the newest probe began that the standing follows from.
    pub(super) status_probe_at: Option<Instant>,
    /// Whether that was a probe of this VM.
    pub(super) is_own_probe: bool,
    /// VM of this failure domain that found it down, and when this one was told.
    pub(super) down_report: Option<(Arc<str>, Instant)>,
    /// When a probe is due, where one is.
    pub(super) next_probe_at: Option<Instant>,
    /// When the probe under way began, and why.
    pub(super) running_probe: Option<(Instant, ProbeReason)>,
    /// When the first probe began that it accepted after it had refused one.
    pub(super) first_accepted_at: Option<Instant>,
    /// Whether another VM of this failure domain has reached it since this one found it silent.
    pub(super) is_contradicted: bool,
    /// Time until the next probe while the upstream is down, in milliseconds.
    pub(super) probe_interval_ms: u64,
}

impl UpstreamHealth {
    pub(super) fn load(&self, now: Instant) -> f32 {
        self.load * now.left_of(self.at, LOAD_DECAY_MS)
    }

    pub(super) fn is_probing(&self, now: Instant) -> bool {
        let since = self.running_probe.map(|(at, _)| at);
        since.is_some_and(|at| now.ms_since(at) < PROBE_TIMEOUT_MS)
    }

    pub(super) fn probe_reason(&self) -> ProbeReason {
        match self.status {
            HealthStatus::Unconfirmed => ProbeReason::ClientWaiting,
            HealthStatus::Healthy | HealthStatus::Busy(_) | HealthStatus::Down(_) => {
                ProbeReason::Suspected
            }
        }
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_probe_at.is_some_and(|at| now >= at) && !self.is_probing(now)
    }

    /// Whether what a probe showed that began at `started_at` is overtaken.
    pub(super) fn is_newer_than(&self, started_at: Instant) -> bool {
        let later = |at: Option<Instant>| at.is_some_and(|at| at >= started_at);
        later(self.answered_at) || later(self.status_probe_at)
    }

    /// Whether this VM holds it to be down, or another than `vm` found it so a moment ago.
    pub(super) fn is_down_or_reported_by_other(&self, now: Instant, vm: &Arc<str>) -> bool {
        let other = self.down_report.as_ref();
        matches!(self.status, HealthStatus::Down(_))
            || other.is_some_and(|(other, at)| other != vm && now.ms_since(*at) < CONFIRM_WINDOW_MS)
    }

    /// Takes what a probe showed that began at `started_at`.
    pub(super) fn apply_result(
        &mut self,
        now: Instant,
        started_at: Instant,
        result: ProbeResult,
    ) -> Option<HealthChange> {
        let before = self.status;
        self.status_probe_at = Some(started_at);
        self.down_report = None;
        (self.status, self.next_probe_at) = match (result.probed, before) {
            (Probed::Accepted, HealthStatus::Unconfirmed) => {
                (HealthStatus::Busy(now.plus_ms(BUSY_MS)), None)
            }
            // Another that has yet to announce itself may have taken over the address.
            (Probed::Accepted, HealthStatus::Down(Probed::Refused))
                if !self.has_accepted_for_an_interval(started_at) =>
            {
                self.first_accepted_at.get_or_insert(started_at);
                let next = now.plus_ms(MIN_PROBE_INTERVAL_MS + result.backoff_ms);
                (HealthStatus::Down(Probed::Refused), Some(next))
            }
            (Probed::Accepted, _) => (HealthStatus::Healthy, None),
            // Its process has ended, and no other start of it has been heard of.
            (Probed::Refused, _) if !result.is_announced => {
                (HealthStatus::Down(Probed::Refused), None)
            }
            (down, _) => {
                self.probe_interval_ms = self.next_probe_interval_ms(result.is_announced);
                let next = now.plus_ms(self.probe_interval_ms + result.backoff_ms);
                (HealthStatus::Down(down), Some(next))
            }
        };
        if result.probed != Probed::Accepted {
            self.first_accepted_at = None;
        }
        let after = self.status;
        (after != before).then_some(HealthChange {
            before,
            after,
            started_at,
        })
    }

    /// Whether a probe that began long enough before `started_at` was accepted as well.
    fn has_accepted_for_an_interval(&self, started_at: Instant) -> bool {
        let first = self.first_accepted_at;
        first.is_some_and(|at| started_at.ms_since(at) >= MIN_PROBE_INTERVAL_MS)
    }

    fn next_probe_interval_ms(&self, is_announced: bool) -> u64 {
        let most = match is_announced {
            true => MAX_PROBE_INTERVAL_MS,
            false => MAX_UNANNOUNCED_PROBE_INTERVAL_MS,
        };
        match self.status {
            HealthStatus::Down(_) => (2 * self.probe_interval_ms).min(most),
            HealthStatus::Healthy | HealthStatus::Busy(_) | HealthStatus::Unconfirmed => {
                MIN_PROBE_INTERVAL_MS
            }
        }
    }
}
