//! Converts gRPC responses to JSON.

use rpc::schema::{
    Change, Freshness, ListChangesResponse, ListUpstreamsResponse, RefusalKind, StatusResponse,
};
use serde_json::{Value, json};

pub(crate) fn freshness(freshness: &Freshness) -> Value {
    json!({
        "linearizable": freshness.linearizable,
        "age_ms": freshness.age_ms,
        "index": freshness.index,
        "version": freshness.version,
        "answered_by": freshness.answered_by.as_str(),
        "reason": freshness.reason.as_str(),
    })
}

pub(crate) fn status(status: &StatusResponse) -> Value {
    let vms = status.entry_vms.iter().map(|vm| {
        json!({
            "name": vm.name.as_str(),
            "domain": vm.domain.as_str(),
            "live": vm.live,
            "index": vm.index,
            "age_ms": vm.age_ms,
        })
    });
    let domains = status
        .domains
        .iter()
        .map(|domain| json!({ "name": domain.name.as_str(), "state": domain.state.as_str() }));
    let services = status.services.iter().map(|service| {
        json!({
            "name": service.name.as_str(),
            "address": service.address.as_str(),
            "deadline_ms": service.deadline_ms,
            "idle_ms": service.idle_ms,
            "upstreams": service.upstreams,
            "draining": service.draining,
            "generations": service.generations,
        })
    });
    let voters = status.voters.iter().map(|name| name.as_str());
    json!({
        "freshness": freshness(&status.freshness),
        "cluster": status.cluster.as_str(),
        "leader": status.leader.as_str(),
        "term": status.term,
        "voters": voters.collect::<Vec<_>>(),
        "entry_vms": vms.collect::<Vec<_>>(),
        "domains": domains.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
    })
}

pub(crate) fn upstreams(list: &ListUpstreamsResponse) -> Value {
    let upstreams = list.upstreams.iter().map(|upstream| {
        json!({
            "service": upstream.service.as_str(),
            "name": upstream.name.as_str(),
            "domain": upstream.domain.as_str(),
            "state": upstream.state.as_str(),
            "live": upstream.live,
            "flow_address": upstream.flow_address.as_str(),
            "request_address": upstream.request_address.as_str(),
            "slots": upstream.slots,
            "connections": upstream.connections,
        })
    });
    json!({
        "freshness": freshness(&list.freshness),
        "upstreams": upstreams.collect::<Vec<_>>(),
    })
}

pub(crate) fn changes(list: &ListChangesResponse) -> Value {
    json!({
        "freshness": freshness(&list.freshness),
        "changes": list.changes.iter().map(change).collect::<Vec<_>>(),
    })
}

pub(crate) fn change(change: &Change) -> Value {
    let missing = change.missing.iter().map(|name| name.as_str());
    json!({
        "number": change.number,
        "kind": change.kind.as_str(),
        "subject": change.subject.as_str(),
        "operator": change.operator.as_str(),
        "state": change.state.as_str(),
        "done_index": change.done_index,
        "missing": missing.collect::<Vec<_>>(),
    })
}

pub(crate) fn refusal_kind(kind: &RefusalKind) -> &'static str {
    match kind {
        RefusalKind::Version => "version",
        RefusalKind::UnknownName => "unknown-name",
        RefusalKind::Field => "field",
        RefusalKind::Conflict => "conflict",
        RefusalKind::NoLeader => "no-leader",
        RefusalKind::Unsupported => "unsupported",
        _ => "unspecified",
    }
}
