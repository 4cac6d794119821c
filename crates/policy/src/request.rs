//! Requests: each runs at most once where it is not idempotent, and each caller gets the answer
//! to its own request.
//!
//! - `message`: what VMs tell each other.
//! - `record`: what a VM knows of each request, within bounds.
//! - `home`: the life of a request at its home, from attempt to attempt.
//! - `grant`: how the intent is held before the first attempt.
//! - `answer`: how it ends.
//! - `holder`: what a VM that holds intents of others does, also once they are lost.
//! - `choice`: which steward gets the next attempt.
//!
//! A home answers "not run" only where it knows that no home before it may have run the request;
//! else it says that the outcome is unknown.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    config::Config,
    key::{self, hash, mix},
    name::Name,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wire::coap;

use crate::{
    history::{DEADLINE_GRACE_MS, History, MAX_DEADLINE_MS, max_request_duration_ms},
    io::{Action, Context, Counter},
    load::{self, Load, work::Underway},
    time::Instant,
    view::Vm,
};

mod answer;
mod choice;
mod grant;
mod holder;
mod home;
mod message;
mod record;

pub use message::{AttemptOutcome, Intent, Known, Message};
pub use record::{ANSWER_MS, MAX_BYTES, MAX_RECORDS};

use choice::Gauges;
use record::{Phase, Record, Store};

/// VMs that may pass a request on before one deals with it.
const MAX_HOPS: u8 = 3;

/// Seed of the fingerprint of a request's content.
const CONTENT_SEED: u64 = 0x636f_6e74_656e_7400;

/// Retries that requests may use, in parts of one retry.
const RETRY_COST: u32 = 10;

/// Most retries that are saved up, in parts of one retry.
const RETRY_MAX: u32 = 20 * RETRY_COST;

/// Time to come back that is named where nothing better is known, in milliseconds.
const DEFAULT_RETRY_MS: u32 = 1_000;

/// How a request came here.
#[derive(Debug, Clone, Copy, Default)]
struct Hop {
    /// VMs that have passed it on.
    hops: u8,
    /// Whether this VM deals with it in the place of its home.
    stand_in: bool,
}

/// An attempt of this VM that may be under way.
#[derive(Debug, Clone)]
struct Sent {
    service: Name,
    domain: Name,
    upstream: Option<Name>,
    /// When no upstream is busy with it any longer.
    until: Instant,
}

/// The request machine of one VM.
#[derive(Debug)]
pub struct Requests {
    /// Number of this start of the process; grows with each.
    start: u64,
    /// Makes attempts unique over VMs and starts.
    seed: u64,
    /// Attempts since the start.
    attempts: u64,
    /// What this VM knows of each request.
    store: Store,
    /// What it knows of the stewards.
    gauges: Gauges,
    /// Attempts that may be under way.
    sent: BTreeMap<u64, Sent>,
    /// Earlier views.
    history: History,
    /// Retries that may be made now, in parts of one: each request adds one part.
    retries: u32,
    rng: Pcg64Mcg,
    stopping: bool,
}

impl Default for Requests {
    fn default() -> Self {
        Self::new(0, 0)
    }
}

impl Requests {
    /// Makes the request machine; `start` is larger with each start of the process, and `seed`
    /// differs from VM to VM.
    #[must_use]
    pub fn new(start: u64, seed: u64) -> Self {
        Self {
            start,
            seed: mix(seed, start),
            attempts: 0,
            store: Store::default(),
            gauges: Gauges::default(),
            sent: BTreeMap::new(),
            history: History::default(),
            retries: RETRY_MAX,
            rng: Pcg64Mcg::seed_from_u64(mix(seed, start)),
            stopping: false,
        }
    }

    /// Takes a caller's request.
    pub fn on_request(
        &mut self,
        context: Context<'_>,
        _load: &mut Load,
        caller: SocketAddr,
        request: coap::Request,
        out: &mut Vec<Action>,
    ) {
        self.wake(context, out);
        out.push(Action::Count(Counter::RequestTaken));
        let Some((_, settings)) = find_service(context.config, &request) else {
            out.push(answer(caller, &request, response(coap::NOT_FOUND, None)));
            return;
        };
        let longest = settings.deadline_ms.max(MAX_DEADLINE_MS);
        let named = request.deadline_ms.unwrap_or(settings.deadline_ms);
        let request = coap::Request {
            deadline_ms: Some(named.min(longest)),
            ..request
        };
        self.route(context, caller, request, Hop::default(), out);
    }

    /// Takes a message of another VM, or of this one.
    pub fn on_message(
        &mut self,
        context: Context<'_>,
        _load: &mut Load,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.wake(context, out);
        match message {
            Message::Relay {
                caller,
                request,
                hops,
                stand_in,
            } => self.route(context, caller, request, Hop { hops, stand_in }, out),
            Message::Intent(intent) => self.take_intent(context, from, &intent, out),
            Message::Grant {
                key,
                content,
                known,
                informed,
                covers,
            } => {
                let grant = grant::Grant {
                    known,
                    informed,
                    covers,
                };
                self.take_grant(context, from, &key, content, grant, out);
            }
            Message::Recorded {
                key,
                content,
                response,
            } => self.take_recorded(context, from, key, content, response, out),
            Message::RecordedAck { key, content } => self.take_recorded_ack(&key, content, from),
            Message::Taken {
                attempt,
                key,
                content,
                upstream,
            } => self.take_taken(context, attempt, &key, content, upstream),
            Message::Outcome(outcome) => self.take_outcome(context, from, *outcome, out),
            Message::AskUnderway { service, epoch } => {
                self.answer_steward(context, from, service, epoch, out);
            }
        }
    }

    /// The configuration has become `context.config`; it was `old`.
    pub fn on_config(&mut self, _context: Context<'_>, _old: &Config, _out: &mut Vec<Action>) {}

    /// The view has changed.
    pub fn on_view(&mut self, context: Context<'_>, _load: &mut Load, out: &mut Vec<Action>) {
        self.observe(context);
        self.gauges.forget_lost(context.view);
        self.orphan_lost(context);
        self.leave_lost(context, out);
    }

    /// Time has passed.
    pub fn on_tick(&mut self, context: Context<'_>, _load: &mut Load, out: &mut Vec<Action>) {
        self.wake(context, out);
        self.observe(context);
        while let Some(key) = self.store.pop_due(context.now) {
            self.care_for(context, &key, out);
        }
        self.sent.retain(|_, sent| context.now < sent.until);
    }

    /// This VM stops: it finishes what it has, and homes elsewhere take what is new.
    pub fn on_stop(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {
        self.stopping = true;
    }

    /// Whether no request is under way here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.store.open() == 0
    }

    /// Whether this VM has seen everything for the longest deadline, so that it can vouch alone
    /// that a request which it does not know was not run.
    #[must_use]
    pub fn has_complete_history(&self, now: Instant, config: &Config) -> bool {
        self.history
            .has_complete_history(now, max_request_duration_ms(config))
    }

    /// Records that are kept, and the bytes of their bodies.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.store.len(), self.store.bytes())
    }

    /// Notes the view in force.
    fn observe(&mut self, context: Context<'_>) {
        let longest = max_request_duration_ms(context.config);
        if has_majority(context) {
            self.history.observe(context.now, context.view, longest);
        } else {
            self.history
                .observe_in_minority(context.now, context.view, longest);
        }
    }

    /// Brings a request to the VM that deals with it.
    fn route(
        &mut self,
        context: Context<'_>,
        caller: SocketAddr,
        request: coap::Request,
        hop: Hop,
        out: &mut Vec<Action>,
    ) {
        let key = key::Request {
            caller,
            token: request.token.clone(),
        };
        let repeat = |r: &Record| r.is_repeat(content(&request), body(&request));
        if self.store.get(&key).is_some_and(repeat) {
            self.repeat(context, &key, request, hop, out);
            return;
        }
        let place = key.fingerprint();
        let far = hop.hops >= MAX_HOPS;
        match context.view.home(place) {
            Some(vm) if !context.view.is_me(vm) && !far && !hop.stand_in => {
                let to = vm.name.clone();
                relay(context, &to, caller, request, hop, out);
            }
            _ => match self.stand_in(context, place, &request).filter(|_| !far) {
                Some(to) => {
                    let hop = Hop {
                        stand_in: true,
                        ..hop
                    };
                    relay(context, &to, caller, request, hop, out);
                }
                None => self.begin(context, key, request, out),
            },
        }
    }

    /// The backup, where it has to deal with a request in the place of its home: this VM was
    /// started lately, and alone it could only say that the outcome is unknown.
    fn stand_in(&self, context: Context<'_>, place: u64, request: &coap::Request) -> Option<Name> {
        if request.method.is_idempotent() || self.has_complete_history(context.now, context.config)
        {
            return None;
        }
        let backup = context.view.backup(place)?;
        (!context.view.is_me(backup)).then(|| backup.name.clone())
    }

    /// Handles a copy of a request that this VM has a record of.
    fn repeat(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        request: coap::Request,
        hop: Hop,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Count(Counter::RequestRepeat));
        self.store.update(key, |record| {
            record.message_id = request.message_id;
            record.confirmable = request.confirmable;
        });
        let Some(record) = self.store.get(key) else {
            return;
        };
        match &record.phase {
            Phase::Done(done) => {
                let mut response = done.response.clone();
                let refused = response.code == coap::UNAVAILABLE && record.idempotent;
                // Another home may have run a copy since it was refused here.
                if refused && !self.is_only_home(context, key) {
                    response.code = coap::TIMEOUT;
                }
                out.push(answer(key.caller, &request, response));
            }
            Phase::Held(held) if hop.hops < MAX_HOPS => {
                let owner = held.owner.clone();
                relay(context, &owner, key.caller, request, hop, out);
            }
            _ => {}
        }
    }

    /// Answers a new steward that asks what may be under way, once this VM agrees that it is one.
    fn answer_steward(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: Name,
        epoch: u64,
        out: &mut Vec<Action>,
    ) {
        let dispatcher = context.view.dispatcher(&service, &from.domain);
        if dispatcher.is_none_or(|vm| vm.name != from.name) {
            return;
        }
        let underway = self
            .sent
            .iter()
            .filter(|(_, s)| s.service == service && s.domain == from.domain)
            .map(|(attempt, sent)| Underway {
                attempt: *attempt,
                upstream: sent.upstream.clone(),
                left_ms: u32::try_from(sent.until.ms_since(context.now)).unwrap_or(u32::MAX),
            })
            .collect();
        let message = load::Message::Underway {
            service,
            epoch,
            underway,
        };
        send_load(context, &from.name, message, out);
    }

    /// Handles the gap after this VM was frozen: others may have taken its place meanwhile, so
    /// that what was not dispatched is not dispatched any more.
    fn wake(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        if !self.history.wake(context.now) {
            return;
        }
        let open: Vec<key::Request> = self
            .store
            .iter()
            .filter(|(_, r)| matches!(r.phase, Phase::Granting(_) | Phase::Backoff))
            .map(|(key, _)| key.clone())
            .collect();
        for key in open {
            self.refuse(context, &key, out);
        }
    }
}

/// The service that a request names.
fn find_service<'a>(
    config: &'a Config,
    request: &coap::Request,
) -> Option<(&'a Name, &'a model::config::Service)> {
    let address = coap::host_address(request);
    config.services.iter().find(|(name, service)| {
        let by_name = name.as_str() == request.host;
        let port_fits = request
            .port
            .is_none_or(|port| port == service.address.port());
        (by_name && port_fits) || address == Some(service.address)
    })
}

/// Fingerprint of a request's content without its message id.
fn body(request: &coap::Request) -> u64 {
    let method = request.method as u64;
    let mut print = mix(CONTENT_SEED, method);
    print = mix(print, u64::from(request.port.unwrap_or_default()));
    print = mix(print, hash(1, request.host.as_bytes()));
    print = mix(print, hash(2, request.path.as_bytes()));
    mix(print, hash(3, &request.payload.0))
}

/// Fingerprint of a request's content, message id included.
fn content(request: &coap::Request) -> u64 {
    mix(body(request), u64::from(request.message_id))
}

/// A response without body; the token is set where it is sent.
fn response(code: u8, retry_after_ms: Option<u32>) -> coap::Response {
    coap::Response {
        token: Vec::new(),
        code,
        max_age_s: retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1)),
        payload: wire::blob::Blob::default(),
    }
}

/// Answers one copy of a request.
fn answer(caller: SocketAddr, request: &coap::Request, response: coap::Response) -> Action {
    Action::Answer {
        caller,
        response: coap::Response {
            token: request.token.clone(),
            ..response
        },
        acknowledges: request.confirmable.then_some(request.message_id),
    }
}

fn relay(
    context: Context<'_>,
    to: &Name,
    caller: SocketAddr,
    request: coap::Request,
    hop: Hop,
    out: &mut Vec<Action>,
) {
    let message = Message::Relay {
        caller,
        request,
        hops: hop.hops + 1,
        stand_in: hop.stand_in,
    };
    send(context, to, message, out);
}

/// Sends a message to the request machine of a VM.
fn send(context: Context<'_>, to: &Name, message: Message, out: &mut Vec<Action>) {
    if let Some(to) = context.address(to) {
        out.push(Action::Send {
            to,
            message: crate::io::Message::Request(message),
        });
    }
}

/// Sends a message to the load machine of a VM.
fn send_load(context: Context<'_>, to: &Name, message: load::Message, out: &mut Vec<Action>) {
    if let Some(to) = context.address(to) {
        out.push(Action::Send {
            to,
            message: crate::io::Message::Load(message),
        });
    }
}

/// Whether this VM's side of a network partition may run requests that are not idempotent: it
/// reaches more than half of the failure domains, or half of them with the first by name.
///
/// Domains that were taken out count too, so that two sides with different configurations never
/// both have a majority.
fn has_majority(context: Context<'_>) -> bool {
    let domains = &context.config.domains;
    let reached = domains
        .keys()
        .filter(|d| context.view.has_live_vm_in(d))
        .count();
    let first = domains.keys().next();
    let has_first = first.is_none_or(|d| context.view.has_live_vm_in(d));
    reached * 2 > domains.len() || (reached * 2 == domains.len() && has_first)
}

/// The live VMs that are or were home or backup of a key, but for this one.
fn holders(context: Context<'_>, history: &History, place: u64) -> BTreeSet<Name> {
    let mut holders = BTreeSet::new();
    let now = [context.view.home(place), context.view.backup(place)];
    holders.extend(now.into_iter().flatten().map(|vm| vm.name.clone()));
    for pair in history.replica_pairs(place) {
        holders.extend(pair.names().cloned());
    }
    holders.retain(|vm| *vm != context.view.me && context.view.get(vm).is_some());
    holders
}

/// A record at its start.
fn record(request: &coap::Request, service: &Name, deadline: Instant, phase: Phase) -> Record {
    Record {
        content: content(request),
        body: body(request),
        service: service.clone(),
        idempotent: request.method.is_idempotent(),
        message_id: request.message_id,
        confirmable: request.confirmable,
        deadline,
        phase,
        holders: BTreeSet::new(),
        request: Some(Box::new(request.clone())),
        tried: BTreeSet::new(),
        attempts: 0,
        may_have_run: false,
        retry_after_ms: None,
        wake: None,
    }
}

/// When no upstream is busy any longer with a request of this deadline.
fn over_at(deadline: Instant) -> Instant {
    deadline.plus_ms(DEADLINE_GRACE_MS)
}
