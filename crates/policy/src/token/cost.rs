//! What requests cost: the time that a request of a route takes at an upstream, and the work that an
//! open flow of the route will still ask for.
//!
//! The intended load mixes routes whose requests take 5 to 50 ms, some of which take seven times as
//! long, and flows of one request with flows of a minute. This VM sees a hundredth of the flows, so
//! the statistics cover a few tens of seconds.

use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::time::Instant;

/// Time that a request takes while nothing is known of its route, in milliseconds.
const INITIAL_COST_MS: f32 = 20.0;

/// Number of assumed requests of [`INITIAL_COST_MS`].
const PRIOR_REQUESTS: f32 = 2.0;

/// Time in milliseconds in which the weight of a sample falls to 1/e. At five requests a second for
/// each route and VM, about 150 requests count.
const DECAY_MS: f32 = 30_000.0;

/// Shortest time between two decays, in milliseconds. Decay touches all buckets.
const DECAY_STEP_MS: u64 = 500;

/// Number of buckets of a histogram, four for each doubling from 1 ms on: up to 46 s.
const BUCKETS: usize = 62;

const BUCKETS_PER_DOUBLING: f32 = 4.0;

/// Number of assumed requests beyond the longest recorded one, which are expected to take as long
/// again as they have taken.
const TAIL_PRIOR: f32 = 0.5;

/// Time for which the demand of an open flow is expected, in milliseconds. It matches the age of the
/// shared view, and the decay of the work of requests in [`super::work`].
pub const HORIZON_MS: f32 = 2_000.0;

/// Assumed time that flows were open before the first sample, in milliseconds, and the number of
/// their requests and of the flows.
const PRIOR_FLOW_MS: f32 = 1_000.0;
const PRIOR_FLOW_REQUESTS: f32 = 1.0;
const PRIOR_FLOWS: f32 = 1.0;

/// Share of long flows from which on a route counts as one of long flows. If single requests are
/// placed like long flows, placement oscillates; the opposite only spreads long flows less evenly.
const LONG_SHARE: f32 = 0.5;

/// Number of samples up to which samples are taken under load as well.
const FEW_SAMPLES: f32 = 8.0;

/// Time without a sample after which one is taken under load as well, in milliseconds. A route whose
/// requests have become slower for good would otherwise never get a sample again.
const MAX_SAMPLE_GAP_MS: u64 = 2_000;

/// Weight of a request in the mean time of the last requests.
const RECENT_WEIGHT: f32 = 0.1;

/// Ratio of that mean to the usual time from which on the upstreams of the route seem to be overloaded.
/// Without this limit, 3 s of overload raised the cost of a request of 52 ms from 71 to 121 ms in
/// `tests/token_shared_work.rs`.
const OVERLOADED_RATIO: f32 = 1.3;

/// Decaying histogram of the times of requests, and counts of flows.
#[derive(Debug, Clone)]
struct Route {
    buckets: [f32; BUCKETS],
    /// Sum of the buckets.
    weight: f32,
    /// Sum of the times in the buckets, in milliseconds.
    sum_ms: f32,
    sampled_at: Option<Instant>,
    /// Mean time of the last requests, samples or not, in milliseconds; 0 before the first.
    recent_ms: f32,
    /// Sum of the times that flows of the route were open, in milliseconds.
    flow_ms: f32,
    /// Requests on these flows.
    requests: f32,
    /// Flows that were opened.
    flows: f32,
    /// Flows among them that lasted for [`HORIZON_MS`] and longer.
    long_flows: f32,
    decayed_at: Instant,
}

impl Route {
    fn new(now: Instant) -> Self {
        Self {
            buckets: [0.0; BUCKETS],
            weight: 0.0,
            sum_ms: 0.0,
            sampled_at: None,
            recent_ms: 0.0,
            flow_ms: 0.0,
            requests: 0.0,
            flows: 0.0,
            long_flows: 0.0,
            decayed_at: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        if now.ms_since(self.decayed_at) < DECAY_STEP_MS {
            return;
        }
        let left = now.remaining_fraction(self.decayed_at, DECAY_MS);
        self.decayed_at = now;
        for bucket in &mut self.buckets {
            *bucket *= left;
        }
        self.weight *= left;
        self.sum_ms *= left;
        self.flow_ms *= left;
        self.requests *= left;
        self.flows *= left;
        self.long_flows *= left;
    }

    fn mean_ms(&self) -> f32 {
        (self.sum_ms + INITIAL_COST_MS * PRIOR_REQUESTS) / (self.weight + PRIOR_REQUESTS)
    }

    fn remaining_ms(&self, age_ms: f32) -> f32 {
        let (mut weight, mut sum_ms) = (0.0, 0.0);
        for (index, bucket) in self.buckets.iter().enumerate() {
            let middle_ms = middle_ms(index);
            if middle_ms > age_ms {
                weight += bucket;
                sum_ms += bucket * (middle_ms - age_ms);
            }
        }
        let assumed_ms = age_ms.max(self.mean_ms());
        (sum_ms + TAIL_PRIOR * assumed_ms) / (weight + TAIL_PRIOR)
    }

    /// Returns the requests that an open flow sends in a millisecond.
    fn rate(&self) -> f32 {
        (self.requests + PRIOR_FLOW_REQUESTS) / (self.flow_ms + PRIOR_FLOW_MS)
    }

    /// Returns the mean time that a flow is open, in milliseconds.
    fn flow_length_ms(&self) -> f32 {
        (self.flow_ms + PRIOR_FLOW_MS) / (self.flows + PRIOR_FLOWS)
    }

    /// Returns the share of [`HORIZON_MS`] that an open flow is expected to stay open.
    fn staying_share(&self) -> f32 {
        let length_ms = self.flow_length_ms();
        length_ms / (length_ms + HORIZON_MS)
    }
}

/// Returns the middle of a bucket, in milliseconds.
fn middle_ms(index: usize) -> f32 {
    #[expect(clippy::cast_precision_loss)]
    let index = index as f32;
    (index / BUCKETS_PER_DOUBLING).exp2()
}

fn bucket_of(took_ms: f32) -> usize {
    let position = (took_ms.max(1.0).log2() * BUCKETS_PER_DOUBLING).round();
    // The position is at least 0 and small.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let index = position as usize;
    index.min(BUCKETS - 1)
}

/// Times are far below the precision of f32.
#[expect(clippy::cast_precision_loss)]
fn millis(ms: u64) -> f32 {
    ms as f32
}

/// Costs of the requests of each route.
#[derive(Debug, Clone, Default)]
pub struct Table {
    routes: BTreeMap<SocketAddrV4, Route>,
}

impl Table {
    fn route(&mut self, now: Instant, route: SocketAddrV4) -> &mut Route {
        let route = self.routes.entry(route).or_insert_with(|| Route::new(now));
        route.decay(now);
        route
    }

    /// Records that a request of `route` took `took_ms` milliseconds.
    pub fn record(&mut self, now: Instant, route: SocketAddrV4, took_ms: u64) {
        let route = self.route(now, route);
        let took_ms = millis(took_ms);
        route.buckets[bucket_of(took_ms)] += 1.0;
        route.weight += 1.0;
        route.sum_ms += took_ms;
        route.sampled_at = Some(now);
    }

    /// Reports whether a sample of `route` is needed although the queue of the upstream may be part
    /// of it.
    #[must_use]
    pub fn needs_sample(&self, now: Instant, route: SocketAddrV4) -> bool {
        let Some(route) = self.routes.get(&route) else {
            return true;
        };
        let is_old = |at: Instant| now.ms_since(at) >= MAX_SAMPLE_GAP_MS;
        route.weight < FEW_SAMPLES || route.sampled_at.is_none_or(is_old)
    }

    /// Records the time of a request that may not be a sample. Returns whether the last requests took
    /// about as long as usual.
    pub fn observe(&mut self, now: Instant, route: SocketAddrV4, took_ms: u64) -> bool {
        let route = self.route(now, route);
        let took_ms = millis(took_ms);
        if route.recent_ms == 0.0 {
            route.recent_ms = took_ms;
        }
        route.recent_ms += (took_ms - route.recent_ms) * RECENT_WEIGHT;
        route.recent_ms < route.mean_ms() * OVERLOADED_RATIO
    }

    /// Records that a flow of `route` was opened.
    pub fn record_flow(&mut self, now: Instant, route: SocketAddrV4) {
        self.route(now, route).flows += 1.0;
    }

    /// Records that an opened flow of `route` has lasted for [`HORIZON_MS`].
    pub fn record_long_flow(&mut self, now: Instant, route: SocketAddrV4) {
        self.route(now, route).long_flows += 1.0;
    }

    /// Reports whether most flows of `route` last for [`HORIZON_MS`] and longer, so that the shared
    /// view shows them before they end.
    #[must_use]
    pub fn has_long_flows(&self, route: SocketAddrV4) -> bool {
        let route = self.routes.get(&route);
        route.is_some_and(|r| r.long_flows > LONG_SHARE * (r.flows + PRIOR_FLOWS))
    }

    /// Records that a flow of `route` was open for another `open_ms` milliseconds, in which its
    /// client began `requests` requests.
    pub fn record_request(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        open_ms: u64,
        requests: u8,
    ) {
        let route = self.route(now, route);
        route.flow_ms += millis(open_ms);
        route.requests += f32::from(requests);
    }

    /// Returns the mean time of a request of `route`, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self, route: SocketAddrV4) -> f32 {
        self.routes
            .get(&route)
            .map_or(INITIAL_COST_MS, Route::mean_ms)
    }

    /// Returns the expected remaining time of a request that has run for `age_ms` milliseconds.
    #[must_use]
    pub fn remaining_ms(&self, route: SocketAddrV4, age_ms: u64) -> f32 {
        let age_ms = millis(age_ms);
        match self.routes.get(&route) {
            Some(route) => route.remaining_ms(age_ms),
            None => INITIAL_COST_MS.max(age_ms),
        }
    }

    /// Returns the slots that an open flow of `route` is expected to occupy on average over the next
    /// [`HORIZON_MS`].
    #[must_use]
    pub fn flow_demand(&self, route: SocketAddrV4) -> f32 {
        let Some(route) = self.routes.get(&route) else {
            let rate = PRIOR_FLOW_REQUESTS / PRIOR_FLOW_MS;
            let share = PRIOR_FLOW_MS / (PRIOR_FLOW_MS + HORIZON_MS);
            return rate * INITIAL_COST_MS * share;
        };
        route.rate() * route.mean_ms() * route.staying_share()
    }

    /// Returns the part of a request's work that [`Table::flow_demand`] doesn't cover, in slots over
    /// [`HORIZON_MS`], because the flow ends soon after the request.
    #[must_use]
    pub fn request_demand(&self, route: SocketAddrV4) -> f32 {
        let Some(route) = self.routes.get(&route) else {
            return 0.0;
        };
        (1.0 - route.staying_share()) * route.mean_ms() / HORIZON_MS
    }

    /// Returns the mean time between two requests of an open flow of `route`, in milliseconds.
    #[must_use]
    pub fn request_interval_ms(&self, route: SocketAddrV4) -> f32 {
        let rate = self.routes.get(&route).map(Route::rate);
        1.0 / rate.unwrap_or(PRIOR_FLOW_REQUESTS / PRIOR_FLOW_MS)
    }

    /// Removes routes for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.routes.retain(|route, _| is_known(*route));
    }
}
