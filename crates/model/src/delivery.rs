//! Messages on the stream between an entry VM and a control VM.
//!
//! The entry VM opens the stream, sends [`ToControl::Hello`] and then [`ToControl::Heartbeat`] at
//! least every [`HEARTBEAT_INTERVAL_MS`]. The control VM answers each message with its configuration
//! if the entry VM's is older. Both sides encode with `bincode`; each message is preceded by its
//! length as 4 bytes, big-endian.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{announce::Announcement, config::Config, name::Name};

/// Maximum time between two messages of an entry VM to its control VM, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Time without a heartbeat after which a control VM treats an entry VM as terminated, in
/// milliseconds.
///
/// An entry VM that has received nothing from a control VM or peer for this time, by its own clock,
/// treats its configuration as possibly outdated.
pub const LEASE_MS: u64 = 2_500;

/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE: usize = 16 << 20;

/// A message from an entry VM to its control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToControl {
    /// Opens the stream.
    Hello(Hello),
    /// Renews the lease and reports the configuration that the entry VM uses.
    Heartbeat(Heartbeat),
    /// Forwards the announcement of an upstream; sent when the announcement is new or changed, and
    /// again every [`crate::announce::LEASE_MS`].
    Announced(Announcement),
    /// Requests the whole configuration, since the entry VM can't apply the received update.
    Whole,
    /// Ends the lease at once, since the entry VM stops on purpose.
    Leave,
}

/// Identity and addresses of the entry VM that opens a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the entry VM.
    pub vm: Name,
    /// Failure domain of the entry VM.
    pub domain: Name,
    /// Incarnation of the entry VM; grows with each start of its process.
    pub incarnation: u64,
    /// Address at which the entry VM receives datagrams of other entry VMs.
    pub peer_address: SocketAddr,
    /// Address at which the entry VM serves its state dump over HTTP.
    pub http_address: SocketAddr,
    /// Cluster of the entry VM's configuration; 0 if the entry VM has no configuration.
    pub cluster: u64,
    /// Index of the entry VM's configuration; 0 if the entry VM has no configuration.
    pub index: u64,
}

/// Configuration and generations in use at an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Index of the configuration that the entry VM uses.
    pub index: u64,
    /// For each service, the oldest generation that a flow known to the entry VM still needs.
    pub needed: BTreeMap<Name, u64>,
}

/// A message from a control VM, as the entry VM's client passes the message on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// A newer configuration, complete.
    Config(Arc<Config>),
    /// No configuration newer than the entry VM's index; also the answer to a heartbeat.
    Current {
        /// Index of the control VM's configuration.
        index: u64,
    },
    /// The control VM can't answer for the cluster: the entry VM must try another control VM.
    TryOther,
}
