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
    role::{Role, Settling},
    work::{Ledger, Outcome, Underway},
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    request,
    time::Instant,
    view::Vm,
};

/// Bits of an epoch that count the roles taken since the start of the process.
const ROLE_BITS: u32 = 16;

/// What a former steward keeps until the new one has taken it.
#[derive(Debug)]
pub(crate) struct Handing {
    /// The new steward.
    pub(crate) to: Name,
    /// What this VM knew.
    pub(crate) ledger: Ledger,
    /// When to give it up: the new steward has learned it in the other way by then.
    until: Instant,
}

impl Load {
    /// The start of a steward's process, as its epochs hold it.
    pub(crate) fn start_of(epoch: u64) -> u64 {
        epoch >> ROLE_BITS
    }

    /// Takes and gives up roles as view and configuration have it.
    pub(crate) fn take_roles(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let longest = max_request_duration_ms(context.config);
        self.history.observe(context.now, context.view, longest);
        self.homes = context.view.vms.keys().cloned().collect();
        let Some(domain) = Self::domain(context).cloned() else {
            return;
        };
        let mine: BTreeSet<Name> = context
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
            .filter(|service| !mine.contains(*service))
            .cloned()
            .collect();
        for service in lost {
            self.give_role(context, &domain, &service, out);
        }
        for service in mine {
            self.keep_role(context, &domain, &service);
        }
        self.ask_homes(context, out);
    }

    /// Takes a role, or brings one that this VM has up to date.
    fn keep_role(&mut self, context: Context<'_>, domain: &Name, service: &Name) {
        let Some(settings) = context.config.services.get(service) else {
            return;
        };
        let now = context.now;
        let longest = max_request_duration_ms(context.config);
        if !self.roles.contains_key(service) {
            self.handing.remove(service);
            self.roles_taken += 1;
            let epoch = (self.start << ROLE_BITS) | (self.roles_taken & 0xFFFF);
            let settling = self.settling(context, longest);
            self.roles
                .insert(service.clone(), Role::new(epoch, settling));
        }
        let domain_in = Self::upstreams_in(context, domain);
        let Some(role) = self.roles.get_mut(service) else {
            return;
        };
        role.configure(now, settings, domain, domain_in);
        // A VM that was lost meanwhile can't say what it has under way.
        if let Some(settling) = &mut role.settling {
            let is_lost = |vm: &Name| context.view.get(vm).is_none();
            let history = &self.history;
            if settling
                .unheard
                .iter()
                .any(|vm| is_lost(vm) && !history.left(vm))
            {
                settling.blind_until = settling.blind_until.max(now.plus_ms(longest));
            }
            settling.unheard.retain(|vm| !is_lost(vm));
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

    fn settling(&self, context: Context<'_>, longest: u64) -> Settling {
        let now = context.now;
        let known = self.history.has_complete_history(now, longest) && !self.history.lost_any_vm();
        Settling {
            unheard: Self::names(context),
            blind_until: if known { now } else { now.plus_ms(longest) },
            ask_at: now,
        }
    }

    /// Gives a role up: what waits is refused, what is known goes to the new steward.
    fn give_role(
        &mut self,
        context: Context<'_>,
        domain: &Name,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        self.refuse_queue(context, service, out);
        let Some(role) = self.roles.remove(service) else {
            return;
        };
        let Some(to) = context.view.dispatcher(service, domain) else {
            return;
        };
        if role.settling.is_some() {
            return;
        }
        let now = context.now;
        let handing = Handing {
            to: to.name.clone(),
            ledger: ledger(&role, now),
            until: now.plus_ms(max_request_duration_ms(context.config)),
        };
        self.handing.insert(service.clone(), handing);
    }

    /// Refuses all that waits for a service's upstreams.
    pub(crate) fn refuse_queue(
        &mut self,
        context: Context<'_>,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        while let Some(waiting) = self.roles.get_mut(service).and_then(|r| r.queue.pop()) {
            let outcome = Outcome::NotRun {
                retry_after_ms: 0,
                shed: false,
            };
            self.report(context, waiting.work.attempt, outcome, out);
        }
    }

    /// Asks the VMs that have not yet said what they have under way.
    pub(crate) fn ask_homes(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let Some(domain) = Self::domain(context) else {
            return;
        };
        for (service, role) in &mut self.roles {
            let epoch = role.epoch;
            let Some(unheard) = role.ask_now(context.now) else {
                continue;
            };
            for vm in unheard {
                let service = service.clone();
                let question = request::Message::AskUnderway { service, epoch };
                Self::tell(context, &vm, question, out);
            }
            for vm in context.view.others().filter(|vm| vm.domain == *domain) {
                let service = service.clone();
                let question = Message::AskLedger { service, epoch };
                Self::send(context, &vm.name, question, out);
            }
        }
    }

    /// Drops the hand-overs that nobody takes any longer.
    pub(crate) fn expire_handing(&mut self, context: Context<'_>) {
        self.handing
            .retain(|_, h| context.now < h.until && context.view.get(&h.to).is_some());
    }

    /// Answers a new steward that asks for what this VM knew as steward.
    pub(crate) fn hand_over(
        &mut self,
        context: Context<'_>,
        to: &Name,
        service: Name,
        epoch: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(handing) = self.handing.get(&service).filter(|h| h.to == *to) else {
            return;
        };
        let message = Message::Handover {
            service,
            epoch,
            ledger: handing.ledger.clone(),
        };
        Self::send(context, to, message, out);
    }

    /// Takes what a VM has under way.
    pub(crate) fn take_underway(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: &Name,
        epoch: u64,
        underway: &[Underway],
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.roles.get_mut(service).filter(|r| r.epoch == epoch) else {
            return;
        };
        role.heard(context.now, &from.name, underway);
        self.pump(context, service, out);
    }

    /// Takes what the former steward knew.
    pub(crate) fn take_handover(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        service: &Name,
        epoch: u64,
        ledger: &Ledger,
        out: &mut Vec<Action>,
    ) {
        // One that was meant for an earlier time in the role is out of date.
        let Some(role) = self.roles.get_mut(service).filter(|r| r.epoch == epoch) else {
            return;
        };
        role.adopt(context.now, ledger);
        let ack = Message::HandoverAck {
            service: service.clone(),
        };
        Self::send(context, &from.name, ack, out);
        self.pump(context, service, out);
    }

    /// The new steward has taken over.
    pub(crate) fn take_handover_ack(&mut self, service: &Name, from: &Name) {
        if self.handing.get(service).is_some_and(|h| h.to == *from) {
            self.handing.remove(service);
        }
    }

    /// Tells the new homes of requests under way whose home was lost.
    pub(crate) fn tell_new_homes(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let orphans: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| context.view.get(&job.home).is_none())
            .map(|(attempt, _)| attempt)
            .collect();
        for attempt in orphans {
            self.tell_successors(context, attempt, out);
        }
    }
}

fn ledger(role: &Role, now: Instant) -> Ledger {
    let mut ledger = Ledger::default();
    for (name, upstream) in &role.upstreams {
        if upstream.is_live(now) {
            ledger.upstreams.push(upstream.standing(name));
        }
        for (attempt, until) in upstream.busy.iter().chain(&upstream.foreign) {
            ledger.underway.push(Underway {
                attempt: *attempt,
                upstream: Some(name.clone()),
                left_ms: left_ms(now, *until),
            });
        }
    }
    for (attempt, until) in role.floating() {
        ledger.underway.push(Underway {
            attempt: *attempt,
            upstream: None,
            left_ms: left_ms(now, *until),
        });
    }
    ledger
}

fn left_ms(now: Instant, until: Instant) -> u32 {
    u32::try_from(until.ms_since(now)).unwrap_or(u32::MAX)
}
