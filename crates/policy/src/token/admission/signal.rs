//! Signs that the capacity of a service is short.

use std::collections::BTreeMap;

use super::{Outcome, class::Class};
use crate::time::Instant;

/// Time in milliseconds in which the weight of a request falls to 1/e. At 90 requests a second it
/// holds 27 requests; a shorter time would follow single refusals.
const MEMORY_MS: f32 = 300.0;

/// Time in milliseconds in which the weight of an answer falls to 1/e when queues are judged. Short,
/// so that the end of a surge is seen although requests are then four times rarer.
const QUEUE_MEMORY_MS: f32 = 80.0;

/// Time in milliseconds in which the weight of a request at its upstream falls to 1/e.
const UPSTREAM_MEMORY_MS: f32 = 1_000.0;

/// Weight below which an upstream is forgotten.
const MIN_UPSTREAM_WEIGHT: f32 = 0.02;

/// Refused share from which on capacity may be short.
const SHORT_REFUSED: f32 = 0.1;

/// Number of standard deviations that the refusals must exceed a tenth by before capacity counts as
/// short, so that a few failing upstreams don't reach it by chance.
const SHORT_DEVIATIONS: f32 = 1.5;

/// Least number of recent refusals, and of upstreams that refused, before capacity counts as short.
const MIN_REFUSED: f32 = 2.0;
const MIN_REFUSING: usize = 3;

/// Number of assumed requests without refusals, so that a VM with few requests admits.
const PRIOR_REQUESTS: f32 = 2.0;

/// Number of assumed answers within the usual time, so that a VM without answers admits.
const PRIOR_ANSWERS: f32 = 0.2;

/// Number of own requests from which on the shared view no longer adds to the refused share.
const ENOUGH_REQUESTS: f32 = 20.0;

/// Age in milliseconds from which on the shared view counts for nothing.
const MAX_SHARED_AGE_MS: f32 = 3_000.0;

/// Refusals of an upstream from which on it may be left out as failing.
const FAILING_REFUSED: f32 = 1.4;

/// Fraction of the upstreams, as a divisor, that may be left out as failing.
const FAILING_DIVISOR: usize = 4;

/// Share of the upstreams that must refuse, according to the shared view, for a shortage. Fewer are
/// failing upstreams.
const MIN_SHARED_SPREAD: f32 = 0.3;

/// Least number of upstreams that refused requests of this VM, and their least share of the upstreams
/// with recent requests, from which on the shared view can't object. Above the quarter that may be
/// failing. After half of the upstreams crash, the view contains values of crashed upstreams without
/// refusals, and objected for the whole shortage.
const MIN_OWN_REFUSING: usize = 5;
const MIN_OWN_SPREAD: f32 = 0.4;

/// Weight from which on a request at an upstream counts as recent.
const RECENT_WEIGHT: f32 = 0.1;

/// Fraction of the goal from which on an answer counts as late. A full queue of eight requests at
/// two slots answers within less than this.
const LATE_GOAL_FRACTION: f32 = 0.67;

/// Ratio to the usual time from which on an answer counts as late.
const LATE_SLOWNESS: f32 = 1.5;

/// Ratio of the latest answers to the usual time below which queues count as short. With full queues
/// the ratio is 3 to 5; the mean of two answers of an idle service often exceeds 1.5 by chance.
const SHORT_QUEUE_SLOWNESS: f32 = 2.0;

/// Ratio below which answers teach what is usual; lower, so that a shortage doesn't become usual.
const CALM_SLOWNESS: f32 = 1.4;

/// Share of late answers from which on capacity is short, so that slow upstreams that are fewer than
/// half don't count; and below which it is not.
const SHORT_LATE: f32 = 0.5;
const RECOVERED_LATE: f32 = 0.25;

/// Number of requests from which the usual share of short answers is learned, and number of assumed
/// requests without a short answer.
const BASELINE_REQUESTS: f32 = 512.0;
const BASELINE_PRIOR: f32 = 20.0;

/// Time in milliseconds in which the weight of an answer falls to 1/e when the usual share of short
/// answers may be learned. During a shortage, queues are short for moments while refusals go on; if
/// these became usual, the next shortage would not show.
const CALM_MEMORY_MS: f32 = 3_000.0;

/// Weights of faster and slower answers in the usual time of a class, which stays a little below the
/// mean. Answers while queues are long are left out.
const USUAL_FALL_WEIGHT: f32 = 0.02;
const USUAL_RISE_WEIGHT: f32 = 0.01;

/// What the shared view contains about the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shared {
    /// Mean share of refused requests.
    pub refused_share: f32,
    /// Share of the upstreams that refuse requests.
    pub spread: f32,
    /// Age of the oldest value in milliseconds.
    pub age_ms: u64,
}

impl Shared {
    /// Returns the weight of the values, from 0 for unusable ones to 1 for fresh ones.
    fn weight(self) -> f32 {
        let is_valid = |share: f32| (0.0..=1.0).contains(&share);
        if !is_valid(self.refused_share) || !is_valid(self.spread) {
            return 0.0;
        }
        // Ages far above the maximum may lose precision.
        #[expect(clippy::cast_precision_loss)]
        let age_ms = self.age_ms as f32;
        (1.0 - age_ms / MAX_SHARED_AGE_MS).max(0.0)
    }
}

/// Inputs of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    /// Number of recent requests of this VM, each weighted by its age.
    pub requests: f32,
    /// Share of refused requests.
    pub refused_share: f32,
    /// Share of answers that were late.
    pub late_share: f32,
    /// Mean ratio of the time of an answer to the usual time.
    pub slowness: f32,
    /// Number of upstreams that answered or refused recently.
    pub upstreams: usize,
    /// Number of those that refused.
    pub refusing: usize,
    /// Values of the shared view that were used.
    pub shared: Option<Shared>,
    /// Whether refusals come from most upstreams rather than from a few failing ones.
    pub is_spread: bool,
    /// Whether the signs suffice to call capacity short.
    pub is_shortage: bool,
    /// Whether answers take little longer than usual.
    pub are_queues_short: bool,
}

impl Pressure {
    /// Returns the share of refused requests, or an equivalent for late answers if that is higher.
    pub(super) fn level(self) -> f32 {
        let for_late = match self.late_share {
            share if share > SHORT_LATE => SHORT_REFUSED + (share - SHORT_LATE) / 2.0,
            share if share > RECOVERED_LATE => SHORT_REFUSED * 0.75,
            _ => 0.0,
        };
        self.refused_share.max(for_late)
    }
}

/// Recent requests, each weighted by its age at `updated_at`.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    answered: f32,
    refused: f32,
    late: f32,
    slowness_sum: f32,
    updated_at: Instant,
}

impl Counts {
    fn decayed(self, now: Instant, memory_ms: f32) -> Self {
        if now == self.updated_at {
            return self;
        }
        let left = now.remaining_fraction(self.updated_at, memory_ms);
        Self {
            answered: self.answered * left,
            refused: self.refused * left,
            late: self.late * left,
            slowness_sum: self.slowness_sum * left,
            updated_at: now,
        }
    }
}

/// Requests while queues were short, to learn which share of the answers is short without any
/// shortage: on some routes, sizes differ widely.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    answered: f32,
    short: f32,
}

impl Baseline {
    fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(_) => self.answered += 1.0,
            Outcome::Refused => self.short += 1.0,
            Outcome::Ignored => {}
        }
        if self.answered > BASELINE_REQUESTS {
            self.answered /= 2.0;
            self.short /= 2.0;
        }
    }

    fn share(self) -> f32 {
        (self.short / (self.answered + BASELINE_PRIOR)).min(1.0)
    }
}

/// Recent requests of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Signals {
    all: Counts,
    /// The same requests with a shorter memory, to judge queues.
    latest: Counts,
    /// The same requests with a longer memory, to judge whether the service has been calm for long.
    lasting: Counts,
    baseline: Baseline,
    /// Requests by upstream. Entries are removed when they have no weight left, so that there are
    /// no more than upstreams of the last seconds.
    upstreams: BTreeMap<u64, Counts>,
    /// Usual time of an answer of each class, in milliseconds.
    usual_ms: BTreeMap<Class, f32>,
}

impl Signals {
    /// Records what a packet shows about a request.
    pub(super) fn record(&mut self, now: Instant, class: Class, upstream: u64, outcome: Outcome) {
        let is_calm = self.slowness(now) < CALM_SLOWNESS;
        let lasting = self.lasting.decayed(now, CALM_MEMORY_MS);
        if is_calm && mean_slowness(lasting) < CALM_SLOWNESS {
            self.baseline.add(outcome);
        }
        let mut added = Counts::default();
        match outcome {
            Outcome::Answered(waited_ms) => {
                let (slowness, is_late) = self.compare(class, waited_ms, is_calm);
                added.answered = 1.0;
                added.slowness_sum = slowness;
                added.late = f32::from(u8::from(is_late));
            }
            Outcome::Refused => added.refused = 1.0,
            Outcome::Ignored => (added.answered, added.refused) = (1.0, 1.0),
        }
        add(&mut self.all, now, MEMORY_MS, added);
        add(&mut self.latest, now, QUEUE_MEMORY_MS, added);
        add(&mut self.lasting, now, CALM_MEMORY_MS, added);
        let counts = self.upstreams.entry(upstream).or_default();
        add(counts, now, UPSTREAM_MEMORY_MS, added);
    }

    /// Returns the ratio of the time of an answer to the usual time, and whether the answer is late.
    /// While queues are long, only a much faster answer changes the usual time.
    fn compare(&mut self, class: Class, waited_ms: u64, is_calm: bool) -> (f32, bool) {
        // Times are far below the precision of f32; a goal of u64::MAX stays out of reach.
        #[expect(clippy::cast_precision_loss)]
        let (ms, goal_ms) = (waited_ms.max(1) as f32, class.goal_ms as f32);
        let usual_ms = self.usual_ms.entry(class).or_insert(ms);
        let weight = match ms < *usual_ms {
            true => USUAL_FALL_WEIGHT,
            false => USUAL_RISE_WEIGHT,
        };
        if is_calm || ms * 2.0 < *usual_ms {
            *usual_ms += (ms - *usual_ms) * weight;
        }
        let slowness = ms / *usual_ms;
        let is_late = slowness > LATE_SLOWNESS && ms > goal_ms * LATE_GOAL_FRACTION;
        (slowness, is_late)
    }

    /// Reports whether any recent request was refused or late.
    pub(super) fn has_signs(&self, now: Instant) -> bool {
        let Counts { refused, late, .. } = self.all.decayed(now, MEMORY_MS);
        refused.max(late) >= 0.5
    }

    /// Returns the mean ratio of the time of the latest answers to the usual time.
    fn slowness(&self, now: Instant) -> f32 {
        mean_slowness(self.latest.decayed(now, QUEUE_MEMORY_MS))
    }

    /// Removes the usual times of classes that are not in `classes`.
    pub(super) fn retain_classes(&mut self, classes: &[Class]) {
        self.usual_ms.retain(|class, _| classes.contains(class));
    }

    /// Removes upstreams without recent requests.
    pub(super) fn retain_recent(&mut self, now: Instant) {
        self.upstreams.retain(|_, counts| {
            let left = counts.decayed(now, UPSTREAM_MEMORY_MS);
            left.answered.max(left.refused) >= MIN_UPSTREAM_WEIGHT
        });
    }

    /// Returns the signs as of now, with those of the shared view.
    pub(super) fn pressure(&self, now: Instant, shared: Option<Shared>) -> Pressure {
        let all = self.all.decayed(now, MEMORY_MS);
        let requests = all.answered.max(all.refused);
        let usually_short = all.answered * self.baseline.share();
        let refused = (all.refused - usually_short).max(0.0);
        let shared = shared.filter(|s| s.weight() > 0.0);
        let (added, added_refused) = shared.map_or((0.0, 0.0), |s| {
            let added = (ENOUGH_REQUESTS - requests).max(0.0) * s.weight();
            (added, added * s.refused_share)
        });
        let total = requests + added + PRIOR_REQUESTS;
        let refused_share = (refused + added_refused) / total;
        let late_share = all.late / (all.answered + PRIOR_REQUESTS);
        let slowness = self.slowness(now);
        let are_queues_short = slowness < SHORT_QUEUE_SLOWNESS;
        let seen = self.upstreams.values();
        let refusing = seen.filter(|c| is_refusing(**c, now)).count();
        let upstreams = self.upstreams.len();
        let objects = shared.is_some_and(is_concentrated) && !self.is_evident(now, refusing);
        let is_spread = late_share > SHORT_LATE || (!objects && self.is_spread(now, refusing));
        let expected = total * SHORT_REFUSED;
        let deviation = (expected * (1.0 - SHORT_REFUSED)).sqrt() * SHORT_DEVIATIONS;
        let has_refusals = refused >= MIN_REFUSED && refused + added_refused > expected + deviation;
        let has_late = late_share > SHORT_LATE && all.late >= MIN_REFUSED;
        Pressure {
            requests,
            refused_share,
            late_share,
            slowness,
            upstreams,
            refusing,
            shared,
            is_spread,
            is_shortage: is_spread && !are_queues_short && (has_refusals || has_late),
            are_queues_short,
        }
    }

    /// Reports whether so many of the upstreams with recent requests of this VM refuse that the
    /// shared view can't object.
    fn is_evident(&self, now: Instant, refusing: usize) -> bool {
        let recent = self.upstreams.values().filter(|c| is_recent(**c, now));
        // Numbers of upstreams are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let (recent, count) = (recent.count() as f32, refusing as f32);
        refusing >= MIN_OWN_REFUSING && count >= recent * MIN_OWN_SPREAD
    }

    /// Reports whether refusals come from several upstreams, and remain frequent if the upstreams
    /// with the most refusals are left out.
    fn is_spread(&self, now: Instant, refusing: usize) -> bool {
        let seen = self.upstreams.len();
        if refusing < MIN_REFUSING.min(seen.div_ceil(2)) {
            return false;
        }
        let mut counts: Vec<(f32, f32)> = self
            .upstreams
            .values()
            .map(|c| c.decayed(now, UPSTREAM_MEMORY_MS))
            .map(|c| (c.refused, c.answered.max(c.refused)))
            .collect();
        counts.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let failing =
            counts
                .iter()
                .take(seen / FAILING_DIVISOR)
                .take_while(|(refused, requests)| {
                    *refused >= FAILING_REFUSED && *refused * 2.5 >= *requests
                });
        let failing = failing.count();
        let others = counts.iter().skip(failing);
        let (refused, requests) = others.fold((0.0, 0.0), |(refused, requests), (r, n)| {
            (refused + r, requests + n)
        });
        refused >= requests * SHORT_REFUSED / 2.0
    }
}

fn mean_slowness(counts: Counts) -> f32 {
    (counts.slowness_sum + PRIOR_ANSWERS) / (counts.answered + PRIOR_ANSWERS)
}

fn is_refusing(counts: Counts, now: Instant) -> bool {
    counts.decayed(now, UPSTREAM_MEMORY_MS).refused >= RECENT_WEIGHT
}

fn is_recent(counts: Counts, now: Instant) -> bool {
    let Counts {
        answered, refused, ..
    } = counts.decayed(now, UPSTREAM_MEMORY_MS);
    answered.max(refused) >= RECENT_WEIGHT
}

/// Reports whether the shared view shows refusals of a few upstreams only. A view without refusals
/// is no objection: it is about two seconds older than this VM's own requests.
fn is_concentrated(shared: Shared) -> bool {
    shared.refused_share >= SHORT_REFUSED / 4.0 && shared.spread < MIN_SHARED_SPREAD
}

fn add(counts: &mut Counts, now: Instant, memory_ms: f32, added: Counts) {
    let before = counts.decayed(now, memory_ms);
    *counts = Counts {
        answered: before.answered + added.answered,
        refused: before.refused + added.refused,
        late: before.late + added.late,
        slowness_sum: before.slowness_sum + added.slowness_sum,
        updated_at: now,
    };
}
