//! Probes of one VM per interval: direct, then indirect if the VM does not acknowledge.

use std::net::SocketAddr;

use model::name::Name;
use rand::seq::SliceRandom;

use super::{
    ACK_TIMEOUT_MS, INDIRECT_PROBERS, Membership, Message, PendingProbe, send_message, update_view,
};
use crate::{
    io::Action,
    time::Instant,
    view::{View, Vm},
};

impl Membership {
    /// Asks other VMs to probe the target of a probe that was not acknowledged in time.
    pub(super) fn request_indirect_probes(
        &mut self,
        now: Instant,
        view: &View,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = &mut self.pending_probe else {
            return;
        };
        if pending.requested_indirect || now.ms_since(pending.sent) < ACK_TIMEOUT_MS {
            return;
        }
        pending.requested_indirect = true;
        let (target, sequence) = (pending.target.clone(), pending.sequence);
        let Some(address) = view.get(&target).map(|vm| vm.address) else {
            return;
        };
        let mut probers: Vec<SocketAddr> = view
            .others()
            .filter(|vm| vm.name != target)
            .map(|vm| vm.address)
            .collect();
        probers.shuffle(&mut self.rng);
        for prober in probers.into_iter().take(INDIRECT_PROBERS) {
            let message = Message::IndirectPing {
                target: address,
                probe: self.make_probe(sequence),
            };
            send_message(out, prober, message);
        }
    }

    /// Marks the target of an unacknowledged probe as suspect.
    pub(super) fn suspect_unacknowledged(&mut self, now: Instant, view: &mut View) {
        let Some(pending) = self.pending_probe.take() else {
            return;
        };
        if let Some(suspicion) = self.table.suspect(now, &pending.target) {
            update_view(view, &suspicion);
        }
    }

    pub(super) fn start_probe(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let Some(target) = self.next_probe_target(view) else {
            return;
        };
        let sequence = self.allocate_sequence();
        let ping = self.make_probe(sequence);
        send_message(out, target.address, Message::Ping(ping));
        self.pending_probe = Some(PendingProbe {
            target: target.name,
            sequence,
            sent: now,
            requested_indirect: false,
        });
    }

    fn next_probe_target(&mut self, view: &View) -> Option<Vm> {
        loop {
            match self.probe_queue.pop_front() {
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
                    self.probe_queue = names.into();
                }
            }
        }
    }
}
