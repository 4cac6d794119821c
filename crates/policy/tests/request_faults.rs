//! Requests while VMs are killed, frozen, restarted or cut off. A POST must run at most once, and
//! every answer and refusal must agree with the upstreams' record of what ran.

mod support;

use model::name::Name;
use policy::view::Vm;
use rand::Rng;
use support::{Faults, Net, Shape, booking, domain, name};
use wire::coap::{self, Method};

/// Time after which every VM has a complete history, in milliseconds.
const HISTORY_COMPLETE_MS: u64 = 5_000;

/// Number of seeds for the runs with random faults.
const RANDOM_SEEDS: u64 = 24;

/// Seeds that have found a fault before.
const REGRESSION_SEEDS: [u64; 2] = [118, 449];

/// VMs that fail while a request is in flight.
#[derive(Debug, Clone, Copy)]
enum Target {
    Primary,
    Backup,
    PrimaryAndBackup,
    Dispatchers,
    PrimaryAndDispatchers,
}

const TARGETS: [Target; 5] = [
    Target::Primary,
    Target::Backup,
    Target::PrimaryAndBackup,
    Target::Dispatchers,
    Target::PrimaryAndDispatchers,
];

/// Returns the VMs that have the target's roles for a request.
fn targets(net: &Net, id: u64, target: Target) -> Vec<Name> {
    let view = &net.vms[&name("vm-0")].view;
    let key_fingerprint = net.callers.key(id).fingerprint();
    let name_of = |vm: Option<&Vm>| vm.map(|vm| vm.name.clone());
    let primary = name_of(view.primary(key_fingerprint));
    let backup = name_of(view.backup(key_fingerprint));
    let dispatchers = (0..4).filter_map(|n| name_of(view.dispatcher(&booking(), &domain(n))));
    match target {
        Target::Primary => primary.into_iter().collect(),
        Target::Backup => backup.into_iter().collect(),
        Target::PrimaryAndBackup => primary.into_iter().chain(backup).collect(),
        Target::Dispatchers => dispatchers.collect(),
        Target::PrimaryAndDispatchers => dispatchers.chain(primary).collect(),
    }
}

/// What happens to the target VMs.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The VM is killed and stays away.
    Kill,
    /// The VM restarts at once with an empty memory, unnoticed by the other VMs.
    Restart,
    /// The VM is frozen for three seconds, leaves the views of the others, and resumes.
    Freeze,
}

fn inject_fault(net: &mut Net, vms: &[Name], fault: Fault) {
    for vm in vms {
        match fault {
            Fault::Kill => net.kill(vm),
            Fault::Restart => net.restart(vm),
            Fault::Freeze => net.freeze(vm),
        }
    }
    if matches!(fault, Fault::Restart) {
        net.deliver_views();
        net.run_ms(2_000);
        return;
    }
    net.run_ms(1_500);
    net.deliver_views_within(0, 400);
    net.run_ms(1_500);
    if matches!(fault, Fault::Freeze) {
        vms.iter().for_each(|vm| net.thaw(vm));
        net.run_ms(200);
        net.deliver_views_within(0, 400);
    }
}

#[test]
fn a_post_runs_at_most_once_whichever_vm_fails_at_whichever_step() {
    for fault in [Fault::Kill, Fault::Restart, Fault::Freeze] {
        for target in TARGETS {
            for step_us in (0..30_000).step_by(1_500) {
                let mut net = Net::new(Shape::LYSGARD, step_us);
                net.run_ms(HISTORY_COMPLETE_MS);
                let id = net.issue_request(Method::Post, 4_000);
                net.run_us(step_us);
                let vms = targets(&net, id, target);
                inject_fault(&mut net, &vms, fault);
                net.run_ms(4_000);
                let label = format!("{fault:?} {target:?} after {step_us} us");
                net.check_invariants(&label);
                assert_eq!(net.callers.count_unanswered(), 0, "{label}");
            }
        }
    }
}

#[test]
fn a_post_whose_primary_and_backup_are_lost_is_never_refused_as_not_run() {
    let mut net = Net::new(Shape::LYSGARD, 11);
    net.run_ms(HISTORY_COMPLETE_MS);
    let id = net.issue_request(Method::Post, 4_000);
    net.run_us(8_000);
    let vms = targets(&net, id, Target::PrimaryAndBackup);
    inject_fault(&mut net, &vms, Fault::Kill);
    net.run_ms(4_000);
    net.check_invariants("primary and backup lost");
    let codes: Vec<u8> = net.callers.requests[&id]
        .answers
        .iter()
        .map(|r| r.code)
        .collect();
    assert!(
        codes.contains(&coap::TIMEOUT),
        "no answer with unknown outcome, but codes {codes:?}"
    );
}

#[test]
fn the_two_sides_of_a_partition_never_both_run_a_post() {
    for seed in 0..8 {
        let mut net = Net::new(Shape::LYSGARD, seed);
        net.run_ms(HISTORY_COMPLETE_MS);
        net.callers.deadline_ms = 4_000;
        net.start_arrivals(200.0, 1.0, 8_000);
        net.run_ms(1_000);
        net.cut_domain(&domain(1));
        net.run_ms(1_500);
        net.deliver_views_within(0, 2_000);
        net.run_ms(4_000);
        net.cut_links.clear();
        net.deliver_views_within(0, 500);
        net.run_ms(8_000);
        net.check_invariants(&format!("partition, seed {seed}"));
    }
}

#[test]
fn repeats_through_every_vm_at_once_do_not_multiply_runs() {
    let mut net = Net::new(Shape::LYSGARD, 5);
    net.run_ms(HISTORY_COMPLETE_MS);
    let ids: Vec<u64> = (0..300)
        .map(|_| net.issue_request(Method::Post, 3_000))
        .collect();
    for _ in 0..9 {
        for id in &ids {
            let (caller, request) = net.callers.request_copy(*id);
            net.submit_request(caller, request);
        }
    }
    net.run_ms(5_000);
    net.check_invariants("simultaneous repeats");
    assert_eq!(net.callers.count_unanswered(), 0);
    assert!(net.callers.count_first_answers(coap::CHANGED) > 0);
}

#[test]
fn random_faults_cause_no_double_run_and_no_false_answer() {
    for seed in (0..RANDOM_SEEDS).chain(REGRESSION_SEEDS) {
        let shape = if seed % 2 == 0 {
            Shape::LYSGARD
        } else {
            Shape::BLUE_MAHOE
        };
        let mut net = Net::new(shape, seed);
        net.faults = Faults {
            loss: 0.02,
            duplicates: 0.05,
            min_delay_us: 200,
            max_delay_us: 20_000,
        };
        net.run_ms(HISTORY_COMPLETE_MS);
        net.callers.deadline_ms = 2_000;
        net.start_arrivals(300.0, 0.7, 12_000);
        for _ in 0..6 {
            random_fault(&mut net);
        }
        net.run_ms(12_000);
        net.check_invariants(&format!("seed {seed}"));
    }
}

/// Injects one random fault into up to two VMs or an upstream, and runs for two seconds.
fn random_fault(net: &mut Net) {
    let names: Vec<Name> = net.vms.keys().cloned().collect();
    let one = names[net.rng.random_range(0..names.len())].clone();
    let other = names[net.rng.random_range(0..names.len())].clone();
    let upstream = net.rng.random_range(0..net.upstreams.len());
    match net.rng.random_range(0..8) {
        0 => net.kill(&one),
        1 => {
            net.kill(&one);
            net.kill(&other);
        }
        2 => net.restart(&one),
        3 => {
            net.restart(&one);
            net.restart(&other);
        }
        4 => net.freeze(&one),
        5 => net.upstreams[upstream].turn_cold(),
        6 => {
            net.upstreams[upstream].incarnation += 1;
            net.upstreams[upstream].turn_cold();
        }
        _ => {
            let domain = net.vms[&one].vm.domain.clone();
            net.cut_domain(&domain);
        }
    }
    let pause = net.rng.random_range(0..1_500);
    net.run_ms(pause);
    net.deliver_views_within(0, 500);
    net.run_ms(2_000 - pause);
    let frozen = net.vms.values().filter(|e| e.frozen);
    let frozen: Vec<Name> = frozen.map(|e| e.vm.name.clone()).collect();
    if net.rng.random_bool(0.7) {
        frozen.iter().for_each(|vm| net.thaw(vm));
        net.cut_links.clear();
        let dead = net.vms.values().filter(|e| !e.alive);
        let dead: Vec<Name> = dead.map(|e| e.vm.name.clone()).collect();
        dead.iter().for_each(|vm| net.restart(vm));
        net.deliver_views_within(0, 300);
    }
}

#[test]
fn a_rolling_restart_that_waits_for_complete_history_fails_no_request() {
    let mut net = Net::new(Shape::LYSGARD, 31);
    net.run_ms(HISTORY_COMPLETE_MS);
    net.start_arrivals(150.0, 0.7, 52_000);
    net.run_ms(1_000);
    net.callers.start_measuring();
    let names: Vec<Name> = net.vms.keys().cloned().collect();
    for vm in names {
        net.leave(&vm);
        net.run_ms(400);
        let entry = &net.vms[&vm];
        assert!(entry.load.is_idle() && entry.requests.is_idle(), "{vm}");
        net.kill(&vm);
        net.deliver_views_within(0, 100);
        net.run_ms(600);
        net.restart(&vm);
        net.deliver_views_within(0, 100);
        net.run_ms(4_500);
        let entry = &net.vms[&vm];
        assert!(
            entry.requests.has_complete_history(net.now, &entry.config),
            "{vm}"
        );
    }
    net.run_ms(3_000);
    net.check_invariants("rolling restart");
    let request_count = net.callers.request_count();
    let codes = |code| net.callers.count_first_answers(code);
    assert_eq!(
        codes(coap::CHANGED),
        request_count,
        "{} refused, {} with unknown outcome",
        codes(coap::UNAVAILABLE),
        codes(coap::TIMEOUT)
    );
}

#[test]
fn the_first_posts_to_a_dispatcher_after_its_planned_restart_are_answered() {
    let mut net = Net::new(Shape::LYSGARD, 33);
    net.run_ms(HISTORY_COMPLETE_MS);
    // Every primary learns the epoch of every dispatcher.
    net.start_arrivals(600.0, 1.0, 2_000);
    net.run_ms(3_000);
    net.callers.start_measuring();
    let names: Vec<Name> = net.vms.keys().cloned().collect();
    for vm in names {
        // No request is sent while the VM is away, so that no primary learns of another dispatcher.
        net.leave(&vm);
        net.run_ms(400);
        net.kill(&vm);
        net.deliver_views_within(0, 100);
        net.run_ms(600);
        net.restart(&vm);
        net.deliver_views_within(0, 100);
        net.run_ms(6_000);
        net.start_arrivals(600.0, 1.0, 1_000);
        net.run_ms(2_000);
    }
    net.check_invariants("restarted dispatchers");
    assert_eq!(
        net.callers.count_first_answers(coap::TIMEOUT),
        0,
        "answers with unknown outcome"
    );
    assert_eq!(
        net.callers.count_first_answers(coap::CHANGED),
        net.callers.request_count()
    );
}
