//! Which entry VMs live, and what is in force at each.
//!
//! Each control VM keeps the beats of the entry VMs whose streams it holds, and learns of the
//! others from the other control VMs. All of it is soft state: it is rebuilt from beats.
//!
//! Times are milliseconds since the start of this process.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{
    delivery::{BEAT_MS, Beat, Hello, LEASE_MS},
    name::Name,
};
use serde::{Deserialize, Serialize};

use crate::soft_state_sync::DIGEST_INTERVAL_MS;

/// Longest time for which a control VM that was cut off still takes itself to be in touch, in
/// milliseconds: the longest election timeout of its replica.
const MAX_STALE_LEADER_MS: u64 = 1_200;

/// What scheduling and the network may add, in milliseconds.
const SLACK_MS: u64 = 600;

/// Time that an entry VM counts as live after its last beat, in milliseconds.
///
/// An entry VM measures [`LEASE_MS`] from the last answer that it got. Behind a cut, that may come
/// [`MAX_STALE_LEADER_MS`] after the cut, while the last beat that is known here may lie [`BEAT_MS`] and
/// [`DIGEST_INTERVAL_MS`] before it.
pub const LIVENESS_MS: u64 =
    LEASE_MS + MAX_STALE_LEADER_MS + BEAT_MS + DIGEST_INTERVAL_MS + SLACK_MS;

/// Time after which an entry VM that is gone is forgotten, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// Age up to which what another control VM said counts as complete, in milliseconds.
const DIGEST_FRESH_MS: u64 = 1_000;

/// An entry VM as some control VM heard it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVmRecord {
    /// Name of the entry VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Where it serves its state dump over HTTP.
    pub http_address: SocketAddr,
    /// What is in force there.
    #[serde(rename = "beat")]
    pub heartbeat: Beat,
    /// Time since its last beat, in milliseconds.
    pub age_ms: u64,
    /// Whether it said that it stops.
    pub stopped: bool,
}

/// One line of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lease {
    record: EntryVmRecord,
    /// When its last beat arrived somewhere, by this process's clock.
    heartbeat_at_ms: u64,
    /// Whether this control VM heard it itself.
    is_direct: bool,
}

/// All entry VMs that this control VM knows of.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Name, Lease>,
    /// When each other control VM last told what it hears.
    digest_received_ms: BTreeMap<Name, u64>,
}

impl LeaseTable {
    /// Takes the greeting of an entry VM.
    pub fn record_hello(&mut self, now_ms: u64, hello: &Hello) {
        let record = EntryVmRecord {
            vm: hello.vm.clone(),
            domain: hello.domain.clone(),
            incarnation: hello.incarnation,
            http_address: hello.http_address,
            heartbeat: Beat {
                index: hello.index,
                needed: BTreeMap::new(),
            },
            age_ms: 0,
            stopped: false,
        };
        self.insert_newer(now_ms, record, true);
    }

    /// Takes a beat of an entry VM that greeted before.
    pub fn record_heartbeat(&mut self, now_ms: u64, vm: &Name, beat: Beat) {
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.record.heartbeat = beat;
            lease.record.stopped = false;
            lease.heartbeat_at_ms = now_ms;
            lease.is_direct = true;
        }
    }

    /// Ends the lease of an entry VM that stops on purpose.
    pub fn record_leave(&mut self, now_ms: u64, vm: &Name) {
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.record.stopped = true;
            lease.heartbeat_at_ms = now_ms;
        }
    }

    /// What this control VM heard itself since `since_ms`, for the other control VMs.
    #[must_use]
    pub fn digest(&self, now_ms: u64, since_ms: u64) -> Vec<EntryVmRecord> {
        self.leases
            .values()
            .filter(|lease| lease.is_direct && lease.heartbeat_at_ms >= since_ms)
            .map(|lease| EntryVmRecord {
                age_ms: now_ms.saturating_sub(lease.heartbeat_at_ms),
                ..lease.record.clone()
            })
            .collect()
    }

    /// Takes what the control VM `from` heard.
    pub fn merge_digest(&mut self, now_ms: u64, from: &Name, digest: Vec<EntryVmRecord>) {
        self.digest_received_ms.insert(from.clone(), now_ms);
        for record in digest {
            let heartbeat_at_ms = now_ms.saturating_sub(record.age_ms);
            self.insert_newer(heartbeat_at_ms, record, false);
        }
    }

    /// Keeps the newer of two words about one entry VM.
    fn insert_newer(&mut self, heartbeat_at_ms: u64, record: EntryVmRecord, is_direct: bool) {
        let is_newer = self.leases.get(&record.vm).is_none_or(|lease| {
            (record.incarnation, heartbeat_at_ms)
                >= (lease.record.incarnation, lease.heartbeat_at_ms)
        });
        if is_newer {
            let lease = Lease {
                heartbeat_at_ms,
                is_direct,
                record: record.clone(),
            };
            self.leases.insert(record.vm, lease);
        }
    }

    /// Drops entry VMs that are long gone.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.leases
            .retain(|_, lease| now_ms < lease.heartbeat_at_ms + RETENTION_MS);
    }

    /// Entry VMs whose lease runs.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &EntryVmRecord> {
        let is_live = move |lease: &&Lease| {
            !lease.record.stopped && now_ms < lease.heartbeat_at_ms.saturating_add(LIVENESS_MS)
        };
        self.leases
            .values()
            .filter(is_live)
            .map(|lease| &lease.record)
    }

    /// All entry VMs, with their ages up to date.
    pub fn all(&self, now_ms: u64) -> impl Iterator<Item = EntryVmRecord> {
        self.leases.values().map(move |lease| EntryVmRecord {
            age_ms: now_ms.saturating_sub(lease.heartbeat_at_ms),
            ..lease.record.clone()
        })
    }

    /// Live entry VMs that decide by an older configuration than `index`.
    #[must_use]
    pub fn live_vms_behind(&self, now_ms: u64, index: u64) -> Vec<Name> {
        self.live(now_ms)
            .filter(|record| record.heartbeat.index < index)
            .map(|record| record.vm.clone())
            .collect()
    }

    /// Whether every entry VM whose lease may run is in the table.
    ///
    /// An entry VM is missing when it greeted before this process started, or when it greeted a
    /// control VM that has not told of it: one that tells nothing now, but did within a lease.
    #[must_use]
    pub fn knows_all_live_vms(&self, now_ms: u64) -> bool {
        let is_settled = |heartbeat_at_ms: &u64| {
            let age_ms = now_ms.saturating_sub(*heartbeat_at_ms);
            age_ms <= DIGEST_FRESH_MS || age_ms >= LIVENESS_MS
        };
        now_ms >= LIVENESS_MS && self.digest_received_ms.values().all(is_settled)
    }
}
