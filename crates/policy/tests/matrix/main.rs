//! The fault matrix: tests every fault at every step of every planned change, and seeded random
//! pairs of faults, on complete nodes with an in-memory network.
//!
//! Each cell is a separate test: `cargo test -p policy --test matrix drain::kill::prepared`.
//! Cells listed in KNOWN-RED.txt are ignored; add `-- --include-ignored` to run them. At the end
//! the matrix prints how many cells ran, and which faults are excluded and why.

mod actors;
mod cell;
mod world;

use std::process::ExitCode;

use libtest_mimic::{Arguments, Trial};

use cell::{Cell, Change, Fault, Step};

/// Number of fault pairs tested for each planned change.
const PAIRS: u64 = 8;

/// Known failures; a cell is listed by the command that runs only that cell.
const KNOWN_RED: &str = include_str!("../../../../KNOWN-RED.txt");

fn main() -> ExitCode {
    let arguments = Arguments::from_args();
    let mut trials = Vec::new();
    let mut excluded = 0;
    for change in Change::ALL {
        for fault in Fault::ALL {
            if fault.exclusion_reason().is_some() {
                excluded += Step::ALL.len();
                continue;
            }
            for step in Step::ALL {
                trials.push(cell_trial(Cell::single(change, fault, step)));
            }
        }
        for number in 0..PAIRS {
            trials.push(cell_trial(Cell::pair(change, number)));
        }
    }
    let conclusion = libtest_mimic::run(&arguments, trials);
    if !arguments.list {
        println!(
            "matrix: {} cells run, {} passed, {} known red, {excluded} excluded",
            conclusion.num_passed + conclusion.num_failed,
            conclusion.num_passed,
            conclusion.num_ignored,
        );
        for fault in Fault::ALL {
            if let Some(reason) = fault.exclusion_reason() {
                println!("matrix: excluded {}: {reason}", fault.name());
            }
        }
    }
    conclusion.exit_code()
}

fn cell_trial(cell: Cell) -> Trial {
    let command = format!("--test matrix {}", cell.name());
    let is_known_red = KNOWN_RED.lines().any(|line| line.ends_with(&command));
    let name = cell.name();
    let run = move || {
        let violations = cell.run();
        if violations.is_empty() {
            return Ok(());
        }
        Err(format!("seed {}: {}", cell.seed(), violations.join("; ")).into())
    };
    Trial::test(name, run).with_ignored_flag(is_known_red)
}
