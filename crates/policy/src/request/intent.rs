//! How a primary replicates the intent of a request before it sends the request to a dispatcher.
//!
//! The primary asks every VM that may know the request: its backup, and each VM that was its
//! primary or backup in any view within the longest time a request may be in flight. It proceeds
//! once all have granted the intent and their histories together cover all of that time.

use model::key;
use wire::coap;

use super::{
    Requests, empty_response, has_majority, intent_holders,
    message::{Intent, IntentStatus, Message},
    primary::{RESEND_INTERVAL_MS, give_up_at, remaining_ms},
    record::{AwaitingHolders, Held, Phase},
    send_request_message,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    view::Vm,
};

/// Reply of a holder to an intent.
#[derive(Debug)]
pub(super) struct IntentReply {
    pub(super) status: IntentStatus,
    pub(super) has_complete_history: bool,
    pub(super) always_responsible: bool,
}

impl Requests {
    /// Sends the intent to every VM that may know the request and asks it to hold the intent.
    pub(super) fn query_holders(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let holders = intent_holders(context, &self.history, key.fingerprint());
        self.store.update(key, |record| {
            record.holders.clone_from(&holders);
            record.phase = Phase::AwaitingHolders(AwaitingHolders {
                unanswered: holders,
                until: give_up_at(record.deadline),
                resend_at: now,
                ..AwaitingHolders::default()
            });
        });
        self.send_intent(context, key, out);
        self.check_replies(context, key, out);
    }

    pub(super) fn send_intent(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let start_number = self.start_number;
        let to_send = self.store.update(key, |record| {
            let Phase::AwaitingHolders(awaiting) = &mut record.phase else {
                return None;
            };
            awaiting.resend_at = now.plus_ms(RESEND_INTERVAL_MS);
            let intent = Intent {
                key: key.clone(),
                content_fingerprint: record.content_fingerprint,
                body_fingerprint: record.body_fingerprint,
                start_number,
                service: record.service.clone(),
                message_id: record.message_id,
                confirmable: record.confirmable,
                remaining_ms: remaining_ms(now, record.deadline),
            };
            let due = awaiting.resend_at.min(awaiting.until);
            Some((awaiting.unanswered.clone(), intent, due))
        });
        let Some((unanswered, intent, due)) = to_send.flatten() else {
            return;
        };
        for vm in unanswered {
            send_request_message(context, &vm, Message::Intent(intent.clone()), out);
        }
        self.store.set_due(key, due);
    }

    /// Handles a holder's reply to an intent.
    pub(super) fn handle_intent_reply(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        key: &key::Request,
        content_fingerprint: u64,
        reply: IntentReply,
        out: &mut Vec<Action>,
    ) {
        let is_awaited = self.store.get(key).is_some_and(|r| {
            let is_unanswered =
                matches!(&r.phase, Phase::AwaitingHolders(a) if a.unanswered.contains(&from.name));
            r.content_fingerprint == content_fingerprint && is_unanswered
        });
        if !is_awaited {
            return;
        }
        match reply.status {
            IntentStatus::New => {
                self.store.update(key, |record| {
                    if let Phase::AwaitingHolders(awaiting) = &mut record.phase {
                        awaiting.unanswered.remove(&from.name);
                        awaiting.any_always_responsible |= reply.always_responsible;
                        if reply.has_complete_history {
                            awaiting.with_complete_history.insert(from.name.clone());
                        }
                    }
                });
                self.check_replies(context, key, out);
            }
            IntentStatus::Pending(owner) => {
                self.store.update(key, |record| {
                    record.phase = Phase::Held(Held {
                        owner,
                        start_number: 0,
                    });
                });
                self.schedule_expiry(context, key);
            }
            IntentStatus::Unknown => {
                self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out)
            }
            IntentStatus::Answered(response) => self.finish_request(context, key, response, out),
            IntentStatus::Full => self.refuse_request(context, key, out),
        }
    }

    /// Starts the first attempt once all holders have granted the intent.
    fn check_replies(&mut self, context: Context<'_>, key: &key::Request, out: &mut Vec<Action>) {
        let Some(record) = self.store.get(key) else {
            return;
        };
        let Phase::AwaitingHolders(awaiting) = &record.phase else {
            return;
        };
        if !awaiting.unanswered.is_empty() {
            return;
        }
        let max_in_flight_ms = max_request_duration_ms(context.config);
        let mut vms_with_complete_history = awaiting.with_complete_history.clone();
        let has_complete_history = self
            .history
            .has_complete_history(context.now, max_in_flight_ms);
        if has_complete_history {
            vms_with_complete_history.insert(context.view.me.clone());
        }
        let key_fingerprint = key.fingerprint();
        let has_witness = |pair: &crate::history::ReplicaPair| {
            pair.names()
                .any(|vm| vms_with_complete_history.contains(vm))
        };
        // A VM that started recently has no earlier views to check against.
        let is_known_new = if has_complete_history {
            self.history
                .replica_pairs(key_fingerprint)
                .all(|p| has_witness(&p))
        } else {
            awaiting.any_always_responsible
        };
        if is_known_new && has_majority(context) {
            self.start_attempt(context, key, out);
        } else {
            self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out);
        }
    }
}
