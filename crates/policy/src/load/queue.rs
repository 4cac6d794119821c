//! Requests that wait for a free slot, ordered by deadline.

use std::collections::BTreeMap;

use super::messages::AttemptRequest;
use crate::time::Instant;

/// An attempt that waits for a free slot.
#[derive(Debug, Clone)]
pub(crate) struct QueuedAttempt {
    /// The attempt that the primary requested.
    pub(crate) attempt_request: AttemptRequest,
    /// When the request must be answered.
    pub(crate) deadline: Instant,
}

/// The queue of one service in one failure domain.
///
/// The earliest deadline comes first; ties are broken by the attempt id.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    queued: BTreeMap<(Instant, u64), QueuedAttempt>,
}

impl Queue {
    pub(crate) fn push(&mut self, queued: QueuedAttempt) {
        let key = (queued.deadline, queued.attempt_request.attempt);
        self.queued.insert(key, queued);
    }

    /// Removes and returns the attempt with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<QueuedAttempt> {
        self.queued.pop_first().map(|(_, queued)| queued)
    }

    /// Removes and returns the first attempt if its deadline is before `limit`.
    pub(crate) fn pop_before(&mut self, limit: Instant) -> Option<QueuedAttempt> {
        let first = self.queued.first_entry()?;
        (first.key().0 < limit).then(|| first.remove())
    }

    /// Removes the attempt with this id.
    pub(crate) fn remove(&mut self, attempt: u64) -> Option<QueuedAttempt> {
        let key = self.queued.keys().find(|(_, a)| *a == attempt).copied()?;
        self.queued.remove(&key)
    }

    /// Counts the attempts with a deadline no later than `deadline`.
    pub(crate) fn count_ahead(&self, deadline: Instant) -> usize {
        self.queued.range(..=(deadline, u64::MAX)).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
