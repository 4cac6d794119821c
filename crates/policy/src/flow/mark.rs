//! Marks: an upstream that refuses new flows between two generations.
//!
//! Its steward tells every live VM, and only when each has answered may homes place the flows of
//! its buckets elsewhere, as flows with records. A mark ends when the steward has refused nothing
//! for a while, and every VM has pinned the buckets in which such flows remain.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::{
    Flows, Message, Target, Turn,
    message::{Mark, Step},
};
use crate::{
    io::Context,
    time::Instant,
    view::{View, Vm},
};

/// Time without a refusal after which a mark is to end, in milliseconds.
const QUIET_MS: u64 = 10_000;

/// Time after which a step is repeated, in milliseconds.
const REPEAT_MS: u64 = 250;

/// Time after which the step that waits for pins is repeated, in milliseconds.
const CLEAR_REPEAT_MS: u64 = 1_000;

/// The marks that a VM applies, and those that it answers for as steward.
#[derive(Debug, Default)]
pub(super) struct Marks {
    /// Epochs of the marks that are applied here.
    known: BTreeMap<Target, u64>,
    /// The newest epoch of each upstream that was ever marked.
    last: BTreeMap<Target, u64>,
    /// Marks that this VM is steward of.
    owned: BTreeMap<Target, Owned>,
    /// Marks that are about to end: the version of the pins that cover their flows, once known.
    clearing: BTreeMap<Target, Option<u64>>,
}

#[derive(Debug)]
struct Owned {
    epoch: u64,
    step: Step,
    /// VMs that have not done the step.
    waiting: BTreeSet<Name>,
    /// When the step was last sent.
    sent: Instant,
    /// When the steward last refused a flow.
    refused: Instant,
}

impl Owned {
    fn start(&mut self, step: Step, view: &View) {
        self.step = step;
        self.waiting = view.others().map(|vm| vm.name.clone()).collect();
        self.sent = Instant::ZERO;
    }

    fn repeat_ms(&self) -> u64 {
        match self.step {
            Step::Clear => CLEAR_REPEAT_MS,
            Step::Set | Step::Unset => REPEAT_MS,
        }
    }
}

impl Marks {
    /// Number of marks that are applied.
    pub(super) fn count(&self) -> usize {
        self.known.len()
    }

    /// Positions of the marked upstreams of a service.
    pub(super) fn of(&self, service: u16) -> BTreeSet<u16> {
        let targets = self.known.keys().filter(|t| t.service == service);
        targets.map(|t| t.upstream).collect()
    }

    /// Whether flows that were placed elsewhere need no pin, since the mark still bars direct
    /// forwarding everywhere.
    pub(super) fn covers(&self, target: Target) -> bool {
        self.known.contains_key(&target) && !self.clearing.contains_key(&target)
    }

    /// Notes that pins of this version cover all marks that are about to end.
    pub(super) fn on_pinned(&mut self, version: u64) {
        for covered in self.clearing.values_mut() {
            covered.get_or_insert(version);
        }
    }

    /// Applies a mark; returns whether anything changed.
    fn set(&mut self, target: Target, epoch: u64) -> bool {
        let last = self.last.get(&target).copied().unwrap_or(0);
        if epoch <= last {
            return false;
        }
        self.last.insert(target, epoch);
        self.known.insert(target, epoch);
        self.clearing.remove(&target);
        true
    }

    /// Ends a mark; returns whether anything changed.
    fn unset(&mut self, target: Target) -> bool {
        self.clearing.remove(&target);
        self.known.remove(&target).is_some()
    }

    fn own(&mut self, target: Target, now: Instant, view: &View) {
        let epoch = self.last.get(&target).copied().unwrap_or(0) + 1;
        let mut owned = Owned {
            epoch,
            step: Step::Set,
            waiting: BTreeSet::new(),
            sent: Instant::ZERO,
            refused: now,
        };
        owned.start(Step::Set, view);
        self.set(target, epoch);
        self.owned.insert(target, owned);
    }
}

impl Flows {
    /// Notes that the steward refused a flow; returns whether homes may place it elsewhere.
    pub(super) fn mark_refused(&mut self, turn: &mut Turn<'_, '_>, target: Target) -> bool {
        let now = turn.now();
        let is_set = self
            .marks
            .owned
            .get(&target)
            .is_some_and(|owned| owned.step == Step::Set);
        if !is_set {
            self.marks.own(target, now, turn.context.view);
            self.refresh(turn.context);
            self.repeat_marks(turn);
        }
        let Some(owned) = self.marks.owned.get_mut(&target) else {
            return false;
        };
        owned.refused = now;
        owned.waiting.is_empty()
    }

    /// Takes a step of a mark.
    pub(super) fn on_mark(&mut self, turn: &mut Turn<'_, '_>, from: &Vm, mut mark: Mark) {
        // The steward repeats the step until this VM's configuration has the upstream.
        let Some(target) = self.target(&mark.service, &mark.upstream) else {
            return;
        };
        let last = self.marks.last.get(&target).copied().unwrap_or(0);
        if mark.epoch < last {
            mark.epoch = last;
            turn.send(from, Message::MarkDone(mark));
            return;
        }
        let has_changed = match mark.step {
            Step::Set => self.marks.set(target, mark.epoch),
            Step::Clear => {
                if !self.is_clear(target) {
                    return;
                }
                false
            }
            Step::Unset => {
                self.marks.last.insert(target, mark.epoch);
                self.marks.unset(target)
            }
        };
        if has_changed {
            self.refresh(turn.context);
        }
        turn.send(from, Message::MarkDone(mark));
    }

    /// Whether every VM knows the pins of all flows that were placed elsewhere by a mark.
    fn is_clear(&mut self, target: Target) -> bool {
        let covered = self.marks.clearing.entry(target).or_default();
        covered.is_some_and(|version| version <= self.pins.held_version())
    }

    /// Takes the answer to a step.
    pub(super) fn on_mark_done(&mut self, turn: &mut Turn<'_, '_>, from: &Vm, mark: &Mark) {
        let Some(target) = self.target(&mark.service, &mark.upstream) else {
            return;
        };
        let Some(owned) = self.marks.owned.get_mut(&target) else {
            return;
        };
        if mark.epoch > owned.epoch {
            // The upstream was marked before by a steward that this VM knows nothing of.
            self.marks.last.insert(target, mark.epoch);
            self.marks.own(target, turn.now(), turn.context.view);
            self.refresh(turn.context);
            return;
        }
        if mark.epoch == owned.epoch && mark.step == owned.step {
            owned.waiting.remove(&from.name);
        }
    }

    /// Takes over the marks of other stewards, and gives up those of upstreams of others.
    pub(super) fn move_marks(&mut self, context: Context<'_>) {
        let view = context.view;
        let mut marks = std::mem::take(&mut self.marks);
        marks
            .owned
            .retain(|target, _| self.is_steward(context, *target));
        let others: BTreeSet<Name> = view.others().map(|vm| vm.name.clone()).collect();
        for owned in marks.owned.values_mut() {
            let joined = self.pins.joined(&others);
            owned.waiting.retain(|name| others.contains(name));
            owned.waiting.extend(joined);
        }
        let orphans: Vec<Target> = marks
            .known
            .keys()
            .filter(|t| !marks.owned.contains_key(t) && self.is_steward(context, **t))
            .copied()
            .collect();
        for target in orphans {
            marks.own(target, context.now, view);
        }
        self.marks = marks;
    }

    fn dispatcher<'a>(&self, context: Context<'a>, target: Target) -> Option<&'a Vm> {
        let service = self.service(target.service)?;
        let upstream = service.upstream(target.upstream)?;
        context.view.dispatcher(&service.name, &upstream.domain)
    }

    fn is_steward(&self, context: Context<'_>, target: Target) -> bool {
        self.dispatcher(context, target)
            .is_some_and(|vm| context.view.is_me(vm))
    }

    /// Takes a peer's marks: those of which it is steward, or that are left without one.
    pub(super) fn take_marks(&mut self, context: Context<'_>, from: &Vm, marks: &[Mark]) {
        let mut listed = BTreeSet::new();
        for mark in marks {
            let Some(target) = self.target(&mark.service, &mark.upstream) else {
                continue;
            };
            listed.insert(target);
            let dispatcher = self.dispatcher(context, target);
            let is_mine = dispatcher.is_some_and(|vm| context.view.is_me(vm));
            if is_mine || dispatcher.is_none_or(|vm| vm.name == from.name) {
                self.marks.set(target, mark.epoch);
            }
        }
        let ended: Vec<Target> = self
            .marks
            .known
            .keys()
            .filter(|t| !listed.contains(t))
            .filter(|t| {
                self.dispatcher(context, **t)
                    .is_some_and(|vm| vm.name == from.name)
            })
            .copied()
            .collect();
        for target in ended {
            self.marks.unset(target);
        }
        self.move_marks(context);
    }

    /// The marks that this VM applies, for a peer.
    pub(super) fn known_marks(&self) -> Vec<Mark> {
        let known = self.marks.known.iter();
        known
            .filter_map(|(target, epoch)| self.mark(*target, *epoch, Step::Set))
            .collect()
    }

    fn mark(&self, target: Target, epoch: u64, step: Step) -> Option<Mark> {
        let service = self.service(target.service)?;
        let upstream = service.upstream(target.upstream)?;
        Some(Mark {
            service: service.name.clone(),
            upstream: upstream.name.clone(),
            epoch,
            step,
        })
    }

    /// Moves the marks of this steward on, and repeats steps that were not answered.
    pub(super) fn repeat_marks(&mut self, turn: &mut Turn<'_, '_>) {
        let targets: Vec<Target> = self.marks.owned.keys().copied().collect();
        for target in targets {
            self.advance_mark(turn, target);
            self.send_mark(turn, target);
        }
    }

    fn advance_mark(&mut self, turn: &mut Turn<'_, '_>, target: Target) {
        let now = turn.now();
        let view = turn.context.view;
        let Some(owned) = self.marks.owned.get_mut(&target) else {
            return;
        };
        if !owned.waiting.is_empty() {
            return;
        }
        match owned.step {
            Step::Set if now.ms_since(owned.refused) >= QUIET_MS => {
                owned.start(Step::Clear, view);
            }
            Step::Set => {}
            Step::Clear => {
                if !self.is_clear(target) {
                    return;
                }
                if let Some(owned) = self.marks.owned.get_mut(&target) {
                    owned.start(Step::Unset, view);
                }
                self.marks.unset(target);
                self.refresh(turn.context);
            }
            Step::Unset => {
                self.marks.owned.remove(&target);
            }
        }
    }

    fn send_mark(&mut self, turn: &mut Turn<'_, '_>, target: Target) {
        let now = turn.now();
        let Some(owned) = self.marks.owned.get_mut(&target) else {
            return;
        };
        let is_due = owned.sent == Instant::ZERO || now.ms_since(owned.sent) >= owned.repeat_ms();
        if owned.waiting.is_empty() || !is_due {
            return;
        }
        owned.sent = now;
        let (epoch, step) = (owned.epoch, owned.step);
        let waiting = owned.waiting.clone();
        let Some(mark) = self.mark(target, epoch, step) else {
            return;
        };
        for name in waiting {
            if let Some(vm) = turn.context.view.get(&name) {
                turn.send(vm, Message::Mark(mark.clone()));
            }
        }
    }
}
