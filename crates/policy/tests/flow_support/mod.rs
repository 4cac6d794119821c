//! An in-memory network of flow machines with a fabric, callers and a configuration, seeded.

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
    pub fresh: bool,
    /// Stands still until then.
    pub frozen_until: u64,
    /// Bytes of messages that carry no packet, and what is around the packets of those that do.
    pub control_bytes: u64,
    pub wrap_bytes: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Flow {
    /// Upstream that got the opening packet.
    pub upstream: Option<SocketAddr>,
    /// Later packets that arrived there.
    pub arrived: u32,
    /// When the last packet arrived there, in milliseconds.
    pub arrived_at: u64,
    /// Whether any packet reached another upstream.
    pub is_split: bool,
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
    pub delay_ms: u64,
    /// Longest delay of a configuration or view on its way to a VM, in milliseconds.
    pub uneven_ms: u64,
    /// Whether bytes of messages are counted.
    pub measures: bool,
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
            delay_ms: 5,
            uneven_ms: 300,
            measures: false,
        }
    }
}

enum Later {
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
    /// Pairs of failure domains between which nothing passes.
    pub cuts: BTreeSet<(Name, Name)>,
    /// Connections that upstreams announce, where not the usual number.
    pub connections: BTreeMap<Name, u32>,
    /// Bytes of control messages by kind.
    pub kinds: BTreeMap<&'static str, u64>,
    /// Packets handed over by the fabric, and relays between VMs that they caused.
    pub packets: u64,
    pub relays: u64,
    pub activates: bool,
    queue: BTreeMap<(u64, u64), Later>,
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
            cuts: BTreeSet::new(),
            connections: BTreeMap::new(),
            kinds: BTreeMap::new(),
            packets: 0,
            relays: 0,
            activates: true,
            queue: BTreeMap::new(),
            sequence: 0,
            stopped: BTreeSet::new(),
            hidden: BTreeSet::new(),
            settings,
        };
        net.found();
        for number in 0..net.settings.vms {
            net.add_machine(number);
        }
        net.spread_views(0);
        for number in 0..net.settings.upstreams {
            net.admit(number);
        }
        net.run(2_000);
        net
    }

    fn found(&mut self) {
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
            fresh: true,
            frozen_until: 0,
            control_bytes: 0,
            wrap_bytes: 0,
            vm: vm.clone(),
        };
        self.stopped.remove(&vm.name);
        self.machines.insert(vm.name.clone(), machine);
        let config = Arc::new(self.config.clone());
        self.push(0, Later::Config(vm.name, config));
    }

    // Configuration.

    pub fn apply(&mut self, command: Command) {
        let index = self.config.index + 1;
        let entry = Entry::new("test", format!("request-{index}"), None, command);
        self.config.apply(index, &entry).unwrap();
        let config = Arc::new(self.config.clone());
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        for name in names {
            let delay = self.rng.random_range(0..=self.settings.uneven_ms);
            self.push(delay, Later::Config(name, config.clone()));
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

    /// The steps that the control leader takes.
    fn control(&mut self) {
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
        if let Some(generation) = prepared.filter(|_| all_current && self.activates) {
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

    fn spread_views(&mut self, most_ms: u64) {
        let names: Vec<Name> = self.machines.keys().cloned().collect();
        for name in &names {
            let delay = self.rng.random_range(0..=most_ms);
            self.push(delay, Later::View(name.clone()));
        }
    }

    /// What the membership protocol would find from one VM.
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
        !self.cuts.contains(&(from.clone(), to.clone()))
    }

    pub fn kill(&mut self, vm: &Name) {
        self.machines.remove(vm);
        self.spread_views(self.settings.uneven_ms);
    }

    pub fn join(&mut self, number: usize) {
        self.add_machine(number);
        self.spread_views(self.settings.uneven_ms);
    }

    /// Starts a VM anew so quickly that no other sees it leave.
    pub fn restart(&mut self, vm: &Name) {
        let number = (0..64).find(|n| self::vm(*n) == *vm).unwrap();
        self.add_machine(number);
        self.push(50, Later::View(vm.clone()));
    }

    pub fn stop(&mut self, vm: &Name) {
        self.stopped.insert(vm.clone());
        self.with(vm, |machine, context, out| {
            machine.flows.on_stop(context, out);
        });
        self.spread_views(self.settings.uneven_ms);
    }

    pub fn cut(&mut self, number: usize) {
        for other in 0..self.settings.domains {
            if other != number {
                self.cuts.insert((domain(number), domain(other)));
                self.cuts.insert((domain(other), domain(number)));
            }
        }
        self.spread_views(self.settings.uneven_ms);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.spread_views(self.settings.uneven_ms);
    }

    pub fn freeze(&mut self, vm: &Name, ms: u64) {
        let until = self.now + ms;
        if let Some(machine) = self.machines.get_mut(vm) {
            machine.frozen_until = until;
        }
    }

    /// Lets the other VMs count a frozen one as gone, or as live again.
    pub fn hide(&mut self, vm: &Name, is_hidden: bool) {
        if is_hidden {
            self.hidden.insert(vm.clone());
        } else {
            self.hidden.remove(vm);
        }
        self.spread_views(0);
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

    /// Home of a flow, as the first VM sees it.
    pub fn home(&self, flow: usize) -> Name {
        let view = &self.machines.values().next().unwrap().view;
        view.home(Self::fingerprint(flow)).unwrap().name.clone()
    }

    /// Backup of a flow, as the first VM sees it.
    pub fn backup(&self, flow: usize) -> Name {
        let view = &self.machines.values().next().unwrap().view;
        view.backup(Self::fingerprint(flow)).unwrap().name.clone()
    }

    /// Hands a packet to any live VM.
    pub fn hand(&mut self, flow: usize, segment: Segment) {
        let live: Vec<Name> = self
            .machines
            .values()
            .filter(|m| m.frozen_until <= self.now)
            .map(|m| m.vm.name.clone())
            .collect();
        let at = self.rng.random_range(0..live.len());
        self.hand_to(&live[at].clone(), flow, segment);
    }

    pub fn hand_to(&mut self, vm: &Name, flow: usize, segment: Segment) {
        let packet = self.packet(flow, segment);
        self.packets += 1;
        self.with(vm, |machine, context, out| {
            machine
                .flows
                .on_packet(context, &mut machine.load, packet, out);
        });
    }

    /// Opens flows, and repeats the opening packet until an upstream has it.
    pub fn open(&mut self, count: usize) -> std::ops::Range<usize> {
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
                self.hand(flow, Segment::Open);
            }
            self.run(RETRY_MS);
        }
        opened
    }

    /// Sends a later packet of each flow, again where it got lost; returns the flows whose packet
    /// never arrived, though they were opened and not given up.
    pub fn continue_flows(&mut self, flows: impl IntoIterator<Item = usize>) -> Vec<usize> {
        let live = |f: &Flow| f.upstream.is_some() && !f.is_given_up && !f.is_closed;
        let mut waiting: Vec<(usize, u32)> = flows
            .into_iter()
            .filter(|f| live(&self.flows[*f]))
            .map(|f| (f, self.flows[f].arrived))
            .collect();
        for _ in 0..8 {
            self.close_idle();
            waiting.retain(|(flow, _)| !self.flows[*flow].is_closed);
            for (flow, _) in &waiting {
                self.hand(*flow, Segment::Later);
            }
            self.run(300);
            waiting.retain(|(flow, before)| self.flows[*flow].arrived == *before);
            if waiting.is_empty() {
                break;
            }
        }
        waiting.into_iter().map(|(flow, _)| flow).collect()
    }

    /// Closes the flows of which no packet has arrived for the idle time: they have ended.
    fn close_idle(&mut self) {
        let idle_ms = u64::from(self.settings.idle_ms);
        for flow in &mut self.flows {
            if flow.upstream.is_some() && self.now - flow.arrived_at >= idle_ms {
                flow.is_closed = true;
            }
        }
    }

    pub fn split(&self) -> usize {
        self.flows.iter().filter(|f| f.is_split).count()
    }

    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    // Time and messages.

    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.deliver();
            self.tick();
            if self.now.is_multiple_of(100) {
                self.control();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Later::Message(from, to, message) => self.receive(&from, &to, message),
                Later::Config(name, config) => self.configure(&name, config),
                Later::View(name) => self.set_view(&name),
            }
        }
    }

    fn receive(&mut self, from: &Name, to: &Name, message: Message) {
        self.with(to, |machine, context, out| {
            // As `Node` does, a message of a VM that is not in the view is dropped.
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

    fn configure(&mut self, name: &Name, config: Arc<Config>) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.frozen_until > self.now {
            let wait = machine.frozen_until - self.now;
            self.push(wait, Later::Config(name.clone(), config));
            return;
        }
        if machine.config.index >= config.index {
            return;
        }
        let old = std::mem::replace(&mut machine.config, config);
        machine.fresh = true;
        let is_out = |domain: &Domain| domain.state == DomainState::Out;
        let domains = machine.config.domains.iter();
        let out = domains.filter(|(_, d)| is_out(d)).map(|(n, _)| n.clone());
        let out: BTreeSet<Name> = out.collect();
        let view_changes = machine.view.out != out;
        let view = Arc::make_mut(&mut machine.view);
        view.out = out;
        view.number += u64::from(view_changes);
        self.with(name, |machine, context, out| {
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
        self.with(name, |machine, context, out| {
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
                machine.fresh = false;
            }
            let announced = if announces {
                self.announcements(&name)
            } else {
                Vec::new()
            };
            self.with(&name, |machine, context, out| {
                for announcement in &announced {
                    machine.load.on_announce(context, announcement, out);
                }
                machine.load.on_tick(context, out);
                machine.flows.on_tick(context, &mut machine.load, out);
            });
        }
    }

    /// Announcements of the upstreams that a VM is steward of.
    fn announcements(&self, vm: &Name) -> Vec<Announcement> {
        let view = &self.machines[vm].view;
        let Some(settings) = self.config.services.get(&service()) else {
            return Vec::new();
        };
        let mine = settings.upstreams.iter().filter(|(_, u)| {
            view.steward(&service(), &u.domain)
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
    pub fn confirm(&mut self) {
        let index = self.config.index;
        for machine in self.machines.values_mut() {
            if machine.config.index == index {
                machine.fresh = true;
            }
        }
    }

    fn context<'a>(&self, machine: &'a Machine) -> Context<'a> {
        Context {
            now: Instant::from_ms(self.now),
            view: &machine.view,
            config: &machine.config,
            fresh: machine.fresh,
        }
    }

    fn with(
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
            fresh: machine.fresh,
        };
        let mut out = Vec::new();
        call(machine, context, &mut out);
        for action in out {
            self.act(name, action);
        }
    }

    fn act(&mut self, from: &Name, action: Action) {
        match action {
            Action::Send { to, message } => self.send(from, to, message),
            Action::Forward { to, bytes } => self.arrive(from, to, &bytes),
            Action::Count(counter) => *self.counts.entry(counter).or_default() += 1,
            _ => {}
        }
    }

    fn send(&mut self, from: &Name, to: SocketAddr, message: Message) {
        self.measure(from, &message);
        let found = self.machines.values().find(|m| m.vm.address == to);
        let Some(to) = found.map(|m| m.vm.clone()) else {
            return;
        };
        let from_domain = self.machines[from].vm.domain.clone();
        let is_lost = self.rng.random_range(0..100) < self.settings.loss_percent;
        if is_lost || !self.passes(&from_domain, &to.domain) {
            return;
        }
        let delay = self.rng.random_range(1..=self.settings.delay_ms);
        self.push(delay, Later::Message(from.clone(), to.name, message));
    }

    fn measure(&mut self, from: &Name, message: &Message) {
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
        if !self.settings.measures {
            return;
        }
        let frame = wire::frame::encode(7, message).unwrap();
        let machine = self.machines.get_mut(from).unwrap();
        match carried {
            Some(packet) => {
                machine.wrap_bytes += u64::try_from(frame.len() - packet).unwrap();
            }
            None => {
                let bytes = u64::try_from(frame.len()).unwrap();
                if matches!(message, Message::Flow(_)) {
                    machine.control_bytes += bytes;
                }
                *self.kinds.entry(kind(message)).or_default() += bytes;
            }
        }
    }

    /// A packet arrives at an upstream.
    fn arrive(&mut self, from: &Name, to: SocketAddr, bytes: &Blob) {
        if !self.cuts.is_empty() {
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
                flow.arrived_at = self.now;
                flow.is_given_up = state == Some(DomainState::Out);
            }
            Some(expected) if expected == to => {
                flow.arrived_at = self.now;
                if packet.segment != Segment::Open {
                    flow.arrived += 1;
                }
            }
            _ => flow.is_split = true,
        }
    }

    fn push(&mut self, delay: u64, later: Later) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), later);
    }
}

/// What a control message is for.
fn kind(message: &Message) -> &'static str {
    use policy::flow::Message as F;
    match message {
        Message::Flow(F::RecordBatch { .. } | F::RecordBatchAck { .. } | F::HandoverDone(_)) => {
            "copies"
        }
        Message::Flow(F::RecordsBackedUp(_)) => "confirmations",
        Message::Flow(F::Exclusion(_) | F::ExclusionAck(_)) => "marks",
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
