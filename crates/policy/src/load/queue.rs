//! Requests that wait for a free slot, by deadline.

use std::collections::BTreeMap;

use super::work::Work;
use crate::time::Instant;

/// A request that waits.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    /// What to do.
    pub(crate) work: Work,
    /// When it must be answered.
    pub(crate) deadline: Instant,
}

/// The queue of one service in one failure domain.
///
/// The earliest deadline comes first; the attempt's number breaks ties.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<(Instant, u64), Waiting>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let place = (waiting.deadline, waiting.work.attempt);
        self.waiting.insert(place, waiting);
    }

    /// Takes the request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    /// Takes the first request if its deadline is before `limit`.
    pub(crate) fn pop_before(&mut self, limit: Instant) -> Option<Waiting> {
        let first = self.waiting.first_entry()?;
        (first.key().0 < limit).then(|| first.remove())
    }

    /// Removes an attempt.
    pub(crate) fn remove(&mut self, attempt: u64) -> Option<Waiting> {
        let place = self.waiting.keys().find(|(_, a)| *a == attempt).copied()?;
        self.waiting.remove(&place)
    }

    /// Requests with a deadline no later than `deadline`.
    pub(crate) fn ahead_of(&self, deadline: Instant) -> usize {
        self.waiting.range(..=(deadline, u64::MAX)).count()
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
