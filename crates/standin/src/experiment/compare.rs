//! Compares the figures of two results.

use std::{collections::BTreeMap, fmt};

use super::report::Report;

/// Two results side by side.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    rows: Vec<Row>,
}

/// One figure of both results.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the figure.
    pub name: String,
    /// Value in the first result, if present.
    pub before: Option<f64>,
    /// Value in the second result, if present.
    pub after: Option<f64>,
}

impl Row {
    /// Returns the growth from the first to the second value in percent; `None` when a value is missing
    /// or the first value is 0.
    #[must_use]
    pub fn percent(&self) -> Option<f64> {
        let before = self.before.filter(|before| *before != 0.0)?;
        Some((self.after? - before) / before * 100.0)
    }
}

impl Comparison {
    /// Compares two results.
    #[must_use]
    pub fn new(before: &Report, after: &Report) -> Self {
        let (before, after) = (figures(before), figures(after));
        let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
        names.sort();
        names.dedup();
        let rows = names
            .into_iter()
            .map(|name| Row {
                name: name.clone(),
                before: before.get(name).copied(),
                after: after.get(name).copied(),
            })
            .collect();
        Self { rows }
    }

    /// Returns the figures, sorted by name.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}

/// Returns the figures of a result that are compared, by name.
fn figures(report: &Report) -> BTreeMap<String, f64> {
    let (requests, flows) = (&report.requests, &report.flows);
    let counts = [
        ("requests.sent", requests.sent),
        ("requests.answered", requests.answered),
        ("requests.refused_not_run", requests.refused_not_run),
        ("requests.outcome_unknown", requests.outcome_unknown),
        ("requests.no_answer", requests.no_answer),
        ("requests.run_twice", requests.run_twice),
        ("requests.wrong_answer", requests.wrong_answer),
        ("flows.opened", flows.opened),
        ("flows.kept", flows.kept),
        ("flows.broken", flows.broken),
        ("flows.given_up", flows.given_up),
        ("flows.not_opened", flows.not_opened),
    ];
    let float = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let mut all: BTreeMap<String, f64> = counts
        .into_iter()
        .map(|(name, count)| (name.to_owned(), float(count)))
        .collect();
    for (service, value) in &report.imbalance {
        all.insert(format!("imbalance.{service}"), *value);
    }
    for (service, value) in &report.imbalance_requests {
        all.insert(format!("imbalance_requests.{service}"), *value);
    }
    let latencies = [
        ("latency_ms", report.latency_ms),
        ("feed_latency_ms", report.feed_latency_ms),
        ("open_latency_ms", report.open_latency_ms),
    ];
    for (name, latency) in latencies {
        all.insert(format!("{name}.p50"), latency.p50);
        all.insert(format!("{name}.p99"), latency.p99);
        all.insert(format!("{name}.max"), latency.max);
    }
    if let Some(bytes) = report.control.bytes_per_second_per_vm {
        all.insert("control.bytes_per_second_per_vm".to_owned(), bytes);
    }
    all
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<36} {:>12} {:>12} {:>9}",
            "figure", "first", "second", "change"
        )?;
        let shown = |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.2}"));
        for row in &self.rows {
            let (before, after) = (shown(row.before), shown(row.after));
            let percent = row
                .percent()
                .map_or("-".to_owned(), |p| format!("{p:+.1}%"));
            writeln!(f, "{:<36} {before:>12} {after:>12} {percent:>9}", row.name)?;
        }
        Ok(())
    }
}
