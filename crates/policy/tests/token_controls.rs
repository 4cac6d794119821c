//! Tests which list of control VMs a gateway keeps.
//!
//! Guards against an entry VM that never learns of a control VM: upstreams that announce themselves
//! only there would get no flows. The list changes without a change of the configuration, and
//! control VMs that lag behind send older lists.

mod token_support;

use std::net::SocketAddr;

use model::routing::{ControlList, Fault};
use token_support::{agreed_state, control_vm, empty_gateway};

fn list(version: u64, numbers: &[u8]) -> ControlList {
    ControlList {
        version,
        addresses: addresses(numbers),
    }
}

fn addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().copied().map(control_vm).collect()
}

#[test]
fn the_list_grows_and_shrinks_without_a_change_of_the_configuration() {
    let mut gateway = empty_gateway();
    gateway.update_agreed(agreed_state(7, &[]));
    assert!(gateway.update_controls(list(3, &[1])).unwrap());
    assert!(gateway.update_controls(list(8, &[1, 2, 3])).unwrap());
    assert_eq!(gateway.control_addresses(), addresses(&[1, 2, 3]));
    assert!(gateway.update_controls(list(9, &[2, 3])).unwrap());
    assert_eq!(gateway.control_addresses(), addresses(&[2, 3]));
}

#[test]
fn an_older_list_of_a_control_vm_that_lags_behind_is_ignored() {
    let mut gateway = empty_gateway();
    gateway.update_controls(list(9, &[2, 3])).unwrap();
    assert!(!gateway.update_controls(list(8, &[1, 2, 3])).unwrap());
    // Two control VMs that differ at the same version: the first one counts.
    assert!(!gateway.update_controls(list(9, &[1])).unwrap());
    assert_eq!(gateway.control_addresses(), addresses(&[2, 3]));
}

#[test]
fn a_change_of_the_configuration_does_not_bring_an_older_list_back() {
    let mut gateway = empty_gateway();
    gateway.update_controls(list(9, &[2, 3])).unwrap();
    // The agreed state of a control VM of an older build lists control VM 1 alone.
    assert!(gateway.update_agreed(agreed_state(10, &[])));
    assert_eq!(gateway.control_addresses(), addresses(&[2, 3]));
}

#[test]
fn control_vms_of_older_builds_send_the_list_within_the_agreed_state() {
    let mut gateway = empty_gateway();
    gateway.update_agreed(agreed_state(7, &[]));
    assert_eq!(gateway.control_addresses(), addresses(&[1]));
}

#[test]
fn an_invalid_list_is_refused_and_the_old_one_stays() {
    let mut gateway = empty_gateway();
    gateway.update_controls(list(9, &[2, 3])).unwrap();
    let unusable: SocketAddr = "0.0.0.0:7000".parse().unwrap();
    let with_unusable = ControlList {
        version: 10,
        addresses: vec![control_vm(1), unusable],
    };
    let refused = [
        (list(10, &[]), Fault::Empty),
        (list(10, &[1, 2, 1]), Fault::Duplicate(control_vm(1))),
        (with_unusable, Fault::Unusable(unusable)),
    ];
    for (list, fault) in refused {
        assert_eq!(gateway.update_controls(list), Err(fault));
        assert_eq!(gateway.control_addresses(), addresses(&[2, 3]));
        assert_eq!(gateway.controls_version(), 9);
    }
}
