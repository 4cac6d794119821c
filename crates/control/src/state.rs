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
    routing::{ProbeOutcome, ProbeReport},
};
use tokio::sync::{Notify, broadcast, watch};

use crate::{
    announced,
    findings::{Finder, News, Relay},
    heard, lease,
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
    soft: Arc<Mutex<Soft>>,
    started: Instant,
    /// Revision of what upstreams announced here.
    revisions: watch::Sender<u64>,
    /// What entry VMs found out about upstreams, for the others.
    news: broadcast::Sender<News>,
    /// Failure domain of this control VM.
    pub domain: Name,
    /// Port at which control VMs take streams of entry VMs; the same on all.
    delivery_port: u16,
}

/// State that is rebuilt from beats and announcements.
#[derive(Debug)]
pub struct Soft {
    /// Entry VMs.
    pub vms: lease::Table,
    /// Announced upstreams.
    pub upstreams: announced::Table,
    /// Upstreams that announce themselves to this control VM.
    pub heard: heard::Table,
    /// When this control VM last knew a leader.
    pub in_touch_ms: Option<u64>,
    /// Which of what entry VMs find out is news, and who listens.
    pub relay: Relay,
}

/// Time without a leader after which upstreams are sent to another control VM, in milliseconds.
const CUT_OFF_MS: u64 = 2_500;

/// Time between two announcements of an upstream where the settings name none, in milliseconds.
const DEFAULT_ANNOUNCE_MS: u64 = 1_000;

/// News that a stream may have waiting; one that lags behind misses the oldest.
const MAX_NEWS: usize = 1_024;

impl State {
    /// Starts with no soft state.
    #[must_use]
    pub fn new(name: Name, replica: Handle, delivered: watch::Receiver<History>) -> Self {
        Self {
            name,
            replica,
            delivered,
            changed: Arc::default(),
            soft: Arc::new(Mutex::new(Soft {
                vms: lease::Table::default(),
                upstreams: announced::Table::default(),
                heard: heard::Table::new(DEFAULT_ANNOUNCE_MS),
                in_touch_ms: None,
                relay: Relay::default(),
            })),
            started: Instant::now(),
            revisions: watch::Sender::new(0),
            news: broadcast::Sender::new(MAX_NEWS),
            domain: Name::unknown(),
            delivery_port: 0,
        }
    }

    /// Adds what the platform's callers need: a table for the announcements of upstreams, this VM's
    /// failure domain, and the port at which control VMs take streams of entry VMs.
    #[must_use]
    pub fn with_announcements(
        mut self,
        heard: heard::Table,
        domain: Name,
        delivery_port: u16,
    ) -> Self {
        self.soft().heard = heard;
        self.domain = domain;
        self.delivery_port = delivery_port;
        self
    }

    /// Changes what is heard of upstreams, and tells the streams of entry VMs where that is new.
    pub fn hear<T>(&self, change: impl FnOnce(&mut heard::Table, u64) -> T) -> T {
        let now_ms = self.now_ms();
        let mut soft = self.soft();
        let outcome = change(&mut soft.heard, now_ms);
        let revision = soft.heard.revision();
        drop(soft);
        self.revisions.send_if_modified(|shown| {
            let is_new = *shown != revision;
            *shown = revision;
            is_new
        });
        outcome
    }

    /// Takes what an entry VM found out. Returns whether all others are told.
    pub fn found(&self, by: &Arc<Finder>, finding: ProbeReport) -> bool {
        let is_wide = self.is_wide(finding.upstream.id, &by.domain, finding.probed);
        // Without a stream there is nobody to tell.
        let told = self.news.send(News::Found {
            by: Arc::clone(by),
            finding,
            at: Instant::now(),
            is_wide,
        });
        is_wide && told.is_ok()
    }

    /// Takes that an entry VM of the build before found upstream `id` down. Returns whether the
    /// others are told.
    pub fn doubt(&self, id: u64) -> bool {
        let is_wide = self.is_wide(id, &Name::unknown(), ProbeOutcome::Silent);
        is_wide && self.news.send(News::Suspected(id)).is_ok()
    }

    fn is_wide(&self, id: u64, domain: &Name, probed: ProbeOutcome) -> bool {
        let now_ms = self.now_ms();
        self.soft().relay.take(now_ms, id, domain, probed)
    }

    /// Watches what entry VMs find out.
    #[must_use]
    pub fn news(&self) -> broadcast::Receiver<News> {
        self.news.subscribe()
    }

    /// Watches the revision of what is heard of upstreams.
    #[must_use]
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.revisions.subscribe()
    }

    /// Whether what upstreams say here reaches the others: a leader was known lately.
    #[must_use]
    pub fn can_tell(&self) -> bool {
        let now_ms = self.now_ms();
        // One that has just started looks for a leader first.
        let in_touch_ms = self.soft().in_touch_ms.unwrap_or_default();
        self.is_in_touch() || now_ms < in_touch_ms + CUT_OFF_MS
    }

    /// Where the control VMs of the cluster take streams of entry VMs.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
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
    pub fn soft(&self) -> MutexGuard<'_, Soft> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this control VM knows a leader, so that it may renew entry VMs' trust in their
    /// configuration.
    #[must_use]
    pub fn is_in_touch(&self) -> bool {
        let status = self.replica.status();
        status.is_leader || status.leader.is_some()
    }
}

/// The configuration as entry VMs get it.
///
/// Invariant: equal for equal indices, as on every control VM.
#[must_use]
pub fn strip(config: &Config) -> Arc<Config> {
    let mut config = config.clone();
    config.answers.clear();
    config.plan = None;
    Arc::new(config)
}

/// Follows the replica's configuration and publishes it in the form that entry VMs get.
pub async fn publish(mut applied: watch::Receiver<Arc<Config>>, delivered: watch::Sender<History>) {
    loop {
        let config = applied.borrow_and_update().clone();
        let config = strip(&config);
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
