//! Guards against flows that break or reach another upstream when VMs crash, restart, join or
//! freeze, or failure domains are cut off. The risk is that a VM without a record sends a flow by
//! the table to another upstream.

mod flow_support;

use flow_support::{Net, Settings, service, vm};
use model::name::Name;
use policy::{io::Counter, time::Instant};
use wire::gue::Segment;

const NO_FLOWS: Vec<usize> = Vec::new();

fn net(seed: u64) -> Net {
    Net::new(Settings {
        seed,
        idle_ms: 15_000,
        ..Settings::default()
    })
}

/// Returns a network with flows opened before and after a change whose generations are both
/// retained.
fn net_in_change(seed: u64) -> Net {
    let mut net = net(seed);
    net.open_flows(300);
    net.admit(6);
    net.drain(0);
    net.run_ms(1_500);
    net.open_flows(300);
    assert_eq!(net.continue_flows(0..600), NO_FLOWS);
    net
}

fn continue_rounds(net: &mut Net, rounds: usize) {
    for _ in 0..rounds {
        let all = 0..net.flows.len();
        assert_eq!(net.continue_flows(all), NO_FLOWS);
        net.open_flows(10);
    }
    assert_eq!(net.split_count(), 0);
}

#[test]
fn a_crash_of_the_primary_during_a_change_breaks_no_flow() {
    for seed in 20..23 {
        let mut net = net_in_change(seed);
        let primary = net.primary(450);
        net.kill(&primary);
        continue_rounds(&mut net, 12);
    }
}

#[test]
fn a_crash_of_the_backup_during_a_change_breaks_no_flow() {
    let mut net = net_in_change(23);
    let backup = net.backup(450);
    net.kill(&backup);
    continue_rounds(&mut net, 12);
}

#[test]
fn a_second_crash_after_records_are_copied_breaks_no_flow() {
    let mut net = net_in_change(24);
    let (first, second) = (net.primary(450), net.backup(450));
    net.kill(&first);
    continue_rounds(&mut net, 3);
    net.kill(&second);
    continue_rounds(&mut net, 12);
}

#[test]
fn a_crash_of_primary_and_backup_sends_no_packet_to_another_upstream() {
    for seed in 25..28 {
        let mut net = net_in_change(seed);
        let (first, second) = (net.primary(450), net.backup(450));
        net.kill(&first);
        net.kill(&second);
        let lost = net.continue_flows(0..600);
        assert_eq!(net.split_count(), 0, "seed {seed}");
        assert!(net.count(Counter::PacketUnknownFlow) > 0, "seed {seed}");
        assert!(lost.len() < 100, "seed {seed}: {}", lost.len());
    }
}

#[test]
fn a_crash_of_primary_and_backup_breaks_no_flow_while_generations_agree() {
    let mut net = net(28);
    net.open_flows(400);
    let (first, second) = (net.primary(7), net.backup(7));
    net.kill(&first);
    net.kill(&second);
    continue_rounds(&mut net, 4);
}

#[test]
fn repeated_crashes_of_one_vm_break_no_flow() {
    let mut net = net_in_change(29);
    for _ in 0..2 {
        net.kill(&vm(1));
        continue_rounds(&mut net, 2);
        net.join(1);
        continue_rounds(&mut net, 2);
    }
}

#[test]
fn a_join_between_two_changes_breaks_no_flow() {
    for seed in 30..33 {
        let mut net = net_in_change(seed);
        net.join(6);
        net.drain(2);
        continue_rounds(&mut net, 3);
        net.join(7);
        continue_rounds(&mut net, 12);
    }
}

#[test]
fn lost_late_and_reordered_messages_break_no_flow_while_a_vm_crashes() {
    for seed in 33..36 {
        let mut net = Net::new(Settings {
            seed,
            idle_ms: 30_000,
            loss_percent: 5,
            max_delay_ms: 40,
            max_propagation_ms: 1_000,
            ..Settings::default()
        });
        net.open_flows(200);
        net.admit(6);
        net.drain(0);
        net.run_ms(1_500);
        net.open_flows(200);
        net.kill(&vm(3));
        for _ in 0..6 {
            let lost = net.continue_flows(0..net.flows.len());
            assert_eq!(lost, NO_FLOWS, "seed {seed}");
        }
        assert_eq!(net.split_count(), 0, "seed {seed}");
    }
}

#[test]
fn a_cut_off_domain_serves_its_own_upstreams_and_rejoins_without_a_broken_flow() {
    for seed in 50..55 {
        cut_off_and_heal(seed);
    }
}

fn cut_off_and_heal(seed: u64) {
    let mut net = net(seed);
    net.run_ms(10_000);
    net.open_flows(300);
    net.cut_off_domain(1);
    net.run_ms(1_500);
    // Each side opens flows on the upstreams that it reaches.
    let first = net.flows.len();
    net.flows.resize(first + 200, flow_support::Flow::default());
    let vms: Vec<Name> = (0..6).map(vm).collect();
    for _ in 0..3 {
        for flow in first..first + 200 {
            if net.flows[flow].upstream.is_none() {
                net.send_to_vm(&vms[flow % 6], flow, Segment::Open);
            }
        }
        net.run_ms(500);
    }
    let unopened = (first..first + 200).filter(|f| net.flows[*f].upstream.is_none());
    assert_eq!(unopened.count(), 0);
    for _ in 0..2 {
        for flow in first..first + 200 {
            net.send_to_vm(&vms[flow % 6], flow, Segment::Later);
        }
        net.run_ms(500);
    }
    assert!((first..first + 200).all(|f| net.flows[f].later_arrivals == 2));
    net.heal_partition();
    // Until the views agree, a VM can't know of flows that were opened on the other side. The
    // fabric hands packets to the other side only once the VMs see each other.
    net.run_ms(400);
    continue_rounds(&mut net, 4);
}

#[test]
fn a_vm_that_joins_forwards_nothing_directly_before_it_has_exclusions_and_pins() {
    let mut net = net(37);
    net.join(6);
    net.run_ms(20);
    let at = Instant::from_ms(net.now);
    assert!(!net.machines[&vm(6)].flows.is_synced(at));
    net.run_ms(1_000);
    let at = Instant::from_ms(net.now);
    assert!(!net.machines[&vm(6)].flows.is_synced(at));
    net.run_ms(3_000);
    let at = Instant::from_ms(net.now);
    assert!(net.machines[&vm(6)].flows.is_synced(at));
}

#[test]
fn a_vm_that_has_found_no_peer_yet_handles_no_flow_as_primary() {
    let mut net = net_in_change(46);
    net.join(6);
    for flow in 0..600 {
        net.send_to_vm(&vm(6), flow, Segment::Later);
    }
    net.run_ms(1_000);
    assert_eq!(net.split_count(), 0);
    continue_rounds(&mut net, 2);
}

#[test]
fn a_vm_that_restarts_unseen_before_its_backup_crashes_breaks_no_flow() {
    for seed in 47..50 {
        let mut net = net_in_change(seed);
        let (primary, backup) = (net.primary(450), net.backup(450));
        net.restart(&primary);
        net.run_ms(4_000);
        assert_eq!(net.continue_flows(0..600), NO_FLOWS, "seed {seed}");
        net.kill(&backup);
        continue_rounds(&mut net, 3);
    }
}

#[test]
fn a_backup_that_restarts_unseen_gets_its_records_again_before_the_primary_crashes() {
    for seed in 56..59 {
        let mut net = net_in_change(seed);
        let (primary, backup) = (net.primary(450), net.backup(450));
        net.restart(&backup);
        net.run_ms(6_000);
        net.kill(&primary);
        continue_rounds(&mut net, 3);
    }
}

#[test]
fn a_vm_that_resumes_after_a_freeze_forwards_nothing_by_stale_state() {
    for seed in 38..41 {
        let mut net = net(seed);
        net.open_flows(300);
        net.freeze(&vm(0), 8_000);
        net.run_ms(500);
        net.set_hidden(&vm(0), true);
        net.run_ms(2_500);
        net.admit(6);
        net.drain(1);
        net.run_ms(2_000);
        net.open_flows(200);
        assert_eq!(net.continue_flows(0..500), NO_FLOWS, "seed {seed}");
        net.run_ms(8_000 - 7_000);
        let before = net.count(Counter::PacketDirect);
        net.run_ms(2_000);
        net.set_hidden(&vm(0), false);
        for flow in 300..500 {
            net.send_to_vm(&vm(0), flow, Segment::Later);
        }
        net.run_ms(200);
        assert_eq!(net.split_count(), 0, "seed {seed}");
        net.confirm_configs();
        net.run_ms(500);
        assert!(net.count(Counter::PacketDirect) >= before);
        continue_rounds(&mut net, 3);
    }
}

#[test]
fn pins_let_generations_retire_while_displaced_flows_go_on() {
    let mut net = Net::new(Settings {
        seed: 41,
        idle_ms: 3_000,
        ..Settings::default()
    });
    net.open_flows(400);
    for change in 0..12 {
        net.admit(6 + change % 2);
        for _ in 0..8 {
            assert_eq!(net.continue_flows(0..400), NO_FLOWS);
            net.run_ms(400);
        }
        net.drain(6 + change % 2);
        for _ in 0..8 {
            assert_eq!(net.continue_flows(0..400), NO_FLOWS);
            net.run_ms(400);
        }
        let retained = net.config.services[&service()].generations.len();
        assert!(retained <= 3, "change {change}: {retained} generations");
    }
    assert_eq!(net.split_count(), 0);
}

#[test]
fn buckets_are_direct_again_once_displaced_flows_have_ended() {
    let mut net = Net::new(Settings {
        seed: 42,
        idle_ms: 3_000,
        ..Settings::default()
    });
    net.open_flows(200);
    net.admit(6);
    net.run_ms(1_000);
    let share = |net: &Net| {
        let shares = net
            .machines
            .values()
            .map(|m| m.flows.direct_share(&service()));
        shares.fold(1.0_f64, f64::min)
    };
    assert!(share(&net) < 1.0);
    net.run_ms(30_000);
    assert!((share(&net) - 1.0).abs() < f64::EPSILON);
}
