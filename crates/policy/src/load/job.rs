//! Attempts that this VM dispatched as steward, until their homes know what came of them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use model::{key, name::Name};

use super::{MAX_REFUSED, role::GIVE_UP_MS, work::Outcome};
use crate::{history::DEADLINE_GRACE_MS, time::Instant};

/// Where an attempt was dispatched.
#[derive(Debug, Clone)]
pub(crate) struct Dispatched {
    /// Name of the upstream.
    pub(crate) upstream: Name,
    /// Its address, from which the answer must come.
    pub(crate) address: SocketAddr,
    /// Message id of the attempt.
    pub(crate) message_id: u16,
    /// When.
    pub(crate) at: Instant,
    /// Whether the limit of the upstream was used up then.
    pub(crate) full: bool,
    /// Start of the upstream's process then.
    pub(crate) incarnation: u64,
    /// Whether it still counts as keeping a slot busy.
    pub(crate) holds_slot: bool,
}

/// How an attempt's outcome is being told.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    /// What came of it.
    pub(crate) outcome: Outcome,
    /// VMs that have not acknowledged it.
    pub(crate) unheard: BTreeSet<Name>,
    /// When to tell them again.
    pub(crate) resend_at: Instant,
}

/// An attempt.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The request.
    pub(crate) key: key::Request,
    /// Fingerprint of its content.
    pub(crate) content: u64,
    /// Service that is asked.
    pub(crate) service: Name,
    /// VM that asked, or that has taken its place.
    pub(crate) home: Name,
    /// When it must be answered.
    pub(crate) deadline: Instant,
    /// Where it was dispatched; `None` while it is queued or was refused.
    pub(crate) dispatched: Option<Dispatched>,
    /// What came of it, once that is known or given up.
    pub(crate) report: Option<Report>,
    /// When it is forgotten.
    pub(crate) expires: Instant,
}

impl Job {
    /// When its upstream is no longer busy with it, at the latest.
    pub(crate) fn slot_until(&self) -> Instant {
        self.deadline.plus_ms(DEADLINE_GRACE_MS)
    }

    /// When it is given up.
    pub(crate) fn give_up_at(&self) -> Instant {
        Instant(self.deadline.0.saturating_sub(GIVE_UP_MS * 1_000))
    }
}

/// Attempts that were refused when they came, kept so that a copy of the home's message is not
/// taken for a new attempt.
#[derive(Debug, Default)]
pub(crate) struct Refused {
    attempts: BTreeSet<u64>,
    /// With the moment at which each is forgotten, in that order nearly.
    expiries: VecDeque<(Instant, u64)>,
}

impl Refused {
    /// Adds an attempt; false where there is no room.
    pub(crate) fn insert(&mut self, attempt: u64, expires: Instant) -> bool {
        if self.attempts.len() >= MAX_REFUSED {
            return false;
        }
        if self.attempts.insert(attempt) {
            self.expiries.push_back((expires, attempt));
        }
        true
    }

    /// Whether an attempt was refused.
    pub(crate) fn holds(&self, attempt: u64) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Forgets what has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((_, attempt)) = self.expiries.pop_front_if(|(at, _)| *at <= now) {
            self.attempts.remove(&attempt);
        }
    }
}

/// All attempts by number, with the moments at which they need care.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: BTreeMap<u64, Job>,
    wakes: BTreeMap<u64, Instant>,
    timers: BTreeSet<(Instant, u64)>,
}

impl Jobs {
    /// Adds an attempt.
    pub(crate) fn insert(&mut self, attempt: u64, job: Job) {
        self.jobs.insert(attempt, job);
    }

    /// An attempt.
    pub(crate) fn get(&self, attempt: u64) -> Option<&Job> {
        self.jobs.get(&attempt)
    }

    /// An attempt, to change.
    pub(crate) fn get_mut(&mut self, attempt: u64) -> Option<&mut Job> {
        self.jobs.get_mut(&attempt)
    }

    /// Forgets an attempt.
    pub(crate) fn remove(&mut self, attempt: u64) {
        self.jobs.remove(&attempt);
        if let Some(wake) = self.wakes.remove(&attempt) {
            self.timers.remove(&(wake, attempt));
        }
    }

    /// Sets the moment at which an attempt next needs care.
    pub(crate) fn wake_at(&mut self, attempt: u64, at: Instant) {
        if let Some(old) = self.wakes.insert(attempt, at) {
            self.timers.remove(&(old, attempt));
        }
        self.timers.insert((at, attempt));
    }

    /// Takes an attempt that needs care now.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let (at, attempt) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        self.wakes.remove(&attempt);
        Some(attempt)
    }

    /// All attempts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Job)> {
        self.jobs.iter().map(|(attempt, job)| (*attempt, job))
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether any is queued or under way.
    pub(crate) fn any_open(&self) -> bool {
        self.jobs.values().any(|job| job.report.is_none())
    }
}
