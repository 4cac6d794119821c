//! Counts of what callers saw.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use hdrhistogram::Histogram;
use model::name::Name;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time after which a failure domain that operators took out has no flow left, in milliseconds:
/// what opens later there is judged like any flow.
const DOMAIN_OUT_GRACE: Duration = Duration::from_secs(3);

/// Longest time that histograms hold, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of histograms.
const DIGITS: u8 = 3;

/// Requests as callers saw them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sent, without repeats; each that comes back after a refusal counts anew.
    pub sent: u64,
    /// Answered with the result.
    pub answered: u64,
    /// Refused as not run.
    pub refused_not_run: u64,
    /// Answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Without any answer until the deadline.
    pub no_answer: u64,
    /// Answered with another code.
    pub failed: u64,
    /// Under way.
    pub open: u64,
    /// Answers to other requests than the caller's own.
    pub wrong_answer: u64,
    /// Answers of other services.
    pub wrong_service: u64,
    /// Results that came after a refusal as not run.
    pub refused_but_answered: u64,
    /// Answers that came again, or after the caller had given up.
    pub late: u64,
    /// Datagrams sent again.
    pub repeats: u64,
}

/// Flows as callers saw them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounts {
    /// Opened.
    pub opened: u64,
    /// Ended by their callers, whole.
    pub kept: u64,
    /// Broken: reset, stalled or with spoiled content.
    pub broken: u64,
    /// Ended with a failure domain that operators took out, or with their upstream.
    pub given_up: u64,
    /// Tried, but never opened.
    pub not_opened: u64,
    /// Answered by another service.
    pub wrong_service: u64,
    /// Open now.
    pub open: u64,
    /// Packets sent again.
    pub repeats: u64,
    /// Uploads that were complete and right at the upstream.
    pub uploads_finished: u64,
}

/// One second of the run.
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

/// What the callers of one process saw.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests.
    pub requests: RequestCounts,
    /// Flows.
    pub flows: FlowCounts,
    /// From the moment at which a request was due to its final answer.
    pub latency_ms: Latency,
    /// From a poll of a feed to its answer, corrected for polls that a stall kept from being sent.
    pub feed_latency_ms: Latency,
    /// From the first opening packet of a flow to its answer.
    #[serde(default)]
    pub open_latency_ms: Latency,
    /// Requests that were refused as not run.
    pub refused: Vec<u64>,
    /// Requests whose outcome is unknown to their callers, or that got no answer.
    pub unknown: Vec<u64>,
    /// Counts by second since the start.
    pub seconds: BTreeMap<u64, Second>,
}

/// What became of a request.
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

/// Counts of one process; clones share them.
#[derive(Debug, Clone)]
pub struct Tally(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    started: Instant,
    next_id: u64,
    report: Report,
    latency: Histogram<u64>,
    feed_latency: Histogram<u64>,
    open_latency: Histogram<u64>,
    domains_out: BTreeMap<Name, Instant>,
    upstreams_gone: BTreeMap<Name, Instant>,
}

impl Default for Tally {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(State {
            started: Instant::now(),
            next_id: 1,
            report: Report::default(),
            latency: histogram(),
            feed_latency: histogram(),
            open_latency: histogram(),
            domains_out: BTreeMap::new(),
            upstreams_gone: BTreeMap::new(),
        })))
    }
}

impl State {
    fn second(&mut self) -> &mut Second {
        let second = self.started.elapsed().as_secs();
        self.report.seconds.entry(second).or_default()
    }
}

impl Tally {
    /// A number for a flow or request; unique in the process.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let mut state = self.0.borrow_mut();
        let id = state.next_id;
        state.next_id += 1;
        id
    }

    /// Changes the counts of requests.
    pub fn requests(&self, change: impl FnOnce(&mut RequestCounts)) {
        change(&mut self.0.borrow_mut().report.requests);
    }

    /// Changes the counts of flows.
    pub fn flows(&self, change: impl FnOnce(&mut FlowCounts)) {
        change(&mut self.0.borrow_mut().report.flows);
    }

    /// A request was sent.
    pub fn sent(&self) {
        let mut state = self.0.borrow_mut();
        state.report.requests.sent += 1;
        state.report.requests.open += 1;
        state.second().sent += 1;
    }

    /// A request that was due at `due` has its final answer, or none.
    pub fn ended(&self, id: u64, due: Instant, outcome: Outcome) {
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

    /// A flow was opened, `latency` after its first opening packet.
    pub fn flow_opened(&self, latency: Duration) {
        let mut state = self.0.borrow_mut();
        record(&mut state.open_latency, latency);
        state.report.flows.opened += 1;
        state.report.flows.open += 1;
        state.second().opened += 1;
    }

    /// A flow was ended by its caller, whole.
    pub fn flow_kept(&self) {
        let mut state = self.0.borrow_mut();
        state.report.flows.kept += 1;
        state.report.flows.open -= 1;
    }

    /// A flow that was opened at `opened` on an upstream ended by itself: it is broken, unless its
    /// failure domain was taken out or its upstream is gone.
    pub fn flow_lost(&self, upstream: &Name, domain: &Name, opened: Instant) {
        let mut state = self.0.borrow_mut();
        state.report.flows.open -= 1;
        let domain_out = state.domains_out.get(domain).copied();
        let gone = state.upstreams_gone.get(upstream).copied();
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
            log::warn!(target: "caller", "a flow on upstream {upstream} of {domain} is broken.");
        }
    }

    /// A poll of a feed was answered after `latency`; polls are due every `interval_ms`.
    pub fn polled(&self, latency: Duration, interval_ms: u64) {
        let mut state = self.0.borrow_mut();
        let value = micros(latency);
        // Values are clamped to the histogram's range.
        let _ = state
            .feed_latency
            .record_correct(value, interval_ms * 1_000);
    }

    /// Operators take a failure domain out now.
    pub fn domain_out(&self, domain: Name) {
        let mut state = self.0.borrow_mut();
        state.domains_out.insert(domain, Instant::now());
    }

    /// An upstream dies now.
    pub fn upstream_gone(&self, upstream: Name) {
        let mut state = self.0.borrow_mut();
        state.upstreams_gone.insert(upstream, Instant::now());
    }

    /// The counts so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let state = self.0.borrow();
        Report {
            latency_ms: quantiles(&state.latency),
            feed_latency_ms: quantiles(&state.feed_latency),
            open_latency_ms: quantiles(&state.open_latency),
            ..state.report.clone()
        }
    }
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
    // The bounds are constants that the histogram takes.
    bounded.unwrap_or_else(|_| unreachable!("bounds of the histogram are valid"))
}

fn micros(span: Duration) -> u64 {
    let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_LATENCY_US);
    micros.clamp(1, MAX_LATENCY_US)
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(micros(span));
}

fn quantiles(histogram: &Histogram<u64>) -> Latency {
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
