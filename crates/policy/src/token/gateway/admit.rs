//! Connects admission and the caps on open flows with the state of an entry VM.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use super::Gateway;
use crate::{
    time::Instant,
    token::{
        admission::{self, Controller, Outcome, Request, Sample, Shared, Verdict, caps::Caps},
        directory::Directory,
        flow::SegmentSignal,
        health::HealthTable,
        outlier::RequestEnd,
        segment::Key,
        work::View,
    },
};

/// Number of ticks after a new plan for which the terms of the former plan stay in use. Terms arrive
/// right after their plan unless the control VM sends none.
const TERMS_GRACE_TICKS: u32 = 6;

/// Maximum number of upstreams of a service whose shared load is read for a decision.
const MAX_SHARED_UPSTREAMS: usize = 64;

/// Ratio to the usual time up to which an answer teaches the sizes of answers. A refusal of a full
/// upstream takes several times as long.
const USUAL_WAIT_RATIO: f32 = 1.5;

/// Refused share from which on an upstream counts as refusing.
const REFUSING_SHARE: f32 = 0.02;

impl Gateway {
    /// Applies the terms of the plan in force to admission and caps, if the terms have arrived.
    /// Classes and caps of the plan before stay for [`TERMS_GRACE_TICKS`], so that a new plan during
    /// a shortage doesn't admit everything before its terms arrive.
    pub(super) fn apply_terms_in_force(&mut self) {
        self.ticks_without_terms = 0;
        if let (Some(plan), Some(terms)) = (&self.plan, self.terms.in_force()) {
            self.admission.apply_terms(plan, terms);
            self.caps.apply_terms(terms);
        }
    }

    /// Updates what changes only with time.
    pub(super) fn tick_admission(&mut self, now: Instant) {
        let (directory, view, health) = (&self.directory, &self.view, &self.health);
        self.admission.tick(now, |service| {
            shared_refusals(now, directory, view, health, service)
        });
        if self.terms.in_force().is_some() {
            return;
        }
        self.ticks_without_terms = self.ticks_without_terms.saturating_add(1);
        if self.ticks_without_terms == TERMS_GRACE_TICKS {
            self.admission.clear_terms();
            self.caps.clear_terms();
        }
    }

    /// Returns the state of admission.
    #[must_use]
    pub fn admission(&self) -> &Controller {
        &self.admission
    }

    /// Returns the state of admission, for changes and counts that are taken from it.
    pub fn admission_mut(&mut self) -> &mut Controller {
        &mut self.admission
    }

    /// Returns the state of the caps on open flows.
    #[must_use]
    pub fn caps(&self) -> &Caps {
        &self.caps
    }

    /// Decides whether a new flow to `service` is admitted.
    pub(super) fn admit_flow(&mut self, now: Instant, key: Key, service: &Arc<str>) -> Verdict {
        let request = Request {
            service,
            route: key.service,
            client: *key.client.ip(),
        };
        let (directory, view, health) = (&self.directory, &self.view, &self.health);
        self.admission.admit(now, request, || {
            shared_refusals(now, directory, view, health, service)
        })
    }

    /// Counts the flows of upstreams again if the caps on them require that.
    pub(super) fn update_caps(&mut self, now: Instant, service: &Arc<str>) {
        if !self.caps.is_due(now, service) {
            return;
        }
        let mut caps = std::mem::take(&mut self.caps);
        self.recount_flows(now, &mut caps);
        self.caps = caps;
    }

    /// Returns the caps that the next flow to `service` would meet.
    pub(super) fn preview_caps(&self, now: Instant, service: &Arc<str>) -> Caps {
        let mut caps = self.caps.clone();
        if caps.is_due(now, service) {
            self.recount_flows(now, &mut caps);
        }
        caps
    }

    fn recount_flows(&self, now: Instant, caps: &mut Caps) {
        let own = self.open_flows();
        let view = &self.view;
        let counts = self.directory.all().map(|upstream| {
            let id = upstream.announced.incarnation.id;
            let shared = view.load(now, upstream.token).map(|load| load.flows);
            let own = own.get(&id).copied().unwrap_or_default();
            (id, &upstream.announced.service, own, shared)
        });
        caps.recount(now, counts);
    }

    /// Returns the number of open flows that this VM knows at each upstream.
    pub(super) fn open_flows(&self) -> BTreeMap<u64, u32> {
        let mut own: BTreeMap<u64, u32> = BTreeMap::new();
        for flow in self.flows.values().filter(|flow| !flow.is_over) {
            *own.entry(flow.upstream).or_default() += 1;
        }
        own
    }

    /// Returns the decision that [`Self::admit_flow`] would make, without a change.
    pub(super) fn preview_admission(
        &self,
        now: Instant,
        route: SocketAddrV4,
        client: Option<Ipv4Addr>,
        service: &Arc<str>,
    ) -> admission::Preview {
        let shared = || shared_refusals(now, &self.directory, &self.view, &self.health, service);
        self.admission.preview(now, service, route, client, shared)
    }

    /// Reports whether upstreams of `service` would accept a new flow if they were not at the cap.
    pub(super) fn has_room_but_for_cap(&self, now: Instant, service: &Arc<str>) -> bool {
        let mut all = self.directory.of_service(service);
        all.any(|u| self.caps.is_full(u.announced.incarnation.id) && self.accepts_flows(now, u))
    }

    /// Records the first bytes of an answer that a client received after `waited_ms`.
    pub(super) fn record_answered(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        id: u64,
        waited_ms: u64,
    ) {
        self.record_outcome(now, route, id, Outcome::Answered(waited_ms));
    }

    /// Records the size of the answer to a request that has ended, if the packet shows that, and
    /// whether the answer is a refusal. While the sizes of the route are unknown, the judgement
    /// `is_failure` of the outlier detector counts.
    pub(super) fn record_answer_size(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        id: u64,
        signal: &SegmentSignal,
        is_failure: bool,
    ) {
        // A request without any answer shows a failure or a client that left, not a full queue.
        let Some(RequestEnd::Answered(bytes)) = signal.request_end else {
            return;
        };
        let is_refusal = self
            .answer_sizes
            .is_refusal(route, bytes)
            .unwrap_or(is_failure);
        if is_refusal {
            self.record_outcome(now, route, id, Outcome::Refused);
        }
        // Waits are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        let is_usual = signal
            .ended_wait_ms
            .is_some_and(|ms| (ms as f32) < self.costs.mean_ms(route) * USUAL_WAIT_RATIO);
        if is_usual {
            self.answer_sizes.record(route, bytes);
        }
    }

    /// Records an opening packet that a live upstream left without an answer.
    pub(super) fn record_ignored(&mut self, now: Instant, route: SocketAddrV4, id: u64) {
        self.record_outcome(now, route, id, Outcome::Ignored);
    }

    fn record_outcome(&mut self, now: Instant, route: SocketAddrV4, id: u64, outcome: Outcome) {
        let Some(upstream) = self.directory.get(id) else {
            return;
        };
        let sample = Sample {
            service: &upstream.announced.service,
            route,
            upstream: id,
            outcome,
        };
        self.admission.record(now, sample);
    }
}

/// Returns the refusals at live upstreams of `service` according to the shared view; none if the
/// view contains nothing recent. Of many upstreams, only some are read.
fn shared_refusals(
    now: Instant,
    directory: &Directory,
    view: &View,
    health: &HealthTable,
    service: &Arc<str>,
) -> Option<Shared> {
    let ids = directory.members(service)?.all();
    let stride = ids.len().div_ceil(MAX_SHARED_UPSTREAMS).max(1);
    let loads = ids.iter().step_by(stride).filter_map(|id| {
        // A crashed upstream refuses nothing, but that doesn't show that others have room.
        let upstream = directory.get(*id).filter(|u| u.accepts_flows(now))?;
        if health.is_down(*id) {
            return None;
        }
        let load = view.load(now, upstream.token)?;
        let is_valid = (0.0..=1.0).contains(&load.refused_share);
        is_valid.then_some(load)
    });
    let (mut count, mut refused, mut refusing, mut age_ms) = (0.0, 0.0, 0.0, 0);
    for load in loads {
        count += 1.0;
        refused += load.refused_share;
        refusing += f32::from(u8::from(load.refused_share >= REFUSING_SHARE));
        age_ms = load.age_ms.max(age_ms);
    }
    (count > 0.0).then_some(admission::Shared {
        refused_share: refused / count,
        spread: refusing / count,
        age_ms,
    })
}
