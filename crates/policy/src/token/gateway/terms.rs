//! The terms of the plan in force: demands on the requests of each route, and limits of services.
//!
//! Terms arrive in a message of their own, possibly from another control VM than the plan, so they
//! may arrive before their plan. Without terms, all routes have the same priority and no service has
//! a limit.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use model::plan::{Kind, LOWEST_PRIORITY, Plan, RouteTerms, Terms};

use super::Gateway;

/// Effect of terms that were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermsEffect {
    /// The terms are in force.
    Applied,
    /// The terms belong to a newer plan and are kept until that plan arrives.
    Kept,
    /// The terms belong to an older plan, or newer terms are kept already.
    Ignored,
}

/// Terms of the plan in force, and of a newer plan if they arrived before it.
#[derive(Debug, Clone, Default)]
pub(super) struct TermsTable {
    /// Terms in force, as received.
    in_force: Option<Arc<Terms>>,
    routes: BTreeMap<SocketAddrV4, RouteTerms>,
    /// Invariant: no limit is 0.
    flow_limits: BTreeMap<Arc<str>, u32>,
    /// Number of entries that named no route or service of the plan in force.
    unknown: usize,
    /// Terms of a plan that is newer than the plan in force.
    early: Option<Arc<Terms>>,
}

impl TermsTable {
    /// Drops the terms of the previous plan and puts those of `plan` in force if they have arrived.
    pub(super) fn replace_plan(&mut self, plan: &Plan) {
        let early = self.early.take();
        *self = Self::default();
        if let Some(early) = early {
            self.apply(Some(plan), early);
        }
    }

    /// Returns the terms in force, if they are known.
    pub(super) fn in_force(&self) -> Option<&Terms> {
        self.in_force.as_deref()
    }

    fn apply(&mut self, plan: Option<&Plan>, terms: Arc<Terms>) -> TermsEffect {
        match plan {
            Some(plan) if plan.version == terms.version => {
                self.put_in_force(plan, &terms);
                self.in_force = Some(terms);
                TermsEffect::Applied
            }
            Some(plan) if plan.version > terms.version => TermsEffect::Ignored,
            _ => {
                let newest = self.early.as_ref().map(|early| early.version);
                if newest.is_some_and(|newest| newest >= terms.version) {
                    return TermsEffect::Ignored;
                }
                self.early = Some(terms);
                TermsEffect::Kept
            }
        }
    }

    fn put_in_force(&mut self, plan: &Plan, terms: &Terms) {
        self.routes = BTreeMap::new();
        self.flow_limits = BTreeMap::new();
        self.unknown = 0;
        for route in &terms.routes {
            if !plan.routes.iter().any(|r| r.address == route.address) {
                self.unknown += 1;
                continue;
            }
            let goal_ms = route.goal_ms.filter(|goal| *goal > 0);
            self.routes
                .insert(route.address, RouteTerms { goal_ms, ..*route });
        }
        for service in &terms.services {
            if !plan.services.iter().any(|s| s.name == service.name) {
                self.unknown += 1;
                continue;
            }
            if let Some(limit) = service.max_flows.filter(|limit| *limit > 0) {
                self.flow_limits.insert(Arc::clone(&service.name), limit);
            }
        }
    }
}

impl Gateway {
    /// Applies the terms of the plan in force, or keeps terms of a newer plan until that plan
    /// arrives.
    pub fn apply_terms(&mut self, terms: Arc<Terms>) -> TermsEffect {
        let effect = self.terms.apply(self.plan.as_deref(), terms);
        if effect == TermsEffect::Applied {
            self.apply_terms_in_force();
        }
        effect
    }

    /// Returns the version of the plan in force if its terms are known.
    #[must_use]
    pub fn terms_version(&self) -> Option<u64> {
        self.terms.in_force.as_ref().map(|terms| terms.version)
    }

    /// Returns the version of the plan in force if its terms have not arrived. A control VM of the
    /// build before sends a plan without terms.
    #[must_use]
    pub fn plan_version_without_terms(&self) -> Option<u64> {
        self.plan_version()
            .filter(|_| self.terms.in_force.is_none())
    }

    /// Returns the number of entries of the terms in force that were left out because the plan
    /// defines no such route or service.
    #[must_use]
    pub fn unknown_terms(&self) -> usize {
        self.terms.unknown
    }

    /// Returns the terms of the route with the given address. Without terms, the route has the
    /// lowest priority, no goal, and requests that must not be repeated.
    #[must_use]
    pub fn route_terms(&self, address: SocketAddrV4) -> RouteTerms {
        let known = self.terms.routes.get(&address).copied();
        known.unwrap_or(RouteTerms {
            address,
            kind: Kind::Unsafe,
            priority: LOWEST_PRIORITY,
            goal_ms: None,
        })
    }

    /// Returns the number of flows that an upstream of `service` can hold, if there is a limit.
    #[must_use]
    pub fn flow_limit(&self, service: &str) -> Option<u32> {
        self.terms.flow_limits.get(service).copied()
    }
}
