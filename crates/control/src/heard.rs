//! Upstreams that announce themselves to this control VM, for the entry VMs that listen. Soft
//! state, rebuilt from announcements.
//!
//! Times are milliseconds since the start of this process.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use model::{
    name::Name,
    routing::{Announced, Incarnation, Phase},
};

/// Announcements that may be missed in a row.
const MISSED: u64 = 3;

/// What delays may add, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// Time for which an upstream that has ended is remembered, in milliseconds: a late announcement
/// must not bring it back.
const FORGET_MS: u64 = 120_000;

/// Time after the start of this process in which upstreams of before may announce themselves
/// again, in milliseconds.
const RECALL_MS: u64 = 10_000;

/// Largest number of upstreams that are kept.
pub const MAX_UPSTREAMS: usize = 65_536;

/// What came of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It says something new.
    New,
    /// It says what was known.
    Repeated,
    /// A newer one came before it.
    Late,
    /// [`MAX_UPSTREAMS`] are known already.
    Full,
}

/// What an entry VM is told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News {
    /// Announcements with the time since each, in milliseconds.
    pub announced: Vec<(Announced, u64)>,
    /// Upstreams that have fallen silent.
    pub silent: Vec<Incarnation>,
}

#[derive(Debug, Clone)]
struct Line {
    announced: Announced,
    heard_ms: u64,
    is_silent: bool,
    /// Revision of the last change that entry VMs must learn of.
    revision: u64,
}

/// All upstreams that announce themselves here.
#[derive(Debug)]
pub struct Table {
    lines: BTreeMap<u64, Line>,
    /// Ids by the revision of their last change. Invariant: one for each line.
    changes: BTreeMap<u64, u64>,
    revision: u64,
    /// Time without an announcement after which an upstream is silent.
    expiry_ms: u64,
    /// Upstreams that were heard before this process started, by id.
    recalled: BTreeMap<u64, Announced>,
}

impl Table {
    /// An empty table for upstreams that announce themselves each `every_ms`.
    #[must_use]
    pub fn new(every_ms: u64) -> Self {
        Self {
            lines: BTreeMap::new(),
            changes: BTreeMap::new(),
            revision: 0,
            expiry_ms: MISSED * every_ms + SLACK_MS,
            recalled: BTreeMap::new(),
        }
    }

    /// Takes the upstreams that were heard before this process started.
    #[must_use]
    pub fn recall(mut self, heard: Vec<Announced>) -> Self {
        let by_id = heard.into_iter().map(|a| (a.incarnation.id, a));
        self.recalled = by_id.collect();
        self
    }

    /// Upstreams that were heard before this process started, and not again since.
    #[must_use]
    pub fn recalled(&self) -> Vec<Announced> {
        let again = |id: &u64| self.lines.contains_key(id);
        let left = self.recalled.iter().filter(|(id, _)| !again(id));
        left.map(|(_, announced)| announced.clone()).collect()
    }

    /// Takes an announcement.
    pub fn put(&mut self, now_ms: u64, announced: Announced) -> Outcome {
        let id = announced.incarnation.id;
        let Some(line) = self.lines.get_mut(&id) else {
            if self.lines.len() >= MAX_UPSTREAMS {
                return Outcome::Full;
            }
            self.insert(now_ms, announced);
            return Outcome::New;
        };
        let known = &line.announced;
        let order = |a: &Announced| (a.incarnation.started_ms, a.sequence);
        let is_gone = known.phase == Phase::Gone && known.incarnation == announced.incarnation;
        if is_gone || order(&announced) <= order(known) {
            return Outcome::Late;
        }
        let is_new = line.is_silent || says_more(known, &announced);
        line.heard_ms = now_ms;
        line.is_silent = false;
        line.announced = announced;
        if !is_new {
            return Outcome::Repeated;
        }
        self.touch(id);
        Outcome::New
    }

    /// Takes that upstream `id` stops. One that is not known here is told of all the same: another
    /// control VM may have heard it.
    pub fn leave(&mut self, now_ms: u64, id: u64) -> Outcome {
        match self.lines.get_mut(&id) {
            Some(line) if line.announced.phase == Phase::Gone => return Outcome::Repeated,
            Some(line) => {
                line.announced.phase = Phase::Gone;
                line.heard_ms = now_ms;
                self.touch(id);
            }
            None => self.insert(now_ms, stopped(id)),
        }
        Outcome::New
    }

    /// Finds the upstreams that have fallen silent, and forgets those that ended long ago. Returns
    /// how many have fallen silent.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let expiry_ms = self.expiry_ms;
        if now_ms > RECALL_MS {
            self.recalled.clear();
        }
        let is_due = |line: &&mut Line| {
            let is_live = !line.is_silent && line.announced.phase != Phase::Gone;
            is_live && now_ms >= line.heard_ms + expiry_ms
        };
        let due: Vec<u64> = self
            .lines
            .values_mut()
            .filter(is_due)
            .map(|line| {
                line.is_silent = true;
                line.announced.incarnation.id
            })
            .collect();
        for id in &due {
            self.touch(*id);
        }
        let changes = &mut self.changes;
        self.lines.retain(|_, line| {
            let has_ended = line.is_silent || line.announced.phase == Phase::Gone;
            let is_kept = !has_ended || now_ms < line.heard_ms + FORGET_MS;
            if !is_kept {
                changes.remove(&line.revision);
            }
            is_kept
        });
        due.len()
    }

    /// What has changed since `revision`, and the revision up to which that is told.
    #[must_use]
    pub fn news(&self, now_ms: u64, revision: u64) -> (News, u64) {
        let mut news = News::default();
        for id in self.changes.range(revision + 1..).map(|(_, id)| id) {
            let Some(line) = self.lines.get(id) else {
                continue;
            };
            if line.is_silent {
                news.silent.push(line.announced.incarnation);
            } else {
                let age_ms = now_ms.saturating_sub(line.heard_ms);
                news.announced.push((line.announced.clone(), age_ms));
            }
        }
        (news, self.revision)
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All upstreams that are heard and have not stopped.
    pub fn all(&self) -> impl Iterator<Item = &Announced> {
        let heard = self.lines.values().filter(|line| !line.is_silent);
        let heard = heard.map(|line| &line.announced);
        heard.filter(|announced| announced.phase != Phase::Gone)
    }

    fn insert(&mut self, now_ms: u64, announced: Announced) {
        let id = announced.incarnation.id;
        let line = Line {
            announced,
            heard_ms: now_ms,
            is_silent: false,
            revision: 0,
        };
        self.lines.insert(id, line);
        self.touch(id);
    }

    fn touch(&mut self, id: u64) {
        self.revision += 1;
        if let Some(line) = self.lines.get_mut(&id) {
            self.changes.remove(&line.revision);
            line.revision = self.revision;
            self.changes.insert(self.revision, id);
        }
    }
}

/// Whether entry VMs must learn of `new`, which follows `known`.
fn says_more(known: &Announced, new: &Announced) -> bool {
    let becomes_warm = known.cold_ms > 0 && new.cold_ms == 0;
    let becomes_cold = known.cold_ms == 0 && new.cold_ms > 0;
    let same = Announced {
        sequence: new.sequence,
        cold_ms: new.cold_ms,
        ..known.clone()
    };
    becomes_warm || becomes_cold || same != *new
}

/// What is told of an upstream that stops and is not known here.
fn stopped(id: u64) -> Announced {
    Announced {
        incarnation: Incarnation { id, started_ms: 0 },
        service: Arc::from(""),
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        domain: Name::unknown(),
        slots: 0,
        phase: Phase::Gone,
        cold_ms: 0,
        sequence: 0,
    }
}
