//! Capacity of an upstream after a cold start: small at first, then growing with the work done.

/// Number of answered requests that make one more slot of a cold upstream usable.
const ANSWERS_PER_SLOT: u32 = 8;

/// New flows per second that an upstream accepts directly after a cold start.
const COLD_FLOWS_PER_SECOND: u32 = 10;

/// Length of the window in which new flows are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Windows with new flows after which the rate limit for new flows ends. The limit doubles with each
/// such window.
const WARM_WINDOWS: u32 = 8;

/// Warm-up state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warmth {
    slots: u32,
    /// Requests answered since the cold start.
    answers: u32,
    /// Windows with new flows since the cold start, at most [`WARM_WINDOWS`].
    windows: u32,
    window_start_ms: u64,
    /// New flows in the current window.
    new_flows: u32,
}

impl Warmth {
    /// Returns the state of an upstream with `slots`.
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

    /// Starts again as after a cold start.
    pub fn reset(&mut self) {
        self.answers = 0;
        self.windows = 0;
        self.new_flows = 0;
    }

    /// Reports whether the upstream has less than its full capacity.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.usable_slots() < self.slots || self.windows < WARM_WINDOWS
    }

    /// Returns the number of requests that the upstream can run at a time.
    #[must_use]
    pub fn usable_slots(&self) -> u32 {
        (1 + self.answers / ANSWERS_PER_SLOT).min(self.slots)
    }

    /// Returns the usable share of the full capacity, in percent.
    #[must_use]
    pub fn percent(&self) -> u8 {
        let slots = 100 * self.usable_slots() / self.slots.max(1);
        let flows = 100 * self.windows / WARM_WINDOWS;
        u8::try_from(slots.min(flows)).unwrap_or(100)
    }

    /// Counts an answered request.
    pub fn on_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Counts a new flow and reports whether the upstream has the capacity for the flow.
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
