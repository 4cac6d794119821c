//! Flows that the home has no record of.
//!
//! After a change of the view, another VM may hold the record: the home asks the VMs that were
//! responsible before, and holds the flow's packets until each has answered or left. Only then
//! does it take the absence of a record as an answer.

use std::collections::{BTreeMap, BTreeSet};

use model::name::Name;

use super::{
    Flows, Message, Mode, Turn,
    packet::Placed,
    record::{Moment, Record, Stage},
};
use crate::{io::Counter, time::Instant, view::Vm};

/// Time between two questions for one flow to one VM, in milliseconds.
const REPEAT_MS: u64 = 50;

/// Time after which the held packets of a flow are dropped, in milliseconds.
const GIVE_UP_MS: u64 = 1_000;

/// Most flows of which packets are held.
const MAX_FLOWS: usize = 4_096;

/// Most packets that are held for one flow.
const MAX_PACKETS: usize = 4;

/// Flows whose records are being asked for, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Misses(BTreeMap<u64, Miss>);

#[derive(Debug)]
struct Miss {
    /// VMs that have not answered.
    waiting: BTreeSet<Name>,
    /// Packets in the order in which they came. Invariant: at most [`MAX_PACKETS`].
    packets: Vec<Placed>,
    /// When the first question was sent.
    since: Instant,
    /// When the last question was sent.
    sent: Instant,
}

impl Misses {
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Flows {
    /// Asks other VMs for the record of a packet's flow, if any may have it, and holds the packet.
    ///
    /// Returns false where there is nobody to ask.
    pub(super) fn ask(&mut self, turn: &mut Turn<'_, '_>, packet: &Placed) -> bool {
        let direct = self.direct(turn.context, packet.service, packet.fingerprint);
        if direct.is_some() || self.mode != Mode::Positive {
            return false;
        }
        if let Some(miss) = self.misses.0.get_mut(&packet.fingerprint) {
            if miss.packets.len() < MAX_PACKETS {
                miss.packets.push(packet.clone());
            } else {
                turn.count(Counter::PacketUnknownFlow);
            }
            return true;
        }
        let waiting = self.handover.holders(turn.context, packet.fingerprint);
        if waiting.is_empty() {
            return false;
        }
        if self.misses.0.len() >= MAX_FLOWS {
            turn.count(Counter::PacketUnknownFlow);
            return true;
        }
        send_asks(turn, &waiting, packet.fingerprint);
        let miss = Miss {
            waiting,
            packets: vec![packet.clone()],
            since: turn.now(),
            sent: turn.now(),
        };
        self.misses.0.insert(packet.fingerprint, miss);
        true
    }

    /// Answers a VM that asks for a record.
    pub(super) fn on_ask(&self, turn: &mut Turn<'_, '_>, from: &Vm, fingerprint: u64) {
        if !turn.context.fresh {
            return;
        }
        let record = self.records.get(&fingerprint).filter(|r| r.is_positive);
        let found = record.and_then(|r| {
            let service = self.service(r.service)?;
            let upstream = service.upstream(r.upstream)?;
            Some((service.name.clone(), upstream.name.clone()))
        });
        turn.send(from, Message::Answer { fingerprint, found });
    }

    /// Takes the answer of a VM that was asked.
    pub(super) fn on_answer(
        &mut self,
        turn: &mut Turn<'_, '_>,
        from: &Vm,
        fingerprint: u64,
        found: Option<(Name, Name)>,
    ) {
        let Some(miss) = self.misses.0.get_mut(&fingerprint) else {
            return;
        };
        if !miss.waiting.remove(&from.name) {
            return;
        }
        let target = found.and_then(|(service, upstream)| self.target(&service, &upstream));
        if let Some(target) = target {
            let now = Moment::from(turn.now());
            let record = Record {
                seen: now,
                touched: now,
                service: target.service,
                upstream: target.upstream,
                is_home: true,
                is_positive: true,
                is_confirmed: false,
                stage: Stage::Opening,
            };
            self.records.entry(fingerprint).or_insert(record);
        }
        self.settle(turn, fingerprint, target.is_some());
    }

    /// Lets the held packets of a flow go on, once a record is found or nobody has one.
    fn settle(&mut self, turn: &mut Turn<'_, '_>, fingerprint: u64, is_found: bool) {
        let Some(miss) = self.misses.0.get(&fingerprint) else {
            return;
        };
        if !is_found && !miss.waiting.is_empty() {
            return;
        }
        let Some(miss) = self.misses.0.remove(&fingerprint) else {
            return;
        };
        for packet in miss.packets {
            self.at_home(turn, packet, true);
        }
    }

    /// Repeats questions, drops those to VMs that have left, and gives up on late ones.
    pub(super) fn repeat_asks(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        let mut settled = Vec::new();
        let mut given_up = Vec::new();
        for (fingerprint, miss) in &mut self.misses.0 {
            miss.waiting
                .retain(|vm| turn.context.view.get(vm).is_some());
            if miss.waiting.is_empty() {
                settled.push(*fingerprint);
            } else if now.ms_since(miss.since) >= GIVE_UP_MS {
                given_up.push(*fingerprint);
            } else if now.ms_since(miss.sent) >= REPEAT_MS {
                miss.sent = now;
                send_asks(turn, &miss.waiting, *fingerprint);
            }
        }
        for fingerprint in settled {
            self.settle(turn, fingerprint, false);
        }
        for fingerprint in given_up {
            let dropped = self.misses.0.remove(&fingerprint);
            for _ in dropped.map(|m| m.packets).unwrap_or_default() {
                turn.count(Counter::PacketUnknownFlow);
            }
        }
    }
}

fn send_asks(turn: &mut Turn<'_, '_>, vms: &BTreeSet<Name>, fingerprint: u64) {
    for name in vms {
        if let Some(vm) = turn.context.view.get(name) {
            turn.send(vm, Message::Ask { fingerprint });
        }
    }
}
