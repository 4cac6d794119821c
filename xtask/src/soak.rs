//! `cargo xtask soak`: runs the real programs under random faults, one seed at a time.

use std::{
    process::ExitCode,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use soak::run::{self, Settings};
use standin::{experiment::build, platform::system::Size};

/// Number of control VMs in a soak run.
const CONTROL_VM_COUNT: u64 = 4;

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    let number_arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("soak")
        .about(
            "Inject random faults around the real programs, and check the guarantees of the system",
        )
        .arg(number_arg("seeds", "5", "Number of seeds to run"))
        .arg(number_arg(
            "minutes",
            "60",
            "Start no further seed after this many minutes",
        ))
        .arg(number_arg(
            "processes",
            "10",
            "Approximate number of processes to start: 4 control VMs, the rest entry VMs",
        ))
        .arg(number_arg(
            "seconds",
            "20",
            "Duration of the faults for each seed, in seconds",
        ))
        .arg(number_arg(
            "net",
            "78",
            "Use the addresses 127.0.N.*; concurrent soak runs need different values",
        ))
        .arg(
            Arg::new("first")
                .long("first")
                .value_name("SEED")
                .value_parser(value_parser!(u64))
                .help(
                    "First seed; each further seed is one higher [default: the current Unix time]",
                ),
        )
}

/// Runs the seeds and returns a failure if a run has a violation or can't be completed.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let number_arg = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let programs = match build::programs() {
        Ok(programs) => programs,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let fresh = now.map_or(1, |d| d.as_secs());
    let first = matches.get_one::<u64>("first").copied().unwrap_or(fresh);
    let entries = number_arg("processes")
        .saturating_sub(CONTROL_VM_COUNT)
        .clamp(2, 60);
    let started = Instant::now();
    let minutes = Duration::from_secs(60 * number_arg("minutes"));
    let mut all_passed = true;
    for seed in first..first + number_arg("seeds") {
        if started.elapsed() > minutes {
            println!("seed {seed}: not run: the time limit of --minutes has passed");
            break;
        }
        let settings = Settings {
            seed,
            length_ms: 1_000 * number_arg("seconds"),
            size: Size {
                controls: u8::try_from(CONTROL_VM_COUNT).unwrap_or(3),
                entries: u8::try_from(entries).unwrap_or(2),
            },
            net: u8::try_from(number_arg("net")).unwrap_or(78),
        };
        match run::run(settings, &programs) {
            Ok(violations) if violations.is_empty() => println!("seed {seed}: all guarantees held"),
            Ok(violations) => {
                all_passed = false;
                println!("seed {seed}: {} violation(s)", violations.len());
                violations
                    .iter()
                    .for_each(|violation| println!("  {violation}"));
            }
            Err(error) => {
                all_passed = false;
                println!("seed {seed}: run failed: {error}");
            }
        }
    }
    match all_passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
