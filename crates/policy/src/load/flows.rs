//! How many flows an upstream holds, and how many new ones it bears.

use std::collections::BTreeMap;

use model::name::Name;

use super::Admission;
use crate::time::Instant;

/// Window over which new flows of a cold upstream are bounded, in milliseconds.
const WINDOW_MS: u64 = 100;

/// New flows in one window that an upstream gets right after a cold start, as a part of its
/// connections: one in this many, at least one.
const COLD_PART: u32 = 400;

/// Time without a bad outcome after which the bound on new flows doubles, if as many came
/// meanwhile as one window takes, in milliseconds.
const DOUBLE_MS: u64 = 1_000;

/// Time that a new steward waits for the homes' counts, in milliseconds.
const COUNT_WAIT_MS: u64 = 3_000;

/// Flows of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct FlowCount {
    /// Flows that were admitted and have not ended, and those that homes counted.
    held: u32,
    /// Flows that homes counted for this steward, by home.
    counted: BTreeMap<Name, u32>,
    /// No admission before every home has counted, or this moment.
    counting_until: Option<Instant>,
    /// Connections of the upstream.
    connections: u32,
    /// New flows borne in one window. Invariant: at least 1.
    pace: u32,
    /// When the pace last changed.
    pace_changed: Instant,
    /// New flows since then.
    since_change: u32,
    /// Start of the window.
    window: Instant,
    /// New flows in the window.
    in_window: u32,
}

impl FlowCount {
    /// The count of an upstream of which nothing is known.
    pub(crate) fn new(now: Instant, connections: u32) -> Self {
        Self {
            held: 0,
            counted: BTreeMap::new(),
            counting_until: Some(now.plus_ms(COUNT_WAIT_MS)),
            connections,
            pace: cold_pace(connections),
            pace_changed: now,
            since_change: 0,
            window: now,
            in_window: 0,
        }
    }

    /// The upstream turned cold: its flows are gone, or in doubt, and it bears few new ones.
    pub(crate) fn restart(&mut self, now: Instant, lost_flows: bool) {
        self.set_pace(now, cold_pace(self.connections));
        if lost_flows {
            self.held = 0;
        }
    }

    /// A bad outcome: it bears half as many new flows.
    pub(crate) fn halve(&mut self, now: Instant) {
        self.set_pace(now, (self.pace / 2).max(cold_pace(self.connections)));
    }

    /// Takes over what another steward counted.
    pub(crate) fn adopt(&mut self, held: u32, pace: u32) {
        self.held = self.held.max(held);
        self.pace = pace.max(1);
        self.counting_until = None;
    }

    /// Sets the connections of the upstream.
    pub(crate) fn set_connections(&mut self, connections: u32) {
        self.connections = connections;
    }

    /// A home has counted the flows that it holds; `homes` are those that have to.
    pub(crate) fn count(&mut self, home: &Name, flows: u32, homes: &[Name]) {
        let before = self.counted.insert(home.clone(), flows).unwrap_or_default();
        self.held = self.held.saturating_sub(before).saturating_add(flows);
        if homes.iter().all(|home| self.counted.contains_key(home)) {
            self.counting_until = None;
        }
    }

    /// Admits a new flow if the upstream bears it.
    pub(crate) fn admit(&mut self, now: Instant) -> Admission {
        if self.counting_until.is_some_and(|until| now < until) {
            return Admission::NotSteward;
        }
        self.counting_until = None;
        self.grow(now);
        if self.held >= self.connections {
            return Admission::Full;
        }
        if self.pace < self.connections && self.in_window >= self.pace {
            return Admission::Full;
        }
        self.held += 1;
        self.in_window += 1;
        self.since_change = self.since_change.saturating_add(1);
        Admission::Admitted
    }

    /// A flow has ended.
    pub(crate) fn end(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Flows that the upstream holds.
    pub(crate) fn held(&self) -> u32 {
        self.held
    }

    /// New flows that it bears in one window.
    pub(crate) fn pace(&self) -> u32 {
        self.pace
    }

    fn grow(&mut self, now: Instant) {
        if now.ms_since(self.window) >= WINDOW_MS {
            self.window = now;
            self.in_window = 0;
        }
        let proved = self.since_change >= self.pace;
        if proved && now.ms_since(self.pace_changed) >= DOUBLE_MS {
            let doubled = self.pace.saturating_mul(2);
            self.set_pace(now, doubled.min(self.connections.max(1)));
        }
    }

    fn set_pace(&mut self, now: Instant, pace: u32) {
        self.pace = pace;
        self.pace_changed = now;
        self.since_change = 0;
    }
}

fn cold_pace(connections: u32) -> u32 {
    (connections / COLD_PART).max(1)
}
