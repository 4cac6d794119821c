//! The member table: the latest known state of every other VM.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{key::hash, name::Name};
use serde::{Deserialize, Serialize};

use crate::time::Instant;

/// Number of times that an update is gossiped, per doubling of the number of VMs.
const GOSSIP_FACTOR: u32 = 3;

/// The state of a VM as carried by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address on which the VM receives datagrams of other entry VMs.
    pub address: SocketAddr,
    /// Number that grows with each start of the process and each suspicion that the VM refutes.
    pub incarnation: u64,
    /// State of the VM.
    pub state: State,
}

/// State of a VM. Of two updates, the larger incarnation wins, then the later state in this order,
/// so that all VMs agree in whatever order updates reach them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The VM answers probes.
    Alive,
    /// The VM announced that it is shutting down.
    Leaving,
    /// The VM did not answer a probe.
    Suspect,
    /// The VM did not refute a suspicion in time, or announced that its process exits.
    Dead,
}

impl State {
    /// Returns the position in the order of the variants.
    #[must_use]
    pub fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Leaving => 1,
            Self::Suspect => 2,
            Self::Dead => 3,
        }
    }
}

impl Member {
    /// Returns a digest of name, incarnation and state, on which VMs must agree.
    #[must_use]
    pub(super) fn digest(&self) -> u32 {
        let seed = self.incarnation ^ (u64::from(self.state.rank()) << 60);
        let [a, b, c, d, ..] = hash(seed, self.name.as_str().as_bytes()).to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    fn precedence(&self) -> (u64, u8) {
        (self.incarnation, self.state.rank())
    }
}

/// The result of merging an update into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Merge {
    /// The update is not newer than the table's row.
    Known,
    /// The update changed the table.
    New,
}

/// The latest known state of every other VM, by name.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<Name, Row>,
    /// Invariant: XOR of the digests of all rows.
    digest: u32,
    /// Time of the last update that changed the table.
    last_changed: Instant,
}

#[derive(Debug)]
struct Row {
    member: Member,
    state_since: Instant,
    /// Number of times that the member is still to be gossiped.
    sends_left: u32,
}

impl Table {
    /// Applies an update if it takes precedence over the row of its VM.
    pub(super) fn merge(&mut self, now: Instant, member: Member) -> Merge {
        let known = self.rows.get(&member.name);
        if known.is_some_and(|row| row.member.precedence() >= member.precedence()) {
            return Merge::Known;
        }
        if let Some(row) = known {
            self.digest ^= row.member.digest();
        }
        self.digest ^= member.digest();
        self.last_changed = now;
        let row = Row {
            state_since: now,
            sends_left: self.initial_sends(),
            member,
        };
        self.rows.insert(row.member.name.clone(), row);
        Merge::New
    }

    /// Stops gossiping the state of a VM.
    pub(super) fn stop_gossip(&mut self, name: &Name) {
        if let Some(row) = self.rows.get_mut(name) {
            row.sends_left = 0;
        }
    }

    /// Marks a VM as suspect; returns its new state, or `None` if the VM is unknown, already
    /// suspect or dead.
    pub(super) fn suspect(&mut self, now: Instant, name: &Name) -> Option<Member> {
        let mut member = self.rows.get(name)?.member.clone();
        if member.state >= State::Suspect {
            return None;
        }
        member.state = State::Suspect;
        self.merge(now, member.clone());
        Some(member)
    }

    /// Marks VMs as dead that have been suspect for `timeout_ms`, and returns them.
    pub(super) fn expire_suspicions(&mut self, now: Instant, timeout_ms: u64) -> Vec<Member> {
        let dead: Vec<Member> = self
            .rows
            .values()
            .filter(|row| row.member.state == State::Suspect)
            .filter(|row| now.ms_since(row.state_since) >= timeout_ms)
            .map(|row| Member {
                state: State::Dead,
                ..row.member.clone()
            })
            .collect();
        for member in &dead {
            self.merge(now, member.clone());
        }
        dead
    }

    /// Restarts the timeout of every suspicion.
    pub(super) fn restart_suspicions(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            row.state_since = now;
        }
    }

    /// Removes VMs that have been dead for `after_ms`.
    pub(super) fn evict_dead(&mut self, now: Instant, after_ms: u64) {
        let digest = &mut self.digest;
        self.rows.retain(|_, row| {
            let keep = row.member.state != State::Dead || now.ms_since(row.state_since) < after_ms;
            if !keep {
                *digest ^= row.member.digest();
            }
            keep
        });
    }

    /// Returns at most `limit` members to gossip, least gossiped first, and counts them as sent.
    pub(super) fn take_gossip(&mut self, limit: usize) -> Vec<Member> {
        let mut rows: Vec<&mut Row> = self
            .rows
            .values_mut()
            .filter(|r| r.sends_left > 0)
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.sends_left));
        rows.into_iter()
            .take(limit)
            .map(|row| {
                row.sends_left -= 1;
                row.member.clone()
            })
            .collect()
    }

    /// Returns all members.
    pub(super) fn members(&self) -> impl Iterator<Item = Member> {
        self.rows.values().map(|row| row.member.clone())
    }

    /// Returns the dead members with this address.
    pub(super) fn dead_members_at(&self, address: SocketAddr) -> Vec<Member> {
        let dead = |row: &&Row| row.member.state == State::Dead && row.member.address == address;
        self.rows
            .values()
            .filter(dead)
            .map(|row| row.member.clone())
            .collect()
    }

    /// Returns the time since an update last changed the table, in milliseconds.
    pub(super) fn ms_since_change(&self, now: Instant) -> u64 {
        now.ms_since(self.last_changed)
    }

    /// Returns the digest of the whole table.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the addresses of the VMs whose state `include` accepts.
    pub(super) fn addresses(&self, include: impl Fn(State) -> bool) -> Vec<SocketAddr> {
        self.rows
            .values()
            .filter(|row| include(row.member.state))
            .map(|row| row.member.address)
            .collect()
    }

    /// Returns how often a new update is gossiped.
    fn initial_sends(&self) -> u32 {
        GOSSIP_FACTOR * (self.rows.len() + 2).ilog2().max(1)
    }
}
