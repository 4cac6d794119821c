//! Which upstream takes a new flow.
//!
//! The load that it answers: many entry VMs, each of which sees a small part of the flows, before
//! upstreams with two or three slots; long flows with a request each second, and flows of one
//! request. An entry VM counts the requests that it passed on lately, draws a few upstreams and
//! takes the one with the least of them for each slot. Drawing keeps VMs that know little from
//! choosing the same upstream at once, such as one that has just become ready.

use std::{collections::BTreeMap, sync::Arc};

use model::name::Name;
use rand::Rng;

use super::directory::{Directory, Upstream};
use crate::time::Instant;

/// Upstreams that are drawn for one flow.
const DRAWN: usize = 3;

/// Time in which a request's weight falls to 1/e, in milliseconds.
const MEMORY_MS: f32 = 2_000.0;

/// How much more load an upstream of this VM's own failure domain may bear before another is
/// preferred: bytes between failure domains cost.
const OWN_DOMAIN_SHARE: f32 = 1.3;

/// First time for which an upstream that did not answer gets no new flows, in milliseconds;
/// doubles with each further time.
const FIRST_AVOID_MS: u64 = 1_000;

/// Longest time for which an upstream that did not answer gets no new flows, in milliseconds.
const MAX_AVOID_MS: u64 = 4_000;

/// What this VM saw of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sight {
    /// Requests passed on lately, each weighted by its age, as of `at`.
    load: f32,
    at: Instant,
    /// When a client last took up a flow with it.
    answered_at: Option<Instant>,
    /// Opening packets that it left unanswered in a row.
    unanswered: u32,
    /// Until when it gets no new flows where there is another.
    avoided_until: Instant,
}

impl Sight {
    fn load(&self, now: Instant) -> f32 {
        // Spans are milliseconds to minutes, so the loss of precision doesn't matter.
        #[expect(clippy::cast_precision_loss)]
        let age_ms = now.ms_since(self.at) as f32;
        self.load * (-age_ms / MEMORY_MS).exp()
    }
}

/// What this VM saw of all upstreams, by id.
#[derive(Debug, Clone, Default)]
pub struct Sights(BTreeMap<u64, Sight>);

impl Sights {
    /// Notes a request that was passed on.
    pub fn request(&mut self, now: Instant, id: u64) {
        let sight = self.0.entry(id).or_default();
        sight.load = sight.load(now) + 1.0;
        sight.at = now;
    }

    /// Notes that a client has taken up a flow with the upstream.
    pub fn answered(&mut self, now: Instant, id: u64) {
        let sight = self.0.entry(id).or_default();
        sight.answered_at = Some(now);
        sight.unanswered = 0;
        sight.avoided_until = Instant::ZERO;
    }

    /// Notes that an opening packet has had no answer. Returns how many in a row had none.
    pub fn unanswered(&mut self, now: Instant, id: u64) -> u32 {
        let sight = self.0.entry(id).or_default();
        sight.unanswered += 1;
        let doublings = (sight.unanswered - 1).min(8);
        let avoid_ms = (FIRST_AVOID_MS << doublings).min(MAX_AVOID_MS);
        sight.avoided_until = now.plus_ms(avoid_ms);
        sight.unanswered
    }

    /// Whether the upstream has answered anyone since `moment`.
    #[must_use]
    pub fn has_answered_since(&self, id: u64, moment: Instant) -> bool {
        let answered_at = self.0.get(&id).and_then(|s| s.answered_at);
        answered_at.is_some_and(|at| at >= moment)
    }

    /// Forgets upstreams that the directory has forgotten.
    pub fn retain(&mut self, directory: &Directory) {
        self.0.retain(|id, _| directory.get(*id).is_some());
    }

    fn is_avoided(&self, now: Instant, id: u64) -> bool {
        self.0.get(&id).is_some_and(|s| now < s.avoided_until)
    }

    fn load(&self, now: Instant, id: u64) -> f32 {
        self.0.get(&id).map_or(0.0, |s| s.load(now))
    }
}

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
