//! Tests of the routing plan: the plan with the highest version is in force, whatever the order of
//! arrival, and invalid plans are refused.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::sync::Arc;

use model::{
    command::{Command, Entry},
    config::Config,
    plan::{Fault, Plan, Route, Service, Target},
};
use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

fn plan(version: u64, text: &str) -> Plan {
    Plan {
        version,
        routes: vec![route("r", "198.18.0.1:443")],
        services: vec![Service { name: "s".into() }],
        idle_ms: 1,
        text: text.into(),
    }
}

fn route(name: &str, address: &str) -> Route {
    Route {
        name: name.into(),
        address: address.parse().unwrap(),
        deadline_ms: 100,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn replace(config: &mut Config, plan: Plan) {
    let command = Command::ReplacePlan {
        plan: Arc::new(plan),
    };
    let index = config.index + 1;
    let entry = Entry::new("op", index.to_string(), None, command);
    assert_eq!(config.apply(index, &entry), Ok(()));
}

fn version_and_text(config: &Config) -> (u64, &str) {
    let plan = config.plan.as_ref().unwrap();
    (plan.version, &plan.text)
}

#[test]
fn the_highest_version_is_held_in_any_order() {
    for seed in 0..50 {
        let mut versions: Vec<u64> = (1..20).collect();
        versions.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
        let mut config = Config::default();
        for version in versions {
            replace(&mut config, plan(version, &version.to_string()));
        }
        assert_eq!(version_and_text(&config), (19, "19"));
    }
}

#[test]
fn other_content_under_the_version_held_changes_nothing() {
    let mut config = Config::default();
    replace(&mut config, plan(5, "first"));
    replace(&mut config, plan(5, "second"));
    replace(&mut config, plan(4, "older"));
    assert_eq!(version_and_text(&config), (5, "first"));
}

#[test]
fn no_answer_is_kept_for_a_plan() {
    let mut config = Config::default();
    replace(&mut config, plan(5, "first"));
    assert!(config.answers.is_empty());
}

#[test]
fn an_invalid_plan_fails_the_check() {
    plan(1, "").check().unwrap();
    let mut shared = plan(1, "");
    shared.routes.push(route("other", "198.18.0.1:443"));
    assert!(matches!(shared.check(), Err(Fault::SharedAddress(..))));
    let mut unknown = plan(1, "");
    unknown.services.clear();
    assert!(matches!(unknown.check(), Err(Fault::UnknownService(..))));
    let mut deadline = plan(1, "");
    deadline.routes[0].deadline_ms = 0;
    assert!(matches!(deadline.check(), Err(Fault::NoDeadline(_))));
    let mut weight = plan(1, "");
    weight.routes[0].targets[0].weight = 0;
    assert!(matches!(weight.check(), Err(Fault::NoWeight(_))));
}
