//! The machines of one entry VM together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use model::{
    announce::Announcement,
    config::{Config, DomainState},
    delivery,
    key::{hash, mix},
    name::Name,
};

use serde::Serialize;

use crate::{
    flow::Flows,
    io::{Action, Context, Counter, Event, Message},
    load::{Load, work::Usage},
    membership::{self, Membership},
    request::Requests,
    time::Instant,
    view::{View, Vm},
};

/// What a VM is told of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes datagrams of other entry VMs.
    pub address: SocketAddr,
    /// Addresses of peers to ask for the others.
    pub seeds: Vec<SocketAddr>,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Seed of the random generators.
    pub seed: u64,
}

impl Settings {
    /// Settings of a VM without peers.
    #[must_use]
    pub fn new(name: Name, domain: Name, address: SocketAddr) -> Self {
        Self {
            name,
            domain,
            address,
            seeds: Vec::new(),
            incarnation: 1,
            seed: 0,
        }
    }
}

/// The machines of one entry VM.
#[derive(Debug)]
pub struct Node {
    view: View,
    config: Arc<Config>,
    membership: Membership,
    flows: Flows,
    load: Load,
    requests: Requests,
    stopping: bool,
    /// When a control VM or a peer last confirmed that it has no newer configuration.
    confirmed: Instant,
    /// When a peer may next be asked for its configuration.
    next_ask: Instant,
    /// Whether the configuration was confirmed since this process last stood still.
    fresh: bool,
    /// When the last event came.
    last_event: Instant,
    /// When this process last stood still until.
    woke: Instant,
}

/// The state of one entry VM, as the dump shows it.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The live entry VMs.
    pub view: View,
    /// The configuration by which this VM decides, without the answers to operators.
    pub config: Config,
    /// Time since a control VM or a peer confirmed the configuration, in milliseconds.
    pub confirmed_ms_ago: u64,
    /// For each service, the oldest generation that a flow known here still needs.
    pub needed: BTreeMap<Name, u64>,
    /// How the upstreams that this VM is the steward of are used, by service and name.
    pub upstreams: BTreeMap<Name, BTreeMap<Name, Usage>>,
    /// Records of requests.
    pub request_records: usize,
    /// Bytes of bodies in records of requests.
    pub request_bytes: usize,
    /// Whether this VM vouches that a request which it does not know was not run.
    pub informed: bool,
}

/// Time between two requests for a peer's configuration, in milliseconds.
const ASK_CONFIG_MS: u64 = 200;

/// Time after this process stood still in which messages may be older, in milliseconds.
const BUFFERED_MS: u64 = 500;

impl Node {
    /// Starts the machines.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        let seed = mix(settings.seed, hash(0, settings.name.as_str().as_bytes()));
        let me = Vm::new(settings.name.clone(), settings.domain, settings.address);
        Self {
            config: Arc::new(Config::default()),
            membership: Membership::new(&me, settings.incarnation, settings.seeds, settings.seed),
            view: View::new(me),
            flows: Flows::default(),
            load: Load::new(settings.incarnation),
            requests: Requests::new(settings.incarnation, seed),
            stopping: false,
            confirmed: now,
            next_ask: now,
            fresh: true,
            last_event: now,
            woke: now,
        }
    }

    /// The configuration by which this VM decides.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The live entry VMs.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether this VM can vouch alone that a request which it does not know was not run. Until
    /// then it serves requests that are not idempotent only where another VM vouches.
    #[must_use]
    pub fn has_complete_history(&self, now: Instant) -> bool {
        self.requests.has_complete_history(now, &self.config)
    }

    /// For each service, the oldest generation that a flow known here still needs.
    #[must_use]
    pub fn needed(&self, now: Instant) -> BTreeMap<Name, u64> {
        let config = self.config.clone();
        self.flows
            .needed(context(now, &self.view, &config, self.fresh))
    }

    /// The state of this VM, for the dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Dump {
        let (request_records, request_bytes) = self.requests.size();
        Dump {
            view: self.view.clone(),
            config: Config {
                answers: BTreeMap::new(),
                ..self.config.as_ref().clone()
            },
            confirmed_ms_ago: now.ms_since(self.confirmed),
            needed: self.needed(now),
            upstreams: self.load.usage(now),
            request_records,
            request_bytes,
            informed: self.has_complete_history(now),
        }
    }

    /// Whether the process may exit after [`Event::Stop`].
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stopping
            && self.flows.is_handed_over()
            && self.load.is_idle()
            && self.requests.is_idle()
    }

    /// Handles one event; what is to be done is added to `out`, in order.
    ///
    /// Messages to this VM itself are handled at once.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let still_ms = now.ms_since(std::mem::replace(&mut self.last_event, now));
        if still_ms > delivery::LEASE_MS {
            self.fresh = false;
            self.woke = now;
            self.membership.discard_pending_probe();
        }
        let start = out.len();
        self.handle_one(now, event, out);
        let Some(me) = self.view.get(&self.view.me).map(|vm| vm.address) else {
            return;
        };
        let mut next = start;
        while next < out.len() {
            match &out[next] {
                Action::Send { to, .. } if *to == me => {}
                _ => {
                    next += 1;
                    continue;
                }
            }
            if let Action::Send { message, .. } = out.remove(next) {
                self.on_message(now, me, message, out);
            }
        }
    }

    fn handle_one(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Config(new) => self.on_config(now, new, out),
            Event::ControlCurrent => self.confirm_buffered(now),
            Event::Announce(announcement) => {
                out.push(Action::Report(announcement.clone()));
                self.on_announce(now, announcement, Hop::First, out);
            }
            Event::Packet(packet) => {
                self.flows.on_packet(context, &mut self.load, packet, out);
            }
            Event::Request { caller, request } => {
                self.requests
                    .on_request(context, &mut self.load, caller, request, out);
            }
            Event::Reply { upstream, response } => {
                self.load.on_reply(context, upstream, response, out);
            }
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::End => self.membership.announce_exit(out),
            Event::Stop => {
                self.stopping = true;
                self.membership.announce_leave(&mut self.view, out);
                self.on_view(now, out);
                self.on_stop(now, out);
            }
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let change = self.membership.on_tick(now, &mut self.view, out);
        self.on_membership(now, change, None, out);
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        self.load.on_tick(context, out);
        self.flows.on_tick(context, &mut self.load, out);
        self.requests.on_tick(context, &mut self.load, out);
    }

    fn on_membership(
        &mut self,
        now: Instant,
        change: membership::Change,
        from: Option<SocketAddr>,
        out: &mut Vec<Action>,
    ) {
        if change.view {
            self.on_view(now, out);
        }
        let (Some(from), Some(index)) = (from, change.peer_config_index) else {
            return;
        };
        if index > self.config.index {
            self.ask_config(now, from, out);
        } else if change.acknowledged {
            self.confirm(now);
        }
    }

    /// Notes that the configuration was confirmed, maybe by a message that had waited in a buffer
    /// since before this process stood still.
    fn confirm_buffered(&mut self, now: Instant) {
        self.confirmed = now;
        self.fresh |= now.ms_since(self.woke) >= BUFFERED_MS;
    }

    /// Notes that the configuration was confirmed in answer to a question.
    fn confirm(&mut self, now: Instant) {
        self.confirmed = now;
        self.fresh = true;
    }

    /// Asks a peer for its newer configuration, a few times a second at most.
    fn ask_config(&mut self, now: Instant, from: SocketAddr, out: &mut Vec<Action>) {
        if now < self.next_ask {
            return;
        }
        self.next_ask = now.plus_ms(ASK_CONFIG_MS);
        out.push(Action::Send {
            to: from,
            message: Message::WantConfig,
        });
    }

    /// Takes a configuration that is newer than this VM's own; an older one changes nothing.
    fn on_config(&mut self, now: Instant, new: Arc<Config>, out: &mut Vec<Action>) {
        let same_cluster = self.config.cluster == 0 || self.config.cluster == new.cluster;
        if !same_cluster || new.index <= self.config.index {
            return;
        }
        let old = std::mem::replace(&mut self.config, new.clone());
        self.confirm_buffered(now);
        self.membership.set_config_index(new.index);
        let excluded: BTreeSet<Name> = new
            .domains
            .iter()
            .filter(|(_, domain)| domain.state == DomainState::Out)
            .map(|(name, _)| name.clone())
            .collect();
        let view_changes = excluded != self.view.out;
        if view_changes {
            self.view.out = excluded;
            self.view.number += 1;
        }
        let context = context(now, &self.view, &new, self.fresh);
        self.load.on_config(context, &old, out);
        self.flows.on_config(context, &old, out);
        self.requests.on_config(context, &old, out);
        if view_changes {
            self.on_view(now, out);
        }
    }

    fn on_stop(&mut self, now: Instant, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        self.flows.on_stop(context, out);
        self.requests.on_stop(context, out);
    }

    fn on_view(&mut self, now: Instant, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        self.load.on_view(context, out);
        self.flows.on_view(context, out);
        self.requests.on_view(context, &mut self.load, out);
    }

    /// Passes an announcement on to the steward of the upstream.
    ///
    /// It is passed on once: two VMs that each take the other for the steward must not send it to
    /// and fro, and the upstream announces itself again soon.
    fn on_announce(
        &mut self,
        now: Instant,
        announcement: Announcement,
        hop: Hop,
        out: &mut Vec<Action>,
    ) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        let dispatcher = self
            .view
            .dispatcher(&announcement.service, &announcement.domain);
        match dispatcher {
            Some(vm) if self.view.is_me(vm) => self.load.on_announce(context, &announcement, out),
            Some(vm) if hop == Hop::First => out.push(Action::Send {
                to: vm.address,
                message: Message::Announce(announcement),
            }),
            Some(_) | None => {}
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if let Message::Membership(message) = message {
            let view = &mut self.view;
            let change = self.membership.on_message(now, view, from, message, out);
            self.on_membership(now, change, Some(from), out);
            return;
        }
        let Some(vm) = self.view.vms.values().find(|vm| vm.address == from) else {
            out.push(Action::Count(Counter::MessageUnknownPeer));
            return;
        };
        let vm = vm.clone();
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.fresh);
        match message {
            Message::Membership(_) => {}
            Message::Flow(message) => {
                self.flows
                    .on_message(context, &mut self.load, &vm, message, out);
            }
            Message::Load(message) => self.load.on_message(context, &vm, message, out),
            Message::Request(message) => {
                self.requests
                    .on_message(context, &mut self.load, &vm, message, out);
            }
            Message::Announce(announcement) => {
                self.on_announce(now, announcement, Hop::Second, out);
            }
            Message::WantConfig => out.push(Action::Send {
                to: from,
                message: Message::Config(config),
            }),
            Message::Config(new) => self.on_config(now, new, out),
        }
    }
}

/// How far an announcement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hop {
    /// The upstream sent it to this VM.
    First,
    /// Another entry VM passed it on.
    Second,
}

fn context<'a>(now: Instant, view: &'a View, config: &'a Config, fresh: bool) -> Context<'a> {
    Context {
        now,
        view,
        config,
        fresh,
    }
}
