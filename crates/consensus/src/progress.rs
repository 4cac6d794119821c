//! How far another replica is, as its leader knows.

/// Progress of one other replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Last index that it has synced and that matches. Invariant: `match_index < next_index`.
    pub(crate) match_index: u64,
    /// First index to send.
    pub(crate) next_index: u64,
    /// Ticks since entries or a chunk were sent that aren't answered yet.
    pub(crate) ticks_awaiting_reply: Option<u32>,
    /// Ticks since its last answer in this term.
    pub(crate) ticks_since_reply: u32,
    /// Latest round of heartbeats that it answered.
    pub(crate) round: u64,
    /// Largest commit index that it was told.
    pub(crate) sent_commit: u64,
    /// Snapshot that it is being sent: index and offset of the next part.
    pub(crate) snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// A replica of which nothing is known, to be tried from `next_index`.
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

    /// Notes that everything up to `index` is synced there.
    pub(crate) fn record_match(&mut self, index: u64) {
        if index >= self.next_index {
            self.ticks_awaiting_reply = None;
            self.snapshot = None;
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Notes that the entry at `prev_index` doesn't match and the one at `conflict_hint` may; says whether that
    /// is news.
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
