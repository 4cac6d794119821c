//! Simulation of a surge beyond the capacity of a service, without a network, to compare what
//! clients get with and without admission.
//!
//! A third of the size of the deployment that admission is made for: 28 entry VMs in front of 40
//! upstreams with two slots and a queue of eight requests. Token checks (priority 1) open a flow
//! for one request of 52 ms, feeds (priority 2) send a request of 40 ms about every two seconds
//! over one flow. For 8 s the load is four times as high as before. A full upstream answers with a
//! refusal after 180 ms; a client tries again on another flow, at most twice. The table in
//! docs/design/admission.md comes from
//! `cargo test -p policy --test token_surge -- --nocapture`.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod results;
mod simulation;
#[path = "../token_support/mod.rs"]
mod token_support;

use results::ratio;
use simulation::{Class, END_MS, Load, SURGE, SURGE_END_MS, SURGE_START_MS, Simulation, UPSTREAMS};

/// Runs a load without and with terms.
fn compare(load: Load, seed: u64) -> [Simulation; 2] {
    [false, true].map(|has_terms| {
        let ended = Simulation::new(Load { has_terms, ..load }, seed).run();
        ended.print();
        ended
    })
}

/// Guards against a surge in which each class loses the same share, or slots idle.
#[test]
fn surge_costs_feeds_before_checks_and_slots_stay_busy() {
    for seed in 0..3 {
        let [before, after] = compare(SURGE, seed);
        let sum = |s: &Simulation, class| s.sum(class, SURGE_START_MS, SURGE_END_MS);
        let check = sum(&after, Class::Check);
        assert!(check.in_time_share() >= 0.97, "{check:?}");
        assert!(sum(&before, Class::Check).in_time_share() < 0.8);
        assert_eq!(check.no_room, 0, "feeds were not at their floor");
        assert!(after.busy_share() >= 0.95, "{}", after.busy_share());
        let feed = sum(&after, Class::Feed);
        assert!(feed.in_time_share() >= 0.72, "{feed:?}");
        assert!(after.refused_share() <= 0.15, "{}", after.refused_share());
        // The first second is over before refusals can be seen and acted on.
        let steady = after.sum(Class::Check, SURGE_START_MS + 1_000, SURGE_END_MS);
        let refused = ratio(steady.refused, steady.attempts);
        assert!((0.03..0.16).contains(&refused), "{refused}");
    }
}

/// Guards against retries or late signals that keep the share low after a surge, and against shares
/// that swing between full and floor.
#[test]
fn share_follows_a_step_of_load_without_swings_and_returns_within_a_second() {
    for seed in 0..3 {
        let ended = Simulation::new(SURGE, seed).run();
        let share_at = |ms: u64| ended.shares.iter().find(|(at, _)| *at == ms).unwrap().1;
        assert!(share_at(SURGE_START_MS) >= 1.0);
        assert!(share_at(SURGE_START_MS + 1_500) < 0.45);
        let steady = (SURGE_START_MS + 2_000..=SURGE_END_MS).step_by(500);
        let steady: Vec<f32> = steady.map(share_at).collect();
        assert!(steady.iter().all(|s| *s < 0.45), "{steady:?}");
        let steps = steady.windows(2).map(|pair| (pair[1] - pair[0]).abs());
        assert!(steps.fold(0.0, f32::max) < 0.2, "{steady:?}");
        let after = [500, 1_000, 1_500].map(|ms| share_at(SURGE_END_MS + ms));
        assert!(after[1] >= 0.95, "{after:?}");
        assert!(share_at(SURGE_END_MS + 2_000) >= 1.0);
        assert!(ended.recovery_ms() <= 1_000, "{}", ended.recovery_ms());
    }
}

/// Guards against checks that starve while the remaining upstreams hold open feeds.
#[test]
fn checks_are_served_after_half_of_the_upstreams_crashed() {
    for seed in 0..3 {
        let crash = Load {
            name: "half of the upstreams crash at 2.6 times",
            surge_tenths: 26,
            stopped: UPSTREAMS / 2,
            ..SURGE
        };
        let [before, after] = compare(crash, seed);
        let check = |s: &Simulation| s.sum(Class::Check, SURGE_START_MS, SURGE_END_MS);
        assert!(check(&before).in_time_share() < 0.6);
        assert!(check(&after).in_time_share() >= 0.94, "{:?}", check(&after));
        assert!(after.busy_share() >= 0.95, "{}", after.busy_share());
        assert!(after.recovery_ms() <= 1_000, "{}", after.recovery_ms());
    }
}

/// Guards against VMs without a common clock, which decide differently on the retries of a caller.
#[test]
fn checks_are_served_without_a_common_clock() {
    let load = Load {
        name: "surge, clocks differ",
        clocks_differ: true,
        ..SURGE
    };
    let ended = Simulation::new(load, 0).run();
    ended.print();
    let check = ended.sum(Class::Check, SURGE_START_MS, SURGE_END_MS);
    assert!(check.in_time_share() >= 0.95, "{check:?}");
}

/// Guards against decisions or random draws that differ although there is room.
#[test]
fn decisions_are_the_same_with_room() {
    for surge_tenths in [10, 18] {
        let load = Load {
            name: "room for all",
            surge_tenths,
            ..SURGE
        };
        let [without, with] = compare(load, 1);
        assert!(without.decisions > 10_000);
        assert_eq!(without.trace, with.trace);
        assert_eq!(without.results, with.results);
    }
}

/// Guards against refusals here because a few upstreams refuse requests that others would serve.
#[test]
fn failing_upstreams_among_good_ones_cause_no_refusals() {
    for failing in [1, 3, 6] {
        let load = Load {
            name: "failing upstreams",
            surge_tenths: 20,
            failing,
            ..SURGE
        };
        let [_, after] = compare(load, failing);
        let refused = [Class::Check, Class::Feed].map(|c| after.sum(c, 0, END_MS).no_room);
        assert_eq!(refused, [0, 0], "{failing} failing");
    }
}

/// Guards against a shortage that isn't seen where crashed upstreams are still listed, and where
/// clients and crashes are spread unevenly over failure domains.
#[test]
fn feeds_give_way_after_silent_crashes_in_uneven_domains() {
    for (crashed, clients) in [
        ([5, 5, 5, 5], [25, 25, 25, 25]),
        ([2, 8, 3, 7], [40, 30, 20, 10]),
        ([10, 0, 9, 1], [40, 30, 20, 10]),
    ] {
        for seed in 0..3 {
            let crash = Load {
                name: "half of the upstreams crash silently",
                surge_tenths: 26,
                crashed,
                clients,
                ..SURGE
            };
            let [before, after] = compare(crash, seed);
            let check = |s: &Simulation| s.sum(Class::Check, SURGE_START_MS, SURGE_END_MS);
            assert!(check(&before).in_time_share() < 0.6);
            assert!(check(&after).in_time_share() >= 0.85, "{:?}", check(&after));
            assert!(after.refused_share() <= 0.3, "{}", after.refused_share());
            assert!(after.busy_share() >= 0.95, "{}", after.busy_share());
        }
    }
}
