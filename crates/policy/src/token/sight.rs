//! What an entry VM knows of each upstream: how much it bears, and whether it answers.
//!
//! An upstream answers clients directly, so a VM sees its answers only in what clients acknowledge.
//! One that seems silent is probed before it is given up: a busy upstream accepts a connection,
//! one that has crashed refuses it, and one behind a cut says nothing.
//!
//! What a probe shows is told to the other VMs, so that few have to probe. How far they go by it
//! depends on what it says: see [`HealthTable::apply_report`].

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use model::routing::Probed;

use super::{budget::ProbeBudget, directory::Directory};
use crate::time::Instant;
use upstream::UpstreamHealth;

mod upstream;

/// Probes that are under way at a time.
const MAX_RUNNING_PROBES: usize = 8;

/// Time for which a VM that couldn't reach what another of its failure domain had reached takes no
/// such word, in milliseconds: it is cut off by itself.
const ISOLATED_MS: u64 = 5_000;

/// Whether an upstream answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthStatus {
    /// As far as is known, it does.
    #[default]
    Healthy,
    /// It accepts connections, but left a client without an answer until then.
    Busy(Instant),
    /// A client got no answer, and a probe has yet to tell.
    Unconfirmed,
    /// It doesn't.
    Down(Probed),
}

/// Why an upstream is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// A client of this VM waits for it.
    ClientWaiting,
    /// Other VMs could find out as well.
    Suspected,
}

impl ProbeReason {
    /// The ground in one word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ClientWaiting => "client",
            Self::Suspected => "doubt",
        }
    }
}

/// A probe that is due: a connection without a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The upstream.
    pub id: u64,
    /// Where it accepts connections.
    pub address: SocketAddrV4,
    /// Why it is probed.
    pub reason: ProbeReason,
}

/// What a probe of this VM or of another showed.
#[derive(Debug, Clone, Copy)]
pub struct ProbeResult {
    /// The upstream.
    pub id: u64,
    /// What the probe showed.
    pub probed: Probed,
    /// Whether some control VM hears the upstream.
    pub is_announced: bool,
    /// Time that this VM adds to the wait for the next probe, in milliseconds: another may come
    /// first.
    pub backoff_ms: u64,
}

/// Who tells of a probe, and when it began.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// The VM that probed.
    pub vm: &'a Arc<str>,
    /// Whether it is in this VM's failure domain, so that it reaches what this one reaches.
    pub is_near: bool,
    /// When its probe began.
    pub started_at: Instant,
}

/// What became of a standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthChange {
    /// The standing before.
    pub before: HealthStatus,
    /// The standing now.
    pub after: HealthStatus,
    /// When the probe began that led to it.
    pub started_at: Instant,
}

impl HealthChange {
    /// Whether the upstream was not held to be down before, and is now.
    #[must_use]
    pub fn is_down_transition(self) -> bool {
        !matches!(self.before, HealthStatus::Down(_)) && matches!(self.after, HealthStatus::Down(_))
    }

    /// Whether an upstream that was down can be reached again.
    #[must_use]
    pub fn is_recovery(self) -> bool {
        matches!(self.before, HealthStatus::Down(_)) && self.after == HealthStatus::Healthy
    }
}

/// What came of a probe of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeEffect {
    /// What it changed; none where it changed nothing.
    pub change: Option<HealthChange>,
    /// When the probe began, where the other VMs should know what it showed.
    pub report_probe_start: Option<Instant>,
}

/// What the word of another VM led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing: this VM knows better or as much.
    Ignored,
    /// This VM probes, unless others come first.
    Probe,
    /// It is believed, and that is what it changed.
    Change(HealthChange),
}

/// What this VM knows of all upstreams, by id.
#[derive(Debug, Clone, Default)]
pub struct HealthTable {
    upstreams: BTreeMap<u64, UpstreamHealth>,
    /// No probe is due before this moment, or any before it has been asked for.
    next_probe: Option<Instant>,
    /// Probes on doubts that this VM may still make.
    budget: ProbeBudget,
    /// Until when this VM takes no other's word that an upstream can be reached.
    isolated_until: Instant,
}

impl HealthTable {
    /// Notes a request that was passed on.
    pub fn record_request(&mut self, now: Instant, id: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        upstream.load = upstream.load(now) + 1.0;
        upstream.at = now;
    }

    /// Notes that the upstream has answered a client.
    pub fn record_answer(&mut self, now: Instant, id: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        upstream.answered_at = Some(now);
        upstream.is_contradicted = false;
        upstream.status = HealthStatus::Healthy;
        upstream.next_probe_at = None;
    }

    /// Notes that a client still waits for the upstream's answer to what it sent at `sent_at`.
    /// Returns whether that makes the upstream suspect.
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

    /// Has the upstream probed in `random_backoff_ms` because of what others say or are: other VMs found it
    /// down, no control VM hears it, or others of its failure domain are down.
    pub fn schedule_probe(&mut self, now: Instant, id: u64, wait_ms: u64) {
        let upstream = self.upstreams.entry(id).or_default();
        if upstream.status == HealthStatus::Healthy {
            let at = *upstream.next_probe_at.get_or_insert(now.plus_ms(wait_ms));
            self.lower_next_probe(at);
        }
    }

    /// Has an upstream that is down probed in `random_backoff_ms`: it announces itself again, or others of its
    /// failure domain are back.
    pub fn schedule_recheck(&mut self, now: Instant, id: u64, wait_ms: u64) {
        let upstream = self.upstreams.get_mut(&id);
        let Some(upstream) = upstream.filter(|s| matches!(s.status, HealthStatus::Down(_))) else {
            return;
        };
        let wanted = now.plus_ms(wait_ms);
        let at = upstream.next_probe_at.map_or(wanted, |at| at.min(wanted));
        upstream.next_probe_at = Some(at);
        self.lower_next_probe(at);
    }

    /// Takes the outcome of a probe of this VM.
    pub fn apply_probe_result(&mut self, now: Instant, result: ProbeResult) -> ProbeEffect {
        let upstream = self.upstreams.entry(result.id).or_default();
        let (started_at, reason) = upstream
            .running_probe
            .take()
            .unwrap_or((now, upstream.probe_reason()));
        // An answer to a client counts more than a probe that began before it.
        if upstream.answered_at.is_some_and(|at| at >= started_at) {
            return ProbeEffect {
                change: None,
                report_probe_start: None,
            };
        }
        let change = upstream.apply_result(now, started_at, result);
        upstream.is_own_probe = true;
        let was_contradicted = std::mem::take(&mut upstream.is_contradicted);
        if was_contradicted && result.probed == Probed::Silent {
            self.isolated_until = now.plus_ms(ISOLATED_MS);
        }
        let next = upstream.next_probe_at;
        self.lower_next_probe_if_some(next);
        let is_reported = reason == ProbeReason::Suspected || result.probed != Probed::Accepted;
        ProbeEffect {
            change,
            report_probe_start: is_reported.then_some(started_at),
        }
    }

    /// Takes the outcome of a probe of another VM.
    ///
    /// What a VM of another failure domain finds down makes this one probe, unless another of its own
    /// domain comes first: the other may be behind a cut, which may be silent or refuse. So does what
    /// one VM of its own domain finds down; a second one is believed. One that is down is back where a
    /// VM of this domain says so. Where this VM had found it silent itself, and does so again, it goes
    /// by its own probes for a while: it may be cut off alone.
    pub fn apply_report(
        &mut self,
        now: Instant,
        result: ProbeResult,
        reporter: Reporter<'_>,
    ) -> ReportEffect {
        if result.probed == Probed::Accepted && now < self.isolated_until {
            return ReportEffect::Ignored;
        }
        let upstream = self.upstreams.entry(result.id).or_default();
        if upstream.is_newer_than(reporter.started_at) {
            return ReportEffect::Ignored;
        }
        let is_trusted = reporter.is_near
            && match result.probed {
                Probed::Accepted => match upstream.status {
                    // One that has refused has to accept twice.
                    HealthStatus::Healthy | HealthStatus::Down(_) => true,
                    // A client of this VM waits, whatever the upstream accepts.
                    HealthStatus::Busy(_) | HealthStatus::Unconfirmed => false,
                },
                Probed::Refused | Probed::Silent => {
                    upstream.is_down_or_reported_by_other(now, reporter.vm)
                }
            };
        if is_trusted {
            let was_silent =
                upstream.is_own_probe && upstream.status == HealthStatus::Down(Probed::Silent);
            let change = upstream.apply_result(now, reporter.started_at, result);
            upstream.is_own_probe = false;
            upstream.is_contradicted |= was_silent && result.probed == Probed::Accepted;
            let next = upstream.next_probe_at;
            self.lower_next_probe_if_some(next);
            return change.map_or(ReportEffect::Ignored, ReportEffect::Change);
        }
        match (result.probed, upstream.status) {
            (Probed::Refused | Probed::Silent, HealthStatus::Healthy) => {
                if reporter.is_near {
                    upstream.down_report = Some((Arc::clone(reporter.vm), now));
                }
                self.schedule_probe(now, result.id, result.backoff_ms);
                ReportEffect::Probe
            }
            (Probed::Refused | Probed::Silent, _) if reporter.is_near => {
                upstream.down_report = Some((Arc::clone(reporter.vm), now));
                ReportEffect::Ignored
            }
            _ => ReportEffect::Ignored,
        }
    }

    /// When the next probe may be due; none where none is.
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

    /// Upstreams that are to be probed now: those that clients wait for, then as many others as the
    /// budget allows.
    pub fn due_probes(&mut self, now: Instant, directory: &Directory) -> Vec<Probe> {
        let running = self.upstreams.values().filter(|s| s.is_probing(now));
        let free_probes = MAX_RUNNING_PROBES.saturating_sub(running.count());
        let due = self.upstreams.iter().filter(|(_, s)| s.is_due(now));
        let mut due: Vec<(&u64, &UpstreamHealth)> = due.collect();
        // Those that have waited longest come first, so that none waits for good.
        due.sort_by_key(|(_, s)| s.next_probe_at);
        let (urgent, other): (Vec<_>, Vec<_>) = due
            .into_iter()
            .map(|(id, s)| (*id, s.probe_reason()))
            .partition(|(_, reason)| *reason == ProbeReason::ClientWaiting);
        let urgent = urgent.into_iter().take(free_probes);
        let left = free_probes.saturating_sub(urgent.len());
        let allowed = self.budget.acquire(now, other.len().min(left));
        let mut probes = Vec::new();
        let is_spent = allowed < other.len().min(left);
        for (id, reason) in urgent.chain(other.into_iter().take(allowed)) {
            probes.extend(self.start_probe(now, id, reason, directory));
        }
        // One that finds no room is looked for again when a probe under way has its outcome.
        let waiting = self.upstreams.values().filter_map(|s| s.next_probe_at);
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

    /// Whether the upstream has answered any client after `time`.
    #[must_use]
    pub fn has_answered_since(&self, id: u64, time: Instant) -> bool {
        let answered_at = self.upstreams.get(&id).and_then(|s| s.answered_at);
        answered_at.is_some_and(|at| at > time)
    }

    /// Whether the upstream has answered a client, or a probe that is known of, after `time`.
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

    /// Forgets upstreams that the directory has forgotten.
    pub fn retain(&mut self, directory: &Directory) {
        self.upstreams.retain(|id, _| directory.get(*id).is_some());
    }

    /// Forgets whether the upstream answers: it has started anew.
    pub fn reset(&mut self, id: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.status = HealthStatus::Healthy;
            upstream.next_probe_at = None;
            upstream.status_probe_at = None;
            upstream.down_report = None;
        }
    }

    /// Whether the upstream answers.
    #[must_use]
    pub fn status(&self, id: u64) -> HealthStatus {
        self.upstreams
            .get(&id)
            .map(|s| s.status)
            .unwrap_or_default()
    }

    /// Whether new flows should rather go to another upstream.
    #[must_use]
    pub fn is_avoided(&self, now: Instant, id: u64) -> bool {
        match self.status(id) {
            HealthStatus::Healthy => false,
            HealthStatus::Busy(until) => now < until,
            HealthStatus::Unconfirmed | HealthStatus::Down(_) => true,
        }
    }

    /// Whether the upstream is known not to answer.
    #[must_use]
    pub fn is_down(&self, id: u64) -> bool {
        matches!(self.status(id), HealthStatus::Down(_))
    }

    /// Requests passed on lately, each weighted by its age.
    #[must_use]
    pub fn load(&self, now: Instant, id: u64) -> f32 {
        self.upstreams.get(&id).map_or(0.0, |s| s.load(now))
    }
}
