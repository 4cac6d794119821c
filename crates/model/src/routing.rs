//! Messages on the streams over which entry VMs learn the routing plan and the upstreams that
//! announce themselves.
//!
//! An entry VM opens one stream to each control VM, says who it is, and repeats
//! [`ToControl::Alive`] every [`ALIVE_MS`]. The control VM tells all it has heard, then what
//! changes, and [`ToEntry::Alive`] when nothing does. Moments are told as spans, since the VMs
//! share no clock.
//!
//! A fleet is upgraded VM by VM, so builds that follow each other speak with each other: the path of
//! the stream says which [`Version`] both ends know, variants are only ever added at the end, and
//! neither end sends one that the other doesn't know.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{name::Name, plan::Plan};

mod group;

pub use group::Group;

/// Time between two messages where nothing changes, in milliseconds.
pub const ALIVE_MS: u64 = 1_000;

/// Time without a message after which a stream is given up, in milliseconds.
pub const SILENCE_MS: u64 = 2_500;

/// What both ends of a stream know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// Up to [`ToControl::Down`] and [`ToEntry::Suspected`].
    First,
    /// Everything.
    Second,
}

/// One start of an upstream's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity of the upstream, which a restart may keep.
    pub id: u64,
    /// When the process started: milliseconds of the upstream's wall clock since 1970.
    pub started_ms: u64,
}

/// Whether an upstream takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It takes new flows.
    Ready,
    /// It is about to stop; its flows go on.
    Draining,
    /// It has stopped.
    Gone,
}

/// What an upstream said of itself in its last announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Who speaks.
    pub incarnation: Incarnation,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new flows.
    pub phase: Phase,
    /// Time for which it stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Number of the announcement; grows within an incarnation.
    pub sequence: u64,
}

/// What a connection without a request to an upstream's address showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ProbeOutcome {
    /// The upstream accepted it.
    Accepted,
    /// It was refused, or accepted by another upstream that has taken over the address: this one
    /// has ended.
    Refused,
    /// Nothing came back: the upstream has no power, or the VM that asked can't reach it.
    Silent,
}

/// What an entry VM found out about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// The upstream, as far as the VM knew.
    pub upstream: Incarnation,
    /// What its probe showed.
    pub probed: ProbeOutcome,
    /// Time since the probe began, in milliseconds.
    pub age_ms: u64,
}

/// What one entry VM found out, as a control VM tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The entry VM.
    pub vm: Arc<str>,
    /// Its failure domain: what it couldn't reach may be reached from others.
    pub domain: Name,
    /// What it found.
    pub results: Vec<ProbeReport>,
}

/// Who is in the failure domain of an entry VM, as a control VM hears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// Number of entry VMs, the one that is told included.
    pub count: u32,
    /// Whether the control VM is there as well.
    pub is_same_domain: bool,
}

/// What an entry VM says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToControl {
    /// Opens the stream.
    Hello {
        /// Name of the entry VM.
        vm: Arc<str>,
    },
    /// Asks for the plan itself.
    Want {
        /// Version that was told.
        version: u64,
    },
    /// The entry VM still listens.
    Alive,
    /// Clients of the entry VM got no answer of an upstream, and a probe found it down. Said only
    /// where [`Version::First`] is spoken.
    Down {
        /// Identity of the upstream.
        id: u64,
    },
    /// Opens the stream, in place of [`ToControl::Hello`].
    Join {
        /// Name of the entry VM.
        vm: Arc<str>,
        /// Its failure domain.
        domain: Name,
    },
    /// What probes of the entry VM showed that others should know.
    ProbeReports(Vec<ProbeReport>),
}

/// What the cluster has agreed on, as one control VM knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Index in the replicated log; the higher one is newer.
    pub index: u64,
    /// Version of the plan, if there is one.
    pub plan: Option<u64>,
    /// Failure domains that operators have taken out.
    pub domains_out: Vec<Name>,
    /// Where the control VMs take streams.
    pub controls: Vec<SocketAddr>,
}

/// What a control VM says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// What the cluster has agreed on; sent once this control VM knows a leader, then as it
    /// changes.
    Agreed(Agreed),
    /// The plan that was asked for, or a newer one.
    Plan(Arc<Plan>),
    /// Announcements that are new or say something new, with the time since each, in
    /// milliseconds. Said only where [`Version::First`] is spoken.
    Announced(Vec<(Announced, u64)>),
    /// Upstreams that this control VM had heard before its process started, and not again since:
    /// they may have flows, but get no new ones. Said only where [`Version::First`] is spoken.
    Recalled(Vec<Announced>),
    /// Upstreams that have announced nothing to this control VM for too long.
    Silent(Vec<Incarnation>),
    /// All that this control VM had heard before the stream opened has been told.
    Complete,
    /// Nothing has changed.
    Alive,
    /// Upstreams that other entry VMs have found down. Said only where [`Version::First`] is
    /// spoken.
    Suspected(Vec<u64>),
    /// What other entry VMs have found out.
    ProbeReports(Vec<Report>),
    /// [`ToEntry::Announced`] in groups.
    AnnouncedGroups(Vec<Group>),
    /// [`ToEntry::Recalled`] in groups; the times since each don't count.
    RecalledGroups(Vec<Group>),
    /// Who else is in the failure domain of the entry VM.
    Peers(Peers),
}
