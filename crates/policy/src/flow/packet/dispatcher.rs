//! Sends opening and closing packets through the upstream's dispatcher, which admits flows.

use model::{announce, name::Name};
use wire::{blob::Blob, gue::Segment};

use super::{FlowPacket, SKIP_REFUSED_MS};
use crate::{
    flow::{CallContext, Flows, Message, Target, record::Stage},
    io::Counter,
    load::Admission,
};

impl Flows {
    /// Relays an opening or closing packet to the upstream's dispatcher.
    pub(super) fn relay_to_dispatcher(
        &mut self,
        call: &mut CallContext<'_, '_>,
        target: Target,
        packet: FlowPacket,
    ) {
        let Some(service) = self.service(target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(target.upstream) else {
            return;
        };
        if upstream.is_out {
            call.count(Counter::PacketDomainOut);
            return;
        }
        let view = call.context.view;
        match view.dispatcher(&service.name, &upstream.domain) {
            Some(dispatcher) if view.is_me(dispatcher) => {
                self.handle_as_dispatcher(call, target, packet)
            }
            Some(dispatcher) => {
                let upstream = upstream.name.clone();
                let bytes = packet.bytes;
                call.send(dispatcher, Message::Dispatcher { upstream, bytes });
            }
            None => call.count(Counter::PacketRefused),
        }
    }

    /// Handles an opening or closing packet as the upstream's dispatcher.
    pub(in crate::flow) fn on_dispatcher(
        &mut self,
        call: &mut CallContext<'_, '_>,
        upstream: &Name,
        bytes: Blob,
    ) {
        let Some(packet) = self.parse_relayed(call, bytes) else {
            return;
        };
        match self.target_in(packet.service, upstream) {
            Some(target) => self.handle_as_dispatcher(call, target, packet),
            None => call.count(Counter::PacketUnknownFlow),
        }
    }

    pub(super) fn handle_as_dispatcher(
        &mut self,
        call: &mut CallContext<'_, '_>,
        target: Target,
        packet: FlowPacket,
    ) {
        let Some(service) = self.service(target.service) else {
            return;
        };
        let Some(upstream) = service.upstream(target.upstream) else {
            return;
        };
        let now = call.now();
        if packet.segment == Segment::Close {
            call.load.end_flow(now, &service.name, &upstream.name);
            self.recent_openings.remove(&packet.fingerprint);
            self.forward(call, target, packet.bytes);
            return;
        }
        let is_repeat = self.recent_openings.contains_key(&packet.fingerprint);
        let admission = if is_repeat {
            Admission::Admitted
        } else {
            call.load.admit_flow(now, &service.name, &upstream.name)
        };
        match admission {
            Admission::Admitted => {
                self.recent_openings.insert(packet.fingerprint, now);
                self.forward(call, target, packet.bytes);
            }
            Admission::Unavailable
                if self
                    .handover
                    .has_view_change_within(now, announce::LEASE_MS) =>
            {
                // This VM may have just become the dispatcher and received no announcement yet.
                call.count(Counter::PacketRefused);
            }
            Admission::Full | Admission::Unavailable => self.refuse_flow(call, target, packet),
            Admission::NotDispatcher => call.count(Counter::PacketRefused),
        }
    }

    /// Returns a refused flow to its primary, which may choose another upstream once every VM
    /// applies the exclusion. Until then, the packet is dropped and the caller retransmits.
    pub(super) fn refuse_flow(
        &mut self,
        call: &mut CallContext<'_, '_>,
        target: Target,
        packet: FlowPacket,
    ) {
        if !self.exclude_after_refusal(call, target) {
            call.count(Counter::PacketRefused);
            return;
        }
        let Some(upstream) = self.upstream(target).map(|u| u.name.clone()) else {
            return;
        };
        let view = call.context.view;
        match view.primary(packet.fingerprint) {
            Some(primary) if view.is_me(primary) => self.open_elsewhere(call, target, packet),
            Some(primary) => {
                let bytes = packet.bytes;
                call.send(primary, Message::Refused { upstream, bytes });
            }
            None => call.count(Counter::PacketRefused),
        }
    }

    /// Handles an opening packet that the dispatcher refused.
    pub(in crate::flow) fn on_flow_refused(
        &mut self,
        call: &mut CallContext<'_, '_>,
        upstream: &Name,
        bytes: Blob,
    ) {
        let Some(packet) = self.parse_relayed(call, bytes) else {
            return;
        };
        if let Some(target) = self.target_in(packet.service, upstream) {
            self.open_elsewhere(call, target, packet);
        }
    }

    pub(super) fn open_elsewhere(
        &mut self,
        call: &mut CallContext<'_, '_>,
        refused: Target,
        packet: FlowPacket,
    ) {
        let until = call.now().plus_ms(SKIP_REFUSED_MS);
        let service = self.services.get_mut(usize::from(refused.service));
        if let Some(upstream) =
            service.and_then(|s| s.upstreams.get_mut(usize::from(refused.upstream)))
        {
            upstream.skipped_until = until;
        }
        let record = self.records.get(&packet.fingerprint);
        let awaits_dispatcher =
            record.is_some_and(|r| r.stage == Stage::Opening && r.target() == refused);
        let direct = self.direct_upstream(call.context, packet.service, packet.fingerprint);
        let is_direct = direct.is_some();
        if awaits_dispatcher && !is_direct && call.context.is_config_fresh {
            self.open_flow(call, packet);
        } else {
            call.count(Counter::PacketRefused);
        }
    }
}
