//! The life of one attempt at its steward: taken, queued, dispatched, answered or given up, told.
//!
//! An attempt is dispatched in exactly one datagram, which is never sent again. Its outcome is
//! told to its home until that has acknowledged it, and kept for as long as a delayed copy of the
//! home's message may arrive, so that no copy is taken for a new attempt.

use std::net::SocketAddr;

use model::name::Name;
use wire::coap;

use super::{
    Load, MAX_DELAY_MS, MAX_JOBS, Message,
    job::{Dispatched, Job},
    queue::Waiting,
    role::GIVE_UP_MS,
    work::{Hint, Outcome, Work},
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context, Counter},
    request,
    time::Instant,
    view::Vm,
};

mod report;

/// Time between two sendings of an outcome, in milliseconds.
const RESEND_MS: u64 = 50;

/// An attempt that took longer than this many times the usual time counts as timed out.
const TIMEOUT_FACTOR: u64 = 4;

impl Load {
    /// Takes a home's request for an attempt.
    pub(crate) fn take_work(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        work: Work,
        out: &mut Vec<Action>,
    ) {
        let attempt = work.attempt;
        if self.jobs.get(attempt).is_some() {
            self.tell_again(context, attempt, out);
            return;
        }
        let now = context.now;
        let left_ms = u64::from(work.left_ms);
        let kept_ms = max_request_duration_ms(context.config) + MAX_DELAY_MS;
        let deadline = now.plus_ms(left_ms);
        let expires = deadline.plus_ms(kept_ms);
        if let Err(outcome) = self.check_work(now, &work, deadline) {
            if self.refused.insert(attempt, expires) {
                self.refuse(context, from, &work, outcome, out);
            }
            return;
        }
        let job = Job {
            key: work.key.clone(),
            content: work.content,
            service: work.service.clone(),
            home: from.name.clone(),
            deadline,
            dispatched: None,
            report: None,
            expires,
        };
        self.jobs.insert(attempt, job);
        let service = work.service.clone();
        if let Some(role) = self.roles.get_mut(&service) {
            role.queue.push(Waiting { work, deadline });
        }
        self.pump(context, &service, out);
        let waits = self.jobs.get(attempt);
        if waits.is_some_and(|j| j.dispatched.is_none()) {
            self.tell_again(context, attempt, out);
        }
    }

    /// Whether this VM can take an attempt; else what to tell its home.
    fn check_work(&self, now: Instant, work: &Work, deadline: Instant) -> Result<(), Outcome> {
        if self.refused.holds(work.attempt) || self.jobs.len() >= MAX_JOBS {
            return Err(not_run(0, false));
        }
        if work.epoch != 0 && Self::start_of(work.epoch) != self.start {
            return Err(Outcome::Stale);
        }
        match self.roles.get(&work.service) {
            Some(role) if role.epoch == work.epoch => role
                .check(now, deadline)
                .map_err(|retry_after_ms| not_run(retry_after_ms, false)),
            _ => Err(not_run(0, false)),
        }
    }

    /// Tells a home once that its attempt was not taken; it asks again where that is lost.
    fn refuse(
        &self,
        context: Context<'_>,
        home: &Vm,
        work: &Work,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let told = request::AttemptOutcome {
            attempt: work.attempt,
            key: work.key.clone(),
            content: work.content,
            service: work.service.clone(),
            upstream: None,
            outcome,
            acknowledge: false,
            hint: self.hint(context, &work.service),
        };
        let message = request::Message::Outcome(Box::new(told));
        Self::tell(context, &home.name, message, out);
    }

    /// Dispatches what waits, as far as slots are free.
    pub(crate) fn pump(&mut self, context: Context<'_>, service: &Name, out: &mut Vec<Action>) {
        let now = context.now;
        loop {
            let Some(role) = self.roles.get_mut(service) else {
                return;
            };
            if role.queue.is_empty() {
                return;
            }
            let needed_us = role.service_us() + GIVE_UP_MS * 1_000;
            if let Some(late) = role.queue.pop_before(Instant(now.0 + needed_us)) {
                self.report(context, late.work.attempt, not_run(0, false), out);
                continue;
            }
            let Some(upstream) = role.pick(now) else {
                return;
            };
            let Some(next) = role.queue.pop() else {
                return;
            };
            self.dispatch(context, service, &upstream, next.work, out);
        }
    }

    fn dispatch(
        &mut self,
        context: Context<'_>,
        service: &Name,
        name: &Name,
        work: Work,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let role = self.roles.get_mut(service);
        let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(name)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(work.attempt) else {
            return;
        };
        upstream.busy.insert(work.attempt, job.slot_until());
        upstream.last_used = now;
        let message_id = upstream.take_message_id();
        job.dispatched = Some(Dispatched {
            upstream: name.clone(),
            address: upstream.settings.request_address,
            message_id,
            at: now,
            full: upstream.busy.len() >= usize::from(upstream.limit(now)),
            incarnation: upstream.incarnation,
            holds_slot: true,
        });
        let left_ms = job.deadline.ms_since(now);
        let request = coap::Request {
            message_id,
            confirmable: false,
            token: work.attempt.to_be_bytes().to_vec(),
            deadline_ms: Some(u32::try_from(left_ms).unwrap_or(u32::MAX)),
            ..work.request
        };
        let wake = job.give_up_at();
        self.jobs.wake_at(work.attempt, wake);
        out.push(Action::Dispatch {
            to: upstream.settings.request_address,
            request,
        });
        self.tell_again(context, work.attempt, out);
    }

    /// Takes an upstream's answer.
    pub(crate) fn take_reply(
        &mut self,
        context: Context<'_>,
        from: SocketAddr,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let token: Result<[u8; 8], _> = response.token.as_slice().try_into();
        let attempt = token.map(u64::from_be_bytes).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(attempt) else {
            out.push(Action::Count(Counter::ReplyUnmatched));
            return;
        };
        let asked = job.dispatched.clone().filter(|d| d.address == from);
        let told = job.report.as_ref().map(|report| &report.outcome);
        let (Some(asked), None | Some(Outcome::Unknown)) = (asked, told) else {
            out.push(Action::Count(Counter::ReplyUnmatched));
            return;
        };
        if told.is_some() {
            out.push(Action::Count(Counter::ReplyLate));
        }
        let service = job.service.clone();
        let took_us = now.0.saturating_sub(asked.at.0);
        self.free_slot(context, attempt, out);
        let shed = is_shed(response.code);
        let retry_ms = u64::from(response.max_age_s.unwrap_or_default()) * 1_000;
        if let Some(role) = self.roles.get_mut(&service) {
            let same = |u: &&mut super::upstream::Upstream| u.incarnation == asked.incarnation;
            if let Some(upstream) = role.upstreams.get_mut(&asked.upstream).filter(same) {
                if shed {
                    upstream.ramp.shed(now, retry_ms);
                    upstream.flows.halve(now);
                } else {
                    upstream.ramp.answered(now, took_us, asked.full);
                }
            }
            if !shed {
                role.learn(took_us);
            }
        }
        let outcome = if shed {
            not_run(retry_ms, true)
        } else {
            Outcome::Answered(response)
        };
        self.report(context, attempt, outcome, out);
        self.pump(context, &service, out);
    }

    /// Does what is due for an attempt.
    pub(crate) fn care_for(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let now = context.now;
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        if now >= job.expires {
            self.free_slot(context, attempt, out);
            self.jobs.remove(attempt);
            return;
        }
        let holds_slot = job.dispatched.as_ref().is_some_and(|d| d.holds_slot);
        if job.report.is_none() && holds_slot && now >= job.give_up_at() {
            self.give_up(context, attempt, out);
        }
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        if holds_slot && now >= job.slot_until() {
            self.free_slot(context, attempt, out);
        }
        self.resend_report(context, attempt, out);
        self.schedule(attempt);
    }

    /// Sets the moment at which an attempt needs care next.
    fn schedule(&mut self, attempt: u64) {
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        let mut wake = job.expires;
        if job.dispatched.as_ref().is_some_and(|d| d.holds_slot) {
            wake = wake.min(match job.report {
                None => job.give_up_at(),
                Some(_) => job.slot_until(),
            });
        }
        if let Some(report) = job.report.as_ref().filter(|r| !r.unheard.is_empty()) {
            wake = wake.min(report.resend_at);
        }
        self.jobs.wake_at(attempt, wake);
    }

    /// Gives an attempt up: the upstream is told, and the home is told at once that the outcome
    /// is unknown. The slot stays busy, since the upstream may go on for a while.
    fn give_up(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let now = context.now;
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        let Some(asked) = job.dispatched.clone() else {
            return;
        };
        out.push(Action::Cancel {
            to: asked.address,
            message_id: asked.message_id,
        });
        let service = job.service.clone();
        let took_us = now.0.saturating_sub(asked.at.0);
        if let Some(role) = self.roles.get_mut(&service) {
            let usual = role.service_us().saturating_mul(TIMEOUT_FACTOR);
            if let Some(upstream) = role.upstreams.get_mut(&asked.upstream) {
                // A caller with a short deadline says nothing about the upstream.
                if took_us >= usual && upstream.incarnation == asked.incarnation {
                    upstream.ramp.timed_out(now);
                    upstream.flows.halve(now);
                }
            }
        }
        self.report(context, attempt, Outcome::Unknown, out);
    }

    /// Gives up all attempts at an upstream whose process has ended.
    pub(crate) fn give_up_all(
        &mut self,
        context: Context<'_>,
        service: &Name,
        upstream: &Name,
        out: &mut Vec<Action>,
    ) {
        let at = |job: &Job| {
            job.service == *service
                && job.report.is_none()
                && job
                    .dispatched
                    .as_ref()
                    .is_some_and(|d| d.upstream == *upstream)
        };
        let lost: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| at(job))
            .map(|(attempt, _)| attempt)
            .collect();
        for attempt in lost {
            self.give_up(context, attempt, out);
        }
    }

    /// Gives up attempts at upstreams that no longer announce themselves.
    pub(crate) fn drop_gone(
        &mut self,
        context: Context<'_>,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.roles.get(service) else {
            return;
        };
        let gone: Vec<Name> = role
            .upstreams
            .iter()
            .filter(|(_, u)| !u.busy.is_empty() && !u.is_live(context.now))
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in gone {
            self.give_up_all(context, service, &upstream, out);
        }
    }

    /// A home has given an attempt up.
    pub(crate) fn abandon(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(attempt).filter(|job| job.report.is_none()) else {
            return;
        };
        if job.dispatched.is_some() {
            self.give_up(context, attempt, out);
            return;
        }
        let service = job.service.clone();
        if let Some(role) = self.roles.get_mut(&service) {
            role.queue.remove(attempt);
        }
        self.report(context, attempt, not_run(0, false), out);
    }

    /// Frees the slot that an attempt keeps busy.
    fn free_slot(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        let service = job.service.clone();
        let Some(asked) = job.dispatched.as_mut().filter(|d| d.holds_slot) else {
            return;
        };
        asked.holds_slot = false;
        if let Some(role) = self.roles.get_mut(&service) {
            if let Some(upstream) = role.upstreams.get_mut(&asked.upstream) {
                upstream.busy.remove(&attempt);
            }
            return;
        }
        let dispatcher = Self::domain(context).and_then(|d| context.view.dispatcher(&service, d));
        if let Some(vm) = dispatcher {
            let message = Message::Freed { service, attempt };
            Self::send(context, &vm.name, message, out);
        }
    }

    fn hint(&self, context: Context<'_>, service: &Name) -> Hint {
        let role = self.roles.get(service);
        role.map(|role| role.hint(context.now)).unwrap_or_default()
    }
}

fn not_run(retry_after_ms: u64, shed: bool) -> Outcome {
    Outcome::NotRun {
        retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        shed,
    }
}

/// Whether an upstream's answer says that the request was not run.
fn is_shed(code: u8) -> bool {
    matches!(code, coap::UNAVAILABLE | coap::TOO_MANY)
}
