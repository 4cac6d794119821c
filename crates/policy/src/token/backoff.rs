//! Random waits that let a few of many VMs act first, so that the others receive a report before
//! they act.
//!
//! The waits follow the truncated exponential back-off for feedback of large groups in RFC 5401: of
//! any number of VMs, about one acts at once, and e times as many within each further
//! `BACKOFF_SCALE_MS`. A VM that receives no report in time acts as well, so that no VM depends on
//! another.

use rand::Rng;

/// Time in milliseconds in which the number of VMs that act grows by the factor e. A probe without
/// an answer ends within this time, and its result is then reported.
const BACKOFF_SCALE_MS: f32 = 250.0;

/// Returns the random wait of one of `peers` VMs, in milliseconds.
#[must_use]
pub fn random_backoff_ms(peers: u32, random: &mut impl Rng) -> u64 {
    if peers <= 1 {
        return 0;
    }
    // Counts of VMs are far below the precision of f32, and waits are a few seconds.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let ms = {
        let rank = random.random::<f32>() * peers as f32;
        (BACKOFF_SCALE_MS * rank.max(1.0).ln()) as u64
    };
    ms
}
