//! Renders explanations of placements as JSON.

use policy::token::{
    admission::{self, Verdict},
    directory::Unavailable,
    gateway::explain::{Explanation, TargetExplanation},
    placement::{
        candidates::FlowKind,
        preview::{Basis, Candidate, Exclusion, Preview},
    },
};
use serde_json::{Value, json};

use super::admission_log::class_name;

/// Maximum number of candidates of a service in an answer, so that it stays readable and below
/// 200 KB.
const MAX_LISTED: usize = 256;

/// Returns an explanation as JSON.
pub(super) fn render(explanation: &Explanation) -> Value {
    let sources = explanation.view_sources.iter();
    let sources = sources.map(|(control, age_ms)| json!({ "control": control, "age_ms": age_ms }));
    json!({
        "plan_version": explanation.plan_version,
        "route": &*explanation.route,
        "deadline_ms": explanation.deadline_ms,
        "terms": explanation.terms.map(|terms| json!({
            "kind": format!("{:?}", terms.kind).to_lowercase(),
            "priority": terms.priority,
            "goal_ms": terms.goal_ms,
        })),
        "held": explanation.is_held,
        "request_ms": explanation.mean_ms,
        "view": sources.collect::<Vec<_>>(),
        "services": explanation.targets.iter().map(render_target).collect::<Vec<_>>(),
    })
}

fn render_target(target: &TargetExplanation) -> Value {
    let placement = &target.placement;
    let listed = placement.candidates.iter().take(MAX_LISTED);
    let listed = listed.map(|c| render_candidate(c, target));
    json!({
        "service": &*target.service,
        "probability": target.probability,
        "flow_limit": target.flow_limit,
        "admission": render_admission(&target.admission),
        "basis": placement.basis.as_str(),
        "flow_kind": match placement.kind {
            FlowKind::Single => "single",
            FlowKind::Long => "long",
        },
        "flow_demand": placement.demand,
        "leaving_share": placement.leaving_share,
        "leaving_share_source": match placement.is_share_by_level {
            true => "shared-view",
            false => "own-sight",
        },
        "survey_age_ms": placement.survey_age_ms,
        "choice": render_choice(placement),
        "candidates": listed.collect::<Vec<_>>(),
        "unlisted": placement.candidates.len().saturating_sub(MAX_LISTED),
    })
}

fn render_admission(admission: &admission::Preview) -> Value {
    let pressure = admission.pressure;
    json!({
        "class": admission.class.map(class_name),
        "admitted_share": admission.share,
        "short": admission.is_short,
        "caller": admission.caller.map(|caller| json!({
            "flows": caller.flows,
            "flows_before": caller.flows_before,
            "decision": match caller.verdict {
                Verdict::Admitted => "admitted",
                Verdict::Refused => "refused",
            },
        })),
        "requests": pressure.requests,
        "refused_share": pressure.refused_share,
        "late_share": pressure.late_share,
        "slowness": pressure.slowness,
        "upstreams": pressure.upstreams,
        "refusing": pressure.refusing,
        "view": pressure.shared.map(|shared| json!({
            "refused_share": shared.refused_share,
            "spread": shared.spread,
            "age_ms": shared.age_ms,
        })),
    })
}

/// Returns the most likely choice; null if no upstream accepts flows.
fn render_choice(placement: &Preview) -> Value {
    let first = placement.candidates.first();
    let Some(chosen) = first.filter(|c| c.probability > 0.0) else {
        return Value::Null;
    };
    let reason = match placement.basis {
        _ if placement.is_last_resort => {
            "no healthy upstream has room; any that accepts flows is drawn"
        }
        Basis::SharedView => "drawn by free room in the shared view; the cheaper of two wins",
        Basis::OwnSight => {
            "no recent shared view; the cheapest of three drawn by this VM's own requests wins"
        }
    };
    json!({
        "id": format!("{:x}", chosen.id),
        "address": chosen.address,
        "probability": chosen.probability,
        "reason": reason,
    })
}

fn render_candidate(candidate: &Candidate, target: &TargetExplanation) -> Value {
    let warm_in_ms = match candidate.exclusion {
        Some(Exclusion::Unavailable(Unavailable::Cold { warm_in_ms })) => warm_in_ms,
        _ => 0,
    };
    json!({
        "id": format!("{:x}", candidate.id),
        "address": candidate.address,
        "domain": candidate.domain.as_str(),
        "slots": candidate.slots,
        "excluded": candidate.exclusion.map(Exclusion::as_str),
        "warm_in_ms": warm_in_ms,
        "probability": candidate.probability,
        "cost": candidate.cost,
        "room": candidate.drawn.map(|drawn| drawn.room),
        "capacity": candidate.drawn.map(|drawn| drawn.capacity),
        "view": candidate.load.map(|load| json!({
            "flows": load.flows,
            "demand": load.demand,
            "slowness": load.slowness,
            "refused_share": load.refused_share,
            "age_ms": load.age_ms,
            "controls": candidate.sources,
        })),
        "own": {
            "flows": target.own_flows.get(&candidate.id).copied().unwrap_or_default(),
            "requests": candidate.own_requests,
            "slowness": candidate.own_slowness,
            "failure_cost": candidate.failure_cost,
            "recent_demand": candidate.recent,
        },
    })
}
