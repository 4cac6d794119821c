//! Entry VMs, upstreams and callers joined by an in-memory network with seeded faults.
//!
//! Only the load and request machines run here; views and configuration are set by the test.

#![allow(dead_code, reason = "each test and bench uses its part")]
#![allow(clippy::unwrap_used, reason = "a test fails by it")]

pub(crate) mod baseline;
pub(crate) mod callers;
pub(crate) mod entry;
pub(crate) mod shape;
pub(crate) mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::Config,
    name::Name,
};
use policy::{
    io::{Action, Counter, Message},
    time::Instant,
    view::Vm,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::coap;

use baseline::{Baseline, Rule};
use callers::Callers;
use entry::EntryVm;
pub(crate) use shape::Shape;
use upstream::Upstream;

/// Time between two ticks of a VM, in milliseconds.
const TICK_MS: u64 = 10;

/// What the network does to datagrams between VMs, and to upstreams and callers.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    pub(crate) min_delay_us: u64,
    pub(crate) max_delay_us: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            min_delay_us: 500,
            max_delay_us: 1_500,
        }
    }
}

/// What happens at a moment.
#[derive(Debug, Clone)]
pub(crate) enum Item {
    Tick(Name),
    Message {
        to: Name,
        from: SocketAddr,
        message: Message,
    },
    Request {
        to: Name,
        caller: SocketAddr,
        request: coap::Request,
    },
    Reply {
        to: Name,
        upstream: SocketAddr,
        response: coap::Response,
    },
    Announce {
        to: Name,
        announcement: Announcement,
    },
    View {
        to: Name,
        vms: BTreeMap<Name, Vm>,
    },
    Config {
        to: Name,
        config: Arc<Config>,
    },
    Arrive {
        upstream: usize,
        from: Name,
        request: coap::Request,
    },
    Cancel {
        upstream: usize,
        message_id: u16,
    },
    Finish {
        upstream: usize,
        token: Vec<u8>,
    },
    AnnounceTimer(usize),
    Answer {
        caller: SocketAddr,
        response: coap::Response,
    },
    Caller(u64),
    Arrivals,
}

/// Everything together.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) vms: BTreeMap<Name, EntryVm>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) callers: Callers,
    pub(crate) faults: Faults,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) counts: BTreeMap<Counter, u64>,
    pub(crate) cut: BTreeSet<(Name, Name)>,
    pub(crate) config: Arc<Config>,
    /// Bytes that VMs sent to each other, where they are to be counted.
    pub(crate) bytes: Option<u64>,
    queue: BTreeMap<(Instant, u64), Item>,
    sequence: u64,
    by_address: BTreeMap<SocketAddr, Name>,
}

pub(crate) fn name(text: impl AsRef<str>) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn booking() -> Name {
    name("booking")
}

fn address(text: String) -> SocketAddr {
    text.parse().unwrap()
}

impl Net {
    pub(crate) fn new(shape: Shape, seed: u64) -> Self {
        let upstreams: Vec<Upstream> = (0..shape.upstreams)
            .map(|n| Upstream::new(n, &domain(n % shape.domains), shape, seed))
            .collect();
        let config = Arc::new(shape::configure(shape, &upstreams));
        let mut net = Self {
            now: Instant::from_ms(10_000),
            vms: BTreeMap::new(),
            upstreams,
            callers: Callers::new(seed),
            faults: Faults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            counts: BTreeMap::new(),
            cut: BTreeSet::new(),
            config,
            bytes: None,
            queue: BTreeMap::new(),
            sequence: 0,
            by_address: BTreeMap::new(),
        };
        for n in 0..shape.vms {
            let vm = Vm::new(
                name(format!("vm-{n}")),
                domain(n % shape.domains),
                address(format!("10.0.0.{}:7000", n + 1)),
            );
            net.by_address.insert(vm.address, vm.name.clone());
            net.vms.insert(
                vm.name.clone(),
                EntryVm::new(vm, 1, seed + n as u64, &net.config),
            );
        }
        for n in 0..net.upstreams.len() {
            net.at(n as u64 * 37, Item::AnnounceTimer(n));
        }
        let names: Vec<Name> = net.vms.keys().cloned().collect();
        for (n, vm) in names.iter().enumerate() {
            net.at_us(n as u64 * 900, Item::Tick(vm.clone()));
        }
        net.agree();
        net
    }

    /// Has every VM decide alone, by a rule.
    pub(crate) fn compare_with(&mut self, rule: Rule) {
        for (n, entry) in self.vms.values_mut().enumerate() {
            entry.baseline = Some(Baseline::new(rule, &self.upstreams, n));
        }
    }

    /// Gives every VM its view of the VMs that it can reach, at once.
    pub(crate) fn agree(&mut self) {
        self.agree_after(0, 0);
    }

    /// Gives every VM its view of the VMs that it can reach, each after its own delay.
    pub(crate) fn agree_after(&mut self, min_ms: u64, max_ms: u64) {
        let live = self.live();
        for to in live.keys().cloned().collect::<Vec<_>>() {
            let delay = self.rng.random_range(min_ms..=max_ms);
            let mut vms = live.clone();
            vms.retain(|vm, _| {
                let reached = !self.cut.contains(&(to.clone(), vm.clone()));
                *vm == to || (reached && !self.vms[vm].frozen)
            });
            self.at(delay, Item::View { to, vms });
        }
    }

    pub(crate) fn live(&self) -> BTreeMap<Name, Vm> {
        let live = self.vms.values().filter(|e| e.alive);
        live.map(|e| (e.vm.name.clone(), e.vm.clone())).collect()
    }

    pub(crate) fn kill(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().alive = false;
    }

    /// Starts a VM anew, with nothing in memory.
    pub(crate) fn restart(&mut self, vm: &Name) {
        let old = &self.vms[vm];
        let mut again = old.vm.clone();
        again.leaving = false;
        let fresh = EntryVm::new(again, old.start + 1, old.seed, &self.config);
        self.vms.insert(vm.clone(), fresh);
    }

    pub(crate) fn freeze(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().frozen = true;
    }

    pub(crate) fn thaw(&mut self, vm: &Name) {
        let entry = self.vms.get_mut(vm).unwrap();
        entry.frozen = false;
        for item in std::mem::take(&mut entry.backlog) {
            self.at(0, item);
        }
    }

    /// Cuts the two VMs off from each other.
    pub(crate) fn cut(&mut self, one: &Name, other: &Name) {
        self.cut.insert((one.clone(), other.clone()));
        self.cut.insert((other.clone(), one.clone()));
    }

    /// A VM announces that it stops; everybody learns it at once.
    pub(crate) fn leave(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().vm.leaving = true;
        self.agree();
    }

    /// Operators drain an upstream.
    pub(crate) fn drain(&mut self, upstream: usize) {
        let command = Command::Drain {
            service: booking(),
            upstream: self.upstreams[upstream].name.clone(),
        };
        self.apply(command);
    }

    /// Operators take a failure domain out.
    pub(crate) fn domain_out(&mut self, domain: &Name) {
        let name = domain.clone();
        self.apply(Command::DomainOut { name });
    }

    /// Applies a command and gives every VM the configuration.
    fn apply(&mut self, command: Command) {
        let mut config = self.config.as_ref().clone();
        let index = config.index + 1;
        let entry = Entry::new("op", index.to_string(), None, command);
        config.apply(index, &entry).unwrap();
        self.config = Arc::new(config);
        for to in self.live().into_keys() {
            let config = self.config.clone();
            self.at(2, Item::Config { to, config });
        }
    }

    /// Cuts a failure domain off from the others.
    pub(crate) fn cut_domain(&mut self, domain: &Name) {
        let (inside, outside): (Vec<_>, Vec<_>) = self
            .vms
            .values()
            .map(|e| (e.vm.name.clone(), e.vm.domain == *domain))
            .partition(|(_, inside)| *inside);
        for (one, _) in &inside {
            for (other, _) in &outside {
                self.cut(one, other);
            }
        }
    }

    pub(crate) fn at(&mut self, ms: u64, item: Item) {
        self.at_us(ms * 1_000, item);
    }

    fn at_us(&mut self, us: u64, item: Item) {
        self.sequence += 1;
        let at = Instant(self.now.0 + us);
        self.queue.insert((at, self.sequence), item);
    }

    /// Sends over the network: delayed, and perhaps lost or doubled.
    fn send(&mut self, item: Item) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let delay = self
                .rng
                .random_range(self.faults.min_delay_us..=self.faults.max_delay_us);
            self.at_us(delay, item.clone());
        }
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        self.run_us(ms * 1_000);
    }

    pub(crate) fn run_us(&mut self, us: u64) {
        let end = Instant(self.now.0 + us);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let item = entry.remove();
            self.step(item);
        }
        self.now = end;
    }

    fn step(&mut self, item: Item) {
        match &item {
            Item::Tick(to)
            | Item::Message { to, .. }
            | Item::Request { to, .. }
            | Item::Reply { to, .. }
            | Item::Announce { to, .. }
            | Item::View { to, .. }
            | Item::Config { to, .. } => {
                let to = to.clone();
                self.step_vm(&to, item);
            }
            _ => self.step_other(item),
        }
    }

    fn step_vm(&mut self, to: &Name, item: Item) {
        if matches!(item, Item::Tick(_)) {
            self.at(TICK_MS, item.clone());
        }
        let entry = self.vms.get_mut(to).unwrap();
        if !entry.alive {
            return;
        }
        if entry.frozen {
            if !matches!(item, Item::Tick(_)) {
                entry.backlog.push(item);
            }
            return;
        }
        let mut out = Vec::new();
        entry.handle(self.now, item, &mut out);
        for action in out {
            self.act(to, action);
        }
    }

    fn act(&mut self, from: &Name, action: Action) {
        match action {
            Action::Send { to, message } => {
                let Some(to) = self.by_address.get(&to).cloned() else {
                    return;
                };
                if self.cut.contains(&(from.clone(), to.clone())) {
                    return;
                }
                if let Some(bytes) = &mut self.bytes {
                    *bytes += wire::frame::encode(0, &message).unwrap().len() as u64;
                }
                let from = self.vms[from].vm.address;
                self.send(Item::Message { to, from, message });
            }
            Action::Dispatch { to, request } => {
                let from = from.clone();
                if let Some(upstream) = self.upstream_at(to) {
                    self.send(Item::Arrive {
                        upstream,
                        from,
                        request,
                    });
                }
            }
            Action::Cancel { to, message_id } => {
                if let Some(upstream) = self.upstream_at(to) {
                    self.send(Item::Cancel {
                        upstream,
                        message_id,
                    });
                }
            }
            Action::Answer {
                caller, response, ..
            } => {
                self.send(Item::Answer { caller, response });
            }
            Action::Count(counter) => *self.counts.entry(counter).or_default() += 1,
            Action::Forward { .. } | Action::Report(_) => {}
        }
    }

    fn upstream_at(&self, address: SocketAddr) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|u| u.request_address == address)
    }

    fn step_other(&mut self, item: Item) {
        let now = self.now;
        match item {
            Item::Arrive {
                upstream,
                from,
                request,
            } => {
                let token = request.token.clone();
                match self.upstreams[upstream].arrive(now, &from, request) {
                    upstream::Arrival::Runs(us) => {
                        self.at_us(us, Item::Finish { upstream, token });
                    }
                    upstream::Arrival::Sheds(response) => self.reply(upstream, from, response),
                    upstream::Arrival::Silent => {}
                }
            }
            Item::Finish { upstream, token } => {
                if let Some((to, response)) = self.upstreams[upstream].finish(now, &token) {
                    self.reply(upstream, to, response);
                }
            }
            Item::Cancel {
                upstream,
                message_id,
            } => self.upstreams[upstream].cancel(message_id),
            Item::AnnounceTimer(n) => {
                self.at(model::announce::INTERVAL_MS, Item::AnnounceTimer(n));
                self.announce(n);
            }
            Item::Answer { caller, response } => self.callers.answered(now, caller, response),
            Item::Caller(id) => {
                if let Some((caller, request, again_ms)) = self.callers.next_copy(now, id) {
                    self.submit(caller, request);
                    self.at(again_ms, Item::Caller(id));
                }
            }
            Item::Arrivals => {
                if let Some((id, gap_us)) = self.callers.arrive(now) {
                    self.at(0, Item::Caller(id));
                    self.at_us(gap_us, Item::Arrivals);
                }
            }
            _ => {}
        }
    }

    /// Hands a caller's datagram to any VM that the fabric believes in.
    pub(crate) fn submit(&mut self, caller: SocketAddr, request: coap::Request) {
        let ready = self.vms.values().filter(|e| e.alive && e.ready);
        let names: Vec<Name> = ready.map(|e| e.vm.name.clone()).collect();
        if names.is_empty() {
            return;
        }
        let to = names[self.rng.random_range(0..names.len())].clone();
        self.send(Item::Request {
            to,
            caller,
            request,
        });
    }

    /// Has an upstream announce itself to any VM of its failure domain.
    fn announce(&mut self, upstream: usize) {
        let upstream = &self.upstreams[upstream];
        if !upstream.announces {
            return;
        }
        let announcement = upstream.announcement(&booking());
        let near: Vec<Name> = self
            .vms
            .values()
            .filter(|e| e.alive && e.vm.domain == announcement.domain)
            .map(|e| e.vm.name.clone())
            .collect();
        if near.is_empty() {
            return;
        }
        let to = near[self.rng.random_range(0..near.len())].clone();
        self.send(Item::Announce { to, announcement });
    }

    /// Starts an upstream anew; like a real one, it announces itself before it serves.
    pub(crate) fn restart_upstream(&mut self, upstream: usize) {
        self.upstreams[upstream].restart();
        self.announce(upstream);
    }

    fn reply(&mut self, upstream: usize, to: Name, response: coap::Response) {
        let upstream = self.upstreams[upstream].request_address;
        self.send(Item::Reply {
            to,
            upstream,
            response,
        });
    }

    /// Starts an open-loop arrival of requests, `per_second` until `for_ms` from now.
    pub(crate) fn arrivals(&mut self, per_second: f64, post_share: f64, for_ms: u64) {
        self.callers.per_second = per_second;
        self.callers.post_share = post_share;
        self.callers.until = self.now.plus_ms(for_ms);
        self.at(0, Item::Arrivals);
    }

    /// Starts a request by hand; returns its id.
    pub(crate) fn request(&mut self, method: coap::Method, deadline_ms: u32) -> u64 {
        let id = self.callers.start(self.now, method, deadline_ms);
        self.at(0, Item::Caller(id));
        id
    }

    /// Checks what callers got against what the upstreams ran.
    pub(crate) fn check(&self, what: &str) {
        let runs = self.runs();
        for upstream in &self.upstreams {
            assert_eq!(
                upstream.over_slots, 0,
                "{what}: {} ran more than its slots",
                upstream.name
            );
        }
        for (id, request) in &self.callers.requests {
            let ran = runs.get(id).copied().unwrap_or_default();
            if request.method == coap::Method::Post {
                assert!(ran <= 1, "{what}: request {id} ran {ran} times");
            }
            for (response, at) in request.answers.iter().zip(&request.times) {
                match response.code {
                    coap::CHANGED => {
                        assert_eq!(
                            *response.payload.0,
                            id.to_be_bytes(),
                            "{what}: answer of another request"
                        );
                        assert!(ran > 0, "{what}: request {id} was answered and never ran");
                    }
                    coap::UNAVAILABLE => {
                        let ran = match request.method {
                            coap::Method::Post => ran,
                            // A copy that comes later may run an idempotent request.
                            _ => self.runs_before(*id, *at),
                        };
                        assert_eq!(
                            ran, 0,
                            "{what}: request {id} ran and was refused as not run"
                        );
                        assert!(
                            response.max_age_s.is_some_and(|s| s > 0),
                            "{what}: no time to come back"
                        );
                    }
                    coap::TIMEOUT => {}
                    other => panic!("{what}: request {id} got code {other:#x}"),
                }
            }
        }
    }

    fn runs_before(&self, id: u64, at: Instant) -> u32 {
        let runs = self.upstreams.iter().flat_map(|u| &u.ran);
        u32::try_from(
            runs.filter(|(other, when)| *other == id && *when < at)
                .count(),
        )
        .unwrap()
    }

    /// How often each request ran.
    pub(crate) fn runs(&self) -> BTreeMap<u64, u32> {
        let mut runs = BTreeMap::new();
        for upstream in &self.upstreams {
            for (id, _) in &upstream.ran {
                *runs.entry(*id).or_default() += 1;
            }
        }
        runs
    }
}

pub(crate) fn domain(n: usize) -> Name {
    name(format!("domain-{n}"))
}
