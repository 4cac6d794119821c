//! Relays probe results of entry VMs to the other entry VMs.
//!
//! Entry VMs in the reporter's failure domain receive every result: they would observe the same, so
//! they can skip their own probe. Entry VMs in other failure domains receive a failed probe only
//! once, since they may observe a different result for as long as a network partition lasts.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use model::{
    name::Name,
    routing::{ProbeOutcome, ProbeReport, Report},
};

/// Time without a result from a failure domain after which an unchanged result is relayed again, in
/// milliseconds.
const REPEAT_AFTER_MS: u64 = 10_000;

/// An entry VM that reports probe results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reporter {
    /// Name of the entry VM.
    pub vm: Arc<str>,
    /// Failure domain of the entry VM.
    pub domain: Name,
}

/// An event for the streams of all entry VMs.
#[derive(Debug, Clone)]
pub enum ProbeUpdate {
    /// A probe result.
    Probe {
        /// Entry VM that sent the result.
        reporter: Arc<Reporter>,
        /// Probed upstream and result.
        finding: ProbeReport,
        /// Time at which this control VM received the result.
        received_at: Instant,
        /// Whether entry VMs in other failure domains receive the result too.
        for_all_domains: bool,
    },
    /// Id of an upstream that an entry VM of the previous build found unreachable.
    LegacyDown(u64),
}

/// Remembers relayed results and counts connected entry VMs. Times are milliseconds since the start
/// of this process.
#[derive(Debug, Default)]
pub struct ReportRelay {
    /// Last probe result of each upstream in each failure domain, and its time.
    last_results: BTreeMap<(u64, Name), (ProbeOutcome, u64)>,
    /// Number of connected entry VMs in each failure domain.
    listeners: BTreeMap<Name, u32>,
}

impl ReportRelay {
    /// Records the probe result of an entry VM in `domain` for upstream `id`. Returns whether entry
    /// VMs in other failure domains should receive it.
    pub fn record_probe(
        &mut self,
        now_ms: u64,
        id: u64,
        domain: &Name,
        probed: ProbeOutcome,
    ) -> bool {
        self.last_results
            .retain(|_, (_, probed_at_ms)| now_ms < *probed_at_ms + REPEAT_AFTER_MS);
        let key = (id, domain.clone());
        let previous = self.last_results.insert(key, (probed, now_ms));
        let is_repeated = previous.is_some_and(|(previous, _)| previous == probed);
        probed != ProbeOutcome::Accepted && !is_repeated
    }

    /// Returns the number of connected entry VMs in `domain`.
    #[must_use]
    pub fn listener_count(&self, domain: &Name) -> u32 {
        self.listeners.get(domain).copied().unwrap_or_default()
    }

    /// Adds an entry VM in `domain`, whose stream has opened.
    pub fn add_listener(&mut self, domain: &Name) {
        *self.listeners.entry(domain.clone()).or_default() += 1;
    }

    /// Removes an entry VM in `domain`, whose stream has ended.
    pub fn remove_listener(&mut self, domain: &Name) {
        if let Some(count) = self.listeners.get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Collects the results for an entry VM in `domain` into one report per reporter, ordered by the
/// reporters' names.
#[must_use]
pub fn reports_for_domain(updates: &[ProbeUpdate], domain: &Name) -> Vec<Report> {
    let mut reports: BTreeMap<Arc<str>, Report> = BTreeMap::new();
    for update in updates {
        let ProbeUpdate::Probe {
            reporter,
            finding,
            received_at,
            for_all_domains,
        } = update
        else {
            continue;
        };
        if !for_all_domains && reporter.domain != *domain {
            continue;
        }
        let relay_delay_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let report = reports
            .entry(Arc::clone(&reporter.vm))
            .or_insert_with(|| Report {
                vm: Arc::clone(&reporter.vm),
                domain: reporter.domain.clone(),
                results: Vec::new(),
            });
        report.results.push(ProbeReport {
            age_ms: finding.age_ms.saturating_add(relay_delay_ms),
            ..*finding
        });
    }
    reports.into_values().collect()
}

/// Returns the ids of upstreams that failed their probe, in the form that entry VMs of the previous
/// build understand.
#[must_use]
pub fn suspected_ids(updates: &[ProbeUpdate]) -> Vec<u64> {
    let ids = updates.iter().filter_map(|update| match update {
        ProbeUpdate::Probe {
            finding,
            for_all_domains,
            ..
        } if *for_all_domains && finding.probed != ProbeOutcome::Accepted => {
            Some(finding.upstream.id)
        }
        ProbeUpdate::Probe { .. } => None,
        ProbeUpdate::LegacyDown(id) => Some(*id),
    });
    ids.collect()
}
