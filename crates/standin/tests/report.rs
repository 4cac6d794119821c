//! Tests of the report of an experiment: each fault in a run must appear as a broken property.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::collections::BTreeMap;

use model::name::Name;
use standin::{
    caller,
    experiment::{
        Action, Experiment, Firm, Step,
        compare::Comparison,
        plan::Plan,
        plot, properties,
        report::{Change, Flows, Report, Requests, imbalance},
        run::Sample,
    },
    message::Work,
    run_log::RunLog,
    upstream::Stats,
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn report_without_faults() -> Report {
    Report {
        requests: Requests {
            sent: 10,
            answered: 10,
            ..Requests::default()
        },
        flows: Flows {
            opened: 10,
            kept: 10,
            ..Flows::default()
        },
        ..Report::default()
    }
}

fn broken(report: &Report, samples: &[Sample]) -> Vec<String> {
    properties::broken(report, &Plan::new(Firm::Small, 100), samples)
}

fn sample(at_ms: u64, upstream: &str, stats: Stats) -> Sample {
    let upstreams = BTreeMap::from([(name(upstream), stats)]);
    Sample { at_ms, upstreams }
}

#[test]
fn a_run_without_faults_breaks_no_property() {
    assert_eq!(broken(&report_without_faults(), &[]), Vec::<String>::new());
}

#[test]
fn each_count_of_a_fault_is_a_broken_property() {
    type InjectFault = fn(&mut Report);
    let faults: [(&str, InjectFault); 10] = [
        ("ran more than once", |r| r.requests.run_twice = 1),
        ("but ran", |r| r.requests.refused_but_run = 1),
        ("another request", |r| r.requests.wrong_answer = 1),
        ("reached another service", |r| r.requests.wrong_service = 1),
        ("reached another service", |r| r.flows.wrong_service = 1),
        ("flows broke", |r| r.flows.broken = 1),
        ("no answer", |r| r.requests.no_answer = 1),
        ("were cut", |r| r.requests.outcome_unknown = 1),
        ("no request was answered", |r| r.requests.answered = 0),
        ("no flow was opened", |r| r.flows.opened = 0),
    ];
    for (words, inject_fault) in faults {
        let mut report = report_without_faults();
        inject_fault(&mut report);
        let found = broken(&report, &[]);
        assert!(
            found.iter().any(|b| b.contains(words)),
            "{words}: {found:?}"
        );
    }
}

#[test]
fn a_process_that_does_not_stop_gracefully_is_a_broken_property() {
    let mut report = report_without_faults();
    report.exits.insert("entry-1".to_owned(), "Late".to_owned());
    assert_eq!(broken(&report, &[]).len(), 1);
}

#[test]
fn new_work_at_a_draining_upstream_is_a_broken_property() {
    let mut report = report_without_faults();
    report.changes.push(Change {
        kind: "drain".to_owned(),
        at_ms: 1_000,
        in_force_ms: Some(500),
        ..Change::default()
    });
    let with = |flows_opened| Stats {
        flows_opened,
        ..Stats::default()
    };
    let late = [
        sample(5_000, "booking-1", with(3)),
        sample(9_000, "booking-1", with(4)),
    ];
    assert_eq!(broken(&report, &late).len(), 1);
    let early = [
        sample(2_000, "booking-1", with(3)),
        sample(9_000, "booking-1", with(4)),
    ];
    assert_eq!(broken(&report, &early), Vec::<String>::new());
}

#[test]
fn packets_to_a_domain_that_is_out_are_a_broken_property() {
    let mut report = report_without_faults();
    let domain = name("north");
    report.experiment = Experiment {
        steps: vec![Step {
            at_s: 1,
            action: Action::DomainOut(domain),
        }],
        ..Experiment::default()
    };
    report.changes.push(Change {
        kind: "domain-out".to_owned(),
        at_ms: 1_000,
        in_force_ms: Some(500),
        ..Change::default()
    });
    let with = |packets| Stats {
        packets,
        domain: "north".to_owned(),
        ..Stats::default()
    };
    report.upstreams.insert(name("booking-1"), with(9));
    let samples = [
        sample(5_000, "booking-1", with(8)),
        sample(9_000, "booking-1", with(9)),
    ];
    assert_eq!(broken(&report, &samples).len(), 1);
}

#[test]
fn only_the_first_overload_after_an_unannounced_cold_start_is_allowed() {
    let mut report = report_without_faults();
    let cold = Stats {
        cold_overloads: 1,
        ..Stats::default()
    };
    report.upstreams.insert(name("booking-1"), cold);
    assert_eq!(broken(&report, &[]).len(), 1);
    report.experiment.steps.push(Step {
        at_s: 1,
        action: Action::Cold(name("booking-1")),
    });
    assert_eq!(broken(&report, &[]), Vec::<String>::new());
    let stats = report.upstreams.get_mut(&name("booking-1")).unwrap();
    stats.cold_overloads = 2;
    assert_eq!(broken(&report, &[]).len(), 1);
}

#[test]
fn a_refusal_of_a_request_that_ran_is_counted() {
    let mut runs = RunLog::default();
    runs.record(&Work {
        id: 7,
        service: name("booking"),
        idempotent: false,
    });
    let callers = caller::Report {
        refused: vec![6, 7],
        ..caller::Report::default()
    };
    let requests = Requests::new(&callers, &BTreeMap::new(), &runs);
    assert_eq!(requests.refused_but_run, 1);
}

#[test]
fn imbalance_is_the_largest_over_the_mean() {
    let stats = |flows_opened| Stats {
        service: "booking".to_owned(),
        flows_opened,
        ..Stats::default()
    };
    let upstreams = BTreeMap::from([
        (name("booking-1"), stats(30)),
        (name("booking-2"), stats(10)),
        (name("booking-3"), stats(99)),
    ]);
    let counts = |upstream: &Name, _: &Stats| *upstream != name("booking-3");
    let found = imbalance(&upstreams, counts, |s| s.flows_opened);
    assert_eq!(found, BTreeMap::from([("booking".to_owned(), 1.5)]));
}

#[test]
fn a_comparison_shows_each_figure_of_both_results() {
    let after = Report {
        flows: Flows {
            broken: 3,
            ..Flows::default()
        },
        ..report_without_faults()
    };
    let comparison = Comparison::new(&report_without_faults(), &after);
    let row = |name: &str| {
        let mut rows = comparison.rows().iter();
        rows.find(|row| row.name == name).unwrap().clone()
    };
    assert_eq!(row("flows.broken").after, Some(3.0));
    assert_eq!(row("requests.answered").percent(), Some(0.0));
}

#[test]
fn a_written_result_can_be_read_and_plotted() {
    let folder = tempfile::tempdir().unwrap();
    let mut report = report_without_faults();
    report.seconds.entry(3).or_default().answered = 5;
    let json = folder.path().join("result.json");
    report.write(&json).unwrap();
    let text = std::fs::read_to_string(&json).unwrap();
    let read: Report = serde_json::from_str(&text).unwrap();
    assert_eq!(read, report);
    let svg = folder.path().join("result.svg");
    plot::draw(&read, &svg).unwrap();
    let svg = std::fs::read_to_string(&svg).unwrap();
    assert!(svg.contains("requests a second"));
}
