//! Learns from earlier requests how many requests an upstream can process at a time.
//!
//! A cold upstream starts with a limit of one request. Each step up needs a number of good answers
//! and some time; each failure halves the limit at once. What an upstream reports about itself can
//! only slow the increase down, since the report may be late or wrong.

use crate::time::Instant;

/// Good answers that a step up needs, per request of the present limit.
const ANSWERS_PER_STEP: u32 = 16;

/// Minimum time between two steps up, in milliseconds.
const MIN_STEP_INTERVAL_MS: u64 = 100;

/// Minimum time between two steps up of an upstream that reports itself cold, in milliseconds.
const COLD_STEP_INTERVAL_MS: u64 = 500;

/// Multiple of the smoothed service time above which an answer is slow.
const SLOW_FACTOR: u64 = 4;

/// Slow answers in a row that count as a failure; a single slow answer may be chance.
const SLOW_STREAK: u32 = 2;

/// Service time up to which an answer never counts as slow, in microseconds.
const MIN_SLOW_US: u64 = 20_000;

/// Divisor of the exponential smoothing: a new service time has a weight of one part in this many.
const SMOOTHING_FACTOR: u64 = 8;

/// Shortest pause after a failure at the lowest limit, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;

/// Longest pause after a failure at the lowest limit, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// Timeouts in a row after which an upstream counts as unresponsive until it answers a request.
const UNRESPONSIVE_TIMEOUTS: u32 = 3;

/// The concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Ramp {
    /// Requests that the upstream may process at a time. Invariant: `1 <= limit <= slots`.
    limit: u16,
    /// Slots of the upstream when warm.
    slots: u16,
    /// Good answers since the last step.
    good_answers: u32,
    /// When the limit last changed.
    changed_at: Instant,
    /// No request is sent before this time.
    paused_until: Instant,
    /// Failures in a row at the lowest limit.
    failures_at_minimum: u32,
    /// Timeouts in a row.
    timeouts: u32,
    /// Slow answers in a row.
    slow_streak: u32,
    /// Smoothed service time, in microseconds; 0 before the first answer.
    service_us: u64,
    /// Whether the upstream reports itself cold.
    reports_cold: bool,
}

impl Ramp {
    /// Creates the limit of an upstream of which nothing is known.
    pub(crate) fn new(now: Instant, slots: u16) -> Self {
        Self {
            limit: 1,
            slots: slots.max(1),
            good_answers: 0,
            changed_at: now,
            paused_until: now,
            failures_at_minimum: 0,
            timeouts: 0,
            slow_streak: 0,
            service_us: 0,
            reports_cold: false,
        }
    }

    /// Returns to the lowest limit, but keeps the smoothed service time.
    pub(crate) fn restart(&mut self, now: Instant) {
        let service_us = self.service_us;
        let reports_cold = self.reports_cold;
        *self = Self {
            service_us,
            reports_cold,
            ..Self::new(now, self.slots)
        };
    }

    /// Adopts the limit and service time that another dispatcher handed over.
    pub(crate) fn adopt(&mut self, limit: u16, service_us: u64) {
        self.limit = limit.clamp(1, self.slots);
        self.service_us = service_us;
    }

    /// Sets the slots that the upstream has when warm.
    pub(crate) fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(self.slots);
    }

    pub(crate) fn set_reports_cold(&mut self, cold: bool) {
        self.reports_cold = cold;
    }

    /// Returns how many requests the upstream may process at a time now; 0 while it is paused.
    pub(crate) fn limit(&self, now: Instant) -> u16 {
        if now < self.paused_until {
            return 0;
        }
        if self.is_unresponsive() {
            1
        } else {
            self.limit
        }
    }

    /// Returns the limit, whether the upstream is paused or not.
    pub(crate) fn unpaused_limit(&self) -> u16 {
        self.limit
    }

    pub(crate) fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Reports whether the upstream has not answered several requests in a row.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.timeouts >= UNRESPONSIVE_TIMEOUTS
    }

    /// Returns the smoothed service time, in microseconds; 0 before the first answer.
    pub(crate) fn service_us(&self) -> u64 {
        self.service_us
    }

    /// Records a good answer that took `took_us`; `limit_reached` says whether the limit was used
    /// up when the request was dispatched.
    pub(crate) fn record_answer(&mut self, now: Instant, took_us: u64, limit_reached: bool) {
        self.timeouts = 0;
        self.failures_at_minimum = 0;
        let slow_threshold_us = self.service_us.saturating_mul(SLOW_FACTOR).max(MIN_SLOW_US);
        if self.service_us > 0 && took_us > slow_threshold_us {
            // Caps the sample, so that a lasting change is learned slowly.
            self.update_service_time(took_us.min(slow_threshold_us));
            self.slow_streak += 1;
            if self.slow_streak >= SLOW_STREAK {
                self.slow_streak = 0;
                self.halve_limit(now);
            }
            return;
        }
        self.slow_streak = 0;
        self.update_service_time(took_us);
        if !limit_reached || self.limit >= self.slots {
            return;
        }
        self.good_answers += 1;
        let step_interval_ms = if self.reports_cold {
            COLD_STEP_INTERVAL_MS
        } else {
            MIN_STEP_INTERVAL_MS
        };
        let has_enough_answers = self.good_answers >= ANSWERS_PER_STEP * u32::from(self.limit);
        if has_enough_answers && now.ms_since(self.changed_at) >= step_interval_ms {
            self.limit += 1;
            self.good_answers = 0;
            self.changed_at = now;
        }
    }

    /// Records that the upstream refused a request.
    pub(crate) fn record_refusal(&mut self, now: Instant, retry_after_ms: u64) {
        self.timeouts = 0;
        self.penalize(now, retry_after_ms);
    }

    /// Records that the upstream did not answer a request in time.
    pub(crate) fn record_timeout(&mut self, now: Instant) {
        self.timeouts += 1;
        self.penalize(now, 0);
    }

    fn penalize(&mut self, now: Instant, retry_after_ms: u64) {
        if self.limit > 1 && !self.is_unresponsive() {
            self.halve_limit(now);
            return;
        }
        let backoff_ms = MIN_PAUSE_MS << self.failures_at_minimum.min(8);
        self.failures_at_minimum += 1;
        let pause_ms = backoff_ms.max(retry_after_ms).min(MAX_PAUSE_MS);
        self.paused_until = now.plus_ms(pause_ms);
        self.limit = 1;
        self.good_answers = 0;
    }

    fn halve_limit(&mut self, now: Instant) {
        self.limit = (self.limit / 2).max(1);
        self.good_answers = 0;
        self.changed_at = now;
    }

    fn update_service_time(&mut self, took_us: u64) {
        if self.service_us == 0 {
            self.service_us = took_us.max(1);
            return;
        }
        let old = self.service_us * (SMOOTHING_FACTOR - 1);
        self.service_us = ((old + took_us) / SMOOTHING_FACTOR).max(1);
    }
}
