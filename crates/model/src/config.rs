//! The cluster configuration: services, failure domains, admitted upstreams and planned changes.
//!
//! Only [`Config::apply`] changes a configuration, in the order of the replicated log. No accepted
//! command is lost, and VMs with equal indices have equal configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{name::Name, plan::Plan};

mod apply;

pub use apply::{Applied, Outcome, Refusal};

/// Deadline of a request without a deadline from the caller, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 2_000;

/// Time without a packet after which a flow is treated as ended, in milliseconds.
pub const DEFAULT_IDLE_MS: u32 = 300_000;

/// Maximum number of answers to commands that a cluster keeps for resends.
pub const MAX_ANSWERS: usize = 4_096;

/// Maximum number of planned changes that are kept for `oriolectl change list`.
pub const MAX_FINISHED_CHANGES: usize = 1_024;

/// Maximum number of generations that one service retains. Taking a failure domain out may exceed
/// the limit: the flows of the domain are given up, and the domain must get no packet after a few
/// seconds.
pub const MAX_GENERATIONS: usize = 16;

/// Number of generations out of [`MAX_GENERATIONS`] that admissions and drains may not use, so that
/// failure domains can be brought back.
pub const RESERVED_GENERATIONS: usize = 4;

/// The cluster configuration at one index of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Identity of the cluster, drawn once when the cluster is founded; 0 before.
    pub cluster: u64,
    /// Index in the replicated log of the last command that was applied.
    ///
    /// Invariant: grows with each command, including refused commands.
    pub index: u64,
    /// Index of the last command that was not refused; operators send this version as the expected
    /// version. Invariant: `version <= index`.
    pub version: u64,
    /// Failure domains by name.
    pub domains: BTreeMap<Name, Domain>,
    /// Services by name. Invariant: no two services share an address.
    pub services: BTreeMap<Name, Service>,
    /// Planned changes by number: the index of the command that requested the change.
    pub changes: BTreeMap<u64, Change>,
    /// First answers to commands by operator and request id, for resends.
    /// Invariants: at most [`MAX_ANSWERS`]; the answer with the lowest index is evicted first; no
    /// answers to the system's own steps, since a resent step is refused as [`Refusal::Stale`].
    pub answers: BTreeMap<(String, String), Applied>,
    /// Routing plan in force, if operators use a routing plan.
    pub plan: Option<Arc<Plan>>,
}

/// A failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Whether operators have taken the domain out of service.
    pub state: DomainState,
}

/// Whether a failure domain receives traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The domain receives traffic.
    #[default]
    In,
    /// Operators have taken the domain out of service: its upstreams get no packets, and its flows
    /// are given up.
    Out,
}

/// A service: one address that is served by a set of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Address and port that callers use. Flows are matched by destination; requests by `Uri-Host`
    /// and `Uri-Port`, or by the service's name in `Uri-Host`.
    pub address: SocketAddr,
    /// Deadline of a request without a deadline from the caller, in milliseconds.
    pub deadline_ms: u32,
    /// Time without a packet after which a flow is treated as ended, in milliseconds.
    pub idle_ms: u32,
    /// Admitted upstreams by name.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Retained generations of the flow table, oldest first.
    ///
    /// Invariants: numbers grow; at most [`MAX_GENERATIONS`], not counting generations added by
    /// taking failure domains out; only the last generation may be [`Stage::Prepared`]; flows
    /// without a record belong to the first generation.
    pub generations: Vec<Generation>,
    /// Number of the last generation that was prepared, even if that generation was dropped.
    ///
    /// A number is never reused for other weights, since an entry VM may have seen the first use.
    pub last_generation: u64,
}

impl Service {
    /// Creates a service at `address` with the default times and no upstream.
    #[must_use]
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            deadline_ms: DEFAULT_DEADLINE_MS,
            idle_ms: DEFAULT_IDLE_MS,
            upstreams: BTreeMap::new(),
            generations: Vec::new(),
            last_generation: 0,
        }
    }
}

/// An upstream that operators have admitted to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Address that receives the packets of flows, as GUE over UDP.
    pub flow_address: SocketAddr,
    /// Address that receives requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of concurrent flows.
    pub connections: u32,
    /// Whether the upstream gets new work.
    pub state: UpstreamState,
}

/// Whether an admitted upstream gets new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The upstream gets new flows and requests.
    #[default]
    Admitted,
    /// The upstream gets no new work; its existing flows continue.
    Draining,
}

/// One generation of a service's flow table: the upstreams that get new flows, with weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Number of the generation within the service.
    pub number: u64,
    /// Weights of the upstreams that get new flows, by name. Invariant: no weight is 0.
    pub weights: BTreeMap<Name, u32>,
    /// Whether primaries use the generation to choose upstreams.
    pub stage: Stage,
}

/// Progress of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// VMs send packets of the buckets that the generation changes through the primary, which
    /// still chooses by the previous generation.
    Prepared,
    /// Primaries choose upstreams by the generation.
    Active,
}

/// A planned change that an operator requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind and subject of the change.
    pub kind: ChangeKind,
    /// Progress of the change.
    pub state: ChangeState,
    /// Operator who requested the change.
    pub operator: String,
    /// Generations by service that must be active before the change is in force. A later generation
    /// that replaces an awaited generation also satisfies the condition.
    pub awaits: BTreeMap<Name, u64>,
    /// Services that the change leaves without any upstream that gets new work.
    pub leaves_empty: BTreeSet<Name>,
    /// Index of the command that brought the change into force or superseded the change.
    pub done_index: Option<u64>,
}

/// Kind and subject of a planned change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A service was created, changed or removed.
    Service(Name),
    /// An upstream was admitted: service, upstream.
    Admit(Name, Name),
    /// An upstream was set to drain: service, upstream.
    Drain(Name, Name),
    /// A failure domain was taken out.
    DomainOut(Name),
    /// A failure domain was brought back.
    DomainIn(Name),
}

/// Progress of a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The change is committed; its generations are not all active.
    Accepted,
    /// The generations of the change are active: every live entry VM has applied the change.
    InForce,
    /// A later change undid the change before it was in force.
    Superseded,
}
