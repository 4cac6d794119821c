//! Which upstreams are held to fail, on how much evidence, and for how long.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{net::SocketAddrV4, sync::Arc};

use policy::token::outlier::{OutlierDetector, RequestEnd};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{ROUTE, at};

const GOOD: RequestEnd = RequestEnd::Answered(780);
const ERROR: RequestEnd = RequestEnd::Answered(150);

fn route() -> SocketAddrV4 {
    ROUTE.parse().unwrap()
}

fn service() -> Arc<str> {
    Arc::from("booking")
}

/// Fourteen upstreams that have answered five requests each by 1,000 ms.
fn calm() -> OutlierDetector {
    let mut outcomes = OutlierDetector::default();
    for number in 0..70 {
        end(&mut outcomes, 1_000, number % 14, GOOD);
    }
    outcomes
}

fn end(outcomes: &mut OutlierDetector, ms: u64, id: u64, ended: RequestEnd) -> bool {
    outcomes.record_end(at(ms), route(), id, &service(), ended)
}

fn cost(outcomes: &OutlierDetector, ms: u64, id: u64) -> f32 {
    outcomes.cost(at(ms), id, &service())
}

#[test]
fn one_failure_weighs_little_against_a_few_and_not_for_long() {
    let mut outcomes = calm();
    assert!(end(&mut outcomes, 1_000, 3, ERROR));
    let one = cost(&outcomes, 1_000, 3);
    assert!(one < 8.0, "{one}");
    assert!(cost(&outcomes, 9_000, 3) < 4.0);
    for _ in 0..3 {
        end(&mut outcomes, 1_000, 3, ERROR);
    }
    assert!(cost(&outcomes, 1_000, 3) > 3.0 * one);
    assert!(cost(&outcomes, 1_000, 4) <= 1.0);
}

#[test]
fn failures_are_forgiven_step_by_step() {
    let mut outcomes = calm();
    for _ in 0..5 {
        end(&mut outcomes, 1_000, 3, RequestEnd::Unanswered);
    }
    let costs = [1_000, 4_000, 8_000, 12_000].map(|ms| cost(&outcomes, ms, 3));
    assert!(costs.is_sorted_by(|a, b| a > b), "{costs:?}");
    assert!(cost(&outcomes, 30_000, 3) <= 1.0);
    outcomes.reset(3);
    assert!(cost(&outcomes, 1_000, 3) <= 1.0);
}

#[test]
fn a_service_that_fails_as_a_whole_makes_few_of_its_upstreams_suspicious() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut outcomes = calm();
        for number in 0..84 {
            let ended = match random.random_bool(0.4) {
                true => RequestEnd::Unanswered,
                false => GOOD,
            };
            end(&mut outcomes, 2_000, number % 14, ended);
        }
        let dear = (0..14).filter(|id| cost(&outcomes, 2_000, *id) > 5.0);
        assert!(dear.count() <= 14 / 5, "seed {seed}");
    }
}

#[test]
fn answers_of_any_size_are_no_failures_where_all_vary() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut outcomes = OutlierDetector::default();
    for number in 0..1_400 {
        let bytes = random.random_range(100..10_000);
        end(
            &mut outcomes,
            number,
            number % 14,
            RequestEnd::Answered(bytes),
        );
    }
    let dear = (0..14).filter(|id| cost(&outcomes, 1_400, *id) > 5.0);
    assert_eq!(dear.count(), 0);
}

#[test]
fn an_upstream_that_never_answers_is_found_beside_others_that_fail_at_times() {
    let mut outcomes = calm();
    for number in 0..140 {
        let ended = match number % 14 {
            3 => RequestEnd::Unanswered,
            _ if number % 10 == 0 => ERROR,
            _ => GOOD,
        };
        end(&mut outcomes, 2_000, number % 14, ended);
    }
    let dear: Vec<u64> = (0..14)
        .filter(|id| cost(&outcomes, 2_000, *id) > 5.0)
        .collect();
    assert_eq!(dear, [3]);
}

#[test]
fn each_change_of_a_verdict_is_told_once() {
    let mut outcomes = calm();
    let service = service();
    let look = |outcomes: &mut OutlierDetector, ms| {
        let outlier_changes = outcomes.outlier_changes(at(ms), |_| Some(&service));
        let told = outlier_changes.iter().map(|v| (v.id, v.is_failing));
        told.collect::<Vec<(u64, bool)>>()
    };
    assert_eq!(look(&mut outcomes, 1_000), []);
    for _ in 0..4 {
        end(&mut outcomes, 1_000, 3, ERROR);
    }
    assert_eq!(look(&mut outcomes, 1_000), [(3, true)]);
    assert_eq!(look(&mut outcomes, 1_500), []);
    assert_eq!(look(&mut outcomes, 40_000), [(3, false)]);
    assert_eq!(look(&mut outcomes, 41_000), []);
}
