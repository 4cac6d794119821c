//! Sends records to the VMs that became responsible for them.

use model::name::Name;

use super::{
    Batch, HANDED_OVER_INTERVAL_MS, LOOKUP_HORIZON_MS, NOTICE_INTERVAL_MS, NOTICE_REPEATS,
    RESEND_MS, partition_view,
};
use crate::{
    flow::{
        CallContext, Flows, Message, Mode,
        record::{Record, Stage, Timestamp},
    },
    io::Context,
    view::{View, Vm},
};

impl Flows {
    /// Queues the records whose primary or backup differs between the last view and `new`.
    pub(in crate::flow) fn queue_moved_records(&mut self, context: Context<'_>, new: View) {
        let now = context.now;
        let Some(old) = self.handover.current_view.replace(new.clone()) else {
            // Other VMs were responsible before this process started.
            self.handover.rejoin(context);
            return;
        };
        if old.vms == new.vms && old.out == new.out {
            return;
        }
        self.handover.add_past_view(old.clone(), false, now);
        if let Some(partition_view) = partition_view(&old, &new) {
            self.handover.add_past_view(partition_view, true, now);
        }
        self.handover.record_crashes(now, &old, &new);
        if self.mode != Mode::Selective {
            return;
        }
        let me = &context.view.me;
        for (fingerprint, record) in &mut self.records {
            let primary = new.primary(*fingerprint);
            record.is_primary = primary.is_some_and(|vm| vm.name == *me);
            if !record.is_required {
                continue;
            }
            let backup = new.backup(*fingerprint);
            let old_primary = old.primary(*fingerprint);
            let old_backup = old.backup(*fingerprint);
            let is_old = |vm: &Vm| {
                [old_primary, old_backup]
                    .iter()
                    .flatten()
                    .any(|o| o.name == vm.name)
            };
            let is_old_primary_live = old_primary.is_some_and(|o| new.get(&o.name).is_some());
            let sender = if is_old_primary_live {
                old_primary
            } else {
                old_backup
            };
            let added: Vec<&Vm> = [primary, backup]
                .into_iter()
                .flatten()
                .filter(|vm| !is_old(vm) && vm.name != *me)
                .collect();
            if backup.is_some_and(|vm| old_backup.is_none_or(|o| o.name != vm.name)) {
                record.is_backed_up = false;
            }
            if sender.is_none_or(|vm| vm.name != *me) {
                continue;
            }
            for vm in added {
                self.handover
                    .queue_copy(&vm.name, record.target(), *fingerprint);
            }
        }
    }

    /// Queues a new flow for copying to every VM in [`Mode::CopyAll`].
    pub(in crate::flow) fn copy_to_all(
        &mut self,
        call: &CallContext<'_, '_>,
        fingerprint: u64,
        record: Record,
    ) {
        if self.mode != Mode::CopyAll {
            return;
        }
        for vm in call.context.view.others() {
            self.handover
                .queue_copy(&vm.name, record.target(), fingerprint);
        }
    }

    /// Sends new batches within the budget, resends unacknowledged batches, and drops old views.
    pub(in crate::flow) fn send_copies(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        let view = call.context.view;
        self.handover.queues.retain(|vm, _| view.get(vm).is_some());
        self.handover
            .in_flight
            .retain(|vm, _| view.get(vm).is_some());
        if self.mode == Mode::CopyAll {
            self.handover.credit_bytes = u64::MAX / 2;
        } else {
            self.handover.add_credit(now);
        }
        let idle_ms = self.services.iter().map(|s| s.idle_ms).max().unwrap_or(0);
        self.handover.past_views.retain(|past| {
            let age_ms = now.ms_since(past.ended_at);
            let horizon_ms = if past.crashed.len() > 1 {
                LOOKUP_HORIZON_MS.max(idle_ms)
            } else {
                LOOKUP_HORIZON_MS
            };
            age_ms < horizon_ms
        });
        let names: Vec<Name> = self.handover.queues.keys().cloned().collect();
        for name in names {
            if self.handover.in_flight.contains_key(&name) {
                continue;
            }
            if let Some(batch) = self.handover.take_batch(&name, now) {
                self.send_batch(call, &name, &batch);
                self.handover.in_flight.insert(name, batch);
            }
        }
        self.resend_late_batches(call);
        self.send_handover_notices(call);
    }

    fn resend_late_batches(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        let mut in_flight = std::mem::take(&mut self.handover.in_flight);
        for (name, batch) in &mut in_flight {
            if now.ms_since(batch.sent_at) >= RESEND_MS {
                batch.sent_at = now;
                self.send_batch(call, name, batch);
            }
        }
        self.handover.in_flight = in_flight;
    }

    fn send_batch(&self, call: &mut CallContext<'_, '_>, name: &Name, batch: &Batch) {
        let Some(vm) = call.context.view.get(name) else {
            return;
        };
        let Some(service) = self.service(batch.target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(batch.target.upstream) else {
            return;
        };
        let message = Message::RecordBatch {
            batch: batch.number,
            service: service.name.clone(),
            upstream: upstream.name.clone(),
            fingerprints: batch.fingerprints.clone(),
        };
        call.send(vm, message);
    }

    /// Announces that this VM has no copies left to send for crashed VMs.
    fn send_handover_notices(&mut self, call: &mut CallContext<'_, '_>) {
        if !self.handover.is_empty() {
            return;
        }
        let now = call.now();
        self.send_handed_over_notice(call);
        for (lost, (repeats, sent)) in &mut self.handover.loss_notices {
            if now.ms_since(*sent) < NOTICE_INTERVAL_MS {
                continue;
            }
            *sent = now;
            *repeats -= 1;
            for vm in call.context.view.others() {
                call.send(vm, Message::HandoverDone(lost.clone()));
            }
        }
        self.handover
            .loss_notices
            .retain(|_, (repeats, _)| *repeats > 0);
    }

    /// Announces that this stopping VM has handed over all its records.
    fn send_handed_over_notice(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        let (repeats, sent) = self.handover.handed_over_notice;
        let is_due = repeats == 0 || now.ms_since(sent) >= HANDED_OVER_INTERVAL_MS;
        if !self.handover.is_stopping || repeats >= NOTICE_REPEATS || !is_due {
            return;
        }
        self.handover.handed_over_notice = (repeats + 1, now);
        for vm in call.context.view.others() {
            call.send(vm, Message::HandoverDone(call.context.view.me.clone()));
        }
    }

    /// Stores records that another VM hands over.
    pub(in crate::flow) fn on_record_batch(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        batch: u32,
        upstream: (&Name, &Name),
        fingerprints: &[u64],
    ) {
        // Records of an upstream that is missing from the configuration can't be stored yet. The
        // sender repeats the batch.
        let Some(target) = self.target(upstream.0, upstream.1) else {
            return;
        };
        let now = Timestamp::from(call.now());
        let view = call.context.view;
        for fingerprint in fingerprints {
            let primary = view.primary(*fingerprint);
            let record = Record {
                last_seen_at: now,
                backed_up_at: now,
                service: target.service,
                upstream: target.upstream,
                is_primary: primary.is_some_and(|vm| view.is_me(vm)),
                is_required: self.mode == Mode::Selective,
                is_backed_up: false,
                stage: Stage::Established,
            };
            self.records.entry(*fingerprint).or_insert(record);
        }
        call.send(from, Message::RecordBatchAck { batch });
    }
}
