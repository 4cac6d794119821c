//! Selects the log lines of several VMs that explain one flow, in order of time.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use clap::ArgMatches;

use crate::exit::{Code, Failure};

/// Length of the timestamp at the start of a log line, in bytes.
const TIMESTAMP_LENGTH: usize = "2026-12-04T05:00:00.000Z".len();

/// A log line and the name of its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Timestamp of the line.
    pub time: String,
    /// Name of the log: the file name without its extension.
    pub log: String,
    /// Text of the line after the timestamp.
    pub text: String,
}

impl Line {
    /// Parses a log line. Returns `None` if the line doesn't begin with a timestamp.
    #[must_use]
    pub fn parse(log: &str, line: &str) -> Option<Self> {
        let (time, text) = (line.get(..TIMESTAMP_LENGTH)?, line.get(TIMESTAMP_LENGTH..)?);
        let is_timestamp = time.ends_with('Z') && time.as_bytes().get(10) == Some(&b'T');
        is_timestamp.then(|| Self {
            time: time.to_owned(),
            log: log.to_owned(),
            text: text.trim().to_owned(),
        })
    }

    /// Returns the value of `key`, if the line has that key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let mut fields = self.text.split_whitespace();
        fields.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    fn event(&self) -> &str {
        self.value("event").unwrap_or_default()
    }
}

/// Returns the log lines that explain `flow`, in order of time: lines about the flow, lines about the
/// upstreams of the flow, and lines about the configuration, membership or admission of a VM that
/// logged the flow.
#[must_use]
pub fn explain(flow: &str, lines: impl IntoIterator<Item = Line>) -> Vec<Line> {
    let mut lines: Vec<Line> = lines.into_iter().collect();
    // The sort is stable: lines of one log with the same millisecond keep their order.
    lines.sort_by(|a, b| (&a.time, &a.log).cmp(&(&b.time, &b.log)));
    let flow_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| line.value("flow") == Some(flow))
        .collect();
    let upstreams: BTreeSet<&str> = flow_lines
        .iter()
        .filter_map(|line| line.value("upstream"))
        .filter(|id| *id != "0")
        .collect();
    let logs_with_flow: BTreeSet<&str> = flow_lines.iter().map(|line| line.log.as_str()).collect();
    let concerns_upstream = |line: &Line| {
        let upstream_id = line.value("id").or_else(|| line.value("upstream"));
        let events = [
            "upstream",
            "upstream-silent",
            "probe",
            "doubted",
            "found-down",
        ];
        let is_upstream_event = events.contains(&line.event());
        is_upstream_event && upstream_id.is_some_and(|id| upstreams.contains(id))
    };
    let concerns_vm = |line: &Line| {
        let events = [
            "start",
            "stop",
            "plan",
            "domains",
            "control-lost",
            "control-gained",
            "recalled",
            "room",
        ];
        logs_with_flow.contains(line.log.as_str()) && events.contains(&line.event())
    };
    let is_relevant = |line: &&Line| {
        line.value("flow") == Some(flow) || concerns_upstream(line) || concerns_vm(line)
    };
    lines.iter().filter(is_relevant).cloned().collect()
}

/// Prints the lines of the log files that explain a flow.
///
/// # Errors
///
/// Returns a failure if a file can't be read or no line names the flow.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let flow: Option<&String> = matches.get_one("flow");
    let flow = flow.cloned().unwrap_or_default();
    let files = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    let relevant = explain(&flow, lines);
    if !relevant
        .iter()
        .any(|line| line.value("flow") == Some(&flow))
    {
        return Err(Failure::new(
            Code::Refused,
            format!(
                "no log line names flow {flow}: write the flow as CLIENT:PORT>ADDRESS:PORT and pass the \
                 logs of all entry VMs; lines dropped by rate limits are counted in event=left-out"
            ),
        ));
    }
    for line in relevant {
        println!("{} {} {}", line.time, line.log, line.text);
    }
    Ok(())
}

fn read_log(file: &Path) -> Result<Vec<Line>, Failure> {
    let text = fs::read_to_string(file).map_err(|e| {
        let message = format!("cannot read log {}: {e}", file.display());
        Failure::new(Code::Usage, message)
    })?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let lines = text.lines();
    Ok(lines.filter_map(|line| Line::parse(&name, line)).collect())
}
