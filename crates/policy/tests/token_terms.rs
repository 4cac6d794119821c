//! Terms of a plan at an entry VM: terms that arrive before, after and without their plan, and terms
//! that don't fit the plan.
//!
//! Guards against a plan that stays without its priorities and limits because its terms arrived in
//! another order or from another control VM, and against terms of one plan applied to another.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::sync::Arc;

use model::plan::{Kind, LOWEST_PRIORITY, RouteTerms, ServiceTerms, Terms};
use policy::token::gateway::{Gateway, terms::TermsEffect};
use token_support::{ROUTE, empty_gateway, plan};

/// Terms of plan `version` with `priority` for the route, and a limit of 100 flows for the service.
fn terms(version: u64, priority: u32) -> Arc<Terms> {
    Arc::new(Terms {
        version,
        routes: vec![RouteTerms {
            address: ROUTE.parse().unwrap(),
            kind: Kind::Safe,
            priority,
            goal_ms: Some(400),
        }],
        services: vec![ServiceTerms {
            name: "booking".into(),
            max_flows: Some(100),
        }],
    })
}

fn priority(gateway: &Gateway) -> u32 {
    gateway.route_terms(ROUTE.parse().unwrap()).priority
}

#[test]
fn without_terms_all_routes_have_one_priority_and_services_no_limit() {
    let mut gateway = empty_gateway();
    assert_eq!(gateway.plan_version_without_terms(), None);
    gateway.apply_plan(plan(1));
    let class = gateway.route_terms(ROUTE.parse().unwrap());
    assert_eq!(
        (class.kind, class.priority),
        (Kind::Unsafe, LOWEST_PRIORITY)
    );
    assert_eq!(class.goal_ms, None);
    assert_eq!(gateway.flow_limit("booking"), None);
    assert_eq!(gateway.plan_version_without_terms(), Some(1));
}

#[test]
fn terms_apply_in_either_order_with_their_plan() {
    let mut after = empty_gateway();
    after.apply_plan(plan(4));
    assert_eq!(after.apply_terms(terms(4, 1)), TermsEffect::Applied);
    let mut before = empty_gateway();
    assert_eq!(before.apply_terms(terms(4, 1)), TermsEffect::Kept);
    assert_eq!(priority(&before), LOWEST_PRIORITY, "the plan is missing");
    before.apply_plan(plan(4));
    for gateway in [after, before] {
        let class = gateway.route_terms(ROUTE.parse().unwrap());
        assert_eq!((class.kind, class.priority), (Kind::Safe, 1));
        assert_eq!(class.goal_ms, Some(400));
        assert_eq!(gateway.flow_limit("booking"), Some(100));
        assert_eq!(gateway.terms_version(), Some(4));
        assert_eq!(gateway.plan_version_without_terms(), None);
    }
}

#[test]
fn terms_of_another_plan_are_not_applied() {
    let mut gateway = empty_gateway();
    gateway.apply_plan(plan(4));
    gateway.apply_terms(terms(4, 1));
    assert_eq!(gateway.apply_terms(terms(3, 2)), TermsEffect::Ignored);
    assert_eq!(gateway.apply_terms(terms(6, 3)), TermsEffect::Kept);
    assert_eq!(gateway.apply_terms(terms(5, 4)), TermsEffect::Ignored);
    assert_eq!(priority(&gateway), 1);
    // The terms of plan 5 were superseded, and those of plan 4 don't apply to it.
    gateway.apply_plan(plan(5));
    assert_eq!(priority(&gateway), LOWEST_PRIORITY);
    assert_eq!(gateway.plan_version_without_terms(), Some(5));
    gateway.apply_plan(plan(6));
    assert_eq!(priority(&gateway), 3);
}

#[test]
fn a_repeated_older_plan_leaves_the_terms_in_force() {
    let mut gateway = empty_gateway();
    gateway.apply_plan(plan(4));
    gateway.apply_terms(terms(4, 1));
    gateway.apply_plan(plan(4));
    gateway.apply_plan(plan(3));
    assert_eq!(priority(&gateway), 1);
}

#[test]
fn unknown_names_and_zeros_in_terms_have_no_effect() {
    let mut gateway = empty_gateway();
    let mut odd = Terms::clone(&terms(4, 1));
    odd.routes[0].goal_ms = Some(0);
    odd.services[0].max_flows = Some(0);
    odd.routes.push(RouteTerms {
        address: "198.18.0.9:443".parse().unwrap(),
        ..odd.routes[0]
    });
    odd.services.push(ServiceTerms {
        name: "gone".into(),
        max_flows: Some(5),
    });
    gateway.apply_terms(Arc::new(odd));
    gateway.apply_plan(plan(4));
    assert_eq!(gateway.unknown_terms(), 2);
    assert_eq!(gateway.flow_limit("gone"), None);
    assert_eq!(gateway.flow_limit("booking"), None);
    assert_eq!(gateway.route_terms(ROUTE.parse().unwrap()).goal_ms, None);
    let other = gateway.route_terms("198.18.0.9:443".parse().unwrap());
    assert_eq!(other.priority, LOWEST_PRIORITY);
}
