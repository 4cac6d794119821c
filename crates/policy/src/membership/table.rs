//! What a VM has learnt of the others.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{key::hash, name::Name};
use serde::{Deserialize, Serialize};

use crate::time::Instant;

/// Times that news is passed on, per doubling of the number of VMs.
const SPREAD: u32 = 3;

/// A VM as gossip tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Grows with each start of its process and each suspicion that it refutes.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

/// State of a VM. Of two reports the one with the larger incarnation counts, then the later state
/// in this order, so that VMs agree whatever the order in which reports reach them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It stops on purpose.
    Leaving,
    /// It did not answer a probe.
    Suspect,
    /// It did not refute a suspicion, or has stopped.
    Dead,
}

impl State {
    /// Place in the order above.
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
    /// Digest of what VMs must agree on.
    #[must_use]
    pub(super) fn digest(&self) -> u32 {
        let seed = self.incarnation ^ (u64::from(self.state.rank()) << 60);
        let [a, b, c, d, ..] = hash(seed, self.name.as_str().as_bytes()).to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    fn order(&self) -> (u64, u8) {
        (self.incarnation, self.state.rank())
    }
}

/// What came of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Merge {
    /// Nothing new.
    Known,
    /// It changed what this VM knows.
    New,
}

/// The other VMs, by name.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<Name, Row>,
    /// Invariant: the digests of all rows, combined.
    digest: u32,
    /// When a report last changed anything.
    changed: Instant,
}

#[derive(Debug)]
struct Row {
    member: Member,
    since: Instant,
    /// Times that it is still passed on.
    spread: u32,
}

impl Table {
    /// Takes a report.
    pub(super) fn merge(&mut self, now: Instant, member: Member) -> Merge {
        let known = self.rows.get(&member.name);
        if known.is_some_and(|row| row.member.order() >= member.order()) {
            return Merge::Known;
        }
        if let Some(row) = known {
            self.digest ^= row.member.digest();
        }
        self.digest ^= member.digest();
        self.changed = now;
        let row = Row {
            since: now,
            spread: self.spread(),
            member,
        };
        self.rows.insert(row.member.name.clone(), row);
        Merge::New
    }

    /// Passes the report of a VM on no longer.
    pub(super) fn hush(&mut self, name: &Name) {
        if let Some(row) = self.rows.get_mut(name) {
            row.spread = 0;
        }
    }

    /// Suspects a VM; returns the report to show, where it is new.
    pub(super) fn suspect(&mut self, now: Instant, name: &Name) -> Option<Member> {
        let mut member = self.rows.get(name)?.member.clone();
        if member.state >= State::Suspect {
            return None;
        }
        member.state = State::Suspect;
        self.merge(now, member.clone());
        Some(member)
    }

    /// Declares dead whoever has been suspect for `wait_ms`.
    pub(super) fn bury(&mut self, now: Instant, wait_ms: u64) -> Vec<Member> {
        let dead: Vec<Member> = self
            .rows
            .values()
            .filter(|row| row.member.state == State::Suspect)
            .filter(|row| now.ms_since(row.since) >= wait_ms)
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

    /// Lets every suspicion start anew.
    pub(super) fn restart_suspicions(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            row.since = now;
        }
    }

    /// Forgets VMs that have been dead for `after_ms`.
    pub(super) fn forget(&mut self, now: Instant, after_ms: u64) {
        let digest = &mut self.digest;
        self.rows.retain(|_, row| {
            let keep = row.member.state != State::Dead || now.ms_since(row.since) < after_ms;
            if !keep {
                *digest ^= row.member.digest();
            }
            keep
        });
    }

    /// At most `limit` reports to pass on, those first that were passed on least.
    pub(super) fn gossip(&mut self, limit: usize) -> Vec<Member> {
        let mut rows: Vec<&mut Row> = self.rows.values_mut().filter(|r| r.spread > 0).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.spread));
        rows.into_iter()
            .take(limit)
            .map(|row| {
                row.spread -= 1;
                row.member.clone()
            })
            .collect()
    }

    /// Every report.
    pub(super) fn members(&self) -> impl Iterator<Item = Member> {
        self.rows.values().map(|row| row.member.clone())
    }

    /// Reports of the VMs at this address that count as dead.
    pub(super) fn dead_at(&self, address: SocketAddr) -> Vec<Member> {
        let dead = |row: &&Row| row.member.state == State::Dead && row.member.address == address;
        self.rows
            .values()
            .filter(dead)
            .map(|row| row.member.clone())
            .collect()
    }

    /// Time without a report that changed anything, in milliseconds.
    pub(super) fn quiet_ms(&self, now: Instant) -> u64 {
        now.ms_since(self.changed)
    }

    /// Digest of the whole table.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }

    /// Addresses of the VMs whose state `pick` takes.
    pub(super) fn addresses(&self, pick: impl Fn(State) -> bool) -> Vec<SocketAddr> {
        self.rows
            .values()
            .filter(|row| pick(row.member.state))
            .map(|row| row.member.address)
            .collect()
    }

    fn spread(&self) -> u32 {
        SPREAD * (self.rows.len() + 2).ilog2().max(1)
    }
}
