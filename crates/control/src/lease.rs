//! Leases of entry VMs, and the configuration that is in force at each.
//!
//! Each control VM records the heartbeats of the entry VMs whose streams it serves, and learns of
//! the other entry VMs from the other control VMs. All of this is soft state, which is rebuilt from
//! heartbeats.
//!
//! Times are milliseconds since the start of this process.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{
    delivery::{HEARTBEAT_INTERVAL_MS, Heartbeat, Hello, LEASE_MS},
    name::Name,
};
use serde::{Deserialize, Serialize};

use crate::soft_state_sync::DIGEST_INTERVAL_MS;

/// Maximum time for which a control VM that was cut off still considers its leader known, in
/// milliseconds: the longest election timeout of its replica.
const MAX_STALE_LEADER_MS: u64 = 1_200;

/// Allowance for scheduling and network delays, in milliseconds.
const SLACK_MS: u64 = 600;

/// Time for which an entry VM counts as live after its last heartbeat, in milliseconds.
///
/// An entry VM measures [`LEASE_MS`] from the last answer that it received. During a network
/// partition, that answer may arrive up to [`MAX_STALE_LEADER_MS`] after the partition began, while
/// the last heartbeat known here may be up to [`HEARTBEAT_INTERVAL_MS`] and [`DIGEST_INTERVAL_MS`] older than the
/// partition.
pub const LIVENESS_MS: u64 =
    LEASE_MS + MAX_STALE_LEADER_MS + HEARTBEAT_INTERVAL_MS + DIGEST_INTERVAL_MS + SLACK_MS;

/// Time after which an entry VM without heartbeats is removed from the table, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// Maximum age of another control VM's digest for which its entry VMs count as known, in
/// milliseconds.
const DIGEST_FRESH_MS: u64 = 1_000;

/// State of an entry VM as reported by a control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVmRecord {
    /// Name of the entry VM.
    pub vm: Name,
    /// Failure domain of the entry VM.
    pub domain: Name,
    /// Incarnation of the entry VM's process, which grows with each start.
    pub incarnation: u64,
    /// Address at which the entry VM serves its state dump over HTTP.
    pub http_address: SocketAddr,
    /// Last heartbeat: the configuration index and generations in use at the entry VM.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// Time since the last heartbeat, in milliseconds.
    pub age_ms: u64,
    /// Whether the entry VM has announced that it stops.
    pub stopped: bool,
}

/// The lease of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lease {
    record: EntryVmRecord,
    /// Time of the last heartbeat at any control VM, on the clock of this process.
    heartbeat_at_ms: u64,
    /// Whether the last heartbeat arrived at this control VM.
    is_direct: bool,
}

/// Leases of all entry VMs that this control VM knows.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Name, Lease>,
    /// Time at which the last digest of each other control VM arrived.
    digest_received_ms: BTreeMap<Name, u64>,
}

impl LeaseTable {
    /// Records the hello of an entry VM.
    pub fn record_hello(&mut self, now_ms: u64, hello: &Hello) {
        let record = EntryVmRecord {
            vm: hello.vm.clone(),
            domain: hello.domain.clone(),
            incarnation: hello.incarnation,
            http_address: hello.http_address,
            heartbeat: Heartbeat {
                index: hello.index,
                needed: BTreeMap::new(),
            },
            age_ms: 0,
            stopped: false,
        };
        self.insert_newer(now_ms, record, true);
    }

    /// Records a heartbeat of an entry VM that has sent a hello before.
    pub fn record_heartbeat(&mut self, now_ms: u64, vm: &Name, beat: Heartbeat) {
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.record.heartbeat = beat;
            lease.record.stopped = false;
            lease.heartbeat_at_ms = now_ms;
            lease.is_direct = true;
        }
    }

    /// Ends the lease of an entry VM that stops.
    pub fn record_leave(&mut self, now_ms: u64, vm: &Name) {
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.record.stopped = true;
            lease.heartbeat_at_ms = now_ms;
        }
    }

    /// Returns the entry VMs that this control VM heard directly since `since_ms`, for the other
    /// control VMs.
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

    /// Merges the digest of the control VM `from`.
    pub fn merge_digest(&mut self, now_ms: u64, from: &Name, digest: Vec<EntryVmRecord>) {
        self.digest_received_ms.insert(from.clone(), now_ms);
        for record in digest {
            let heartbeat_at_ms = now_ms.saturating_sub(record.age_ms);
            self.insert_newer(heartbeat_at_ms, record, false);
        }
    }

    /// Inserts a record unless the table holds a newer one of the same entry VM.
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

    /// Removes entry VMs whose last heartbeat is older than [`RETENTION_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.leases
            .retain(|_, lease| now_ms < lease.heartbeat_at_ms + RETENTION_MS);
    }

    /// Iterates over the entry VMs whose lease has not expired.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &EntryVmRecord> {
        let is_live = move |lease: &&Lease| {
            !lease.record.stopped && now_ms < lease.heartbeat_at_ms.saturating_add(LIVENESS_MS)
        };
        self.leases
            .values()
            .filter(is_live)
            .map(|lease| &lease.record)
    }

    /// Iterates over all entry VMs, with their current ages.
    pub fn all(&self, now_ms: u64) -> impl Iterator<Item = EntryVmRecord> {
        self.leases.values().map(move |lease| EntryVmRecord {
            age_ms: now_ms.saturating_sub(lease.heartbeat_at_ms),
            ..lease.record.clone()
        })
    }

    /// Returns the live entry VMs whose configuration is older than `index`.
    #[must_use]
    pub fn live_vms_behind(&self, now_ms: u64, index: u64) -> Vec<Name> {
        self.live(now_ms)
            .filter(|record| record.heartbeat.index < index)
            .map(|record| record.vm.clone())
            .collect()
    }

    /// Reports whether the table contains every entry VM whose lease may be running.
    ///
    /// The table may lack an entry VM that connected before this process started, or that connected
    /// to a control VM which has since fallen silent: no digest for [`DIGEST_FRESH_MS`], but one
    /// within [`LIVENESS_MS`].
    #[must_use]
    pub fn knows_all_live_vms(&self, now_ms: u64) -> bool {
        let is_settled = |received_ms: &u64| {
            let age_ms = now_ms.saturating_sub(*received_ms);
            age_ms <= DIGEST_FRESH_MS || age_ms >= LIVENESS_MS
        };
        now_ms >= LIVENESS_MS && self.digest_received_ms.values().all(is_settled)
    }
}
