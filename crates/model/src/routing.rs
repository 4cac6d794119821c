//! Messages of the control streams, over which entry VMs receive the routing plan and the
//! announcements of upstreams.
//!
//! An entry VM opens one stream to each control VM, identifies itself, and repeats
//! [`ToControl::Alive`] every [`ALIVE_MS`]. The control VM sends its whole announcement table, then
//! each change, and [`ToEntry::Alive`] while nothing changes. Times are sent as ages in
//! milliseconds, since the VMs share no clock.
//!
//! A fleet is upgraded VM by VM, so consecutive builds must interoperate: the path of the stream
//! selects a [`Version`] that both ends support, new variants are only added at the end of an enum,
//! and neither end sends a variant that the peer's version lacks.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    name::Name,
    plan::{Plan, Terms},
    work,
};

pub mod announced;
mod control_list;
mod group;

pub use announced::{Announced, Incarnation, Phase};
pub use control_list::{ControlList, Fault};
pub use group::Group;

/// Interval of keep-alive messages while nothing changes, in milliseconds.
pub const ALIVE_MS: u64 = 1_000;

/// Time without a message after which either end closes a stream, in milliseconds.
pub const SILENCE_MS: u64 = 2_500;

/// Protocol version of a stream, supported by both ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// Variants up to and including [`ToControl::Down`] and [`ToEntry::Suspected`].
    First,
    /// Variants up to and including [`ToControl::ProbeReports`] and [`ToEntry::Peers`].
    Second,
    /// Variants up to and including [`ToControl::Work`] and [`ToEntry::Work`].
    Third,
    /// All variants.
    Fourth,
}

impl Version {
    /// Returns the version of the build before, if that build can still be in service.
    #[must_use]
    pub fn older(self) -> Option<Self> {
        match self {
            Self::First => None,
            Self::Second => Some(Self::First),
            Self::Third => Some(Self::Second),
            Self::Fourth => Some(Self::Third),
        }
    }
}

/// Outcome of a probe: a connection to an upstream's address that sends no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ProbeOutcome {
    /// The upstream accepted the connection.
    Accepted,
    /// The connection was refused, or accepted by another upstream that now uses the address:
    /// the probed upstream has terminated.
    Refused,
    /// No answer arrived: the upstream has no power, or the probing VM can't reach the upstream.
    Silent,
}

/// Result of an entry VM's probe of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// Probed upstream, as known to the entry VM.
    pub upstream: Incarnation,
    /// Outcome of the probe.
    pub probed: ProbeOutcome,
    /// Time since the start of the probe, in milliseconds.
    pub age_ms: u64,
}

/// Probe reports of one entry VM, which a control VM forwards to the other entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting entry VM.
    pub vm: Arc<str>,
    /// Failure domain of the reporting VM; an upstream that is unreachable from this domain may
    /// be reachable from other domains.
    pub domain: Name,
    /// Probe reports of the entry VM.
    pub results: Vec<ProbeReport>,
}

/// Peers in the failure domain of an entry VM, as known to a control VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// Number of entry VMs in the domain, including the receiver of the message.
    pub count: u32,
    /// Whether the control VM is in the same failure domain.
    pub is_same_domain: bool,
}

/// A message from an entry VM to a control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToControl {
    /// Opens the stream.
    Hello {
        /// Name of the entry VM.
        vm: Arc<str>,
    },
    /// Requests the content of a plan.
    Want {
        /// Version of the plan, as reported by the control VM.
        version: u64,
    },
    /// Keep-alive of the entry VM.
    Alive,
    /// Clients of the entry VM got no answer from an upstream, and a probe found the upstream down.
    /// Sent only on streams of [`Version::First`].
    Down {
        /// Identity of the upstream.
        id: u64,
    },
    /// Opens the stream in place of [`ToControl::Hello`], and names the failure domain.
    Join {
        /// Name of the entry VM.
        vm: Arc<str>,
        /// Failure domain of the entry VM.
        domain: Name,
    },
    /// Probe reports of the entry VM for the other entry VMs.
    ProbeReports(Vec<ProbeReport>),
    /// Flows and work that the entry VM has placed on upstreams. Sent only on streams of
    /// [`Version::Third`] and later.
    Work(work::Digest),
    /// Answers [`ToEntry::FindUpstream`]. Sent only on streams of [`Version::Fourth`].
    FoundUpstream {
        /// Identity of the upstream.
        id: u64,
        /// Newest announcement that the entry VM knows; none if it knows no upstream with this
        /// identity.
        announced: Option<Announced>,
    },
}

/// State committed by the cluster, as known to one control VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Index in the replicated log; a higher index is newer.
    pub index: u64,
    /// Version of the routing plan in force, if any.
    pub plan: Option<u64>,
    /// Failure domains that operators have taken out of service.
    pub domains_out: Vec<Name>,
    /// Addresses at which the control VMs accept streams. Streams of [`Version::Third`] and later
    /// ignore this field: it may change without a change of `index`; see [`ToEntry::Controls`].
    pub controls: Vec<SocketAddr>,
}

/// A message from a control VM to an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// State committed by the cluster; sent as soon as the control VM knows a leader, then after
    /// each change.
    Agreed(Agreed),
    /// The requested plan, or a newer plan.
    Plan(Arc<Plan>),
    /// New or changed announcements, each with its age in milliseconds. Sent only on streams of
    /// [`Version::First`].
    Announced(Vec<(Announced, u64)>),
    /// Upstreams from the announcement cache that have not announced themselves since the control
    /// VM started: such upstreams may have flows, but get no new flows. Sent only on streams of
    /// [`Version::First`].
    Recalled(Vec<Announced>),
    /// Upstreams whose announcements to this control VM have timed out.
    Silent(Vec<Incarnation>),
    /// End of the initial state: the control VM has sent all announcements that it knew when the
    /// stream opened.
    Complete,
    /// Keep-alive of the control VM.
    Alive,
    /// Identities of upstreams that probes of other entry VMs found down. Sent only on streams of
    /// [`Version::First`].
    Suspected(Vec<u64>),
    /// Probe reports of other entry VMs.
    ProbeReports(Vec<Report>),
    /// Same content as [`ToEntry::Announced`], in groups.
    AnnouncedGroups(Vec<Group>),
    /// Same content as [`ToEntry::Recalled`], in groups; the ages of the announcements are ignored.
    RecalledGroups(Vec<Group>),
    /// Peers in the failure domain of the receiving entry VM.
    Peers(Peers),
    /// The control VMs of the cluster; sent when the stream opens and after each change. Sent only
    /// on streams of [`Version::Third`] and later.
    Controls(ControlList),
    /// Terms of the plan that was sent before. Sent only on streams of [`Version::Third`] and later.
    Terms(Arc<Terms>),
    /// Flows and work at upstreams, summed over the entry VMs that report to the control VM. Sent
    /// only on streams of [`Version::Third`] and later.
    Work(work::Summary),
    /// Asks for what the entry VM knows of an upstream that this control VM doesn't hear, and that
    /// has announced its stop here. Sent only on streams of [`Version::Fourth`].
    FindUpstream {
        /// Identity of the upstream.
        id: u64,
    },
}
