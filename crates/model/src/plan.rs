//! The routing plan: which addresses lead to which services, as operators replace it whole.
//!
//! The plan with the highest version is in force. One whose version is not higher changes nothing,
//! so that a resend and a late arrival are harmless.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A routing plan. [`Plan::check`] holds for each plan that is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Grows with each plan that operators make, in uneven steps.
    pub version: u64,
    /// Routes. Invariant: no two share an address.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Time without a packet after which a flow may be forgotten, in milliseconds.
    pub idle_ms: u64,
    /// The operator's own text, which reads hand back; empty on entry VMs.
    pub text: Arc<str>,
}

/// Where new flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Address and port that clients use.
    pub address: SocketAddrV4,
    /// Deadline of a request on the route, in milliseconds. Invariant: not 0.
    pub deadline_ms: u64,
    /// Services with their shares of new flows. Invariant: some weight is not 0.
    pub targets: Vec<Target>,
}

/// A service and its share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share against the other targets of the route.
    pub weight: u32,
}

/// A service that routes may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
}

/// Why a plan can't be in force.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// route {0} names service {1}, which the plan doesn't have
    UnknownService(Arc<str>, Arc<str>),
    /// routes {0} and {1} share the address {2}
    SharedAddress(Arc<str>, Arc<str>, SocketAddrV4),
    /// route {0} has a deadline of 0 ms
    NoDeadline(Arc<str>),
    /// route {0} gives no service a weight above 0
    NoWeight(Arc<str>),
}

impl std::error::Error for Fault {}

impl Plan {
    /// Checks what no field shows by itself.
    ///
    /// # Errors
    ///
    /// Names the first route that is wrong.
    pub fn check(&self) -> Result<(), Fault> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| &*s.name).collect();
        let mut seen = std::collections::BTreeMap::new();
        for route in &self.routes {
            if let Some(other) = seen.insert(route.address, &route.name) {
                let (other, name) = (Arc::clone(other), Arc::clone(&route.name));
                return Err(Fault::SharedAddress(other, name, route.address));
            }
            if route.deadline_ms == 0 {
                return Err(Fault::NoDeadline(Arc::clone(&route.name)));
            }
            if route.targets.iter().all(|t| t.weight == 0) {
                return Err(Fault::NoWeight(Arc::clone(&route.name)));
            }
            let unknown = |t: &&Target| !services.contains(&*t.service);
            if let Some(target) = route.targets.iter().find(unknown) {
                let (name, service) = (Arc::clone(&route.name), Arc::clone(&target.service));
                return Err(Fault::UnknownService(name, service));
            }
        }
        Ok(())
    }

    /// The plan as entry VMs get it: without the operator's text.
    #[must_use]
    pub fn without_text(&self) -> Self {
        Self {
            text: Arc::default(),
            ..self.clone()
        }
    }
}
