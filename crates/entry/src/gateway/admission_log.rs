//! Metrics, log lines and the state dump of admission.

use log::info;
use metrics::{counter, gauge};
use policy::{
    time::Instant,
    token::{
        admission::{Pressure, Shared, class::Class},
        gateway::Gateway,
    },
};
use serde_json::{Value, json};

use super::decision_log::DecisionLog;

/// Logs the services that became short of capacity or recovered, and publishes the metrics of
/// admission.
pub(super) fn publish(now: Instant, gateway: &mut Gateway, decision_log: &mut DecisionLog) {
    for change in gateway.admission_mut().take_changes() {
        if !decision_log.may_log(now) {
            continue;
        }
        let Pressure {
            requests,
            refused_share,
            late_share,
            slowness,
            upstreams,
            refusing,
            shared,
            ..
        } = change.pressure;
        let shared = shared.map_or_else(|| "none".to_owned(), describe_shared);
        info!(
            target: "admission",
            "event=room service={} short={} requests={requests:.1} refused={refused_share:.2} \
             late={late_share:.2} slowness={slowness:.1} upstreams={upstreams} \
             refusing={refusing} view={shared}",
            change.service, change.is_short
        );
    }
    for (service, class, count) in gateway.admission_mut().take_refusals() {
        let labels = [
            ("service", service.to_string()),
            ("class", class_name(class)),
        ];
        counter!("oriole_flows_no_room_total", &labels).increment(count);
    }
    for status in gateway.admission().statuses() {
        for (class, share) in status.classes {
            let labels = [
                ("service", status.service.to_string()),
                ("class", class_name(class)),
            ];
            gauge!("oriole_admitted_share", &labels).set(f64::from(share));
        }
    }
    let full = u32::try_from(gateway.caps().full_count()).unwrap_or(u32::MAX);
    gauge!("oriole_upstreams_at_cap").set(f64::from(full));
}

/// Returns the state of admission as JSON.
pub(super) fn dump(gateway: &Gateway) -> Value {
    let services = gateway.admission().statuses().map(|status| {
        let pressure = status.pressure;
        let classes = status.classes.iter().map(|(class, share)| {
            json!({
                "class": class_name(*class),
                "admitted_share": share,
            })
        });
        json!({
            "service": &**status.service,
            "short": status.is_short,
            "classes": classes.collect::<Vec<_>>(),
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
    });
    json!({
        "services": services.collect::<Vec<_>>(),
        "callers": gateway.admission().caller_count(),
        "upstreams_at_cap": gateway.caps().full_count(),
    })
}

fn describe_shared(shared: Shared) -> String {
    let Shared {
        refused_share,
        spread,
        age_ms,
    } = shared;
    format!("{refused_share:.2}/{spread:.2}/{age_ms}ms")
}

/// Returns the name of a class in metrics and dumps: priority, whether requests may be repeated, and
/// goal, such as `1-once-500ms`.
pub(super) fn class_name(class: Class) -> String {
    let priority = match class.priority {
        u32::MAX => "lowest".to_owned(),
        priority => priority.to_string(),
    };
    let repeat = match class.is_idempotent {
        true => "repeatable",
        false => "once",
    };
    match class.goal_ms {
        u64::MAX => format!("{priority}-{repeat}"),
        goal_ms => format!("{priority}-{repeat}-{goal_ms}ms"),
    }
}
