//! Share of new flows that leaves a failure domain, by the levels of the domains.
//!
//! The intended load is clients that are unevenly distributed over failure domains, or move between
//! them. A domain's level is the demand at its upstreams over their capacity. All VMs of a domain
//! compute the share from the same view, so that together they send away about as much as the
//! levels require.
//!
//! The level of the own domain already contains the effect of the share so far. The share is
//! therefore adjusted from its last value instead of computed from the levels alone; otherwise the
//! flows would return as soon as the levels are equal.

/// Level of the own domain above which flows may leave it.
const BEGIN_LEVEL: f32 = 0.7;

/// Level that the own domain would have with all its flows, below which they return.
const END_LEVEL: f32 = 0.6;

/// Difference by which the level of another domain must be lower for flows to begin to leave.
const MIN_DIFFERENCE: f32 = 0.1;

/// Number of successive steps with such levels after which flows begin to leave. Levels vary by
/// chance, and those of other domains are up to 4 s old.
const BEGIN_STEPS: u8 = 2;

/// Difference between levels that is regarded as equal. Levels vary by a few hundredths from one
/// second to the next.
const TOLERANCE: f32 = 0.03;

/// Part of the required change that is applied in a step. The view is up to two steps old, and a
/// larger part would overshoot.
const STEP_GAIN: f32 = 0.5;

/// Factor of the share in a step while the levels are equal, so that a share that began by a
/// variation of the levels ends again.
const EQUAL_DECAY: f32 = 0.95;

/// Change of the own level in a step from which on the level counts as moving. While the level
/// moves in the right direction, the share waits; otherwise it would overshoot where flows are long
/// and the level follows slowly.
const MIN_MOVE: f32 = 0.004;

/// Maximum share of new flows that leaves the domain, so that the view of the domain stays fresh.
const MAX_SHARE: f32 = 0.9;

/// Interval of the steps in milliseconds; that of the summaries of control VMs.
pub const STEP_MS: u64 = 1_000;

/// Demand and capacity of a failure domain, in slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Domain {
    /// Slots that open flows are expected to occupy.
    pub demand: f32,
    /// Slots, each divided by the slowness of its upstream.
    pub capacity: f32,
}

impl Domain {
    /// Returns demand over capacity.
    #[must_use]
    pub fn level(self) -> f32 {
        self.demand / self.capacity.max(f32::MIN_POSITIVE)
    }
}

/// State of the balance between the own domain and the others.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Balance {
    /// Share of new flows that leaves the own domain.
    pub share: f32,
    /// Level of the own domain at the last step.
    last_level: Option<f32>,
    /// Number of successive steps in which the levels required that flows leave.
    steps_above: u8,
}

impl Balance {
    /// Returns the state after a further step, given the current domains other than the own one
    /// that may get flows.
    #[must_use]
    pub fn step(self, own: Domain, others: &[Domain]) -> Self {
        let level = own.level();
        let kept = 1.0 - self.share;
        let lowest = others.iter().map(|d| d.level()).min_by(f32::total_cmp);
        let begins = lowest.is_some_and(|l| level > BEGIN_LEVEL && level - l > MIN_DIFFERENCE);
        let steps_above = match lowest {
            None => self.steps_above,
            Some(_) if begins => self.steps_above.saturating_add(1),
            Some(_) => 0,
        };
        let share = match lowest {
            None => self.share,
            Some(_) if self.share == 0.0 && steps_above < BEGIN_STEPS => 0.0,
            Some(_) if level / kept < END_LEVEL => 0.0,
            Some(_) => {
                let goal = equal_level(own, others);
                let moved = level - self.last_level.unwrap_or(level);
                let is_approaching = (goal - level) * moved > 0.0 && moved.abs() > MIN_MOVE;
                match (goal - level).abs() <= TOLERANCE {
                    true => self.share * EQUAL_DECAY,
                    false if is_approaching => self.share,
                    false => {
                        let ratio = goal / level.max(f32::MIN_POSITIVE);
                        let change = kept * (ratio - 1.0) * STEP_GAIN;
                        (1.0 - kept - change).clamp(0.0, MAX_SHARE)
                    }
                }
            }
        };
        Self {
            share,
            last_level: Some(level),
            steps_above,
        }
    }
}

/// Returns the weight of another domain in the draw for a leaving flow. The weight falls to 0 as the
/// level of that domain rises, without a jump.
#[must_use]
pub fn receiver_weight(own: Domain, other: Domain) -> f32 {
    let below = own.level() + MIN_DIFFERENCE - other.level();
    below.max(0.0) * other.capacity
}

/// Returns the level that the own domain and the less loaded ones have after the own demand was
/// spread over them. If no domain is less loaded, the own one takes demand back from the lowest.
fn equal_level(own: Domain, others: &[Domain]) -> f32 {
    let mut by_level = others.to_vec();
    by_level.sort_by(|a, b| a.level().total_cmp(&b.level()));
    let mut pool = own;
    for (position, other) in by_level.iter().enumerate() {
        if position > 0 && other.level() >= pool.level() {
            break;
        }
        pool.demand += other.demand;
        pool.capacity += other.capacity;
    }
    pool.level()
}
