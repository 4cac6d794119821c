//! `cargo xtask demo`: builds the programs, starts a system on loopback addresses, sends traffic, stops
//! the system gracefully and prints a report.

use std::{path::PathBuf, process::ExitCode, time::Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::experiment::{
    Action, Experiment, Firm, Step, build, cluster::Place, plan::Plan, report::Report, run,
};

/// Names of firms on the command line.
const FIRMS: [(&str, Firm); 3] = [
    ("small", Firm::Small),
    ("lysgard", Firm::Lysgard),
    ("blue-mahoe", Firm::BlueMahoe),
];

/// Names of planned changes and faults on the command line.
const CHANGES: [&str; 9] = [
    "none",
    "admit",
    "drain",
    "domain-out-in",
    "rolling-restart",
    "kill-entry",
    "kill-control",
    "freeze-entry",
    "cold",
];

/// Returns the definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Build and start a whole system on loopback addresses, send traffic and print a report")
        .arg(
            Arg::new("firm")
                .long("firm")
                .value_parser(FIRMS.map(|(string_arg, _)| string_arg))
                .default_value("small")
                .help("Firm whose system and traffic are emulated; small has 6 entry VMs in 3 failure domains"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(u64).range(5..=3_600))
                .default_value("20")
                .help("Duration of the traffic, in seconds"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64).range(0..=u64::from(u32::MAX)))
                .default_value("1")
                .help("Seed of arrivals, service times and the random choices of the fabric"),
        )
        .arg(
            Arg::new("change")
                .long("change")
                .value_parser(CHANGES)
                .default_value("none")
                .help("Planned change or fault to start after a third of the time"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write the report to FILE as JSON"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the temporary folder with settings and logs"),
        )
        .after_help(
            "Exit code: 0 if every checked property held, 1 if a property was broken or the run failed.",
        )
}

/// Runs the demo and returns the exit code.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    match try_run(matches) {
        Ok(report) if report.broken_properties.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn try_run(matches: &ArgMatches) -> Result<Report, String> {
    let experiment = experiment(matches);
    eprintln!("demo: building the programs");
    let programs = build::programs().map_err(|e| e.to_string())?;
    let mut folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    if matches.get_flag("keep") {
        folder.disable_cleanup(true);
        eprintln!("demo: keeping folder {}", folder.path().display());
    }
    let place = Place {
        programs,
        folder: folder.path().to_owned(),
    };
    let start = Instant::now();
    let progress = |line: &str| eprintln!("demo: {:>5.1} s  {line}", start.elapsed().as_secs_f64());
    let report = run::run(&experiment, place, progress).map_err(|e| e.to_string())?;
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        report
            .write(file)
            .map_err(|e| format!("cannot write report {}: {e}", file.display()))?;
    }
    print!("{report}");
    Ok(report)
}

fn experiment(matches: &ArgMatches) -> Experiment {
    let string_arg = |id: &str| matches.get_one::<String>(id).map_or("", String::as_str);
    let number_arg = |id: &str| matches.get_one::<u64>(id).copied().unwrap_or_default();
    let firm = FIRMS.iter().find(|(name, _)| *name == string_arg("firm"));
    let firm = firm.map(|(_, firm)| *firm).unwrap_or_default();
    let seconds = number_arg("seconds");
    Experiment {
        name: format!("demo {}", string_arg("change")),
        firm,
        seconds,
        seed: number_arg("seed"),
        steps: steps(string_arg("change"), firm, seconds),
        ..Experiment::default()
    }
}

/// Returns the steps of a planned change or fault; the first starts after a third of the time.
fn steps(change: &str, firm: Firm, seconds: u64) -> Vec<Step> {
    let plan = Plan::new(firm, 100);
    let domain = plan.domains[0].clone();
    let upstream = plan.services[0].upstreams[0].name.clone();
    let at_s = seconds / 3;
    let single_step = |action| vec![Step { at_s, action }];
    match change {
        "admit" => single_step(Action::Admit),
        "drain" => single_step(Action::Drain),
        "domain-out-in" => vec![
            Step {
                at_s,
                action: Action::DomainOut(domain.clone()),
            },
            Step {
                at_s: 2 * seconds / 3,
                action: Action::DomainIn(domain),
            },
        ],
        "rolling-restart" => single_step(Action::RollingRestart),
        "kill-entry" => single_step(Action::KillEntry),
        "kill-control" => single_step(Action::KillControl),
        "freeze-entry" => single_step(Action::FreezeEntry),
        "cold" => single_step(Action::Cold(upstream)),
        _ => Vec::new(),
    }
}
