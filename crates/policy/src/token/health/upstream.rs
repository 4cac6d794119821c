//! Health of one upstream and the effect of probe results on it.

use std::sync::Arc;

use model::routing::ProbeOutcome;

use super::{HealthChange, HealthStatus, MAX_PROBE_WAIT_MS, ProbeReason, ProbeResult};
use crate::time::Instant;

/// Interval in milliseconds before the first further probe of a down upstream. The interval doubles
/// with each further failed probe.
const MIN_PROBE_INTERVAL_MS: u64 = 500;

/// Longest interval for an upstream that announces itself, in milliseconds. Packets of its open
/// flows are refused until a probe succeeds.
const MAX_PROBE_INTERVAL_MS: u64 = 1_500;

/// Longest interval for an upstream that no control VM receives announcements of, in milliseconds.
/// The upstream has probably ended, but a lost packet also makes a probe silent.
const MAX_UNANNOUNCED_PROBE_INTERVAL_MS: u64 = 4_000;

/// Time in milliseconds after which a probe without a result no longer counts as running.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time in milliseconds for which an upstream that accepts probes but leaves a client without an
/// answer gets no new flows if there are other upstreams.
const BUSY_MS: u64 = 300;

/// Time in milliseconds within which two VMs have to report an upstream as down so that other VMs
/// trust the reports.
const CONFIRM_WINDOW_MS: u64 = 2_000;

/// Time in milliseconds in which the weight of a request falls to 1/e.
const LOAD_DECAY_MS: f32 = 2_000.0;

/// Time in milliseconds after the start of a probe for which its result justifies resets of open
/// flows. A network cut may refuse connections or drop them, and end before the upstream announces
/// itself again.
const RESULT_VALID_MS: u64 = 2_000;

/// Load and health of one upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct UpstreamHealth {
    /// Recently forwarded requests, each weighted by its age at `load_at`.
    pub(super) load: f32,
    pub(super) load_at: Instant,
    /// Time when a client last completed opening a flow with the upstream or acknowledged new data.
    pub(super) answered_at: Option<Instant>,
    pub(super) status: HealthStatus,
    /// Start time of the newest probe that the status is based on.
    pub(super) status_probe_at: Option<Instant>,
    /// Start time of the newest probe that was refused or got no answer.
    failed_probe_at: Option<Instant>,
    /// Whether this VM made the probe that the status is based on.
    pub(super) is_own_probe: bool,
    /// Last VM of this failure domain that reported the upstream as down, and the time of the
    /// report.
    pub(super) down_report: Option<(Arc<str>, Instant)>,
    /// Time when the next probe is due, if a probe is scheduled.
    pub(super) next_probe_at: Option<Instant>,
    /// Start time and reason of the running probe.
    pub(super) running_probe: Option<(Instant, ProbeReason)>,
    /// Start time of the first accepted probe after a refused probe.
    pub(super) first_accepted_at: Option<Instant>,
    /// Whether another VM of this failure domain has reached the upstream since this VM found the
    /// upstream silent.
    pub(super) is_contradicted: bool,
    /// Interval in milliseconds before the next probe while the upstream is down.
    pub(super) probe_interval_ms: u64,
    /// Whether a client waits for the upstream, which was found down too long ago.
    pub(super) is_outdated: bool,
}

impl UpstreamHealth {
    pub(super) fn load(&self, now: Instant) -> f32 {
        self.load * now.remaining_fraction(self.load_at, LOAD_DECAY_MS)
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

    /// Reports whether a probe that started at `started_at` is outdated by a later answer or a
    /// later probe.
    pub(super) fn is_newer_than(&self, started_at: Instant) -> bool {
        let later = |at: Option<Instant>| at.is_some_and(|at| at >= started_at);
        later(self.answered_at) || later(self.status_probe_at)
    }

    /// Reports whether the upstream is down already, or a VM other than `vm` reported it as down
    /// within the confirmation window.
    pub(super) fn is_down_or_reported_by_other(&self, now: Instant, vm: &Arc<str>) -> bool {
        let other = self.down_report.as_ref();
        self.is_down()
            || other.is_some_and(|(other, at)| other != vm && now.ms_since(*at) < CONFIRM_WINDOW_MS)
    }

    /// Reports whether the upstream is down and a probe found that a short time ago.
    pub(super) fn is_recently_down(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.ms_since(at) <= RESULT_VALID_MS;
        self.is_down() && self.failed_probe_at.is_some_and(is_recent)
    }

    /// Reports whether a client waits for the result of the next probe.
    pub(super) fn has_waiting_client(&self) -> bool {
        self.is_outdated || self.status == HealthStatus::Unconfirmed
    }

    /// Reports whether a client's probe is scheduled, or began less than [`MAX_PROBE_WAIT_MS`] ago.
    pub(super) fn awaits_probe(&self, now: Instant) -> bool {
        let is_late = |(at, _): (Instant, _)| now.ms_since(at) >= MAX_PROBE_WAIT_MS;
        self.status == HealthStatus::Unconfirmed && !self.running_probe.is_some_and(is_late)
    }

    /// Applies the result of a probe that started at `started_at`.
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
            (ProbeOutcome::Accepted, HealthStatus::Unconfirmed) => {
                (HealthStatus::Busy(now.plus_ms(BUSY_MS)), None)
            }
            // Another upstream that has not announced itself yet may have taken over the address.
            (ProbeOutcome::Accepted, HealthStatus::Down(ProbeOutcome::Refused))
                if !self.has_accepted_for_an_interval(started_at) =>
            {
                self.first_accepted_at.get_or_insert(started_at);
                let next = now.plus_ms(MIN_PROBE_INTERVAL_MS + result.backoff_ms);
                (HealthStatus::Down(ProbeOutcome::Refused), Some(next))
            }
            (ProbeOutcome::Accepted, _) => (HealthStatus::Healthy, None),
            (down, _) if result.has_ended => (HealthStatus::Down(down), None),
            (down, _) => {
                self.probe_interval_ms = self.next_probe_interval_ms(result.is_announced);
                let next = now.plus_ms(self.probe_interval_ms + result.backoff_ms);
                (HealthStatus::Down(down), Some(next))
            }
        };
        if result.probed != ProbeOutcome::Accepted {
            self.first_accepted_at = None;
            self.failed_probe_at = Some(started_at);
        }
        let after = self.status;
        // Flows of an upstream whose status was outdated have not been reset so far.
        let was_outdated = std::mem::take(&mut self.is_outdated);
        let before = match was_outdated && result.probed != ProbeOutcome::Accepted {
            true => HealthStatus::Unconfirmed,
            false => before,
        };
        (after != before).then_some(HealthChange {
            before,
            after,
            probe_started_at: started_at,
        })
    }

    pub(super) fn is_down(&self) -> bool {
        matches!(self.status, HealthStatus::Down(_))
    }

    /// Reports whether a probe at least one interval before `started_at` was accepted.
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
