//! Messages on the stream between an entry VM and a control VM.
//!
//! The entry VM opens the stream, says [`ToControl::Hello`] and then [`ToControl::Heartbeat`] at least
//! every [`HEARTBEAT_INTERVAL_MS`]. The control VM answers each with what it has newer. Both sides encode with
//! `bincode`, each message behind its length as 4 bytes, big-endian.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{announce::Announcement, config::Config, name::Name};

/// Longest time between two messages of an entry VM to its control VM, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Time without a beat after which a control VM counts an entry VM as gone, in milliseconds.
///
/// An entry VM that has heard no control VM or peer for this long, by its own clock, treats its
/// configuration as possibly outdated.
pub const LEASE_MS: u64 = 2_500;

/// Largest message, in bytes.
pub const MAX_MESSAGE: usize = 16 << 20;

/// What an entry VM says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToControl {
    /// Opens the stream.
    Hello(Hello),
    /// Renews the lease and says what is in force here.
    Heartbeat(Heartbeat),
    /// An upstream announced itself here; sent when it is new or changed, and again every
    /// [`crate::announce::LEASE_MS`].
    Announced(Announcement),
    /// Asks for the whole configuration, since what came can't be applied here.
    Whole,
    /// The entry VM stops on purpose: its lease ends now.
    Leave,
}

/// Who opens the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the entry VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Where it takes datagrams of other entry VMs.
    pub peer_address: SocketAddr,
    /// Where it serves its state dump over HTTP.
    pub http_address: SocketAddr,
    /// Cluster that its configuration belongs to; 0 where it has none.
    pub cluster: u64,
    /// Index of its configuration; 0 where it has none.
    pub index: u64,
}

/// What is in force at an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Index of the configuration by which it decides.
    pub index: u64,
    /// For each service, the oldest generation that a flow known here still needs.
    pub needed: BTreeMap<Name, u64>,
}

/// What a control VM says, as the entry VM's client hands it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// A newer configuration, whole.
    Config(Arc<Config>),
    /// Nothing newer than the entry VM's index; also the answer to a beat.
    Current {
        /// Index at the control VM.
        index: u64,
    },
    /// This control VM can't answer for the cluster: try another.
    TryOther,
}
