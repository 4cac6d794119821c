//! The path of a packet: from the VM that receives the packet from the fabric, through the flow's
//! primary, its backup and the upstream's dispatcher where they are needed, to the upstream.

use model::name::Name;
use wire::{blob::Blob, gue, gue::Segment};

use super::{
    CallContext, Flows, Message, Mode, Target,
    record::{Record, Stage, Timestamp},
};
use crate::{
    io::{Action, Counter, Packet},
    time::Instant,
    view::Vm,
};

mod dispatcher;

/// Interval at which the backup sends the collected confirmations, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 250;

/// Number of times that a packet may be relayed between VMs whose views name different primaries.
const MAX_HOPS: u8 = 2;

/// Time for which the primary skips an upstream whose dispatcher refused a flow, in milliseconds.
const SKIP_REFUSED_MS: u64 = 200;

/// Number of times per idle time that a packet of a flow refreshes the backup's record.
const BACKUP_REFRESHES_PER_IDLE: u64 = 4;

/// Number of times per idle time that a flow of a direct bucket sends packets through its primary.
const PRIMARY_REFRESHES_PER_IDLE: u64 = 4;

/// Number of equal parts of a refresh period, in one of which packets go through the primary.
const REFRESH_PERIOD_PARTS: u64 = 32;

/// A packet with its service and the fingerprint of its flow.
#[derive(Debug, Clone)]
pub(super) struct FlowPacket {
    pub(super) fingerprint: u64,
    pub(super) service: u16,
    pub(super) segment: Segment,
    pub(super) bytes: Blob,
}

impl Flows {
    /// Routes a packet from the fabric.
    pub(super) fn route_packet(&mut self, call: &mut CallContext<'_, '_>, packet: Packet) {
        let Some(service) = self.addresses.get(&packet.flow.service).copied() else {
            call.count(Counter::PacketNoService);
            return;
        };
        let flow_packet = FlowPacket {
            fingerprint: packet.flow.fingerprint(),
            service,
            segment: packet.segment,
            bytes: packet.bytes,
        };
        if let Some(target) = self.direct_target(call, &flow_packet) {
            call.count(Counter::PacketDirect);
            self.forward(call, target, flow_packet.bytes);
            return;
        }
        self.relay_to_primary(call, flow_packet, 0);
    }

    /// Returns the upstream to which this VM may forward a packet from the fabric directly.
    fn direct_target(&self, call: &CallContext<'_, '_>, packet: &FlowPacket) -> Option<Target> {
        if packet.segment != Segment::Later || !call.context.is_config_fresh {
            return None;
        }
        match self.mode {
            Mode::Selective => {}
            Mode::RelayAll => return None,
            Mode::CopyAll => {
                let record = self.records.get(&packet.fingerprint)?;
                return Some(record.target());
            }
        }
        if self.is_refresh_due(call.now(), packet) {
            return None;
        }
        let upstream = self.direct_upstream(call.context, packet.service, packet.fingerprint)?;
        Some(Target {
            service: packet.service,
            upstream,
        })
    }

    /// Reports whether a packet of a direct bucket goes through the primary anyway, which tells the
    /// primary that the flow is live.
    fn is_refresh_due(&self, now: Instant, packet: &FlowPacket) -> bool {
        let idle_ms = self.service(packet.service).map_or(0, |s| s.idle_ms);
        let period = (idle_ms / PRIMARY_REFRESHES_PER_IDLE).max(1);
        let phase = packet.fingerprint.rotate_left(32) % period;
        (now.ms_since(Instant::ZERO) + phase) % period < period / REFRESH_PERIOD_PARTS
    }

    /// Relays a packet to the flow's primary, or handles the packet if this VM is the primary.
    fn relay_to_primary(&mut self, call: &mut CallContext<'_, '_>, packet: FlowPacket, hops: u8) {
        let view = call.context.view;
        match view.primary(packet.fingerprint) {
            Some(primary) if view.is_me(primary) => self.handle_as_primary(call, packet, false),
            Some(primary) if hops < MAX_HOPS => {
                if hops == 0 {
                    call.count(Counter::PacketViaPrimary);
                }
                let bytes = packet.bytes;
                let hops = hops + 1;
                call.send(primary, Message::Primary { hops, bytes });
            }
            _ => call.count(Counter::PacketUnknownFlow),
        }
    }

    /// Handles a packet that was relayed to the flow's primary.
    pub(super) fn on_primary(&mut self, call: &mut CallContext<'_, '_>, hops: u8, bytes: Blob) {
        if let Some(packet) = self.parse_relayed(call, bytes) {
            self.relay_to_primary(call, packet, hops);
        }
    }

    /// Parses a relayed packet and finds its service.
    pub(super) fn parse_relayed(
        &self,
        call: &mut CallContext<'_, '_>,
        bytes: Blob,
    ) -> Option<FlowPacket> {
        let parsed = gue::Packet::parse(&bytes.0).ok()?;
        let Some(service) = self.addresses.get(&parsed.flow.service).copied() else {
            call.count(Counter::PacketNoService);
            return None;
        };
        Some(FlowPacket {
            fingerprint: parsed.flow.fingerprint(),
            service,
            segment: parsed.segment,
            bytes,
        })
    }

    /// Handles a packet as the flow's primary. `is_lookup_done` means that no other VM has a
    /// record.
    pub(super) fn handle_as_primary(
        &mut self,
        call: &mut CallContext<'_, '_>,
        packet: FlowPacket,
        is_lookup_done: bool,
    ) {
        if !call.context.is_config_fresh || self.is_joining(call.now()) {
            call.count(Counter::PacketUnknownFlow);
            return;
        }
        let found = self.records.get(&packet.fingerprint).copied();
        let reopens = |r: &Record| packet.segment == Segment::Open && r.stage == Stage::Closing;
        if let Some(record) = found.filter(|r| !reopens(r)) {
            self.forward_by_record(call, record, packet);
            return;
        }
        if found.is_none() && !is_lookup_done && self.start_lookup(call, &packet) {
            return;
        }
        match packet.segment {
            Segment::Open => self.open_flow(call, packet),
            Segment::Later | Segment::Close => self.adopt_unrecorded_flow(call, packet),
        }
    }

    /// Opens a new flow on an upstream of the primary's choice.
    fn open_flow(&mut self, call: &mut CallContext<'_, '_>, packet: FlowPacket) {
        let Some(upstream) = self.choose_upstream(call, &packet) else {
            self.records.remove(&packet.fingerprint);
            call.count(Counter::PacketRefused);
            return;
        };
        let record = self.new_record(call, &packet, upstream, Stage::Opening);
        self.records.insert(packet.fingerprint, record);
        self.copy_to_all(call, packet.fingerprint, record);
        self.store_and_send(call, record, packet, true);
    }

    fn choose_upstream(&self, call: &CallContext<'_, '_>, packet: &FlowPacket) -> Option<u16> {
        let service = self.service(packet.service)?;
        let direct = self.direct_upstream(call.context, packet.service, packet.fingerprint);
        if direct.is_some() {
            return direct;
        }
        let accepts_flows = |position: &u16| {
            service.upstream(*position).is_some_and(|u| {
                let is_refused = u.skipped_until > call.now();
                !u.is_out && !is_refused && call.context.view.has_live_vm_in(&u.domain)
            })
        };
        let mut candidates = service.candidates(packet.fingerprint).into_iter();
        candidates.find(accepts_flows)
    }

    fn new_record(
        &self,
        call: &CallContext<'_, '_>,
        packet: &FlowPacket,
        upstream: u16,
        stage: Stage,
    ) -> Record {
        let now = Timestamp::from(call.now());
        Record {
            last_seen_at: now,
            backed_up_at: now,
            service: packet.service,
            upstream,
            is_primary: true,
            is_required: self.needs_record(call, packet, upstream),
            // The opening packet passes the backup before the upstream, so each later packet proves
            // that the backup has the record.
            is_backed_up: stage == Stage::Opening,
            stage,
        }
    }

    /// Reports whether a flow depends on its record, since a VM without the record would choose
    /// another upstream.
    fn needs_record(&self, call: &CallContext<'_, '_>, packet: &FlowPacket, upstream: u16) -> bool {
        let service = self.service(packet.service);
        let is_agreed =
            service.is_some_and(|s| s.is_agreed_upstream(call.now(), packet.fingerprint, upstream));
        self.mode == Mode::Selective && !is_agreed
    }

    /// Handles a later packet of a flow of which no VM has a record.
    fn adopt_unrecorded_flow(&mut self, call: &mut CallContext<'_, '_>, packet: FlowPacket) {
        let service = self.service(packet.service);
        let direct = self.direct_upstream(call.context, packet.service, packet.fingerprint);
        let default = service.and_then(|s| s.default_choice(packet.fingerprint));
        let may_have_lost_record =
            self.mode == Mode::Selective && self.handover.may_have_lost_record(packet.fingerprint);
        let choice = match direct {
            Some(upstream) => Some(upstream),
            None if may_have_lost_record => None,
            None => default,
        };
        let Some(upstream) = choice else {
            call.count(Counter::PacketUnknownFlow);
            return;
        };
        let record = self.new_record(call, &packet, upstream, Stage::Established);
        self.records.insert(packet.fingerprint, record);
        self.forward_by_record(call, record, packet);
    }

    /// Handles a packet of a flow with a record.
    fn forward_by_record(
        &mut self,
        call: &mut CallContext<'_, '_>,
        mut record: Record,
        packet: FlowPacket,
    ) {
        let is_out = self.upstream(record.target()).is_none_or(|u| u.is_out);
        if is_out {
            self.records.remove(&packet.fingerprint);
            match packet.segment {
                Segment::Open => self.open_flow(call, packet),
                Segment::Later | Segment::Close => call.count(Counter::PacketDomainOut),
            }
            return;
        }
        record.last_seen_at = call.now().into();
        record.is_primary = true;
        if !record.is_required && self.needs_record(call, &packet, record.upstream) {
            record.is_required = true;
            record.is_backed_up = false;
        }
        let via_dispatcher = match packet.segment {
            Segment::Open => record.stage == Stage::Opening,
            Segment::Later => {
                record.stage = record.stage.max(Stage::Established);
                false
            }
            Segment::Close => record.stage != Stage::Closing,
        };
        if packet.segment == Segment::Close {
            record.stage = Stage::Closing;
        }
        self.store_and_send(call, record, packet, via_dispatcher);
    }

    /// Stores the record and sends the packet from the primary to its next stop: the backup, the
    /// dispatcher or the upstream.
    fn store_and_send(
        &mut self,
        call: &mut CallContext<'_, '_>,
        mut record: Record,
        packet: FlowPacket,
        via_dispatcher: bool,
    ) {
        let view = call.context.view;
        let backup = view
            .backup(packet.fingerprint)
            .filter(|vm| !view.is_me(vm) && record.is_required);
        let idle_ms = self.service(record.service).map_or(0, |s| s.idle_ms);
        let backup_refresh_due =
            record.backed_up_at.age_ms(call.now()) >= idle_ms / BACKUP_REFRESHES_PER_IDLE;
        let via_backup = via_dispatcher || backup_refresh_due || !record.is_backed_up;
        let target = record.target();
        match backup {
            Some(backup) if via_backup => {
                record.backed_up_at = call.now().into();
                self.records.insert(packet.fingerprint, record);
                self.relay_via_backup(call, backup, record, packet);
            }
            _ => {
                self.records.insert(packet.fingerprint, record);
                if via_dispatcher {
                    self.relay_to_dispatcher(call, target, packet);
                } else {
                    self.forward(call, target, packet.bytes);
                }
            }
        }
    }

    fn relay_via_backup(
        &mut self,
        call: &mut CallContext<'_, '_>,
        backup: &Vm,
        record: Record,
        packet: FlowPacket,
    ) {
        let Some(upstream) = self.upstream(record.target()) else {
            return;
        };
        let upstream = upstream.name.clone();
        if !record.is_backed_up {
            let half = low_half(packet.fingerprint);
            self.awaiting_backup.insert(half, packet.fingerprint);
        }
        let message = Message::Backup {
            upstream,
            confirm: !record.is_backed_up,
            bytes: packet.bytes,
        };
        call.send(backup, message);
    }

    /// Records a flow as its backup and passes the packet on.
    pub(super) fn on_backup(
        &mut self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        upstream: &Name,
        confirm: bool,
        bytes: Blob,
    ) {
        let Some(packet) = self.parse_relayed(call, bytes) else {
            return;
        };
        // An upstream that is missing from this VM's configuration can't be recorded yet. The
        // caller retransmits the packet.
        let Some(target) = self.target_in(packet.service, upstream) else {
            call.count(Counter::PacketUnknownFlow);
            return;
        };
        let previous = self.records.get(&packet.fingerprint).copied();
        let was_closing = previous.is_some_and(|r| r.stage == Stage::Closing);
        let stage = match packet.segment {
            Segment::Open => Stage::Opening,
            Segment::Later => Stage::Established,
            Segment::Close => Stage::Closing,
        };
        let now = Timestamp::from(call.now());
        let record = Record {
            last_seen_at: now,
            backed_up_at: now,
            service: packet.service,
            upstream: target.upstream,
            is_primary: false,
            is_required: true,
            is_backed_up: false,
            stage,
        };
        self.records.insert(packet.fingerprint, record);
        if confirm {
            let half = low_half(packet.fingerprint);
            self.pending_confirmations
                .entry(from.name.clone())
                .or_default()
                .push(half);
        }
        match packet.segment {
            Segment::Close if was_closing => self.forward(call, target, packet.bytes),
            Segment::Open | Segment::Close => self.relay_to_dispatcher(call, target, packet),
            Segment::Later => self.forward(call, target, packet.bytes),
        }
    }

    /// Sends the collected confirmations to the primaries.
    pub(super) fn send_confirmations(&mut self, call: &mut CallContext<'_, '_>) {
        let now_ms = call.now().ms_since(Instant::ZERO);
        if !now_ms.is_multiple_of(CONFIRM_INTERVAL_MS) {
            return;
        }
        for (primary, halves) in std::mem::take(&mut self.pending_confirmations) {
            if let Some(vm) = call.context.view.get(&primary) {
                call.send(vm, Message::RecordsBackedUp(halves));
            }
        }
    }

    /// Marks the records that the backup has confirmed.
    pub(super) fn on_records_backed_up(
        &mut self,
        call: &CallContext<'_, '_>,
        from: &Vm,
        halves: &[u32],
    ) {
        for half in halves {
            let Some(fingerprint) = self.awaiting_backup.remove(half) else {
                continue;
            };
            let backup = call.context.view.backup(fingerprint);
            if backup.is_none_or(|vm| vm.name != from.name) {
                continue;
            }
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.is_backed_up = true;
            }
        }
    }

    /// Forwards a packet to its upstream.
    fn forward(&self, call: &mut CallContext<'_, '_>, target: Target, bytes: Blob) {
        match self.upstream(target) {
            Some(upstream) if upstream.is_out => call.count(Counter::PacketDomainOut),
            Some(upstream) => call.out.push(Action::Forward {
                to: upstream.address,
                bytes,
            }),
            None => call.count(Counter::PacketUnknownFlow),
        }
    }
}

/// Returns the low half of a fingerprint, which identifies flows in confirmations.
pub(super) fn low_half(fingerprint: u64) -> u32 {
    u32::try_from(fingerprint & u64::from(u32::MAX)).unwrap_or(0)
}
