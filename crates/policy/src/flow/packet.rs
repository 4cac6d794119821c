//! The path of a packet: from the VM that the fabric handed it to, through the flow's home, its
//! backup and the upstream's steward where they are needed, to the upstream.

use model::name::Name;
use wire::{blob::Blob, gue, gue::Segment};

use super::{
    Flows, Message, Mode, Target, Turn,
    record::{Moment, Record, Stage},
};
use crate::{
    io::{Action, Counter, Packet},
    time::Instant,
    view::Vm,
};

mod steward;

/// Time over which confirmations are gathered, in milliseconds.
const CONFIRM_MS: u64 = 250;

/// Most VMs that pass a packet on to the home that their view names.
const MAX_HOPS: u8 = 2;

/// Time for which the home passes over an upstream whose steward refused a flow, in milliseconds.
const REFUSED_MS: u64 = 200;

/// Parts of a service's idle time after which a packet goes through the backup again.
const TOUCHES_PER_IDLE: u64 = 4;

/// Parts of a service's idle time in each of which flows of direct buckets show the home packets.
const REFRESHES_PER_IDLE: u64 = 4;

/// One in so many moments of a refresh period is due.
const REFRESH_SHARE: u64 = 32;

/// A packet with what is needed to place it.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    pub(super) fingerprint: u64,
    pub(super) service: u16,
    pub(super) segment: Segment,
    pub(super) bytes: Blob,
}

impl Flows {
    /// Takes a packet from the fabric.
    pub(super) fn take(&mut self, turn: &mut Turn<'_, '_>, packet: Packet) {
        let Some(service) = self.addresses.get(&packet.flow.service).copied() else {
            turn.count(Counter::PacketNoService);
            return;
        };
        let placed = Placed {
            fingerprint: packet.flow.fingerprint(),
            service,
            segment: packet.segment,
            bytes: packet.bytes,
        };
        if let Some(target) = self.direct_target(turn, &placed) {
            turn.count(Counter::PacketDirect);
            self.forward(turn, target, placed.bytes);
            return;
        }
        self.pass_to_home(turn, placed, 0);
    }

    /// Where this VM may forward a packet from the fabric by itself.
    fn direct_target(&self, turn: &Turn<'_, '_>, packet: &Placed) -> Option<Target> {
        if packet.segment != Segment::Later || !turn.context.fresh {
            return None;
        }
        match self.mode {
            Mode::Positive => {}
            Mode::RelayAll => return None,
            Mode::CopyAll => {
                let record = self.records.get(&packet.fingerprint)?;
                return Some(record.target());
            }
        }
        if self.is_refresh_due(turn.now(), packet) {
            return None;
        }
        let upstream = self.direct(turn.context, packet.service, packet.fingerprint)?;
        Some(Target {
            service: packet.service,
            upstream,
        })
    }

    /// Whether a packet of a direct bucket goes through the home all the same, so that the home
    /// sees that the flow is alive.
    fn is_refresh_due(&self, now: Instant, packet: &Placed) -> bool {
        let idle_ms = self.service(packet.service).map_or(0, |s| s.idle_ms);
        let period = (idle_ms / REFRESHES_PER_IDLE).max(1);
        let phase = packet.fingerprint.rotate_left(32) % period;
        (now.ms_since(Instant::ZERO) + phase) % period < period / REFRESH_SHARE
    }

    /// Sends a packet to the flow's home, or handles it where this VM is the home.
    fn pass_to_home(&mut self, turn: &mut Turn<'_, '_>, packet: Placed, hops: u8) {
        let view = turn.context.view;
        match view.home(packet.fingerprint) {
            Some(home) if view.is_me(home) => self.at_home(turn, packet, false),
            Some(home) if hops < MAX_HOPS => {
                if hops == 0 {
                    turn.count(Counter::PacketViaPrimary);
                }
                let bytes = packet.bytes;
                let hops = hops + 1;
                turn.send(home, Message::Home { hops, bytes });
            }
            _ => turn.count(Counter::PacketUnknownFlow),
        }
    }

    /// Takes a packet as the flow's home.
    pub(super) fn on_home(&mut self, turn: &mut Turn<'_, '_>, hops: u8, bytes: Blob) {
        if let Some(packet) = self.place(turn, bytes) {
            self.pass_to_home(turn, packet, hops);
        }
    }

    /// Reads a relayed packet.
    pub(super) fn place(&self, turn: &mut Turn<'_, '_>, bytes: Blob) -> Option<Placed> {
        let parsed = gue::Packet::parse(&bytes.0).ok()?;
        let Some(service) = self.addresses.get(&parsed.flow.service).copied() else {
            turn.count(Counter::PacketNoService);
            return None;
        };
        Some(Placed {
            fingerprint: parsed.flow.fingerprint(),
            service,
            segment: parsed.segment,
            bytes,
        })
    }

    /// Handles a packet as the flow's home; `is_asked` says that no other VM has a record.
    pub(super) fn at_home(&mut self, turn: &mut Turn<'_, '_>, packet: Placed, is_asked: bool) {
        if !turn.context.fresh || self.is_joining(turn.now()) {
            turn.count(Counter::PacketUnknownFlow);
            return;
        }
        let found = self.records.get(&packet.fingerprint).copied();
        let reopens = |r: &Record| packet.segment == Segment::Open && r.stage == Stage::Closing;
        if let Some(record) = found.filter(|r| !reopens(r)) {
            self.follow(turn, record, packet);
            return;
        }
        if found.is_none() && !is_asked && self.trace(turn, &packet) {
            return;
        }
        match packet.segment {
            Segment::Open => self.open(turn, packet),
            Segment::Later | Segment::Close => self.adopt(turn, packet),
        }
    }

    /// Chooses an upstream for a new flow.
    fn open(&mut self, turn: &mut Turn<'_, '_>, packet: Placed) {
        let Some(upstream) = self.choose(turn, &packet) else {
            self.records.remove(&packet.fingerprint);
            turn.count(Counter::PacketRefused);
            return;
        };
        let record = self.new_record(turn, &packet, upstream, Stage::Opening);
        self.records.insert(packet.fingerprint, record);
        self.copy_to_all(turn, packet.fingerprint, record);
        self.send_on(turn, record, packet, true);
    }

    fn choose(&self, turn: &Turn<'_, '_>, packet: &Placed) -> Option<u16> {
        let service = self.service(packet.service)?;
        let direct = self.direct(turn.context, packet.service, packet.fingerprint);
        if direct.is_some() {
            return direct;
        }
        let takes_flows = |position: &u16| {
            service.upstream(*position).is_some_and(|u| {
                let is_refused = u.refused_until > turn.now();
                !u.is_out && !is_refused && turn.context.view.has_live_vm_in(&u.domain)
            })
        };
        let mut candidates = service.candidates(packet.fingerprint).into_iter();
        candidates.find(takes_flows)
    }

    fn new_record(
        &self,
        turn: &Turn<'_, '_>,
        packet: &Placed,
        upstream: u16,
        stage: Stage,
    ) -> Record {
        let now = Moment::from(turn.now());
        Record {
            seen: now,
            touched: now,
            service: packet.service,
            upstream,
            is_home: true,
            is_positive: self.needs_record(turn, packet, upstream),
            // The opening packet passes the backup before the upstream, so that each later
            // packet proves the backup's record.
            is_confirmed: stage == Stage::Opening,
            stage,
        }
    }

    /// Whether a flow depends on its record: whoever finds none takes another upstream.
    fn needs_record(&self, turn: &Turn<'_, '_>, packet: &Placed, upstream: u16) -> bool {
        let service = self.service(packet.service);
        let is_settled =
            service.is_some_and(|s| s.is_settled_on(turn.now(), packet.fingerprint, upstream));
        self.mode == Mode::Positive && !is_settled
    }

    /// Handles a later packet of a flow that nobody has a record of.
    fn adopt(&mut self, turn: &mut Turn<'_, '_>, packet: Placed) {
        let service = self.service(packet.service);
        let direct = self.direct(turn.context, packet.service, packet.fingerprint);
        let base = service.and_then(|s| s.base(packet.fingerprint));
        let may_be_lost =
            self.mode == Mode::Positive && self.handover.may_be_lost(packet.fingerprint);
        let known = match direct {
            Some(upstream) => Some(upstream),
            None if may_be_lost => None,
            None => base,
        };
        let Some(upstream) = known else {
            turn.count(Counter::PacketUnknownFlow);
            return;
        };
        let record = self.new_record(turn, &packet, upstream, Stage::Established);
        self.records.insert(packet.fingerprint, record);
        self.follow(turn, record, packet);
    }

    /// Handles a packet of a flow with a record.
    fn follow(&mut self, turn: &mut Turn<'_, '_>, mut record: Record, packet: Placed) {
        let is_out = self.upstream(record.target()).is_none_or(|u| u.is_out);
        if is_out {
            self.records.remove(&packet.fingerprint);
            match packet.segment {
                Segment::Open => self.open(turn, packet),
                Segment::Later | Segment::Close => turn.count(Counter::PacketDomainOut),
            }
            return;
        }
        record.seen = turn.now().into();
        record.is_home = true;
        if !record.is_positive && self.needs_record(turn, &packet, record.upstream) {
            record.is_positive = true;
            record.is_confirmed = false;
        }
        let to_steward = match packet.segment {
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
        self.send_on(turn, record, packet, to_steward);
    }

    /// Sends a packet from the home on its way, through backup and steward where needed, and
    /// stores the record.
    fn send_on(
        &mut self,
        turn: &mut Turn<'_, '_>,
        mut record: Record,
        packet: Placed,
        to_steward: bool,
    ) {
        let view = turn.context.view;
        let backup = view
            .backup(packet.fingerprint)
            .filter(|vm| !view.is_me(vm) && record.is_positive);
        let idle_ms = self.service(record.service).map_or(0, |s| s.idle_ms);
        let touch_due = record.touched.age_ms(turn.now()) >= idle_ms / TOUCHES_PER_IDLE;
        let passes_backup = to_steward || touch_due || !record.is_confirmed;
        let target = record.target();
        match backup {
            Some(backup) if passes_backup => {
                record.touched = turn.now().into();
                self.records.insert(packet.fingerprint, record);
                self.via_backup(turn, backup, record, packet);
            }
            _ => {
                self.records.insert(packet.fingerprint, record);
                if to_steward {
                    self.pass_to_steward(turn, target, packet);
                } else {
                    self.forward(turn, target, packet.bytes);
                }
            }
        }
    }

    fn via_backup(&mut self, turn: &mut Turn<'_, '_>, backup: &Vm, record: Record, packet: Placed) {
        let Some(upstream) = self.upstream(record.target()) else {
            return;
        };
        let upstream = upstream.name.clone();
        if !record.is_confirmed {
            let half = low_half(packet.fingerprint);
            self.unconfirmed.insert(half, packet.fingerprint);
        }
        let message = Message::Backup {
            upstream,
            confirm: !record.is_confirmed,
            bytes: packet.bytes,
        };
        turn.send(backup, message);
    }

    /// Records a flow as its backup and sends the packet on.
    pub(super) fn on_backup(
        &mut self,
        turn: &mut Turn<'_, '_>,
        from: &Vm,
        upstream: &Name,
        confirm: bool,
        bytes: Blob,
    ) {
        let Some(packet) = self.place(turn, bytes) else {
            return;
        };
        // An upstream that this VM's configuration doesn't know yet can't be recorded; the caller
        // sends the packet again.
        let Some(target) = self.target_in(packet.service, upstream) else {
            turn.count(Counter::PacketUnknownFlow);
            return;
        };
        let old = self.records.get(&packet.fingerprint).copied();
        let was_closing = old.is_some_and(|r| r.stage == Stage::Closing);
        let stage = match packet.segment {
            Segment::Open => Stage::Opening,
            Segment::Later => Stage::Established,
            Segment::Close => Stage::Closing,
        };
        let now = Moment::from(turn.now());
        let record = Record {
            seen: now,
            touched: now,
            service: packet.service,
            upstream: target.upstream,
            is_home: false,
            is_positive: true,
            is_confirmed: false,
            stage,
        };
        self.records.insert(packet.fingerprint, record);
        if confirm {
            let half = low_half(packet.fingerprint);
            self.confirming
                .entry(from.name.clone())
                .or_default()
                .push(half);
        }
        match packet.segment {
            Segment::Close if was_closing => self.forward(turn, target, packet.bytes),
            Segment::Open | Segment::Close => self.pass_to_steward(turn, target, packet),
            Segment::Later => self.forward(turn, target, packet.bytes),
        }
    }

    /// Sends the confirmations that were gathered.
    pub(super) fn confirm(&mut self, turn: &mut Turn<'_, '_>) {
        let now_ms = turn.now().ms_since(Instant::ZERO);
        if !now_ms.is_multiple_of(CONFIRM_MS) {
            return;
        }
        for (home, halves) in std::mem::take(&mut self.confirming) {
            if let Some(vm) = turn.context.view.get(&home) {
                turn.send(vm, Message::Held(halves));
            }
        }
    }

    /// Takes the backup's confirmations.
    pub(super) fn on_held(&mut self, turn: &Turn<'_, '_>, from: &Vm, halves: &[u32]) {
        for half in halves {
            let Some(fingerprint) = self.unconfirmed.remove(half) else {
                continue;
            };
            let backup = turn.context.view.backup(fingerprint);
            if backup.is_none_or(|vm| vm.name != from.name) {
                continue;
            }
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.is_confirmed = true;
            }
        }
    }

    /// Forwards a packet to its upstream.
    fn forward(&self, turn: &mut Turn<'_, '_>, target: Target, bytes: Blob) {
        match self.upstream(target) {
            Some(upstream) if upstream.is_out => turn.count(Counter::PacketDomainOut),
            Some(upstream) => turn.out.push(Action::Forward {
                to: upstream.address,
                bytes,
            }),
            None => turn.count(Counter::PacketUnknownFlow),
        }
    }
}

/// The low half of a fingerprint, by which confirmations name flows.
pub(super) fn low_half(fingerprint: u64) -> u32 {
    u32::try_from(fingerprint & u64::from(u32::MAX)).unwrap_or(0)
}
