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
    history::{History, max_request_duration_ms},
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

mod flows;
mod job;
mod queue;
mod ramp;
mod role;
mod serve;
mod takeover;
mod upstream;
pub mod work;

use job::{Jobs, Refused};
use role::Role;
use takeover::Handing;
use work::{Ledger, Underway, Usage, Work};

/// Attempts that one VM keeps as steward at most; those beyond get no answer from it.
pub const MAX_JOBS: usize = 16_384;

/// Attempts that were refused when they came, of which one VM keeps the number at most; those
/// beyond get no answer from it.
pub const MAX_REFUSED: usize = 262_144;

/// Time for which an outcome is kept after the longest deadline, in milliseconds: a datagram that
/// was delayed for longer in the network may run a request twice.
pub const MAX_DELAY_MS: u64 = 5_000;

/// A message between the load machines of two VMs, or from a home to a steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A home asks for an attempt; sent again until it is answered.
    Work(Box<Work>),
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
    Underway {
        /// The service.
        service: Name,
        /// Epoch of the steward that asked.
        epoch: u64,
        /// The attempts.
        underway: Vec<Underway>,
    },
    /// A new steward asks the other VMs of its failure domain whether one was steward before it.
    AskLedger {
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
        ledger: Ledger,
    },
    /// The new steward has taken a hand-over.
    HandoverAck {
        /// The service.
        service: Name,
    },
    /// An attempt that the former steward handed over is over.
    Freed {
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
    NotSteward,
}

/// The load machine of one VM.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of this start of the process; grows with each.
    start: u64,
    /// Roles taken since the start.
    roles_taken: u64,
    /// Services of whose upstreams this VM is the steward.
    roles: BTreeMap<Name, Role>,
    /// Attempts that were asked of this VM.
    jobs: Jobs,
    /// Attempts that were refused when they came.
    refused: Refused,
    /// Roles that are being handed over.
    handing: BTreeMap<Name, Handing>,
    /// Earlier views.
    history: History,
    /// The live VMs, which have to count their flows for a new steward.
    homes: Vec<Name>,
}

impl Load {
    /// Makes the load machine; `start` is larger with each start of the process.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Admits a new flow to an upstream that this VM is the steward of.
    pub fn admit_flow(&mut self, now: Instant, service: &Name, upstream: &Name) -> Admission {
        let role = self.roles.get_mut(service);
        let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) else {
            return Admission::NotSteward;
        };
        if !upstream.takes_work(now) || upstream.ramp.is_gone() {
            return Admission::Gone;
        }
        upstream.flows.admit(now)
    }

    /// A flow that was admitted has ended.
    pub fn end_flow(&mut self, _now: Instant, service: &Name, upstream: &Name) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.end();
        }
    }

    /// A home's count of the flows that it holds at an upstream, for a steward that took over.
    ///
    /// The steward admits new flows once every live VM has counted, zero included, or after
    /// three seconds.
    pub fn count_flows(&mut self, home: &Name, service: &Name, upstream: &Name, flows: u32) {
        let role = self.roles.get_mut(service);
        if let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(upstream)) {
            upstream.flows.count(home, flows, &self.homes);
        }
    }

    /// Takes an announcement of an upstream that this VM is the steward of.
    pub fn on_announce(
        &mut self,
        context: Context<'_>,
        announcement: &Announcement,
        out: &mut Vec<Action>,
    ) {
        self.wake(context, out);
        let Some(role) = self.roles.get_mut(&announcement.service) else {
            return;
        };
        let Some(upstream) = role.upstreams.get_mut(&announcement.upstream) else {
            return;
        };
        let before = upstream.incarnation;
        if !upstream.announce(context.now, announcement) {
            return;
        }
        if before > 0 && upstream.incarnation > before {
            self.give_up_all(context, &announcement.service, &announcement.upstream, out);
        }
        self.pump(context, &announcement.service, out);
    }

    /// Takes an upstream's answer to an attempt.
    pub fn on_reply(
        &mut self,
        context: Context<'_>,
        upstream: SocketAddr,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        self.wake(context, out);
        self.take_reply(context, upstream, response, out);
    }

    /// Takes a message of another VM, or of this one.
    pub fn on_message(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.wake(context, out);
        match message {
            Message::Work(work) => self.take_work(context, from, *work, out),
            Message::Abandon { attempt } => self.abandon(context, attempt, out),
            Message::OutcomeAck { attempt } => self.take_ack(attempt, &from.name),
            Message::Underway {
                service,
                epoch,
                underway,
            } => self.take_underway(context, from, &service, epoch, &underway, out),
            Message::AskLedger { service, epoch } => {
                self.hand_over(context, &from.name, service, epoch, out);
            }
            Message::Handover {
                service,
                epoch,
                ledger,
            } => self.take_handover(context, from, &service, epoch, &ledger, out),
            Message::HandoverAck { service } => self.take_handover_ack(&service, &from.name),
            Message::Freed { service, attempt } => {
                if let Some(role) = self.roles.get_mut(&service) {
                    role.free_foreign(attempt);
                }
                self.pump(context, &service, out);
            }
        }
    }

    /// The configuration has become `context.config`; it was `old`.
    pub fn on_config(&mut self, context: Context<'_>, _old: &Config, out: &mut Vec<Action>) {
        self.take_roles(context, out);
    }

    /// The view has changed.
    pub fn on_view(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.take_roles(context, out);
        self.tell_new_homes(context, out);
    }

    /// Time has passed.
    pub fn on_tick(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.wake(context, out);
        if self.homes.is_empty() {
            self.take_roles(context, out);
        }
        self.history.observe(
            context.now,
            context.view,
            max_request_duration_ms(context.config),
        );
        while let Some(attempt) = self.jobs.pop_due(context.now) {
            self.care_for(context, attempt, out);
        }
        self.refused.expire(context.now);
        self.ask_homes(context, out);
        self.expire_handing(context);
        let services: Vec<Name> = self.roles.keys().cloned().collect();
        for service in services {
            if let Some(role) = self.roles.get_mut(&service) {
                role.expire(context.now);
                role.settle(context.now);
            }
            self.drop_gone(context, &service, out);
            self.pump(context, &service, out);
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
        !self.jobs.any_open() && self.handing.is_empty()
    }

    /// Handles the gap after this VM was frozen: others may have taken its roles meanwhile.
    fn wake(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        if !self.history.wake(context.now) {
            return;
        }
        let services: Vec<Name> = self.roles.keys().cloned().collect();
        for service in services {
            self.refuse_queue(context, &service, out);
            self.roles.remove(&service);
        }
        self.handing.clear();
        self.take_roles(context, out);
    }

    fn upstreams_in(context: Context<'_>, domain: &Name) -> bool {
        let domain = context.config.domains.get(domain);
        domain.is_some_and(|d| d.state == DomainState::In)
    }

    fn domain(context: Context<'_>) -> Option<&Name> {
        context.view.get(&context.view.me).map(|vm| &vm.domain)
    }

    /// Sends a message to the request machine of a VM.
    fn tell(context: Context<'_>, vm: &Name, message: request::Message, out: &mut Vec<Action>) {
        if let Some(to) = context.address(vm) {
            out.push(Action::Send {
                to,
                message: crate::io::Message::Request(message),
            });
        }
    }

    /// Sends a message to the load machine of a VM.
    fn send(context: Context<'_>, vm: &Name, message: Message, out: &mut Vec<Action>) {
        if let Some(to) = context.address(vm) {
            out.push(Action::Send {
                to,
                message: crate::io::Message::Load(message),
            });
        }
    }

    /// Names of the live VMs.
    fn names(context: Context<'_>) -> BTreeSet<Name> {
        context.view.vms.keys().cloned().collect()
    }
}
