//! Choice of the upstream for a new flow.
//!
//! The intended load is many entry VMs, each with a small part of the flows, in front of upstreams
//! with two or three slots. Some flows are long with a request per second, others have a single
//! request.
//!
//! A flow stays in this VM's failure domain, so that cuts between domains don't affect the flow,
//! unless response times or slots show that the domain is overloaded. A few upstreams are drawn at
//! random, and the cheapest gets the flow. The cost is the number of this VM's requests per slot,
//! weighted by the slowness and failure rate of the upstream. Random draws keep VMs with little
//! information from choosing the same upstream at once, such as one that has just become ready.
//!
//! Where the shared view knows the load of upstreams, candidates are drawn by their free capacity
//! instead, and the share that leaves the domain follows from the levels of the domains; see
//! [`candidates`] and [`levels`].

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use model::name::Name;
use rand::Rng;

use super::{
    admission::caps::Caps,
    cache::TtlCache,
    cost,
    directory::{Directory, Members, Upstream},
    health::HealthTable,
    latency::LatencyTable,
    outlier::{OUTLIER_COST, OutlierDetector},
    work,
};
use crate::time::Instant;

pub mod candidates;
pub mod levels;
mod pool_draw;
pub mod preview;
mod recent;
mod search;
mod survey;

use candidates::FlowKind;
use levels::Balance;
use pool_draw::PoolDraw;
use recent::Recent;
use search::choose_from_all;
use survey::Survey;

/// Number of candidates that are compared for a flow.
const CANDIDATES: usize = 3;

/// Maximum number of draws to find the candidates. If all drawn upstreams are ineligible, the
/// search continues over all upstreams.
const MAX_DRAWS: usize = 16;

/// Assumed number of requests per slot from other VMs at each upstream.
const BACKGROUND_LOAD: f32 = 1.0;

/// Parameters of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service of the flow.
    pub service: &'a Arc<str>,
    /// Route of the flow.
    pub route: SocketAddrV4,
    /// Failure domain of this VM.
    pub domain: &'a Name,
    /// Failure domains that get no new flows.
    pub out: &'a [Name],
    /// Upstream that the flow was sent to before, without an answer.
    pub tried: Option<u64>,
}

impl PlacementRequest<'_> {
    fn accepts_flows(&self, now: Instant, upstream: &Upstream) -> bool {
        upstream.accepts_flows_outside(now, self.out)
    }

    fn is_untried(&self, upstream: &Upstream) -> bool {
        self.tried != Some(id(upstream))
    }

    fn is_local(&self, upstream: &Upstream) -> bool {
        upstream.announced.domain == *self.domain
    }
}

/// Data about upstreams that a placement is based on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInputs<'a> {
    /// Known upstreams.
    pub directory: &'a Directory,
    /// Load and health of upstreams.
    pub health: &'a HealthTable,
    /// Response times of upstreams.
    pub latencies: &'a LatencyTable,
    /// Failure rates of upstreams.
    pub outliers: &'a OutlierDetector,
    /// Upstreams that hold as many flows as they can.
    pub caps: &'a Caps,
    /// Flows and work at upstreams, over all entry VMs; none if flows are placed by what this VM sees
    /// alone.
    pub view: Option<&'a work::View>,
    /// Costs of requests.
    pub costs: &'a cost::Table,
}

impl<'a> PlacementInputs<'a> {
    fn is_eligible(
        &self,
        now: Instant,
        request: PlacementRequest<'_>,
        upstream: &Upstream,
    ) -> bool {
        request.accepts_flows(now, upstream)
            && request.is_untried(upstream)
            && !self.caps.is_full(id(upstream))
            && !self.health.is_avoided(now, id(upstream))
    }

    fn failure_cost(&self, now: Instant, upstream: &Upstream) -> f32 {
        let service = &upstream.announced.service;
        self.outliers.cost(now, id(upstream), service)
    }

    /// Returns the relative cost of a flow at an upstream.
    fn cost(&self, now: Instant, upstream: &Upstream) -> f32 {
        // Slots are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let slots = upstream.announced.slots.max(1) as f32;
        let service = &upstream.announced.service;
        // A faulty upstream may answer with errors at once, so a fast answer is no advantage.
        let slowness = self.latencies.slowness(now, id(upstream), service).max(1.0);
        let load = self.health.load(now, id(upstream)) / slots + BACKGROUND_LOAD;
        // A slow upstream misses deadlines at a much lower load than a fast one.
        load * slowness * slowness * self.failure_cost(now, upstream)
    }

    fn flow_kind(&self, request: PlacementRequest<'_>) -> FlowKind {
        match self.costs.has_long_flows(request.route) {
            true => FlowKind::Long,
            false => FlowKind::Single,
        }
    }

    /// Returns the slots that a new flow is expected to occupy in its first second. The first
    /// request of a flow follows at once, also where further requests are rare.
    fn expected_demand(&self, request: PlacementRequest<'_>) -> f32 {
        let first_request = self.costs.mean_ms(request.route) / 1_000.0;
        self.costs.flow_demand(request.route).max(first_request)
    }

    /// Returns `preferred`, or a cheaper upstream of any failure domain if `preferred` is an
    /// outlier.
    fn avoid_outlier(
        &self,
        now: Instant,
        request: PlacementRequest<'_>,
        members: &Members,
        preferred: &'a Upstream,
        random: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        if self.failure_cost(now, preferred) < OUTLIER_COST {
            return Some(preferred);
        }
        let is_eligible = |u: &Upstream| self.is_eligible(now, request, u);
        let any = self.draw_cheapest(now, members.all(), is_eligible, random);
        self.cheapest(now, [Some(preferred), any].into_iter().flatten())
    }

    /// Returns the cheapest of a few upstreams that are drawn from `ids` and satisfy `fits`; none
    /// if no draw does.
    fn draw_cheapest(
        &self,
        now: Instant,
        ids: &[u64],
        fits: impl Fn(&Upstream) -> bool,
        random: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        if ids.is_empty() {
            return None;
        }
        let drawn = (0..MAX_DRAWS).filter_map(|_| {
            let upstream = self.directory.get(ids[random.random_range(0..ids.len())])?;
            fits(upstream).then_some(upstream)
        });
        self.cheapest(now, drawn.take(CANDIDATES))
    }

    fn cheapest(
        &self,
        now: Instant,
        drawn: impl Iterator<Item = &'a Upstream>,
    ) -> Option<&'a Upstream> {
        let with_cost = drawn.map(|u| (self.cost(now, u), u));
        let least = with_cost.min_by(|(a, _), (b, _)| a.total_cmp(b));
        least.map(|(_, upstream)| upstream)
    }
}

/// Chooses upstreams for new flows.
#[derive(Debug, Default)]
pub struct Selector {
    /// Recent survey of the upstreams of each service.
    surveys: TtlCache<Survey>,
    /// Balance between failure domains of each service, with the time of its last step.
    balances: BTreeMap<Arc<str>, (Instant, Balance)>,
    recent: Recent,
}

impl Selector {
    /// Discards everything that was derived from the plan.
    pub fn clear_surveys(&mut self) {
        self.surveys = TtlCache::default();
    }

    /// Chooses an upstream for a new flow. Returns none if no upstream accepts new flows.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'a>,
        random: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        let members = inputs.directory.members(request.service)?;
        self.recent.expire(now);
        let Self {
            surveys,
            balances,
            recent,
        } = self;
        let compute = || Survey::new(now, request, inputs, recent, balances);
        let survey = surveys.get_ref(now, Survey::ttl_ms, request.service, compute);
        let chosen = match &survey.pool {
            Some(pool) => {
                let draw = PoolDraw {
                    now,
                    request,
                    inputs,
                    members,
                    pool,
                    recent,
                };
                let share = survey
                    .leaving_share
                    .unwrap_or_else(|| survey.leaving_share_without_view(now, request, inputs));
                draw.choose(share, random)
            }
            None => choose_without_view(now, request, inputs, members, survey, random),
        };
        if let Some(upstream) = chosen {
            let kind = inputs.flow_kind(request);
            recent.add(id(upstream), kind, inputs.expected_demand(request));
        }
        chosen
    }
}

/// Chooses an upstream by what this VM sees.
fn choose_without_view<'a>(
    now: Instant,
    request: PlacementRequest<'_>,
    inputs: PlacementInputs<'a>,
    members: &Members,
    survey: &Survey,
    random: &mut impl Rng,
) -> Option<&'a Upstream> {
    let leaving_share = survey.leaving_share_without_view(now, request, inputs);
    let leaves_domain = leaving_share > 0.0 && random.random::<f32>() < leaving_share;
    let ids = match leaves_domain {
        true => members.all(),
        false => members.in_domain(request.domain),
    };
    let is_eligible = |u: &Upstream| inputs.is_eligible(now, request, u);
    let is_preferred = |u: &Upstream| is_eligible(u) && request.is_local(u) != leaves_domain;
    let Some(preferred) = inputs.draw_cheapest(now, ids, is_preferred, random) else {
        return choose_from_all(now, request, inputs, members, leaves_domain, random);
    };
    inputs.avoid_outlier(now, request, members, preferred, random)
}

fn id(upstream: &Upstream) -> u64 {
    upstream.announced.incarnation.id
}
