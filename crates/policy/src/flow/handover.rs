//! Records move as the view changes.
//!
//! For each flow that needs its record, the old home, or the old backup where the home is gone,
//! copies the record to the VMs that became responsible, within a budget. Meanwhile a home asks
//! for records that it misses, so that copies may take their time.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::Target;
use crate::{
    io::Context,
    time::Instant,
    view::{View, Vm},
};

mod transfer;

/// Time for which a home asks the VMs of an earlier view, in milliseconds.
const LOOKUP_HORIZON_MS: u64 = 120_000;

/// Most earlier views that are kept.
const MAX_PAST_VIEWS: usize = 8;

/// Budget for copies, in bytes a second.
const COPY_BYTES_PER_S: u64 = 400;

/// Budget for copies while this VM stops, in bytes a second.
const STOP_COPY_BYTES_PER_S: u64 = 16_000;

/// Bytes of a copied record on the wire.
const RECORD_BYTES: u64 = 9;

/// Bytes of a batch of copies on the wire besides the records.
const BATCH_OVERHEAD_BYTES: u64 = 32;

/// Most records in one batch.
const MAX_BATCH_RECORDS: usize = 100;

/// Time after which a batch is sent again, in milliseconds.
const RESEND_MS: u64 = 500;

/// Longest time between a crash and the moment at which others see it, in milliseconds.
const MAX_CRASH_DETECTION_MS: u64 = 10_000;

/// Longest time between the moments at which two VMs see the same loss, in milliseconds.
const MAX_DETECTION_SKEW_MS: u64 = 5_000;

/// How often a VM says that it has copied what the loss of another made necessary.
const NOTICE_REPEATS: u8 = 3;

/// Time between two of these messages, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 500;

/// Time between two messages of a stopping VM that it has handed everything over, in milliseconds.
const HANDED_OVER_INTERVAL_MS: u64 = 50;

/// What a VM has to copy, and what it remembers of earlier views.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// The current view. `None` before the first change.
    current_view: Option<View>,
    /// When a VM was last found to be gone without notice.
    last_crash: Option<Instant>,
    /// Earlier views, oldest first. Invariant: at most [`MAX_PAST`].
    past_views: Vec<PastView>,
    /// Fingerprints to copy, by VM.
    queues: BTreeMap<Name, BTreeMap<Target, Vec<u64>>>,
    /// Batches on their way, by VM. Invariant: one for each VM.
    in_flight: BTreeMap<Name, Batch>,
    /// Number of the last batch.
    last_batch: u32,
    /// Bytes that may be sent now.
    credit_bytes: u64,
    /// When credit was last added.
    credit_updated_at: Instant,
    /// Whether this VM stops.
    is_stopping: bool,
    /// How often this VM, as it stops, has said that it has handed everything over, and when last.
    handed_over_notice: (u8, Instant),
    /// VMs that said so, and when.
    handed_over: BTreeMap<Name, Instant>,
    /// VMs whose loss is to be answered with [`Message::Moved`] once the queues are empty: how
    /// often yet, and when last.
    loss_notices: BTreeMap<Name, (u8, Instant)>,
    /// Pairs of a lost VM and one that said that it has copied what the loss made necessary, and
    /// when it said so.
    recovered_losses: BTreeMap<(Name, Name), Instant>,
}

/// An earlier view.
#[derive(Debug)]
struct PastView {
    view: View,
    /// Whether this VM only supposes that others had this view.
    is_inferred: bool,
    /// When it ended.
    ended_at: Instant,
    /// Its VMs that have gone without notice since, and when that was seen.
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
    /// Whether a view was ever set.
    pub(super) fn has_view(&self) -> bool {
        self.current_view.is_some()
    }

    /// Whether a VM was found to be gone without notice in the last `ms` milliseconds.
    pub(super) fn has_crash_within(&self, now: Instant, ms: u64) -> bool {
        self.last_crash.is_some_and(|at| now.ms_since(at) < ms)
    }

    /// Whether the view has changed in the last `ms` milliseconds.
    pub(super) fn has_view_change_within(&self, now: Instant, ms: u64) -> bool {
        let last = self.past_views.last();
        last.is_some_and(|past| now.ms_since(past.ended_at) < ms)
    }

    /// Whether nothing is left to copy.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.in_flight.is_empty()
    }

    /// Whether this VM may exit: all is copied, and the others were told.
    pub(super) fn is_done(&self) -> bool {
        self.is_empty() && (!self.is_stopping || self.handed_over_notice.0 >= NOTICE_REPEATS)
    }

    /// Spends more on copies from now on.
    pub(super) fn start_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Takes the acknowledgement of a batch.
    pub(super) fn on_batch_ack(&mut self, from: &Name, batch: u32) {
        if self.in_flight.get(from).is_some_and(|b| b.number == batch) {
            self.in_flight.remove(from);
        }
    }

    /// Forgets earlier views, since this process stood still: any of the other VMs may have been
    /// responsible meanwhile.
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

    /// VMs to ask for the record of a flow: of each view that ended in the last `horizon_ms`, the
    /// home, or the backup where the home is gone.
    ///
    /// Where this VM was the home, it holds what there was to know.
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

    /// Whether both VMs that held the record of a flow have crashed before either was replaced.
    pub(super) fn may_have_lost_record(&self, fingerprint: u64) -> bool {
        self.past_views
            .iter()
            .any(|past| past.may_have_lost_record(fingerprint, &self.recovered_losses))
    }

    /// Notes which VMs have crashed since each earlier view.
    fn record_crashes(&mut self, now: Instant, old: &View, new: &View) {
        // A VM that is back has records again.
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

    /// Drops a VM from the current view that started anew without anybody seeing it leave; the next
    /// change of the view brings it back.
    pub(super) fn drop_restarted(&mut self, vm: &Name, now: Instant) -> bool {
        let Some(mut old) = self.current_view.clone() else {
            return false;
        };
        let before = old.clone();
        if old.vms.remove(vm).is_none() {
            return false;
        }
        self.add_past_view(before.clone(), false, now);
        self.record_crashes(now, &before, &old);
        self.current_view = Some(old);
        true
    }

    /// Notes that a VM has copied what the loss of another made necessary.
    ///
    /// A VM that names itself has handed everything over and is about to exit.
    pub(super) fn on_handover_done(&mut self, now: Instant, from: &Name, lost: &Name) {
        if from == lost {
            self.handed_over.insert(from.clone(), now);
            return;
        }
        self.recovered_losses
            .insert((lost.clone(), from.clone()), now);
    }

    /// Notes that a VM is back that remembers everything since a moment: it was cut off rather than
    /// started anew if that was well before it was missed.
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

/// The view that VMs had on the far side of a partition that has healed: whoever was responsible
/// there may have the records of flows that were opened there.
fn partition_view(old: &View, new: &View) -> Option<View> {
    let is_healed = |vm: &Vm| !old.reaches(&vm.domain);
    if !new.vms.values().any(is_healed) {
        return None;
    }
    let mut view = new.clone();
    view.vms.retain(|name, _| old.get(name).is_none());
    Some(view)
}

impl PastView {
    /// The live VMs to ask for the record of a flow; none where this VM was the home.
    fn record_holders(&self, context: Context<'_>, fingerprint: u64) -> Vec<Name> {
        let Some(primary) = self.view.home(fingerprint) else {
            return Vec::new();
        };
        if context.view.is_me(primary) {
            return Vec::new();
        }
        let is_asked = |vm: &&Vm| context.view.get(&vm.name).is_some() && !context.view.is_me(vm);
        let backup = self.view.backup(fingerprint);
        if self.is_inferred {
            // Other VMs may have had this view for a while, or none.
            let current = context.view.backup(fingerprint);
            let all = [Some(primary), backup, current].into_iter().flatten();
            return all.filter(is_asked).map(|vm| vm.name.clone()).collect();
        }
        let remembers = !self.crashed.contains_key(&primary.name);
        let primary = Some(primary).filter(is_asked).filter(|_| remembers);
        let holder = primary.or(backup.filter(is_asked));
        holder.map(|vm| vm.name.clone()).into_iter().collect()
    }

    fn may_have_lost_record(
        &self,
        fingerprint: u64,
        recovered_losses: &BTreeMap<(Name, Name), Instant>,
    ) -> bool {
        // A view that is only supposed may never have been anybody's.
        if self.is_inferred || self.crashed.is_empty() {
            return false;
        }
        let Some(primary) = self.view.home(fingerprint) else {
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
