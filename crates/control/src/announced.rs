//! Upstreams that announce themselves, admitted or not. Soft state, rebuilt from announcements.
//!
//! Times are milliseconds since the start of this process.

use std::collections::BTreeMap;

use model::{
    announce::{Announcement, LEASE_MS},
    config::Upstream,
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Time after which an announcement is forgotten, in milliseconds: entry VMs repeat it every
/// [`LEASE_MS`], and one repetition may be lost in a fail-over.
pub const EXPIRY_MS: u64 = 2 * LEASE_MS + 2_000;

/// Largest number of announced upstreams that are kept; further ones are passed over.
pub const MAX_UPSTREAMS: usize = 65_536;

/// An announcement as some control VM got it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// What the upstream said.
    pub announcement: Announcement,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// One line of the table.
#[derive(Debug, Clone)]
struct Line {
    announcement: Announcement,
    at_ms: u64,
    /// Whether this control VM got it from an entry VM.
    direct: bool,
}

/// All upstreams that announce themselves.
#[derive(Debug, Default)]
pub struct Table {
    lines: BTreeMap<(Name, Name), Line>,
}

impl Table {
    /// Takes an announcement from an entry VM.
    pub fn put(&mut self, now_ms: u64, announcement: Announcement) {
        self.insert(now_ms, announcement, true);
    }

    /// Takes what another control VM got.
    pub fn absorb(&mut self, now_ms: u64, digest: Vec<Heard>) {
        for heard in digest {
            let at_ms = now_ms.saturating_sub(heard.age_ms);
            self.insert(at_ms, heard.announcement, false);
        }
    }

    fn insert(&mut self, at_ms: u64, announcement: Announcement, direct: bool) {
        let key = (announcement.service.clone(), announcement.upstream.clone());
        let known = self.lines.get(&key);
        let newer = known.is_none_or(|line| {
            (announcement.incarnation, at_ms) >= (line.announcement.incarnation, line.at_ms)
        });
        if !newer || (known.is_none() && self.lines.len() >= MAX_UPSTREAMS) {
            return;
        }
        let line = Line {
            announcement,
            at_ms,
            direct,
        };
        self.lines.insert(key, line);
    }

    /// What this control VM got itself since `since_ms`, for the other control VMs.
    #[must_use]
    pub fn digest(&self, now_ms: u64, since_ms: u64) -> Vec<Heard> {
        self.lines
            .values()
            .filter(|line| line.direct && line.at_ms >= since_ms)
            .map(|line| Heard {
                announcement: line.announcement.clone(),
                age_ms: now_ms.saturating_sub(line.at_ms),
            })
            .collect()
    }

    /// Drops announcements that were not repeated.
    pub fn expire(&mut self, now_ms: u64) {
        self.lines.retain(|_, line| now_ms < line.at_ms + EXPIRY_MS);
    }

    /// What `upstream` of `service` announced, if its announcements arrive.
    #[must_use]
    pub fn get(&self, service: &Name, upstream: &Name) -> Option<&Announcement> {
        let line = self.lines.get(&(service.clone(), upstream.clone()))?;
        Some(&line.announcement)
    }

    /// What the configuration keeps of `upstream` once it is admitted.
    ///
    /// # Errors
    ///
    /// Says why it can't be admitted.
    pub fn admissible(&self, service: &Name, upstream: &Name) -> Result<Upstream, String> {
        match self.get(service, upstream) {
            Some(announcement) if announcement.leaving => Err(format!(
                "{upstream} has announced that it is about to stop: start it again first"
            )),
            Some(announcement) => Ok(announcement.admitted()),
            None => Err(format!(
                "{upstream} has not announced itself for service {service} in the last {} s: \
                 start it, then see `oriolectl upstream list`",
                EXPIRY_MS / 1_000
            )),
        }
    }

    /// All announcements.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.lines.values().map(|line| &line.announcement)
    }
}
