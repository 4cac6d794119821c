//! Guards against flows that break or reach another upstream during planned changes: drains,
//! admissions, failure domains taken out, and graceful stops of VMs. Each change makes generations
//! or VMs disagree for a while about the upstream of a bucket.

mod flow_support;

use flow_support::{Net, Settings, vm};
use wire::gue::Segment;

fn net(seed: u64) -> Net {
    Net::new(Settings {
        seed,
        ..Settings::default()
    })
}

#[test]
fn all_flows_open_and_stay_without_any_change() {
    let mut net = net(1);
    let flows = net.open_flows(500);
    assert!(flows.clone().all(|f| net.flows[f].upstream.is_some()));
    assert_eq!(net.continue_flows(flows), Vec::<usize>::new());
    assert_eq!(net.split_count(), 0);
}

#[test]
fn flows_stay_while_an_upstream_drains_and_its_generation_retires() {
    let mut net = net(2);
    net.open_flows(500);
    net.drain(0);
    for _ in 0..10 {
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.open_flows(50);
        net.run_ms(700);
    }
    assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
    assert_eq!(net.split_count(), 0);
}

#[test]
fn a_drained_upstream_gets_no_new_flow_once_its_generation_is_active() {
    let mut net = net(3);
    net.drain(0);
    net.run_ms(2_000);
    let drained = net.upstream_settings(0).flow_address;
    let flows = net.open_flows(500);
    assert!(
        flows
            .into_iter()
            .all(|f| net.flows[f].upstream != Some(drained))
    );
}

#[test]
fn flows_stay_while_an_upstream_is_admitted() {
    let mut net = net(4);
    net.open_flows(500);
    net.admit(6);
    for _ in 0..10 {
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.open_flows(50);
        net.run_ms(700);
    }
    assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
    assert_eq!(net.split_count(), 0);
    assert!(
        net.config.services[&flow_support::service()]
            .generations
            .len()
            < 3
    );
}

#[test]
fn flows_stay_while_another_domain_goes_out_and_returns() {
    let mut net = net(5);
    net.open_flows(500);
    net.domain_out(1);
    net.run_ms(1_000);
    net.open_flows(200);
    assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
    net.domain_in(1);
    for _ in 0..8 {
        net.open_flows(50);
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.run_ms(700);
    }
    assert_eq!(net.split_count(), 0);
}

#[test]
fn a_domain_that_is_out_gets_no_packet() {
    let mut net = net(6);
    let flows = net.open_flows(300);
    net.domain_out(1);
    net.run_ms(1_000);
    let given_up: Vec<usize> = flows.filter(|f| net.flows[*f].is_given_up).collect();
    let before: Vec<u32> = given_up
        .iter()
        .map(|f| net.flows[*f].later_arrivals)
        .collect();
    for flow in &given_up {
        net.send_to_any_vm(*flow, Segment::Later);
    }
    net.run_ms(500);
    let after: Vec<u32> = given_up
        .iter()
        .map(|f| net.flows[*f].later_arrivals)
        .collect();
    assert!(!given_up.is_empty());
    assert_eq!(before, after);
    assert!(net.count(policy::io::Counter::PacketDomainOut) > 0);
}

#[test]
fn flows_stay_during_overlapping_changes_with_delayed_configurations() {
    for seed in 10..16 {
        let mut net = Net::new(Settings {
            seed,
            max_propagation_ms: 2_000,
            loss_percent: 5,
            idle_ms: 12_000,
            ..Settings::default()
        });
        net.open_flows(200);
        net.drain(0);
        net.run_ms(300);
        net.open_flows(100);
        net.admit(6);
        net.run_ms(500);
        net.open_flows(100);
        net.drain(1);
        net.open_flows(100);
        net.admit(0);
        for _ in 0..8 {
            let lost = net.continue_flows(0..net.flows.len());
            assert_eq!(lost, Vec::<usize>::new(), "seed {seed}");
            net.open_flows(20);
        }
        assert_eq!(net.split_count(), 0, "seed {seed}");
    }
}

#[test]
fn flows_stay_while_a_vm_stops_gracefully_and_returns() {
    let mut net = net(7);
    net.open_flows(300);
    net.admit(6);
    net.run_ms(1_000);
    net.open_flows(300);
    let leaver = vm(2);
    net.stop(&leaver);
    net.continue_flows(0..net.flows.len());
    net.run_ms(3_000);
    assert!(net.machines[&leaver].flows.is_handed_over());
    net.kill(&leaver);
    assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
    net.join(2);
    for _ in 0..8 {
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.run_ms(700);
    }
    assert_eq!(net.split_count(), 0);
}

#[test]
fn a_rolling_restart_of_all_vms_during_a_change_breaks_no_flow() {
    let mut net = net(8);
    net.open_flows(300);
    net.admit(6);
    net.run_ms(1_000);
    net.open_flows(300);
    for number in 0..6 {
        net.stop(&vm(number));
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.run_ms(3_000);
        assert!(net.machines[&vm(number)].flows.is_handed_over());
        net.kill(&vm(number));
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.join(number);
        assert_eq!(net.continue_flows(0..net.flows.len()), Vec::<usize>::new());
        net.open_flows(20);
    }
    assert_eq!(net.split_count(), 0);
}

#[test]
fn a_closed_flow_leaves_no_record_behind() {
    let mut net = net(9);
    let flows = net.open_flows(200);
    net.admit(6);
    net.run_ms(1_000);
    for flow in flows {
        net.send_to_any_vm(flow, Segment::Close);
    }
    net.run_ms(20_000);
    let records: usize = net.machines.values().map(|m| m.flows.record_count()).sum();
    assert_eq!(records, 0);
}
