//! Opening and closing packets pass the upstream's steward, which admits flows.

use model::{announce, name::Name};
use wire::{blob::Blob, gue::Segment};

use super::{Placed, REFUSED_MS};
use crate::{
    flow::{Flows, Message, Target, Turn, record::Stage},
    io::Counter,
    load::Admission,
};

impl Flows {
    /// Sends an opening or closing packet to the upstream's steward.
    pub(super) fn pass_to_steward(
        &mut self,
        turn: &mut Turn<'_, '_>,
        target: Target,
        packet: Placed,
    ) {
        let Some(service) = self.service(target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(target.upstream) else {
            return;
        };
        if upstream.is_out {
            turn.count(Counter::PacketDomainOut);
            return;
        }
        let view = turn.context.view;
        match view.dispatcher(&service.name, &upstream.domain) {
            Some(dispatcher) if view.is_me(dispatcher) => self.at_steward(turn, target, packet),
            Some(dispatcher) => {
                let upstream = upstream.name.clone();
                let bytes = packet.bytes;
                turn.send(dispatcher, Message::Steward { upstream, bytes });
            }
            None => turn.count(Counter::PacketRefused),
        }
    }

    /// Takes an opening or closing packet as the upstream's steward.
    pub(in crate::flow) fn on_steward(
        &mut self,
        turn: &mut Turn<'_, '_>,
        upstream: &Name,
        bytes: Blob,
    ) {
        let Some(packet) = self.place(turn, bytes) else {
            return;
        };
        match self.target_in(packet.service, upstream) {
            Some(target) => self.at_steward(turn, target, packet),
            None => turn.count(Counter::PacketUnknownFlow),
        }
    }

    pub(super) fn at_steward(&mut self, turn: &mut Turn<'_, '_>, target: Target, packet: Placed) {
        let Some(service) = self.service(target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(target.upstream) else {
            return;
        };
        let now = turn.now();
        if packet.segment == Segment::Close {
            turn.load.end_flow(now, &service.name, &upstream.name);
            self.admitted.remove(&packet.fingerprint);
            self.forward(turn, target, packet.bytes);
            return;
        }
        let is_repeat = self.admitted.contains_key(&packet.fingerprint);
        let admission = if is_repeat {
            Admission::Admitted
        } else {
            turn.load.admit_flow(now, &service.name, &upstream.name)
        };
        match admission {
            Admission::Admitted => {
                self.admitted.insert(packet.fingerprint, now);
                self.forward(turn, target, packet.bytes);
            }
            Admission::Gone if self.handover.is_recent(now, announce::LEASE_MS) => {
                // This VM may have become the steward just now, and has heard no announcement yet.
                turn.count(Counter::PacketRefused);
            }
            Admission::Full | Admission::Gone => self.refuse(turn, target, packet),
            Admission::NotDispatcher => turn.count(Counter::PacketRefused),
        }
    }

    /// Tells the home that it may place the flow elsewhere, once every VM knows the mark; until
    /// then the packet is dropped, and the caller sends it again.
    pub(super) fn refuse(&mut self, turn: &mut Turn<'_, '_>, target: Target, packet: Placed) {
        if !self.mark_refused(turn, target) {
            turn.count(Counter::PacketRefused);
            return;
        }
        let Some(upstream) = self.upstream(target).map(|u| u.name.clone()) else {
            return;
        };
        let view = turn.context.view;
        match view.home(packet.fingerprint) {
            Some(home) if view.is_me(home) => self.place_elsewhere(turn, target, packet),
            Some(home) => {
                let bytes = packet.bytes;
                turn.send(home, Message::Refused { upstream, bytes });
            }
            None => turn.count(Counter::PacketRefused),
        }
    }

    /// Takes back an opening packet that the steward refused.
    pub(in crate::flow) fn on_refused(
        &mut self,
        turn: &mut Turn<'_, '_>,
        upstream: &Name,
        bytes: Blob,
    ) {
        let Some(packet) = self.place(turn, bytes) else {
            return;
        };
        if let Some(target) = self.target_in(packet.service, upstream) {
            self.place_elsewhere(turn, target, packet);
        }
    }

    pub(super) fn place_elsewhere(
        &mut self,
        turn: &mut Turn<'_, '_>,
        refused: Target,
        packet: Placed,
    ) {
        let until = turn.now().plus_ms(REFUSED_MS);
        let service = self.services.get_mut(usize::from(refused.service));
        if let Some(upstream) =
            service.and_then(|s| s.upstreams.get_mut(usize::from(refused.upstream)))
        {
            upstream.refused_until = until;
        }
        let record = self.records.get(&packet.fingerprint);
        let waits = record.is_some_and(|r| r.stage == Stage::Opening && r.target() == refused);
        let direct = self.direct(turn.context, packet.service, packet.fingerprint);
        let is_direct = direct.is_some();
        if waits && !is_direct && turn.context.fresh {
            self.open(turn, packet);
        } else {
            turn.count(Counter::PacketRefused);
        }
    }
}
