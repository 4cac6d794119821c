//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::{
    exit::{Code, Failure},
    show,
};

/// Environment variable with addresses of control VMs, separated by commas.
pub const CONTROL_VARIABLE: &str = "ORIOLECTL_CONTROL";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, or not found: nothing was changed
  2  the command line is wrong
  3  outcome unknown: resend with the same --request-id to learn it
  4  no control VM answered, or none knows a leader: nothing was changed
  5  accepted, but not in force everywhere within --timeout: it goes on";

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("oriolectl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows and changes a cluster of oriolenotch: its services, failure domains and upstreams")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(globals())
        .subcommand(Command::new("status").about("Show control VMs, entry VMs, failure domains and services"))
        .subcommand(service())
        .subcommand(domain())
        .subcommand(upstream())
        .subcommand(change())
        .subcommand(control())
        .subcommand(
            Command::new("dump")
                .about("Print the whole state of a VM's process as JSON")
                .arg(name("vm", "VM", "Name of an entry VM or a control VM")),
        )
        .subcommand(report())
        .subcommand(explain())
        .subcommand(
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell))),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print what the logs of several VMs say of one flow, in order")
        .arg(name("flow", "FLOW", "The flow as CLIENT:PORT>ADDRESS:PORT"))
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of entry VMs and control VMs"),
        )
}

fn globals() -> [Arg; 8] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDR")
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Ask the control VM at this IP address and port; repeat it to have others tried in turn [env: ORIOLECTL_CONTROL, separated by commas]"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Print tables for people, or JSON for scripts"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=86_400))
            .default_value("10")
            .help("Give up after this time, waiting included"),
        Arg::new("operator")
            .long("operator")
            .value_name("NAME")
            .help("Ask in this operator's name [default: $USER]"),
        Arg::new("request-id")
            .long("request-id")
            .value_name("ID")
            .help("Send the command under this id; a resend under the same id gets the first answer [default: drawn and printed]"),
        Arg::new("expect-version")
            .long("expect-version")
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help("Refuse the command unless the configuration is at this version"),
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Return only when the command is in force at every live entry VM"),
        Arg::new("allow-old")
            .long("allow-old")
            .action(ArgAction::SetTrue)
            .help("Take the answer of a control VM that may be out of date"),
    ]
    .map(|arg| arg.global(true))
}

fn service() -> Command {
    let milliseconds = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("MS")
            .value_parser(value_parser!(u32).range(1..))
            .help(help)
    };
    parent("service", "Put, remove and list services")
        .subcommand(
            Command::new("put")
                .about("Create a service, or change its address and times")
                .arg(name("service", "SERVICE", "Name of the service"))
                .arg(
                    Arg::new("address")
                        .value_name("ADDR")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("IP address and port that callers use"),
                )
                .arg(milliseconds(
                    "deadline-ms",
                    "Deadline of a request whose caller names none [default: 2000]",
                ))
                .arg(milliseconds(
                    "idle-ms",
                    "Time without a packet after which a flow counts as ended [default: 300000]",
                )),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a service that has no upstream")
                .arg(name("service", "SERVICE", "Name of the service")),
        )
        .subcommand(Command::new("list").about("List services"))
}

fn domain() -> Command {
    let one = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .arg(name("domain", "DOMAIN", "Name of the failure domain"))
    };
    parent("domain", "Put, take out, bring back and list failure domains")
        .subcommand(one("put", "Create a failure domain"))
        .subcommand(one("out", "Take a failure domain out: its upstreams get no more packets, and the flows that end there are given up"))
        .subcommand(one("in", "Bring a failure domain back"))
        .subcommand(Command::new("list").about("List failure domains"))
}

fn upstream() -> Command {
    let one = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .arg(name("service", "SERVICE", "Name of the service"))
            .arg(name("upstream", "UPSTREAM", "Name of the upstream"))
    };
    parent("upstream", "Admit, drain and list upstreams")
        .subcommand(one(
            "admit",
            "Let an announced upstream take work, or a draining one again",
        ))
        .subcommand(one(
            "drain",
            "Give an upstream no new work; its flows go on",
        ))
        .subcommand(Command::new("list").about("List admitted upstreams, and announced ones"))
}

fn change() -> Command {
    let number = || {
        Arg::new("number")
            .value_name("NUMBER")
            .required(true)
            .value_parser(value_parser!(u64))
            .help("Number of the planned change, as `change list` shows it")
    };
    parent("change", "List, show and await planned changes")
        .subcommand(Command::new("list").about("List planned changes, oldest first"))
        .subcommand(
            Command::new("show")
                .about("Show one, and the VMs that have still to apply it")
                .arg(number()),
        )
        .subcommand(
            Command::new("wait")
                .about("Return when one is in force at every live entry VM")
                .arg(number()),
        )
}

fn control() -> Command {
    parent("control", "Replace control VMs").subcommand(
        Command::new("replace")
            .about("Replace a control VM by one that runs already, with an empty disk")
            .arg(name("old", "OLD", "Name of the control VM that goes"))
            .arg(name(
                "new",
                "NEW",
                "Name of the control VM that comes; the same where only the disk was lost",
            )),
    )
}

fn report() -> Command {
    Command::new("report")
        .about("Report broken, kept and given-up flows, imbalance across upstreams, and service while a failure domain moves")
        .arg(
            Arg::new("result")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Result file of a run, as `cargo xtask demo --json` writes it"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write a plot to this file"),
        )
}

fn parent(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn name(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true).help(help)
}

/// Addresses of control VMs, from the arguments or else from the environment.
///
/// # Errors
///
/// Fails when there is none, or one in the environment is malformed.
pub fn controls(matches: &ArgMatches) -> Result<Vec<SocketAddr>, Failure> {
    if let Some(given) = matches.get_many::<SocketAddr>("control") {
        return Ok(given.copied().collect());
    }
    let usage = |message: String| Failure::new(Code::Usage, message);
    let Ok(text) = std::env::var(CONTROL_VARIABLE) else {
        let message =
            format!("no control VM is named: give --control ADDR or set {CONTROL_VARIABLE}");
        return Err(usage(message));
    };
    let parse = |part: &str| {
        let part = part.trim();
        part.parse().map_err(|_| {
            usage(format!(
                "{CONTROL_VARIABLE} holds {part:?}, which is no address: write IP address and port"
            ))
        })
    };
    text.split(',').map(parse).collect()
}

/// How results are printed.
#[must_use]
pub fn output(matches: &ArgMatches) -> Output {
    match text(matches, "output") {
        "json" => Output::Json,
        _ => Output::Table,
    }
}

/// Time that everything may take.
#[must_use]
pub fn timeout(matches: &ArgMatches) -> Duration {
    let seconds = matches.get_one("timeout").copied();
    Duration::from_secs(seconds.unwrap_or(10))
}

/// The text of an argument; empty where it isn't given.
#[must_use]
pub fn text<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).map_or("", String::as_str)
}

/// Prints completions for a shell.
pub fn completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut script = Vec::new();
        clap_complete::generate(*shell, &mut command(), "oriolectl", &mut script);
        show::print(script);
    }
}
