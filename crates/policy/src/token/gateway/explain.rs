//! Explanation of where a new flow would go now, for operators.
//!
//! Nothing is changed: values that decisions depend on are computed on copies, and where a decision
//! is random, the explanation contains probabilities instead of a draw.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use displaydoc::Display;
use model::plan::RouteTerms;

use super::Gateway;
use crate::{
    time::Instant,
    token::{
        admission,
        placement::{PlacementInputs, PlacementRequest, preview},
    },
};

/// The reason why a VM can't say where a flow would go.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// this VM has not received a plan from a control VM yet
    NoPlan,
    /// plan {0} has no route for {1}: new flows are reset
    NoRoute(u64, SocketAddrV4),
    /// route {0} has no service with weight: new flows are reset
    NoTarget(Arc<str>),
    /// this VM knows no upstream of {0}: new flows are reset
    NoUpstreams(Arc<str>),
}

impl std::error::Error for Fault {}

/// Where a new flow would go.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// Version of the plan in force.
    pub plan_version: u64,
    /// Name of the route in the plan.
    pub route: Arc<str>,
    /// Deadline of requests on the route in milliseconds.
    pub deadline_ms: u64,
    /// Terms of the route; none if they haven't arrived.
    pub terms: Option<RouteTerms>,
    /// Whether opening packets are held, because most upstreams have yet to announce themselves.
    pub is_held: bool,
    /// Control VMs that the shared view is from, with the age of the last summary in milliseconds.
    pub view_sources: Vec<(SocketAddr, u64)>,
    /// Mean time of the route's requests in milliseconds.
    pub mean_ms: f32,
    /// Services of the route.
    pub targets: Vec<TargetExplanation>,
}

/// Where a new flow would go if the service is drawn for it.
#[derive(Debug, Clone)]
pub struct TargetExplanation {
    /// Name of the service.
    pub service: Arc<str>,
    /// Probability that the service is drawn first. Another one follows if no upstream accepts flows.
    pub probability: f64,
    /// Limit of open flows at an upstream.
    pub flow_limit: Option<u32>,
    /// The decision of admission.
    pub admission: admission::Preview,
    /// The distribution of the choice.
    pub placement: preview::Preview,
    /// Open flows that this VM knows, by the id of the upstream.
    pub own_flows: BTreeMap<u64, u32>,
}

impl Gateway {
    /// Explains where a new flow of `client` to `address` would go, without a change of any state.
    ///
    /// # Errors
    ///
    /// Fails with the reason if this VM can't say.
    pub fn explain(
        &self,
        now: Instant,
        address: SocketAddrV4,
        client: Option<Ipv4Addr>,
    ) -> Result<Explanation, Fault> {
        let plan = self.plan.as_ref().ok_or(Fault::NoPlan)?;
        let no_route = || Fault::NoRoute(plan.version, address);
        let route = self.routes.get(&address).ok_or_else(no_route)?;
        let planned = plan.routes.iter().rfind(|r| r.address == address);
        let name = planned.map_or_else(|| "".into(), |r| Arc::clone(&r.name));
        let Some(first) = route.targets.first() else {
            return Err(Fault::NoTarget(name));
        };
        let has_upstream = |service| self.directory.of_service(service).next().is_some();
        if !route.targets.iter().any(|t| has_upstream(&t.service)) {
            return Err(Fault::NoUpstreams(Arc::clone(&first.service)));
        }
        let is_gathering = |service| self.directory.is_gathering(now, service);
        let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
        let own_flows = self.open_flows();
        let targets = route.targets.iter().map(|target| {
            let service = &target.service;
            let caps = self.preview_caps(now, service);
            let request = PlacementRequest {
                service,
                route: address,
                domain: &self.settings.domain,
                out: self.excluded.all(),
                tried: None,
            };
            let inputs = PlacementInputs {
                directory: &self.directory,
                health: &self.health,
                latencies: &self.latencies,
                outliers: &self.outliers,
                caps: &caps,
                view: self.places_by_view.then_some(&self.view),
                costs: &self.costs,
            };
            let members = self.directory.of_service(service);
            let own_flows = members.filter_map(|u| {
                let id = u.announced.incarnation.id;
                Some((id, *own_flows.get(&id)?))
            });
            TargetExplanation {
                service: Arc::clone(service),
                probability: f64::from(target.weight) / total,
                flow_limit: self.flow_limit(service),
                admission: self.preview_admission(now, address, client, service),
                placement: self.selector.preview(now, request, inputs),
                own_flows: own_flows.collect(),
            }
        });
        let sources = self.view.sources(now);
        Ok(Explanation {
            plan_version: plan.version,
            route: name,
            deadline_ms: route.deadline_ms,
            terms: self.terms.in_force().map(|_| self.route_terms(address)),
            is_held: !self.is_settled(now)
                && route.targets.iter().any(|t| is_gathering(&t.service)),
            view_sources: sources.map(|(at, age_ms, ..)| (at, age_ms)).collect(),
            mean_ms: self.costs.mean_ms(address),
            targets: targets.collect(),
        })
    }
}
