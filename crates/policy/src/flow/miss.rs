//! Flows that the home has no record of.
//!
//! After a change of the view, another VM may hold the record. The home sends the packet itself to
//! each VM that may, one after the other, and each sends it back with what it knows: the packet
//! waits nowhere, and one that gets lost is sent again by the caller. Only when all have answered
//! does the home take the absence of a record as an answer.

use model::name::Name;
use wire::{blob::Blob, gue::Segment};

use super::{
    Flows, Message, Mode, Turn,
    message::Trace,
    packet::Placed,
    record::{Moment, Record, Stage},
};
use crate::{io::Counter, view::Vm};

/// Time for which an earlier home may have taken an opening packet that comes again, in
/// milliseconds.
const OPENING_MS: u64 = 10_000;

impl Flows {
    /// Sends a packet to the first VM that may have the record of its flow.
    ///
    /// Returns false where there is none.
    pub(super) fn trace(&self, turn: &mut Turn<'_, '_>, packet: &Placed) -> bool {
        let direct = self.direct(turn.context, packet.service, packet.fingerprint);
        if direct.is_some() || self.mode != Mode::Positive {
            return false;
        }
        self.trace_from(turn, packet, 0, false)
    }

    fn trace_from(
        &self,
        turn: &mut Turn<'_, '_>,
        packet: &Placed,
        position: u8,
        is_lost: bool,
    ) -> bool {
        let holders = self.holders(turn, packet);
        let Some(name) = holders.get(usize::from(position)) else {
            return false;
        };
        let Some(vm) = turn.context.view.get(name) else {
            return false;
        };
        let trace = Trace {
            view: turn.context.view.number,
            count: u8::try_from(holders.len()).unwrap_or(u8::MAX),
            position,
            is_lost,
        };
        let bytes = packet.bytes.clone();
        turn.send(vm, Message::Trace { trace, bytes });
        true
    }

    /// VMs that may have the record of a packet's flow.
    fn holders(&self, turn: &Turn<'_, '_>, packet: &Placed) -> Vec<Name> {
        let horizon_ms = match packet.segment {
            Segment::Open => OPENING_MS,
            Segment::Later | Segment::Close => u64::MAX,
        };
        self.handover
            .holders(turn.context, packet.fingerprint, horizon_ms)
    }

    /// Answers a home that has no record of a packet's flow.
    pub(super) fn on_trace(&self, turn: &mut Turn<'_, '_>, from: &Vm, trace: Trace, bytes: Blob) {
        if !turn.context.fresh {
            return;
        }
        let Some(packet) = self.place(turn, bytes) else {
            return;
        };
        let is_lost = trace.is_lost || self.handover.may_be_lost(packet.fingerprint);
        let trace = Trace { is_lost, ..trace };
        let record = self.records.get(&packet.fingerprint);
        let upstream = record
            .filter(|r| r.is_positive)
            .and_then(|r| self.upstream(r.target()));
        let found = upstream.map(|u| u.name.clone());
        let bytes = packet.bytes;
        let message = Message::Traced {
            trace,
            found,
            bytes,
        };
        turn.send(from, message);
    }

    /// Takes a packet back with what another VM knows of its flow.
    pub(super) fn on_traced(
        &mut self,
        turn: &mut Turn<'_, '_>,
        trace: Trace,
        found: Option<Name>,
        bytes: Blob,
    ) {
        let Some(packet) = self.place(turn, bytes) else {
            return;
        };
        if let Some(upstream) = found {
            // An upstream that this VM's configuration doesn't know yet can't be recorded; the
            // caller sends the packet again.
            if let Some(target) = self.target_in(packet.service, &upstream) {
                let record = found_record(turn, target);
                self.records.entry(packet.fingerprint).or_insert(record);
                self.at_home(turn, packet, true);
            }
            return;
        }
        let count = self.holders(turn, &packet).len();
        if trace.view != turn.context.view.number || usize::from(trace.count) != count {
            self.at_home(turn, packet, false);
            return;
        }
        let next = trace.position + 1;
        if self.trace_from(turn, &packet, next, trace.is_lost) {
            return;
        }
        if trace.is_lost && packet.segment != Segment::Open {
            turn.count(Counter::PacketUnknownFlow);
        } else {
            self.at_home(turn, packet, true);
        }
    }
}

fn found_record(turn: &Turn<'_, '_>, target: super::Target) -> Record {
    let now = Moment::from(turn.now());
    Record {
        seen: now,
        touched: now,
        service: target.service,
        upstream: target.upstream,
        is_home: true,
        is_positive: true,
        is_confirmed: false,
        stage: Stage::Opening,
    }
}
