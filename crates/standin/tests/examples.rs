//! Tests that the files under `examples/` are valid and fit the plans of their firms.

#![expect(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use settings::{Load, control, entry};
use standin::experiment::{Action, Experiment, Firm, build, plan::Plan};

const FIRMS: [(&str, Firm); 2] = [("lysgard", Firm::Lysgard), ("blue-mahoe", Firm::BlueMahoe)];

fn files(firm: &str, kind: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let folder = root.join(firm).join(kind);
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .collect();
    files.sort();
    files
}

/// Loads a settings file as the daemons do, with the data folder moved below `data`.
fn load<T: Load>(file: &Path, data: &Path) -> T {
    let text = fs::read_to_string(file).unwrap();
    let below = format!("data_folder: {}/", data.display());
    let text = text.replace("data_folder: ", &below);
    settings::parse(&file.display().to_string(), &text).unwrap()
}

#[test]
fn settings_of_entry_vms_are_accepted_and_cover_the_firm() {
    let data = tempfile::tempdir().unwrap();
    for (name, firm) in FIRMS {
        let plan = Plan::new(firm, 100);
        let files = files(name, "entry");
        assert_eq!(files.len(), plan.entries.len());
        for (file, vm) in files.iter().zip(&plan.entries) {
            let settings: entry::Settings = load(file, data.path());
            assert_eq!((&settings.name, &settings.domain), (&vm.name, &vm.domain));
        }
    }
}

#[test]
fn settings_of_control_vms_are_accepted_and_name_each_other() {
    let data = tempfile::tempdir().unwrap();
    for (name, firm) in FIRMS {
        let plan = Plan::new(firm, 100);
        for (file, vm) in files(name, "control").iter().zip(&plan.controls) {
            let settings: control::Settings = load(file, data.path());
            assert_eq!((&settings.name, &settings.domain), (&vm.name, &vm.domain));
            assert!(settings.replicas.contains_key(&settings.name));
            assert!(settings.controls.contains(&settings.delivery_listen));
        }
    }
}

#[test]
fn daemons_accept_the_files_with_check_settings() {
    let data = tempfile::tempdir().unwrap();
    let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
    for (name, _) in FIRMS {
        for (kind, program) in [("entry", "oriole-entry"), ("control", "oriole-control")] {
            for file in files(name, kind) {
                let output = Command::new(programs.join(program))
                    .current_dir(data.path())
                    .arg("--check-settings")
                    .arg("--settings")
                    .arg(file.canonicalize().unwrap())
                    .output()
                    .unwrap();
                let text = String::from_utf8_lossy(&output.stderr);
                assert!(output.status.success(), "{}: {text}", file.display());
            }
        }
    }
}

#[test]
fn experiments_can_be_read_and_name_only_parts_of_the_firm() {
    for (name, firm) in FIRMS {
        let plan = Plan::new(firm, 100);
        let experiments = files(name, "experiments");
        let baselines = files(name, "baselines");
        assert_eq!((experiments.len(), baselines.len()), (3, 3));
        for file in experiments.into_iter().chain(baselines) {
            let text = fs::read_to_string(&file).unwrap();
            let experiment: Experiment = serde_norway::from_str(&text).unwrap();
            assert_eq!(experiment.firm, firm);
            for step in experiment.steps {
                assert!(step.at_s < experiment.seconds);
                check_names(&step.action, &plan);
            }
        }
    }
}

fn check_names(action: &Action, plan: &Plan) {
    match action {
        Action::DomainOut(domain) | Action::DomainIn(domain) => {
            assert!(plan.domains.contains(domain));
        }
        Action::Cold(upstream) | Action::Lie(upstream) => {
            let mut all = plan.services.iter().flat_map(|s| &s.upstreams);
            assert!(all.any(|u| u.name == *upstream));
        }
        _ => {}
    }
}
