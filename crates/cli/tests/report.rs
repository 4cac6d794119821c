//! The report that is made from a result file.

use std::fs;

use cli::{args, report::RunResult};

const RESULT: &str = r#"{
  "requests": { "sent": 100, "answered": 92, "refused_not_run": 6, "outcome_unknown": 2,
                "run_twice": 0, "wrong_answer": 0, "wrong_service": 0 },
  "flows": { "opened": 40, "kept": 30, "broken": 1, "given_up": 9, "wrong_service": 0 },
  "imbalance": { "booking": 1.25 },
  "changes": [
    { "kind": "domain-out", "at_ms": 2000, "accepted_ms": 10, "in_force_ms": 900 },
    { "kind": "domain-in", "at_ms": 4000, "accepted_ms": 10, "in_force_ms": 900 }
  ],
  "seconds": {
    "0": { "sent": 10, "answered": 10 },
    "2": { "sent": 10, "answered": 4, "refused": 6, "given_up": 9 },
    "3": { "sent": 10, "answered": 10 }
  }
}"#;

#[test]
fn service_level_counts_only_the_seconds_of_domain_changes() {
    let run: RunResult = serde_json::from_str(RESULT).unwrap();
    let service = run.domain_service().unwrap();
    assert_eq!((service.from_s, service.to_s), (2, 9));
    assert!((service.answered_share - 0.7).abs() < 1e-9);
    assert!((service.worst_share - 0.4).abs() < 1e-9);
}

#[test]
fn text_and_json_show_flows_imbalance_and_service_level() {
    let run: RunResult = serde_json::from_str(RESULT).unwrap();
    let text = run.to_string();
    for part in [
        "broken 1",
        "given up 9",
        "booking",
        "1.25",
        "70.0%",
        "40.0%",
    ] {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
    let json = run.to_json();
    assert_eq!(json["flows"]["broken"], 1);
    assert_eq!(json["imbalance"]["booking"], 1.25);
    assert_eq!(json["domain_service"]["worst_second_share"], 0.4);
}

#[test]
fn a_result_without_domain_changes_has_no_service_level() {
    let run: RunResult = serde_json::from_str(RESULT).unwrap();
    let run = RunResult {
        changes: Vec::new(),
        ..run
    };
    assert_eq!(run.domain_service(), None);
    assert!(run.to_string().contains("no failure domain moved"));
}

#[test]
fn the_plot_is_written_and_failures_name_the_result_file() {
    let folder = tempfile::tempdir().unwrap();
    let result = folder.path().join("result.json");
    let svg = folder.path().join("plot.svg");
    fs::write(&result, RESULT).unwrap();
    let run = |file: &std::path::Path| {
        let line = [
            "oriolectl".as_ref(),
            "report".as_ref(),
            file.as_os_str(),
            "--svg".as_ref(),
            svg.as_os_str(),
        ];
        let matches = args::command().try_get_matches_from(line).unwrap();
        cli::report::run(matches.subcommand().unwrap().1, args::Output::Json)
    };
    run(&result).unwrap();
    assert!(fs::read_to_string(&svg).unwrap().contains("<svg"));
    fs::write(&result, "{}").unwrap();
    assert!(run(&result).unwrap_err().message.contains("result.json"));
    assert!(run(&folder.path().join("none.json")).is_err());
}
