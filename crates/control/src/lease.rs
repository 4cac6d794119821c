//! Which entry VMs live, and what is in force at each.
//!
//! Each control VM keeps the beats of the entry VMs whose streams it holds, and learns of the
//! others from the other control VMs. All of it is soft state: it is rebuilt from beats.
//!
//! Times are milliseconds since the start of this process.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{
    delivery::{HEARTBEAT_INTERVAL_MS, Heartbeat, Hello, LEASE_MS},
    name::Name,
};
use serde::{Deserialize, Serialize};

use crate::exchange::TELL_MS;

/// Longest time for which a control VM that was cut off still takes itself to be in touch, in
/// milliseconds: the longest election timeout of its replica.
const CUT_OFF_MS: u64 = 1_200;

/// What scheduling and the network may add, in milliseconds.
const SLACK_MS: u64 = 600;

/// Time that an entry VM counts as live after its last beat, in milliseconds.
///
/// An entry VM measures [`LEASE_MS`] from the last answer that it got. Behind a cut, that may come
/// [`CUT_OFF_MS`] after the cut, while the last beat that is known here may lie [`HEARTBEAT_INTERVAL_MS`] and
/// [`TELL_MS`] before it.
pub const LIVE_MS: u64 = LEASE_MS + CUT_OFF_MS + HEARTBEAT_INTERVAL_MS + TELL_MS + SLACK_MS;

/// Time after which an entry VM that is gone is forgotten, in milliseconds.
pub const FORGET_MS: u64 = 600_000;

/// Age up to which what another control VM said counts as complete, in milliseconds.
const FRESH_MS: u64 = 1_000;

/// An entry VM as some control VM heard it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Name of the entry VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Where it serves its state dump over HTTP.
    pub http_address: SocketAddr,
    /// What is in force there.
    pub beat: Heartbeat,
    /// Time since its last beat, in milliseconds.
    pub age_ms: u64,
    /// Whether it said that it stops.
    pub stopped: bool,
}

/// One line of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Line {
    heard: Heard,
    /// When its last beat arrived somewhere, by this process's clock.
    at_ms: u64,
    /// Whether this control VM heard it itself.
    direct: bool,
}

/// All entry VMs that this control VM knows of.
#[derive(Debug, Default)]
pub struct Table {
    lines: BTreeMap<Name, Line>,
    /// When each other control VM last told what it hears.
    told_ms: BTreeMap<Name, u64>,
}

impl Table {
    /// Takes the greeting of an entry VM.
    pub fn hello(&mut self, now_ms: u64, hello: &Hello) {
        let heard = Heard {
            vm: hello.vm.clone(),
            domain: hello.domain.clone(),
            incarnation: hello.incarnation,
            http_address: hello.http_address,
            beat: Heartbeat {
                index: hello.index,
                needed: BTreeMap::new(),
            },
            age_ms: 0,
            stopped: false,
        };
        self.put(now_ms, heard, true);
    }

    /// Takes a beat of an entry VM that greeted before.
    pub fn beat(&mut self, now_ms: u64, vm: &Name, beat: Heartbeat) {
        if let Some(line) = self.lines.get_mut(vm) {
            line.heard.beat = beat;
            line.heard.stopped = false;
            line.at_ms = now_ms;
            line.direct = true;
        }
    }

    /// Ends the lease of an entry VM that stops on purpose.
    pub fn goodbye(&mut self, now_ms: u64, vm: &Name) {
        if let Some(line) = self.lines.get_mut(vm) {
            line.heard.stopped = true;
            line.at_ms = now_ms;
        }
    }

    /// What this control VM heard itself since `since_ms`, for the other control VMs.
    #[must_use]
    pub fn digest(&self, now_ms: u64, since_ms: u64) -> Vec<Heard> {
        self.lines
            .values()
            .filter(|line| line.direct && line.at_ms >= since_ms)
            .map(|line| Heard {
                age_ms: now_ms.saturating_sub(line.at_ms),
                ..line.heard.clone()
            })
            .collect()
    }

    /// Takes what the control VM `from` heard.
    pub fn absorb(&mut self, now_ms: u64, from: &Name, digest: Vec<Heard>) {
        self.told_ms.insert(from.clone(), now_ms);
        for heard in digest {
            let at_ms = now_ms.saturating_sub(heard.age_ms);
            self.put(at_ms, heard, false);
        }
    }

    /// Keeps the newer of two words about one entry VM.
    fn put(&mut self, at_ms: u64, heard: Heard, direct: bool) {
        let newer = self
            .lines
            .get(&heard.vm)
            .is_none_or(|line| (heard.incarnation, at_ms) >= (line.heard.incarnation, line.at_ms));
        if newer {
            let line = Line {
                at_ms,
                direct,
                heard: heard.clone(),
            };
            self.lines.insert(heard.vm, line);
        }
    }

    /// Drops entry VMs that are long gone.
    pub fn forget(&mut self, now_ms: u64) {
        self.lines.retain(|_, line| now_ms < line.at_ms + FORGET_MS);
    }

    /// Entry VMs whose lease runs.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Heard> {
        let lives =
            move |line: &&Line| !line.heard.stopped && now_ms < line.at_ms.saturating_add(LIVE_MS);
        self.lines.values().filter(lives).map(|line| &line.heard)
    }

    /// All entry VMs, with their ages up to date.
    pub fn all(&self, now_ms: u64) -> impl Iterator<Item = Heard> {
        self.lines.values().map(move |line| Heard {
            age_ms: now_ms.saturating_sub(line.at_ms),
            ..line.heard.clone()
        })
    }

    /// Live entry VMs that decide by an older configuration than `index`.
    #[must_use]
    pub fn missing(&self, now_ms: u64, index: u64) -> Vec<Name> {
        self.live(now_ms)
            .filter(|heard| heard.beat.index < index)
            .map(|heard| heard.vm.clone())
            .collect()
    }

    /// Whether every entry VM whose lease may run is in the table.
    ///
    /// An entry VM is missing when it greeted before this process started, or when it greeted a
    /// control VM that has not told of it: one that tells nothing now, but did within a lease.
    #[must_use]
    pub fn is_complete(&self, now_ms: u64) -> bool {
        let told = |at_ms: &u64| {
            let age_ms = now_ms.saturating_sub(*at_ms);
            age_ms <= FRESH_MS || age_ms >= LIVE_MS
        };
        now_ms >= LIVE_MS && self.told_ms.values().all(told)
    }
}
