//! Detection of upstreams that fail more requests than the others of their service.
//!
//! The intended fault is an upstream that accepts connections and reports itself as healthy, but
//! answers part of its requests with a short error at once, or not at all. Answers bypass entry
//! VMs, so that a failure shows only in the number of bytes that the client acknowledges. Both
//! signs are uncertain. Therefore an upstream is compared with the others of its service, so that
//! short answers of a whole service or clients that leave early don't mark any upstream as failing.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::time::Instant;

/// Fraction of the usual size on the route below which an answer counts as a failure.
const SHORT_ANSWER_RATIO: f32 = 0.5;

/// Weight of a larger answer in the usual size of its route.
const SIZE_GROW_WEIGHT: f32 = 0.2;

/// Weight of a smaller answer in the usual size of its route; low, so that a few failures don't
/// change the usual size.
const SIZE_SHRINK_WEIGHT: f32 = 0.002;

/// Time in milliseconds in which the weight of a request falls to 1/e. An upstream that recovers
/// gets its share back over a few times this period.
const DECAY_MS: f32 = 8_000.0;

/// Number of assumed requests that are added to the seen requests of an upstream, with the failure
/// rate of its service.
const PRIOR_REQUESTS: f32 = 3.0;

/// Number of standard deviations that the failure rate must exceed the usual rate by. Where flows
/// move to other VMs, many requests seem to be unanswered here.
const NOISE_DEVIATIONS: f32 = 0.5;

/// Excess of the failure rate over the usual rate that is ignored.
const FAILURE_RATE_MARGIN: f32 = 0.05;

/// Cost of a failed request relative to an answered request.
const FAILURE_COST: f32 = 80.0;

/// Cost from which on an upstream counts as an outlier.
pub const OUTLIER_COST: f32 = 2.0;

/// End of a request, as seen in the acknowledgements of the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// The client acknowledged the given number of bytes.
    Answered(u32),
    /// The client left, or sent nothing until after the deadline, without acknowledging any byte.
    Unanswered,
}

/// Recent requests, each weighted by its age at `updated_at`.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCount {
    all: f32,
    failed: f32,
    updated_at: Instant,
}

impl RequestCount {
    fn decayed(self, now: Instant) -> Self {
        let left = now.remaining_fraction(self.updated_at, DECAY_MS);
        Self {
            all: self.all * left,
            failed: self.failed * left,
            updated_at: now,
        }
    }

    fn add(&mut self, now: Instant, is_failure: bool) {
        *self = self.decayed(now);
        self.all += 1.0;
        if is_failure {
            self.failed += 1.0;
        }
    }
}

/// A change of whether an upstream is an outlier, with the requests that led to the change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierChange {
    /// Id of the upstream.
    pub id: u64,
    /// Whether the upstream is an outlier now.
    pub is_failing: bool,
    /// Number of recent requests, each weighted by its age.
    pub requests: f32,
    /// Number of failed requests among them.
    pub failed: f32,
}

/// Recent requests by upstream and service, and the usual size of answers by route.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    upstreams: BTreeMap<u64, RequestCount>,
    services: BTreeMap<Arc<str>, RequestCount>,
    /// Usual size of an answer on each route, in bytes.
    usual_sizes: BTreeMap<SocketAddrV4, f32>,
    /// Upstreams that were outliers at the last call of `outlier_changes`.
    failing: BTreeSet<u64>,
}

impl OutlierDetector {
    /// Records the end of a request on `route` at upstream `id` of `service`. Returns whether the
    /// request counts as failed.
    pub fn record_end(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        id: u64,
        service: &Arc<str>,
        end: RequestEnd,
    ) -> bool {
        let is_failure = match end {
            RequestEnd::Answered(bytes) => self.is_short(route, bytes),
            RequestEnd::Unanswered => true,
        };
        self.upstreams.entry(id).or_default().add(now, is_failure);
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.add(now, is_failure);
        is_failure
    }

    fn is_short(&mut self, route: SocketAddrV4, bytes: u32) -> bool {
        // Most answers are below the precision of f32, and larger ones don't need it.
        #[expect(clippy::cast_precision_loss)]
        let bytes = bytes as f32;
        let usual_size = self.usual_sizes.entry(route).or_insert(bytes);
        let is_short = bytes < *usual_size * SHORT_ANSWER_RATIO;
        let weight = match bytes > *usual_size {
            true => SIZE_GROW_WEIGHT,
            false => SIZE_SHRINK_WEIGHT,
        };
        *usual_size += (bytes - *usual_size) * weight;
        is_short
    }

    /// Returns the cost of a request at upstream `id` for the failure rate that is expected beyond
    /// that of `service`; 1 if there is no excess.
    #[must_use]
    pub fn cost(&self, now: Instant, id: u64, service: &Arc<str>) -> f32 {
        let Some(own) = self.upstreams.get(&id).map(|c| c.decayed(now)) else {
            return 1.0;
        };
        let Some(all) = self.services.get(service).map(|c| c.decayed(now)) else {
            return 1.0;
        };
        let others = RequestCount {
            all: (all.all - own.all).max(0.0),
            failed: (all.failed - own.failed).max(0.0),
            updated_at: now,
        };
        let usual_rate = match others.all > 0.0 {
            true => others.failed / others.all,
            false => 0.0,
        };
        let total = own.all + PRIOR_REQUESTS;
        let expected_rate = (own.failed + usual_rate * PRIOR_REQUESTS) / total;
        let noise = NOISE_DEVIATIONS * (usual_rate * (1.0 - usual_rate) / total).sqrt();
        1.0 + (expected_rate - usual_rate - noise - FAILURE_RATE_MARGIN).max(0.0) * FAILURE_COST
    }

    /// Returns the upstreams that became outliers, or ceased to be outliers, since the last call.
    /// `service_of` returns the service of a known upstream.
    pub fn outlier_changes<'a>(
        &mut self,
        now: Instant,
        service_of: impl Fn(u64) -> Option<&'a Arc<str>>,
    ) -> Vec<OutlierChange> {
        let mut changes = Vec::new();
        for (id, count) in &self.upstreams {
            let cost = service_of(*id).map_or(1.0, |service| self.cost(now, *id, service));
            let is_failing = cost >= OUTLIER_COST;
            if is_failing != self.failing.contains(id) {
                let RequestCount { all, failed, .. } = count.decayed(now);
                changes.push(OutlierChange {
                    id: *id,
                    is_failing,
                    requests: all,
                    failed,
                });
            }
        }
        for change in &changes {
            match change.is_failing {
                true => self.failing.insert(change.id),
                false => self.failing.remove(&change.id),
            };
        }
        changes
    }

    /// Removes the data of upstream `id`, which was restarted.
    pub fn reset(&mut self, id: u64) {
        self.upstreams.remove(&id);
        self.failing.remove(&id);
    }

    /// Removes routes for which `is_known` returns false.
    pub fn retain_routes(&mut self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.usual_sizes.retain(|route, _| is_known(*route));
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.upstreams.retain(|id, _| is_known(*id));
        self.failing.retain(|id| is_known(*id));
    }
}
