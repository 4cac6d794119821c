//! How a home ends a request: the caller is answered at once, and the holders of the intent
//! record the answer for repeats.

use std::collections::BTreeSet;

use model::{key, name::Name};
use wire::coap;

use super::{
    ANSWER_MS, DEFAULT_RETRY_MS, Requests, holders,
    message::Message,
    record::{Done, Phase},
    response, send,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context, Counter},
    view::Vm,
};

/// Time between two sendings of an answer to a holder that has not recorded it, in milliseconds.
const RECORD_RESEND_MS: u64 = 200;

impl Requests {
    /// Sends an answer again to the holders that have not recorded it, or forgets it.
    pub(super) fn care_for_answered(
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
    pub(super) fn is_only_home(&self, context: Context<'_>, key: &key::Request) -> bool {
        let longest = max_request_duration_ms(context.config);
        let place = key.fingerprint();
        let me = &context.view.me;
        let mut domains = context.config.domains.keys();
        self.history.reached(domains.clone())
            && domains.all(|domain| context.view.has_live_vm_in(domain))
            && self.history.has_complete_history(context.now, longest)
            && self
                .history
                .replica_pairs(place)
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
    pub(super) fn correct(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        response: coap::Response,
    ) {
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

    pub(super) fn count(&self, response: &coap::Response, out: &mut Vec<Action>) {
        let counter = match response.code {
            coap::TIMEOUT => Counter::RequestUnknown,
            coap::UNAVAILABLE | coap::TOO_MANY => Counter::RequestRefused,
            _ => Counter::RequestAnswered,
        };
        out.push(Action::Count(counter));
    }
}
