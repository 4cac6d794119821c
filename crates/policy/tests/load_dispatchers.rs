//! Dispatchers under load: slots, cold starts, lost upstreams, takeovers and untrue announcements.
//! No upstream may get more requests than it has slots.

mod support;

use model::config::UpstreamState;
use model::name::Name;
use policy::view::Vm;
use support::{Faults, Net, Shape, booking, domain, name, upstream::Excess};
use wire::coap::{self, Method};

/// Time after which every VM has a complete history, in milliseconds.
const HISTORY_COMPLETE_MS: u64 = 5_000;

/// Requests per second that all upstreams of Lysgard can process.
const CAPACITY: f64 = 14.0 * 3.0 / 0.02;

/// Share of requests that must be answered, also under overload.
const MIN_GOODPUT: f64 = 0.9;

fn dispatcher_of(net: &Net, domain: &Name) -> Name {
    let vm = net.vms[&name("vm-0")].view.dispatcher(&booking(), domain);
    vm.expect("each domain has a VM").name.clone()
}

/// Creates a deployment of warm upstreams under a load of `load_factor` times the capacity.
fn under_load(seed: u64, load_factor: f64, for_ms: u64) -> Net {
    let mut net = Net::new(Shape::LYSGARD, seed);
    net.run_ms(HISTORY_COMPLETE_MS);
    net.start_arrivals(CAPACITY * load_factor, 0.5, 3_000 + for_ms);
    net.run_ms(3_000);
    net.callers.start_measuring();
    net
}

fn goodput_share(net: &Net) -> f64 {
    net.callers.count_first_answers(coap::CHANGED) as f64 / net.callers.request_count() as f64
}

#[test]
fn no_upstream_gets_more_than_its_slots_at_twice_the_capacity() {
    let mut net = under_load(1, 2.0, 2_000);
    net.run_ms(3_500);
    net.check_invariants("overload");
    let per_second = net.callers.count_first_answers(coap::CHANGED) as f64 / 2.0;
    assert!(
        per_second / CAPACITY >= MIN_GOODPUT,
        "only {per_second} requests per second answered"
    );
    assert_eq!(net.callers.count_unanswered(), 0);
}

#[test]
fn an_upstream_that_turns_cold_unannounced_recovers_without_loss_of_goodput() {
    for excess in [Excess::Shed, Excess::Collapse] {
        let mut net = under_load(2, 0.7, 6_000);
        net.upstreams[3].excess = excess;
        net.upstreams[3].turn_cold();
        net.run_ms(7_500);
        net.check_invariants("turned cold unannounced");
        assert_eq!(net.upstreams[3].capacity, net.upstreams[3].slots);
        assert!(goodput_share(&net) > MIN_GOODPUT, "{}", goodput_share(&net));
    }
}

#[test]
fn an_upstream_that_turns_cold_twice_recovers_without_loss_of_goodput() {
    let mut net = under_load(3, 0.7, 8_000);
    net.upstreams[3].excess = Excess::Collapse;
    for _ in 0..2 {
        net.restart_upstream(3);
        net.run_ms(400);
        net.upstreams[3].turn_cold();
        net.run_ms(3_600);
    }
    net.run_ms(1_500);
    net.check_invariants("turned cold twice");
    assert!(goodput_share(&net) > MIN_GOODPUT, "{}", goodput_share(&net));
}

#[test]
fn cold_upstreams_are_not_overloaded_when_the_last_warm_one_is_lost() {
    let mut net = under_load(4, 0.7, 5_000);
    for upstream in &mut net.upstreams[1..] {
        upstream.excess = Excess::Collapse;
    }
    for upstream in 1..net.upstreams.len() {
        net.restart_upstream(upstream);
    }
    net.run_ms(50);
    net.upstreams[0].unresponsive = true;
    net.upstreams[0].announces = false;
    net.run_ms(6_500);
    net.check_invariants("last warm upstream lost");
    let collapses: u32 = net.upstreams.iter().map(|u| u.arrived_over_capacity).sum();
    // Each of the 13 restarted upstreams may still get one datagram sent before its restart.
    assert!(collapses <= 13, "{collapses} requests above capacity");
    assert!(net.upstreams[1..].iter().all(|u| u.capacity == u.slots));
}

#[test]
fn dispatchers_killed_under_full_load_are_replaced_without_over_admission() {
    for seed in 5..9 {
        let mut net = under_load(seed, 1.0, 8_000);
        net.faults = Faults {
            loss: 0.01,
            duplicates: 0.02,
            ..Faults::default()
        };
        let first = dispatcher_of(&net, &domain(0));
        net.kill(&first);
        net.run_ms(1_500);
        net.deliver_views_within(0, 300);
        net.run_ms(1_000);
        // The second dispatcher is killed before its takeover is complete.
        let second = dispatcher_of(&net, &domain(0));
        net.kill(&second);
        net.run_ms(1_500);
        net.deliver_views_within(0, 300);
        net.run_ms(6_000);
        net.check_invariants("dispatchers killed");
    }
}

#[test]
fn a_dispatcher_that_stops_hands_over_its_in_flight_table_and_fails_no_request() {
    let mut net = under_load(6, 0.7, 3_000);
    let leaving = dispatcher_of(&net, &domain(0));
    net.leave(&leaving);
    net.run_ms(200);
    let next = dispatcher_of(&net, &domain(0));
    assert_ne!(next, leaving);
    let completed = |net: &Net| net.upstreams[0].completed;
    let before = completed(&net);
    net.run_ms(500);
    // Without the handover, the takeover takes a second, in which the upstream would be idle.
    assert!(
        completed(&net) > before,
        "the new dispatcher did not dispatch within 500 ms"
    );
    assert!(net.vms[&leaving].load.is_idle());
    net.run_ms(5_000);
    net.check_invariants("planned stop");
    assert_eq!(
        net.callers.count_first_answers(coap::CHANGED),
        net.callers.request_count()
    );
}

#[test]
fn a_dispatcher_that_takes_over_after_planned_stops_dispatches_at_once() {
    let mut net = under_load(6, 0.7, 6_000);
    let stopped = dispatcher_of(&net, &domain(1));
    net.leave(&stopped);
    net.run_ms(1_000);
    net.kill(&stopped);
    net.deliver_views();
    net.run_ms(500);
    let leaving = dispatcher_of(&net, &domain(0));
    net.leave(&leaving);
    net.run_ms(200);
    let completed = |net: &Net| net.upstreams[0].completed;
    let before = completed(&net);
    net.run_ms(500);
    assert!(
        completed(&net) > before,
        "the new dispatcher waits for a VM that had stopped"
    );
    net.run_ms(5_000);
    net.check_invariants("two planned stops");
    assert_eq!(
        net.callers.count_first_answers(coap::CHANGED),
        net.callers.request_count()
    );
}

#[test]
fn a_dispatcher_that_was_frozen_does_not_use_its_outdated_state() {
    for seed in 10..14 {
        let mut net = under_load(seed, 1.0, 9_000);
        let frozen = dispatcher_of(&net, &domain(1));
        net.freeze(&frozen);
        net.run_ms(1_500);
        net.deliver_views_within(0, 300);
        net.run_ms(1_500);
        net.thaw(&frozen);
        net.run_ms(300);
        net.deliver_views_within(0, 300);
        net.run_ms(7_000);
        net.check_invariants("frozen dispatcher");
    }
}

#[test]
fn an_upstream_that_reports_itself_cold_still_gets_work_by_its_answers() {
    let mut net = Net::new(Shape::LYSGARD, 15);
    net.upstreams[2].announced_warmth_percent = 0;
    net.run_ms(HISTORY_COMPLETE_MS);
    net.start_arrivals(CAPACITY * 0.9, 0.0, 6_000);
    net.run_ms(8_000);
    net.check_invariants("reports itself cold");
    let honest = net.upstreams[1].completed;
    assert!(
        net.upstreams[2].completed > honest / 2,
        "{} requests completed, against {honest} at an upstream that reports itself warm",
        net.upstreams[2].completed
    );
}

#[test]
fn an_announcement_of_more_slots_than_were_admitted_adds_none() {
    let mut net = Net::new(Shape::LYSGARD, 16);
    net.upstreams[2].announced_slots = 30;
    net.run_ms(HISTORY_COMPLETE_MS);
    net.start_arrivals(CAPACITY * 2.0, 0.0, 3_000);
    net.run_ms(4_500);
    net.check_invariants("announces more slots");
}

#[test]
fn an_upstream_that_leaves_or_drains_gets_no_new_work() {
    let mut net = under_load(17, 0.7, 6_000);
    net.upstreams[4].leaving = true;
    net.drain(5);
    net.run_ms(2_000);
    let started = |net: &Net| {
        (
            net.upstreams[4].started.len(),
            net.upstreams[5].started.len(),
        )
    };
    let before = started(&net);
    net.run_ms(4_000);
    assert_eq!(started(&net), before);
    net.run_ms(1_500);
    net.check_invariants("leaving and draining");
    let config = &net.config.services[&booking()];
    let drained = config.upstreams.get(&net.upstreams[5].name);
    assert!(drained.is_none_or(|u| u.state == UpstreamState::Draining));
    assert_eq!(
        net.callers.count_first_answers(coap::CHANGED),
        net.callers.request_count()
    );
}

#[test]
fn a_domain_that_was_taken_out_gets_no_more_requests() {
    let mut net = under_load(18, 0.5, 4_000);
    net.domain_out(&domain(2));
    net.run_ms(200);
    let started = |net: &Net| -> usize {
        let out = net.upstreams.iter().filter(|u| u.domain == domain(2));
        out.map(|u| u.started.len()).sum()
    };
    let before = started(&net);
    net.run_ms(5_000);
    assert_eq!(started(&net), before);
    net.check_invariants("domain taken out");
    assert!(goodput_share(&net) > MIN_GOODPUT);
}

#[test]
fn an_unresponsive_upstream_is_avoided_and_its_posts_are_unknown_in_time() {
    let mut net = under_load(19, 0.5, 6_000);
    net.upstreams[6].unresponsive = true;
    net.run_ms(3_000);
    let before = net.upstreams[6].arrived;
    net.run_ms(3_000);
    let probes = net.upstreams[6].arrived - before;
    assert!(
        probes <= 3 * 3,
        "{probes} requests to an unresponsive upstream"
    );
    net.run_ms(1_500);
    net.check_invariants("unresponsive upstream");
    assert_eq!(net.callers.count_unanswered(), 0);
    assert!(goodput_share(&net) > MIN_GOODPUT);
}

#[test]
fn a_single_vm_serves_posts_once_its_history_is_complete() {
    let shape = Shape {
        domains: 1,
        vms: 1,
        upstreams: 1,
        ..Shape::LYSGARD
    };
    let mut net = Net::new(shape, 20);
    net.run_ms(1_000);
    let early = net.issue_request(Method::Post, 1_000);
    net.run_ms(HISTORY_COMPLETE_MS);
    let late = net.issue_request(Method::Post, 1_000);
    net.run_ms(1_500);
    net.check_invariants("single VM");
    assert_eq!(net.callers.requests[&early].answers[0].code, coap::TIMEOUT);
    assert_eq!(net.callers.requests[&late].answers[0].code, coap::CHANGED);
    let vm: &Vm = &net.vms[&name("vm-0")].vm;
    assert!(!vm.leaving);
}
