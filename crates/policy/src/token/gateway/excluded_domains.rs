//! Failure domains that get no new flows: those that operators have taken out, and for a moment those
//! that they have brought back.
//!
//! Upstreams may have turned cold shortly before their domain comes back. An entry VM learns that from
//! their next announcement, and would take them for warm until then.

use model::name::Name;

use crate::time::Instant;

/// Interval of announcements if the settings give none, in milliseconds.
const DEFAULT_ANNOUNCE_MS: u64 = 1_000;

/// Time in milliseconds that an announcement may take in addition to half an interval: upstreams keep
/// the interval only approximately, and the way to this VM takes some time.
const SLACK_MS: u64 = 200;

/// Failure domains without new flows.
#[derive(Debug, Clone)]
pub(super) struct ExcludedDomains {
    /// Domains that operators have taken out, then those in `returned`.
    all: Vec<Name>,
    /// Domains that were brought back, and the time when this VM first decided on a packet since.
    returned: Vec<(Name, Option<Instant>)>,
    announce_ms: u64,
}

impl Default for ExcludedDomains {
    fn default() -> Self {
        Self {
            all: Vec::new(),
            returned: Vec::new(),
            announce_ms: DEFAULT_ANNOUNCE_MS,
        }
    }
}

impl ExcludedDomains {
    /// Sets the time between two announcements of an upstream, in milliseconds.
    pub(super) fn set_announce_ms(&mut self, announce_ms: u64) {
        self.announce_ms = announce_ms;
    }

    /// Records that operators have taken out the domains `out`, in place of the domains `before`.
    pub(super) fn update(&mut self, before: &[Name], out: &[Name]) {
        let back = before.iter().filter(|domain| !out.contains(domain));
        let back: Vec<_> = back.map(|domain| (domain.clone(), None)).collect();
        self.returned
            .retain(|(domain, _)| !out.contains(domain) && !before.contains(domain));
        self.returned.extend(back);
        self.set_all(out);
    }

    /// Ends the wait for domains whose upstreams have had the time to announce themselves. `out` are the
    /// domains that operators have taken out.
    pub(super) fn expire(&mut self, now: Instant, out: &[Name]) {
        if self.returned.is_empty() {
            return;
        }
        let wait_ms = self.announce_ms + self.announce_ms / 2 + SLACK_MS;
        self.returned.retain_mut(|(_, since)| {
            let since = *since.get_or_insert(now);
            now.ms_since(since) < wait_ms
        });
        self.set_all(out);
    }

    fn set_all(&mut self, out: &[Name]) {
        let returned = self.returned.iter().map(|(domain, _)| domain);
        self.all = out.iter().chain(returned).cloned().collect();
    }

    /// Returns the domains that get no new flows.
    pub(super) fn all(&self) -> &[Name] {
        &self.all
    }
}
