//! Guards against flows that break or reach another upstream while an upstream refuses new flows.
//! New flows of the excluded upstream's buckets then go to other upstreams than the table's choice.

mod flow_support;

use std::collections::BTreeSet;

use flow_support::{Net, Settings, domain, service, upstream};
use policy::io::Counter;

const NO_FLOWS: Vec<usize> = Vec::new();

fn net(seed: u64) -> Net {
    Net::new(Settings {
        seed,
        idle_ms: 15_000,
        ..Settings::default()
    })
}

#[test]
fn a_full_upstream_gets_no_new_flow_and_its_buckets_go_elsewhere() {
    let mut net = net(43);
    let full = upstream(0);
    net.connections.insert(full.clone(), 5);
    net.run_ms(2_000);
    let flows = net.open_flows(600);
    assert!(flows.clone().all(|f| net.flows[f].upstream.is_some()));
    let address = net.upstream_settings(0).flow_address;
    let on_it = flows.filter(|f| net.flows[*f].upstream == Some(address));
    assert!(on_it.count() <= 5);
    assert_eq!(net.continue_flows(0..600), NO_FLOWS);
    assert!(
        net.machines
            .values()
            .all(|m| m.flows.exclusion_count() == 1)
    );
    // The upstream has capacity again: the exclusion ends, and displaced flows stay on their
    // upstreams.
    net.connections.remove(&full);
    for _ in 0..10 {
        assert_eq!(net.continue_flows(0..net.flows.len()), NO_FLOWS);
        net.run_ms(1_500);
    }
    assert!(
        net.machines
            .values()
            .all(|m| m.flows.exclusion_count() == 0)
    );
    assert_eq!(net.split_count(), 0);
}

#[test]
fn full_upstreams_refuse_openings_and_keep_their_flows() {
    let mut net = Net::new(Settings {
        seed: 44,
        upstreams: 3,
        idle_ms: 30_000,
        ..Settings::default()
    });
    let flows = net.open_flows(100);
    for number in 0..3 {
        net.connections.insert(upstream(number), 1);
    }
    net.run_ms(2_000);
    let late = net.open_flows(20);
    assert!(late.into_iter().all(|f| net.flows[f].upstream.is_none()));
    assert!(net.count(Counter::PacketRefused) > 0);
    assert_eq!(net.continue_flows(flows), NO_FLOWS);
    assert_eq!(net.split_count(), 0);
}

#[test]
fn an_exclusion_stays_in_force_after_its_dispatcher_crashes() {
    let mut net = net(45);
    net.connections.insert(upstream(0), 5);
    net.run_ms(2_000);
    net.open_flows(300);
    let view = net.machines.values().next().unwrap().view.clone();
    let dispatcher = view
        .dispatcher(&service(), &domain(0))
        .unwrap()
        .name
        .clone();
    net.kill(&dispatcher);
    assert_eq!(net.continue_flows(0..300), NO_FLOWS);
    assert_eq!(net.split_count(), 0);
    let excluded: BTreeSet<usize> = net
        .machines
        .values()
        .map(|m| m.flows.exclusion_count())
        .collect();
    assert_eq!(excluded, BTreeSet::from([1]));
}
