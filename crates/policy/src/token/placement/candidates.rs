//! Upstreams of a service as candidates for new flows, with weights from the shared view.
//!
//! All entry VMs share a view that is a second old. If each chose the least loaded upstream, all
//! would choose the same one. Candidates are therefore drawn with a probability proportional to
//! their free capacity: as long as the flows of the view's age fit into the free capacity, no
//! upstream gets more than its part.

use model::name::Name;
use rand::Rng;

use super::levels::Domain;
use crate::token::work::Load;

/// Least part of an upstream's slots that counts as its capacity, so that some flows show when a
/// slow or refusing upstream has recovered.
const MIN_CAPACITY: f32 = 0.05;

/// Least part of an upstream's slots that counts as free, for the same reason.
const MIN_ROOM: f32 = 0.05;

/// Capacity of an upstream in the draw for flows with a single request, relative to its actual
/// capacity.
///
/// Such flows end before the view shows them. With weights by the actual free capacity, a share u of
/// occupied capacity would return after each second multiplied by -u / (1 - u), which oscillates
/// from u = 0.5 on; with a factor of 2, by -u / (2 - u), which fades.
const SINGLE_REQUEST_FACTOR: f32 = 2.0;

/// Values of an upstream that its weight is computed from.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Id of the upstream, unique among the candidates.
    pub id: u64,
    /// Failure domain of the upstream.
    pub domain: &'a Name,
    /// Announced slots.
    pub slots: f32,
    /// Load over all VMs; none if unknown.
    pub load: Option<Load>,
    /// Demand in slots that this VM has placed since the view.
    pub recent: f32,
}

/// How the weights of candidates are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowKind {
    /// The flow carries a single request, or few.
    Single,
    /// The flow will request work for some time.
    Long,
}

/// An upstream with its cumulative weights.
#[derive(Debug, Clone, Copy)]
pub struct Weighted {
    /// Id of the upstream.
    pub id: u64,
    /// Slots, divided by slowness and reduced by refusals.
    pub capacity: f32,
    /// Slowness without waits for other requests. Invariant: at least 1.
    pub slowness: f32,
    /// Demand over all VMs in slots, without that of this VM since the view.
    pub demand: f32,
    /// Sums of the weights up to this upstream within its domain.
    single_sum: f32,
    long_sum: f32,
}

/// Candidates of a failure domain.
#[derive(Debug, Clone)]
pub struct Group {
    /// The domain.
    pub domain: Name,
    /// Demand and capacity of the domain; none if no load in it is known.
    pub total: Option<Domain>,
    members: Vec<Weighted>,
}

impl Group {
    /// Draws a candidate by weight; none if there is no candidate.
    pub fn draw(&self, kind: FlowKind, random: &mut impl Rng) -> Option<Weighted> {
        let last = self.members.last()?;
        let sum = |member: &Weighted| match kind {
            FlowKind::Single => member.single_sum,
            FlowKind::Long => member.long_sum,
        };
        let offset = random.random::<f32>() * sum(last);
        let position = self.members.partition_point(|m| sum(m) <= offset);
        Some(self.members.get(position).copied().unwrap_or(*last))
    }

    /// Returns the candidates with their weights, which are their free slots.
    pub fn weights(&self, kind: FlowKind) -> impl Iterator<Item = (Weighted, f32)> {
        let mut before = 0.0;
        self.members.iter().map(move |member| {
            let sum = match kind {
                FlowKind::Single => member.single_sum,
                FlowKind::Long => member.long_sum,
            };
            let weight = sum - before;
            before = sum;
            (*member, weight)
        })
    }
}

/// All candidates of a service, by failure domain.
#[derive(Debug, Clone)]
pub struct Pool {
    groups: Vec<Group>,
}

impl Pool {
    /// Computes the weights of `candidates`. Returns none if the load of none is known.
    ///
    /// An upstream without a known load counts with the mean of the known ones.
    #[must_use]
    pub fn new(candidates: &[Candidate<'_>]) -> Option<Self> {
        let mean = mean_load(candidates)?;
        let mut groups: Vec<Group> = Vec::new();
        for candidate in candidates {
            let same = |g: &Group| g.domain == *candidate.domain;
            let position = groups.iter().position(same).unwrap_or_else(|| {
                groups.push(Group {
                    domain: candidate.domain.clone(),
                    total: None,
                    members: Vec::new(),
                });
                groups.len() - 1
            });
            groups[position].add(candidate, &mean);
        }
        for group in &mut groups {
            let is_known = group.total.is_some();
            let sum = |value: fn(&Weighted) -> f32| group.members.iter().map(value).sum();
            let total = Domain {
                demand: sum(|m| m.demand),
                capacity: sum(|m| m.capacity),
            };
            group.total = is_known.then_some(total);
        }
        Some(Self { groups })
    }

    /// Returns the candidates of each failure domain.
    #[must_use]
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns the candidates in a failure domain.
    #[must_use]
    pub fn in_domain(&self, domain: &Name) -> Option<&Group> {
        self.groups.iter().find(|g| g.domain == *domain)
    }

    /// Returns the candidates of each other failure domain in which the load of an upstream is
    /// known, with the domain's demand and capacity.
    pub fn known_others<'a>(
        &'a self,
        domain: &'a Name,
    ) -> impl Iterator<Item = (&'a Group, Domain)> {
        let others = self.groups.iter().filter(move |g| g.domain != *domain);
        others.filter_map(|g| g.total.map(|total| (g, total)))
    }
}

impl Group {
    fn add(&mut self, candidate: &Candidate<'_>, mean: &MeanLoad) {
        let slots = candidate.slots;
        let (slowness, refused_share, demand) = match candidate.load {
            Some(load) => (load.slowness, load.refused_share, load.demand),
            None => (mean.slowness, mean.refused_share, mean.demand * slots),
        };
        if candidate.load.is_some() {
            self.total.get_or_insert_default();
        }
        let slowness = own_slowness(slowness, demand / slots);
        let effective = slots / slowness * (1.0 - refused_share.clamp(0.0, 1.0));
        let capacity = effective.max(slots * MIN_CAPACITY);
        let free = |all: f32| (all - demand - candidate.recent).max(slots * MIN_ROOM);
        let (single, long) = (free(capacity * SINGLE_REQUEST_FACTOR), free(capacity));
        let (single_sum, long_sum) = self
            .members
            .last()
            .map_or((0.0, 0.0), |last| (last.single_sum, last.long_sum));
        self.members.push(Weighted {
            id: candidate.id,
            capacity,
            slowness,
            demand,
            single_sum: single_sum + single,
            long_sum: long_sum + long,
        });
    }
}

/// Returns the slowness that is left of the observed `slowness` without the waits for other requests,
/// at a demand per slot of `demand`.
///
/// Waits grow with the demand. Without this correction the demand would count twice, and an upstream
/// that is 65% occupied would count as overloaded. Two slots with random arrivals extend the response
/// time by a factor of 1 / (1 - u^2), where u is the demand times the remaining slowness.
fn own_slowness(slowness: f32, demand: f32) -> f32 {
    let extended = demand * slowness;
    let root = (1.0 + 4.0 * extended * extended).sqrt();
    // Equal to (root - 1) / (2 * demand^2 * slowness), but also precise for a small demand.
    (2.0 * slowness / (root + 1.0)).max(1.0)
}

/// Mean of the known loads.
#[derive(Debug, Clone, Copy)]
struct MeanLoad {
    /// Demand per slot.
    demand: f32,
    slowness: f32,
    refused_share: f32,
}

fn mean_load(candidates: &[Candidate<'_>]) -> Option<MeanLoad> {
    let known = candidates.iter().filter_map(|c| Some((c.slots, c.load?)));
    let (mut count, mut slots) = (0.0, 0.0);
    let (mut demand, mut slowness, mut refused_share) = (0.0, 0.0, 0.0);
    for (own_slots, load) in known {
        count += 1.0;
        slots += own_slots;
        demand += load.demand;
        slowness += load.slowness;
        refused_share += load.refused_share;
    }
    (count > 0.0).then(|| MeanLoad {
        demand: demand / slots,
        slowness: slowness / count,
        refused_share: refused_share / count,
    })
}
