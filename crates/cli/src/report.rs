//! The operators' report: broken flows, imbalance across upstreams, and service while a failure
//! domain leaves and returns. Made from the result file of a run.

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

/// Seconds after a change that still count as its time.
const AFTERMATH_S: u64 = 5;

/// What the report takes from a result file. Keys that it doesn't know are passed over.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct Run {
    /// Counts of requests.
    pub requests: Requests,
    /// Counts of flows.
    pub flows: Flows,
    /// By service: the most loaded upstream's share over the mean.
    #[serde(default)]
    pub imbalance: BTreeMap<String, f64>,
    /// Planned changes.
    #[serde(default)]
    pub changes: Vec<Change>,
    /// Counts by second since the traffic started.
    #[serde(default)]
    pub seconds: BTreeMap<u64, Second>,
}

/// Counts of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Requests {
    /// Sent, without repeats.
    pub sent: u64,
    /// Answered with the result.
    pub answered: u64,
    /// Refused as not run.
    pub refused_not_run: u64,
    /// Answered with "outcome unknown".
    pub outcome_unknown: u64,
    /// Non-idempotent ones that ran more than once.
    pub run_twice: u64,
}

/// Counts of flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Flows {
    /// Opened.
    pub opened: u64,
    /// Ended by their callers, whole.
    pub kept: u64,
    /// Broken.
    pub broken: u64,
    /// Ended with a failure domain that operators took out.
    pub given_up: u64,
}

/// A planned change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// What was changed.
    pub kind: String,
    /// When, in milliseconds since the traffic started.
    #[serde(default)]
    pub at_ms: u64,
    /// Time until it was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Time until it was in force at every live entry VM, in milliseconds.
    #[serde(default)]
    pub in_force_ms: Option<u64>,
}

/// Counts within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Flows that broke.
    pub broken: u64,
    /// Flows that were given up.
    pub given_up: u64,
}

/// Service while something was changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Seconds that count, since the traffic started: first and last.
    pub from_s: u64,
    /// The last second.
    pub to_s: u64,
    /// Share of requests that were answered.
    pub answered_share: f64,
    /// The same in the worst second.
    pub worst_share: f64,
}

impl Run {
    /// Reads a result file.
    ///
    /// # Errors
    ///
    /// Says why the file is no result.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        let failed = |reason: String| {
            let message = format!(
                "{}: {reason}; give the JSON file of a run, as `cargo xtask demo --json FILE` \
                 writes it",
                path.display()
            );
            Failure::new(Code::Usage, message)
        };
        let text = fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
    }

    /// Service from the first move of a failure domain to some seconds after the last; `None`
    /// where no domain moved or no seconds were counted.
    #[must_use]
    pub fn domain_service(&self) -> Option<Service> {
        let moves = || self.changes.iter().filter(|c| c.kind.contains("domain"));
        let from_s = moves().map(|c| c.at_ms).min()? / 1_000;
        let end_ms = moves().map(|c| c.at_ms + c.in_force_ms.unwrap_or(c.accepted_ms));
        let to_s = end_ms.max()? / 1_000 + AFTERMATH_S;
        let seconds = || self.seconds.range(from_s..=to_s).map(|(_, second)| second);
        let sent = seconds().map(|s| s.sent).sum();
        let answered = seconds().map(|s| s.answered).sum();
        let shares = seconds()
            .filter(|s| s.sent > 0)
            .map(|s| share(s.answered, s.sent));
        (sent > 0).then(|| Service {
            from_s,
            to_s,
            answered_share: share(answered, sent),
            worst_share: shares.fold(1.0, f64::min),
        })
    }

    /// The report as JSON.
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

/// `part` of `whole`, at most 1: late answers may fall into a later second.
#[expect(
    clippy::cast_precision_loss,
    reason = "a share is shown with three digits"
)]
fn share(part: u64, whole: u64) -> f64 {
    (part as f64 / whole as f64).min(1.0)
}

impl fmt::Display for Run {
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
                "Imbalance  {service}: the most loaded upstream has {value:.2} of the mean"
            )?;
        }
        match self.domain_service() {
            Some(service) => writeln!(
                f,
                "Service    while failure domains moved (second {} to {}): {:.1}% answered, {:.1}% \
                 in the worst second",
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

/// Prints the report, and writes the plot where one is asked for.
///
/// # Errors
///
/// Says why the file is no result, or why the plot can't be written.
pub fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("result").cloned();
    let run = Run::load(&path.unwrap_or_default())?;
    match output {
        Output::Json => show::json(&run.to_json()),
        Output::Table => show::print(run.to_string()),
    }
    if let Some(svg) = matches.get_one::<PathBuf>("svg") {
        plot::draw(&run, svg).map_err(|reason| {
            let message = format!("{}: the plot can't be written: {reason}", svg.display());
            Failure::new(Code::Usage, message)
        })?;
    }
    Ok(())
}
