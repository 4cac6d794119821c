//! Which failure domain's steward gets a request.
//!
//! Two domains are drawn at random, weighted by their slots, and the less busy one is taken. How
//! busy a domain is comes from the hints on its steward's answers and from what this VM has sent
//! there since; the hints only steer, the steward decides.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    config::{DomainState, UpstreamState},
    name::Name,
};
use rand::Rng;

use crate::{io::Context, load::work::Hint, time::Instant, view::View};

/// Time for which a hint counts, in milliseconds.
const HINT_MS: u64 = 500;

/// Parts into which a full load is divided where loads are compared.
const FULL: u64 = 1_000;

/// What this VM knows of the steward of one service in one domain.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gauge {
    /// The last hint.
    hint: Hint,
    /// When it came.
    at: Instant,
    /// Requests sent there since.
    sent: u64,
    /// The steward whose epoch the hint has.
    dispatcher: Option<Name>,
}

/// A steward that a request may go to.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Its failure domain.
    pub(crate) domain: Name,
    /// Its name.
    pub(crate) dispatcher: Name,
    /// Slots of the upstreams in its domain.
    slots: u64,
}

/// What this VM knows of all stewards.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    gauges: BTreeMap<(Name, Name), Gauge>,
}

impl Gauges {
    /// Takes the hint of a steward.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        service: &Name,
        domain: &Name,
        dispatcher: &Name,
        hint: Hint,
    ) {
        let place = (service.clone(), domain.clone());
        let gauge = Gauge {
            hint,
            at: now,
            sent: 0,
            dispatcher: Some(dispatcher.clone()),
        };
        self.gauges.insert(place, gauge);
    }

    /// Forgets what VMs said that are no longer live. One that comes back is a new start, which
    /// can't tell whether work for the former start was run, and would leave it unknown.
    pub(crate) fn forget_lost(&mut self, view: &View) {
        let is_live = |gauge: &Gauge| {
            let dispatcher = gauge.dispatcher.as_ref();
            dispatcher.is_none_or(|dispatcher| view.get(dispatcher).is_some())
        };
        self.gauges.retain(|_, gauge| is_live(gauge));
    }

    /// Notes that a request goes to a steward; returns the epoch to name, 0 where none is known.
    pub(crate) fn send(&mut self, service: &Name, domain: &Name, dispatcher: &Name) -> u64 {
        let place = (service.clone(), domain.clone());
        let gauge = self.gauges.entry(place).or_default();
        gauge.sent += 1;
        if gauge.dispatcher.as_ref() == Some(dispatcher) {
            gauge.hint.epoch
        } else {
            0
        }
    }

    /// Chooses among the stewards of the domains that are not in `tried`.
    pub(crate) fn choose(
        &self,
        context: Context<'_>,
        rng: &mut impl Rng,
        service: &Name,
        tried: &BTreeSet<Name>,
    ) -> Option<Candidate> {
        let mut candidates = candidates(context, service);
        candidates.retain(|c| !tried.contains(&c.domain));
        let first = draw(&mut candidates, rng)?;
        let Some(second) = draw(&mut candidates, rng) else {
            return Some(first);
        };
        let load = |c: &Candidate| self.load(context.now, service, c);
        if load(&second) < load(&first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// How busy a steward's upstreams are, in parts of [`FULL`]; more than full is queued.
    fn load(&self, now: Instant, service: &Name, candidate: &Candidate) -> u64 {
        let place = (service.clone(), candidate.domain.clone());
        let Some(gauge) = self.gauges.get(&place) else {
            return 0;
        };
        let fresh = now.ms_since(gauge.at) <= HINT_MS;
        if !fresh {
            return gauge.sent * FULL / candidate.slots.max(1);
        }
        let busy = u64::from(gauge.hint.busy) + gauge.sent;
        if gauge.hint.limit == 0 {
            return u64::MAX;
        }
        busy * FULL / u64::from(gauge.hint.limit)
    }
}

/// Stewards of the service's upstreams that may get new work.
fn candidates(context: Context<'_>, service: &Name) -> Vec<Candidate> {
    let Some(service_settings) = context.config.services.get(service) else {
        return Vec::new();
    };
    let mut slots: BTreeMap<&Name, u64> = BTreeMap::new();
    for upstream in service_settings.upstreams.values() {
        if upstream.state == UpstreamState::Admitted {
            *slots.entry(&upstream.domain).or_default() += u64::from(upstream.slots);
        }
    }
    let is_in = |domain: &Name| {
        let domain = context.config.domains.get(domain);
        domain.is_some_and(|d| d.state == DomainState::In)
    };
    slots
        .into_iter()
        .filter(|(domain, _)| is_in(domain))
        .filter_map(|(domain, slots)| {
            let dispatcher = context.view.dispatcher(service, domain)?;
            Some(Candidate {
                domain: domain.clone(),
                dispatcher: dispatcher.name.clone(),
                slots,
            })
        })
        .collect()
}

/// Removes one candidate, drawn by its slots.
fn draw(candidates: &mut Vec<Candidate>, rng: &mut impl Rng) -> Option<Candidate> {
    let total: u64 = candidates.iter().map(|c| c.slots).sum();
    if total == 0 {
        return None;
    }
    let mut left = rng.random_range(0..total);
    let place = candidates.iter().position(|c| {
        let here = left < c.slots;
        left = left.saturating_sub(c.slots);
        here
    })?;
    Some(candidates.swap_remove(place))
}
