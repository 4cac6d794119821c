//! The share of flows that leaves a failure domain, over simulated seconds.

use policy::token::placement::levels::{Balance, Domain, receiver_weight};

const CAPACITY: f32 = 12.0;

fn domain(level: f32) -> Domain {
    Domain {
        demand: level * CAPACITY,
        capacity: CAPACITY,
    }
}

/// Two domains whose clients would occupy `offered` of the capacity of each.
struct Pair {
    offered: [f32; 2],
    levels: [f32; 2],
    balance: Balance,
    /// Part of the flows that end in each second.
    turnover: f32,
}

impl Pair {
    fn new(offered: [f32; 2], turnover: f32) -> Self {
        Self {
            offered,
            levels: offered,
            balance: Balance::default(),
            turnover,
        }
    }

    /// Returns the share and the levels of each of `steps` seconds. The first domain sees the levels of
    /// the second one only every fourth second.
    fn run(&mut self, steps: usize) -> Vec<(f32, [f32; 2])> {
        let mut other = self.levels[1];
        let step = |second| {
            if second % 4 == 0 {
                other = self.levels[1];
            }
            self.balance = self.balance.step(domain(self.levels[0]), &[domain(other)]);
            let moved = self.offered[0] * self.balance.share;
            let goals = [self.offered[0] - moved, self.offered[1] + moved];
            for (level, goal) in self.levels.iter_mut().zip(goals) {
                *level += (goal - *level) * self.turnover;
            }
            (self.balance.share, self.levels)
        };
        (0..steps).map(step).collect()
    }
}

/// Guards against cross-domain flows without need.
#[test]
fn no_flow_leaves_below_the_begin_level_or_without_a_clearly_lower_domain() {
    for offered in [[0.69, 0.1], [0.9, 0.85], [0.5, 0.9]] {
        let run = Pair::new(offered, 1.0).run(30);
        assert!(run.iter().all(|(share, _)| *share == 0.0), "{run:?}");
    }
}

/// Guards against a share that depends on a single measurement.
#[test]
fn a_single_high_measurement_moves_nothing() {
    let balance = Balance::default().step(domain(0.9), &[domain(0.3)]);
    assert_eq!(balance.share, 0.0);
}

/// Guards against flapping, and against levels that stay apart.
#[test]
fn short_flows_equalize_the_levels_without_flapping() {
    let run = Pair::new([1.2, 0.4], 1.0).run(60);
    for (share, [own, other]) in &run[15..] {
        assert!((own - other).abs() < 0.15, "{run:?}");
        assert!((0.25..0.42).contains(share), "{run:?}");
    }
}

/// Guards against a share that grows while the level follows slowly, and then overshoots.
#[test]
fn long_flows_equalize_the_levels_without_overshoot() {
    let run = Pair::new([1.2, 0.4], 1.0 / 30.0).run(180);
    for (_, [own, other]) in &run[60..] {
        assert!((own - other).abs() < 0.25, "{run:?}");
    }
    let least = run.iter().map(|(_, [own, _])| *own).fold(2.0, f32::min);
    assert!(least > 0.65, "{run:?}");
}

/// Guards against a threshold at which the share begins and ends by turns.
#[test]
fn share_ends_at_a_lower_level_than_it_begins() {
    let mut pair = Pair::new([0.8, 0.2], 1.0);
    assert!(pair.run(10).last().is_some_and(|(share, _)| *share > 0.1));
    pair.offered = [0.65, 0.2];
    assert!(pair.run(10).last().is_some_and(|(share, _)| *share > 0.1));
    pair.offered = [0.5, 0.2];
    assert!(pair.run(5).last().is_some_and(|(share, _)| *share == 0.0));
}

/// Guards against a share that is lost when the view of the other domains is missing for a second.
#[test]
fn share_stays_while_no_other_domain_is_known() {
    let mut pair = Pair::new([1.2, 0.4], 1.0);
    pair.run(10);
    let share = pair.balance.share;
    assert!(share > 0.1);
    assert_eq!(pair.balance.step(domain(1.0), &[]).share, share);
}

/// Guards against flows to a domain that is fuller than the own one.
#[test]
fn receivers_are_weighted_by_their_distance_from_the_own_level() {
    let weight = |level| receiver_weight(domain(0.8), domain(level));
    assert!(weight(0.2) > 2.0 * weight(0.6));
    assert_eq!(weight(0.95), 0.0);
}
