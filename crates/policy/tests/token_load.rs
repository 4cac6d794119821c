//! Simulation of loads with several placement strategies, without a network, to compare what
//! clients get.
//!
//! Nine entry VMs, each with a share of the clients of its failure domain, stand in front of
//! upstreams with two slots and a queue of eight requests; further requests are shed. Feeds send a
//! request per second over one flow and open another flow after a failure. Bookings open a flow for
//! one request. The table in docs/design/load.md comes from `cargo test -p policy --test token_load
//! -- --nocapture`.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use policy::token::{gateway::Gateway, segment::Kind};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, agreed_state, announcement, at, chosen_upstream, control_vm, data_packet,
    empty_gateway, opening_packet, plan,
};

/// Length of the simulated time after the start, in milliseconds.
const DURATION_MS: u64 = 20_000;

/// Response time up to which an answer counts as in time, in milliseconds.
const IN_TIME_MS: u64 = 120;

/// Time after which a client without an answer leaves, in milliseconds.
const DEADLINE_MS: u64 = 800;

/// Sizes of an answer and of an error, in bytes.
const ANSWER_BYTES: u32 = 780;
const ERROR_BYTES: u32 = 150;

/// Interval between two calls of `Gateway::tick`, in milliseconds.
const TICK_MS: u64 = 500;

const SLOTS_PER_UPSTREAM: usize = 2;
const QUEUE_PER_UPSTREAM: usize = 8;

/// Strategy for the placement of new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// By a hash of the flow.
    Hash,
    /// The upstream with the fewest open flows of this VM.
    LeastFlows,
    /// The one with fewer open flows of this VM out of two random upstreams.
    TwoChoices,
    /// The placement of the gateway under test.
    Gateway,
}

/// Fault of an upstream that affects every other request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The request gets an error at once.
    Error,
    /// The request gets no answer, and the client finishes the flow when it leaves.
    Mute,
    /// The request gets no answer, and the client sends nothing when it leaves.
    Reset,
}

/// Parameters of a load.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Number of upstreams in each failure domain.
    upstreams: [u64; 3],
    /// Number of upstreams in the first domain that become ready halfway through the simulation.
    late: u64,
    /// Factor of the service time of the first upstream.
    slow: u64,
    /// Number of faulty upstreams in the first failure domain.
    failing: u64,
    fault: Fault,
    feeds: u64,
    bookings_per_s: u64,
}

/// Results for clients.
#[derive(Debug, Default, Clone, Copy)]
struct Results {
    sent: u64,
    in_time: u64,
    shed: u64,
    failed: u64,
    /// Number of flows placed in another failure domain than the VM's.
    left_domain: u64,
}

impl Results {
    fn in_time_share(self) -> f64 {
        f64::from(u32::try_from(self.in_time).unwrap())
            / f64::from(u32::try_from(self.sent).unwrap())
    }
}

const VM_COUNT: u64 = 9;

/// Offset between the flow numbers of a feed: above the number of feeds and a multiple of the VMs.
const FLOW_NUMBER_STEP: u64 = 360;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn domain_of(id: u64) -> usize {
    usize::try_from(id / 100 - 1).unwrap()
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: Vec<u64>,
}

/// Kind of the next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ready,
    /// Entry VMs process timeouts.
    Tick,
    Booking,
    /// A feed sends a request.
    Feed(u64),
    /// A request ends at a server.
    RequestEnd(u64),
}

#[derive(Debug, Clone, Copy)]
struct Request {
    flow: u64,
    server: u64,
    started_ms: u64,
    feed: Option<u64>,
    fault: Option<Fault>,
}

struct Simulation {
    load: Load,
    strategy: Strategy,
    random: Pcg64Mcg,
    vms: Vec<Gateway>,
    /// Number of open flows of each VM at each upstream.
    open_flows: Vec<BTreeMap<u64, u64>>,
    servers: BTreeMap<u64, Server>,
    /// Open flow and upstream of each feed.
    feeds: BTreeMap<u64, (u64, u64)>,
    /// Last flow of each feed.
    last_flows: BTreeMap<u64, u64>,
    /// Number of bytes that each client has acknowledged.
    acknowledged: BTreeMap<u64, u32>,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    results: Results,
}

impl Simulation {
    fn new(load: Load, strategy: Strategy, seed: u64) -> Self {
        let mut simulation = Self {
            load,
            strategy,
            random: Pcg64Mcg::seed_from_u64(seed),
            vms: Vec::new(),
            open_flows: vec![BTreeMap::new(); usize::try_from(VM_COUNT).unwrap()],
            servers: BTreeMap::new(),
            feeds: BTreeMap::new(),
            last_flows: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            count: 0,
            results: Results::default(),
        };
        for vm in 0..VM_COUNT {
            let mut gateway = match vm % 3 {
                0 => empty_gateway(),
                other => Gateway::new(policy::token::gateway::Settings {
                    vm: "entry".into(),
                    domain: DOMAINS[usize::try_from(other).unwrap()].parse().unwrap(),
                    seed: vm,
                }),
            };
            gateway.apply_plan(plan(1));
            gateway.update_agreed(agreed_state(1, &[]));
            gateway.add_control_stream(control_vm(1));
            gateway.mark_control_stream_synced(at(0), control_vm(1));
            simulation.vms.push(gateway);
        }
        for (domain, count) in load.upstreams.iter().enumerate() {
            for number in 0..*count {
                simulation.add_upstream(0, (u64::try_from(domain).unwrap() + 1) * 100 + number);
            }
        }
        for feed in 0..load.feeds {
            let at = SETTLED_MS + simulation.random.random_range(0..1_000);
            simulation.schedule(at, Event::Feed(feed));
        }
        simulation.schedule(SETTLED_MS, Event::Booking);
        simulation.schedule(SETTLED_MS + DURATION_MS / 2, Event::Ready);
        simulation.schedule(SETTLED_MS, Event::Tick);
        simulation
    }

    fn add_upstream(&mut self, ms: u64, id: u64) {
        self.servers.insert(id, Server::default());
        for gateway in &mut self.vms {
            let upstream = announcement(id, DOMAINS[domain_of(id)]);
            gateway.announce(at(ms), control_vm(1), upstream, 0);
        }
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((ms, self.count, event)));
    }

    fn run(mut self) -> Results {
        while let Some(Reverse((ms, _, event))) = self.events.pop() {
            if ms > SETTLED_MS + DURATION_MS {
                break;
            }
            match event {
                Event::Ready => {
                    for number in 0..self.load.late {
                        self.add_upstream(ms, 150 + number);
                    }
                }
                Event::Tick => {
                    for gateway in &mut self.vms {
                        gateway.tick(at(ms));
                    }
                    self.schedule(ms + TICK_MS, Event::Tick);
                }
                Event::Booking => {
                    let gap = 1_000 / self.load.bookings_per_s;
                    let next = ms + self.random.random_range(0..=2 * gap);
                    self.schedule(next, Event::Booking);
                    let flow = 10_000 + self.count;
                    let server = self.place_flow(ms, flow);
                    self.send_request(ms, flow, server, None);
                }
                Event::Feed(feed) => {
                    let next = ms + self.random.random_range(700..1_300);
                    self.schedule(next, Event::Feed(feed));
                    let (flow, server) = match self.feeds.get(&feed) {
                        Some(open) => *open,
                        None => self.open_feed_flow(ms, feed),
                    };
                    self.send_request(ms, flow, server, Some(feed));
                }
                Event::RequestEnd(request) => self.end_request(ms, request),
            }
        }
        self.results
    }

    /// Opens another flow of a feed at the same VM.
    fn open_feed_flow(&mut self, ms: u64, feed: u64) -> (u64, u64) {
        let flow = self
            .last_flows
            .get(&feed)
            .map_or(feed, |last| last + FLOW_NUMBER_STEP);
        let server = self.place_flow(ms, flow);
        self.last_flows.insert(feed, flow);
        self.feeds.insert(feed, (flow, server));
        (flow, server)
    }

    fn vm_of(flow: u64) -> usize {
        usize::try_from(flow % VM_COUNT).unwrap()
    }

    fn port(flow: u64) -> u16 {
        u16::try_from(flow % 60_000).unwrap()
    }

    fn place_flow(&mut self, ms: u64, flow: u64) -> u64 {
        let vm = Self::vm_of(flow);
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let flows = |id: &u64| self.open_flows[vm].get(id).copied().unwrap_or_default();
        let any = |random: &mut Pcg64Mcg| ids[random.random_range(0..ids.len())];
        let server = match self.strategy {
            Strategy::Hash => any(&mut self.random),
            Strategy::LeastFlows => *ids.iter().min_by_key(|id| flows(id)).unwrap(),
            Strategy::TwoChoices => {
                let (one, other) = (any(&mut self.random), any(&mut self.random));
                match flows(&one) <= flows(&other) {
                    true => one,
                    false => other,
                }
            }
            Strategy::Gateway => {
                let segment = opening_packet(Self::port(flow), 0);
                chosen_upstream(self.vms[vm].decide(at(ms), &segment)).unwrap()
            }
        };
        *self.open_flows[vm].entry(server).or_default() += 1;
        if domain_of(server) != vm % 3 {
            self.results.left_domain += 1;
        }
        server
    }

    fn send_request(&mut self, ms: u64, flow: u64, server: u64, feed: Option<u64>) {
        self.results.sent += 1;
        self.count += 1;
        let number = u32::try_from(self.count).unwrap();
        let token = u32::try_from(server).unwrap();
        let acknowledged = *self.acknowledged.entry(flow).or_default();
        let segment = data_packet(Self::port(flow), token, number * 100, 50, acknowledged);
        self.vms[Self::vm_of(flow)].decide(at(ms), &segment);
        let fails = server < 100 + self.load.failing && self.random.random_bool(0.5);
        let fault = fails.then_some(self.load.fault);
        let request = Request {
            flow,
            server,
            started_ms: ms,
            feed,
            fault,
        };
        if let Some(fault) = fault {
            let after = match fault {
                Fault::Error => 1,
                Fault::Mute | Fault::Reset => DEADLINE_MS,
            };
            self.requests.insert(self.count, request);
            self.schedule(ms + after, Event::RequestEnd(self.count));
            return;
        }
        let state = self.servers.get_mut(&server).unwrap();
        if state.running < SLOTS_PER_UPSTREAM {
            state.running += 1;
            self.requests.insert(self.count, request);
            self.start_request(ms, self.count, server);
        } else if state.waiting.len() < QUEUE_PER_UPSTREAM {
            state.waiting.push(self.count);
            self.requests.insert(self.count, request);
        } else {
            self.results.shed += 1;
        }
    }

    fn start_request(&mut self, ms: u64, request: u64, server: u64) {
        let work = self.random.random_range(8..40);
        let slow = match server {
            100 => self.load.slow,
            _ => 1,
        };
        self.schedule(ms + work * slow, Event::RequestEnd(request));
    }

    fn end_request(&mut self, ms: u64, number: u64) {
        let request = self.requests.remove(&number).unwrap();
        match request.fault {
            Some(_) => self.results.failed += 1,
            None if ms - request.started_ms <= IN_TIME_MS => self.results.in_time += 1,
            None => {}
        }
        let vm = Self::vm_of(request.flow);
        let token = u32::try_from(request.server).unwrap();
        let sequence = u32::try_from(number).unwrap() * 100 + 50;
        let acknowledged = self.acknowledged.entry(request.flow).or_default();
        *acknowledged += match request.fault {
            None => ANSWER_BYTES,
            Some(Fault::Error) => ERROR_BYTES,
            Some(Fault::Mute | Fault::Reset) => 0,
        };
        let mut segment = data_packet(Self::port(request.flow), token, sequence, 0, *acknowledged);
        let flow_of = |feed| self.feeds.get(&feed).map(|(flow, _)| *flow);
        let ends = match request.feed {
            Some(feed) => request.fault.is_some() && flow_of(feed) == Some(request.flow),
            None => true,
        };
        if ends {
            segment.kind = Kind::Finish;
            *self.open_flows[vm].entry(request.server).or_default() -= 1;
            self.feeds.retain(|_, (flow, _)| *flow != request.flow);
        }
        if request.fault != Some(Fault::Reset) {
            self.vms[vm].decide(at(ms), &segment);
        }
        if request.fault.is_some() {
            return;
        }
        let state = self.servers.get_mut(&request.server).unwrap();
        match state.waiting.is_empty() {
            true => state.running -= 1,
            false => {
                let next = state.waiting.remove(0);
                self.start_request(ms, next, request.server);
            }
        }
    }
}

/// Returns the sum of the results over a few seeds.
fn run_seeds(load: Load, strategy: Strategy) -> Results {
    let mut sum = Results::default();
    for seed in 0..4 {
        let results = Simulation::new(load, strategy, seed).run();
        sum.sent += results.sent;
        sum.in_time += results.in_time;
        sum.shed += results.shed;
        sum.failed += results.failed;
        sum.left_domain += results.left_domain;
    }
    eprintln!(
        "| {} | {strategy:?} | {:.3} | {} | {} | {} |",
        load.name,
        sum.in_time_share(),
        sum.shed,
        sum.failed,
        sum.left_domain
    );
    sum
}

const BASE_LOAD: Load = Load {
    name: "calm",
    upstreams: [5, 5, 4],
    late: 0,
    slow: 1,
    failing: 0,
    fault: Fault::Error,
    feeds: 300,
    bookings_per_s: 100,
};

/// Runs all strategies. Returns the result of the gateway and the best share of the others.
fn compare(load: Load) -> (Results, f64) {
    let others = [Strategy::Hash, Strategy::LeastFlows, Strategy::TwoChoices];
    let best = others.map(|strategy| run_seeds(load, strategy).in_time_share());
    let best = best.into_iter().fold(0.0, f64::max);
    (run_seeds(load, Strategy::Gateway), best)
}

#[test]
fn without_faults_most_flows_stay_in_their_domain_and_no_request_is_shed() {
    let (results, best) = compare(BASE_LOAD);
    assert!(
        results.in_time_share() >= 0.99 && results.in_time_share() >= best - 0.005,
        "{results:?}"
    );
    assert_eq!(results.shed, 0);
    let two = run_seeds(BASE_LOAD, Strategy::TwoChoices);
    assert!(
        results.left_domain * 5 < two.left_domain,
        "{results:?} against {two:?}"
    );
}

#[test]
fn domain_with_too_few_upstreams_sends_flows_to_other_domains() {
    let load = Load {
        name: "one domain short",
        upstreams: [7, 6, 1],
        ..BASE_LOAD
    };
    let (results, best) = compare(load);
    assert!(results.in_time_share() >= 0.9, "{results:?}");
    assert!(
        results.in_time_share() >= best - 0.08,
        "{results:?} against {best}"
    );
}

#[test]
fn newly_ready_upstream_is_not_overloaded() {
    let load = Load {
        name: "two become ready",
        upstreams: [4, 4, 4],
        late: 2,
        ..BASE_LOAD
    };
    let (results, best) = compare(load);
    assert!(
        results.in_time_share() >= best - 0.005,
        "{results:?} against {best}"
    );
}

#[test]
fn slow_upstream_gets_fewer_flows() {
    let load = Load {
        name: "one is four times as slow",
        slow: 4,
        ..BASE_LOAD
    };
    let (results, best) = compare(load);
    assert!(
        results.in_time_share() >= best - 0.005,
        "{results:?} against {best}"
    );
}

/// Runs a load with two faulty upstreams out of fourteen. Returns the result of the gateway and the
/// fewest failures of the other strategies.
fn run_with_faults(name: &'static str, fault: Fault) -> (Results, u64) {
    let load = Load {
        name,
        failing: 2,
        fault,
        ..BASE_LOAD
    };
    let others = [Strategy::Hash, Strategy::LeastFlows, Strategy::TwoChoices];
    let least = others
        .map(|strategy| run_seeds(load, strategy).failed)
        .into_iter()
        .min();
    (run_seeds(load, Strategy::Gateway), least.unwrap())
}

#[test]
fn upstreams_that_answer_with_errors_get_fewer_flows() {
    let (results, least) = run_with_faults("two answer with errors", Fault::Error);
    assert!(results.failed * 3 < least, "{results:?} against {least}");
}

#[test]
fn upstreams_without_answers_get_fewer_flows() {
    let (results, least) = run_with_faults("two don't answer", Fault::Mute);
    assert!(results.failed * 3 < least, "{results:?} against {least}");
}

#[test]
fn upstreams_that_reset_flows_get_fewer_flows() {
    let (results, least) = run_with_faults("two reset flows", Fault::Reset);
    assert!(results.failed * 3 < least, "{results:?} against {least}");
}
