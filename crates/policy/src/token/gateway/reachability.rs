//! Reachability of upstreams, from probes of this VM and reports of other VMs.
//!
//! If each of N entry VMs probed each of M upstreams of a silent failure domain, the loss of the
//! domain would cost N * M connections. Instead, a few VMs of each failure domain probe, and the
//! other VMs trust their reports. A VM that receives no report in time sends its own probe.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{
    name::Name,
    routing::{Incarnation, Peers, Phase, ProbeOutcome, ProbeReport, Report},
};

use super::{Gateway, HealthChange, HealthStatus, ProbeResult, backoff};
use crate::{
    time::Instant,
    token::{
        flow::Flow,
        health::{ReportEffect, Reporter},
        segment::{Key, Segment},
    },
};

/// Minimum time between two probes of a whole failure domain, in milliseconds.
const DOMAIN_PROBE_INTERVAL_MS: u64 = 1_000;

/// Maximum age of a probe reported by another VM, in milliseconds. Older results are ignored.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Numbers of probe results in a report, by effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportSummary {
    /// Results that changed the health status of an upstream.
    pub changes: usize,
    /// Results that make this VM schedule a probe.
    pub probes: usize,
    /// Results that are too old, or for an upstream or incarnation unknown to this VM.
    pub refused: usize,
}

impl Gateway {
    /// Stores the number of entry VMs in this failure domain as counted by `source`, and whether
    /// `source` is in this failure domain too.
    pub fn set_peer_count(&mut self, source: SocketAddr, peers: Peers) {
        self.peer_counts.insert(source, peers);
    }

    /// Reports whether this VM sends its probe reports to the control VM `source`. A control VM of
    /// the own failure domain is preferred, because most receivers of the reports are there.
    #[must_use]
    pub fn reports_to(&self, source: SocketAddr) -> bool {
        let is_same_domain =
            |at: &SocketAddr| self.peer_counts.get(at).is_some_and(|p| p.is_same_domain);
        let near = self.directory.synced_control_vms().find(is_same_domain);
        near.or(self.directory.synced_control_vms().next()) == Some(source)
    }

    /// Returns a random wait in milliseconds, so that only a few VMs of this failure domain act at
    /// once.
    pub(super) fn random_backoff_ms(&mut self) -> u64 {
        let counts = self.peer_counts.values().map(|p| p.count);
        backoff::random_backoff_ms(counts.max().unwrap_or_default(), &mut self.random)
    }

    /// Records that `source` no longer receives announcements of an upstream; see
    /// [`Directory::remove_claim`]. Returns whether no control VM receives them any longer.
    ///
    /// If so, the upstream is probed, because clients with idle flows would otherwise wait for an
    /// upstream that may be gone. If another upstream has taken over the address, the upstream has
    /// ended and is marked down at once.
    ///
    /// [`Directory::remove_claim`]: crate::token::directory::Directory::remove_claim
    pub fn remove_claim(
        &mut self,
        now: Instant,
        source: SocketAddr,
        incarnation: Incarnation,
    ) -> bool {
        let id = incarnation.id;
        let is_lost = self.directory.remove_claim(now, source, incarnation);
        if is_lost && self.directory.has_successor(id) {
            let refused = self.probe_result(id, ProbeOutcome::Refused);
            let effect = self.health.apply_probe_result(now, refused);
            if let Some(change) = effect.change {
                self.apply_health_change(now, id, change);
            }
        } else if is_lost {
            self.schedule_probe(now, id);
        }
        is_lost
    }

    /// Handles a notice from a VM of the previous build that an upstream is down, without a reason.
    pub fn suspect_upstream(&mut self, now: Instant, id: u64) {
        if self.directory.get(id).is_some() {
            self.schedule_probe(now, id);
        }
    }

    fn schedule_probe(&mut self, now: Instant, id: u64) {
        let backoff_ms = self.random_backoff_ms();
        self.health.schedule_probe(now, id, backoff_ms);
    }

    /// Completes the outcome of a probe with what this VM knows of the upstream.
    fn probe_result(&mut self, id: u64, probed: ProbeOutcome) -> ProbeResult {
        let upstream = self.directory.get(id);
        let is_announced = upstream.is_some_and(|u| !u.has_ended());
        let is_replaced = probed == ProbeOutcome::Accepted && self.is_replaced(id, is_announced);
        ProbeResult {
            id,
            probed: match is_replaced {
                true => ProbeOutcome::Refused,
                false => probed,
            },
            is_announced,
            has_ended: self.has_ended(id),
            backoff_ms: self.random_backoff_ms(),
        }
    }

    /// Reports whether upstream `id` has stopped, or is no longer announced while a later upstream at
    /// its address is.
    pub(super) fn has_ended(&self, id: u64) -> bool {
        self.directory.get(id).is_none_or(|upstream| {
            upstream.announced.phase == Phase::Gone
                || upstream.has_ended() && self.directory.has_successor(id)
        })
    }

    /// Reports whether another upstream accepted the connection to the address of upstream `id`.
    ///
    /// Clocks of upstreams differ, so a later start time alone is no proof: upstream `id` must also
    /// be unconfirmed, down, or no longer announced.
    fn is_replaced(&self, id: u64, is_announced: bool) -> bool {
        let is_suspected = matches!(
            self.health.status(id),
            HealthStatus::Unconfirmed | HealthStatus::Down(_)
        );
        (is_suspected || !is_announced) && self.directory.has_successor(id)
    }

    /// Applies the outcome of a probe of this VM. Returns whether the health status of the upstream
    /// changed.
    pub fn record_probe(&mut self, now: Instant, id: u64, probed: ProbeOutcome) -> bool {
        let result = self.probe_result(id, probed);
        let has_waiting_client = self.health.has_waiting_client(id);
        let effect = self.health.apply_probe_result(now, result);
        let upstream = self.directory.get(id).map(|u| u.announced.incarnation);
        if let (Some(upstream), Some(started_at)) = (upstream, effect.report_probe_start) {
            self.probe_reports
                .push((upstream, result.probed, started_at));
        }
        // A single lost packet makes a probe silent. Such a result alone must not cause probes of
        // other upstreams or end requests.
        let is_conclusive = has_waiting_client || result.probed == ProbeOutcome::Refused;
        if let Some(change) = effect
            .change
            .filter(|c| is_conclusive || !c.is_down_transition())
        {
            self.apply_health_change(now, id, change);
        }
        effect.change.is_some()
    }

    /// Returns the results of this VM's probes since the last call that are to be reported.
    pub fn take_probe_reports(&mut self, now: Instant) -> Vec<ProbeReport> {
        let findings = std::mem::take(&mut self.probe_reports);
        let findings = findings
            .into_iter()
            .map(|(upstream, probed, started_at)| ProbeReport {
                upstream,
                probed,
                age_ms: now.ms_since(started_at),
            });
        findings.collect()
    }

    /// Applies a report of another VM; see [`HealthTable::apply_report`].
    ///
    /// [`HealthTable::apply_report`]: crate::token::health::HealthTable::apply_report
    pub fn apply_report(&mut self, now: Instant, report: &Report) -> ReportSummary {
        let mut counts = ReportSummary::default();
        if report.vm == self.settings.vm {
            return counts;
        }
        for finding in &report.results {
            let known = self.directory.get(finding.upstream.id);
            let is_known = known.is_some_and(|u| u.announced.incarnation == finding.upstream);
            if !is_known || finding.age_ms > MAX_REPORT_AGE_MS {
                counts.refused += 1;
                continue;
            }
            match self.apply_finding(now, report, *finding) {
                ReportEffect::Ignored => {}
                ReportEffect::Probe => counts.probes += 1,
                ReportEffect::Change(change) => {
                    counts.changes += 1;
                    self.apply_health_change(now, finding.upstream.id, change);
                }
            }
        }
        counts
    }

    fn apply_finding(
        &mut self,
        now: Instant,
        report: &Report,
        finding: ProbeReport,
    ) -> ReportEffect {
        let id = finding.upstream.id;
        let result = self.probe_result(id, finding.probed);
        let reporter = Reporter {
            vm: &report.vm,
            is_same_domain: report.domain == self.settings.domain,
            probe_started_at: now.minus_ms(finding.age_ms),
        };
        self.health.apply_report(now, result, reporter)
    }

    /// Handles a change of the health status of upstream `id`.
    ///
    /// If the upstream went down, its waiting clients are reset; if it went silent, its whole
    /// failure domain may be cut off and is probed. If the upstream recovered, a cut may be over,
    /// and the down upstreams of its domain are probed again.
    fn apply_health_change(&mut self, now: Instant, id: u64, change: HealthChange) {
        if change.is_down_transition() {
            self.pending_resets
                .extend(take_stalled_flows(&mut self.flows, id));
        }
        let domain = self.directory.get(id).map(|u| u.announced.domain.clone());
        let Some(domain) = domain else {
            return;
        };
        if change.is_down_transition() && change.after == HealthStatus::Down(ProbeOutcome::Silent) {
            self.probe_domain(now, &domain, change.probe_started_at);
        }
        if change.is_recovery() {
            self.recheck_domain(now, &domain);
        }
    }

    /// Schedules probes of all upstreams of a failure domain that accept new flows, unless one of
    /// them was reached after `since` or the domain was probed a short time ago.
    fn probe_domain(&mut self, now: Instant, domain: &Name, since: Instant) {
        let is_recent = |at: &Instant| now.ms_since(*at) < DOMAIN_PROBE_INTERVAL_MS;
        if self.domain_probed_at.get(domain).is_some_and(is_recent) {
            return;
        }
        let upstreams = self.directory.in_domain(domain);
        let eligible = upstreams.filter(|u| u.accepts_flows(now));
        let ids: Vec<u64> = eligible.map(|u| u.announced.incarnation.id).collect();
        let is_reached = |id: &u64| self.health.was_reached_since(*id, since);
        if ids.iter().any(is_reached) {
            return;
        }
        self.domain_probed_at.insert(domain.clone(), now);
        for id in ids {
            self.schedule_probe(now, id);
        }
    }

    /// Schedules probes of all down upstreams of a failure domain.
    fn recheck_domain(&mut self, now: Instant, domain: &Name) {
        let upstreams = self.directory.in_domain(domain);
        let ids = upstreams.map(|u| u.announced.incarnation.id);
        let ids: Vec<u64> = ids.filter(|id| self.health.is_down(*id)).collect();
        for id in ids {
            let backoff_ms = self.random_backoff_ms();
            self.health.schedule_recheck(now, id, backoff_ms);
        }
    }
}

/// Removes the flows whose clients wait for an answer of `upstream`. Returns the last packet of
/// each client.
fn take_stalled_flows(flows: &mut BTreeMap<Key, Flow>, upstream: u64) -> Vec<Segment> {
    let is_waiting = |flow: &Flow| flow.upstream == upstream && flow.is_waiting();
    let removed = flows.extract_if(.., |_, flow| is_waiting(flow));
    removed.map(|(key, flow)| flow.last_segment(key)).collect()
}
