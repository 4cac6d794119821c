//! How much of its full load an upstream bears: little after a cold start, more with each piece
//! of work that it has done.

/// Answered requests after which a cold upstream bears one slot more.
const ANSWERS_PER_SLOT: u32 = 8;

/// New flows a second that an upstream bears right after a cold start.
const COLD_FLOWS_PER_SECOND: u32 = 10;

/// Time over which new flows are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Windows with work and without overload after which the borne rate of new flows has doubled
/// often enough to count as unbounded.
const WARM_WINDOWS: u32 = 8;

/// Warmth of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warmth {
    slots: u32,
    /// Requests answered since the cold start.
    answers: u32,
    /// Windows with new flows since the cold start.
    windows: u32,
    window_start_ms: u64,
    /// New flows of the current window.
    new_flows: u32,
}

impl Warmth {
    /// Warmth of an upstream with `slots`.
    #[must_use]
    pub fn new(slots: u16, is_cold: bool) -> Self {
        let mut warmth = Self {
            slots: u32::from(slots),
            answers: u32::MAX,
            windows: WARM_WINDOWS,
            window_start_ms: 0,
            new_flows: 0,
        };
        if is_cold {
            warmth.reset();
        }
        warmth
    }

    /// Turns cold.
    pub fn reset(&mut self) {
        self.answers = 0;
        self.windows = 0;
        self.new_flows = 0;
    }

    /// Whether it bears less than its full load.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.bears_slots() < self.slots || self.windows < WARM_WINDOWS
    }

    /// Requests that it bears at a time.
    #[must_use]
    pub fn bears_slots(&self) -> u32 {
        (1 + self.answers / ANSWERS_PER_SLOT).min(self.slots)
    }

    /// Share of the full load that it bears, in percent.
    #[must_use]
    pub fn percent(&self) -> u8 {
        let slots = 100 * self.bears_slots() / self.slots.max(1);
        let flows = 100 * self.windows / WARM_WINDOWS;
        u8::try_from(slots.min(flows)).unwrap_or(100)
    }

    /// A request was answered.
    pub fn on_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Counts a new flow, and says whether the upstream bears it.
    pub fn on_flow(&mut self, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.window_start_ms) >= WINDOW_MS {
            self.window_start_ms = now_ms;
            self.windows = (self.windows + u32::from(self.new_flows > 0)).min(WARM_WINDOWS);
            self.new_flows = 0;
        }
        self.new_flows += 1;
        self.windows >= WARM_WINDOWS || self.new_flows <= COLD_FLOWS_PER_SECOND << self.windows
    }
}
