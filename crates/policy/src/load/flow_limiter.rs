//! How many flows an upstream holds, and how many new ones it bears.

use std::collections::BTreeMap;

use model::name::Name;

use super::Admission;
use crate::time::Instant;

/// Window over which new flows of a cold upstream are bounded, in milliseconds.
const WINDOW_MS: u64 = 100;

/// New flows in one window that an upstream gets right after a cold start, as a part of its
/// connections: one in this many, at least one.
const SLOW_START_DIVISOR: u32 = 400;

/// Time without a bad outcome after which the bound on new flows doubles, if as many came
/// meanwhile as one window takes, in milliseconds.
const DOUBLING_INTERVAL_MS: u64 = 1_000;

/// Time that a new steward waits for the homes' counts, in milliseconds.
const COUNT_TIMEOUT_MS: u64 = 3_000;

/// Flows of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct FlowLimiter {
    /// Flows that were admitted and have not ended, and those that homes counted.
    held: u32,
    /// Flows that homes counted for this steward, by home.
    reported_by_vm: BTreeMap<Name, u32>,
    /// No admission before every home has counted, or this moment.
    counting_until: Option<Instant>,
    /// Connections of the upstream.
    connections: u32,
    /// New flows borne in one window. Invariant: at least 1.
    rate: u32,
    /// When the pace last changed.
    rate_changed_at: Instant,
    /// New flows since then.
    admitted_since_change: u32,
    /// Start of the window.
    window_start: Instant,
    /// New flows in the window.
    admitted_in_window: u32,
}

impl FlowLimiter {
    /// The count of an upstream of which nothing is known.
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

    /// The upstream turned cold: its flows are gone, or in doubt, and it bears few new ones.
    pub(crate) fn restart(&mut self, now: Instant, lost_flows: bool) {
        self.set_rate(now, slow_start_rate(self.connections));
        if lost_flows {
            self.held = 0;
        }
    }

    /// A bad outcome: it bears half as many new flows.
    pub(crate) fn halve_rate(&mut self, now: Instant) {
        self.set_rate(now, (self.rate / 2).max(slow_start_rate(self.connections)));
    }

    /// Takes over what another steward counted.
    pub(crate) fn adopt(&mut self, held: u32, rate: u32) {
        self.held = self.held.max(held);
        self.rate = rate.max(1);
        self.counting_until = None;
    }

    /// Sets the connections of the upstream.
    pub(crate) fn set_connections(&mut self, connections: u32) {
        self.connections = connections;
    }

    /// A home has counted the flows that it holds; `homes` are those that have to.
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

    /// Admits a new flow if the upstream bears it.
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

    /// A flow has ended.
    pub(crate) fn record_end(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Flows that the upstream holds.
    pub(crate) fn held(&self) -> u32 {
        self.held
    }

    /// New flows that it bears in one window.
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
