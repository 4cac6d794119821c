//! Injects each fault at each step of a change. Guards against a wrong answer (acknowledged but
//! lost, or refused but applied) and against a cluster that stops working.

use control::replica::{Error, state_machine::Answer};
use model::{
    command::{Command, Entry},
    name::Name,
};

use crate::{fake, network::Network};

/// Number of ticks after the request at which a fault is injected. A change without faults takes
/// fewer ticks.
const STEPS: u64 = 10;

/// Ticks within which a cluster without faults must make progress.
const RECOVERY_TICKS: u64 = 3_000;

/// Number of disk operations within a change.
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
    net.with_machine(node, |m| {
        m.propose(token, entry);
        Ok(())
    });
}

fn holds(net: &Network, node: usize, id: &str) -> bool {
    let machine = net.nodes[node].machine.as_ref();
    machine.is_some_and(|m| m.config().domains.contains_key(&Name::new(id).unwrap()))
}

/// Returns the answer to the command with `token`, if it has arrived.
fn answer(net: &Network, token: u64) -> Option<Result<(), Error>> {
    net.answers.iter().find_map(|(_, a)| match a {
        Answer::Proposed(t, outcome) if *t == token => Some(outcome.clone().map(|_| ())),
        _ => None,
    })
}

/// Requests a change at node `asked`, injects `fault` at node `target` after `step` ticks, and
/// checks answers and configurations.
fn check(seed: u64, asked: usize, target: usize, fault: Fault, step: u64) {
    let context = format!("{fault:?} at node {target} in step {step}, node {asked} asked");
    let mut net = Network::new(seed, 3);
    net.found_cluster();
    assert!(net.step_until(RECOVERY_TICKS, |net| net.leader().is_some()));
    propose(&mut net, asked, 1, "first");
    for _ in 0..step {
        net.step();
    }
    inject(&mut net, target, fault);
    // The other two nodes keep working without the faulty one.
    let other = (0..3).find(|i| *i != target).unwrap();
    for token in 2.. {
        propose(&mut net, other, token, "second");
        assert!(
            net.step_until(RECOVERY_TICKS, |net| answer(net, token).is_some()),
            "{context}"
        );
        if answer(&net, token) == Some(Ok(())) {
            break;
        }
        assert!(token < 10, "{context}: no quorum");
    }
    // The answer must be correct whenever it arrived.
    let first_answer = answer(&net, 1);
    net.heal();
    let is_same = |net: &mut Network| {
        let applied = |i: usize| net.nodes[i].machine.as_ref().map(|m| m.status().committed);
        net.leader().is_some() && applied(0) == applied(1) && applied(1) == applied(2)
    };
    for _ in 0..50 {
        net.step();
    }
    assert!(net.step_until(RECOVERY_TICKS, is_same), "{context}: {net}");
    for node in 0..3 {
        assert!(holds(&net, node, "second"), "{context}");
        match first_answer {
            Some(Ok(())) => assert!(holds(&net, node, "first"), "{context}: lost"),
            Some(Err(Error::NoLeader)) => assert!(
                !holds(&net, node, "first"),
                "{context}: refused, but applied"
            ),
            _ => {}
        }
    }
    // Sending the command again applies it exactly once.
    propose(&mut net, asked, 100, "first");
    let is_done = |net: &mut Network| answer(net, 100).is_some();
    assert!(net.step_until(RECOVERY_TICKS, is_done), "{context}");
    assert_eq!(answer(&net, 100), Some(Ok(())), "{context}");
    assert!(holds(&net, asked, "first"), "{context}");
    assert_eq!(net.violations, Vec::<String>::new(), "{context}");
}

#[test]
fn each_fault_at_each_step_of_a_change_leaves_correct_answers_and_a_working_cluster() {
    let mut seed = 0;
    for fault in faults() {
        for step in 0..STEPS {
            for (asked, target) in [(0, 0), (0, 1), (1, 0), (1, 2), (2, 2)] {
                seed += 1;
                check(seed, asked, target, fault, step);
            }
        }
    }
}
