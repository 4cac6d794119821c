//! How long upstreams take to answer, as clients' acknowledgements show, and what part of the new
//! flows should leave this VM's failure domain for it.
//!
//! Each VM sees a part of the flows only, but an upstream that is overloaded by the others is slow
//! for this one too. Times are compared with what the service takes when it is not loaded, so that
//! neither the service nor its work has to be known.

use std::{collections::BTreeMap, sync::Arc};

use model::name::Name;

use crate::time::Instant;

/// Weight of a new answer in the mean of its failure domain.
const DOMAIN_WEIGHT: f32 = 0.1;

/// Weight of a new answer in the mean of its upstream.
const UPSTREAM_WEIGHT: f32 = 0.2;

/// Weight of an answer below the usual time of its service.
const FALL_WEIGHT: f32 = 0.05;

/// Weight of an answer above it: the usual time follows the quicker answers.
const RISE_WEIGHT: f32 = 0.005;

/// Time after which a mean without new answers has come 1/e nearer to the usual time, in
/// milliseconds.
const MEMORY_MS: f32 = 3_000.0;

/// How much slower than the others the own failure domain may be before flows leave it.
const PATIENCE: f32 = 1.8;

/// How much slower than that it is when all flows may leave it.
const RANGE: f32 = 2.0;

/// Largest part of the new flows that leaves the own failure domain.
const MAX_LEAVING: f32 = 0.75;

/// Usual time of a service before any answer, in milliseconds.
const FIRST_MS: f32 = 20.0;

/// A mean of times, in milliseconds, as of a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    ms: f32,
    at: Instant,
}

impl Mean {
    /// The mean now, which falls back to `usual`.
    fn now(self, now: Instant, usual: f32) -> f32 {
        usual + (self.ms - usual) * now.remaining_fraction(self.at, MEMORY_MS)
    }

    fn add(&mut self, now: Instant, usual: f32, ms: f32, weight: f32) {
        let before = self.now(now, usual);
        self.ms = before + (ms - before) * weight;
        self.at = now;
    }
}

/// What a service takes.
#[derive(Debug, Clone, Default)]
struct Service {
    /// What it takes when it is not loaded, in milliseconds; 0 before any answer.
    usual: f32,
    domains: BTreeMap<Name, Mean>,
}

/// Times of answers.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    services: BTreeMap<Arc<str>, Service>,
    upstreams: BTreeMap<u64, Mean>,
}

impl Delays {
    /// Takes the time of an answer of upstream `id`, which serves `service` in `domain`.
    pub fn answered(&mut self, now: Instant, id: u64, service: &Arc<str>, domain: &Name, ms: u64) {
        // Times are far below the precision of the type.
        #[expect(clippy::cast_precision_loss)]
        let ms = ms as f32;
        let known = self.services.entry(Arc::clone(service)).or_default();
        if known.usual == 0.0 {
            known.usual = ms.max(1.0);
        }
        let weight = match ms < known.usual {
            true => FALL_WEIGHT,
            false => RISE_WEIGHT,
        };
        known.usual += (ms - known.usual) * weight;
        let usual = known.usual;
        let first = Mean { ms: usual, at: now };
        let mean = known.domains.entry(domain.clone()).or_insert(first);
        mean.add(now, usual, ms, DOMAIN_WEIGHT);
        let mean = self.upstreams.entry(id).or_insert(first);
        mean.add(now, usual, ms, UPSTREAM_WEIGHT);
    }

    /// How long upstream `id` of `service` takes, against the usual time of the service.
    #[must_use]
    pub fn slowness(&self, now: Instant, id: u64, service: &Arc<str>) -> f32 {
        let usual = self.usual(service);
        let mean = self.upstreams.get(&id);
        mean.map_or(1.0, |mean| mean.now(now, usual) / usual)
    }

    /// The part of the new flows of `service` that should leave `own` for the other domains.
    #[must_use]
    pub fn leaving(&self, now: Instant, service: &Arc<str>, own: &Name) -> f32 {
        let Some(known) = self.services.get(service) else {
            return 0.0;
        };
        let usual = self.usual(service);
        let time = |mean: &Mean| mean.now(now, usual);
        let own_ms = known.domains.get(own).map_or(usual, time);
        let others = known.domains.iter().filter(|(domain, _)| *domain != own);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), (_, mean)| {
            (sum + time(mean), count + 1.0)
        });
        let others_ms = match count {
            0.0 => usual,
            _ => sum / count,
        };
        let excess = own_ms / others_ms - PATIENCE;
        (excess / RANGE).clamp(0.0, MAX_LEAVING)
    }

    /// Forgets upstreams for which `is_known` doesn't hold.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.upstreams.retain(|id, _| is_known(*id));
    }

    fn usual(&self, service: &Arc<str>) -> f32 {
        let known = self.services.get(service).map(|s| s.usual);
        known.filter(|usual| *usual > 0.0).unwrap_or(FIRST_MS)
    }
}
