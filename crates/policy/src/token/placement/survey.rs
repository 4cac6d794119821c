//! Survey of the upstreams of a service, which is reused for many flows.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::name::Name;

use super::{
    PlacementInputs, PlacementRequest,
    candidates::{Candidate, Pool},
    id,
    levels::{Balance, Domain, STEP_MS},
    recent::Recent,
};
use crate::{
    time::Instant,
    token::{directory::Upstream, work::Load},
};

/// Factor by which a failure domain may fall short of its even share of the slots. A domain with
/// fewer slots than its even share divided by this factor sends flows to other domains from the
/// start.
const HEADROOM: f32 = 2.0;

/// Time in milliseconds for which a survey without the shared view is reused. A survey iterates over
/// all upstreams.
const TTL_MS: u64 = 100;

/// The same for a survey with the view, which changes once a second. With 6,500 upstreams a survey
/// took 2.5 ms, which is 2.5% of a core if it is repeated every 100 ms.
const TTL_WITH_VIEW_MS: u64 = 250;

/// Age in milliseconds up to which a load is used.
const FRESH_MS: u64 = 3_000;

/// Age in milliseconds up to which a load in another failure domain is used, if any load of the
/// service is younger than [`FRESH_MS`]. Control VMs send loads of other domains only every 4 s.
const FRESH_ELSEWHERE_MS: u64 = 5_000;

/// What the placement of flows of a service is based on.
#[derive(Debug)]
pub(super) struct Survey {
    /// Share of new flows for which the own failure domain has too few slots.
    lacking_share: f32,
    /// Candidates with weights; none if the view knows no recent load of any of them.
    pub(super) pool: Option<Pool>,
    /// Share of new flows that leaves the own failure domain by the levels of the domains; none if
    /// the level of the own domain is unknown.
    pub(super) leaving_share: Option<f32>,
}

impl Survey {
    pub(super) fn new<'a>(
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'a>,
        recent: &Recent,
        balances: &mut BTreeMap<Arc<str>, (Instant, Balance)>,
    ) -> Self {
        let mut slots = SlotCount::new(request.domain);
        let mut candidates = Vec::new();
        let mut is_fresh = false;
        for upstream in inputs.directory.of_service(request.service) {
            let is_avoided = || inputs.health.is_avoided(now, id(upstream));
            if !request.accepts_flows(now, upstream) || is_avoided() {
                continue;
            }
            if request.is_untried(upstream) {
                slots.add(upstream, request.is_local(upstream));
            }
            let load = inputs.view.and_then(|v| v.load(now, upstream.token));
            is_fresh |= load.is_some_and(|l| l.age_ms <= FRESH_MS);
            candidates.push((upstream, load));
        }
        let candidate = |(upstream, load): (&'a Upstream, Option<Load>)| {
            let max_age_ms = match request.is_local(upstream) {
                true => FRESH_MS,
                false => FRESH_ELSEWHERE_MS,
            };
            Candidate {
                id: id(upstream),
                domain: &upstream.announced.domain,
                slots: f32::from(
                    u16::try_from(upstream.announced.slots.max(1)).unwrap_or(u16::MAX),
                ),
                load: load.filter(|l| l.age_ms <= max_age_ms),
                recent: recent.demand(now, id(upstream)),
            }
        };
        let pool = is_fresh.then(|| {
            let candidates: Vec<_> = candidates.into_iter().map(candidate).collect();
            Pool::new(&candidates)
        });
        let pool = pool.flatten();
        let leaving_share = pool
            .as_ref()
            .and_then(|p| leaving_share(now, request, p, balances));
        Self {
            lacking_share: slots.lacking_share(),
            pool,
            leaving_share,
        }
    }

    /// Returns the time in milliseconds for which the survey is reused.
    pub(super) fn ttl_ms(&self) -> u64 {
        match self.pool {
            Some(_) => TTL_WITH_VIEW_MS,
            None => TTL_MS,
        }
    }

    /// Returns the share of new flows that leaves the own failure domain by what this VM sees.
    pub(super) fn leaving_share_without_view(
        &self,
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'_>,
    ) -> f32 {
        let slower = inputs
            .latencies
            .leaving_share(now, request.service, request.domain);
        self.lacking_share.max(slower)
    }
}

/// Returns the share of new flows that leaves the own failure domain by the levels of the domains.
fn leaving_share(
    now: Instant,
    request: PlacementRequest<'_>,
    pool: &Pool,
    balances: &mut BTreeMap<Arc<str>, (Instant, Balance)>,
) -> Option<f32> {
    let Some(own) = pool.in_domain(request.domain) else {
        // All flows leave a domain without upstreams.
        return Some(1.0);
    };
    let own = own.total?;
    let others: Vec<Domain> = pool.known_others(request.domain).map(|(_, d)| d).collect();
    let (stepped_at, balance) = balances
        .entry(Arc::clone(request.service))
        .or_insert_with(|| (now.minus_ms(STEP_MS), Balance::default()));
    if now.ms_since(*stepped_at) >= STEP_MS {
        *balance = balance.step(own, &others);
        *stepped_at = now;
    }
    Some(balance.share)
}

/// Slots of the own failure domain and the others.
struct SlotCount<'a> {
    own: f32,
    others: f32,
    domains: BTreeSet<&'a Name>,
}

impl<'a> SlotCount<'a> {
    fn new(domain: &'a Name) -> Self {
        Self {
            own: 0.0,
            others: 0.0,
            domains: BTreeSet::from([domain]),
        }
    }

    fn add(&mut self, upstream: &'a Upstream, is_local: bool) {
        // Slots are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let slots = upstream.announced.slots as f32;
        match is_local {
            true => self.own += slots,
            false => self.others += slots,
        }
        self.domains.insert(&upstream.announced.domain);
    }

    /// Returns the share of new flows for which the own failure domain has too few slots, assuming
    /// that each domain gets the same number of flows.
    fn lacking_share(&self) -> f32 {
        if self.own == 0.0 || self.others == 0.0 {
            return 0.0;
        }
        #[expect(clippy::cast_precision_loss)]
        let domains = self.domains.len() as f32;
        (1.0 - HEADROOM * domains * self.own / (self.own + self.others)).max(0.0)
    }
}
