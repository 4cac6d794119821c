//! Upstreams that operators can admit: all upstreams whose announcements reach some control VM,
//! admitted or not. Soft state, rebuilt from announcements.
//!
//! Times are milliseconds since the start of this process.

use std::collections::BTreeMap;

use model::{
    announce::{Announcement, LEASE_MS},
    config::Upstream,
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Time after which an announcement expires, in milliseconds. Entry VMs repeat announcements every
/// [`LEASE_MS`], and a failover may lose one repetition.
pub const EXPIRY_MS: u64 = 2 * LEASE_MS + 2_000;

/// Maximum number of announced upstreams in the table; further ones are ignored.
pub const MAX_UPSTREAMS: usize = 65_536;

/// An announcement as received by a control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementRecord {
    /// Content of the announcement.
    pub announcement: Announcement,
    /// Time since the announcement was received, in milliseconds.
    pub age_ms: u64,
}

/// The newest announcement of one upstream.
#[derive(Debug, Clone)]
struct Candidate {
    announcement: Announcement,
    received_at_ms: u64,
    /// Whether this control VM received the announcement from an entry VM.
    is_direct: bool,
}

/// Upstreams that announce themselves, by service and name.
#[derive(Debug, Default)]
pub struct CandidateTable {
    candidates: BTreeMap<(Name, Name), Candidate>,
}

impl CandidateTable {
    /// Records an announcement received from an entry VM.
    pub fn record(&mut self, now_ms: u64, announcement: Announcement) {
        self.insert(now_ms, announcement, true);
    }

    /// Merges the announcements that another control VM received.
    pub fn merge_digest(&mut self, now_ms: u64, digest: Vec<AnnouncementRecord>) {
        for record in digest {
            let received_at_ms = now_ms.saturating_sub(record.age_ms);
            self.insert(received_at_ms, record.announcement, false);
        }
    }

    fn insert(&mut self, received_at_ms: u64, announcement: Announcement, is_direct: bool) {
        let key = (announcement.service.clone(), announcement.upstream.clone());
        let known = self.candidates.get(&key);
        let is_newer = known.is_none_or(|candidate| {
            (announcement.incarnation, received_at_ms)
                >= (candidate.announcement.incarnation, candidate.received_at_ms)
        });
        if !is_newer || (known.is_none() && self.candidates.len() >= MAX_UPSTREAMS) {
            return;
        }
        let candidate = Candidate {
            announcement,
            received_at_ms,
            is_direct,
        };
        self.candidates.insert(key, candidate);
    }

    /// Returns the announcements that this control VM received directly since `since_ms`, for the
    /// other control VMs.
    #[must_use]
    pub fn digest(&self, now_ms: u64, since_ms: u64) -> Vec<AnnouncementRecord> {
        self.candidates
            .values()
            .filter(|candidate| candidate.is_direct && candidate.received_at_ms >= since_ms)
            .map(|candidate| AnnouncementRecord {
                announcement: candidate.announcement.clone(),
                age_ms: now_ms.saturating_sub(candidate.received_at_ms),
            })
            .collect()
    }

    /// Removes announcements that were not repeated within [`EXPIRY_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.candidates
            .retain(|_, candidate| now_ms < candidate.received_at_ms + EXPIRY_MS);
    }

    /// Returns the current announcement of `upstream` of `service`.
    #[must_use]
    pub fn announcement_of(&self, service: &Name, upstream: &Name) -> Option<&Announcement> {
        let candidate = self.candidates.get(&(service.clone(), upstream.clone()))?;
        Some(&candidate.announcement)
    }

    /// Returns the configuration entry of `upstream` for its admission.
    ///
    /// # Errors
    ///
    /// Says why the upstream can't be admitted.
    pub fn upstream_to_admit(&self, service: &Name, upstream: &Name) -> Result<Upstream, String> {
        match self.announcement_of(service, upstream) {
            Some(announcement) if announcement.leaving => Err(format!(
                "upstream {upstream} has announced that it is about to stop: start it again first"
            )),
            Some(announcement) => Ok(announcement.admitted()),
            None => Err(format!(
                "upstream {upstream} has not announced itself for service {service} in the last {} s: \
                 start it, then check `oriolectl upstream list`",
                EXPIRY_MS / 1_000
            )),
        }
    }

    /// Iterates over all current announcements.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.candidates
            .values()
            .map(|candidate| &candidate.announcement)
    }
}
