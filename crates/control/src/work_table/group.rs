//! What the entry VMs of one failure domain know, and what has changed since.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use model::{
    name::Name,
    work::{Entry, Fault, MAX_ENTRIES, Sums},
};

/// Change of the demand from which on it is sent, in thousandths of a slot, and as a divisor of the
/// known demand. Random arrivals change the demand of a busy upstream by a tenth in a second.
const DEMAND_STEP_MILLI: u32 = 75;
const DEMAND_STEP_DIVISOR: u32 = 12;

/// Change of the number of flows from which on it is sent, and as a divisor of the known number.
const FLOW_STEP: u16 = 2;
const FLOW_STEP_DIVISOR: u16 = 10;

/// Relative change of the slowness, and change of the refused share, from which on they are sent.
const SLOWNESS_STEP: f32 = 0.2;
const REFUSED_STEP: f32 = 0.05;

/// Weight of a change of 1.0 of the slowness or the refused share, compared with a slot of demand.
const RESPONSE_WEIGHT: f32 = 1_000.0;

/// Maximum factor by which the weight of a change grows while it waits.
const MAX_WAITING_FACTOR: u64 = 2;

/// Number of rounds whose entries may be saved up for a burst. When the load jumps, most values change
/// within a second.
const SAVED_ROUNDS: usize = 10;

/// Factor of the steps once nothing is saved up, and for upstreams that get no flows of the domain.
const SPENT_FACTOR: f32 = 1.5;
const FAR_FACTOR: f32 = 2.0;

/// Changes that were sent in one round.
#[derive(Debug, Clone, Default)]
pub struct Round {
    /// Number of the round, from 1.
    pub number: u64,
    /// Number of reporting entry VMs.
    pub reporters: u32,
    /// Number of upstreams with values.
    pub upstreams: usize,
    /// Number of reporters that are no longer counted, because they sent no digest for some time.
    pub expired: usize,
    /// Number of entries and messages that were refused since the last round.
    pub refused: usize,
    /// Entry VM and fault of the last refusal.
    pub fault: Option<(Arc<str>, Fault)>,
    /// Changes for the entry VMs of each failure domain.
    pub changes: BTreeMap<Name, Arc<[Entry]>>,
}

impl Round {
    /// Number of rounds in which each upstream of other failure domains is considered once.
    pub(super) const FAR_PERIOD: u64 = 4;
}

/// Whether an upstream gets flows of the failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Distance {
    Near,
    Far,
}

/// Flows and demand of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Current {
    pub(super) flows: u16,
    pub(super) demand_milli: u32,
}

/// What the entry VMs know about an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    current: Current,
    /// Responses as the entry VMs know them, by their age at `sent_at_ms`.
    sums: Sums,
    sent_at_ms: u64,
    /// Responses since the last message.
    pending: Sums,
}

impl Known {
    /// Returns the weight of the difference to `current`; none if it is too small to be sent.
    /// `factor` multiplies the steps.
    fn change(&self, now_ms: u64, current: Current, factor: f32) -> Option<u64> {
        let (known, elapsed_ms) = (self.current, now_ms.saturating_sub(self.sent_at_ms));
        let believed = self.sums.decayed(elapsed_ms);
        let mut actual = believed;
        actual.merge(self.pending);
        let demand = known.demand_milli.abs_diff(current.demand_milli);
        let flows = known.flows.abs_diff(current.flows);
        let slowness = (actual.slowness() / believed.slowness()).ln().abs();
        let refused = (actual.refused_share() - believed.refused_share()).abs();
        let demand_step = DEMAND_STEP_MILLI.max(known.demand_milli / DEMAND_STEP_DIVISOR);
        let flow_step = FLOW_STEP.max(known.flows / FLOW_STEP_DIVISOR);
        let is_emptied = current == Current::default() && known != current;
        // Demand is far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let demand_steps = demand as f32 / demand_step as f32;
        let steps = [
            demand_steps,
            f32::from(flows) / f32::from(flow_step),
            slowness / SLOWNESS_STEP,
            refused / REFUSED_STEP,
        ];
        let is_changed = is_emptied || steps.iter().any(|steps| *steps >= factor);
        // Responses have small weights, and the cast saturates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let responses = ((slowness + refused) * RESPONSE_WEIGHT) as u64;
        let relative_flows = 1_000 * u64::from(flows) / u64::from(known.flows.max(8));
        let waiting = (elapsed_ms / super::ROUND_MS).clamp(1, MAX_WAITING_FACTOR);
        is_changed.then_some((1 + u64::from(demand) + relative_flows + responses) * waiting)
    }
}

/// What the entry VMs of one failure domain know.
#[derive(Debug, Default)]
pub(super) struct Group {
    upstreams: BTreeMap<u32, Known>,
    decayed_at_ms: u64,
    /// Number of entries that may be sent.
    credit: usize,
}

impl Group {
    /// Creates the state of a group whose first member is about to receive `all`.
    pub(super) fn new(now_ms: u64, all: impl Iterator<Item = (u32, Current)>) -> Self {
        let upstreams = all.map(|(token, current)| {
            let known = Known {
                current,
                sent_at_ms: now_ms,
                ..Known::default()
            };
            (token, known)
        });
        Self {
            upstreams: upstreams.collect(),
            decayed_at_ms: now_ms,
            credit: usize::MAX / 2,
        }
    }

    /// Adds the responses of a digest.
    pub(super) fn add_responses(&mut self, entry: &Entry) {
        if entry.requests > 0 {
            let known = self.upstreams.entry(entry.token).or_default();
            known.pending.add(entry);
        }
    }

    /// Reports whether the entry VMs know anything about the upstream, or are about to.
    pub(super) fn knows(&self, token: u32) -> bool {
        self.upstreams.contains_key(&token)
    }

    /// Returns all that the entry VMs know.
    pub(super) fn full_state(&self, now_ms: u64) -> Vec<Entry> {
        let all = self.upstreams.iter().map(|(token, known)| {
            let elapsed_ms = now_ms.saturating_sub(known.sent_at_ms);
            entry(*token, known.current, &mut known.sums.decayed(elapsed_ms))
        });
        all.filter(|entry| !entry.is_empty()).collect()
    }

    /// Returns the largest changes, `mean_entries` on average, among the upstreams for which `distance`
    /// returns one.
    pub(super) fn next_changes(
        &mut self,
        now_ms: u64,
        all: impl Iterator<Item = (u32, Current)>,
        distance: impl Fn(u32) -> Option<Distance>,
        mean_entries: usize,
    ) -> Vec<Entry> {
        let most = mean_entries * SAVED_ROUNDS;
        self.credit = (self.credit + mean_entries).min(most);
        // Credits are small numbers.
        #[expect(clippy::cast_precision_loss)]
        let saved_share = self.credit as f32 / most.max(1) as f32;
        let near_factor = SPENT_FACTOR + (1.0 - SPENT_FACTOR) * saved_share;
        let elapsed_ms = now_ms.saturating_sub(self.decayed_at_ms);
        self.decayed_at_ms = now_ms;
        for known in self.upstreams.values_mut() {
            known.pending = known.pending.decayed(elapsed_ms);
        }
        let mut changes = Vec::new();
        for (token, current) in all {
            let Some(distance) = distance(token) else {
                continue;
            };
            let factor = match distance {
                Distance::Near => near_factor,
                Distance::Far => near_factor * FAR_FACTOR,
            };
            let known = self.upstreams.entry(token).or_default();
            let weight = known.change(now_ms, current, factor);
            changes.extend(weight.map(|weight| (Reverse(weight), token, current)));
        }
        changes.sort_unstable_by_key(|(weight, token, _)| (*weight, *token));
        changes.truncate(self.credit.min(MAX_ENTRIES));
        self.credit -= changes.len();
        let entries = changes
            .into_iter()
            .map(|(_, token, current)| self.send(now_ms, token, current));
        let entries = entries.collect();
        self.upstreams.retain(|_, known| {
            known.current != Current::default()
                || known.pending.requests >= 0.5
                || now_ms < known.sent_at_ms + model::work::EXPIRY_MS
        });
        entries
    }

    fn send(&mut self, now_ms: u64, token: u32, current: Current) -> Entry {
        let known = self.upstreams.entry(token).or_default();
        let entry = entry(token, current, &mut known.pending);
        let elapsed_ms = now_ms.saturating_sub(known.sent_at_ms);
        known.sums = known.sums.decayed(elapsed_ms);
        known.sums.add(&entry);
        known.current = current;
        known.sent_at_ms = now_ms;
        entry
    }
}

fn entry(token: u32, current: Current, sums: &mut Sums) -> Entry {
    let mut entry = Entry {
        token,
        flows: current.flows,
        demand_milli: current.demand_milli,
        ..Entry::default()
    };
    if sums.requests >= 1.0 {
        sums.take_into(&mut entry);
    }
    entry
}
