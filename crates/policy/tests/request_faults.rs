//! Requests while VMs die, freeze, restart and are cut off: each POST runs at most once, and each
//! answer and refusal is true by the upstreams' own log.

mod support;

use model::name::Name;
use policy::view::Vm;
use rand::Rng;
use support::{Faults, Net, Shape, booking, domain, name};
use wire::coap::{self, Method};

/// Time after which every VM vouches for the past, in milliseconds.
const SETTLED_MS: u64 = 5_000;

/// Seeds of the runs with faults at random.
const SEEDS: u64 = 24;

/// Seeds that have found a fault.
const FOUND: [u64; 2] = [118, 449];

/// Who is hit while a request is under way.
#[derive(Debug, Clone, Copy)]
enum Target {
    Primary,
    Backup,
    HomeAndBackup,
    Stewards,
    HomeAndStewards,
}

const TARGETS: [Target; 5] = [
    Target::Primary,
    Target::Backup,
    Target::HomeAndBackup,
    Target::Stewards,
    Target::HomeAndStewards,
];

/// The VMs that play these parts for a request.
fn targets(net: &Net, id: u64, target: Target) -> Vec<Name> {
    let view = &net.vms[&name("vm-0")].view;
    let place = net.callers.key(id).fingerprint();
    let part = |vm: Option<&Vm>| vm.map(|vm| vm.name.clone());
    let home = part(view.home(place));
    let backup = part(view.backup(place));
    let stewards = (0..4).filter_map(|n| part(view.steward(&booking(), &domain(n))));
    match target {
        Target::Primary => home.into_iter().collect(),
        Target::Backup => backup.into_iter().collect(),
        Target::HomeAndBackup => home.into_iter().chain(backup).collect(),
        Target::Stewards => stewards.collect(),
        Target::HomeAndStewards => stewards.chain(home).collect(),
    }
}

/// What happens to a target.
#[derive(Debug, Clone, Copy)]
enum Blow {
    /// It dies and stays away.
    Kill,
    /// It starts again at once, with nothing in memory; nobody notices.
    Restart,
    /// It stands still for three seconds, is counted as gone, and goes on.
    Freeze,
}

fn strike(net: &mut Net, vms: &[Name], blow: Blow) {
    for vm in vms {
        match blow {
            Blow::Kill => net.kill(vm),
            Blow::Restart => net.restart(vm),
            Blow::Freeze => net.freeze(vm),
        }
    }
    if matches!(blow, Blow::Restart) {
        net.agree();
        net.run_ms(2_000);
        return;
    }
    net.run_ms(1_500);
    net.agree_after(0, 400);
    net.run_ms(1_500);
    if matches!(blow, Blow::Freeze) {
        vms.iter().for_each(|vm| net.thaw(vm));
        net.run_ms(200);
        net.agree_after(0, 400);
    }
}

#[test]
fn a_post_runs_at_most_once_whichever_part_is_hit_at_whichever_step() {
    for blow in [Blow::Kill, Blow::Restart, Blow::Freeze] {
        for target in TARGETS {
            for step_us in (0..30_000).step_by(1_500) {
                let mut net = Net::new(Shape::LYSGARD, step_us);
                net.run_ms(SETTLED_MS);
                let id = net.request(Method::Post, 4_000);
                net.run_us(step_us);
                let vms = targets(&net, id, target);
                strike(&mut net, &vms, blow);
                net.run_ms(4_000);
                let what = format!("{blow:?} {target:?} after {step_us} us");
                net.check(&what);
                assert_eq!(net.callers.unanswered(), 0, "{what}");
            }
        }
    }
}

#[test]
fn a_post_whose_home_and_backup_are_lost_is_never_called_not_run() {
    let mut net = Net::new(Shape::LYSGARD, 11);
    net.run_ms(SETTLED_MS);
    let id = net.request(Method::Post, 4_000);
    net.run_us(8_000);
    let vms = targets(&net, id, Target::HomeAndBackup);
    strike(&mut net, &vms, Blow::Kill);
    net.run_ms(4_000);
    net.check("home and backup lost");
    let codes: Vec<u8> = net.callers.requests[&id]
        .answers
        .iter()
        .map(|r| r.code)
        .collect();
    assert!(codes.contains(&coap::TIMEOUT), "{codes:?}");
}

#[test]
fn a_cut_off_domain_and_the_rest_never_both_run_a_post() {
    for seed in 0..8 {
        let mut net = Net::new(Shape::LYSGARD, seed);
        net.run_ms(SETTLED_MS);
        net.callers.deadline_ms = 4_000;
        net.arrivals(200.0, 1.0, 8_000);
        net.run_ms(1_000);
        net.cut_domain(&domain(1));
        net.run_ms(1_500);
        net.agree_after(0, 2_000);
        net.run_ms(4_000);
        net.cut.clear();
        net.agree_after(0, 500);
        net.run_ms(8_000);
        net.check(&format!("cut, seed {seed}"));
    }
}

#[test]
fn all_callers_repeating_through_every_vm_at_once_do_not_multiply_runs() {
    let mut net = Net::new(Shape::LYSGARD, 5);
    net.run_ms(SETTLED_MS);
    let ids: Vec<u64> = (0..300).map(|_| net.request(Method::Post, 3_000)).collect();
    for _ in 0..9 {
        for id in &ids {
            let (caller, request) = net.callers.copy(*id);
            net.submit(caller, request);
        }
    }
    net.run_ms(5_000);
    net.check("repeats at once");
    assert_eq!(net.callers.unanswered(), 0);
    assert!(net.callers.first(coap::CHANGED) > 0);
}

#[test]
fn seeded_faults_leave_a_true_history() {
    for seed in (0..SEEDS).chain(FOUND) {
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
        net.run_ms(SETTLED_MS);
        net.callers.deadline_ms = 2_000;
        net.arrivals(300.0, 0.7, 12_000);
        for _ in 0..6 {
            random_fault(&mut net);
        }
        net.run_ms(12_000);
        net.check(&format!("seed {seed}"));
    }
}

/// Does one thing at random to up to two VMs or an upstream, and lets two seconds pass.
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
        5 => net.upstreams[upstream].chill(),
        6 => {
            net.upstreams[upstream].incarnation += 1;
            net.upstreams[upstream].chill();
        }
        _ => {
            let domain = net.vms[&one].vm.domain.clone();
            net.cut_domain(&domain);
        }
    }
    let pause = net.rng.random_range(0..1_500);
    net.run_ms(pause);
    net.agree_after(0, 500);
    net.run_ms(2_000 - pause);
    let frozen = net.vms.values().filter(|e| e.frozen);
    let frozen: Vec<Name> = frozen.map(|e| e.vm.name.clone()).collect();
    if net.rng.random_bool(0.7) {
        frozen.iter().for_each(|vm| net.thaw(vm));
        net.cut.clear();
        let dead = net.vms.values().filter(|e| !e.alive);
        let dead: Vec<Name> = dead.map(|e| e.vm.name.clone()).collect();
        dead.iter().for_each(|vm| net.restart(vm));
        net.agree_after(0, 300);
    }
}

#[test]
fn a_rolling_restart_that_waits_until_each_vm_is_informed_cuts_no_request() {
    let mut net = Net::new(Shape::LYSGARD, 31);
    net.run_ms(SETTLED_MS);
    net.arrivals(150.0, 0.7, 52_000);
    net.run_ms(1_000);
    net.callers.mark();
    let names: Vec<Name> = net.vms.keys().cloned().collect();
    for vm in names {
        net.leave(&vm);
        net.run_ms(400);
        let entry = &net.vms[&vm];
        assert!(entry.load.is_idle() && entry.requests.is_idle(), "{vm}");
        net.kill(&vm);
        net.agree_after(0, 100);
        net.run_ms(600);
        net.restart(&vm);
        net.agree_after(0, 100);
        net.run_ms(4_500);
        let entry = &net.vms[&vm];
        assert!(entry.requests.is_informed(net.now, &entry.config), "{vm}");
    }
    net.run_ms(3_000);
    net.check("rolling restart");
    let asked = net.callers.asked();
    let codes = |code| net.callers.first(code);
    assert_eq!(
        codes(coap::CHANGED),
        asked,
        "refused {}, unknown {}",
        codes(coap::UNAVAILABLE),
        codes(coap::TIMEOUT)
    );
}

#[test]
fn the_first_posts_to_a_steward_that_was_restarted_on_purpose_are_answered() {
    let mut net = Net::new(Shape::LYSGARD, 33);
    net.run_ms(SETTLED_MS);
    // Every home learns of every steward's start.
    net.arrivals(600.0, 1.0, 2_000);
    net.run_ms(3_000);
    net.callers.mark();
    let names: Vec<Name> = net.vms.keys().cloned().collect();
    for vm in names {
        // Nobody asks anything while the VM is away, so that nobody learns of another steward.
        net.leave(&vm);
        net.run_ms(400);
        net.kill(&vm);
        net.agree_after(0, 100);
        net.run_ms(600);
        net.restart(&vm);
        net.agree_after(0, 100);
        net.run_ms(6_000);
        net.arrivals(600.0, 1.0, 1_000);
        net.run_ms(2_000);
    }
    net.check("restarted stewards");
    assert_eq!(net.callers.first(coap::TIMEOUT), 0, "outcome unknown");
    assert_eq!(net.callers.first(coap::CHANGED), net.callers.asked());
}
