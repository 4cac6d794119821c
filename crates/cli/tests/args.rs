//! Command lines that the parser accepts or rejects, and the commands that accepted lines give.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

use cli::{args, change};
use rpc::schema::apply_request::Command;

fn parse(line: &str) -> Result<clap::ArgMatches, clap::Error> {
    args::command().try_get_matches_from(line.split_whitespace())
}

fn command(line: &str) -> Option<Command> {
    change::command_from_args(&parse(line).unwrap()).unwrap()
}

#[test]
fn command_line_definition_is_consistent() {
    args::command().debug_assert();
}

#[test]
fn commands_carry_their_arguments() {
    let Some(Command::Admit(admit)) = command("oriolectl upstream admit booking booking-1") else {
        panic!("not an admit command");
    };
    assert_eq!(
        (&*admit.service, &*admit.upstream),
        ("booking", "booking-1")
    );
    let Some(Command::ControlReplace(replace)) = command("oriolectl control replace old new")
    else {
        panic!("not a replace command");
    };
    assert_eq!((&*replace.old, &*replace.new), ("old", "new"));
    let line = "oriolectl service put booking 10.9.0.1:443 --deadline-ms 500";
    let Some(Command::PutService(service)) = command(line) else {
        panic!("not a service command");
    };
    assert_eq!(
        (&*service.address, service.deadline_ms, service.idle_ms),
        ("10.9.0.1:443", 500, 0)
    );
}

#[test]
fn read_only_subcommands_give_no_command() {
    for line in ["status", "domain list", "change show 3", "dump entry-1"] {
        assert_eq!(command(&format!("oriolectl {line}")), None);
    }
}

#[test]
fn invalid_command_lines_are_rejected() {
    for line in [
        "oriolectl",
        "oriolectl domain",
        "oriolectl domain out",
        "oriolectl domain out a b",
        "oriolectl service put booking booking:443",
        "oriolectl change wait first",
        "oriolectl status --output xml",
        "oriolectl status --control vejle",
        "oriolectl status --timeout 0",
    ] {
        assert!(parse(line).is_err(), "accepted: {line}");
    }
}

#[test]
fn global_arguments_are_accepted_before_and_after_subcommands() {
    for line in [
        "oriolectl --output json domain list",
        "oriolectl domain list --output json",
    ] {
        assert_eq!(
            args::output_format(&parse(line).unwrap()),
            args::Output::Json
        );
    }
}
