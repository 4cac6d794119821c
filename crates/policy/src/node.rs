//! The state machines of one entry VM, combined.

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
    load::{Load, messages::Usage},
    membership::{self, Membership},
    request::Requests,
    time::Instant,
    view::{View, Vm},
};

/// The settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Address on which this VM receives datagrams of other entry VMs.
    pub address: SocketAddr,
    /// Addresses of peers from which this VM learns the other entry VMs.
    pub seeds: Vec<SocketAddr>,
    /// Number that grows with each start of the process.
    pub incarnation: u64,
    /// Seed of the random generators.
    pub seed: u64,
}

impl Settings {
    /// Creates the settings of a VM without peers.
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

/// The state machines of one entry VM.
#[derive(Debug)]
pub struct Node {
    view: View,
    config: Arc<Config>,
    membership: Membership,
    flows: Flows,
    load: Load,
    requests: Requests,
    stopping: bool,
    /// Time at which a control VM or a peer last confirmed that it has no newer configuration.
    confirmed_at: Instant,
    /// Earliest time of the next request for a peer's configuration.
    next_config_request: Instant,
    /// Whether the configuration was confirmed since this process was last frozen.
    is_config_fresh: bool,
    /// Time of the last event.
    last_event_at: Instant,
    /// Time at which this process resumed after the last freeze.
    resumed_at: Instant,
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
    /// For each service, the oldest generation that a flow known to this VM still needs.
    pub needed: BTreeMap<Name, u64>,
    /// Usage of the upstreams whose dispatcher is this VM, by service and upstream name.
    pub upstreams: BTreeMap<Name, BTreeMap<Name, Usage>>,
    /// Number of request records.
    pub request_records: usize,
    /// Total size of the bodies in request records, in bytes.
    pub request_bytes: usize,
    /// Whether this VM can rule out that a request unknown to this VM has run.
    pub informed: bool,
}

/// Minimum time between two requests for a peer's configuration, in milliseconds.
const CONFIG_REQUEST_INTERVAL_MS: u64 = 200;

/// Time after a freeze of this process during which an arriving message may be older than the
/// freeze, in milliseconds.
const MAX_BUFFERED_AGE_MS: u64 = 500;

impl Node {
    /// Creates the state machines of a VM that starts at `now`.
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
            confirmed_at: now,
            next_config_request: now,
            is_config_fresh: true,
            last_event_at: now,
            resumed_at: now,
        }
    }

    /// Returns the configuration by which this VM decides.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the live entry VMs.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Reports whether this VM alone can rule out that a request unknown to this VM has run. If this
    /// VM cannot, a request that is not idempotent is served only if another VM can rule that out.
    #[must_use]
    pub fn has_complete_history(&self, now: Instant) -> bool {
        self.requests.has_complete_history(now, &self.config)
    }

    /// Returns, for each service, the oldest generation that a flow known to this VM still needs.
    #[must_use]
    pub fn needed(&self, now: Instant) -> BTreeMap<Name, u64> {
        let config = self.config.clone();
        self.flows
            .needed(context(now, &self.view, &config, self.is_config_fresh))
    }

    /// Returns the state of this VM for the dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Dump {
        let (request_records, request_bytes) = self.requests.record_count_and_bytes();
        Dump {
            view: self.view.clone(),
            config: Config {
                answers: BTreeMap::new(),
                ..self.config.as_ref().clone()
            },
            confirmed_ms_ago: now.ms_since(self.confirmed_at),
            needed: self.needed(now),
            upstreams: self.load.usage(now),
            request_records,
            request_bytes,
            informed: self.has_complete_history(now),
        }
    }

    /// Reports whether the process may exit after [`Event::Stop`].
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stopping
            && self.flows.is_handed_over()
            && self.load.is_idle()
            && self.requests.is_idle()
    }

    /// Handles one event and appends the resulting actions to `out`, in order.
    ///
    /// Messages that this VM addresses to itself are handled immediately.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let gap_ms = now.ms_since(std::mem::replace(&mut self.last_event_at, now));
        if gap_ms > delivery::LEASE_MS {
            self.is_config_fresh = false;
            self.resumed_at = now;
            self.membership.discard_pending_probe();
        }
        let start = out.len();
        self.handle_event(now, event, out);
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

    fn handle_event(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Config(new) => self.on_config(now, new, out),
            Event::ControlCurrent => self.confirm_maybe_buffered(now),
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
        self.on_membership_change(now, change, None, out);
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
        self.load.on_tick(context, out);
        self.flows.on_tick(context, &mut self.load, out);
        self.requests.on_tick(context, &mut self.load, out);
    }

    fn on_membership_change(
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
            self.request_config(now, from, out);
        } else if change.acknowledged {
            self.confirm(now);
        }
    }

    /// Records that the configuration was confirmed, possibly by a message that was buffered since
    /// before this process was frozen.
    fn confirm_maybe_buffered(&mut self, now: Instant) {
        self.confirmed_at = now;
        self.is_config_fresh |= now.ms_since(self.resumed_at) >= MAX_BUFFERED_AGE_MS;
    }

    /// Records that the configuration was confirmed in answer to a probe of this VM.
    fn confirm(&mut self, now: Instant) {
        self.confirmed_at = now;
        self.is_config_fresh = true;
    }

    /// Requests a peer's newer configuration, at most a few times a second.
    fn request_config(&mut self, now: Instant, from: SocketAddr, out: &mut Vec<Action>) {
        if now < self.next_config_request {
            return;
        }
        self.next_config_request = now.plus_ms(CONFIG_REQUEST_INTERVAL_MS);
        out.push(Action::Send {
            to: from,
            message: Message::WantConfig,
        });
    }

    /// Applies a configuration that is newer than this VM's own, and ignores any other.
    fn on_config(&mut self, now: Instant, new: Arc<Config>, out: &mut Vec<Action>) {
        let is_same_cluster = self.config.cluster == 0 || self.config.cluster == new.cluster;
        if !is_same_cluster || new.index <= self.config.index {
            return;
        }
        let old = std::mem::replace(&mut self.config, new.clone());
        self.confirm_maybe_buffered(now);
        self.membership.set_config_index(new.index);
        let domains_out: BTreeSet<Name> = new
            .domains
            .iter()
            .filter(|(_, domain)| domain.state == DomainState::Out)
            .map(|(name, _)| name.clone())
            .collect();
        let out_changed = domains_out != self.view.out;
        if out_changed {
            self.view.out = domains_out;
            self.view.number += 1;
        }
        let context = context(now, &self.view, &new, self.is_config_fresh);
        self.load.on_config(context, &old, out);
        self.flows.on_config(context, &old, out);
        self.requests.on_config(context, &old, out);
        if out_changed {
            self.on_view(now, out);
        }
    }

    fn on_stop(&mut self, now: Instant, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
        self.flows.on_stop(context, out);
        self.requests.on_stop(context, out);
    }

    fn on_view(&mut self, now: Instant, out: &mut Vec<Action>) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
        self.load.on_view(context, out);
        self.flows.on_view(context, out);
        self.requests.on_view(context, &mut self.load, out);
    }

    /// Forwards an announcement to the dispatcher of the upstream.
    ///
    /// An announcement is forwarded only once, so that two VMs that each consider the other the
    /// dispatcher do not send it back and forth. The upstream announces itself again soon.
    fn on_announce(
        &mut self,
        now: Instant,
        announcement: Announcement,
        hop: Hop,
        out: &mut Vec<Action>,
    ) {
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
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
            self.on_membership_change(now, change, Some(from), out);
            return;
        }
        let Some(vm) = self.view.vms.values().find(|vm| vm.address == from) else {
            out.push(Action::Count(Counter::MessageUnknownPeer));
            return;
        };
        let vm = vm.clone();
        let config = self.config.clone();
        let context = context(now, &self.view, &config, self.is_config_fresh);
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

/// The path by which an announcement reached this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hop {
    /// The upstream sent the announcement to this VM.
    First,
    /// Another entry VM forwarded the announcement to this VM.
    Second,
}

fn context<'a>(
    now: Instant,
    view: &'a View,
    config: &'a Config,
    is_config_fresh: bool,
) -> Context<'a> {
    Context {
        now,
        view,
        config,
        is_config_fresh,
    }
}
