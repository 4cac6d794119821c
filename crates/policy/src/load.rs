//! Upstream load: one entry VM, the dispatcher, admits every request and every new flow to the
//! upstreams of one service in one failure domain.
//!
//! - [`messages`]: messages between primaries and dispatchers.
//! - `role`: state of a dispatcher; which upstream gets the next request.
//! - `upstream`, `ramp`, `flow_limiter`: how many requests and flows one upstream gets.
//! - `queue`, `job`: requests that wait for a slot, and attempts that were accepted.
//! - `dispatch`: the life of one attempt at its dispatcher.
//! - `takeover`: how the dispatcher role moves from VM to VM.

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
    history::{History, max_request_duration_ms},
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

mod dispatch;
mod flow_limiter;
mod job;
pub mod messages;
mod queue;
mod ramp;
mod role;
mod takeover;
mod upstream;

use job::{Jobs, RefusedAttempts};
use messages::{AttemptRequest, InFlightAttempt, InFlightTable, Usage};
use role::Role;
use takeover::PendingHandover;

/// Maximum number of attempts that one VM keeps as dispatcher; further attempts are refused.
pub const MAX_JOBS: usize = 16_384;

/// Maximum number of refused attempts that one VM remembers; further attempts get no reply.
pub const MAX_REFUSED_ATTEMPTS: usize = 262_144;

/// Time for which an outcome is kept after the longest deadline, in milliseconds. A datagram that
/// the network delays for longer may run a request twice.
pub const MAX_DATAGRAM_DELAY_MS: u64 = 5_000;

/// A message between the load state machines of two VMs, or from a primary to a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A primary requests an attempt and repeats the message until it gets a reply.
    Work(Box<AttemptRequest>),
    /// A primary has given an attempt up.
    Abandon {
        /// Id of the attempt.
        attempt: u64,
    },
    /// A VM acknowledges the outcome of an attempt.
    OutcomeAck {
        /// Id of the attempt.
        attempt: u64,
    },
    /// A primary's attempts at a service's upstreams in the dispatcher's failure domain.
    InFlight {
        /// Service of the upstreams.
        service: Name,
        /// Epoch of the dispatcher that asked.
        epoch: u64,
        /// The attempts that may be in flight.
        in_flight: Vec<InFlightAttempt>,
    },
    /// A new dispatcher asks the other VMs of its failure domain whether one of them preceded it.
    QueryHandover {
        /// Service of the upstreams.
        service: Name,
        /// Epoch of the new dispatcher.
        epoch: u64,
    },
    /// The former dispatcher hands over its state.
    Handover {
        /// Service of the upstreams.
        service: Name,
        /// Epoch of the dispatcher that asked.
        epoch: u64,
        /// Attempts in flight and capacities of the upstreams.
        in_flight_table: InFlightTable,
    },
    /// The new dispatcher acknowledges a handover.
    HandoverAck {
        /// Service of the upstreams.
        service: Name,
    },
    /// An attempt that was handed over no longer keeps a slot busy.
    SlotFreed {
        /// Service of the upstream.
        service: Name,
        /// Id of the attempt.
        attempt: u64,
    },
}

/// Whether a new flow may go to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Admission {
    /// The flow is admitted and counted.
    Admitted,
    /// The upstream is at its limit of flows, or at its present limit of new flows.
    Full,
    /// The upstream has not announced itself recently, or has not answered any recent request.
    Unavailable,
    /// This VM is not, or not yet, the upstream's dispatcher.
    NotDispatcher,
}

/// The load state machine of one VM.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of this start of the process; each start has a larger one.
    start_number: u64,
    /// Dispatcher roles assumed since the process started.
    roles_assumed: u64,
    /// Dispatcher roles of this VM, by service.
    roles: BTreeMap<Name, Role>,
    /// Attempts that this VM has accepted.
    jobs: Jobs,
    /// Attempts that were refused on arrival.
    refused: RefusedAttempts,
    /// Handovers that the new dispatcher has not acknowledged, by service.
    pending_handovers: BTreeMap<Name, PendingHandover>,
    /// Earlier membership views.
    history: History,
    /// The live VMs, each of which has to report its flows to a new dispatcher.
    live_vms: Vec<Name>,
}

impl Load {
    /// Creates the state machine; `start_number` is larger with each start of the process.
    #[must_use]
    pub fn new(start_number: u64) -> Self {
        Self {
            start_number,
            ..Self::default()
        }
    }

    /// Admits a new flow to an upstream whose dispatcher this VM is.
    pub fn admit_flow(&mut self, now: Instant, service: &Name, upstream: &Name) -> Admission {
        let role = self.roles.get_mut(service);
        let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) else {
            return Admission::NotDispatcher;
        };
        if !upstream.accepts_work(now) || upstream.ramp.is_unresponsive() {
            return Admission::Unavailable;
        }
        upstream.flows.admit(now)
    }

    /// Notes that an admitted flow has ended.
    pub fn end_flow(&mut self, _now: Instant, service: &Name, upstream: &Name) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.record_end();
        }
    }

    /// Records how many flows a VM holds at an upstream, for a dispatcher that has taken over.
    ///
    /// The dispatcher admits new flows once every live VM has reported, zero included, or after
    /// three seconds.
    pub fn record_flow_count(&mut self, vm: &Name, service: &Name, upstream: &Name, flows: u32) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.record_count(vm, flows, &self.live_vms);
        }
    }

    /// Handles an announcement of an upstream whose dispatcher this VM is.
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

    /// Handles an upstream's reply to an attempt.
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

    /// Handles a message from another VM or from this VM itself.
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

    /// Handles a change of the configuration to `context.config`.
    pub fn on_config(&mut self, context: Context<'_>, _old: &Config, out: &mut Vec<Action>) {
        self.update_roles(context, out);
    }

    /// Handles a change of the membership view.
    pub fn on_view(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.update_roles(context, out);
        self.notify_new_primaries(context, out);
    }

    /// Processes all attempts that are due, expires old state and dispatches queued requests.
    pub fn on_tick(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.handle_freeze(context, out);
        if self.live_vms.is_empty() {
            self.update_roles(context, out);
        }
        self.history.observe(
            context.now,
            context.view,
            max_request_duration_ms(context.config),
        );
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

    /// Returns the usage of the upstreams whose dispatcher this VM is, by service and upstream.
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

    /// Reports whether no request is queued or in flight and no handover is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.jobs.any_open() && self.pending_handovers.is_empty()
    }

    /// Drops all dispatcher roles if this VM was frozen until now, since other VMs may have taken
    /// the roles over meanwhile, and assumes those that are still its own.
    fn handle_freeze(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        if !self.history.detect_freeze(context.now) {
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

    /// Sends a message to the request state machine of a VM.
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

    /// Sends a message to the load state machine of a VM.
    fn send_load_message(context: Context<'_>, vm: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(to) = context.address(vm) {
            out.push(Action::Send {
                to,
                message: crate::io::Message::Load(message),
            });
        }
    }

    fn live_vm_names(context: Context<'_>) -> BTreeSet<Name> {
        context.view.vms.keys().cloned().collect()
    }
}
