//! Simulation of a surge beyond the capacity of a service, without a network, to compare what
//! clients get with and without admission.
//!
//! A third of the size of the deployment that admission is made for: 28 entry VMs in front of 40
//! upstreams with two slots and a queue of eight requests. Token checks (priority 1) open a flow
//! for one request of 52 ms, feeds (priority 2) send a request of 40 ms about every two seconds
//! over one flow. For 8 s the load is four times as high as before. A full upstream answers with a
//! refusal after 180 ms; a client tries again on another flow, at most twice. The table in
//! docs/design/admission.md comes from
//! `cargo test -p policy --test token_surge -- --nocapture`.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use model::plan::{Kind as RouteKind, Plan, Route, RouteTerms, Terms};
use policy::token::{
    decision::{Action, Reason},
    gateway::{Gateway, terms::TermsEffect},
    segment::{Key, Kind, Segment},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, agreed_state, announcement, at, control_vm, gateway_in_domain, plan,
};

const VM_COUNT: usize = 28;
const UPSTREAMS: u64 = 40;
const SLOTS: usize = 2;
const QUEUE: usize = 8;

const SURGE_START_MS: u64 = SETTLED_MS + 3_000;
const SURGE_END_MS: u64 = SURGE_START_MS + 8_000;
const END_MS: u64 = SURGE_END_MS + 4_000;

/// Load before and after the surge.
const CALM_FEEDS: u64 = 875;
const CALM_CHECKS_PER_S: u64 = 125;

const ANSWER_BYTES: u32 = 780;
const REFUSAL_BYTES: u32 = 150;
const REFUSAL_MS: u64 = 180;
const MAX_ATTEMPTS: u32 = 3;
const TICK_MS: u64 = 500;

/// Class of a request: its position in the plan, its goal and its mean work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Check,
    Feed,
}

impl Class {
    fn address(self) -> SocketAddrV4 {
        match self {
            Self::Check => "198.18.0.2:443".parse().unwrap(),
            Self::Feed => token_support::ROUTE.parse().unwrap(),
        }
    }

    fn goal_ms(self) -> u64 {
        match self {
            Self::Check => 500,
            Self::Feed => 800,
        }
    }

    fn work_ms(self) -> u64 {
        match self {
            Self::Check => 52,
            Self::Feed => 40,
        }
    }
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    has_terms: bool,
    /// Factor of the calm load in the surge, in tenths.
    surge_tenths: u64,
    /// Number of upstreams that refuse every request from the beginning.
    failing: u64,
    /// Number of upstreams that stop at the beginning of the surge.
    stopped: u64,
    /// Whether each VM has another wall-clock time.
    clocks_differ: bool,
}

const SURGE: Load = Load {
    name: "surge of 4 times",
    has_terms: true,
    surge_tenths: 40,
    failing: 0,
    stopped: 0,
    clocks_differ: false,
};

/// What the callers of one class got in a period.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Results {
    sent: u64,
    in_time: u64,
    /// Attempts refused by an upstream.
    refused: u64,
    /// Attempts refused by an entry VM.
    no_room: u64,
    attempts: u64,
}

impl Results {
    fn in_time_share(self) -> f64 {
        ratio(self.in_time, self.sent)
    }
}

fn ratio(part: u64, all: u64) -> f64 {
    f64::from(u32::try_from(part).unwrap()) / f64::from(u32::try_from(all.max(1)).unwrap())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Surge,
    /// A token check begins.
    Check,
    /// A feed sends its next request.
    Feed(u64),
    /// A request ends at an upstream.
    Done(u64),
    /// A request is refused by an upstream.
    Refused(u64),
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    client: SocketAddrV4,
    vm: usize,
    upstream: u64,
    sent: u32,
    acknowledged: u32,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    class: Class,
    feed: Option<u64>,
    caller: Ipv4Addr,
    began_ms: u64,
    attempts: u32,
    flow: Flow,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: VecDeque<u64>,
}

struct Simulation {
    load: Load,
    random: Pcg64Mcg,
    vms: Vec<Gateway>,
    servers: BTreeMap<u64, Server>,
    feeds: BTreeMap<u64, Option<Flow>>,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    next_client: u32,
    /// Results by class and half second of the beginning of the request.
    results: BTreeMap<(u64, Class), Results>,
    /// Work done in the surge, in milliseconds of a slot.
    busy_ms: u64,
    /// Number of decisions, and a digest of all of them.
    decisions: u64,
    trace: u64,
    /// Mean share of feeds that VMs admitted, at each tick.
    shares: Vec<(u64, f32)>,
}

fn surge_plan() -> (Arc<Plan>, Arc<Terms>) {
    let mut plan = Plan::clone(&plan(1));
    let check = Route {
        name: "check".into(),
        address: Class::Check.address(),
        ..plan.routes[0].clone()
    };
    plan.routes.push(check);
    let terms_of = |class: Class, kind, priority| RouteTerms {
        address: class.address(),
        kind,
        priority,
        goal_ms: Some(class.goal_ms()),
    };
    let terms = Terms {
        version: 1,
        routes: vec![
            terms_of(Class::Feed, RouteKind::Safe, 2),
            terms_of(Class::Check, RouteKind::Unsafe, 1),
        ],
        services: Vec::new(),
    };
    (Arc::new(plan), Arc::new(terms))
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Self {
        let (plan, terms) = surge_plan();
        let vms = (0..VM_COUNT).map(|number| {
            let mut gateway = gateway_in_domain("entry", "a", seed * 1_000 + number as u64);
            gateway.apply_plan(Arc::clone(&plan));
            if load.clocks_differ {
                let offset_ms = 137 * number as u64;
                gateway.admission_mut().set_clock_offset_ms(offset_ms);
            }
            if load.has_terms {
                assert_eq!(
                    gateway.apply_terms(Arc::clone(&terms)),
                    TermsEffect::Applied
                );
            }
            gateway.update_agreed(agreed_state(1, &[]));
            gateway.add_control_stream(control_vm(1));
            for id in 1..=UPSTREAMS {
                gateway.announce(at(0), control_vm(1), announcement(id, "a"), 0);
            }
            gateway.mark_control_stream_synced(at(0), control_vm(1));
            gateway
        });
        let mut simulation = Self {
            load,
            random: Pcg64Mcg::seed_from_u64(seed),
            vms: vms.collect(),
            servers: (1..=UPSTREAMS).map(|id| (id, Server::default())).collect(),
            feeds: BTreeMap::new(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            count: 0,
            next_client: 0,
            results: BTreeMap::new(),
            busy_ms: 0,
            decisions: 0,
            trace: 0,
            shares: Vec::new(),
        };
        simulation.add_feeds(SETTLED_MS, 0..CALM_FEEDS);
        simulation.schedule(SETTLED_MS, Event::Check);
        simulation.schedule(SETTLED_MS, Event::Tick);
        simulation.schedule(SURGE_START_MS, Event::Surge);
        simulation
    }

    fn add_feeds(&mut self, ms: u64, numbers: std::ops::Range<u64>) {
        for feed in numbers {
            self.feeds.insert(feed, None);
            let first = ms + self.random.random_range(0..2_000);
            self.schedule(first, Event::Feed(feed));
        }
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((ms, self.count, event)));
    }

    fn is_surge(ms: u64) -> bool {
        (SURGE_START_MS..SURGE_END_MS).contains(&ms)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((ms, _, event))) = self.events.pop() {
            if ms > END_MS {
                break;
            }
            match event {
                Event::Tick => self.tick(ms),
                Event::Surge => {
                    self.add_feeds(ms, CALM_FEEDS..CALM_FEEDS * self.load.surge_tenths / 10);
                    for id in 1..=self.load.stopped {
                        // Its clients learn at once that their flows have ended.
                        self.servers.remove(&id);
                        self.requests.retain(|_, r| r.flow.upstream != id);
                        for flow in self.feeds.values_mut() {
                            *flow = flow.filter(|f| f.upstream != id);
                        }
                        for vm in &mut self.vms {
                            let mut gone = announcement(id, "a");
                            gone.phase = model::routing::Phase::Gone;
                            gone.sequence = 2;
                            vm.announce(at(ms), control_vm(1), gone, 0);
                        }
                    }
                }
                Event::Check => self.begin_check(ms),
                Event::Feed(feed) => self.begin_feed_request(ms, feed),
                Event::Done(number) if !self.requests.contains_key(&number) => {}
                Event::Refused(number) if !self.requests.contains_key(&number) => {}
                Event::Done(number) => self.finish(ms, number),
                Event::Refused(number) => self.refuse(ms, number),
            }
        }
        self
    }

    fn tick(&mut self, ms: u64) {
        for vm in &mut self.vms {
            vm.tick(at(ms));
        }
        let share_of = |vm: &Gateway| {
            let status = vm.admission().statuses().next();
            status.map_or(1.0, |s| s.classes.last().unwrap().1)
        };
        let sum: f32 = self.vms.iter().map(share_of).sum();
        #[expect(clippy::cast_precision_loss)]
        self.shares.push((ms, sum / VM_COUNT as f32));
        self.schedule(ms + TICK_MS, Event::Tick);
    }

    fn results(&mut self, request: &Request) -> &mut Results {
        let key = (request.began_ms / 500, request.class);
        self.results.entry(key).or_default()
    }

    fn begin_check(&mut self, ms: u64) {
        let tenths = match Self::is_surge(ms) {
            true => self.load.surge_tenths,
            false => 10,
        };
        let gap_us = 10_000_000 / (CALM_CHECKS_PER_S * tenths);
        let wait_us = self.random.random_range(0..=2 * gap_us);
        // Times are whole milliseconds, so the remainder is drawn.
        let extra = u64::from(self.random.random_range(0..1_000) < wait_us % 1_000);
        self.schedule(ms + wait_us / 1_000 + extra, Event::Check);
        let caller = Ipv4Addr::from(0x6450_0000 + self.random.random_range(0..6_000));
        self.begin(ms, Class::Check, None, caller);
    }

    fn begin_feed_request(&mut self, ms: u64, feed: u64) {
        if feed >= CALM_FEEDS && ms >= SURGE_END_MS {
            if let Some(flow) = self.feeds.remove(&feed).flatten() {
                self.send(ms, Class::Feed, &flow, Kind::Finish, 0);
            }
            return;
        }
        let next = ms + self.random.random_range(1_600..2_400);
        self.schedule(next, Event::Feed(feed));
        let number = u32::try_from(feed).unwrap();
        self.begin(
            ms,
            Class::Feed,
            Some(feed),
            Ipv4Addr::from(0x6440_0000 + number),
        );
    }

    fn begin(&mut self, ms: u64, class: Class, feed: Option<u64>, caller: Ipv4Addr) {
        let flow = Flow {
            client: SocketAddrV4::new(caller, 0),
            vm: 0,
            upstream: 0,
            sent: 100,
            acknowledged: 0,
        };
        let mut request = Request {
            class,
            feed,
            caller,
            began_ms: ms,
            attempts: 0,
            flow,
        };
        self.results(&request).sent += 1;
        // Feeds open another flow after a minute.
        let keeps = self.random.random_bool(29.0 / 30.0);
        match feed.and_then(|f| self.feeds.get(&f).copied().flatten()) {
            Some(flow) if keeps => {
                request.flow = flow;
                request.attempts = 1;
                self.send_request(ms, request);
            }
            open => {
                if let Some(flow) = open {
                    self.send(ms, class, &flow, Kind::Finish, 0);
                }
                self.open_flow(ms, request);
            }
        }
    }

    /// Tries to open a flow for a request, up to its last attempt.
    fn open_flow(&mut self, ms: u64, mut request: Request) {
        while request.attempts < MAX_ATTEMPTS {
            request.attempts += 1;
            self.results(&request).attempts += 1;
            self.next_client += 1;
            let port = u16::try_from(self.next_client % 60_000).unwrap();
            request.flow = Flow {
                client: SocketAddrV4::new(request.caller, port),
                vm: self.random.random_range(0..VM_COUNT),
                upstream: 0,
                sent: 100,
                acknowledged: 0,
            };
            let decision = self.send(ms, request.class, &request.flow, Kind::Open { copy: 0 }, 0);
            match decision {
                (Action::Forward { id, .. }, _) => {
                    request.flow.upstream = id;
                    if let Some(feed) = request.feed {
                        self.feeds.insert(feed, Some(request.flow));
                    }
                    return self.send_request(ms, request);
                }
                (Action::Reset, Reason::NoRoom) => self.results(&request).no_room += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    fn send(
        &mut self,
        ms: u64,
        class: Class,
        flow: &Flow,
        kind: Kind,
        length: u16,
    ) -> (Action, Reason) {
        let segment = Segment {
            key: Key {
                client: flow.client,
                service: class.address(),
            },
            kind,
            token: u32::try_from(flow.upstream).unwrap(),
            sequence: flow.sent,
            acknowledged: flow.acknowledged,
            length,
        };
        let decision = self.vms[flow.vm].decide(at(ms), &segment);
        self.decisions += 1;
        let forwarded_to = token_support::chosen_upstream(decision).unwrap_or_default();
        let digest = forwarded_to * 64 + decision.reason as u64;
        self.trace = self.trace.rotate_left(5).wrapping_mul(0x9E37_79B9) ^ digest;
        (decision.action, decision.reason)
    }

    fn send_request(&mut self, ms: u64, mut request: Request) {
        self.send(ms, request.class, &request.flow, Kind::Data, 50);
        request.flow.sent += 50;
        self.count += 1;
        let number = self.count;
        self.requests.insert(number, request);
        let id = request.flow.upstream;
        let server = self.servers.get_mut(&id).unwrap();
        let is_failing = id > UPSTREAMS - self.load.failing;
        if is_failing {
            self.schedule(ms + 2, Event::Refused(number));
        } else if server.running < SLOTS {
            server.running += 1;
            self.start(ms, number);
        } else if server.waiting.len() < QUEUE {
            server.waiting.push_back(number);
        } else {
            self.schedule(ms + REFUSAL_MS, Event::Refused(number));
        }
    }

    fn start(&mut self, ms: u64, number: u64) {
        let mean = self.requests[&number].class.work_ms();
        let work = self.random.random_range(mean / 2..=mean * 3 / 2);
        if Self::is_surge(ms) {
            self.busy_ms += work;
        }
        self.schedule(ms + work, Event::Done(number));
    }

    fn finish(&mut self, ms: u64, number: u64) {
        let mut request = self.requests.remove(&number).unwrap();
        request.flow.acknowledged += ANSWER_BYTES;
        self.send(ms, request.class, &request.flow, Kind::Data, 0);
        if ms - request.began_ms <= request.class.goal_ms() {
            self.results(&request).in_time += 1;
        }
        match request.feed {
            Some(feed) => {
                if let Some(flow) = self.feeds.get_mut(&feed) {
                    *flow = Some(request.flow);
                }
            }
            None => {
                self.send(ms, request.class, &request.flow, Kind::Finish, 0);
            }
        }
        let server = self.servers.get_mut(&request.flow.upstream).unwrap();
        match server.waiting.pop_front() {
            Some(next) => self.start(ms, next),
            None => server.running -= 1,
        }
    }

    fn refuse(&mut self, ms: u64, number: u64) {
        let mut request = self.requests.remove(&number).unwrap();
        self.results(&request).refused += 1;
        request.flow.acknowledged += REFUSAL_BYTES;
        self.send(ms, request.class, &request.flow, Kind::Data, 0);
        self.send(ms, request.class, &request.flow, Kind::Finish, 0);
        if let Some(flow) = request.feed.and_then(|f| self.feeds.get_mut(&f)) {
            *flow = None;
        }
        self.open_flow(ms, request);
    }

    /// Returns the sum of the results of a class over requests that began in a period.
    fn sum(&self, class: Class, from_ms: u64, to_ms: u64) -> Results {
        let mut sum = Results::default();
        let buckets = from_ms / 500..to_ms / 500;
        for bucket in buckets {
            let results = self
                .results
                .get(&(bucket, class))
                .copied()
                .unwrap_or_default();
            sum.sent += results.sent;
            sum.in_time += results.in_time;
            sum.refused += results.refused;
            sum.no_room += results.no_room;
            sum.attempts += results.attempts;
        }
        sum
    }

    /// Returns the share of the slots' time that was used in the surge.
    fn busy_share(&self) -> f64 {
        let live = UPSTREAMS - self.load.stopped - self.load.failing;
        ratio(self.busy_ms, live * 2 * (SURGE_END_MS - SURGE_START_MS))
    }

    /// Returns the share of requests that reached upstreams in the surge and were refused by them.
    fn refused_share(&self) -> f64 {
        let all = [Class::Check, Class::Feed].map(|c| self.sum(c, SURGE_START_MS, SURGE_END_MS));
        let refused: u64 = all.iter().map(|r| r.refused).sum();
        let served = all.iter().map(|r| r.in_time).sum::<u64>();
        ratio(refused, refused + served)
    }

    /// Returns the time in milliseconds from the end of the surge to the first half second from
    /// which on all requests are in time.
    fn recovery_ms(&self) -> u64 {
        let buckets = SURGE_END_MS / 500..(END_MS - 1_000) / 500;
        let is_bad = |bucket: &u64| {
            [Class::Check, Class::Feed].iter().any(|class| {
                let results = self.results.get(&(*bucket, *class));
                results.is_some_and(|r| r.in_time < r.sent)
            })
        };
        let last = buckets.rev().find(is_bad);
        last.map_or(0, |bucket| (bucket + 1) * 500 - SURGE_END_MS)
    }

    fn print(&self) {
        let [check, feed] =
            [Class::Check, Class::Feed].map(|c| self.sum(c, SURGE_START_MS, SURGE_END_MS));
        eprintln!(
            "| {} | {} | {:.3} | {:.3} | {:.3} | {} | {} | {:.3} | {} |",
            self.load.name,
            self.load.has_terms,
            check.in_time_share(),
            feed.in_time_share(),
            self.refused_share(),
            check.no_room,
            feed.no_room,
            self.busy_share(),
            self.recovery_ms(),
        );
    }
}

/// Runs a load without and with terms.
fn compare(load: Load, seed: u64) -> [Simulation; 2] {
    [false, true].map(|has_terms| {
        let ended = Simulation::new(Load { has_terms, ..load }, seed).run();
        ended.print();
        ended
    })
}

/// Guards against a surge in which each class loses the same share, or slots idle.
#[test]
fn surge_costs_feeds_before_checks_and_slots_stay_busy() {
    for seed in 0..3 {
        let [before, after] = compare(SURGE, seed);
        let sum = |s: &Simulation, class| s.sum(class, SURGE_START_MS, SURGE_END_MS);
        let check = sum(&after, Class::Check);
        assert!(check.in_time_share() >= 0.97, "{check:?}");
        assert!(sum(&before, Class::Check).in_time_share() < 0.8);
        assert_eq!(check.no_room, 0, "feeds were not at their floor");
        assert!(after.busy_share() >= 0.95, "{}", after.busy_share());
        let feed = sum(&after, Class::Feed);
        assert!(feed.in_time_share() >= 0.72, "{feed:?}");
        assert!(after.refused_share() <= 0.15, "{}", after.refused_share());
        // The first second is over before refusals can be seen and acted on.
        let steady = after.sum(Class::Check, SURGE_START_MS + 1_000, SURGE_END_MS);
        let refused = ratio(steady.refused, steady.attempts);
        assert!((0.03..0.16).contains(&refused), "{refused}");
    }
}

/// Guards against retries or late signals that keep the share low after a surge, and against shares
/// that swing between full and floor.
#[test]
fn share_follows_a_step_of_load_without_swings_and_returns_within_a_second() {
    for seed in 0..3 {
        let ended = Simulation::new(SURGE, seed).run();
        let share_at = |ms: u64| ended.shares.iter().find(|(at, _)| *at == ms).unwrap().1;
        assert!(share_at(SURGE_START_MS) >= 1.0);
        assert!(share_at(SURGE_START_MS + 1_500) < 0.45);
        let steady = (SURGE_START_MS + 2_000..=SURGE_END_MS).step_by(500);
        let steady: Vec<f32> = steady.map(share_at).collect();
        assert!(steady.iter().all(|s| *s < 0.45), "{steady:?}");
        let steps = steady.windows(2).map(|pair| (pair[1] - pair[0]).abs());
        assert!(steps.fold(0.0, f32::max) < 0.2, "{steady:?}");
        let after = [500, 1_000, 1_500].map(|ms| share_at(SURGE_END_MS + ms));
        assert!(after[1] >= 0.95, "{after:?}");
        assert!(share_at(SURGE_END_MS + 2_000) >= 1.0);
        assert!(ended.recovery_ms() <= 1_000, "{}", ended.recovery_ms());
    }
}

/// Guards against checks that starve while the remaining upstreams hold open feeds.
#[test]
fn checks_are_served_after_half_of_the_upstreams_crashed() {
    for seed in 0..3 {
        let crash = Load {
            name: "half of the upstreams crash at 2.6 times",
            surge_tenths: 26,
            stopped: UPSTREAMS / 2,
            ..SURGE
        };
        let [before, after] = compare(crash, seed);
        let check = |s: &Simulation| s.sum(Class::Check, SURGE_START_MS, SURGE_END_MS);
        assert!(check(&before).in_time_share() < 0.6);
        assert!(check(&after).in_time_share() >= 0.94, "{:?}", check(&after));
        assert!(after.busy_share() >= 0.95, "{}", after.busy_share());
        assert!(after.recovery_ms() <= 1_000, "{}", after.recovery_ms());
    }
}

/// Guards against VMs without a common clock, which decide differently on the retries of a caller.
#[test]
fn checks_are_served_without_a_common_clock() {
    let load = Load {
        name: "surge, clocks differ",
        clocks_differ: true,
        ..SURGE
    };
    let ended = Simulation::new(load, 0).run();
    ended.print();
    let check = ended.sum(Class::Check, SURGE_START_MS, SURGE_END_MS);
    assert!(check.in_time_share() >= 0.95, "{check:?}");
}

/// Guards against decisions or random draws that differ although there is room.
#[test]
fn decisions_are_the_same_with_room() {
    for surge_tenths in [10, 18] {
        let load = Load {
            name: "room for all",
            surge_tenths,
            ..SURGE
        };
        let [without, with] = compare(load, 1);
        assert!(without.decisions > 10_000);
        assert_eq!(without.trace, with.trace);
        assert_eq!(without.results, with.results);
    }
}

/// Guards against refusals here because a few upstreams refuse requests that others would serve.
#[test]
fn failing_upstreams_among_good_ones_cause_no_refusals() {
    for failing in [1, 3, 6] {
        let load = Load {
            name: "failing upstreams",
            surge_tenths: 20,
            failing,
            ..SURGE
        };
        let [_, after] = compare(load, failing);
        let refused = [Class::Check, Class::Feed].map(|c| after.sum(c, 0, END_MS).no_room);
        assert_eq!(refused, [0, 0], "{failing} failing");
    }
}
