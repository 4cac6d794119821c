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
    work::{InFlightAttempt, InFlightTable, LoadHint},
};
use crate::{history::GRACE_MS, time::Instant};

/// Time of a request that is assumed before one was seen, in microseconds.
const INITIAL_SERVICE_US: u64 = 10_000;

/// Requests that may wait, for each one that the upstreams bear at a time.
const MAX_QUEUED_PER_SLOT: usize = 3;

/// Time before a deadline at which a request is given up, in milliseconds; the answer needs it to
/// reach the caller.
pub(crate) const GIVE_UP_MARGIN_MS: u64 = 30;

/// Time between two questions to a home that has not answered, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 50;

/// Shortest time to come back that is named, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 10;

/// Time to come back when no upstream is there at all, in milliseconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// What a steward that took over must learn before it admits anything.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    /// VMs that have not yet said which of their attempts are under way.
    pub(crate) unanswered: BTreeSet<Name>,
    /// Attempts of VMs that can't say are over by this moment.
    pub(crate) lost_attempts_until: Instant,
    /// When to ask again.
    pub(crate) query_at: Instant,
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
    pub(crate) takeover: Option<Takeover>,
    /// Whether the earlier steward has handed over what it knew.
    adopted: bool,
    /// Attempts of an earlier steward that may be at any upstream, and until when at most.
    unlocated: BTreeMap<u64, Instant>,
    /// Usual time of a request at any of the upstreams, in microseconds.
    service_us: u64,
}

impl Role {
    /// Takes the role.
    pub(crate) fn new(epoch: u64, takeover: Takeover) -> Self {
        Self {
            epoch,
            upstreams: BTreeMap::new(),
            queue: Queue::default(),
            takeover: Some(takeover),
            adopted: false,
            unlocated: BTreeMap::new(),
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
        let is_own = |u: &config::Upstream| domain_in && u.domain == *domain;
        self.upstreams.retain(|name, upstream| {
            service.upstreams.get(name).is_some_and(is_own) || !upstream.busy.is_empty()
        });
        for (name, settings) in service.upstreams.iter().filter(|(_, u)| is_own(u)) {
            let first = mix(self.epoch, hash(0, name.as_str().as_bytes()));
            let first_message = u16::try_from(first & 0xFFFF).unwrap_or_default();
            self.upstreams
                .entry(name.clone())
                .or_insert_with(|| Upstream::new(now, settings, first_message))
                .configure(settings);
        }
        for (name, upstream) in &mut self.upstreams {
            let stays = service.upstreams.get(name).is_some_and(is_own);
            if !stays {
                upstream.settings.state = config::UpstreamState::Draining;
            }
        }
    }

    /// Ends settling when everything is known.
    pub(crate) fn finish_takeover(&mut self, now: Instant) {
        let is_complete = |t: &Takeover| t.unanswered.is_empty() && now >= t.lost_attempts_until;
        if self.takeover.as_ref().is_some_and(is_complete) {
            self.takeover = None;
        }
    }

    /// VMs to ask now for their attempts; `None` while nothing is to be asked.
    pub(crate) fn take_due_queries(&mut self, now: Instant) -> Option<Vec<Name>> {
        let takeover = self.takeover.as_mut().filter(|t| now >= t.query_at)?;
        takeover.query_at = now.plus_ms(QUERY_INTERVAL_MS);
        Some(takeover.unanswered.iter().cloned().collect())
    }

    /// A VM has said which of its attempts are under way.
    pub(crate) fn record_vm_report(
        &mut self,
        now: Instant,
        vm: &Name,
        in_flight: &[InFlightAttempt],
    ) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        takeover.unanswered.remove(vm);
        self.record_in_flight(now, in_flight);
        self.finish_takeover(now);
    }

    /// The earlier steward has said all that it knew.
    ///
    /// What it knew of the upstreams counts also where the homes have answered before it; it is
    /// taken once.
    pub(crate) fn apply_handover(&mut self, now: Instant, in_flight_table: &InFlightTable) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for capacity_snapshot in &in_flight_table.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(&capacity_snapshot.upstream) {
                upstream.adopt(now, capacity_snapshot);
            }
        }
        if self.takeover.take().is_some() {
            self.record_in_flight(now, &in_flight_table.in_flight);
        }
    }

    fn record_in_flight(&mut self, now: Instant, in_flight: &[InFlightAttempt]) {
        for attempt in in_flight {
            let until = now.plus_ms(u64::from(attempt.remaining_ms) + GRACE_MS);
            let known = attempt.upstream.as_ref();
            match known.and_then(|name| self.upstreams.get_mut(name)) {
                Some(upstream) if upstream.busy.contains_key(&attempt.attempt) => {}
                Some(upstream) => {
                    upstream.inherited.insert(attempt.attempt, until);
                }
                // One that is at an upstream that is no longer here keeps no slot of the others.
                None if known.is_some() => {}
                None => {
                    self.unlocated.insert(attempt.attempt, until);
                }
            }
        }
    }

    /// Attempts of an earlier steward that may be at any upstream.
    pub(crate) fn unlocated(&self) -> &BTreeMap<u64, Instant> {
        &self.unlocated
    }

    /// An attempt of an earlier steward is over.
    pub(crate) fn free_inherited(&mut self, attempt: u64) {
        self.unlocated.remove(&attempt);
        for upstream in self.upstreams.values_mut() {
            upstream.inherited.remove(&attempt);
        }
    }

    /// Forgets attempts of earlier stewards that are over by now.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.unlocated.retain(|_, until| now < *until);
        for upstream in self.upstreams.values_mut() {
            upstream.inherited.retain(|_, until| now < *until);
        }
    }

    /// The upstream for the next request: of those with a free slot the least busy one, and of
    /// equals the one that was used the longest ago.
    pub(crate) fn pick_upstream(&self, now: Instant) -> Option<Name> {
        if self.takeover.is_some() {
            return None;
        }
        let unlocated = self.unlocated.len();
        self.upstreams
            .iter()
            .map(|(name, u)| (name, u, u.in_use(now, unlocated), usize::from(u.limit(now))))
            .filter(|(_, _, in_use, limit)| in_use < limit)
            .min_by_key(|(_, u, in_use, limit)| (in_use * 1_000 / limit, u.last_used))
            .map(|(name, ..)| name.clone())
    }

    /// Requests that the upstreams bear at a time now.
    pub(crate) fn limit(&self, now: Instant) -> usize {
        if self.takeover.is_some() {
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
        used + self.unlocated.len()
    }

    /// Usual time of a request, in microseconds.
    pub(crate) fn service_us(&self) -> u64 {
        if self.service_us == 0 {
            return INITIAL_SERVICE_US;
        }
        self.service_us
    }

    /// Takes the time of an answered request into the usual time.
    pub(crate) fn update_service_time(&mut self, took_us: u64) {
        self.service_us = match self.service_us {
            0 => took_us.max(1),
            old => (old * 15 + took_us) / 16,
        };
    }

    /// Whether a request with this deadline can be done in time; else the time to come back, in
    /// milliseconds.
    pub(crate) fn check_deadline(&self, now: Instant, deadline: Instant) -> Result<(), u64> {
        if !self.upstreams.values().any(|u| u.accepts_work(now)) {
            return Err(NO_UPSTREAM_RETRY_AFTER_MS);
        }
        let ahead = self.queue.count_ahead(deadline);
        let wait_us = self.estimate_wait_us(now, ahead);
        let needed_us = wait_us + self.service_us() + GIVE_UP_MARGIN_MS * 1_000;
        let queue_full = self.queue.len() >= MAX_QUEUED_PER_SLOT * self.limit(now).max(1);
        if queue_full || now.0 + needed_us > deadline.0 {
            let full_wait_us = self.estimate_wait_us(now, self.queue.len());
            return Err((full_wait_us / 1_000).max(MIN_RETRY_AFTER_MS));
        }
        Ok(())
    }

    /// Time until a slot is free for a request with `ahead` others before it, in microseconds.
    fn estimate_wait_us(&self, now: Instant, ahead: usize) -> u64 {
        let limit = self.limit(now);
        if limit == 0 {
            let rounds = 1 + ahead as u64;
            return self.blocked_time_us(now) + rounds * self.service_us();
        }
        let excess = (self.busy(now) + ahead + 1).saturating_sub(limit);
        excess as u64 * self.service_us() / limit as u64
    }

    /// Time until any upstream may get work again, in microseconds.
    fn blocked_time_us(&self, now: Instant) -> u64 {
        if let Some(takeover) = &self.takeover {
            let remaining_wait = takeover.lost_attempts_until.since(now);
            return u64::try_from(remaining_wait.as_micros()).unwrap_or(u64::MAX);
        }
        let shortest_pause_us = self
            .upstreams
            .values()
            .filter(|u| u.accepts_work(now))
            .map(|u| u.ramp.paused_until().0.saturating_sub(now.0))
            .min();
        shortest_pause_us.unwrap_or(NO_UPSTREAM_RETRY_AFTER_MS * 1_000)
    }

    /// How busy the upstreams are.
    pub(crate) fn load_hint(&self, now: Instant) -> LoadHint {
        let limit = self.limit(now);
        let busy = self.busy(now) + self.queue.len();
        LoadHint {
            epoch: self.epoch,
            limit: u16::try_from(limit).unwrap_or(u16::MAX),
            busy: u16::try_from(busy).unwrap_or(u16::MAX),
            service_ms: u32::try_from(self.service_us() / 1_000).unwrap_or(u32::MAX),
        }
    }
}
