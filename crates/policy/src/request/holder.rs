//! What a VM does with the intents of other homes, also once those are lost.
//!
//! A holder never dispatches what another home may have dispatched. Once that home is lost, the
//! stewards say whether they have the request; where none has, the outcome is unknown, and the
//! holder says so at once.

use model::key;
use wire::coap;

use super::{
    Requests,
    message::{AttemptOutcome, Intent, Known, Message},
    record::{Done, Held, Orphaned, Phase, Record, Reserve},
    response, send,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    load::{MAX_DELAY_MS, work::Outcome},
    view::Vm,
};

/// Time that stewards have to say that they have a request whose home was lost, in milliseconds.
const ORPHAN_MS: u64 = 300;

impl Requests {
    /// Takes the intent of another home.
    pub(super) fn take_intent(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        intent: &Intent,
        out: &mut Vec<Action>,
    ) {
        let known = self.know(context, from, intent);
        let longest = max_request_duration_ms(context.config);
        let place = intent.key.fingerprint();
        let now = context.now;
        let message = Message::Grant {
            key: intent.key.clone(),
            content: intent.content,
            known,
            informed: self.history.has_complete_history(now, longest),
            covers: self.history.covers(now, &context.view.me, place, longest),
        };
        send(context, &from.name, message, out);
    }

    /// What this VM knows of the request of an intent; it holds the intent where that is nothing.
    fn know(&mut self, context: Context<'_>, from: &Vm, intent: &Intent) -> Known {
        let Some(record) = self.store.get(&intent.key) else {
            return self.hold(context, from, intent);
        };
        let repeat = record.is_repeat(intent.content, intent.body);
        match &record.phase {
            // Two homes at once: the one whose name comes first goes on.
            Phase::Granting(_) if repeat && from.name < context.view.me => {
                self.hold(context, from, intent)
            }
            Phase::Granting(_) | Phase::Working(_) | Phase::Backoff => {
                Known::Pending(context.view.me.clone())
            }
            Phase::Done(done) if repeat => Known::Answered(done.response.clone()),
            Phase::Held(held) if repeat => {
                let same = held.owner == from.name && held.start == intent.start;
                if same && context.now < record.deadline {
                    Known::New
                } else if held.owner == from.name || context.view.get(&held.owner).is_none() {
                    Known::Unknown
                } else {
                    Known::Pending(held.owner.clone())
                }
            }
            Phase::Orphaned(_) if repeat => Known::Unknown,
            Phase::Held(_) | Phase::Orphaned(_) | Phase::Done(_) => {
                self.hold(context, from, intent)
            }
        }
    }

    fn hold(&mut self, context: Context<'_>, from: &Vm, intent: &Intent) -> Known {
        let now = context.now;
        let keep_ms = max_request_duration_ms(context.config) + MAX_DELAY_MS;
        if !self.store.make_room(now, 0, keep_ms, Reserve::Used) {
            return Known::Full;
        }
        let record = Record {
            content: intent.content,
            body: intent.body,
            service: intent.service.clone(),
            idempotent: false,
            message_id: intent.message_id,
            confirmable: intent.confirmable,
            deadline: now.plus_ms(u64::from(intent.left_ms)),
            phase: Phase::Held(Held {
                owner: from.name.clone(),
                start: intent.start,
            }),
            holders: std::collections::BTreeSet::new(),
            request: None,
            tried: std::collections::BTreeSet::new(),
            attempts: 0,
            may_have_run: false,
            retry_after_ms: None,
            wake: None,
        };
        self.store.insert(intent.key.clone(), record);
        self.keep(context, &intent.key);
        Known::New
    }

    /// Takes the answer to a request whose intent this VM holds.
    pub(super) fn take_recorded(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        key: key::Request,
        content: u64,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let kept = self.store.update(&key, |record| {
            let known = record.content == content;
            let replaces = match &record.phase {
                Phase::Held(_) | Phase::Orphaned(_) => true,
                Phase::Done(done) => done.response.code == coap::TIMEOUT,
                _ => false,
            };
            if known && replaces {
                record.phase = Phase::Done(Done {
                    response,
                    at: now,
                    unheard: std::collections::BTreeSet::new(),
                    resend_at: now,
                });
            }
            known && replaces
        });
        if kept == Some(true) {
            self.store.wake_at(&key, now.plus_ms(super::ANSWER_MS));
        }
        send(
            context,
            &from.name,
            Message::RecordedAck { key, content },
            out,
        );
    }

    /// View change: requests whose home was lost wait for their stewards to speak up.
    pub(super) fn orphan_lost(&mut self, context: Context<'_>) {
        let lost: Vec<key::Request> = self
            .store
            .iter()
            .filter(|(_, record)| match &record.phase {
                Phase::Held(held) => context.view.get(&held.owner).is_none(),
                _ => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in lost {
            let until = context.now.plus_ms(ORPHAN_MS);
            self.store.update(&key, |record| {
                record.phase = Phase::Orphaned(Orphaned { until });
            });
            self.store.wake_at(&key, until);
        }
    }

    /// A steward says what came of an attempt of a home that was lost.
    pub(super) fn resolve_for_lost(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        told: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        match told.outcome {
            Outcome::Answered(response) => self.finish(context, key, response, out),
            Outcome::Unknown => self.finish(context, key, response(coap::TIMEOUT, None), out),
            // The lost home may have made another attempt since.
            Outcome::NotRun { .. } | Outcome::Stale => {}
        }
    }
}
