//! Upstream load: one entry VM, the steward, admits every request and every new flow to the
//! upstreams of one service in one failure domain.
//!
//! - [`work`]: what homes and stewards tell each other.
//! - `role`: what a steward knows; who may get the next request.
//! - `upstream`, `ramp`, `flows`: what one upstream bears.
//! - `queue`, `job`: requests that wait, and attempts that were made.
//! - `serve`: the life of one attempt at its steward.
//! - `takeover`: how the role of steward moves from VM to VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    announce::Announcement,
    config::{Config, DomainState},
    name::Name,
};
use serde::{Deserialize, Serialize};
use wire::coap;

use crate::{
    history::{History, longest_ms},
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

mod dispatch;
mod flow_limiter;
mod job;
mod queue;
mod ramp;
mod role;
mod takeover;
mod upstream;
pub mod work;

use job::{Jobs, RefusedAttempts};
use role::Role;
use takeover::PendingHandover;
use work::{AttemptRequest, InFlightAttempt, InFlightTable, Usage};

/// Attempts that one VM keeps as steward at most; those beyond get no answer from it.
pub const MAX_JOBS: usize = 16_384;

/// Attempts that were refused when they came, of which one VM keeps the number at most; those
/// beyond get no answer from it.
pub const MAX_REFUSED_ATTEMPTS: usize = 262_144;

/// Time for which an outcome is kept after the longest deadline, in milliseconds: a datagram that
/// was delayed for longer in the network may run a request twice.
pub const MAX_DATAGRAM_DELAY_MS: u64 = 5_000;

/// A message between the load machines of two VMs, or from a home to a steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A home asks for an attempt; sent again until it is answered.
    Work(Box<AttemptRequest>),
    /// A home has given an attempt up.
    Abandon {
        /// The attempt.
        attempt: u64,
    },
    /// A VM knows what came of an attempt.
    OutcomeAck {
        /// The attempt.
        attempt: u64,
    },
    /// A home's attempts at a service's upstreams in the steward's failure domain.
    InFlight {
        /// The service.
        service: Name,
        /// Epoch of the steward that asked.
        epoch: u64,
        /// The attempts.
        in_flight: Vec<InFlightAttempt>,
    },
    /// A new steward asks the other VMs of its failure domain whether one was steward before it.
    QueryHandover {
        /// The service.
        service: Name,
        /// Epoch of the steward that asks.
        epoch: u64,
    },
    /// The former steward says what it knows.
    Handover {
        /// The service.
        service: Name,
        /// Epoch of the steward that asked.
        epoch: u64,
        /// What it knows.
        in_flight_table: InFlightTable,
    },
    /// The new steward has taken a hand-over.
    HandoverAck {
        /// The service.
        service: Name,
    },
    /// An attempt that the former steward handed over is over.
    SlotFreed {
        /// The service.
        service: Name,
        /// The attempt.
        attempt: u64,
    },
}

/// Whether a new flow may go to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Admission {
    /// It may, and is counted.
    Admitted,
    /// The upstream holds as many flows as it bears now, being cold or full.
    Full,
    /// The upstream has not announced itself lately, or refused everything lately.
    Gone,
    /// This VM is not, or not yet, the upstream's steward.
    NotDispatcher,
}

/// The load machine of one VM.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of this start of the process; grows with each.
    start_number: u64,
    /// Roles taken since the start.
    roles_assumed: u64,
    /// Services of whose upstreams this VM is the steward.
    roles: BTreeMap<Name, Role>,
    /// Attempts that were asked of this VM.
    jobs: Jobs,
    /// Attempts that were refused when they came.
    refused: RefusedAttempts,
    /// Roles that are being handed over.
    pending_handovers: BTreeMap<Name, PendingHandover>,
    /// Earlier views.
    history: History,
    /// The live VMs, which have to count their flows for a new steward.
    live_vms: Vec<Name>,
}

impl Load {
    /// Makes the load machine; `start` is larger with each start of the process.
    #[must_use]
    pub fn new(start_number: u64) -> Self {
        Self {
            start_number,
            ..Self::default()
        }
    }

    /// Admits a new flow to an upstream that this VM is the steward of.
    pub fn admit_flow(&mut self, now: Instant, service: &Name, upstream: &Name) -> Admission {
        let role = self.roles.get_mut(service);
        let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) else {
            return Admission::NotDispatcher;
        };
        if !upstream.accepts_work(now) || upstream.ramp.is_unresponsive() {
            return Admission::Gone;
        }
        upstream.flows.admit(now)
    }

    /// A flow that was admitted has ended.
    pub fn end_flow(&mut self, _now: Instant, service: &Name, upstream: &Name) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.record_end();
        }
    }

    /// A home's count of the flows that it holds at an upstream, for a steward that took over.
    ///
    /// The steward admits new flows once every live VM has counted, zero included, or after
    /// three seconds.
    pub fn record_flow_count(&mut self, vm: &Name, service: &Name, upstream: &Name, flows: u32) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.record_count(vm, flows, &self.live_vms);
        }
    }

    /// Takes an announcement of an upstream that this VM is the steward of.
    pub fn on_announce(
        &mut self,
        context: Context<'_>,
        announcement: &Announcement,
        out: &mut Vec<Action>,
    ) {
        self.handle_freeze(context, out);
        let Some(role) = self.roles.get_mut(&announcement.service) else {
            return;
        };
        let Some(upstream) = role.upstreams.get_mut(&announcement.upstream) else {
            return;
        };
        let old_incarnation = upstream.incarnation;
        if !upstream.apply_announcement(context.now, announcement) {
            return;
        }
        if old_incarnation > 0 && upstream.incarnation > old_incarnation {
            self.give_up_attempts_at(context, &announcement.service, &announcement.upstream, out);
        }
        self.dispatch_queued(context, &announcement.service, out);
    }

    /// Takes an upstream's answer to an attempt.
    pub fn on_reply(
        &mut self,
        context: Context<'_>,
        upstream: SocketAddr,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        self.handle_freeze(context, out);
        self.handle_reply(context, upstream, response, out);
    }

    /// Takes a message of another VM, or of this one.
    pub fn on_message(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.handle_freeze(context, out);
        match message {
            Message::Work(attempt_request) => {
                self.handle_attempt_request(context, from, *attempt_request, out)
            }
            Message::Abandon { attempt } => self.handle_abandon(context, attempt, out),
            Message::OutcomeAck { attempt } => self.handle_outcome_ack(attempt, &from.name),
            Message::InFlight {
                service,
                epoch,
                in_flight,
            } => self.handle_in_flight(context, from, &service, epoch, &in_flight, out),
            Message::QueryHandover { service, epoch } => {
                self.send_handover(context, &from.name, service, epoch, out);
            }
            Message::Handover {
                service,
                epoch,
                in_flight_table,
            } => self.handle_handover(context, from, &service, epoch, &in_flight_table, out),
            Message::HandoverAck { service } => self.handle_handover_ack(&service, &from.name),
            Message::SlotFreed { service, attempt } => {
                if let Some(role) = self.roles.get_mut(&service) {
                    role.free_inherited(attempt);
                }
                self.dispatch_queued(context, &service, out);
            }
        }
    }

    /// The configuration has become `context.config`; it was `old`.
    pub fn on_config(&mut self, context: Context<'_>, _old: &Config, out: &mut Vec<Action>) {
        self.update_roles(context, out);
    }

    /// The view has changed.
    pub fn on_view(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.update_roles(context, out);
        self.notify_new_primaries(context, out);
    }

    /// Time has passed.
    pub fn on_tick(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.handle_freeze(context, out);
        if self.live_vms.is_empty() {
            self.update_roles(context, out);
        }
        self.history
            .observe(context.now, context.view, longest_ms(context.config));
        while let Some(attempt) = self.jobs.pop_due(context.now) {
            self.process_due(context, attempt, out);
        }
        self.refused.expire(context.now);
        self.query_in_flight(context, out);
        self.expire_handovers(context);
        let services: Vec<Name> = self.roles.keys().cloned().collect();
        for service in services {
            if let Some(role) = self.roles.get_mut(&service) {
                role.expire(context.now);
                role.finish_takeover(context.now);
            }
            self.give_up_at_expired_upstreams(context, &service, out);
            self.dispatch_queued(context, &service, out);
        }
    }

    /// How the upstreams that this VM is the steward of are used, by service and name.
    #[must_use]
    pub fn usage(&self, now: Instant) -> BTreeMap<Name, BTreeMap<Name, Usage>> {
        let of_role = |role: &Role| {
            let upstreams = role.upstreams.iter();
            upstreams
                .map(|(name, u)| (name.clone(), u.usage(now)))
                .collect()
        };
        let roles = self.roles.iter();
        roles
            .map(|(service, role)| (service.clone(), of_role(role)))
            .collect()
    }

    /// Whether no request is under way at an upstream.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.jobs.any_open() && self.pending_handovers.is_empty()
    }

    /// Handles the gap after this VM was frozen: others may have taken its roles meanwhile.
    fn handle_freeze(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        if !self.history.wake(context.now) {
            return;
        }
        let services: Vec<Name> = self.roles.keys().cloned().collect();
        for service in services {
            self.refuse_queued(context, &service, out);
            self.roles.remove(&service);
        }
        self.pending_handovers.clear();
        self.update_roles(context, out);
    }

    fn is_domain_in(context: Context<'_>, domain: &Name) -> bool {
        let domain = context.config.domains.get(domain);
        domain.is_some_and(|d| d.state == DomainState::In)
    }

    fn own_domain(context: Context<'_>) -> Option<&Name> {
        context.view.get(&context.view.me).map(|vm| &vm.domain)
    }

    /// Sends a message to the request machine of a VM.
    fn send_request_message(
        context: Context<'_>,
        vm: &Name,
        message: request::Message,
        out: &mut Vec<Action>,
    ) {
        if let Some(to) = context.address(vm) {
            out.push(Action::Send {
                to,
                message: crate::io::Message::Request(message),
            });
        }
    }

    /// Sends a message to the load machine of a VM.
    fn send_load_message(context: Context<'_>, vm: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(to) = context.address(vm) {
            out.push(Action::Send {
                to,
                message: crate::io::Message::Load(message),
            });
        }
    }

    /// Names of the live VMs.
    fn live_vm_names(context: Context<'_>) -> BTreeSet<Name> {
        context.view.vms.keys().cloned().collect()
    }
}
