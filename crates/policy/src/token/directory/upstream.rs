//! One upstream, as an entry VM knows it from announcements.

use std::{collections::BTreeSet, net::SocketAddr};

use model::{
    name::Name,
    routing::{Announced, Incarnation, Phase},
};

use super::token_of;
use crate::time::Instant;

/// Time in milliseconds that is added to an announced cold period, because the announced value is
/// rounded and the announcement took some time to arrive.
const COLD_SLACK_MS: u64 = 150;

/// Presence of an upstream, according to its announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// At least one control VM receives announcements of the upstream.
    Claimed,
    /// The streams of all control VMs that claimed the upstream have ended. The upstream counts as
    /// claimed until the given time.
    Orphaned(Instant),
    /// No control VM has received announcements of the upstream since the given time.
    Silent(Instant),
    /// A control VM knew the upstream before the control VM restarted, and this VM learned so at
    /// the given time.
    Recalled(Instant),
}

/// The reason why an upstream doesn't accept new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The upstream is about to stop.
    Draining,
    /// The upstream has stopped.
    Stopped,
    /// No control VM receives announcements of the upstream.
    Unclaimed,
    /// Another upstream has the same token, or a later one the same address.
    Barred,
    /// The upstream is not warm yet.
    Cold {
        /// Time in milliseconds until it is.
        warm_in_ms: u64,
    },
}

/// An upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Last announcement of the upstream.
    pub announced: Announced,
    /// Token of the upstream's flows.
    pub token: u32,
    /// Time from which on the upstream is warm and may get new flows.
    pub warm_at: Instant,
    /// Time when this VM first learned that the upstream has stopped.
    pub gone_at: Option<Instant>,
    /// Whether this VM has known the upstream before its stop.
    pub was_live: bool,
    /// Control VMs that receive announcements of the upstream.
    pub(super) claims: BTreeSet<SocketAddr>,
    pub(super) presence: Presence,
    /// Whether the upstream must not get new flows, because another upstream has the same token or
    /// a later upstream has the same address.
    pub(super) is_barred: bool,
}

impl Upstream {
    pub(super) fn new(now: Instant, announced: Announced, age_ms: u64) -> Self {
        Self {
            token: token_of(announced.incarnation.id),
            warm_at: warm_at(now, &announced, age_ms),
            gone_at: (announced.phase == Phase::Gone).then_some(now),
            was_live: announced.phase != Phase::Gone,
            claims: BTreeSet::new(),
            presence: Presence::Claimed,
            is_barred: false,
            announced,
        }
    }

    pub(super) fn announced_by(
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) -> Self {
        Self {
            claims: BTreeSet::from([source]),
            ..Self::new(now, announced, age_ms)
        }
    }

    /// Reports whether the upstream may get new flows.
    #[must_use]
    pub fn accepts_flows(&self, now: Instant) -> bool {
        self.unavailable(now).is_none()
    }

    /// Returns the reason why the upstream may not get new flows; none if it may.
    #[must_use]
    pub fn unavailable(&self, now: Instant) -> Option<Unavailable> {
        match (self.announced.phase, self.presence) {
            (Phase::Gone, _) => Some(Unavailable::Stopped),
            (Phase::Draining, _) => Some(Unavailable::Draining),
            (Phase::Ready, Presence::Silent(_) | Presence::Recalled(_)) => {
                Some(Unavailable::Unclaimed)
            }
            (Phase::Ready, Presence::Claimed | Presence::Orphaned(_)) if self.is_barred => {
                Some(Unavailable::Barred)
            }
            (Phase::Ready, Presence::Claimed | Presence::Orphaned(_)) => {
                (now < self.warm_at).then(|| Unavailable::Cold {
                    warm_in_ms: self.warm_at.ms_since(now),
                })
            }
        }
    }

    /// Reports whether the upstream may get new flows when the failure domains `out` get none.
    #[must_use]
    pub fn accepts_flows_outside(&self, now: Instant, out: &[Name]) -> bool {
        self.accepts_flows(now) && !out.contains(&self.announced.domain)
    }

    /// Reports whether the upstream has stopped or is no longer claimed by any control VM.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended_at().is_some()
    }

    /// Returns the time when the upstream stopped or lost its last claim, if it did.
    pub(super) fn ended_at(&self) -> Option<Instant> {
        match self.presence {
            _ if self.gone_at.is_some() => self.gone_at,
            Presence::Silent(at) | Presence::Recalled(at) => Some(at),
            Presence::Claimed | Presence::Orphaned(_) => None,
        }
    }

    /// Merges another announcement of the same incarnation.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) {
        self.claims.insert(source);
        self.presence = Presence::Claimed;
        if announced.phase == Phase::Gone {
            self.announced.phase = Phase::Gone;
            self.gone_at.get_or_insert(now);
        }
        if self.gone_at.is_some() || announced.sequence < self.announced.sequence {
            return;
        }
        self.warm_at = warm_at(now, &announced, age_ms);
        self.announced = announced;
    }
}

fn warm_at(now: Instant, announced: &Announced, age_ms: u64) -> Instant {
    match announced.cold_ms {
        0 => now,
        cold_ms => now.plus_ms((cold_ms + COLD_SLACK_MS).saturating_sub(age_ms)),
    }
}

/// Returns the key that orders upstreams by start time.
pub(super) fn start_order(upstream: &Upstream) -> (u64, u64) {
    let Incarnation { id, started_ms } = upstream.announced.incarnation;
    (started_ms, id)
}
