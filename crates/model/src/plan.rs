//! The routing plan: which addresses lead to which services. Operators always replace the plan as a
//! whole.
//!
//! The plan with the highest version is in force. A plan whose version is not higher changes
//! nothing, so that resent and delayed plans are harmless.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A routing plan. Every plan in force has passed [`Plan::check`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version of the plan; grows with each new plan, possibly by more than 1.
    pub version: u64,
    /// Routes. Invariant: no two routes share an address.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Time without a packet after which the record of a flow may be evicted, in milliseconds.
    pub idle_ms: u64,
    /// Text of the plan as the operator wrote it, returned when the plan is read; empty on entry
    /// VMs.
    pub text: Arc<str>,
}

/// Distribution of new flows to one address over services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Address and port that clients use.
    pub address: SocketAddrV4,
    /// Deadline of a request on the route, in milliseconds. Invariant: not 0.
    pub deadline_ms: u64,
    /// Services with their shares of new flows. Invariant: at least one weight is not 0.
    pub targets: Vec<Target>,
}

/// A service and its share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of new flows, relative to the other targets of the route.
    pub weight: u32,
}

/// A service that routes may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
}

/// Priority of a route that states none.
pub const LOWEST_PRIORITY: u32 = u32::MAX;

/// Demands on the requests of a plan's routes, and limits of its services.
///
/// Terms are derived from the text of the plan wherever they are needed, so that the stored layout
/// of [`Plan`] stays the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Version of the plan.
    pub version: u64,
    /// Terms of the routes.
    pub routes: Vec<RouteTerms>,
    /// Limits of the services.
    pub services: Vec<ServiceTerms>,
}

/// Demands on the requests of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTerms {
    /// Address and port that clients use.
    pub address: SocketAddrV4,
    /// Kind of the requests.
    pub kind: Kind,
    /// Importance of the requests: 0 is the highest, [`LOWEST_PRIORITY`] the lowest.
    pub priority: u32,
    /// Response-time goal of a request in milliseconds, if there is one. Invariant: not 0.
    pub goal_ms: Option<u64>,
}

/// Kind of the requests of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: a client repeats a failed request.
    Safe,
    /// Not idempotent; also stands for unknown kinds.
    #[default]
    Unsafe,
    /// Not idempotent, with a large request body.
    Upload,
    /// A large response; not repeated once it has run.
    Download,
}

impl Kind {
    /// Reports whether a client may repeat a request that may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == Self::Safe
    }
}

/// Limits of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of flows that an upstream of the service can hold, if there is a limit. Invariant:
    /// not 0.
    pub max_flows: Option<u32>,
}

/// The reason why a plan is invalid.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// route {0} names service {1}, which the plan does not define
    UnknownService(Arc<str>, Arc<str>),
    /// routes {0} and {1} share the address {2}
    SharedAddress(Arc<str>, Arc<str>, SocketAddrV4),
    /// route {0} has a deadline of 0 ms
    NoDeadline(Arc<str>),
    /// route {0} has no service with a weight above 0
    NoWeight(Arc<str>),
}

impl std::error::Error for Fault {}

impl Plan {
    /// Checks the invariants of the routes and their references to services.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first invalid route.
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

    /// Returns a copy of the plan without the operator's text, as entry VMs receive it.
    #[must_use]
    pub fn without_text(&self) -> Self {
        Self {
            text: Arc::default(),
            ..self.clone()
        }
    }
}
