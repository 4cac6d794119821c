//! Replication progress of a follower or learner, as known to the leader.

/// Replication progress of one follower or learner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Last index that matches the leader's log and is synced by the follower.
    /// Invariant: `match_index < next_index`.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Ticks since unanswered entries or an unanswered snapshot chunk were sent; `None` if nothing
    /// is in flight.
    pub(crate) ticks_awaiting_reply: Option<u32>,
    /// Ticks since the follower's last reply in this term.
    pub(crate) ticks_since_reply: u32,
    /// Latest heartbeat round that the follower answered.
    pub(crate) round: u64,
    /// Largest commit index that was sent to the follower in a heartbeat.
    pub(crate) sent_commit: u64,
    /// Snapshot being sent: its index, and the offset of the next chunk in bytes.
    pub(crate) snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// Returns the progress of a replica whose log is unknown; replication starts at `next_index`.
    pub(crate) fn new(next_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            ticks_awaiting_reply: None,
            ticks_since_reply: 0,
            round: 0,
            sent_commit: 0,
            snapshot: None,
        }
    }

    /// Records that the follower has synced all entries up to `index`.
    pub(crate) fn record_match(&mut self, index: u64) {
        if index >= self.next_index {
            self.ticks_awaiting_reply = None;
            self.snapshot = None;
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Records that the follower's log doesn't match at `prev_index` but may match at
    /// `conflict_hint`. Returns false for an outdated rejection, which changes nothing.
    pub(crate) fn record_mismatch(&mut self, prev_index: u64, conflict_hint: u64) -> bool {
        if prev_index + 1 != self.next_index || prev_index <= self.match_index {
            return false;
        }
        self.next_index = (conflict_hint + 1)
            .min(prev_index)
            .max(self.match_index + 1);
        self.ticks_awaiting_reply = None;
        true
    }
}
