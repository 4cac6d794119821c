//! Pins: buckets in which flows remain whose upstream differs from the table.
//!
//! Each VM tells all others, whole, in which buckets it holds such records; nobody forwards later
//! packets of these buckets directly. Pins let generations retire and marks end while the flows
//! that they displaced go on for hours. A VM that joins asks every peer for its pins and marks
//! before it forwards anything directly.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::name::Name;
use wire::blob::Blob;

use super::{
    Flows, Message, Target, Turn,
    message::Known,
    route::{is_set, set},
    table::bucket,
};
use crate::{
    io::{Action, Context},
    time::Instant,
    view::Vm,
};

/// Time after which pins that a peer has not acknowledged are sent again, in milliseconds.
const REPEAT_MS: u64 = 250;

/// Time after which a peer is asked again for its pins and marks, in milliseconds.
const WANT_MS: u64 = 200;

/// Time after a VM was seen to join within which it may have started, in milliseconds.
const RESTART_MS: u64 = 1_000;

/// Shortest time between two versions of pins, in milliseconds.
const GROW_MS: u64 = 3_000;

/// Shortest time between two versions of pins that only lose buckets, in milliseconds.
const SHRINK_MS: u64 = 10_000;

/// Time for which the pins of a VM that has left are kept, in milliseconds.
const DEPARTED_MS: u64 = 120_000;

/// Whether new pins may wait for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// They are sent at most every [`GROW_MS`].
    Paced,
    /// They are needed at once.
    Now,
}

/// What came of new pins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Update {
    /// The last version covers them.
    Same,
    /// There is a new version.
    New,
    /// They wait for a later version.
    Late,
}

/// Bits by position of the service.
type Bits = BTreeMap<u16, Vec<u8>>;

/// The pins of this VM and of its peers.
#[derive(Debug, Default)]
pub(super) struct Pins {
    /// This VM's pins as last sent.
    mine: Bits,
    /// Version of `mine`.
    version: u64,
    /// Newest version that every live VM holds.
    held: u64,
    /// VMs that have not acknowledged `version`.
    waiting: BTreeSet<Name>,
    /// When `mine` was last sent.
    sent: Instant,
    /// When `mine` last changed.
    changed: Instant,
    /// Pins of the other VMs.
    peers: BTreeMap<Name, Bits>,
    /// VMs that have left, and when.
    departed: BTreeMap<Name, Instant>,
    /// The other VMs of the last view.
    others: BTreeSet<Name>,
    /// Since when each of them is in the view, or is known to have started anew.
    since: BTreeMap<Name, Instant>,
    /// VMs that have not said yet what bars direct forwarding.
    unsynced: BTreeSet<Name>,
    /// When they were last asked.
    wanted: Instant,
    /// Failure domains that could not be reached in the last view.
    cut: BTreeSet<Name>,
    /// Failure domains that can be reached again, with the VMs that have not said so.
    healing: BTreeMap<Name, BTreeSet<Name>>,
}

impl Pins {
    /// Whether every live VM has said what bars direct forwarding.
    pub(super) fn is_synced(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Failure domains that bar direct forwarding although they can be reached again.
    pub(super) fn healing(&self) -> impl Iterator<Item = &Name> {
        self.healing.keys()
    }

    /// Newest version of this VM's pins that every live VM holds.
    pub(super) fn held_version(&self) -> u64 {
        self.held
    }

    /// VMs among `others` that the last view did not have.
    pub(super) fn joined(&self, others: &BTreeSet<Name>) -> BTreeSet<Name> {
        others.difference(&self.others).cloned().collect()
    }

    /// The pinned buckets of a service on any VM.
    pub(super) fn union(&self, service: u16) -> Vec<u8> {
        let all = self.peers.values().chain([&self.mine]);
        let mut union = Vec::new();
        for bits in all.filter_map(|pins| pins.get(&service)) {
            if union.len() < bits.len() {
                union.resize(bits.len(), 0);
            }
            for (sum, byte) in union.iter_mut().zip(bits) {
                *sum |= byte;
            }
        }
        union
    }

    /// Takes a peer's acknowledgement.
    pub(super) fn on_held(&mut self, from: &Name, version: u64) {
        if version != self.version {
            return;
        }
        self.waiting.remove(from);
        self.settle();
    }

    fn settle(&mut self) {
        if self.waiting.is_empty() {
            self.held = self.version;
        }
    }

    /// Takes this VM's pins as they are now.
    fn update(&mut self, now: Instant, pins: Bits, urgency: Urgency) -> Update {
        if pins == self.mine {
            return Update::Same;
        }
        let grows = pins.iter().any(|(service, bits)| {
            let old = self
                .mine
                .get(service)
                .map(Vec::as_slice)
                .unwrap_or_default();
            has_more(bits, old)
        });
        let age_ms = now.ms_since(self.changed);
        if !grows && age_ms < SHRINK_MS {
            return Update::Same;
        }
        if grows && urgency == Urgency::Paced && self.version > 0 && age_ms < GROW_MS {
            return Update::Late;
        }
        self.mine = pins;
        self.version += 1;
        self.changed = now;
        self.sent = Instant::ZERO;
        self.waiting = self.others.clone();
        self.settle();
        Update::New
    }

    /// Asks every peer anew.
    fn unsync(&mut self) {
        self.unsynced = self.others.clone();
        self.wanted = Instant::ZERO;
    }
}

/// Whether `bits` has a bit that `old` lacks.
fn has_more(bits: &[u8], old: &[u8]) -> bool {
    bits.iter()
        .enumerate()
        .any(|(at, byte)| byte & !old.get(at).copied().unwrap_or(0) != 0)
}

impl Flows {
    /// Starts anew after this process stood still.
    pub(super) fn rejoin(&mut self, context: Context<'_>) {
        self.handover.rejoin(context);
        self.pins.unsync();
    }

    /// Asks VMs that joined, drops those that left, and notes domains that can be reached again.
    pub(super) fn move_pins(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let others: BTreeSet<Name> = context.view.others().map(|vm| vm.name.clone()).collect();
        let joined = self.pins.joined(&others);
        let cut = self.unreachable(context);
        let pins = &mut self.pins;
        for left in pins.others.difference(&others) {
            pins.departed.insert(left.clone(), context.now);
        }
        pins.departed.retain(|name, _| !others.contains(name));
        pins.since.retain(|name, _| others.contains(name));
        for name in &joined {
            pins.since.insert(name.clone(), context.now);
        }
        pins.unsynced.retain(|name| others.contains(name));
        pins.waiting.retain(|name| others.contains(name));
        pins.unsynced.extend(joined.iter().cloned());
        if pins.version > 0 {
            pins.waiting.extend(joined.iter().cloned());
        }
        for asked in pins.healing.values_mut() {
            asked.retain(|name| others.contains(name));
            asked.extend(joined.iter().cloned());
        }
        for healed in pins.cut.difference(&cut) {
            pins.healing.insert(healed.clone(), others.clone());
        }
        pins.healing
            .retain(|domain, asked| !cut.contains(domain) && !asked.is_empty());
        pins.cut = cut;
        pins.others = others;
        pins.wanted = Instant::ZERO;
        pins.settle();
        self.want(context, out);
    }

    /// Failure domains with upstreams that can't be reached.
    fn unreachable(&self, context: Context<'_>) -> BTreeSet<Name> {
        let listed = self.services.iter().filter(|s| s.is_listed);
        let domains = listed.flat_map(|s| s.upstreams.iter().map(|u| &u.domain));
        domains
            .filter(|domain| !context.view.has_live_vm_in(domain))
            .cloned()
            .collect()
    }

    /// Asks the peers that have not said what bars direct forwarding.
    fn want(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let memory_ms = self.memory_ms(context.now);
        let pins = &mut self.pins;
        let is_due = pins.wanted == Instant::ZERO || context.now.ms_since(pins.wanted) >= WANT_MS;
        if !is_due {
            return;
        }
        let mut asked = pins.unsynced.clone();
        asked.extend(pins.healing.values().flatten().cloned());
        if asked.is_empty() {
            return;
        }
        pins.wanted = context.now;
        for name in asked {
            if let Some(vm) = context.view.get(&name) {
                super::send(out, vm, Message::Want { memory_ms });
            }
        }
    }

    /// Says what bars direct forwarding.
    ///
    /// A VM that remembers less than the time for which it has been in the view has started anew:
    /// what it held as home or backup is copied to it again.
    pub(super) fn on_want(&mut self, turn: &mut Turn<'_, '_>, from: &Vm, memory_ms: u64) {
        if !turn.context.fresh {
            return;
        }
        let now = turn.now();
        let known = self.pins.since.get(&from.name);
        let known_ms = known.map_or(0, |since| now.ms_since(*since));
        if known_ms > memory_ms + RESTART_MS && self.handover.drop_restarted(&from.name, now) {
            self.pins.since.insert(from.name.clone(), now);
            self.move_records(turn.context, turn.context.view.clone());
        }
        self.pin(turn.context, Urgency::Now);
        let cut = self.unreachable(turn.context).into_iter().collect();
        let known = Known {
            marks: self.known_marks(),
            pins: self.my_pins(),
            cut,
            memory_ms: self.memory_ms(turn.now()),
        };
        turn.send(from, Message::Known(known));
    }

    /// Takes what a peer said.
    pub(super) fn on_known(&mut self, turn: &mut Turn<'_, '_>, from: &Vm, known: &Known) {
        self.take_pins(from, &known.pins);
        self.take_marks(turn.context, from, &known.marks);
        let memory = Duration::from_millis(known.memory_ms);
        self.handover.on_return(&from.name, turn.now() - memory);
        self.pins.unsynced.remove(&from.name);
        for (domain, asked) in &mut self.pins.healing {
            if !known.cut.contains(domain) {
                asked.remove(&from.name);
            }
        }
        // Flows may be placed elsewhere as long as any VM takes the domain for cut off.
        for domain in &known.cut {
            if !self.pins.cut.contains(domain) {
                let asked = self.pins.healing.entry(domain.clone()).or_default();
                asked.insert(from.name.clone());
            }
        }
        self.pins.healing.retain(|_, asked| !asked.is_empty());
        self.refresh(turn.context);
    }

    /// Takes a peer's pins.
    pub(super) fn on_pins(
        &mut self,
        turn: &mut Turn<'_, '_>,
        from: &Vm,
        version: u64,
        pins: &[(Name, Blob)],
    ) {
        self.take_pins(from, pins);
        self.refresh(turn.context);
        turn.send(from, Message::PinsHeld { version });
    }

    fn take_pins(&mut self, from: &Vm, pins: &[(Name, Blob)]) {
        let known = pins.iter().filter_map(|(name, bits)| {
            let service = self.position(name)?;
            Some((service, bits.0.to_vec()))
        });
        let bits: Bits = known.collect();
        self.pins.peers.insert(from.name.clone(), bits);
    }

    fn my_pins(&self) -> Vec<(Name, Blob)> {
        let mine = self.pins.mine.iter();
        mine.filter_map(|(service, bits)| {
            let service = self.service(*service)?;
            Some((service.name.clone(), Blob::from(bits.clone())))
        })
        .collect()
    }

    /// Works out this VM's pins; returns the version that covers them, where there is one yet.
    pub(super) fn pin(&mut self, context: Context<'_>, urgency: Urgency) -> Option<u64> {
        let mut pins = Bits::new();
        for (fingerprint, record) in &self.records {
            if !record.is_positive {
                continue;
            }
            let Some(service) = self.service(record.service) else {
                continue;
            };
            let Some(base) = service.next_base(*fingerprint) else {
                continue;
            };
            if base == record.upstream {
                continue;
            }
            // Where something else bars direct forwarding, a pin isn't needed yet; but one that
            // was given stays, since other VMs may not know yet of what else bars it.
            let number = bucket(*fingerprint, service.bucket_count());
            let mine = self.pins.mine.get(&record.service);
            let was_pinned = mine.is_some_and(|bits| is_set(bits, number));
            if was_pinned || !self.is_barred(context, record.service, *fingerprint) {
                set(pins.entry(record.service).or_default(), number);
            }
        }
        match self.pins.update(context.now, pins, urgency) {
            Update::Same => {}
            Update::New => self.refresh(context),
            Update::Late => return None,
        }
        Some(self.pins.version)
    }

    /// Whether every VM sends later packets of a bucket through homes for other reasons than pins.
    fn is_barred(&self, context: Context<'_>, position: u16, fingerprint: u64) -> bool {
        let Some(service) = self.service(position) else {
            return true;
        };
        let Some(choice) = service.settled(fingerprint) else {
            return true;
        };
        let reaches = service
            .upstream(choice)
            .is_some_and(|u| context.view.has_live_vm_in(&u.domain));
        let target = Target {
            service: position,
            upstream: choice,
        };
        !reaches || self.marks.covers(target)
    }

    /// Sends pins and questions again that were not answered, and forgets VMs that left long ago.
    pub(super) fn repeat_pins(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        self.want(turn.context, turn.out);
        let is_due = self.pins.sent == Instant::ZERO || now.ms_since(self.pins.sent) >= REPEAT_MS;
        if !self.pins.waiting.is_empty() && is_due {
            self.pins.sent = now;
            let message = Message::Pins {
                version: self.pins.version,
                pins: self.my_pins(),
            };
            for name in &self.pins.waiting {
                if let Some(vm) = turn.context.view.get(name) {
                    turn.send(vm, message.clone());
                }
            }
        }
        let is_old = |since: &Instant| now.ms_since(*since) >= DEPARTED_MS;
        let forgotten: Vec<Name> = self
            .pins
            .departed
            .iter()
            .filter(|(_, since)| is_old(since))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &forgotten {
            self.pins.departed.remove(name);
            self.pins.peers.remove(name);
        }
        if !forgotten.is_empty() {
            self.refresh(turn.context);
        }
    }
}
