//! Probes: one VM in each period, through helpers where it doesn't acknowledge.

use std::net::SocketAddr;

use model::name::Name;
use rand::seq::SliceRandom;

use super::{ACK_WAIT_MS, HELPERS, Membership, Message, Pending, push, show};
use crate::{
    io::Action,
    time::Instant,
    view::{View, Vm},
};

impl Membership {
    pub(super) fn ask_helpers(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let Some(pending) = &mut self.probe else {
            return;
        };
        if pending.asked_helpers || now.ms_since(pending.sent) < ACK_WAIT_MS {
            return;
        }
        pending.asked_helpers = true;
        let (target, sequence) = (pending.target.clone(), pending.sequence);
        let Some(address) = view.get(&target).map(|vm| vm.address) else {
            return;
        };
        let mut helpers: Vec<SocketAddr> = view
            .others()
            .filter(|vm| vm.name != target)
            .map(|vm| vm.address)
            .collect();
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(HELPERS) {
            let message = Message::PingFor {
                target: address,
                probe: self.make_probe(sequence),
            };
            push(out, helper, message);
        }
    }

    /// Suspects the VM whose probe was not acknowledged.
    pub(super) fn end_probe(&mut self, now: Instant, view: &mut View) {
        let Some(pending) = self.probe.take() else {
            return;
        };
        if let Some(suspicion) = self.table.suspect(now, &pending.target) {
            show(view, &suspicion);
        }
    }

    pub(super) fn start_probe(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let Some(target) = self.next_target(view) else {
            return;
        };
        let sequence = self.draw_sequence();
        let ping = self.make_probe(sequence);
        push(out, target.address, Message::Ping(ping));
        self.probe = Some(Pending {
            target: target.name,
            sequence,
            sent: now,
            asked_helpers: false,
        });
    }

    fn next_target(&mut self, view: &View) -> Option<Vm> {
        loop {
            match self.order.pop_front() {
                Some(name) => {
                    if let Some(vm) = view.get(&name) {
                        return Some(vm.clone());
                    }
                }
                None => {
                    let mut names: Vec<Name> = view.others().map(|vm| vm.name.clone()).collect();
                    if names.is_empty() {
                        return None;
                    }
                    names.shuffle(&mut self.rng);
                    self.order = names.into();
                }
            }
        }
    }
}
