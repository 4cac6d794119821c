//! What entry VMs find out about upstreams, on its way to the other entry VMs.
//!
//! Every VM of the finder's failure domain is told of all of it, since it would find the same and can
//! then spare its own probe. The others are told once of what a failure domain finds down: they may
//! find otherwise, and go on doing so for as long as a cut lasts.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use model::{
    name::Name,
    routing::{Finding, Probed, Report},
};

/// Time without a word from a failure domain about an upstream after which the same is news again,
/// in milliseconds.
const REPEAT_AFTER_MS: u64 = 10_000;

/// An entry VM that found something out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reporter {
    /// Its name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Name,
}

/// Something that all streams of entry VMs may have to tell.
#[derive(Debug, Clone)]
pub enum ProbeUpdate {
    /// What an entry VM found out.
    Probe {
        /// The entry VM.
        reporter: Arc<Reporter>,
        /// What it found.
        finding: Finding,
        /// When this control VM was told.
        received_at: Instant,
        /// Whether VMs of other failure domains should know.
        for_all_domains: bool,
    },
    /// An entry VM of the build before found this upstream down.
    LegacyDown(u64),
}

/// Remembers what was told, and which entry VMs listen. Times are milliseconds since the start of
/// this process.
#[derive(Debug, Default)]
pub struct ReportRelay {
    /// What each failure domain found last of each upstream, and when.
    last_outcomes: BTreeMap<(u64, Name), (Probed, u64)>,
    /// Number of entry VMs that listen in each failure domain.
    listeners: BTreeMap<Name, u32>,
}

impl ReportRelay {
    /// Takes what a VM of `domain` found of upstream `id`. Returns whether other failure domains
    /// should know.
    pub fn record_probe(&mut self, now_ms: u64, id: u64, domain: &Name, probed: Probed) -> bool {
        self.last_outcomes
            .retain(|_, (_, probed_at_ms)| now_ms < *probed_at_ms + REPEAT_AFTER_MS);
        let key = (id, domain.clone());
        let previous = self.last_outcomes.insert(key, (probed, now_ms));
        let is_repeated = previous.is_some_and(|(previous, _)| previous == probed);
        probed != Probed::Accepted && !is_repeated
    }

    /// Number of entry VMs that listen in `domain`.
    #[must_use]
    pub fn listener_count(&self, domain: &Name) -> u32 {
        self.listeners.get(domain).copied().unwrap_or_default()
    }

    /// Notes an entry VM of `domain` that listens from now on.
    pub fn add_listener(&mut self, domain: &Name) {
        *self.listeners.entry(domain.clone()).or_default() += 1;
    }

    /// Notes an entry VM of `domain` that listens no longer.
    pub fn remove_listener(&mut self, domain: &Name) {
        if let Some(count) = self.listeners.get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Gathers news for an entry VM in `domain`, as a report for each finder in the order of their names.
#[must_use]
pub fn reports_for_domain(updates: &[ProbeUpdate], domain: &Name) -> Vec<Report> {
    let mut reports_for_domain: BTreeMap<Arc<str>, Report> = BTreeMap::new();
    for updates in updates {
        let ProbeUpdate::Probe {
            reporter,
            finding,
            received_at,
            for_all_domains,
        } = updates
        else {
            continue;
        };
        if !for_all_domains && reporter.domain != *domain {
            continue;
        }
        let relay_delay_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let report = reports_for_domain
            .entry(Arc::clone(&reporter.vm))
            .or_insert_with(|| Report {
                vm: Arc::clone(&reporter.vm),
                domain: reporter.domain.clone(),
                findings: Vec::new(),
            });
        report.findings.push(Finding {
            age_ms: finding.age_ms.saturating_add(relay_delay_ms),
            ..*finding
        });
    }
    reports_for_domain.into_values().collect()
}

/// The upstreams that were found down, as VMs of the build before are told.
#[must_use]
pub fn suspected_ids(updates: &[ProbeUpdate]) -> Vec<u64> {
    let ids = updates.iter().filter_map(|updates| match updates {
        ProbeUpdate::Probe {
            finding,
            for_all_domains,
            ..
        } if *for_all_domains && finding.probed != Probed::Accepted => Some(finding.upstream.id),
        ProbeUpdate::Probe { .. } => None,
        ProbeUpdate::LegacyDown(id) => Some(*id),
    });
    ids.collect()
}
