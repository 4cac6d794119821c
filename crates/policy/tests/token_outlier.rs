//! Detection of upstreams that fail more requests than others: number of failures needed, and decay
//! over time.
//!
//! Too little sensitivity leaves clients with a faulty upstream; too much takes load from healthy
//! upstreams after a few random failures.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{net::SocketAddrV4, sync::Arc};

use policy::token::outlier::{OutlierDetector, RequestEnd};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{ROUTE, at};

const COMPLETE_ANSWER: RequestEnd = RequestEnd::Answered(780);
const ERROR_ANSWER: RequestEnd = RequestEnd::Answered(150);

fn route() -> SocketAddrV4 {
    ROUTE.parse().unwrap()
}

fn service() -> Arc<str> {
    Arc::from("booking")
}

/// Returns a detector with fourteen upstreams that have answered five requests each by 1,000 ms.
fn healthy_detector() -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    for number in 0..70 {
        record_end(&mut detector, 1_000, number % 14, COMPLETE_ANSWER);
    }
    detector
}

fn record_end(detector: &mut OutlierDetector, ms: u64, id: u64, ended: RequestEnd) -> bool {
    detector.record_end(at(ms), route(), id, &service(), ended)
}

fn cost(detector: &OutlierDetector, ms: u64, id: u64) -> f32 {
    detector.cost(at(ms), id, &service())
}

#[test]
fn single_failure_costs_much_less_than_a_few_and_decays() {
    let mut detector = healthy_detector();
    assert!(record_end(&mut detector, 1_000, 3, ERROR_ANSWER));
    let single_cost = cost(&detector, 1_000, 3);
    assert!(single_cost < 8.0, "cost {single_cost}");
    assert!(cost(&detector, 9_000, 3) < 4.0);
    for _ in 0..3 {
        record_end(&mut detector, 1_000, 3, ERROR_ANSWER);
    }
    assert!(cost(&detector, 1_000, 3) > 3.0 * single_cost);
    assert!(cost(&detector, 1_000, 4) <= 1.0);
}

#[test]
fn cost_of_failures_decays_over_time_and_is_reset_by_restart() {
    let mut detector = healthy_detector();
    for _ in 0..5 {
        record_end(&mut detector, 1_000, 3, RequestEnd::Unanswered);
    }
    let costs = [1_000, 4_000, 8_000, 12_000].map(|ms| cost(&detector, ms, 3));
    assert!(costs.is_sorted_by(|a, b| a > b), "costs {costs:?}");
    assert!(cost(&detector, 30_000, 3) <= 1.0);
    detector.reset(3);
    assert!(cost(&detector, 1_000, 3) <= 1.0);
}

#[test]
fn failures_of_a_whole_service_mark_few_of_its_upstreams() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut detector = healthy_detector();
        for number in 0..84 {
            let ended = match random.random_bool(0.4) {
                true => RequestEnd::Unanswered,
                false => COMPLETE_ANSWER,
            };
            record_end(&mut detector, 2_000, number % 14, ended);
        }
        let costly = (0..14).filter(|id| cost(&detector, 2_000, *id) > 5.0);
        assert!(costly.count() <= 14 / 5, "seed {seed}");
    }
}

#[test]
fn varying_answer_sizes_are_no_failures() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut detector = OutlierDetector::default();
    for number in 0..1_400 {
        let bytes = random.random_range(100..10_000);
        record_end(
            &mut detector,
            number,
            number % 14,
            RequestEnd::Answered(bytes),
        );
    }
    let costly = (0..14).filter(|id| cost(&detector, 1_400, *id) > 5.0);
    assert_eq!(costly.count(), 0);
}

#[test]
fn upstream_without_answers_is_detected_among_others_with_some_failures() {
    let mut detector = healthy_detector();
    for number in 0..140 {
        let ended = match number % 14 {
            3 => RequestEnd::Unanswered,
            _ if number % 10 == 0 => ERROR_ANSWER,
            _ => COMPLETE_ANSWER,
        };
        record_end(&mut detector, 2_000, number % 14, ended);
    }
    let costly: Vec<u64> = (0..14)
        .filter(|id| cost(&detector, 2_000, *id) > 5.0)
        .collect();
    assert_eq!(costly, [3]);
}

#[test]
fn each_outlier_change_is_returned_once() {
    let mut detector = healthy_detector();
    let service = service();
    let take_changes = |detector: &mut OutlierDetector, ms| {
        let outlier_changes = detector.outlier_changes(at(ms), |_| Some(&service));
        let pairs = outlier_changes.iter().map(|c| (c.id, c.is_failing));
        pairs.collect::<Vec<(u64, bool)>>()
    };
    assert_eq!(take_changes(&mut detector, 1_000), []);
    for _ in 0..4 {
        record_end(&mut detector, 1_000, 3, ERROR_ANSWER);
    }
    assert_eq!(take_changes(&mut detector, 1_000), [(3, true)]);
    assert_eq!(take_changes(&mut detector, 1_500), []);
    assert_eq!(take_changes(&mut detector, 40_000), [(3, false)]);
    assert_eq!(take_changes(&mut detector, 41_000), []);
}
