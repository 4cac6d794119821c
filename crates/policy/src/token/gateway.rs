//! What an entry VM knows, and what it decides by that.
//!
//! This file learns plans, announcements and time; `reachability` learns which upstreams answer, from
//! probes and other VMs; `packet` decides on packets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use model::{
    name::Name,
    plan::{Plan, Target},
    routing::{Agreed, Announced, Incarnation, Peers, Probed},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    backoff,
    cache::TtlCache,
    directory::{Directory, Upstream},
    flow::Flow,
    latency::LatencyTable,
    outlier::{OutlierChange, OutlierDetector},
    placement::Selector,
    segment::{Key, Segment},
    sight::{HealthChange, HealthStatus, HealthTable, Probe, ProbeResult},
};
use crate::time::Instant;

mod packet;
pub mod reachability;

/// Time without a packet after which a flow is no longer counted where the plan names none, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Time that a fresh VM waits for further control VMs to tell what they heard, in milliseconds.
const CONTROL_SYNC_WAIT_MS: u64 = 1_000;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Where new flows to an address go.
#[derive(Debug, Clone)]
struct Route {
    /// Services with a share. Invariant: no share is 0.
    targets: Arc<[Target]>,
    /// Deadline of its requests, in milliseconds.
    deadline_ms: u64,
}

/// All that an entry VM knows and decides by.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    plan: Option<Arc<Plan>>,
    routes: BTreeMap<SocketAddrV4, Route>,
    agreed: Agreed,
    directory: Directory,
    health: HealthTable,
    latencies: LatencyTable,
    outliers: OutlierDetector,
    selector: Selector,
    /// Whether most upstreams of a service have still to announce themselves.
    gathering: TtlCache<bool>,
    flows: BTreeMap<Key, Flow>,
    /// What probes of this VM showed and others should know, with when each probe began.
    findings: Vec<(Incarnation, Probed, Instant)>,
    /// When each failure domain was last doubted as a whole.
    doubted: BTreeMap<Name, Instant>,
    /// Number of entry VMs in this failure domain, as each control VM told last.
    peers: BTreeMap<SocketAddr, Peers>,
    /// Packets of clients that wait for upstreams which were found down, and were not yet told.
    waiting: Vec<Segment>,
    random: Pcg64Mcg,
    /// When the first control VM had told all it knew.
    first_synced_at: Option<Instant>,
    is_stopping: bool,
}

impl Gateway {
    /// A gateway that knows nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            plan: None,
            routes: BTreeMap::new(),
            agreed: Agreed::default(),
            directory: Directory::default(),
            health: HealthTable::default(),
            latencies: LatencyTable::default(),
            outliers: OutlierDetector::default(),
            selector: Selector::default(),
            gathering: TtlCache::default(),
            flows: BTreeMap::new(),
            findings: Vec::new(),
            doubted: BTreeMap::new(),
            peers: BTreeMap::new(),
            waiting: Vec::new(),
            first_synced_at: None,
            is_stopping: false,
        }
    }

    /// Takes what a control VM says is agreed on; older news change nothing. Returns whether it
    /// was newer.
    pub fn agree(&mut self, agreed: Agreed) -> bool {
        let is_newer = agreed.index > self.agreed.index;
        if is_newer {
            self.agreed = agreed;
        }
        is_newer
    }

    /// Version of the plan that is to be asked for, if it is newer than the one here.
    #[must_use]
    pub fn plan_version_to_request(&self, told: Option<u64>) -> Option<u64> {
        told.filter(|told| self.plan_version().is_none_or(|held| *told > held))
    }

    /// Takes a plan; an older one changes nothing. Returns whether it was newer.
    pub fn apply_plan(&mut self, plan: Arc<Plan>) -> bool {
        if self.plan_version().is_some_and(|held| plan.version <= held) {
            return false;
        }
        let by_address = plan.routes.iter().map(|route| {
            let targets = route.targets.iter().filter(|t| t.weight > 0);
            let targets = targets.cloned().collect();
            let deadline_ms = route.deadline_ms;
            (
                route.address,
                Route {
                    targets,
                    deadline_ms,
                },
            )
        });
        self.routes = by_address.collect();
        self.selector = Selector::default();
        self.gathering = TtlCache::default();
        let routes = &self.routes;
        self.outliers.retain_routes(|r| routes.contains_key(&r));
        self.plan = Some(plan);
        true
    }

    /// Version of the plan in force here.
    #[must_use]
    pub fn plan_version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// What the cluster has agreed on, as far as it is known here.
    #[must_use]
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// The upstreams that are known.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Number of flows that are counted.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Notes that the stream of `source` has opened.
    pub fn add_control_stream(&mut self, source: SocketAddr) {
        self.directory.add_control_stream(source);
    }

    /// Notes that `source` has told all that it knew.
    pub fn mark_control_stream_synced(&mut self, now: Instant, source: SocketAddr) {
        self.directory.mark_control_stream_synced(source);
        self.first_synced_at.get_or_insert(now);
    }

    /// Notes that the stream of `source` has ended.
    pub fn remove_control_stream(&mut self, now: Instant, source: SocketAddr) {
        self.directory.remove_control_stream(now, source);
        // A VM that is cut off from all goes by what it was told last.
        if self.peers.len() > 1 {
            self.peers.remove(&source);
        }
    }

    /// Takes an announcement; see [`Directory::announce`].
    pub fn announce(
        &mut self,
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) -> bool {
        let id = announced.incarnation.id;
        let state = |upstream: &Upstream| (upstream.announced.incarnation, upstream.has_ended());
        let before = self.directory.get(id).map(state);
        let is_new = self.directory.announce(now, source, announced, age_ms);
        let after = self.directory.get(id).map(state);
        if before.map(|(start, _)| start) != after.map(|(start, _)| start) {
            self.health.reset(id);
            self.outliers.reset(id);
        } else if before != after {
            let backoff_ms = self.random_backoff_ms();
            self.health.schedule_recheck(now, id, backoff_ms);
        }
        is_new
    }

    /// Takes an upstream of before; see [`Directory::recall`].
    pub fn recall(&mut self, now: Instant, announced: Announced) {
        self.directory.recall(now, announced);
    }

    /// Upstreams that are to be probed now.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
        self.health.due_probes(now, &self.directory)
    }

    /// When the next probe may be due; none where none is.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.health.next_probe()
    }

    /// Packets whose clients wait for upstreams that have been found down since the last call, and
    /// are to be told so.
    pub fn take_pending_resets(&mut self) -> Vec<Segment> {
        std::mem::take(&mut self.waiting)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.directory.tick(now);
        self.health.retain(&self.directory);
        let directory = &self.directory;
        self.latencies.retain(|id| directory.get(id).is_some());
        self.outliers.retain(|id| directory.get(id).is_some());
        self.expire_requests(now);
        let idle_ms = self.plan.as_ref().map_or(DEFAULT_IDLE_MS, |p| p.idle_ms);
        self.flows
            .retain(|_, flow| !flow.is_over && now.ms_since(flow.seen_at) < idle_ms);
    }

    /// Upstreams that are held to fail more requests than others since the last look, or no longer.
    pub fn outlier_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        let directory = &self.directory;
        let service_of = |id| directory.get(id).map(|u| &u.announced.service);
        self.outliers.outlier_changes(now, service_of)
    }

    /// Notes that this VM is about to stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the fabric should send packets here.
    ///
    /// # Errors
    ///
    /// Says what is missing.
    pub fn is_ready(&self, now: Instant) -> Result<(), &'static str> {
        if self.is_stopping {
            return Err("this VM is about to stop");
        }
        if self.plan.is_none() {
            return Err("no control VM has given this VM a plan yet");
        }
        let Some(first) = self.first_synced_at else {
            return Err("no control VM has told this VM of upstreams yet");
        };
        let (open, complete) = self.directory.sources();
        if complete < open.max(self.agreed.controls.len())
            && now.ms_since(first) < CONTROL_SYNC_WAIT_MS
        {
            return Err("further control VMs have still to tell of upstreams");
        }
        if self.has_unreachable_service(now) {
            return Err("no upstream that may take new flows answers this VM");
        }
        Ok(())
    }

    /// Whether upstream `id` is known not to answer.
    #[must_use]
    pub fn is_down(&self, id: u64) -> bool {
        self.health.is_down(id)
    }

    /// Whether some service has upstreams that may take new flows, but none of them answers here.
    fn has_unreachable_service(&self, now: Instant) -> bool {
        let services: BTreeSet<&Arc<str>> = self
            .routes
            .values()
            .flat_map(|route| route.targets.iter().map(|t| &t.service))
            .collect();
        services.into_iter().any(|service| {
            let all = self.directory.of_service(service);
            let mut eligible = all.filter(|u| self.accepts_flows(now, u)).peekable();
            eligible.peek().is_some()
                && eligible.all(|u| self.health.is_down(u.announced.incarnation.id))
        })
    }
}
