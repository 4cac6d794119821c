//! Refusals of overloaded upstreams, by the size of the answer.
//!
//! Answers bypass entry VMs, so that a refusal shows only in the number of bytes that the client
//! acknowledges. The intended load has routes whose answers differ widely in size: there, half of
//! the usual size is an ordinary answer. A refusal is smaller than nearly all answers.

use std::{collections::BTreeMap, net::SocketAddrV4};

/// Fraction of a small answer of the route below which an answer is a refusal.
const REFUSAL_RATIO: f32 = 0.6;

/// Share of the answers that are smaller than what counts as a small answer.
const SMALL_SHARE: f32 = 0.1;

/// Relative change of the size of a small answer for each answer.
const SIZE_STEP: f32 = 0.02;

/// Factor of that change for an answer that seems to be a refusal. It still counts a little, since
/// the answers of the route may have become smaller for good.
const REFUSAL_WEIGHT: f32 = 0.05;

/// Number of answers of a route before any counts as a refusal. The smallest of them is the first
/// estimate of a small answer.
const WARM_UP_ANSWERS: u32 = 8;

/// Size of a small answer of one route.
#[derive(Debug, Clone, Copy, Default)]
struct SmallSize {
    bytes: f32,
    answers: u32,
}

/// Sizes of small answers by route.
#[derive(Debug, Clone, Default)]
pub struct AnswerSizes {
    routes: BTreeMap<SocketAddrV4, SmallSize>,
}

impl AnswerSizes {
    /// Records the size of an answer that took about the usual time, so that it is probably not a
    /// refusal of a full upstream.
    pub fn record(&mut self, route: SocketAddrV4, bytes: u32) {
        let is_refusal = self.is_refusal(route, bytes) == Some(true);
        let small = self.routes.entry(route).or_default();
        let bytes = size(bytes);
        if small.answers < WARM_UP_ANSWERS {
            small.bytes = match small.answers {
                0 => bytes,
                _ => small.bytes.min(bytes),
            };
            small.answers += 1;
            return;
        }
        let step = match bytes < small.bytes {
            true => SMALL_SHARE - 1.0,
            false => SMALL_SHARE,
        };
        let weight = match is_refusal {
            true => REFUSAL_WEIGHT,
            false => 1.0,
        };
        small.bytes *= 1.0 + SIZE_STEP * step * weight;
    }

    /// Reports whether an answer of `bytes` bytes on `route` is smaller than nearly all others; none
    /// if too few answers are known.
    #[must_use]
    pub fn is_refusal(&self, route: SocketAddrV4, bytes: u32) -> Option<bool> {
        let small = self.routes.get(&route);
        let small = small.filter(|s| s.answers >= WARM_UP_ANSWERS)?;
        Some(size(bytes) < small.bytes * REFUSAL_RATIO)
    }

    /// Removes routes for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.routes.retain(|route, _| is_known(*route));
    }
}

fn size(bytes: u32) -> f32 {
    // Most answers are below the precision of f32, and larger ones don't need it.
    #[expect(clippy::cast_precision_loss)]
    let size = bytes as f32;
    size
}
