//! When an entry VM requests a plan from a control VM.
//!
//! The intended load is a plan of several hundred routes that changes every 50 ms, at VMs whose link
//! takes longer than that for one plan. If each version were requested, packets of clients and answers to
//! probes would wait behind plans for up to a second. So one plan is requested at a time, and the link is
//! left to other traffic for as long as the last plan took.

use crate::time::Instant;

/// Time in milliseconds after which a plan that has not arrived is requested again.
const RETRY_MS: u64 = 600;

/// Time in milliseconds after which a newer plan is requested in place of one that has not arrived. The
/// control VM that was asked may lag behind, be frozen or have ended.
const REPLACE_MS: u64 = 50;

/// Maximum of both times on a slow link, in milliseconds.
const MAX_RETRY_MS: u64 = 2_000;

/// Ratio of both times to the time that the last plan took, on a slow link. The terms follow the plan.
const RETRY_RATIO: u64 = 3;

/// Transfer time in milliseconds up to which the next plan may be requested at once.
const SHORT_TRANSFER_MS: u64 = 50;

/// Longest pause between a plan and the next request, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// Requests for plans.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    requested_at: Option<Instant>,
    /// Version that was requested and has yet to arrive.
    pending: Option<u64>,
    /// Time that the last plan took to arrive, in milliseconds.
    transfer_ms: u64,
    /// Time until which no newer plan is requested.
    paused_until: Instant,
}

impl Pacer {
    /// Reports whether plan `version`, newer than the plan in force, may be requested now, and records the
    /// request.
    pub fn claim_newer(&mut self, now: Instant, version: u64) -> bool {
        let is_awaited = self.pending.is_some_and(|pending| {
            let least_ms = match version > pending {
                true => REPLACE_MS,
                false => RETRY_MS,
            };
            self.was_requested_within(now, least_ms)
        });
        if is_awaited || now < self.paused_until {
            return false;
        }
        self.record_request(now, version);
        true
    }

    /// Reports whether the plan in force, `version`, may be requested again because its terms are missing,
    /// and records the request. The terms arrive some time after their plan.
    pub fn claim_again(&mut self, now: Instant, version: u64) -> bool {
        if self.was_requested_within(now, RETRY_MS) {
            return false;
        }
        self.record_request(now, version);
        true
    }

    /// Records that a plan has arrived.
    pub fn record_arrival(&mut self, now: Instant) {
        let (Some(_), Some(requested_at)) = (self.pending.take(), self.requested_at) else {
            return;
        };
        self.transfer_ms = now.ms_since(requested_at);
        if self.transfer_ms > SHORT_TRANSFER_MS {
            self.paused_until = now.plus_ms(self.transfer_ms.min(MAX_PAUSE_MS));
        }
    }

    fn record_request(&mut self, now: Instant, version: u64) {
        self.requested_at = Some(now);
        self.pending = Some(version);
    }

    /// Reports whether a plan was requested within `least_ms` milliseconds, or longer on a slow link.
    fn was_requested_within(&self, now: Instant, least_ms: u64) -> bool {
        let wait_ms = (RETRY_RATIO * self.transfer_ms).clamp(least_ms, MAX_RETRY_MS);
        self.requested_at
            .is_some_and(|at| now.ms_since(at) < wait_ms)
    }
}
