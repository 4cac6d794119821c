//! Plays loads against ways of placing new flows, without a network, and checks what callers get.
//!
//! Several entry VMs, each with a share of the clients of its failure domain, stand before upstreams
//! with two slots and a queue of eight; beyond it requests are shed. Feeds ask once a second over
//! one flow, and open another after a failure; bookings open a flow each. The table of docs/design/load.md comes from
//! `cargo test -p policy --test token_load -- --nocapture`.

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

/// Length of a played day after the start, in milliseconds.
const DAY_MS: u64 = 20_000;

/// Time in which an answer counts as in time, in milliseconds.
const AIM_MS: u64 = 120;

/// Time after which a client without an answer leaves, in milliseconds.
const DEADLINE_MS: u64 = 800;

/// Sizes of an answer and of an error, in bytes.
const ANSWER: u32 = 780;
const ERROR: u32 = 150;

/// Time between two looks of an entry VM at what only time changes, in milliseconds.
const TICK_MS: u64 = 500;

const SLOTS: usize = 2;
const QUEUE: usize = 8;

/// How new flows are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By a hash of the flow.
    Hash,
    /// The upstream with the fewest open flows of this VM.
    LeastFlows,
    /// The less loaded one of two, by this VM's flows.
    TwoChoices,
    /// As the product does.
    Gateway,
}

/// What becomes of every other request at an upstream that fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It is answered with an error at once.
    Error,
    /// It is not answered; the client says when it leaves.
    Mute,
    /// It is not answered, and the client says nothing when it leaves.
    Reset,
}

/// A load.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Upstreams of each failure domain.
    upstreams: [u64; 3],
    /// Upstreams that become ready in the middle of the day, in the first domain.
    late: u64,
    /// Work of the first upstream, against the others.
    slow: u64,
    /// Upstreams of the first failure domain that fail.
    failing: u64,
    fault: Fault,
    feeds: u64,
    bookings_per_s: u64,
}

/// What callers got.
#[derive(Debug, Default, Clone, Copy)]
struct Got {
    asked: u64,
    in_time: u64,
    shed: u64,
    failed: u64,
    /// Flows that left their failure domain.
    left: u64,
}

impl Got {
    fn share(self) -> f64 {
        f64::from(u32::try_from(self.in_time).unwrap())
            / f64::from(u32::try_from(self.asked).unwrap())
    }
}

const VMS: u64 = 9;

/// More than the feeds of any load, and a multiple of the VMs.
const FEEDS: u64 = 360;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn domain_of(id: u64) -> usize {
    usize::try_from(id / 100 - 1).unwrap()
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: Vec<u64>,
}

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ready,
    /// Entry VMs let time pass.
    Tick,
    Booking,
    /// A feed asks.
    Feed(u64),
    /// A request ends at a server.
    Done(u64),
}

#[derive(Debug, Clone, Copy)]
struct Request {
    flow: u64,
    server: u64,
    began: u64,
    feed: Option<u64>,
    fault: Option<Fault>,
}

struct World {
    load: Load,
    way: Way,
    random: Pcg64Mcg,
    vms: Vec<Gateway>,
    /// Open flows of each VM at each upstream.
    own: Vec<BTreeMap<u64, u64>>,
    servers: BTreeMap<u64, Server>,
    /// The flow of each feed that has one, and its upstream.
    feeds: BTreeMap<u64, (u64, u64)>,
    /// The last flow of each feed.
    last: BTreeMap<u64, u64>,
    /// Bytes that each client has acknowledged.
    acknowledged: BTreeMap<u64, u32>,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    got: Got,
}

impl World {
    fn new(load: Load, way: Way, seed: u64) -> Self {
        let mut world = Self {
            load,
            way,
            random: Pcg64Mcg::seed_from_u64(seed),
            vms: Vec::new(),
            own: vec![BTreeMap::new(); usize::try_from(VMS).unwrap()],
            servers: BTreeMap::new(),
            feeds: BTreeMap::new(),
            last: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            count: 0,
            got: Got::default(),
        };
        for vm in 0..VMS {
            let mut gateway = match vm % 3 {
                0 => empty_gateway(),
                other => Gateway::new(policy::token::gateway::Settings {
                    vm: "entry".into(),
                    domain: DOMAINS[usize::try_from(other).unwrap()].parse().unwrap(),
                    seed: vm,
                }),
            };
            gateway.apply_plan(plan(1));
            gateway.agree(agreed_state(1, &[]));
            gateway.add_control_stream(control_vm(1));
            gateway.mark_control_stream_synced(at(0), control_vm(1));
            world.vms.push(gateway);
        }
        for (domain, count) in load.upstreams.iter().enumerate() {
            for number in 0..*count {
                world.add(0, (u64::try_from(domain).unwrap() + 1) * 100 + number);
            }
        }
        for feed in 0..load.feeds {
            let at = SETTLED_MS + world.random.random_range(0..1_000);
            world.push(at, Event::Feed(feed));
        }
        world.push(SETTLED_MS, Event::Booking);
        world.push(SETTLED_MS + DAY_MS / 2, Event::Ready);
        world.push(SETTLED_MS, Event::Tick);
        world
    }

    fn add(&mut self, ms: u64, id: u64) {
        self.servers.insert(id, Server::default());
        for gateway in &mut self.vms {
            let upstream = announcement(id, DOMAINS[domain_of(id)]);
            gateway.announce(at(ms), control_vm(1), upstream, 0);
        }
    }

    fn push(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((ms, self.count, event)));
    }

    fn play(mut self) -> Got {
        while let Some(Reverse((ms, _, event))) = self.events.pop() {
            if ms > SETTLED_MS + DAY_MS {
                break;
            }
            match event {
                Event::Ready => {
                    for number in 0..self.load.late {
                        self.add(ms, 150 + number);
                    }
                }
                Event::Tick => {
                    for gateway in &mut self.vms {
                        gateway.tick(at(ms));
                    }
                    self.push(ms + TICK_MS, Event::Tick);
                }
                Event::Booking => {
                    let gap = 1_000 / self.load.bookings_per_s;
                    let next = ms + self.random.random_range(0..=2 * gap);
                    self.push(next, Event::Booking);
                    let flow = 10_000 + self.count;
                    let server = self.place(ms, flow);
                    self.ask(ms, flow, server, None);
                }
                Event::Feed(feed) => {
                    let next = ms + self.random.random_range(700..1_300);
                    self.push(next, Event::Feed(feed));
                    let (flow, server) = match self.feeds.get(&feed) {
                        Some(open) => *open,
                        None => self.reopen(ms, feed),
                    };
                    self.ask(ms, flow, server, Some(feed));
                }
                Event::Done(request) => self.done(ms, request),
            }
        }
        self.got
    }

    /// Opens another flow of a feed, at the same VM.
    fn reopen(&mut self, ms: u64, feed: u64) -> (u64, u64) {
        let flow = self.last.get(&feed).map_or(feed, |last| last + FEEDS);
        let server = self.place(ms, flow);
        self.last.insert(feed, flow);
        self.feeds.insert(feed, (flow, server));
        (flow, server)
    }

    fn vm_of(flow: u64) -> usize {
        usize::try_from(flow % VMS).unwrap()
    }

    fn port(flow: u64) -> u16 {
        u16::try_from(flow % 60_000).unwrap()
    }

    fn place(&mut self, ms: u64, flow: u64) -> u64 {
        let vm = Self::vm_of(flow);
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let flows = |id: &u64| self.own[vm].get(id).copied().unwrap_or_default();
        let any = |random: &mut Pcg64Mcg| ids[random.random_range(0..ids.len())];
        let server = match self.way {
            Way::Hash => any(&mut self.random),
            Way::LeastFlows => *ids.iter().min_by_key(|id| flows(id)).unwrap(),
            Way::TwoChoices => {
                let (one, other) = (any(&mut self.random), any(&mut self.random));
                match flows(&one) <= flows(&other) {
                    true => one,
                    false => other,
                }
            }
            Way::Gateway => {
                let segment = opening_packet(Self::port(flow), 0);
                chosen_upstream(self.vms[vm].decide(at(ms), &segment)).unwrap()
            }
        };
        *self.own[vm].entry(server).or_default() += 1;
        if domain_of(server) != vm % 3 {
            self.got.left += 1;
        }
        server
    }

    fn ask(&mut self, ms: u64, flow: u64, server: u64, feed: Option<u64>) {
        self.got.asked += 1;
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
            began: ms,
            feed,
            fault,
        };
        if let Some(fault) = fault {
            let after = match fault {
                Fault::Error => 1,
                Fault::Mute | Fault::Reset => DEADLINE_MS,
            };
            self.requests.insert(self.count, request);
            self.push(ms + after, Event::Done(self.count));
            return;
        }
        let state = self.servers.get_mut(&server).unwrap();
        if state.running < SLOTS {
            state.running += 1;
            self.requests.insert(self.count, request);
            self.run(ms, self.count, server);
        } else if state.waiting.len() < QUEUE {
            state.waiting.push(self.count);
            self.requests.insert(self.count, request);
        } else {
            self.got.shed += 1;
        }
    }

    fn run(&mut self, ms: u64, request: u64, server: u64) {
        let work = self.random.random_range(8..40);
        let slow = match server {
            100 => self.load.slow,
            _ => 1,
        };
        self.push(ms + work * slow, Event::Done(request));
    }

    fn done(&mut self, ms: u64, number: u64) {
        let request = self.requests.remove(&number).unwrap();
        match request.fault {
            Some(_) => self.got.failed += 1,
            None if ms - request.began <= AIM_MS => self.got.in_time += 1,
            None => {}
        }
        let vm = Self::vm_of(request.flow);
        let token = u32::try_from(request.server).unwrap();
        let sequence = u32::try_from(number).unwrap() * 100 + 50;
        let acknowledged = self.acknowledged.entry(request.flow).or_default();
        *acknowledged += match request.fault {
            None => ANSWER,
            Some(Fault::Error) => ERROR,
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
            *self.own[vm].entry(request.server).or_default() -= 1;
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
                self.run(ms, next, request.server);
            }
        }
    }
}

/// What callers get over a few seeds.
fn play(load: Load, way: Way) -> Got {
    let mut sum = Got::default();
    for seed in 0..4 {
        let got = World::new(load, way, seed).play();
        sum.asked += got.asked;
        sum.in_time += got.in_time;
        sum.shed += got.shed;
        sum.failed += got.failed;
        sum.left += got.left;
    }
    eprintln!(
        "| {} | {way:?} | {:.3} | {} | {} | {} |",
        load.name,
        sum.share(),
        sum.shed,
        sum.failed,
        sum.left
    );
    sum
}

const CALM: Load = Load {
    name: "calm",
    upstreams: [5, 5, 4],
    late: 0,
    slow: 1,
    failing: 0,
    fault: Fault::Error,
    feeds: 300,
    bookings_per_s: 100,
};

/// Plays all ways; returns what the gateway gives, and the best of the others.
fn compare(load: Load) -> (Got, f64) {
    let others = [Way::Hash, Way::LeastFlows, Way::TwoChoices];
    let best = others.map(|way| play(load, way).share());
    let best = best.into_iter().fold(0.0, f64::max);
    (play(load, Way::Gateway), best)
}

#[test]
fn on_a_calm_day_nearly_all_flows_stay_in_their_domain_and_none_is_shed() {
    let (got, best) = compare(CALM);
    assert!(
        got.share() >= 0.99 && got.share() >= best - 0.005,
        "{got:?}"
    );
    assert_eq!(got.shed, 0);
    let two = play(CALM, Way::TwoChoices);
    assert!(got.left * 5 < two.left, "{got:?} against {two:?}");
}

#[test]
fn a_domain_with_too_few_upstreams_lends_its_flows_to_the_others() {
    let load = Load {
        name: "one domain short",
        upstreams: [7, 6, 1],
        ..CALM
    };
    let (got, best) = compare(load);
    assert!(got.share() >= 0.9, "{got:?}");
    assert!(got.share() >= best - 0.08, "{got:?} against {best}");
}

#[test]
fn an_upstream_that_becomes_ready_is_not_overrun() {
    let load = Load {
        name: "two become ready",
        upstreams: [4, 4, 4],
        late: 2,
        ..CALM
    };
    let (got, best) = compare(load);
    assert!(got.share() >= best - 0.005, "{got:?} against {best}");
}

#[test]
fn an_upstream_that_turned_slow_gets_less() {
    let load = Load {
        name: "one is four times as slow",
        slow: 4,
        ..CALM
    };
    let (got, best) = compare(load);
    assert!(got.share() >= best - 0.005, "{got:?} against {best}");
}

/// Plays two upstreams of fourteen that fail every other request; returns the failures by the
/// gateway and the fewest by the other ways.
fn failures(name: &'static str, fault: Fault) -> (Got, u64) {
    let load = Load {
        name,
        failing: 2,
        fault,
        ..CALM
    };
    let others = [Way::Hash, Way::LeastFlows, Way::TwoChoices];
    let least = others.map(|way| play(load, way).failed).into_iter().min();
    (play(load, Way::Gateway), least.unwrap())
}

#[test]
fn upstreams_that_answer_with_errors_get_fewer_flows() {
    let (got, least) = failures("two answer with errors", Fault::Error);
    assert!(got.failed * 3 < least, "{got:?} against {least}");
}

#[test]
fn upstreams_that_leave_clients_without_an_answer_get_fewer_flows() {
    let (got, least) = failures("two don't answer", Fault::Mute);
    assert!(got.failed * 3 < least, "{got:?} against {least}");
}

#[test]
fn upstreams_that_reset_flows_get_fewer_flows() {
    let (got, least) = failures("two reset flows", Fault::Reset);
    assert!(got.failed * 3 < least, "{got:?} against {least}");
}
