//! Membership under kills, freezes, cuts and loss, on an in-memory network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod membership_support;

use membership_support::{Network, address};

#[test]
fn all_find_each_other_from_two_seeds() {
    let mut network = Network::new(9, 1);
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_killed_vm_leaves_every_view_and_a_restarted_one_returns() {
    let mut network = Network::new(9, 2);
    network.run(3_000);
    network.peers.get_mut(&address(4)).unwrap().up = false;
    network.run(5_000);
    network.assert_all_see(&[0, 1, 2, 3, 5, 6, 7, 8]);
    network.start(4, 2);
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn two_vms_killed_at_once_leave_every_view() {
    let mut network = Network::new(9, 3);
    network.run(3_000);
    network.peers.get_mut(&address(0)).unwrap().up = false;
    network.peers.get_mut(&address(1)).unwrap().up = false;
    network.run(6_000);
    network.assert_all_see(&[2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_vm_frozen_past_its_death_refutes_it_and_returns_twice() {
    let mut network = Network::new(6, 4);
    network.run(3_000);
    for _ in 0..2 {
        network.peers.get_mut(&address(2)).unwrap().frozen = true;
        network.run(6_000);
        assert!(
            !network.seen_by(3).contains(&2),
            "the frozen VM still counts as live"
        );
        network.thaw(2);
        network.run(6_000);
        network.assert_all_see(&[0, 1, 2, 3, 4, 5]);
    }
}

#[test]
fn a_woken_vm_declares_nobody_dead_for_its_own_absence() {
    let mut network = Network::new(6, 5);
    network.run(3_000);
    network.peers.get_mut(&address(2)).unwrap().frozen = true;
    network.run(20_000);
    network.thaw(2);
    network.run(200);
    assert_eq!(network.seen_by(2).len(), 6);
}

#[test]
fn both_sides_of_a_partition_part_and_find_each_other_again() {
    let mut network = Network::new(9, 6);
    network.run(3_000);
    let (left, right) = (&[0, 3, 6], &[1, 2, 4, 5, 7, 8]);
    network.cut(left, right);
    network.cut(right, left);
    network.run(10_000);
    network.assert_all_see(left);
    network.assert_all_see(right);
    network.cuts.clear();
    network.run(8_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_one_way_cut_between_two_vms_removes_neither() {
    let mut network = Network::new(9, 7);
    network.run(3_000);
    network.cut(&[3], &[5]);
    for _ in 0..20 {
        network.run(500);
        network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    }
}

#[test]
fn five_percent_loss_removes_nobody_for_long() {
    let mut network = Network::new(9, 8);
    network.loss = 0.05;
    network.run(60_000);
    network.loss = 0.0;
    network.run(3_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_leaving_vm_is_shown_as_leaving_at_once() {
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
            "at vm-{number}"
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
                "{per_second} bytes a second with {vms} VMs"
            );
        }
    }
}

#[test]
fn a_vm_that_ends_leaves_every_view_at_once() {
    let mut network = Network::new(6, 11);
    network.run(3_000);
    let mut out = Vec::new();
    let peer = network.peers.get_mut(&address(5)).unwrap();
    peer.membership.announce_leave(&mut peer.view, &mut out);
    peer.membership.announce_exit(&mut out);
    peer.up = false;
    network.send(address(5), out);
    network.run(100);
    network.assert_all_see(&[0, 1, 2, 3, 4]);
}
