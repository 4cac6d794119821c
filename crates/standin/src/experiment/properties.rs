//! Which of the properties that must always hold a run has broken.

use model::name::Name;

use super::{
    Action,
    plan::Plan,
    report::{Change, Report},
    run::Sample,
};
use crate::upstream::Stats;

/// Time after which a change must be in force everywhere, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 10_000;

/// Time after a change is in force for which work may still reach what it took out, in
/// milliseconds.
const LEAVE_GRACE_MS: u64 = 3_000;

/// The properties that were broken, as sentences.
#[must_use]
pub fn broken(report: &Report, plan: &Plan, samples: &[Sample]) -> Vec<String> {
    let mut broken = always(report);
    if report
        .experiment
        .steps
        .iter()
        .all(|s| s.action.is_planned())
    {
        broken.extend(under_planned_changes(report));
    }
    for change in &report.changes {
        broken.extend(of_change(change));
    }
    broken.extend(drained(report, plan, samples));
    broken.extend(domain_out(report, samples));
    broken
}

/// What holds whatever happens.
fn always(report: &Report) -> Vec<String> {
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
        (
            overloads(report),
            "times a cold upstream got more than it bears",
        ),
    ];
    let mut broken = sentences(&counts);
    if requests.answered == 0 {
        broken.push("no request was answered".to_owned());
    }
    if flows.opened == 0 {
        broken.push("no flow was opened".to_owned());
    }
    broken
}

/// How often cold upstreams got more than they bear. Where one turned cold without a word, its
/// first collapse is the notice, so that one is taken off; each later one counts.
fn overloads(report: &Report) -> u64 {
    let steps = &report.experiment.steps;
    let unnoticed = |name: &Name| {
        let cold = Action::Cold(name.clone());
        let turns = steps.iter().filter(|step| step.action == cold).count();
        u64::try_from(turns).unwrap_or_default()
    };
    let upstreams = report.upstreams.iter();
    upstreams
        .map(|(name, stats)| stats.cold_overloads.saturating_sub(unnoticed(name)))
        .sum()
}

/// What holds over planned changes, which lose nothing.
fn under_planned_changes(report: &Report) -> Vec<String> {
    let mut broken = sentences(&[
        (report.flows.broken, "flows broke"),
        (report.requests.no_answer, "requests got no answer"),
        (
            report.requests.outcome_unknown,
            "requests were cut: their outcome is unknown",
        ),
    ]);
    for (process, exit) in &report.exits {
        if exit != "Graceful" {
            broken.push(format!("{process} did not stop gracefully: {exit}"));
        }
    }
    broken
}

/// Whether a change failed, or was in force too late.
#[must_use]
pub fn of_change(change: &Change) -> Option<String> {
    let kind = &change.kind;
    if let Some(error) = &change.error {
        return Some(format!("{kind} failed: {error}"));
    }
    let in_force = change.in_force_ms.filter(|ms| *ms > IN_FORCE_LIMIT_MS)?;
    Some(format!("{kind} was in force after {in_force} ms only"))
}

/// A leaving upstream gets no new work after a few seconds.
fn drained(report: &Report, plan: &Plan, samples: &[Sample]) -> Vec<String> {
    let name = &plan.services[0].upstreams[0].name;
    let drains = report.changes.iter().filter(|c| c.kind == "drain");
    let work = |s: &Stats| s.flows_opened + s.requests_run + s.requests_shed;
    drains
        .filter_map(|change| {
            let from = change.at_ms + change.in_force_ms? + LEAVE_GRACE_MS;
            let new = growth(samples, from, u64::MAX, name, work);
            (new > 0).then(|| format!("{name} drains, but got {new} flows and requests"))
        })
        .collect()
}

/// A failure domain that operators have taken out gets no packets after a few seconds.
fn domain_out(report: &Report, samples: &[Sample]) -> Vec<String> {
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
            .map(|(name, _)| growth(samples, from, until, name, work))
            .sum();
        if new > 0 {
            broken.push(format!(
                "{domain} is out, but got {new} packets and requests"
            ));
        }
    }
    broken
}

/// How much a count of an upstream grew between two times, in milliseconds, by the samples.
fn growth(
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

fn sentences(counts: &[(u64, &str)]) -> Vec<String> {
    let broken = counts.iter().filter(|(count, _)| *count > 0);
    broken
        .map(|(count, what)| format!("{count} {what}"))
        .collect()
}
