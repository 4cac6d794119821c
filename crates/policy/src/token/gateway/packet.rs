//! Decisions on packets, and what each packet shows about its flow and upstream.

use std::sync::Arc;

use model::{
    plan::Target,
    routing::{Announced, Phase},
};
use rand::Rng;

use super::Gateway;
use crate::{
    time::Instant,
    token::{
        admission::Verdict,
        decision::{Action, Decision, Reason},
        directory::Upstream,
        flow::Flow,
        outlier::RequestEnd,
        placement::{PlacementInputs, PlacementRequest},
        segment::{Key, Kind, Segment},
    },
};

/// Maximum number of counted flows. Packets of further flows are forwarded without being counted.
const MAX_COUNTED_FLOWS: usize = 65_536;

/// Time in milliseconds for which packets of open flows are still forwarded to a stopped upstream.
/// An upstream announces its stop shortly before it stops.
const STOP_GRACE_MS: u64 = 500;

/// Time in milliseconds after the first opening packet of a flow in which copies of it may arrive. A
/// later opening packet begins another flow from the same port.
const OPENING_MS: u64 = 2_000;

/// Time in milliseconds after the first opening packet of a flow up to which a copy waits for a probe. A
/// later copy goes to another upstream, also if the probe could not start.
const MAX_UNPROBED_MS: u64 = 500;

/// Time in milliseconds, from the first synced control VM, after which a fresh VM regards its
/// directory as complete.
const SETTLE_MS: u64 = 1_000;

/// Time in milliseconds for which the result of `is_gathering` is reused.
const GATHERING_CACHE_MS: u64 = 20;

impl Gateway {
    /// Decides what to do with a packet.
    pub fn decide(&mut self, now: Instant, segment: &Segment) -> Decision {
        match segment.kind {
            Kind::Open { .. } => self.open_flow(now, segment.key),
            Kind::Data | Kind::Finish | Kind::Reset => self.forward_segment(now, segment),
        }
    }

    fn open_flow(&mut self, now: Instant, key: Key) -> Decision {
        if self.plan.is_none() {
            // The client repeats the packet, and this VM or another may have a plan by then.
            return Decision::new(Action::Hold, Reason::NoPlan);
        }
        let Some(targets) = self
            .routes
            .get(&key.service)
            .map(|r| Arc::clone(&r.targets))
        else {
            return Decision::new(Action::Reset, Reason::NoRoute);
        };
        self.excluded.expire(now, &self.agreed.domains_out);
        let known = self.flows.get(&key).copied().filter(|flow| !flow.is_over);
        if let Some(flow) = known {
            return self.reopen_flow(now, key, &targets, flow);
        }
        self.place_flow(now, key, &targets, None, Reason::Placed)
    }

    /// Decides on a repeated opening packet.
    ///
    /// An upstream where the flow is open gets the copy. So does one that has answered other clients
    /// since, because a packet was lost: if two upstreams answered, the client could keep the token of
    /// the wrong upstream. One that has answered nobody gets one copy if it accepts a probe. Otherwise
    /// another upstream gets the copy. The plan in force decides where a flow that is not open may go.
    fn reopen_flow(&mut self, now: Instant, key: Key, targets: &[Target], flow: Flow) -> Decision {
        let id = flow.upstream;
        let waited_ms = now.ms_since(flow.opened_at);
        let upstream = self.directory.get(id);
        let is_target = |u: &Upstream| targets.iter().any(|t| t.service == u.announced.service);
        let has_answered = flow.is_open || self.health.has_answered_since(id, flow.opened_at);
        match upstream {
            Some(upstream)
                if flow.is_open && waited_ms < OPENING_MS && self.keeps_flows(upstream) =>
            {
                Decision::new(forward_to(upstream), Reason::Repeated)
            }
            // Admission to the other service has not been asked yet.
            Some(upstream) if !is_target(upstream) => {
                self.health.record_unanswered(now, id, flow.opened_at);
                self.place_flow(now, key, targets, None, Reason::Rerouted)
            }
            Some(upstream) if self.accepts_flows(now, upstream) && has_answered => {
                let decision = Decision::new(forward_to(upstream), Reason::Repeated);
                if !flow.is_open {
                    self.record_ignored(now, key.service, id);
                }
                decision
            }
            Some(upstream) if self.accepts_flows(now, upstream) && !flow.is_repeated => {
                let forward = forward_to(upstream);
                if self.health.was_reached_since(id, flow.opened_at) {
                    self.flows.entry(key).and_modify(|f| f.is_repeated = true);
                    return Decision::new(forward, Reason::Repeated);
                }
                self.health.record_unanswered(now, id, flow.opened_at);
                match self.health.awaits_probe(now, id) && waited_ms < MAX_UNPROBED_MS {
                    true => Decision::new(Action::Hold, Reason::Probing),
                    false => self.move_on(now, key, targets, flow),
                }
            }
            _ => {
                self.health.record_unanswered(now, id, flow.opened_at);
                self.move_on(now, key, targets, flow)
            }
        }
    }

    /// Places a flow whose upstream has not answered at another upstream.
    fn move_on(&mut self, now: Instant, key: Key, targets: &[Target], flow: Flow) -> Decision {
        let id = flow.upstream;
        self.record_latency(now, id, Some(now.ms_since(flow.opened_at)));
        self.place_flow(now, key, targets, Some(id), Reason::MovedOn)
    }

    /// Reports whether packets of open flows are forwarded to `upstream`.
    fn keeps_flows(&self, upstream: &Upstream) -> bool {
        let id = upstream.announced.incarnation.id;
        upstream.announced.phase != Phase::Gone && !self.health.is_down(id)
    }

    /// Reports whether this VM has been running long enough to regard its directory as complete.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let first = self.first_synced_at;
        first.is_some_and(|at| now.ms_since(at) >= SETTLE_MS)
    }

    /// Returns the cached result of `Directory::is_gathering`, which iterates over all upstreams.
    fn is_gathering(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let compute = || self.directory.is_gathering(now, service);
        self.gathering
            .get(now, GATHERING_CACHE_MS, service, compute)
    }

    pub(super) fn accepts_flows(&self, now: Instant, upstream: &Upstream) -> bool {
        upstream.accepts_flows_outside(now, self.excluded.all())
    }

    fn place_flow(
        &mut self,
        now: Instant,
        key: Key,
        targets: &[Target],
        tried: Option<u64>,
        reason: Reason,
    ) -> Decision {
        if !self.is_settled(now) && targets.iter().any(|t| self.is_gathering(now, &t.service)) {
            // The few known upstreams would get all flows.
            return Decision::new(Action::Hold, Reason::Gathering);
        }
        let mut remaining: Vec<&Target> = targets.iter().collect();
        let mut is_capped = false;
        while let Some(position) = draw_target(&remaining, &mut self.random) {
            let service = &remaining[position].service;
            // A flow that moves on was admitted before.
            if tried.is_none() && self.admit_flow(now, key, service) == Verdict::Refused {
                return Decision::new(Action::Reset, Reason::NoRoom);
            }
            self.update_caps(now, service);
            let request = PlacementRequest {
                service,
                route: key.service,
                domain: &self.settings.domain,
                out: self.excluded.all(),
                tried,
            };
            let inputs = PlacementInputs {
                directory: &self.directory,
                health: &self.health,
                latencies: &self.latencies,
                outliers: &self.outliers,
                caps: &self.caps,
                view: self.places_by_view.then_some(&self.view),
                costs: &self.costs,
            };
            let chosen = self.selector.choose(now, request, inputs, &mut self.random);
            if let Some(upstream) = chosen {
                let id = upstream.announced.incarnation.id;
                let action = forward_to(upstream);
                self.health.record_request(now, id);
                self.caps.record_placed(service, id);
                self.record_placed(now, key.service, id);
                if self.flows.len() < MAX_COUNTED_FLOWS {
                    self.flows.insert(key, Flow::placed(now, id));
                }
                return Decision::new(action, reason);
            }
            is_capped |= self.has_room_but_for_cap(now, service);
            remaining.remove(position);
        }
        self.flows.remove(&key);
        let reason = match is_capped {
            true => Reason::FlowCap,
            false => Reason::NoUpstream,
        };
        Decision::new(Action::Reset, reason)
    }

    /// Decides on a packet of an open flow.
    fn forward_segment(&mut self, now: Instant, segment: &Segment) -> Decision {
        let Some(upstream) = self.directory.by_token(segment.token) else {
            let action = match self.is_settled(now) {
                true => Action::Drop,
                false => Action::Hold,
            };
            return Decision::new(action, Reason::UnknownToken);
        };
        if self.has_surely_stopped(now, upstream) {
            self.flows.remove(&segment.key);
            let action = match segment.kind {
                Kind::Reset => Action::Drop,
                _ => Action::Reset,
            };
            return Decision::new(action, Reason::Stopped);
        }
        let mut decision = Decision::new(forward_to(upstream), Reason::Token);
        let id = upstream.announced.incarnation.id;
        decision.waited_ms = self.record_segment(now, segment, id);
        if segment.length > 0 && self.health.is_down(id) {
            (decision.action, decision.reason) =
                self.decide_at_down(now, segment, id, decision.action);
        }
        decision
    }

    /// Reports whether `upstream` has stopped, long enough ago and without a later incarnation that this
    /// VM may have missed. If a control VM has yet to be heard, or this VM never knew the upstream as
    /// live, it may have started again since; a probe decides once a client waits for it.
    fn has_surely_stopped(&self, now: Instant, upstream: &Upstream) -> bool {
        let (open, synced) = self.directory.control_stream_counts();
        let hears_all = synced >= open.max(self.control_addresses().len());
        let is_over = |at: Instant| now.ms_since(at) >= STOP_GRACE_MS;
        hears_all && upstream.was_live && upstream.gone_at.is_some_and(is_over)
    }

    /// Decides on a packet with data of an open flow whose upstream was found down. `forward` is the
    /// action for an upstream that is up.
    fn decide_at_down(
        &mut self,
        now: Instant,
        segment: &Segment,
        id: u64,
        forward: Action,
    ) -> (Action, Reason) {
        let has_ended = self.has_ended(id);
        let backoff_ms = self.random_backoff_ms();
        if !self.health.rejects_flows(now, id, has_ended, backoff_ms) {
            return (forward, Reason::Outdated);
        }
        // The client may still send the request to another upstream before the deadline.
        self.flows.remove(&segment.key);
        (Action::Reset, Reason::Down)
    }

    /// Records what a packet shows about its flow and upstream. Returns how long the client has
    /// waited for the upstream, in milliseconds, if the packet shows that.
    fn record_segment(&mut self, now: Instant, segment: &Segment, id: u64) -> Option<u64> {
        if !self.flows.contains_key(&segment.key) && self.flows.len() >= MAX_COUNTED_FLOWS {
            return None;
        }
        let flow = self
            .flows
            .entry(segment.key)
            .or_insert_with(|| Flow::discovered(now, id));
        flow.upstream = id;
        let signal = flow.apply_segment(now, segment);
        if signal.is_answer {
            self.health.record_answer(now, id);
            if let Some(waited_ms) = signal.answer_wait_ms {
                self.record_answered(now, segment.key.service, id, waited_ms);
            }
        }
        if let Some(since) = signal.unanswered_since {
            self.health.record_unanswered(now, id, since);
        }
        if signal.starts_request {
            self.health.record_request(now, id);
        }
        self.record_latency(now, id, signal.answer_wait_ms);
        let is_failure = signal
            .request_end
            .is_some_and(|ended| self.record_request_end(now, segment.key, id, ended));
        let route = segment.key.service;
        self.record_answer_size(now, route, id, &signal, is_failure);
        self.record_work(now, route, id, &signal, is_failure);
        signal.answer_wait_ms
    }

    /// Counts requests whose clients have sent nothing until after the deadline as ended.
    pub(super) fn expire_requests(&mut self, now: Instant) {
        let mut ended = Vec::new();
        for (key, flow) in &mut self.flows {
            let route = self.routes.get(&key.service);
            let end = route.and_then(|r| flow.expire_request(now, r.deadline_ms));
            ended.extend(end.map(|end| (*key, flow.upstream, end)));
        }
        for (key, id, end) in ended {
            self.record_request_end(now, key, id, end);
        }
    }

    /// Records the end of a request. Returns whether the request counts as failed.
    fn record_request_end(&mut self, now: Instant, key: Key, id: u64, ended: RequestEnd) -> bool {
        let Some(upstream) = self.directory.get(id) else {
            return false;
        };
        let service = &upstream.announced.service;
        self.outliers
            .record_end(now, key.service, id, service, ended)
    }

    /// Records the time of an answer, or the time waited so far, in milliseconds.
    fn record_latency(&mut self, now: Instant, id: u64, answer_wait_ms: Option<u64>) {
        if let (Some(upstream), Some(ms)) = (self.directory.get(id), answer_wait_ms) {
            let Announced {
                service, domain, ..
            } = &upstream.announced;
            self.latencies.record(now, id, service, domain, ms);
        }
    }
}

fn forward_to(upstream: &Upstream) -> Action {
    Action::Forward {
        id: upstream.announced.incarnation.id,
        to: upstream.announced.address,
        token: upstream.token,
    }
}

/// Draws a target by weight. Returns none if no target has weight.
fn draw_target(targets: &[&Target], random: &mut impl Rng) -> Option<usize> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut offset = random.random_range(0..total);
    targets.iter().position(|target| {
        let weight = u64::from(target.weight);
        let is_drawn = offset < weight;
        offset = offset.saturating_sub(weight);
        is_drawn
    })
}
