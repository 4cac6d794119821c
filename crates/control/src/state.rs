//! What the parts of the daemon share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use delivery::delta::History;
use model::{
    config::Config,
    name::Name,
    routing::{Finding, Probed},
};
use tokio::sync::{Notify, broadcast, watch};

use crate::{
    announcement_table, candidates, lease,
    probe_reports::{ProbeUpdate, ReportRelay, Reporter},
    replica::Handle,
};

/// State that streams feed and that the RPC, the leader's steps and the dump read; clones share
/// it.
#[derive(Debug, Clone)]
pub struct State {
    /// Name of this control VM.
    pub name: Name,
    /// This control VM's replica.
    pub replica: Handle,
    /// The configuration as entry VMs get it: without the answers and the plan, which have their own readers.
    pub delivered: watch::Receiver<History>,
    /// Told whenever `soft` changes in a way that may make a step due.
    pub changed: Arc<Notify>,
    soft: Arc<Mutex<SoftState>>,
    started: Instant,
    /// Revision of what upstreams announced here.
    announcement_revision: watch::Sender<u64>,
    /// What entry VMs found out about upstreams, for the others.
    probes: broadcast::Sender<ProbeUpdate>,
    /// Failure domain of this control VM.
    pub domain: Name,
    /// Port at which control VMs take streams of entry VMs; the same on all.
    delivery_port: u16,
}

/// State that is rebuilt from beats and announcements.
#[derive(Debug)]
pub struct SoftState {
    /// Entry VMs.
    pub vms: lease::LeaseTable,
    /// Announced upstreams.
    pub upstreams: candidates::CandidateTable,
    /// Upstreams that announce themselves to this control VM.
    pub announcements: announcement_table::AnnouncementTable,
    /// When this control VM last knew a leader.
    pub last_leader_ms: Option<u64>,
    /// Which of what entry VMs find out is news, and who listens.
    pub relay: ReportRelay,
}

/// Time without a leader after which upstreams are sent to another control VM, in milliseconds.
const MAX_LEADERLESS_MS: u64 = 2_500;

/// Time between two announcements of an upstream where the settings name none, in milliseconds.
const DEFAULT_ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// News that a stream may have waiting; one that lags behind misses the oldest.
const MAX_QUEUED_PROBES: usize = 1_024;

impl State {
    /// Starts with no soft state.
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
            })),
            started: Instant::now(),
            announcement_revision: watch::Sender::new(0),
            probes: broadcast::Sender::new(MAX_QUEUED_PROBES),
            domain: Name::unknown(),
            delivery_port: 0,
        }
    }

    /// Adds what the platform's callers need: a table for the announcements of upstreams, this VM's
    /// failure domain, and the port at which control VMs take streams of entry VMs.
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

    /// Changes what is heard of upstreams, and tells the streams of entry VMs where that is new.
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

    /// Takes what an entry VM found out. Returns whether all others are told.
    pub fn relay_probe(&self, reporter: &Arc<Reporter>, finding: Finding) -> bool {
        let for_all_domains =
            self.record_probe(finding.upstream.id, &reporter.domain, finding.probed);
        // Without a stream there is nobody to tell.
        let queued = self.probes.send(ProbeUpdate::Probe {
            reporter: Arc::clone(reporter),
            finding,
            received_at: Instant::now(),
            for_all_domains,
        });
        for_all_domains && queued.is_ok()
    }

    /// Takes that an entry VM of the build before found upstream `id` down. Returns whether the
    /// others are told.
    pub fn relay_legacy_down(&self, id: u64) -> bool {
        let for_all_domains = self.record_probe(id, &Name::unknown(), Probed::Silent);
        for_all_domains && self.probes.send(ProbeUpdate::LegacyDown(id)).is_ok()
    }

    fn record_probe(&self, id: u64, domain: &Name, probed: Probed) -> bool {
        let now_ms = self.now_ms();
        self.soft_state()
            .relay
            .record_probe(now_ms, id, domain, probed)
    }

    /// Watches what entry VMs find out.
    #[must_use]
    pub fn watch_probes(&self) -> broadcast::Receiver<ProbeUpdate> {
        self.probes.subscribe()
    }

    /// Watches the revision of what is heard of upstreams.
    #[must_use]
    pub fn watch_revision(&self) -> watch::Receiver<u64> {
        self.announcement_revision.subscribe()
    }

    /// Whether what upstreams say here reaches the others: a leader was known lately.
    #[must_use]
    pub fn can_reach_cluster(&self) -> bool {
        let now_ms = self.now_ms();
        // One that has just started looks for a leader first.
        let last_leader_ms = self.soft_state().last_leader_ms.unwrap_or_default();
        self.knows_leader() || now_ms < last_leader_ms + MAX_LEADERLESS_MS
    }

    /// Where the control VMs of the cluster take streams of entry VMs.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let status = self.replica.status();
        let members = status.voters.iter().chain(&status.learners);
        let addresses = members.filter_map(|name| name.parse::<SocketAddr>().ok());
        let mut controls: Vec<SocketAddr> = addresses
            .map(|address| SocketAddr::new(address.ip(), self.delivery_port))
            .collect();
        controls.sort_unstable();
        controls.dedup();
        controls
    }

    /// Milliseconds since the start of this process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the soft state; hold it for a moment only.
    pub fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this control VM knows a leader, so that it may renew entry VMs' trust in their
    /// configuration.
    #[must_use]
    pub fn knows_leader(&self) -> bool {
        let status = self.replica.status();
        status.is_leader || status.leader.is_some()
    }
}

/// The configuration as entry VMs get it.
///
/// Invariant: equal for equal indices, as on every control VM.
#[must_use]
pub fn config_for_entry_vms(config: &Config) -> Arc<Config> {
    let mut config = config.clone();
    config.answers.clear();
    config.plan = None;
    Arc::new(config)
}

/// Follows the replica's configuration and publishes it in the form that entry VMs get.
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
