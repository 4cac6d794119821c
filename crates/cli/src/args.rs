//! Defines the command line of `oriolectl` and reads its arguments.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::{
    exit::{Code, Failure},
    show,
};

/// Environment variable that holds the addresses of control VMs, separated by commas.
pub const CONTROL_VARIABLE: &str = "ORIOLECTL_CONTROL";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  command refused or object not found; nothing was changed
  2  invalid command line
  3  outcome unknown; resend with the same --request-id to learn the outcome
  4  no control VM answered, or no control VM knows a leader; nothing was changed
  5  change accepted but not in force at every live entry VM within --timeout; the rollout continues";

/// Format in which results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Output {
    /// Tables for human readers.
    Table,
    /// JSON for scripts.
    Json,
}

/// Returns the definition of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("oriolectl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows and changes the services, failure domains and upstreams of an oriolenotch cluster")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(Command::new("status").about("Show control VMs, entry VMs, failure domains and services"))
        .subcommand(service_command())
        .subcommand(domain_command())
        .subcommand(upstream_command())
        .subcommand(change_command())
        .subcommand(control_command())
        .subcommand(
            Command::new("dump")
                .about("Print the state of a VM's daemon as JSON")
                .arg(required_arg("vm", "VM", "Name of an entry VM or a control VM")),
        )
        .subcommand(report_command())
        .subcommand(explain_command())
        .subcommand(place_command())
        .subcommand(
            Command::new("completions")
                .about("Print the completion script of a shell")
                .arg(Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell))),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Print the log lines of several VMs that concern one flow, in order of time")
        .arg(required_arg(
            "flow",
            "FLOW",
            "Flow, written as CLIENT:PORT>ADDRESS:PORT",
        ))
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of entry VMs and control VMs"),
        )
}

fn place_command() -> Command {
    Command::new("place")
        .about("Show where an entry VM in gateway mode would place a new flow, and why; no flow is opened and nothing is changed")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddrV4))
                .help("IP address and port of the route"),
        )
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("CLIENT_IP")
                .value_parser(value_parser!(Ipv4Addr))
                .help("IP address of the client, to include the decision of admission on it"),
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("HTTP_ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port at which the entry VM serves health and metrics"),
        )
}

fn global_args() -> [Arg; 8] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDR")
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("IP address and port of a control VM; repeat the flag to try several in turn [env: ORIOLECTL_CONTROL, separated by commas]"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Output format: tables for human readers or JSON for scripts"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=86_400))
            .default_value("10")
            .help("Time limit of the command, including the time spent in --wait"),
        Arg::new("operator")
            .long("operator")
            .value_name("NAME")
            .help("Name of the operator who sends the command [default: $USER]"),
        Arg::new("request-id")
            .long("request-id")
            .value_name("ID")
            .help("Id of the command; a resend with the same id returns the first answer [default: random, printed to stderr]"),
        Arg::new("expect-version")
            .long("expect-version")
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help("Refuse the command unless the configuration has this version"),
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the command is in force at every live entry VM"),
        Arg::new("allow-old")
            .long("allow-old")
            .action(ArgAction::SetTrue)
            .help("Accept an answer that may be out of date"),
    ]
    .map(|arg| arg.global(true))
}

fn service_command() -> Command {
    let milliseconds_arg = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("MS")
            .value_parser(value_parser!(u32).range(1..))
            .help(help)
    };
    command_group("service", "Create, change, remove and list services")
        .subcommand(
            Command::new("put")
                .about("Create a service, or change its address, deadline and idle time")
                .arg(required_arg("service", "SERVICE", "Name of the service"))
                .arg(
                    Arg::new("address")
                        .value_name("ADDR")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("IP address and port at which callers reach the service"),
                )
                .arg(milliseconds_arg(
                    "deadline-ms",
                    "Deadline of requests whose caller sets none [default: 2000]",
                ))
                .arg(milliseconds_arg(
                    "idle-ms",
                    "Time without packets after which a flow ends [default: 300000]",
                )),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a service that has no upstreams")
                .arg(required_arg("service", "SERVICE", "Name of the service")),
        )
        .subcommand(Command::new("list").about("List services"))
}

fn domain_command() -> Command {
    let verb_command = |verb: &'static str, about: &'static str| {
        Command::new(verb).about(about).arg(required_arg(
            "domain",
            "DOMAIN",
            "Name of the failure domain",
        ))
    };
    command_group("domain", "Create, take out, bring back and list failure domains")
        .subcommand(verb_command("put", "Create a failure domain"))
        .subcommand(verb_command("out", "Take a failure domain out of service: its upstreams get no more packets, and flows to them are dropped"))
        .subcommand(verb_command("in", "Bring a failure domain back into service"))
        .subcommand(Command::new("list").about("List failure domains"))
}

fn upstream_command() -> Command {
    let verb_command = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .arg(required_arg("service", "SERVICE", "Name of the service"))
            .arg(required_arg("upstream", "UPSTREAM", "Name of the upstream"))
    };
    command_group("upstream", "Admit, drain and list upstreams")
        .subcommand(verb_command(
            "admit",
            "Let an announced or draining upstream accept new work",
        ))
        .subcommand(verb_command(
            "drain",
            "Send no new work to an upstream; its open flows continue",
        ))
        .subcommand(Command::new("list").about("List admitted and announced upstreams"))
}

fn change_command() -> Command {
    let number_arg = || {
        Arg::new("number")
            .value_name("NUMBER")
            .required(true)
            .value_parser(value_parser!(u64))
            .help("Number of the planned change, as shown by `change list`")
    };
    command_group("change", "List, show and wait for planned changes")
        .subcommand(Command::new("list").about("List planned changes, oldest first"))
        .subcommand(
            Command::new("show")
                .about("Show a planned change and the VMs that have not applied it yet")
                .arg(number_arg()),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until a planned change is in force at every live entry VM")
                .arg(number_arg()),
        )
}

fn control_command() -> Command {
    command_group("control", "Replace control VMs").subcommand(
        Command::new("replace")
            .about("Replace a control VM with a running control VM that has an empty disk")
            .arg(required_arg(
                "old",
                "OLD",
                "Name of the control VM to remove",
            ))
            .arg(required_arg(
                "new",
                "NEW",
                "Name of the control VM to add; the same name as OLD if only the disk was lost",
            )),
    )
}

fn report_command() -> Command {
    Command::new("report")
        .about("Report broken, kept and given-up flows, imbalance across upstreams, and service while a failure domain is taken out or brought back")
        .arg(
            Arg::new("result")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Result file written by `cargo xtask demo --json`"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write a plot of the run to this SVG file"),
        )
}

fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn required_arg(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true).help(help)
}

/// Returns the addresses of control VMs, from the arguments or else from the environment.
///
/// # Errors
///
/// Returns a usage failure if no address is given, or if the environment variable holds a
/// malformed address.
pub fn control_addresses(matches: &ArgMatches) -> Result<Vec<SocketAddr>, Failure> {
    if let Some(addresses) = matches.get_many::<SocketAddr>("control") {
        return Ok(addresses.copied().collect());
    }
    let usage_failure = |message: String| Failure::new(Code::Usage, message);
    let Ok(text) = std::env::var(CONTROL_VARIABLE) else {
        let message =
            format!("no control VM address given: pass --control ADDR or set {CONTROL_VARIABLE}");
        return Err(usage_failure(message));
    };
    let parse_address = |part: &str| {
        let part = part.trim();
        part.parse().map_err(|_| {
            usage_failure(format!(
                "{CONTROL_VARIABLE} holds {part:?}, which is not an IP address with a port"
            ))
        })
    };
    text.split(',').map(parse_address).collect()
}

/// Returns the format in which results are printed.
#[must_use]
pub fn output_format(matches: &ArgMatches) -> Output {
    match string_arg(matches, "output") {
        "json" => Output::Json,
        _ => Output::Table,
    }
}

/// Returns the time limit of the whole command.
#[must_use]
pub fn timeout(matches: &ArgMatches) -> Duration {
    let seconds = matches.get_one("timeout").copied();
    Duration::from_secs(seconds.unwrap_or(10))
}

/// Returns the text of an argument, or an empty text if the argument isn't given.
#[must_use]
pub fn string_arg<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).map_or("", String::as_str)
}

/// Prints the completion script of the shell that is named in the arguments.
pub fn print_completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut script = Vec::new();
        clap_complete::generate(*shell, &mut command(), "oriolectl", &mut script);
        show::print(script);
    }
}
