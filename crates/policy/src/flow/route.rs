//! Routing state of one service, derived from the configuration: the choices of the retained
//! generations, and the buckets whose later packets this VM may forward without asking the primary.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    config::{Config, DomainState, Service as Settings, Stage},
    name::Name,
};

use super::table::{self, Table, bucket};
use crate::time::Instant;

/// Position that stands for no upstream in [`Service::upstreams`].
const NO_UPSTREAM: u16 = u16::MAX;

/// Time after which all live VMs know that a generation was retired, in milliseconds.
const RETIREMENT_KNOWN_MS: u64 = 10_000;

/// An upstream that may have flows, even after operators have drained it.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    /// Name of the upstream.
    pub(super) name: Name,
    /// Failure domain of the upstream.
    pub(super) domain: Name,
    /// Address to which packets of flows are forwarded.
    pub(super) address: SocketAddr,
    /// Whether operators have taken the failure domain out.
    pub(super) is_out: bool,
    /// Time until which the primary skips the upstream after its dispatcher refused a flow.
    pub(super) skipped_until: Instant,
}

/// A retained generation with its choices.
#[derive(Debug, Clone)]
pub(super) struct Generation {
    /// Number of the generation.
    pub(super) number: u64,
    /// Whether primaries choose upstreams by this generation.
    pub(super) stage: Stage,
    /// Weights of the upstreams.
    pub(super) weights: BTreeMap<Name, u32>,
    /// Time at which this VM first saw the generation active.
    pub(super) active_since: Option<Instant>,
    /// Position in [`Service::upstreams`] by bucket.
    choices: Vec<u16>,
}

impl Generation {
    /// Returns the position of the upstream that the generation chooses for a fingerprint.
    pub(super) fn choice(&self, fingerprint: u64) -> Option<u16> {
        self.choices
            .get(bucket(fingerprint, self.choices.len()))
            .copied()
            .filter(|position| *position != NO_UPSTREAM)
    }
}

/// What bars direct forwarding to an upstream or a bucket of one service.
#[derive(Debug, Default)]
pub(super) struct DirectBlockers {
    /// Positions of excluded upstreams.
    pub(super) excluded: BTreeSet<u16>,
    /// Failure domains that are unreachable, or were until recently.
    pub(super) unreachable_domains: BTreeSet<Name>,
    /// Buckets in which flows with records remain, as a bit set.
    pub(super) pinned: Vec<u8>,
}

/// Routing state of one service.
#[derive(Debug)]
pub(super) struct Service {
    /// Name of the service.
    pub(super) name: Name,
    /// Time without a packet after which a flow counts as ended, in milliseconds.
    pub(super) idle_ms: u64,
    /// Whether the configuration still contains the service.
    pub(super) is_listed: bool,
    /// Retained generations, oldest first.
    pub(super) generations: Vec<Generation>,
    /// Every upstream that was ever in the configuration. Invariant: positions never change.
    pub(super) upstreams: Vec<Upstream>,
    /// Time at which the oldest retained generation last changed.
    oldest_changed_at: Instant,
    /// Oldest generation that flows known to this VM need once every VM holds this VM's pins.
    /// Invariant: never decreases.
    pub(super) releasable_before: u64,
    /// Oldest generation that this VM reports as needed. Invariant: at most `releasable_before`.
    pub(super) oldest_needed: u64,
    /// Position by bucket of the upstream to which any VM may forward, or [`NO_UPSTREAM`] if later
    /// packets go through the primary.
    direct_choices: Vec<u16>,
}

impl Service {
    pub(super) fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            idle_ms: 0,
            is_listed: true,
            generations: Vec::new(),
            upstreams: Vec::new(),
            oldest_changed_at: Instant::ZERO,
            releasable_before: 0,
            oldest_needed: 0,
            direct_choices: Vec::new(),
        }
    }

    /// Applies the configuration of the service. A call of `recompute_direct` must follow.
    pub(super) fn apply_settings(&mut self, now: Instant, config: &Config, settings: &Settings) {
        self.idle_ms = u64::from(settings.idle_ms);
        for (name, upstream) in &settings.upstreams {
            let position = self.position_or_insert(name, upstream);
            let known = &mut self.upstreams[usize::from(position)];
            known.domain = upstream.domain.clone();
            known.address = upstream.flow_address;
        }
        for upstream in &mut self.upstreams {
            let domain = config.domains.get(&upstream.domain);
            upstream.is_out = domain.is_some_and(|d| d.state == DomainState::Out);
        }
        let mut old = std::mem::take(&mut self.generations);
        let oldest = old.first().map(|g| g.number);
        for wanted in &settings.generations {
            let same = old
                .iter()
                .position(|g| g.number == wanted.number && g.weights == wanted.weights);
            let mut generation = match same {
                Some(at) => old.swap_remove(at),
                None => self.build_generation(wanted.number, &wanted.weights),
            };
            generation.stage = wanted.stage;
            if wanted.stage == Stage::Active && generation.active_since.is_none() {
                generation.active_since = Some(now);
            }
            self.generations.push(generation);
        }
        if self.generations.first().map(|g| g.number) != oldest {
            self.oldest_changed_at = now;
        }
        let first = self.oldest_number();
        self.releasable_before = self.releasable_before.max(first);
        self.oldest_needed = self.oldest_needed.max(first);
    }

    fn build_generation(&self, number: u64, weights: &BTreeMap<Name, u32>) -> Generation {
        let table = Table::new(weights);
        let keys = (0..table.len()).map(|b| u64::try_from(b).unwrap_or(0));
        let choices = keys
            .map(|key| table.choice(key).and_then(|name| self.position(name)))
            .map(|position| position.unwrap_or(NO_UPSTREAM))
            .collect();
        Generation {
            number,
            stage: Stage::Prepared,
            weights: weights.clone(),
            active_since: None,
            choices,
        }
    }

    fn position_or_insert(&mut self, name: &Name, upstream: &model::config::Upstream) -> u16 {
        if let Some(position) = self.position(name) {
            return position;
        }
        self.upstreams.push(Upstream {
            name: name.clone(),
            domain: upstream.domain.clone(),
            address: upstream.flow_address,
            is_out: false,
            skipped_until: Instant::ZERO,
        });
        u16::try_from(self.upstreams.len() - 1).unwrap_or(NO_UPSTREAM)
    }

    /// Returns the position of the upstream with this name.
    pub(super) fn position(&self, name: &Name) -> Option<u16> {
        let found = self.upstreams.iter().position(|u| u.name == *name)?;
        u16::try_from(found).ok()
    }

    /// Returns the upstream at a position.
    pub(super) fn upstream(&self, position: u16) -> Option<&Upstream> {
        self.upstreams.get(usize::from(position))
    }

    /// Recomputes which buckets are direct.
    pub(super) fn recompute_direct(&mut self, blockers: &DirectBlockers) {
        let buckets = self.bucket_count();
        self.direct_choices.clear();
        for number in 0..buckets {
            let choice = agreed_choice(&self.generations, u64::try_from(number).unwrap_or(0));
            let direct = choice.filter(|p| {
                self.is_unblocked(*p, blockers) && !is_bit_set(&blockers.pinned, number)
            });
            self.direct_choices.push(direct.unwrap_or(NO_UPSTREAM));
        }
    }

    /// Returns the number of buckets of the largest retained generation.
    pub(super) fn bucket_count(&self) -> usize {
        let sizes = self.generations.iter().map(|g| g.choices.len());
        sizes.max().unwrap_or(0)
    }

    fn is_unblocked(&self, position: u16, blockers: &DirectBlockers) -> bool {
        let Some(upstream) = self.upstream(position) else {
            return false;
        };
        !upstream.is_out
            && !blockers.excluded.contains(&position)
            && !blockers.unreachable_domains.contains(&upstream.domain)
    }

    /// Reports whether every live VM chooses this upstream for a flow without a record.
    ///
    /// VMs with a slightly older configuration still use the choice of a generation that was just
    /// retired.
    pub(super) fn is_agreed_upstream(&self, now: Instant, fingerprint: u64, upstream: u16) -> bool {
        now.ms_since(self.oldest_changed_at) >= RETIREMENT_KNOWN_MS
            && agreed_choice(&self.generations, fingerprint) == Some(upstream)
    }

    /// Returns the upstream to which any VM forwards later packets, if the bucket is direct.
    pub(super) fn direct_upstream(&self, fingerprint: u64) -> Option<u16> {
        self.direct_choices
            .get(bucket(fingerprint, self.direct_choices.len()))
            .copied()
            .filter(|position| *position != NO_UPSTREAM)
    }

    /// Records that flows known to this VM need no generation before the one at position `first`.
    pub(super) fn release_before(&mut self, first: usize) {
        let number = self.generations.get(first).map_or(0, |g| g.number);
        self.releasable_before = self.releasable_before.max(number);
    }

    /// Returns the retained generations without those before `releasable_before`.
    fn unreleased_generations(&self) -> &[Generation] {
        let first = self
            .generations
            .iter()
            .position(|g| g.number >= self.releasable_before);
        self.generations
            .get(first.unwrap_or(0)..)
            .unwrap_or_default()
    }

    /// Returns the choice of all unreleased generations if they agree.
    pub(super) fn unreleased_choice(&self, fingerprint: u64) -> Option<u16> {
        agreed_choice(self.unreleased_generations(), fingerprint)
    }

    /// Returns the choice of the oldest unreleased generation.
    pub(super) fn oldest_unreleased_choice(&self, fingerprint: u64) -> Option<u16> {
        self.unreleased_generations().first()?.choice(fingerprint)
    }

    /// Returns the number of the oldest retained generation, or 0 if there is none.
    pub(super) fn oldest_number(&self) -> u64 {
        self.generations.first().map_or(0, |g| g.number)
    }

    /// Returns the upstream of flows without a record, which the oldest retained generation
    /// chooses.
    pub(super) fn default_choice(&self, fingerprint: u64) -> Option<u16> {
        let oldest = self.generations.first()?;
        if oldest.stage != Stage::Active {
            return None;
        }
        oldest.choice(fingerprint)
    }

    /// Returns the newest generation by which primaries choose upstreams.
    pub(super) fn active(&self) -> Option<&Generation> {
        let mut newest_first = self.generations.iter().rev();
        newest_first.find(|g| g.stage == Stage::Active)
    }

    /// Returns the upstreams for a new flow in the order in which they are tried.
    pub(super) fn candidates(&self, fingerprint: u64) -> Vec<u16> {
        let Some(active) = self.active() else {
            return Vec::new();
        };
        let first = active.choice(fingerprint);
        let order = table::rendezvous_order(&active.weights, fingerprint);
        let rest = order.into_iter().filter_map(|name| self.position(name));
        let rest = rest.filter(|position| Some(*position) != first);
        first.into_iter().chain(rest).collect()
    }
}

/// Returns the choice of all given generations if they agree.
fn agreed_choice(generations: &[Generation], fingerprint: u64) -> Option<u16> {
    let choice = generations.first()?.choice(fingerprint)?;
    let agree = generations
        .iter()
        .all(|g| g.choice(fingerprint) == Some(choice));
    agree.then_some(choice)
}

/// Reports whether the bit of a bucket is set.
pub(super) fn is_bit_set(bits: &[u8], bucket: usize) -> bool {
    bits.get(bucket / 8)
        .is_some_and(|byte| byte & (1 << (bucket % 8)) != 0)
}

/// Sets the bit of a bucket.
pub(super) fn set_bit(bits: &mut Vec<u8>, bucket: usize) {
    if bits.len() <= bucket / 8 {
        bits.resize(bucket / 8 + 1, 0);
    }
    bits[bucket / 8] |= 1 << (bucket % 8);
}
