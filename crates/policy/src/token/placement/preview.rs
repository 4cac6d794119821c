//! Distribution of the next choice, computed instead of drawn.
//!
//! For operators who ask why a flow would go where it goes. The probabilities follow the rules of
//! [`Selector::choose`] with one simplification: the search for eligible candidates is assumed to
//! succeed within [`super::MAX_DRAWS`] draws if there is any.

use std::{collections::BTreeMap, net::SocketAddrV4};

use model::name::Name;

use super::{
    CANDIDATES, PlacementInputs, PlacementRequest, Selector,
    candidates::{FlowKind, Group},
    id,
    pool_draw::{COMPARED, PoolDraw, UNCOMPARED},
    survey::Survey,
};
use crate::{
    time::Instant,
    token::{
        directory::{Unavailable, Upstream},
        health::HealthStatus,
        outlier::OUTLIER_COST,
        work::Load,
    },
};

/// What the weights of the candidates are based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The shared view: candidates are drawn by free capacity, and the cheaper of two is chosen.
    SharedView,
    /// The requests of this VM: the cheapest of three candidates is chosen.
    OwnSight,
}

impl Basis {
    /// Returns the basis as a word for output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SharedView => "shared-view",
            Self::OwnSight => "own-sight",
        }
    }
}

/// The reason why an upstream gets no new flow while another one has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// The upstream doesn't accept flows.
    Unavailable(Unavailable),
    /// The upstream's failure domain is out of service.
    DomainOut,
    /// The upstream holds as many flows as it can.
    AtCap,
    /// The upstream is avoided for its health.
    Avoided(HealthStatus),
}

impl Exclusion {
    /// Returns the reason as a word for output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unavailable(Unavailable::Draining) => "draining",
            Self::Unavailable(Unavailable::Stopped) => "stopped",
            Self::Unavailable(Unavailable::Unclaimed) => "unclaimed",
            Self::Unavailable(Unavailable::Barred) => "barred",
            Self::Unavailable(Unavailable::Cold { .. }) => "cold",
            Self::DomainOut => "domain-out",
            Self::AtCap => "at-cap",
            Self::Avoided(HealthStatus::Down(_)) => "avoided-down",
            Self::Avoided(HealthStatus::Unconfirmed) => "avoided-unconfirmed",
            Self::Avoided(HealthStatus::Busy(_) | HealthStatus::Healthy) => "avoided-busy",
        }
    }
}

/// Values of a candidate by the shared view, as of the last survey.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Drawn {
    /// Slots, divided by slowness and reduced by refusals.
    pub capacity: f32,
    /// Slowness without waits for other requests.
    pub slowness: f32,
    /// Demand over all VMs in slots; the mean of the service if the upstream's load is unknown.
    pub demand: f32,
    /// Free capacity in slots, which is the weight of the draw within the failure domain.
    pub room: f32,
}

/// An upstream of the service.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Id of the upstream.
    pub id: u64,
    /// Address of the upstream.
    pub address: SocketAddrV4,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Announced slots.
    pub slots: u32,
    /// Reason why the upstream gets no new flow; none if it may.
    pub exclusion: Option<Exclusion>,
    /// Load by the shared view; none if nothing recent is known.
    pub load: Option<Load>,
    /// Number of control VMs that the load is from.
    pub sources: usize,
    /// Values by the shared view; none if the choice is not based on it or the upstream was not a
    /// candidate at the last survey.
    pub drawn: Option<Drawn>,
    /// Slots of the flows that this VM placed there and the view doesn't contain yet.
    pub recent: f32,
    /// Recent requests of this VM, weighted by age.
    pub own_requests: f32,
    /// Ratio of the response time that this VM sees to the usual one.
    pub own_slowness: f32,
    /// Factor of the cost for failures that this VM sees.
    pub failure_cost: f32,
    /// Relative cost by which drawn candidates are compared; none for excluded upstreams.
    pub cost: Option<f32>,
    /// Probability that the next flow goes there.
    pub probability: f64,
}

/// Distribution of the next choice for a service.
#[derive(Debug, Clone)]
pub struct Preview {
    /// What the choice is based on.
    pub basis: Basis,
    /// Kind of the flow.
    pub kind: FlowKind,
    /// Slots that the flow is expected to occupy.
    pub demand: f32,
    /// Share of new flows that leaves the failure domain of this VM, if another domain may get them.
    pub leaving_share: f32,
    /// Whether this share follows from the levels of the domains in the shared view.
    pub is_share_by_level: bool,
    /// Age of the survey that the choice is based on, in milliseconds.
    pub survey_age_ms: u64,
    /// Whether some choices fall back on upstreams that are avoided for their health.
    pub is_last_resort: bool,
    /// All upstreams of the service, the most likely first.
    pub candidates: Vec<Candidate>,
}

impl Selector {
    /// Returns the distribution of the next choice, without a change of this selector. The work grows
    /// with the number of upstreams.
    #[must_use]
    pub fn preview(
        &self,
        now: Instant,
        request: PlacementRequest<'_>,
        inputs: PlacementInputs<'_>,
    ) -> Preview {
        let mut recent = self.recent.clone();
        recent.expire(now);
        let mut balances = self.balances.clone();
        let computed;
        let (survey_age_ms, survey) = match self.surveys.peek(now, Survey::ttl_ms, request.service)
        {
            Some(cached) => cached,
            None => {
                computed = Survey::new(now, request, inputs, &recent, &mut balances);
                (0, &computed)
            }
        };
        let unseen_share = || survey.leaving_share_without_view(now, request, inputs);
        let share = match &survey.pool {
            Some(_) => survey.leaving_share.unwrap_or_else(unseen_share),
            None => unseen_share(),
        };
        let upstreams: Vec<&Upstream> = inputs.directory.of_service(request.service).collect();
        let mut distribution = Distribution::new(now, request, inputs, &upstreams);
        let mut drawn = BTreeMap::new();
        let kind = inputs.flow_kind(request);
        match (&survey.pool, inputs.directory.members(request.service)) {
            (Some(pool), Some(members)) => {
                let draw = PoolDraw {
                    now,
                    request,
                    inputs,
                    members,
                    pool,
                    recent: &recent,
                };
                for group in pool.groups() {
                    drawn.extend(drawn_of(group, kind, &draw, inputs));
                }
                distribution.add_pool(&draw, share, &drawn);
            }
            _ => distribution.add_own_sight(f64::from(share)),
        }
        let is_last_resort = distribution.is_last_resort;
        let probabilities = distribution.finish();
        let candidates = upstreams.iter().zip(probabilities);
        let mut candidates: Vec<Candidate> = candidates
            .map(|(upstream, probability)| {
                let upstream = *upstream;
                let id = id(upstream);
                let exclusion = exclusion(now, request, inputs, upstream);
                let values = drawn.get(&id).copied();
                let cost = match (&survey.pool, values) {
                    (Some(_), values) => values.map(|(_, cost)| cost),
                    (None, _) => Some(inputs.cost(now, upstream)),
                };
                Candidate {
                    id,
                    address: upstream.announced.address,
                    domain: upstream.announced.domain.clone(),
                    slots: upstream.announced.slots,
                    exclusion,
                    load: inputs.view.and_then(|v| v.load(now, upstream.token)),
                    sources: inputs
                        .view
                        .map_or(0, |v| v.source_count(now, upstream.token)),
                    drawn: values.map(|(drawn, _)| drawn),
                    recent: recent.demand(now, id),
                    own_requests: inputs.health.load(now, id),
                    own_slowness: inputs.latencies.slowness(now, id, request.service),
                    failure_cost: inputs.failure_cost(now, upstream),
                    cost: cost.filter(|_| exclusion.is_none()),
                    probability,
                }
            })
            .collect();
        candidates.sort_by(|a, b| b.probability.total_cmp(&a.probability));
        Preview {
            basis: match survey.pool {
                Some(_) => Basis::SharedView,
                None => Basis::OwnSight,
            },
            kind,
            demand: inputs.expected_demand(request),
            leaving_share: share,
            is_share_by_level: survey.leaving_share.is_some(),
            survey_age_ms,
            is_last_resort,
            candidates,
        }
    }
}

/// Returns the values and the relative cost of each member of `group`.
fn drawn_of<'a>(
    group: &'a Group,
    kind: FlowKind,
    draw: &'a PoolDraw<'_, '_>,
    inputs: PlacementInputs<'a>,
) -> impl Iterator<Item = (u64, (Drawn, f32))> + 'a {
    group.weights(kind).filter_map(move |(member, room)| {
        let upstream = inputs.directory.get(member.id)?;
        let drawn = Drawn {
            capacity: member.capacity,
            slowness: member.slowness,
            demand: member.demand,
            room,
        };
        Some((member.id, (drawn, draw.cost(kind, &member, upstream))))
    })
}

fn exclusion(
    now: Instant,
    request: PlacementRequest<'_>,
    inputs: PlacementInputs<'_>,
    upstream: &Upstream,
) -> Option<Exclusion> {
    let id = id(upstream);
    if let Some(unavailable) = upstream.unavailable(now) {
        return Some(Exclusion::Unavailable(unavailable));
    }
    if request.out.contains(&upstream.announced.domain) {
        return Some(Exclusion::DomainOut);
    }
    if inputs.caps.is_full(id) {
        return Some(Exclusion::AtCap);
    }
    let is_avoided = inputs.health.is_avoided(now, id);
    is_avoided.then(|| Exclusion::Avoided(inputs.health.status(id)))
}

/// A candidate in a draw.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Position of the upstream.
    position: usize,
    weight: f64,
    cost: f32,
}

/// Probability of each upstream of a service.
struct Distribution<'a> {
    entries: Vec<Entry>,
    is_eligible: Vec<bool>,
    is_local: Vec<bool>,
    /// Whether the upstream accepts flows and is not at its cap, whatever its health.
    has_room: Vec<bool>,
    is_outlier: Vec<bool>,
    positions: BTreeMap<u64, usize>,
    /// Probabilities of choices that are replaced if the upstream is an outlier.
    preferred: Vec<f64>,
    /// Probabilities of final choices.
    chosen: Vec<f64>,
    is_last_resort: bool,
    request: PlacementRequest<'a>,
}

impl<'a> Distribution<'a> {
    fn new(
        now: Instant,
        request: PlacementRequest<'a>,
        inputs: PlacementInputs<'_>,
        upstreams: &[&Upstream],
    ) -> Self {
        let entries = upstreams.iter().enumerate().map(|(position, u)| Entry {
            position,
            weight: 1.0,
            cost: inputs.cost(now, u),
        });
        let all = |fits: &dyn Fn(&Upstream) -> bool| upstreams.iter().map(|u| fits(u)).collect();
        let ids = upstreams.iter().map(|u| id(u));
        Self {
            entries: entries.collect(),
            is_eligible: all(&|u| inputs.is_eligible(now, request, u)),
            is_local: all(&|u| request.is_local(u)),
            has_room: all(&|u| request.accepts_flows(now, u) && !inputs.caps.is_full(id(u))),
            is_outlier: all(&|u| inputs.failure_cost(now, u) >= OUTLIER_COST),
            positions: ids
                .enumerate()
                .map(|(position, id)| (id, position))
                .collect(),
            preferred: vec![0.0; upstreams.len()],
            chosen: vec![0.0; upstreams.len()],
            is_last_resort: false,
            request,
        }
    }

    /// Adds the choices by the shared view.
    fn add_pool(
        &mut self,
        draw: &PoolDraw<'_, '_>,
        share: f32,
        drawn: &BTreeMap<u64, (Drawn, f32)>,
    ) {
        let total: f32 = draw.receivers().map(|(_, weight)| weight).sum();
        let leaving = match total > 0.0 {
            true => f64::from(share),
            false => 0.0,
        };
        let own = draw.pool.in_domain(self.request.domain);
        self.add_group(own, 1.0 - leaving, false, drawn);
        for (group, weight) in draw.receivers().filter(|(_, weight)| *weight > 0.0) {
            let part = leaving * f64::from(weight / total);
            self.add_group(Some(group), part, true, drawn);
        }
    }

    fn add_group(
        &mut self,
        group: Option<&Group>,
        part: f64,
        leaves_domain: bool,
        drawn: &BTreeMap<u64, (Drawn, f32)>,
    ) {
        if part <= 0.0 {
            return;
        }
        // The kind doesn't matter: only the members are read here.
        let members = group.into_iter().flat_map(|g| g.weights(FlowKind::Long));
        let entries = members.filter_map(|(member, _)| {
            let position = *self.positions.get(&member.id)?;
            let (values, cost) = drawn.get(&member.id)?;
            self.is_eligible[position].then_some(Entry {
                position,
                weight: f64::from(values.room),
                cost: *cost,
            })
        });
        let entries: Vec<Entry> = entries.collect();
        if entries.is_empty() {
            return self.add_from_all(part, leaves_domain);
        }
        let alone = 1.0 / f64::from(UNCOMPARED);
        add_cheapest(&mut self.preferred, &entries, 1, part * alone);
        add_cheapest(
            &mut self.preferred,
            &entries,
            COMPARED,
            part * (1.0 - alone),
        );
    }

    /// Adds the choices by what this VM sees.
    fn add_own_sight(&mut self, share: f64) {
        for (leaves_domain, part) in [(false, 1.0 - share), (true, share)] {
            if part <= 0.0 {
                continue;
            }
            let entries = self.select(|d, position| {
                d.is_eligible[position] && d.is_local[position] != leaves_domain
            });
            match entries.is_empty() {
                true => self.add_from_all(part, leaves_domain),
                false => add_cheapest(&mut self.preferred, &entries, CANDIDATES, part),
            }
        }
    }

    /// Adds the choices of [`super::choose_from_all`].
    fn add_from_all(&mut self, part: f64, leaves_domain: bool) {
        let ranks = [
            self.select(|d, p| d.is_eligible[p] && d.is_local[p] != leaves_domain),
            self.select(|d, p| d.is_eligible[p]),
            self.select(|d, p| d.has_room[p]),
        ];
        if let Some((rank, entries)) = ranks.iter().enumerate().find(|(_, e)| !e.is_empty()) {
            self.is_last_resort |= rank == 2;
            add_cheapest(&mut self.chosen, entries, CANDIDATES, part);
        }
    }

    fn select(&self, fits: impl Fn(&Self, usize) -> bool) -> Vec<Entry> {
        let all = self.entries.iter().copied();
        all.filter(|e| fits(self, e.position)).collect()
    }

    /// Returns the probabilities after outliers gave way to cheaper upstreams of any domain.
    fn finish(mut self) -> Vec<f64> {
        let mut others = self.select(|d, position| d.is_eligible[position]);
        others.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut replaces = vec![0.0; self.entries.len()];
        add_cheapest(&mut replaces, &others, CANDIDATES, 1.0);
        // Probability that the replacement costs less than a given cost.
        let mut cheaper = 0.0;
        let mut moving = vec![0.0; self.entries.len()];
        for same in others.chunk_by(|a, b| a.cost.total_cmp(&b.cost).is_eq()) {
            for entry in same.iter().filter(|e| self.is_outlier[e.position]) {
                let preferred = &mut self.preferred[entry.position];
                moving[entry.position] = *preferred;
                *preferred *= 1.0 - cheaper;
            }
            cheaper += same.iter().map(|e| replaces[e.position]).sum::<f64>();
        }
        // Probability that an outlier with a higher cost was preferred.
        let mut dearer = 0.0;
        for same in others
            .chunk_by(|a, b| a.cost.total_cmp(&b.cost).is_eq())
            .rev()
        {
            for entry in same {
                self.chosen[entry.position] += replaces[entry.position] * dearer;
            }
            dearer += same.iter().map(|e| moving[e.position]).sum::<f64>();
        }
        let all = self.chosen.iter().zip(&self.preferred);
        all.map(|(chosen, preferred)| chosen + preferred).collect()
    }
}

/// Adds `part` to the probabilities, distributed as the cheapest of `draws` draws by weight.
///
/// The cheapest costs at least c with the probability that each draw does. Of draws with an equal
/// cost, the first wins.
fn add_cheapest(probabilities: &mut [f64], entries: &[Entry], draws: usize, part: f64) {
    let total: f64 = entries.iter().map(|e| e.weight).sum();
    if total <= 0.0 {
        return;
    }
    let draws = i32::try_from(draws).unwrap_or(i32::MAX);
    let mut by_cost = entries.to_vec();
    by_cost.sort_by(|a, b| b.cost.total_cmp(&a.cost));
    let mut dearer = 0.0;
    for same in by_cost.chunk_by(|a, b| a.cost.total_cmp(&b.cost).is_eq()) {
        let weight: f64 = same.iter().map(|e| e.weight).sum();
        let up_to = dearer + weight / total;
        let wins = up_to.powi(draws) - dearer.powi(draws);
        for entry in same {
            probabilities[entry.position] += part * wins * entry.weight / weight;
        }
        dearer = up_to;
    }
}
