//! Guards against a control VM that keeps announcements to itself because no entry VM has a stream
//! to it, and against one that refuses them although a stream is about to open again.

use std::sync::Arc;

use control::{audience::Audience, plan_terms::TermsCache};
use model::plan::Plan;

#[test]
fn entry_vms_have_two_seconds_to_connect_after_the_start() {
    let audience = Audience::default();
    assert!(audience.is_reached(0) && audience.is_reached(1_999));
    assert!(!audience.is_reached(2_000));
}

#[test]
fn calls_are_accepted_while_a_stream_is_open_and_for_a_second_after_the_last() {
    let mut audience = Audience::default();
    audience.add_stream();
    audience.add_stream();
    assert!(audience.is_reached(10_000));
    audience.remove_stream(20_000);
    assert!(audience.is_reached(60_000));
    audience.remove_stream(60_000);
    assert!(audience.is_reached(60_999));
    assert!(!audience.is_reached(61_000));
    audience.add_stream();
    assert!(audience.is_reached(90_000));
}

/// A plan with a goal of 400 ms, in the platform's format.
const PLAN: &str = include_str!("../../../platform/tests/plans/terms.json");

/// Guards against a stored plan of an older build that stops the stream, and against terms of one
/// plan that are sent for another.
#[test]
fn terms_are_derived_for_each_plan_and_absent_for_an_unreadable_text() {
    let plan = |version: u64, goal: &str| {
        let text = PLAN
            .replace("\"version\":3", &format!("\"version\":{version}"))
            .replace("400", goal);
        Arc::new(Plan {
            version,
            text: text.into(),
            ..Plan::default()
        })
    };
    let cache = TermsCache::default();
    let goal_ms = |plan| cache.terms(plan).map(|terms| terms.routes[0].goal_ms);
    let (first, second) = (plan(1, "120"), plan(2, "300"));
    let unreadable = plan(3, "\"300\"");
    assert_eq!(goal_ms(&first), Some(Some(120)));
    assert_eq!(goal_ms(&first), Some(Some(120)));
    assert_eq!(goal_ms(&second), Some(Some(300)));
    assert_eq!(goal_ms(&unreadable), None);
    assert_eq!(goal_ms(&second), Some(Some(300)));
}
