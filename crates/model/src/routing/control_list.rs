//! The list of control VMs, as sent to entry VMs.

use std::{collections::BTreeSet, net::SocketAddr};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The control VMs of the cluster.
///
/// The list has a version of its own, because the membership of the cluster changes without any
/// change of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlList {
    /// Index in the replicated log of the last committed change of the membership, or of the
    /// snapshot that includes the change. Lists with a higher version are newer.
    pub version: u64,
    /// Addresses at which the control VMs accept streams. Invariant of a valid list: not empty, and
    /// no address occurs twice.
    pub addresses: Vec<SocketAddr>,
}

/// The reason why a list of control VMs is invalid.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// list of control VMs is empty
    Empty,
    /// list of control VMs contains {0} twice
    Duplicate(SocketAddr),
    /// list of control VMs contains {0}, which no control VM can listen at
    Unusable(SocketAddr),
}

impl std::error::Error for Fault {}

impl ControlList {
    /// Checks that a VM may replace its own list by this list.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn check(&self) -> Result<(), Fault> {
        if self.addresses.is_empty() {
            return Err(Fault::Empty);
        }
        let mut seen = BTreeSet::new();
        for address in &self.addresses {
            let ip = address.ip();
            if ip.is_unspecified() || ip.is_multicast() || address.port() == 0 {
                return Err(Fault::Unusable(*address));
            }
            if !seen.insert(address) {
                return Err(Fault::Duplicate(*address));
            }
        }
        Ok(())
    }
}
