//! What entry VMs find out about upstreams, on its way to the other entry VMs.
//!
//! Every VM of the finder's failure domain is told of all of it, since it would find the same and can
//! then spare its own probe. The others are told once of what a failure domain finds down: they may
//! find otherwise, and go on doing so for as long as a cut lasts.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use model::{
    name::Name,
    routing::{ProbeOutcome, ProbeReport, Report},
};

/// Time without a word from a failure domain about an upstream after which the same is news again,
/// in milliseconds.
const FORGET_MS: u64 = 10_000;

/// An entry VM that found something out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finder {
    /// Its name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Name,
}

/// Something that all streams of entry VMs may have to tell.
#[derive(Debug, Clone)]
pub enum News {
    /// What an entry VM found out.
    Found {
        /// The entry VM.
        by: Arc<Finder>,
        /// What it found.
        finding: ProbeReport,
        /// When this control VM was told.
        at: Instant,
        /// Whether VMs of other failure domains should know.
        is_wide: bool,
    },
    /// An entry VM of the build before found this upstream down.
    Suspected(u64),
}

/// Remembers what was told, and which entry VMs listen. Times are milliseconds since the start of
/// this process.
#[derive(Debug, Default)]
pub struct Relay {
    /// What each failure domain found last of each upstream, and when.
    found: BTreeMap<(u64, Name), (ProbeOutcome, u64)>,
    /// Number of entry VMs that listen in each failure domain.
    listeners: BTreeMap<Name, u32>,
}

impl Relay {
    /// Takes what a VM of `domain` found of upstream `id`. Returns whether other failure domains
    /// should know.
    pub fn take(&mut self, now_ms: u64, id: u64, domain: &Name, probed: ProbeOutcome) -> bool {
        self.found
            .retain(|_, (_, found_ms)| now_ms < *found_ms + FORGET_MS);
        let key = (id, domain.clone());
        let before = self.found.insert(key, (probed, now_ms));
        let is_same = before.is_some_and(|(before, _)| before == probed);
        probed != ProbeOutcome::Accepted && !is_same
    }

    /// Number of entry VMs that listen in `domain`.
    #[must_use]
    pub fn peers(&self, domain: &Name) -> u32 {
        self.listeners.get(domain).copied().unwrap_or_default()
    }

    /// Notes an entry VM of `domain` that listens from now on.
    pub fn join(&mut self, domain: &Name) {
        *self.listeners.entry(domain.clone()).or_default() += 1;
    }

    /// Notes an entry VM of `domain` that listens no longer.
    pub fn leave(&mut self, domain: &Name) {
        if let Some(count) = self.listeners.get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Gathers news for an entry VM in `domain`, as a report for each finder in the order of their names.
#[must_use]
pub fn reports(news: &[News], domain: &Name) -> Vec<Report> {
    let mut reports: BTreeMap<Arc<str>, Report> = BTreeMap::new();
    for news in news {
        let News::Found {
            by,
            finding,
            at,
            is_wide,
        } = news
        else {
            continue;
        };
        if !is_wide && by.domain != *domain {
            continue;
        }
        let held_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let report = reports.entry(Arc::clone(&by.vm)).or_insert_with(|| Report {
            vm: Arc::clone(&by.vm),
            domain: by.domain.clone(),
            results: Vec::new(),
        });
        report.results.push(ProbeReport {
            age_ms: finding.age_ms.saturating_add(held_ms),
            ..*finding
        });
    }
    reports.into_values().collect()
}

/// The upstreams that were found down, as VMs of the build before are told.
#[must_use]
pub fn doubted(news: &[News]) -> Vec<u64> {
    let ids = news.iter().filter_map(|news| match news {
        News::Found {
            finding, is_wide, ..
        } if *is_wide && finding.probed != ProbeOutcome::Accepted => Some(finding.upstream.id),
        News::Found { .. } => None,
        News::Suspected(id) => Some(*id),
    });
    ids.collect()
}
