//! Stewards under load: slots, cold starts, lost upstreams, take-overs, and untrue reports.

mod support;

use model::config::UpstreamState;
use model::name::Name;
use policy::view::Vm;
use support::{Faults, Net, Shape, booking, domain, name, upstream::Excess};
use wire::coap::{self, Method};

/// Time after which every VM vouches for the past, in milliseconds.
const SETTLED_MS: u64 = 5_000;

/// Requests a second that all upstreams of Lysgard can do.
const CAPACITY: f64 = 14.0 * 3.0 / 0.02;

/// Share of the answered requests that the users ask for under overload.
const GOODPUT: f64 = 0.9;

fn dispatcher(net: &Net, domain: &Name) -> Name {
    let vm = net.vms[&name("vm-0")].view.dispatcher(&booking(), domain);
    vm.expect("each domain has a VM").name.clone()
}

/// A net whose upstreams are all warm, under a load that is a part of the capacity.
fn under_load(seed: u64, part: f64, for_ms: u64) -> Net {
    let mut net = Net::new(Shape::LYSGARD, seed);
    net.run_ms(SETTLED_MS);
    net.arrivals(CAPACITY * part, 0.5, 3_000 + for_ms);
    net.run_ms(3_000);
    net.callers.mark();
    net
}

fn good_share(net: &Net) -> f64 {
    net.callers.first(coap::CHANGED) as f64 / net.callers.asked() as f64
}

#[test]
fn no_upstream_gets_more_than_its_slots_at_twice_the_capacity() {
    let mut net = under_load(1, 2.0, 2_000);
    net.run_ms(3_500);
    net.check("overload");
    let per_second = net.callers.first(coap::CHANGED) as f64 / 2.0;
    assert!(per_second / CAPACITY >= GOODPUT, "{per_second} a second");
    assert_eq!(net.callers.unanswered(), 0);
}

#[test]
fn an_upstream_that_turns_cold_without_a_word_comes_back_and_drags_nobody_down() {
    for excess in [Excess::Shed, Excess::Collapse] {
        let mut net = under_load(2, 0.7, 6_000);
        net.upstreams[3].excess = excess;
        net.upstreams[3].chill();
        net.run_ms(7_500);
        net.check("cold without a word");
        assert_eq!(net.upstreams[3].bears, net.upstreams[3].slots);
        assert!(good_share(&net) > GOODPUT, "{}", good_share(&net));
    }
}

#[test]
fn the_same_upstream_turning_cold_twice_is_borne_twice() {
    let mut net = under_load(3, 0.7, 8_000);
    net.upstreams[3].excess = Excess::Collapse;
    for _ in 0..2 {
        net.restart_upstream(3);
        net.run_ms(400);
        net.upstreams[3].chill();
        net.run_ms(3_600);
    }
    net.run_ms(1_500);
    net.check("cold twice");
    assert!(good_share(&net) > GOODPUT, "{}", good_share(&net));
}

#[test]
fn when_the_last_warm_upstream_is_lost_cold_ones_get_what_they_bear() {
    let mut net = under_load(4, 0.7, 5_000);
    for upstream in &mut net.upstreams[1..] {
        upstream.excess = Excess::Collapse;
    }
    for upstream in 1..net.upstreams.len() {
        net.restart_upstream(upstream);
    }
    net.run_ms(50);
    net.upstreams[0].mute = true;
    net.upstreams[0].announces = false;
    net.run_ms(6_500);
    net.check("last warm lost");
    let collapses: u32 = net.upstreams.iter().map(|u| u.over_cold).sum();
    // At the restart each may have one datagram on its way that was sent to the warm one.
    assert!(collapses <= 13, "{collapses}");
    assert!(net.upstreams[1..].iter().all(|u| u.bears == u.slots));
}

#[test]
fn stewards_that_die_under_full_load_are_replaced_without_over_admission() {
    for seed in 5..9 {
        let mut net = under_load(seed, 1.0, 8_000);
        net.faults = Faults {
            loss: 0.01,
            duplicates: 0.02,
            ..Faults::default()
        };
        let first = dispatcher(&net, &domain(0));
        net.kill(&first);
        net.run_ms(1_500);
        net.agree_after(0, 300);
        net.run_ms(1_000);
        // The one that took over dies as well, before it has learned all.
        let second = dispatcher(&net, &domain(0));
        net.kill(&second);
        net.run_ms(1_500);
        net.agree_after(0, 300);
        net.run_ms(6_000);
        net.check("stewards died");
    }
}

#[test]
fn a_steward_that_stops_on_purpose_hands_its_ledger_over_and_cuts_no_request() {
    let mut net = under_load(6, 0.7, 3_000);
    let leaving = dispatcher(&net, &domain(0));
    net.leave(&leaving);
    net.run_ms(200);
    let next = dispatcher(&net, &domain(0));
    assert_ne!(next, leaving);
    let done = |net: &Net| net.upstreams[0].done;
    let before = done(&net);
    net.run_ms(500);
    // A second of settling by time alone would leave the upstream idle.
    assert!(done(&net) > before, "the new steward dispatches at once");
    assert!(net.vms[&leaving].load.is_idle());
    net.run_ms(5_000);
    net.check("graceful");
    assert_eq!(net.callers.first(coap::CHANGED), net.callers.asked());
}

#[test]
fn a_steward_that_takes_over_after_another_vm_has_stopped_on_purpose_dispatches_at_once() {
    let mut net = under_load(6, 0.7, 6_000);
    let gone = dispatcher(&net, &domain(1));
    net.leave(&gone);
    net.run_ms(1_000);
    net.kill(&gone);
    net.agree();
    net.run_ms(500);
    let leaving = dispatcher(&net, &domain(0));
    net.leave(&leaving);
    net.run_ms(200);
    let done = |net: &Net| net.upstreams[0].done;
    let before = done(&net);
    net.run_ms(500);
    assert!(
        done(&net) > before,
        "the new steward waits for a VM that had finished"
    );
    net.run_ms(5_000);
    net.check("two planned stops");
    assert_eq!(net.callers.first(coap::CHANGED), net.callers.asked());
}

#[test]
fn a_steward_that_was_frozen_does_not_go_by_what_it_knew() {
    for seed in 10..14 {
        let mut net = under_load(seed, 1.0, 9_000);
        let frozen = dispatcher(&net, &domain(1));
        net.freeze(&frozen);
        net.run_ms(1_500);
        net.agree_after(0, 300);
        net.run_ms(1_500);
        net.thaw(&frozen);
        net.run_ms(300);
        net.agree_after(0, 300);
        net.run_ms(7_000);
        net.check("frozen steward");
    }
}

#[test]
fn an_upstream_that_says_it_is_cold_still_gets_work_by_its_answers() {
    let mut net = Net::new(Shape::LYSGARD, 15);
    net.upstreams[2].says_warmth = 0;
    net.run_ms(SETTLED_MS);
    net.arrivals(CAPACITY * 0.9, 0.0, 6_000);
    net.run_ms(8_000);
    net.check("says cold");
    let honest = net.upstreams[1].done;
    assert!(
        net.upstreams[2].done > honest / 2,
        "{} of {honest}",
        net.upstreams[2].done
    );
}

#[test]
fn an_announcement_of_more_slots_than_were_admitted_adds_none() {
    let mut net = Net::new(Shape::LYSGARD, 16);
    net.upstreams[2].claims_slots = 30;
    net.run_ms(SETTLED_MS);
    net.arrivals(CAPACITY * 2.0, 0.0, 3_000);
    net.run_ms(4_500);
    net.check("claims more");
}

#[test]
fn an_upstream_that_leaves_or_drains_gets_no_new_work() {
    let mut net = under_load(17, 0.7, 6_000);
    net.upstreams[4].leaving = true;
    net.drain(5);
    net.run_ms(2_000);
    let ran = |net: &Net| (net.upstreams[4].ran.len(), net.upstreams[5].ran.len());
    let before = ran(&net);
    net.run_ms(4_000);
    assert_eq!(ran(&net), before);
    net.run_ms(1_500);
    net.check("leaving");
    let config = &net.config.services[&booking()];
    let drained = config.upstreams.get(&net.upstreams[5].name);
    assert!(drained.is_none_or(|u| u.state == UpstreamState::Draining));
    assert_eq!(net.callers.first(coap::CHANGED), net.callers.asked());
}

#[test]
fn a_domain_that_was_taken_out_gets_no_more_requests() {
    let mut net = under_load(18, 0.5, 4_000);
    net.domain_out(&domain(2));
    net.run_ms(200);
    let ran = |net: &Net| -> usize {
        let out = net.upstreams.iter().filter(|u| u.domain == domain(2));
        out.map(|u| u.ran.len()).sum()
    };
    let before = ran(&net);
    net.run_ms(5_000);
    assert_eq!(ran(&net), before);
    net.check("domain out");
    assert!(good_share(&net) > GOODPUT);
}

#[test]
fn an_upstream_that_falls_silent_is_left_alone_and_its_posts_are_unknown_in_time() {
    let mut net = under_load(19, 0.5, 6_000);
    net.upstreams[6].mute = true;
    net.run_ms(3_000);
    let before = net.upstreams[6].got;
    net.run_ms(3_000);
    let probes = net.upstreams[6].got - before;
    assert!(probes <= 3 * 3, "{probes} requests to a silent upstream");
    net.run_ms(1_500);
    net.check("silent");
    assert_eq!(net.callers.unanswered(), 0);
    assert!(good_share(&net) > GOODPUT);
}

#[test]
fn a_vm_alone_serves_posts_once_it_can_vouch_for_the_past() {
    let shape = Shape {
        domains: 1,
        vms: 1,
        upstreams: 1,
        ..Shape::LYSGARD
    };
    let mut net = Net::new(shape, 20);
    net.run_ms(1_000);
    let early = net.request(Method::Post, 1_000);
    net.run_ms(SETTLED_MS);
    let late = net.request(Method::Post, 1_000);
    net.run_ms(1_500);
    net.check("alone");
    assert_eq!(net.callers.requests[&early].answers[0].code, coap::TIMEOUT);
    assert_eq!(net.callers.requests[&late].answers[0].code, coap::CHANGED);
    let vm: &Vm = &net.vms[&name("vm-0")].vm;
    assert!(!vm.leaving);
}
