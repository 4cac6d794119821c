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

use std::{collections::BTreeSet, sync::Arc};

use model::name::Name;
use rand::Rng;

use super::{
    admission::caps::Caps,
    cache::TtlCache,
    directory::{Directory, Members, Upstream},
    health::HealthTable,
    latency::LatencyTable,
    outlier::{OUTLIER_COST, OutlierDetector},
};
use crate::time::Instant;

/// Number of candidates that are compared for a flow.
const CANDIDATES: usize = 3;

/// Maximum number of draws to find the candidates. If all drawn upstreams are ineligible, the
/// search continues over all upstreams.
const MAX_DRAWS: usize = 16;

/// Assumed number of requests per slot from other VMs at each upstream.
const BACKGROUND_LOAD: f32 = 1.0;

/// Factor by which a failure domain may fall short of its even share of the slots. A domain with
/// fewer slots than its even share divided by this factor sends flows to other domains from the
/// start.
const HEADROOM: f32 = 2.0;

/// Time in milliseconds for which the count of a service's slots per failure domain is reused.
/// Counting iterates over all upstreams.
const LACKING_SHARE_CACHE_MS: u64 = 100;

/// Parameters of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service of the flow.
    pub service: &'a Arc<str>,
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
    /// For each service, the share of new flows for which the own failure domain has too few slots.
    lacking_share: TtlCache<f32>,
}

impl Selector {
    /// Chooses an upstream for a new flow. Returns none if no upstream accepts new flows.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'a>,
        random: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        let members = inputs.directory.members(request.service)?;
        let compute = || compute_lacking_share(now, request, inputs);
        let lacking_share =
            self.lacking_share
                .get(now, LACKING_SHARE_CACHE_MS, request.service, compute);
        let slower = inputs
            .latencies
            .leaving_share(now, request.service, request.domain);
        let leaving_share = lacking_share.max(slower);
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
        if inputs.failure_cost(now, preferred) < OUTLIER_COST {
            return Some(preferred);
        }
        let any = inputs.draw_cheapest(now, members.all(), is_eligible, random);
        inputs.cheapest(now, [Some(preferred), any].into_iter().flatten())
    }
}

/// Returns the share of new flows for which the own failure domain has too few slots, assuming that
/// each domain gets the same number of flows.
fn compute_lacking_share(
    now: Instant,
    request: PlacementRequest<'_>,
    inputs: PlacementInputs<'_>,
) -> f32 {
    let all = inputs.directory.of_service(request.service);
    let (mut own, mut others) = (0.0, 0.0);
    let mut domains: BTreeSet<&Name> = BTreeSet::from([request.domain]);
    for upstream in all.filter(|u| inputs.is_eligible(now, request, u)) {
        // Slots are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let slots = upstream.announced.slots as f32;
        match request.is_local(upstream) {
            true => own += slots,
            false => others += slots,
        }
        domains.insert(&upstream.announced.domain);
    }
    if own == 0.0 || others == 0.0 {
        return 0.0;
    }
    #[expect(clippy::cast_precision_loss)]
    let domains = domains.len() as f32;
    (1.0 - HEADROOM * domains * own / (own + others)).max(0.0)
}

/// Chooses an upstream after a search over all of them. Upstreams that were tried before or are
/// avoided for their health are a last resort.
fn choose_from_all<'a>(
    now: Instant,
    request: PlacementRequest<'_>,
    inputs: PlacementInputs<'a>,
    members: &Members,
    leaves_domain: bool,
    random: &mut impl Rng,
) -> Option<&'a Upstream> {
    let upstreams = members
        .all()
        .iter()
        .filter_map(|i| inputs.directory.get(*i));
    let all: Vec<&Upstream> = upstreams
        .filter(|u| request.accepts_flows(now, u) && !inputs.caps.is_full(id(u)))
        .collect();
    let is_eligible = |u: &Upstream| inputs.is_eligible(now, request, u);
    let is_preferred = |u: &Upstream| is_eligible(u) && request.is_local(u) != leaves_domain;
    let ranks: [&dyn Fn(&Upstream) -> bool; 4] = [
        &is_preferred,
        &is_eligible,
        &|u| request.is_untried(u),
        &|_| true,
    ];
    let pools = ranks.into_iter().map(|fits| {
        let pool = all.iter().copied().filter(|u| fits(u));
        pool.collect::<Vec<&Upstream>>()
    });
    let pool = pools.into_iter().find(|p| !p.is_empty())?;
    let drawn = (0..CANDIDATES).map(|_| pool[random.random_range(0..pool.len())]);
    inputs.cheapest(now, drawn)
}

fn id(upstream: &Upstream) -> u64 {
    upstream.announced.incarnation.id
}
