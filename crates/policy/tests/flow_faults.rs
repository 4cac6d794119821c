//! Flows while VMs and failure domains fail.

mod flow_support;

use flow_support::{Net, Settings, service, vm};
use model::name::Name;
use policy::{io::Counter, time::Instant};
use wire::gue::Segment;

const NONE: Vec<usize> = Vec::new();

fn net(seed: u64) -> Net {
    Net::new(Settings {
        seed,
        idle_ms: 15_000,
        ..Settings::default()
    })
}

/// Flows on both sides of a change whose generations are both retained.
fn net_in_change(seed: u64) -> Net {
    let mut net = net(seed);
    net.open(300);
    net.admit(6);
    net.drain(0);
    net.run(1_500);
    net.open(300);
    assert_eq!(net.continue_flows(0..600), NONE);
    net
}

fn continue_for(net: &mut Net, rounds: usize) {
    for _ in 0..rounds {
        let all = 0..net.flows.len();
        assert_eq!(net.continue_flows(all), NONE);
        net.open(10);
    }
    assert_eq!(net.split(), 0);
}

#[test]
fn the_death_of_a_home_during_a_change_breaks_no_flow() {
    for seed in 20..23 {
        let mut net = net_in_change(seed);
        let home = net.home(450);
        net.kill(&home);
        continue_for(&mut net, 12);
    }
}

#[test]
fn the_death_of_a_backup_during_a_change_breaks_no_flow() {
    let mut net = net_in_change(23);
    let backup = net.backup(450);
    net.kill(&backup);
    continue_for(&mut net, 12);
}

#[test]
fn a_second_death_after_the_copies_breaks_no_flow() {
    let mut net = net_in_change(24);
    let (first, second) = (net.home(450), net.backup(450));
    net.kill(&first);
    continue_for(&mut net, 3);
    net.kill(&second);
    continue_for(&mut net, 12);
}

#[test]
fn the_death_of_home_and_backup_together_sends_no_packet_to_another_upstream() {
    for seed in 25..28 {
        let mut net = net_in_change(seed);
        let (first, second) = (net.home(450), net.backup(450));
        net.kill(&first);
        net.kill(&second);
        let lost = net.continue_flows(0..600);
        assert_eq!(net.split(), 0, "seed {seed}");
        assert!(net.count(Counter::PacketUnknownFlow) > 0, "seed {seed}");
        assert!(lost.len() < 100, "seed {seed}: {}", lost.len());
    }
}

#[test]
fn the_death_of_home_and_backup_together_breaks_no_flow_of_settled_buckets() {
    let mut net = net(28);
    net.open(400);
    let (first, second) = (net.home(7), net.backup(7));
    net.kill(&first);
    net.kill(&second);
    continue_for(&mut net, 4);
}

#[test]
fn the_same_vm_dies_twice_and_no_flow_breaks() {
    let mut net = net_in_change(29);
    for _ in 0..2 {
        net.kill(&vm(1));
        continue_for(&mut net, 2);
        net.join(1);
        continue_for(&mut net, 2);
    }
}

#[test]
fn a_join_between_two_changes_breaks_no_flow() {
    for seed in 30..33 {
        let mut net = net_in_change(seed);
        net.join(6);
        net.drain(2);
        continue_for(&mut net, 3);
        net.join(7);
        continue_for(&mut net, 12);
    }
}

#[test]
fn lost_late_and_reordered_messages_break_no_flow_while_a_home_dies() {
    for seed in 33..36 {
        let mut net = Net::new(Settings {
            seed,
            idle_ms: 30_000,
            loss_percent: 5,
            delay_ms: 40,
            uneven_ms: 1_000,
            ..Settings::default()
        });
        net.open(200);
        net.admit(6);
        net.drain(0);
        net.run(1_500);
        net.open(200);
        net.kill(&vm(3));
        for _ in 0..6 {
            let lost = net.continue_flows(0..net.flows.len());
            assert_eq!(lost, NONE, "seed {seed}");
        }
        assert_eq!(net.split(), 0, "seed {seed}");
    }
}

#[test]
fn a_cut_off_domain_serves_its_own_upstreams_and_heals_without_a_broken_flow() {
    for seed in 50..55 {
        cut_off_and_heal(seed);
    }
}

fn cut_off_and_heal(seed: u64) {
    let mut net = net(seed);
    net.run(10_000);
    net.open(300);
    net.cut(1);
    net.run(1_500);
    // Each side opens flows on the upstreams that it reaches.
    let first = net.flows.len();
    net.flows.resize(first + 200, flow_support::Flow::default());
    let sides: Vec<Name> = (0..6).map(vm).collect();
    for _ in 0..3 {
        for flow in first..first + 200 {
            if net.flows[flow].upstream.is_none() {
                net.hand_to(&sides[flow % 6], flow, Segment::Open);
            }
        }
        net.run(500);
    }
    let unopened = (first..first + 200).filter(|f| net.flows[*f].upstream.is_none());
    assert_eq!(unopened.count(), 0);
    for _ in 0..2 {
        for flow in first..first + 200 {
            net.hand_to(&sides[flow % 6], flow, Segment::Later);
        }
        net.run(500);
    }
    assert!((first..first + 200).all(|f| net.flows[f].arrived == 2));
    net.heal();
    // While views still differ, a VM can't know of flows that were opened on the other side: the
    // fabric hands packets to the other side once VMs see each other.
    net.run(400);
    continue_for(&mut net, 4);
}

#[test]
fn a_vm_that_joins_forwards_nothing_directly_before_it_knows_marks_and_pins() {
    let mut net = net(37);
    net.join(6);
    net.run(20);
    let at = Instant::from_ms(net.now);
    assert!(!net.machines[&vm(6)].flows.is_synced(at));
    net.run(1_000);
    let at = Instant::from_ms(net.now);
    assert!(!net.machines[&vm(6)].flows.is_synced(at));
    net.run(3_000);
    let at = Instant::from_ms(net.now);
    assert!(net.machines[&vm(6)].flows.is_synced(at));
}

#[test]
fn a_vm_that_has_found_no_peer_yet_decides_nothing_as_home() {
    let mut net = net_in_change(46);
    net.join(6);
    for flow in 0..600 {
        net.hand_to(&vm(6), flow, Segment::Later);
    }
    net.run(1_000);
    assert_eq!(net.split(), 0);
    continue_for(&mut net, 2);
}

#[test]
fn a_vm_that_restarts_unseen_before_its_backup_dies_breaks_no_flow() {
    for seed in 47..50 {
        let mut net = net_in_change(seed);
        let (home, backup) = (net.home(450), net.backup(450));
        net.restart(&home);
        net.run(4_000);
        assert_eq!(net.continue_flows(0..600), NONE, "seed {seed}");
        net.kill(&backup);
        continue_for(&mut net, 3);
    }
}

#[test]
fn a_backup_that_restarts_unseen_gets_its_records_again_before_the_home_dies() {
    for seed in 56..59 {
        let mut net = net_in_change(seed);
        let (home, backup) = (net.home(450), net.backup(450));
        net.restart(&backup);
        net.run(6_000);
        net.kill(&home);
        continue_for(&mut net, 3);
    }
}

#[test]
fn a_frozen_vm_that_wakes_forwards_nothing_by_old_knowledge() {
    for seed in 38..41 {
        let mut net = net(seed);
        net.open(300);
        net.freeze(&vm(0), 8_000);
        net.run(500);
        net.hide(&vm(0), true);
        net.run(2_500);
        net.admit(6);
        net.drain(1);
        net.run(2_000);
        net.open(200);
        assert_eq!(net.continue_flows(0..500), NONE, "seed {seed}");
        net.run(8_000 - 7_000);
        let before = net.count(Counter::PacketDirect);
        net.run(2_000);
        net.hide(&vm(0), false);
        for flow in 300..500 {
            net.hand_to(&vm(0), flow, Segment::Later);
        }
        net.run(200);
        assert_eq!(net.split(), 0, "seed {seed}");
        net.confirm();
        net.run(500);
        assert!(net.count(Counter::PacketDirect) >= before);
        continue_for(&mut net, 3);
    }
}

#[test]
fn pins_let_generations_retire_while_displaced_flows_go_on() {
    let mut net = Net::new(Settings {
        seed: 41,
        idle_ms: 3_000,
        ..Settings::default()
    });
    net.open(400);
    for change in 0..12 {
        net.admit(6 + change % 2);
        for _ in 0..8 {
            assert_eq!(net.continue_flows(0..400), NONE);
            net.run(400);
        }
        net.drain(6 + change % 2);
        for _ in 0..8 {
            assert_eq!(net.continue_flows(0..400), NONE);
            net.run(400);
        }
        let retained = net.config.services[&service()].generations.len();
        assert!(retained <= 3, "change {change}: {retained} generations");
    }
    assert_eq!(net.split(), 0);
}

#[test]
fn buckets_are_direct_again_once_displaced_flows_have_ended() {
    let mut net = Net::new(Settings {
        seed: 42,
        idle_ms: 3_000,
        ..Settings::default()
    });
    net.open(200);
    net.admit(6);
    net.run(1_000);
    let share = |net: &Net| {
        let shares = net
            .machines
            .values()
            .map(|m| m.flows.direct_share(&service()));
        shares.fold(1.0_f64, f64::min)
    };
    assert!(share(&net) < 1.0);
    net.run(30_000);
    assert!((share(&net) - 1.0).abs() < f64::EPSILON);
}
