//! A flow as one entry VM sees it: the client's half, from the packets that reach this VM.

use super::{
    directory::token_of,
    outlier::RequestEnd,
    segment::{Key, Kind, Segment},
};
use crate::time::Instant;

/// Time after which data that comes again was lost or is unanswered, in milliseconds: clients repeat
/// after 200 ms, and what comes earlier was overtaken on its way.
const MIN_REPEAT_MS: u64 = 150;

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
    has_pending_request: bool,
    /// Whether no request was seen yet; the first was counted when the flow was placed.
    is_before_first_request: bool,
    /// When that request was first passed on.
    request_sent_at: Instant,
    /// The client's acknowledgement when the last request began; none where its end was noted or
    /// its beginning wasn't seen.
    request_ack: Option<u32>,
    /// Number of the byte behind the last one that the client sent.
    sent_end: u32,
    /// Last acknowledgement of the client.
    acknowledged: u32,
}

/// What a packet says of the flow's upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SegmentSignal {
    /// The client has something new from it.
    pub(super) is_answer: bool,
    /// How long it took for that, or the client has waited for it so far, in milliseconds.
    pub(super) answer_wait_ms: Option<u64>,
    /// The client has sent again what it first sent then.
    pub(super) unanswered_since: Option<Instant>,
    /// A request begins.
    pub(super) starts_request: bool,
    /// How the request before has ended.
    pub(super) request_end: Option<RequestEnd>,
}

impl Flow {
    /// A flow that this VM has placed now, at `upstream`.
    pub(super) fn placed(now: Instant, upstream: u64) -> Self {
        Self {
            is_placed: true,
            ..Self::discovered(now, upstream)
        }
    }

    /// A flow that another VM has placed, at `upstream`, and that comes through this one now.
    pub(super) fn discovered(now: Instant, upstream: u64) -> Self {
        Self {
            upstream,
            opened_at: now,
            is_placed: false,
            seen_at: now,
            is_open: false,
            is_over: false,
            has_pending_request: false,
            is_before_first_request: true,
            request_sent_at: now,
            request_ack: None,
            sent_end: 0,
            acknowledged: 0,
        }
    }

    /// Takes a packet other than an opening one.
    pub(super) fn apply_segment(&mut self, now: Instant, segment: &Segment) -> SegmentSignal {
        self.seen_at = now;
        self.is_over |= matches!(segment.kind, Kind::Finish | Kind::Reset);
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        if !self.is_open {
            self.is_open = true;
            self.has_pending_request = segment.length > 0;
            self.request_sent_at = now;
            self.request_ack = self.has_pending_request.then_some(segment.acknowledged);
            self.acknowledged = segment.acknowledged;
            self.sent_end = end;
            return SegmentSignal {
                is_answer: self.is_placed,
                ..SegmentSignal::default()
            };
        }
        let mut signal = SegmentSignal::default();
        if is_after(segment.acknowledged, self.acknowledged) {
            self.acknowledged = segment.acknowledged;
            signal.is_answer = true;
            // Where more data goes with it, the client had the answer before.
            if self.has_pending_request && segment.length == 0 {
                signal.answer_wait_ms = Some(now.ms_since(self.request_sent_at));
            }
            self.has_pending_request = false;
        }
        if self.is_over {
            signal.request_end = self.finish_request();
        }
        if segment.length == 0 {
            return signal;
        }
        if !is_after(end, self.sent_end) {
            let waited_ms = now.ms_since(self.request_sent_at);
            if waited_ms >= MIN_REPEAT_MS {
                signal.unanswered_since = Some(self.request_sent_at);
                signal.answer_wait_ms = Some(waited_ms);
            }
            return signal;
        }
        self.sent_end = end;
        if !self.has_pending_request {
            signal.request_end = signal.request_end.or(self.finish_request());
            self.has_pending_request = true;
            self.request_sent_at = now;
            self.request_ack = Some(self.acknowledged);
            signal.starts_request = !self.is_before_first_request;
            self.is_before_first_request = false;
        }
        signal
    }

    /// Notes that the client has left without an answer, where it has waited for longer than
    /// `deadline_ms` and sent nothing since.
    pub(super) fn expire_request(&mut self, now: Instant, deadline_ms: u64) -> Option<RequestEnd> {
        let has_left = self.has_pending_request && now.ms_since(self.request_sent_at) > deadline_ms;
        has_left.then(|| self.finish_request()).flatten()
    }

    /// Whether its client waits for an answer on the open flow.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_open && !self.is_over && self.has_pending_request
    }

    /// What the client has sent last on the flow, without its data.
    pub(super) fn last_segment(&self, key: Key) -> Segment {
        Segment {
            key,
            kind: Kind::Data,
            token: token_of(self.upstream),
            sequence: self.sent_end,
            acknowledged: self.acknowledged,
            length: 0,
        }
    }

    /// How the last request has ended, once.
    fn finish_request(&mut self) -> Option<RequestEnd> {
        let from = self.request_ack.take()?;
        match self.acknowledged.wrapping_sub(from) {
            0 => Some(RequestEnd::Unanswered),
            bytes => Some(RequestEnd::Answered(bytes)),
        }
    }
}

/// Whether byte number `a` comes after `b`; numbers wrap around.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < u32::MAX / 2
}
