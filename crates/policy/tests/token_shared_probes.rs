//! What clients with idle flows wait for upstreams that have crashed, where entry VMs tell each other
//! what they found down and where they don't.
//!
//! The load: many entry VMs, of which each sees few requests to any one upstream; feeds that are idle
//! for seconds; a few upstreams that vanish without a word.

mod token_support;

use std::collections::BTreeMap;

use model::routing::{Probed, Report};
use policy::token::{decision::Action, gateway::Gateway, sight::Probe};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, announcement, at, chosen_upstream, control_vm, data_packet, gateway_named,
    opening_packet, peer_count,
};

const VMS: usize = 40;
const UPSTREAMS: u64 = 30;

/// Upstreams up to this one crash.
const CRASHED: u64 = 6;

/// Feeds of each entry VM.
const FEEDS: u16 = 20;

/// Time in which each feed asks once, in milliseconds.
const SPAN_MS: u64 = 8_000;

/// Time from the crash until no control VM hears the upstreams any longer, in milliseconds.
const EXPIRY_MS: u64 = 4_600;

/// Times from its first sending at which a client sends a request again, in milliseconds.
const REPEATS_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Time that a probe waits for a connection, and one that it takes.
const PROBE_MS: u64 = 250;
const CONNECT_MS: u64 = 2;

/// Time that a message takes through a control VM, in milliseconds.
const TELL_MS: u64 = 25;

/// Time from which on a wait counts as long, in milliseconds.
const LONG_MS: u64 = 500;

/// Time after the crash in which nobody can know of it, in milliseconds: the first client repeats its
/// request, a probe waits, and others are told.
const UNKNOWN_MS: u64 = 700;

#[derive(Debug, Clone)]
enum Event {
    /// A client sends its request, or sends it again; with when it first did.
    Ask { vm: usize, port: u16, first: u64 },
    /// A client takes an answer up.
    Acknowledge { vm: usize, port: u16 },
    /// A probe has its outcome.
    Probed { vm: usize, id: u64 },
    /// A VM is told what another found.
    ReportEffect { vm: usize, report: Report },
    /// A VM has a probe due.
    Wake { vm: usize },
    /// A VM learns that nobody hears an upstream.
    Silent { vm: usize, id: u64 },
}

/// Events by time, and in the order in which they were planned.
#[derive(Debug, Default)]
struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    planned: u64,
}

impl Queue {
    fn plan(&mut self, ms: u64, event: Event) {
        self.planned += 1;
        self.events.insert((ms, self.planned), event);
    }
}

fn name(vm: usize) -> String {
    format!("entry-{vm}")
}

/// An entry VM that knows the upstreams, and how many VMs there are where they tell each other.
fn start(vm: usize, known: &[(u64, &str)], tells: bool) -> Gateway {
    let mut gateway = gateway_named(&name(vm), known);
    if tells {
        gateway.set_peer_count(control_vm(1), peer_count(40));
    }
    gateway
}

struct World {
    vms: Vec<Gateway>,
    /// Upstream of each feed, by its VM and port.
    feeds: BTreeMap<(usize, u16), u64>,
    queue: Queue,
    tells: bool,
    /// When each client of a crashed upstream asked, and how long it waited until it was told, in
    /// milliseconds.
    waits: Vec<(u64, u64)>,
    /// Requests to upstreams that run, for which clients were told that they don't.
    wrong: u64,
}

impl World {
    fn new(seed: u64, tells: bool) -> Self {
        let known: Vec<(u64, &str)> = (1..=UPSTREAMS).map(|id| (id, "a")).collect();
        let mut world = Self {
            vms: (0..VMS).map(|vm| start(vm, &known, tells)).collect(),
            feeds: BTreeMap::new(),
            queue: Queue::default(),
            tells,
            waits: Vec::new(),
            wrong: 0,
        };
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for vm in 0..VMS {
            for port in 0..FEEDS {
                let opened = world.vms[vm].decide(at(SETTLED_MS), &opening_packet(port, 0));
                let id = chosen_upstream(opened).expect("all upstreams are ready");
                let token = u32::try_from(id).expect("ids are small");
                world.vms[vm].decide(at(SETTLED_MS + 5), &data_packet(port, token, 101, 0, 1));
                world.feeds.insert((vm, port), id);
                let first = SETTLED_MS + 10 + random.random_range(0..SPAN_MS);
                world.queue.plan(first, Event::Ask { vm, port, first });
            }
            for id in 1..=CRASHED {
                let ms = SETTLED_MS + EXPIRY_MS;
                world.queue.plan(ms, Event::Silent { vm, id });
            }
        }
        world
    }

    fn run(mut self) -> Self {
        while let Some(((ms, _), event)) = self.queue.events.pop_first() {
            let vm = match event {
                Event::Ask { vm, .. }
                | Event::Acknowledge { vm, .. }
                | Event::Probed { vm, .. }
                | Event::ReportEffect { vm, .. }
                | Event::Wake { vm }
                | Event::Silent { vm, .. } => vm,
            };
            self.take(ms, event);
            self.probe(ms, vm);
        }
        self
    }

    fn take(&mut self, ms: u64, event: Event) {
        match event {
            Event::Ask { vm, port, first } => self.ask(ms, vm, port, first),
            Event::Acknowledge { vm, port } => {
                let token = self.token(vm, port);
                self.vms[vm].decide(at(ms), &data_packet(port, token, 151, 0, 500));
            }
            Event::Probed { vm, id } => {
                let outcome = match id <= CRASHED {
                    true => Probed::Silent,
                    false => Probed::Accepted,
                };
                self.vms[vm].probed(at(ms), id, outcome);
                let findings = self.vms[vm].take_probe_reports(at(ms + TELL_MS));
                if findings.is_empty() || !self.tells {
                    return;
                }
                let report = Report {
                    vm: name(vm).into(),
                    domain: "a".parse().expect("it is a name"),
                    findings,
                };
                for vm in 0..VMS {
                    let report = report.clone();
                    self.queue
                        .plan(ms + TELL_MS, Event::ReportEffect { vm, report });
                }
            }
            Event::ReportEffect { vm, report } => {
                self.vms[vm].told(at(ms), &report);
            }
            Event::Wake { .. } => {}
            Event::Silent { vm, id } => {
                let start = announcement(id, "a").incarnation;
                self.vms[vm].silent(at(ms), control_vm(1), start);
            }
        }
    }

    fn token(&self, vm: usize, port: u16) -> u32 {
        u32::try_from(self.feeds[&(vm, port)]).expect("ids are small")
    }

    fn ask(&mut self, ms: u64, vm: usize, port: u16, first: u64) {
        let id = self.feeds[&(vm, port)];
        let packet = data_packet(port, self.token(vm, port), 101, 50, 1);
        let is_told = self.vms[vm].decide(at(ms), &packet).action == Action::Reset;
        let waited = ms - first;
        match (id <= CRASHED, is_told) {
            (true, true) => self.waits.push((first, waited)),
            (true, false) => {
                let next = REPEATS_MS.into_iter().find(|at| *at > waited);
                match next {
                    Some(next) => {
                        let event = Event::Ask { vm, port, first };
                        self.queue.plan(first + next, event);
                    }
                    None => self.waits.push((first, u64::MAX)),
                }
            }
            (false, true) => self.wrong += 1,
            (false, false) => self.queue.plan(ms + 30, Event::Acknowledge { vm, port }),
        }
    }

    fn probe(&mut self, ms: u64, vm: usize) {
        for Probe { id, .. } in self.vms[vm].due_probes(at(ms)) {
            let takes = match id <= CRASHED {
                true => PROBE_MS,
                false => CONNECT_MS,
            };
            self.queue.plan(ms + takes, Event::Probed { vm, id });
        }
        if let Some(next) = self.vms[vm].next_probe() {
            let wait_ms = next.ms_since(at(ms)) + 1;
            if ms + wait_ms < SETTLED_MS + SPAN_MS {
                self.queue.plan(ms + wait_ms, Event::Wake { vm });
            }
        }
    }

    /// Clients that waited long though the crash could be known.
    fn long_waits(&self) -> usize {
        let known_at = SETTLED_MS + 10 + UNKNOWN_MS;
        let late = self.waits.iter().filter(|(first, _)| *first >= known_at);
        late.filter(|(_, waited)| *waited >= LONG_MS).count()
    }
}

#[test]
fn clients_of_crashed_upstreams_wait_less_where_entry_vms_tell_each_other() {
    let (mut long_alone, mut long_told) = (0, 0);
    for seed in 0..4 {
        let alone = World::new(seed, false).run();
        let told = World::new(seed, true).run();
        assert_eq!((alone.wrong, told.wrong), (0, 0), "seed {seed}");
        assert_eq!(alone.waits.len(), told.waits.len(), "seed {seed}");
        println!(
            "seed {seed}: {} requests to crashed upstreams; {} and {} waited {LONG_MS} ms or more",
            told.waits.len(),
            alone.long_waits(),
            told.long_waits()
        );
        long_alone += alone.long_waits();
        long_told += told.long_waits();
    }
    assert!(long_told * 2 < long_alone, "{long_told} and {long_alone}");
}
