//! Looks up the record of a flow that the primary does not know.
//!
//! After a view change, another VM may hold the record. The primary sends the packet itself to each
//! such VM in turn, and each returns the packet with the upstream that it knows. No packet is
//! buffered, and the caller retransmits a lost packet. Only when all VMs have answered does the
//! primary conclude that no record exists.

use model::name::Name;
use wire::{blob::Blob, gue::Segment};

use super::{
    CallContext, Flows, Message, Mode,
    message::RecordLookup,
    packet::FlowPacket,
    record::{Record, Stage, Timestamp},
};
use crate::{io::Counter, view::Vm};

/// Time after a view change in which an earlier primary may have handled an opening packet that the
/// caller now repeats, in milliseconds.
const OPENING_LOOKUP_HORIZON_MS: u64 = 10_000;

impl Flows {
    /// Sends a packet to the first VM that may have the record of its flow.
    ///
    /// Returns false if there is no such VM.
    pub(super) fn start_lookup(&self, call: &mut CallContext<'_, '_>, packet: &FlowPacket) -> bool {
        let direct = self.direct_upstream(call.context, packet.service, packet.fingerprint);
        if direct.is_some() || self.mode != Mode::Selective {
            return false;
        }
        self.send_lookup(call, packet, 0, false)
    }

    fn send_lookup(
        &self,
        call: &mut CallContext<'_, '_>,
        packet: &FlowPacket,
        position: u8,
        may_be_lost: bool,
    ) -> bool {
        let candidates = self.lookup_candidates(call, packet);
        let Some(name) = candidates.get(usize::from(position)) else {
            return false;
        };
        let Some(vm) = call.context.view.get(name) else {
            return false;
        };
        let lookup = RecordLookup {
            view_number: call.context.view.number,
            candidate_count: u8::try_from(candidates.len()).unwrap_or(u8::MAX),
            position,
            may_be_lost,
        };
        let bytes = packet.bytes.clone();
        call.send(vm, Message::RecordLookup { lookup, bytes });
        true
    }

    /// Returns the VMs that may have the record of a packet's flow.
    fn lookup_candidates(&self, call: &CallContext<'_, '_>, packet: &FlowPacket) -> Vec<Name> {
        let horizon_ms = match packet.segment {
            Segment::Open => OPENING_LOOKUP_HORIZON_MS,
            Segment::Later | Segment::Close => u64::MAX,
        };
        self.handover
            .record_holders(call.context, packet.fingerprint, horizon_ms)
    }

    /// Answers a primary that has no record of a packet's flow.
    pub(super) fn on_record_lookup(
        &self,
        call: &mut CallContext<'_, '_>,
        from: &Vm,
        lookup: RecordLookup,
        bytes: Blob,
    ) {
        if !call.context.is_config_fresh {
            return;
        }
        let Some(packet) = self.parse_relayed(call, bytes) else {
            return;
        };
        let may_be_lost =
            lookup.may_be_lost || self.handover.may_have_lost_record(packet.fingerprint);
        let lookup = RecordLookup {
            may_be_lost,
            ..lookup
        };
        let record = self.records.get(&packet.fingerprint);
        let upstream = record
            .filter(|r| r.is_required)
            .and_then(|r| self.upstream(r.target()));
        let found = upstream.map(|u| u.name.clone());
        let bytes = packet.bytes;
        let message = Message::RecordLookupReply {
            lookup,
            found,
            bytes,
        };
        call.send(from, message);
    }

    /// Handles a packet that another VM returned with the flow's upstream, if known.
    pub(super) fn on_record_lookup_reply(
        &mut self,
        call: &mut CallContext<'_, '_>,
        lookup: RecordLookup,
        found: Option<Name>,
        bytes: Blob,
    ) {
        let Some(packet) = self.parse_relayed(call, bytes) else {
            return;
        };
        if let Some(upstream) = found {
            // An upstream that is missing from this VM's configuration can't be recorded yet. The
            // caller retransmits the packet.
            if let Some(target) = self.target_in(packet.service, &upstream) {
                let record = record_from_lookup(call, target);
                self.records.entry(packet.fingerprint).or_insert(record);
                self.handle_as_primary(call, packet, true);
            }
            return;
        }
        let count = self.lookup_candidates(call, &packet).len();
        if lookup.view_number != call.context.view.number
            || usize::from(lookup.candidate_count) != count
        {
            self.handle_as_primary(call, packet, false);
            return;
        }
        let next = lookup.position + 1;
        if self.send_lookup(call, &packet, next, lookup.may_be_lost) {
            return;
        }
        if lookup.may_be_lost && packet.segment != Segment::Open {
            call.count(Counter::PacketUnknownFlow);
        } else {
            self.handle_as_primary(call, packet, true);
        }
    }
}

fn record_from_lookup(call: &CallContext<'_, '_>, target: super::Target) -> Record {
    let now = Timestamp::from(call.now());
    Record {
        last_seen_at: now,
        backed_up_at: now,
        service: target.service,
        upstream: target.upstream,
        is_primary: true,
        is_required: true,
        is_backed_up: false,
        stage: Stage::Opening,
    }
}
