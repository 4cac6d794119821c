//! Counts the flows of an upstream and limits how many new flows it gets.

use std::collections::BTreeMap;

use model::name::Name;

use super::Admission;
use crate::time::Instant;

/// Window over which the new flows of a cold upstream are limited, in milliseconds.
const WINDOW_MS: u64 = 100;

/// Divisor of the upstream's connections that gives the new flows per window after a cold start;
/// the result is at least 1.
const SLOW_START_DIVISOR: u32 = 400;

/// Time without a failure after which the rate of new flows doubles, in milliseconds, provided that
/// at least one full window of flows was admitted meanwhile.
const DOUBLING_INTERVAL_MS: u64 = 1_000;

/// Time that a new dispatcher waits for the flow counts of all VMs, in milliseconds.
const COUNT_TIMEOUT_MS: u64 = 3_000;

/// Flow count and limit on new flows of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct FlowLimiter {
    /// Flows that were admitted or reported by VMs, and have not ended.
    held: u32,
    /// Flows reported to this dispatcher, by VM.
    reported_by_vm: BTreeMap<Name, u32>,
    /// When to admit flows even if not every VM has reported its count; `None` once counting is
    /// over.
    counting_until: Option<Instant>,
    /// Flows that the upstream can hold.
    connections: u32,
    /// New flows admitted per window. Invariant: at least 1.
    rate: u32,
    /// When the rate last changed.
    rate_changed_at: Instant,
    /// New flows admitted since the rate last changed.
    admitted_since_change: u32,
    window_start: Instant,
    /// New flows admitted in the current window.
    admitted_in_window: u32,
}

impl FlowLimiter {
    /// Creates the limiter of an upstream of which nothing is known.
    pub(crate) fn new(now: Instant, connections: u32) -> Self {
        Self {
            held: 0,
            reported_by_vm: BTreeMap::new(),
            counting_until: Some(now.plus_ms(COUNT_TIMEOUT_MS)),
            connections,
            rate: slow_start_rate(connections),
            rate_changed_at: now,
            admitted_since_change: 0,
            window_start: now,
            admitted_in_window: 0,
        }
    }

    /// Returns to the slow-start rate after the upstream turned cold, and drops the flow count if
    /// the upstream lost its flows.
    pub(crate) fn restart(&mut self, now: Instant, lost_flows: bool) {
        self.set_rate(now, slow_start_rate(self.connections));
        if lost_flows {
            self.held = 0;
        }
    }

    /// Halves the rate of new flows after a failure of the upstream.
    pub(crate) fn halve_rate(&mut self, now: Instant) {
        self.set_rate(now, (self.rate / 2).max(slow_start_rate(self.connections)));
    }

    /// Adopts the flow count and rate that another dispatcher handed over.
    pub(crate) fn adopt(&mut self, held: u32, rate: u32) {
        self.held = self.held.max(held);
        self.rate = rate.max(1);
        self.counting_until = None;
    }

    pub(crate) fn set_connections(&mut self, connections: u32) {
        self.connections = connections;
    }

    /// Records the flow count that a VM reported; `live_vms` are the VMs that have to report.
    pub(crate) fn record_count(&mut self, vm: &Name, flows: u32, live_vms: &[Name]) {
        let before = self
            .reported_by_vm
            .insert(vm.clone(), flows)
            .unwrap_or_default();
        self.held = self.held.saturating_sub(before).saturating_add(flows);
        if live_vms
            .iter()
            .all(|vm| self.reported_by_vm.contains_key(vm))
        {
            self.counting_until = None;
        }
    }

    /// Admits a new flow if the upstream may get one now.
    pub(crate) fn admit(&mut self, now: Instant) -> Admission {
        if self.counting_until.is_some_and(|until| now < until) {
            return Admission::NotDispatcher;
        }
        self.counting_until = None;
        self.advance_window(now);
        if self.held >= self.connections {
            return Admission::Full;
        }
        if self.rate < self.connections && self.admitted_in_window >= self.rate {
            return Admission::Full;
        }
        self.held += 1;
        self.admitted_in_window += 1;
        self.admitted_since_change = self.admitted_since_change.saturating_add(1);
        Admission::Admitted
    }

    /// Counts the end of a flow.
    pub(crate) fn record_end(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Returns the number of flows that the upstream holds.
    pub(crate) fn held(&self) -> u32 {
        self.held
    }

    /// Returns the number of new flows admitted per window.
    pub(crate) fn rate(&self) -> u32 {
        self.rate
    }

    fn advance_window(&mut self, now: Instant) {
        if now.ms_since(self.window_start) >= WINDOW_MS {
            self.window_start = now;
            self.admitted_in_window = 0;
        }
        let used_full_rate = self.admitted_since_change >= self.rate;
        if used_full_rate && now.ms_since(self.rate_changed_at) >= DOUBLING_INTERVAL_MS {
            let doubled = self.rate.saturating_mul(2);
            self.set_rate(now, doubled.min(self.connections.max(1)));
        }
    }

    fn set_rate(&mut self, now: Instant, rate: u32) {
        self.rate = rate;
        self.rate_changed_at = now;
        self.admitted_since_change = 0;
    }
}

fn slow_start_rate(connections: u32) -> u32 {
    (connections / SLOW_START_DIVISOR).max(1)
}
