//! The messages that carry records to the VMs that became responsible for them.

use model::name::Name;

use super::{Batch, HANDED_OVER_MS, HORIZON_MS, MOVED_MS, MOVED_REPEATS, REPEAT_MS, far_side};
use crate::{
    flow::{
        Flows, Message, Mode, Turn,
        record::{Moment, Record, Stage},
    },
    io::Context,
    view::{View, Vm},
};

impl Flows {
    /// Queues the records whose home or backup differs in `new` from the last view.
    pub(in crate::flow) fn move_records(&mut self, context: Context<'_>, new: View) {
        let now = context.now;
        let Some(old) = self.handover.current.replace(new.clone()) else {
            // A process that has just started: others were responsible before.
            self.handover.rejoin(context);
            return;
        };
        if old.vms == new.vms && old.out == new.out {
            return;
        }
        self.handover.remember(old.clone(), false, now);
        if let Some(far_side) = far_side(&old, &new) {
            self.handover.remember(far_side, true, now);
        }
        self.handover.note_losses(now, &old, &new);
        if self.mode != Mode::Positive {
            return;
        }
        let me = &context.view.me;
        for (fingerprint, record) in &mut self.records {
            let home = new.home(*fingerprint);
            record.is_home = home.is_some_and(|vm| vm.name == *me);
            if !record.is_positive {
                continue;
            }
            let backup = new.backup(*fingerprint);
            let old_home = old.home(*fingerprint);
            let old_backup = old.backup(*fingerprint);
            let is_old = |vm: &Vm| {
                [old_home, old_backup]
                    .iter()
                    .flatten()
                    .any(|o| o.name == vm.name)
            };
            let home_lives = old_home.is_some_and(|o| new.get(&o.name).is_some());
            let sender = if home_lives { old_home } else { old_backup };
            let added: Vec<&Vm> = [home, backup]
                .into_iter()
                .flatten()
                .filter(|vm| !is_old(vm) && vm.name != *me)
                .collect();
            if backup.is_some_and(|vm| old_backup.is_none_or(|o| o.name != vm.name)) {
                record.is_confirmed = false;
            }
            if sender.is_none_or(|vm| vm.name != *me) {
                continue;
            }
            for vm in added {
                self.handover.push(&vm.name, record.target(), *fingerprint);
            }
        }
    }

    /// Copies a new flow to every VM, in the mode that does so.
    pub(in crate::flow) fn copy_to_all(
        &mut self,
        turn: &Turn<'_, '_>,
        fingerprint: u64,
        record: Record,
    ) {
        if self.mode != Mode::CopyAll {
            return;
        }
        for vm in turn.context.view.others() {
            self.handover.push(&vm.name, record.target(), fingerprint);
        }
    }

    /// Sends what the budget allows, repeats what was not acknowledged, and forgets old views.
    pub(in crate::flow) fn repeat_copies(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        let view = turn.context.view;
        self.handover.queues.retain(|vm, _| view.get(vm).is_some());
        self.handover.sent.retain(|vm, _| view.get(vm).is_some());
        if self.mode == Mode::CopyAll {
            self.handover.credit = u64::MAX / 2;
        } else {
            self.handover.add_credit(now);
        }
        let idle_ms = self.services.iter().map(|s| s.idle_ms).max().unwrap_or(0);
        self.handover.past.retain(|past| {
            let age_ms = now.ms_since(past.ended);
            let horizon_ms = if past.lost.len() > 1 {
                HORIZON_MS.max(idle_ms)
            } else {
                HORIZON_MS
            };
            age_ms < horizon_ms
        });
        let names: Vec<Name> = self.handover.queues.keys().cloned().collect();
        for name in names {
            if self.handover.sent.contains_key(&name) {
                continue;
            }
            if let Some(batch) = self.handover.next_batch(&name, now) {
                self.send_batch(turn, &name, &batch);
                self.handover.sent.insert(name, batch);
            }
        }
        self.repeat_batches(turn);
        self.say_moved(turn);
    }

    fn repeat_batches(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        let mut late = std::mem::take(&mut self.handover.sent);
        for (name, batch) in &mut late {
            if now.ms_since(batch.sent) >= REPEAT_MS {
                batch.sent = now;
                self.send_batch(turn, name, batch);
            }
        }
        self.handover.sent = late;
    }

    fn send_batch(&self, turn: &mut Turn<'_, '_>, name: &Name, batch: &Batch) {
        let Some(vm) = turn.context.view.get(name) else {
            return;
        };
        let Some(service) = self.service(batch.target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(batch.target.upstream) else {
            return;
        };
        let message = Message::Copy {
            batch: batch.number,
            service: service.name.clone(),
            upstream: upstream.name.clone(),
            fingerprints: batch.fingerprints.clone(),
        };
        turn.send(vm, message);
    }

    /// Says that the losses of VMs need no more copies from here.
    fn say_moved(&mut self, turn: &mut Turn<'_, '_>) {
        if !self.handover.is_empty() {
            return;
        }
        let now = turn.now();
        self.say_handed_over(turn);
        for (lost, (repeats, sent)) in &mut self.handover.losses {
            if now.ms_since(*sent) < MOVED_MS {
                continue;
            }
            *sent = now;
            *repeats -= 1;
            for vm in turn.context.view.others() {
                turn.send(vm, Message::Moved(lost.clone()));
            }
        }
        self.handover.losses.retain(|_, (repeats, _)| *repeats > 0);
    }

    /// Says, as this VM stops, that it has handed everything over.
    fn say_handed_over(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        let (repeats, sent) = self.handover.said_handed_over;
        let is_due = repeats == 0 || now.ms_since(sent) >= HANDED_OVER_MS;
        if !self.handover.is_hurried || repeats >= MOVED_REPEATS || !is_due {
            return;
        }
        self.handover.said_handed_over = (repeats + 1, now);
        for vm in turn.context.view.others() {
            turn.send(vm, Message::Moved(turn.context.view.me.clone()));
        }
    }

    /// Takes records that another VM hands over.
    pub(in crate::flow) fn on_copy(
        &mut self,
        turn: &mut Turn<'_, '_>,
        from: &Vm,
        batch: u32,
        upstream: (&Name, &Name),
        fingerprints: &[u64],
    ) {
        // Without the upstream in the configuration the records can't be kept yet: the sender
        // repeats the batch.
        let Some(target) = self.target(upstream.0, upstream.1) else {
            return;
        };
        let now = Moment::from(turn.now());
        let view = turn.context.view;
        for fingerprint in fingerprints {
            let home = view.home(*fingerprint);
            let record = Record {
                seen: now,
                touched: now,
                service: target.service,
                upstream: target.upstream,
                is_home: home.is_some_and(|vm| view.is_me(vm)),
                is_positive: self.mode == Mode::Positive,
                is_confirmed: false,
                stage: Stage::Established,
            };
            self.records.entry(*fingerprint).or_insert(record);
        }
        turn.send(from, Message::CopyHeld { batch });
    }
}
