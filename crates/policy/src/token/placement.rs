//! Which upstream takes a new flow.
//!
//! The load that it answers: many entry VMs, each of which sees a small part of the flows, before
//! upstreams with two or three slots; long flows with a request each second, and flows of one
//! request. A flow stays in this VM's failure domain, so that cuts between domains don't concern
//! it, unless answers show that the domain is overloaded. There, a few upstreams are drawn, and the
//! one with the least requests of this VM for each slot, weighed with how slow it is and how often
//! it fails, takes it. Drawing keeps VMs that know little from choosing the same upstream at once,
//! such as one that has just become ready.

use std::{collections::BTreeSet, sync::Arc};

use model::name::Name;
use rand::Rng;

use super::{
    cache::TtlCache,
    directory::{Directory, Members, Upstream},
    latency::LatencyTable,
    outlier::{OUTLIER_COST, OutlierDetector},
    sight::HealthTable,
};
use crate::time::Instant;

/// Upstreams that are drawn for one flow.
const CANDIDATES: usize = 3;

/// Draws before all upstreams are looked at: most of those that are drawn may not take the flow.
const MAX_DRAWS: usize = 16;

/// Requests, for each slot, that each upstream is taken to bear beside those of this VM.
const BACKGROUND_LOAD: f32 = 1.0;

/// How many times its even share of the slots a failure domain is taken to need; a domain with less
/// than that part of its share has to lend flows to the others from the start.
const HEADROOM: f32 = 2.0;

/// Time for which the slots of a service's failure domains aren't counted again, in milliseconds:
/// to count them means to look at all upstreams.
const LACKING_SHARE_CACHE_MS: u64 = 100;

/// What a choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that is wanted.
    pub service: &'a Arc<str>,
    /// Failure domain of this VM.
    pub domain: &'a Name,
    /// Failure domains that get nothing new.
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

/// What a choice is made by.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInputs<'a> {
    /// The upstreams that there are.
    pub directory: &'a Directory,
    /// How much each bears, and whether it answers.
    pub health: &'a HealthTable,
    /// How long each takes.
    pub latencies: &'a LatencyTable,
    /// How often each fails.
    pub outliers: &'a OutlierDetector,
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
            && !self.health.is_avoided(now, id(upstream))
    }

    fn failure_cost(&self, now: Instant, upstream: &Upstream) -> f32 {
        let service = &upstream.announced.service;
        self.outliers.cost(now, id(upstream), service)
    }

    /// What a flow costs at an upstream, against others.
    fn cost(&self, now: Instant, upstream: &Upstream) -> f32 {
        // Slots are far below the precision of the type.
        #[expect(clippy::cast_precision_loss)]
        let slots = upstream.announced.slots.max(1) as f32;
        let service = &upstream.announced.service;
        // An error may come at once: being quicker than usual is no merit.
        let slowness = self.latencies.slowness(now, id(upstream), service).max(1.0);
        let load = self.health.load(now, id(upstream)) / slots + BACKGROUND_LOAD;
        // A slow upstream misses deadlines long before it has as many requests as a quick one.
        load * slowness * slowness * self.failure_cost(now, upstream)
    }

    /// The cheapest of a few that are drawn from `ids` and fit; none where no draw hits.
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
    /// The part of each service's flows that the own failure domain has too few slots for.
    lacking_share: TtlCache<f32>,
}

impl Selector {
    /// Chooses an upstream for a new flow; none where no upstream may take one.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'a>,
        random: &mut impl Rng,
    ) -> Option<&'a Upstream> {
        let members = inputs.directory.members(request.service)?;
        let count = || lacking_share(now, request, inputs);
        let lacking_share =
            self.lacking_share
                .get(now, LACKING_SHARE_CACHE_MS, request.service, count);
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
        let is_near = |u: &Upstream| is_eligible(u) && request.is_local(u) != leaves_domain;
        let Some(near) = inputs.draw_cheapest(now, ids, is_near, random) else {
            return choose_from_all(now, request, inputs, members, leaves_domain, random);
        };
        if inputs.failure_cost(now, near) < OUTLIER_COST {
            return Some(near);
        }
        let far = inputs.draw_cheapest(now, members.all(), is_eligible, random);
        inputs.cheapest(now, [Some(near), far].into_iter().flatten())
    }
}

/// The part of the new flows for which the own failure domain has too few slots, where each domain
/// gets as many.
fn lacking_share(now: Instant, request: PlacementRequest<'_>, inputs: PlacementInputs<'_>) -> f32 {
    let all = inputs.directory.of_service(request.service);
    let (mut own, mut others) = (0.0, 0.0);
    let mut domains: BTreeSet<&Name> = BTreeSet::from([request.domain]);
    for upstream in all.filter(|u| inputs.is_eligible(now, request, u)) {
        // Slots are far below the precision of the type.
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

/// Looks at all upstreams for one that takes the flow: one that seems silent is better than none,
/// and one that was tried better than a refusal.
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
        .filter(|u| request.accepts_flows(now, u))
        .collect();
    let is_eligible = |u: &Upstream| inputs.is_eligible(now, request, u);
    let is_near = |u: &Upstream| is_eligible(u) && request.is_local(u) != leaves_domain;
    let ranks: [&dyn Fn(&Upstream) -> bool; 4] =
        [&is_near, &is_eligible, &|u| request.is_untried(u), &|_| {
            true
        }];
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
