//! Exclusions of upstreams that refuse new flows between two generations.
//!
//! An upstream's dispatcher announces an exclusion to every live VM. Only when each VM has
//! acknowledged the exclusion may primaries open new flows of the upstream's buckets on other
//! upstreams. Such displaced flows have records. An exclusion ends when the dispatcher has refused
//! no flow for [`REFUSAL_FREE_MS`] and every VM has pinned the buckets in which displaced flows
//! remain.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::{
    CallContext, Flows, Message, Target,
    message::{Exclusion, ExclusionStep},
};
use crate::{
    io::Context,
    time::Instant,
    view::{View, Vm},
};

/// Time without a refusal after which an exclusion may end, in milliseconds.
const REFUSAL_FREE_MS: u64 = 10_000;

/// Time after which an unacknowledged step is sent again, in milliseconds.
const RESEND_MS: u64 = 250;

/// Time after which [`ExclusionStep::AwaitPins`] is sent again, in milliseconds.
const AWAIT_PINS_RESEND_MS: u64 = 1_000;

/// Exclusions that a VM applies, and those that the VM announces as dispatcher.
#[derive(Debug, Default)]
pub(super) struct Exclusions {
    /// Epochs of the exclusions that this VM applies.
    active: BTreeMap<Target, u64>,
    /// Newest epoch of each upstream that was ever excluded.
    last_epochs: BTreeMap<Target, u64>,
    /// Exclusions that this VM announces as dispatcher.
    owned: BTreeMap<Target, OwnedExclusion>,
    /// Exclusions that are about to end, with the version of the pins that cover their displaced
    /// flows, once known.
    awaiting_pins: BTreeMap<Target, Option<u64>>,
}

#[derive(Debug)]
struct OwnedExclusion {
    epoch: u64,
    step: ExclusionStep,
    /// VMs that have not acknowledged the step.
    unanswered: BTreeSet<Name>,
    /// Time at which the step was last sent.
    sent_at: Instant,
    /// Time at which the dispatcher last refused a flow.
    last_refusal: Instant,
}

impl OwnedExclusion {
    fn start_step(&mut self, step: ExclusionStep, view: &View) {
        self.step = step;
        self.unanswered = view.others().map(|vm| vm.name.clone()).collect();
        self.sent_at = Instant::ZERO;
    }

    fn resend_interval_ms(&self) -> u64 {
        match self.step {
            ExclusionStep::AwaitPins => AWAIT_PINS_RESEND_MS,
            ExclusionStep::Set | ExclusionStep::Lift => RESEND_MS,
        }
    }
}

impl Exclusions {
    /// Returns the number of exclusions that this VM applies.
    pub(super) fn count(&self) -> usize {
        self.active.len()
    }

    /// Returns the positions of a service's excluded upstreams.
    pub(super) fn excluded_upstreams(&self, service: u16) -> BTreeSet<u16> {
        let targets = self.active.keys().filter(|t| t.service == service);
        targets.map(|t| t.upstream).collect()
    }

    /// Reports whether an exclusion still bars direct forwarding on every VM, so that displaced
    /// flows need no pin.
    pub(super) fn bars_everywhere(&self, target: Target) -> bool {
        self.active.contains_key(&target) && !self.awaiting_pins.contains_key(&target)
    }

    /// Records that pins of this version cover all exclusions that are about to end.
    pub(super) fn record_pin_version(&mut self, version: u64) {
        for covered in self.awaiting_pins.values_mut() {
            covered.get_or_insert(version);
        }
    }

    /// Applies an exclusion. Returns whether anything changed.
    fn activate(&mut self, target: Target, epoch: u64) -> bool {
        let last = self.last_epochs.get(&target).copied().unwrap_or(0);
        if epoch <= last {
            return false;
        }
        self.last_epochs.insert(target, epoch);
        self.active.insert(target, epoch);
        self.awaiting_pins.remove(&target);
        true
    }

    /// Ends an exclusion. Returns whether anything changed.
    fn lift(&mut self, target: Target) -> bool {
        self.awaiting_pins.remove(&target);
        self.active.remove(&target).is_some()
    }

    fn take_ownership(&mut self, target: Target, now: Instant, view: &View) {
        let epoch = self.last_epochs.get(&target).copied().unwrap_or(0) + 1;
        let mut owned = OwnedExclusion {
            epoch,
            step: ExclusionStep::Set,
            unanswered: BTreeSet::new(),
            sent_at: Instant::ZERO,
            last_refusal: now,
        };
        owned.start_step(ExclusionStep::Set, view);
        self.activate(target, epoch);
        self.owned.insert(target, owned);
    }
}

impl Flows {
    /// Records that the dispatcher refused a flow. Returns whether the flow's primary may place the
    /// flow elsewhere.
    pub(super) fn exclude_after_refusal(
        &mut self,
        call: &mut CallContext<'_, '_>,
        target: Target,
    ) -> bool {
        let now = call.now();
        let is_set = self
            .exclusions
            .owned
            .get(&target)
            .is_some_and(|owned| owned.step == ExclusionStep::Set);
        if !is_set {
            self.exclusions
                .take_ownership(target, now, call.context.view);
            self.refresh_direct_buckets(call.context);
            self.advance_exclusions(call);
        }
        let Some(owned) = self.exclusions.owned.get_mut(&target) else {
            return false;
        };
        owned.last_refusal = now;
        owned.unanswered.is_empty()
    }

    /// Handles a step of an exclusion.
    pub(super) fn on_exclusion(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        mut exclusion: Exclusion,
    ) {
        // The dispatcher repeats the step until this VM's configuration has the upstream.
        let Some(target) = self.target(&exclusion.service, &exclusion.upstream) else {
            return;
        };
        let last = self
            .exclusions
            .last_epochs
            .get(&target)
            .copied()
            .unwrap_or(0);
        if exclusion.epoch < last {
            exclusion.epoch = last;
            call.send(from, Message::ExclusionAck(exclusion));
            return;
        }
        let has_changed = match exclusion.step {
            ExclusionStep::Set => self.exclusions.activate(target, exclusion.epoch),
            ExclusionStep::AwaitPins => {
                if !self.is_pinned_everywhere(target) {
                    return;
                }
                false
            }
            ExclusionStep::Lift => {
                self.exclusions.last_epochs.insert(target, exclusion.epoch);
                self.exclusions.lift(target)
            }
        };
        if has_changed {
            self.refresh_direct_buckets(call.context);
        }
        call.send(from, Message::ExclusionAck(exclusion));
    }

    /// Reports whether every VM has the pins of all flows that were displaced by an exclusion.
    fn is_pinned_everywhere(&mut self, target: Target) -> bool {
        let covered = self.exclusions.awaiting_pins.entry(target).or_default();
        covered.is_some_and(|version| version <= self.pins.acked_version())
    }

    /// Handles the acknowledgement of a step.
    pub(super) fn on_exclusion_ack(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        exclusion: &Exclusion,
    ) {
        let Some(target) = self.target(&exclusion.service, &exclusion.upstream) else {
            return;
        };
        let Some(owned) = self.exclusions.owned.get_mut(&target) else {
            return;
        };
        if exclusion.epoch > owned.epoch {
            // The upstream was excluded before by a dispatcher that this VM does not know of.
            self.exclusions.last_epochs.insert(target, exclusion.epoch);
            self.exclusions
                .take_ownership(target, call.now(), call.context.view);
            self.refresh_direct_buckets(call.context);
            return;
        }
        if exclusion.epoch == owned.epoch && exclusion.step == owned.step {
            owned.unanswered.remove(&from.name);
        }
    }

    /// Takes ownership of exclusions whose dispatcher this VM has become, and drops ownership of
    /// the others.
    pub(super) fn reassign_exclusions(&mut self, context: Context<'_>) {
        let view = context.view;
        let mut exclusions = std::mem::take(&mut self.exclusions);
        exclusions
            .owned
            .retain(|target, _| self.is_dispatcher(context, *target));
        let others: BTreeSet<Name> = view.others().map(|vm| vm.name.clone()).collect();
        for owned in exclusions.owned.values_mut() {
            let joined = self.pins.joined(&others);
            owned.unanswered.retain(|name| others.contains(name));
            owned.unanswered.extend(joined);
        }
        let unowned: Vec<Target> = exclusions
            .active
            .keys()
            .filter(|t| !exclusions.owned.contains_key(t) && self.is_dispatcher(context, **t))
            .copied()
            .collect();
        for target in unowned {
            exclusions.take_ownership(target, context.now, view);
        }
        self.exclusions = exclusions;
    }

    fn dispatcher<'a>(&self, context: Context<'a>, target: Target) -> Option<&'a Vm> {
        let service = self.service(target.service)?;
        let upstream = service.upstream(target.upstream)?;
        context.view.dispatcher(&service.name, &upstream.domain)
    }

    fn is_dispatcher(&self, context: Context<'_>, target: Target) -> bool {
        self.dispatcher(context, target)
            .is_some_and(|vm| context.view.is_me(vm))
    }

    /// Applies a peer's exclusions if their dispatcher is the peer, this VM or unknown.
    pub(super) fn merge_peer_exclusions(
        &mut self,
        context: Context<'_>,
        from: &Vm,
        exclusions: &[Exclusion],
    ) {
        let mut listed = BTreeSet::new();
        for exclusion in exclusions {
            let Some(target) = self.target(&exclusion.service, &exclusion.upstream) else {
                continue;
            };
            listed.insert(target);
            let dispatcher = self.dispatcher(context, target);
            let is_mine = dispatcher.is_some_and(|vm| context.view.is_me(vm));
            if is_mine || dispatcher.is_none_or(|vm| vm.name == from.name) {
                self.exclusions.activate(target, exclusion.epoch);
            }
        }
        let ended: Vec<Target> = self
            .exclusions
            .active
            .keys()
            .filter(|t| !listed.contains(t))
            .filter(|t| {
                self.dispatcher(context, **t)
                    .is_some_and(|vm| vm.name == from.name)
            })
            .copied()
            .collect();
        for target in ended {
            self.exclusions.lift(target);
        }
        self.reassign_exclusions(context);
    }

    /// Returns the exclusions that this VM applies.
    pub(super) fn active_exclusions(&self) -> Vec<Exclusion> {
        let active = self.exclusions.active.iter();
        active
            .filter_map(|(target, epoch)| self.build_exclusion(*target, *epoch, ExclusionStep::Set))
            .collect()
    }

    fn build_exclusion(
        &self,
        target: Target,
        epoch: u64,
        step: ExclusionStep,
    ) -> Option<Exclusion> {
        let service = self.service(target.service)?;
        let upstream = service.upstream(target.upstream)?;
        Some(Exclusion {
            service: service.name.clone(),
            upstream: upstream.name.clone(),
            epoch,
            step,
        })
    }

    /// Advances the exclusions that this VM owns, and resends unacknowledged steps.
    pub(super) fn advance_exclusions(&mut self, call: &mut CallContext<'_, '_>) {
        let targets: Vec<Target> = self.exclusions.owned.keys().copied().collect();
        for target in targets {
            self.advance_exclusion(call, target);
            self.send_exclusion(call, target);
        }
    }

    fn advance_exclusion(&mut self, call: &mut CallContext<'_, '_>, target: Target) {
        let now = call.now();
        let view = call.context.view;
        let Some(owned) = self.exclusions.owned.get_mut(&target) else {
            return;
        };
        if !owned.unanswered.is_empty() {
            return;
        }
        match owned.step {
            ExclusionStep::Set if now.ms_since(owned.last_refusal) >= REFUSAL_FREE_MS => {
                owned.start_step(ExclusionStep::AwaitPins, view);
            }
            ExclusionStep::Set => {}
            ExclusionStep::AwaitPins => {
                if !self.is_pinned_everywhere(target) {
                    return;
                }
                if let Some(owned) = self.exclusions.owned.get_mut(&target) {
                    owned.start_step(ExclusionStep::Lift, view);
                }
                self.exclusions.lift(target);
                self.refresh_direct_buckets(call.context);
            }
            ExclusionStep::Lift => {
                self.exclusions.owned.remove(&target);
            }
        }
    }

    fn send_exclusion(&mut self, call: &mut CallContext<'_, '_>, target: Target) {
        let now = call.now();
        let Some(owned) = self.exclusions.owned.get_mut(&target) else {
            return;
        };
        let is_due = owned.sent_at == Instant::ZERO
            || now.ms_since(owned.sent_at) >= owned.resend_interval_ms();
        if owned.unanswered.is_empty() || !is_due {
            return;
        }
        owned.sent_at = now;
        let (epoch, step) = (owned.epoch, owned.step);
        let unanswered = owned.unanswered.clone();
        let Some(exclusion) = self.build_exclusion(target, epoch, step) else {
            return;
        };
        for name in unanswered {
            if let Some(vm) = call.context.view.get(&name) {
                call.send(vm, Message::Exclusion(exclusion.clone()));
            }
        }
    }
}
