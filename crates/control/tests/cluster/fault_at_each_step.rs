//! Each fault at each step of a change: what was answered stays, and the cluster goes on.

use control::replica::{Error, state_machine::Answer};
use model::{
    command::{Command, Entry},
    name::Name,
};

use crate::{fake, network::Network};

/// Ticks after the request at which the fault comes; a change takes fewer without faults.
const STEPS: u64 = 10;

/// Ticks within which a cluster without faults must get somewhere.
const PATIENCE: u64 = 3_000;

/// Operations of a disk within a change.
const OPERATIONS: u64 = 6;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    PowerCut,
    Freeze,
    CutOff,
    CutOutgoing,
    CutIncoming,
    FullDisk,
    KilledWrite(u64),
}

fn faults() -> Vec<Fault> {
    let plain = [
        Fault::Kill,
        Fault::PowerCut,
        Fault::Freeze,
        Fault::CutOff,
        Fault::CutOutgoing,
        Fault::CutIncoming,
        Fault::FullDisk,
    ];
    let writes = (0..OPERATIONS).map(Fault::KilledWrite);
    plain.into_iter().chain(writes).collect()
}

fn inject(net: &mut Network, node: usize, fault: Fault) {
    let others = 0..net.nodes.len();
    match fault {
        Fault::Kill => net.kill(node, false),
        Fault::PowerCut => net.kill(node, true),
        Fault::Freeze => net.nodes[node].is_frozen = true,
        Fault::CutOff => net.cuts.extend(others.flat_map(|i| [(i, node), (node, i)])),
        Fault::CutOutgoing => net.cuts.extend(others.map(|i| (node, i))),
        Fault::CutIncoming => net.cuts.extend(others.map(|i| (i, node))),
        Fault::FullDisk => net.nodes[node].disk.plan(0, fake::Fault::Full),
        Fault::KilledWrite(n) => net.nodes[node].disk.plan(n, fake::Fault::Kill),
    }
}

fn put(id: &str) -> Entry {
    let name = Name::new(id).unwrap();
    Entry::new("op", id, None, Command::PutDomain { name })
}

fn propose(net: &mut Network, node: usize, token: u64, id: &str) {
    let entry = put(id);
    net.with(node, |m| {
        m.propose(token, entry);
        Ok(())
    });
}

fn holds(net: &Network, node: usize, id: &str) -> bool {
    let machine = net.nodes[node].machine.as_ref();
    machine.is_some_and(|m| m.config().domains.contains_key(&Name::new(id).unwrap()))
}

/// The answer to the command under `token`, if it came.
fn answer(net: &Network, token: u64) -> Option<Result<(), Error>> {
    net.answers.iter().find_map(|(_, a)| match a {
        Answer::Proposed(t, outcome) if *t == token => Some(outcome.clone().map(|_| ())),
        _ => None,
    })
}

/// Asks `asked` for a change, lets `fault` strike `struck` after `step` ticks, and sees what
/// comes of it.
fn check(seed: u64, asked: usize, struck: usize, fault: Fault, step: u64) {
    let what = format!("{fault:?} at node {struck} in step {step}, node {asked} asked");
    let mut net = Network::new(seed, 3);
    net.found_cluster();
    assert!(net.step_until(PATIENCE, |net| net.leader().is_some()));
    propose(&mut net, asked, 1, "first");
    for _ in 0..step {
        net.step();
    }
    inject(&mut net, struck, fault);
    // The other two go on without it.
    let other = (0..3).find(|i| *i != struck).unwrap();
    for token in 2.. {
        propose(&mut net, other, token, "second");
        assert!(
            net.step_until(PATIENCE, |net| answer(net, token).is_some()),
            "{what}"
        );
        if answer(&net, token) == Some(Ok(())) {
            break;
        }
        assert!(token < 10, "{what}: no quorum");
    }
    // Its answer is true, whenever it came.
    let told = answer(&net, 1);
    net.heal();
    let is_same = |net: &mut Network| {
        let applied = |i: usize| net.nodes[i].machine.as_ref().map(|m| m.status().committed);
        net.leader().is_some() && applied(0) == applied(1) && applied(1) == applied(2)
    };
    for _ in 0..50 {
        net.step();
    }
    assert!(net.step_until(PATIENCE, is_same), "{what}: {net}");
    for node in 0..3 {
        assert!(holds(&net, node, "second"), "{what}");
        match told {
            Some(Ok(())) => assert!(holds(&net, node, "first"), "{what}: lost"),
            Some(Err(Error::NoLeader)) => assert!(!holds(&net, node, "first"), "{what}: untrue"),
            _ => {}
        }
    }
    // A resend gets it done exactly once.
    propose(&mut net, asked, 100, "first");
    let is_done = |net: &mut Network| answer(net, 100).is_some();
    assert!(net.step_until(PATIENCE, is_done), "{what}");
    assert_eq!(answer(&net, 100), Some(Ok(())), "{what}");
    assert!(holds(&net, asked, "first"), "{what}");
    assert_eq!(net.violations, Vec::<String>::new(), "{what}");
}

#[test]
fn each_fault_at_each_step_of_a_change_leaves_true_answers_and_a_working_cluster() {
    let mut seed = 0;
    for fault in faults() {
        for step in 0..STEPS {
            for (asked, struck) in [(0, 0), (0, 1), (1, 0), (1, 2), (2, 2)] {
                seed += 1;
                check(seed, asked, struck, fault, step);
            }
        }
    }
}
