//! The dispatcher role for the upstreams of one service in this VM's failure domain.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    config,
    key::{hash, mix},
    name::Name,
};

use super::{
    messages::{InFlightAttempt, InFlightTable, LoadHint},
    queue::Queue,
    upstream::Upstream,
};
use crate::{history::DEADLINE_GRACE_MS, time::Instant};

/// Service time that is assumed before the first answer, in microseconds.
const INITIAL_SERVICE_US: u64 = 10_000;

/// Maximum number of queued requests per request that the upstreams may process at a time.
const MAX_QUEUED_PER_SLOT: usize = 3;

/// Time before the deadline at which an attempt is given up, in milliseconds; the answer needs this
/// time to reach the caller.
pub(crate) const GIVE_UP_MARGIN_MS: u64 = 30;

/// Interval at which VMs that have not replied are queried again, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 50;

/// Shortest retry-after time given, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 10;

/// Retry-after time given if no upstream is available, in milliseconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// What a new dispatcher must learn before it dispatches anything.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    /// VMs that have not yet reported their attempts in flight.
    pub(crate) unanswered: BTreeSet<Name>,
    /// When all attempts of lost VMs, which can't report them, are over.
    pub(crate) lost_attempts_until: Instant,
    /// When to send the queries again.
    pub(crate) query_at: Instant,
}

/// The dispatcher role for one service.
#[derive(Debug)]
pub(crate) struct Role {
    /// Epoch of the role; each time that any VM assumes the role has a different one.
    pub(crate) epoch: u64,
    /// The service's upstreams in this failure domain.
    pub(crate) upstreams: BTreeMap<Name, Upstream>,
    /// Requests that wait for a free slot.
    pub(crate) queue: Queue,
    /// State of the takeover; nothing is dispatched while it is in progress.
    pub(crate) takeover: Option<Takeover>,
    /// Whether the state of the former dispatcher has been adopted.
    adopted: bool,
    /// Attempts of an earlier dispatcher that may be at any upstream, with the time at which each
    /// is over at the latest.
    unlocated: BTreeMap<u64, Instant>,
    /// Smoothed service time over all upstreams, in microseconds; 0 before the first answer.
    service_us: u64,
}

impl Role {
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

    /// Adopts the upstreams of the configuration; `domain_in` says whether operators have put the
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

    /// Ends the takeover once all VMs have reported and the attempts of lost VMs are over.
    pub(crate) fn finish_takeover(&mut self, now: Instant) {
        let is_complete = |t: &Takeover| t.unanswered.is_empty() && now >= t.lost_attempts_until;
        if self.takeover.as_ref().is_some_and(is_complete) {
            self.takeover = None;
        }
    }

    /// Returns the VMs to query now for their attempts, or `None` if no query is due.
    pub(crate) fn take_due_queries(&mut self, now: Instant) -> Option<Vec<Name>> {
        let takeover = self.takeover.as_mut().filter(|t| now >= t.query_at)?;
        takeover.query_at = now.plus_ms(QUERY_INTERVAL_MS);
        Some(takeover.unanswered.iter().cloned().collect())
    }

    /// Records the attempts in flight that a VM has reported.
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

    /// Adopts the state that the former dispatcher has handed over.
    ///
    /// The capacities of the upstreams are adopted even if all VMs have reported before, but only
    /// once.
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
            let until = now.plus_ms(u64::from(attempt.remaining_ms) + DEADLINE_GRACE_MS);
            let known = attempt.upstream.as_ref();
            match known.and_then(|name| self.upstreams.get_mut(name)) {
                Some(upstream) if upstream.busy.contains_key(&attempt.attempt) => {}
                Some(upstream) => {
                    upstream.inherited.insert(attempt.attempt, until);
                }
                // The attempt's upstream is no longer known here, so the attempt keeps no slot
                // busy.
                None if known.is_some() => {}
                None => {
                    self.unlocated.insert(attempt.attempt, until);
                }
            }
        }
    }

    /// Returns the attempts of an earlier dispatcher that may be at any upstream.
    pub(crate) fn unlocated(&self) -> &BTreeMap<u64, Instant> {
        &self.unlocated
    }

    /// Frees the slot of an attempt of an earlier dispatcher.
    pub(crate) fn free_inherited(&mut self, attempt: u64) {
        self.unlocated.remove(&attempt);
        for upstream in self.upstreams.values_mut() {
            upstream.inherited.remove(&attempt);
        }
    }

    /// Removes the attempts of earlier dispatchers that are over.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.unlocated.retain(|_, until| now < *until);
        for upstream in self.upstreams.values_mut() {
            upstream.inherited.retain(|_, until| now < *until);
        }
    }

    /// Picks the upstream for the next request: the least busy one with a free slot, and among
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

    /// Returns how many requests the upstreams may process at a time now.
    pub(crate) fn limit(&self, now: Instant) -> usize {
        if self.takeover.is_some() {
            return 0;
        }
        self.upstreams
            .values()
            .map(|u| usize::from(u.limit(now)))
            .sum()
    }

    /// Returns the number of slots that are busy or may be.
    fn busy(&self, now: Instant) -> usize {
        let used: usize = self.upstreams.values().map(|u| u.in_use(now, 0)).sum();
        used + self.unlocated.len()
    }

    /// Returns the smoothed service time, in microseconds.
    pub(crate) fn service_us(&self) -> u64 {
        if self.service_us == 0 {
            return INITIAL_SERVICE_US;
        }
        self.service_us
    }

    /// Adds the service time of an answered request to the smoothed service time.
    pub(crate) fn update_service_time(&mut self, took_us: u64) {
        self.service_us = match self.service_us {
            0 => took_us.max(1),
            old => (old * 15 + took_us) / 16,
        };
    }

    /// Checks whether a request with this deadline can be completed in time; otherwise returns the
    /// retry-after time, in milliseconds.
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

    /// Estimates the time until a slot is free for a request with `ahead` others before it, in
    /// microseconds.
    fn estimate_wait_us(&self, now: Instant, ahead: usize) -> u64 {
        let limit = self.limit(now);
        if limit == 0 {
            let rounds = 1 + ahead as u64;
            return self.blocked_time_us(now) + rounds * self.service_us();
        }
        let excess = (self.busy(now) + ahead + 1).saturating_sub(limit);
        excess as u64 * self.service_us() / limit as u64
    }

    /// Returns the time until any upstream may get requests again, in microseconds.
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

    /// Returns the load of the upstreams.
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
