//! State that a dispatcher keeps for one upstream.

use std::collections::BTreeMap;

use model::{
    announce::{Announcement, LEASE_MS},
    config,
    name::Name,
};

use super::{
    flow_limiter::FlowLimiter,
    messages::{CapacitySnapshot, Usage},
    ramp::Ramp,
};
use crate::time::Instant;

/// An upstream whose dispatcher this VM is.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    /// Settings that operators admitted.
    pub(crate) settings: config::Upstream,
    /// Incarnation of the upstream's process; 0 before its first announcement.
    pub(crate) incarnation: u64,
    /// When the upstream last announced itself.
    announced_at: Option<Instant>,
    /// Whether the upstream is about to stop.
    leaving: bool,
    /// Limit on concurrent requests.
    pub(crate) ramp: Ramp,
    /// Attempts of this dispatcher that keep a slot busy, with the time at which each is over at
    /// the latest.
    pub(crate) busy: BTreeMap<u64, Instant>,
    /// Attempts of earlier dispatchers that keep a slot busy, with the time at which each is over
    /// at the latest.
    pub(crate) inherited: BTreeMap<u64, Instant>,
    /// Flow count and limit on new flows.
    pub(crate) flows: FlowLimiter,
    /// When the upstream last got a request.
    pub(crate) last_used: Instant,
    /// Message id of the next attempt. Invariant: no id is reused within 65,536 attempts.
    next_message_id: u16,
}

impl Upstream {
    /// Creates an upstream of which only the configuration is known.
    pub(crate) fn new(now: Instant, settings: &config::Upstream, first_message: u16) -> Self {
        Self {
            settings: settings.clone(),
            incarnation: 0,
            announced_at: None,
            leaving: false,
            ramp: Ramp::new(now, settings.slots),
            busy: BTreeMap::new(),
            inherited: BTreeMap::new(),
            flows: FlowLimiter::new(now, settings.connections),
            last_used: Instant::ZERO,
            next_message_id: first_message,
        }
    }

    /// Applies changed settings of operators.
    pub(crate) fn configure(&mut self, settings: &config::Upstream) {
        self.settings = settings.clone();
        self.ramp.set_slots(settings.slots);
        self.flows.set_connections(settings.connections);
    }

    /// Applies an announcement; returns false if it is not from the upstream that was admitted, or
    /// is from an earlier incarnation.
    pub(crate) fn apply_announcement(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let same_upstream = announcement.request_address == self.settings.request_address
            && announcement.flow_address == self.settings.flow_address
            && announcement.domain == self.settings.domain;
        if !same_upstream || announcement.incarnation < self.incarnation {
            return false;
        }
        if announcement.incarnation > self.incarnation {
            if self.incarnation > 0 {
                self.ramp.restart(now);
                self.flows.restart(now, true);
            }
            self.incarnation = announcement.incarnation;
        }
        self.announced_at = Some(now);
        self.leaving = announcement.leaving;
        self.ramp
            .set_reports_cold(announcement.warmth_percent < 100);
        // An upstream may offer less than operators admitted, but never more.
        self.ramp
            .set_slots(self.settings.slots.min(announcement.slots));
        let connections = self.settings.connections.min(announcement.connections);
        self.flows.set_connections(connections);
        true
    }

    /// Reports whether the upstream announced itself recently.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        self.announced_at
            .is_some_and(|at| now.ms_since(at) <= LEASE_MS)
    }

    /// Reports whether the upstream may get new work.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        let admitted = self.settings.state == config::UpstreamState::Admitted;
        admitted && !self.leaving && self.is_live(now)
    }

    /// Returns how many requests the upstream may process at a time now.
    pub(crate) fn limit(&self, now: Instant) -> u16 {
        if self.accepts_work(now) {
            self.ramp.limit(now)
        } else {
            0
        }
    }

    /// Returns the number of slots that are busy or may be; `unlocated` is the number of attempts
    /// that may be at any upstream.
    pub(crate) fn in_use(&self, now: Instant, unlocated: usize) -> usize {
        let inherited = self
            .inherited
            .values()
            .filter(|until| now < **until)
            .count();
        self.busy.len() + inherited + unlocated
    }

    /// Returns the message id for a new attempt.
    pub(crate) fn allocate_message_id(&mut self) -> u16 {
        let id = self.next_message_id;
        self.next_message_id = id.wrapping_add(1);
        id
    }

    pub(crate) fn usage(&self, now: Instant) -> Usage {
        Usage {
            live: self.is_live(now),
            takes_work: self.accepts_work(now),
            limit: self.limit(now),
            busy: u32::try_from(self.in_use(now, 0)).unwrap_or(u32::MAX),
            flows: self.flows.held(),
            service_us: self.ramp.service_us(),
        }
    }

    /// Returns what another dispatcher needs to know of the upstream's capacity.
    pub(crate) fn capacity_snapshot(&self, name: &Name) -> CapacitySnapshot {
        CapacitySnapshot {
            upstream: name.clone(),
            incarnation: self.incarnation,
            limit: self.ramp.unpaused_limit(),
            service_us: self.ramp.service_us(),
            flows: self.flows.held(),
            flow_rate: self.flows.rate(),
        }
    }

    /// Adopts the capacity that another dispatcher has handed over, unless it is of an earlier
    /// incarnation.
    pub(crate) fn adopt(&mut self, now: Instant, capacity_snapshot: &CapacitySnapshot) {
        if capacity_snapshot.incarnation < self.incarnation {
            return;
        }
        self.incarnation = capacity_snapshot.incarnation;
        self.announced_at = self.announced_at.or(Some(now));
        self.ramp
            .adopt(capacity_snapshot.limit, capacity_snapshot.service_us);
        self.flows
            .adopt(capacity_snapshot.flows, capacity_snapshot.flow_rate);
    }
}
