//! The life of one attempt at its dispatcher: accepted, queued, dispatched, answered or given up,
//! reported.
//!
//! An attempt is dispatched in exactly one datagram, which is never sent again. Its outcome is
//! reported to its primary until the primary acknowledges it. The outcome is kept for as long as a
//! delayed copy of the primary's message may arrive, so that no copy is taken for a new attempt.

use std::net::SocketAddr;

use model::name::Name;
use wire::coap;

use super::{
    Load, MAX_DATAGRAM_DELAY_MS, MAX_JOBS, Message,
    job::{Dispatched, Job},
    messages::{AttemptRequest, LoadHint, Outcome},
    queue::QueuedAttempt,
    role::GIVE_UP_MARGIN_MS,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context, Counter},
    request,
    time::Instant,
    view::Vm,
};

mod report;

/// Interval at which an outcome is reported again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 50;

/// An attempt given up after more than this multiple of the smoothed service time counts as a
/// timeout of the upstream.
const TIMEOUT_FACTOR: u64 = 4;

impl Load {
    /// Accepts or refuses a primary's request for an attempt.
    pub(crate) fn handle_attempt_request(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        attempt_request: AttemptRequest,
        out: &mut Vec<Action>,
    ) {
        let attempt = attempt_request.attempt;
        if self.jobs.get(attempt).is_some() {
            self.report_progress(context, attempt, out);
            return;
        }
        let now = context.now;
        let remaining_ms = u64::from(attempt_request.remaining_ms);
        let kept_ms = max_request_duration_ms(context.config) + MAX_DATAGRAM_DELAY_MS;
        let deadline = now.plus_ms(remaining_ms);
        let expires_at = deadline.plus_ms(kept_ms);
        if let Err(outcome) = self.check_attempt_request(now, &attempt_request, deadline) {
            if self.refused.insert(attempt, expires_at) {
                self.send_refusal(context, from, &attempt_request, outcome, out);
            }
            return;
        }
        let job = Job {
            key: attempt_request.key.clone(),
            content_fingerprint: attempt_request.content_fingerprint,
            service: attempt_request.service.clone(),
            primary: from.name.clone(),
            deadline,
            dispatched: None,
            report: None,
            expires_at,
        };
        self.jobs.insert(attempt, job);
        let service = attempt_request.service.clone();
        if let Some(role) = self.roles.get_mut(&service) {
            role.queue.push(QueuedAttempt {
                attempt_request,
                deadline,
            });
        }
        self.dispatch_queued(context, &service, out);
        let inserted = self.jobs.get(attempt);
        if inserted.is_some_and(|j| j.dispatched.is_none()) {
            self.report_progress(context, attempt, out);
        }
    }

    /// Checks whether this VM can accept an attempt; otherwise returns the outcome to report.
    fn check_attempt_request(
        &self,
        now: Instant,
        attempt_request: &AttemptRequest,
        deadline: Instant,
    ) -> Result<(), Outcome> {
        if self.refused.is_refused(attempt_request.attempt) || self.jobs.len() >= MAX_JOBS {
            return Err(not_run(0, false));
        }
        if attempt_request.epoch != 0
            && Self::process_start_of(attempt_request.epoch) != self.start_number
        {
            return Err(Outcome::Stale);
        }
        match self.roles.get(&attempt_request.service) {
            Some(role) if role.epoch == attempt_request.epoch => role
                .check_deadline(now, deadline)
                .map_err(|retry_after_ms| not_run(retry_after_ms, false)),
            _ => Err(not_run(0, false)),
        }
    }

    /// Reports once to a primary that its attempt was refused; the primary asks again if the report
    /// is lost.
    fn send_refusal(
        &self,
        context: Context<'_>,
        primary: &Vm,
        attempt_request: &AttemptRequest,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let reported = request::AttemptOutcome {
            attempt: attempt_request.attempt,
            key: attempt_request.key.clone(),
            content_fingerprint: attempt_request.content_fingerprint,
            service: attempt_request.service.clone(),
            upstream: None,
            outcome,
            acknowledge: false,
            load_hint: self.load_hint(context, &attempt_request.service),
        };
        let message = request::Message::Outcome(Box::new(reported));
        Self::send_request_message(context, &primary.name, message, out);
    }

    /// Dispatches queued requests while slots are free, and refuses those that are too late.
    pub(crate) fn dispatch_queued(
        &mut self,
        context: Context<'_>,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        loop {
            let Some(role) = self.roles.get_mut(service) else {
                return;
            };
            if role.queue.is_empty() {
                return;
            }
            let needed_us = role.service_us() + GIVE_UP_MARGIN_MS * 1_000;
            if let Some(expired) = role.queue.pop_before(Instant(now.0 + needed_us)) {
                self.report_outcome(
                    context,
                    expired.attempt_request.attempt,
                    not_run(0, false),
                    out,
                );
                continue;
            }
            let Some(upstream) = role.pick_upstream(now) else {
                return;
            };
            let Some(next) = role.queue.pop() else {
                return;
            };
            self.dispatch(context, service, &upstream, next.attempt_request, out);
        }
    }

    fn dispatch(
        &mut self,
        context: Context<'_>,
        service: &Name,
        name: &Name,
        attempt_request: AttemptRequest,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let role = self.roles.get_mut(service);
        let Some(upstream) = role.and_then(|role| role.upstreams.get_mut(name)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(attempt_request.attempt) else {
            return;
        };
        upstream
            .busy
            .insert(attempt_request.attempt, job.slot_until());
        upstream.last_used = now;
        let message_id = upstream.allocate_message_id();
        job.dispatched = Some(Dispatched {
            upstream: name.clone(),
            address: upstream.settings.request_address,
            message_id,
            at: now,
            limit_reached: upstream.busy.len() >= usize::from(upstream.limit(now)),
            incarnation: upstream.incarnation,
            holds_slot: true,
        });
        let remaining_ms = job.deadline.ms_since(now);
        let request = coap::Request {
            message_id,
            confirmable: false,
            token: attempt_request.attempt.to_be_bytes().to_vec(),
            deadline_ms: Some(u32::try_from(remaining_ms).unwrap_or(u32::MAX)),
            ..attempt_request.request
        };
        let due = job.give_up_at();
        self.jobs.set_due(attempt_request.attempt, due);
        out.push(Action::Dispatch {
            to: upstream.settings.request_address,
            request,
        });
        self.report_progress(context, attempt_request.attempt, out);
    }

    /// Handles an upstream's reply.
    pub(crate) fn handle_reply(
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
        let dispatched = job.dispatched.clone().filter(|d| d.address == from);
        let reported = job.report.as_ref().map(|report| &report.outcome);
        let (Some(dispatched), None | Some(Outcome::Unknown)) = (dispatched, reported) else {
            out.push(Action::Count(Counter::ReplyUnmatched));
            return;
        };
        if reported.is_some() {
            out.push(Action::Count(Counter::ReplyLate));
        }
        let service = job.service.clone();
        let took_us = now.0.saturating_sub(dispatched.at.0);
        self.free_slot(context, attempt, out);
        let shed = is_shed(response.code);
        let retry_ms = u64::from(response.max_age_s.unwrap_or_default()) * 1_000;
        if let Some(role) = self.roles.get_mut(&service) {
            let same_incarnation =
                |u: &&mut super::upstream::Upstream| u.incarnation == dispatched.incarnation;
            if let Some(upstream) = role
                .upstreams
                .get_mut(&dispatched.upstream)
                .filter(same_incarnation)
            {
                if shed {
                    upstream.ramp.record_refusal(now, retry_ms);
                    upstream.flows.halve_rate(now);
                } else {
                    upstream
                        .ramp
                        .record_answer(now, took_us, dispatched.limit_reached);
                }
            }
            if !shed {
                role.update_service_time(took_us);
            }
        }
        let outcome = if shed {
            not_run(retry_ms, true)
        } else {
            Outcome::Answered(response)
        };
        self.report_outcome(context, attempt, outcome, out);
        self.dispatch_queued(context, &service, out);
    }

    /// Does what is due for an attempt: gives it up, frees its slot, reports its outcome or removes
    /// it.
    pub(crate) fn process_due(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        if now >= job.expires_at {
            self.free_slot(context, attempt, out);
            self.jobs.remove(attempt);
            return;
        }
        let holds_slot = job.dispatched.as_ref().is_some_and(|d| d.holds_slot);
        if job.report.is_none() && holds_slot && now >= job.give_up_at() {
            self.give_up_attempt(context, attempt, out);
        }
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        if holds_slot && now >= job.slot_until() {
            self.free_slot(context, attempt, out);
        }
        self.resend_outcome(context, attempt, out);
        self.schedule(attempt);
    }

    /// Sets the time at which an attempt is next due.
    fn schedule(&mut self, attempt: u64) {
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        let mut due = job.expires_at;
        if job.dispatched.as_ref().is_some_and(|d| d.holds_slot) {
            due = due.min(match job.report {
                None => job.give_up_at(),
                Some(_) => job.slot_until(),
            });
        }
        if let Some(report) = job.report.as_ref().filter(|r| !r.unacknowledged.is_empty()) {
            due = due.min(report.resend_at);
        }
        self.jobs.set_due(attempt, due);
    }

    /// Gives an attempt up: cancels it at the upstream and reports to the primary that the outcome
    /// is unknown. The slot stays busy, since the upstream may still be running the request.
    fn give_up_attempt(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let now = context.now;
        let Some(job) = self.jobs.get(attempt) else {
            return;
        };
        let Some(dispatched) = job.dispatched.clone() else {
            return;
        };
        out.push(Action::Cancel {
            to: dispatched.address,
            message_id: dispatched.message_id,
        });
        let service = job.service.clone();
        let took_us = now.0.saturating_sub(dispatched.at.0);
        if let Some(role) = self.roles.get_mut(&service) {
            let timeout_us = role.service_us().saturating_mul(TIMEOUT_FACTOR);
            if let Some(upstream) = role.upstreams.get_mut(&dispatched.upstream) {
                // A timeout that is due to the caller's short deadline is not held against the
                // upstream.
                if took_us >= timeout_us && upstream.incarnation == dispatched.incarnation {
                    upstream.ramp.record_timeout(now);
                    upstream.flows.halve_rate(now);
                }
            }
        }
        self.report_outcome(context, attempt, Outcome::Unknown, out);
    }

    /// Gives up all attempts at an upstream whose process has ended.
    pub(crate) fn give_up_attempts_at(
        &mut self,
        context: Context<'_>,
        service: &Name,
        upstream: &Name,
        out: &mut Vec<Action>,
    ) {
        let is_at_upstream = |job: &Job| {
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
            .filter(|(_, job)| is_at_upstream(job))
            .map(|(attempt, _)| attempt)
            .collect();
        for attempt in lost {
            self.give_up_attempt(context, attempt, out);
        }
    }

    /// Gives up the attempts at upstreams that no longer announce themselves.
    pub(crate) fn give_up_at_expired_upstreams(
        &mut self,
        context: Context<'_>,
        service: &Name,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.roles.get(service) else {
            return;
        };
        let expired: Vec<Name> = role
            .upstreams
            .iter()
            .filter(|(_, u)| !u.busy.is_empty() && !u.is_live(context.now))
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in expired {
            self.give_up_attempts_at(context, service, &upstream, out);
        }
    }

    /// Handles a primary's message that it has given an attempt up.
    pub(crate) fn handle_abandon(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(attempt).filter(|job| job.report.is_none()) else {
            return;
        };
        if job.dispatched.is_some() {
            self.give_up_attempt(context, attempt, out);
            return;
        }
        let service = job.service.clone();
        if let Some(role) = self.roles.get_mut(&service) {
            role.queue.remove(attempt);
        }
        self.report_outcome(context, attempt, not_run(0, false), out);
    }

    /// Frees the slot that an attempt keeps busy, here or at the dispatcher that has taken over.
    fn free_slot(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        let service = job.service.clone();
        let Some(dispatched) = job.dispatched.as_mut().filter(|d| d.holds_slot) else {
            return;
        };
        dispatched.holds_slot = false;
        if let Some(role) = self.roles.get_mut(&service) {
            if let Some(upstream) = role.upstreams.get_mut(&dispatched.upstream) {
                upstream.busy.remove(&attempt);
            }
            return;
        }
        let dispatcher =
            Self::own_domain(context).and_then(|d| context.view.dispatcher(&service, d));
        if let Some(vm) = dispatcher {
            let message = Message::SlotFreed { service, attempt };
            Self::send_load_message(context, &vm.name, message, out);
        }
    }

    fn load_hint(&self, context: Context<'_>, service: &Name) -> LoadHint {
        let role = self.roles.get(service);
        role.map(|role| role.load_hint(context.now))
            .unwrap_or_default()
    }
}

fn not_run(retry_after_ms: u64, shed: bool) -> Outcome {
    Outcome::NotRun {
        retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        shed,
    }
}

/// Reports whether a response code means that the upstream did not run the request.
fn is_shed(code: u8) -> bool {
    matches!(code, coap::UNAVAILABLE | coap::TOO_MANY_REQUESTS)
}
