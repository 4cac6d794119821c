//! The life of a request at its home.
//!
//! A request that is not idempotent is dispatched only after every VM that may know of it has
//! answered that it does not, and holds the intent from then on. It is tried again only where
//! the steward, or the upstream, says that it certainly has not run.

use std::collections::BTreeSet;

use model::{key, name::Name};
use rand::Rng;
use wire::coap;

use super::{
    ANSWER_MS, DEFAULT_RETRY_MS, RETRY_COST, RETRY_MAX, Requests, Sent, answer, find_service,
    has_majority, holders,
    message::{AttemptOutcome, Intent, Known, Message},
    over_at,
    record::{Done, Granting, Held, Phase, Record, Reserve, Working},
    response, send, send_load,
};
use crate::{
    history::longest_ms,
    io::{Action, Context, Counter},
    load::{
        self, MAX_DELAY_MS,
        work::{Outcome, Work},
    },
    time::Instant,
    view::Vm,
};

/// Time between two sendings of an intent, an attempt or an answer, in milliseconds.
const RESEND_MS: u64 = 40;

/// Time between two sendings of an answer to a holder that has not recorded it, in milliseconds.
const RECORD_RESEND_MS: u64 = 200;

/// Time that a steward has to take an attempt that may be tried elsewhere, in milliseconds.
const TAKE_MS: u64 = 200;

/// Time before a deadline at which the home gives up by itself, in milliseconds.
const GIVE_UP_MS: u64 = 15;

/// Longest pause before a retry, in microseconds; the pause is drawn at random.
const JITTER_US: u64 = 20_000;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 6;

/// What a holder said to an intent.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) known: Known,
    pub(super) informed: bool,
    pub(super) covers: bool,
}

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
        let keep_ms = longest_ms(context.config) + MAX_DELAY_MS;
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

    /// Asks all that may know of a request, and has them hold the intent.
    fn ask_holders(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let now = context.now;
        let holders = holders(context, &self.history, key.fingerprint());
        self.store.update(key, |record| {
            record.holders.clone_from(&holders);
            record.phase = Phase::Granting(Granting {
                unheard: holders,
                until: give_up_at(record.deadline),
                resend_at: now,
                ..Granting::default()
            });
        });
        self.send_intent(context, key, out);
        self.check_grants(context, key, out);
    }

    fn send_intent(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let now = context.now;
        let start = self.start;
        let to_send = self.store.update(key, |record| {
            let Phase::Granting(granting) = &mut record.phase else {
                return None;
            };
            granting.resend_at = now.plus_ms(RESEND_MS);
            let intent = Intent {
                key: key.clone(),
                content: record.content,
                body: record.body,
                start,
                service: record.service.clone(),
                message_id: record.message_id,
                confirmable: record.confirmable,
                left_ms: left_ms(now, record.deadline),
            };
            let wake = granting.resend_at.min(granting.until);
            Some((granting.unheard.clone(), intent, wake))
        });
        let Some((unheard, intent, wake)) = to_send.flatten() else {
            return;
        };
        for vm in unheard {
            send(context, &vm, Message::Intent(intent.clone()), out);
        }
        self.store.wake_at(key, wake);
    }

    /// Takes what a holder said.
    pub(super) fn take_grant(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        key: &key::Request,
        content: u64,
        grant: Grant,
        out: &mut Vec<Action>,
    ) {
        let waits = self.store.get(key).is_some_and(|r| {
            let granting = matches!(&r.phase, Phase::Granting(g) if g.unheard.contains(&from.name));
            r.content == content && granting
        });
        if !waits {
            return;
        }
        match grant.known {
            Known::New => {
                self.store.update(key, |record| {
                    if let Phase::Granting(granting) = &mut record.phase {
                        granting.unheard.remove(&from.name);
                        granting.covered |= grant.covers;
                        if grant.informed {
                            granting.informed.insert(from.name.clone());
                        }
                    }
                });
                self.check_grants(context, key, out);
            }
            Known::Pending(owner) => {
                self.store.update(key, |record| {
                    record.phase = Phase::Held(Held { owner, start: 0 });
                });
                self.keep(context, key);
            }
            Known::Unknown => self.finish(context, key, response(coap::TIMEOUT, None), out),
            Known::Answered(response) => self.finish(context, key, response, out),
            Known::Full => self.refuse(context, key, out),
        }
    }

    /// Goes on once all holders have granted.
    fn check_grants(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        let Phase::Granting(granting) = &record.phase else {
            return;
        };
        if !granting.unheard.is_empty() {
            return;
        }
        let longest = longest_ms(context.config);
        let mut vouching = granting.informed.clone();
        let informed = self.history.is_informed(context.now, longest);
        if informed {
            vouching.insert(context.view.me.clone());
        }
        let place = key.fingerprint();
        let vouched = |pair: &crate::history::Pair| pair.names().any(|vm| vouching.contains(vm));
        // A VM that was started lately has no past views of its own to go by.
        let known_new = if informed {
            self.history.pairs(place).all(|p| vouched(&p))
        } else {
            granting.covered
        };
        if known_new && has_majority(context) {
            self.attempt(context, key, out);
        } else {
            self.finish(context, key, response(coap::TIMEOUT, None), out);
        }
    }

    /// Sends a request to a steward, or refuses it where none is left.
    fn attempt(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
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
        let epoch = self.gauges.send(&service, &chosen.domain, &chosen.steward);
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
                steward: chosen.steward,
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
                request,
            };
            let wake = working.resend_at.min(give_up_at(record.deadline));
            Some((working.steward.clone(), work, wake))
        });
        let Some((steward, work, wake)) = to_send.flatten() else {
            return;
        };
        send_load(context, &steward, load::Message::Work(Box::new(work)), out);
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
    fn abandon(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if let Phase::Working(working) = &record.phase {
            let message = load::Message::Abandon {
                attempt: working.attempt,
            };
            send_load(context, &working.steward.clone(), message, out);
        }
        self.finish(context, key, response(coap::TIMEOUT, None), out);
    }

    /// Sends an answer again to the holders that have not recorded it, or forgets it.
    fn care_for_answered(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let Some(record) = self.store.get(key) else {
            return;
        };
        let Phase::Done(done) = &record.phase else {
            return;
        };
        if now.ms_since(done.at) >= ANSWER_MS {
            self.store.remove(key);
            return;
        }
        let content = record.content;
        let response = done.response.clone();
        for vm in done.unheard.clone() {
            let message = Message::Recorded {
                key: key.clone(),
                content,
                response: response.clone(),
            };
            send(context, &vm, message, out);
        }
        let wake = self.store.update(key, |record| {
            let Phase::Done(done) = &mut record.phase else {
                return None;
            };
            done.unheard.retain(|vm| context.view.get(vm).is_some());
            done.resend_at = now.plus_ms(RECORD_RESEND_MS);
            let expires = done.at.plus_ms(ANSWER_MS);
            Some(if done.unheard.is_empty() {
                expires
            } else {
                done.resend_at
            })
        });
        if let Some(wake) = wake.flatten() {
            self.store.wake_at(key, wake);
        }
    }

    /// A holder has recorded an answer.
    pub(super) fn take_recorded_ack(&mut self, key: &key::Request, content: u64, from: &Vm) {
        self.store.update(key, |record| {
            if let Phase::Done(done) = &mut record.phase
                && record.content == content
            {
                done.unheard.remove(&from.name);
            }
        });
    }

    /// Gives up a request that this VM has not dispatched, or whose last attempt certainly has
    /// not run: it is refused as not run where no other VM may run it either.
    pub(super) fn refuse(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if record.may_have_run {
            self.finish(context, key, response(coap::TIMEOUT, None), out);
            return;
        }
        let retry_ms = record.retry_after_ms.unwrap_or(DEFAULT_RETRY_MS);
        let certain = match record.phase {
            // Before all holders have granted, another VM may have run it, or may run it yet.
            Phase::Granting(_) => false,
            _ if !record.idempotent => true,
            // Of an idempotent request no other VM holds an intent.
            _ => self.is_only_home(context, key),
        };
        let code = if certain {
            coap::UNAVAILABLE
        } else {
            coap::TIMEOUT
        };
        self.finish(context, key, response(code, Some(retry_ms)), out);
    }

    /// Whether no other VM has been the home of a request for the longest deadline, as far as
    /// this VM can know: a cut-off failure domain has homes of its own.
    fn is_only_home(&self, context: Context<'_>, key: &key::Request) -> bool {
        let longest = longest_ms(context.config);
        let place = key.fingerprint();
        let me = &context.view.me;
        let mut domains = context.config.domains.keys();
        self.history.reached(domains.clone())
            && domains.all(|domain| context.view.reaches(domain))
            && self.history.is_informed(context.now, longest)
            && self
                .history
                .pairs(place)
                .all(|p| p.home.as_ref() == Some(me))
    }

    /// Records the answer, answers the caller, and tells the holders of the intent.
    pub(super) fn finish(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let response = coap::Response {
            token: key.token.clone(),
            ..response
        };
        self.count(&response, out);
        let finished = self.store.update(key, |record| {
            record.request = None;
            let unheard: BTreeSet<Name> = std::mem::take(&mut record.holders);
            record.phase = Phase::Done(Done {
                response: response.clone(),
                at: now,
                unheard,
                resend_at: now,
            });
            record.confirmable.then_some(record.message_id)
        });
        if let Some(acknowledges) = finished {
            out.push(Action::Answer {
                caller: key.caller,
                response,
                acknowledges,
            });
            self.care_for_answered(context, key, out);
        }
    }

    /// Records the true answer of a request that was given up, for repeats.
    fn correct(&mut self, context: Context<'_>, key: &key::Request, response: coap::Response) {
        let holders = holders(context, &self.history, key.fingerprint());
        let now = context.now;
        self.store.update(key, |record| {
            if let Phase::Done(done) = &mut record.phase {
                done.response = coap::Response {
                    token: key.token.clone(),
                    ..response
                };
                done.unheard = holders;
            }
        });
        self.store.wake_at(key, now);
    }

    /// View change: attempts at stewards that were lost are lost, intents at holders that were
    /// lost are asked for elsewhere.
    pub(super) fn leave_lost(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let gone = |vm: &Name| context.view.get(vm).is_none();
        let mut lost_work = Vec::new();
        let mut lost_holders = Vec::new();
        for (key, record) in self.store.iter() {
            match &record.phase {
                Phase::Working(working) if gone(&working.steward) => lost_work.push(key.clone()),
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
        let keep_ms = longest_ms(context.config) + MAX_DELAY_MS;
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

    fn count(&self, response: &coap::Response, out: &mut Vec<Action>) {
        let counter = match response.code {
            coap::TIMEOUT => Counter::RequestUnknown,
            coap::UNAVAILABLE | coap::TOO_MANY => Counter::RequestRefused,
            _ => Counter::RequestAnswered,
        };
        out.push(Action::Count(counter));
    }
}

/// When the home gives up by itself.
fn give_up_at(deadline: Instant) -> Instant {
    Instant(deadline.0.saturating_sub(GIVE_UP_MS * 1_000))
}

fn left_ms(now: Instant, deadline: Instant) -> u32 {
    u32::try_from(deadline.ms_since(now)).unwrap_or(u32::MAX)
}
