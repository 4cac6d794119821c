//! Simulation of network cuts and upstream failures with four strategies of entry VMs to find
//! unreachable upstreams: effect on clients, and number of probes.
//!
//! Entry VMs of four failure domains stand in front of forty upstreams. Feeds (long flows) send a
//! request every few seconds, most of them to upstreams of their own domain. `-- --nocapture`
//! prints the table in docs/design/load.md.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{
    collections::BTreeMap,
    ops::{AddAssign, Range},
};

use model::routing::{Announced, Incarnation, ProbeOutcome, Report};
use policy::token::{
    decision::Action,
    gateway::Gateway,
    health::{Probe, ProbeReason},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, announcement, at, control_vm, data_packet, gateway_in_domain, peer_count, plan,
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Number of entry VMs of each failure domain, and a larger number to measure the growth of costs.
const VMS_PER_DOMAIN: usize = 12;
const MORE_VMS_PER_DOMAIN: usize = 2 * VMS_PER_DOMAIN;

/// Number of upstreams of each failure domain; ids count from 1.
const UPSTREAMS_PER_DOMAIN: u64 = 10;

/// Number of feeds of each entry VM, and number of those that go to upstreams of any failure
/// domain.
const FEEDS_PER_VM: u16 = 16;
const FAR_FEEDS_PER_VM: u16 = 4;

/// Time between two requests of a feed, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 3_000;

/// Period of the fault and end of the simulation, in milliseconds.
const FAULT_MS: Range<u64> = SETTLED_MS + 1_000..SETTLED_MS + 7_000;
const END_MS: u64 = SETTLED_MS + 12_000;

/// Time in milliseconds from the loss of an upstream until control VMs report it as silent, and
/// from its return until they report its announcement.
const SILENT_AFTER_MS: u64 = 4_600;
const ANNOUNCED_AFTER_MS: u64 = 400;

/// Time in milliseconds after which another upstream takes over the address of a crashed one.
const REUSE_MS: u64 = 2_000;

/// Time between two changes of a flapping upstream, in milliseconds.
const FLAP_MS: u64 = 1_500;

/// Times of a client's retransmissions since the first packet of a request, in milliseconds.
const RETRANSMIT_AT_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Duration of a probe without an answer and of an accepted probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;
const CONNECT_MS: u64 = 2;

/// Time of a message between two entry VMs through a control VM, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 25;

/// Time in milliseconds without reports of an upstream after which a control VM passes on a
/// repeated result to other failure domains.
const RELAY_MEMORY_MS: u64 = 10_000;

/// Time in milliseconds in which a control VM without knowledge of failure domains passes on only
/// one report of an upstream.
const PLAIN_RELAY_INTERVAL_MS: u64 = 2_000;

/// Time from which on a wait counts, in milliseconds: the client then sends its request again.
const COUNTED_WAIT_MS: u64 = 200;

/// Time in milliseconds after the loss in which no VM can know of the loss.
const DETECTION_MS: u64 = 700;

/// Strategy of entry VMs to find unreachable upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Each VM probes for itself, without reports.
    Isolated,
    /// Each VM probes the upstreams that other VMs report.
    ProbeOnReport,
    /// Each VM trusts every report.
    TrustReports,
    /// Few VMs probe, and the others trust reports under the conditions of
    /// `HealthTable::apply_report`.
    FewProbe,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Domain d loses power for a while.
    PowerLoss,
    /// Domain d is cut off from the other domains.
    DomainCut,
    /// No packets pass from domain a to domain d.
    OneWay,
    /// Domains a and b can't reach each other.
    BridgeCut,
    /// Domains a and b can't reach each other, because connections between them are refused.
    BridgeRefuses,
    /// One entry VM of domain a can't reach any upstream.
    SingleVm,
    /// Three upstreams of domain a can't be reached by any VM.
    UpstreamsOnly,
    /// Three upstreams of domain a crash, and other upstreams take over their addresses.
    Reuse,
    /// Three upstreams of domain a stop and start repeatedly.
    Flap,
    /// Three upstreams of domain a accept connections but answer no request.
    Lying,
}

const ALL: [Fault; 10] = [
    Fault::PowerLoss,
    Fault::DomainCut,
    Fault::OneWay,
    Fault::BridgeCut,
    Fault::BridgeRefuses,
    Fault::SingleVm,
    Fault::UpstreamsOnly,
    Fault::Reuse,
    Fault::Flap,
    Fault::Lying,
];

/// Ids of the three upstreams of domain a that the last four faults affect.
const AFFECTED: Range<u64> = 1..4;

/// Result of a packet from an entry VM to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Answers,
    /// A connection is accepted, but a request isn't answered.
    Accepts,
    Refused,
    Lost,
}

/// Returns the failure domain of an entry VM; VMs are assigned in turn.
fn domain_of_vm(vm: usize) -> usize {
    vm % DOMAINS.len()
}

fn domain_of(id: u64) -> usize {
    usize::try_from((id - 1) / UPSTREAMS_PER_DOMAIN).unwrap()
}

impl Fault {
    fn path(self, ms: u64, vm: usize, id: u64) -> Path {
        let (from, to) = (domain_of_vm(vm), domain_of(id));
        if !FAULT_MS.contains(&ms) {
            let is_gone = self == Self::Reuse && ms >= FAULT_MS.end && AFFECTED.contains(&id);
            return if is_gone {
                Path::Accepts
            } else {
                Path::Answers
            };
        }
        let lost_if = |is_lost| if is_lost { Path::Lost } else { Path::Answers };
        match self {
            Self::PowerLoss => lost_if(to == 3),
            Self::DomainCut => lost_if((to == 3) != (from == 3)),
            Self::OneWay => lost_if(from == 0 && to == 3),
            Self::BridgeCut => lost_if(from + to == 1),
            Self::BridgeRefuses if from + to == 1 => Path::Refused,
            Self::BridgeRefuses => Path::Answers,
            Self::SingleVm => lost_if(vm == 0),
            Self::UpstreamsOnly => lost_if(AFFECTED.contains(&id)),
            _ if !AFFECTED.contains(&id) => Path::Answers,
            Self::Reuse if ms < FAULT_MS.start + REUSE_MS => Path::Refused,
            Self::Reuse | Self::Lying => Path::Accepts,
            Self::Flap if ((ms - FAULT_MS.start) / FLAP_MS).is_multiple_of(2) => Path::Refused,
            Self::Flap => Path::Answers,
        }
    }

    /// Reports whether control VMs pass on reports of VM `from` to VM `to`.
    fn relays(self, ms: u64, from: usize, to: usize) -> bool {
        let is_apart = (domain_of_vm(from) == 3) != (domain_of_vm(to) == 3);
        !(self == Self::DomainCut && FAULT_MS.contains(&ms) && is_apart)
    }

    /// Reports whether entry VM `vm` runs and has clients.
    fn runs(self, ms: u64, vm: usize) -> bool {
        !(self == Self::PowerLoss && domain_of_vm(vm) == 3 && ms >= FAULT_MS.start)
    }

    /// Returns the upstreams that control VMs report to `vm` as silent during the fault.
    fn silent_upstreams(self, vm: usize) -> Vec<u64> {
        let of_domain = |d: u64| d * UPSTREAMS_PER_DOMAIN + 1..=(d + 1) * UPSTREAMS_PER_DOMAIN;
        match self {
            Self::PowerLoss => of_domain(3).collect(),
            Self::DomainCut if domain_of_vm(vm) != 3 => of_domain(3).collect(),
            Self::DomainCut => (0..3).flat_map(of_domain).collect(),
            Self::UpstreamsOnly | Self::Reuse => AFFECTED.collect(),
            _ => Vec::new(),
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Request { port: u16, first_sent_ms: u64 },
    Acknowledge { port: u16 },
    ProbeDone { due: Probe, probed: ProbeOutcome },
    ReportReceived(Report),
    Suspected(u64),
    Silent(u64),
    Announced(Announced),
    Wake,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tally {
    /// Number of clients that waited although the loss could be known.
    long_waits: u64,
    /// Number of flows that were reset although the upstream would have answered.
    wrong_resets: u64,
    /// Number of connections that upstreams accepted, and number of connection attempts.
    accepted: u64,
    attempts: u64,
    /// Number of probe results that VMs received.
    reported: u64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.long_waits += other.long_waits;
        self.wrong_resets += other.wrong_resets;
        self.accepted += other.accepted;
        self.attempts += other.attempts;
        self.reported += other.reported;
    }
}

struct Simulation {
    strategy: Strategy,
    fault: Fault,
    vms: Vec<Gateway>,
    feeds: BTreeMap<(usize, u16), u64>,
    /// Sequence number and acknowledgement number of each feed's client.
    sent: BTreeMap<(usize, u16), (u32, u32)>,
    /// Time when the client of each feed began to wait for an answer.
    asked: BTreeMap<(usize, u16), u64>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    scheduled: u64,
    /// Next time when each VM is woken for a probe.
    wakes: BTreeMap<usize, u64>,
    /// Last result of each upstream by failure domain of the reporting VM, with the time.
    relayed: BTreeMap<(u64, usize), (ProbeOutcome, u64)>,
    /// Time of the last report of each upstream that was passed on regardless of failure domains.
    plainly_relayed: BTreeMap<u64, u64>,
    tally: Tally,
}

fn vm_name(vm: usize) -> String {
    format!("entry-{vm}")
}

impl Simulation {
    fn new(seed: u64, vms: usize, strategy: Strategy, fault: Fault) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let all = 0..vms * DOMAINS.len();
        let vms = all.map(|vm| new_gateway(seed, vms, strategy, vm));
        let mut simulation = Self {
            strategy,
            fault,
            vms: vms.collect(),
            feeds: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            wakes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            plainly_relayed: BTreeMap::new(),
            tally: Tally::default(),
        };
        for vm in 0..simulation.vms.len() {
            simulation.schedule_feeds(vm, &mut random);
            simulation.schedule_announcements(vm);
        }
        simulation
    }

    fn schedule(&mut self, ms: u64, vm: usize, event: Event) {
        self.scheduled += 1;
        self.events.insert((ms, self.scheduled), (vm, event));
    }

    fn schedule_feeds(&mut self, vm: usize, random: &mut Pcg64Mcg) {
        for port in 0..FEEDS_PER_VM {
            let domain = match port < FEEDS_PER_VM - FAR_FEEDS_PER_VM {
                true => domain_of_vm(vm),
                false => random.random_range(0..DOMAINS.len()),
            };
            let first_id = domain as u64 * UPSTREAMS_PER_DOMAIN + 1;
            let id = random.random_range(first_id..first_id + UPSTREAMS_PER_DOMAIN);
            self.feeds.insert((vm, port), id);
            self.sent.insert((vm, port), (101, 1));
            // Clients have opened their flows before the start.
            let token = u32::try_from(id).unwrap();
            self.vms[vm].decide(at(SETTLED_MS - 10), &data_packet(port, token, 101, 0, 1));
            let first_sent_ms = SETTLED_MS + random.random_range(0..REQUEST_INTERVAL_MS);
            self.schedule(
                first_sent_ms,
                vm,
                Event::Request {
                    port,
                    first_sent_ms,
                },
            );
        }
    }

    fn schedule_announcements(&mut self, vm: usize) {
        for id in self.fault.silent_upstreams(vm) {
            self.schedule(FAULT_MS.start + SILENT_AFTER_MS, vm, Event::Silent(id));
            let returned = Announced {
                sequence: 9,
                ..initial_announcement(id)
            };
            let returned = match self.fault {
                Fault::Reuse => continue,
                Fault::PowerLoss => restarted(id, 9),
                _ => returned,
            };
            self.schedule(
                FAULT_MS.end + ANNOUNCED_AFTER_MS,
                vm,
                Event::Announced(returned),
            );
        }
        for id in AFFECTED {
            match self.fault {
                Fault::Reuse => {
                    let successor = Announced {
                        address: initial_announcement(id).address,
                        ..restarted(id + 500, 9)
                    };
                    let ms = FAULT_MS.start + REUSE_MS + ANNOUNCED_AFTER_MS;
                    self.schedule(ms, vm, Event::Announced(successor));
                }
                Fault::Flap => {
                    for turn in 1..=2 {
                        let ms = FAULT_MS.start + (2 * turn - 1) * FLAP_MS + ANNOUNCED_AFTER_MS;
                        self.schedule(ms, vm, Event::Announced(restarted(id, 9 + turn)));
                    }
                }
                _ => {}
            }
        }
    }

    fn run(mut self) -> Tally {
        while let Some(((ms, _), (vm, event))) = self.events.pop_first() {
            if ms >= END_MS {
                break;
            }
            if self.fault.runs(ms, vm) {
                self.handle(ms, vm, event);
                self.start_probes(ms, vm);
            }
        }
        self.tally
    }

    fn handle(&mut self, ms: u64, vm: usize, event: Event) {
        match event {
            Event::Request {
                port,
                first_sent_ms,
            } => self.send_request(ms, vm, port, first_sent_ms),
            // The flow may have ended since.
            Event::Acknowledge { port } if self.feeds.contains_key(&(vm, port)) => {
                let token = self.token(vm, port);
                let (sent, taken) = self.sent[&(vm, port)];
                self.vms[vm].decide(at(ms), &data_packet(port, token, sent, 0, taken));
            }
            Event::ProbeDone { due, probed } => {
                self.vms[vm].record_probe(at(ms), due.id, probed);
                self.relay_reports(ms, vm, due.reason);
            }
            Event::ReportReceived(report) => {
                self.tally.reported += report.results.len() as u64;
                self.vms[vm].apply_report(at(ms), &report);
            }
            Event::Suspected(id) => {
                self.tally.reported += 1;
                self.vms[vm].suspect_upstream(at(ms), id);
            }
            Event::Silent(id) => {
                let start = self.vms[vm].directory().get(id);
                let start = start.map(|u| u.announced.incarnation).unwrap();
                self.vms[vm].remove_claim(at(ms), control_vm(1), start);
            }
            Event::Announced(announced) => {
                self.vms[vm].announce(at(ms), control_vm(1), announced, 0);
            }
            Event::Acknowledge { .. } | Event::Wake => {}
        }
        let reset_ports: Vec<u16> = self.vms[vm]
            .take_pending_resets()
            .iter()
            .map(|s| s.key.client.port())
            .collect();
        for port in reset_ports {
            self.end_flow(ms, vm, port);
        }
    }

    fn token(&self, vm: usize, port: u16) -> u32 {
        u32::try_from(self.feeds[&(vm, port)]).unwrap()
    }

    fn send_request(&mut self, ms: u64, vm: usize, port: u16, first_sent_ms: u64) {
        let Some(&id) = self.feeds.get(&(vm, port)) else {
            return;
        };
        self.asked.insert((vm, port), first_sent_ms);
        let (sent, taken) = self.sent[&(vm, port)];
        let packet = data_packet(port, self.token(vm, port), sent, 50, taken);
        let decision = self.vms[vm].decide(at(ms), &packet);
        if decision.action == Action::Reset {
            return self.end_flow(ms, vm, port);
        }
        let waited_ms = ms - first_sent_ms;
        if self.fault.path(ms, vm, id) == Path::Answers {
            self.asked.remove(&(vm, port));
            self.sent.insert((vm, port), (sent + 50, taken + 500));
            self.schedule(ms + 30, vm, Event::Acknowledge { port });
            self.record_wait(first_sent_ms, waited_ms);
            let first_sent_ms = first_sent_ms + REQUEST_INTERVAL_MS;
            return self.schedule(
                first_sent_ms,
                vm,
                Event::Request {
                    port,
                    first_sent_ms,
                },
            );
        }
        match RETRANSMIT_AT_MS.into_iter().find(|at| *at > waited_ms) {
            Some(next) => self.schedule(
                first_sent_ms + next,
                vm,
                Event::Request {
                    port,
                    first_sent_ms,
                },
            ),
            None => {
                self.feeds.remove(&(vm, port));
                self.record_wait(first_sent_ms, u64::MAX);
            }
        }
    }

    /// Ends a flow that was reset.
    fn end_flow(&mut self, ms: u64, vm: usize, port: u16) {
        let Some(id) = self.feeds.remove(&(vm, port)) else {
            return;
        };
        // A restarted upstream has lost the flow, so the reset is right in any case.
        let is_alive = !matches!(self.fault, Fault::Flap | Fault::PowerLoss);
        if is_alive && self.fault.path(ms, vm, id) == Path::Answers {
            self.tally.wrong_resets += 1;
        }
        if let Some(first_sent_ms) = self.asked.remove(&(vm, port)) {
            self.record_wait(first_sent_ms, ms - first_sent_ms);
        }
    }

    fn record_wait(&mut self, first_sent_ms: u64, waited_ms: u64) {
        let is_known = (FAULT_MS.start + DETECTION_MS..FAULT_MS.end).contains(&first_sent_ms);
        self.tally.long_waits += u64::from(is_known && waited_ms >= COUNTED_WAIT_MS);
    }

    fn start_probes(&mut self, ms: u64, vm: usize) {
        for due in self.vms[vm].due_probes(at(ms)) {
            let (probed, duration_ms) = match self.fault.path(ms, vm, due.id) {
                Path::Answers | Path::Accepts => (ProbeOutcome::Accepted, CONNECT_MS),
                Path::Refused => (ProbeOutcome::Refused, CONNECT_MS),
                Path::Lost => (ProbeOutcome::Silent, PROBE_TIMEOUT_MS),
            };
            self.tally.attempts += 1;
            self.tally.accepted += u64::from(probed == ProbeOutcome::Accepted);
            self.schedule(ms + duration_ms, vm, Event::ProbeDone { due, probed });
        }
        if let Some(next) = self.vms[vm].next_probe() {
            let wake_ms = ms + next.ms_since(at(ms)) + 1;
            if self.wakes.insert(vm, wake_ms) != Some(wake_ms) {
                self.schedule(wake_ms, vm, Event::Wake);
            }
        }
    }

    /// Reports whether a control VM without knowledge of failure domains passes on a report of
    /// upstream `id`: only a down report, and only once per [`PLAIN_RELAY_INTERVAL_MS`].
    fn is_relayed_plainly(&mut self, ms: u64, id: u64, probed: ProbeOutcome) -> bool {
        let last = self.plainly_relayed.get(&id);
        let is_new_result = probed != ProbeOutcome::Accepted
            && last.is_none_or(|at| ms >= at + PLAIN_RELAY_INTERVAL_MS);
        if is_new_result {
            self.plainly_relayed.insert(id, ms);
        }
        is_new_result
    }

    /// Passes the results of `vm` on to the other VMs, according to the strategy.
    fn relay_reports(&mut self, ms: u64, vm: usize, reason: ProbeReason) {
        let findings = self.vms[vm].take_probe_reports(at(ms));
        for finding in findings {
            let id = finding.upstream.id;
            let from = (id, domain_of_vm(vm));
            let last = self.relayed.insert(from, (finding.probed, ms));
            let is_same = |(p, at)| p == finding.probed && ms < at + RELAY_MEMORY_MS;
            let is_new_result =
                finding.probed != ProbeOutcome::Accepted && !last.is_some_and(is_same);
            let is_relayed_plainly = reason == ProbeReason::ClientWaiting
                && self.is_relayed_plainly(ms, id, finding.probed);
            for other in (0..self.vms.len()).filter(|o| *o != vm) {
                if !self.fault.relays(ms, vm, other) {
                    continue;
                }
                let report = |name: String, domain: usize| Report {
                    vm: name.into(),
                    domain: DOMAINS[domain].parse().unwrap(),
                    results: vec![finding],
                };
                let is_same_domain = domain_of_vm(vm) == domain_of_vm(other);
                match self.strategy {
                    Strategy::ProbeOnReport if is_relayed_plainly => {
                        self.schedule(ms + MESSAGE_DELAY_MS, other, Event::Suspected(id));
                    }
                    Strategy::TrustReports if is_relayed_plainly => {
                        for name in ["one", "two"] {
                            let report = report(name.to_owned(), domain_of_vm(other));
                            self.schedule(
                                ms + MESSAGE_DELAY_MS,
                                other,
                                Event::ReportReceived(report),
                            );
                        }
                    }
                    Strategy::FewProbe if is_new_result || is_same_domain => {
                        let report = report(vm_name(vm), domain_of_vm(vm));
                        self.schedule(ms + MESSAGE_DELAY_MS, other, Event::ReportReceived(report));
                    }
                    _ => {}
                }
            }
        }
    }
}

fn initial_announcement(id: u64) -> Announced {
    announcement(id, DOMAINS[domain_of(id)])
}

/// Returns the announcement of a later start of upstream `id`.
fn restarted(id: u64, start: u64) -> Announced {
    Announced {
        incarnation: Incarnation {
            id,
            started_ms: 1_000 * start,
        },
        ..announcement(id, DOMAINS[domain_of(id.min(UPSTREAMS_PER_DOMAIN * 4))])
    }
}

fn new_gateway(seed: u64, vms: usize, strategy: Strategy, vm: usize) -> Gateway {
    let mut gateway = gateway_in_domain(&vm_name(vm), DOMAINS[domain_of_vm(vm)], seed + vm as u64);
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    for id in 1..=UPSTREAMS_PER_DOMAIN * DOMAINS.len() as u64 {
        gateway.announce(at(0), control_vm(1), initial_announcement(id), 0);
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    if strategy == Strategy::FewProbe {
        gateway.set_peer_count(control_vm(1), peer_count(u32::try_from(vms).unwrap()));
    }
    gateway
}

fn run_seeds(vms: usize, strategy: Strategy, fault: Fault) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..4 {
        tally += Simulation::new(seed, vms, strategy, fault).run();
    }
    tally
}

#[test]
fn few_probes_suffice_without_longer_waits_or_more_wrong_resets() {
    println!("long waits, wrong resets, accepted probes, probe attempts, reported results");
    let (mut probe_on_report, mut few) = (Tally::default(), Tally::default());
    for fault in ALL {
        let strategies = [
            Strategy::Isolated,
            Strategy::ProbeOnReport,
            Strategy::TrustReports,
            Strategy::FewProbe,
        ];
        let tallies = strategies.map(|strategy| run_seeds(VMS_PER_DOMAIN, strategy, fault));
        let cells = tallies.map(|t| {
            let Tally {
                long_waits,
                wrong_resets,
                accepted,
                attempts,
                reported,
            } = t;
            format!("{long_waits}, {wrong_resets}, {accepted}, {attempts}, {reported}")
        });
        println!("| {fault:?} | {} |", cells.join(" | "));
        let [_, probe_on_report_tally, _, few_tally] = tallies;
        assert!(
            few_tally.wrong_resets <= probe_on_report_tally.wrong_resets,
            "{fault:?}: {few_tally:?}"
        );
        probe_on_report += probe_on_report_tally;
        few += few_tally;
    }
    println!("probe on report: {probe_on_report:?}\nfew probe: {few:?}");
    assert!(
        few.long_waits <= probe_on_report.long_waits,
        "few probe: {few:?}, probe on report: {probe_on_report:?}"
    );
    assert!(
        2 * few.attempts <= probe_on_report.attempts,
        "few probe: {few:?}, probe on report: {probe_on_report:?}"
    );
}

#[test]
fn number_of_probes_does_not_grow_with_entry_vms() {
    let attempts = |vms, fault| run_seeds(vms, Strategy::FewProbe, fault).attempts;
    for fault in [Fault::PowerLoss, Fault::DomainCut, Fault::BridgeCut] {
        let (few, more) = (
            attempts(VMS_PER_DOMAIN, fault),
            attempts(MORE_VMS_PER_DOMAIN, fault),
        );
        println!(
            "{fault:?}: {few} probes by {VMS_PER_DOMAIN} VMs per domain, {more} by \
             {MORE_VMS_PER_DOMAIN}"
        );
        assert!(2 * more <= 3 * few, "{fault:?}: {few} and {more} probes");
    }
}
