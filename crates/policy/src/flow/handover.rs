//! Moves flow records when the membership view changes.
//!
//! For each flow that needs its record, the old primary copies the record to the VMs that became
//! responsible, within a byte budget. If the old primary is gone, the old backup sends the copies.
//! Until the copies have arrived, a new primary looks up missing records at the earlier holders.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::Target;
use crate::{
    io::Context,
    time::Instant,
    view::{View, Vm},
};

mod transfer;

/// Time for which a primary asks the VMs of an earlier view for records, in milliseconds.
const LOOKUP_HORIZON_MS: u64 = 120_000;

/// Maximum number of earlier views that are kept.
const MAX_PAST_VIEWS: usize = 8;

/// Budget for copies, in bytes per second.
const COPY_BYTES_PER_S: u64 = 400;

/// Budget for copies while this VM stops, in bytes per second.
const STOP_COPY_BYTES_PER_S: u64 = 16_000;

/// Size of a copied record on the wire, in bytes.
const RECORD_BYTES: u64 = 9;

/// Size of a batch on the wire without its records, in bytes.
const BATCH_OVERHEAD_BYTES: u64 = 32;

/// Maximum number of records in a batch.
const MAX_BATCH_RECORDS: usize = 100;

/// Time after which an unacknowledged batch is sent again, in milliseconds.
const RESEND_MS: u64 = 500;

/// Longest time between a crash and its detection by other VMs, in milliseconds.
const MAX_CRASH_DETECTION_MS: u64 = 10_000;

/// Longest time between the detection of a crash by one VM and by another, in milliseconds.
const MAX_DETECTION_SKEW_MS: u64 = 5_000;

/// Number of times that a VM sends each notice of finished copies.
const NOTICE_REPEATS: u8 = 3;

/// Interval between repeated notices of finished copies, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 500;

/// Interval between repeated notices of a stopping VM that its records are handed over, in
/// milliseconds.
const HANDED_OVER_INTERVAL_MS: u64 = 50;

/// Records to copy, and what this VM knows of earlier views.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Current view, or `None` before the first view change.
    current_view: Option<View>,
    /// Time at which this VM last found that another VM had crashed.
    last_crash: Option<Instant>,
    /// Earlier views, oldest first. Invariant: at most [`MAX_PAST_VIEWS`].
    past_views: Vec<PastView>,
    /// Fingerprints to copy, by receiving VM.
    queues: BTreeMap<Name, BTreeMap<Target, Vec<u64>>>,
    /// Batches without an acknowledgement, by receiving VM. Invariant: at most one for each VM.
    in_flight: BTreeMap<Name, Batch>,
    /// Number of the last batch.
    last_batch: u32,
    /// Bytes that may be sent now.
    credit_bytes: u64,
    /// Time at which `credit_bytes` last grew.
    credit_updated_at: Instant,
    /// Whether this VM is stopping.
    is_stopping: bool,
    /// Number of sent notices that this stopping VM has handed over its records, and time of the
    /// last.
    handed_over_notice: (u8, Instant),
    /// VMs that have announced their handover as they stopped, with the time of the announcement.
    handed_over: BTreeMap<Name, Instant>,
    /// Crashed VMs to announce with [`Message::HandoverDone`](super::Message::HandoverDone) once
    /// all copies are done, with the number of notices left and the time of the last notice.
    loss_notices: BTreeMap<Name, (u8, Instant)>,
    /// Pairs of a crashed VM and a VM that has announced the end of its copies for the crash, with
    /// the time of the announcement.
    recovered_losses: BTreeMap<(Name, Name), Instant>,
}

/// An earlier view.
#[derive(Debug)]
struct PastView {
    view: View,
    /// Whether this VM only infers that other VMs had the view.
    is_inferred: bool,
    /// Time at which the view ended.
    ended_at: Instant,
    /// VMs of the view that have crashed since, with the time at which the crash was detected.
    crashed: BTreeMap<Name, Instant>,
}

#[derive(Debug)]
struct Batch {
    number: u32,
    target: Target,
    fingerprints: Vec<u64>,
    sent_at: Instant,
}

impl Handover {
    /// Reports whether any view has been set.
    pub(super) fn has_view(&self) -> bool {
        self.current_view.is_some()
    }

    /// Reports whether this VM found another VM to have crashed in the last `ms` milliseconds.
    pub(super) fn has_crash_within(&self, now: Instant, ms: u64) -> bool {
        self.last_crash.is_some_and(|at| now.ms_since(at) < ms)
    }

    /// Reports whether the view has changed in the last `ms` milliseconds.
    pub(super) fn has_view_change_within(&self, now: Instant, ms: u64) -> bool {
        let last = self.past_views.last();
        last.is_some_and(|past| now.ms_since(past.ended_at) < ms)
    }

    /// Reports whether no record is left to copy.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.in_flight.is_empty()
    }

    /// Reports whether this VM may exit: all records are copied, and a stopping VM has announced
    /// its handover.
    pub(super) fn is_done(&self) -> bool {
        self.is_empty() && (!self.is_stopping || self.handed_over_notice.0 >= NOTICE_REPEATS)
    }

    /// Raises the budget for copies since this VM stops.
    pub(super) fn start_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Removes a batch that its receiver has acknowledged.
    pub(super) fn on_batch_ack(&mut self, from: &Name, batch: u32) {
        if self.in_flight.get(from).is_some_and(|b| b.number == batch) {
            self.in_flight.remove(from);
        }
    }

    /// Drops pending copies after a stall or a start, and infers a view without this VM, since any
    /// other VM may have been responsible meanwhile.
    pub(super) fn rejoin(&mut self, context: Context<'_>) {
        self.queues.clear();
        self.in_flight.clear();
        let mut without_me = context.view.clone();
        without_me.vms.remove(&context.view.me);
        self.add_past_view(without_me, true, context.now);
    }

    fn add_past_view(&mut self, view: View, is_inferred: bool, now: Instant) {
        self.past_views.push(PastView {
            is_inferred,
            view,
            ended_at: now,
            crashed: BTreeMap::new(),
        });
        if self.past_views.len() > MAX_PAST_VIEWS {
            self.past_views.remove(0);
        }
    }

    /// Returns the VMs to ask for the record of a flow: for each view that ended in the last
    /// `horizon_ms`, the primary, or the backup if the primary is gone.
    ///
    /// Views in which this VM was the primary add no VM, since this VM has all records of those
    /// views.
    pub(super) fn record_holders(
        &self,
        context: Context<'_>,
        fingerprint: u64,
        horizon_ms: u64,
    ) -> Vec<Name> {
        let is_recent = |past: &&PastView| context.now.ms_since(past.ended_at) < horizon_ms;
        let recent = self.past_views.iter().filter(is_recent);
        let names = recent.flat_map(|past| past.record_holders(context, fingerprint));
        let distinct: BTreeSet<Name> = names.collect();
        distinct.into_iter().collect()
    }

    /// Reports whether both VMs that held the record of a flow have crashed before either was
    /// replaced.
    pub(super) fn may_have_lost_record(&self, fingerprint: u64) -> bool {
        self.past_views
            .iter()
            .any(|past| past.has_lost_record(fingerprint, &self.recovered_losses))
    }

    /// Records which VMs of the old view have crashed, in each earlier view.
    fn record_crashes(&mut self, now: Instant, old: &View, new: &View) {
        // A VM that has returned holds records again.
        self.handed_over
            .retain(|name, _| new.get(name).is_none() || old.get(name).is_some());
        let has_handed_over = |vm: &Vm| {
            let reported_at = self.handed_over.get(&vm.name);
            reported_at.is_some_and(|reported_at| now.ms_since(*reported_at) < LOOKUP_HORIZON_MS)
        };
        let has_crashed = |vm: &&Vm| new.get(&vm.name).is_none() && !has_handed_over(vm);
        let crashed_vms: Vec<Name> = old
            .vms
            .values()
            .filter(has_crashed)
            .map(|vm| vm.name.clone())
            .collect();
        for vm in crashed_vms {
            self.last_crash = Some(now);
            for past in &mut self.past_views {
                if past.view.get(&vm).is_some() {
                    past.crashed.insert(vm.clone(), now);
                }
            }
            self.loss_notices
                .insert(vm, (NOTICE_REPEATS, Instant::ZERO));
        }
    }

    /// Removes a VM from the current view that restarted without another VM noticing. The next view
    /// change adds the VM again. Returns whether the view contained the VM.
    pub(super) fn drop_restarted(&mut self, vm: &Name, now: Instant) -> bool {
        let Some(mut remaining) = self.current_view.clone() else {
            return false;
        };
        let previous = remaining.clone();
        if remaining.vms.remove(vm).is_none() {
            return false;
        }
        self.add_past_view(previous.clone(), false, now);
        self.record_crashes(now, &previous, &remaining);
        self.current_view = Some(remaining);
        true
    }

    /// Records that a VM has finished the copies for the crash of another VM.
    ///
    /// A VM that names itself has handed over its records and is about to exit.
    pub(super) fn on_handover_done(&mut self, now: Instant, from: &Name, lost: &Name) {
        if from == lost {
            self.handed_over.insert(from.clone(), now);
            return;
        }
        self.recovered_losses
            .insert((lost.clone(), from.clone()), now);
    }

    /// Forgets the crash of a VM that has returned with records from well before the crash was
    /// detected: that VM was cut off rather than restarted.
    pub(super) fn on_vm_returned(&mut self, vm: &Name, history_since: Instant) {
        for past in &mut self.past_views {
            past.crashed.retain(|name, at| {
                name != vm || at.ms_since(history_since) < MAX_CRASH_DETECTION_MS
            });
        }
    }

    fn queue_copy(&mut self, vm: &Name, target: Target, fingerprint: u64) {
        let queue = self.queues.entry(vm.clone()).or_default();
        queue.entry(target).or_default().push(fingerprint);
    }

    fn add_credit(&mut self, now: Instant) {
        let rate = if self.is_stopping {
            STOP_COPY_BYTES_PER_S
        } else {
            COPY_BYTES_PER_S
        };
        let ms = now.ms_since(self.credit_updated_at);
        let added = rate * ms / 1_000;
        if added > 0 {
            self.credit_bytes = (self.credit_bytes + added).min(rate);
            self.credit_updated_at = now;
        }
    }

    /// Takes the next batch for a VM out of its queue.
    fn take_batch(&mut self, vm: &Name, now: Instant) -> Option<Batch> {
        let queue = self.queues.get_mut(vm)?;
        let mut entry = queue.first_entry()?;
        let affordable = self.credit_bytes.checked_sub(BATCH_OVERHEAD_BYTES)? / RECORD_BYTES;
        let most = usize::try_from(affordable)
            .unwrap_or(0)
            .min(MAX_BATCH_RECORDS);
        let target = *entry.key();
        let queued = entry.get_mut();
        let count = queued.len().min(most);
        if count == 0 {
            return None;
        }
        let fingerprints = queued.split_off(queued.len() - count);
        if queued.is_empty() {
            entry.remove();
        }
        if queue.is_empty() {
            self.queues.remove(vm);
        }
        let records = u64::try_from(fingerprints.len()).unwrap_or(0);
        self.credit_bytes -= BATCH_OVERHEAD_BYTES + records * RECORD_BYTES;
        self.last_batch = self.last_batch.wrapping_add(1);
        Some(Batch {
            number: self.last_batch,
            target,
            fingerprints,
            sent_at: now,
        })
    }
}

/// Returns the view that VMs had on the other side of a healed partition. The VMs responsible there
/// may have records of flows that were opened during the partition.
fn partition_view(old: &View, new: &View) -> Option<View> {
    let is_healed = |vm: &Vm| !old.has_live_vm_in(&vm.domain);
    if !new.vms.values().any(is_healed) {
        return None;
    }
    let mut view = new.clone();
    view.vms.retain(|name, _| old.get(name).is_none());
    Some(view)
}

impl PastView {
    /// Returns the live VMs to ask for the record of a flow, or no VM if this VM was the primary.
    fn record_holders(&self, context: Context<'_>, fingerprint: u64) -> Vec<Name> {
        let Some(primary) = self.view.primary(fingerprint) else {
            return Vec::new();
        };
        if context.view.is_me(primary) {
            return Vec::new();
        }
        let is_asked = |vm: &&Vm| context.view.get(&vm.name).is_some() && !context.view.is_me(vm);
        let backup = self.view.backup(fingerprint);
        if self.is_inferred {
            // Other VMs may have had this view for some time or never.
            let current = context.view.backup(fingerprint);
            let all = [Some(primary), backup, current].into_iter().flatten();
            return all.filter(is_asked).map(|vm| vm.name.clone()).collect();
        }
        let has_records = !self.crashed.contains_key(&primary.name);
        let primary = Some(primary).filter(is_asked).filter(|_| has_records);
        let holder = primary.or(backup.filter(is_asked));
        holder.map(|vm| vm.name.clone()).into_iter().collect()
    }

    fn has_lost_record(
        &self,
        fingerprint: u64,
        recovered_losses: &BTreeMap<(Name, Name), Instant>,
    ) -> bool {
        // An inferred view may never have been in use.
        if self.is_inferred || self.crashed.is_empty() {
            return false;
        }
        let Some(primary) = self.view.primary(fingerprint) else {
            return false;
        };
        let Some(primary_lost_at) = self.crashed.get(&primary.name) else {
            return false;
        };
        let Some(backup) = self.view.backup(fingerprint) else {
            return true;
        };
        let Some(backup_lost_at) = self.crashed.get(&backup.name) else {
            return false;
        };
        let is_recovered = |lost: &Vm, at: &Instant, by: &Vm| {
            let reported_at = recovered_losses.get(&(lost.name.clone(), by.name.clone()));
            reported_at.is_some_and(|reported_at| reported_at.plus_ms(MAX_DETECTION_SKEW_MS) >= *at)
        };
        !is_recovered(primary, primary_lost_at, backup)
            && !is_recovered(backup, backup_lost_at, primary)
    }
}
