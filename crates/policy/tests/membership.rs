//! Tests that membership removes failed VMs from every view and keeps live VMs, under kills,
//! freezes, network cuts and packet loss on an in-memory network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod membership_support;

use membership_support::{Network, address};

#[test]
fn all_vms_discover_each_other_from_two_seeds() {
    let mut network = Network::new(9, 1);
    network.run(3_000);
    network.assert_views_equal(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_killed_vm_is_removed_from_every_view_and_returns_after_a_restart() {
    let mut network = Network::new(9, 2);
    network.run(3_000);
    network.peers.get_mut(&address(4)).unwrap().up = false;
    network.run(5_000);
    network.assert_views_equal(&[0, 1, 2, 3, 5, 6, 7, 8]);
    network.start(4, 2);
    network.run(3_000);
    network.assert_views_equal(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn two_vms_killed_at_once_are_removed_from_every_view() {
    let mut network = Network::new(9, 3);
    network.run(3_000);
    network.peers.get_mut(&address(0)).unwrap().up = false;
    network.peers.get_mut(&address(1)).unwrap().up = false;
    network.run(6_000);
    network.assert_views_equal(&[2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_vm_frozen_until_declared_dead_refutes_and_returns_twice() {
    let mut network = Network::new(6, 4);
    network.run(3_000);
    for _ in 0..2 {
        network.peers.get_mut(&address(2)).unwrap().frozen = true;
        network.run(6_000);
        assert!(
            !network.live_vms_at(3).contains(&2),
            "the frozen VM is still in the view of vm-3"
        );
        network.thaw(2);
        network.run(6_000);
        network.assert_views_equal(&[0, 1, 2, 3, 4, 5]);
    }
}

#[test]
fn a_vm_resumed_after_a_freeze_declares_no_other_vm_dead() {
    let mut network = Network::new(6, 5);
    network.run(3_000);
    network.peers.get_mut(&address(2)).unwrap().frozen = true;
    network.run(20_000);
    network.thaw(2);
    network.run(200);
    assert_eq!(network.live_vms_at(2).len(), 6);
}

#[test]
fn both_sides_of_a_partition_separate_and_rejoin_after_healing() {
    let mut network = Network::new(9, 6);
    network.run(3_000);
    let (left, right) = (&[0, 3, 6], &[1, 2, 4, 5, 7, 8]);
    network.cut(left, right);
    network.cut(right, left);
    network.run(10_000);
    network.assert_views_equal(left);
    network.assert_views_equal(right);
    network.cuts.clear();
    network.run(8_000);
    network.assert_views_equal(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_one_way_cut_between_two_vms_removes_neither() {
    let mut network = Network::new(9, 7);
    network.run(3_000);
    network.cut(&[3], &[5]);
    for _ in 0..20 {
        network.run(500);
        network.assert_views_equal(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    }
}

#[test]
fn five_percent_loss_removes_no_vm_for_long() {
    let mut network = Network::new(9, 8);
    network.loss = 0.05;
    network.run(60_000);
    network.loss = 0.0;
    network.run(3_000);
    network.assert_views_equal(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_leaving_vm_is_shown_as_leaving_within_100_ms() {
    let mut network = Network::new(6, 9);
    network.run(3_000);
    let mut out = Vec::new();
    let peer = network.peers.get_mut(&address(5)).unwrap();
    peer.membership.announce_leave(&mut peer.view, &mut out);
    let name = peer.vm.name.clone();
    network.send(address(5), out);
    network.run(100);
    for number in 0..6 {
        assert!(
            network.peers[&address(number)].view.vms[&name].leaving,
            "vm-{number} does not show the VM as leaving"
        );
    }
}

#[test]
fn probes_and_gossip_stay_within_2_kilobytes_a_second() {
    for vms in [9, 60] {
        let mut network = Network::new(vms, 10);
        network.run(10_000);
        for peer in network.peers.values_mut() {
            peer.sent_bytes = 0;
        }
        network.run(10_000);
        for peer in network.peers.values() {
            let per_second = peer.sent_bytes / 10;
            assert!(
                per_second <= 2_000,
                "a VM sent {per_second} bytes per second with {vms} VMs"
            );
        }
    }
}

#[test]
fn a_vm_that_announces_its_exit_is_removed_from_every_view_within_100_ms() {
    let mut network = Network::new(6, 11);
    network.run(3_000);
    let mut out = Vec::new();
    let peer = network.peers.get_mut(&address(5)).unwrap();
    peer.membership.announce_leave(&mut peer.view, &mut out);
    peer.membership.announce_exit(&mut out);
    peer.up = false;
    network.send(address(5), out);
    network.run(100);
    network.assert_views_equal(&[0, 1, 2, 3, 4]);
}
