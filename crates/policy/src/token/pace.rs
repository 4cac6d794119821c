//! Pacing of outgoing packets to the rate of the link.
//!
//! Clients send bursts of up to 16 full packets. A link of 2 Mbit/s would drop most of such a
//! burst, and clients would repeat the lost packets after 200 ms. Small packets are sent before
//! large ones, because nothing else delays opening packets and acknowledgements.

use std::collections::VecDeque;

use crate::time::Instant;

/// Share of the link's rate for flows. The rest is left for streams to control VMs.
const LINK_SHARE: f64 = 0.92;

/// Minimum number of bytes that may be sent at once on an idle link: two full packets.
const MIN_BURST_BYTES: f64 = 2_600.0;

/// Maximum time in milliseconds that a packet may wait in the queue; clients repeat a packet after
/// 200 ms.
const MAX_QUEUE_WAIT_MS: f64 = 190.0;

/// Maximum size of a packet that is sent before larger ones, in bytes.
const SMALL_PACKET_BYTES: usize = 300;

/// Bytes of headers that a datagram adds on the link.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Bytes per millisecond of a rate of 1 Mbit/s.
const BYTES_PER_MS_PER_MBIT: f64 = 125.0;

/// A token bucket with a queue of packets that wait for the link.
#[derive(Debug)]
pub struct Pacer<T> {
    /// Rate of the bucket, in bytes per millisecond.
    rate_bytes_per_ms: f64,
    /// Bytes that may be sent at `refilled_at`; negative after a packet larger than the credit.
    credit_bytes: f64,
    refilled_at: Instant,
    small: VecDeque<(usize, T)>,
    large: VecDeque<(usize, T)>,
    /// Bytes on the link of all queued packets.
    queued_bytes: usize,
}

impl<T> Pacer<T> {
    /// Creates an empty queue for a link of `mbps` megabits per second.
    #[must_use]
    pub fn new(mbps: f64) -> Self {
        let rate_bytes_per_ms = (mbps * BYTES_PER_MS_PER_MBIT * LINK_SHARE).max(1.0);
        Self {
            rate_bytes_per_ms,
            credit_bytes: Self::burst_bytes(rate_bytes_per_ms),
            refilled_at: Instant::ZERO,
            small: VecDeque::new(),
            large: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    /// Returns the capacity of the bucket: the bytes of one millisecond, but at least the minimum
    /// burst.
    fn burst_bytes(rate_bytes_per_ms: f64) -> f64 {
        rate_bytes_per_ms.max(MIN_BURST_BYTES)
    }

    /// Reserves the link for a packet of `bytes` if the queue is empty and there is credit. Returns
    /// whether the packet may be sent now.
    pub fn try_reserve(&mut self, now: Instant, bytes: usize) -> bool {
        self.refill(now);
        let may_send = self.queued_bytes == 0 && self.credit_bytes > 0.0;
        if may_send {
            self.charge(bytes);
        }
        may_send
    }

    /// Queues a packet.
    ///
    /// # Errors
    ///
    /// Returns the packet if it would wait too long.
    pub fn push(&mut self, bytes: usize, packet: T) -> Result<(), T> {
        let link_bytes = bytes + DATAGRAM_OVERHEAD_BYTES;
        // Lengths of queues are far below the precision of f64.
        #[expect(clippy::cast_precision_loss)]
        let wait_ms = (self.queued_bytes + link_bytes) as f64 / self.rate_bytes_per_ms;
        if wait_ms > MAX_QUEUE_WAIT_MS {
            return Err(packet);
        }
        self.queued_bytes += link_bytes;
        match bytes <= SMALL_PACKET_BYTES {
            true => self.small.push_back((link_bytes, packet)),
            false => self.large.push_back((link_bytes, packet)),
        }
        Ok(())
    }

    /// Returns the next packet that may be sent now.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.refill(now);
        if self.credit_bytes <= 0.0 {
            return None;
        }
        let next = self.small.pop_front().or_else(|| self.large.pop_front());
        let (link_bytes, packet) = next?;
        self.queued_bytes -= link_bytes;
        self.charge(link_bytes - DATAGRAM_OVERHEAD_BYTES);
        Some(packet)
    }

    /// Returns the time when the next packet may be sent; none if the queue is empty.
    #[must_use]
    pub fn next_send_at(&self) -> Option<Instant> {
        if self.queued_bytes == 0 {
            return None;
        }
        // The wait is positive and below a second.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_us = (-self.credit_bytes / self.rate_bytes_per_ms * 1_000.0)
            .max(0.0)
            .ceil() as u64;
        Some(Instant(self.refilled_at.0 + wait_us + 1))
    }

    fn refill(&mut self, now: Instant) {
        // Spans range from microseconds to minutes, so the loss of precision doesn't matter.
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = now.0.saturating_sub(self.refilled_at.0) as f64 / 1_000.0;
        self.credit_bytes = (self.credit_bytes + elapsed_ms * self.rate_bytes_per_ms)
            .min(Self::burst_bytes(self.rate_bytes_per_ms));
        self.refilled_at = now;
    }

    fn charge(&mut self, bytes: usize) {
        // Packet sizes are far below the precision of f64.
        #[expect(clippy::cast_precision_loss)]
        let link_bytes = (bytes + DATAGRAM_OVERHEAD_BYTES) as f64;
        self.credit_bytes -= link_bytes;
    }
}
