//! Whether announcements that this control VM receives reach an entry VM.
//!
//! Upstreams announce themselves to one control VM at a time. A control VM that no entry VM has a
//! stream to would keep their announcements to itself, and they would get no flows; instead it
//! refuses the calls, and upstreams call the next control VM. Times are milliseconds since the start
//! of this process.

/// Time in milliseconds that entry VMs have after the start of a control VM to open their streams.
const START_GRACE_MS: u64 = 2_000;

/// Time in milliseconds without a stream after which calls are refused: a stream that breaks is
/// opened again within 0.8 s.
const LOST_GRACE_MS: u64 = 1_000;

/// Streams of entry VMs to this control VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct Audience {
    streams: usize,
    /// Time at which the last stream ended, if one was ever open.
    lost_at_ms: Option<u64>,
}

impl Audience {
    /// Records that a stream of an entry VM has opened.
    pub fn add_stream(&mut self) {
        self.streams += 1;
    }

    /// Records that a stream of an entry VM has ended.
    pub fn remove_stream(&mut self, now_ms: u64) {
        self.streams = self.streams.saturating_sub(1);
        if self.streams == 0 {
            self.lost_at_ms = Some(now_ms);
        }
    }

    /// Returns the number of open streams.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Reports whether announcements reach an entry VM, or are likely to in a moment.
    #[must_use]
    pub fn is_reached(&self, now_ms: u64) -> bool {
        let is_recent = |lost_ms: u64| now_ms < lost_ms.saturating_add(LOST_GRACE_MS);
        self.streams > 0 || now_ms < START_GRACE_MS || self.lost_at_ms.is_some_and(is_recent)
    }
}
