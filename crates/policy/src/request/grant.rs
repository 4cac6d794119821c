//! How a home has the intent of a request held before it dispatches it.
//!
//! All that may know of the request are asked: its backup, and whoever was home or backup of it
//! under an earlier view within the longest deadline. The request goes on once all have granted
//! and together vouch for all of that time.

use model::key;
use wire::coap;

use super::{
    Requests, has_majority, holders,
    home::{RESEND_MS, give_up_at, left_ms},
    message::{Intent, Known, Message},
    record::{Granting, Held, Phase},
    response, send,
};
use crate::{
    history::max_request_duration_ms,
    io::{Action, Context},
    view::Vm,
};

/// What a holder said to an intent.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) known: Known,
    pub(super) informed: bool,
    pub(super) covers: bool,
}

impl Requests {
    /// Asks all that may know of a request, and has them hold the intent.
    pub(super) fn ask_holders(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
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

    pub(super) fn send_intent(
        &mut self,
        context: Context<'_>,
        key: &key::Request,
        out: &mut Vec<Action>,
    ) {
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
        let longest = max_request_duration_ms(context.config);
        let mut vouching = granting.informed.clone();
        let informed = self.history.has_complete_history(context.now, longest);
        if informed {
            vouching.insert(context.view.me.clone());
        }
        let place = key.fingerprint();
        let vouched =
            |pair: &crate::history::ReplicaPair| pair.names().any(|vm| vouching.contains(vm));
        // A VM that was started lately has no past views of its own to go by.
        let known_new = if informed {
            self.history.replica_pairs(place).all(|p| vouched(&p))
        } else {
            granting.covered
        };
        if known_new && has_majority(context) {
            self.attempt(context, key, out);
        } else {
            self.finish(context, key, response(coap::TIMEOUT, None), out);
        }
    }
}
