//! Replacement of lost replicas. Guards against data loss when a second disk is lost right after a
//! replacement, and against a second cluster, a vote or a new term caused by a replica that returns
//! with an empty disk or after a partition.

use control::replica::{Error, state_machine::Answer};
use model::{
    command::{Command, Entry},
    name::Name,
};
use rand::Rng;

use crate::{network::Network, random_faults::inject, seeds};

/// Ticks within which a cluster without faults must make progress.
const RECOVERY_TICKS: u64 = 3_000;

/// Number of attempts of an operator within [`RECOVERY_TICKS`].
const TRIES: u64 = 10;

fn propose(net: &mut Network, node: usize, token: u64) {
    let name = Name::new(format!("domain-{token}")).unwrap();
    let command = Command::PutDomain { name };
    let entry = Entry::new("op", token.to_string(), None, command);
    net.with_machine(node, |m| {
        m.propose(token, entry);
        Ok(())
    });
}

fn has_answer(net: &Network, test: impl Fn(&Answer) -> bool) -> bool {
    net.answers.iter().any(|(_, a)| test(a))
}

/// Commits a command through `node`, and repeats it while there is no leader, as operators do.
fn commit(net: &mut Network, node: usize, token: u64) {
    let is_done = |net: &mut Network| {
        has_answer(
            net,
            |a| matches!(a, Answer::Proposed(t, Ok(_)) if *t == token),
        )
    };
    for _ in 0..TRIES {
        propose(net, node, token);
        if net.step_until(RECOVERY_TICKS / TRIES, is_done) {
            return;
        }
    }
    panic!("command {token} is not committed:\n{net}");
}

/// Replaces a replica, and repeats the request until the replacement is complete, as operators do.
fn replace(net: &mut Network, node: usize, old: &str, new: &str) {
    for token in 10_000.. {
        net.with_machine(node, |m| {
            m.replace(token, old, new);
            Ok(())
        });
        let answer = |a: &Answer| match a {
            Answer::Replaced(t, outcome) if *t == token => Some(outcome.clone()),
            _ => None,
        };
        let is_done = |net: &mut Network| has_answer(net, |a| answer(a).is_some());
        assert!(net.step_until(RECOVERY_TICKS, is_done), "no answer");
        let outcome = net.answers.drain(..).find_map(|(_, a)| answer(&a));
        match outcome.unwrap() {
            Ok(()) => return,
            Err(Error::NoLeader | Error::Refused(_)) if token < 10_010 => {}
            Err(error) => panic!("{error}"),
        }
    }
}

fn assert_holds(net: &mut Network, node: usize, count: u64) {
    net.answers.clear();
    let is_done = |net: &mut Network| has_answer(net, |a| matches!(a, Answer::Read(_, Ok(_))));
    // An election may take longer than the timeout of a read.
    let is_read = (0..TRIES).any(|number| {
        net.with_machine(node, |m| {
            m.request_read(20_000 + number);
            Ok(())
        });
        net.step_until(RECOVERY_TICKS / TRIES, is_done)
    });
    assert!(is_read, "no read succeeded:\n{net}");
    let found = net.answers.iter().find_map(|(_, a)| match a {
        Answer::Read(_, Ok(config)) => Some(config.domains.len()),
        _ => None,
    });
    assert_eq!(found, Some(count as usize));
}

#[test]
fn a_second_loss_right_after_a_repair_loses_no_data() {
    for seed in seeds(40) {
        let mut net = Network::new(seed, 3);
        net.found_cluster();
        for token in 0..50 {
            commit(&mut net, token as usize % 3, token);
        }
        let (first, second) = match seed % 3 {
            0 => (0, 1),
            1 => (1, 2),
            _ => (2, 0),
        };
        let third = 3 - first - second;
        net.empty_disk(first);
        net.start(first);
        let name = format!("c{first}");
        replace(&mut net, third, &name, &name);
        // The second replica is lost in the same tick in which the replacement is reported
        // complete.
        net.empty_disk(second);
        assert_holds(&mut net, third, 50);
        commit(&mut net, first, 50);
        assert_holds(&mut net, first, 51);
        assert_eq!(net.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_lost_replica_is_replaced_by_one_of_another_name_under_faults() {
    for seed in seeds(20) {
        let mut net = Network::new(seed, 3);
        net.found_cluster();
        for token in 0..30 {
            commit(&mut net, 0, token);
        }
        let peers = net.nodes[0].settings.peers.clone();
        net.empty_disk(2);
        let new = net.add_node("c3".to_owned(), peers);
        net.start(new);
        // Random faults during the replacement; the lost replica stays lost.
        net.with_machine(1, |m| {
            m.replace(9_999, "c2", "c3");
            Ok(())
        });
        for _ in 0..400 {
            inject(&mut net);
            net.step();
            net.empty_disk(2);
        }
        net.heal();
        net.empty_disk(2);
        replace(&mut net, 1, "c2", "c3");
        net.empty_disk(0);
        assert_holds(&mut net, 1, 30);
        commit(&mut net, new, 30);
        assert_eq!(net.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_replica_with_an_emptied_disk_neither_founds_a_second_cluster_nor_votes() {
    for seed in seeds(20) {
        let mut net = Network::new(seed, 3);
        net.found_cluster();
        commit(&mut net, 1, 0);
        let cluster = net.nodes[1].machine.as_ref().unwrap().config().cluster;
        // The lost node is the one that founded the cluster; with node 1 down, there is no quorum.
        net.empty_disk(0);
        net.kill(1, false);
        net.start(0);
        for _ in 0..500 {
            net.step();
        }
        assert_eq!(net.leader(), None, "an emptied disk counted for a quorum");
        net.start(1);
        assert!(net.step_until(RECOVERY_TICKS, |net| net.leader().is_some()));
        let found = net.nodes[1].machine.as_ref().unwrap().config().cluster;
        assert_eq!(found, cluster);
        assert_eq!(net.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_voter_can_not_replace_another_voter() {
    let mut net = Network::new(1, 3);
    net.found_cluster();
    net.with_machine(0, |m| {
        m.replace(1, "c0", "c1");
        Ok(())
    });
    let refused = |a: &Answer| matches!(a, Answer::Replaced(1, Err(Error::Refused(r))) if r.contains("already"));
    assert!(net.step_until(RECOVERY_TICKS, |net| has_answer(net, refused)));
    assert_eq!(
        net.nodes[0].machine.as_ref().unwrap().status().voters.len(),
        3
    );
}

#[test]
fn a_partitioned_replica_returns_without_ending_the_leaders_term() {
    for seed in seeds(20) {
        let mut net = Network::new(seed, 3);
        net.found_cluster();
        commit(&mut net, 0, 0);
        assert!(net.step_until(RECOVERY_TICKS, |net| net.leader().is_some()));
        let leader = net.leader().unwrap();
        let term = |net: &Network| net.nodes[leader].machine.as_ref().unwrap().replica().term();
        let before = term(&net);
        let away = (leader + 1) % 3;
        // Depending on `kept`, only messages from the node pass, only messages to it, or none.
        let pairs = (0..3).flat_map(|i| [(away, i), (i, away)]);
        let kept = net.rng.random_range(0..3);
        net.cuts = pairs
            .enumerate()
            .filter(|(n, _)| n % 2 != kept)
            .map(|(_, p)| p)
            .collect();
        for _ in 0..300 {
            net.step();
        }
        net.cuts.clear();
        for _ in 0..100 {
            net.step();
        }
        assert_eq!(
            (net.leader(), term(&net)),
            (Some(leader), before),
            "seed {seed}"
        );
    }
}

#[test]
fn a_planned_stop_transfers_leadership_without_an_election_timeout() {
    let mut net = Network::new(3, 3);
    net.found_cluster();
    let leader = net.leader().unwrap();
    net.with_machine(leader, |m| {
        assert!(m.transfer_leadership());
        Ok(())
    });
    // 9 ticks are less than the shortest election timeout.
    let moved = net.step_until(9, |net| net.leader().is_some_and(|l| l != leader));
    assert!(moved);
}
