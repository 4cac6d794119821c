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

use crate::{io::Context, load::work::LoadHint, time::Instant, view::View};

/// Time for which a hint counts, in milliseconds.
const MAX_HINT_AGE_MS: u64 = 500;

/// Parts into which a full load is divided where loads are compared.
const FULL_LOAD: u64 = 1_000;

/// What this VM knows of the steward of one service in one domain.
#[derive(Debug, Clone, Default)]
pub(crate) struct DispatcherLoad {
    /// The last hint.
    load_hint: LoadHint,
    /// When it came.
    received_at: Instant,
    /// Requests sent there since.
    sent_since: u64,
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
pub(crate) struct DispatcherLoads {
    by_domain: BTreeMap<(Name, Name), DispatcherLoad>,
}

impl DispatcherLoads {
    /// Takes the hint of a steward.
    pub(crate) fn record_hint(
        &mut self,
        now: Instant,
        service: &Name,
        domain: &Name,
        dispatcher: &Name,
        load_hint: LoadHint,
    ) {
        let key = (service.clone(), domain.clone());
        let dispatcher_load = DispatcherLoad {
            load_hint,
            received_at: now,
            sent_since: 0,
            dispatcher: Some(dispatcher.clone()),
        };
        self.by_domain.insert(key, dispatcher_load);
    }

    /// Forgets what VMs said that are no longer live. One that comes back is a new start, which
    /// can't tell whether work for the former start was run, and would leave it unknown.
    pub(crate) fn remove_lost(&mut self, view: &View) {
        let is_live = |dispatcher_load: &DispatcherLoad| {
            let dispatcher = dispatcher_load.dispatcher.as_ref();
            dispatcher.is_none_or(|dispatcher| view.get(dispatcher).is_some())
        };
        self.by_domain
            .retain(|_, dispatcher_load| is_live(dispatcher_load));
    }

    /// Notes that a request goes to a steward; returns the epoch to name, 0 where none is known.
    pub(crate) fn record_send(&mut self, service: &Name, domain: &Name, dispatcher: &Name) -> u64 {
        let key = (service.clone(), domain.clone());
        let dispatcher_load = self.by_domain.entry(key).or_default();
        dispatcher_load.sent_since += 1;
        if dispatcher_load.dispatcher.as_ref() == Some(dispatcher) {
            dispatcher_load.load_hint.epoch
        } else {
            0
        }
    }

    /// Chooses among the stewards of the domains that are not in `tried`.
    pub(crate) fn choose_dispatcher(
        &self,
        context: Context<'_>,
        rng: &mut impl Rng,
        service: &Name,
        tried_domains: &BTreeSet<Name>,
    ) -> Option<Candidate> {
        let mut candidates = list_candidates(context, service);
        candidates.retain(|c| !tried_domains.contains(&c.domain));
        let first = draw_weighted(&mut candidates, rng)?;
        let Some(second) = draw_weighted(&mut candidates, rng) else {
            return Some(first);
        };
        let load = |c: &Candidate| self.load_of(context.now, service, c);
        if load(&second) < load(&first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// How busy a steward's upstreams are, in parts of [`FULL`]; more than full is queued.
    fn load_of(&self, now: Instant, service: &Name, candidate: &Candidate) -> u64 {
        let key = (service.clone(), candidate.domain.clone());
        let Some(dispatcher_load) = self.by_domain.get(&key) else {
            return 0;
        };
        let is_fresh = now.ms_since(dispatcher_load.received_at) <= MAX_HINT_AGE_MS;
        if !is_fresh {
            return dispatcher_load.sent_since * FULL_LOAD / candidate.slots.max(1);
        }
        let busy = u64::from(dispatcher_load.load_hint.busy) + dispatcher_load.sent_since;
        if dispatcher_load.load_hint.limit == 0 {
            return u64::MAX;
        }
        busy * FULL_LOAD / u64::from(dispatcher_load.load_hint.limit)
    }
}

/// Stewards of the service's upstreams that may get new work.
fn list_candidates(context: Context<'_>, service: &Name) -> Vec<Candidate> {
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
            let dispatcher = context.view.steward(service, domain)?;
            Some(Candidate {
                domain: domain.clone(),
                dispatcher: dispatcher.name.clone(),
                slots,
            })
        })
        .collect()
}

/// Removes one candidate, drawn by its slots.
fn draw_weighted(candidates: &mut Vec<Candidate>, rng: &mut impl Rng) -> Option<Candidate> {
    let total: u64 = candidates.iter().map(|c| c.slots).sum();
    if total == 0 {
        return None;
    }
    let mut remaining_slots = rng.random_range(0..total);
    let index = candidates.iter().position(|c| {
        let is_drawn = remaining_slots < c.slots;
        remaining_slots = remaining_slots.saturating_sub(c.slots);
        is_drawn
    })?;
    Some(candidates.swap_remove(index))
}
