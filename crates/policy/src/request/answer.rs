//! How a primary ends a request: it answers the caller at once, and the intent holders record the
//! answer for repeats.

use std::collections::BTreeSet;

use model::{key, name::Name};
use wire::coap;

use super::{
    ANSWER_RETENTION_MS, DEFAULT_RETRY_AFTER_MS, Requests, empty_response, intent_holders,
    message::Message,
    record::{Done, Phase},
    send_request_message,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context, Counter},
    view::Vm,
};

/// Interval at which an answer is sent again to holders that have not recorded it, in milliseconds.
const ANSWER_RESEND_INTERVAL_MS: u64 = 200;

impl Requests {
    /// Sends an answer again to the holders that have not recorded it, or removes an expired
    /// record.
    pub(super) fn process_due_answer(
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
        if now.ms_since(done.at) >= ANSWER_RETENTION_MS {
            self.store.remove(key);
            return;
        }
        let content_fingerprint = record.content_fingerprint;
        let response = done.response.clone();
        for vm in done.unacknowledged.clone() {
            let message = Message::RecordAnswer {
                key: key.clone(),
                content_fingerprint,
                response: response.clone(),
            };
            send_request_message(context, &vm, message, out);
        }
        let due = self.store.update(key, |record| {
            let Phase::Done(done) = &mut record.phase else {
                return None;
            };
            done.unacknowledged
                .retain(|vm| context.view.get(vm).is_some());
            done.resend_at = now.plus_ms(ANSWER_RESEND_INTERVAL_MS);
            let expires_at = done.at.plus_ms(ANSWER_RETENTION_MS);
            Some(if done.unacknowledged.is_empty() {
                expires_at
            } else {
                done.resend_at
            })
        });
        if let Some(due) = due.flatten() {
            self.store.set_due(key, due);
        }
    }

    /// Notes that a holder has recorded an answer.
    pub(super) fn handle_record_answer_ack(
        &mut self,
        key: &key::Request,
        content_fingerprint: u64,
        from: &Vm,
    ) {
        self.store.update(key, |record| {
            if let Phase::Done(done) = &mut record.phase
                && record.content_fingerprint == content_fingerprint
            {
                done.unacknowledged.remove(&from.name);
            }
        });
    }

    /// Gives up a request that this VM has not dispatched, or whose last attempt certainly has not
    /// run. The answer is "not run" only if no other VM may run the request either.
    pub(super) fn refuse_request(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        if record.may_have_run {
            self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out);
            return;
        }
        let retry_ms = record.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        let is_certain = match record.phase {
            // Until all holders have replied, another VM may have run the request or may still run
            // it.
            Phase::AwaitingHolders(_) => false,
            _ if !record.idempotent => true,
            // No other VM holds an intent of an idempotent request.
            _ => self.is_only_primary(context, key),
        };
        let code = if is_certain {
            coap::UNAVAILABLE
        } else {
            coap::TIMEOUT
        };
        self.finish_request(context, key, empty_response(code, Some(retry_ms)), out);
    }

    /// Reports whether no other VM can have been the primary of a request for the longest time a
    /// request may be in flight. A failure domain that was cut off has primaries of its own.
    pub(super) fn is_only_primary(&self, context: Context<'_>, key: &key::Request) -> bool {
        let max_in_flight_ms = max_request_duration_ms(context.config);
        let key_fingerprint = key.fingerprint();
        let me = &context.view.me;
        let mut domains = context.config.domains.keys();
        self.history.all_had_live_vms(domains.clone())
            && domains.all(|domain| context.view.has_live_vm_in(domain))
            && self
                .history
                .has_complete_history(context.now, max_in_flight_ms)
            && self
                .history
                .replica_pairs(key_fingerprint)
                .all(|p| p.primary.as_ref() == Some(me))
    }

    /// Records the answer, answers the caller, and sends the answer to the intent holders.
    pub(super) fn finish_request(
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
        self.count_answer(&response, out);
        let finished = self.store.update(key, |record| {
            record.request = None;
            let unacknowledged: BTreeSet<Name> = std::mem::take(&mut record.holders);
            record.phase = Phase::Done(Done {
                response: response.clone(),
                at: now,
                unacknowledged,
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
            self.process_due_answer(context, key, out);
        }
    }

    /// Replaces the answer of a request that was given up by the real one, for later repeats.
    pub(super) fn correct_answer(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        response: coap::Response,
    ) {
        let holders = intent_holders(context, &self.history, key.fingerprint());
        let now = context.now;
        self.store.update(key, |record| {
            if let Phase::Done(done) = &mut record.phase {
                done.response = coap::Response {
                    token: key.token.clone(),
                    ..response
                };
                done.unacknowledged = holders;
            }
        });
        self.store.set_due(key, now);
    }

    pub(super) fn count_answer(&self, response: &coap::Response, out: &mut Vec<Action>) {
        let counter = match response.code {
            coap::TIMEOUT => Counter::RequestUnknown,
            coap::UNAVAILABLE | coap::TOO_MANY_REQUESTS => Counter::RequestRefused,
            _ => Counter::RequestAnswered,
        };
        out.push(Action::Count(counter));
    }
}
