//! What a VM believes of one upstream, and how a probe changes that.

use std::sync::Arc;

use model::routing::Probed;

use super::{Change, Ground, Outcome, Standing};
use crate::time::Instant;

/// Time until an upstream that was found down is probed again, in milliseconds; doubles with each
/// further time.
const PROBE_EVERY_MS: u64 = 500;

/// The longest such time for an upstream that announces itself, in milliseconds: flows that are open
/// there are refused until then.
const MAX_PROBE_EVERY_MS: u64 = 1_500;

/// The longest such time for one that announces itself to no control VM either: it is hardly there,
/// but a lost packet makes a probe silent as well.
const MAX_PROBE_EVERY_UNHEARD_MS: u64 = 4_000;

/// Time in which a probe has its outcome at the latest, in milliseconds.
const PROBE_WAIT_MS: u64 = 1_000;

/// Time for which an upstream that answers probes, but not a client, gets no new flows where there
/// is another, in milliseconds.
const BUSY_MS: u64 = 300;

/// Time within which two VMs have to find an upstream down for others to believe it, in
/// milliseconds.
const CONFIRM_MS: u64 = 2_000;

/// Time in which a request's weight falls to 1/e, in milliseconds.
const MEMORY_MS: f32 = 2_000.0;

/// What this VM knows of one upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct Sight {
    /// Requests passed on lately, each weighted by its age, as of `at`.
    pub(super) load: f32,
    pub(super) at: Instant,
    /// When a client last took up a flow with it, or acknowledged something new.
    pub(super) answered_at: Option<Instant>,
    pub(super) standing: Standing,
    /// When the newest probe began that the standing follows from.
    pub(super) judged_at: Option<Instant>,
    /// Whether that was a probe of this VM.
    pub(super) is_own: bool,
    /// VM of this failure domain that found it down, and when this one was told.
    pub(super) down_to: Option<(Arc<str>, Instant)>,
    /// When a probe is due, where one is.
    pub(super) probe_at: Option<Instant>,
    /// When the probe under way began, and why.
    pub(super) probing: Option<(Instant, Ground)>,
    /// When the first probe began that it accepted after it had refused one.
    pub(super) accepted_at: Option<Instant>,
    /// Whether another VM of this failure domain has reached it since this one found it silent.
    pub(super) is_disputed: bool,
    /// Time until the next probe while the upstream is down, in milliseconds.
    pub(super) probe_every_ms: u64,
}

impl Sight {
    pub(super) fn load(&self, now: Instant) -> f32 {
        self.load * now.remaining_fraction(self.at, MEMORY_MS)
    }

    pub(super) fn is_probing(&self, now: Instant) -> bool {
        let since = self.probing.map(|(at, _)| at);
        since.is_some_and(|at| now.ms_since(at) < PROBE_WAIT_MS)
    }

    pub(super) fn ground(&self) -> Ground {
        match self.standing {
            Standing::Suspect => Ground::Client,
            Standing::Good | Standing::Busy(_) | Standing::Down(_) => Ground::Doubt,
        }
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.probe_at.is_some_and(|at| now >= at) && !self.is_probing(now)
    }

    /// Whether what a probe showed that began at `began` is overtaken.
    pub(super) fn is_newer_than(&self, began: Instant) -> bool {
        let later = |at: Option<Instant>| at.is_some_and(|at| at >= began);
        later(self.answered_at) || later(self.judged_at)
    }

    /// Whether this VM holds it to be down, or another than `vm` found it so a moment ago.
    pub(super) fn is_down_to_another(&self, now: Instant, vm: &Arc<str>) -> bool {
        let other = self.down_to.as_ref();
        matches!(self.standing, Standing::Down(_))
            || other.is_some_and(|(other, at)| other != vm && now.ms_since(*at) < CONFIRM_MS)
    }

    /// Takes what a probe showed that began at `began`.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        began: Instant,
        outcome: Outcome,
    ) -> Option<Change> {
        let before = self.standing;
        self.judged_at = Some(began);
        self.down_to = None;
        (self.standing, self.probe_at) = match (outcome.probed, before) {
            (Probed::Accepted, Standing::Suspect) => (Standing::Busy(now.plus_ms(BUSY_MS)), None),
            // Another that has yet to announce itself may have taken over the address.
            (Probed::Accepted, Standing::Down(Probed::Refused)) if !self.accepts_since(began) => {
                self.accepted_at.get_or_insert(began);
                let next = now.plus_ms(PROBE_EVERY_MS + outcome.wait_ms);
                (Standing::Down(Probed::Refused), Some(next))
            }
            (Probed::Accepted, _) => (Standing::Good, None),
            // Its process has ended, and no other start of it has been heard of.
            (Probed::Refused, _) if !outcome.is_heard => (Standing::Down(Probed::Refused), None),
            (down, _) => {
                self.probe_every_ms = self.next_wait_ms(outcome.is_heard);
                let next = now.plus_ms(self.probe_every_ms + outcome.wait_ms);
                (Standing::Down(down), Some(next))
            }
        };
        if outcome.probed != Probed::Accepted {
            self.accepted_at = None;
        }
        let after = self.standing;
        (after != before).then_some(Change {
            before,
            after,
            began,
        })
    }

    /// Whether a probe that began long enough before `began` was accepted as well.
    fn accepts_since(&self, began: Instant) -> bool {
        let first = self.accepted_at;
        first.is_some_and(|at| began.ms_since(at) >= PROBE_EVERY_MS)
    }

    fn next_wait_ms(&self, is_heard: bool) -> u64 {
        let most = match is_heard {
            true => MAX_PROBE_EVERY_MS,
            false => MAX_PROBE_EVERY_UNHEARD_MS,
        };
        match self.standing {
            Standing::Down(_) => (2 * self.probe_every_ms).min(most),
            Standing::Good | Standing::Busy(_) | Standing::Suspect => PROBE_EVERY_MS,
        }
    }
}
