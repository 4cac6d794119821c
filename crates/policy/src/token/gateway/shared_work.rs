//! Work at upstreams: what packets show of it, the digest of what this VM has placed, and the
//! summaries of control VMs.

use std::net::{SocketAddr, SocketAddrV4};

use model::work::{Digest, Summary};

use super::Gateway;
use crate::{
    time::Instant,
    token::{
        cost,
        directory::token_of,
        flow::{Flow, SegmentSignal},
        outlier::RequestEnd,
        work::{Applied, Ledger, Load, OpenFlow, Response, View},
    },
};

/// Demand for each slot up to which the queue of an upstream is unlikely to delay a request. With two
/// slots and random arrivals, a request waits for an eighth of the service time on average there.
const UNLOADED_DEMAND: f32 = 0.6;

/// Ratio of the response time to the usual time from which on an upstream counts as loaded.
const LOADED_SLOWNESS: f32 = 1.5;

/// Number of usual times between the requests of a flow after which a silent flow is expected to send
/// fewer requests. The demand then falls to 1/e in the same time.
const SILENT_INTERVALS: f32 = 2.0;

impl Gateway {
    /// Returns the costs of the requests of each route.
    #[must_use]
    pub fn costs(&self) -> &cost::Table {
        &self.costs
    }

    /// Returns the flows and work that this VM has placed.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the flows and work that all VMs have placed.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns what has changed since the last digest for the control VM `receiver`; see
    /// [`Ledger::take_digest`].
    pub fn take_digest(&mut self, now: Instant, receiver: SocketAddr, previous: u64) -> Digest {
        let costs = &self.costs;
        let open = self.flows.iter().filter(|(_, flow)| !flow.is_over);
        let open = open.map(|(key, flow)| OpenFlow {
            token: token_of(flow.upstream),
            demand: demand(now, costs, key.service, flow),
        });
        let known = self.directory.all().count();
        self.ledger
            .take_digest(now, receiver, previous, open, known)
    }

    /// Applies a summary of the control VM `source`, without entries for unknown upstreams; see
    /// [`View::apply_summary`].
    pub fn apply_work(
        &mut self,
        now: Instant,
        source: SocketAddr,
        mut summary: Summary,
    ) -> Applied {
        let before = summary.entries.len();
        let directory = &self.directory;
        summary
            .entries
            .retain(|e| directory.by_token(e.token).is_some());
        let unknown = before - summary.entries.len();
        let applied = self.view.apply_summary(now, source, summary);
        Applied {
            refused: applied.refused + unknown,
            ..applied
        }
    }

    /// Records that this VM placed a flow at upstream `id`.
    pub(super) fn record_placed(&mut self, now: Instant, route: SocketAddrV4, id: u64) {
        self.costs.record_flow(now, route);
        self.ledger.record_placed(OpenFlow {
            token: token_of(id),
            demand: self.costs.flow_demand(route),
        });
    }

    /// Records what a packet of a flow on `route` shows about the work at upstream `id`.
    pub(super) fn record_work(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        id: u64,
        signal: &SegmentSignal,
        is_failure: bool,
    ) {
        if !self.routes.contains_key(&route) {
            return;
        }
        let token = token_of(id);
        let requests = u8::from(signal.begins_request);
        self.costs
            .record_request(now, route, signal.open_ms, requests);
        if signal.begins_request {
            let demand = self.costs.request_demand(route);
            self.ledger.record_request(now, token, demand);
        }
        if !signal.is_answer && signal.request_end.is_none() {
            return;
        }
        let load = self.view.load(now, token);
        let usual_ms = self.costs.mean_ms(route);
        if let Some(waited_ms) = signal.answer_wait_ms.filter(|_| signal.is_answer) {
            self.ledger
                .record_response(token, response(waited_ms, usual_ms));
            if !is_failure
                && (self.is_unloaded(now, id, load) || self.costs.needs_sample(now, route))
            {
                self.costs.record(now, route, waited_ms);
            }
        }
        let is_short = is_failure && matches!(signal.request_end, Some(RequestEnd::Answered(_)));
        if is_short {
            let recorded = signal.ended_wait_ms.map(|ms| response(ms, usual_ms));
            let was_slow = recorded.is_some_and(|r| r.waited_ms >= LOADED_SLOWNESS * usual_ms);
            // A faulty upstream answers with errors at once, without load.
            if was_slow || !self.is_unloaded(now, id, load) {
                self.ledger.record_refusal(token, recorded);
            }
        }
    }

    /// Reports whether the queue of upstream `id` is unlikely to delay requests.
    fn is_unloaded(&self, now: Instant, id: u64, load: Option<Load>) -> bool {
        let slots = self.directory.get(id).map_or(1, |u| u.announced.slots);
        let slots = f32::from(u16::try_from(slots.max(1)).unwrap_or(u16::MAX));
        match load {
            Some(load) => load.demand < UNLOADED_DEMAND * slots && load.slowness < LOADED_SLOWNESS,
            None => self.health.load(now, id) <= slots,
        }
    }
}

fn response(waited_ms: u64, usual_ms: f32) -> Response {
    Response {
        // Waits are far below the precision of f32.
        #[expect(clippy::cast_precision_loss)]
        waited_ms: waited_ms as f32,
        usual_ms,
    }
}

/// Returns the slots that an open flow is expected to occupy.
fn demand(now: Instant, costs: &cost::Table, route: SocketAddrV4, flow: &Flow) -> f32 {
    let usual = costs.flow_demand(route);
    if let Some(age_ms) = flow.request_age_ms(now) {
        let remaining = costs.remaining_ms(route, age_ms) / cost::HORIZON_MS;
        #[expect(clippy::cast_precision_loss)]
        let is_overdue = age_ms as f32 > costs.mean_ms(route);
        return match is_overdue {
            true => usual.max(remaining.min(1.0)),
            false => usual,
        };
    }
    let allowed_ms = SILENT_INTERVALS * costs.request_interval_ms(route);
    #[expect(clippy::cast_precision_loss)]
    let silent_ms = now.ms_since(flow.seen_at) as f32;
    match silent_ms > allowed_ms {
        true => usual * (1.0 - silent_ms / allowed_ms).exp(),
        false => usual,
    }
}
