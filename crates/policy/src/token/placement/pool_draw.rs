//! Choice of an upstream by the weights of the shared view.

use rand::Rng;

use super::{
    BACKGROUND_LOAD, MAX_DRAWS, PlacementInputs, PlacementRequest,
    candidates::{FlowKind, Group, Pool, Weighted},
    choose_from_all, id,
    levels::receiver_weight,
    recent::Recent,
};
use crate::{
    time::Instant,
    token::directory::{Members, Upstream},
};

/// Number of candidates that are compared for a flow.
pub(super) const COMPARED: usize = 2;

/// One in this number of flows goes to the first candidate without a comparison. A slow upstream
/// loses nearly all comparisons, and its recovery would not show. With one in 10, fewer requests were
/// in time where a third of the upstreams is slow: 0.954 against 0.967 without any.
pub(super) const UNCOMPARED: u32 = 40;

/// A choice from a pool of weighted candidates.
pub(super) struct PoolDraw<'a, 'b> {
    pub(super) now: Instant,
    pub(super) request: PlacementRequest<'b>,
    pub(super) inputs: PlacementInputs<'a>,
    pub(super) members: &'b Members,
    pub(super) pool: &'b Pool,
    pub(super) recent: &'b Recent,
}

impl<'a> PoolDraw<'a, '_> {
    /// Chooses an upstream. `leaving_share` is the share of new flows that leaves the own failure
    /// domain.
    pub(super) fn choose(&self, leaving_share: f32, random: &mut impl Rng) -> Option<&'a Upstream> {
        let Self {
            now,
            request,
            inputs,
            members,
            ..
        } = *self;
        let leaves_domain = leaving_share > 0.0 && random.random::<f32>() < leaving_share;
        let receiver = leaves_domain.then(|| self.draw_receiver(random)).flatten();
        let leaves_domain = receiver.is_some();
        let group = receiver.or_else(|| self.pool.in_domain(request.domain));
        let preferred = group.and_then(|group| self.draw_cheapest(group, random));
        let Some(preferred) = preferred else {
            return choose_from_all(now, request, inputs, members, leaves_domain, random);
        };
        inputs.avoid_outlier(now, request, members, preferred, random)
    }

    /// Returns the other failure domains with a known load, with their weights in the draw for a
    /// leaving flow.
    pub(super) fn receivers(&self) -> impl Iterator<Item = (&Group, f32)> {
        let own = self.pool.in_domain(self.request.domain);
        let own = own.and_then(|group| group.total);
        let others = self.pool.known_others(self.request.domain);
        others.map(move |(group, other)| {
            let weight = match own {
                Some(own) => receiver_weight(own, other),
                None => other.capacity,
            };
            (group, weight)
        })
    }

    /// Draws the failure domain of a leaving flow; none if no domain may get it.
    fn draw_receiver(&self, random: &mut impl Rng) -> Option<&Group> {
        let total: f32 = self.receivers().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut offset = random.random::<f32>() * total;
        let mut drawn = None;
        for (group, weight) in self.receivers().filter(|(_, weight)| *weight > 0.0) {
            drawn = Some(group);
            offset -= weight;
            if offset < 0.0 {
                break;
            }
        }
        drawn
    }

    /// Returns the cheaper of two candidates that are drawn by weight; none if no draw is eligible.
    fn draw_cheapest(&self, group: &Group, random: &mut impl Rng) -> Option<&'a Upstream> {
        let kind = self.inputs.flow_kind(self.request);
        let compared = match random.random_ratio(1, UNCOMPARED) {
            true => 1,
            false => COMPARED,
        };
        let drawn = (0..MAX_DRAWS).filter_map(|_| {
            let drawn = group.draw(kind, random)?;
            // The upstream may have changed since the survey.
            let upstream = self.inputs.directory.get(drawn.id)?;
            let is_eligible = self.inputs.is_eligible(self.now, self.request, upstream);
            is_eligible.then(|| (self.cost(kind, &drawn, upstream), upstream))
        });
        let cheapest = drawn.take(compared).min_by(|(a, _), (b, _)| a.total_cmp(b));
        cheapest.map(|(_, upstream)| upstream)
    }

    /// Returns the relative cost of a flow at a candidate.
    ///
    /// A flow that lasts adds to the demand of the flows there, so the demand counts. A single
    /// request ends before the view shows it, so this VM's own requests count. Both are relative to
    /// the capacity: relative to the slots, the choice would take back part of the weights, and
    /// relative to the free capacity, it would react twice to a view that is a second old.
    ///
    /// A slow upstream loses against a fast one as long as that one has room. Its part by capacity
    /// would be served, but later than the goal of its requests.
    pub(super) fn cost(&self, kind: FlowKind, drawn: &Weighted, upstream: &Upstream) -> f32 {
        let load = match kind {
            FlowKind::Long => {
                (drawn.demand + self.recent.demand(self.now, drawn.id)) / drawn.capacity
            }
            FlowKind::Single => self.inputs.health.load(self.now, id(upstream)) / drawn.capacity,
        };
        (load + BACKGROUND_LOAD) * drawn.slowness * self.inputs.failure_cost(self.now, upstream)
    }
}
