//! How far another replica is, as its leader knows.

/// Progress of one other replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Last index that it has synced and that matches. Invariant: `matched < next`.
    pub(crate) matched: u64,
    /// First index to send.
    pub(crate) next: u64,
    /// Ticks since entries or a chunk were sent that aren't answered yet.
    pub(crate) awaiting: Option<u32>,
    /// Ticks since its last answer in this term.
    pub(crate) silent: u32,
    /// Latest round of heartbeats that it answered.
    pub(crate) round: u64,
    /// Largest commit index that it was told.
    pub(crate) told: u64,
    /// Snapshot that it is being sent: index and offset of the next part.
    pub(crate) snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// A replica of which nothing is known, to be tried from `next`.
    pub(crate) fn new(next: u64) -> Self {
        Self {
            matched: 0,
            next,
            awaiting: None,
            silent: 0,
            round: 0,
            told: 0,
            snapshot: None,
        }
    }

    /// Notes that everything up to `index` is synced there.
    pub(crate) fn accept(&mut self, index: u64) {
        if index >= self.next {
            self.awaiting = None;
            self.snapshot = None;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
    }

    /// Notes that the entry at `prev` doesn't match and the one at `hint` may; says whether that
    /// is news.
    pub(crate) fn reject(&mut self, prev: u64, hint: u64) -> bool {
        if prev + 1 != self.next || prev <= self.matched {
            return false;
        }
        self.next = (hint + 1).min(prev).max(self.matched + 1);
        self.awaiting = None;
        true
    }
}
