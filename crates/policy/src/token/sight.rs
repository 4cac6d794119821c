//! What an entry VM saw of each upstream: how much it bears, and whether it answers.
//!
//! An upstream answers clients directly, so a VM sees its answers only in what clients acknowledge.
//! One that seems silent is probed before it is given up: a busy upstream accepts a connection,
//! one that has crashed refuses it, and one behind a cut says nothing.

use std::{collections::BTreeMap, net::SocketAddrV4};

use super::directory::Directory;
use crate::time::Instant;

/// Time in which a request's weight falls to 1/e, in milliseconds.
const MEMORY_MS: f32 = 2_000.0;

/// Time between two probes of an upstream that is down, in milliseconds.
const PROBE_EVERY_MS: u64 = 500;

/// The longest time between two probes of one that announces itself to no control VM either, to which
/// the time grows with each probe: it is hardly there, but a lost packet makes a probe silent as well.
const MAX_PROBE_EVERY_MS: u64 = 4_000;

/// Time in which a probe has its outcome at the latest, in milliseconds.
const PROBE_WAIT_MS: u64 = 1_000;

/// Time for which an upstream that answers probes, but not a client, gets no new flows where there
/// is another, in milliseconds.
const BUSY_MS: u64 = 300;

/// Probes that are under way at a time.
const MAX_PROBES: usize = 8;

/// What came of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Probed {
    /// The upstream accepted a connection.
    Accepted,
    /// It refused one: no process listens.
    Refused,
    /// Nothing came back.
    Silent,
}

/// Whether an upstream answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// As far as is known, it does.
    #[default]
    Good,
    /// It accepts connections, but left a client without an answer until then.
    Busy(Instant),
    /// A client got no answer, and a probe has yet to tell.
    Suspect,
    /// It doesn't.
    Down(Probed),
}

/// What this VM saw of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Sight {
    /// Requests passed on lately, each weighted by its age, as of `at`.
    load: f32,
    at: Instant,
    /// When a client last took up a flow with it, or acknowledged something new.
    answered_at: Option<Instant>,
    standing: Standing,
    /// When a probe is due, where one is.
    probe_at: Option<Instant>,
    /// When the probe under way began.
    probing_since: Option<Instant>,
    /// Time until the next probe while the upstream is down, in milliseconds.
    probe_every_ms: u64,
}

impl Sight {
    fn load(&self, now: Instant) -> f32 {
        self.load * now.left_of(self.at, MEMORY_MS)
    }
}

/// What this VM saw of all upstreams, by id.
#[derive(Debug, Clone, Default)]
pub struct Sights {
    upstreams: BTreeMap<u64, Sight>,
    /// No probe is due before this moment, or any before it has been asked for.
    next_probe: Option<Instant>,
}

impl Sights {
    /// Notes a request that was passed on.
    pub fn request(&mut self, now: Instant, id: u64) {
        let sight = self.upstreams.entry(id).or_default();
        sight.load = sight.load(now) + 1.0;
        sight.at = now;
    }

    /// Notes that the upstream has answered a client.
    pub fn answered(&mut self, now: Instant, id: u64) {
        let sight = self.upstreams.entry(id).or_default();
        sight.answered_at = Some(now);
        sight.standing = Standing::Good;
        sight.probe_at = None;
    }

    /// Notes that a client still waits for the upstream's answer to what it sent at `sent_at`.
    /// Returns whether that makes the upstream suspect.
    pub fn unanswered(&mut self, now: Instant, id: u64, sent_at: Instant) -> bool {
        if self.has_answered_since(id, sent_at) {
            return false;
        }
        let sight = self.upstreams.entry(id).or_default();
        match sight.standing {
            Standing::Suspect | Standing::Down(_) => return false,
            Standing::Busy(until) if now < until => return false,
            Standing::Good | Standing::Busy(_) => {}
        }
        sight.standing = Standing::Suspect;
        sight.probe_at = Some(now);
        self.probe_by(now);
        true
    }

    /// Has the upstream probed because of what others say or are: other VMs found it down, no
    /// control VM hears it, or others of its failure domain are down.
    pub fn doubt(&mut self, now: Instant, id: u64) {
        let sight = self.upstreams.entry(id).or_default();
        if sight.standing == Standing::Good {
            sight.probe_at.get_or_insert(now);
            self.probe_by(now);
        }
    }

    /// Has an upstream that is down probed at once: it announces itself again.
    pub fn recheck(&mut self, now: Instant, id: u64) {
        let sight = self.upstreams.get_mut(&id);
        let Some(sight) = sight.filter(|s| matches!(s.standing, Standing::Down(_))) else {
            return;
        };
        sight.probe_at = Some(now);
        self.probe_by(now);
    }

    /// Takes the outcome of a probe of an upstream that announces itself, or no longer does.
    /// Returns the upstream's standing before, where that has changed.
    pub fn probed(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Probed,
        is_heard: bool,
    ) -> Option<Standing> {
        let sight = self.upstreams.entry(id).or_default();
        let before = sight.standing;
        let began = sight.probing_since.take().unwrap_or(now);
        // An answer to a client counts more than a probe that began before it.
        if sight.answered_at.is_some_and(|at| at >= began) {
            return None;
        }
        (sight.standing, sight.probe_at) = match (outcome, before) {
            (Probed::Accepted, Standing::Suspect) => (Standing::Busy(now.plus_ms(BUSY_MS)), None),
            (Probed::Accepted, _) => (Standing::Good, None),
            (outcome, _) => {
                sight.probe_every_ms = match (before, is_heard) {
                    (Standing::Down(_), false) => {
                        (2 * sight.probe_every_ms).min(MAX_PROBE_EVERY_MS)
                    }
                    _ => PROBE_EVERY_MS,
                };
                let next = now.plus_ms(sight.probe_every_ms);
                (Standing::Down(outcome), Some(next))
            }
        };
        let is_news = sight.standing != before;
        if let Some(at) = sight.probe_at {
            self.probe_by(at);
        }
        is_news.then_some(before)
    }

    /// When the next probe may be due; none where none is.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    fn probe_by(&mut self, moment: Instant) {
        let before = self.next_probe.unwrap_or(moment);
        self.next_probe = Some(before.min(moment));
    }

    /// Upstreams that are to be probed now.
    pub fn due_probes(&mut self, now: Instant, directory: &Directory) -> Vec<(u64, SocketAddrV4)> {
        let is_running = |s: &Sight| {
            let since = s.probing_since;
            since.is_some_and(|at| now.ms_since(at) < PROBE_WAIT_MS)
        };
        let running = self.upstreams.values().filter(|s| is_running(s)).count();
        let room = MAX_PROBES.saturating_sub(running);
        let due =
            |(_, s): &(&u64, &mut Sight)| s.probe_at.is_some_and(|at| now >= at) && !is_running(s);
        let mut probes = Vec::new();
        for (id, sight) in self.upstreams.iter_mut().filter(due).take(room) {
            sight.probe_at = None;
            if let Some(upstream) = directory.get(*id) {
                sight.probing_since = Some(now);
                probes.push((*id, upstream.announced.address));
            }
        }
        // One that finds no room is looked for again when a probe under way has its outcome.
        let waiting = self.upstreams.values().filter_map(|s| s.probe_at);
        self.next_probe = waiting.filter(|at| *at > now).min();
        probes
    }

    /// Whether the upstream has answered any client after `moment`.
    #[must_use]
    pub fn has_answered_since(&self, id: u64, moment: Instant) -> bool {
        let answered_at = self.upstreams.get(&id).and_then(|s| s.answered_at);
        answered_at.is_some_and(|at| at > moment)
    }

    /// Forgets upstreams that the directory has forgotten.
    pub fn retain(&mut self, directory: &Directory) {
        self.upstreams.retain(|id, _| directory.get(*id).is_some());
    }

    /// Forgets whether the upstream answers: it has started anew.
    pub fn renew(&mut self, id: u64) {
        if let Some(sight) = self.upstreams.get_mut(&id) {
            sight.standing = Standing::Good;
            sight.probe_at = None;
        }
    }

    /// Whether the upstream answers.
    #[must_use]
    pub fn standing(&self, id: u64) -> Standing {
        self.upstreams
            .get(&id)
            .map(|s| s.standing)
            .unwrap_or_default()
    }

    /// Whether new flows should rather go to another upstream.
    #[must_use]
    pub fn is_avoided(&self, now: Instant, id: u64) -> bool {
        match self.standing(id) {
            Standing::Good => false,
            Standing::Busy(until) => now < until,
            Standing::Suspect | Standing::Down(_) => true,
        }
    }

    /// Whether the upstream is known not to answer.
    #[must_use]
    pub fn is_down(&self, id: u64) -> bool {
        matches!(self.standing(id), Standing::Down(_))
    }

    /// Requests passed on lately, each weighted by its age.
    #[must_use]
    pub fn load(&self, now: Instant, id: u64) -> f32 {
        self.upstreams.get(&id).map_or(0.0, |s| s.load(now))
    }
}
