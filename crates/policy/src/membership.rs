//! Membership protocol: detects which entry VMs are live, by probes and gossip with bounded
//! network use.
//!
//! The protocol is a variant of SWIM. In each interval a VM probes one other VM, in a shuffled
//! order that covers all of them in turn. If the acknowledgement does not arrive, the VM asks a
//! few others to probe the target, then gossips a suspicion, which the suspected VM refutes with a
//! larger incarnation. A VM that does not refute a suspicion within [`SUSPICION_TIMEOUT_MS`] is
//! declared dead. Updates are piggybacked on probes and acknowledgements a bounded number of times
//! each, so that the cost per VM does not grow with the number of VMs.
//!
//! Dead VMs stay in the table and are contacted periodically, so that the sides of a network
//! partition find each other after the partition heals. Each probe carries a digest of the whole
//! table; two VMs whose digests keep differing exchange their tables.

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

/// Time between two probes that a VM sends, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 250;

/// Wait for an acknowledgement before indirect probes are requested, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 80;

/// Number of VMs that are asked to probe an unresponsive target.
const INDIRECT_PROBERS: usize = 2;

/// Time after which a suspected VM is declared dead unless it refutes the suspicion, in
/// milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 1_000;

/// Time between two attempts to contact a seed or a dead VM, in milliseconds. The interval
/// bounds how long two sides of a partition stay separate after the partition heals.
const REJOIN_INTERVAL_MS: u64 = 250;

/// Minimum time between two requests for a whole table, in milliseconds.
const TABLE_SYNC_INTERVAL_MS: u64 = 20_000;

/// Time without updates after which differing digests indicate a lost update, in milliseconds.
const GOSSIP_SETTLE_MS: u64 = 10_000;

/// Time after which a dead VM is removed from the table, in milliseconds. Network partitions are
/// far shorter.
const DEAD_RETENTION_MS: u64 = 86_400_000;

/// Gap between two ticks that counts as a stall of this VM, in milliseconds. Timeouts that expired
/// during a stall say nothing about other VMs.
const STALL_THRESHOLD_MS: u64 = 500;

/// Maximum number of members in the gossip of one datagram.
const MAX_GOSSIP_MEMBERS: usize = 6;

/// Maximum number of members in one datagram that carries a part of the table.
const MAX_TABLE_PART_MEMBERS: usize = 20;

/// A message of the membership protocol between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the whole table and introduces the sender.
    Join(Member),
    /// Part of the sender's table, for one VM; the receiver does not gossip these members.
    Table(Vec<Member>),
    /// Updates that the receiver gossips to all VMs.
    Updates(Vec<Member>),
    /// Requests an acknowledgement.
    Ping(Probe),
    /// Asks the receiver to probe a third VM and to forward the acknowledgement.
    IndirectPing {
        /// Address of the third VM.
        target: SocketAddr,
        /// Probe whose sequence number the forwarded acknowledgement repeats.
        probe: Probe,
    },
    /// Acknowledges a probe.
    Ack(Probe),
}

/// The content of a probe or an acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Sequence number that the acknowledgement repeats.
    pub sequence: u32,
    /// Digest of the sender's table.
    pub digest: u32,
    /// Index of the sender's configuration.
    pub config_index: u64,
    /// Recent updates known to the sender.
    pub gossip: Vec<Member>,
}

/// The effects of a call to [`Membership`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the view has changed.
    pub view: bool,
    /// Configuration index of the peer that sent the message, if the message carried an index.
    pub peer_config_index: Option<u64>,
    /// Whether the message acknowledged a probe that this VM was still waiting for. Any other
    /// datagram may have waited in a buffer for long.
    pub acknowledged: bool,
}

/// The membership state machine of one VM.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    table: Table,
    seeds: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    /// VMs to probe, next first; refilled from the view when empty.
    probe_queue: VecDeque<Name>,
    pending_probe: Option<PendingProbe>,
    /// Probes made on behalf of other VMs, by this VM's own sequence number.
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    next_sequence: u32,
    last_tick: Instant,
    next_probe: Instant,
    next_rejoin: Instant,
    next_sync: Instant,
    /// Index of this VM's configuration, sent in each probe.
    config_index: u64,
}

/// A probe whose acknowledgement is pending.
#[derive(Debug)]
struct PendingProbe {
    target: Name,
    sequence: u32,
    sent: Instant,
    requested_indirect: bool,
}

/// A probe made on behalf of another VM.
#[derive(Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    sequence: u32,
    sent: Instant,
}

impl Membership {
    /// Creates the state machine of a VM that knows no other VMs, only the addresses of seeds.
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
            probe_queue: VecDeque::new(),
            pending_probe: None,
            relayed_probes: BTreeMap::new(),
            next_sequence: 0,
            last_tick: Instant::ZERO,
            next_probe: Instant::ZERO,
            next_rejoin: Instant::ZERO,
            next_sync: Instant::ZERO,
            config_index: 0,
        }
    }

    /// Sets the configuration index that probes carry.
    pub fn set_config_index(&mut self, config_index: u64) {
        self.config_index = config_index;
    }

    /// Stops waiting for the pending acknowledgement. Called after this VM was frozen, when
    /// datagrams that arrive may be old.
    pub fn discard_pending_probe(&mut self) {
        self.pending_probe = None;
    }

    /// Announces to all VMs that this VM is shutting down.
    pub fn announce_leave(&mut self, view: &mut View, out: &mut Vec<Action>) {
        self.me.state = State::Leaving;
        self.me.incarnation += 1;
        // The process may exit before gossip has reached every VM.
        self.broadcast_own_state(out);
        let name = self.me.name.clone();
        if let Some(vm) = view.vms.get_mut(&name) {
            vm.leaving = true;
            view.number += 1;
        }
    }

    /// Announces to all VMs that this VM's process exits now, so that no VM waits for answers
    /// until probes fail.
    pub fn announce_exit(&mut self, out: &mut Vec<Action>) {
        self.me.state = State::Dead;
        self.broadcast_own_state(out);
    }

    /// Processes a message of another VM.
    pub fn on_message(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Action>,
    ) -> Change {
        let old_view_number = view.number;
        let mut peer_config_index = None;
        let had_pending_probe = self.pending_probe.is_some();
        match message {
            Message::Join(member) => {
                self.apply_update(now, view, member, out);
                self.send_table(from, out);
            }
            Message::Table(members) => {
                self.apply_table_part(now, view, members, out);
                self.notify_presumed_dead(from, out);
            }
            Message::Updates(members) => {
                self.apply_updates(now, view, members, out);
                if !view.vms.values().any(|vm| vm.address == from) {
                    send_message(out, from, Message::Join(self.me.clone()));
                }
            }
            Message::Ping(probe) => {
                peer_config_index = Some(probe.config_index);
                self.on_ping(now, view, from, probe, out);
            }
            Message::IndirectPing { target, probe } => {
                self.on_indirect_ping(now, view, from, target, probe, out);
            }
            Message::Ack(probe) => {
                peer_config_index = Some(probe.config_index);
                self.on_ack(now, view, from, probe, out);
            }
        }
        Change {
            view: view.number != old_view_number,
            peer_config_index,
            acknowledged: had_pending_probe && self.pending_probe.is_none(),
        }
    }

    /// Runs the timers: probes, suspicions and rejoin attempts.
    pub fn on_tick(&mut self, now: Instant, view: &mut View, out: &mut Vec<Action>) -> Change {
        let old_view_number = view.number;
        let stalled = now.ms_since(self.last_tick) > STALL_THRESHOLD_MS;
        self.last_tick = now;
        if stalled {
            // Acknowledgements may still be unread, so expired timeouts do not count.
            self.pending_probe = None;
            self.table.restart_suspicions(now);
        }
        self.request_indirect_probes(now, view, out);
        if now >= self.next_probe {
            self.suspect_unacknowledged(now, view);
            self.start_probe(now, view, out);
            self.next_probe = now.plus_ms(PROBE_INTERVAL_MS);
        }
        self.expire_suspicions(now, view);
        self.rejoin(now, out);
        Change {
            view: view.number != old_view_number,
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
        self.process_probe(now, view, from, probe, out);
        let ack = self.make_probe(sequence);
        send_message(out, from, Message::Ack(ack));
    }

    fn on_indirect_ping(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        target: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        let relayed = RelayedProbe {
            requester: from,
            sequence: probe.sequence,
            sent: now,
        };
        self.process_probe(now, view, from, probe, out);
        let sequence = self.allocate_sequence();
        self.relayed_probes.insert(sequence, relayed);
        let ping = self.make_probe(sequence);
        send_message(out, target, Message::Ping(ping));
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
        self.process_probe(now, view, from, probe, out);
        if self
            .pending_probe
            .as_ref()
            .is_some_and(|p| p.sequence == sequence)
        {
            self.pending_probe = None;
        }
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            let ack = self.make_probe(relayed.sequence);
            send_message(out, relayed.requester, Message::Ack(ack));
        }
    }

    /// Applies the updates of a probe, and requests the sender's table if the sender is unknown or
    /// the tables differ.
    fn process_probe(
        &mut self,
        now: Instant,
        view: &mut View,
        from: SocketAddr,
        probe: Probe,
        out: &mut Vec<Action>,
    ) {
        self.apply_updates(now, view, probe.gossip, out);
        let is_known = view.vms.values().any(|vm| vm.address == from);
        // While updates are spreading, digests differ although no update was lost.
        let is_settled = self.table.ms_since_change(now) >= GOSSIP_SETTLE_MS;
        let needs_sync = probe.digest != self.digest() && is_settled && now >= self.next_sync;
        if needs_sync {
            self.next_sync = now.plus_ms(TABLE_SYNC_INTERVAL_MS);
        }
        if !is_known {
            self.notify_presumed_dead(from, out);
        }
        if !is_known || needs_sync {
            send_message(out, from, Message::Join(self.me.clone()));
        }
    }

    /// Sends this VM's own state to every VM in the table.
    fn broadcast_own_state(&self, out: &mut Vec<Action>) {
        let updates = Message::Updates(vec![self.me.clone()]);
        for to in self.table.addresses(|_| true) {
            send_message(out, to, updates.clone());
        }
    }

    /// Notifies a VM that this VM considers it dead, so that it refutes with a larger incarnation.
    fn notify_presumed_dead(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let dead = self.table.dead_members_at(to);
        if !dead.is_empty() {
            send_message(out, to, Message::Updates(dead));
        }
    }

    /// Applies a part of another VM's table without gossiping its members. Other VMs know them
    /// already, and a VM that starts would gossip about every other VM.
    fn apply_table_part(
        &mut self,
        now: Instant,
        view: &mut View,
        members: Vec<Member>,
        out: &mut Vec<Action>,
    ) {
        for member in members {
            let name = member.name.clone();
            self.apply_update(now, view, member, out);
            self.table.stop_gossip(&name);
        }
    }

    fn apply_updates(
        &mut self,
        now: Instant,
        view: &mut View,
        members: Vec<Member>,
        out: &mut Vec<Action>,
    ) {
        for member in members {
            self.apply_update(now, view, member, out);
        }
    }

    fn apply_update(
        &mut self,
        now: Instant,
        view: &mut View,
        member: Member,
        out: &mut Vec<Action>,
    ) {
        if member.name == self.me.name {
            self.refute(&member, out);
            return;
        }
        if self.table.merge(now, member.clone()) == Merge::Known {
            return;
        }
        update_view(view, &member);
    }

    /// Refutes a report that this VM is suspect or dead, by a larger incarnation.
    ///
    /// The refutation goes to all VMs at once, including VMs that this VM considers dead: after a
    /// partition, each side must see the other before packets of the other side's flows reach it.
    fn refute(&mut self, report: &Member, out: &mut Vec<Action>) {
        let is_newer = report.incarnation > self.me.incarnation;
        let is_worse =
            report.incarnation == self.me.incarnation && report.state.rank() > self.me.state.rank();
        if is_newer || is_worse {
            self.me.incarnation = report.incarnation + 1;
            self.broadcast_own_state(out);
        }
    }

    /// Declares VMs dead that did not refute a suspicion in time, and drops expired relayed probes.
    fn expire_suspicions(&mut self, now: Instant, view: &mut View) {
        for dead in self.table.expire_suspicions(now, SUSPICION_TIMEOUT_MS) {
            update_view(view, &dead);
        }
        self.relayed_probes
            .retain(|_, relayed| now.ms_since(relayed.sent) < PROBE_INTERVAL_MS);
    }

    /// Sends a join request to a seed that is not known as live or to a dead VM, which may be back.
    /// Also evicts VMs that have been dead for long.
    fn rejoin(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now.plus_ms(REJOIN_INTERVAL_MS);
        self.table.evict_dead(now, DEAD_RETENTION_MS);
        let mut candidates = self.table.addresses(|state| state == State::Dead);
        let live = self.table.addresses(|state| state != State::Dead);
        candidates.extend(self.seeds.iter().filter(|s| !live.contains(s)));
        if candidates.is_empty() {
            return;
        }
        // While no live VM is known, every candidate is contacted; later, one at a time.
        if live.is_empty() {
            for to in candidates {
                send_message(out, to, Message::Join(self.me.clone()));
            }
            return;
        }
        let chosen = self.rng.random_range(0..candidates.len());
        self.notify_presumed_dead(candidates[chosen], out);
        send_message(out, candidates[chosen], Message::Join(self.me.clone()));
    }

    fn send_table(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let mut members = vec![self.me.clone()];
        members.extend(self.table.members());
        for part in members.chunks(MAX_TABLE_PART_MEMBERS) {
            send_message(out, to, Message::Table(part.to_vec()));
        }
    }

    fn make_probe(&mut self, sequence: u32) -> Probe {
        let mut gossip = vec![self.me.clone()];
        gossip.extend(self.table.take_gossip(MAX_GOSSIP_MEMBERS - 1));
        Probe {
            sequence,
            digest: self.digest(),
            config_index: self.config_index,
            gossip,
        }
    }

    /// Returns the digest of the table and this VM, which is equal on VMs with equal tables.
    fn digest(&self) -> u32 {
        self.table.digest() ^ self.me.digest()
    }

    fn allocate_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

/// Applies a member's state to the view.
fn update_view(view: &mut View, member: &Member) {
    match member.state {
        State::Dead => {
            if view.vms.remove(&member.name).is_some() {
                view.number += 1;
            }
        }
        State::Alive | State::Leaving | State::Suspect => {
            let mut vm = Vm::new(member.name.clone(), member.domain.clone(), member.address);
            let old = view.vms.get(&member.name);
            // A suspicion does not tell whether the VM is leaving.
            vm.leaving = match member.state {
                State::Suspect => old.is_some_and(|vm| vm.leaving),
                state => state == State::Leaving,
            };
            if old != Some(&vm) {
                view.vms.insert(member.name.clone(), vm);
                view.number += 1;
            }
        }
    }
}

fn send_message(out: &mut Vec<Action>, to: SocketAddr, message: Message) {
    let message = io::Message::Membership(message);
    out.push(Action::Send { to, message });
}
