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
const HORIZON_MS: u64 = 120_000;

/// Most earlier views that are kept.
const MAX_PAST: usize = 8;

/// Budget for copies, in bytes a second.
const COPY_BYTES_PER_S: u64 = 400;

/// Budget for copies while this VM stops, in bytes a second.
const STOP_BYTES_PER_S: u64 = 16_000;

/// Bytes of a copied record on the wire.
const RECORD_BYTES: u64 = 9;

/// Bytes of a batch of copies on the wire besides the records.
const BATCH_BYTES: u64 = 32;

/// Most records in one batch.
const MAX_BATCH: usize = 100;

/// Time after which a batch is sent again, in milliseconds.
const REPEAT_MS: u64 = 500;

/// Longest time between a crash and the moment at which others see it, in milliseconds.
const DETECTION_MS: u64 = 10_000;

/// Longest time between the moments at which two VMs see the same loss, in milliseconds.
const UNEVEN_MS: u64 = 5_000;

/// How often a VM says that it has copied what the loss of another made necessary.
const MOVED_REPEATS: u8 = 3;

/// Time between two of these messages, in milliseconds.
const MOVED_MS: u64 = 500;

/// Time between two messages of a stopping VM that it has handed everything over, in milliseconds.
const HANDED_OVER_MS: u64 = 50;

/// What a VM has to copy, and what it remembers of earlier views.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// The current view. `None` before the first change.
    current: Option<View>,
    /// When a VM was last found to be gone without notice.
    last_loss: Option<Instant>,
    /// Earlier views, oldest first. Invariant: at most [`MAX_PAST`].
    past: Vec<Past>,
    /// Fingerprints to copy, by VM.
    queues: BTreeMap<Name, BTreeMap<Target, Vec<u64>>>,
    /// Batches on their way, by VM. Invariant: one for each VM.
    sent: BTreeMap<Name, Batch>,
    /// Number of the last batch.
    last_batch: u32,
    /// Bytes that may be sent now.
    credit: u64,
    /// When credit was last added.
    credited: Instant,
    /// Whether this VM stops.
    is_hurried: bool,
    /// How often this VM, as it stops, has said that it has handed everything over, and when last.
    said_handed_over: (u8, Instant),
    /// VMs that said so, and when.
    handed_over: BTreeMap<Name, Instant>,
    /// VMs whose loss is to be answered with [`Message::Moved`] once the queues are empty: how
    /// often yet, and when last.
    losses: BTreeMap<Name, (u8, Instant)>,
    /// Pairs of a lost VM and one that said that it has copied what the loss made necessary, and
    /// when it said so.
    moved: BTreeMap<(Name, Name), Instant>,
}

/// An earlier view.
#[derive(Debug)]
struct Past {
    view: View,
    /// Whether this VM only supposes that others had this view.
    is_guess: bool,
    /// When it ended.
    ended: Instant,
    /// Its VMs that have gone without notice since, and when that was seen.
    lost: BTreeMap<Name, Instant>,
}

#[derive(Debug)]
struct Batch {
    number: u32,
    target: Target,
    fingerprints: Vec<u64>,
    sent: Instant,
}

impl Handover {
    /// Whether a view was ever set.
    pub(super) fn has_view(&self) -> bool {
        self.current.is_some()
    }

    /// Whether a VM was found to be gone without notice in the last `ms` milliseconds.
    pub(super) fn has_lost_vm(&self, now: Instant, ms: u64) -> bool {
        self.last_loss.is_some_and(|at| now.ms_since(at) < ms)
    }

    /// Whether the view has changed in the last `ms` milliseconds.
    pub(super) fn is_recent(&self, now: Instant, ms: u64) -> bool {
        let last = self.past.last();
        last.is_some_and(|past| now.ms_since(past.ended) < ms)
    }

    /// Whether nothing is left to copy.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.sent.is_empty()
    }

    /// Whether this VM may exit: all is copied, and the others were told.
    pub(super) fn is_done(&self) -> bool {
        self.is_empty() && (!self.is_hurried || self.said_handed_over.0 >= MOVED_REPEATS)
    }

    /// Spends more on copies from now on.
    pub(super) fn hurry(&mut self) {
        self.is_hurried = true;
    }

    /// Takes the acknowledgement of a batch.
    pub(super) fn on_held(&mut self, from: &Name, batch: u32) {
        if self.sent.get(from).is_some_and(|b| b.number == batch) {
            self.sent.remove(from);
        }
    }

    /// Forgets earlier views, since this process stood still: any of the other VMs may have been
    /// responsible meanwhile.
    pub(super) fn rejoin(&mut self, context: Context<'_>) {
        self.queues.clear();
        self.sent.clear();
        let mut without_me = context.view.clone();
        without_me.vms.remove(&context.view.me);
        self.remember(without_me, true, context.now);
    }

    fn remember(&mut self, view: View, is_guess: bool, now: Instant) {
        self.past.push(Past {
            is_guess,
            view,
            ended: now,
            lost: BTreeMap::new(),
        });
        if self.past.len() > MAX_PAST {
            self.past.remove(0);
        }
    }

    /// VMs to ask for the record of a flow: of each view that ended in the last `horizon_ms`, the
    /// home, or the backup where the home is gone.
    ///
    /// Where this VM was the home, it holds what there was to know.
    pub(super) fn holders(
        &self,
        context: Context<'_>,
        fingerprint: u64,
        horizon_ms: u64,
    ) -> Vec<Name> {
        let is_recent = |past: &&Past| context.now.ms_since(past.ended) < horizon_ms;
        let recent = self.past.iter().filter(is_recent);
        let names = recent.flat_map(|past| past.holders(context, fingerprint));
        let distinct: BTreeSet<Name> = names.collect();
        distinct.into_iter().collect()
    }

    /// Whether both VMs that held the record of a flow have crashed before either was replaced.
    pub(super) fn may_be_lost(&self, fingerprint: u64) -> bool {
        self.past
            .iter()
            .any(|past| past.has_lost(fingerprint, &self.moved))
    }

    /// Notes which VMs have crashed since each earlier view.
    fn note_losses(&mut self, now: Instant, old: &View, new: &View) {
        // A VM that is back has records again.
        self.handed_over
            .retain(|name, _| new.get(name).is_none() || old.get(name).is_some());
        let has_handed_over = |vm: &Vm| {
            let said = self.handed_over.get(&vm.name);
            said.is_some_and(|said| now.ms_since(*said) < HORIZON_MS)
        };
        let is_crash = |vm: &&Vm| new.get(&vm.name).is_none() && !has_handed_over(vm);
        let crashed: Vec<Name> = old
            .vms
            .values()
            .filter(is_crash)
            .map(|vm| vm.name.clone())
            .collect();
        for vm in crashed {
            self.last_loss = Some(now);
            for past in &mut self.past {
                if past.view.get(&vm).is_some() {
                    past.lost.insert(vm.clone(), now);
                }
            }
            self.losses.insert(vm, (MOVED_REPEATS, Instant::ZERO));
        }
    }

    /// Drops a VM from the current view that started anew without anybody seeing it leave; the next
    /// change of the view brings it back.
    pub(super) fn drop_restarted(&mut self, vm: &Name, now: Instant) -> bool {
        let Some(mut old) = self.current.clone() else {
            return false;
        };
        let whole = old.clone();
        if old.vms.remove(vm).is_none() {
            return false;
        }
        self.remember(whole.clone(), false, now);
        self.note_losses(now, &whole, &old);
        self.current = Some(old);
        true
    }

    /// Notes that a VM has copied what the loss of another made necessary.
    ///
    /// A VM that names itself has handed everything over and is about to exit.
    pub(super) fn on_moved(&mut self, now: Instant, from: &Name, lost: &Name) {
        if from == lost {
            self.handed_over.insert(from.clone(), now);
            return;
        }
        self.moved.insert((lost.clone(), from.clone()), now);
    }

    /// Notes that a VM is back that remembers everything since a moment: it was cut off rather than
    /// started anew if that was well before it was missed.
    pub(super) fn on_return(&mut self, vm: &Name, remembers_since: Instant) {
        for past in &mut self.past {
            past.lost
                .retain(|name, at| name != vm || at.ms_since(remembers_since) < DETECTION_MS);
        }
    }

    fn push(&mut self, vm: &Name, target: Target, fingerprint: u64) {
        let queue = self.queues.entry(vm.clone()).or_default();
        queue.entry(target).or_default().push(fingerprint);
    }

    fn add_credit(&mut self, now: Instant) {
        let rate = if self.is_hurried {
            STOP_BYTES_PER_S
        } else {
            COPY_BYTES_PER_S
        };
        let ms = now.ms_since(self.credited);
        let added = rate * ms / 1_000;
        if added > 0 {
            self.credit = (self.credit + added).min(rate);
            self.credited = now;
        }
    }

    /// Takes the next batch for a VM out of its queue.
    fn next_batch(&mut self, vm: &Name, now: Instant) -> Option<Batch> {
        let queue = self.queues.get_mut(vm)?;
        let mut entry = queue.first_entry()?;
        let affordable = self.credit.checked_sub(BATCH_BYTES)? / RECORD_BYTES;
        let most = usize::try_from(affordable).unwrap_or(0).min(MAX_BATCH);
        let target = *entry.key();
        let waiting = entry.get_mut();
        let count = waiting.len().min(most);
        if count == 0 {
            return None;
        }
        let fingerprints = waiting.split_off(waiting.len() - count);
        if waiting.is_empty() {
            entry.remove();
        }
        if queue.is_empty() {
            self.queues.remove(vm);
        }
        let records = u64::try_from(fingerprints.len()).unwrap_or(0);
        self.credit -= BATCH_BYTES + records * RECORD_BYTES;
        self.last_batch = self.last_batch.wrapping_add(1);
        Some(Batch {
            number: self.last_batch,
            target,
            fingerprints,
            sent: now,
        })
    }
}

/// The view that VMs had on the far side of a partition that has healed: whoever was responsible
/// there may have the records of flows that were opened there.
fn far_side(old: &View, new: &View) -> Option<View> {
    let is_healed = |vm: &Vm| !old.has_live_vm_in(&vm.domain);
    if !new.vms.values().any(is_healed) {
        return None;
    }
    let mut view = new.clone();
    view.vms.retain(|name, _| old.get(name).is_none());
    Some(view)
}

impl Past {
    /// The live VMs to ask for the record of a flow; none where this VM was the home.
    fn holders(&self, context: Context<'_>, fingerprint: u64) -> Vec<Name> {
        let Some(home) = self.view.home(fingerprint) else {
            return Vec::new();
        };
        if context.view.is_me(home) {
            return Vec::new();
        }
        let is_asked = |vm: &&Vm| context.view.get(&vm.name).is_some() && !context.view.is_me(vm);
        let backup = self.view.backup(fingerprint);
        if self.is_guess {
            // Other VMs may have had this view for a while, or none.
            let current = context.view.backup(fingerprint);
            let all = [Some(home), backup, current].into_iter().flatten();
            return all.filter(is_asked).map(|vm| vm.name.clone()).collect();
        }
        let remembers = !self.lost.contains_key(&home.name);
        let home = Some(home).filter(is_asked).filter(|_| remembers);
        let holder = home.or(backup.filter(is_asked));
        holder.map(|vm| vm.name.clone()).into_iter().collect()
    }

    fn has_lost(&self, fingerprint: u64, moved: &BTreeMap<(Name, Name), Instant>) -> bool {
        // A view that is only supposed may never have been anybody's.
        if self.is_guess || self.lost.is_empty() {
            return false;
        }
        let Some(home) = self.view.home(fingerprint) else {
            return false;
        };
        let Some(lost_at) = self.lost.get(&home.name) else {
            return false;
        };
        let Some(backup) = self.view.backup(fingerprint) else {
            return true;
        };
        let Some(backup_lost_at) = self.lost.get(&backup.name) else {
            return false;
        };
        let is_moved = |lost: &Vm, at: &Instant, by: &Vm| {
            let said = moved.get(&(lost.name.clone(), by.name.clone()));
            said.is_some_and(|said| said.plus_ms(UNEVEN_MS) >= *at)
        };
        !is_moved(home, lost_at, backup) && !is_moved(backup, backup_lost_at, home)
    }
}
