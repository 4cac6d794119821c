//! Explanations of placements: they change nothing, and agree with the decisions that follow.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc};

use model::{
    plan::{Kind as RouteKind, Plan, RouteTerms, ServiceTerms, Terms},
    routing::{Announced, Phase},
    work::{Entry, Summary},
};
use policy::token::{
    admission::Verdict,
    decision::Reason,
    gateway::{
        Gateway,
        explain::{Explanation, Fault},
    },
    placement::preview::{Basis, Candidate, Preview},
    segment::Kind,
};
use token_support::{
    ROUTE, SETTLED_MS, agreed_state, announcement, at, chosen_upstream, control_vm, data_packet,
    empty_gateway, gateway, gateway_in_domain, opening_packet, plan,
};

/// Number of gateways whose first choices are compared with the probabilities.
const SAMPLES: u64 = 4_000;

fn explain(gateway: &Gateway, ms: u64, client: Option<Ipv4Addr>) -> Result<Explanation, Fault> {
    gateway.explain(at(ms), ROUTE.parse().unwrap(), client)
}

fn placement(gateway: &Gateway, ms: u64) -> Preview {
    let explained = explain(gateway, ms, None).unwrap();
    explained.targets[0].placement.clone()
}

fn entry(id: u64, demand_milli: u32, slowness: u32) -> Entry {
    Entry {
        token: u32::try_from(id).unwrap(),
        flows: 10,
        demand_milli,
        requests: 100,
        refused: 0,
        waited_ms: 2_000 * slowness,
        usual_ms: 2_000,
    }
}

fn apply_view(gateway: &mut Gateway, ms: u64, sequence: u64, entries: Vec<Entry>) {
    let summary = Summary {
        sequence,
        reporters: 30,
        entries,
    };
    let applied = gateway.apply_work(at(ms), control_vm(1), summary);
    assert_eq!(applied.fault, None);
}

fn terms(max_flows: Option<u32>) -> Arc<Terms> {
    Arc::new(Terms {
        version: 1,
        routes: vec![RouteTerms {
            address: ROUTE.parse().unwrap(),
            kind: RouteKind::Safe,
            priority: 2,
            goal_ms: Some(500),
        }],
        services: vec![ServiceTerms {
            name: "booking".into(),
            max_flows,
        }],
    })
}

/// Returns a gateway in domain `a` with too few upstreams there, seeded with `seed`.
fn seeded(seed: u64) -> Gateway {
    let mut gateway = gateway_in_domain("entry-1", "a", seed);
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    let others = (200..208)
        .map(|id| (id, "b"))
        .chain((300..308).map(|id| (id, "c")));
    for (id, domain) in [(100, "a"), (101, "a")].into_iter().chain(others) {
        gateway.announce(at(0), control_vm(1), announcement(id, domain), 0);
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    gateway
}

/// Records 40 requests at each of `ids` that end after 20 ms with `bytes` bytes, from port
/// `first_port` on.
fn record_requests(gateway: &mut Gateway, ids: &[u64], first_port: u16, bytes: u32) {
    for (id, index) in ids.iter().zip(0..) {
        for number in 0..40 {
            let port = first_port + index * 40 + number;
            let token = u32::try_from(*id).unwrap();
            let ms = SETTLED_MS - 1_000 + u64::from(number) * 20;
            gateway.decide(at(ms), &data_packet(port, token, 101, 50, 1));
            let mut end = data_packet(port, token, 151, 0, 1 + bytes);
            end.kind = Kind::Finish;
            gateway.decide(at(ms + 20), &end);
        }
    }
}

/// Checks the probabilities against the first choices of gateways in the state that `prepare` makes.
fn check_probabilities(name: &str, basis: Basis, prepare: impl Fn(&mut Gateway)) -> Preview {
    let mut counts: BTreeMap<u64, f64> = BTreeMap::new();
    for seed in 0..SAMPLES {
        let mut gateway = seeded(seed);
        prepare(&mut gateway);
        let decision = gateway.decide(at(SETTLED_MS), &opening_packet(1, 0));
        *counts
            .entry(chosen_upstream(decision).unwrap())
            .or_default() += 1.0;
    }
    let mut gateway = seeded(0);
    prepare(&mut gateway);
    let preview = placement(&gateway, SETTLED_MS);
    assert_eq!(preview.basis, basis, "{name}");
    let total: f64 = preview.candidates.iter().map(|c| c.probability).sum();
    assert!((total - 1.0).abs() < 1e-6, "{name}: {total}");
    for candidate in &preview.candidates {
        let share = counts.get(&candidate.id).copied().unwrap_or_default() / 4_000.0;
        // Four standard deviations of a share of 4,000 samples are at most 0.032.
        let deviation = (candidate.probability * (1.0 - candidate.probability) / 4_000.0).sqrt();
        let allowed = 4.0 * deviation + 0.002;
        let difference = (share - candidate.probability).abs();
        assert!(difference < allowed, "{name}: {share} {candidate:?}");
    }
    preview
}

/// Guards against probabilities that differ from the choices without a view, where flows leave a
/// small domain and an outlier gives way to other upstreams.
#[test]
fn probabilities_are_those_of_the_choices_without_view() {
    check_probabilities("idle", Basis::OwnSight, |_| {});
    let preview = check_probabilities("outlier", Basis::OwnSight, |gateway| {
        record_requests(gateway, &[101, 200, 201, 202, 300], 1_000, 700);
        record_requests(gateway, &[100], 4_000, 20);
    });
    let failing = find(&preview, 100);
    assert!(failing.failure_cost >= 2.0, "{failing:?}");
    assert!(preview.leaving_share > 0.1);
}

/// Guards against probabilities that differ from the choices by the shared view, in the own domain
/// and for flows that leave it.
#[test]
fn probabilities_are_those_of_the_choices_by_the_view() {
    let preview = check_probabilities("own domain", Basis::SharedView, |gateway| {
        let entries = vec![entry(100, 200, 1), entry(101, 1_000, 4)];
        apply_view(gateway, SETTLED_MS, 1, entries);
    });
    assert_eq!(preview.candidates[0].id, 100);
    let preview = check_probabilities("other domains", Basis::SharedView, |gateway| {
        let entries = (200..208)
            .chain(300..302)
            .map(|id| entry(id, u32::try_from(id % 100).unwrap() * 300, 1));
        apply_view(gateway, SETTLED_MS, 1, entries.collect());
        record_requests(gateway, &[101], 1_000, 700);
    });
    assert!(!preview.is_share_by_level && preview.leaving_share > 0.1);
}

/// Decides on flows for 6 s while upstreams are overloaded, with or without explanations between the
/// decisions. Returns the decisions and the final state.
fn run(explains: bool, with_view: bool) -> (Vec<String>, String) {
    let mut gateway = seeded(7);
    gateway.apply_terms(terms(Some(60)));
    let mut decisions = Vec::new();
    let mut left_by_level = false;
    for number in 0..1_500_u16 {
        let ms = SETTLED_MS + u64::from(number) * 4;
        if with_view && number % 250 == 0 {
            let entries = [100, 101].map(|id| entry(id, 1_900, 1)).to_vec();
            let others = (200..208).map(|id| entry(id, 300, 1));
            let entries = entries.into_iter().chain(others).collect();
            apply_view(&mut gateway, ms, u64::from(number / 250) + 1, entries);
        }
        if explains {
            let before = format!("{gateway:?}");
            for client in [None, Some(Ipv4Addr::new(100, 64, 0, 1))] {
                explain(&gateway, ms, client).unwrap();
            }
            assert_eq!(format!("{gateway:?}"), before);
        }
        let expected = explains.then(|| placement(&gateway, ms));
        let decision = gateway.decide(at(ms), &opening_packet(number, 0));
        decisions.push(format!("{decision:?}"));
        let Some(id) = chosen_upstream(decision) else {
            continue;
        };
        if let Some(expected) = expected {
            assert!(find(&expected, id).probability > 0.0, "{number}: {id}");
            left_by_level |= expected.is_share_by_level && expected.leaving_share > 0.1;
        }
        let token = u32::try_from(id).unwrap();
        gateway.decide(at(ms), &data_packet(number, token, 101, 50, 1));
        // From the third second on, most requests wait and are then refused.
        let (waited_ms, bytes) = match number {
            500.. if number % 3 > 0 => (700, 20),
            _ => (3, 700),
        };
        let mut end = data_packet(number, token, 151, 0, 1 + bytes);
        if number % 2 == 0 {
            end.kind = Kind::Finish;
        }
        gateway.decide(at(ms + waited_ms), &end);
        if number % 125 == 0 {
            gateway.tick(at(ms));
        }
    }
    assert_eq!(left_by_level, explains && with_view);
    (decisions, format!("{gateway:?}"))
}

/// Guards against explanations that draw from the gateway's random generator, count a flow or a
/// caller, make a step of admission, or store a survey or counts of flows.
#[test]
fn decisions_with_and_without_explanations_are_the_same() {
    for with_view in [false, true] {
        let (without, state_without) = run(false, with_view);
        let (with, state_with) = run(true, with_view);
        assert!(without.iter().any(|d| d.contains("Placed")));
        assert!(without.iter().any(|d| d.contains("NoRoom")), "{with_view}");
        assert_eq!(with, without);
        assert_eq!(state_with, state_without);
    }
}

/// Guards against an empty explanation where the reason for the missing choice is known.
#[test]
fn missing_plan_route_and_upstreams_are_named() {
    assert_eq!(
        explain(&empty_gateway(), 0, None).unwrap_err(),
        Fault::NoPlan
    );
    let gateway = gateway(&[]);
    let other = "198.18.0.9:443".parse().unwrap();
    let fault = gateway.explain(at(SETTLED_MS), other, None).unwrap_err();
    assert_eq!(fault, Fault::NoRoute(1, other));
    let fault = explain(&gateway, SETTLED_MS, None).unwrap_err();
    assert_eq!(fault, Fault::NoUpstreams("booking".into()));
    let mut unweighted = Plan::clone(&plan(2));
    unweighted.routes[0].targets[0].weight = 0;
    let mut gateway = seeded(1);
    gateway.apply_plan(Arc::new(unweighted));
    let fault = explain(&gateway, SETTLED_MS, None).unwrap_err();
    assert_eq!(fault, Fault::NoTarget("r".into()));
}

fn find(preview: &Preview, id: u64) -> &Candidate {
    preview.candidates.iter().find(|c| c.id == id).unwrap()
}

/// Guards against excluded upstreams without a reason or with a probability.
#[test]
fn excluded_upstreams_have_a_reason_and_no_probability() {
    let mut gateway = gateway(&[(1, "a"), (2, "a"), (5, "d")]);
    gateway.update_agreed(agreed_state(1, &["d"]));
    gateway.apply_terms(terms(Some(20)));
    let announce = |gateway: &mut Gateway, announced| {
        gateway.announce(at(SETTLED_MS), control_vm(1), announced, 0);
    };
    let draining = Announced {
        phase: Phase::Draining,
        ..announcement(3, "a")
    };
    announce(&mut gateway, draining);
    let cold = Announced {
        cold_ms: 5_000,
        ..announcement(4, "a")
    };
    announce(&mut gateway, cold);
    announce(&mut gateway, announcement(6, "a"));
    announce(&mut gateway, announcement(7, "a"));
    let full = Entry {
        flows: 19,
        ..entry(2, 100, 1)
    };
    apply_view(&mut gateway, SETTLED_MS, 1, vec![full, entry(1, 500, 1)]);
    // A client's repeated opening packet makes the upstream suspected.
    let id = (0..20)
        .find_map(|port| {
            let decision = gateway.decide(at(SETTLED_MS), &opening_packet(port, 0));
            let id = chosen_upstream(decision).filter(|id| *id != 1)?;
            gateway.decide(at(SETTLED_MS + 200), &opening_packet(port, 1));
            Some(id)
        })
        .unwrap();
    let preview = placement(&gateway, SETTLED_MS + 500);
    let reasons = |id| find(&preview, id).exclusion.map(|e| e.as_str());
    assert_eq!(reasons(1), None);
    assert_eq!(reasons(2), Some("at-cap"));
    assert_eq!(reasons(3), Some("draining"));
    assert_eq!(reasons(4), Some("cold"));
    assert_eq!(reasons(5), Some("domain-out"));
    assert_eq!(reasons(id), Some("avoided-unconfirmed"));
    for candidate in &preview.candidates {
        assert_eq!(
            candidate.exclusion.is_none(),
            candidate.probability > 0.0,
            "{candidate:?}"
        );
        assert_eq!(
            candidate.exclusion.is_none(),
            candidate.cost.is_some(),
            "{candidate:?}"
        );
    }
    let known = find(&preview, 1);
    assert_eq!((known.sources, known.load.unwrap().age_ms), (1, 500));
    assert_eq!(find(&preview, 6).load, None);
}

/// Guards against a decision on a caller that differs from the one on its next flow.
#[test]
fn decision_on_a_caller_is_that_on_its_next_flow() {
    let mut gateway = seeded(3);
    gateway.apply_terms(terms(None));
    let mut refused = 0;
    for number in 0..1_500_u16 {
        let ms = SETTLED_MS + u64::from(number) * 4;
        let mut packet = opening_packet(number, 0);
        let client = Ipv4Addr::new(100, 64, 1, u8::try_from(number % 200).unwrap());
        packet.key.client.set_ip(client);
        let explained = explain(&gateway, ms, Some(client)).unwrap();
        let caller = explained.targets[0].admission.caller.unwrap();
        let decision = gateway.decide(at(ms), &packet);
        let is_refused = decision.reason == Reason::NoRoom;
        assert_eq!(caller.verdict == Verdict::Refused, is_refused, "{number}");
        refused += u32::from(is_refused);
        let Some(id) = chosen_upstream(decision) else {
            continue;
        };
        let token = u32::try_from(id).unwrap();
        let send = |gateway: &mut Gateway, ms, mut segment: policy::token::segment::Segment| {
            segment.key = packet.key;
            gateway.decide(at(ms), &segment);
        };
        send(&mut gateway, ms, data_packet(number, token, 101, 50, 1));
        let (waited_ms, bytes) = match number {
            500.. if number % 3 > 0 => (700, 20),
            _ => (3, 700),
        };
        let mut end = data_packet(number, token, 151, 0, 1 + bytes);
        end.kind = Kind::Finish;
        send(&mut gateway, ms + waited_ms, end);
    }
    assert!(refused > 50, "{refused}");
    let admission = explain(&gateway, SETTLED_MS + 6_000, None).unwrap().targets[0].admission;
    assert_eq!(admission.caller, None);
    assert!(admission.is_short && admission.share < 1.0, "{admission:?}");
    assert_eq!(admission.class.unwrap().priority, 2);
}

/// Guards against an explanation that names a choice while packets are held.
#[test]
fn flows_are_reported_as_held_while_upstreams_gather() {
    let mut gateway = gateway_in_domain("entry-1", "a", 1);
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    for id in 1..4 {
        gateway.add_recalled(at(0), announcement(id, "a"));
    }
    gateway.announce(at(0), control_vm(1), announcement(4, "a"), 0);
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    assert!(explain(&gateway, 10, None).unwrap().is_held);
    let preview = placement(&gateway, 10);
    assert_eq!(
        find(&preview, 1).exclusion.map(|e| e.as_str()),
        Some("unclaimed")
    );
    assert_eq!(
        gateway.decide(at(10), &opening_packet(1, 0)).reason,
        Reason::Gathering
    );
    assert!(!explain(&gateway, SETTLED_MS, None).unwrap().is_held);
}
