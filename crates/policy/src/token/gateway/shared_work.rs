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

/// Ratio of the response time to the usual time from which on an upstream counts as loaded.
///
/// The demand at the upstream is no sign: it grows with the cost, so that a cost which was recorded too
/// high would keep further samples away.
const LOADED_SLOWNESS: f32 = 1.5;

/// Median of this ratio over all upstreams from which on no upstream counts as unloaded. Each upstream is
/// reported only now and then, but in an overload most are slow.
const OVERLOADED_SLOWNESS: f32 = 1.3;

/// Ratio of the response time that this VM sees to that of an idle upstream from which on the upstream
/// counts as loaded if there is no shared view. The time of an idle upstream is that of fast requests.
const OWN_LOADED_SLOWNESS: f32 = 2.0;

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
        if signal.became_long {
            self.costs.record_long_flow(now, route);
        }
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
            let is_usual = self.costs.observe(now, route, waited_ms);
            let is_sample = is_usual && self.is_unloaded(now, id, load);
            if !is_failure && (is_sample || self.costs.needs_sample(now, route)) {
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
        if let Some(load) = load {
            let median = self.view.median_slowness();
            return load.slowness < LOADED_SLOWNESS && median < OVERLOADED_SLOWNESS;
        }
        self.directory.get(id).is_none_or(|upstream| {
            let service = &upstream.announced.service;
            self.latencies.slowness(now, id, service) < OWN_LOADED_SLOWNESS
        })
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
    if flow.is_waiting() {
        return usual;
    }
    let allowed_ms = SILENT_INTERVALS * costs.request_interval_ms(route);
    #[expect(clippy::cast_precision_loss)]
    let silent_ms = now.ms_since(flow.seen_at) as f32;
    match silent_ms > allowed_ms {
        true => usual * (1.0 - silent_ms / allowed_ms).exp(),
        false => usual,
    }
}
