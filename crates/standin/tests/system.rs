//! Tests of the whole system as real processes on loopback addresses. One short run with planned
//! changes and one run with faults are shared by the tests that check their reports. All counters come
//! from the emulators.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::sync::{LazyLock, Mutex, PoisonError};

use model::name::Name;
use standin::experiment::{
    Action, Experiment, Step, build, cluster::Place, properties, report::Report, run,
};

/// Lock that lets one system run at a time, because each system has a dozen processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

static PLANNED_CHANGES_REPORT: LazyLock<Report> = LazyLock::new(|| {
    let actions = [
        (2, Action::Drain),
        (4, Action::Admit),
        (6, Action::DomainOut(name("east"))),
        (11, Action::DomainIn(name("east"))),
    ];
    run_with("planned", 14, &actions)
});

static FAULTS_REPORT: LazyLock<Report> = LazyLock::new(|| {
    let actions = [(1, Action::KillEntry), (7, Action::KillControl)];
    run_with("faults", 12, &actions)
});

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// Runs traffic for `seconds` with `actions` at the given seconds, and returns the report.
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

/// Empty list of broken properties.
const NO_BROKEN_PROPERTIES: [String; 0] = [];

#[test]
fn planned_changes_break_no_flow() {
    assert_eq!(PLANNED_CHANGES_REPORT.flows.broken, 0);
    assert_eq!(PLANNED_CHANGES_REPORT.flows.not_opened, 0);
    assert!(PLANNED_CHANGES_REPORT.flows.kept > 0);
}

#[test]
fn planned_changes_cut_off_no_request() {
    let requests = &PLANNED_CHANGES_REPORT.requests;
    assert_eq!(requests.no_answer + requests.outcome_unknown, 0);
    assert_eq!(requests.failed, 0);
    assert!(requests.answered > 0);
}

#[test]
fn planned_changes_are_in_force_within_seconds() {
    assert_eq!(PLANNED_CHANGES_REPORT.changes.len(), 4);
    for change in &PLANNED_CHANGES_REPORT.changes {
        assert_eq!(properties::check_change(change), None);
        assert!(change.in_force_ms.is_some(), "{change}");
    }
}

#[test]
fn drained_upstreams_and_domains_taken_out_get_no_new_work() {
    let broken = PLANNED_CHANGES_REPORT.broken_properties.iter();
    let late: Vec<&String> = broken.filter(|b| b.contains("but got")).collect();
    assert_eq!(late, Vec::<&String>::new());
}

#[test]
fn every_process_stops_gracefully_after_planned_changes() {
    for (process, exit) in &PLANNED_CHANGES_REPORT.exits {
        assert_eq!(exit, "Graceful", "{process}");
    }
}

#[test]
fn planned_changes_send_nothing_to_another_service() {
    assert_eq!(PLANNED_CHANGES_REPORT.requests.wrong_service, 0);
    assert_eq!(PLANNED_CHANGES_REPORT.flows.wrong_service, 0);
}

#[test]
fn killed_vms_cause_no_second_run_and_no_wrong_answer() {
    assert_eq!(FAULTS_REPORT.requests.run_twice, 0);
    assert_eq!(FAULTS_REPORT.requests.wrong_answer, 0);
    assert_eq!(FAULTS_REPORT.requests.refused_but_run, 0);
    assert!(FAULTS_REPORT.requests.answered > 0);
}

#[test]
fn killed_vms_break_no_property_that_always_holds() {
    assert_eq!(FAULTS_REPORT.broken_properties, NO_BROKEN_PROPERTIES);
}
