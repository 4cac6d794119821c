//! What several VMs logged of one flow, in order.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use clap::ArgMatches;

use crate::exit::{Code, Failure};

/// Length of the time at the start of a line.
const TIME: usize = "2026-12-04T05:00:00.000Z".len();

/// A line with the name of the log that it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written.
    pub time: String,
    /// Name of the log.
    pub log: String,
    /// The line behind its time.
    pub text: String,
}

impl Line {
    /// Reads a line; none where it doesn't begin with a time.
    #[must_use]
    pub fn parse(log: &str, line: &str) -> Option<Self> {
        let (time, text) = (line.get(..TIME)?, line.get(TIME..)?);
        let is_time = time.ends_with('Z') && time.as_bytes().get(10) == Some(&b'T');
        is_time.then(|| Self {
            time: time.to_owned(),
            log: log.to_owned(),
            text: text.trim().to_owned(),
        })
    }

    /// The value of `key`, if the line has it.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let mut words = self.text.split_whitespace();
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    fn event(&self) -> &str {
        self.value("event").unwrap_or_default()
    }
}

/// The lines that explain `flow`, in order: those of the flow itself, those of its upstreams, and
/// those that change what a VM that saw the flow believes.
#[must_use]
pub fn explain(flow: &str, lines: impl IntoIterator<Item = Line>) -> Vec<Line> {
    let mut lines: Vec<Line> = lines.into_iter().collect();
    // Lines of one log keep its order where they are of the same millisecond.
    lines.sort_by(|a, b| (&a.time, &a.log).cmp(&(&b.time, &b.log)));
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.value("flow") == Some(flow))
        .collect();
    let upstreams: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.value("upstream"))
        .filter(|id| *id != "0")
        .collect();
    let logs: BTreeSet<&str> = own.iter().map(|line| line.log.as_str()).collect();
    let concerns_upstream = |line: &Line| {
        let named = line.value("id").or_else(|| line.value("upstream"));
        let events = [
            "upstream",
            "upstream-silent",
            "probe",
            "doubted",
            "found-down",
        ];
        let is_own_event = events.contains(&line.event());
        is_own_event && named.is_some_and(|id| upstreams.contains(id))
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
        ];
        logs.contains(line.log.as_str()) && events.contains(&line.event())
    };
    let matters = |line: &&Line| {
        line.value("flow") == Some(flow) || concerns_upstream(line) || concerns_vm(line)
    };
    lines.iter().filter(matters).cloned().collect()
}

/// Prints what the files say of a flow.
///
/// # Errors
///
/// Names the file that can't be read, or says that none mentions the flow.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let flow: Option<&String> = matches.get_one("flow");
    let flow = flow.cloned().unwrap_or_default();
    let files = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    let found = explain(&flow, lines);
    if !found.iter().any(|line| line.value("flow") == Some(&flow)) {
        return Err(Failure::new(
            Code::Refused,
            format!(
                "no line of these logs names flow {flow}: write CLIENT:PORT>ADDRESS:PORT, and give \
                 the logs of all entry VMs; lines that were left out are counted in event=left-out"
            ),
        ));
    }
    for line in found {
        println!("{} {} {}", line.time, line.log, line.text);
    }
    Ok(())
}

fn read(file: &Path) -> Result<Vec<Line>, Failure> {
    let text = fs::read_to_string(file).map_err(|e| {
        let message = format!("{} can't be read: {e}", file.display());
        Failure::new(Code::Usage, message)
    })?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let lines = text.lines();
    Ok(lines.filter_map(|line| Line::parse(&name, line)).collect())
}
