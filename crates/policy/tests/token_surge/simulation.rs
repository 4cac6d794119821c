//! The simulated clients, entry VMs and upstreams.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use crate::{
    results::Results,
    token_support::{
        self, SETTLED_MS, agreed_state, announcement, at, control_vm, gateway_in_domain, plan,
    },
};
use model::plan::{Kind as RouteKind, Plan, Route, RouteTerms, Terms};
use policy::token::{
    decision::{Action, Reason},
    gateway::{Gateway, terms::TermsEffect},
    segment::{Key, Kind, Segment},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::{
    crash::{CRASH_LEAD_MS, REPEATS_MS},
    load::DOMAINS,
};

mod crash;
mod load;

pub(crate) use self::load::{Class, Load, SURGE};

const VM_COUNT: usize = 28;
pub(crate) const UPSTREAMS: u64 = 40;
const SLOTS: usize = 2;
const QUEUE: usize = 8;

pub(crate) const SURGE_START_MS: u64 = SETTLED_MS + 3_000;
pub(crate) const SURGE_END_MS: u64 = SURGE_START_MS + 8_000;
pub(crate) const END_MS: u64 = SURGE_END_MS + 4_000;

/// Load before and after the surge.
const CALM_FEEDS: u64 = 875;
const CALM_CHECKS_PER_S: u64 = 125;

const ANSWER_BYTES: u32 = 780;
const REFUSAL_BYTES: u32 = 150;
const REFUSAL_MS: u64 = 180;
const MAX_ATTEMPTS: u32 = 3;
const TICK_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Surge,
    Crash,
    /// Announcements of crashed upstreams have ended.
    Silence,
    /// Probes are due.
    Probe,
    /// A client repeats an opening packet or a request without an answer.
    Repeat(u64, usize),
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
    /// Whether the flow has been opened with an upstream.
    is_open: bool,
    flow: Flow,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: VecDeque<u64>,
}

pub(crate) struct Simulation {
    pub(crate) load: Load,
    random: Pcg64Mcg,
    vms: Vec<Gateway>,
    servers: BTreeMap<u64, Server>,
    feeds: BTreeMap<u64, Option<Flow>>,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    next_client: u32,
    /// Results by class and half second of the beginning of the request.
    pub(crate) results: BTreeMap<(u64, Class), Results>,
    /// Work done in the surge, in milliseconds of a slot.
    pub(crate) busy_ms: u64,
    /// Number of decisions, and a digest of all of them.
    pub(crate) decisions: u64,
    pub(crate) trace: u64,
    /// Mean share of feeds that VMs admitted, at each tick.
    pub(crate) shares: Vec<(u64, f32)>,
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
    pub(crate) fn new(load: Load, seed: u64) -> Self {
        let (plan, terms) = surge_plan();
        let vms = (0..VM_COUNT).map(|number| {
            let mut gateway = gateway_in_domain(
                "entry",
                load.domain(number as u64),
                seed * 1_000 + number as u64,
            );
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
                let announced = announcement(id, load.domain(id));
                gateway.announce(at(0), control_vm(1), announced, 0);
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
        if load.crashed != SURGE.crashed {
            simulation.schedule(SURGE_START_MS - CRASH_LEAD_MS, Event::Crash);
        }
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

    pub(crate) fn run(mut self) -> Self {
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
                Event::Crash => self.crash(ms),
                Event::Silence => self.end_announcements(ms),
                Event::Probe => self.probe(ms),
                Event::Repeat(number, _) if !self.requests.contains_key(&number) => {}
                Event::Repeat(number, copy) => self.repeat(ms, number, copy),
                Event::Check => self.begin_check(ms),
                Event::Feed(feed) => self.begin_feed_request(ms, feed),
                Event::Done(number) | Event::Refused(number) if !self.is_at_server(number) => {}
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
            is_open: false,
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
                vm: self.vm_of(request.caller),
                upstream: 0,
                sent: 100,
                acknowledged: 0,
            };
            let decision = self.send(ms, request.class, &request.flow, Kind::Open { copy: 0 }, 0);
            match decision {
                (Action::Forward { id, .. }, _) => {
                    request.flow.upstream = id;
                    request.is_open = self.servers.contains_key(&id);
                    if !request.is_open {
                        self.count += 1;
                        self.requests.insert(self.count, request);
                        return self.schedule(ms + REPEATS_MS[0], Event::Repeat(self.count, 1));
                    }
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

    /// Returns the VM of a new flow, which is in the failure domain of its client.
    fn vm_of(&mut self, caller: Ipv4Addr) -> usize {
        let vm = self.random.random_range(0..VM_COUNT);
        if self.load.clients[0] == 100 {
            return vm;
        }
        let mut position = u64::from(u32::from(caller)) * 37 % 100;
        let domain = self.load.clients.iter().position(|share| {
            let is_here = position < *share;
            position = position.saturating_sub(*share);
            is_here
        });
        vm / DOMAINS.len() * DOMAINS.len() + domain.unwrap()
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
        request.is_open = true;
        if let Some(flow) = request.feed.and_then(|f| self.feeds.get_mut(&f)) {
            *flow = Some(request.flow);
        }
        let decision = self.send(ms, request.class, &request.flow, Kind::Data, 50);
        if !matches!(decision, (Action::Forward { .. }, _)) {
            self.forget_flow(request);
            return self.open_flow(ms, request);
        }
        request.flow.sent += 50;
        self.count += 1;
        let number = self.count;
        self.requests.insert(number, request);
        let id = request.flow.upstream;
        let Some(server) = self.servers.get_mut(&id) else {
            return self.schedule(ms + REPEATS_MS[0], Event::Repeat(number, 1));
        };
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
}
