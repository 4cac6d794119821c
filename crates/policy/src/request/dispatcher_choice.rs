//! Chooses the failure domain whose dispatcher gets a request.
//!
//! Two domains are drawn at random, weighted by their slots, and the less busy one is chosen. The
//! load of a domain is estimated from the load hints in its dispatcher's replies and from the
//! requests that this VM has sent there since. The estimate only guides the choice; the dispatcher
//! decides whether to accept the request.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    config::{DomainState, UpstreamState},
    name::Name,
};
use rand::Rng;

use crate::{io::Context, load::messages::LoadHint, time::Instant, view::View};

/// Age up to which a load hint is used, in milliseconds.
const MAX_HINT_AGE_MS: u64 = 500;

/// Value of a full load, where loads are compared.
const FULL_LOAD: u64 = 1_000;

/// What this VM knows of the load of one service's dispatcher in one failure domain.
#[derive(Debug, Clone, Default)]
pub(crate) struct DispatcherLoad {
    /// The last load hint.
    load_hint: LoadHint,
    /// When the load hint arrived.
    received_at: Instant,
    /// Requests that this VM has sent to the domain since the load hint arrived.
    sent_since: u64,
    /// The dispatcher that sent the load hint; its epoch is the one in the hint.
    dispatcher: Option<Name>,
}

/// A dispatcher that may get the request.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) domain: Name,
    pub(crate) dispatcher: Name,
    /// Slots of the upstreams in the dispatcher's domain.
    slots: u64,
}

/// Known loads of all dispatchers, by service and failure domain.
#[derive(Debug, Default)]
pub(crate) struct DispatcherLoads {
    by_domain: BTreeMap<(Name, Name), DispatcherLoad>,
}

impl DispatcherLoads {
    /// Records the load hint of a dispatcher.
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

    /// Removes the loads of VMs that are no longer live. A VM that comes back has restarted and
    /// can't tell whether it ran attempts sent to its earlier process, so their outcome would be
    /// unknown.
    pub(crate) fn remove_lost(&mut self, view: &View) {
        let is_live = |dispatcher_load: &DispatcherLoad| {
            let dispatcher = dispatcher_load.dispatcher.as_ref();
            dispatcher.is_none_or(|dispatcher| view.get(dispatcher).is_some())
        };
        self.by_domain
            .retain(|_, dispatcher_load| is_live(dispatcher_load));
    }

    /// Counts a request that is sent to a dispatcher. Returns the dispatcher's epoch, or 0 if
    /// unknown.
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

    /// Chooses among the dispatchers of the domains that are not in `tried_domains`.
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

    /// Returns the load of a dispatcher's upstreams, relative to [`FULL_LOAD`]. A larger value
    /// means that requests are queued.
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

/// Returns the dispatchers of the service's upstreams that may get new work.
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
            let dispatcher = context.view.dispatcher(service, domain)?;
            Some(Candidate {
                domain: domain.clone(),
                dispatcher: dispatcher.name.clone(),
                slots,
            })
        })
        .collect()
}

/// Removes one candidate, drawn at random with its slots as weight.
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
