//! `cargo xtask soak`: plays seeds of random faults around the real programs.

use std::{
    process::ExitCode,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use soak::run::{self, Settings};
use standin::{experiment::build, platform::system::Size};

/// Control VMs of a soak.
const CONTROLS: u64 = 4;

/// The subcommand.
pub(crate) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("soak")
        .about("Play random faults around the real programs, and check what must hold")
        .arg(number("seeds", "5", "Play this many seeds"))
        .arg(number(
            "minutes",
            "60",
            "Begin no seed after this many minutes",
        ))
        .arg(number(
            "processes",
            "10",
            "Start about this many processes: 4 control VMs, the rest entry VMs",
        ))
        .arg(number(
            "seconds",
            "20",
            "Let faults go on for this long with each seed",
        ))
        .arg(number(
            "net",
            "78",
            "Use the addresses 127.0.N.*, so that several soaks can run beside each other",
        ))
        .arg(
            Arg::new("first")
                .long("first")
                .value_name("SEED")
                .value_parser(value_parser!(u64))
                .help("Play this seed and those that follow it; else fresh ones"),
        )
}

/// Plays the seeds; fails when any breaks a promise.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
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
    let entries = number("processes").saturating_sub(CONTROLS).clamp(2, 60);
    let started = Instant::now();
    let minutes = Duration::from_secs(60 * number("minutes"));
    let mut is_good = true;
    for seed in first..first + number("seeds") {
        if started.elapsed() > minutes {
            println!("seed {seed}: not run, the time is over");
            break;
        }
        let settings = Settings {
            seed,
            length_ms: 1_000 * number("seconds"),
            size: Size {
                controls: u8::try_from(CONTROLS).unwrap_or(3),
                entries: u8::try_from(entries).unwrap_or(2),
            },
            net: u8::try_from(number("net")).unwrap_or(78),
        };
        match run::run(settings, &programs) {
            Ok(broken) if broken.is_empty() => println!("seed {seed}: all promises held"),
            Ok(broken) => {
                is_good = false;
                println!("seed {seed}: {} broken", broken.len());
                broken.iter().for_each(|b| println!("  {b}"));
            }
            Err(error) => {
                is_good = false;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    match is_good {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
