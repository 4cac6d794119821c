//! Which upstreams answer: what this VM's probes show, and what other VMs tell of theirs.
//!
//! The load that it answers: hundreds of VMs before hundreds of upstreams, a failure domain of which
//! falls silent. Each VM that finds out by itself costs each upstream a connection, so that a loss
//! costs VMs times upstreams. Here a few VMs of each failure domain probe, and the others believe
//! them; one that is told nothing in time probes by itself.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{
    name::Name,
    routing::{Finding, Incarnation, Peers, Probed, Report},
};

use super::{Gateway, HealthChange, HealthStatus, ProbeResult, backoff};
use crate::{
    time::Instant,
    token::{
        flow::Flow,
        segment::{Key, Segment},
        sight::{ReportEffect, Reporter},
    },
};

/// Time in which a failure domain is doubted once, in milliseconds.
const DOMAIN_PROBE_INTERVAL_MS: u64 = 1_000;

/// The oldest finding of another VM that counts, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// What became of the findings of another VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Taken {
    /// Those that changed what is believed of an upstream.
    pub news: usize,
    /// Those that make this VM probe, unless others come first.
    pub probes: usize,
    /// Those that name an upstream, or a start of one, that is unknown here, or are too old.
    pub refused: usize,
}

impl Gateway {
    /// Takes how many entry VMs of this failure domain `source` hears, and whether it is there too.
    pub fn set_peer_count(&mut self, source: SocketAddr, peers: Peers) {
        self.peers.insert(source, peers);
    }

    /// Whether `source` is the control VM that this VM tells what it finds out: one of its own failure
    /// domain where there is one, since most of it goes back there.
    #[must_use]
    pub fn reports_to(&self, source: SocketAddr) -> bool {
        let is_near = |at: &SocketAddr| self.peers.get(at).is_some_and(|p| p.is_near);
        let near = self.directory.synced_control_vms().find(is_near);
        near.or(self.directory.synced_control_vms().next()) == Some(source)
    }

    /// A wait that lets few of this failure domain's VMs act at once, in milliseconds.
    pub(super) fn random_backoff_ms(&mut self) -> u64 {
        let counts = self.peers.values().map(|p| p.count);
        backoff::random_backoff_ms(counts.max().unwrap_or_default(), &mut self.random)
    }

    /// Takes that `source` hears an upstream no longer; see [`Directory::silent`]. One that nobody
    /// hears is probed: clients whose flows have been idle would wait for it in vain. One whose
    /// address another has taken over has ended.
    ///
    /// [`Directory::silent`]: crate::token::directory::Directory::silent
    pub fn silent(&mut self, now: Instant, source: SocketAddr, incarnation: Incarnation) -> bool {
        let id = incarnation.id;
        let is_lost = self.directory.remove_claim(now, source, incarnation);
        if is_lost && self.directory.has_successor(id) {
            let refused = self.probe_result(id, Probed::Refused);
            let effect = self.health.apply_probe_result(now, refused);
            if let Some(change) = effect.change {
                self.apply_health_change(now, id, change);
            }
        } else if is_lost {
            self.schedule_probe(now, id);
        }
        is_lost
    }

    /// Takes that a VM of the build before found an upstream down, for whatever reason.
    pub fn doubted(&mut self, now: Instant, id: u64) {
        if self.directory.get(id).is_some() {
            self.schedule_probe(now, id);
        }
    }

    fn schedule_probe(&mut self, now: Instant, id: u64) {
        let backoff_ms = self.random_backoff_ms();
        self.health.schedule_probe(now, id, backoff_ms);
    }

    /// What a probe showed, as it is judged here.
    fn probe_result(&mut self, id: u64, probed: Probed) -> ProbeResult {
        let upstream = self.directory.get(id);
        let is_announced = upstream.is_some_and(|u| !u.has_ended());
        let is_replaced = probed == Probed::Accepted && self.is_replaced(id, is_announced);
        ProbeResult {
            id,
            probed: match is_replaced {
                true => Probed::Refused,
                false => probed,
            },
            is_announced,
            backoff_ms: self.random_backoff_ms(),
        }
    }

    /// Whether it was another upstream that accepted a connection at the address of upstream `id`.
    ///
    /// Starts alone don't tell, as clocks differ: it must also have left a client without an answer,
    /// or have fallen silent.
    fn is_replaced(&self, id: u64, is_announced: bool) -> bool {
        let is_suspected = matches!(
            self.health.status(id),
            HealthStatus::Unconfirmed | HealthStatus::Down(_)
        );
        (is_suspected || !is_announced) && self.directory.has_successor(id)
    }

    /// Takes the outcome of a probe of this VM. Returns whether it changed what is believed of the
    /// upstream.
    pub fn probed(&mut self, now: Instant, id: u64, probed: Probed) -> bool {
        let outcome = self.probe_result(id, probed);
        let was_unconfirmed = self.health.status(id) == HealthStatus::Unconfirmed;
        let effect = self.health.apply_probe_result(now, outcome);
        let upstream = self.directory.get(id).map(|u| u.announced.incarnation);
        if let (Some(upstream), Some(started_at)) = (upstream, effect.report_probe_start) {
            self.findings.push((upstream, outcome.probed, started_at));
        }
        // One lost packet makes a probe silent, so that this alone says nothing of other upstreams and
        // ends no request.
        let is_conclusive = was_unconfirmed || outcome.probed == Probed::Refused;
        if let Some(change) = effect
            .change
            .filter(|c| is_conclusive || !c.is_down_transition())
        {
            self.apply_health_change(now, id, change);
        }
        effect.change.is_some()
    }

    /// What this VM found out since the last call, for the others.
    pub fn take_probe_reports(&mut self, now: Instant) -> Vec<Finding> {
        let findings = std::mem::take(&mut self.findings);
        let findings = findings
            .into_iter()
            .map(|(upstream, probed, started_at)| Finding {
                upstream,
                probed,
                age_ms: now.ms_since(started_at),
            });
        findings.collect()
    }

    /// Takes what another VM found out; see [`HealthTable::told`].
    ///
    /// [`HealthTable::told`]: crate::token::sight::Sights::told
    pub fn told(&mut self, now: Instant, report: &Report) -> Taken {
        let mut taken = Taken::default();
        if report.vm == self.settings.vm {
            return taken;
        }
        for finding in &report.findings {
            let known = self.directory.get(finding.upstream.id);
            let is_known = known.is_some_and(|u| u.announced.incarnation == finding.upstream);
            if !is_known || finding.age_ms > MAX_REPORT_AGE_MS {
                taken.refused += 1;
                continue;
            }
            match self.apply_finding(now, report, *finding) {
                ReportEffect::Ignored => {}
                ReportEffect::Probe => taken.probes += 1,
                ReportEffect::Change(change) => {
                    taken.news += 1;
                    self.apply_health_change(now, finding.upstream.id, change);
                }
            }
        }
        taken
    }

    fn apply_finding(&mut self, now: Instant, report: &Report, finding: Finding) -> ReportEffect {
        let id = finding.upstream.id;
        let outcome = self.probe_result(id, finding.probed);
        let reporter = Reporter {
            vm: &report.vm,
            is_near: report.domain == self.settings.domain,
            started_at: now.minus_ms(finding.age_ms),
        };
        self.health.apply_report(now, outcome, reporter)
    }

    /// Does what follows from a change of what is believed of upstream `id`. Clients that wait for
    /// one that is down are told. Where it can't be reached, its whole failure domain may be cut off;
    /// where it can be again, the cut may be over.
    fn apply_health_change(&mut self, now: Instant, id: u64, change: HealthChange) {
        if change.is_down_transition() {
            self.waiting.extend(take_stalled_flows(&mut self.flows, id));
        }
        let domain = self.directory.get(id).map(|u| u.announced.domain.clone());
        let Some(domain) = domain else {
            return;
        };
        if change.is_down_transition() && change.after == HealthStatus::Down(Probed::Silent) {
            self.probe_domain(now, &domain, change.started_at);
        }
        if change.is_recovery() {
            self.recheck_domain(now, &domain);
        }
    }

    /// Has all upstreams of a failure domain probed that may take new flows, where none of it was
    /// reached since `since`; not again for a while.
    fn probe_domain(&mut self, now: Instant, domain: &Name, since: Instant) {
        let is_recent = |at: &Instant| now.ms_since(*at) < DOMAIN_PROBE_INTERVAL_MS;
        if self.doubted.get(domain).is_some_and(is_recent) {
            return;
        }
        let upstreams = self.directory.in_domain(domain);
        let eligible = upstreams.filter(|u| u.accepts_flows(now));
        let ids: Vec<u64> = eligible.map(|u| u.announced.incarnation.id).collect();
        let is_reached = |id: &u64| self.health.was_reached_since(*id, since);
        if ids.iter().any(is_reached) {
            return;
        }
        self.doubted.insert(domain.clone(), now);
        for id in ids {
            self.schedule_probe(now, id);
        }
    }

    /// Has all upstreams of a failure domain probed that couldn't be reached.
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

/// Takes the flows whose clients wait for an answer of `upstream`. Returns what they have sent last.
fn take_stalled_flows(flows: &mut BTreeMap<Key, Flow>, upstream: u64) -> Vec<Segment> {
    let is_waiting = |flow: &Flow| flow.upstream == upstream && flow.is_waiting();
    let ended = flows.extract_if(.., |_, flow| is_waiting(flow));
    ended.map(|(key, flow)| flow.last_segment(key)).collect()
}
