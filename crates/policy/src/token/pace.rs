//! Paces what a VM sends to what its link carries.
//!
//! The load that it answers: clients send up to 16 full packets at once, and a link of 2 Mbit/s
//! drops most of such a burst, which clients repeat after 200 ms. Small packets go before large
//! ones, since opening packets and acknowledgements wait for nothing else.

use std::collections::VecDeque;

use crate::time::Instant;

/// Part of the link's rate that flows may use; the rest is for streams to control VMs.
const LINK_SHARE: f64 = 0.92;

/// What may be sent at once on an idle link, in bytes: two full packets.
const MIN_BURST_BYTES: f64 = 2_600.0;

/// Time that a packet may wait, in milliseconds: clients repeat it after 200 ms.
const MAX_QUEUE_WAIT_MS: f64 = 190.0;

/// Largest packet that goes before others, in bytes.
const SMALL_PACKET_BYTES: usize = 300;

/// Bytes that a datagram takes on the link beside its own.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Bits of a megabit for each millisecond, as bytes.
const BYTES_PER_MS_PER_MBIT: f64 = 125.0;

/// A queue before a link.
#[derive(Debug)]
pub struct Pacer<T> {
    /// Rate, in bytes for each millisecond.
    rate_bytes_per_ms: f64,
    /// Bytes that may be sent at `refilled_at`; negative after a packet that was larger.
    credit_bytes: f64,
    refilled_at: Instant,
    small: VecDeque<(usize, T)>,
    large: VecDeque<(usize, T)>,
    /// Bytes in both queues.
    queued_bytes: usize,
}

impl<T> Pacer<T> {
    /// A queue before a link of `mbps` megabits a second.
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

    /// Fast links take more at once: what they carry in a millisecond.
    fn burst_bytes(rate_bytes_per_ms: f64) -> f64 {
        rate_bytes_per_ms.max(MIN_BURST_BYTES)
    }

    /// Whether a packet of `bytes` may go now, before nothing that waits. It then counts as sent.
    pub fn try_reserve(&mut self, now: Instant, bytes: usize) -> bool {
        self.refill(now);
        let is_free = self.queued_bytes == 0 && self.credit_bytes > 0.0;
        if is_free {
            self.charge(bytes);
        }
        is_free
    }

    /// Lets a packet wait.
    ///
    /// # Errors
    ///
    /// Gives it back where it would wait for too long.
    pub fn push(&mut self, bytes: usize, packet: T) -> Result<(), T> {
        let link_bytes = bytes + DATAGRAM_OVERHEAD_BYTES;
        // Queues are far below the precision of the type.
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

    /// The next packet that may go now.
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

    /// When the next packet may go; none where none waits.
    #[must_use]
    pub fn next_send_at(&self) -> Option<Instant> {
        if self.queued_bytes == 0 {
            return None;
        }
        // A wait is positive and below a second.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_us = (-self.credit_bytes / self.rate_bytes_per_ms * 1_000.0)
            .max(0.0)
            .ceil() as u64;
        Some(Instant(self.refilled_at.0 + wait_us + 1))
    }

    fn refill(&mut self, now: Instant) {
        // Spans are microseconds to minutes, so the loss of precision doesn't matter.
        #[expect(clippy::cast_precision_loss)]
        let passed_ms = now.0.saturating_sub(self.refilled_at.0) as f64 / 1_000.0;
        self.credit_bytes = (self.credit_bytes + passed_ms * self.rate_bytes_per_ms)
            .min(Self::burst_bytes(self.rate_bytes_per_ms));
        self.refilled_at = now;
    }

    fn charge(&mut self, bytes: usize) {
        // Packets are far below the precision of the type.
        #[expect(clippy::cast_precision_loss)]
        let link_bytes = (bytes + DATAGRAM_OVERHEAD_BYTES) as f64;
        self.credit_bytes -= link_bytes;
    }
}
