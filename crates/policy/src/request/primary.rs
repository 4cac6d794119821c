//! The life of a request at its primary.
//!
//! A request that is not idempotent is sent to a dispatcher only after every VM that may know it
//! has replied that it does not and has stored the intent. The request is retried only if the
//! dispatcher or the upstream reports that it certainly has not run.

use model::{key, name::Name};
use rand::Rng;
use wire::coap;

use super::{
    MAX_RETRY_BUDGET, RETRY_COST, Requests, SentAttempt, build_answer, empty_response,
    find_service, has_majority,
    message::AttemptOutcome,
    record::{Attempting, Phase, Record, ReserveAccess},
    send_load_message, slot_free_at,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    load::{
        self, MAX_DATAGRAM_DELAY_MS,
        messages::{AttemptRequest, Outcome},
    },
    time::Instant,
    view::Vm,
};

/// Interval at which an intent or an attempt is sent again, in milliseconds.
pub(super) const RESEND_INTERVAL_MS: u64 = 40;

/// Time for a dispatcher to accept an attempt before an idempotent request is sent elsewhere, in
/// milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 200;

/// Time before the deadline at which the primary gives the request up, in milliseconds.
const GIVE_UP_MARGIN_MS: u64 = 15;

/// Upper bound of the random back-off before a retry, in microseconds.
const MAX_BACKOFF_US: u64 = 20_000;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 6;

impl Requests {
    /// Starts processing a request that this VM has no record of.
    pub(super) fn start_request(
        &mut self,
        context: Context<'_>,
        key: key::Request,
        request: coap::Request,
        out: &mut Vec<Action>,
    ) {
        let Some((service, _)) = find_service(context.config, &request) else {
            out.push(build_answer(
                key.caller,
                &request,
                empty_response(coap::NOT_FOUND, None),
            ));
            return;
        };
        let now = context.now;
        // While the first request is open, a caller can't tell its answer from that of another
        // request with the same token (RFC 7252, section 5.3.1).
        if self.store.get(&key).is_some_and(Record::is_open) {
            out.push(build_answer(
                key.caller,
                &request,
                empty_response(coap::BAD_REQUEST, None),
            ));
            return;
        }
        let keep_ms = max_request_duration_ms(context.config) + MAX_DATAGRAM_DELAY_MS;
        let bytes = request.payload.0.len();
        let idempotent = request.method.is_idempotent();
        // A request refused for lack of room is recorded too; otherwise a copy still in the network
        // might run after the refusal.
        let has_room = self
            .store
            .make_room(now, bytes, keep_ms, ReserveAccess::Denied);
        if !has_room
            && !self
                .store
                .make_room(now, 0, keep_ms, ReserveAccess::Allowed)
        {
            return;
        }
        self.retry_budget = (self.retry_budget + 1).min(MAX_RETRY_BUDGET);
        let remaining_ms = request.deadline_ms.unwrap_or_default();
        let deadline = now.plus_ms(u64::from(remaining_ms));
        let mut record = super::new_record(&request, service, deadline, Phase::Backoff);
        if !has_room {
            record.request = None;
        }
        self.store.insert(key.clone(), record);
        if idempotent {
            self.start_attempt(context, &key, out);
        } else if has_majority(context) {
            self.query_holders(context, &key, out);
        } else {
            self.finish_request(context, &key, empty_response(coap::TIMEOUT, None), out);
        }
    }

    /// Sends a request to a dispatcher, or refuses it if no dispatcher is left to try.
    pub(super) fn start_attempt(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let Some(record) = self.store.get(key) else {
            return;
        };
        let service = record.service.clone();
        let has_request = record.request.is_some();
        let candidate = self.dispatcher_loads.choose_dispatcher(
            context,
            &mut self.rng,
            &service,
            &record.tried_domains,
        );
        let has_time_and_attempts =
            now < give_up_at(record.deadline) && record.attempts < MAX_ATTEMPTS;
        let Some(candidate) = candidate.filter(|_| has_time_and_attempts && has_request) else {
            self.refuse_request(context, key, out);
            return;
        };
        self.attempts += 1;
        let attempt = model::key::mix(self.seed, self.attempts);
        let epoch =
            self.dispatcher_loads
                .record_send(&service, &candidate.domain, &candidate.dispatcher);
        let until = slot_free_at(record.deadline);
        self.sent_attempts.insert(
            attempt,
            SentAttempt {
                service,
                domain: candidate.domain.clone(),
                upstream: None,
                until,
            },
        );
        self.store.update(key, |record| {
            record.attempts += 1;
            record.phase = Phase::Attempting(Attempting {
                attempt,
                epoch,
                dispatcher: candidate.dispatcher,
                domain: candidate.domain,
                accepted: false,
                resend_at: now,
                first_sent_at: now,
            });
        });
        self.send_attempt(context, key, out);
    }

    fn send_attempt(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let now = context.now;
        let to_send = self.store.update(key, |record| {
            let request = record.request.clone()?;
            let Phase::Attempting(attempting) = &mut record.phase else {
                return None;
            };
            attempting.resend_at = now.plus_ms(RESEND_INTERVAL_MS);
            let attempt_request = AttemptRequest {
                attempt: attempting.attempt,
                epoch: attempting.epoch,
                key: key.clone(),
                content_fingerprint: record.content_fingerprint,
                service: record.service.clone(),
                remaining_ms: remaining_ms(now, record.deadline),
                request: *request,
            };
            let due = attempting.resend_at.min(give_up_at(record.deadline));
            Some((attempting.dispatcher.clone(), attempt_request, due))
        });
        let Some((dispatcher, attempt_request, due)) = to_send.flatten() else {
            return;
        };
        send_load_message(
            context,
            &dispatcher,
            load::Message::Work(Box::new(attempt_request)),
            out,
        );
        self.store.set_due(key, due);
    }

    /// Notes that a dispatcher has accepted an attempt.
    pub(super) fn handle_attempt_accepted(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        key: &key::Request,
        content_fingerprint: u64,
        upstream: Option<Name>,
    ) {
        if let Some(sent) = self.sent_attempts.get_mut(&attempt) {
            sent.upstream = upstream.or(sent.upstream.take());
        }
        let due = self.store.update(key, |record| {
            if record.content_fingerprint != content_fingerprint {
                return None;
            }
            match &mut record.phase {
                Phase::Attempting(attempting) if attempting.attempt == attempt => {
                    attempting.accepted = true;
                    Some(give_up_at(record.deadline))
                }
                // The request's primary was lost, but the dispatcher has the attempt, so an outcome
                // will follow.
                Phase::Orphaned(orphaned) => {
                    orphaned.until = give_up_at(record.deadline);
                    Some(orphaned.until)
                }
                _ => None,
            }
        });
        if let Some(due) = due.flatten() {
            self.store.set_due(key, due.max(context.now));
        }
    }

    /// Handles the outcome of an attempt.
    pub(super) fn handle_outcome(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        report: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let attempt = report.attempt;
        let now = context.now;
        if report.acknowledge {
            let ack = load::Message::OutcomeAck { attempt };
            send_load_message(context, &from.name, ack, out);
        }
        self.dispatcher_loads.record_hint(
            now,
            &report.service,
            &from.domain,
            &from.name,
            report.load_hint,
        );
        match report.outcome {
            Outcome::Answered(_) | Outcome::NotRun { .. } => {
                self.sent_attempts.remove(&attempt);
            }
            Outcome::Stale | Outcome::Unknown => {}
        }
        let key = report.key.clone();
        let Some(record) = self
            .store
            .get(&key)
            .filter(|r| r.content_fingerprint == report.content_fingerprint)
        else {
            return;
        };
        match &record.phase {
            Phase::Attempting(attempting) if attempting.attempt == attempt => {
                let attempting = attempting.clone();
                self.resolve_attempt(context, &key, &attempting, report, out);
            }
            Phase::Held(_) | Phase::Orphaned(_) => {
                self.resolve_orphaned(context, &key, report, out)
            }
            Phase::Done(done) if done.response.code == coap::TIMEOUT => {
                if let Outcome::Answered(response) = report.outcome {
                    self.correct_answer(context, &key, response);
                }
            }
            _ => {}
        }
    }

    fn resolve_attempt(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        attempting: &Attempting,
        report: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        match report.outcome {
            Outcome::Answered(response) => self.finish_request(context, key, response, out),
            Outcome::Unknown => {
                self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out)
            }
            Outcome::Stale => self.handle_lost_attempt(context, key, out),
            Outcome::NotRun {
                retry_after_ms,
                shed,
            } => {
                let new_epoch =
                    report.load_hint.epoch != 0 && report.load_hint.epoch != attempting.epoch;
                let now = context.now;
                let pause_us = if shed { self.random_backoff_us() } else { 0 };
                self.store.update(key, |record| {
                    if shed || !new_epoch {
                        record.tried_domains.insert(attempting.domain.clone());
                        let shortest_ms = record.retry_after_ms.unwrap_or(u32::MAX);
                        record.retry_after_ms = Some(shortest_ms.min(retry_after_ms));
                    }
                    record.phase = Phase::Backoff;
                });
                if shed && !self.spend_retry() {
                    self.refuse_request(context, key, out);
                } else if shed {
                    self.store.set_due(key, Instant(now.0 + pause_us));
                } else {
                    self.start_attempt(context, key, out);
                }
            }
        }
    }

    /// Handles an attempt that is lost and may have run; only an idempotent request is retried.
    pub(super) fn handle_lost_attempt(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if !record.idempotent || !self.spend_retry() {
            self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out);
            return;
        }
        let retry_at = Instant(context.now.0 + self.random_backoff_us());
        self.store.update(key, |record| {
            if let Phase::Attempting(attempting) = &record.phase {
                record.tried_domains.insert(attempting.domain.clone());
            }
            record.may_have_run = true;
            record.phase = Phase::Backoff;
        });
        self.store.set_due(key, retry_at);
    }

    /// Does what is due for a record: sends again, retries, gives up or removes the record.
    pub(super) fn process_due(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let Some(record) = self.store.get(key) else {
            return;
        };
        let deadline = record.deadline;
        match &record.phase {
            Phase::AwaitingHolders(awaiting) if now >= awaiting.until => {
                self.refuse_request(context, key, out)
            }
            Phase::AwaitingHolders(_) => self.send_intent(context, key, out),
            Phase::Backoff => self.start_attempt(context, key, out),
            Phase::Attempting(attempting) => {
                let is_overdue = now.ms_since(attempting.first_sent_at) >= ACCEPT_TIMEOUT_MS
                    && !attempting.accepted;
                if now >= give_up_at(deadline) {
                    self.abandon_attempt(context, key, out);
                } else if is_overdue && record.idempotent {
                    self.handle_lost_attempt(context, key, out);
                } else if !attempting.accepted {
                    self.send_attempt(context, key, out);
                } else {
                    self.store.set_due(key, give_up_at(deadline));
                }
            }
            Phase::Held(_) => self.store.remove(key),
            Phase::Orphaned(_) => {
                self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out)
            }
            Phase::Done(_) => self.process_due_answer(context, key, out),
        }
    }

    /// Cancels the attempt at its dispatcher and answers that the outcome is unknown.
    pub(super) fn abandon_attempt(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if let Phase::Attempting(attempting) = &record.phase {
            let message = load::Message::Abandon {
                attempt: attempting.attempt,
            };
            send_load_message(context, &attempting.dispatcher.clone(), message, out);
        }
        self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out);
    }

    /// Handles the loss of VMs: attempts at lost dispatchers count as lost, and open intents are
    /// sent to the present holders.
    pub(super) fn recover_from_lost_vms(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let is_lost = |vm: &Name| context.view.get(vm).is_none();
        let mut lost_attempts = Vec::new();
        let mut awaiting_holders = Vec::new();
        for (key, record) in self.store.iter() {
            match &record.phase {
                Phase::Attempting(attempting) if is_lost(&attempting.dispatcher) => {
                    lost_attempts.push(key.clone())
                }
                Phase::AwaitingHolders(_) => awaiting_holders.push(key.clone()),
                _ => {}
            }
        }
        for key in lost_attempts {
            self.handle_lost_attempt(context, &key, out);
        }
        for key in awaiting_holders {
            self.query_holders(context, &key, out);
        }
    }

    /// Schedules the removal of a record that another VM processes, for when delayed datagrams no
    /// longer matter.
    pub(super) fn schedule_expiry(&mut self, context: Context<'_>, key: &key::Request) {
        let keep_ms = max_request_duration_ms(context.config) + MAX_DATAGRAM_DELAY_MS;
        if let Some(record) = self.store.get(key) {
            let until = record.deadline.plus_ms(keep_ms);
            self.store.set_due(key, until);
        }
    }

    fn spend_retry(&mut self) -> bool {
        if self.retry_budget < RETRY_COST {
            return false;
        }
        self.retry_budget -= RETRY_COST;
        true
    }

    fn random_backoff_us(&mut self) -> u64 {
        self.rng.random_range(0..MAX_BACKOFF_US)
    }
}

/// Returns when the primary gives up a request with this deadline.
pub(super) fn give_up_at(deadline: Instant) -> Instant {
    Instant(deadline.0.saturating_sub(GIVE_UP_MARGIN_MS * 1_000))
}

pub(super) fn remaining_ms(now: Instant, deadline: Instant) -> u32 {
    u32::try_from(deadline.ms_since(now)).unwrap_or(u32::MAX)
}
