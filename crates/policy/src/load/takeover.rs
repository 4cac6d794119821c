//! How the dispatcher role moves from VM to VM without exceeding the limit of any upstream.
//!
//! A VM that becomes dispatcher does not know which attempts are in flight. It learns this either
//! from the former dispatcher, which hands over its table of attempts in flight, or from all live
//! VMs, each of which reports its own attempts. In the second case it also waits until all attempts
//! of lost VMs must be over. A VM replies only once its own view agrees that the asking VM is the
//! dispatcher, so that no primary still uses the former one.

use std::collections::BTreeSet;

use model::name::Name;

use super::{
    Load, Message,
    messages::{InFlightAttempt, InFlightTable, Outcome},
    role::{Role, Takeover},
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

/// Bits of an epoch that count the roles assumed since the process started.
const ROLE_COUNT_BITS: u32 = 16;

/// State that a former dispatcher keeps until the new one has acknowledged it.
#[derive(Debug)]
pub(crate) struct PendingHandover {
    /// The new dispatcher.
    pub(crate) to: Name,
    /// Attempts in flight and capacities of the upstreams when the role was released.
    pub(crate) in_flight_table: InFlightTable,
    /// When to drop the handover; by then the new dispatcher has learned the state from all VMs.
    until: Instant,
}

impl Load {
    /// Returns the start number of the dispatcher's process, which is part of its epochs.
    pub(crate) fn process_start_of(epoch: u64) -> u64 {
        epoch >> ROLE_COUNT_BITS
    }

    /// Assumes and releases dispatcher roles according to the view and the configuration.
    pub(crate) fn update_roles(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let max_in_flight_ms = max_request_duration_ms(context.config);
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
                let dispatcher = context.view.dispatcher(service, &domain);
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

    /// Assumes a role, or updates the role that this VM already has.
    fn assume_or_update_role(&mut self, context: Context<'_>, domain: &Name, service: &Name) {
        let Some(settings) = context.config.services.get(service) else {
            return;
        };
        let now = context.now;
        let max_in_flight_ms = max_request_duration_ms(context.config);
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
        // A VM that was lost during the takeover can't report its attempts in flight.
        if let Some(takeover) = &mut role.takeover {
            let is_lost = |vm: &Name| context.view.get(vm).is_none();
            let history = &self.history;
            if takeover
                .unanswered
                .iter()
                .any(|vm| is_lost(vm) && !history.announced_leave(vm))
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
            self.history.has_complete_history(now, max_in_flight_ms) && !self.history.lost_any_vm();
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

    /// Releases a role: refuses queued requests and keeps the state for the new dispatcher.
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
        let Some(to) = context.view.dispatcher(service, domain) else {
            return;
        };
        if role.takeover.is_some() {
            return;
        }
        let now = context.now;
        let handover = PendingHandover {
            to: to.name.clone(),
            in_flight_table: collect_in_flight_table(&role, now),
            until: now.plus_ms(max_request_duration_ms(context.config)),
        };
        self.pending_handovers.insert(service.clone(), handover);
    }

    /// Refuses all queued requests for a service's upstreams.
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

    /// Queries the VMs that have not yet reported their attempts in flight, and the possible former
    /// dispatchers.
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

    /// Removes the handovers that have expired or whose new dispatcher is lost.
    pub(crate) fn expire_handovers(&mut self, context: Context<'_>) {
        self.pending_handovers
            .retain(|_, h| context.now < h.until && context.view.get(&h.to).is_some());
    }

    /// Sends a new dispatcher the state that this VM had as former dispatcher.
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

    /// Handles a VM's report of its attempts in flight.
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

    /// Handles the handover from the former dispatcher.
    pub(crate) fn handle_handover(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: &Name,
        epoch: u64,
        in_flight_table: &InFlightTable,
        out: &mut Vec<Action>,
    ) {
        // A handover for an earlier epoch of this role is out of date.
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

    /// Handles the new dispatcher's acknowledgement of a handover.
    pub(crate) fn handle_handover_ack(&mut self, service: &Name, from: &Name) {
        if self
            .pending_handovers
            .get(service)
            .is_some_and(|h| h.to == *from)
        {
            self.pending_handovers.remove(service);
        }
    }

    /// Notifies the new primaries of all attempts whose primary was lost.
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
