//! The life of a request at its home.
//!
//! A request that is not idempotent is dispatched only after every VM that may know of it has
//! answered that it does not, and holds the intent from then on. It is tried again only where
//! the steward, or the upstream, says that it certainly has not run.

use model::{key, name::Name};
use rand::Rng;
use wire::coap;

use super::{
    RETRY_COST, RETRY_MAX, Requests, Sent, answer, find_service, has_majority,
    message::AttemptOutcome,
    over_at,
    record::{Phase, Record, Reserve, Working},
    response, send_load,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    load::{
        self, MAX_DELAY_MS,
        work::{Outcome, Work},
    },
    time::Instant,
    view::Vm,
};

/// Time between two sendings of an intent, an attempt or an answer, in milliseconds.
pub(super) const RESEND_MS: u64 = 40;

/// Time that a steward has to take an attempt that may be tried elsewhere, in milliseconds.
const TAKE_MS: u64 = 200;

/// Time before a deadline at which the home gives up by itself, in milliseconds.
const GIVE_UP_MS: u64 = 15;

/// Longest pause before a retry, in microseconds; the pause is drawn at random.
const JITTER_US: u64 = 20_000;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 6;

impl Requests {
    /// Takes a request that this VM has no record of.
    pub(super) fn begin(
        &mut self,
        context: Context<'_>,
        key: key::Request,
        request: coap::Request,
        out: &mut Vec<Action>,
    ) {
        let Some((service, _)) = find_service(context.config, &request) else {
            out.push(answer(
                key.caller,
                &request,
                response(coap::NOT_FOUND, None),
            ));
            return;
        };
        let now = context.now;
        // Another request under the same token, while the first is under way, can't be told apart
        // in its answer (RFC 7252, section 5.3.1).
        if self.store.get(&key).is_some_and(Record::is_open) {
            out.push(answer(
                key.caller,
                &request,
                response(coap::BAD_REQUEST, None),
            ));
            return;
        }
        let keep_ms = max_request_duration_ms(context.config) + MAX_DELAY_MS;
        let bytes = request.payload.0.len();
        let idempotent = request.method.is_idempotent();
        // What is refused for want of room is recorded too, since a copy that was under way may
        // run otherwise after the refusal.
        let takes = self.store.make_room(now, bytes, keep_ms, Reserve::Kept);
        if !takes && !self.store.make_room(now, 0, keep_ms, Reserve::Used) {
            return;
        }
        self.retries = (self.retries + 1).min(RETRY_MAX);
        let left_ms = request.deadline_ms.unwrap_or_default();
        let deadline = now.plus_ms(u64::from(left_ms));
        let mut record = super::record(&request, service, deadline, Phase::Backoff);
        if !takes {
            record.request = None;
        }
        self.store.insert(key.clone(), record);
        if idempotent {
            self.attempt(context, &key, out);
        } else if has_majority(context) {
            self.ask_holders(context, &key, out);
        } else {
            self.finish(context, &key, response(coap::TIMEOUT, None), out);
        }
    }

    /// Sends a request to a steward, or refuses it where none is left.
    pub(super) fn attempt(
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
        let takes = record.request.is_some();
        let chosen = self
            .gauges
            .choose(context, &mut self.rng, &service, &record.tried);
        let in_time = now < give_up_at(record.deadline) && record.attempts < MAX_ATTEMPTS;
        let Some(chosen) = chosen.filter(|_| in_time && takes) else {
            self.refuse(context, key, out);
            return;
        };
        self.attempts += 1;
        let attempt = model::key::mix(self.seed, self.attempts);
        let epoch = self
            .gauges
            .send(&service, &chosen.domain, &chosen.dispatcher);
        let until = over_at(record.deadline);
        self.sent.insert(
            attempt,
            Sent {
                service,
                domain: chosen.domain.clone(),
                upstream: None,
                until,
            },
        );
        self.store.update(key, |record| {
            record.attempts += 1;
            record.phase = Phase::Working(Working {
                attempt,
                epoch,
                dispatcher: chosen.dispatcher,
                domain: chosen.domain,
                taken: false,
                resend_at: now,
                since: now,
            });
        });
        self.send_work(context, key, out);
    }

    fn send_work(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let now = context.now;
        let to_send = self.store.update(key, |record| {
            let request = record.request.clone()?;
            let Phase::Working(working) = &mut record.phase else {
                return None;
            };
            working.resend_at = now.plus_ms(RESEND_MS);
            let work = Work {
                attempt: working.attempt,
                epoch: working.epoch,
                key: key.clone(),
                content: record.content,
                service: record.service.clone(),
                left_ms: left_ms(now, record.deadline),
                request: *request,
            };
            let wake = working.resend_at.min(give_up_at(record.deadline));
            Some((working.dispatcher.clone(), work, wake))
        });
        let Some((dispatcher, work, wake)) = to_send.flatten() else {
            return;
        };
        send_load(
            context,
            &dispatcher,
            load::Message::Work(Box::new(work)),
            out,
        );
        self.store.wake_at(key, wake);
    }

    /// A steward has taken an attempt.
    pub(super) fn take_taken(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        key: &key::Request,
        content: u64,
        upstream: Option<Name>,
    ) {
        if let Some(sent) = self.sent.get_mut(&attempt) {
            sent.upstream = upstream.or(sent.upstream.take());
        }
        let wake = self.store.update(key, |record| {
            if record.content != content {
                return None;
            }
            match &mut record.phase {
                Phase::Working(working) if working.attempt == attempt => {
                    working.taken = true;
                    Some(give_up_at(record.deadline))
                }
                // Its home was lost; the steward has it, so that there is an answer to wait for.
                Phase::Orphaned(orphaned) => {
                    orphaned.until = give_up_at(record.deadline);
                    Some(orphaned.until)
                }
                _ => None,
            }
        });
        if let Some(wake) = wake.flatten() {
            self.store.wake_at(key, wake.max(context.now));
        }
    }

    /// Takes what came of an attempt.
    pub(super) fn take_outcome(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        told: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let attempt = told.attempt;
        let now = context.now;
        if told.acknowledge {
            let ack = load::Message::OutcomeAck { attempt };
            send_load(context, &from.name, ack, out);
        }
        self.gauges
            .take(now, &told.service, &from.domain, &from.name, told.hint);
        match told.outcome {
            Outcome::Answered(_) | Outcome::NotRun { .. } => {
                self.sent.remove(&attempt);
            }
            Outcome::Stale | Outcome::Unknown => {}
        }
        let key = told.key.clone();
        let Some(record) = self.store.get(&key).filter(|r| r.content == told.content) else {
            return;
        };
        match &record.phase {
            Phase::Working(working) if working.attempt == attempt => {
                let working = working.clone();
                self.resolve(context, &key, &working, told, out);
            }
            Phase::Held(_) | Phase::Orphaned(_) => self.resolve_for_lost(context, &key, told, out),
            Phase::Done(done) if done.response.code == coap::TIMEOUT => {
                if let Outcome::Answered(response) = told.outcome {
                    self.correct(context, &key, response);
                }
            }
            _ => {}
        }
    }

    fn resolve(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        working: &Working,
        told: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        match told.outcome {
            Outcome::Answered(response) => self.finish(context, key, response, out),
            Outcome::Unknown => self.finish(context, key, response(coap::TIMEOUT, None), out),
            Outcome::Stale => self.lose_attempt(context, key, out),
            Outcome::NotRun {
                retry_after_ms,
                shed,
            } => {
                let new_epoch = told.hint.epoch != 0 && told.hint.epoch != working.epoch;
                let now = context.now;
                let pause = if shed { self.jitter() } else { 0 };
                self.store.update(key, |record| {
                    if shed || !new_epoch {
                        record.tried.insert(working.domain.clone());
                        let least = record.retry_after_ms.unwrap_or(u32::MAX);
                        record.retry_after_ms = Some(least.min(retry_after_ms));
                    }
                    record.phase = Phase::Backoff;
                });
                if shed && !self.take_retry() {
                    self.refuse(context, key, out);
                } else if shed {
                    self.store.wake_at(key, Instant(now.0 + pause));
                } else {
                    self.attempt(context, key, out);
                }
            }
        }
    }

    /// An attempt is lost: it may have run. Only an idempotent request is tried again.
    pub(super) fn lose_attempt(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if !record.idempotent || !self.take_retry() {
            self.finish(context, key, response(coap::TIMEOUT, None), out);
            return;
        }
        let at = Instant(context.now.0 + self.jitter());
        self.store.update(key, |record| {
            if let Phase::Working(working) = &record.phase {
                record.tried.insert(working.domain.clone());
            }
            record.may_have_run = true;
            record.phase = Phase::Backoff;
        });
        self.store.wake_at(key, at);
    }

    /// Does what is due for a record.
    pub(super) fn care_for(
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
            Phase::Granting(granting) if now >= granting.until => self.refuse(context, key, out),
            Phase::Granting(_) => self.send_intent(context, key, out),
            Phase::Backoff => self.attempt(context, key, out),
            Phase::Working(working) => {
                let late = now.ms_since(working.since) >= TAKE_MS && !working.taken;
                if now >= give_up_at(deadline) {
                    self.abandon(context, key, out);
                } else if late && record.idempotent {
                    self.lose_attempt(context, key, out);
                } else if !working.taken {
                    self.send_work(context, key, out);
                } else {
                    self.store.wake_at(key, give_up_at(deadline));
                }
            }
            Phase::Held(_) => self.store.remove(key),
            Phase::Orphaned(_) => self.finish(context, key, response(coap::TIMEOUT, None), out),
            Phase::Done(_) => self.care_for_answered(context, key, out),
        }
    }

    /// Gives an attempt up at its deadline.
    pub(super) fn abandon(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if let Phase::Working(working) = &record.phase {
            let message = load::Message::Abandon {
                attempt: working.attempt,
            };
            send_load(context, &working.dispatcher.clone(), message, out);
        }
        self.finish(context, key, response(coap::TIMEOUT, None), out);
    }

    /// View change: attempts at stewards that were lost are lost, intents at holders that were
    /// lost are asked for elsewhere.
    pub(super) fn leave_lost(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let gone = |vm: &Name| context.view.get(vm).is_none();
        let mut lost_work = Vec::new();
        let mut lost_holders = Vec::new();
        for (key, record) in self.store.iter() {
            match &record.phase {
                Phase::Working(working) if gone(&working.dispatcher) => lost_work.push(key.clone()),
                Phase::Granting(_) => lost_holders.push(key.clone()),
                _ => {}
            }
        }
        for key in lost_work {
            self.lose_attempt(context, &key, out);
        }
        for key in lost_holders {
            self.ask_holders(context, &key, out);
        }
    }

    /// Keeps a record that another VM deals with until its outcome no longer matters.
    pub(super) fn keep(&mut self, context: Context<'_>, key: &key::Request) {
        let keep_ms = max_request_duration_ms(context.config) + MAX_DELAY_MS;
        if let Some(record) = self.store.get(key) {
            let until = record.deadline.plus_ms(keep_ms);
            self.store.wake_at(key, until);
        }
    }

    fn take_retry(&mut self) -> bool {
        if self.retries < RETRY_COST {
            return false;
        }
        self.retries -= RETRY_COST;
        true
    }

    fn jitter(&mut self) -> u64 {
        self.rng.random_range(0..JITTER_US)
    }
}

/// When the home gives up by itself.
pub(super) fn give_up_at(deadline: Instant) -> Instant {
    Instant(deadline.0.saturating_sub(GIVE_UP_MS * 1_000))
}

pub(super) fn left_ms(now: Instant, deadline: Instant) -> u32 {
    u32::try_from(deadline.ms_since(now)).unwrap_or(u32::MAX)
}
