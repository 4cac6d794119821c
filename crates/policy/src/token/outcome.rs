//! What came of requests, as clients' acknowledgements show, and which upstreams fail more of them
//! than their service does otherwise.
//!
//! The load that it answers: an upstream that accepts connections and says that it is well, but
//! answers part of its requests with a short error at once, or not at all. What it answers goes
//! past entry VMs, so that a failure shows in the size of an answer only, or in its absence. Both
//! are guesses: an upstream is held against the others of its service, so that a service whose
//! answers are short by nature, or clients that leave, make none of them suspicious.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::time::Instant;

/// An answer below this part of the usual size on its route counts as a failure.
const SHORT: f32 = 0.5;

/// Weight of an answer above the usual size of its route.
const GROW_WEIGHT: f32 = 0.2;

/// Weight of an answer below it: a few failures don't change what is usual.
const SHRINK_WEIGHT: f32 = 0.002;

/// Time in which a request's weight falls to 1/e, in milliseconds: an upstream that recovers gets
/// its share back over a few times this.
const MEMORY_MS: f32 = 8_000.0;

/// Requests that an upstream is taken to have had beside those that were seen, with the failures
/// that its service has otherwise.
const PRIOR: f32 = 3.0;

/// Standard deviations by which failures must go beyond what chance brings: where flows move to
/// other VMs, many seem to be left without an answer here.
const DEVIATIONS: f32 = 0.5;

/// Failures above those of its service, as a part of its requests, that count for nothing.
const MARGIN: f32 = 0.05;

/// What a failed request costs, against one that is answered.
const FAILURE_COST: f32 = 80.0;

/// Cost from which on an upstream is held to fail.
pub const FAILING: f32 = 2.0;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    /// The client took so many bytes.
    Answered(u32),
    /// The client left, or fell silent until after the request's deadline, without any.
    Unanswered,
}

/// Requests lately, each weighted by its age, as of `at`.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    all: f32,
    failed: f32,
    at: Instant,
}

impl Count {
    fn now(self, now: Instant) -> Self {
        let left = now.remaining_fraction(self.at, MEMORY_MS);
        Self {
            all: self.all * left,
            failed: self.failed * left,
            at: now,
        }
    }

    fn add(&mut self, now: Instant, is_failure: bool) {
        *self = self.now(now);
        self.all += 1.0;
        if is_failure {
            self.failed += 1.0;
        }
    }
}

/// What is held of an upstream from now on, and by what.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// The upstream.
    pub id: u64,
    /// Whether it is held to fail more requests than others.
    pub is_failing: bool,
    /// Requests lately, each weighted by its age.
    pub requests: f32,
    /// Those of them that failed.
    pub failed: f32,
}

/// What came of requests, by upstream, service and route.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    upstreams: BTreeMap<u64, Count>,
    services: BTreeMap<Arc<str>, Count>,
    /// Usual size of an answer on each route, in bytes.
    sizes: BTreeMap<SocketAddrV4, f32>,
    /// Upstreams that were held to fail at the last look.
    failing: BTreeSet<u64>,
}

impl Outcomes {
    /// Takes how a request on `route` ended at upstream `id` of `service`. Returns whether that
    /// counts as a failure.
    pub fn ended(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        id: u64,
        service: &Arc<str>,
        ended: Ended,
    ) -> bool {
        let is_failure = match ended {
            Ended::Answered(bytes) => self.is_short(route, bytes),
            Ended::Unanswered => true,
        };
        self.upstreams.entry(id).or_default().add(now, is_failure);
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.add(now, is_failure);
        is_failure
    }

    fn is_short(&mut self, route: SocketAddrV4, bytes: u32) -> bool {
        // Answers are far below the precision of the type, or too long for it to matter.
        #[expect(clippy::cast_precision_loss)]
        let bytes = bytes as f32;
        let usual = self.sizes.entry(route).or_insert(bytes);
        let is_short = bytes < *usual * SHORT;
        let weight = match bytes > *usual {
            true => GROW_WEIGHT,
            false => SHRINK_WEIGHT,
        };
        *usual += (bytes - *usual) * weight;
        is_short
    }

    /// What a request costs at upstream `id` for the failures that are to be expected there beyond
    /// those of `service`; 1 where there are none.
    #[must_use]
    pub fn cost(&self, now: Instant, id: u64, service: &Arc<str>) -> f32 {
        let Some(own) = self.upstreams.get(&id).map(|c| c.now(now)) else {
            return 1.0;
        };
        let Some(all) = self.services.get(service).map(|c| c.now(now)) else {
            return 1.0;
        };
        let others = Count {
            all: (all.all - own.all).max(0.0),
            failed: (all.failed - own.failed).max(0.0),
            at: now,
        };
        let usual = match others.all > 0.0 {
            true => others.failed / others.all,
            false => 0.0,
        };
        let seen = own.all + PRIOR;
        let expected = (own.failed + usual * PRIOR) / seen;
        let chance = DEVIATIONS * (usual * (1.0 - usual) / seen).sqrt();
        1.0 + (expected - usual - chance - MARGIN).max(0.0) * FAILURE_COST
    }

    /// Looks which upstreams are held to fail now and were not at the last look, or the other way
    /// round; `service_of` knows the service of each upstream that there is.
    pub fn verdicts<'a>(
        &mut self,
        now: Instant,
        service_of: impl Fn(u64) -> Option<&'a Arc<str>>,
    ) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (id, count) in &self.upstreams {
            let cost = service_of(*id).map_or(1.0, |service| self.cost(now, *id, service));
            let is_failing = cost >= FAILING;
            if is_failing != self.failing.contains(id) {
                let Count { all, failed, .. } = count.now(now);
                verdicts.push(Verdict {
                    id: *id,
                    is_failing,
                    requests: all,
                    failed,
                });
            }
        }
        for verdict in &verdicts {
            match verdict.is_failing {
                true => self.failing.insert(verdict.id),
                false => self.failing.remove(&verdict.id),
            };
        }
        verdicts
    }

    /// Forgets upstream `id`: it has started anew.
    pub fn renew(&mut self, id: u64) {
        self.upstreams.remove(&id);
        self.failing.remove(&id);
    }

    /// Forgets routes for which `is_known` doesn't hold.
    pub fn retain_routes(&mut self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.sizes.retain(|route, _| is_known(*route));
    }

    /// Forgets upstreams for which `is_known` doesn't hold.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.upstreams.retain(|id, _| is_known(*id));
        self.failing.retain(|id| is_known(*id));
    }
}
