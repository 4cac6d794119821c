//! The command line: what is taken and what is refused.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

use cli::{args, change};
use rpc::schema::apply_request::Command;

fn parse(line: &str) -> Result<clap::ArgMatches, clap::Error> {
    args::command().try_get_matches_from(line.split_whitespace())
}

fn command(line: &str) -> Option<Command> {
    change::asked(&parse(line).unwrap()).unwrap()
}

#[test]
fn the_description_of_the_command_line_is_consistent() {
    args::command().debug_assert();
}

#[test]
fn commands_carry_their_names() {
    let Some(Command::Admit(admit)) = command("oriolectl upstream admit booking booking-1") else {
        panic!("no admit");
    };
    assert_eq!(
        (&*admit.service, &*admit.upstream),
        ("booking", "booking-1")
    );
    let Some(Command::ControlReplace(replace)) = command("oriolectl control replace old new")
    else {
        panic!("no replace");
    };
    assert_eq!((&*replace.old, &*replace.new), ("old", "new"));
    let line = "oriolectl service put booking 10.9.0.1:443 --deadline-ms 500";
    let Some(Command::PutService(service)) = command(line) else {
        panic!("no service");
    };
    assert_eq!(
        (&*service.address, service.deadline_ms, service.idle_ms),
        ("10.9.0.1:443", 500, 0)
    );
}

#[test]
fn reads_are_no_commands() {
    for line in ["status", "domain list", "change show 3", "dump entry-1"] {
        assert_eq!(command(&format!("oriolectl {line}")), None);
    }
}

#[test]
fn wrong_lines_are_refused() {
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
        assert!(parse(line).is_err(), "taken: {line}");
    }
}

#[test]
fn global_arguments_may_stand_anywhere() {
    for line in [
        "oriolectl --output json domain list",
        "oriolectl domain list --output json",
    ] {
        assert_eq!(args::output(&parse(line).unwrap()), args::Output::Json);
    }
}
