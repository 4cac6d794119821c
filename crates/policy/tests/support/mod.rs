//! Entry VMs, upstreams and callers, connected by an in-memory network with seeded faults.
//!
//! Only the load and request state machines run here; the test sets views and configuration.

#![allow(dead_code, reason = "each test and bench uses only a part")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

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

/// Interval at which a VM gets a tick, in milliseconds.
const TICK_MS: u64 = 10;

/// Faults of the network, for datagrams between VMs, to and from upstreams, and to callers.
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

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum SimEvent {
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

/// The simulated deployment: VMs, upstreams, callers and the network between them.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) vms: BTreeMap<Name, EntryVm>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) callers: Callers,
    pub(crate) faults: Faults,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) counters: BTreeMap<Counter, u64>,
    pub(crate) cut_links: BTreeSet<(Name, Name)>,
    pub(crate) config: Arc<Config>,
    /// Bytes of the messages between VMs, if they are to be counted.
    pub(crate) sent_bytes: Option<u64>,
    queue: BTreeMap<(Instant, u64), SimEvent>,
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
            counters: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            config,
            sent_bytes: None,
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
            net.schedule_ms(n as u64 * 37, SimEvent::AnnounceTimer(n));
        }
        let names: Vec<Name> = net.vms.keys().cloned().collect();
        for (n, vm) in names.iter().enumerate() {
            net.schedule_us(n as u64 * 900, SimEvent::Tick(vm.clone()));
        }
        net.deliver_views();
        net
    }

    /// Replaces the state machines of every VM by a baseline balancer.
    pub(crate) fn use_baseline(&mut self, rule: Rule) {
        for (n, entry) in self.vms.values_mut().enumerate() {
            entry.baseline = Some(Baseline::new(rule, &self.upstreams, n));
        }
    }

    /// Delivers to every VM, without delay, the view of the VMs that it can reach.
    pub(crate) fn deliver_views(&mut self) {
        self.deliver_views_within(0, 0);
    }

    /// Delivers to every VM the view of the VMs that it can reach, each after a random delay.
    pub(crate) fn deliver_views_within(&mut self, min_ms: u64, max_ms: u64) {
        let live = self.live();
        for to in live.keys().cloned().collect::<Vec<_>>() {
            let delay = self.rng.random_range(min_ms..=max_ms);
            let mut vms = live.clone();
            vms.retain(|vm, _| {
                let is_reached = !self.cut_links.contains(&(to.clone(), vm.clone()));
                *vm == to || (is_reached && !self.vms[vm].frozen)
            });
            self.schedule_ms(delay, SimEvent::View { to, vms });
        }
    }

    pub(crate) fn live(&self) -> BTreeMap<Name, Vm> {
        let live = self.vms.values().filter(|e| e.alive);
        live.map(|e| (e.vm.name.clone(), e.vm.clone())).collect()
    }

    pub(crate) fn kill(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().alive = false;
    }

    /// Restarts a VM with an empty memory.
    pub(crate) fn restart(&mut self, vm: &Name) {
        let old = &self.vms[vm];
        let mut restarted = old.vm.clone();
        restarted.leaving = false;
        let new_vm = EntryVm::new(restarted, old.start_number + 1, old.seed, &self.config);
        self.vms.insert(vm.clone(), new_vm);
    }

    pub(crate) fn freeze(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().frozen = true;
    }

    pub(crate) fn thaw(&mut self, vm: &Name) {
        let entry = self.vms.get_mut(vm).unwrap();
        entry.frozen = false;
        for event in std::mem::take(&mut entry.backlog) {
            self.schedule_ms(0, event);
        }
    }

    /// Cuts the link between two VMs in both directions.
    pub(crate) fn cut_link(&mut self, one: &Name, other: &Name) {
        self.cut_links.insert((one.clone(), other.clone()));
        self.cut_links.insert((other.clone(), one.clone()));
    }

    /// Marks a VM as leaving and delivers this to all VMs at once.
    pub(crate) fn leave(&mut self, vm: &Name) {
        self.vms.get_mut(vm).unwrap().vm.leaving = true;
        self.deliver_views();
    }

    /// Applies the operators' command to drain an upstream.
    pub(crate) fn drain(&mut self, upstream: usize) {
        let command = Command::Drain {
            service: booking(),
            upstream: self.upstreams[upstream].name.clone(),
        };
        self.apply(command);
    }

    /// Applies the operators' command to take a failure domain out.
    pub(crate) fn domain_out(&mut self, domain: &Name) {
        let name = domain.clone();
        self.apply(Command::DomainOut { name });
    }

    /// Applies a command and delivers the new configuration to every VM.
    fn apply(&mut self, command: Command) {
        let mut config = self.config.as_ref().clone();
        let index = config.index + 1;
        let entry = Entry::new("op", index.to_string(), None, command);
        config.apply(index, &entry).unwrap();
        self.config = Arc::new(config);
        for to in self.live().into_keys() {
            let config = self.config.clone();
            self.schedule_ms(2, SimEvent::Config { to, config });
        }
    }

    /// Cuts all links between a failure domain and the others.
    pub(crate) fn cut_domain(&mut self, domain: &Name) {
        let (inside, outside): (Vec<_>, Vec<_>) = self
            .vms
            .values()
            .map(|e| (e.vm.name.clone(), e.vm.domain == *domain))
            .partition(|(_, inside)| *inside);
        for (one, _) in &inside {
            for (other, _) in &outside {
                self.cut_link(one, other);
            }
        }
    }

    pub(crate) fn schedule_ms(&mut self, ms: u64, event: SimEvent) {
        self.schedule_us(ms * 1_000, event);
    }

    fn schedule_us(&mut self, us: u64, event: SimEvent) {
        self.sequence += 1;
        let at = Instant(self.now.0 + us);
        self.queue.insert((at, self.sequence), event);
    }

    /// Sends an event over the network, which may delay, lose or duplicate it.
    fn send(&mut self, event: SimEvent) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let delay = self
                .rng
                .random_range(self.faults.min_delay_us..=self.faults.max_delay_us);
            self.schedule_us(delay, event.clone());
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
            let event = entry.remove();
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: SimEvent) {
        match &event {
            SimEvent::Tick(to)
            | SimEvent::Message { to, .. }
            | SimEvent::Request { to, .. }
            | SimEvent::Reply { to, .. }
            | SimEvent::Announce { to, .. }
            | SimEvent::View { to, .. }
            | SimEvent::Config { to, .. } => {
                let to = to.clone();
                self.handle_vm_event(&to, event);
            }
            _ => self.handle_network_event(event),
        }
    }

    fn handle_vm_event(&mut self, to: &Name, event: SimEvent) {
        if matches!(event, SimEvent::Tick(_)) {
            self.schedule_ms(TICK_MS, event.clone());
        }
        let entry = self.vms.get_mut(to).unwrap();
        if !entry.alive {
            return;
        }
        if entry.frozen {
            if !matches!(event, SimEvent::Tick(_)) {
                entry.backlog.push(event);
            }
            return;
        }
        let mut out = Vec::new();
        entry.handle(self.now, event, &mut out);
        for action in out {
            self.perform_action(to, action);
        }
    }

    fn perform_action(&mut self, from: &Name, action: Action) {
        match action {
            Action::Send { to, message } => {
                let Some(to) = self.by_address.get(&to).cloned() else {
                    return;
                };
                if self.cut_links.contains(&(from.clone(), to.clone())) {
                    return;
                }
                if let Some(bytes) = &mut self.sent_bytes {
                    *bytes += wire::frame::encode(0, &message).unwrap().len() as u64;
                }
                let from = self.vms[from].vm.address;
                self.send(SimEvent::Message { to, from, message });
            }
            Action::Dispatch { to, request } => {
                let from = from.clone();
                if let Some(upstream) = self.upstream_at(to) {
                    self.send(SimEvent::Arrive {
                        upstream,
                        from,
                        request,
                    });
                }
            }
            Action::Cancel { to, message_id } => {
                if let Some(upstream) = self.upstream_at(to) {
                    self.send(SimEvent::Cancel {
                        upstream,
                        message_id,
                    });
                }
            }
            Action::Answer {
                caller, response, ..
            } => {
                self.send(SimEvent::Answer { caller, response });
            }
            Action::Count(counter) => *self.counters.entry(counter).or_default() += 1,
            Action::Forward { .. } | Action::Report(_) => {}
        }
    }

    fn upstream_at(&self, address: SocketAddr) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|u| u.request_address == address)
    }

    fn handle_network_event(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Arrive {
                upstream,
                from,
                request,
            } => {
                let token = request.token.clone();
                match self.upstreams[upstream].arrive(now, &from, request) {
                    upstream::Arrival::Runs(us) => {
                        self.schedule_us(us, SimEvent::Finish { upstream, token });
                    }
                    upstream::Arrival::Sheds(response) => self.reply(upstream, from, response),
                    upstream::Arrival::Silent => {}
                }
            }
            SimEvent::Finish { upstream, token } => {
                if let Some((to, response)) = self.upstreams[upstream].finish(now, &token) {
                    self.reply(upstream, to, response);
                }
            }
            SimEvent::Cancel {
                upstream,
                message_id,
            } => self.upstreams[upstream].cancel(message_id),
            SimEvent::AnnounceTimer(n) => {
                self.schedule_ms(model::announce::INTERVAL_MS, SimEvent::AnnounceTimer(n));
                self.announce(n);
            }
            SimEvent::Answer { caller, response } => {
                self.callers.record_answer(now, caller, response)
            }
            SimEvent::Caller(id) => {
                if let Some((caller, request, repeat_after_ms)) = self.callers.next_copy(now, id) {
                    self.submit_request(caller, request);
                    self.schedule_ms(repeat_after_ms, SimEvent::Caller(id));
                }
            }
            SimEvent::Arrivals => {
                if let Some((id, gap_us)) = self.callers.next_arrival(now) {
                    self.schedule_ms(0, SimEvent::Caller(id));
                    self.schedule_us(gap_us, SimEvent::Arrivals);
                }
            }
            _ => {}
        }
    }

    /// Sends a caller's request to a random VM that is alive and ready.
    pub(crate) fn submit_request(&mut self, caller: SocketAddr, request: coap::Request) {
        let ready = self.vms.values().filter(|e| e.alive && e.ready);
        let names: Vec<Name> = ready.map(|e| e.vm.name.clone()).collect();
        if names.is_empty() {
            return;
        }
        let to = names[self.rng.random_range(0..names.len())].clone();
        self.send(SimEvent::Request {
            to,
            caller,
            request,
        });
    }

    /// Sends an upstream's announcement to a random live VM of its failure domain.
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
        self.send(SimEvent::Announce { to, announcement });
    }

    /// Restarts an upstream; like a real one, it announces itself before it serves.
    pub(crate) fn restart_upstream(&mut self, upstream: usize) {
        self.upstreams[upstream].restart();
        self.announce(upstream);
    }

    fn reply(&mut self, upstream: usize, to: Name, response: coap::Response) {
        let upstream = self.upstreams[upstream].request_address;
        self.send(SimEvent::Reply {
            to,
            upstream,
            response,
        });
    }

    /// Starts the open-loop arrival of `per_second` requests per second, for `for_ms` from now.
    pub(crate) fn start_arrivals(&mut self, per_second: f64, post_share: f64, for_ms: u64) {
        self.callers.per_second = per_second;
        self.callers.post_share = post_share;
        self.callers.until = self.now.plus_ms(for_ms);
        self.schedule_ms(0, SimEvent::Arrivals);
    }

    /// Issues one request and returns its id.
    pub(crate) fn issue_request(&mut self, method: coap::Method, deadline_ms: u32) -> u64 {
        let id = self.callers.start_request(self.now, method, deadline_ms);
        self.schedule_ms(0, SimEvent::Caller(id));
        id
    }

    /// Checks the answers of all callers against the requests that the upstreams ran.
    pub(crate) fn check_invariants(&self, label: &str) {
        let runs = self.count_runs();
        for upstream in &self.upstreams {
            assert_eq!(
                upstream.arrived_over_slots, 0,
                "{label}: {} ran more than its slots",
                upstream.name
            );
        }
        for (id, request) in &self.callers.requests {
            let ran = runs.get(id).copied().unwrap_or_default();
            if request.method == coap::Method::Post {
                assert!(ran <= 1, "{label}: request {id} ran {ran} times");
            }
            for (response, at) in request.answers.iter().zip(&request.answer_times) {
                match response.code {
                    coap::CHANGED => {
                        assert_eq!(
                            *response.payload.0,
                            id.to_be_bytes(),
                            "{label}: got the answer of another request"
                        );
                        assert!(ran > 0, "{label}: request {id} was answered but never ran");
                    }
                    coap::UNAVAILABLE => {
                        let ran = match request.method {
                            coap::Method::Post => ran,
                            // A later copy of an idempotent request may still run.
                            _ => self.count_runs_before(*id, *at),
                        };
                        assert_eq!(
                            ran, 0,
                            "{label}: request {id} ran but was refused as not run"
                        );
                        assert!(
                            response.max_age_s.is_some_and(|s| s > 0),
                            "{label}: refusal without a retry-after time"
                        );
                    }
                    coap::TIMEOUT => {}
                    other => panic!("{label}: request {id} got code {other:#x}"),
                }
            }
        }
    }

    fn count_runs_before(&self, id: u64, at: Instant) -> u32 {
        let runs = self.upstreams.iter().flat_map(|u| &u.started);
        u32::try_from(
            runs.filter(|(other, when)| *other == id && *when < at)
                .count(),
        )
        .unwrap()
    }

    /// Returns how often each request ran.
    pub(crate) fn count_runs(&self) -> BTreeMap<u64, u32> {
        let mut runs = BTreeMap::new();
        for upstream in &self.upstreams {
            for (id, _) in &upstream.started {
                *runs.entry(*id).or_default() += 1;
            }
        }
        runs
    }
}

pub(crate) fn domain(n: usize) -> Name {
    name(format!("domain-{n}"))
}
