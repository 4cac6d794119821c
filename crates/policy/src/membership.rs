//! Membership: which entry VMs are live, by probes and gossip within a bounded share of the
//! network.
//!
//! The protocol is of the SWIM family. In each period a VM probes one other VM, in a shuffled
//! order that reaches all of them in turn. Without an acknowledgement it asks a few others to
//! probe for it, then spreads a suspicion, which the suspected VM refutes with a larger
//! incarnation. A suspicion that stands for [`SUSPICION_MS`] is a death. What is new rides on
//! probes and acknowledgements, a bounded number of times each, so that the cost of a VM doesn't
//! grow with the number of VMs.
//!
//! Dead VMs are remembered and asked now and then, so that the sides of a network partition find
//! each other again. A digest of the whole table rides on each probe; two VMs whose digests
//! differ for long exchange their tables.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use model::{key::hash, name::Name};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::{
    io::{self, Action},
    time::Instant,
    view::{View, Vm},
};

mod probing;
mod table;

pub use table::{Member, State};
use table::{Merge, Table};

/// Time between two probes, in milliseconds.
pub const PERIOD_MS: u64 = 250;

/// Wait for an acknowledgement before others are asked to probe, in milliseconds.
const ACK_WAIT_MS: u64 = 80;

/// VMs that are asked to probe for this one.
const HELPERS: usize = 2;

/// Time that a suspicion stands before it is a death, in milliseconds.
pub const SUSPICION_MS: u64 = 1_000;

/// Time between two attempts to reach seeds or VMs that count as dead, in milliseconds. It bounds
/// how long two sides of a partition that has ended go on apart.
const REJOIN_MS: u64 = 250;

/// Time between two requests for a whole table, in milliseconds.
const SYNC_MS: u64 = 20_000;

/// Time without news after which a differing digest means that news was lost, in milliseconds.
const SETTLED_MS: u64 = 10_000;

/// Time after which a dead VM is forgotten, in milliseconds: far longer than regions part.
const FORGET_MS: u64 = 86_400_000;

/// A gap between ticks after which this VM's own waits say nothing of others, in milliseconds.
const STALL_MS: u64 = 500;

/// Members that one datagram carries at most as gossip.
const MAX_GOSSIP: usize = 6;

/// Members that one datagram carries at most as a part of the table.
const MAX_TABLE_PART: usize = 20;

/// A message between the membership machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the whole table, and introduces the sender.
    Join(Member),
    /// A part of the table, for one VM that lacks it; not passed on.
    Table(Vec<Member>),
    /// News for everyone.
    News(Vec<Member>),
    /// Asks for an acknowledgement.
    Ping(Probe),
    /// Asks the receiver to probe a third VM and to pass the acknowledgement on.
    PingFor {
        /// Address of the third VM.
        target: SocketAddr,
        /// The probe.
        probe: Probe,
    },
    /// Acknowledges a probe.
    Ack(Probe),
}

/// What probes and acknowledgements carry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number that the acknowledgement repeats.
    pub sequence: u32,
    /// Digest of the sender's table.
    pub digest: u32,
    /// Index of the sender's configuration.
    pub index: u64,
    /// What the sender has learnt lately.
    pub gossip: Vec<Member>,
}

/// What a call to the machine has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the view has changed.
    pub view: bool,
    /// Index of the configuration that a live peer has, where it said so.
    pub peer_index: Option<u64>,
    /// Whether the peer said so in answer to a probe that this VM still waited for, and not in a
    /// datagram that may have lain unread for long.
    pub acknowledged: bool,
}

/// The membership machine of one VM.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    table: Table,
    seeds: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    /// VMs to probe, next first; filled anew from the table when it is empty.
    order: VecDeque<Name>,
    probe: Option<Pending>,
    /// Probes made for others: own sequence number to who asked, with which number, and when.
    errands: BTreeMap<u32, Errand>,
    next_sequence: u32,
    last_tick: Instant,
    next_probe: Instant,
    next_rejoin: Instant,
    next_sync: Instant,
    /// Index of this VM's configuration, as probes carry it.
    index: u64,
}

/// A probe that waits for its acknowledgement.
#[derive(Debug)]
struct Pending {
    target: Name,
    sequence: u32,
    sent: Instant,
    asked_helpers: bool,
}

/// A probe made for another VM.
#[derive(Debug)]
struct Errand {
    asker: SocketAddr,
    sequence: u32,
    sent: Instant,
}

impl Membership {
    /// Starts with this VM alone and the addresses of peers to ask.
    #[must_use]
    pub fn new(me: &Vm, incarnation: u64, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let own_seed = hash(seed, me.name.as_str().as_bytes());
        Self {
            me: Member {
                name: me.name.clone(),
                domain: me.domain.clone(),
                address: me.address,
                incarnation,
                state: State::Alive,
            },
            table: Table::default(),
            seeds: seeds.into_iter().filter(|s| *s != me.address).collect(),
            rng: Pcg64Mcg::seed_from_u64(own_seed),
            order: VecDeque::new(),
            probe: None,
            errands: BTreeMap::new(),
            next_sequence: 0,
            last_tick: Instant::ZERO,
            next_probe: Instant::ZERO,
            next_rejoin: Instant::ZERO,
            next_sync: Instant::ZERO,
            index: 0,
        }
    }

    /// Sets the index of the configuration that probes carry.
    pub fn set_index(&mut self, index: u64) {
        self.index = index;
    }

    /// Waits no longer for the acknowledgement of a probe: this VM stood still, and what arrives
    /// now may be old.
    pub fn forget_probe(&mut self) {
        self.probe = None;
    }

    /// Spreads that this VM stops on purpose.
    pub fn leave(&mut self, view: &mut View, out: &mut Vec<Action>) {
        self.me.state = State::Leaving;
        self.me.incarnation += 1;
        // The process may be gone before gossip has spread it.
        self.tell_everyone(out);
        let name = self.me.name.clone();
        if let Some(vm) = view.vms.get_mut(&name) {
            vm.leaving = true;
            view.number += 1;
        }
    }

    /// Tells everyone that this VM's process ends now, so that nobody waits for its answers until
    /// probes have missed it.
    pub fn end(&mut self, out: &mut Vec<Action>) {
        self.me.state = State::Dead;
        self.tell_everyone(out);
    }

    /// Takes a message.
    pub fn on_message(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) -> Change {
        let before = view.number;
        let mut peer_index = None;
        let waited = self.probe.is_some();
        match message {
            Message::Join(member) => {
                self.learn(now, view, member, out);
                self.send_table(from, out);
            }
            Message::Table(members) => {
                self.learn_table(now, view, members, out);
                self.tell_dead(from, out);
            }
            Message::News(members) => {
                self.learn_all(now, view, members, out);
                if !view.vms.values().any(|vm| vm.address == from) {
                    push(out, from, Message::Join(self.me.clone()));
                }
            }
            Message::Ping(probe) => {
                peer_index = Some(probe.index);
                self.on_ping(now, view, from, probe, out);
            }
            Message::PingFor { target, probe } => {
                self.on_ping_for(now, view, from, target, probe, out);
            }
            Message::Ack(probe) => {
                peer_index = Some(probe.index);
                self.on_ack(now, view, from, probe, out);
            }
        }
        Change {
            view: view.number != before,
            peer_index,
            acknowledged: waited && self.probe.is_none(),
        }
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Instant, view: &mut View, out: &mut Vec<Action>) -> Change {
        let before = view.number;
        let stalled = now.ms_since(self.last_tick) > STALL_MS;
        self.last_tick = now;
        if stalled {
            // Acknowledgements may wait unread: nothing that was late counts.
            self.probe = None;
            self.table.restart_suspicions(now);
        }
        self.ask_helpers(now, view, out);
        if now >= self.next_probe {
            self.end_probe(now, view);
            self.start_probe(now, view, out);
            self.next_probe = now.plus_ms(PERIOD_MS);
        }
        self.bury(now, view);
        self.rejoin(now, out);
        Change {
            view: view.number != before,
            ..Change::default()
        }
    }

    fn on_ping(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        let sequence = probe.sequence;
        self.take_probe(now, view, from, probe, out);
        let ack = self.make_probe(sequence);
        push(out, from, Message::Ack(ack));
    }

    fn on_ping_for(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        target: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        let errand = Errand {
            asker: from,
            sequence: probe.sequence,
            sent: now,
        };
        self.take_probe(now, view, from, probe, out);
        let sequence = self.draw_sequence();
        self.errands.insert(sequence, errand);
        let ping = self.make_probe(sequence);
        push(out, target, Message::Ping(ping));
    }

    fn on_ack(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        let sequence = probe.sequence;
        self.take_probe(now, view, from, probe, out);
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
        }
        if let Some(errand) = self.errands.remove(&sequence) {
            let ack = self.make_probe(errand.sequence);
            push(out, errand.asker, Message::Ack(ack));
        }
    }

    /// Learns what a probe carries, and asks for the sender's table when it is a stranger or its
    /// table differs.
    fn take_probe(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        self.learn_all(now, view, probe.gossip, out);
        let is_known = view.vms.values().any(|vm| vm.address == from);
        // While news is under way, digests differ for a while without anything being lost.
        let is_settled = self.table.quiet_ms(now) >= SETTLED_MS;
        let differs = probe.digest != self.digest() && is_settled && now >= self.next_sync;
        if differs {
            self.next_sync = now.plus_ms(SYNC_MS);
        }
        if !is_known {
            self.tell_dead(from, out);
        }
        if !is_known || differs {
            push(out, from, Message::Join(self.me.clone()));
        }
    }

    /// Tells every VM of this one's own state.
    fn tell_everyone(&self, out: &mut Vec<Action>) {
        let news = Message::News(vec![self.me.clone()]);
        for to in self.table.addresses(|_| true) {
            push(out, to, news.clone());
        }
    }

    /// Tells a VM that it counts as dead here, so that it answers with a larger incarnation.
    fn tell_dead(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let claim = self.table.dead_at(to);
        if !claim.is_empty() {
            push(out, to, Message::News(claim));
        }
    }

    /// Learns a part of another VM's table. Others know it already: were it passed on as news, a
    /// VM that starts would gossip about every other VM.
    fn learn_table(
        &mut self,
        now: Instant,
        view: &mut View,
        members: Vec<Member>,
        out: &mut Vec<Action>,
    ) {
        for member in members {
            let name = member.name.clone();
            self.learn(now, view, member, out);
            self.table.hush(&name);
        }
    }

    fn learn_all(
        &mut self,
        now: Instant,
        view: &mut View,
        members: Vec<Member>,
        out: &mut Vec<Action>,
    ) {
        for member in members {
            self.learn(now, view, member, out);
        }
    }

    fn learn(&mut self, now: Instant, view: &mut View, member: Member, out: &mut Vec<Action>) {
        if member.name == self.me.name {
            self.refute(&member, out);
            return;
        }
        if self.table.merge(now, member.clone()) == Merge::Known {
            return;
        }
        show(view, &member);
    }

    /// Answers a suspicion against this VM with a larger incarnation.
    ///
    /// Everyone is told at once, also those that count as dead here: after a partition, each side
    /// must see the other before packets of the other's flows reach it.
    fn refute(&mut self, claim: &Member, out: &mut Vec<Action>) {
        let is_newer = claim.incarnation > self.me.incarnation;
        let is_worse =
            claim.incarnation == self.me.incarnation && claim.state.rank() > self.me.state.rank();
        if is_newer || is_worse {
            self.me.incarnation = claim.incarnation + 1;
            self.tell_everyone(out);
        }
    }

    /// Turns suspicions that have stood long enough into deaths.
    fn bury(&mut self, now: Instant, view: &mut View) {
        for dead in self.table.bury(now, SUSPICION_MS) {
            show(view, &dead);
        }
        self.errands
            .retain(|_, errand| now.ms_since(errand.sent) < PERIOD_MS);
    }

    /// Introduces this VM to a seed, or to a VM that counts as dead and may be back.
    fn rejoin(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now.plus_ms(REJOIN_MS);
        self.table.forget(now, FORGET_MS);
        let mut candidates = self.table.addresses(|state| state == State::Dead);
        let live = self.table.addresses(|state| state != State::Dead);
        candidates.extend(self.seeds.iter().filter(|s| !live.contains(s)));
        if candidates.is_empty() {
            return;
        }
        // While nobody is known, each seed is asked; later one candidate at a time.
        if live.is_empty() {
            for to in candidates {
                push(out, to, Message::Join(self.me.clone()));
            }
            return;
        }
        let pick = self.rng.random_range(0..candidates.len());
        self.tell_dead(candidates[pick], out);
        push(out, candidates[pick], Message::Join(self.me.clone()));
    }

    fn send_table(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let mut members = vec![self.me.clone()];
        members.extend(self.table.members());
        for part in members.chunks(MAX_TABLE_PART) {
            push(out, to, Message::Table(part.to_vec()));
        }
    }

    fn make_probe(&mut self, sequence: u32) -> Probe {
        let mut gossip = vec![self.me.clone()];
        gossip.extend(self.table.gossip(MAX_GOSSIP - 1));
        Probe {
            sequence,
            digest: self.digest(),
            index: self.index,
            gossip,
        }
    }

    /// Digest of the table, this VM included, that is equal on VMs with equal tables.
    fn digest(&self) -> u32 {
        self.table.digest() ^ self.me.digest()
    }

    fn draw_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

/// Makes the view show a member as its state has it.
fn show(view: &mut View, member: &Member) {
    match member.state {
        State::Dead => {
            if view.vms.remove(&member.name).is_some() {
                view.number += 1;
            }
        }
        State::Alive | State::Leaving | State::Suspect => {
            let mut vm = Vm::new(member.name.clone(), member.domain.clone(), member.address);
            let shown = view.vms.get(&member.name);
            // A suspicion says nothing new of whether the VM leaves.
            vm.leaving = match member.state {
                State::Suspect => shown.is_some_and(|vm| vm.leaving),
                state => state == State::Leaving,
            };
            if shown != Some(&vm) {
                view.vms.insert(member.name.clone(), vm);
                view.number += 1;
            }
        }
    }
}

fn push(out: &mut Vec<Action>, to: SocketAddr, message: Message) {
    let message = io::Message::Membership(message);
    out.push(Action::Send { to, message });
}
