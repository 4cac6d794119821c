//! Records move as the view changes.
//!
//! For each flow that needs its record, the old home, or the old backup where the home is gone,
//! copies the record to the VMs that became responsible, within a budget. Meanwhile a home asks
//! for records that it misses, so that copies may take their time.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::{
    Flows, Message, Mode, Target, Turn,
    record::{Moment, Record, Stage},
};
use crate::{
    io::Context,
    time::Instant,
    view::{View, Vm},
};

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
        let is_crash = |vm: &&Vm| new.get(&vm.name).is_none() && !vm.leaving;
        for vm in old.vms.values().filter(is_crash) {
            self.last_loss = Some(now);
            for past in &mut self.past {
                if past.view.get(&vm.name).is_some() {
                    past.lost.insert(vm.name.clone(), now);
                }
            }
            self.losses
                .insert(vm.name.clone(), (MOVED_REPEATS, Instant::ZERO));
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
    pub(super) fn on_moved(&mut self, now: Instant, from: &Name, lost: &Name) {
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
    let is_healed = |vm: &Vm| !old.reaches(&vm.domain);
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

impl Flows {
    /// Queues the records whose home or backup differs in `new` from the last view.
    pub(super) fn move_records(&mut self, context: Context<'_>, new: View) {
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
    pub(super) fn copy_to_all(&mut self, turn: &Turn<'_, '_>, fingerprint: u64, record: Record) {
        if self.mode != Mode::CopyAll {
            return;
        }
        for vm in turn.context.view.others() {
            self.handover.push(&vm.name, record.target(), fingerprint);
        }
    }

    /// Sends what the budget allows, repeats what was not acknowledged, and forgets old views.
    pub(super) fn repeat_copies(&mut self, turn: &mut Turn<'_, '_>) {
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

    /// Takes records that another VM hands over.
    pub(super) fn on_copy(
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
