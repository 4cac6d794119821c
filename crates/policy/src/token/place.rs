//! Which upstream takes a new flow.
//!
//! The load that it answers: many entry VMs, each of which sees a small part of the flows, before
//! upstreams with two or three slots; long flows with a request each second, and flows of one
//! request. A flow stays in this VM's failure domain, so that cuts between domains don't concern
//! it, unless answers show that the domain is overloaded. There, a few upstreams are drawn, and the
//! one with the least requests of this VM for each slot, weighed with how slow it is, takes it.
//! Drawing keeps VMs that know little from choosing the same upstream at once, such as one that has
//! just become ready.

use std::{collections::BTreeSet, sync::Arc};

use model::name::Name;
use rand::Rng;

use super::{
    delay::Delays,
    directory::{Directory, Upstream},
    sight::Sights,
};
use crate::time::Instant;

/// Upstreams that are drawn for one flow.
const DRAWN: usize = 3;

/// Requests, for each slot, that each upstream is taken to bear beside those of this VM.
const BACKGROUND: f32 = 1.0;

/// How many times its even share of the slots a failure domain is taken to need; a domain with less
/// than that part of its share has to lend flows to the others from the start.
const HEADROOM: f32 = 2.0;

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
    delays: &Delays,
    random: &mut impl Rng,
) -> Option<&'a Upstream> {
    let takes = |u: &&Upstream| u.takes_flows(now) && !question.out.contains(&u.announced.domain);
    let all: Vec<&Upstream> = directory
        .of_service(question.service)
        .filter(takes)
        .collect();
    let id = |u: &Upstream| u.announced.incarnation.id;
    let is_untried = |u: &&&Upstream| question.tried != Some(id(u));
    let good: Vec<&'a Upstream> = all
        .iter()
        .filter(|u| is_untried(u) && !sights.is_avoided(now, id(u)))
        .copied()
        .collect();
    let is_own = |u: &&'a Upstream| u.announced.domain == *question.domain;
    let (own, others): (Vec<&'a Upstream>, Vec<&'a Upstream>) =
        good.iter().copied().partition(is_own);
    let lacking = lacking(&own, &others);
    let slower = delays.leaving(now, question.service, question.domain);
    let leaving = lacking.max(slower);
    let leaves = leaving > 0.0 && random.random::<f32>() < leaving;
    let near = match leaves && !others.is_empty() {
        true => others,
        false => own,
    };
    // One that seems silent is better than none, and one that was tried better than a refusal.
    let untried: Vec<&Upstream> = all.iter().filter(is_untried).copied().collect();
    let pools = [near, good, untried, all];
    let pool = pools.into_iter().find(|p| !p.is_empty())?;
    let cost = |u: &Upstream| {
        #[expect(clippy::cast_precision_loss)]
        let slots = u.announced.slots.max(1) as f32;
        let slowness = delays.slowness(now, id(u), question.service);
        (sights.load(now, id(u)) / slots + BACKGROUND) * slowness
    };
    let drawn = (0..DRAWN).map(|_| pool[random.random_range(0..pool.len())]);
    drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// The part of the new flows for which the own failure domain has too few slots, where each domain
/// gets as many.
fn lacking(own: &[&Upstream], others: &[&Upstream]) -> f32 {
    // Slots are far below the precision of the type.
    #[expect(clippy::cast_precision_loss)]
    let slots = |all: &[&Upstream]| all.iter().map(|u| u.announced.slots as f32).sum::<f32>();
    let other_domains: BTreeSet<&Name> = others.iter().map(|u| &u.announced.domain).collect();
    #[expect(clippy::cast_precision_loss)]
    let domains = (other_domains.len() + 1) as f32;
    let (own, others) = (slots(own), slots(others));
    if own == 0.0 || others == 0.0 {
        return 0.0;
    }
    (1.0 - HEADROOM * domains * own / (own + others)).max(0.0)
}
