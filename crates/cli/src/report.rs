//! Report on the result file of a run: broken flows, imbalance across upstreams, and service while a
//! failure domain is taken out and brought back.

use std::{
    collections::BTreeMap,
    fmt, fs,
    path::{Path, PathBuf},
};

use clap::ArgMatches;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    args::Output,
    exit::{Code, Failure},
    show,
};

mod plot;

/// Time after a change during which requests still count as affected by the change, in seconds.
const SETTLE_TIME_S: u64 = 5;

/// Contents of a result file. Unknown keys are ignored.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct RunResult {
    /// Request counts of the whole run.
    pub requests: Requests,
    /// Flow counts of the whole run.
    pub flows: Flows,
    /// Load of the most loaded upstream divided by the mean load, by service.
    #[serde(default)]
    pub imbalance: BTreeMap<String, f64>,
    /// Planned changes made during the run.
    #[serde(default)]
    pub changes: Vec<Change>,
    /// Counts of each second, by seconds since the traffic started.
    #[serde(default)]
    pub seconds: BTreeMap<u64, Second>,
}

/// Request counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Requests {
    /// Requests sent, without retransmissions.
    pub sent: u64,
    /// Requests answered with a result.
    pub answered: u64,
    /// Requests refused with the assurance that they were not run.
    pub refused_not_run: u64,
    /// Requests answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
}

/// Flow counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Flows {
    /// Flows opened.
    pub opened: u64,
    /// Flows that stayed intact until their callers closed them.
    pub kept: u64,
    /// Flows that broke.
    pub broken: u64,
    /// Flows that ended because operators took a failure domain out.
    pub given_up: u64,
}

/// A planned change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Kind of change.
    pub kind: String,
    /// Start of the change, in milliseconds since the traffic started.
    #[serde(default)]
    pub at_ms: u64,
    /// Time from the start until the change was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Time from the start until the change was in force at every live entry VM, in milliseconds.
    #[serde(default)]
    pub in_force_ms: Option<u64>,
}

/// Counts within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Second {
    /// Requests sent in this second.
    pub sent: u64,
    /// Requests answered in this second.
    pub answered: u64,
    /// Requests refused in this second.
    pub refused: u64,
    /// Flows that broke in this second.
    pub broken: u64,
    /// Flows given up in this second.
    pub given_up: u64,
}

/// Share of requests that were answered while failure domains changed.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLevel {
    /// First second of the period, since the traffic started.
    pub from_s: u64,
    /// Last second of the period, since the traffic started.
    pub to_s: u64,
    /// Share of requests that were answered in the period.
    pub answered_share: f64,
    /// Share of requests that were answered in the worst second.
    pub worst_share: f64,
}

impl RunResult {
    /// Reads a result file.
    ///
    /// # Errors
    ///
    /// Returns a failure if the file can't be read or isn't a result file.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        let usage_failure = |reason: String| {
            let message = format!(
                "cannot load result file {}: {reason}; pass a JSON file written by `cargo xtask demo \
                 --json FILE`",
                path.display()
            );
            Failure::new(Code::Usage, message)
        };
        let text = fs::read_to_string(path).map_err(|e| usage_failure(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| usage_failure(e.to_string()))
    }

    /// Returns the service level from the first change of a failure domain to `SETTLE_TIME_S` after
    /// the last, or `None` if no failure domain changed or no request was sent in that period.
    #[must_use]
    pub fn domain_service(&self) -> Option<ServiceLevel> {
        let domain_changes = || self.changes.iter().filter(|c| c.kind.contains("domain"));
        let from_s = domain_changes().map(|c| c.at_ms).min()? / 1_000;
        let end_ms = domain_changes().map(|c| c.at_ms + c.in_force_ms.unwrap_or(c.accepted_ms));
        let to_s = end_ms.max()? / 1_000 + SETTLE_TIME_S;
        let seconds = || self.seconds.range(from_s..=to_s).map(|(_, second)| second);
        let sent = seconds().map(|s| s.sent).sum();
        let answered = seconds().map(|s| s.answered).sum();
        let shares = seconds()
            .filter(|s| s.sent > 0)
            .map(|s| share(s.answered, s.sent));
        (sent > 0).then(|| ServiceLevel {
            from_s,
            to_s,
            answered_share: share(answered, sent),
            worst_share: shares.fold(1.0, f64::min),
        })
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let service = self.domain_service().map(|service| {
            json!({
                "from_s": service.from_s,
                "to_s": service.to_s,
                "answered_share": service.answered_share,
                "worst_second_share": service.worst_share,
            })
        });
        json!({
            "flows": {
                "opened": self.flows.opened,
                "kept": self.flows.kept,
                "broken": self.flows.broken,
                "given_up": self.flows.given_up,
            },
            "imbalance": self.imbalance,
            "domain_service": service,
            "requests": {
                "sent": self.requests.sent,
                "answered": self.requests.answered,
                "refused_not_run": self.requests.refused_not_run,
                "outcome_unknown": self.requests.outcome_unknown,
                "run_twice": self.requests.run_twice,
            },
        })
    }
}

/// Returns `part` divided by `total`, at most 1: the answer to a request may be counted in a later
/// second than the request.
#[expect(
    clippy::cast_precision_loss,
    reason = "a share is shown with three digits"
)]
fn share(part: u64, total: u64) -> f64 {
    (part as f64 / total as f64).min(1.0)
}

impl fmt::Display for RunResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flows = &self.flows;
        writeln!(
            f,
            "Flows      opened {}, kept {}, broken {}, given up {}",
            flows.opened, flows.kept, flows.broken, flows.given_up
        )?;
        for (service, value) in &self.imbalance {
            writeln!(
                f,
                "Imbalance  {service}: the most loaded upstream has {value:.2} times the mean load"
            )?;
        }
        match self.domain_service() {
            Some(service) => writeln!(
                f,
                "Service    while failure domains moved (second {} to {}): {:.1}% of requests answered, \
                 {:.1}% in the worst second",
                service.from_s,
                service.to_s,
                service.answered_share * 100.0,
                service.worst_share * 100.0
            )?,
            None => writeln!(f, "Service    no failure domain moved")?,
        }
        let requests = &self.requests;
        writeln!(
            f,
            "Requests   sent {}, answered {}, refused as not run {}, outcome unknown {}, run twice {}",
            requests.sent,
            requests.answered,
            requests.refused_not_run,
            requests.outcome_unknown,
            requests.run_twice
        )
    }
}

/// Prints the report, and writes the plot if the arguments name an SVG file.
///
/// # Errors
///
/// Returns a failure if the result file can't be loaded or the plot can't be written.
pub fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("result").cloned();
    let run = RunResult::load(&path.unwrap_or_default())?;
    match output {
        Output::Json => show::print_json(&run.to_json()),
        Output::Table => show::print(run.to_string()),
    }
    if let Some(svg) = matches.get_one::<PathBuf>("svg") {
        plot::draw(&run, svg).map_err(|reason| {
            let message = format!("cannot write plot {}: {reason}", svg.display());
            Failure::new(Code::Usage, message)
        })?;
    }
    Ok(())
}
