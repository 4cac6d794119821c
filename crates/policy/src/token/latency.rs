//! Response times of upstreams, from the acknowledgements of clients, and the share of new flows
//! that should leave this VM's failure domain because of them.
//!
//! Each VM sees only a part of the flows, but an upstream that other VMs overload is slow for this
//! VM too. Response times are compared with the usual time of the service when idle, so that no
//! settings are needed for a service or its work.

use std::{collections::BTreeMap, sync::Arc};

use model::name::Name;

use crate::time::Instant;

/// Weight of a new response time in the mean of its failure domain.
const DOMAIN_WEIGHT: f32 = 0.1;

/// Weight of a new response time in the mean of its upstream.
const UPSTREAM_WEIGHT: f32 = 0.2;

/// Weight of a faster response in the usual time of its service.
const USUAL_FALL_WEIGHT: f32 = 0.05;

/// Weight of a slower response; low, so that the usual time follows the faster responses.
const USUAL_RISE_WEIGHT: f32 = 0.005;

/// Time in milliseconds in which the distance of a mean from the usual time falls to 1/e, if there
/// are no new responses.
const DECAY_MS: f32 = 3_000.0;

/// Ratio of the own failure domain's response time to that of the others from which on flows leave
/// the domain.
const SLOWDOWN_THRESHOLD: f32 = 1.8;

/// Increase of the ratio over the threshold at which all flows would leave the domain.
const SLOWDOWN_RANGE: f32 = 2.0;

/// Maximum share of new flows that leaves the own failure domain.
const MAX_LEAVING_SHARE: f32 = 0.75;

/// Usual response time of a service before the first response, in milliseconds.
const INITIAL_USUAL_MS: f32 = 20.0;

/// A mean response time in milliseconds, at the time `updated_at`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    ms: f32,
    updated_at: Instant,
}

impl Mean {
    /// Returns the current mean, which decays towards `usual_ms`.
    fn decayed(self, now: Instant, usual_ms: f32) -> f32 {
        usual_ms + (self.ms - usual_ms) * now.remaining_fraction(self.updated_at, DECAY_MS)
    }

    fn add(&mut self, now: Instant, usual_ms: f32, ms: f32, weight: f32) {
        let before = self.decayed(now, usual_ms);
        self.ms = before + (ms - before) * weight;
        self.updated_at = now;
    }
}

/// Response times of a service.
#[derive(Debug, Clone, Default)]
struct ServiceLatency {
    /// Response time when idle, in milliseconds; 0 before the first response.
    usual_ms: f32,
    domains: BTreeMap<Name, Mean>,
}

/// Response times of upstreams, and of services by failure domain.
#[derive(Debug, Clone, Default)]
pub struct LatencyTable {
    services: BTreeMap<Arc<str>, ServiceLatency>,
    upstreams: BTreeMap<u64, Mean>,
}

impl LatencyTable {
    /// Records a response time of upstream `id`, which serves `service` in `domain`.
    pub fn record(&mut self, now: Instant, id: u64, service: &Arc<str>, domain: &Name, ms: u64) {
        // Response times are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let ms = ms as f32;
        let service_latency = self.services.entry(Arc::clone(service)).or_default();
        if service_latency.usual_ms == 0.0 {
            service_latency.usual_ms = ms.max(1.0);
        }
        let weight = match ms < service_latency.usual_ms {
            true => USUAL_FALL_WEIGHT,
            false => USUAL_RISE_WEIGHT,
        };
        service_latency.usual_ms += (ms - service_latency.usual_ms) * weight;
        let usual_ms = service_latency.usual_ms;
        let first = Mean {
            ms: usual_ms,
            updated_at: now,
        };
        let mean = service_latency
            .domains
            .entry(domain.clone())
            .or_insert(first);
        mean.add(now, usual_ms, ms, DOMAIN_WEIGHT);
        let mean = self.upstreams.entry(id).or_insert(first);
        mean.add(now, usual_ms, ms, UPSTREAM_WEIGHT);
    }

    /// Returns the ratio of the response time of upstream `id` to the usual time of `service`.
    #[must_use]
    pub fn slowness(&self, now: Instant, id: u64, service: &Arc<str>) -> f32 {
        let usual_ms = self.usual_ms(service);
        let mean = self.upstreams.get(&id);
        mean.map_or(1.0, |mean| mean.decayed(now, usual_ms) / usual_ms)
    }

    /// Returns the share of new flows of `service` that should leave the domain `own` for other
    /// domains.
    #[must_use]
    pub fn leaving_share(&self, now: Instant, service: &Arc<str>, own: &Name) -> f32 {
        let Some(service_latency) = self.services.get(service) else {
            return 0.0;
        };
        let usual_ms = self.usual_ms(service);
        let current_ms = |mean: &Mean| mean.decayed(now, usual_ms);
        let own_ms = service_latency
            .domains
            .get(own)
            .map_or(usual_ms, current_ms);
        let others = service_latency
            .domains
            .iter()
            .filter(|(domain, _)| *domain != own);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), (_, mean)| {
            (sum + current_ms(mean), count + 1.0)
        });
        let others_ms = match count {
            0.0 => usual_ms,
            _ => sum / count,
        };
        let excess = own_ms / others_ms - SLOWDOWN_THRESHOLD;
        (excess / SLOWDOWN_RANGE).clamp(0.0, MAX_LEAVING_SHARE)
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.upstreams.retain(|id, _| is_known(*id));
    }

    fn usual_ms(&self, service: &Arc<str>) -> f32 {
        let usual_ms = self.services.get(service).map(|s| s.usual_ms);
        usual_ms.filter(|ms| *ms > 0.0).unwrap_or(INITIAL_USUAL_MS)
    }
}
