//! Fairness between the callers of a class.
//!
//! A caller is a client address. Flows of callers that opened more than twice the mean are refused
//! first. A caller with many addresses has many callers with few flows each, which get the share of
//! the class.

use std::{collections::BTreeMap, net::Ipv4Addr};

use crate::time::Instant;

/// Maximum number of callers whose flows are counted. Further callers count as callers with few
/// flows.
pub const MAX_CALLERS: usize = 1_024;

/// Time in milliseconds over which the flows of a caller are counted.
const WINDOW_MS: u64 = 1_000;

/// Time in milliseconds for which a caller gets the same decision, so that retries that arrive
/// together don't get another chance.
const EPOCH_MS: u64 = 500;

/// Ratio to the mean number of flows above which flows are refused first.
const EXCESS_RATIO: f32 = 2.0;

/// Number of flows within the window up to which no flow is in excess, however low the mean is.
/// Otherwise a caller with a thousand addresses lowers the mean until ordinary callers exceed it.
const MIN_EXCESS_FLOWS: f32 = 4.0;

/// Number of flows within the window above which a caller gets its share flow by flow. Such an
/// address belongs to many clients, and one decision for all of them would be too coarse.
const MANY_FLOWS: u32 = 8;

/// Service and class of a caller.
pub(super) type Group = (u16, u16);

/// Flows of a caller in a window.
#[derive(Debug, Clone, Copy, Default)]
struct Caller {
    flows: u32,
    /// Admitted flows that the caller has left, for a caller with many flows. Invariant: below 1.
    credit: f32,
}

/// Distribution of flows over the callers of a group in the last complete window.
#[derive(Debug, Clone, Copy, Default)]
struct Spread {
    /// Mean number of flows of a caller.
    mean: f32,
    /// Share of the flows that exceed twice the mean of their caller.
    excess: f32,
}

/// Recent flows by caller.
#[derive(Debug, Clone, Default)]
pub(super) struct Callers {
    /// Callers of the current window. Invariant: at most half of `MAX_CALLERS`, as in `previous`.
    current: BTreeMap<(Group, Ipv4Addr), Caller>,
    /// Callers of the last complete window.
    previous: BTreeMap<(Group, Ipv4Addr), Caller>,
    /// Distribution of `previous`.
    spreads: BTreeMap<Group, Spread>,
    began_at: Instant,
}

impl Callers {
    /// Returns the number of counted callers.
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns the number of flows of a caller in the current window and in the last complete one.
    pub(super) fn flows(&self, group: Group, client: Ipv4Addr) -> (u32, u32) {
        let key = (group, client);
        let of = |callers: &BTreeMap<_, Caller>| callers.get(&key).map_or(0, |c| c.flows);
        (of(&self.current), of(&self.previous))
    }

    /// Counts a flow of a caller and reports whether it is admitted, where `share` is the share of
    /// its class.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        wall_ms: u64,
        group: Group,
        client: Ipv4Addr,
        share: f32,
    ) -> bool {
        self.rotate(now);
        let key = (group, client);
        let is_full = self.current.len() >= MAX_CALLERS / 2;
        let mut untracked = Caller::default();
        let caller = match is_full && !self.current.contains_key(&key) {
            true => &mut untracked,
            false => self.current.entry(key).or_default(),
        };
        caller.flows = caller.flows.saturating_add(1);
        if share >= 1.0 {
            return true;
        }
        let before = self.previous.get(&key).copied().unwrap_or_default();
        let spread = self.spreads.get(&group).copied().unwrap_or_default();
        let share = spread.share_of(before.flows, share);
        if caller.flows.max(before.flows) <= MANY_FLOWS {
            return position(wall_ms, group, client) < share;
        }
        caller.credit += share;
        let is_admitted = caller.credit >= 1.0;
        if is_admitted {
            caller.credit -= 1.0;
        }
        is_admitted
    }

    fn rotate(&mut self, now: Instant) {
        let age_ms = now.ms_since(self.began_at);
        if age_ms < WINDOW_MS {
            return;
        }
        self.began_at = now;
        self.previous = std::mem::take(&mut self.current);
        if age_ms >= 2 * WINDOW_MS {
            self.previous.clear();
        }
        self.spreads = spreads(&self.previous);
    }
}

impl Spread {
    /// Returns the share of a caller with `flows` flows in the last window, where `share` is the
    /// share of all callers together. Flows beyond twice the mean are refused first.
    fn share_of(self, flows: u32, share: f32) -> f32 {
        let own_excess = excess(flows, self.mean);
        let refused = 1.0 - share;
        if refused <= self.excess {
            return 1.0 - own_excess * refused / self.excess.max(f32::EPSILON);
        }
        share / (1.0 - self.excess) * (1.0 - own_excess)
    }
}

/// Returns the share of a caller's flows that exceeds twice the mean.
fn excess(flows: u32, mean: f32) -> f32 {
    // Flows of a second are far below the precision of f32.
    #[expect(clippy::cast_precision_loss)]
    let flows = flows as f32;
    let limit = (mean * EXCESS_RATIO).max(MIN_EXCESS_FLOWS);
    match flows > limit && flows > 0.0 {
        true => (flows - limit) / flows,
        false => 0.0,
    }
}

fn spreads(callers: &BTreeMap<(Group, Ipv4Addr), Caller>) -> BTreeMap<Group, Spread> {
    let mut totals: BTreeMap<Group, (f32, f32)> = BTreeMap::new();
    for ((group, _), caller) in callers {
        let (count, flows) = totals.entry(*group).or_default();
        *count += 1.0;
        *flows += flows_of(caller);
    }
    let mut spreads: BTreeMap<Group, Spread> = BTreeMap::new();
    for ((group, _), caller) in callers {
        let Some((count, flows)) = totals.get(group) else {
            continue;
        };
        let mean = flows / count;
        let spread = spreads.entry(*group).or_default();
        spread.mean = mean;
        spread.excess += excess(caller.flows, mean) * flows_of(caller) / flows.max(1.0);
    }
    spreads
}

fn flows_of(caller: &Caller) -> f32 {
    // Flows of a second are far below the precision of f32.
    #[expect(clippy::cast_precision_loss)]
    let flows = caller.flows as f32;
    flows
}

/// Returns the position of a caller between 0 and 1 in its current epoch. Epochs of different
/// callers begin at different times, so that decisions don't all change at once.
fn position(wall_ms: u64, group: Group, client: Ipv4Addr) -> f32 {
    let seed = mix(u64::from(u32::from(client)) << 32 | u64::from(group.1));
    let epoch = wall_ms.saturating_add(seed % EPOCH_MS) / EPOCH_MS;
    let bits = mix(seed ^ mix(epoch)) >> 40;
    // 24 bits are exact in f32.
    #[expect(clippy::cast_precision_loss)]
    let position = bits as f32 / (1_u32 << 24) as f32;
    position
}

/// Mixes the bits of `value` (the finalizer of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
