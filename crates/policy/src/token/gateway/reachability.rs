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

use super::{Change, Gateway, Outcome, Standing, spread};
use crate::{
    time::Instant,
    token::{
        flow::Flow,
        segment::{Key, Segment},
        sight::{Told, Witness},
    },
};

/// Time in which a failure domain is doubted once, in milliseconds.
const DOUBT_DOMAIN_MS: u64 = 1_000;

/// The oldest finding of another VM that counts, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;

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
        let near = self.directory.complete_sources().find(is_near);
        near.or(self.directory.complete_sources().next()) == Some(source)
    }

    /// A wait that lets few of this failure domain's VMs act at once, in milliseconds.
    pub(super) fn wait_ms(&mut self) -> u64 {
        let counts = self.peers.values().map(|p| p.count);
        spread::wait_ms(counts.max().unwrap_or_default(), &mut self.random)
    }

    /// Takes that `source` hears an upstream no longer; see [`Directory::silent`]. One that nobody
    /// hears is probed: clients whose flows have been idle would wait for it in vain. One whose
    /// address another has taken over has ended.
    ///
    /// [`Directory::silent`]: crate::token::directory::Directory::silent
    pub fn silent(&mut self, now: Instant, source: SocketAddr, incarnation: Incarnation) -> bool {
        let id = incarnation.id;
        let is_lost = self.directory.silent(now, source, incarnation);
        if is_lost && self.directory.has_successor(id) {
            let refused = self.outcome(id, Probed::Refused);
            let judged = self.sights.probed(now, refused);
            if let Some(change) = judged.change {
                self.conclude(now, id, change);
            }
        } else if is_lost {
            self.doubt(now, id);
        }
        is_lost
    }

    /// Takes that a VM of the build before found an upstream down, for whatever reason.
    pub fn doubted(&mut self, now: Instant, id: u64) {
        if self.directory.get(id).is_some() {
            self.doubt(now, id);
        }
    }

    fn doubt(&mut self, now: Instant, id: u64) {
        let wait_ms = self.wait_ms();
        self.sights.doubt(now, id, wait_ms);
    }

    /// What a probe showed, as it is judged here.
    fn outcome(&mut self, id: u64, probed: Probed) -> Outcome {
        let upstream = self.directory.get(id);
        let is_heard = upstream.is_some_and(|u| !u.has_ended());
        let is_replaced = probed == Probed::Accepted && self.is_replaced(id, is_heard);
        Outcome {
            id,
            probed: match is_replaced {
                true => Probed::Refused,
                false => probed,
            },
            is_heard,
            wait_ms: self.wait_ms(),
        }
    }

    /// Whether it was another upstream that accepted a connection at the address of upstream `id`.
    ///
    /// Starts alone don't tell, as clocks differ: it must also have left a client without an answer,
    /// or have fallen silent.
    fn is_replaced(&self, id: u64, is_heard: bool) -> bool {
        let is_doubtful = matches!(
            self.sights.standing(id),
            Standing::Suspect | Standing::Down(_)
        );
        (is_doubtful || !is_heard) && self.directory.has_successor(id)
    }

    /// Takes the outcome of a probe of this VM. Returns whether it changed what is believed of the
    /// upstream.
    pub fn probed(&mut self, now: Instant, id: u64, probed: Probed) -> bool {
        let outcome = self.outcome(id, probed);
        let was_suspect = self.sights.standing(id) == Standing::Suspect;
        let judged = self.sights.probed(now, outcome);
        let upstream = self.directory.get(id).map(|u| u.announced.incarnation);
        if let (Some(upstream), Some(began)) = (upstream, judged.tell) {
            self.findings.push((upstream, outcome.probed, began));
        }
        // One lost packet makes a probe silent, so that this alone says nothing of other upstreams and
        // ends no request.
        let is_sure = was_suspect || outcome.probed == Probed::Refused;
        if let Some(change) = judged.change.filter(|c| is_sure || !c.is_fall()) {
            self.conclude(now, id, change);
        }
        judged.change.is_some()
    }

    /// What this VM found out since the last call, for the others.
    pub fn take_probe_reports(&mut self, now: Instant) -> Vec<Finding> {
        let findings = std::mem::take(&mut self.findings);
        let findings = findings
            .into_iter()
            .map(|(upstream, probed, began)| Finding {
                upstream,
                probed,
                age_ms: now.ms_since(began),
            });
        findings.collect()
    }

    /// Takes what another VM found out; see [`Sights::told`].
    ///
    /// [`Sights::told`]: crate::token::sight::Sights::told
    pub fn told(&mut self, now: Instant, report: &Report) -> Taken {
        let mut taken = Taken::default();
        if report.vm == self.settings.vm {
            return taken;
        }
        for finding in &report.findings {
            let known = self.directory.get(finding.upstream.id);
            let is_known = known.is_some_and(|u| u.announced.incarnation == finding.upstream);
            if !is_known || finding.age_ms > MAX_AGE_MS {
                taken.refused += 1;
                continue;
            }
            match self.take_finding(now, report, *finding) {
                Told::Nothing => {}
                Told::Probe => taken.probes += 1,
                Told::Change(change) => {
                    taken.news += 1;
                    self.conclude(now, finding.upstream.id, change);
                }
            }
        }
        taken
    }

    fn take_finding(&mut self, now: Instant, report: &Report, finding: Finding) -> Told {
        let id = finding.upstream.id;
        let outcome = self.outcome(id, finding.probed);
        let witness = Witness {
            vm: &report.vm,
            is_near: report.domain == self.settings.domain,
            began: now.minus_ms(finding.age_ms),
        };
        self.sights.told(now, outcome, witness)
    }

    /// Does what follows from a change of what is believed of upstream `id`. Clients that wait for
    /// one that is down are told. Where it can't be reached, its whole failure domain may be cut off;
    /// where it can be again, the cut may be over.
    fn conclude(&mut self, now: Instant, id: u64, change: Change) {
        if change.is_fall() {
            self.waiting.extend(end_waiting(&mut self.flows, id));
        }
        let domain = self.directory.get(id).map(|u| u.announced.domain.clone());
        let Some(domain) = domain else {
            return;
        };
        if change.is_fall() && change.after == Standing::Down(Probed::Silent) {
            self.doubt_domain(now, &domain, change.began);
        }
        if change.is_return() {
            self.recheck_domain(now, &domain);
        }
    }

    /// Has all upstreams of a failure domain probed that may take new flows, where none of it was
    /// reached since `moment`; not again for a while.
    fn doubt_domain(&mut self, now: Instant, domain: &Name, moment: Instant) {
        let is_recent = |at: &Instant| now.ms_since(*at) < DOUBT_DOMAIN_MS;
        if self.doubted.get(domain).is_some_and(is_recent) {
            return;
        }
        let upstreams = self.directory.in_domain(domain);
        let able = upstreams.filter(|u| u.accepts_flows(now));
        let ids: Vec<u64> = able.map(|u| u.announced.incarnation.id).collect();
        let is_reached = |id: &u64| self.sights.was_reached_since(*id, moment);
        if ids.iter().any(is_reached) {
            return;
        }
        self.doubted.insert(domain.clone(), now);
        for id in ids {
            self.doubt(now, id);
        }
    }

    /// Has all upstreams of a failure domain probed that couldn't be reached.
    fn recheck_domain(&mut self, now: Instant, domain: &Name) {
        let upstreams = self.directory.in_domain(domain);
        let ids = upstreams.map(|u| u.announced.incarnation.id);
        let ids: Vec<u64> = ids.filter(|id| self.sights.is_down(*id)).collect();
        for id in ids {
            let wait_ms = self.wait_ms();
            self.sights.recheck(now, id, wait_ms);
        }
    }
}

/// Takes the flows whose clients wait for an answer of `upstream`. Returns what they have sent last.
fn end_waiting(flows: &mut BTreeMap<Key, Flow>, upstream: u64) -> Vec<Segment> {
    let is_waiting = |flow: &Flow| flow.upstream == upstream && flow.is_waiting();
    let ended = flows.extract_if(.., |_, flow| is_waiting(flow));
    ended.map(|(key, flow)| flow.last_segment(key)).collect()
}
