//! Result of an experiment, as JSON. Counts come from what upstreams and callers saw.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use model::name::Name;
use serde::{Deserialize, Serialize};

use super::Experiment;
use crate::{
    caller::{self, Latency, Second},
    run_log::RunLog,
    upstream::Stats,
};

/// Purposes of messages between entry VMs that grow with the traffic: not control.
const DATA_PURPOSES: [&str; 2] = ["packets", "requests"];

/// Result of an experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// What was run.
    pub experiment: Experiment,
    /// Requests.
    pub requests: Requests,
    /// Flows.
    pub flows: Flows,
    /// By service: most flows that an upstream opened, over the mean. Upstreams that were not
    /// admitted all the time, or whose failure domain was out, don't count.
    pub imbalance: BTreeMap<String, f64>,
    /// The same for requests run.
    pub imbalance_requests: BTreeMap<String, f64>,
    /// From the moment at which a request was due to its final answer.
    pub latency_ms: Latency,
    /// From the moment at which a poll of a feed was due to its answer.
    pub feed_latency_ms: Latency,
    /// From the first opening packet of a flow to its answer.
    #[serde(default)]
    pub open_latency_ms: Latency,
    /// Planned changes and faults.
    pub changes: Vec<Change>,
    /// What control costs.
    pub control: Control,
    /// Counts by second since the traffic started.
    pub seconds: BTreeMap<u64, Second>,
    /// What each upstream saw.
    pub upstreams: BTreeMap<Name, Stats>,
    /// How each process of the system ended.
    pub exits: BTreeMap<String, String>,
    /// Properties that were broken.
    pub broken_properties: Vec<String>,
}

/// Requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// Sent, without repeats.
    pub sent: u64,
    /// Answered with the result.
    pub answered: u64,
    /// Refused as not run.
    pub refused_not_run: u64,
    /// Refused as not run, but run.
    pub refused_but_run: u64,
    /// Answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Without any answer.
    pub no_answer: u64,
    /// Of those with an unknown outcome or without an answer: run at an upstream.
    pub unknown_run: u64,
    /// Answered with another code.
    pub failed: u64,
    /// Non-idempotent ones that ran more than once.
    pub run_twice: u64,
    /// Answers to other requests than the caller's own.
    pub wrong_answer: u64,
    /// Answered or run by another service.
    pub wrong_service: u64,
    /// Datagrams sent again.
    pub repeats: u64,
    /// Answers that came again, or after the caller had given up.
    pub late: u64,
}

/// Flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flows {
    /// Opened.
    pub opened: u64,
    /// Ended by their callers, whole.
    pub kept: u64,
    /// Broken.
    pub broken: u64,
    /// Ended with a failure domain that operators took out.
    pub given_up: u64,
    /// Tried, but never opened.
    pub not_opened: u64,
    /// Answered or held by another service.
    pub wrong_service: u64,
    /// Packets sent again.
    pub repeats: u64,
    /// Uploads that were complete and right at the upstream.
    pub uploads_finished: u64,
}

/// A planned change or fault that was carried out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Word for it.
    pub kind: String,
    /// Time since the traffic started, in milliseconds.
    pub at_ms: u64,
    /// Time until it was accepted, or carried out, in milliseconds.
    pub accepted_ms: u64,
    /// Time until it was in force at every live entry VM, in milliseconds; none for faults.
    pub in_force_ms: Option<u64>,
    /// What went wrong, where something did.
    pub error: Option<String>,
}

/// What control costs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Control {
    /// Mean over entry VMs of the bytes a second that they sent each other for control, by their
    /// own metrics: all but the packets of flows and the messages of single requests. None where
    /// no VM gave a figure.
    pub bytes_per_second_per_vm: Option<f64>,
    /// The same by what the bytes are spent on, packets and requests included.
    pub by_purpose: BTreeMap<String, f64>,
}

impl Control {
    /// Makes the means out of the sums by purpose.
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
    /// Joins what callers and upstreams saw.
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
    /// Joins what callers and upstreams saw.
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

/// By service: the largest of `value` over the mean, for the upstreams that `counts` takes in.
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
        log::debug!(target: "report", "{name} has {value}.");
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

/// Sum of `value` over all upstreams.
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
