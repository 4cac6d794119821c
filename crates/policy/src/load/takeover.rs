//! How the role of steward moves from VM to VM without more than an upstream bears.
//!
//! A VM that becomes steward does not know what is under way. It learns it in one of two ways:
//! from the former steward, which hands its ledger over; or from every live VM, which says which
//! of its attempts are under way, while attempts of VMs that were lost are waited out for the
//! longest deadline. A VM answers only once its own view agrees that the asker is steward, so
//! that no home still works with the former one.

use std::collections::BTreeSet;

use model::name::Name;

use super::{
    Load, Message,
    role::{Role, Takeover},
    work::{InFlightAttempt, InFlightTable, Outcome},
};
use crate::{
    history::longest_ms,
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

/// Bits of an epoch that count the roles taken since the start of the process.
const ROLE_COUNT_BITS: u32 = 16;

/// What a former steward keeps until the new one has taken it.
#[derive(Debug)]
pub(crate) struct PendingHandover {
    /// The new steward.
    pub(crate) to: Name,
    /// What this VM knew.
    pub(crate) in_flight_table: InFlightTable,
    /// When to give it up: the new steward has learned it in the other way by then.
    until: Instant,
}

impl Load {
    /// The start of a steward's process, as its epochs hold it.
    pub(crate) fn process_start_of(epoch: u64) -> u64 {
        epoch >> ROLE_COUNT_BITS
    }

    /// Takes and gives up roles as view and configuration have it.
    pub(crate) fn update_roles(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let max_in_flight_ms = longest_ms(context.config);
        self.history
            .observe(context.now, context.view, max_in_flight_ms);
        self.live_vms = context.view.vms.keys().cloned().collect();
        let Some(domain) = Self::own_domain(context).cloned() else {
            return;
        };
        let is_own: BTreeSet<Name> = context
            .config
            .services
            .keys()
            .filter(|service| {
                let dispatcher = context.view.steward(service, &domain);
                dispatcher.is_some_and(|vm| context.view.is_me(vm))
            })
            .cloned()
            .collect();
        let lost: Vec<Name> = self
            .roles
            .keys()
            .filter(|service| !is_own.contains(*service))
            .cloned()
            .collect();
        for service in lost {
            self.release_role(context, &domain, &service, out);
        }
        for service in is_own {
            self.assume_or_update_role(context, &domain, &service);
        }
        self.query_in_flight(context, out);
    }

    /// Takes a role, or brings one that this VM has up to date.
    fn assume_or_update_role(&mut self, context: Context<'_>, domain: &Name, service: &Name) {
        let Some(settings) = context.config.services.get(service) else {
            return;
        };
        let now = context.now;
        let max_in_flight_ms = longest_ms(context.config);
        if !self.roles.contains_key(service) {
            self.pending_handovers.remove(service);
            self.roles_assumed += 1;
            let epoch = (self.start_number << ROLE_COUNT_BITS) | (self.roles_assumed & 0xFFFF);
            let takeover = self.new_takeover(context, max_in_flight_ms);
            self.roles
                .insert(service.clone(), Role::new(epoch, takeover));
        }
        let domain_in = Self::is_domain_in(context, domain);
        let Some(role) = self.roles.get_mut(service) else {
            return;
        };
        role.configure(now, settings, domain, domain_in);
        // A VM that was lost meanwhile can't say what it has under way.
        if let Some(takeover) = &mut role.takeover {
            let is_lost = |vm: &Name| context.view.get(vm).is_none();
            let history = &self.history;
            if takeover
                .unanswered
                .iter()
                .any(|vm| is_lost(vm) && !history.left(vm))
            {
                takeover.lost_attempts_until = takeover
                    .lost_attempts_until
                    .max(now.plus_ms(max_in_flight_ms));
            }
            takeover.unanswered.retain(|vm| !is_lost(vm));
        }
        for (attempt, job) in self.jobs.iter() {
            let Some(dispatched) = job.dispatched.as_ref().filter(|d| d.holds_slot) else {
                continue;
            };
            if job.service != *service {
                continue;
            }
            if let Some(upstream) = role.upstreams.get_mut(&dispatched.upstream) {
                upstream.busy.insert(attempt, job.slot_until());
            }
        }
    }

    fn new_takeover(&self, context: Context<'_>, max_in_flight_ms: u64) -> Takeover {
        let now = context.now;
        let nothing_lost =
            self.history.is_informed(now, max_in_flight_ms) && !self.history.lost_any();
        Takeover {
            unanswered: Self::live_vm_names(context),
            lost_attempts_until: if nothing_lost {
                now
            } else {
                now.plus_ms(max_in_flight_ms)
            },
            query_at: now,
        }
    }

    /// Gives a role up: what waits is refused, what is known goes to the new steward.
    fn release_role(
        &mut self,
        context: Context<'_>,
        domain: &Name,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        self.refuse_queued(context, service, out);
        let Some(role) = self.roles.remove(service) else {
            return;
        };
        let Some(to) = context.view.steward(service, domain) else {
            return;
        };
        if role.takeover.is_some() {
            return;
        }
        let now = context.now;
        let handover = PendingHandover {
            to: to.name.clone(),
            in_flight_table: collect_in_flight_table(&role, now),
            until: now.plus_ms(longest_ms(context.config)),
        };
        self.pending_handovers.insert(service.clone(), handover);
    }

    /// Refuses all that waits for a service's upstreams.
    pub(crate) fn refuse_queued(
        &mut self,
        context: Context<'_>,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        while let Some(queued) = self.roles.get_mut(service).and_then(|r| r.queue.pop()) {
            let outcome = Outcome::NotRun {
                retry_after_ms: 0,
                shed: false,
            };
            self.report_outcome(context, queued.attempt_request.attempt, outcome, out);
        }
    }

    /// Asks the VMs that have not yet said what they have under way.
    pub(crate) fn query_in_flight(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let Some(domain) = Self::own_domain(context) else {
            return;
        };
        for (service, role) in &mut self.roles {
            let epoch = role.epoch;
            let Some(unanswered) = role.take_due_queries(context.now) else {
                continue;
            };
            for vm in unanswered {
                let service = service.clone();
                let query = request::Message::QueryInFlight { service, epoch };
                Self::send_request_message(context, &vm, query, out);
            }
            for vm in context.view.others().filter(|vm| vm.domain == *domain) {
                let service = service.clone();
                let query = Message::QueryHandover { service, epoch };
                Self::send_load_message(context, &vm.name, query, out);
            }
        }
    }

    /// Drops the hand-overs that nobody takes any longer.
    pub(crate) fn expire_handovers(&mut self, context: Context<'_>) {
        self.pending_handovers
            .retain(|_, h| context.now < h.until && context.view.get(&h.to).is_some());
    }

    /// Answers a new steward that asks for what this VM knew as steward.
    pub(crate) fn send_handover(
        &mut self,
        context: Context<'_>,
        to: &Name,
        service: Name,
        epoch: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(handover) = self.pending_handovers.get(&service).filter(|h| h.to == *to) else {
            return;
        };
        let message = Message::Handover {
            service,
            epoch,
            in_flight_table: handover.in_flight_table.clone(),
        };
        Self::send_load_message(context, to, message, out);
    }

    /// Takes what a VM has under way.
    pub(crate) fn handle_in_flight(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: &Name,
        epoch: u64,
        in_flight: &[InFlightAttempt],
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.roles.get_mut(service).filter(|r| r.epoch == epoch) else {
            return;
        };
        role.record_vm_report(context.now, &from.name, in_flight);
        self.dispatch_queued(context, service, out);
    }

    /// Takes what the former steward knew.
    pub(crate) fn handle_handover(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: &Name,
        epoch: u64,
        in_flight_table: &InFlightTable,
        out: &mut Vec<Action>,
    ) {
        // One that was meant for an earlier time in the role is out of date.
        let Some(role) = self.roles.get_mut(service).filter(|r| r.epoch == epoch) else {
            return;
        };
        role.apply_handover(context.now, in_flight_table);
        let ack = Message::HandoverAck {
            service: service.clone(),
        };
        Self::send_load_message(context, &from.name, ack, out);
        self.dispatch_queued(context, service, out);
    }

    /// The new steward has taken over.
    pub(crate) fn handle_handover_ack(&mut self, service: &Name, from: &Name) {
        if self
            .pending_handovers
            .get(service)
            .is_some_and(|h| h.to == *from)
        {
            self.pending_handovers.remove(service);
        }
    }

    /// Tells the new homes of requests under way whose home was lost.
    pub(crate) fn notify_new_primaries(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let orphaned: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| context.view.get(&job.primary).is_none())
            .map(|(attempt, _)| attempt)
            .collect();
        for attempt in orphaned {
            self.notify_successors(context, attempt, out);
        }
    }
}

fn collect_in_flight_table(role: &Role, now: Instant) -> InFlightTable {
    let mut in_flight_table = InFlightTable::default();
    for (name, upstream) in &role.upstreams {
        if upstream.is_live(now) {
            in_flight_table
                .upstreams
                .push(upstream.capacity_snapshot(name));
        }
        for (attempt, until) in upstream.busy.iter().chain(&upstream.inherited) {
            in_flight_table.in_flight.push(InFlightAttempt {
                attempt: *attempt,
                upstream: Some(name.clone()),
                remaining_ms: remaining_ms(now, *until),
            });
        }
    }
    for (attempt, until) in role.unlocated() {
        in_flight_table.in_flight.push(InFlightAttempt {
            attempt: *attempt,
            upstream: None,
            remaining_ms: remaining_ms(now, *until),
        });
    }
    in_flight_table
}

fn remaining_ms(now: Instant, until: Instant) -> u32 {
    u32::try_from(until.ms_since(now)).unwrap_or(u32::MAX)
}
