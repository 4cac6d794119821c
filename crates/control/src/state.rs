//! State shared by the parts of the daemon.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use daemon::logs::LineBudget;
use delivery::delta::History;
use model::{
    config::Config,
    name::Name,
    routing::{ControlList, ProbeOutcome, ProbeReport},
};
use tokio::sync::{Notify, broadcast, watch};

use crate::{
    announcement_table,
    audience::Audience,
    candidates, lease,
    plan_terms::TermsCache,
    probe_reports::{ProbeUpdate, ReportRelay, Reporter},
    replica::Handle,
    upstream_lookup::Lookup,
    work_table,
};

/// State that streams write and that the RPC, the maintenance task and the dump read; clones share
/// the same state.
#[derive(Debug, Clone)]
pub struct State {
    /// Name of this control VM.
    pub name: Name,
    /// Replica of this control VM.
    pub replica: Handle,
    /// The configuration as sent to entry VMs: without the answers to commands and the plan, which
    /// have readers of their own.
    pub delivered: watch::Receiver<History>,
    /// Notified when a change of the soft state may make a command due.
    pub changed: Arc<Notify>,
    soft: Arc<Mutex<SoftState>>,
    started: Instant,
    /// Revision of the announcement table.
    announcement_revision: watch::Sender<u64>,
    /// Probe results of entry VMs, for the streams of the other entry VMs.
    probes: broadcast::Sender<ProbeUpdate>,
    /// Rounds of the work table, for the streams of all entry VMs.
    rounds: broadcast::Sender<Arc<work_table::Round>>,
    /// Lookups of upstreams that other control VMs hear.
    pub lookup: Lookup,
    /// Failure domain of this control VM.
    pub domain: Name,
    /// Terms of the plan in force, as sent to entry VMs.
    pub terms: TermsCache,
    /// Port at which control VMs accept streams of entry VMs, the same on all control VMs.
    delivery_port: u16,
}

/// Soft state, which is rebuilt from heartbeats and announcements.
#[derive(Debug)]
pub struct SoftState {
    /// Leases of entry VMs.
    pub vms: lease::LeaseTable,
    /// Upstreams that operators can admit.
    pub upstreams: candidates::CandidateTable,
    /// Upstreams that announce themselves to this control VM.
    pub announcements: announcement_table::AnnouncementTable,
    /// Time at which this control VM last knew a leader, in milliseconds.
    pub last_leader_ms: Option<u64>,
    /// Relayed probe results and connected entry VMs.
    pub relay: ReportRelay,
    /// Flows and work that entry VMs have placed on upstreams.
    pub work: work_table::Table,
    /// Streams of entry VMs, which decide whether announcements are accepted.
    pub audience: Audience,
    /// Limit on log lines about invalid calls and announcements, which anyone can send.
    invalid_lines: LineBudget,
}

/// Highest number of log lines a second about invalid calls and announcements.
const INVALID_LINES_PER_SECOND: u32 = 10;

/// Maximum number of rounds of the work table queued for a stream; a stream that lags behind gets the
/// full state.
const MAX_QUEUED_ROUNDS: usize = 4;

/// Time without a leader after which upstreams are sent to another control VM, in milliseconds.
const MAX_LEADERLESS_MS: u64 = 2_500;

/// Interval between two announcements of an upstream if the settings give none, in milliseconds.
const DEFAULT_ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// Maximum number of probe results queued for a stream; a stream that lags behind loses the oldest.
const MAX_QUEUED_PROBES: usize = 1_024;

impl State {
    /// Returns a state without any soft state.
    #[must_use]
    pub fn new(name: Name, replica: Handle, delivered: watch::Receiver<History>) -> Self {
        Self {
            name,
            replica,
            delivered,
            changed: Arc::default(),
            soft: Arc::new(Mutex::new(SoftState {
                vms: lease::LeaseTable::default(),
                upstreams: candidates::CandidateTable::default(),
                announcements: announcement_table::AnnouncementTable::new(
                    DEFAULT_ANNOUNCE_INTERVAL_MS,
                ),
                last_leader_ms: None,
                relay: ReportRelay::default(),
                work: work_table::Table::default(),
                audience: Audience::default(),
                invalid_lines: LineBudget::new("invalid", INVALID_LINES_PER_SECOND),
            })),
            started: Instant::now(),
            announcement_revision: watch::Sender::new(0),
            probes: broadcast::Sender::new(MAX_QUEUED_PROBES),
            rounds: broadcast::Sender::new(MAX_QUEUED_ROUNDS),
            lookup: Lookup::default(),
            domain: Name::unknown(),
            terms: TermsCache::default(),
            delivery_port: 0,
        }
    }

    /// Adds the state that the HTTP API needs: an announcement table, the failure domain of this
    /// VM, and the port at which control VMs accept streams of entry VMs.
    #[must_use]
    pub fn with_announcements(
        mut self,
        announcements: announcement_table::AnnouncementTable,
        domain: Name,
        delivery_port: u16,
    ) -> Self {
        self.soft_state().announcements = announcements;
        self.domain = domain;
        self.delivery_port = delivery_port;
        self
    }

    /// Changes the announcement table, and notifies the streams of entry VMs if its revision
    /// changed.
    pub fn update_announcements<T>(
        &self,
        change: impl FnOnce(&mut announcement_table::AnnouncementTable, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let mut soft = self.soft_state();
        let outcome = change(&mut soft.announcements, now_ms);
        let revision = soft.announcements.revision();
        drop(soft);
        self.announcement_revision.send_if_modified(|published| {
            let is_changed = *published != revision;
            *published = revision;
            is_changed
        });
        outcome
    }

    /// Queues a probe result for the streams of entry VMs. Returns whether it goes to all failure
    /// domains.
    pub fn relay_probe(&self, reporter: &Arc<Reporter>, finding: ProbeReport) -> bool {
        let for_all_domains =
            self.record_probe(finding.upstream.id, &reporter.domain, finding.probed);
        // Sending fails when no entry VM is connected.
        let queued = self.probes.send(ProbeUpdate::Probe {
            reporter: Arc::clone(reporter),
            finding,
            received_at: Instant::now(),
            for_all_domains,
        });
        for_all_domains && queued.is_ok()
    }

    /// Queues a failure of upstream `id` that an entry VM of the previous build reported. Returns
    /// whether the failure is relayed.
    pub fn relay_legacy_down(&self, id: u64) -> bool {
        let for_all_domains = self.record_probe(id, &Name::unknown(), ProbeOutcome::Silent);
        for_all_domains && self.probes.send(ProbeUpdate::LegacyDown(id)).is_ok()
    }

    fn record_probe(&self, id: u64, domain: &Name, probed: ProbeOutcome) -> bool {
        let now_ms = self.now_ms();
        self.soft_state()
            .relay
            .record_probe(now_ms, id, domain, probed)
    }

    /// Returns a receiver of probe results.
    #[must_use]
    pub fn watch_probes(&self) -> broadcast::Receiver<ProbeUpdate> {
        self.probes.subscribe()
    }

    /// Queues the next round of the work table for the streams of entry VMs. Returns the round.
    pub fn publish_work(&self) -> Arc<work_table::Round> {
        let now_ms = self.now_ms();
        let round = Arc::new(self.soft_state().work.next_round(now_ms));
        // Sending fails when no entry VM is connected.
        drop(self.rounds.send(Arc::clone(&round)));
        round
    }

    /// Returns a receiver of the rounds of the work table.
    #[must_use]
    pub fn watch_work(&self) -> broadcast::Receiver<Arc<work_table::Round>> {
        self.rounds.subscribe()
    }

    /// Returns a receiver of the announcement table's revision.
    #[must_use]
    pub fn watch_revision(&self) -> watch::Receiver<u64> {
        self.announcement_revision.subscribe()
    }

    /// Reports whether announcements received here reach the cluster: a leader is known or was
    /// known within [`MAX_LEADERLESS_MS`].
    #[must_use]
    pub fn can_reach_cluster(&self) -> bool {
        let now_ms = self.now_ms();
        // A process that has just started needs time to find a leader, so the time counts from its
        // start.
        let last_leader_ms = self.soft_state().last_leader_ms.unwrap_or_default();
        self.knows_leader() || now_ms < last_leader_ms + MAX_LEADERLESS_MS
    }

    /// Reports whether announcements received here reach an entry VM; see [`Audience`].
    #[must_use]
    pub fn can_reach_entry_vms(&self) -> bool {
        let now_ms = self.now_ms();
        self.soft_state().audience.is_reached(now_ms)
    }

    /// Returns the control VMs of the cluster, with the addresses at which they accept streams of
    /// entry VMs.
    #[must_use]
    pub fn control_list(&self) -> ControlList {
        let members = self.replica.status().members;
        let peers = members
            .names
            .iter()
            .filter_map(|name| name.parse::<SocketAddr>().ok());
        let mut addresses: Vec<SocketAddr> = peers
            .map(|address| SocketAddr::new(address.ip(), self.delivery_port))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        ControlList {
            version: members.index,
            addresses,
        }
    }

    /// Reports whether a line about an invalid call or announcement may be logged now, and counts the
    /// line as logged.
    #[must_use]
    pub fn may_log_invalid(&self) -> bool {
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.soft_state().invalid_lines.take(now_us)
    }

    /// Returns the milliseconds since the start of this process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the soft state; callers hold the lock only briefly.
    pub fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether this control VM knows a leader, so that it may confirm to entry VMs that
    /// their configuration is current.
    #[must_use]
    pub fn knows_leader(&self) -> bool {
        let status = self.replica.status();
        status.is_leader || status.leader.is_some()
    }
}

/// Returns the configuration as sent to entry VMs.
///
/// Invariant: equal indices give equal configurations on all control VMs.
#[must_use]
pub fn config_for_entry_vms(config: &Config) -> Arc<Config> {
    let mut config = config.clone();
    config.answers.clear();
    config.plan = None;
    Arc::new(config)
}

/// Follows the replica's configuration and publishes it in the form that entry VMs receive.
pub async fn publish_configs(
    mut applied: watch::Receiver<Arc<Config>>,
    delivered: watch::Sender<History>,
) {
    loop {
        let config = applied.borrow_and_update().clone();
        let config = config_for_entry_vms(&config);
        delivered.send_if_modified(|history| {
            let is_newer = config.index > history.newest().index;
            if is_newer {
                history.push(config);
            }
            is_newer
        });
        if applied.changed().await.is_err() {
            return;
        }
    }
}
