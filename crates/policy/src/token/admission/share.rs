//! The share of new flows of each class that is admitted.

use super::signal::Pressure;

/// Smallest share of a class, so that none is starved and its recovery can be seen.
pub(super) const FLOOR: f32 = 0.1;

/// Refused share of a service's requests above which the lowest class falls.
const FALL_REFUSED: f32 = 0.1;

/// Refused share below which the lowest class rises. At a share between the two, slots are busy and
/// few attempts are wasted.
const RISE_REFUSED: f32 = 0.05;

/// Refused share above which a higher class falls once all lower ones are at their floor. With
/// three attempts a request still succeeds with probability 0.94, so that refusing it here would
/// cost more than trying.
const HIGHER_FALL_REFUSED: f32 = 0.4;

/// Refused share below which a higher class rises.
const HIGHER_RISE_REFUSED: f32 = 0.2;

/// Part of a share that is lost in a step for each unit of refused share above the limit.
const FALL_GAIN: f32 = 1.5;

/// Largest part of a share that is lost in a step. From full admission to the floor takes 7 steps.
const MAX_FALL: f32 = 0.4;

/// Gain of a share in a step without refusals while queues are still long.
const RISE: f32 = 0.1;

/// Gain of a share in a step after queues have become short, so that full admission returns in three
/// steps.
const FAST_RISE: f32 = 0.34;

/// Number of steps in a row with short queues after which the load counts as gone; a single one may
/// be chance.
const CALM_STEPS: u64 = 2;

/// Admitted shares of the classes of a service.
#[derive(Debug, Clone)]
pub(super) struct Shares {
    /// Share of each class, the highest precedence first. Invariant: from `FLOOR` to 1, and below 1
    /// only if all lower classes are at `FLOOR` or rising.
    by_rank: Vec<f32>,
    is_short: bool,
    /// Number of steps in a row in which queues were short.
    calm_steps: u64,
}

impl Shares {
    /// Creates full shares for `classes` classes.
    pub(super) fn new(classes: usize) -> Self {
        Self {
            by_rank: vec![1.0; classes],
            is_short: false,
            calm_steps: 0,
        }
    }

    /// Returns the share of a class; 1 for an unknown class.
    pub(super) fn of(&self, rank: usize) -> f32 {
        self.by_rank.get(rank).copied().unwrap_or(1.0)
    }

    /// Reports whether capacity is short.
    pub(super) fn is_short(&self) -> bool {
        self.is_short
    }

    /// Changes the shares after `steps` steps of time. Shares fall by at most one step, because the
    /// pressure of the steps before is unknown.
    pub(super) fn step(&mut self, pressure: Pressure, steps: u64) {
        if !self.is_short {
            if !pressure.is_shortage {
                return;
            }
            self.is_short = true;
        }
        self.calm_steps = match pressure.are_queues_short {
            true => self.calm_steps.saturating_add(steps),
            false => 0,
        };
        let is_calm = self.calm_steps >= CALM_STEPS;
        let refused = pressure.level();
        let lowest = self.by_rank.len().saturating_sub(1);
        if pressure.is_spread
            && !is_calm
            && let Some(rank) = self.by_rank.iter().rposition(|share| *share > FLOOR)
        {
            let limit = match rank == lowest {
                true => FALL_REFUSED,
                false => HIGHER_FALL_REFUSED,
            };
            if refused > limit {
                let fall = ((refused - limit) * FALL_GAIN).min(MAX_FALL);
                let share = &mut self.by_rank[rank];
                *share = (*share * (1.0 - fall)).max(FLOOR);
                return;
            }
        }
        for _ in 0..steps {
            self.rise(refused, is_calm);
        }
    }

    fn rise(&mut self, refused: f32, is_calm: bool) {
        let lowest = self.by_rank.len().saturating_sub(1);
        let Some(rank) = self.by_rank.iter().position(|share| *share < 1.0) else {
            self.is_short = refused >= RISE_REFUSED && !is_calm;
            return;
        };
        let limit = match rank == lowest {
            true => RISE_REFUSED,
            false => HIGHER_RISE_REFUSED,
        };
        let gain = match is_calm {
            true => FAST_RISE,
            false => RISE * (1.0 - refused / limit).max(0.0).powi(2),
        };
        let share = &mut self.by_rank[rank];
        *share = (*share + gain).min(1.0);
    }
}
