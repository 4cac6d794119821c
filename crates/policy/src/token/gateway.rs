//! State and decisions of an entry VM.
//!
//! This file handles plans, announcements and the passing of time; `reachability` handles probe
//! results and reports of other VMs; `terms` keeps the terms of the plan; `packet` decides on
//! packets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use model::{
    name::Name,
    plan::{Plan, Target},
    routing::{self, Agreed, Announced, ControlList, Incarnation, Peers, ProbeOutcome},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    admission::{Controller, caps::Caps},
    answer_size::AnswerSizes,
    backoff,
    cache::TtlCache,
    cost,
    directory::{Directory, Upstream},
    flow::Flow,
    health::{HealthChange, HealthStatus, HealthTable, Probe, ProbeResult},
    latency::LatencyTable,
    outlier::{OutlierChange, OutlierDetector},
    placement::Selector,
    segment::{Key, Segment},
    work,
};
use crate::time::Instant;
use excluded_domains::ExcludedDomains;
use terms::TermsTable;

mod admit;
mod excluded_domains;
pub mod explain;
mod packet;
pub mod reachability;
mod shared_work;
pub mod terms;

/// Time in milliseconds without a packet after which a flow is no longer counted, if there is no
/// plan.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Time in milliseconds that a fresh VM waits for further control VMs to send their upstreams.
const CONTROL_SYNC_WAIT_MS: u64 = 1_000;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Destinations of new flows to an address.
#[derive(Debug, Clone)]
struct Route {
    /// Services that receive flows. Invariant: no weight is 0.
    targets: Arc<[Target]>,
    /// Deadline of requests on the route, in milliseconds.
    deadline_ms: u64,
}

/// State of an entry VM, from which all decisions are made.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    plan: Option<Arc<Plan>>,
    /// Number of ticks since the terms were removed with their plan.
    ticks_without_terms: u32,
    routes: BTreeMap<SocketAddrV4, Route>,
    terms: TermsTable,
    agreed: Agreed,
    excluded: ExcludedDomains,
    /// The control VMs of the cluster; version 0 if no list with a version was received.
    controls: ControlList,
    directory: Directory,
    health: HealthTable,
    latencies: LatencyTable,
    outliers: OutlierDetector,
    answer_sizes: AnswerSizes,
    /// Costs of the requests of each route.
    costs: cost::Table,
    /// Flows and work that this VM has placed.
    ledger: work::Ledger,
    /// Flows and work that all VMs have placed.
    view: work::View,
    /// Whether new flows are placed by `view`, or by what this VM sees alone.
    places_by_view: bool,
    selector: Selector,
    admission: Controller,
    caps: Caps,
    /// For each service, whether most of its upstreams have yet to announce themselves.
    gathering: TtlCache<bool>,
    flows: BTreeMap<Key, Flow>,
    /// Probe results of this VM that are to be reported, each with the start time of the probe.
    probe_reports: Vec<(Incarnation, ProbeOutcome, Instant)>,
    /// Time when all eligible upstreams of each failure domain were last scheduled for probes.
    domain_probed_at: BTreeMap<Name, Instant>,
    /// Number of entry VMs in this failure domain, as last sent by each control VM.
    peer_counts: BTreeMap<SocketAddr, Peers>,
    /// Last packets of clients that wait for an upstream that was marked down, and that are to be
    /// reset.
    pending_resets: Vec<Segment>,
    random: Pcg64Mcg,
    /// Time when the first control VM had sent all its upstreams.
    first_synced_at: Option<Instant>,
    is_stopping: bool,
}

impl Gateway {
    /// Creates a gateway without a plan, upstreams or flows.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            ledger: work::Ledger::new(settings.seed),
            settings,
            plan: None,
            ticks_without_terms: 0,
            routes: BTreeMap::new(),
            terms: TermsTable::default(),
            agreed: Agreed::default(),
            excluded: ExcludedDomains::default(),
            controls: ControlList::default(),
            directory: Directory::default(),
            health: HealthTable::default(),
            latencies: LatencyTable::default(),
            outliers: OutlierDetector::default(),
            answer_sizes: AnswerSizes::default(),
            costs: cost::Table::default(),
            view: work::View::default(),
            places_by_view: true,
            selector: Selector::default(),
            admission: Controller::default(),
            caps: Caps::default(),
            gathering: TtlCache::default(),
            flows: BTreeMap::new(),
            probe_reports: Vec::new(),
            domain_probed_at: BTreeMap::new(),
            peer_counts: BTreeMap::new(),
            pending_resets: Vec::new(),
            first_synced_at: None,
            is_stopping: false,
        }
    }

    /// Sets whether new flows are placed by the work that all entry VMs share, or by what this VM sees
    /// alone.
    pub fn set_places_by_view(&mut self, places_by_view: bool) {
        self.places_by_view = places_by_view;
    }

    /// Sets the time between two announcements of an upstream, in milliseconds.
    pub fn set_announce_ms(&mut self, announce_ms: u64) {
        self.excluded.set_announce_ms(announce_ms);
    }

    /// Stores the state agreed on by the control VMs, unless it is older than the known state.
    /// Returns whether it was newer.
    pub fn update_agreed(&mut self, agreed: Agreed) -> bool {
        let is_newer = agreed.index > self.agreed.index;
        if is_newer {
            self.excluded
                .update(&self.agreed.domains_out, &agreed.domains_out);
            self.agreed = agreed;
        }
        is_newer
    }

    /// Stores the list of control VMs, unless it is older than the known list. Returns whether it was
    /// newer.
    ///
    /// A control VM that lags behind, or was cut off, sends an older list than the others.
    ///
    /// # Errors
    ///
    /// Fails if the list is invalid; the known list stays.
    pub fn update_controls(&mut self, controls: ControlList) -> Result<bool, routing::Fault> {
        controls.check()?;
        let is_newer = controls.version > self.controls.version;
        if is_newer {
            self.controls = controls;
        }
        Ok(is_newer)
    }

    /// Returns the known addresses at which control VMs accept streams.
    ///
    /// Control VMs of the build before send only the list within the agreed state, which has no
    /// version of its own.
    #[must_use]
    pub fn control_addresses(&self) -> &[SocketAddr] {
        match self.controls.version {
            0 => &self.agreed.controls,
            _ => &self.controls.addresses,
        }
    }

    /// Returns the version of the list of control VMs; 0 if no list with a version was received.
    #[must_use]
    pub fn controls_version(&self) -> u64 {
        self.controls.version
    }

    /// Returns the offered plan version if it is newer than the plan in force, so that the plan has
    /// to be requested.
    #[must_use]
    pub fn plan_version_to_request(&self, offered: Option<u64>) -> Option<u64> {
        offered.filter(|offered| self.plan_version().is_none_or(|held| *offered > held))
    }

    /// Applies a plan, unless it is older than the plan in force. Returns whether it was newer.
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
        let services = plan.services.iter().map(|s| Arc::clone(&s.name));
        self.directory.define_services(services);
        self.selector.clear_surveys();
        self.gathering = TtlCache::default();
        let routes = &self.routes;
        self.outliers.retain_routes(|r| routes.contains_key(&r));
        self.terms.replace_plan(&plan);
        self.costs.retain(|r| routes.contains_key(&r));
        self.answer_sizes.retain(|r| routes.contains_key(&r));
        self.plan = Some(plan);
        self.apply_terms_in_force();
        true
    }

    /// Returns the version of the plan in force.
    #[must_use]
    pub fn plan_version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// Returns the last known state agreed on by the control VMs.
    #[must_use]
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// Returns the known upstreams.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the number of counted flows.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Records that the stream from the control VM `source` has opened.
    pub fn add_control_stream(&mut self, source: SocketAddr) {
        self.directory.add_control_stream(source);
    }

    /// Records that `source` has sent all upstreams that it knew.
    pub fn mark_control_stream_synced(&mut self, now: Instant, source: SocketAddr) {
        self.directory.mark_control_stream_synced(source);
        self.first_synced_at.get_or_insert(now);
    }

    /// Records that the stream from `source` has ended.
    pub fn remove_control_stream(&mut self, now: Instant, source: SocketAddr) {
        self.directory.remove_control_stream(now, source);
        // A VM without any control stream keeps the last known count.
        if self.peer_counts.len() > 1 {
            self.peer_counts.remove(&source);
        }
    }

    /// Applies an announcement; see [`Directory::announce`].
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

    /// Adds an upstream that a control VM knew before the control VM restarted; see
    /// [`Directory::add_recalled`].
    pub fn add_recalled(&mut self, now: Instant, announced: Announced) {
        self.directory.add_recalled(now, announced);
    }

    /// Starts and returns the probes that are due.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
        self.health.due_probes(now, &self.directory)
    }

    /// Returns the earliest time when a probe may be due; none if no probe is scheduled.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.health.next_probe()
    }

    /// Returns the packets since the last call whose clients wait for an upstream that was marked
    /// down. Their flows are to be reset.
    pub fn take_pending_resets(&mut self) -> Vec<Segment> {
        std::mem::take(&mut self.pending_resets)
    }

    /// Expires flows, requests and upstreams that have timed out.
    pub fn tick(&mut self, now: Instant) {
        self.excluded.expire(now, &self.agreed.domains_out);
        self.directory.tick(now);
        self.health.retain(&self.directory);
        let directory = &self.directory;
        self.latencies.retain(|id| directory.get(id).is_some());
        self.outliers.retain(|id| directory.get(id).is_some());
        self.ledger.retain(|t| directory.by_token(t).is_some());
        self.view
            .tick(now, |token| directory.by_token(token).is_some());
        self.expire_requests(now);
        self.tick_admission(now);
        let idle_ms = self.plan.as_ref().map_or(DEFAULT_IDLE_MS, |p| p.idle_ms);
        self.flows
            .retain(|_, flow| !flow.is_over && now.ms_since(flow.seen_at) < idle_ms);
    }

    /// Returns the upstreams that became outliers, or ceased to be outliers, since the last call.
    pub fn outlier_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        let directory = &self.directory;
        let service_of = |id| directory.get(id).map(|u| &u.announced.service);
        self.outliers.outlier_changes(now, service_of)
    }

    /// Records that this VM is about to stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Checks whether the fabric should send packets to this VM.
    ///
    /// # Errors
    ///
    /// Returns the reason why the VM is not ready.
    pub fn is_ready(&self, now: Instant) -> Result<(), &'static str> {
        if self.is_stopping {
            return Err("this VM is shutting down");
        }
        if self.plan.is_none() {
            return Err("this VM has not received a plan from a control VM yet");
        }
        let Some(first_synced_at) = self.first_synced_at else {
            return Err("no control VM has sent its complete list of upstreams yet");
        };
        let (open, synced) = self.directory.control_stream_counts();
        if synced < open.max(self.control_addresses().len())
            && now.ms_since(first_synced_at) < CONTROL_SYNC_WAIT_MS
        {
            return Err("further control VMs have yet to send their complete lists of upstreams");
        }
        if self.has_unreachable_service(now) {
            return Err(
                "a service has upstreams for new flows, but none is reachable from this VM",
            );
        }
        Ok(())
    }

    /// Reports whether upstream `id` is marked down.
    #[must_use]
    pub fn is_down(&self, id: u64) -> bool {
        self.health.is_down(id)
    }

    /// Reports whether some service has upstreams that accept new flows, but all of them are marked
    /// down.
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
