//! Simulation of complete nodes, a control VM, upstreams and callers, on a network with faults.

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

/// Number of entry VMs, two in each of three failure domains.
const VMS: usize = 6;

/// Number of flows opened before the change.
const FLOWS: usize = 60;

/// Time within which an accepted change must be in force for packets and new work, in milliseconds.
const IN_FORCE_TIMEOUT_MS: u64 = 5_000;

/// Time until the fabric learns that a VM started or died, in milliseconds.
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
    /// Events that arrived while the VM was frozen.
    inbox: Vec<Event>,
    stopping: bool,
}

/// Network faults of messages between VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    pub(crate) delay_ms: u64,
    pub(crate) duplicates: f64,
}

/// An action scheduled for a simulated time.
enum Scheduled {
    Tick(Name),
    Deliver(Name, Event),
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
    ClearFaults,
    HealCuts,
}

/// The last heartbeat of a VM to the control VM.
struct Heartbeat {
    at: u64,
    index: u64,
    needed: BTreeMap<Name, u64>,
}

/// The simulated system with its clock, network and recorded violations.
pub(crate) struct World {
    now: u64,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
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
    heartbeats: BTreeMap<Name, Heartbeat>,
    commands: Vec<Entry>,
    silent_until: u64,
    faults: Faults,
    /// Failure domains that are cut off, each with whether the cut is both ways.
    cuts: BTreeMap<usize, bool>,
    /// Time at which the last disturbance ends, in milliseconds.
    disturbed_until: u64,
    /// Time at which the drain of an upstream or the removal of a domain was accepted, by name.
    accepted: BTreeMap<Name, u64>,
    violations: BTreeSet<String>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            scheduled: BTreeMap::new(),
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
            heartbeats: BTreeMap::new(),
            commands: Vec::new(),
            silent_until: 0,
            faults: Faults::default(),
            cuts: BTreeMap::new(),
            disturbed_until: 0,
            accepted: BTreeMap::new(),
            violations: BTreeSet::new(),
        };
        world.found_cluster();
        for number in 0..VMS {
            world.start(vm(number));
        }
        for number in [0, 1, 2, 3, 4, 5, 6, 10, 11, 12] {
            let announced = announcement(number, 1);
            let upstream = announced.upstream.clone();
            world
                .upstreams
                .insert(upstream.clone(), Upstream::new(announced));
            world.schedule(1, Scheduled::Announce(upstream));
        }
        for first in [Scheduled::Control, Scheduled::Call, Scheduled::Open] {
            world.schedule(10, first);
        }
        world
    }

    fn found_cluster(&mut self) {
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

    /// Returns the command that admits an upstream.
    pub(crate) fn admission(number: usize) -> Command {
        let announced = announcement(number, 1);
        Command::Admit {
            service: announced.service.clone(),
            upstream: announced.upstream.clone(),
            announced: announced.admitted(),
        }
    }

    // Operator commands and faults.

    /// Applies an operator command and records its time for later checks.
    pub(crate) fn apply_operator_command(&mut self, command: Command) {
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

    /// Repeats the last command as a second operator who expects the version before that command.
    pub(crate) fn race_last_command(&mut self) {
        let Some(last) = self.commands.last().cloned() else {
            return;
        };
        let stale = Entry {
            operator: "rival".to_owned(),
            expected: Some(self.config.version.saturating_sub(1)),
            ..last
        };
        if self.apply(&stale).is_ok() {
            self.record_violation("both commands of two racing operators were accepted");
        }
    }

    /// Resends the last command, as an operator does who missed the answer.
    pub(crate) fn resend_last_command(&mut self) {
        let Some(last) = self.commands.last().cloned() else {
            return;
        };
        let version = self.config.version;
        if self.apply(&last).is_err() || self.config.version != version {
            self.record_violation(
                "a resent command changed the configuration or got another answer",
            );
        }
    }

    /// Delivers an outdated configuration to every VM, as a lagging control VM does.
    pub(crate) fn deliver_old_configs(&mut self) {
        let older = self.configs.len().saturating_sub(3);
        let old = self.configs[older].clone();
        for name in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.schedule(5, Scheduled::Deliver(name, Event::Config(old.clone())));
        }
    }

    pub(crate) fn kill(&mut self, vm: Name, down_ms: u64) {
        self.vms.remove(&vm);
        self.schedule(FABRIC_LAG_MS, Scheduled::Fabric(vm.clone(), false));
        self.schedule(down_ms, Scheduled::Restart(vm));
        self.extend_disturbance(down_ms);
    }

    pub(crate) fn kill_later(&mut self, vm: Name, after_ms: u64, down_ms: u64) {
        self.schedule(after_ms, Scheduled::Kill(vm, down_ms));
        self.extend_disturbance(after_ms + down_ms);
    }

    pub(crate) fn freeze(&mut self, vm: Name, ms: u64) {
        let until = self.now + ms;
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.frozen_until = until;
        }
        self.extend_disturbance(ms);
    }

    pub(crate) fn cut(&mut self, domain: Name, both_ways: bool, ms: u64) {
        self.cuts.insert(number(&domain), both_ways);
        self.schedule(ms, Scheduled::HealCuts);
        self.extend_disturbance(ms);
    }

    pub(crate) fn inject_network_faults(&mut self, change: impl Fn(&mut Faults), ms: u64) {
        change(&mut self.faults);
        self.schedule(ms, Scheduled::ClearFaults);
        self.extend_disturbance(ms);
    }

    pub(crate) fn silence_control(&mut self, ms: u64) {
        self.silent_until = self.now + ms;
        self.extend_disturbance(ms);
    }

    /// Stops and starts each VM in turn.
    pub(crate) fn restart_all_vms(&mut self) {
        for number in 0..VMS {
            let at = 2_000 * number as u64;
            self.schedule(at, Scheduled::Stop(vm(number)));
        }
        self.extend_disturbance(2_000 * VMS as u64);
    }

    /// Restarts an upstream, which loses its flows and requests.
    pub(crate) fn restart_upstream(&mut self, name: Name) {
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream.flows.clear();
        upstream.running.clear();
        upstream.announced.incarnation += 1;
        // The flows of the upstream were lost in the restart.
        let of_upstream = |flow: &&mut Flow| flow.upstream.as_ref() == Some(&name);
        for flow in self.flows.iter_mut().filter(of_upstream) {
            flow.upstream_lost = true;
        }
        self.extend_disturbance(1_000);
    }

    fn extend_disturbance(&mut self, ms: u64) {
        self.disturbed_until = self.disturbed_until.max(self.now + ms);
    }

    // Traffic.

    pub(crate) fn open_flows(&mut self) {
        for _ in 0..FLOWS {
            self.open_flow();
        }
    }

    fn open_flow(&mut self) {
        let id = self.flows.len();
        self.flows.push(Flow {
            caller: address(3, id, 40_000),
            service: usize::from(id.is_multiple_of(4)),
            upstream: None,
            last_ms: self.now,
            upstream_lost: false,
        });
        let after = self.rng.random_range(1..500);
        self.schedule(after, Scheduled::Continue(id));
    }

    fn continue_flow(&mut self, caller: SocketAddr) {
        let of_caller = |flow: &&Flow| flow.caller == caller && !flow.upstream_lost;
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
        self.send_through_fabric(caller, Event::Packet(packet));
    }

    /// Sends an event through the fabric to a random VM that the fabric considers live and that is
    /// reachable from the caller's failure domain.
    fn send_through_fabric(&mut self, caller: SocketAddr, event: Event) {
        let from = caller_domain(caller);
        let reachable: Vec<Name> = self
            .fabric
            .iter()
            .filter(|vm| self.can_reach(from, domain_of(number(vm))))
            .cloned()
            .collect();
        if let Some(vm) = reachable.choose(&mut self.rng) {
            self.schedule(1, Scheduled::Deliver(vm.clone(), event));
        }
    }

    fn start_call(&mut self) {
        let number = self.calls.len() as u64;
        let service = service(usize::from(number.is_multiple_of(4)));
        let caller = address(4, usize::try_from(number).expect("few calls"), 40_000);
        let call = Call::new(number, caller, service.to_string());
        self.calls.insert(number, call);
        self.send_call(number);
        self.schedule(100, Scheduled::Call);
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
        self.send_through_fabric(caller, event);
        self.schedule(1_200, Scheduled::Repeat(number));
    }

    fn repeat_call(&mut self, number: u64) {
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
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.process(scheduled);
        }
        self.now = end;
    }

    fn schedule(&mut self, after_ms: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + after_ms, self.sequence), scheduled);
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(vm) => self.tick(vm),
            Scheduled::Deliver(vm, event) => self.deliver(&vm, event),
            Scheduled::Control => self.control(),
            Scheduled::Announce(upstream) => self.announce(upstream),
            Scheduled::RunEnds(upstream, run) => self.finish_run(&upstream, run),
            Scheduled::Call => self.start_call(),
            Scheduled::Repeat(number) => self.repeat_call(number),
            Scheduled::Open => {
                self.open_flow();
                self.schedule(500, Scheduled::Open);
            }
            Scheduled::Continue(id) => {
                if let Some(flow) = self.flows.get(id) {
                    self.continue_flow(flow.caller);
                    self.schedule(500, Scheduled::Continue(id));
                }
            }
            Scheduled::Restart(vm) => self.start(vm),
            Scheduled::Kill(vm, down_ms) => self.kill(vm, down_ms),
            Scheduled::Stop(vm) => self.stop(&vm),
            Scheduled::Fabric(vm, is_up) => {
                if is_up {
                    self.fabric.insert(vm);
                } else if !self.vms.contains_key(&vm) {
                    self.fabric.remove(&vm);
                }
            }
            Scheduled::ClearFaults => self.faults = Faults::default(),
            Scheduled::HealCuts => self.cuts.clear(),
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
        let vm_state = Vm {
            node,
            frozen_until: 0,
            inbox: Vec::new(),
            stopping: false,
        };
        self.vms.insert(vm.clone(), vm_state);
        self.schedule(1, Scheduled::Tick(vm.clone()));
        self.schedule(FABRIC_LAG_MS, Scheduled::Fabric(vm, true));
    }

    fn stop(&mut self, vm: &Name) {
        if let Some(stopping) = self.vms.get_mut(vm) {
            stopping.stopping = true;
            self.fabric.remove(vm);
            self.deliver(vm, Event::Stop);
        }
    }

    fn tick(&mut self, vm: Name) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(&vm) else {
            return;
        };
        if state.frozen_until > now {
            let wait = state.frozen_until - now;
            self.schedule(wait, Scheduled::Tick(vm));
            return;
        }
        for event in std::mem::take(&mut state.inbox) {
            self.deliver(&vm, event);
        }
        self.deliver(&vm, Event::Tick);
        let state = &self.vms[&vm];
        if state.stopping && state.node.is_finished() {
            self.deliver(&vm, Event::End);
            self.vms.remove(&vm);
            self.schedule(300, Scheduled::Restart(vm));
            return;
        }
        self.schedule(10, Scheduled::Tick(vm));
    }

    fn deliver(&mut self, vm: &Name, event: Event) {
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
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: &Name, action: Action) {
        match action {
            Action::Send { to, message } => self.send(vm, to, message),
            Action::Forward { to, bytes } => self.forward(vm, to, &bytes),
            Action::Dispatch { to, request } => self.dispatch(vm, to, &request),
            Action::Cancel { to, message_id } => self.cancel(vm, to, message_id),
            Action::Answer { response, .. } => self.answer(response),
            Action::Report(_) | Action::Count(_) => {}
        }
    }

    /// Reports whether datagrams from one failure domain reach another.
    fn can_reach(&self, from: usize, to: usize) -> bool {
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
        if !self.can_reach(domain_of(number(vm)), domain_of(number(&target))) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let after = self.rng.random_range(1..=2 + self.faults.delay_ms);
            let from = vm_address(vm);
            let message = message.clone();
            self.schedule(
                after,
                Scheduled::Deliver(target.clone(), Event::Message { from, message }),
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
            self.schedule(
                1,
                Scheduled::Deliver(vm.clone(), Event::Announce(announced)),
            );
        }
        self.schedule(1_000, Scheduled::Announce(name));
    }

    fn forward(&mut self, vm: &Name, to: SocketAddr, bytes: &Blob) {
        let Some(name) = self.upstream_at(to) else {
            self.record_violation("a packet was sent to an address that belongs to no upstream");
            return;
        };
        if !self.can_reach(domain_of(number(vm)), domain_of(number(&name))) {
            return;
        }
        let packet = gue::Packet::parse(&bytes.0).expect("an unchanged packet");
        let (now, fingerprint) = (self.now, packet.flow.fingerprint());
        let flow = self
            .flows
            .iter_mut()
            .find(|f| f.caller == packet.flow.caller);
        let upstream = self.upstreams.get_mut(&name).expect("an upstream");
        upstream.last_packet_ms = now;
        let is_right_service = upstream.announced.service
            == service(usize::from(packet.flow.service == service_address(1)));
        let Some(flow) = flow.filter(|flow| !flow.upstream_lost) else {
            return;
        };
        let mut fault = (!is_right_service)
            .then(|| "a packet reached an upstream of another service".to_owned());
        if packet.segment == Segment::Open {
            upstream.last_new_work_ms = now;
            upstream.flows.insert(fingerprint);
            let first = flow.upstream.get_or_insert(name.clone());
            if *first != name {
                fault = Some(format!(
                    "flow {} was opened at both {first} and {name}",
                    flow.caller
                ));
            }
        } else if !upstream.flows.contains(&fingerprint) {
            let from = format!("{vm} at {now} ms");
            let opened = flow.upstream.as_ref().map_or("none", Name::as_str);
            fault = Some(format!(
                "packet of flow {} opened at {opened} reached {name}, forwarded by {from}",
                flow.caller
            ));
        }
        flow.last_ms = now;
        if let Some(fault) = fault {
            self.record_violation(&fault);
        }
    }

    fn dispatch(&mut self, vm: &Name, to: SocketAddr, request: &wire::coap::Request) {
        let Some(name) = self.upstream_at(to) else {
            self.record_violation("a request was sent to an address that belongs to no upstream");
            return;
        };
        if !self.can_reach(domain_of(number(vm)), domain_of(number(&name))) {
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
        let is_wrong_service =
            upstream.announced.service.as_str() != self.calls[&body].request.host;
        let Some(run) = upstream.start(vm_address(vm), request) else {
            self.record_violation(&format!(
                "{name} received more requests than it has slots at {} ms",
                self.now
            ));
            return;
        };
        let runs = self.runs.entry(body).or_insert(0);
        *runs += 1;
        if *runs > 1 {
            self.record_violation(&format!("request {body} ran twice"));
        }
        if is_wrong_service {
            self.record_violation("a request reached an upstream of another service");
        }
        self.schedule(span, Scheduled::RunEnds(name, run));
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

    fn finish_run(&mut self, name: &Name, run: u64) {
        let upstream = self.upstreams.get_mut(name).expect("an upstream");
        let address = upstream.announced.request_address;
        let Some((to, response)) = upstream.finish_run(run) else {
            return;
        };
        let vm = self
            .incarnations
            .keys()
            .find(|vm| vm_address(vm) == to)
            .cloned();
        let Some(vm) = vm else { return };
        if self.can_reach(domain_of(number(name)), domain_of(number(&vm))) {
            let event = Event::Reply {
                upstream: address,
                response,
            };
            self.schedule(1, Scheduled::Deliver(vm, event));
        }
    }

    // Callers.

    fn answer(&mut self, response: Response) {
        let token = response
            .token
            .first_chunk::<8>()
            .map(|b| u64::from_be_bytes(*b));
        let Some(call) = token.and_then(|token| self.calls.get_mut(&token)) else {
            self.record_violation("an answer matched no request");
            return;
        };
        if response.code == wire::coap::CHANGED && response.payload != call.request.payload {
            self.record_violation("a caller received the answer to another request");
            return;
        }
        let call = self.calls.get_mut(&token.unwrap_or_default());
        if let Some(call) = call.filter(|call| call.answer.is_none()) {
            call.answer = Some(response);
        }
    }

    // The control VM, in failure domain 0.

    fn control(&mut self) {
        self.schedule(50, Scheduled::Control);
        if self.silent_until > self.now {
            return;
        }
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for name in names {
            self.exchange_with_control(&name);
        }
        self.advance_generations();
    }

    fn exchange_with_control(&mut self, name: &Name) {
        let own_domain = domain_of(number(name));
        let (now, state) = (self.now, &self.vms[name]);
        if state.frozen_until <= now && self.can_reach(own_domain, 0) {
            let heartbeat = Heartbeat {
                at: now,
                index: state.node.config().index,
                needed: state.node.needed(Instant::from_ms(now)),
            };
            self.heartbeats.insert(name.clone(), heartbeat);
        }
        if !self.can_reach(0, own_domain) {
            return;
        }
        let is_current = self.vms[name].node.config().index >= self.config.index;
        let event = match is_current {
            true => Event::ControlCurrent,
            false => Event::Config(self.config.clone()),
        };
        let after = self.rng.random_range(1..60);
        self.schedule(after, Scheduled::Deliver(name.clone(), event));
    }

    /// Activates and retires generations, like the control leader.
    fn advance_generations(&mut self) {
        let now = self.now;
        self.heartbeats
            .retain(|_, heartbeat| now - heartbeat.at <= delivery::LEASE_MS);
        let index = self.config.index;
        if self
            .heartbeats
            .values()
            .any(|heartbeat| heartbeat.index < index)
        {
            return;
        }
        for name in self.config.services.keys().cloned().collect::<Vec<_>>() {
            let Some(command) = self.next_generation_command(&name) else {
                continue;
            };
            let entry = Entry::new(model::command::SYSTEM, format!("step-{now}"), None, command);
            if self.apply(&entry).is_ok() {
                return;
            }
        }
    }

    fn next_generation_command(&self, name: &Name) -> Option<Command> {
        let service = &self.config.services[name];
        let last = service.generations.last()?;
        if last.stage == Stage::Prepared {
            return Some(Command::Activate {
                service: name.clone(),
                generation: last.number,
            });
        }
        let needed = |heartbeat: &Heartbeat| heartbeat.needed.get(name).copied().unwrap_or(0);
        let keep = self.heartbeats.values().map(needed).min()?;
        (keep > service.generations[0].number).then(|| Command::Retire {
            service: name.clone(),
            keep,
        })
    }

    // Invariants.

    fn record_violation(&mut self, what: &str) {
        self.violations.insert(what.to_owned());
    }

    /// Checks the invariants at the end of the run and returns all recorded violations.
    pub(crate) fn check_invariants(mut self) -> Vec<String> {
        self.check_config();
        self.check_flows();
        self.check_requests();
        self.check_drained_and_out();
        self.violations.into_iter().collect()
    }

    fn check_config(&mut self) {
        let index = self.config.index;
        let behind: Vec<String> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.node.config().index != index)
            .map(|(name, vm)| {
                format!(
                    "{name} has configuration {}, not {index}",
                    vm.node.config().index
                )
            })
            .collect();
        self.violations.extend(behind);
        for service in self.config.services.values() {
            if service.generations.last().map(|g| g.stage) != Some(Stage::Active) {
                self.violations
                    .insert("the last generation of a service is not active at the end".to_owned());
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
        for flow in self.flows.iter().filter(|flow| !flow.upstream_lost) {
            let Some(name) = &flow.upstream else {
                if now - flow.last_ms > IN_FORCE_TIMEOUT_MS {
                    self.violations
                        .insert(format!("flow {} was never opened", flow.caller));
                }
                continue;
            };
            let is_out = out.contains(&self.upstreams[name].announced.domain);
            if !is_out && now - flow.last_ms > 3_000 {
                let silent = now - flow.last_ms;
                self.violations.insert(format!(
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
                self.violations
                    .insert(format!("request {number} was refused as not run, but ran"));
            }
            let age = self.now.saturating_sub(created_ms(*number));
            if call.answer.is_none() && (3_000..6_000).contains(&age) {
                self.violations
                    .insert(format!("request {number} got no answer at the end"));
            }
        }
    }

    /// Checks that draining upstreams received no new work, and domains taken out no packets.
    fn check_drained_and_out(&mut self) {
        for (name, at) in &self.accepted {
            let limit = self.disturbed_until.max(*at) + IN_FORCE_TIMEOUT_MS;
            if let Some(upstream) = self.upstreams.get(name) {
                let state = self.config.services[&upstream.announced.service]
                    .upstreams
                    .get(name)
                    .map(|u| u.state);
                let leaves = state != Some(UpstreamState::Admitted);
                if leaves && upstream.last_new_work_ms > limit {
                    self.violations
                        .insert(format!("{name} received new work although it is draining"));
                }
            }
            let of_domain = |u: &&Upstream| u.announced.domain == *name;
            let late = |u: &Upstream| u.last_packet_ms > limit;
            if self.upstreams.values().filter(of_domain).any(late) {
                self.violations
                    .insert(format!("{name} received packets although it was taken out"));
            }
        }
    }
}

/// Returns the failure domain through whose fabric a caller connects.
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
