//! Result of an experiment, written as JSON. All counters come from upstreams and callers.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use model::name::Name;
use serde::{Deserialize, Serialize};

use super::Experiment;
use crate::{
    caller::{self, Latency, Second},
    run_log::RunLog,
    upstream::Stats,
};

/// Purposes of messages between entry VMs that grow with the traffic and are no control traffic.
const DATA_PURPOSES: [&str; 2] = ["packets", "requests"];

/// Result of an experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Settings of the experiment.
    pub experiment: Experiment,
    /// Counters of requests.
    pub requests: Requests,
    /// Counters of flows.
    pub flows: Flows,
    /// Maximum number of flows opened at an upstream divided by the mean, by service. Upstreams that
    /// were not admitted all the time, or whose failure domain was out, don't count.
    pub imbalance: BTreeMap<String, f64>,
    /// Maximum number of requests run at an upstream divided by the mean, by service.
    pub imbalance_requests: BTreeMap<String, f64>,
    /// Latency from the time at which a request was due to its end.
    pub latency_ms: Latency,
    /// Latency from the time at which a poll of a feed was due to its answer.
    pub feed_latency_ms: Latency,
    /// Latency from the first opening packet of a flow to its answer.
    #[serde(default)]
    pub open_latency_ms: Latency,
    /// Planned changes and faults that were carried out.
    pub changes: Vec<Change>,
    /// Cost of the control traffic.
    pub control: Control,
    /// Counters by second since the traffic started.
    pub seconds: BTreeMap<u64, Second>,
    /// Counters of each upstream.
    pub upstreams: BTreeMap<Name, Stats>,
    /// End of each process of the system, by process name.
    pub exits: BTreeMap<String, String>,
    /// Sentences about the broken properties.
    pub broken_properties: Vec<String>,
}

/// Counters of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// Requests sent, without retransmissions.
    pub sent: u64,
    /// Requests answered with the result.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests refused as not run that had run at an upstream.
    pub refused_but_run: u64,
    /// Requests answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without any answer.
    pub no_answer: u64,
    /// Requests with an unknown outcome or without an answer that had run at an upstream.
    pub unknown_run: u64,
    /// Requests answered with another code.
    pub failed: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Answers that belong to no request of the caller, or to another request.
    pub wrong_answer: u64,
    /// Requests answered or run by another service.
    pub wrong_service: u64,
    /// Retransmitted datagrams.
    pub repeats: u64,
    /// Answers after the first answer, or after the caller stopped waiting.
    pub late: u64,
}

/// Counters of flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flows {
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
    /// Flows answered or held by another service.
    pub wrong_service: u64,
    /// Retransmitted packets.
    pub repeats: u64,
    /// Uploads that arrived complete and correct at the upstream.
    pub uploads_finished: u64,
}

/// A planned change or fault that was carried out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Label of the action.
    pub kind: String,
    /// Time since the traffic started, in milliseconds.
    pub at_ms: u64,
    /// Time until the change was accepted or the fault was carried out, in milliseconds.
    pub accepted_ms: u64,
    /// Time until the change was in force at every live entry VM, in milliseconds; `None` for faults.
    pub in_force_ms: Option<u64>,
    /// Error text, if the change or fault failed.
    pub error: Option<String>,
}

/// Cost of the control traffic between entry VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Control {
    /// Mean over entry VMs of the bytes per second sent to other entry VMs, without packets of flows
    /// and messages of single requests. The figures come from the metrics of the VMs; `None` when no
    /// VM gave a figure.
    pub bytes_per_second_per_vm: Option<f64>,
    /// Mean bytes per second sent to other entry VMs by purpose, including packets and requests.
    pub by_purpose: BTreeMap<String, f64>,
}

impl Control {
    /// Creates the cost from the mean bytes per second by purpose.
    #[must_use]
    pub fn new(by_purpose: BTreeMap<String, f64>) -> Self {
        let is_control = |purpose: &str| !DATA_PURPOSES.contains(&purpose);
        let control = by_purpose.iter().filter(|(p, _)| is_control(p));
        let sum = control.map(|(_, bytes)| *bytes).sum();
        Self {
            bytes_per_second_per_vm: (!by_purpose.is_empty()).then_some(sum),
            by_purpose,
        }
    }
}

impl Report {
    /// Writes the report into a file, as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write(&self, file: &Path) -> io::Result<()> {
        fs::write(file, serde_json::to_string_pretty(self)?)
    }
}

impl Requests {
    /// Combines the measurements of callers and upstreams.
    #[must_use]
    pub fn new(callers: &caller::Report, upstreams: &BTreeMap<Name, Stats>, runs: &RunLog) -> Self {
        let seen = &callers.requests;
        let refused = callers.refused.iter();
        Self {
            sent: seen.sent,
            answered: seen.answered,
            refused_not_run: seen.refused_not_run,
            refused_but_run: count(refused.filter(|id| runs.runs(**id) > 0)),
            outcome_unknown: seen.outcome_unknown,
            no_answer: seen.no_answer,
            unknown_run: count(callers.unknown.iter().filter(|id| runs.runs(**id) > 0)),
            failed: seen.failed,
            run_twice: u64::try_from(runs.run_twice()).unwrap_or(u64::MAX),
            wrong_answer: seen.wrong_answer,
            wrong_service: seen.wrong_service + sum(upstreams, |s| s.wrong_service_requests),
            repeats: seen.repeats,
            late: seen.late,
        }
    }
}

impl Flows {
    /// Combines the measurements of callers and upstreams.
    #[must_use]
    pub fn new(callers: &caller::Report, upstreams: &BTreeMap<Name, Stats>) -> Self {
        let seen = &callers.flows;
        Self {
            opened: seen.opened,
            kept: seen.kept,
            broken: seen.broken,
            given_up: seen.given_up,
            not_opened: seen.not_opened,
            wrong_service: seen.wrong_service + sum(upstreams, |s| s.wrong_service_flows),
            repeats: seen.repeats,
            uploads_finished: seen.uploads_finished,
        }
    }
}

/// Returns the maximum of `value` divided by the mean, by service, over the upstreams for which
/// `counts` returns true.
#[must_use]
pub fn imbalance(
    upstreams: &BTreeMap<Name, Stats>,
    counts: impl Fn(&Name, &Stats) -> bool,
    value: impl Fn(&Stats) -> u64,
) -> BTreeMap<String, f64> {
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (name, stats) in upstreams.iter().filter(|(n, s)| counts(n, s)) {
        let value = u32::try_from(value(stats)).unwrap_or(u32::MAX);
        let all = values.entry(stats.service.clone()).or_default();
        all.push(f64::from(value));
        log::debug!(target: "report", "imbalance: upstream {name} counts {value}.");
    }
    let over_mean = |all: &Vec<f64>| {
        let sum: f64 = all.iter().sum();
        let len = u32::try_from(all.len()).unwrap_or(u32::MAX);
        let max = all.iter().copied().fold(0.0, f64::max);
        (sum > 0.0).then(|| max * f64::from(len) / sum)
    };
    let found = values
        .iter()
        .filter_map(|(service, all)| Some((service.clone(), over_mean(all)?)));
    found.collect()
}

/// Returns the sum of `value` over all upstreams.
fn sum(upstreams: &BTreeMap<Name, Stats>, value: impl Fn(&Stats) -> u64) -> u64 {
    upstreams.values().map(value).sum()
}

fn count<T>(items: impl Iterator<Item = T>) -> u64 {
    u64::try_from(items.count()).unwrap_or(u64::MAX)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (r, w) = (&self.requests, &self.flows);
        writeln!(
            f,
            "requests   sent {} answered {} refused (not run) {} outcome unknown {} no answer {} \
             failed {}",
            r.sent, r.answered, r.refused_not_run, r.outcome_unknown, r.no_answer, r.failed
        )?;
        writeln!(
            f,
            "           run twice {} refused but run {} unknown and run {} wrong answer {} wrong \
             service {}",
            r.run_twice, r.refused_but_run, r.unknown_run, r.wrong_answer, r.wrong_service
        )?;
        writeln!(
            f,
            "flows      opened {} kept {} broken {} given up {} not opened {} wrong service {}",
            w.opened, w.kept, w.broken, w.given_up, w.not_opened, w.wrong_service
        )?;
        writeln!(f, "uploads    finished whole {}", w.uploads_finished)?;
        for (service, value) in &self.imbalance {
            writeln!(f, "imbalance  {service}: flows {value:.2} of the mean")?;
        }
        for (service, value) in &self.imbalance_requests {
            writeln!(f, "imbalance  {service}: requests {value:.2} of the mean")?;
        }
        let rows = [
            ("requests", self.latency_ms),
            ("feeds", self.feed_latency_ms),
            ("opening a flow", self.open_latency_ms),
        ];
        for (name, l) in rows {
            writeln!(
                f,
                "latency    {name}: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
                l.p50, l.p99, l.max
            )?;
        }
        for change in &self.changes {
            write!(f, "change     {change}")?;
        }
        match self.control.bytes_per_second_per_vm {
            Some(bytes) => writeln!(f, "control    {bytes:.0} bytes/s a VM")?,
            None => writeln!(f, "control    not measured")?,
        }
        for (purpose, bytes) in &self.control.by_purpose {
            writeln!(f, "           {purpose}: {bytes:.0} bytes/s a VM")?;
        }
        for (process, exit) in self.exits.iter().filter(|(_, exit)| *exit != "Graceful") {
            writeln!(f, "exit       {process}: {exit}")?;
        }
        match self.broken_properties.as_slice() {
            [] => writeln!(f, "properties all kept"),
            broken => broken
                .iter()
                .try_for_each(|p| writeln!(f, "BROKEN     {p}")),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, at, accepted) = (&self.kind, self.at_ms, self.accepted_ms);
        write!(f, "{kind} at {at} ms: done after {accepted} ms")?;
        if let Some(in_force) = self.in_force_ms {
            write!(f, ", in force after {in_force} ms")?;
        }
        match &self.error {
            Some(error) => writeln!(f, "; FAILED: {error}"),
            None => writeln!(f),
        }
    }
}
