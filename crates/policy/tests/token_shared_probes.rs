//! Waiting times of clients with idle flows to crashed upstreams, with and without reports between
//! entry VMs.
//!
//! The load is many entry VMs, each with few requests to any one upstream, and feeds (long flows
//! with occasional requests) that are idle for seconds. A few upstreams crash without notice.
//! Without reports, each VM detects a crash only when one of its own clients gets no answer.

mod token_support;

use std::collections::BTreeMap;

use model::routing::{ProbeOutcome, Report};
use policy::token::{decision::Action, gateway::Gateway, health::Probe};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, announcement, at, chosen_upstream, control_vm, data_packet, gateway_named,
    opening_packet, peer_count,
};

const VM_COUNT: usize = 40;
const UPSTREAM_COUNT: u64 = 30;

/// Highest id of a crashed upstream; the crashed ids count from 1.
const LAST_CRASHED_ID: u64 = 6;

/// Number of feeds of each entry VM.
const FEEDS_PER_VM: u16 = 20;

/// Period in which each feed sends one request, in milliseconds.
const REQUEST_PERIOD_MS: u64 = 8_000;

/// Time in milliseconds from the crash until the control VMs report the upstreams as silent.
const EXPIRY_MS: u64 = 4_600;

/// Times of a client's retransmissions since the first packet of a request, in milliseconds.
const RETRANSMIT_AT_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Duration of a probe without an answer and of an accepted probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;
const CONNECT_MS: u64 = 2;

/// Time of a message between two entry VMs through a control VM, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 25;

/// Time from which on a wait counts as long, in milliseconds.
const LONG_WAIT_MS: u64 = 500;

/// Time in milliseconds after the crash in which no VM can know of the crash: the first client
/// repeats its request, a probe times out, and other VMs receive the report.
const DETECTION_MS: u64 = 700;

#[derive(Debug, Clone)]
enum Event {
    /// A client sends a request that it first sent at `first_sent_ms`.
    Request {
        vm: usize,
        port: u16,
        first_sent_ms: u64,
    },
    /// A client acknowledges an answer.
    Acknowledge { vm: usize, port: u16 },
    /// A probe has its result.
    ProbeDone { vm: usize, id: u64 },
    /// A VM receives the report of another VM.
    ReportReceived { vm: usize, report: Report },
    /// A VM has a due probe.
    Wake { vm: usize },
    /// A VM learns that no control VM receives announcements of an upstream.
    Silent { vm: usize, id: u64 },
}

/// Events by time, then in the order in which they were scheduled.
#[derive(Debug, Default)]
struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
}

impl Queue {
    fn schedule(&mut self, ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((ms, self.scheduled), event);
    }
}

fn vm_name(vm: usize) -> String {
    format!("entry-{vm}")
}

/// Returns an entry VM that knows the upstreams and, if the VMs share reports, the number of VMs.
fn new_gateway(vm: usize, known: &[(u64, &str)], shares_reports: bool) -> Gateway {
    let mut gateway = gateway_named(&vm_name(vm), known);
    if shares_reports {
        gateway.set_peer_count(control_vm(1), peer_count(40));
    }
    gateway
}

struct Simulation {
    vms: Vec<Gateway>,
    /// Upstream of each feed, by VM and port.
    feeds: BTreeMap<(usize, u16), u64>,
    queue: Queue,
    shares_reports: bool,
    /// Time of each request to a crashed upstream, and the time until the client was reset, in
    /// milliseconds.
    waits: Vec<(u64, u64)>,
    /// Number of requests to live upstreams that were reset.
    wrong_resets: u64,
}

impl Simulation {
    fn new(seed: u64, shares_reports: bool) -> Self {
        let known: Vec<(u64, &str)> = (1..=UPSTREAM_COUNT).map(|id| (id, "a")).collect();
        let mut simulation = Self {
            vms: (0..VM_COUNT)
                .map(|vm| new_gateway(vm, &known, shares_reports))
                .collect(),
            feeds: BTreeMap::new(),
            queue: Queue::default(),
            shares_reports,
            waits: Vec::new(),
            wrong_resets: 0,
        };
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for vm in 0..VM_COUNT {
            for port in 0..FEEDS_PER_VM {
                let opened = simulation.vms[vm].decide(at(SETTLED_MS), &opening_packet(port, 0));
                let id = chosen_upstream(opened).expect("all upstreams are ready");
                let token = u32::try_from(id).expect("ids are small");
                simulation.vms[vm].decide(at(SETTLED_MS + 5), &data_packet(port, token, 101, 0, 1));
                simulation.feeds.insert((vm, port), id);
                let first_sent_ms = SETTLED_MS + 10 + random.random_range(0..REQUEST_PERIOD_MS);
                simulation.queue.schedule(
                    first_sent_ms,
                    Event::Request {
                        vm,
                        port,
                        first_sent_ms,
                    },
                );
            }
            for id in 1..=LAST_CRASHED_ID {
                let ms = SETTLED_MS + EXPIRY_MS;
                simulation.queue.schedule(ms, Event::Silent { vm, id });
            }
        }
        simulation
    }

    fn run(mut self) -> Self {
        while let Some(((ms, _), event)) = self.queue.events.pop_first() {
            let vm = match event {
                Event::Request { vm, .. }
                | Event::Acknowledge { vm, .. }
                | Event::ProbeDone { vm, .. }
                | Event::ReportReceived { vm, .. }
                | Event::Wake { vm }
                | Event::Silent { vm, .. } => vm,
            };
            self.handle(ms, event);
            self.start_probes(ms, vm);
        }
        self
    }

    fn handle(&mut self, ms: u64, event: Event) {
        match event {
            Event::Request {
                vm,
                port,
                first_sent_ms,
            } => self.send_request(ms, vm, port, first_sent_ms),
            Event::Acknowledge { vm, port } => {
                let token = self.token(vm, port);
                self.vms[vm].decide(at(ms), &data_packet(port, token, 151, 0, 500));
            }
            Event::ProbeDone { vm, id } => {
                let outcome = match id <= LAST_CRASHED_ID {
                    true => ProbeOutcome::Silent,
                    false => ProbeOutcome::Accepted,
                };
                self.vms[vm].record_probe(at(ms), id, outcome);
                let findings = self.vms[vm].take_probe_reports(at(ms + MESSAGE_DELAY_MS));
                if findings.is_empty() || !self.shares_reports {
                    return;
                }
                let report = Report {
                    vm: vm_name(vm).into(),
                    domain: "a".parse().expect("the domain name is valid"),
                    results: findings,
                };
                for vm in 0..VM_COUNT {
                    let report = report.clone();
                    self.queue
                        .schedule(ms + MESSAGE_DELAY_MS, Event::ReportReceived { vm, report });
                }
            }
            Event::ReportReceived { vm, report } => {
                self.vms[vm].apply_report(at(ms), &report);
            }
            Event::Wake { .. } => {}
            Event::Silent { vm, id } => {
                let incarnation = announcement(id, "a").incarnation;
                self.vms[vm].remove_claim(at(ms), control_vm(1), incarnation);
            }
        }
    }

    fn token(&self, vm: usize, port: u16) -> u32 {
        u32::try_from(self.feeds[&(vm, port)]).expect("ids are small")
    }

    fn send_request(&mut self, ms: u64, vm: usize, port: u16, first_sent_ms: u64) {
        let id = self.feeds[&(vm, port)];
        let packet = data_packet(port, self.token(vm, port), 101, 50, 1);
        let is_reset = self.vms[vm].decide(at(ms), &packet).action == Action::Reset;
        let waited = ms - first_sent_ms;
        match (id <= LAST_CRASHED_ID, is_reset) {
            (true, true) => self.waits.push((first_sent_ms, waited)),
            (true, false) => {
                let next = RETRANSMIT_AT_MS.into_iter().find(|at| *at > waited);
                match next {
                    Some(next) => {
                        let event = Event::Request {
                            vm,
                            port,
                            first_sent_ms,
                        };
                        self.queue.schedule(first_sent_ms + next, event);
                    }
                    None => self.waits.push((first_sent_ms, u64::MAX)),
                }
            }
            (false, true) => self.wrong_resets += 1,
            (false, false) => self
                .queue
                .schedule(ms + 30, Event::Acknowledge { vm, port }),
        }
    }

    fn start_probes(&mut self, ms: u64, vm: usize) {
        for Probe { id, .. } in self.vms[vm].due_probes(at(ms)) {
            let duration_ms = match id <= LAST_CRASHED_ID {
                true => PROBE_TIMEOUT_MS,
                false => CONNECT_MS,
            };
            self.queue
                .schedule(ms + duration_ms, Event::ProbeDone { vm, id });
        }
        if let Some(next) = self.vms[vm].next_probe() {
            let wait_ms = next.ms_since(at(ms)) + 1;
            if ms + wait_ms < SETTLED_MS + REQUEST_PERIOD_MS {
                self.queue.schedule(ms + wait_ms, Event::Wake { vm });
            }
        }
    }

    /// Returns the number of long waits of clients that sent their request when the crash could be
    /// known.
    fn long_waits(&self) -> usize {
        let known_at = SETTLED_MS + 10 + DETECTION_MS;
        let known = self
            .waits
            .iter()
            .filter(|(first_sent_ms, _)| *first_sent_ms >= known_at);
        known.filter(|(_, waited)| *waited >= LONG_WAIT_MS).count()
    }
}

#[test]
fn clients_of_crashed_upstreams_wait_less_if_entry_vms_share_reports() {
    let (mut long_isolated, mut long_shared) = (0, 0);
    for seed in 0..4 {
        let isolated = Simulation::new(seed, false).run();
        let shared = Simulation::new(seed, true).run();
        assert_eq!(
            (isolated.wrong_resets, shared.wrong_resets),
            (0, 0),
            "seed {seed}"
        );
        assert_eq!(isolated.waits.len(), shared.waits.len(), "seed {seed}");
        println!(
            "seed {seed}: {} requests to crashed upstreams; {} without and {} with reports waited \
             {LONG_WAIT_MS} ms or more",
            shared.waits.len(),
            isolated.long_waits(),
            shared.long_waits()
        );
        long_isolated += isolated.long_waits();
        long_shared += shared.long_waits();
    }
    assert!(
        long_shared * 2 < long_isolated,
        "{long_shared} long waits with reports, {long_isolated} without"
    );
}
