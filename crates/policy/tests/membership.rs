//! Membership under kills, freezes, cuts and loss, on an in-memory network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::name::Name;
use policy::{
    io::{Action, Message},
    membership::Membership,
    time::Instant,
    view::{View, Vm},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP_MS: u64 = 10;

struct Peer {
    vm: Vm,
    membership: Membership,
    view: View,
    up: bool,
    frozen: bool,
    /// Datagrams that wait while it is frozen.
    inbox: Vec<(SocketAddr, policy::membership::Message)>,
    sent_bytes: usize,
}

struct Network {
    peers: BTreeMap<SocketAddr, Peer>,
    /// Datagrams under way: due time, from, to, message.
    flying: Vec<(u64, SocketAddr, SocketAddr, policy::membership::Message)>,
    /// One-way cuts.
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    loss: f64,
    now_ms: u64,
    rng: Pcg64Mcg,
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

impl Network {
    fn new(vms: u16, seed: u64) -> Self {
        let mut network = Self {
            peers: BTreeMap::new(),
            flying: Vec::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            now_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for number in 0..vms {
            network.start(number, 1);
        }
        network
    }

    fn start(&mut self, number: u16, incarnation: u64) {
        let name = Name::new(format!("vm-{number}")).unwrap();
        let domain = Name::new(format!("domain-{}", number % 3)).unwrap();
        let vm = Vm::new(name, domain, address(number));
        let peer = Peer {
            membership: Membership::new(&vm, incarnation, vec![address(0), address(1)], 7),
            view: View::new(vm.clone()),
            vm,
            up: true,
            frozen: false,
            inbox: Vec::new(),
            sent_bytes: 0,
        };
        self.peers.insert(address(number), peer);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.deliver();
            let addresses: Vec<SocketAddr> = self.peers.keys().copied().collect();
            for address in addresses {
                self.tick(address);
            }
        }
    }

    fn deliver(&mut self) {
        let flying = std::mem::take(&mut self.flying);
        let (due, later) = flying.into_iter().partition(|f| f.0 <= self.now_ms);
        self.flying = later;
        for (_, from, to, message) in due {
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: SocketAddr, to: SocketAddr, message: policy::membership::Message) {
        let now = Instant::from_ms(self.now_ms);
        let Some(peer) = self.peers.get_mut(&to).filter(|peer| peer.up) else {
            return;
        };
        if peer.frozen {
            peer.inbox.push((from, message));
            return;
        }
        let mut out = Vec::new();
        peer.membership
            .on_message(now, &mut peer.view, from, message, &mut out);
        self.send(to, out);
    }

    fn tick(&mut self, address: SocketAddr) {
        let now = Instant::from_ms(self.now_ms);
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if !peer.up || peer.frozen {
            return;
        }
        let mut out = Vec::new();
        peer.membership.on_tick(now, &mut peer.view, &mut out);
        self.send(address, out);
    }

    fn send(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            let bytes = wire::frame::encode(0, &message).unwrap().len();
            if let Some(peer) = self.peers.get_mut(&from) {
                // 28 bytes of IP and UDP headers.
                peer.sent_bytes += bytes + 28;
            }
            let Message::Membership(message) = message else {
                continue;
            };
            if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let due = self.now_ms + self.rng.random_range(1..=5);
            self.flying.push((due, from, to, message));
        }
    }

    fn thaw(&mut self, number: u16) {
        let peer = self.peers.get_mut(&address(number)).unwrap();
        peer.frozen = false;
        let inbox = std::mem::take(&mut peer.inbox);
        for (from, message) in inbox {
            self.receive(from, address(number), message);
        }
    }

    fn cut(&mut self, from: &[u16], to: &[u16]) {
        for a in from {
            for b in to {
                self.cuts.insert((address(*a), address(*b)));
            }
        }
    }

    fn seen_by(&self, number: u16) -> Vec<u16> {
        let view = &self.peers[&address(number)].view;
        view.vms
            .values()
            .map(|vm| vm.address.port() - 7_000)
            .collect()
    }

    fn assert_all_see(&self, expected: &[u16]) {
        for number in expected {
            let mut seen = self.seen_by(*number);
            seen.sort_unstable();
            assert_eq!(seen, expected, "view of vm-{number} at {} ms", self.now_ms);
        }
    }
}

#[test]
fn all_find_each_other_from_two_seeds() {
    let mut network = Network::new(9, 1);
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_killed_vm_leaves_every_view_and_a_restarted_one_returns() {
    let mut network = Network::new(9, 2);
    network.run(3_000);
    network.peers.get_mut(&address(4)).unwrap().up = false;
    network.run(5_000);
    network.assert_all_see(&[0, 1, 2, 3, 5, 6, 7, 8]);
    network.start(4, 2);
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn two_vms_killed_at_once_leave_every_view() {
    let mut network = Network::new(9, 3);
    network.run(3_000);
    network.peers.get_mut(&address(0)).unwrap().up = false;
    network.peers.get_mut(&address(1)).unwrap().up = false;
    network.run(6_000);
    network.assert_all_see(&[2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_vm_frozen_past_its_death_refutes_it_and_returns_twice() {
    let mut network = Network::new(6, 4);
    network.run(3_000);
    for _ in 0..2 {
        network.peers.get_mut(&address(2)).unwrap().frozen = true;
        network.run(6_000);
        assert!(
            !network.seen_by(3).contains(&2),
            "the frozen VM still counts as live"
        );
        network.thaw(2);
        network.run(6_000);
        network.assert_all_see(&[0, 1, 2, 3, 4, 5]);
    }
}

#[test]
fn a_woken_vm_declares_nobody_dead_for_its_own_absence() {
    let mut network = Network::new(6, 5);
    network.run(3_000);
    network.peers.get_mut(&address(2)).unwrap().frozen = true;
    network.run(20_000);
    network.thaw(2);
    network.run(200);
    assert_eq!(network.seen_by(2).len(), 6);
}

#[test]
fn both_sides_of_a_partition_part_and_find_each_other_again() {
    let mut network = Network::new(9, 6);
    network.run(3_000);
    let (left, right) = (&[0, 3, 6], &[1, 2, 4, 5, 7, 8]);
    network.cut(left, right);
    network.cut(right, left);
    network.run(10_000);
    network.assert_all_see(left);
    network.assert_all_see(right);
    network.cuts.clear();
    network.run(8_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_one_way_cut_between_two_vms_removes_neither() {
    let mut network = Network::new(9, 7);
    network.run(3_000);
    network.cut(&[3], &[5]);
    for _ in 0..20 {
        network.run(500);
        network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    }
}

#[test]
fn five_percent_loss_removes_nobody_for_long() {
    let mut network = Network::new(9, 8);
    network.loss = 0.05;
    network.run(60_000);
    network.loss = 0.0;
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_leaving_vm_is_shown_as_leaving_at_once() {
    let mut network = Network::new(6, 9);
    network.run(3_000);
    let mut out = Vec::new();
    let peer = network.peers.get_mut(&address(5)).unwrap();
    peer.membership.leave(&mut peer.view, &mut out);
    let name = peer.vm.name.clone();
    network.send(address(5), out);
    network.run(100);
    for number in 0..6 {
        assert!(
            network.peers[&address(number)].view.vms[&name].leaving,
            "at vm-{number}"
        );
    }
}

#[test]
fn probes_and_gossip_stay_within_2_kilobytes_a_second() {
    for vms in [9, 60] {
        let mut network = Network::new(vms, 10);
        network.run(10_000);
        for peer in network.peers.values_mut() {
            peer.sent_bytes = 0;
        }
        network.run(10_000);
        for peer in network.peers.values() {
            let per_second = peer.sent_bytes / 10;
            assert!(
                per_second <= 2_000,
                "{per_second} bytes a second with {vms} VMs"
            );
        }
    }
}
