//! Load and health of each upstream, as seen by an entry VM.
//!
//! An upstream answers clients directly, so an entry VM detects answers only by the
//! acknowledgements of clients. An upstream without answers is probed before it is marked down: a
//! busy upstream accepts a connection, a crashed upstream refuses it, and an upstream behind a
//! network cut doesn't respond.
//!
//! Probe results are reported to the other entry VMs, so that only a few VMs have to probe an
//! upstream. [`HealthTable::apply_report`] defines when a VM trusts a report.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use model::routing::ProbeOutcome;

use super::{budget::ProbeBudget, directory::Directory};
use crate::time::Instant;
use upstream::UpstreamHealth;

mod upstream;

/// Maximum number of probes that run at the same time.
const MAX_RUNNING_PROBES: usize = 8;

/// Time in milliseconds after the start of a probe for which opening packets wait for its result. An
/// upstream that lives accepts a connection much sooner.
pub const MAX_PROBE_WAIT_MS: u64 = 100;

/// Time in milliseconds for which a VM ignores reports of reachable upstreams. The time starts when
/// the VM can't reach an upstream that another VM of its failure domain has reached, as the VM may
/// be isolated.
const ISOLATED_MS: u64 = 5_000;

/// Health of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthStatus {
    /// No client and no probe has found a fault.
    #[default]
    Healthy,
    /// The upstream accepts connections but left a client without an answer. The status holds until
    /// the given time.
    Busy(Instant),
    /// A client got no answer, and the probe for this has no result yet.
    Unconfirmed,
    /// A probe found the upstream down, with the given result.
    Down(ProbeOutcome),
}

/// Reason for which an upstream is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// A client of this VM waits for an answer of the upstream.
    ClientWaiting,
    /// The upstream is suspected to be down, or is down and checked again.
    Suspected,
}

impl ProbeReason {
    /// Returns the reason as the value of a metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ClientWaiting => "client",
            Self::Suspected => "doubt",
        }
    }
}

/// A due probe: a connection without a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// Id of the upstream.
    pub id: u64,
    /// Address to connect to.
    pub address: SocketAddrV4,
    /// Reason for the probe.
    pub reason: ProbeReason,
}

/// Result of a probe, made by this VM or reported by another VM.
#[derive(Debug, Clone, Copy)]
pub struct ProbeResult {
    /// Id of the upstream.
    pub id: u64,
    /// Outcome of the connection attempt.
    pub probed: ProbeOutcome,
    /// Whether at least one control VM receives announcements of the upstream.
    pub is_announced: bool,
    /// Whether the upstream has stopped or lost its address to another upstream, so that no further
    /// probe is needed.
    pub has_ended: bool,
    /// Random time in milliseconds that this VM adds to the interval before its next probe, so that
    /// another VM may probe first.
    pub backoff_ms: u64,
}

/// Source of a reported probe.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// Name of the VM that probed.
    pub vm: &'a Arc<str>,
    /// Whether the reporting VM is in this VM's failure domain, and so reaches the same upstreams
    /// as this VM.
    pub is_same_domain: bool,
    /// Start time of the probe.
    pub probe_started_at: Instant,
}

/// A change of an upstream's health status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthChange {
    /// Status before the change.
    pub before: HealthStatus,
    /// Status after the change.
    pub after: HealthStatus,
    /// Start time of the probe that caused the change.
    pub probe_started_at: Instant,
}

impl HealthChange {
    /// Reports whether the upstream changed to down from another status.
    #[must_use]
    pub fn is_down_transition(self) -> bool {
        !matches!(self.before, HealthStatus::Down(_)) && matches!(self.after, HealthStatus::Down(_))
    }

    /// Reports whether the upstream changed from down to healthy.
    #[must_use]
    pub fn is_recovery(self) -> bool {
        matches!(self.before, HealthStatus::Down(_)) && self.after == HealthStatus::Healthy
    }
}

/// Effect of a probe of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeEffect {
    /// Change of the health status, if any.
    pub change: Option<HealthChange>,
    /// Start time of the probe, if its result is to be reported to the other VMs.
    pub report_probe_start: Option<Instant>,
}

/// Effect of a report of another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report is outdated, is not trusted, or changes no status.
    Ignored,
    /// This VM will probe the upstream, unless further reports arrive first.
    Probe,
    /// The report was trusted and changed the health status.
    Change(HealthChange),
}

/// Load and health of all upstreams, by id.
#[derive(Debug, Clone, Default)]
pub struct HealthTable {
    upstreams: BTreeMap<u64, UpstreamHealth>,
    /// Lower bound of the time when the next probe is due; none if no probe is scheduled. A probe
    /// that finds no free slot is not included.
    next_probe: Option<Instant>,
    /// Limit on the rate of probes of suspected upstreams.
    budget: ProbeBudget,
    /// Time until which this VM ignores reports of reachable upstreams.
    isolated_until: Instant,
}

impl HealthTable {
    /// Records a request that was forwarded to the upstream.
    pub fn record_request(&mut self, now: Instant, id: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        upstream.load = upstream.load(now) + 1.0;
        upstream.load_at = now;
    }

    /// Records that the upstream has answered a client.
    pub fn record_answer(&mut self, now: Instant, id: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        upstream.answered_at = Some(now);
        upstream.is_contradicted = false;
        upstream.is_outdated = false;
        upstream.status = HealthStatus::Healthy;
        upstream.next_probe_at = None;
    }

    /// Records that a client still waits for an answer to data first sent at `sent_at`, and
    /// schedules a probe. Returns whether the status of the upstream changed to unconfirmed.
    pub fn record_unanswered(&mut self, now: Instant, id: u64, sent_at: Instant) -> bool {
        if self.has_answered_since(id, sent_at) {
            return false;
        }
        let upstream = self.upstreams.entry(id).or_default();
        match upstream.status {
            HealthStatus::Unconfirmed | HealthStatus::Down(_) => return false,
            HealthStatus::Busy(until) if now < until => return false,
            HealthStatus::Healthy | HealthStatus::Busy(_) => {}
        }
        upstream.status = HealthStatus::Unconfirmed;
        upstream.next_probe_at = Some(now);
        self.lower_next_probe(now);
        true
    }

    /// Schedules a probe of a healthy upstream in `backoff_ms`. Callers suspect the upstream
    /// because other VMs found it down, no control VM receives its announcements, or other
    /// upstreams of its failure domain are down.
    pub fn schedule_probe(&mut self, now: Instant, id: u64, backoff_ms: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        if upstream.status == HealthStatus::Healthy {
            let at = *upstream
                .next_probe_at
                .get_or_insert(now.plus_ms(backoff_ms));
            self.lower_next_probe(at);
        }
    }

    /// Reports whether open flows of the upstream are to be reset: it was found down a short time ago,
    /// or it `has_ended`. If it was found down too long ago, schedules a probe in `backoff_ms`, whose
    /// result decides on the flows.
    pub fn rejects_flows(
        &mut self,
        now: Instant,
        id: u64,
        has_ended: bool,
        backoff_ms: u64,
    ) -> bool {
        let upstream = self.upstreams.get_mut(&id);
        let Some(upstream) = upstream.filter(|u| u.is_down()) else {
            return false;
        };
        if has_ended || upstream.is_recently_down(now) {
            return true;
        }
        // After an accepted probe, the second one is scheduled already.
        if !upstream.is_outdated && upstream.first_accepted_at.is_none() {
            upstream.is_outdated = true;
            self.schedule_recheck(now, id, backoff_ms);
        }
        false
    }

    /// Schedules a probe of a down upstream in `backoff_ms`, or keeps an earlier one. Callers have
    /// seen a new announcement of the upstream or a recovery in its failure domain.
    pub fn schedule_recheck(&mut self, now: Instant, id: u64, backoff_ms: u64) {
        let upstream = self.upstreams.get_mut(&id);
        let Some(upstream) = upstream.filter(|u| u.is_down()) else {
            return;
        };
        let wanted = now.plus_ms(backoff_ms);
        let at = upstream.next_probe_at.map_or(wanted, |at| at.min(wanted));
        upstream.next_probe_at = Some(at);
        self.lower_next_probe(at);
    }

    /// Applies the result of a probe of this VM.
    pub fn apply_probe_result(&mut self, now: Instant, result: ProbeResult) -> ProbeEffect {
        let upstream = self.upstreams.entry(result.id).or_default();
        let (started_at, reason) = upstream
            .running_probe
            .take()
            .unwrap_or((now, upstream.probe_reason()));
        // An answer to a client that came after the start of the probe outweighs the probe.
        if upstream.answered_at.is_some_and(|at| at >= started_at) {
            return ProbeEffect {
                change: None,
                report_probe_start: None,
            };
        }
        let change = upstream.apply_result(now, started_at, result);
        upstream.is_own_probe = true;
        let was_contradicted = std::mem::take(&mut upstream.is_contradicted);
        if was_contradicted && result.probed == ProbeOutcome::Silent {
            self.isolated_until = now.plus_ms(ISOLATED_MS);
        }
        let next = upstream.next_probe_at;
        self.lower_next_probe_if_some(next);
        let is_reported =
            reason == ProbeReason::Suspected || result.probed != ProbeOutcome::Accepted;
        ProbeEffect {
            change,
            report_probe_start: is_reported.then_some(started_at),
        }
    }

    /// Applies a probe result that another VM reported.
    ///
    /// A down report from another failure domain only makes this VM schedule a probe, because a cut
    /// between the domains may have dropped or refused the connection. A down report from the own
    /// failure domain does the same; the report of a second VM of the domain is trusted. A report
    /// from the own domain that a down upstream accepts connections is trusted. If this VM found
    /// the upstream silent before such a report and finds it silent again, this VM may be isolated:
    /// for a while it ignores reports of reachable upstreams.
    pub fn apply_report(
        &mut self,
        now: Instant,
        result: ProbeResult,
        reporter: Reporter<'_>,
    ) -> ReportEffect {
        if result.probed == ProbeOutcome::Accepted && now < self.isolated_until {
            return ReportEffect::Ignored;
        }
        let upstream = self.upstreams.entry(result.id).or_default();
        if upstream.is_newer_than(reporter.probe_started_at) {
            return ReportEffect::Ignored;
        }
        let is_trusted = reporter.is_same_domain
            && match result.probed {
                ProbeOutcome::Accepted => match upstream.status {
                    // After a refusal, `apply_result` requires two accepted connections.
                    HealthStatus::Healthy | HealthStatus::Down(_) => true,
                    // An accepted connection doesn't help the client of this VM that waits for an
                    // answer.
                    HealthStatus::Busy(_) | HealthStatus::Unconfirmed => false,
                },
                ProbeOutcome::Refused | ProbeOutcome::Silent => {
                    upstream.is_down_or_reported_by_other(now, reporter.vm)
                }
            };
        if is_trusted {
            let was_silent = upstream.is_own_probe
                && upstream.status == HealthStatus::Down(ProbeOutcome::Silent);
            let change = upstream.apply_result(now, reporter.probe_started_at, result);
            upstream.is_own_probe = false;
            upstream.is_contradicted |= was_silent && result.probed == ProbeOutcome::Accepted;
            let next = upstream.next_probe_at;
            self.lower_next_probe_if_some(next);
            return change.map_or(ReportEffect::Ignored, ReportEffect::Change);
        }
        match (result.probed, upstream.status) {
            (ProbeOutcome::Refused | ProbeOutcome::Silent, HealthStatus::Healthy) => {
                if reporter.is_same_domain {
                    upstream.down_report = Some((Arc::clone(reporter.vm), now));
                }
                self.schedule_probe(now, result.id, result.backoff_ms);
                ReportEffect::Probe
            }
            (ProbeOutcome::Refused | ProbeOutcome::Silent, _) if reporter.is_same_domain => {
                upstream.down_report = Some((Arc::clone(reporter.vm), now));
                ReportEffect::Ignored
            }
            _ => ReportEffect::Ignored,
        }
    }

    /// Returns the earliest time when a probe may be due; none if no probe is scheduled.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    fn lower_next_probe_if_some(&mut self, time: Option<Instant>) {
        if let Some(time) = time {
            self.lower_next_probe(time);
        }
    }

    fn lower_next_probe(&mut self, time: Instant) {
        let before = self.next_probe.unwrap_or(time);
        self.next_probe = Some(before.min(time));
    }

    /// Starts and returns the probes that are due: first those that clients wait for, then as many
    /// others as the budget allows.
    pub fn due_probes(&mut self, now: Instant, directory: &Directory) -> Vec<Probe> {
        let running = self.upstreams.values().filter(|u| u.is_probing(now));
        let free_probes = MAX_RUNNING_PROBES.saturating_sub(running.count());
        let due = self.upstreams.iter().filter(|(_, u)| u.is_due(now));
        let mut due: Vec<(&u64, &UpstreamHealth)> = due.collect();
        // The longest waiting upstreams come first, so that no upstream starves.
        due.sort_by_key(|(_, u)| u.next_probe_at);
        let (urgent, other): (Vec<_>, Vec<_>) = due
            .into_iter()
            .map(|(id, u)| (*id, u.probe_reason()))
            .partition(|(_, reason)| *reason == ProbeReason::ClientWaiting);
        let urgent = urgent.into_iter().take(free_probes);
        let left = free_probes.saturating_sub(urgent.len());
        let allowed = self.budget.acquire(now, other.len().min(left));
        let mut probes = Vec::new();
        let is_spent = allowed < other.len().min(left);
        for (id, reason) in urgent.chain(other.into_iter().take(allowed)) {
            probes.extend(self.start_probe(now, id, reason, directory));
        }
        // An upstream that found no free slot is considered again when a running probe has its
        // result.
        let waiting = self.upstreams.values().filter_map(|u| u.next_probe_at);
        self.next_probe = waiting.filter(|at| *at > now).min();
        if is_spent {
            self.lower_next_probe(now.plus_ms(ProbeBudget::REFILL_MS));
        }
        probes
    }

    fn start_probe(
        &mut self,
        now: Instant,
        id: u64,
        reason: ProbeReason,
        directory: &Directory,
    ) -> Option<Probe> {
        let upstream = self.upstreams.get_mut(&id)?;
        upstream.next_probe_at = None;
        let address = directory.get(id)?.announced.address;
        upstream.running_probe = Some((now, reason));
        Some(Probe {
            id,
            address,
            reason,
        })
    }

    /// Reports whether the upstream has answered any client after `time`.
    #[must_use]
    pub fn has_answered_since(&self, id: u64, time: Instant) -> bool {
        let answered_at = self.upstreams.get(&id).and_then(|u| u.answered_at);
        answered_at.is_some_and(|at| at > time)
    }

    /// Reports whether the upstream has answered a client, or accepted a known probe, after `time`.
    #[must_use]
    pub fn was_reached_since(&self, id: u64, time: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(&id) else {
            return false;
        };
        let is_up = matches!(
            upstream.status,
            HealthStatus::Healthy | HealthStatus::Busy(_)
        );
        let answered = upstream.answered_at.is_some_and(|at| at > time);
        answered || is_up && upstream.status_probe_at.is_some_and(|at| at > time)
    }

    /// Reports whether a client's probe of the upstream is scheduled, or began so short a time ago that
    /// it is worth waiting for.
    #[must_use]
    pub fn awaits_probe(&self, now: Instant, id: u64) -> bool {
        let upstream = self.upstreams.get(&id);
        upstream.is_some_and(|upstream| upstream.awaits_probe(now))
    }

    /// Removes upstreams that are no longer in the directory.
    pub fn retain(&mut self, directory: &Directory) {
        self.upstreams.retain(|id, _| directory.get(*id).is_some());
    }

    /// Clears the health status of an upstream that was restarted.
    pub fn reset(&mut self, id: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.status = HealthStatus::Healthy;
            upstream.next_probe_at = None;
            upstream.status_probe_at = None;
            upstream.down_report = None;
            upstream.is_outdated = false;
        }
    }

    /// Reports whether a client waits for the result of the upstream's next probe.
    #[must_use]
    pub fn has_waiting_client(&self, id: u64) -> bool {
        let upstream = self.upstreams.get(&id);
        upstream.is_some_and(UpstreamHealth::has_waiting_client)
    }

    /// Returns the health status of the upstream.
    #[must_use]
    pub fn status(&self, id: u64) -> HealthStatus {
        self.upstreams
            .get(&id)
            .map(|u| u.status)
            .unwrap_or_default()
    }

    /// Reports whether new flows should go to other upstreams if there are any.
    #[must_use]
    pub fn is_avoided(&self, now: Instant, id: u64) -> bool {
        match self.status(id) {
            HealthStatus::Healthy => false,
            HealthStatus::Busy(until) => now < until,
            HealthStatus::Unconfirmed | HealthStatus::Down(_) => true,
        }
    }

    /// Reports whether the upstream is marked down.
    #[must_use]
    pub fn is_down(&self, id: u64) -> bool {
        matches!(self.status(id), HealthStatus::Down(_))
    }

    /// Returns the number of recently forwarded requests, each weighted by its age.
    #[must_use]
    pub fn load(&self, now: Instant, id: u64) -> f32 {
        self.upstreams.get(&id).map_or(0.0, |u| u.load(now))
    }
}
