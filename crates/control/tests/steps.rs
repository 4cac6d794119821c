//! The leader's own steps, on fake times and beats.

#[path = "common/upstream.rs"]
mod upstream;

use control::{
    announced,
    lease::{FORGET_MS, LIVE_MS, Table},
    step::Stepper,
};
use model::{
    command::{Command, Entry},
    config::{Config, Service},
    delivery::{Heartbeat, Hello},
};
use upstream::{announcement, name};

/// A moment at which a process has run long enough to know who lives.
const LATER: u64 = 100_000;

fn hello(vm: &str, incarnation: u64) -> Hello {
    let address = "10.2.0.1:1".parse().expect("an address");
    Hello {
        vm: name(vm),
        domain: name("vejle"),
        incarnation,
        peer_address: address,
        http_address: address,
        cluster: 1,
        index: 0,
    }
}

fn beat(index: u64, needed: Option<u64>) -> Heartbeat {
    Heartbeat {
        index,
        needed: needed.map(|n| (name("booking"), n)).into_iter().collect(),
    }
}

fn apply(config: &mut Config, command: Command) {
    let index = config.index + 1;
    let entry = Entry::new("anna", index.to_string(), None, command);
    config.apply(index, &entry).expect("a good command");
}

fn admit(config: &mut Config, upstream: &str) {
    let command = Command::Admit {
        service: name("booking"),
        upstream: name(upstream),
        announced: announcement(upstream).admitted(),
    };
    apply(config, command);
}

/// A configuration whose only service has one upstream, in a prepared generation.
fn prepared() -> Config {
    let mut config = Config::default();
    apply(
        &mut config,
        Command::PutDomain {
            name: name("vejle"),
        },
    );
    let service = Service::at("10.9.0.1:443".parse().expect("an address"));
    let put = Command::PutService {
        name: name("booking"),
        service,
    };
    apply(&mut config, put);
    admit(&mut config, "booking-1");
    config
}

/// Commands that are due, without their ids.
fn due(stepper: &mut Stepper, now_ms: u64, config: &Config, vms: &Table) -> Vec<Command> {
    let entries = stepper.commands(now_ms, config, vms);
    entries.into_iter().map(|entry| entry.command).collect()
}

fn activate(generation: u64) -> Command {
    Command::Activate {
        service: name("booking"),
        generation,
    }
}

#[test]
fn a_generation_is_activated_once_every_live_entry_vm_has_prepared_it() {
    let config = prepared();
    let (mut vms, mut stepper) = (Table::default(), Stepper::default());
    for vm in ["entry-1", "entry-2"] {
        vms.hello(LATER, &hello(vm, 1));
    }
    vms.beat(LATER, &name("entry-1"), beat(config.index, None));
    assert_eq!(due(&mut stepper, LATER, &config, &vms), []);
    vms.beat(LATER, &name("entry-2"), beat(config.index, None));
    assert_eq!(due(&mut stepper, LATER, &config, &vms), [activate(1)]);
}

#[test]
fn an_entry_vm_is_waited_for_until_its_lease_ends_or_it_says_goodbye() {
    let config = prepared();
    let mut stepper = Stepper::default();
    let mut vms = Table::default();
    vms.hello(LATER, &hello("entry-1", 1));
    let end = LATER + LIVE_MS;
    assert_eq!(due(&mut stepper, end - 1, &config, &vms), []);
    assert_eq!(due(&mut stepper, end, &config, &vms), [activate(1)]);

    let mut vms = Table::default();
    vms.hello(LATER, &hello("entry-1", 1));
    vms.goodbye(LATER, &name("entry-1"));
    assert_eq!(due(&mut stepper, LATER, &config, &vms), [activate(1)]);
}

#[test]
fn a_control_vm_that_may_not_know_all_entry_vms_does_nothing() {
    let config = prepared();
    let mut stepper = Stepper::default();
    let mut vms = Table::default();
    // Just started.
    assert_eq!(due(&mut stepper, LIVE_MS - 1, &config, &vms), []);
    // Another control VM fell silent: who greeted it last is not known for a lease.
    vms.absorb(LATER, &name("control-2"), Vec::new());
    assert_eq!(due(&mut stepper, LATER + 1_500, &config, &vms), []);
    assert_eq!(
        due(&mut stepper, LATER + LIVE_MS, &config, &vms),
        [activate(1)]
    );
}

#[test]
fn entry_vms_of_other_control_vms_are_waited_for() {
    let config = prepared();
    let mut stepper = Stepper::default();
    let (mut here, mut there) = (Table::default(), Table::default());
    there.hello(500, &hello("entry-1", 1));
    let digest = there.digest(700, 0);
    here.absorb(LATER, &name("control-2"), digest);
    assert_eq!(due(&mut stepper, LATER, &config, &here), []);
    // Its age counts from its beat, not from the digest.
    assert_eq!(here.live(LATER + LIVE_MS - 200).count(), 0);
    assert_eq!(here.live(LATER + LIVE_MS - 201).count(), 1);
    there.beat(900, &name("entry-1"), beat(config.index, None));
    here.absorb(LATER, &name("control-2"), there.digest(900, 700));
    assert_eq!(due(&mut stepper, LATER, &config, &here), [activate(1)]);
}

#[test]
fn an_old_process_of_an_entry_vm_says_nothing_about_the_new_one() {
    let config = prepared();
    let mut old = Table::default();
    old.hello(500, &hello("entry-1", 1));
    old.beat(600, &name("entry-1"), beat(config.index, None));
    let mut vms = Table::default();
    vms.hello(LATER, &hello("entry-1", 2));
    vms.absorb(LATER, &name("control-2"), old.digest(600, 0));
    assert_eq!(vms.missing(LATER, config.index), [name("entry-1")]);
    vms.forget(LATER + FORGET_MS);
    assert_eq!(vms.all(LATER).count(), 0);
}

#[test]
fn old_generations_are_retired_only_when_no_live_entry_vm_needs_them() {
    let mut config = prepared();
    apply(&mut config, activate(1));
    admit(&mut config, "booking-2");
    apply(&mut config, activate(2));
    let (mut vms, mut stepper) = (Table::default(), Stepper::default());
    for (vm, needed) in [("entry-1", None), ("entry-2", Some(1))] {
        vms.hello(LATER, &hello(vm, 1));
        vms.beat(LATER, &name(vm), beat(config.index, needed));
    }
    assert_eq!(due(&mut stepper, LATER, &config, &vms), []);
    vms.beat(LATER, &name("entry-2"), beat(config.index, Some(2)));
    let retire = Command::Retire {
        service: name("booking"),
        keep: 2,
    };
    assert_eq!(due(&mut stepper, LATER, &config, &vms), [retire]);
    // What an entry VM needs counts only once it has applied the newest generation.
    vms.beat(LATER, &name("entry-2"), beat(config.index - 1, None));
    assert_eq!(due(&mut stepper, LATER, &config, &vms), []);
}

#[test]
fn a_service_that_is_put_again_gets_steps_of_its_own() {
    let mut config = prepared();
    let (vms, mut stepper) = (Table::default(), Stepper::default());
    let first = stepper.commands(LATER, &config, &vms);
    config.index += 1;
    let again = stepper.commands(LATER, &config, &vms);
    assert_eq!(first[0].command, again[0].command);
    assert_ne!(first[0].request, again[0].request);
}

#[test]
fn announcements_expire_and_a_leaving_upstream_is_not_admissible() {
    let mut table = announced::Table::default();
    let (service, upstream) = (name("booking"), name("booking-1"));
    table.put(0, announcement("booking-1"));
    assert!(table.admissible(&service, &upstream).is_ok());
    let mut leaving = announcement("booking-1");
    leaving.leaving = true;
    table.put(10, leaving);
    let reason = table
        .admissible(&service, &upstream)
        .expect_err("it leaves");
    assert!(reason.contains("about to stop"));
    table.expire(10 + announced::EXPIRY_MS);
    let reason = table
        .admissible(&service, &upstream)
        .expect_err("it is gone");
    assert!(reason.contains("has not announced itself"));
    assert_eq!(table.all().count(), 0);
}
