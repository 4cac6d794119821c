//! Search over all upstreams of a service, if random draws have found none.

use rand::Rng;

use super::{CANDIDATES, PlacementInputs, PlacementRequest, id};
use crate::{
    time::Instant,
    token::directory::{Members, Upstream},
};

/// Chooses an upstream after a search over all of them. Upstreams that were tried before or are
/// avoided for their health are a last resort.
pub(super) fn choose_from_all<'a>(
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
