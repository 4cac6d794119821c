//! Finds the required properties that a run has broken.

use model::name::Name;

use super::{
    Action,
    plan::Plan,
    report::{Change, Report},
    run::Sample,
};
use crate::upstream::Stats;

/// Time within which a change must be in force at all entry VMs, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 10_000;

/// Time after a drain or domain-out is in force for which work may still reach the upstreams, in
/// milliseconds.
const LEAVE_GRACE_MS: u64 = 3_000;

/// Returns one sentence for each broken property.
#[must_use]
pub fn broken(report: &Report, plan: &Plan, samples: &[Sample]) -> Vec<String> {
    let mut broken = broken_invariants(report);
    if report
        .experiment
        .steps
        .iter()
        .all(|s| s.action.is_planned())
    {
        broken.extend(broken_by_planned_changes(report));
    }
    for change in &report.changes {
        broken.extend(check_change(change));
    }
    broken.extend(check_drains(report, plan, samples));
    broken.extend(check_domains_out(report, samples));
    broken
}

/// Returns the broken properties that must hold in every run.
fn broken_invariants(report: &Report) -> Vec<String> {
    let (requests, flows) = (&report.requests, &report.flows);
    let counts = [
        (
            requests.run_twice,
            "non-idempotent requests ran more than once",
        ),
        (
            requests.refused_but_run,
            "requests were refused as not run, but ran",
        ),
        (requests.wrong_answer, "answers belonged to another request"),
        (requests.wrong_service, "requests reached another service"),
        (flows.wrong_service, "flows reached another service"),
        (count_overloads(report), "overloads of a cold upstream"),
    ];
    let mut broken = format_counts(&counts);
    if requests.answered == 0 {
        broken.push("no request was answered".to_owned());
    }
    if flows.opened == 0 {
        broken.push("no flow was opened".to_owned());
    }
    broken
}

/// Returns the number of overloads of cold upstreams. The first overload after each unannounced cold
/// start does not count, because only the collapse makes the cold start known.
fn count_overloads(report: &Report) -> u64 {
    let steps = &report.experiment.steps;
    let unannounced = |name: &Name| {
        let cold = Action::Cold(name.clone());
        let turns = steps.iter().filter(|step| step.action == cold).count();
        u64::try_from(turns).unwrap_or_default()
    };
    let upstreams = report.upstreams.iter();
    upstreams
        .map(|(name, stats)| stats.cold_overloads.saturating_sub(unannounced(name)))
        .sum()
}

/// Returns the broken properties that must hold in a run with planned changes only, which lose no
/// flow and no request.
fn broken_by_planned_changes(report: &Report) -> Vec<String> {
    let mut broken = format_counts(&[
        (report.flows.broken, "flows broke"),
        (report.requests.no_answer, "requests got no answer"),
        (
            report.requests.outcome_unknown,
            "requests were cut off with an unknown outcome",
        ),
    ]);
    for (process, exit) in &report.exits {
        if exit != "Graceful" {
            broken.push(format!("{process} did not stop gracefully: {exit}"));
        }
    }
    broken
}

/// Returns a sentence when a change failed or was in force too late.
#[must_use]
pub fn check_change(change: &Change) -> Option<String> {
    let kind = &change.kind;
    if let Some(error) = &change.error {
        return Some(format!("{kind} failed: {error}"));
    }
    let in_force = change.in_force_ms.filter(|ms| *ms > IN_FORCE_LIMIT_MS)?;
    Some(format!("{kind} was in force only after {in_force} ms"))
}

/// Checks that a draining upstream gets no new work after [`LEAVE_GRACE_MS`].
fn check_drains(report: &Report, plan: &Plan, samples: &[Sample]) -> Vec<String> {
    let name = &plan.services[0].upstreams[0].name;
    let drains = report.changes.iter().filter(|c| c.kind == "drain");
    let work = |s: &Stats| s.flows_opened + s.requests_run + s.requests_shed;
    drains
        .filter_map(|change| {
            let from = change.at_ms + change.in_force_ms? + LEAVE_GRACE_MS;
            let new = counter_growth(samples, from, u64::MAX, name, work);
            (new > 0).then(|| format!("{name} drains, but got {new} flows and requests"))
        })
        .collect()
}

/// Checks that a failure domain taken out by operators gets no packets after [`LEAVE_GRACE_MS`].
fn check_domains_out(report: &Report, samples: &[Sample]) -> Vec<String> {
    let mut broken = Vec::new();
    let outs = report
        .experiment
        .steps
        .iter()
        .filter_map(|step| match &step.action {
            Action::DomainOut(domain) => Some(domain),
            _ => None,
        });
    let changes = report.changes.iter().filter(|c| c.kind == "domain-out");
    for (domain, change) in outs.zip(changes) {
        let Some(in_force) = change.in_force_ms else {
            continue;
        };
        let from = change.at_ms + in_force + LEAVE_GRACE_MS;
        let back = report
            .changes
            .iter()
            .find(|c| c.kind == "domain-in" && c.at_ms > change.at_ms);
        let until = back.map_or(u64::MAX, |c| c.at_ms);
        let inside = report
            .upstreams
            .iter()
            .filter(|(_, s)| s.domain == domain.as_str());
        let work = |s: &Stats| s.packets + s.requests_run + s.requests_shed;
        let new: u64 = inside
            .map(|(name, _)| counter_growth(samples, from, until, name, work))
            .sum();
        if new > 0 {
            broken.push(format!(
                "{domain} is out, but got {new} packets and requests"
            ));
        }
    }
    broken
}

/// Returns the growth of a counter of an upstream in the samples between the times `from` and `until`,
/// in milliseconds.
fn counter_growth(
    samples: &[Sample],
    from: u64,
    until: u64,
    name: &Name,
    value: impl Fn(&Stats) -> u64,
) -> u64 {
    let inside = samples.iter().filter(|s| (from..until).contains(&s.at_ms));
    let values: Vec<u64> = inside
        .filter_map(|s| s.upstreams.get(name).map(&value))
        .collect();
    match (values.first(), values.last()) {
        (Some(first), Some(last)) => last.saturating_sub(*first),
        _ => 0,
    }
}

fn format_counts(counts: &[(u64, &str)]) -> Vec<String> {
    let broken = counts.iter().filter(|(count, _)| *count > 0);
    broken
        .map(|(count, what)| format!("{count} {what}"))
        .collect()
}
