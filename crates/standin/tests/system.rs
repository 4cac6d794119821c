//! The whole system as real processes on loopback addresses: one short run with planned changes
//! and one with faults, each shared by the tests that judge it. Counts come from the emulators.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::sync::{LazyLock, Mutex, PoisonError};

use model::name::Name;
use standin::experiment::{
    Action, Experiment, Step, build, cluster::Place, properties, report::Report, run,
};

/// One system at a time: each is a dozen processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

static PLANNED: LazyLock<Report> = LazyLock::new(|| {
    let actions = [
        (2, Action::Drain),
        (4, Action::Admit),
        (6, Action::DomainOut(name("east"))),
        (11, Action::DomainIn(name("east"))),
    ];
    run_with("planned", 14, &actions)
});

static FAULTS: LazyLock<Report> = LazyLock::new(|| {
    let actions = [(1, Action::KillEntry), (7, Action::KillControl)];
    run_with("faults", 12, &actions)
});

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

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

/// Nothing, in place of a list of broken properties.
const NONE: [String; 0] = [];

#[test]
fn planned_changes_break_no_flow() {
    assert_eq!(PLANNED.flows.broken, 0);
    assert_eq!(PLANNED.flows.not_opened, 0);
    assert!(PLANNED.flows.kept > 0);
}

#[test]
fn planned_changes_cut_no_request() {
    let requests = &PLANNED.requests;
    assert_eq!(requests.no_answer + requests.outcome_unknown, 0);
    assert_eq!(requests.failed, 0);
    assert!(requests.answered > 0);
}

#[test]
fn planned_changes_are_in_force_within_seconds() {
    assert_eq!(PLANNED.changes.len(), 4);
    for change in &PLANNED.changes {
        assert_eq!(properties::check_change(change), None);
        assert!(change.in_force_ms.is_some(), "{change}");
    }
}

#[test]
fn what_planned_changes_took_out_gets_no_new_work() {
    let broken = PLANNED.broken_properties.iter();
    let late: Vec<&String> = broken.filter(|b| b.contains("but got")).collect();
    assert_eq!(late, Vec::<&String>::new());
}

#[test]
fn every_process_stops_gracefully_after_planned_changes() {
    for (process, exit) in &PLANNED.exits {
        assert_eq!(exit, "Graceful", "{process}");
    }
}

#[test]
fn planned_changes_send_nothing_to_another_service() {
    assert_eq!(PLANNED.requests.wrong_service, 0);
    assert_eq!(PLANNED.flows.wrong_service, 0);
}

#[test]
fn killed_vms_let_nothing_run_twice_and_cross_no_answer() {
    assert_eq!(FAULTS.requests.run_twice, 0);
    assert_eq!(FAULTS.requests.wrong_answer, 0);
    assert_eq!(FAULTS.requests.refused_but_run, 0);
    assert!(FAULTS.requests.answered > 0);
}

#[test]
fn killed_vms_break_no_property_that_always_holds() {
    assert_eq!(FAULTS.broken_properties, NONE);
}
