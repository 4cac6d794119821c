//! An upstream: slots, cold start, shedding, and a log of what it ran.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use model::{announce::Announcement, name::Name};
use policy::time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::{blob::Blob, coap};

use super::Shape;

/// Requests done after which a cold upstream bears one more at a time.
const WARM_UP: u32 = 12;

/// What it does with a request that is more than it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Excess {
    /// It answers 5.03.
    Shed,
    /// It stops answering anything for two seconds.
    Collapse,
}

/// What becomes of a request that arrives.
pub(crate) enum Arrival {
    /// It runs for so many microseconds.
    Runs(u64),
    /// It is refused.
    Sheds(coap::Response),
    /// Nothing is answered.
    Silent,
}

struct Running {
    from: Name,
    message_id: u16,
    id: u64,
    until: Instant,
}

/// The upstream.
pub(crate) struct Upstream {
    pub(crate) name: Name,
    pub(crate) domain: Name,
    pub(crate) request_address: SocketAddr,
    pub(crate) slots: u16,
    /// Slots that it says it has.
    pub(crate) claims_slots: u16,
    /// Requests that have arrived.
    pub(crate) got: u32,
    pub(crate) service_us: u64,
    pub(crate) incarnation: u64,
    /// Requests that it bears at a time now.
    pub(crate) bears: u16,
    pub(crate) excess: Excess,
    pub(crate) announces: bool,
    pub(crate) leaving: bool,
    /// Whether it stops work at the deadline or when it is cancelled.
    pub(crate) minds_deadlines: bool,
    /// Whether it answers at all.
    pub(crate) mute: bool,
    /// What it says of its warmth, in percent.
    pub(crate) says_warmth: u8,
    /// The requests that it has started, and when, in order.
    pub(crate) ran: Vec<(u64, Instant)>,
    /// Requests that arrived while all slots were busy.
    pub(crate) over_slots: u32,
    /// Requests that arrived while it bore no more, though slots were free.
    pub(crate) over_cold: u32,
    /// Sum of busy slots over time, in slot microseconds.
    pub(crate) busy_us: u64,
    /// Requests that it answered.
    pub(crate) done: u32,
    running: BTreeMap<Vec<u8>, Running>,
    seen: BTreeSet<(Name, u16)>,
    collapsed_until: Instant,
    warm_up: u32,
    rng: Pcg64Mcg,
}

impl Upstream {
    pub(crate) fn new(n: usize, domain: &Name, shape: Shape, seed: u64) -> Self {
        Self {
            name: super::name(format!("up-{n}")),
            domain: domain.clone(),
            request_address: format!("10.1.0.{}:5683", n + 1).parse().unwrap(),
            slots: shape.slots,
            claims_slots: shape.slots,
            got: 0,
            service_us: shape.service_us,
            incarnation: 1,
            bears: shape.slots,
            excess: Excess::Shed,
            announces: true,
            leaving: false,
            minds_deadlines: true,
            mute: false,
            says_warmth: 100,
            ran: Vec::new(),
            over_slots: 0,
            over_cold: 0,
            busy_us: 0,
            done: 0,
            running: BTreeMap::new(),
            seen: BTreeSet::new(),
            collapsed_until: Instant::ZERO,
            warm_up: 0,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (n as u64) << 32),
        }
    }

    /// Turns cold: it bears one request at a time until it has done some.
    pub(crate) fn chill(&mut self) {
        self.bears = 1;
        self.warm_up = 0;
    }

    /// Forgets what it has run.
    pub(crate) fn forget(&mut self) {
        self.ran = Vec::new();
        self.seen = BTreeSet::new();
    }

    /// Starts anew: what was running is lost, and it is cold.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        self.seen.clear();
        self.chill();
    }

    pub(crate) fn announcement(&self, service: &Name) -> Announcement {
        let mut flow_address = self.request_address;
        flow_address.set_port(6080);
        Announcement {
            service: service.clone(),
            upstream: self.name.clone(),
            domain: self.domain.clone(),
            flow_address,
            request_address: self.request_address,
            slots: self.claims_slots,
            connections: 2_000,
            incarnation: self.incarnation,
            held_flows: 0,
            warmth_percent: self.says_warmth,
            leaving: self.leaving,
        }
    }

    pub(crate) fn arrive(&mut self, now: Instant, from: &Name, request: coap::Request) -> Arrival {
        self.got += 1;
        // Work stops at the deadline that came with it.
        self.running.retain(|_, r| r.until > now);
        if self.mute || now < self.collapsed_until {
            return Arrival::Silent;
        }
        // A message id that it has seen is a copy that the network made (RFC 7252, section 4.5).
        if !self.seen.insert((from.clone(), request.message_id)) {
            return Arrival::Silent;
        }
        let busy = self.running.len();
        if busy >= usize::from(self.bears) {
            if busy >= usize::from(self.slots) {
                self.over_slots += 1;
            } else {
                self.over_cold += 1;
            }
            if self.excess == Excess::Collapse {
                self.collapsed_until = now.plus_ms(2_000);
                return Arrival::Silent;
            }
            return Arrival::Sheds(coap::Response {
                token: request.token,
                code: coap::UNAVAILABLE,
                max_age_s: Some(1),
                payload: Blob::default(),
            });
        }
        let payload: [u8; 8] = (*request.payload.0).try_into().unwrap();
        let id = u64::from_be_bytes(payload);
        self.ran.push((id, now));
        let named = request.deadline_ms.filter(|_| self.minds_deadlines);
        let left_ms = u64::from(named.unwrap_or(60_000));
        let running = Running {
            from: from.clone(),
            message_id: request.message_id,
            id,
            until: now.plus_ms(left_ms),
        };
        self.running.insert(request.token, running);
        let us = self.service_us * self.rng.random_range(50..=150) / 100;
        self.busy_us += us;
        Arrival::Runs(us)
    }

    pub(crate) fn finish(&mut self, now: Instant, token: &[u8]) -> Option<(Name, coap::Response)> {
        self.running.retain(|_, r| r.until > now);
        let run = self.running.remove(token)?;
        if self.mute || now < self.collapsed_until {
            return None;
        }
        self.done += 1;
        self.warm_up += 1;
        if self.bears < self.slots && self.warm_up >= WARM_UP {
            self.bears += 1;
            self.warm_up = 0;
        }
        let response = coap::Response {
            token: token.to_vec(),
            code: coap::CHANGED,
            max_age_s: None,
            payload: run.id.to_be_bytes().to_vec().into(),
        };
        Some((run.from, response))
    }

    pub(crate) fn cancel(&mut self, message_id: u16) {
        if self.minds_deadlines {
            self.running.retain(|_, r| r.message_id != message_id);
        }
    }
}
