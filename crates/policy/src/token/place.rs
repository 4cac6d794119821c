//! Which upstream takes a new flow.
//!
//! The load that it answers: many entry VMs, each of which sees a small part of the flows, before
//! upstreams with two or three slots; long flows with a request each second, and flows of one
//! request. An entry VM counts the requests that it passed on lately, draws a few upstreams and
//! takes the one with the least of them for each slot. Drawing keeps VMs that know little from
//! choosing the same upstream at once, such as one that has just become ready.

use std::sync::Arc;

use model::name::Name;
use rand::Rng;

use super::{
    directory::{Directory, Upstream},
    sight::Sights,
};
use crate::time::Instant;

/// Upstreams that are drawn for one flow.
const DRAWN: usize = 3;

/// How much more load an upstream of this VM's own failure domain may bear before another is
/// preferred: bytes between failure domains cost.
const OWN_DOMAIN_SHARE: f32 = 1.3;

/// What a choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// Service that is wanted.
    pub service: &'a Arc<str>,
    /// Failure domain of this VM.
    pub domain: &'a Name,
    /// Failure domains that get nothing new.
    pub out: &'a [Name],
    /// Upstream that the flow was sent to before, without an answer.
    pub tried: Option<u64>,
}

/// Chooses an upstream for a new flow; none where no upstream may take one.
pub fn choose<'a>(
    now: Instant,
    question: Question<'_>,
    directory: &'a Directory,
    sights: &Sights,
    random: &mut impl Rng,
) -> Option<&'a Upstream> {
    let takes = |u: &&Upstream| u.takes_flows(now) && !question.out.contains(&u.announced.domain);
    let all: Vec<&Upstream> = directory
        .of_service(question.service)
        .filter(takes)
        .collect();
    let id = |u: &Upstream| u.announced.incarnation.id;
    let is_untried = |u: &&&Upstream| question.tried != Some(id(u));
    let good: Vec<&Upstream> = all
        .iter()
        .filter(|u| is_untried(u) && !sights.is_avoided(now, id(u)))
        .copied()
        .collect();
    let own: Vec<&Upstream> = good
        .iter()
        .filter(|u| u.announced.domain == *question.domain)
        .copied()
        .collect();
    // One that seems silent is better than none, and one that was tried better than a refusal.
    let untried: Vec<&Upstream> = all.iter().filter(is_untried).copied().collect();
    let pool = [own, good, untried, all].into_iter().find(|p| !p.is_empty())?;
    let cost = |u: &Upstream| {
        #[expect(clippy::cast_precision_loss)]
        let slots = u.announced.slots.max(1) as f32;
        let share = match u.announced.domain == *question.domain {
            true => OWN_DOMAIN_SHARE,
            false => 1.0,
        };
        (sights.load(now, id(u)) + 1.0) / (slots * share)
    };
    let drawn = (0..DRAWN).map(|_| pool[random.random_range(0..pool.len())]);
    drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
