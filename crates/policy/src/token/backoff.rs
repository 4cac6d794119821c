//! Random waits that let a few of many VMs act first, so that the others are told before they act.
//!
//! Truncated exponential back-off, as for feedback of large groups in RFC 5401: of any number of
//! VMs about one acts at once, and e times as many in each further [`BACKOFF_SCALE_MS`]. Whoever is told
//! nothing in time acts as well, so that nothing depends on another VM.

use rand::Rng;

/// Time in which the number of VMs that act grows by e, in milliseconds: a probe that gets no answer
/// ends after that, and is then told.
const BACKOFF_SCALE_MS: f32 = 250.0;

/// A wait of one of `peers` VMs, in milliseconds.
#[must_use]
pub fn random_backoff_ms(peers: u32, random: &mut impl Rng) -> u64 {
    if peers <= 1 {
        return 0;
    }
    // Counts of VMs are far below the precision of the type, and waits are a few seconds.
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
