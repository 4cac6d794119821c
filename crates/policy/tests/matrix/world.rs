//! Whole nodes, fakes of control VMs, upstreams and callers, and a network with faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::{Config, DomainState, Service, Stage, UpstreamState},
    delivery, key,
    name::Name,
};
use policy::{
    io::{Action, Event, Message, Packet},
    node::{Node, Settings},
    time::Instant,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use wire::{
    blob::Blob,
    coap::Response,
    gue::{self, Segment},
};

use crate::actors::{Call, Flow, Upstream};

/// VMs, two in each of three failure domains.
const VMS: usize = 6;

/// Flows that are open before the change.
const FLOWS: usize = 60;

/// Time in which an accepted change must be in force for packets and new work, in milliseconds.
const FEW_SECONDS_MS: u64 = 5_000;

/// Time until the fabric knows of a VM that died, in milliseconds.
const FABRIC_LAG_MS: u64 = 300;

pub(crate) fn vm(number: usize) -> Name {
    name(format!("vm-{}", number % VMS))
}

pub(crate) fn domain(number: usize) -> Name {
    name(format!("domain-{number}"))
}

pub(crate) fn service(number: usize) -> Name {
    name(format!("service-{number}"))
}

pub(crate) fn upstream(number: usize) -> Name {
    name(format!("up-{number}"))
}

fn name(text: impl AsRef<str>) -> Name {
    Name::new(text).expect("a valid name")
}

fn number(name: &Name) -> usize {
    let digits = name.as_str().rsplit('-').next().expect("a number");
    digits.parse().expect("a number")
}

fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let low = u8::try_from(number % 250).expect("a small number");
    let high = u8::try_from(number / 250).expect("a small number");
    SocketAddr::from(([10, net, high, low], port))
}

fn vm_address(vm: &Name) -> SocketAddr {
    address(1, number(vm), 7_000)
}

fn service_address(number: usize) -> SocketAddr {
    address(9, number, 443)
}

fn domain_of(number: usize) -> usize {
    number % 3
}

/// An entry VM.
struct Vm {
    node: Node,
    frozen_until: u64,
    /// What arrived while it was frozen.
    inbox: Vec<Event>,
    stopping: bool,
}

/// What the network does to messages between VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    pub(crate) delay_ms: u64,
    pub(crate) duplicates: f64,
}

/// What comes at its time.
enum Due {
    Tick(Name),
    Arrive(Name, Event),
    Control,
    Announce(Name),
    RunEnds(Name, u64),
    Call,
    Repeat(u64),
    Open,
    Continue(usize),
    Restart(Name),
    Kill(Name, u64),
    Stop(Name),
    Fabric(Name, bool),
    Calm,
    Heal,
}

/// What a VM last told the control VM.
struct Beat {
    at: u64,
    index: u64,
    needed: BTreeMap<Name, u64>,
}

/// Everything.
pub(crate) struct World {
    now: u64,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    rng: Pcg64Mcg,
    vms: BTreeMap<Name, Vm>,
    incarnations: BTreeMap<Name, u64>,
    fabric: BTreeSet<Name>,
    upstreams: BTreeMap<Name, Upstream>,
    flows: Vec<Flow>,
    calls: BTreeMap<u64, Call>,
    runs: BTreeMap<u64, u32>,
    config: Arc<Config>,
    configs: Vec<Arc<Config>>,
    beats: BTreeMap<Name, Beat>,
    commands: Vec<Entry>,
    silent_until: u64,
    faults: Faults,
    /// Domains that are cut off; whether both ways.
    cuts: BTreeMap<usize, bool>,
    /// Since when nothing has disturbed the system.
    calm_since: u64,
    /// When a drain or a domain's leaving was accepted.
    accepted: BTreeMap<Name, u64>,
    broken: BTreeSet<String>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            due: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            vms: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            fabric: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            flows: Vec::new(),
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            config: Arc::new(Config::default()),
            configs: Vec::new(),
            beats: BTreeMap::new(),
            commands: Vec::new(),
            silent_until: 0,
            faults: Faults::default(),
            cuts: BTreeMap::new(),
            calm_since: 0,
            accepted: BTreeMap::new(),
            broken: BTreeSet::new(),
        };
        world.found();
        for number in 0..VMS {
            world.start(vm(number));
        }
        for number in [0, 1, 2, 3, 4, 5, 6, 10, 11, 12] {
            let announced = announcement(number, 1);
            let upstream = announced.upstream.clone();
            world
                .upstreams
                .insert(upstream.clone(), Upstream::new(announced));
            world.push(1, Due::Announce(upstream));
        }
        for first in [Due::Control, Due::Call, Due::Open] {
            world.push(10, first);
        }
        world
    }

    fn found(&mut self) {
        self.commit(Command::Found { cluster: 7 });
        for number in 0..3 {
            self.commit(Command::PutDomain {
                name: domain(number),
            });
        }
        for number in 0..2 {
            let address = service_address(number);
            let name = service(number);
            self.commit(Command::PutService {
                name,
                service: Service::at(address),
            });
        }
        for number in [0, 1, 2, 3, 4, 5, 10, 11, 12] {
            self.commit(Self::admission(number));
        }
    }

    /// The command that admits an upstream.
    pub(crate) fn admission(number: usize) -> Command {
        let announced = announcement(number, 1);
        Command::Admit {
            service: announced.service.clone(),
            upstream: announced.upstream.clone(),
            announced: announced.admitted(),
        }
    }

    // What operators, faults and scripts do.

    /// Runs an operator's command.
    pub(crate) fn operate(&mut self, command: Command) {
        match &command {
            Command::Drain { upstream, .. } => {
                self.accepted.insert(upstream.clone(), self.now);
            }
            Command::DomainOut { name } => {
                self.accepted.insert(name.clone(), self.now);
            }
            Command::DomainIn { name } => {
                self.accepted.remove(name);
            }
            _ => {}
        }
        self.commit(command);
    }

    fn commit(&mut self, command: Command) {
        let request = format!("request-{}", self.commands.len());
        let entry = Entry::new("operator", request, None, command);
        let outcome = self.apply(&entry);
        if outcome.is_ok() {
            self.commands.push(entry);
        }
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), String> {
        let mut next = self.config.as_ref().clone();
        let outcome = next.apply(next.index + 1, entry);
        self.config = Arc::new(next);
        self.configs.push(self.config.clone());
        outcome.map_err(|e| e.to_string())
    }

    /// A second operator races the last command with the version that was in force before it.
    pub(crate) fn race(&mut self) {
        let Some(last) = self.commands.last().cloned() else {
            return;
        };
        let stale = Entry {
            operator: "rival".to_owned(),
            expected: Some(self.config.version.saturating_sub(1)),
            ..last
        };
        if self.apply(&stale).is_ok() {
            self.break_now("both racing operators won");
        }
    }

    /// The operator missed the answer to the last command and sends it again.
    pub(crate) fn resend_last(&mut self) {
        let Some(last) = self.commands.last().cloned() else {
            return;
        };
        let version = self.config.version;
        if self.apply(&last).is_err() || self.config.version != version {
            self.break_now("a resend changed something or got another answer");
        }
    }

    /// Every VM gets an outdated configuration, as from a lagging control VM.
    pub(crate) fn deliver_old_configs(&mut self) {
        let older = self.configs.len().saturating_sub(3);
        let old = self.configs[older].clone();
        for name in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.push(5, Due::Arrive(name, Event::Config(old.clone())));
        }
    }

    pub(crate) fn kill(&mut self, vm: Name, down_ms: u64) {
        self.vms.remove(&vm);
        self.push(FABRIC_LAG_MS, Due::Fabric(vm.clone(), false));
        self.push(down_ms, Due::Restart(vm));
        self.disturbed(down_ms);
    }

    pub(crate) fn kill_later(&mut self, vm: Name, after_ms: u64, down_ms: u64) {
        self.push(after_ms, Due::Kill(vm, down_ms));
        self.disturbed(after_ms + down_ms);
    }

    pub(crate) fn freeze(&mut self, vm: Name, ms: u64) {
        let until = self.now + ms;
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.frozen_until = until;
        }
        self.disturbed(ms);
    }

    pub(crate) fn cut(&mut self, domain: Name, both_ways: bool, ms: u64) {
        self.cuts.insert(number(&domain), both_ways);
        self.push(ms, Due::Heal);
        self.disturbed(ms);
    }

    pub(crate) fn disturb(&mut self, change: impl Fn(&mut Faults), ms: u64) {
        change(&mut self.faults);
        self.push(ms, Due::Calm);
        self.disturbed(ms);
    }

    pub(crate) fn silence_control(&mut self, ms: u64) {
        self.silent_until = self.now + ms;
        self.disturbed(ms);
    }

    /// Stops and starts each VM in turn.
    pub(crate) fn restart_all(&mut self) {
        for number in 0..VMS {
            let at = 2_000 * number as u64;
            self.push(at, Due::Stop(vm(number)));
        }
        self.disturbed(2_000 * VMS as u64);
    }

    /// An upstream loses everything and comes back cold.
    pub(crate) fn restart_upstream(&mut self, name: Name) {
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream.flows.clear();
        upstream.running.clear();
        upstream.announced.incarnation += 1;
        // Its flows ended with it.
        let its = |flow: &&mut Flow| flow.upstream.as_ref() == Some(&name);
        for flow in self.flows.iter_mut().filter(its) {
            flow.ended = true;
        }
        self.disturbed(1_000);
    }

    fn disturbed(&mut self, ms: u64) {
        self.calm_since = self.calm_since.max(self.now + ms);
    }

    // Traffic.

    pub(crate) fn open_flows(&mut self) {
        for _ in 0..FLOWS {
            self.open();
        }
    }

    fn open(&mut self) {
        let id = self.flows.len();
        self.flows.push(Flow {
            caller: address(3, id, 40_000),
            service: usize::from(id.is_multiple_of(4)),
            upstream: None,
            last_ms: self.now,
            ended: false,
        });
        let after = self.rng.random_range(1..500);
        self.push(after, Due::Continue(id));
    }

    fn continue_flow(&mut self, caller: SocketAddr) {
        let of_caller = |flow: &&Flow| flow.caller == caller && !flow.ended;
        let Some(flow) = self.flows.iter().find(of_caller) else {
            return;
        };
        let is_open = flow.upstream.is_some();
        let segment = if is_open {
            Segment::Later
        } else {
            Segment::Open
        };
        let service = service_address(flow.service);
        let bytes = Blob::from(gue::build(caller, service, segment, 1, b"feed"));
        let packet = Packet {
            flow: key::Flow { caller, service },
            segment,
            bytes,
        };
        self.spray(caller, Event::Packet(packet));
    }

    /// The fabric hands an event to any VM that it believes in and can reach from the caller, who
    /// is in one of the failure domains.
    fn spray(&mut self, caller: SocketAddr, event: Event) {
        let from = caller_domain(caller);
        let all: Vec<Name> = self
            .fabric
            .iter()
            .filter(|vm| self.passes(from, domain_of(number(vm))))
            .cloned()
            .collect();
        if let Some(vm) = all.choose(&mut self.rng) {
            self.push(1, Due::Arrive(vm.clone(), event));
        }
    }

    fn call(&mut self) {
        let number = self.calls.len() as u64;
        let service = service(usize::from(number.is_multiple_of(4)));
        let caller = address(4, usize::try_from(number).expect("few calls"), 40_000);
        let call = Call::new(number, caller, service.to_string());
        self.calls.insert(number, call);
        self.send_call(number);
        self.push(100, Due::Call);
    }

    fn send_call(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let caller = call.caller;
        let event = Event::Request {
            caller,
            request: call.request.clone(),
        };
        self.spray(caller, event);
        self.push(1_200, Due::Repeat(number));
    }

    fn repeat(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.answer.is_none() && call.repeats < 3 {
            call.repeats += 1;
            self.send_call(number);
        }
    }

    // Time.

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            self.take(due);
        }
        self.now = end;
    }

    fn push(&mut self, after_ms: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + after_ms, self.sequence), due);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Tick(vm) => self.tick(vm),
            Due::Arrive(vm, event) => self.arrive(&vm, event),
            Due::Control => self.control(),
            Due::Announce(upstream) => self.announce(upstream),
            Due::RunEnds(upstream, run) => self.end_run(&upstream, run),
            Due::Call => self.call(),
            Due::Repeat(number) => self.repeat(number),
            Due::Open => {
                self.open();
                self.push(500, Due::Open);
            }
            Due::Continue(id) => {
                if let Some(flow) = self.flows.get(id) {
                    self.continue_flow(flow.caller);
                    self.push(500, Due::Continue(id));
                }
            }
            Due::Restart(vm) => self.start(vm),
            Due::Kill(vm, down_ms) => self.kill(vm, down_ms),
            Due::Stop(vm) => self.stop(&vm),
            Due::Fabric(vm, is_up) => {
                if is_up {
                    self.fabric.insert(vm);
                } else if !self.vms.contains_key(&vm) {
                    self.fabric.remove(&vm);
                }
            }
            Due::Calm => self.faults = Faults::default(),
            Due::Heal => self.cuts.clear(),
        }
    }

    // Entry VMs.

    fn start(&mut self, vm: Name) {
        if self.vms.contains_key(&vm) {
            return;
        }
        let incarnation = self.incarnations.entry(vm.clone()).or_insert(0);
        *incarnation += 1;
        let domain = domain(domain_of(number(&vm)));
        let settings = Settings {
            seeds: vec![address(1, 0, 7_000), address(1, 1, 7_000)],
            incarnation: *incarnation + self.now,
            seed: self.rng.random(),
            ..Settings::new(vm.clone(), domain, vm_address(&vm))
        };
        let node = Node::new(settings, Instant::from_ms(self.now));
        let fresh = Vm {
            node,
            frozen_until: 0,
            inbox: Vec::new(),
            stopping: false,
        };
        self.vms.insert(vm.clone(), fresh);
        self.push(1, Due::Tick(vm.clone()));
        self.push(FABRIC_LAG_MS, Due::Fabric(vm, true));
    }

    fn stop(&mut self, vm: &Name) {
        if let Some(stopping) = self.vms.get_mut(vm) {
            stopping.stopping = true;
            self.fabric.remove(vm);
            self.arrive(vm, Event::Stop);
        }
    }

    fn tick(&mut self, vm: Name) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(&vm) else {
            return;
        };
        if state.frozen_until > now {
            let wait = state.frozen_until - now;
            self.push(wait, Due::Tick(vm));
            return;
        }
        for event in std::mem::take(&mut state.inbox) {
            self.arrive(&vm, event);
        }
        self.arrive(&vm, Event::Tick);
        let state = &self.vms[&vm];
        if state.stopping && state.node.is_finished() {
            self.arrive(&vm, Event::End);
            self.vms.remove(&vm);
            self.push(300, Due::Restart(vm));
            return;
        }
        self.push(10, Due::Tick(vm));
    }

    fn arrive(&mut self, vm: &Name, event: Event) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        if state.frozen_until > now {
            state.inbox.push(event);
            return;
        }
        let mut out = Vec::new();
        state.node.handle(Instant::from_ms(now), event, &mut out);
        for action in out {
            self.act(vm, action);
        }
    }

    fn act(&mut self, vm: &Name, action: Action) {
        match action {
            Action::Send { to, message } => self.send(vm, to, message),
            Action::Forward { to, bytes } => self.forward(vm, to, &bytes),
            Action::Dispatch { to, request } => self.dispatch(vm, to, &request),
            Action::Cancel { to, message_id } => self.cancel(vm, to, message_id),
            Action::Answer { response, .. } => self.answer(response),
            Action::Report(_) | Action::Count(_) => {}
        }
    }

    /// Whether a datagram from one failure domain reaches another.
    fn passes(&self, from: usize, to: usize) -> bool {
        if from == to {
            return true;
        }
        let leaves = !self.cuts.contains_key(&from);
        let enters = self.cuts.get(&to) != Some(&true);
        leaves && enters
    }

    fn send(&mut self, vm: &Name, to: SocketAddr, message: Message) {
        let names: Vec<&Name> = self.incarnations.keys().collect();
        let Some(target) = names
            .into_iter()
            .find(|name| vm_address(name) == to)
            .cloned()
        else {
            return;
        };
        if !self.passes(domain_of(number(vm)), domain_of(number(&target))) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let after = self.rng.random_range(1..=2 + self.faults.delay_ms);
            let from = vm_address(vm);
            let message = message.clone();
            self.push(
                after,
                Due::Arrive(target.clone(), Event::Message { from, message }),
            );
        }
    }

    // Upstreams.

    fn upstream_at(&self, to: SocketAddr) -> Option<Name> {
        let at =
            |u: &&Upstream| u.announced.flow_address == to || u.announced.request_address == to;
        self.upstreams
            .values()
            .find(at)
            .map(|u| u.announced.upstream.clone())
    }

    fn announce(&mut self, name: Name) {
        let announced = self.upstreams[&name].announced.clone();
        let near: Vec<Name> = self
            .fabric
            .iter()
            .filter(|vm| domain(domain_of(number(vm))) == announced.domain)
            .cloned()
            .collect();
        if let Some(vm) = near.choose(&mut self.rng) {
            self.push(1, Due::Arrive(vm.clone(), Event::Announce(announced)));
        }
        self.push(1_000, Due::Announce(name));
    }

    fn forward(&mut self, vm: &Name, to: SocketAddr, bytes: &Blob) {
        let Some(name) = self.upstream_at(to) else {
            self.break_now("a packet went to no upstream");
            return;
        };
        if !self.passes(domain_of(number(vm)), domain_of(number(&name))) {
            return;
        }
        let packet = gue::Packet::parse(&bytes.0).expect("an unchanged packet");
        let (now, print) = (self.now, packet.flow.fingerprint());
        let flow = self
            .flows
            .iter_mut()
            .find(|f| f.caller == packet.flow.caller);
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream.last_packet_ms = now;
        let serves = upstream.announced.service
            == service(usize::from(packet.flow.service == service_address(1)));
        let Some(flow) = flow.filter(|flow| !flow.ended) else {
            return;
        };
        let mut fault = (!serves).then(|| "a packet reached another service".to_owned());
        if packet.segment == Segment::Open {
            upstream.last_new_work_ms = now;
            upstream.flows.insert(print);
            let first = flow.upstream.get_or_insert(name.clone());
            if *first != name {
                fault = Some(format!(
                    "flow {} was opened at {first} and {name}",
                    flow.caller
                ));
            }
        } else if !upstream.flows.contains(&print) {
            let from = format!("{vm} at {now} ms");
            let opened = flow.upstream.as_ref().map_or("none", Name::as_str);
            fault = Some(format!(
                "flow {} of {opened} reached {name} by {from}",
                flow.caller
            ));
        }
        flow.last_ms = now;
        if let Some(fault) = fault {
            self.break_now(&fault);
        }
    }

    fn dispatch(&mut self, vm: &Name, to: SocketAddr, request: &wire::coap::Request) {
        let Some(name) = self.upstream_at(to) else {
            self.break_now("a request went to no upstream");
            return;
        };
        if !self.passes(domain_of(number(vm)), domain_of(number(&name))) {
            return;
        }
        let body = request
            .payload
            .0
            .first_chunk::<8>()
            .map(|b| u64::from_be_bytes(*b));
        let body = body.expect("a number");
        let span = self.rng.random_range(30..90);
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream.last_new_work_ms = self.now;
        let wrong = upstream.announced.service.as_str() != self.calls[&body].request.host;
        let Some(run) = upstream.start(vm_address(vm), request) else {
            self.break_now(&format!(
                "{name} got more requests than its slots at {} ms",
                self.now
            ));
            return;
        };
        let runs = self.runs.entry(body).or_insert(0);
        *runs += 1;
        if *runs > 1 {
            self.break_now(&format!("request {body} ran twice"));
        }
        if wrong {
            self.break_now("a request reached another service");
        }
        self.push(span, Due::RunEnds(name, run));
    }

    fn cancel(&mut self, vm: &Name, to: SocketAddr, message_id: u16) {
        let Some(name) = self.upstream_at(to) else {
            return;
        };
        let from = vm_address(vm);
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream
            .running
            .retain(|_, run| run.message_id != message_id || run.from != from);
    }

    fn end_run(&mut self, name: &Name, run: u64) {
        let upstream = self.upstreams.get_mut(name).expect("an upstream");
        let address = upstream.announced.request_address;
        let Some((to, response)) = upstream.end(run) else {
            return;
        };
        let vm = self
            .incarnations
            .keys()
            .find(|vm| vm_address(vm) == to)
            .cloned();
        let Some(vm) = vm else { return };
        if self.passes(domain_of(number(name)), domain_of(number(&vm))) {
            let event = Event::Reply {
                upstream: address,
                response,
            };
            self.push(1, Due::Arrive(vm, event));
        }
    }

    // Callers.

    fn answer(&mut self, response: Response) {
        let token = response
            .token
            .first_chunk::<8>()
            .map(|b| u64::from_be_bytes(*b));
        let Some(call) = token.and_then(|token| self.calls.get_mut(&token)) else {
            self.break_now("an answer to no request");
            return;
        };
        if response.code == wire::coap::CHANGED && response.payload != call.request.payload {
            self.break_now("a caller got another request's answer");
            return;
        }
        let call = self.calls.get_mut(&token.unwrap_or_default());
        if let Some(call) = call.filter(|call| call.answer.is_none()) {
            call.answer = Some(response);
        }
    }

    // The control VM, in failure domain 0.

    fn control(&mut self) {
        self.push(50, Due::Control);
        if self.silent_until > self.now {
            return;
        }
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for name in names {
            self.serve_stream(&name);
        }
        self.step();
    }

    fn serve_stream(&mut self, name: &Name) {
        let home = domain_of(number(name));
        let (now, state) = (self.now, &self.vms[name]);
        if state.frozen_until <= now && self.passes(home, 0) {
            let beat = Beat {
                at: now,
                index: state.node.config().index,
                needed: state.node.needed(Instant::from_ms(now)),
            };
            self.beats.insert(name.clone(), beat);
        }
        if !self.passes(0, home) {
            return;
        }
        let is_current = self.vms[name].node.config().index >= self.config.index;
        let event = match is_current {
            true => Event::ControlCurrent,
            false => Event::Config(self.config.clone()),
        };
        let after = self.rng.random_range(1..60);
        self.push(after, Due::Arrive(name.clone(), event));
    }

    /// Activates and retires generations, as the control leader does.
    fn step(&mut self) {
        let now = self.now;
        self.beats
            .retain(|_, beat| now - beat.at <= delivery::LEASE_MS);
        let index = self.config.index;
        if self.beats.values().any(|beat| beat.index < index) {
            return;
        }
        for name in self.config.services.keys().cloned().collect::<Vec<_>>() {
            let Some(command) = self.due_step(&name) else {
                continue;
            };
            let entry = Entry::new(model::command::SYSTEM, format!("step-{now}"), None, command);
            if self.apply(&entry).is_ok() {
                return;
            }
        }
    }

    fn due_step(&self, name: &Name) -> Option<Command> {
        let service = &self.config.services[name];
        let last = service.generations.last()?;
        if last.stage == Stage::Prepared {
            return Some(Command::Activate {
                service: name.clone(),
                generation: last.number,
            });
        }
        let needed = |beat: &Beat| beat.needed.get(name).copied().unwrap_or(0);
        let keep = self.beats.values().map(needed).min()?;
        (keep > service.generations[0].number).then(|| Command::Retire {
            service: name.clone(),
            keep,
        })
    }

    // Verdict.

    fn break_now(&mut self, what: &str) {
        self.broken.insert(what.to_owned());
    }

    /// Checks what must hold at the end, and says what was broken.
    pub(crate) fn finish(mut self) -> Vec<String> {
        self.check_config();
        self.check_flows();
        self.check_requests();
        self.check_leavers();
        self.broken.into_iter().collect()
    }

    fn check_config(&mut self) {
        let index = self.config.index;
        let behind: Vec<String> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.node.config().index != index)
            .map(|(name, vm)| format!("{name} is at {}, not {index}", vm.node.config().index))
            .collect();
        self.broken.extend(behind);
        for service in self.config.services.values() {
            if service.generations.last().map(|g| g.stage) != Some(Stage::Active) {
                self.broken
                    .insert("a generation is not active at the end".to_owned());
            }
        }
    }

    fn check_flows(&mut self) {
        let now = self.now;
        let out: Vec<Name> = self
            .config
            .domains
            .iter()
            .filter(|(_, d)| d.state == DomainState::Out)
            .map(|(name, _)| name.clone())
            .collect();
        for flow in self.flows.iter().filter(|flow| !flow.ended) {
            let Some(name) = &flow.upstream else {
                if now - flow.last_ms > FEW_SECONDS_MS {
                    self.broken
                        .insert(format!("flow {} was never opened", flow.caller));
                }
                continue;
            };
            let given_up = out.contains(&self.upstreams[name].announced.domain);
            if !given_up && now - flow.last_ms > 3_000 {
                let silent = now - flow.last_ms;
                self.broken.insert(format!(
                    "flow {} of {name} stalled for {silent} ms",
                    flow.caller
                ));
            }
        }
    }

    fn check_requests(&mut self) {
        let created_ms = |number: u64| 10 + number * 100;
        for (number, call) in &self.calls {
            let ran = self.runs.contains_key(number);
            if call.is_refused() && ran {
                self.broken
                    .insert(format!("request {number} was refused as not run, but ran"));
            }
            let age = self.now.saturating_sub(created_ms(*number));
            if call.answer.is_none() && (3_000..6_000).contains(&age) {
                self.broken
                    .insert(format!("request {number} got no answer at the end"));
            }
        }
    }

    /// Leaving upstreams get no new work, and domains that are out no packet.
    fn check_leavers(&mut self) {
        for (name, at) in &self.accepted {
            let limit = self.calm_since.max(*at) + FEW_SECONDS_MS;
            if let Some(upstream) = self.upstreams.get(name) {
                let state = self.config.services[&upstream.announced.service]
                    .upstreams
                    .get(name)
                    .map(|u| u.state);
                let leaves = state != Some(UpstreamState::Admitted);
                if leaves && upstream.last_new_work_ms > limit {
                    self.broken.insert(format!("draining {name} got new work"));
                }
            }
            let of_domain = |u: &&Upstream| u.announced.domain == *name;
            let late = |u: &Upstream| u.last_packet_ms > limit;
            if self.upstreams.values().filter(of_domain).any(late) {
                self.broken
                    .insert(format!("{name}, which is out, got packets"));
            }
        }
    }
}

/// Failure domain at whose fabric a caller is.
fn caller_domain(caller: SocketAddr) -> usize {
    match caller.ip() {
        std::net::IpAddr::V4(ip) => domain_of(usize::from(ip.octets()[3])),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn announcement(number: usize, incarnation: u64) -> Announcement {
    Announcement {
        service: service(usize::from(number >= 10)),
        upstream: upstream(number),
        domain: domain(domain_of(number)),
        flow_address: address(2, number, 6_081),
        request_address: address(2, number, 5_683),
        slots: 3,
        connections: 2_000,
        incarnation,
        held_flows: 0,
        warmth_percent: 100,
        leaving: false,
    }
}
