//! A seeded in-memory network of entry VMs with flow state, a fabric, callers and a configuration.

#![expect(clippy::unwrap_used, reason = "a failure here fails the test")]
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses another part"
)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::{Config, Domain, DomainState, Service, Stage, Upstream, UpstreamState},
    key,
    name::Name,
};
use policy::{
    flow::{Flows, Mode},
    io::{Action, Context, Counter, Message, Packet},
    load::Load,
    time::Instant,
    view::{View, Vm},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use wire::{blob::Blob, gue, gue::Segment};

/// Step of the clock, in milliseconds.
pub const STEP_MS: u64 = 10;

/// Port of the first upstream for flows.
const FIRST_PORT: u16 = 8_000;

/// Time between two attempts of a caller, in milliseconds.
pub const RETRY_MS: u64 = 1_000;

pub fn name(text: impl AsRef<str>) -> Name {
    Name::new(text).unwrap()
}

pub struct Machine {
    pub vm: Vm,
    pub view: Arc<View>,
    pub config: Arc<Config>,
    pub flows: Flows,
    pub load: Load,
    pub is_config_fresh: bool,
    /// Time until which the VM is frozen, in milliseconds.
    pub frozen_until: u64,
    /// Bytes of sent messages that carry no packet.
    pub control_bytes: u64,
    /// Bytes of sent messages that carry a packet, without the packet.
    pub encapsulation_bytes: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Flow {
    /// Upstream that received the opening packet.
    pub upstream: Option<SocketAddr>,
    /// Number of later packets that arrived at the upstream.
    pub later_arrivals: u32,
    /// Time at which the last packet arrived at the upstream, in milliseconds.
    pub last_arrival_ms: u64,
    /// Whether any packet reached another upstream.
    pub reached_other_upstream: bool,
    /// Whether the flow was given up with its failure domain.
    pub is_given_up: bool,
    pub is_closed: bool,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub seed: u64,
    pub vms: usize,
    pub domains: usize,
    pub upstreams: usize,
    pub idle_ms: u32,
    pub mode: Mode,
    /// Share of messages between VMs that are lost, in percent.
    pub loss_percent: u32,
    /// Longest delay of a message between VMs, in milliseconds.
    pub max_delay_ms: u64,
    /// Longest delay until a VM receives a configuration or view, in milliseconds.
    pub max_propagation_ms: u64,
    /// Whether bytes of messages are counted.
    pub measures_bytes: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 6,
            domains: 3,
            upstreams: 6,
            idle_ms: 5_000,
            mode: Mode::Selective,
            loss_percent: 0,
            max_delay_ms: 5,
            max_propagation_ms: 300,
            measures_bytes: false,
        }
    }
}

enum Event {
    Message(Name, Name, Message),
    Config(Name, Arc<Config>),
    View(Name),
}

pub struct Net {
    pub settings: Settings,
    pub now: u64,
    pub rng: Pcg64,
    pub machines: BTreeMap<Name, Machine>,
    pub config: Config,
    pub flows: Vec<Flow>,
    pub counts: BTreeMap<Counter, u64>,
    /// Pairs of failure domains that can't reach each other.
    pub blocked_domain_pairs: BTreeSet<(Name, Name)>,
    /// Announced connections of the upstreams that don't announce the usual number.
    pub connections: BTreeMap<Name, u32>,
    /// Bytes of control messages by kind.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    /// Number of packets received from the fabric.
    pub packets: u64,
    /// Number of packets relayed between VMs.
    pub relays: u64,
    pub activates_generations: bool,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    stopped: BTreeSet<Name>,
    hidden: BTreeSet<Name>,
}

pub fn service() -> Name {
    name("booking")
}

pub fn service_address() -> SocketAddr {
    "10.9.0.1:443".parse().unwrap()
}

pub fn domain(number: usize) -> Name {
    name(format!("domain-{number}"))
}

pub fn upstream(number: usize) -> Name {
    name(format!("upstream-{number:02}"))
}

pub fn vm(number: usize) -> Name {
    name(format!("vm-{number}"))
}

pub fn caller(flow: usize) -> SocketAddr {
    let id = u32::try_from(flow).unwrap();
    let ip = std::net::Ipv4Addr::from(0x0a00_0000 + (id >> 8));
    SocketAddr::new(ip.into(), 1_024 + u16::try_from(id & 0xff).unwrap())
}

impl Net {
    pub fn new(settings: Settings) -> Self {
        let mut net = Self {
            now: 1_000,
            rng: Pcg64::seed_from_u64(settings.seed),
            machines: BTreeMap::new(),
            config: Config::default(),
            flows: Vec::new(),
            counts: BTreeMap::new(),
            blocked_domain_pairs: BTreeSet::new(),
            connections: BTreeMap::new(),
            bytes_by_kind: BTreeMap::new(),
            packets: 0,
            relays: 0,
            activates_generations: true,
            queue: BTreeMap::new(),
            sequence: 0,
            stopped: BTreeSet::new(),
            hidden: BTreeSet::new(),
            settings,
        };
        net.found_cluster();
        for number in 0..net.settings.vms {
            net.add_machine(number);
        }
        net.schedule_view_changes(0);
        for number in 0..net.settings.upstreams {
            net.admit(number);
        }
        net.run_ms(2_000);
        net
    }

    fn found_cluster(&mut self) {
        let mut settings = Service::at(service_address());
        settings.idle_ms = self.settings.idle_ms;
        self.apply(Command::Found { cluster: 7 });
        for number in 0..self.settings.domains {
            self.apply(Command::PutDomain {
                name: domain(number),
            });
        }
        self.apply(Command::PutService {
            name: service(),
            service: settings,
        });
    }

    fn make_vm(&self, number: usize) -> Vm {
        let address = SocketAddr::new(
            [127, 0, 0, 1].into(),
            7_000 + u16::try_from(number).unwrap(),
        );
        Vm::new(vm(number), domain(number % self.settings.domains), address)
    }

    fn add_machine(&mut self, number: usize) {
        let vm = self.make_vm(number);
        let machine = Machine {
            view: Arc::new(View::new(vm.clone())),
            config: Arc::new(Config::default()),
            flows: Flows::with_mode(self.settings.mode),
            load: Load::default(),
            is_config_fresh: true,
            frozen_until: 0,
            control_bytes: 0,
            encapsulation_bytes: 0,
            vm: vm.clone(),
        };
        self.stopped.remove(&vm.name);
        self.machines.insert(vm.name.clone(), machine);
        let config = Arc::new(self.config.clone());
        self.schedule(0, Event::Config(vm.name, config));
    }

    // Configuration.

    pub fn apply(&mut self, command: Command) {
        let index = self.config.index + 1;
        let entry = Entry::new("test", format!("request-{index}"), None, command);
        self.config.apply(index, &entry).unwrap();
        let config = Arc::new(self.config.clone());
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        for name in names {
            let delay = self.rng.random_range(0..=self.settings.max_propagation_ms);
            self.schedule(delay, Event::Config(name, config.clone()));
        }
    }

    pub fn upstream_settings(&self, number: usize) -> Upstream {
        let port = u16::try_from(number).unwrap();
        Upstream {
            domain: domain(number % self.settings.domains),
            flow_address: SocketAddr::new([10, 1, 0, 1].into(), FIRST_PORT + port),
            request_address: SocketAddr::new([10, 1, 0, 1].into(), 9_000 + port),
            slots: 3,
            connections: 100_000,
            state: UpstreamState::Admitted,
        }
    }

    pub fn admit(&mut self, number: usize) {
        let announced = self.upstream_settings(number);
        self.apply(Command::Admit {
            service: service(),
            upstream: upstream(number),
            announced,
        });
    }

    pub fn drain(&mut self, number: usize) {
        self.apply(Command::Drain {
            service: service(),
            upstream: upstream(number),
        });
    }

    pub fn domain_out(&mut self, number: usize) {
        self.apply(Command::DomainOut {
            name: domain(number),
        });
        let addresses: BTreeSet<SocketAddr> = (0..self.settings.upstreams + 4)
            .map(|u| self.upstream_settings(u))
            .filter(|u| u.domain == domain(number))
            .map(|u| u.flow_address)
            .collect();
        for flow in &mut self.flows {
            if flow.upstream.is_some_and(|u| addresses.contains(&u)) {
                flow.is_given_up = true;
            }
        }
    }

    pub fn domain_in(&mut self, number: usize) {
        self.apply(Command::DomainIn {
            name: domain(number),
        });
    }

    /// Takes the next step of the control leader.
    fn step_control_leader(&mut self) {
        let Some(settings) = self.config.services.get(&service()) else {
            return;
        };
        let index = self.config.index;
        let live = || {
            self.machines
                .values()
                .filter(|m| m.frozen_until <= self.now)
        };
        let all_current = live().all(|m| m.config.index == index);
        let last = settings.generations.last();
        let prepared = last
            .filter(|g| g.stage == Stage::Prepared)
            .map(|g| g.number);
        if let Some(generation) = prepared.filter(|_| all_current && self.activates_generations) {
            self.apply(Command::Activate {
                service: service(),
                generation,
            });
            return;
        }
        let needed = |m: &Machine| m.flows.needed(self.context(m)).get(&service()).copied();
        let keep = live().map(|m| needed(m).unwrap_or(0)).min().unwrap_or(0);
        let first = settings.generations.first().map_or(0, |g| g.number);
        let is_active = settings
            .generations
            .iter()
            .any(|g| g.number == keep && g.stage == Stage::Active);
        if keep > first && is_active && all_current {
            self.apply(Command::Retire {
                service: service(),
                keep,
            });
        }
    }

    // Membership.

    fn schedule_view_changes(&mut self, max_request_duration_ms: u64) {
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        for name in &names {
            let delay = self.rng.random_range(0..=max_request_duration_ms);
            self.schedule(delay, Event::View(name.clone()));
        }
    }

    /// Returns the VMs that the membership protocol would find from one VM.
    fn reachable(&self, from: &Name) -> BTreeMap<Name, Vm> {
        let me = &self.machines[from].vm;
        let mut seen = BTreeMap::new();
        for machine in self.machines.values() {
            let is_hidden = self.hidden.contains(&machine.vm.name) && machine.vm.name != *from;
            if self.passes(&me.domain, &machine.vm.domain) && !is_hidden {
                let mut vm = machine.vm.clone();
                vm.leaving = self.stopped.contains(&vm.name);
                seen.insert(vm.name.clone(), vm);
            }
        }
        seen
    }

    fn passes(&self, from: &Name, to: &Name) -> bool {
        !self
            .blocked_domain_pairs
            .contains(&(from.clone(), to.clone()))
    }

    pub fn kill(&mut self, vm: &Name) {
        self.machines.remove(vm);
        self.schedule_view_changes(self.settings.max_propagation_ms);
    }

    pub fn join(&mut self, number: usize) {
        self.add_machine(number);
        self.schedule_view_changes(self.settings.max_propagation_ms);
    }

    /// Restarts a VM so quickly that no other VM sees it leave.
    pub fn restart(&mut self, vm: &Name) {
        let number = (0..64).find(|n| self::vm(*n) == *vm).unwrap();
        self.add_machine(number);
        self.schedule(50, Event::View(vm.clone()));
    }

    pub fn stop(&mut self, vm: &Name) {
        self.stopped.insert(vm.clone());
        self.with_machine(vm, |machine, context, out| {
            machine.flows.on_stop(context, out);
        });
        self.schedule_view_changes(self.settings.max_propagation_ms);
    }

    pub fn cut_off_domain(&mut self, number: usize) {
        for other in 0..self.settings.domains {
            if other != number {
                self.blocked_domain_pairs
                    .insert((domain(number), domain(other)));
                self.blocked_domain_pairs
                    .insert((domain(other), domain(number)));
            }
        }
        self.schedule_view_changes(self.settings.max_propagation_ms);
    }

    pub fn heal_partition(&mut self) {
        self.blocked_domain_pairs.clear();
        self.schedule_view_changes(self.settings.max_propagation_ms);
    }

    pub fn freeze(&mut self, vm: &Name, ms: u64) {
        let until = self.now + ms;
        if let Some(machine) = self.machines.get_mut(vm) {
            machine.frozen_until = until;
        }
    }

    /// Sets whether the other VMs consider a frozen VM gone.
    pub fn set_hidden(&mut self, vm: &Name, is_hidden: bool) {
        if is_hidden {
            self.hidden.insert(vm.clone());
        } else {
            self.hidden.remove(vm);
        }
        self.schedule_view_changes(0);
    }

    // Callers.

    pub fn packet(&self, flow: usize, segment: Segment) -> Packet {
        let bytes = gue::build(caller(flow), service_address(), segment, 1, b"");
        Packet {
            flow: key::Flow {
                caller: caller(flow),
                service: service_address(),
            },
            segment,
            bytes: Blob::from(bytes),
        }
    }

    pub fn fingerprint(flow: usize) -> u64 {
        let key = key::Flow {
            caller: caller(flow),
            service: service_address(),
        };
        key.fingerprint()
    }

    /// Returns the primary of a flow by the first VM's view.
    pub fn primary(&self, flow: usize) -> Name {
        let view = &self.machines.values().next().unwrap().view;
        view.primary(Self::fingerprint(flow)).unwrap().name.clone()
    }

    /// Returns the backup of a flow by the first VM's view.
    pub fn backup(&self, flow: usize) -> Name {
        let view = &self.machines.values().next().unwrap().view;
        view.backup(Self::fingerprint(flow)).unwrap().name.clone()
    }

    /// Sends a packet to a random live VM.
    pub fn send_to_any_vm(&mut self, flow: usize, segment: Segment) {
        let live: Vec<Name> = self
            .machines
            .values()
            .filter(|m| m.frozen_until <= self.now)
            .map(|m| m.vm.name.clone())
            .collect();
        let at = self.rng.random_range(0..live.len());
        self.send_to_vm(&live[at].clone(), flow, segment);
    }

    pub fn send_to_vm(&mut self, vm: &Name, flow: usize, segment: Segment) {
        let packet = self.packet(flow, segment);
        self.packets += 1;
        self.with_machine(vm, |machine, context, out| {
            machine
                .flows
                .on_packet(context, &mut machine.load, packet, out);
        });
    }

    /// Opens flows, and repeats each opening packet until an upstream has received it.
    pub fn open_flows(&mut self, count: usize) -> std::ops::Range<usize> {
        let first = self.flows.len();
        let opened = first..first + count;
        self.flows.resize(first + count, Flow::default());
        for _ in 0..8 {
            let waiting: Vec<usize> = opened
                .clone()
                .filter(|f| self.flows[*f].upstream.is_none())
                .collect();
            if waiting.is_empty() {
                break;
            }
            for flow in waiting {
                self.send_to_any_vm(flow, Segment::Open);
            }
            self.run_ms(RETRY_MS);
        }
        opened
    }

    /// Sends a later packet of each flow, and repeats lost packets. Returns the open flows of which
    /// no packet arrived, except flows that were given up.
    pub fn continue_flows(&mut self, flows: impl IntoIterator<Item = usize>) -> Vec<usize> {
        let live = |f: &Flow| f.upstream.is_some() && !f.is_given_up && !f.is_closed;
        let mut waiting: Vec<(usize, u32)> = flows
            .into_iter()
            .filter(|f| live(&self.flows[*f]))
            .map(|f| (f, self.flows[f].later_arrivals))
            .collect();
        for _ in 0..8 {
            self.close_idle();
            waiting.retain(|(flow, _)| !self.flows[*flow].is_closed);
            for (flow, _) in &waiting {
                self.send_to_any_vm(*flow, Segment::Later);
            }
            self.run_ms(300);
            waiting.retain(|(flow, before)| self.flows[*flow].later_arrivals == *before);
            if waiting.is_empty() {
                break;
            }
        }
        waiting.into_iter().map(|(flow, _)| flow).collect()
    }

    /// Closes the flows of which no packet has arrived for the idle time.
    fn close_idle(&mut self) {
        let idle_ms = u64::from(self.settings.idle_ms);
        for flow in &mut self.flows {
            if flow.upstream.is_some() && self.now - flow.last_arrival_ms >= idle_ms {
                flow.is_closed = true;
            }
        }
    }

    pub fn split_count(&self) -> usize {
        self.flows
            .iter()
            .filter(|f| f.reached_other_upstream)
            .count()
    }

    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    // Time and messages.

    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.deliver();
            self.tick();
            if self.now.is_multiple_of(100) {
                self.step_control_leader();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::Message(from, to, message) => self.receive(&from, &to, message),
                Event::Config(name, config) => self.set_config(&name, config),
                Event::View(name) => self.set_view(&name),
            }
        }
    }

    fn receive(&mut self, from: &Name, to: &Name, message: Message) {
        self.with_machine(to, |machine, context, out| {
            // `Node` also drops messages of VMs that are not in the view.
            let Some(from) = context.view.get(from) else {
                return;
            };
            let load = &mut machine.load;
            match message {
                Message::Flow(message) => {
                    machine.flows.on_message(context, load, from, message, out);
                }
                Message::Load(message) => load.on_message(context, from, message, out),
                _ => {}
            }
        });
    }

    fn set_config(&mut self, name: &Name, config: Arc<Config>) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.frozen_until > self.now {
            let wait = machine.frozen_until - self.now;
            self.schedule(wait, Event::Config(name.clone(), config));
            return;
        }
        if machine.config.index >= config.index {
            return;
        }
        let old = std::mem::replace(&mut machine.config, config);
        machine.is_config_fresh = true;
        let is_out = |domain: &Domain| domain.state == DomainState::Out;
        let domains = machine.config.domains.iter();
        let out = domains.filter(|(_, d)| is_out(d)).map(|(n, _)| n.clone());
        let out: BTreeSet<Name> = out.collect();
        let view_changes = machine.view.out != out;
        let view = Arc::make_mut(&mut machine.view);
        view.out = out;
        view.number += u64::from(view_changes);
        self.with_machine(name, |machine, context, out| {
            machine.load.on_config(context, &old, out);
            machine.flows.on_config(context, &old, out);
            if view_changes {
                machine.load.on_view(context, out);
                machine.flows.on_view(context, out);
            }
        });
    }

    fn set_view(&mut self, name: &Name) {
        if !self.machines.contains_key(name) {
            return;
        }
        let vms = self.reachable(name);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.view.vms == vms {
            return;
        }
        let view = Arc::make_mut(&mut machine.view);
        view.vms = vms;
        view.number += 1;
        self.with_machine(name, |machine, context, out| {
            machine.load.on_view(context, out);
            machine.flows.on_view(context, out);
        });
    }

    fn tick(&mut self) {
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        let announces = self.now.is_multiple_of(1_000);
        for name in names {
            let machine = &self.machines[&name];
            if machine.frozen_until > self.now {
                continue;
            }
            if machine.frozen_until > 0 {
                let machine = self.machines.get_mut(&name).unwrap();
                machine.frozen_until = 0;
                machine.is_config_fresh = false;
            }
            let announced = if announces {
                self.announcements(&name)
            } else {
                Vec::new()
            };
            self.with_machine(&name, |machine, context, out| {
                for announcement in &announced {
                    machine.load.on_announce(context, announcement, out);
                }
                machine.load.on_tick(context, out);
                machine.flows.on_tick(context, &mut machine.load, out);
            });
        }
    }

    /// Returns the announcements of the upstreams whose dispatcher is the given VM.
    fn announcements(&self, vm: &Name) -> Vec<Announcement> {
        let view = &self.machines[vm].view;
        let Some(settings) = self.config.services.get(&service()) else {
            return Vec::new();
        };
        let mine = settings.upstreams.iter().filter(|(_, u)| {
            view.dispatcher(&service(), &u.domain)
                .is_some_and(|s| s.name == *vm)
        });
        mine.map(|(name, u)| Announcement {
            service: service(),
            upstream: name.clone(),
            domain: u.domain.clone(),
            flow_address: u.flow_address,
            request_address: u.request_address,
            slots: u.slots,
            connections: self.connections.get(name).copied().unwrap_or(u.connections),
            incarnation: 1,
            held_flows: 0,
            warmth_percent: 100,
            leaving: false,
        })
        .collect()
    }

    /// Confirms the configuration of every VM, as a control VM does.
    pub fn confirm_configs(&mut self) {
        let index = self.config.index;
        for machine in self.machines.values_mut() {
            if machine.config.index == index {
                machine.is_config_fresh = true;
            }
        }
    }

    fn context<'a>(&self, machine: &'a Machine) -> Context<'a> {
        Context {
            now: Instant::from_ms(self.now),
            view: &machine.view,
            config: &machine.config,
            is_config_fresh: machine.is_config_fresh,
        }
    }

    fn with_machine(
        &mut self,
        name: &Name,
        call: impl FnOnce(&mut Machine, Context<'_>, &mut Vec<Action>),
    ) {
        let now = Instant::from_ms(self.now);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.frozen_until > self.now {
            return;
        }
        let view = machine.view.clone();
        let config = machine.config.clone();
        let context = Context {
            now,
            view: &view,
            config: &config,
            is_config_fresh: machine.is_config_fresh,
        };
        let mut out = Vec::new();
        call(machine, context, &mut out);
        for action in out {
            self.perform(name, action);
        }
    }

    fn perform(&mut self, from: &Name, action: Action) {
        match action {
            Action::Send { to, message } => self.send(from, to, message),
            Action::Forward { to, bytes } => self.deliver_to_upstream(from, to, &bytes),
            Action::Count(counter) => *self.counts.entry(counter).or_default() += 1,
            _ => {}
        }
    }

    fn send(&mut self, from: &Name, to: SocketAddr, message: Message) {
        self.measure_message(from, &message);
        let found = self.machines.values().find(|m| m.vm.address == to);
        let Some(to) = found.map(|m| m.vm.clone()) else {
            return;
        };
        let from_domain = self.machines[from].vm.domain.clone();
        let is_lost = self.rng.random_range(0..100) < self.settings.loss_percent;
        if is_lost || !self.passes(&from_domain, &to.domain) {
            return;
        }
        let delay = self.rng.random_range(1..=self.settings.max_delay_ms);
        self.schedule(delay, Event::Message(from.clone(), to.name, message));
    }

    fn measure_message(&mut self, from: &Name, message: &Message) {
        use policy::flow::Message as F;
        let carried = match message {
            Message::Flow(
                F::Primary { bytes, .. }
                | F::Backup { bytes, .. }
                | F::Dispatcher { bytes, .. }
                | F::Refused { bytes, .. }
                | F::RecordLookup { bytes, .. }
                | F::RecordLookupReply { bytes, .. },
            ) => Some(bytes.0.len()),
            _ => None,
        };
        if carried.is_some() {
            self.relays += 1;
        }
        if !self.settings.measures_bytes {
            return;
        }
        let frame = wire::frame::encode(7, message).unwrap();
        let machine = self.machines.get_mut(from).unwrap();
        match carried {
            Some(packet) => {
                machine.encapsulation_bytes += u64::try_from(frame.len() - packet).unwrap();
            }
            None => {
                let bytes = u64::try_from(frame.len()).unwrap();
                if matches!(message, Message::Flow(_)) {
                    machine.control_bytes += bytes;
                }
                *self.bytes_by_kind.entry(message_kind(message)).or_default() += bytes;
            }
        }
    }

    /// Delivers a packet to an upstream.
    fn deliver_to_upstream(&mut self, from: &Name, to: SocketAddr, bytes: &Blob) {
        if !self.blocked_domain_pairs.is_empty() {
            let number = usize::from(to.port() - FIRST_PORT);
            let upstream = self.upstream_settings(number);
            let from = self.machines[from].vm.domain.clone();
            if !self.passes(&from, &upstream.domain) {
                return;
            }
        }
        let packet = gue::Packet::parse(&bytes.0).unwrap();
        let Some(id) = flow_id(packet.flow.caller) else {
            return;
        };
        let flow = &mut self.flows[id];
        match flow.upstream {
            None if packet.segment == Segment::Open => {
                let number = usize::from(to.port() - FIRST_PORT);
                let domain = domain(number % self.settings.domains);
                let state = self.config.domains.get(&domain).map(|d| d.state);
                flow.upstream = Some(to);
                flow.last_arrival_ms = self.now;
                flow.is_given_up = state == Some(DomainState::Out);
            }
            Some(expected) if expected == to => {
                flow.last_arrival_ms = self.now;
                if packet.segment != Segment::Open {
                    flow.later_arrivals += 1;
                }
            }
            _ => flow.reached_other_upstream = true,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }
}

/// Returns the purpose of a control message.
fn message_kind(message: &Message) -> &'static str {
    use policy::flow::Message as F;
    match message {
        Message::Flow(F::RecordBatch { .. } | F::RecordBatchAck { .. } | F::HandoverDone(_)) => {
            "copies"
        }
        Message::Flow(F::RecordsBackedUp(_)) => "confirmations",
        Message::Flow(F::Exclusion(_) | F::ExclusionAck(_)) => "exclusions",
        Message::Flow(F::Pins { .. } | F::PinsAck { .. }) => "pins",
        Message::Flow(F::SyncRequest { .. } | F::SyncState(_)) => "syncs",
        Message::Flow(F::FlowCounts { .. } | F::ExpiredFlows { .. }) => "counts",
        Message::Flow(_) => "packets",
        _ => "load",
    }
}

fn flow_id(caller: SocketAddr) -> Option<usize> {
    let std::net::IpAddr::V4(ip) = caller.ip() else {
        return None;
    };
    let high = u32::from(ip) - 0x0a00_0000;
    let id = (high << 8) | u32::from(caller.port() - 1_024);
    usize::try_from(id).ok()
}
