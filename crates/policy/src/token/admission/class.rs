//! Classes of requests, by the order in which they are refused.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use model::plan::{Plan, Terms};

/// A class of requests. Classes are ordered by precedence; the first is refused last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Whether clients may repeat requests that may have run. Others take precedence, because a
    /// late failure can't be mended by the client.
    pub is_idempotent: bool,
    /// Response-time goal in milliseconds; `u64::MAX` if there is none. A shorter goal takes
    /// precedence, because it leaves less time for another attempt.
    pub goal_ms: u64,
}

impl Default for Class {
    /// Returns the class of routes without terms, which has the lowest precedence.
    fn default() -> Self {
        Self {
            priority: u32::MAX,
            is_idempotent: true,
            goal_ms: u64::MAX,
        }
    }
}

/// Returns the class of each route of the plan.
pub(super) fn of_routes(plan: &Plan, terms: &Terms) -> BTreeMap<SocketAddrV4, Class> {
    let by_address: BTreeMap<SocketAddrV4, Class> = terms
        .routes
        .iter()
        .map(|route| {
            let class = Class {
                priority: route.priority,
                is_idempotent: route.kind.is_idempotent(),
                goal_ms: route.goal_ms.filter(|ms| *ms > 0).unwrap_or(u64::MAX),
            };
            (route.address, class)
        })
        .collect();
    let class_of = |address| by_address.get(&address).copied().unwrap_or_default();
    plan.routes
        .iter()
        .map(|route| (route.address, class_of(route.address)))
        .collect()
}

/// Returns the classes of each service of the plan, the highest precedence first.
pub(super) fn of_services(
    plan: &Plan,
    routes: &BTreeMap<SocketAddrV4, Class>,
) -> BTreeMap<Arc<str>, Vec<Class>> {
    let mut services: BTreeMap<Arc<str>, BTreeSet<Class>> = BTreeMap::new();
    for route in &plan.routes {
        let class = routes.get(&route.address).copied().unwrap_or_default();
        for target in route.targets.iter().filter(|t| t.weight > 0) {
            let classes = services.entry(Arc::clone(&target.service)).or_default();
            classes.insert(class);
        }
    }
    services
        .into_iter()
        .map(|(service, classes)| (service, classes.into_iter().collect()))
        .collect()
}
