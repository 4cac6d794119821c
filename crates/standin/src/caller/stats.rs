//! Counters and latencies measured by callers.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use hdrhistogram::Histogram;
use model::name::Name;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time after which a failure domain taken out by operators must have no flows left. A flow opened
/// there later counts as broken when lost.
const DOMAIN_OUT_GRACE: Duration = Duration::from_secs(3);

/// Upper bound of the histograms, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Counters of requests, as measured by callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests sent, without retransmissions; a new attempt after a refusal counts again.
    pub sent: u64,
    /// Requests answered with the result.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without any answer until shortly after the deadline.
    pub no_answer: u64,
    /// Requests answered with another code.
    pub failed: u64,
    /// Requests in flight.
    pub open: u64,
    /// Answers that belong to no request of the caller, or to another request.
    pub wrong_answer: u64,
    /// Answers from other services.
    pub wrong_service: u64,
    /// Results that arrived after a refusal as not run.
    pub refused_but_answered: u64,
    /// Answers after the first answer, or after the caller stopped waiting.
    pub late: u64,
    /// Retransmitted datagrams.
    pub repeats: u64,
}

/// Counters of flows, as measured by callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounts {
    /// Flows opened.
    pub opened: u64,
    /// Flows ended by their callers without a fault.
    pub kept: u64,
    /// Flows broken: reset, stalled or with corrupted content.
    pub broken: u64,
    /// Flows lost because operators took the failure domain out or the upstream was terminated.
    pub given_up: u64,
    /// Flows that failed to open.
    pub not_opened: u64,
    /// Answers from other services.
    pub wrong_service: u64,
    /// Flows open now.
    pub open: u64,
    /// Retransmitted packets.
    pub repeats: u64,
    /// Uploads that arrived complete and correct at the upstream.
    pub uploads_finished: u64,
}

/// Counters of one second of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with the result.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests with an unknown outcome, or without an answer.
    pub unknown: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows broken.
    pub broken: u64,
    /// Flows given up.
    pub given_up: u64,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

/// Measurements of all callers of one process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Counters of requests.
    pub requests: RequestCounts,
    /// Counters of flows.
    pub flows: FlowCounts,
    /// Latency from the time at which a request was due to its end.
    pub latency_ms: Latency,
    /// Latency from a poll of a feed to its answer, corrected for polls that a stall delayed.
    pub feed_latency_ms: Latency,
    /// Latency from the first opening packet of a flow to its answer.
    #[serde(default)]
    pub open_latency_ms: Latency,
    /// Ids of the requests that were refused as not run.
    pub refused: Vec<u64>,
    /// Ids of the requests with an unknown outcome or without an answer.
    pub unknown: Vec<u64>,
    /// Counters by second since the start.
    pub seconds: BTreeMap<u64, Second>,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with the result.
    Answered,
    /// Refused as not run.
    Refused,
    /// Outcome unknown.
    Unknown,
    /// No answer.
    Silence,
    /// Another code.
    Failed,
}

/// Counters of the callers of one process; clones share the counters.
#[derive(Debug, Clone)]
pub struct CallerStats(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    started: Instant,
    next_id: u64,
    report: Report,
    latency: Histogram<u64>,
    feed_latency: Histogram<u64>,
    open_latency: Histogram<u64>,
    domains_out: BTreeMap<Name, Instant>,
    removed_upstreams: BTreeMap<Name, Instant>,
}

impl Default for CallerStats {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(State {
            started: Instant::now(),
            next_id: 1,
            report: Report::default(),
            latency: histogram(),
            feed_latency: histogram(),
            open_latency: histogram(),
            domains_out: BTreeMap::new(),
            removed_upstreams: BTreeMap::new(),
        })))
    }
}

impl State {
    fn second(&mut self) -> &mut Second {
        let second = self.started.elapsed().as_secs();
        self.report.seconds.entry(second).or_default()
    }
}

impl CallerStats {
    /// Returns a new number for a flow or request, unique in the process.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let mut state = self.0.borrow_mut();
        let id = state.next_id;
        state.next_id += 1;
        id
    }

    /// Changes the counters of requests.
    pub fn update_requests(&self, change: impl FnOnce(&mut RequestCounts)) {
        change(&mut self.0.borrow_mut().report.requests);
    }

    /// Changes the counters of flows.
    pub fn update_flows(&self, change: impl FnOnce(&mut FlowCounts)) {
        change(&mut self.0.borrow_mut().report.flows);
    }

    /// Records that a request was sent.
    pub fn record_sent(&self) {
        let mut state = self.0.borrow_mut();
        state.report.requests.sent += 1;
        state.report.requests.open += 1;
        state.second().sent += 1;
    }

    /// Records the outcome of request `id`, which was due at `due`.
    pub fn record_outcome(&self, id: u64, due: Instant, outcome: Outcome) {
        let mut state = self.0.borrow_mut();
        state.report.requests.open -= 1;
        record(&mut state.latency, due.elapsed());
        let second = state.second();
        match outcome {
            Outcome::Answered => second.answered += 1,
            Outcome::Refused => second.refused += 1,
            Outcome::Unknown | Outcome::Silence | Outcome::Failed => second.unknown += 1,
        }
        let counts = &mut state.report.requests;
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::Refused => counts.refused_not_run += 1,
            Outcome::Unknown => counts.outcome_unknown += 1,
            Outcome::Silence => counts.no_answer += 1,
            Outcome::Failed => counts.failed += 1,
        }
        match outcome {
            Outcome::Refused => state.report.refused.push(id),
            Outcome::Unknown | Outcome::Silence => state.report.unknown.push(id),
            Outcome::Answered | Outcome::Failed => {}
        }
    }

    /// Records a flow that was opened `latency` after its first opening packet.
    pub fn record_flow_opened(&self, latency: Duration) {
        let mut state = self.0.borrow_mut();
        record(&mut state.open_latency, latency);
        state.report.flows.opened += 1;
        state.report.flows.open += 1;
        state.second().opened += 1;
    }

    /// Records a flow that its caller ended without a fault.
    pub fn record_flow_closed(&self) {
        let mut state = self.0.borrow_mut();
        state.report.flows.kept += 1;
        state.report.flows.open -= 1;
    }

    /// Records the loss of a flow that was opened at `opened`. The flow counts as broken, unless its
    /// failure domain was taken out or its upstream was terminated.
    pub fn record_flow_lost(&self, upstream: &Name, domain: &Name, opened: Instant) {
        let mut state = self.0.borrow_mut();
        state.report.flows.open -= 1;
        let domain_out = state.domains_out.get(domain).copied();
        let gone = state.removed_upstreams.get(upstream).copied();
        let is_given_up = [domain_out, gone]
            .into_iter()
            .flatten()
            .any(|at| opened <= at + DOMAIN_OUT_GRACE);
        if is_given_up {
            state.report.flows.given_up += 1;
            state.second().given_up += 1;
        } else {
            state.report.flows.broken += 1;
            state.second().broken += 1;
            log::warn!(target: "caller", "a flow on upstream {upstream} of failure domain {domain} is broken.");
        }
    }

    /// Records the `latency` of a poll of a feed; polls are due every `interval_ms`.
    pub fn record_poll(&self, latency: Duration, interval_ms: u64) {
        let mut state = self.0.borrow_mut();
        let value = to_clamped_micros(latency);
        // Recording can't fail, because the value is clamped to the histogram's range.
        let _ = state
            .feed_latency
            .record_correct(value, interval_ms * 1_000);
    }

    /// Records that operators take a failure domain out now.
    pub fn record_domain_out(&self, domain: Name) {
        let mut state = self.0.borrow_mut();
        state.domains_out.insert(domain, Instant::now());
    }

    /// Records that an upstream is terminated now.
    pub fn record_upstream_removed(&self, upstream: Name) {
        let mut state = self.0.borrow_mut();
        state.removed_upstreams.insert(upstream, Instant::now());
    }

    /// Returns the measurements so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let state = self.0.borrow();
        Report {
            latency_ms: quantiles_ms(&state.latency),
            feed_latency_ms: quantiles_ms(&state.feed_latency),
            open_latency_ms: quantiles_ms(&state.open_latency),
            ..state.report.clone()
        }
    }
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS);
    // The bounds are constants within the limits of the histogram.
    bounded.unwrap_or_else(|_| unreachable!("bounds of the histogram are valid"))
}

fn to_clamped_micros(span: Duration) -> u64 {
    let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_LATENCY_US);
    micros.clamp(1, MAX_LATENCY_US)
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(to_clamped_micros(span));
}

fn quantiles_ms(histogram: &Histogram<u64>) -> Latency {
    if histogram.is_empty() {
        return Latency::default();
    }
    let ms = |us| Duration::from_micros(us).as_secs_f64() * 1_000.0;
    Latency {
        p50: ms(histogram.value_at_quantile(0.5)),
        p99: ms(histogram.value_at_quantile(0.99)),
        max: ms(histogram.max()),
    }
}
