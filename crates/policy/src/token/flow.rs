//! A flow as one entry VM sees it: the client's half, from the packets that reach this VM.

use super::{
    directory::token_of,
    outcome::Ended,
    segment::{Key, Kind, Segment},
};
use crate::time::Instant;

/// Time after which data that comes again was lost or is unanswered, in milliseconds: clients repeat
/// after 200 ms, and what comes earlier was overtaken on its way.
const REPEAT_MS: u64 = 150;

/// A flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Upstream that it was last sent to.
    pub(super) upstream: u64,
    /// When its first packet came.
    pub(super) opened_at: Instant,
    /// Whether this VM has placed it. The first packet of another flow may come long after its
    /// upstream answered, so that it tells nothing of that.
    is_placed: bool,
    /// When its last packet came.
    pub(super) seen_at: Instant,
    /// Whether the client has taken it up with an upstream.
    pub(super) is_open: bool,
    /// Whether the client has ended it.
    pub(super) is_over: bool,
    /// Whether a request is under way: data went out, and nothing new came back since.
    is_asking: bool,
    /// Whether no request was seen yet; the first was counted when the flow was placed.
    is_first: bool,
    /// When that request was first passed on.
    asked_at: Instant,
    /// The client's acknowledgement when the last request began; none where its end was noted or
    /// its beginning wasn't seen.
    asked_from: Option<u32>,
    /// Number of the byte behind the last one that the client sent.
    sent: u32,
    /// Last acknowledgement of the client.
    acknowledged: u32,
}

/// What a packet says of the flow's upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Signal {
    /// The client has something new from it.
    pub(super) is_answer: bool,
    /// How long it took for that, or the client has waited for it so far, in milliseconds.
    pub(super) took_ms: Option<u64>,
    /// The client has sent again what it first sent then.
    pub(super) waits_since: Option<Instant>,
    /// A request begins.
    pub(super) is_request: bool,
    /// How the request before has ended.
    pub(super) ended: Option<Ended>,
}

impl Flow {
    /// A flow that this VM has placed now, at `upstream`.
    pub(super) fn placed(now: Instant, upstream: u64) -> Self {
        Self {
            is_placed: true,
            ..Self::found(now, upstream)
        }
    }

    /// A flow that another VM has placed, at `upstream`, and that comes through this one now.
    pub(super) fn found(now: Instant, upstream: u64) -> Self {
        Self {
            upstream,
            opened_at: now,
            is_placed: false,
            seen_at: now,
            is_open: false,
            is_over: false,
            is_asking: false,
            is_first: true,
            asked_at: now,
            asked_from: None,
            sent: 0,
            acknowledged: 0,
        }
    }

    /// Takes a packet other than an opening one.
    pub(super) fn take(&mut self, now: Instant, segment: &Segment) -> Signal {
        self.seen_at = now;
        self.is_over |= matches!(segment.kind, Kind::Finish | Kind::Reset);
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        if !self.is_open {
            self.is_open = true;
            self.is_asking = segment.length > 0;
            self.asked_at = now;
            self.asked_from = self.is_asking.then_some(segment.acknowledged);
            self.acknowledged = segment.acknowledged;
            self.sent = end;
            return Signal {
                is_answer: self.is_placed,
                ..Signal::default()
            };
        }
        let mut signal = Signal::default();
        if is_after(segment.acknowledged, self.acknowledged) {
            self.acknowledged = segment.acknowledged;
            signal.is_answer = true;
            // Where more data goes with it, the client had the answer before.
            if self.is_asking && segment.length == 0 {
                signal.took_ms = Some(now.ms_since(self.asked_at));
            }
            self.is_asking = false;
        }
        if self.is_over {
            signal.ended = self.end();
        }
        if segment.length == 0 {
            return signal;
        }
        if !is_after(end, self.sent) {
            let waited_ms = now.ms_since(self.asked_at);
            if waited_ms >= REPEAT_MS {
                signal.waits_since = Some(self.asked_at);
                signal.took_ms = Some(waited_ms);
            }
            return signal;
        }
        self.sent = end;
        if !self.is_asking {
            signal.ended = signal.ended.or(self.end());
            self.is_asking = true;
            self.asked_at = now;
            self.asked_from = Some(self.acknowledged);
            signal.is_request = !self.is_first;
            self.is_first = false;
        }
        signal
    }

    /// Notes that the client has left without an answer, where it has waited for longer than
    /// `deadline_ms` and sent nothing since.
    pub(super) fn give_up(&mut self, now: Instant, deadline_ms: u64) -> Option<Ended> {
        let has_left = self.is_asking && now.ms_since(self.asked_at) > deadline_ms;
        has_left.then(|| self.end()).flatten()
    }

    /// Whether its client waits for an answer on the open flow.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_open && !self.is_over && self.is_asking
    }

    /// What the client has sent last on the flow, without its data.
    pub(super) fn last_segment(&self, key: Key) -> Segment {
        Segment {
            key,
            kind: Kind::Data,
            token: token_of(self.upstream),
            sequence: self.sent,
            acknowledged: self.acknowledged,
            length: 0,
        }
    }

    /// How the last request has ended, once.
    fn end(&mut self) -> Option<Ended> {
        let from = self.asked_from.take()?;
        match self.acknowledged.wrapping_sub(from) {
            0 => Some(Ended::Unanswered),
            bytes => Some(Ended::Answered(bytes)),
        }
    }
}

/// Whether byte number `a` comes after `b`; numbers wrap around.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < u32::MAX / 2
}
