//! What a VM does with the intents it holds for other primaries, also after such a primary is lost.
//!
//! A holder never dispatches a request that another primary may have dispatched. Once that primary
//! is lost, the dispatchers report whether they have the request. If none has it, the outcome is
//! unknown, and the holder answers so without waiting for the deadline.

use model::key;
use wire::coap;

use super::{
    Requests, empty_response,
    message::{AttemptOutcome, Intent, IntentStatus, Message},
    record::{Done, Held, Orphaned, Phase, Record, ReserveAccess},
    send_request_message,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    load::{MAX_DATAGRAM_DELAY_MS, messages::Outcome},
    view::Vm,
};

/// Time for dispatchers to report a request whose primary was lost, in milliseconds.
const ORPHAN_TIMEOUT_MS: u64 = 300;

impl Requests {
    /// Handles the intent of another primary.
    pub(super) fn handle_intent(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        intent: &Intent,
        out: &mut Vec<Action>,
    ) {
        let status = self.check_intent(context, from, intent);
        let max_in_flight_ms = max_request_duration_ms(context.config);
        let key_fingerprint = intent.key.fingerprint();
        let now = context.now;
        let message = Message::IntentReply {
            key: intent.key.clone(),
            content_fingerprint: intent.content_fingerprint,
            status,
            has_complete_history: self.history.has_complete_history(now, max_in_flight_ms),
            always_responsible: self.history.was_replica_throughout(
                now,
                &context.view.me,
                key_fingerprint,
                max_in_flight_ms,
            ),
        };
        send_request_message(context, &from.name, message, out);
    }

    /// Returns what this VM knows of the request, and holds the intent if it knows nothing.
    fn check_intent(&mut self, context: Context<'_>, from: &Vm, intent: &Intent) -> IntentStatus {
        let Some(record) = self.store.get(&intent.key) else {
            return self.hold_intent(context, from, intent);
        };
        let is_repeat = record.is_repeat(intent.content_fingerprint, intent.body_fingerprint);
        match &record.phase {
            // If two primaries process the request at once, the one whose name sorts first
            // proceeds.
            Phase::AwaitingHolders(_) if is_repeat && from.name < context.view.me => {
                self.hold_intent(context, from, intent)
            }
            Phase::AwaitingHolders(_) | Phase::Attempting(_) | Phase::Backoff => {
                IntentStatus::Pending(context.view.me.clone())
            }
            Phase::Done(done) if is_repeat => IntentStatus::Answered(done.response.clone()),
            Phase::Held(held) if is_repeat => {
                let same_start =
                    held.owner == from.name && held.start_number == intent.start_number;
                if same_start && context.now < record.deadline {
                    IntentStatus::New
                } else if held.owner == from.name || context.view.get(&held.owner).is_none() {
                    IntentStatus::Unknown
                } else {
                    IntentStatus::Pending(held.owner.clone())
                }
            }
            Phase::Orphaned(_) if is_repeat => IntentStatus::Unknown,
            Phase::Held(_) | Phase::Orphaned(_) | Phase::Done(_) => {
                self.hold_intent(context, from, intent)
            }
        }
    }

    fn hold_intent(&mut self, context: Context<'_>, from: &Vm, intent: &Intent) -> IntentStatus {
        let now = context.now;
        let keep_ms = max_request_duration_ms(context.config) + MAX_DATAGRAM_DELAY_MS;
        if !self
            .store
            .make_room(now, 0, keep_ms, ReserveAccess::Allowed)
        {
            return IntentStatus::Full;
        }
        let record = Record {
            content_fingerprint: intent.content_fingerprint,
            body_fingerprint: intent.body_fingerprint,
            service: intent.service.clone(),
            idempotent: false,
            message_id: intent.message_id,
            confirmable: intent.confirmable,
            deadline: now.plus_ms(u64::from(intent.remaining_ms)),
            phase: Phase::Held(Held {
                owner: from.name.clone(),
                start_number: intent.start_number,
            }),
            holders: std::collections::BTreeSet::new(),
            request: None,
            tried_domains: std::collections::BTreeSet::new(),
            attempts: 0,
            may_have_run: false,
            retry_after_ms: None,
            due: None,
        };
        self.store.insert(intent.key.clone(), record);
        self.schedule_expiry(context, &intent.key);
        IntentStatus::New
    }

    /// Records the answer to a request whose intent this VM holds.
    pub(super) fn handle_record_answer(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        key: key::Request,
        content_fingerprint: u64,
        response: coap::Response,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let replaced = self.store.update(&key, |record| {
            let same_content = record.content_fingerprint == content_fingerprint;
            let replaceable = match &record.phase {
                Phase::Held(_) | Phase::Orphaned(_) => true,
                Phase::Done(done) => done.response.code == coap::TIMEOUT,
                _ => false,
            };
            if same_content && replaceable {
                record.phase = Phase::Done(Done {
                    response,
                    at: now,
                    unacknowledged: std::collections::BTreeSet::new(),
                    resend_at: now,
                });
            }
            same_content && replaceable
        });
        if replaced == Some(true) {
            self.store
                .set_due(&key, now.plus_ms(super::ANSWER_RETENTION_MS));
        }
        send_request_message(
            context,
            &from.name,
            Message::RecordAnswerAck {
                key,
                content_fingerprint,
            },
            out,
        );
    }

    /// Marks requests whose primary has left the view as orphaned, so that they wait for a
    /// dispatcher's report.
    pub(super) fn mark_orphaned(&mut self, context: Context<'_>) {
        let orphaned: Vec<key::Request> = self
            .store
            .iter()
            .filter(|(_, record)| match &record.phase {
                Phase::Held(held) => context.view.get(&held.owner).is_none(),
                _ => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in orphaned {
            let until = context.now.plus_ms(ORPHAN_TIMEOUT_MS);
            self.store.update(&key, |record| {
                record.phase = Phase::Orphaned(Orphaned { until });
            });
            self.store.set_due(&key, until);
        }
    }

    /// Handles the outcome of an attempt whose primary was lost.
    pub(super) fn resolve_orphaned(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        report: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        match report.outcome {
            Outcome::Answered(response) => self.finish_request(context, key, response, out),
            Outcome::Unknown => {
                self.finish_request(context, key, empty_response(coap::TIMEOUT, None), out)
            }
            // The lost primary may have made another attempt since.
            Outcome::NotRun { .. } | Outcome::Stale => {}
        }
    }
}
