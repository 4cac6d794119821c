//! Attempts that this VM has accepted as dispatcher, kept until no copy of their messages can
//! arrive.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use model::{key, name::Name};

use super::{MAX_REFUSED_ATTEMPTS, messages::Outcome, role::GIVE_UP_MARGIN_MS};
use crate::{history::DEADLINE_GRACE_MS, time::Instant};

/// Where and when an attempt was dispatched.
#[derive(Debug, Clone)]
pub(crate) struct Dispatched {
    /// Name of the upstream.
    pub(crate) upstream: Name,
    /// Address of the upstream, from which the reply must come.
    pub(crate) address: SocketAddr,
    /// Message id of the attempt.
    pub(crate) message_id: u16,
    /// When the attempt was dispatched.
    pub(crate) at: Instant,
    /// Whether the attempt used up the upstream's limit.
    pub(crate) limit_reached: bool,
    /// Incarnation of the upstream's process at the time of dispatch.
    pub(crate) incarnation: u64,
    /// Whether the attempt still counts as keeping a slot busy.
    pub(crate) holds_slot: bool,
}

/// The outcome of an attempt and the state of its report.
#[derive(Debug, Clone)]
pub(crate) struct OutcomeReport {
    /// The outcome.
    pub(crate) outcome: Outcome,
    /// VMs that have not acknowledged the outcome.
    pub(crate) unacknowledged: BTreeSet<Name>,
    /// When to report the outcome again.
    pub(crate) resend_at: Instant,
}

/// An attempt that this VM has accepted.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// Key of the request.
    pub(crate) key: key::Request,
    /// Fingerprint of the request's content.
    pub(crate) content_fingerprint: u64,
    /// Service that the request names.
    pub(crate) service: Name,
    /// VM that requested the attempt, or its successor.
    pub(crate) primary: Name,
    /// When the request must be answered.
    pub(crate) deadline: Instant,
    /// Where the attempt was dispatched; `None` while it is queued or if it was refused.
    pub(crate) dispatched: Option<Dispatched>,
    /// The outcome, once it is known or the attempt is given up.
    pub(crate) report: Option<OutcomeReport>,
    /// When the attempt is removed.
    pub(crate) expires_at: Instant,
}

impl Job {
    /// Returns when the attempt no longer keeps a slot busy, at the latest.
    pub(crate) fn slot_until(&self) -> Instant {
        self.deadline.plus_ms(DEADLINE_GRACE_MS)
    }

    /// Returns when the attempt is given up.
    pub(crate) fn give_up_at(&self) -> Instant {
        Instant(self.deadline.0.saturating_sub(GIVE_UP_MARGIN_MS * 1_000))
    }
}

/// Attempts that were refused on arrival, kept so that a copy of the primary's message is not taken
/// for a new attempt.
#[derive(Debug, Default)]
pub(crate) struct RefusedAttempts {
    attempts: BTreeSet<u64>,
    /// Expiry time and id of each attempt, nearly in order of time.
    expiries: VecDeque<(Instant, u64)>,
}

impl RefusedAttempts {
    /// Adds an attempt; returns false if there is no room.
    pub(crate) fn insert(&mut self, attempt: u64, expires_at: Instant) -> bool {
        if self.attempts.len() >= MAX_REFUSED_ATTEMPTS {
            return false;
        }
        if self.attempts.insert(attempt) {
            self.expiries.push_back((expires_at, attempt));
        }
        true
    }

    /// Reports whether an attempt was refused.
    pub(crate) fn is_refused(&self, attempt: u64) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Removes the attempts that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((_, attempt)) = self.expiries.pop_front_if(|(at, _)| *at <= now) {
            self.attempts.remove(&attempt);
        }
    }
}

/// All attempts by id, with the times at which they are due.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: BTreeMap<u64, Job>,
    due_times: BTreeMap<u64, Instant>,
    timers: BTreeSet<(Instant, u64)>,
}

impl Jobs {
    pub(crate) fn insert(&mut self, attempt: u64, job: Job) {
        self.jobs.insert(attempt, job);
    }

    pub(crate) fn get(&self, attempt: u64) -> Option<&Job> {
        self.jobs.get(&attempt)
    }

    pub(crate) fn get_mut(&mut self, attempt: u64) -> Option<&mut Job> {
        self.jobs.get_mut(&attempt)
    }

    pub(crate) fn remove(&mut self, attempt: u64) {
        self.jobs.remove(&attempt);
        if let Some(due) = self.due_times.remove(&attempt) {
            self.timers.remove(&(due, attempt));
        }
    }

    /// Sets the time at which an attempt is next due.
    pub(crate) fn set_due(&mut self, attempt: u64, at: Instant) {
        if let Some(old) = self.due_times.insert(attempt, at) {
            self.timers.remove(&(old, attempt));
        }
        self.timers.insert((at, attempt));
    }

    /// Returns the id of an attempt that is due and clears its timer.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let (at, attempt) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        self.due_times.remove(&attempt);
        Some(attempt)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Job)> {
        self.jobs.iter().map(|(attempt, job)| (*attempt, job))
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether any attempt is queued or in flight.
    pub(crate) fn any_open(&self) -> bool {
        self.jobs.values().any(|job| job.report.is_none())
    }
}
