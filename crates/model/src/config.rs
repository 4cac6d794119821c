//! The cluster configuration: services, failure domains, admitted upstreams and planned changes.
//!
//! A configuration never loses an accepted command: it is only ever changed by
//! [`Config::apply`], in the order of the replicated log, so that equal indices mean equal
//! configurations on every VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{name::Name, plan::Plan};

mod apply;

pub use apply::{Applied, Outcome, Refusal};

/// Deadline of a request whose caller named none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 2_000;

/// Time without a packet after which a flow counts as ended, in milliseconds.
pub const DEFAULT_IDLE_MS: u32 = 300_000;

/// Answers to commands that are kept for resends, per cluster.
pub const MAX_ANSWERS: usize = 4_096;

/// Finished planned changes that are kept for `oriolectl change list`.
pub const MAX_FINISHED_CHANGES: usize = 1_024;

/// Generations that one service may retain. Taking a failure domain out is never refused for it:
/// its flows are given up, and it must get no packet after a few seconds.
pub const MAX_GENERATIONS: usize = 16;

/// Generations out of [`MAX_GENERATIONS`] that admissions and drains leave for failure domains to be
/// brought back.
pub const RESERVED_GENERATIONS: usize = 4;

/// The cluster configuration at one index of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Identity of the cluster, drawn once when it is founded; 0 before that.
    pub cluster: u64,
    /// Index in the replicated log of the last command that was applied.
    ///
    /// Invariant: grows with each command, also with refused ones.
    pub index: u64,
    /// Number of the last command that changed anything; what operators give as the expected
    /// version. Invariant: `version <= index`.
    pub version: u64,
    /// Failure domains by name.
    pub domains: BTreeMap<Name, Domain>,
    /// Services by name. Invariant: no two services share an address.
    pub services: BTreeMap<Name, Service>,
    /// Planned changes by number, which is the index of the command that asked for it.
    pub changes: BTreeMap<u64, Change>,
    /// First answers to commands by operator and request id, for resends.
    /// Invariants: at most [`MAX_ANSWERS`]; the oldest index goes first; none of the system's own
    /// steps, whose resends are [`Refusal::Stale`] by themselves.
    pub answers: BTreeMap<(String, String), Applied>,
    /// The routing plan in force, where operators use one.
    pub plan: Option<Arc<Plan>>,
}

/// A failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Whether operators have taken it out.
    pub state: DomainState,
}

/// Whether a failure domain takes part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// It takes part.
    #[default]
    In,
    /// Operators have taken it out: no packet goes to its upstreams, and its flows are given up.
    Out,
}

/// A service: one address before a set of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Address and port that callers use. Flows match it by destination, requests by `Uri-Host`
    /// and `Uri-Port`, or by the service's name in `Uri-Host`.
    pub address: SocketAddr,
    /// Deadline of a request whose caller named none, in milliseconds.
    pub deadline_ms: u32,
    /// Time without a packet after which a flow counts as ended, in milliseconds.
    pub idle_ms: u32,
    /// Admitted upstreams by name.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Retained generations of the flow table, oldest first.
    ///
    /// Invariants: numbers grow; at most [`MAX_GENERATIONS`], but for those that failure domains
    /// taken out add; only the last may be [`Stage::Prepared`]; the first is the one to which
    /// flows without a record belong.
    pub generations: Vec<Generation>,
    /// Number of the last generation that was prepared, also when it was dropped again.
    ///
    /// A number never stands for two sets of weights: an entry VM may have seen the first.
    pub last_generation: u64,
}

impl Service {
    /// A service at `address` with the default times and no upstream.
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
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes the packets of flows, as GUE over UDP.
    pub flow_address: SocketAddr,
    /// Where it takes requests, as CoAP over UDP.
    pub request_address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Flows that it bears at a time.
    pub connections: u32,
    /// Whether it gets new work.
    pub state: UpstreamState,
}

/// Whether an admitted upstream gets new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It gets new flows and requests.
    #[default]
    Admitted,
    /// It gets no new work; its flows go on.
    Draining,
}

/// One generation of a service's flow table: which upstreams take new flows, at which weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Number of the generation within the service.
    pub number: u64,
    /// Weights of the upstreams that take new flows, by name. Invariant: no weight is 0.
    pub weights: BTreeMap<Name, u32>,
    /// Whether homes choose by it yet.
    pub stage: Stage,
}

/// How far a generation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// VMs send packets of buckets that it changes through the home; choices are by the one
    /// before it.
    Prepared,
    /// Homes choose by it.
    Active,
}

/// A planned change that operators asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// What is changed.
    pub kind: ChangeKind,
    /// How far it is.
    pub state: ChangeState,
    /// Operator who asked for it.
    pub operator: String,
    /// Service and generation that must be active for it to be in force, if any. A later
    /// generation that replaces one before it is active counts as well.
    pub awaits: BTreeMap<Name, u64>,
    /// Services that it leaves without any upstream that takes new work.
    pub leaves_empty: BTreeSet<Name>,
    /// Index of the command after which nothing of it was left to apply.
    pub done_index: Option<u64>,
}

/// What a planned change is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A service was put or removed.
    Service(Name),
    /// An upstream was admitted: service, upstream.
    Admit(Name, Name),
    /// An upstream drains: service, upstream.
    Drain(Name, Name),
    /// A failure domain was taken out.
    DomainOut(Name),
    /// A failure domain was brought back.
    DomainIn(Name),
}

/// How far a planned change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// Committed; its generations are not all active.
    Accepted,
    /// Its generations are active: every live entry VM has applied it.
    InForce,
    /// A later change undid it before it was in force; it never will be.
    Superseded,
}
