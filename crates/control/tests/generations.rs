//! Commands of the generation planner, with simulated times and heartbeats. Guards against
//! activating or retiring a generation before every live entry VM is ready for the change.

#[path = "common/upstream.rs"]
mod upstream;

use control::{
    candidates,
    generations::GenerationPlanner,
    lease::{LIVENESS_MS, LeaseTable, RETENTION_MS},
};
use model::{
    command::{Command, Entry},
    config::{Config, Service},
    delivery::{Heartbeat, Hello},
};
use upstream::{announcement, name};

/// A time at which a process has run long enough to know all live entry VMs.
const LATER_MS: u64 = 100_000;

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

fn heartbeat(index: u64, needed: Option<u64>) -> Heartbeat {
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

/// Returns a configuration whose only service has one upstream, in a prepared generation.
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

/// Returns the commands that are due, without their request ids.
fn due_commands(
    planner: &mut GenerationPlanner,
    now_ms: u64,
    config: &Config,
    vms: &LeaseTable,
) -> Vec<Command> {
    let entries = planner.due_commands(now_ms, config, vms);
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
    let (mut vms, mut planner) = (LeaseTable::default(), GenerationPlanner::default());
    for vm in ["entry-1", "entry-2"] {
        vms.record_hello(LATER_MS, &hello(vm, 1));
    }
    vms.record_heartbeat(LATER_MS, &name("entry-1"), heartbeat(config.index, None));
    assert_eq!(due_commands(&mut planner, LATER_MS, &config, &vms), []);
    vms.record_heartbeat(LATER_MS, &name("entry-2"), heartbeat(config.index, None));
    assert_eq!(
        due_commands(&mut planner, LATER_MS, &config, &vms),
        [activate(1)]
    );
}

#[test]
fn an_entry_vm_is_waited_for_until_its_lease_ends_or_it_leaves() {
    let config = prepared();
    let mut planner = GenerationPlanner::default();
    let mut vms = LeaseTable::default();
    vms.record_hello(LATER_MS, &hello("entry-1", 1));
    let end = LATER_MS + LIVENESS_MS;
    assert_eq!(due_commands(&mut planner, end - 1, &config, &vms), []);
    assert_eq!(
        due_commands(&mut planner, end, &config, &vms),
        [activate(1)]
    );

    let mut vms = LeaseTable::default();
    vms.record_hello(LATER_MS, &hello("entry-1", 1));
    vms.record_leave(LATER_MS, &name("entry-1"));
    assert_eq!(
        due_commands(&mut planner, LATER_MS, &config, &vms),
        [activate(1)]
    );
}

#[test]
fn a_control_vm_that_may_not_know_all_entry_vms_proposes_nothing() {
    let config = prepared();
    let mut planner = GenerationPlanner::default();
    let mut vms = LeaseTable::default();
    // The process has just started.
    assert_eq!(
        due_commands(&mut planner, LIVENESS_MS - 1, &config, &vms),
        []
    );
    // Another control VM has fallen silent, so the entry VMs that connected to it are unknown for
    // the length of a lease.
    vms.merge_digest(LATER_MS, &name("control-2"), Vec::new());
    assert_eq!(
        due_commands(&mut planner, LATER_MS + 1_500, &config, &vms),
        []
    );
    assert_eq!(
        due_commands(&mut planner, LATER_MS + LIVENESS_MS, &config, &vms),
        [activate(1)]
    );
}

#[test]
fn entry_vms_of_other_control_vms_are_waited_for() {
    let config = prepared();
    let mut planner = GenerationPlanner::default();
    let (mut here, mut there) = (LeaseTable::default(), LeaseTable::default());
    there.record_hello(500, &hello("entry-1", 1));
    let digest = there.digest(700, 0);
    here.merge_digest(LATER_MS, &name("control-2"), digest);
    assert_eq!(due_commands(&mut planner, LATER_MS, &config, &here), []);
    // The age counts from the heartbeat, not from the digest.
    assert_eq!(here.live(LATER_MS + LIVENESS_MS - 200).count(), 0);
    assert_eq!(here.live(LATER_MS + LIVENESS_MS - 201).count(), 1);
    there.record_heartbeat(900, &name("entry-1"), heartbeat(config.index, None));
    here.merge_digest(LATER_MS, &name("control-2"), there.digest(900, 700));
    assert_eq!(
        due_commands(&mut planner, LATER_MS, &config, &here),
        [activate(1)]
    );
}

#[test]
fn records_of_an_old_process_do_not_count_for_its_successor() {
    let config = prepared();
    let mut old = LeaseTable::default();
    old.record_hello(500, &hello("entry-1", 1));
    old.record_heartbeat(600, &name("entry-1"), heartbeat(config.index, None));
    let mut vms = LeaseTable::default();
    vms.record_hello(LATER_MS, &hello("entry-1", 2));
    vms.merge_digest(LATER_MS, &name("control-2"), old.digest(600, 0));
    assert_eq!(
        vms.live_vms_behind(LATER_MS, config.index),
        [name("entry-1")]
    );
    vms.remove_expired(LATER_MS + RETENTION_MS);
    assert_eq!(vms.all(LATER_MS).count(), 0);
}

#[test]
fn old_generations_are_retired_only_when_no_live_entry_vm_needs_them() {
    let mut config = prepared();
    apply(&mut config, activate(1));
    admit(&mut config, "booking-2");
    apply(&mut config, activate(2));
    let (mut vms, mut planner) = (LeaseTable::default(), GenerationPlanner::default());
    for (vm, needed) in [("entry-1", None), ("entry-2", Some(1))] {
        vms.record_hello(LATER_MS, &hello(vm, 1));
        vms.record_heartbeat(LATER_MS, &name(vm), heartbeat(config.index, needed));
    }
    assert_eq!(due_commands(&mut planner, LATER_MS, &config, &vms), []);
    vms.record_heartbeat(LATER_MS, &name("entry-2"), heartbeat(config.index, Some(2)));
    let retire = Command::Retire {
        service: name("booking"),
        keep: 2,
    };
    assert_eq!(
        due_commands(&mut planner, LATER_MS, &config, &vms),
        [retire]
    );
    // Generations that an entry VM needs count only after it has applied the newest generation.
    vms.record_heartbeat(
        LATER_MS,
        &name("entry-2"),
        heartbeat(config.index - 1, None),
    );
    assert_eq!(due_commands(&mut planner, LATER_MS, &config, &vms), []);
}

#[test]
fn the_same_command_at_a_later_index_gets_another_request_id() {
    let mut config = prepared();
    let (vms, mut planner) = (LeaseTable::default(), GenerationPlanner::default());
    let first = planner.due_commands(LATER_MS, &config, &vms);
    config.index += 1;
    let again = planner.due_commands(LATER_MS, &config, &vms);
    assert_eq!(first[0].command, again[0].command);
    assert_ne!(first[0].request, again[0].request);
}

#[test]
fn announcements_expire_and_a_leaving_upstream_is_not_admissible() {
    let mut table = candidates::CandidateTable::default();
    let (service, upstream) = (name("booking"), name("booking-1"));
    table.record(0, announcement("booking-1"));
    assert!(table.upstream_to_admit(&service, &upstream).is_ok());
    let mut leaving = announcement("booking-1");
    leaving.leaving = true;
    table.record(10, leaving);
    let reason = table
        .upstream_to_admit(&service, &upstream)
        .expect_err("a leaving upstream can't be admitted");
    assert!(reason.contains("about to stop"));
    table.remove_expired(10 + candidates::EXPIRY_MS);
    let reason = table
        .upstream_to_admit(&service, &upstream)
        .expect_err("an expired upstream can't be admitted");
    assert!(reason.contains("has not announced itself"));
    assert_eq!(table.all().count(), 0);
}
