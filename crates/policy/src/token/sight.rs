//! What an entry VM knows of each upstream: how much it bears, and whether it answers.
//!
//! An upstream answers clients directly, so a VM sees its answers only in what clients acknowledge.
//! One that seems silent is probed before it is given up: a busy upstream accepts a connection,
//! one that has crashed refuses it, and one behind a cut says nothing.
//!
//! What a probe shows is told to the other VMs, so that few have to probe. How far they go by it
//! depends on what it says: see [`Sights::told`].

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use model::routing::Probed;

use super::{budget::Budget, directory::Directory};
use crate::time::Instant;
use belief::Sight;

mod belief;

/// Probes that are under way at a time.
const MAX_PROBES: usize = 8;

/// Time for which a VM that couldn't reach what another of its failure domain had reached takes no
/// such word, in milliseconds: it is cut off by itself.
const ALONE_MS: u64 = 5_000;

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

/// Why an upstream is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ground {
    /// A client of this VM waits for it.
    Client,
    /// Other VMs could find out as well.
    Doubt,
}

impl Ground {
    /// The ground in one word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Doubt => "doubt",
        }
    }
}

/// A probe that is due: a connection without a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The upstream.
    pub id: u64,
    /// Where it accepts connections.
    pub address: SocketAddrV4,
    /// Why it is probed.
    pub reason: Ground,
}

/// What a probe of this VM or of another showed.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The upstream.
    pub id: u64,
    /// What the probe showed.
    pub probed: Probed,
    /// Whether some control VM hears the upstream.
    pub is_heard: bool,
    /// Time that this VM adds to the wait for the next probe, in milliseconds: another may come
    /// first.
    pub wait_ms: u64,
}

/// Who tells of a probe, and when it began.
#[derive(Debug, Clone, Copy)]
pub struct Witness<'a> {
    /// The VM that probed.
    pub vm: &'a Arc<str>,
    /// Whether it is in this VM's failure domain, so that it reaches what this one reaches.
    pub is_near: bool,
    /// When its probe began.
    pub began: Instant,
}

/// What became of a standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The standing before.
    pub before: Standing,
    /// The standing now.
    pub after: Standing,
    /// When the probe began that led to it.
    pub began: Instant,
}

impl Change {
    /// Whether the upstream was not held to be down before, and is now.
    #[must_use]
    pub fn is_fall(self) -> bool {
        !matches!(self.before, Standing::Down(_)) && matches!(self.after, Standing::Down(_))
    }

    /// Whether an upstream that was down can be reached again.
    #[must_use]
    pub fn is_return(self) -> bool {
        matches!(self.before, Standing::Down(_)) && self.after == Standing::Good
    }
}

/// What came of a probe of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Judged {
    /// What it changed; none where it changed nothing.
    pub change: Option<Change>,
    /// When the probe began, where the other VMs should know what it showed.
    pub tell: Option<Instant>,
}

/// What the word of another VM led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// Nothing: this VM knows better or as much.
    Nothing,
    /// This VM probes, unless others come first.
    Probe,
    /// It is believed, and that is what it changed.
    Change(Change),
}

/// What this VM knows of all upstreams, by id.
#[derive(Debug, Clone, Default)]
pub struct Sights {
    upstreams: BTreeMap<u64, Sight>,
    /// No probe is due before this moment, or any before it has been asked for.
    next_probe: Option<Instant>,
    /// Probes on doubts that this VM may still make.
    budget: Budget,
    /// Until when this VM takes no other's word that an upstream can be reached.
    alone_until: Instant,
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
        sight.is_disputed = false;
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

    /// Has the upstream probed in `wait_ms` because of what others say or are: other VMs found it
    /// down, no control VM hears it, or others of its failure domain are down.
    pub fn doubt(&mut self, now: Instant, id: u64, wait_ms: u64) {
        let sight = self.upstreams.entry(id).or_default();
        if sight.standing == Standing::Good {
            let at = *sight.probe_at.get_or_insert(now.plus_ms(wait_ms));
            self.probe_by(at);
        }
    }

    /// Has an upstream that is down probed in `wait_ms`: it announces itself again, or others of its
    /// failure domain are back.
    pub fn recheck(&mut self, now: Instant, id: u64, wait_ms: u64) {
        let sight = self.upstreams.get_mut(&id);
        let Some(sight) = sight.filter(|s| matches!(s.standing, Standing::Down(_))) else {
            return;
        };
        let wanted = now.plus_ms(wait_ms);
        let at = sight.probe_at.map_or(wanted, |at| at.min(wanted));
        sight.probe_at = Some(at);
        self.probe_by(at);
    }

    /// Takes the outcome of a probe of this VM.
    pub fn probed(&mut self, now: Instant, outcome: Outcome) -> Judged {
        let sight = self.upstreams.entry(outcome.id).or_default();
        let (began, reason) = sight.probing.take().unwrap_or((now, sight.reason()));
        // An answer to a client counts more than a probe that began before it.
        if sight.answered_at.is_some_and(|at| at >= began) {
            return Judged {
                change: None,
                tell: None,
            };
        }
        let change = sight.settle(now, began, outcome);
        sight.is_own = true;
        let was_disputed = std::mem::take(&mut sight.is_disputed);
        if was_disputed && outcome.probed == Probed::Silent {
            self.alone_until = now.plus_ms(ALONE_MS);
        }
        let next = sight.probe_at;
        self.probe_by_any(next);
        let is_told = reason == Ground::Doubt || outcome.probed != Probed::Accepted;
        Judged {
            change,
            tell: is_told.then_some(began),
        }
    }

    /// Takes the outcome of a probe of another VM.
    ///
    /// What a VM of another failure domain finds down makes this one probe, unless another of its own
    /// domain comes first: the other may be behind a cut, which may be silent or refuse. So does what
    /// one VM of its own domain finds down; a second one is believed. One that is down is back where a
    /// VM of this domain says so. Where this VM had found it silent itself, and does so again, it goes
    /// by its own probes for a while: it may be cut off alone.
    pub fn told(&mut self, now: Instant, outcome: Outcome, witness: Witness<'_>) -> Told {
        if outcome.probed == Probed::Accepted && now < self.alone_until {
            return Told::Nothing;
        }
        let sight = self.upstreams.entry(outcome.id).or_default();
        if sight.is_newer_than(witness.began) {
            return Told::Nothing;
        }
        let is_believed = witness.is_near
            && match outcome.probed {
                Probed::Accepted => match sight.standing {
                    // One that has refused has to accept twice.
                    Standing::Good | Standing::Down(_) => true,
                    // A client of this VM waits, whatever the upstream accepts.
                    Standing::Busy(_) | Standing::Suspect => false,
                },
                Probed::Refused | Probed::Silent => sight.is_down_to_another(now, witness.vm),
            };
        if is_believed {
            let was_silent = sight.is_own && sight.standing == Standing::Down(Probed::Silent);
            let change = sight.settle(now, witness.began, outcome);
            sight.is_own = false;
            sight.is_disputed |= was_silent && outcome.probed == Probed::Accepted;
            let next = sight.probe_at;
            self.probe_by_any(next);
            return change.map_or(Told::Nothing, Told::Change);
        }
        match (outcome.probed, sight.standing) {
            (Probed::Refused | Probed::Silent, Standing::Good) => {
                if witness.is_near {
                    sight.down_to = Some((Arc::clone(witness.vm), now));
                }
                self.doubt(now, outcome.id, outcome.wait_ms);
                Told::Probe
            }
            (Probed::Refused | Probed::Silent, _) if witness.is_near => {
                sight.down_to = Some((Arc::clone(witness.vm), now));
                Told::Nothing
            }
            _ => Told::Nothing,
        }
    }

    /// When the next probe may be due; none where none is.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    fn probe_by_any(&mut self, moment: Option<Instant>) {
        if let Some(moment) = moment {
            self.probe_by(moment);
        }
    }

    fn probe_by(&mut self, moment: Instant) {
        let before = self.next_probe.unwrap_or(moment);
        self.next_probe = Some(before.min(moment));
    }

    /// Upstreams that are to be probed now: those that clients wait for, then as many others as the
    /// budget allows.
    pub fn due_probes(&mut self, now: Instant, directory: &Directory) -> Vec<Probe> {
        let running = self.upstreams.values().filter(|s| s.is_probing(now));
        let room = MAX_PROBES.saturating_sub(running.count());
        let due = self.upstreams.iter().filter(|(_, s)| s.is_due(now));
        let mut due: Vec<(&u64, &Sight)> = due.collect();
        // Those that have waited longest come first, so that none waits for good.
        due.sort_by_key(|(_, s)| s.probe_at);
        let (urgent, other): (Vec<_>, Vec<_>) = due
            .into_iter()
            .map(|(id, s)| (*id, s.reason()))
            .partition(|(_, reason)| *reason == Ground::Client);
        let urgent = urgent.into_iter().take(room);
        let left = room.saturating_sub(urgent.len());
        let allowed = self.budget.take(now, other.len().min(left));
        let mut probes = Vec::new();
        let is_spent = allowed < other.len().min(left);
        for (id, reason) in urgent.chain(other.into_iter().take(allowed)) {
            probes.extend(self.start_probe(now, id, reason, directory));
        }
        // One that finds no room is looked for again when a probe under way has its outcome.
        let waiting = self.upstreams.values().filter_map(|s| s.probe_at);
        self.next_probe = waiting.filter(|at| *at > now).min();
        if is_spent {
            self.probe_by(now.plus_ms(Budget::REFILL_MS));
        }
        probes
    }

    fn start_probe(
        &mut self,
        now: Instant,
        id: u64,
        reason: Ground,
        directory: &Directory,
    ) -> Option<Probe> {
        let sight = self.upstreams.get_mut(&id)?;
        sight.probe_at = None;
        let address = directory.get(id)?.announced.address;
        sight.probing = Some((now, reason));
        Some(Probe {
            id,
            address,
            reason,
        })
    }

    /// Whether the upstream has answered any client after `moment`.
    #[must_use]
    pub fn has_answered_since(&self, id: u64, moment: Instant) -> bool {
        let answered_at = self.upstreams.get(&id).and_then(|s| s.answered_at);
        answered_at.is_some_and(|at| at > moment)
    }

    /// Whether the upstream has answered a client, or a probe that is known of, after `moment`.
    #[must_use]
    pub fn was_reached_since(&self, id: u64, moment: Instant) -> bool {
        let Some(sight) = self.upstreams.get(&id) else {
            return false;
        };
        let is_up = matches!(sight.standing, Standing::Good | Standing::Busy(_));
        let answered = sight.answered_at.is_some_and(|at| at > moment);
        answered || is_up && sight.judged_at.is_some_and(|at| at > moment)
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
            sight.judged_at = None;
            sight.down_to = None;
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
