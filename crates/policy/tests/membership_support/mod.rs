//! An in-memory network of membership state machines, for tests and benches.

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

/// Time between two simulated ticks, in milliseconds.
const TICK_MS: u64 = 10;

pub(crate) struct Peer {
    pub(crate) vm: Vm,
    pub(crate) membership: Membership,
    pub(crate) view: View,
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    /// Datagrams that arrived while the VM was frozen, with their senders.
    frozen_inbox: Vec<(SocketAddr, policy::membership::Message)>,
    pub(crate) sent_bytes: usize,
}

pub(crate) struct Network {
    pub(crate) peers: BTreeMap<SocketAddr, Peer>,
    /// Datagrams in flight: arrival time in milliseconds, sender, receiver, message.
    in_flight: Vec<(u64, SocketAddr, SocketAddr, policy::membership::Message)>,
    /// One-way network cuts: sender, receiver.
    pub(crate) cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    pub(crate) loss: f64,
    now_ms: u64,
    rng: Pcg64Mcg,
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

impl Network {
    pub(crate) fn new(vms: u16, seed: u64) -> Self {
        let mut network = Self {
            peers: BTreeMap::new(),
            in_flight: Vec::new(),
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

    pub(crate) fn start(&mut self, number: u16, incarnation: u64) {
        let name = Name::new(format!("vm-{number}")).unwrap();
        let domain = Name::new(format!("domain-{}", number % 3)).unwrap();
        let vm = Vm::new(name, domain, address(number));
        let peer = Peer {
            membership: Membership::new(&vm, incarnation, vec![address(0), address(1)], 7),
            view: View::new(vm.clone()),
            vm,
            up: true,
            frozen: false,
            frozen_inbox: Vec::new(),
            sent_bytes: 0,
        };
        self.peers.insert(address(number), peer);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.deliver();
            let addresses: Vec<SocketAddr> = self.peers.keys().copied().collect();
            for address in addresses {
                self.tick(address);
            }
        }
    }

    fn deliver(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later) = in_flight.into_iter().partition(|f| f.0 <= self.now_ms);
        self.in_flight = later;
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
            peer.frozen_inbox.push((from, message));
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

    pub(crate) fn send(&mut self, from: SocketAddr, actions: Vec<Action>) {
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
            self.in_flight.push((due, from, to, message));
        }
    }

    pub(crate) fn thaw(&mut self, number: u16) {
        let peer = self.peers.get_mut(&address(number)).unwrap();
        peer.frozen = false;
        let frozen_inbox = std::mem::take(&mut peer.frozen_inbox);
        for (from, message) in frozen_inbox {
            self.receive(from, address(number), message);
        }
    }

    pub(crate) fn cut(&mut self, from: &[u16], to: &[u16]) {
        for a in from {
            for b in to {
                self.cuts.insert((address(*a), address(*b)));
            }
        }
    }

    pub(crate) fn live_vms_at(&self, number: u16) -> Vec<u16> {
        let view = &self.peers[&address(number)].view;
        view.vms
            .values()
            .map(|vm| vm.address.port() - 7_000)
            .collect()
    }

    pub(crate) fn assert_views_equal(&self, expected: &[u16]) {
        for number in expected {
            let mut seen = self.live_vms_at(*number);
            seen.sort_unstable();
            assert_eq!(seen, expected, "view of vm-{number} at {} ms", self.now_ms);
        }
    }
}
