//! State of a flow in one entry VM, derived only from the client's packets that reach this VM.

use super::{
    directory::token_of,
    outlier::RequestEnd,
    segment::{Key, Kind, Segment},
};
use crate::time::Instant;

/// Minimum time in milliseconds after which repeated data counts as a retransmission. Clients
/// repeat data after 200 ms; earlier repetitions are packets that were reordered on the way.
const MIN_REPEAT_MS: u64 = 150;

/// Time in milliseconds from which on a flow counts as long; the horizon of [`super::cost`].
const LONG_FLOW_MS: u64 = 2_000;

/// State of a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Upstream that the last packet was sent to.
    pub(super) upstream: u64,
    /// Time when the first packet arrived.
    pub(super) opened_at: Instant,
    /// Whether this VM has placed the flow. The first packet of a flow that another VM placed may
    /// arrive long after the upstream answered, so it doesn't show a new answer.
    is_placed: bool,
    /// Time when the last packet arrived.
    pub(super) seen_at: Instant,
    /// Whether the client has completed opening the flow with an upstream.
    pub(super) is_open: bool,
    /// Whether a copy of the opening packet was sent to the upstream because the upstream had accepted a
    /// probe.
    pub(super) is_repeated: bool,
    /// Whether the client has ended the flow.
    pub(super) is_over: bool,
    /// Whether a request is pending: the client sent data and has acknowledged nothing new since.
    has_pending_request: bool,
    /// Whether no request was seen yet. The first request is counted when the flow is placed.
    is_before_first_request: bool,
    /// Time when the pending request was first forwarded.
    request_sent_at: Instant,
    /// Acknowledgement number of the client when the last request began; none if the end of the
    /// request was recorded already or its beginning was not seen.
    request_ack: Option<u32>,
    /// Time that the client waited for the answer to the last request, in milliseconds, if an
    /// acknowledgement showed that.
    answer_wait_ms: Option<u64>,
    /// Sequence number after the last byte that the client sent.
    sent_end: u32,
    /// Last acknowledgement number of the client.
    acknowledged: u32,
}

/// What a packet shows about the upstream of its flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SegmentSignal {
    /// Whether the client has acknowledged new data from the upstream.
    pub(super) is_answer: bool,
    /// Time in milliseconds that the client waited for the answer, or has waited so far.
    pub(super) answer_wait_ms: Option<u64>,
    /// Time when the client first sent the data that the packet repeats.
    pub(super) unanswered_since: Option<Instant>,
    /// Whether the packet begins a request after the first one.
    pub(super) starts_request: bool,
    /// End of the previous request.
    pub(super) request_end: Option<RequestEnd>,
    /// Time that the client had waited for the answer when an earlier packet, or this one, showed the
    /// answer to the request that has ended, in milliseconds.
    pub(super) ended_wait_ms: Option<u64>,
    /// Time since the previous packet of the flow, in milliseconds.
    pub(super) open_ms: u64,
    /// Whether the packet shows that a flow placed by this VM has lasted for [`LONG_FLOW_MS`].
    pub(super) became_long: bool,
    /// Whether the packet begins a request, the first one included.
    pub(super) begins_request: bool,
}

impl Flow {
    /// Creates the state of a flow that this VM has just placed at `upstream`.
    pub(super) fn placed(now: Instant, upstream: u64) -> Self {
        Self {
            is_placed: true,
            ..Self::discovered(now, upstream)
        }
    }

    /// Creates the state of a flow that another VM placed at `upstream`, on its first packet
    /// through this VM.
    pub(super) fn discovered(now: Instant, upstream: u64) -> Self {
        Self {
            upstream,
            opened_at: now,
            is_placed: false,
            seen_at: now,
            is_open: false,
            is_repeated: false,
            is_over: false,
            has_pending_request: false,
            is_before_first_request: true,
            request_sent_at: now,
            request_ack: None,
            answer_wait_ms: None,
            sent_end: 0,
            acknowledged: 0,
        }
    }

    /// Applies a packet other than an opening packet.
    pub(super) fn apply_segment(&mut self, now: Instant, segment: &Segment) -> SegmentSignal {
        let open_ms = now.ms_since(self.seen_at);
        let became_long = self.is_placed
            && self.seen_at.ms_since(self.opened_at) < LONG_FLOW_MS
            && now.ms_since(self.opened_at) >= LONG_FLOW_MS;
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
                open_ms,
                became_long,
                begins_request: self.has_pending_request,
                ..SegmentSignal::default()
            };
        }
        let mut signal = SegmentSignal {
            open_ms,
            became_long,
            ..SegmentSignal::default()
        };
        if is_after(segment.acknowledged, self.acknowledged) {
            self.acknowledged = segment.acknowledged;
            signal.is_answer = true;
            // If the packet carries data, the client received the answer before this
            // acknowledgement.
            if self.has_pending_request && segment.length == 0 {
                signal.answer_wait_ms = Some(now.ms_since(self.request_sent_at));
                self.answer_wait_ms = signal.answer_wait_ms;
            }
            self.has_pending_request = false;
        }
        if self.is_over {
            signal.request_end = self.finish_request();
            signal.ended_wait_ms = self.answer_wait_ms.take();
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
            signal.ended_wait_ms = signal.ended_wait_ms.or(self.answer_wait_ms.take());
            signal.begins_request = true;
            self.has_pending_request = true;
            self.request_sent_at = now;
            self.request_ack = Some(self.acknowledged);
            signal.starts_request = !self.is_before_first_request;
            self.is_before_first_request = false;
        }
        signal
    }

    /// Ends the pending request if the client has sent nothing for longer than `deadline_ms` since
    /// the request.
    pub(super) fn expire_request(&mut self, now: Instant, deadline_ms: u64) -> Option<RequestEnd> {
        let is_expired =
            self.has_pending_request && now.ms_since(self.request_sent_at) > deadline_ms;
        is_expired.then(|| self.finish_request()).flatten()
    }

    /// Reports whether the client waits for an answer on the open flow.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_open && !self.is_over && self.has_pending_request
    }

    /// Returns the header fields of the client's last packet on the flow, without its data.
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

    /// Returns the end of the last request, once per request.
    fn finish_request(&mut self) -> Option<RequestEnd> {
        let ack_before = self.request_ack.take()?;
        match self.acknowledged.wrapping_sub(ack_before) {
            0 => Some(RequestEnd::Unanswered),
            bytes => Some(RequestEnd::Answered(bytes)),
        }
    }
}

/// Reports whether sequence number `a` comes after `b`, with wrap-around.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < u32::MAX / 2
}
