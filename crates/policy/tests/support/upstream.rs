//! An emulated upstream with slots, cold start and load shedding, which records the requests it
//! ran.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use model::{announce::Announcement, name::Name};
use policy::time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::{blob::Blob, coap};

use super::Shape;

/// Requests that a cold upstream completes before it accepts one more at a time.
const REQUESTS_PER_WARM_UP_STEP: u32 = 12;

/// What an upstream does with a request above its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Excess {
    /// The upstream answers 5.03.
    Shed,
    /// The upstream stops answering for two seconds.
    Collapse,
}

/// What happens to a request that arrives.
pub(crate) enum Arrival {
    /// The request runs for this time, in microseconds.
    Runs(u64),
    /// The request is refused with this response.
    Sheds(coap::Response),
    /// The request gets no answer.
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
    /// Slots in the upstream's announcements.
    pub(crate) announced_slots: u16,
    /// Number of requests that have arrived.
    pub(crate) arrived: u32,
    pub(crate) service_us: u64,
    pub(crate) incarnation: u64,
    /// Requests that the upstream accepts at a time now.
    pub(crate) capacity: u16,
    pub(crate) excess: Excess,
    pub(crate) announces: bool,
    pub(crate) leaving: bool,
    /// Whether the upstream stops a request at its deadline or when it is cancelled.
    pub(crate) honors_deadlines: bool,
    /// Whether the upstream answers nothing.
    pub(crate) unresponsive: bool,
    /// Warmth in the upstream's announcements, in percent.
    pub(crate) announced_warmth_percent: u8,
    /// Ids and start times of the requests that the upstream has run, in order.
    pub(crate) started: Vec<(u64, Instant)>,
    /// Requests that arrived while all slots were busy.
    pub(crate) arrived_over_slots: u32,
    /// Requests that arrived above the capacity of a cold upstream, though slots were free.
    pub(crate) arrived_over_capacity: u32,
    /// Sum of busy slots over time, in slot microseconds.
    pub(crate) busy_us: u64,
    /// Number of requests that the upstream has answered.
    pub(crate) completed: u32,
    running: BTreeMap<Vec<u8>, Running>,
    seen_messages: BTreeSet<(Name, u16)>,
    collapsed_until: Instant,
    completed_since_step: u32,
    rng: Pcg64Mcg,
}

impl Upstream {
    pub(crate) fn new(n: usize, domain: &Name, shape: Shape, seed: u64) -> Self {
        Self {
            name: super::name(format!("up-{n}")),
            domain: domain.clone(),
            request_address: format!("10.1.0.{}:5683", n + 1).parse().unwrap(),
            slots: shape.slots,
            announced_slots: shape.slots,
            arrived: 0,
            service_us: shape.service_us,
            incarnation: 1,
            capacity: shape.slots,
            excess: Excess::Shed,
            announces: true,
            leaving: false,
            honors_deadlines: true,
            unresponsive: false,
            announced_warmth_percent: 100,
            started: Vec::new(),
            arrived_over_slots: 0,
            arrived_over_capacity: 0,
            busy_us: 0,
            completed: 0,
            running: BTreeMap::new(),
            seen_messages: BTreeSet::new(),
            collapsed_until: Instant::ZERO,
            completed_since_step: 0,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (n as u64) << 32),
        }
    }

    /// Turns the upstream cold: it accepts one request at a time until it has completed some.
    pub(crate) fn turn_cold(&mut self) {
        self.capacity = 1;
        self.completed_since_step = 0;
    }

    /// Forgets the requests that the upstream has run.
    pub(crate) fn forget_requests(&mut self) {
        self.started = Vec::new();
        self.seen_messages = BTreeSet::new();
    }

    /// Restarts the upstream cold; running requests are lost.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        self.seen_messages.clear();
        self.turn_cold();
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
            slots: self.announced_slots,
            connections: 2_000,
            incarnation: self.incarnation,
            held_flows: 0,
            warmth_percent: self.announced_warmth_percent,
            leaving: self.leaving,
        }
    }

    pub(crate) fn arrive(&mut self, now: Instant, from: &Name, request: coap::Request) -> Arrival {
        self.arrived += 1;
        // A request stops running at the deadline that it carries.
        self.running.retain(|_, r| r.until > now);
        if self.unresponsive || now < self.collapsed_until {
            return Arrival::Silent;
        }
        // A repeated message id marks a copy that the network made (RFC 7252, section 4.5).
        if !self
            .seen_messages
            .insert((from.clone(), request.message_id))
        {
            return Arrival::Silent;
        }
        let busy = self.running.len();
        if busy >= usize::from(self.capacity) {
            if busy >= usize::from(self.slots) {
                self.arrived_over_slots += 1;
            } else {
                self.arrived_over_capacity += 1;
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
        self.started.push((id, now));
        let deadline_ms = request.deadline_ms.filter(|_| self.honors_deadlines);
        let remaining_ms = u64::from(deadline_ms.unwrap_or(60_000));
        let running = Running {
            from: from.clone(),
            message_id: request.message_id,
            id,
            until: now.plus_ms(remaining_ms),
        };
        self.running.insert(request.token, running);
        let service_us = self.service_us * self.rng.random_range(50..=150) / 100;
        self.busy_us += service_us;
        Arrival::Runs(service_us)
    }

    pub(crate) fn finish(&mut self, now: Instant, token: &[u8]) -> Option<(Name, coap::Response)> {
        self.running.retain(|_, r| r.until > now);
        let run = self.running.remove(token)?;
        if self.unresponsive || now < self.collapsed_until {
            return None;
        }
        self.completed += 1;
        self.completed_since_step += 1;
        if self.capacity < self.slots && self.completed_since_step >= REQUESTS_PER_WARM_UP_STEP {
            self.capacity += 1;
            self.completed_since_step = 0;
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
        if self.honors_deadlines {
            self.running.retain(|_, r| r.message_id != message_id);
        }
    }
}
