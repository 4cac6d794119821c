//! The whole system as real processes on loopback addresses, one short run for each planned
//! change and fault. Counts come from the emulators.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::sync::{LazyLock, Mutex, PoisonError};

use model::name::Name;
use standin::experiment::{Action, Experiment, Step, build, cluster::Place, report::Report, run};

/// One system at a time: each is a dozen processes.
static ONE_AT_A_TIME: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// Runs traffic for `seconds` with `actions` at their times.
fn run_with(name: &str, seconds: u64, actions: &[(u64, Action)]) -> Report {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let place = Place {
        programs: build::programs().unwrap_or_else(|e| panic!("{e}")),
        folder: folder.path().to_owned(),
    };
    let steps = actions.iter().map(|(at_s, action)| Step {
        at_s: *at_s,
        action: action.clone(),
    });
    let experiment = Experiment {
        name: name.to_owned(),
        seconds,
        seed: 7,
        steps: steps.collect(),
        ..Experiment::default()
    };
    let progress = |line: &str| eprintln!("{name}: {line}");
    let report = run::run(&experiment, place, progress).unwrap_or_else(|e| panic!("{e}"));
    eprintln!("{report}");
    report
}

fn assert_kept(report: &Report) {
    assert_eq!(report.broken_properties, Vec::<String>::new());
}

fn domain(text: &str) -> Name {
    text.parse().unwrap()
}

#[test]
fn undisturbed_traffic_is_whole() {
    let report = run_with("undisturbed", 6, &[]);
    assert_kept(&report);
    assert_eq!(report.flows.not_opened, 0);
}

#[test]
fn a_drain_breaks_no_flow_and_ends_new_work() {
    assert_kept(&run_with("drain", 9, &[(2, Action::Drain)]));
}

#[test]
fn a_failure_domain_leaves_and_returns() {
    let (out, back) = (domain("north"), domain("north"));
    let actions = [(2, Action::DomainOut(out)), (8, Action::DomainIn(back))];
    assert_kept(&run_with("domain-out-in", 11, &actions));
}

#[test]
fn a_killed_entry_vm_runs_nothing_twice() {
    let report = run_with("kill-entry", 9, &[(2, Action::KillEntry)]);
    assert_kept(&report);
}
