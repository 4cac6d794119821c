//! Compares three modes of keeping flows on their upstreams, on one seeded run each: control
//! traffic, relays, broken flows and memory. Also measures the balance of the table and the buckets
//! moved by a change.
//!
//! `cargo bench -p policy --bench flow [-- positive|relay|copy|table|memory]`, where `positive`
//! runs the default mode, [`Mode::Selective`].

#[path = "../tests/flow_support/mod.rs"]
mod flow_support;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant as Clock,
};

use flow_support::{Flow, Net, STEP_MS, Settings, upstream, vm};
use model::name::Name;
use policy::{
    flow::{Flows, Mode, table},
    io::{Action, Context, Counter},
    load::Load,
    time::Instant,
    view::View,
};
use wire::gue::Segment;

/// Number of flows that are open at any time.
const OPEN_FLOWS: usize = 300_000;

/// Number of flows per second that open, and that close.
const OPENED_PER_S: usize = 3_000;

/// Time between two packets of a flow, in milliseconds.
const PACKET_MS: usize = 10_000;

/// Idle time of the service, in milliseconds.
const IDLE_MS: u32 = 40_000;

/// Number of consecutive lost packets after which a flow counts as broken.
const BROKEN_AFTER: u8 = 3;

/// Duration of each phase of the run, in milliseconds.
const PHASE_MS: u64 = 60_000;

/// Name of a phase, and the change with which the phase starts.
type Phase = (&'static str, fn(&mut Net));

const PHASES: [Phase; 7] = [
    ("steady", |_| {}),
    ("admit", |net| net.admit(14)),
    ("drain", |net| net.drain(0)),
    ("domain out", |net| net.domain_out(1)),
    ("domain in", |net| net.domain_in(1)),
    ("vm killed", |net| net.kill(&vm(4))),
    ("vm joins", |net| net.join(4)),
];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| {
        let named = wanted.iter().any(|w| !w.starts_with("--"));
        !named || wanted.iter().any(|w| w == name)
    };
    if is_wanted("table") {
        print_table();
    }
    if is_wanted("memory") {
        print_memory();
    }
    let modes = [
        ("copy", Mode::CopyAll),
        ("relay", Mode::RelayAll),
        ("positive", Mode::Selective),
    ];
    for (name, mode) in modes {
        if is_wanted(name) {
            Run::new(mode).print_report(name);
        }
    }
}

/// A run with its callers.
struct Run {
    net: Net,
    /// Open flows in the order in which they close.
    open: VecDeque<usize>,
    /// Number of consecutive packets without an arrival and last seen number of arrivals, by flow.
    missed: Vec<(u8, u32)>,
    /// Position in `open` of the flow that last sent a packet.
    next_flow_position: usize,
    /// Flows whose consecutive packets were lost.
    broken: BTreeSet<usize>,
}

impl Run {
    fn new(mode: Mode) -> Self {
        let net = Net::new(Settings {
            seed: 7,
            vms: 9,
            domains: 3,
            upstreams: 14,
            idle_ms: IDLE_MS,
            mode,
            measures_bytes: true,
            ..Settings::default()
        });
        let mut run = Self {
            net,
            open: VecDeque::new(),
            missed: Vec::new(),
            next_flow_position: 0,
            broken: BTreeSet::new(),
        };
        run.net.run_ms(5_000);
        run.open_initial_flows();
        run
    }

    /// Opens the initial flows.
    fn open_initial_flows(&mut self) {
        while self.open.len() < OPEN_FLOWS {
            self.open_flows(200);
            self.net.run_ms(STEP_MS);
        }
        self.net.run_ms(1_000);
    }

    fn open_flows(&mut self, count: usize) {
        for _ in 0..count {
            let flow = self.net.flows.len();
            self.net.flows.push(Flow::default());
            self.missed.push((0, 0));
            self.open.push_back(flow);
            self.net.send_to_any_vm(flow, Segment::Open);
        }
    }

    /// Simulates one step of the clock with its packets.
    fn step(&mut self) {
        let step = usize::try_from(STEP_MS).unwrap_or(1);
        let count = OPENED_PER_S * step / 1_000;
        self.open_flows(count);
        for _ in 0..count {
            if let Some(flow) = self.open.pop_front() {
                if !self.net.flows[flow].is_given_up {
                    self.net.send_to_any_vm(flow, Segment::Close);
                }
                self.net.flows[flow].is_closed = true;
            }
        }
        let packets = self.open.len() * step / PACKET_MS;
        for _ in 0..packets {
            self.next_flow_position = (self.next_flow_position + 1) % self.open.len().max(1);
            let flow = self.open[self.next_flow_position];
            self.send_later_packet(flow);
        }
        self.net.run_ms(STEP_MS);
    }

    fn send_later_packet(&mut self, flow: usize) {
        let state = &self.net.flows[flow];
        if state.is_given_up {
            return;
        }
        if state.upstream.is_none() {
            self.net.send_to_any_vm(flow, Segment::Open);
            return;
        }
        let (missed, seen) = &mut self.missed[flow];
        if *missed > 0 && state.later_arrivals > *seen {
            *missed = 0;
        }
        *seen = state.later_arrivals;
        *missed += 1;
        if *missed == BROKEN_AFTER {
            self.broken.insert(flow);
        }
        self.net.send_to_any_vm(flow, Segment::Later);
    }

    fn print_report(mut self, name: &str) {
        println!(
            "\n{name}: 9 VMs, 3 failure domains, 14 upstreams, {OPEN_FLOWS} flows open, \
             {OPENED_PER_S} new flows/s, one packet per flow every {PACKET_MS} ms, \
             idle time {IDLE_MS} ms, seed 7"
        );
        println!(
            "{:<12}{:>16}{:>16}{:>14}{:>12}{:>8}{:>8}{:>12}{:>12}{:>10}",
            "phase",
            "control B/s",
            "worst second",
            "encaps. B/s",
            "relays",
            "broken",
            "split",
            "required",
            "unknown",
            "refused"
        );
        for (phase, change) in PHASES {
            self.run_phase(phase, change);
        }
        let flows = self.net.flows.iter().enumerate();
        self.broken.extend(
            flows
                .filter(|(_, f)| f.reached_other_upstream)
                .map(|(number, _)| number),
        );
        println!("broken flows in total: {}", self.broken.len());
    }

    fn run_phase(&mut self, phase: &str, change: fn(&mut Net)) {
        let split = self.net.split_count();
        let broken = self.broken.len();
        let (packets, relays) = (self.net.packets, self.net.relays);
        let unknown = self.net.count(Counter::PacketUnknownFlow);
        let refused = self.net.count(Counter::PacketRefused);
        self.net.bytes_by_kind.clear();
        let mut worst = 0;
        let first = self.bytes();
        change(&mut self.net);
        let until = self.net.now + PHASE_MS;
        let mut before = self.bytes();
        while self.net.now < until {
            self.step();
            if self.net.now.is_multiple_of(1_000) {
                let after = self.bytes();
                let spent = after.iter().map(|(vm, (control, _))| {
                    control - before.get(vm).map_or(0, |(control, _)| *control)
                });
                worst = worst.max(spent.max().unwrap_or(0));
                before = after;
            }
        }
        let last = self.bytes();
        let seconds = PHASE_MS / 1_000;
        let spent = |pick: fn(&(u64, u64)) -> u64| {
            let spent = last
                .iter()
                .map(|(vm, bytes)| pick(bytes) - first.get(vm).map_or(0, pick));
            spent.max().unwrap_or(0) / seconds
        };
        let required: usize = self
            .net
            .machines
            .values()
            .map(|m| m.flows.required_record_count())
            .sum();
        println!(
            "{:<12}{:>16}{:>16}{:>14}{:>11.1}%{:>8}{:>8}{:>12}{:>12}{:>10}",
            phase,
            spent(|(control, _)| *control),
            worst,
            spent(|(_, encapsulation)| *encapsulation),
            percent(self.net.relays - relays, self.net.packets - packets),
            self.broken.len() - broken,
            self.net.split_count() - split,
            required,
            self.net.count(Counter::PacketUnknownFlow) - unknown,
            self.net.count(Counter::PacketRefused) - refused,
        );
        let vms = to_u64(self.net.machines.len());
        let kinds = self.net.bytes_by_kind.iter();
        let kinds: Vec<String> = kinds
            .map(|(kind, bytes)| format!("{kind} {}", bytes / vms / seconds))
            .collect();
        println!("{:<12}    B/s per VM: {}", "", kinds.join(", "));
    }

    fn bytes(&self) -> BTreeMap<Name, (u64, u64)> {
        let machines = self.net.machines.iter();
        machines
            .map(|(vm, m)| (vm.clone(), (m.control_bytes, m.encapsulation_bytes)))
            .collect()
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    let [part, whole] = [part, whole].map(|n| f64::from(u32::try_from(n).unwrap_or(u32::MAX)));
    100.0 * part / whole.max(1.0)
}

/// Prints the balance of the table and the moved buckets, compared with plain rendezvous hashing.
fn print_table() {
    println!(
        "\ntable: buckets of the largest upstream relative to the mean, bounded and plain; buckets"
    );
    println!("moved when the first upstream leaves, relative to its buckets, bounded and plain");
    println!(
        "{:>10}{:>10}{:>10}{:>10}{:>12}{:>12}{:>12}",
        "upstreams", "buckets", "bounded", "plain", "moved", "plain", "build us"
    );
    for count in [2, 4, 7, 14, 28, 100, 500] {
        let weights: BTreeMap<Name, u32> = (0..count).map(|n| (upstream(n), 2_000)).collect();
        let mut without = weights.clone();
        without.pop_first();
        let start = Clock::now();
        let before = table::Table::new(&weights);
        let build_us = start.elapsed().as_micros();
        let after = table::Table::new(&without);
        let buckets = before.len();
        let plain = |weights: &BTreeMap<Name, u32>| -> Vec<Name> {
            let choice = |bucket| table::unbounded_choice(weights, bucket).cloned();
            (0..buckets).filter_map(choice).collect()
        };
        let (plain_before, plain_after) = (plain(&weights), plain(&without));
        let mut plain_shares: BTreeMap<&Name, u64> = BTreeMap::new();
        for name in &plain_before {
            *plain_shares.entry(name).or_default() += 1;
        }
        let shares = table::buckets_by_upstream(&before);
        let held = shares.iter().find(|(name, _)| *name == upstream(0));
        let held = to_u64(held.map_or(1, |(_, n)| *n));
        let plain_held = plain_shares.get(&upstream(0)).copied().unwrap_or(1);
        let pairs = plain_before.iter().zip(&plain_after);
        let plain_moved = pairs.filter(|(a, b)| a != b).count();
        let mean = percent(to_u64(buckets), to_u64(count));
        println!(
            "{:>10}{:>10}{:>10.3}{:>10.3}{:>12.3}{:>12.3}{:>12}",
            count,
            buckets,
            percent(to_u64(shares.first().map_or(0, |(_, n)| *n)), 1) / mean,
            percent(plain_shares.values().max().copied().unwrap_or(0), 1) / mean,
            percent(to_u64(table::count_moved_buckets(&before, &after)), held) / 100.0,
            percent(to_u64(plain_moved), plain_held) / 100.0,
            build_us,
        );
    }
    print_balance();
}

/// Prints the balance of new flows over upstreams by the table.
fn print_balance() {
    for count in [7, 14] {
        let weights: BTreeMap<Name, u32> = (0..count).map(|n| (upstream(n), 2_000)).collect();
        let table = table::Table::new(&weights);
        let flows = 100_000;
        let mut opened: BTreeMap<&Name, u64> = BTreeMap::new();
        for flow in 0..flows {
            if let Some(name) = table.choice(Net::fingerprint(flow)) {
                *opened.entry(name).or_default() += 1;
            }
        }
        let most = opened.values().max().copied().unwrap_or(0);
        let ratio = percent(most * to_u64(count), to_u64(flows)) / 100.0;
        println!("{flows} new flows over {count} upstreams: largest to mean {ratio:.3}");
    }
}

fn to_u64(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

/// Prints the memory used by a record and the time taken by a packet.
fn print_memory() {
    let mut net = Net::new(Settings {
        vms: 1,
        domains: 1,
        upstreams: 14,
        idle_ms: 3_600_000,
        ..Settings::default()
    });
    net.run_ms(5_000);
    let before = resident_kb();
    let name = vm(0);
    let Some(machine) = net.machines.get(&name) else {
        return;
    };
    let (view, config): (View, _) = (machine.view.as_ref().clone(), machine.config.clone());
    let later: Vec<_> = (0..OPEN_FLOWS)
        .map(|f| net.packet(f, Segment::Later))
        .collect();
    let context = |ms: u64| Context {
        now: Instant::from_ms(ms),
        view: &view,
        config: &config,
        is_config_fresh: true,
    };
    let built = resident_kb();
    let mut out: Vec<Action> = Vec::new();
    let mut load = Load::default();
    let new_flows = |mode: Mode| {
        let mut flows = Flows::with_mode(mode);
        let mut out = Vec::new();
        flows.on_config(context(0), &config, &mut out);
        flows.on_view(context(0), &mut out);
        flows.on_tick(context(0), &mut Load::default(), &mut out);
        flows
    };
    let mut time_packets = |flows: &mut Flows, ms: u64| {
        let start = Clock::now();
        for packet in &later {
            flows.on_packet(context(ms), &mut load, packet.clone(), &mut out);
            out.clear();
        }
        start.elapsed().as_nanos() / u128::from(to_u64(OPEN_FLOWS))
    };
    // The primary of every flow records the flow when its first packet arrives.
    let mut primary = new_flows(Mode::RelayAll);
    let first_ns = time_packets(&mut primary, 1_000);
    let (held, after) = (primary.record_count(), resident_kb());
    let primary_ns = time_packets(&mut primary, 1_010);
    let mut direct = new_flows(Mode::Selective);
    let direct_ns = time_packets(&mut direct, 1_000);
    println!(
        "\nmemory: {held} records, {} B each (resident set {before}, {built}, {after} KB)",
        (after - built) * 1_024 / to_u64(held).max(1)
    );
    println!(
        "time per packet: first at the primary {first_ns} ns, later at the primary {primary_ns} ns,"
    );
    println!(
        "by the table {direct_ns} ns, except {} packets that went through the primary",
        direct.record_count()
    );
}

/// Returns the resident set size of this process, in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
