//! Limits on the open flows of an upstream.
//!
//! An upstream that holds as many flows as it can leaves opening packets without an answer, which
//! costs clients 200 ms each time. An upstream near the limit gets no new flow while another one
//! has room.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::plan::Terms;

use crate::time::Instant;

/// Fraction of the limit at which an upstream counts as full, as a numerator of 100. The rest covers
/// flows that other VMs placed since the shared view.
const FULL_PERCENT: u64 = 95;

/// Time in milliseconds after which the flows of all upstreams are counted again.
const RECOUNT_MS: u64 = 500;

/// Time in milliseconds for which a flow that this VM placed may be missing in the shared view.
const UNSHARED_MS: u64 = 1_000;

/// Flows of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Flows {
    /// Open flows at the last count, with those that this VM placed since.
    open: u32,
    /// Number of flows that this VM placed in the last window and the one before.
    placed: [u32; 2],
}

/// Full upstreams, and flows that this VM placed recently.
#[derive(Debug, Clone, Default)]
pub struct Caps {
    /// Limit of each service that has one.
    limits: BTreeMap<Arc<str>, u32>,
    /// Upstreams at their limit.
    full: BTreeSet<u64>,
    /// Flows of the upstreams of services with a limit.
    upstreams: BTreeMap<u64, Flows>,
    counted_at: Option<Instant>,
    window_at: Instant,
}

impl Caps {
    /// Applies the terms of a plan.
    pub fn apply_terms(&mut self, terms: &Terms) {
        let limits = terms.services.iter();
        let limits = limits.filter_map(|s| {
            let limit = s.max_flows.filter(|limit| *limit > 0)?;
            Some((Arc::clone(&s.name), limit))
        });
        *self = Self {
            limits: limits.collect(),
            ..Self::default()
        };
    }

    /// Removes all limits.
    pub fn clear_terms(&mut self) {
        *self = Self::default();
    }

    /// Reports whether the flows have to be counted for `service`.
    #[must_use]
    pub fn is_due(&self, now: Instant, service: &Arc<str>) -> bool {
        let is_old = |at| now.ms_since(at) >= RECOUNT_MS;
        self.limits.contains_key(service) && self.counted_at.is_none_or(is_old)
    }

    /// Stores new counts: for each upstream its id, its service, the open flows that this VM knows,
    /// and those of all VMs if the shared view contains them.
    pub fn recount<'a>(
        &mut self,
        now: Instant,
        counts: impl Iterator<Item = (u64, &'a Arc<str>, u32, Option<u32>)>,
    ) {
        self.counted_at = Some(now);
        let is_new_window = now.ms_since(self.window_at) >= UNSHARED_MS / 2;
        if is_new_window {
            self.window_at = now;
        }
        self.full.clear();
        let before = std::mem::take(&mut self.upstreams);
        for (id, service, own, shared) in counts {
            let Some(limit) = self.limits.get(service) else {
                continue;
            };
            let mut placed = before.get(&id).map_or([0; 2], |flows| flows.placed);
            if is_new_window {
                placed = [0, placed[0]];
            }
            let recent = placed[0].saturating_add(placed[1]);
            let open = shared.map_or(own, |all| all.saturating_add(recent).max(own));
            self.upstreams.insert(id, Flows { open, placed });
            if is_full(open, *limit) {
                self.full.insert(id);
            }
        }
    }

    /// Records that this VM placed a flow.
    pub fn record_placed(&mut self, service: &Arc<str>, id: u64) {
        let Some(limit) = self.limits.get(service) else {
            return;
        };
        let flows = self.upstreams.entry(id).or_default();
        flows.placed[0] = flows.placed[0].saturating_add(1);
        flows.open = flows.open.saturating_add(1);
        if is_full(flows.open, *limit) {
            self.full.insert(id);
        }
    }

    /// Reports whether an upstream is at its limit.
    #[must_use]
    pub fn is_full(&self, id: u64) -> bool {
        self.full.contains(&id)
    }

    /// Returns the number of upstreams at their limit.
    #[must_use]
    pub fn full_count(&self) -> usize {
        self.full.len()
    }
}

fn is_full(flows: u32, limit: u32) -> bool {
    u64::from(flows) * 100 >= u64::from(limit) * FULL_PERCENT
}
