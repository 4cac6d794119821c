//! Pins: buckets with displaced flows, whose upstream differs from the table's choice.
//!
//! Each VM sends the full set of buckets in which it holds such records to all other VMs, and no VM
//! forwards later packets of these buckets directly. Pins let generations retire and exclusions end
//! while displaced flows continue for hours. A VM that joins requests the pins and exclusions of
//! every peer before it forwards any packet directly.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::name::Name;
use wire::blob::Blob;

use super::{
    CallContext, Flows, Message, Target,
    message::SyncState,
    route::{is_bit_set, set_bit},
    table::bucket,
};
use crate::{
    io::{Action, Context},
    time::Instant,
    view::Vm,
};

/// Time after which unacknowledged pins are sent again, in milliseconds.
const RESEND_MS: u64 = 250;

/// Time after which a peer is asked again for its pins and exclusions, in milliseconds.
const SYNC_RETRY_MS: u64 = 200;

/// Tolerance between the time at which a VM was seen to join and the time at which that VM started,
/// in milliseconds.
const RESTART_TOLERANCE_MS: u64 = 1_000;

/// Shortest time between two versions of pins, in milliseconds.
const GROW_INTERVAL_MS: u64 = 3_000;

/// Shortest time between two versions of pins that only lose buckets, in milliseconds.
const SHRINK_INTERVAL_MS: u64 = 10_000;

/// Time for which the pins of a departed VM are kept, in milliseconds.
const DEPARTED_RETENTION_MS: u64 = 120_000;

/// How soon new pins are needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// New pins are sent at most every [`GROW_INTERVAL_MS`].
    RateLimited,
    /// New pins are sent at once.
    Immediate,
}

/// Result of computing this VM's pins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PinUpdate {
    /// The last version covers the pins.
    Unchanged,
    /// The pins have a new version.
    NewVersion,
    /// The pins wait for a later version.
    Deferred,
}

/// Bit sets of buckets, by position of the service.
type BucketBits = BTreeMap<u16, Vec<u8>>;

/// Pins of this VM and of its peers.
#[derive(Debug, Default)]
pub(super) struct Pins {
    /// This VM's pins as last sent.
    local: BucketBits,
    /// Version of `local`.
    local_version: u64,
    /// Newest version that every live VM has acknowledged.
    acked: u64,
    /// VMs that have not acknowledged `local_version`.
    unacked: BTreeSet<Name>,
    /// Time at which `local` was last sent.
    sent_at: Instant,
    /// Time at which `local` last changed.
    changed_at: Instant,
    /// Pins of the other VMs.
    peers: BTreeMap<Name, BucketBits>,
    /// Departed VMs, with the time of departure.
    departed: BTreeMap<Name, Instant>,
    /// Other VMs of the last view.
    others: BTreeSet<Name>,
    /// Time at which each VM of `others` joined the view or was found to have restarted.
    joined_at: BTreeMap<Name, Instant>,
    /// VMs that have not yet answered [`Message::SyncRequest`].
    unsynced: BTreeSet<Name>,
    /// Time at which [`Message::SyncRequest`] was last sent.
    sync_requested_at: Instant,
    /// Failure domains that were unreachable in the last view.
    unreachable_domains: BTreeSet<Name>,
    /// Failure domains that are reachable again, with the VMs that have not yet confirmed the
    /// recovery.
    recovering: BTreeMap<Name, BTreeSet<Name>>,
}

impl Pins {
    /// Reports whether every live VM has sent its pins and exclusions.
    pub(super) fn is_synced(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Returns the failure domains that still bar direct forwarding although they are reachable
    /// again.
    pub(super) fn recovering(&self) -> impl Iterator<Item = &Name> {
        self.recovering.keys()
    }

    /// Returns the newest version of this VM's pins that every live VM has acknowledged.
    pub(super) fn acked_version(&self) -> u64 {
        self.acked
    }

    /// Returns the VMs among `others` that the last view did not contain.
    pub(super) fn joined(&self, others: &BTreeSet<Name>) -> BTreeSet<Name> {
        others.difference(&self.others).cloned().collect()
    }

    /// Returns the buckets of a service that are pinned on any VM.
    pub(super) fn pinned_buckets(&self, service: u16) -> Vec<u8> {
        let all = self.peers.values().chain([&self.local]);
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

    /// Handles a peer's acknowledgement of this VM's pins.
    pub(super) fn on_ack(&mut self, from: &Name, version: u64) {
        if version != self.local_version {
            return;
        }
        self.unacked.remove(from);
        self.update_acked_version();
    }

    fn update_acked_version(&mut self) {
        if self.unacked.is_empty() {
            self.acked = self.local_version;
        }
    }

    /// Replaces this VM's pins, unless the change may wait.
    fn replace_local(&mut self, now: Instant, pins: BucketBits, urgency: Urgency) -> PinUpdate {
        if pins == self.local {
            return PinUpdate::Unchanged;
        }
        let grows = pins.iter().any(|(service, bits)| {
            let old = self
                .local
                .get(service)
                .map(Vec::as_slice)
                .unwrap_or_default();
            has_new_bits(bits, old)
        });
        let age_ms = now.ms_since(self.changed_at);
        if !grows && age_ms < SHRINK_INTERVAL_MS {
            return PinUpdate::Unchanged;
        }
        if grows
            && urgency == Urgency::RateLimited
            && self.local_version > 0
            && age_ms < GROW_INTERVAL_MS
        {
            return PinUpdate::Deferred;
        }
        self.local = pins;
        self.local_version += 1;
        self.changed_at = now;
        self.sent_at = Instant::ZERO;
        self.unacked = self.others.clone();
        self.update_acked_version();
        PinUpdate::NewVersion
    }

    /// Requires a new answer from every peer.
    fn require_sync(&mut self) {
        self.unsynced = self.others.clone();
        self.sync_requested_at = Instant::ZERO;
    }
}

/// Reports whether `bits` has a bit that `old` lacks.
fn has_new_bits(bits: &[u8], old: &[u8]) -> bool {
    bits.iter()
        .enumerate()
        .any(|(at, byte)| byte & !old.get(at).copied().unwrap_or(0) != 0)
}

impl Flows {
    /// Prepares for rejoining after this process stalled.
    pub(super) fn rejoin(&mut self, context: Context<'_>) {
        self.handover.rejoin(context);
        self.pins.require_sync();
    }

    /// Requests synchronization with VMs that joined, removes those that left, and records domains
    /// that are reachable again.
    pub(super) fn sync_pins_with_view(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let others: BTreeSet<Name> = context.view.others().map(|vm| vm.name.clone()).collect();
        let joined = self.pins.joined(&others);
        let unreachable_domains = self.list_unreachable_domains(context);
        let pins = &mut self.pins;
        for departed_vm in pins.others.difference(&others) {
            pins.departed.insert(departed_vm.clone(), context.now);
        }
        pins.departed.retain(|name, _| !others.contains(name));
        pins.joined_at.retain(|name, _| others.contains(name));
        for name in &joined {
            pins.joined_at.insert(name.clone(), context.now);
        }
        pins.unsynced.retain(|name| others.contains(name));
        pins.unacked.retain(|name| others.contains(name));
        pins.unsynced.extend(joined.iter().cloned());
        if pins.local_version > 0 {
            pins.unacked.extend(joined.iter().cloned());
        }
        for awaited in pins.recovering.values_mut() {
            awaited.retain(|name| others.contains(name));
            awaited.extend(joined.iter().cloned());
        }
        for healed in pins.unreachable_domains.difference(&unreachable_domains) {
            pins.recovering.insert(healed.clone(), others.clone());
        }
        pins.recovering
            .retain(|domain, awaited| !unreachable_domains.contains(domain) && !awaited.is_empty());
        pins.unreachable_domains = unreachable_domains;
        pins.others = others;
        pins.sync_requested_at = Instant::ZERO;
        pins.update_acked_version();
        self.request_sync(context, out);
    }

    /// Returns the failure domains of upstreams that can't be reached.
    fn list_unreachable_domains(&self, context: Context<'_>) -> BTreeSet<Name> {
        let listed = self.services.iter().filter(|s| s.is_listed);
        let domains = listed.flat_map(|s| s.upstreams.iter().map(|u| &u.domain));
        domains
            .filter(|domain| !context.view.has_live_vm_in(domain))
            .cloned()
            .collect()
    }

    /// Sends [`Message::SyncRequest`] to the peers whose answer is missing.
    fn request_sync(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        let history_ms = self.history_ms(context.now);
        let pins = &mut self.pins;
        let is_due = pins.sync_requested_at == Instant::ZERO
            || context.now.ms_since(pins.sync_requested_at) >= SYNC_RETRY_MS;
        if !is_due {
            return;
        }
        let mut awaited = pins.unsynced.clone();
        awaited.extend(pins.recovering.values().flatten().cloned());
        if awaited.is_empty() {
            return;
        }
        pins.sync_requested_at = context.now;
        for name in awaited {
            if let Some(vm) = context.view.get(&name) {
                super::send(out, vm, Message::SyncRequest { history_ms });
            }
        }
    }

    /// Answers with everything that bars direct forwarding, as known to this VM.
    ///
    /// A VM whose history is shorter than its time in the view has restarted. The records that the
    /// VM held as primary or backup are then copied to that VM again.
    pub(super) fn on_sync_request(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        history_ms: u64,
    ) {
        if !call.context.is_config_fresh {
            return;
        }
        let now = call.now();
        let joined_at = self.pins.joined_at.get(&from.name);
        let in_view_ms = joined_at.map_or(0, |since| now.ms_since(*since));
        if in_view_ms > history_ms + RESTART_TOLERANCE_MS
            && self.handover.drop_restarted(&from.name, now)
        {
            self.pins.joined_at.insert(from.name.clone(), now);
            self.queue_moved_records(call.context, call.context.view.clone());
        }
        self.update_pins(call.context, Urgency::Immediate);
        let unreachable_domains = self
            .list_unreachable_domains(call.context)
            .into_iter()
            .collect();
        let state = SyncState {
            exclusions: self.active_exclusions(),
            pins: self.local_pins(),
            unreachable_domains,
            history_ms: self.history_ms(call.now()),
        };
        call.send(from, Message::SyncState(state));
    }

    /// Stores the pins and exclusions of a peer.
    pub(super) fn on_sync_reply(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        state: &SyncState,
    ) {
        self.store_peer_pins(from, &state.pins);
        self.merge_peer_exclusions(call.context, from, &state.exclusions);
        let history = Duration::from_millis(state.history_ms);
        self.handover
            .on_vm_returned(&from.name, call.now() - history);
        self.pins.unsynced.remove(&from.name);
        for (domain, awaited) in &mut self.pins.recovering {
            if !state.unreachable_domains.contains(domain) {
                awaited.remove(&from.name);
            }
        }
        // Flows may be placed elsewhere as long as any VM considers the domain unreachable.
        for domain in &state.unreachable_domains {
            if !self.pins.unreachable_domains.contains(domain) {
                let awaited = self.pins.recovering.entry(domain.clone()).or_default();
                awaited.insert(from.name.clone());
            }
        }
        self.pins
            .recovering
            .retain(|_, awaited| !awaited.is_empty());
        self.refresh_direct_buckets(call.context);
    }

    /// Stores and acknowledges a peer's pins.
    pub(super) fn on_pins(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        version: u64,
        pins: &[(Name, Blob)],
    ) {
        self.store_peer_pins(from, pins);
        self.refresh_direct_buckets(call.context);
        call.send(from, Message::PinsAck { version });
    }

    fn store_peer_pins(&mut self, from: &Vm, pins: &[(Name, Blob)]) {
        let known = pins.iter().filter_map(|(name, bits)| {
            let service = self.position(name)?;
            Some((service, bits.0.to_vec()))
        });
        let bits: BucketBits = known.collect();
        self.pins.peers.insert(from.name.clone(), bits);
    }

    fn local_pins(&self) -> Vec<(Name, Blob)> {
        let local = self.pins.local.iter();
        local
            .filter_map(|(service, bits)| {
                let service = self.service(*service)?;
                Some((service.name.clone(), Blob::from(bits.clone())))
            })
            .collect()
    }

    /// Computes this VM's pins. Returns the version that covers the pins, or `None` if that version
    /// does not exist yet.
    pub(super) fn update_pins(&mut self, context: Context<'_>, urgency: Urgency) -> Option<u64> {
        let mut pins = BucketBits::new();
        for (fingerprint, record) in &self.records {
            if !record.is_required {
                continue;
            }
            let Some(service) = self.service(record.service) else {
                continue;
            };
            let Some(oldest_choice) = service.oldest_unreleased_choice(*fingerprint) else {
                continue;
            };
            if oldest_choice == record.upstream {
                continue;
            }
            // A pin is unnecessary while something else bars direct forwarding. An existing pin
            // stays nevertheless, since other VMs may not know yet what else bars direct
            // forwarding.
            let number = bucket(*fingerprint, service.bucket_count());
            let local = self.pins.local.get(&record.service);
            let was_pinned = local.is_some_and(|bits| is_bit_set(bits, number));
            if was_pinned || !self.is_barred_without_pins(context, record.service, *fingerprint) {
                set_bit(pins.entry(record.service).or_default(), number);
            }
        }
        match self.pins.replace_local(context.now, pins, urgency) {
            PinUpdate::Unchanged => {}
            PinUpdate::NewVersion => self.refresh_direct_buckets(context),
            PinUpdate::Deferred => return None,
        }
        Some(self.pins.local_version)
    }

    /// Reports whether every VM sends later packets of a bucket through primaries for other reasons
    /// than pins.
    fn is_barred_without_pins(
        &self,
        context: Context<'_>,
        position: u16,
        fingerprint: u64,
    ) -> bool {
        let Some(service) = self.service(position) else {
            return true;
        };
        let Some(choice) = service.unreleased_choice(fingerprint) else {
            return true;
        };
        let reaches = service
            .upstream(choice)
            .is_some_and(|u| context.view.has_live_vm_in(&u.domain));
        let target = Target {
            service: position,
            upstream: choice,
        };
        !reaches || self.exclusions.bars_everywhere(target)
    }

    /// Resends unacknowledged pins and unanswered requests, and forgets VMs that left long ago.
    pub(super) fn resend_pins(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        self.request_sync(call.context, call.out);
        let is_due =
            self.pins.sent_at == Instant::ZERO || now.ms_since(self.pins.sent_at) >= RESEND_MS;
        if !self.pins.unacked.is_empty() && is_due {
            self.pins.sent_at = now;
            let message = Message::Pins {
                version: self.pins.local_version,
                pins: self.local_pins(),
            };
            for name in &self.pins.unacked {
                if let Some(vm) = call.context.view.get(name) {
                    call.send(vm, message.clone());
                }
            }
        }
        let is_old = |departed_at: &Instant| now.ms_since(*departed_at) >= DEPARTED_RETENTION_MS;
        let forgotten: Vec<Name> = self
            .pins
            .departed
            .iter()
            .filter(|(_, departed_at)| is_old(departed_at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &forgotten {
            self.pins.departed.remove(name);
            self.pins.peers.remove(name);
        }
        if !forgotten.is_empty() {
            self.refresh_direct_buckets(call.context);
        }
    }
}
