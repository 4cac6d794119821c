//! Requests: a request that is not idempotent runs at most once, and each caller gets the answer to
//! its own request.
//!
//! - `message`: messages between the request state machines of two VMs, and from dispatchers.
//! - `record`: the bounded store of what a VM knows of each request.
//! - `primary`: the life of a request at its primary, from attempt to attempt.
//! - `intent`: how the intent is replicated to other VMs before the first attempt.
//! - `answer`: how a request is answered, refused or given up.
//! - `intent_holder`: what a VM does with the intents that it holds for other primaries.
//! - `dispatcher_choice`: which dispatcher gets the next attempt.
//!
//! A primary answers "not run" only where it knows that no earlier primary may have run the
//! request; otherwise it answers that the outcome is unknown.

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
    load::{self, Load, messages::InFlightAttempt},
    time::Instant,
    view::Vm,
};

mod answer;
mod dispatcher_choice;
mod intent;
mod intent_holder;
mod message;
mod primary;
mod record;

pub use message::{AttemptOutcome, Intent, IntentStatus, Message};
pub use record::{ANSWER_RETENTION_MS, MAX_BODY_BYTES, MAX_RECORDS};

use dispatcher_choice::DispatcherLoads;
use record::{Phase, Record, Store};

/// Times that VMs may relay a request before the receiving VM processes it.
const MAX_HOPS: u8 = 3;

/// Seed of the fingerprint of a request's content.
const CONTENT_SEED: u64 = 0x636f_6e74_656e_7400;

/// Cost of one retry, in units of the retry budget; each request adds one unit.
const RETRY_COST: u32 = 10;

/// Upper bound of the retry budget, in its units.
const MAX_RETRY_BUDGET: u32 = 20 * RETRY_COST;

/// Retry-after time of a refusal if no dispatcher has given one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u32 = 1_000;

/// How a request reached this VM.
#[derive(Debug, Clone, Copy, Default)]
struct RelayInfo {
    /// Times that VMs have relayed the request.
    hops: u8,
    /// Whether this VM, as backup, processes the request in place of its primary.
    at_backup: bool,
}

/// An attempt sent by this VM that may be in flight.
#[derive(Debug, Clone)]
struct SentAttempt {
    service: Name,
    domain: Name,
    upstream: Option<Name>,
    /// When the attempt no longer keeps a slot of any upstream busy.
    until: Instant,
}

/// The request state machine of one VM.
#[derive(Debug)]
pub struct Requests {
    /// Number of this start of the process; each start has a larger one.
    start_number: u64,
    /// Seed that makes attempt ids unique across VMs and starts.
    seed: u64,
    /// Attempts made since the process started.
    attempts: u64,
    /// Records of all requests known to this VM.
    store: Store,
    /// Load of the dispatchers, as reported to this VM.
    dispatcher_loads: DispatcherLoads,
    /// Attempts that may be in flight, by attempt id.
    sent_attempts: BTreeMap<u64, SentAttempt>,
    /// Earlier membership views.
    history: History,
    /// Units available for retries: each request adds one, each retry takes [`RETRY_COST`].
    retry_budget: u32,
    rng: Pcg64Mcg,
    stopping: bool,
}

impl Default for Requests {
    fn default() -> Self {
        Self::new(0, 0)
    }
}

impl Requests {
    /// Creates the state machine. `start_number` is larger with each start of the process, and
    /// `seed` differs from VM to VM.
    #[must_use]
    pub fn new(start_number: u64, seed: u64) -> Self {
        Self {
            start_number,
            seed: mix(seed, start_number),
            attempts: 0,
            store: Store::default(),
            dispatcher_loads: DispatcherLoads::default(),
            sent_attempts: BTreeMap::new(),
            history: History::default(),
            retry_budget: MAX_RETRY_BUDGET,
            rng: Pcg64Mcg::seed_from_u64(mix(seed, start_number)),
            stopping: false,
        }
    }

    /// Handles a request from a caller.
    pub fn on_request(
        &mut self,
        context: Context<'_>,
        _load: &mut Load,
        caller: SocketAddr,
        request: coap::Request,
        out: &mut Vec<Action>,
    ) {
        self.handle_freeze(context, out);
        out.push(Action::Count(Counter::RequestTaken));
        let Some((_, settings)) = find_service(context.config, &request) else {
            out.push(build_answer(
                caller,
                &request,
                empty_response(coap::NOT_FOUND, None),
            ));
            return;
        };
        let max_deadline_ms = settings.deadline_ms.max(MAX_DEADLINE_MS);
        let requested_ms = request.deadline_ms.unwrap_or(settings.deadline_ms);
        let request = coap::Request {
            deadline_ms: Some(requested_ms.min(max_deadline_ms)),
            ..request
        };
        self.route(context, caller, request, RelayInfo::default(), out);
    }

    /// Handles a message from another VM or from this VM itself.
    pub fn on_message(
        &mut self,
        context: Context<'_>,
        _load: &mut Load,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.handle_freeze(context, out);
        match message {
            Message::Relay {
                caller,
                request,
                hops,
                at_backup,
            } => self.route(context, caller, request, RelayInfo { hops, at_backup }, out),
            Message::Intent(intent) => self.handle_intent(context, from, &intent, out),
            Message::IntentReply {
                key,
                content_fingerprint,
                status,
                has_complete_history,
                always_responsible,
            } => {
                let reply = intent::IntentReply {
                    status,
                    has_complete_history,
                    always_responsible,
                };
                self.handle_intent_reply(context, from, &key, content_fingerprint, reply, out);
            }
            Message::RecordAnswer {
                key,
                content_fingerprint,
                response,
            } => self.handle_record_answer(context, from, key, content_fingerprint, response, out),
            Message::RecordAnswerAck {
                key,
                content_fingerprint,
            } => self.handle_record_answer_ack(&key, content_fingerprint, from),
            Message::AttemptAccepted {
                attempt,
                key,
                content_fingerprint,
                upstream,
            } => {
                self.handle_attempt_accepted(context, attempt, &key, content_fingerprint, upstream)
            }
            Message::Outcome(outcome) => self.handle_outcome(context, from, *outcome, out),
            Message::QueryInFlight { service, epoch } => {
                self.answer_in_flight_query(context, from, service, epoch, out);
            }
        }
    }

    /// Handles a change of the configuration from `old` to `context.config`; records need no
    /// update.
    pub fn on_config(&mut self, _context: Context<'_>, _old: &Config, _out: &mut Vec<Action>) {}

    /// Handles a change of the membership view.
    pub fn on_view(&mut self, context: Context<'_>, _load: &mut Load, out: &mut Vec<Action>) {
        self.observe_view(context);
        self.dispatcher_loads.remove_lost(context.view);
        self.mark_orphaned(context);
        self.recover_from_lost_vms(context, out);
    }

    /// Processes all records that are due.
    pub fn on_tick(&mut self, context: Context<'_>, _load: &mut Load, out: &mut Vec<Action>) {
        self.handle_freeze(context, out);
        self.observe_view(context);
        while let Some(key) = self.store.pop_due(context.now) {
            self.process_due(context, &key, out);
        }
        self.sent_attempts
            .retain(|_, sent| context.now < sent.until);
    }

    /// Handles the stop of this VM: it finishes its open requests, and other primaries process new
    /// ones.
    pub fn on_stop(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {
        self.stopping = true;
    }

    /// Reports whether this VM has no open request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.store.open_count() == 0
    }

    /// Reports whether this VM has a complete history: it has run without a gap for the longest
    /// time a request may be in flight, so it can rule out that a request without a record here
    /// has run.
    #[must_use]
    pub fn has_complete_history(&self, now: Instant, config: &Config) -> bool {
        self.history
            .has_complete_history(now, max_request_duration_ms(config))
    }

    /// Returns the number of records and the bytes of their bodies.
    #[must_use]
    pub fn record_count_and_bytes(&self) -> (usize, usize) {
        (self.store.len(), self.store.bytes())
    }

    /// Records the current membership view in the history.
    fn observe_view(&mut self, context: Context<'_>) {
        let max_in_flight_ms = max_request_duration_ms(context.config);
        if has_majority(context) {
            self.history
                .observe(context.now, context.view, max_in_flight_ms);
        } else {
            self.history
                .observe_in_minority(context.now, context.view, max_in_flight_ms);
        }
    }

    /// Processes a request here, or relays it to the VM that is responsible for it.
    fn route(
        &mut self,
        context: Context<'_>,
        caller: SocketAddr,
        request: coap::Request,
        relay_info: RelayInfo,
        out: &mut Vec<Action>,
    ) {
        let key = key::Request {
            caller,
            token: request.token.clone(),
        };
        let matches_record =
            |r: &Record| r.is_repeat(content_fingerprint(&request), body_fingerprint(&request));
        if self.store.get(&key).is_some_and(matches_record) {
            self.handle_repeat(context, &key, request, relay_info, out);
            return;
        }
        let key_fingerprint = key.fingerprint();
        let hops_exhausted = relay_info.hops >= MAX_HOPS;
        match context.view.primary(key_fingerprint) {
            Some(vm) if !context.view.is_me(vm) && !hops_exhausted && !relay_info.at_backup => {
                let to = vm.name.clone();
                relay_request(context, &to, caller, request, relay_info, out);
            }
            _ => match self
                .select_backup(context, key_fingerprint, &request)
                .filter(|_| !hops_exhausted)
            {
                Some(to) => {
                    let relay_info = RelayInfo {
                        at_backup: true,
                        ..relay_info
                    };
                    relay_request(context, &to, caller, request, relay_info, out);
                }
                None => self.start_request(context, key, request, out),
            },
        }
    }

    /// Returns the backup if it has to process the request in place of its primary: this VM started
    /// recently, and without a complete history it could only answer that the outcome is unknown.
    fn select_backup(
        &self,
        context: Context<'_>,
        key_fingerprint: u64,
        request: &coap::Request,
    ) -> Option<Name> {
        if request.method.is_idempotent() || self.has_complete_history(context.now, context.config)
        {
            return None;
        }
        let backup = context.view.backup(key_fingerprint)?;
        (!context.view.is_me(backup)).then(|| backup.name.clone())
    }

    /// Handles a copy of a request that this VM has a record of.
    fn handle_repeat(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        request: coap::Request,
        relay_info: RelayInfo,
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
                let was_refused = response.code == coap::UNAVAILABLE && record.idempotent;
                // Another primary may have run a copy since this VM refused the request.
                if was_refused && !self.is_only_primary(context, key) {
                    response.code = coap::TIMEOUT;
                }
                out.push(build_answer(key.caller, &request, response));
            }
            Phase::Held(held) if relay_info.hops < MAX_HOPS => {
                let owner = held.owner.clone();
                relay_request(context, &owner, key.caller, request, relay_info, out);
            }
            _ => {}
        }
    }

    /// Reports this VM's attempts in flight to a new dispatcher, once this VM's own view agrees
    /// that `from` is the dispatcher.
    fn answer_in_flight_query(
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
        let in_flight = self
            .sent_attempts
            .iter()
            .filter(|(_, s)| s.service == service && s.domain == from.domain)
            .map(|(attempt, sent)| InFlightAttempt {
                attempt: *attempt,
                upstream: sent.upstream.clone(),
                remaining_ms: u32::try_from(sent.until.ms_since(context.now)).unwrap_or(u32::MAX),
            })
            .collect();
        let message = load::Message::InFlight {
            service,
            epoch,
            in_flight,
        };
        send_load_message(context, &from.name, message, out);
    }

    /// Refuses all requests without a dispatched attempt if this VM was frozen until now: other VMs
    /// may have processed them meanwhile.
    fn handle_freeze(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        if !self.history.detect_freeze(context.now) {
            return;
        }
        let not_dispatched: Vec<key::Request> = self
            .store
            .iter()
            .filter(|(_, r)| matches!(r.phase, Phase::AwaitingHolders(_) | Phase::Backoff))
            .map(|(key, _)| key.clone())
            .collect();
        for key in not_dispatched {
            self.refuse_request(context, &key, out);
        }
    }
}

/// Returns the service that a request names by its host.
fn find_service<'a>(
    config: &'a Config,
    request: &coap::Request,
) -> Option<(&'a Name, &'a model::config::Service)> {
    let address = coap::host_address(request);
    config.services.iter().find(|(name, service)| {
        let host_matches = name.as_str() == request.host;
        let port_matches = request
            .port
            .is_none_or(|port| port == service.address.port());
        (host_matches && port_matches) || address == Some(service.address)
    })
}

/// Computes the fingerprint of a request's content without its message id.
fn body_fingerprint(request: &coap::Request) -> u64 {
    let method = request.method as u64;
    let mut fingerprint = mix(CONTENT_SEED, method);
    fingerprint = mix(fingerprint, u64::from(request.port.unwrap_or_default()));
    fingerprint = mix(fingerprint, hash(1, request.host.as_bytes()));
    fingerprint = mix(fingerprint, hash(2, request.path.as_bytes()));
    mix(fingerprint, hash(3, &request.payload.0))
}

/// Computes the fingerprint of a request's content, message id included.
fn content_fingerprint(request: &coap::Request) -> u64 {
    mix(body_fingerprint(request), u64::from(request.message_id))
}

/// Creates a response without a body; the sender sets its token.
fn empty_response(code: u8, retry_after_ms: Option<u32>) -> coap::Response {
    coap::Response {
        token: Vec::new(),
        code,
        max_age_s: retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1)),
        payload: wire::blob::Blob::default(),
    }
}

/// Builds the answer to one copy of a request.
fn build_answer(caller: SocketAddr, request: &coap::Request, response: coap::Response) -> Action {
    Action::Answer {
        caller,
        response: coap::Response {
            token: request.token.clone(),
            ..response
        },
        acknowledges: request.confirmable.then_some(request.message_id),
    }
}

fn relay_request(
    context: Context<'_>,
    to: &Name,
    caller: SocketAddr,
    request: coap::Request,
    relay_info: RelayInfo,
    out: &mut Vec<Action>,
) {
    let message = Message::Relay {
        caller,
        request,
        hops: relay_info.hops + 1,
        at_backup: relay_info.at_backup,
    };
    send_request_message(context, to, message, out);
}

/// Sends a message to the request state machine of a VM.
fn send_request_message(context: Context<'_>, to: &Name, message: Message, out: &mut Vec<Action>) {
    if let Some(to) = context.address(to) {
        out.push(Action::Send {
            to,
            message: crate::io::Message::Request(message),
        });
    }
}

/// Sends a message to the load state machine of a VM.
fn send_load_message(
    context: Context<'_>,
    to: &Name,
    message: load::Message,
    out: &mut Vec<Action>,
) {
    if let Some(to) = context.address(to) {
        out.push(Action::Send {
            to,
            message: crate::io::Message::Load(message),
        });
    }
}

/// Reports whether this side of a network partition may run requests that are not idempotent: it
/// reaches more than half of the failure domains, or exactly half including the first by name.
///
/// Domains that operators took out count too, so that two sides with different configurations never
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

/// Returns the live VMs, except this one, that are or were primary or backup of a key.
fn intent_holders(context: Context<'_>, history: &History, key_fingerprint: u64) -> BTreeSet<Name> {
    let mut holders = BTreeSet::new();
    let current = [
        context.view.primary(key_fingerprint),
        context.view.backup(key_fingerprint),
    ];
    holders.extend(current.into_iter().flatten().map(|vm| vm.name.clone()));
    for pair in history.replica_pairs(key_fingerprint) {
        holders.extend(pair.names().cloned());
    }
    holders.retain(|vm| *vm != context.view.me && context.view.get(vm).is_some());
    holders
}

/// Creates the record of a request that has just arrived.
fn new_record(request: &coap::Request, service: &Name, deadline: Instant, phase: Phase) -> Record {
    Record {
        content_fingerprint: content_fingerprint(request),
        body_fingerprint: body_fingerprint(request),
        service: service.clone(),
        idempotent: request.method.is_idempotent(),
        message_id: request.message_id,
        confirmable: request.confirmable,
        deadline,
        phase,
        holders: BTreeSet::new(),
        request: Some(Box::new(request.clone())),
        tried_domains: BTreeSet::new(),
        attempts: 0,
        may_have_run: false,
        retry_after_ms: None,
        due: None,
    }
}

/// Returns when a request with this deadline no longer keeps a slot of any upstream busy.
fn slot_free_at(deadline: Instant) -> Instant {
    deadline.plus_ms(DEADLINE_GRACE_MS)
}
