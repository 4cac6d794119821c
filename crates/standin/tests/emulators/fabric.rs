//! Tests that the fabric draws among the usable entry VMs only.

use std::collections::BTreeSet;

use model::name::Name;
use standin::fabric::{Entry, EntryQuery, Fabric};

use crate::common::{entry, name};

fn entries(count: u16) -> Vec<Entry> {
    let address = |port| format!("127.0.0.1:{port}").parse().unwrap();
    (1..=count)
        .map(|n| entry(address(n), address(n + 100)))
        .collect()
}

fn query(service: &Name, key: u64) -> EntryQuery<'_> {
    EntryQuery {
        service,
        key,
        excluded: None,
    }
}

fn drawn(fabric: &Fabric, draws: u64) -> BTreeSet<Name> {
    let service = name("booking");
    let chosen = (0..draws).filter_map(|key| fabric.choose_entry(query(&service, key)));
    chosen.map(|entry| entry.name).collect()
}

#[test]
fn each_entry_vm_is_drawn_and_a_retransmission_goes_through_another() {
    let fabric = Fabric::new(entries(3), 1);
    assert_eq!(drawn(&fabric, 200).len(), 3);
    let before = name("entry-2");
    let service = name("booking");
    for key in 0..200 {
        let repeat = EntryQuery {
            excluded: Some(&before),
            ..query(&service, key)
        };
        assert_ne!(fabric.choose_entry(repeat).unwrap().name, before);
    }
}

#[test]
fn vms_that_are_down_and_cut_domains_get_no_packets() {
    let mut all = entries(3);
    all[2].domain = name("vejle");
    let fabric = Fabric::new(all, 1);
    fabric.set_down(name("entry-1"), true);
    fabric.cut(name("vejle"), true);
    assert_eq!(drawn(&fabric, 200), BTreeSet::from([name("entry-2")]));
    fabric.cut(name("vejle"), false);
    fabric.set_down(name("entry-1"), false);
    assert_eq!(drawn(&fabric, 200).len(), 3);
}

#[test]
fn without_the_system_a_flow_goes_to_one_upstream_of_its_service() {
    let mut all = entries(4);
    for (upstream, service) in all
        .iter_mut()
        .zip(["booking", "plan-intake"].iter().cycle())
    {
        upstream.service = Some(name(service));
    }
    let fabric = Fabric::new(all, 1);
    let names = BTreeSet::from([name("entry-1"), name("entry-3")]);
    assert_eq!(drawn(&fabric, 200), names);
    let service = name("booking");
    let choose_entry = || fabric.choose_entry(query(&service, 7)).unwrap().name;
    assert_eq!(choose_entry(), choose_entry());
}
