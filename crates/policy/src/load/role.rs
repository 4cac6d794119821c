//! The role of steward: the upstreams of one service in this VM's failure domain.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    config,
    key::{hash, mix},
    name::Name,
};

use super::{
    queue::Queue,
    upstream::Upstream,
    work::{Hint, Ledger, Underway},
};
use crate::{history::DEADLINE_GRACE_MS, time::Instant};

/// Time of a request that is assumed before one was seen, in microseconds.
const FIRST_SERVICE_US: u64 = 10_000;

/// Requests that may wait, for each one that the upstreams bear at a time.
const QUEUE_PER_SLOT: usize = 3;

/// Time before a deadline at which a request is given up, in milliseconds; the answer needs it to
/// reach the caller.
pub(crate) const GIVE_UP_MS: u64 = 30;

/// Time between two questions to a home that has not answered, in milliseconds.
const ASK_MS: u64 = 50;

/// Shortest time to come back that is named, in milliseconds.
const MIN_RETRY_MS: u64 = 10;

/// Time to come back when no upstream is there at all, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// What a steward that took over must learn before it admits anything.
#[derive(Debug, Clone)]
pub(crate) struct Settling {
    /// VMs that have not yet said which of their attempts are under way.
    pub(crate) unheard: BTreeSet<Name>,
    /// Attempts of VMs that can't say are over by this moment.
    pub(crate) blind_until: Instant,
    /// When to ask again.
    pub(crate) ask_at: Instant,
}

/// The role of steward for one service.
#[derive(Debug)]
pub(crate) struct Role {
    /// Differs for each time that any VM takes the role.
    pub(crate) epoch: u64,
    /// The upstreams of this failure domain.
    pub(crate) upstreams: BTreeMap<Name, Upstream>,
    /// Requests that wait.
    pub(crate) queue: Queue,
    /// What is still to be learned; nothing is dispatched until then.
    pub(crate) settling: Option<Settling>,
    /// Whether the earlier steward has handed over what it knew.
    adopted: bool,
    /// Attempts of an earlier steward that may be at any upstream, and until when at most.
    floating: BTreeMap<u64, Instant>,
    /// Usual time of a request at any of the upstreams, in microseconds.
    service_us: u64,
}

impl Role {
    /// Takes the role.
    pub(crate) fn new(epoch: u64, settling: Settling) -> Self {
        Self {
            epoch,
            upstreams: BTreeMap::new(),
            queue: Queue::default(),
            settling: Some(settling),
            adopted: false,
            floating: BTreeMap::new(),
            service_us: 0,
        }
    }

    /// Takes the upstreams of the configuration; `domain_in` says whether operators have the
    /// failure domain in.
    pub(crate) fn configure(
        &mut self,
        now: Instant,
        service: &config::Service,
        domain: &Name,
        domain_in: bool,
    ) {
        let mine = |u: &config::Upstream| domain_in && u.domain == *domain;
        self.upstreams.retain(|name, known| {
            service.upstreams.get(name).is_some_and(mine) || !known.busy.is_empty()
        });
        for (name, settings) in service.upstreams.iter().filter(|(_, u)| mine(u)) {
            let first = mix(self.epoch, hash(0, name.as_str().as_bytes()));
            let first_message = u16::try_from(first & 0xFFFF).unwrap_or_default();
            self.upstreams
                .entry(name.clone())
                .or_insert_with(|| Upstream::new(now, settings, first_message))
                .configure(settings);
        }
        for (name, upstream) in &mut self.upstreams {
            let stays = service.upstreams.get(name).is_some_and(mine);
            if !stays {
                upstream.settings.state = config::UpstreamState::Draining;
            }
        }
    }

    /// Ends settling when everything is known.
    pub(crate) fn settle(&mut self, now: Instant) {
        let done = |s: &Settling| s.unheard.is_empty() && now >= s.blind_until;
        if self.settling.as_ref().is_some_and(done) {
            self.settling = None;
        }
    }

    /// VMs to ask now for their attempts; `None` while nothing is to be asked.
    pub(crate) fn ask_now(&mut self, now: Instant) -> Option<Vec<Name>> {
        let settling = self.settling.as_mut().filter(|s| now >= s.ask_at)?;
        settling.ask_at = now.plus_ms(ASK_MS);
        Some(settling.unheard.iter().cloned().collect())
    }

    /// A VM has said which of its attempts are under way.
    pub(crate) fn heard(&mut self, now: Instant, home: &Name, underway: &[Underway]) {
        let Some(settling) = &mut self.settling else {
            return;
        };
        settling.unheard.remove(home);
        self.note_underway(now, underway);
        self.settle(now);
    }

    /// The earlier steward has said all that it knew.
    ///
    /// What it knew of the upstreams counts also where the homes have answered before it; it is
    /// taken once.
    pub(crate) fn adopt(&mut self, now: Instant, ledger: &Ledger) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for standing in &ledger.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(&standing.upstream) {
                upstream.adopt(now, standing);
            }
        }
        if self.settling.take().is_some() {
            self.note_underway(now, &ledger.underway);
        }
    }

    fn note_underway(&mut self, now: Instant, underway: &[Underway]) {
        for attempt in underway {
            let until = now.plus_ms(u64::from(attempt.left_ms) + DEADLINE_GRACE_MS);
            let known = attempt.upstream.as_ref();
            match known.and_then(|name| self.upstreams.get_mut(name)) {
                Some(upstream) if upstream.busy.contains_key(&attempt.attempt) => {}
                Some(upstream) => {
                    upstream.foreign.insert(attempt.attempt, until);
                }
                // One that is at an upstream that is no longer here keeps no slot of the others.
                None if known.is_some() => {}
                None => {
                    self.floating.insert(attempt.attempt, until);
                }
            }
        }
    }

    /// Attempts of an earlier steward that may be at any upstream.
    pub(crate) fn floating(&self) -> &BTreeMap<u64, Instant> {
        &self.floating
    }

    /// An attempt of an earlier steward is over.
    pub(crate) fn free_foreign(&mut self, attempt: u64) {
        self.floating.remove(&attempt);
        for upstream in self.upstreams.values_mut() {
            upstream.foreign.remove(&attempt);
        }
    }

    /// Forgets attempts of earlier stewards that are over by now.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.floating.retain(|_, until| now < *until);
        for upstream in self.upstreams.values_mut() {
            upstream.foreign.retain(|_, until| now < *until);
        }
    }

    /// The upstream for the next request: of those with a free slot the least busy one, and of
    /// equals the one that was used the longest ago.
    pub(crate) fn pick(&self, now: Instant) -> Option<Name> {
        if self.settling.is_some() {
            return None;
        }
        let floating = self.floating.len();
        self.upstreams
            .iter()
            .map(|(name, u)| (name, u, u.in_use(now, floating), usize::from(u.limit(now))))
            .filter(|(_, _, in_use, limit)| in_use < limit)
            .min_by_key(|(_, u, in_use, limit)| (in_use * 1_000 / limit, u.last_used))
            .map(|(name, ..)| name.clone())
    }

    /// Requests that the upstreams bear at a time now.
    pub(crate) fn limit(&self, now: Instant) -> usize {
        if self.settling.is_some() {
            return 0;
        }
        self.upstreams
            .values()
            .map(|u| usize::from(u.limit(now)))
            .sum()
    }

    /// Slots that are busy or may be.
    fn busy(&self, now: Instant) -> usize {
        let used: usize = self.upstreams.values().map(|u| u.in_use(now, 0)).sum();
        used + self.floating.len()
    }

    /// Usual time of a request, in microseconds.
    pub(crate) fn service_us(&self) -> u64 {
        if self.service_us == 0 {
            return FIRST_SERVICE_US;
        }
        self.service_us
    }

    /// Takes the time of an answered request into the usual time.
    pub(crate) fn learn(&mut self, took_us: u64) {
        self.service_us = match self.service_us {
            0 => took_us.max(1),
            old => (old * 15 + took_us) / 16,
        };
    }

    /// Whether a request with this deadline can be done in time; else the time to come back, in
    /// milliseconds.
    pub(crate) fn check(&self, now: Instant, deadline: Instant) -> Result<(), u64> {
        if !self.upstreams.values().any(|u| u.takes_work(now)) {
            return Err(NO_UPSTREAM_RETRY_MS);
        }
        let ahead = self.queue.ahead_of(deadline);
        let wait_us = self.wait_us(now, ahead);
        let needed = wait_us + self.service_us() + GIVE_UP_MS * 1_000;
        let full = self.queue.len() >= QUEUE_PER_SLOT * self.limit(now).max(1);
        if full || now.0 + needed > deadline.0 {
            let whole_us = self.wait_us(now, self.queue.len());
            return Err((whole_us / 1_000).max(MIN_RETRY_MS));
        }
        Ok(())
    }

    /// Time until a slot is free for a request with `ahead` others before it, in microseconds.
    fn wait_us(&self, now: Instant, ahead: usize) -> u64 {
        let limit = self.limit(now);
        if limit == 0 {
            let rounds = 1 + ahead as u64;
            return self.blocked_us(now) + rounds * self.service_us();
        }
        let excess = (self.busy(now) + ahead + 1).saturating_sub(limit);
        excess as u64 * self.service_us() / limit as u64
    }

    /// Time until any upstream may get work again, in microseconds.
    fn blocked_us(&self, now: Instant) -> u64 {
        if let Some(settling) = &self.settling {
            let blind = settling.blind_until.since(now);
            return u64::try_from(blind.as_micros()).unwrap_or(u64::MAX);
        }
        let paused = self
            .upstreams
            .values()
            .filter(|u| u.takes_work(now))
            .map(|u| u.ramp.paused_until().0.saturating_sub(now.0))
            .min();
        paused.unwrap_or(NO_UPSTREAM_RETRY_MS * 1_000)
    }

    /// How busy the upstreams are.
    pub(crate) fn hint(&self, now: Instant) -> Hint {
        let limit = self.limit(now);
        let busy = self.busy(now) + self.queue.len();
        Hint {
            epoch: self.epoch,
            limit: u16::try_from(limit).unwrap_or(u16::MAX),
            busy: u16::try_from(busy).unwrap_or(u16::MAX),
            service_ms: u32::try_from(self.service_us() / 1_000).unwrap_or(u32::MAX),
        }
    }
}
