//! Runs experiments, compares their results and plots them.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Instant,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use standin::experiment::{
    Experiment, build, cluster::Place, compare::Comparison, plot, report::Report, run,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("run", matches)) => run_experiment(matches),
        Some(("compare", matches)) => compare(matches),
        Some(("plot", matches)) => draw(matches),
        _ => Ok(true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("oriole-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("oriole-load")
        .about("Runs experiments on a whole system of processes, compares and plots their results")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs the experiment in a YAML file")
                .arg(file("experiment", "Experiment, YAML"))
                .arg(
                    Arg::new("json")
                        .long("json")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Write the result to FILE"),
                )
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_name("N")
                        .value_parser(value_parser!(u64).range(0..=u64::from(u32::MAX)))
                        .help("Run with this seed instead of the seed in the file"),
                )
                .arg(
                    Arg::new("programs")
                        .long("programs")
                        .value_name("FOLDER")
                        .value_parser(value_parser!(PathBuf))
                        .help("Start the programs in FOLDER [default: build them]"),
                )
                .after_help("Exit code: 1 when a property was broken or the run failed."),
        )
        .subcommand(
            Command::new("compare")
                .about("Shows the figures of two results side by side")
                .arg(file("first", "Result, JSON"))
                .arg(file("second", "Result, JSON")),
        )
        .subcommand(
            Command::new("plot")
                .about("Plots requests and flows by second, as SVG")
                .arg(file("result", "Result, JSON"))
                .arg(file("svg", "File to write")),
        )
}

fn file(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Runs an experiment and reports whether all properties were kept.
fn run_experiment(matches: &ArgMatches) -> Result<bool, String> {
    let file = path(matches, "experiment");
    let mut experiment: Experiment = serde_norway::from_str(&read(file)?)
        .map_err(|e| format!("{}: {e}: correct the file", file.display()))?;
    if let Some(seed) = matches.get_one::<u64>("seed") {
        experiment.seed = *seed;
    }
    let programs = match matches.get_one::<PathBuf>("programs") {
        Some(folder) => folder.clone(),
        None => build::programs().map_err(|e| e.to_string())?,
    };
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let place = Place {
        programs,
        folder: folder.path().to_owned(),
    };
    let start = Instant::now();
    let progress = |line: &str| eprintln!("load: {:>5.1} s  {line}", start.elapsed().as_secs_f64());
    let report = run::run(&experiment, place, progress).map_err(|e| e.to_string())?;
    if let Some(json) = matches.get_one::<PathBuf>("json") {
        report
            .write(json)
            .map_err(|e| format!("{}: {e}", json.display()))?;
    }
    print!("{report}");
    Ok(report.broken_properties.is_empty())
}

fn compare(matches: &ArgMatches) -> Result<bool, String> {
    let first = result(path(matches, "first"))?;
    let second = result(path(matches, "second"))?;
    print!("{}", Comparison::new(&first, &second));
    Ok(true)
}

fn draw(matches: &ArgMatches) -> Result<bool, String> {
    let report = result(path(matches, "result"))?;
    plot::draw(&report, path(matches, "svg")).map_err(|e| e.to_string())?;
    Ok(true)
}

fn result(file: &Path) -> Result<Report, String> {
    serde_json::from_str(&read(file)?).map_err(|e| format!("{}: {e}", file.display()))
}

fn read(file: &Path) -> Result<String, String> {
    fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

fn path<'a>(matches: &'a ArgMatches, id: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(id)
        .map_or(Path::new(""), PathBuf::as_path)
}
