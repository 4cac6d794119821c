//! Replicas that exchange messages by hand.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::collections::BTreeMap;

use consensus::{
    Body, Change, Entry, Error, HardState, Id, Member, Membership, Message, Payload,
    PersistentState, Refusal, Replica, Settings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn member(id: Id) -> Member {
    Member {
        name: format!("c{id}"),
        address: id.to_string(),
    }
}

fn membership(voters: &[Id]) -> Membership {
    Membership {
        voters: voters.iter().map(|id| (*id, member(*id))).collect(),
        ..Membership::default()
    }
}

/// Replicas and the messages between them.
struct Group {
    replicas: BTreeMap<Id, Replica>,
    queue: Vec<(Id, Id, Message)>,
}

impl Group {
    /// Replicas 1 to `count`, of which 1 leads.
    fn led(count: u64, settings: &Settings) -> Self {
        let ids: Vec<Id> = (1..=count).collect();
        let stored = PersistentState::for_new_cluster(membership(&ids));
        let replica = |id: Id| {
            let settings = Settings {
                id,
                ..settings.clone()
            };
            (id, Replica::new(settings, stored.clone()).unwrap())
        };
        let mut group = Self {
            replicas: ids.into_iter().map(replica).collect(),
            queue: Vec::new(),
        };
        while !group.leader().is_leader() {
            group.leader().tick();
            group.run(|_, _| true);
        }
        group
    }

    fn leader(&mut self) -> &mut Replica {
        self.replicas.get_mut(&1).unwrap()
    }

    fn collect(&mut self) {
        for (id, replica) in &mut self.replicas {
            let ready = replica.ready();
            replica.mark_persisted();
            let sent = ready.messages.into_iter().map(|(to, m)| (*id, to, m));
            self.queue.extend(sent);
        }
    }

    /// Delivers messages until there are none; those that `passes` refuses are lost.
    fn run(&mut self, passes: impl Fn(Id, Id) -> bool) {
        self.collect();
        while !self.queue.is_empty() {
            for (from, to, message) in std::mem::take(&mut self.queue) {
                if let Some(replica) = self.replicas.get_mut(&to).filter(|_| passes(from, to)) {
                    replica.step(from, message).unwrap();
                }
            }
            self.collect();
        }
    }
}

fn command(len: usize) -> std::sync::Arc<[u8]> {
    vec![1; len].into()
}

#[test]
fn a_follower_that_answers_late_hears_of_the_commit_with_its_answer() {
    let mut group = Group::led(3, &Settings::default());
    let (index, _) = group.leader().propose(command(1)).unwrap();
    group.collect();
    // Replica 3 gets the entry, but its answer comes after that of replica 2.
    let (late, rest): (Vec<_>, Vec<_>) = group.queue.drain(..).partition(|(_, to, _)| *to == 3);
    group.queue = rest;
    group.run(|_, _| true);
    assert_eq!(group.leader().commit(), index);
    group.queue = late;
    group.run(|_, _| true);
    assert_eq!(group.replicas[&3].commit(), index);
}

#[test]
fn a_learner_counts_only_after_it_has_synced_everything_and_was_promoted() {
    let mut group = Group::led(3, &Settings::default());
    let settings = Settings {
        id: 4,
        ..Settings::default()
    };
    let learner = Replica::new(settings, PersistentState::default()).unwrap();
    group
        .leader()
        .change(&Change::AddLearner(4, member(4)))
        .unwrap();
    group.run(|_, _| true);
    let behind = group.leader().change(&Change::Promote(4));
    assert_eq!(behind, Err(Error::Refused(Refusal::NotCaughtUp(4))));
    group.replicas.insert(4, learner);
    // The leader and the learner alone are no quorum.
    let (index, _) = group.leader().propose(command(1)).unwrap();
    for _ in 0..9 {
        group.leader().tick();
        group.run(|from, to| [from, to].iter().all(|id| [1, 4].contains(id)));
    }
    assert_eq!(group.leader().match_index(4), Some(index));
    assert!(group.leader().commit() < index);
    group.leader().tick();
    group.run(|_, _| true);
}

#[test]
fn one_membership_change_at_a_time() {
    let mut group = Group::led(3, &Settings::default());
    group
        .leader()
        .change(&Change::AddLearner(4, member(4)))
        .unwrap();
    let second = group.leader().change(&Change::AddLearner(5, member(5)));
    assert_eq!(second, Err(Error::Refused(Refusal::ChangeInProgress)));
}

#[test]
fn the_last_voter_is_not_removed_and_a_leader_that_is_steps_down() {
    let mut group = Group::led(1, &Settings::default());
    let refused = group.leader().change(&Change::Remove(1));
    assert_eq!(refused, Err(Error::Refused(Refusal::LastVoter(1))));
    let mut group = Group::led(3, &Settings::default());
    group.leader().change(&Change::Remove(1)).unwrap();
    group.run(|_, _| true);
    assert!(!group.leader().is_leader());
    assert!(!group.replicas[&2].membership().contains(1));
}

#[test]
fn commands_messages_and_the_uncommitted_log_are_bounded() {
    let settings = Settings {
        max_message_entries: 4,
        max_message_bytes: 100,
        max_uncommitted_entries: 20,
        max_command_bytes: 50,
        ..Settings::default()
    };
    let mut group = Group::led(3, &settings);
    assert_eq!(
        group.leader().propose(command(51)),
        Err(Error::TooLarge(51))
    );
    let accepted = (0..30).take_while(|_| group.leader().propose(command(40)).is_ok());
    assert!(accepted.count() <= 20);
    assert_eq!(group.leader().propose(command(1)), Err(Error::Busy));
    group.collect();
    while !group.queue.is_empty() {
        for (from, to, message) in std::mem::take(&mut group.queue) {
            if let Body::Append { entries, .. } = &message.body {
                let bytes: usize = entries.iter().map(|e| e.payload.command_len()).sum();
                assert!(
                    entries.len() <= 4 && bytes <= 100,
                    "{} entries",
                    entries.len()
                );
            }
            let replica = group.replicas.get_mut(&to).unwrap();
            replica.step(from, message).unwrap();
        }
        group.collect();
    }
    let last = group.leader().last_index();
    assert_eq!(group.replicas[&3].commit(), last);
}

#[test]
fn a_leader_without_a_quorum_steps_down_and_gives_its_reads_up() {
    let mut group = Group::led(3, &Settings::default());
    group.leader().read(7).unwrap();
    let mut lost = Vec::new();
    for _ in 0..Settings::default().election_ticks + 1 {
        group.leader().tick();
        lost.extend(group.leader().ready().reads);
        group.leader().mark_persisted();
    }
    assert!(!group.leader().is_leader());
    assert_eq!(
        lost.iter()
            .map(|r| (r.context, r.index))
            .collect::<Vec<_>>(),
        [(7, None)]
    );
}

#[test]
fn a_read_waits_for_a_round_that_was_sent_after_it() {
    let mut group = Group::led(3, &Settings::default());
    // An answer to a heartbeat that was sent before the read is no proof.
    for _ in 0..2 {
        group.leader().tick();
    }
    group.collect();
    group.leader().read(1).unwrap();
    let old = std::mem::take(&mut group.queue);
    for (from, to, message) in old {
        group
            .replicas
            .get_mut(&to)
            .unwrap()
            .step(from, message)
            .unwrap();
    }
    let mut answers = Vec::new();
    for id in [2, 3] {
        let replica = group.replicas.get_mut(&id).unwrap();
        answers.extend(replica.ready().messages.into_iter().map(|(_, m)| (id, m)));
        replica.mark_persisted();
    }
    for (from, message) in answers {
        group.leader().step(from, message).unwrap();
    }
    let ready = group.leader().ready();
    assert_eq!(ready.reads, []);
    for (to, message) in ready.messages {
        group.queue.push((1, to, message));
    }
    group.leader().mark_persisted();
    let round = std::mem::take(&mut group.queue);
    let mut settled = Vec::new();
    for (_, to, message) in round {
        let replica = group.replicas.get_mut(&to).unwrap();
        replica.step(1, message).unwrap();
        let answers = replica.ready().messages;
        replica.mark_persisted();
        for (_, message) in answers {
            group.leader().step(to, message).unwrap();
            settled.extend(group.leader().ready().reads);
            group.leader().mark_persisted();
        }
    }
    assert_eq!(settled.len(), 1);
}

#[test]
fn an_entry_that_contradicts_a_committed_one_stops_the_replica() {
    let mut group = Group::led(3, &Settings::default());
    group.leader().propose(command(1)).unwrap();
    group.run(|_, _| true);
    let index = group.replicas[&2].commit();
    let entry = Entry {
        index,
        term: 9,
        payload: Payload::Empty,
    };
    let prev_term = group.replicas[&2].entries(index - 1, index - 1)[0].term;
    let message = Message {
        term: 9,
        body: Body::Append {
            prev_index: index - 1,
            prev_term,
            entries: vec![entry],
            commit: 0,
            round: 0,
        },
    };
    let replica = group.replicas.get_mut(&2).unwrap();
    let diverged = Err(Error::Diverged { from: 3, index });
    assert_eq!(replica.step(3, message), diverged);
}

#[test]
fn a_gap_in_the_stored_log_is_refused() {
    let entry = |index| Entry {
        index,
        term: 1,
        payload: Payload::Empty,
    };
    let stored = PersistentState {
        hard_state: HardState::default(),
        snapshot: None,
        entries: vec![entry(1), entry(3)],
    };
    let refused = Replica::new(Settings::default(), stored);
    assert_eq!(refused.err(), Some(Error::LogGap(2)));
}

#[test]
fn a_vote_survives_a_restart_so_that_none_is_given_twice_in_a_term() {
    let stored = PersistentState::for_new_cluster(membership(&[1, 2, 3]));
    let settings = Settings {
        id: 3,
        ..Settings::default()
    };
    let vote = Message {
        term: 5,
        body: Body::Vote {
            last_index: 9,
            last_term: 4,
            is_transfer: false,
        },
    };
    let mut first = Replica::new(settings.clone(), stored.clone()).unwrap();
    first.step(1, vote.clone()).unwrap();
    let ready = first.ready();
    assert!(ready.must_sync, "a vote is synced before it is sent");
    let stored = PersistentState {
        hard_state: ready.hard_state.unwrap(),
        ..stored
    };
    let mut second = Replica::new(settings, stored).unwrap();
    second.step(2, vote).unwrap();
    let granted = |m: &Message| m.body == Body::VoteReply { granted: true };
    assert!(!second.ready().messages.iter().any(|(_, m)| granted(m)));
}

#[test]
fn any_messages_leave_a_replica_without_panic() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut group = Group::led(3, &Settings::default());
        for _ in 0..200 {
            let id = rng.random_range(1..=3);
            let replica = group.replicas.get_mut(&id).unwrap();
            let message = Message {
                term: rng.random_range(0..8),
                body: body(&mut rng),
            };
            // It may say that the message contradicts what is committed.
            let _ = replica.step(rng.random_range(1..6), message);
            if rng.random() {
                replica.tick();
            }
            let ready = replica.ready();
            assert!(ready.committed.is_sorted_by(|a, b| a.index < b.index));
            replica.mark_persisted();
        }
    }
}

fn body(rng: &mut Pcg64Mcg) -> Body {
    let mut number = || rng.random_range(0..6);
    let (index, term, round) = (number(), number(), number());
    let entries = (0..number()).map(|i| Entry {
        index: index + 1 + i,
        term,
        payload: Payload::Empty,
    });
    let entries = entries.collect();
    match rng.random_range(0..10) {
        0 => Body::PreVote {
            last_index: index,
            last_term: term,
        },
        1 => Body::PreVoteReply {
            granted: rng.random(),
        },
        2 => Body::Vote {
            last_index: index,
            last_term: term,
            is_transfer: rng.random(),
        },
        3 => Body::VoteReply {
            granted: rng.random(),
        },
        4 | 5 => Body::Append {
            prev_index: index,
            prev_term: term,
            entries,
            commit: round,
            round,
        },
        6 => Body::AppendReply {
            accepted: rng.random(),
            prev_index: index,
            index: term,
            round,
        },
        7 => Body::SnapshotChunk {
            index,
            index_term: term,
            membership: membership(&[1, 2, 3]),
            offset: round,
            total: rng.random_range(0..8),
            data: vec![0; rng.random_range(0..4)].into(),
            round,
        },
        8 => Body::SnapshotChunkReply {
            index,
            offset: term,
            round,
        },
        _ => Body::TimeoutNow,
    }
}

#[test]
fn a_replica_that_has_known_no_leader_stands_for_election_sooner() {
    let ticks_until_asking = |first_election_ticks| {
        let settings = Settings {
            id: 1,
            election_ticks: 12,
            first_election_ticks,
            ..Settings::default()
        };
        let member = |name: &str| Member {
            name: name.to_owned(),
            address: name.to_owned(),
        };
        let voters = BTreeMap::from([(1, member("a")), (2, member("b")), (3, member("c"))]);
        let membership = Membership {
            voters,
            ..Membership::default()
        };
        let mut replica =
            Replica::new(settings, PersistentState::for_new_cluster(membership)).unwrap();
        let asks = |replica: &mut Replica| {
            let messages = replica.ready().messages;
            messages
                .iter()
                .any(|(_, m)| matches!(m.body, Body::PreVote { .. }))
        };
        (1..100).find(|_| {
            replica.tick();
            asks(&mut replica)
        })
    };
    assert!(ticks_until_asking(3) < Some(6));
    assert!(ticks_until_asking(12) >= Some(12));
}

/// Ticks until one of two voters leads after both have started at the same moment, without the
/// third one.
fn ticks_until_led(seed: u64) -> u32 {
    let first_election_ticks = 3;
    let stored = PersistentState::for_new_cluster(membership(&[1, 2, 3]));
    let replica = |id: Id| {
        let settings = Settings {
            id,
            seed,
            first_election_ticks,
            ..Settings::default()
        };
        (id, Replica::new(settings, stored.clone()).unwrap())
    };
    let mut group = Group {
        replicas: [1, 2].map(replica).into(),
        queue: Vec::new(),
    };
    for ticks in 1.. {
        // Both clocks tick before any message is under way.
        group.replicas.values_mut().for_each(Replica::tick);
        group.run(|_, to| to != 3);
        if group.replicas.values().any(Replica::is_leader) {
            return ticks;
        }
    }
    unreachable!("one of two voters that reach each other is elected")
}

#[test]
fn two_voters_whose_timeouts_end_together_elect_one_at_once() {
    let late: Vec<(u64, u32)> = (0..200)
        .map(|seed| (seed, ticks_until_led(seed)))
        .filter(|(_, ticks)| *ticks > 5)
        .collect();
    assert_eq!(late, []);
}

#[test]
fn a_voter_that_can_reach_no_quorum_does_not_keep_another_from_being_elected() {
    // Of five voters three are up; only 2 reaches both others, and 1 goes first in a tie.
    let stored = PersistentState::for_new_cluster(membership(&[1, 2, 3, 4, 5]));
    let replica = |id: Id| {
        let settings = Settings {
            id,
            seed: 7,
            first_election_ticks: 3,
            ..Settings::default()
        };
        (id, Replica::new(settings, stored.clone()).unwrap())
    };
    let mut group = Group {
        replicas: [1, 2, 3].map(replica).into(),
        queue: Vec::new(),
    };
    for _ in 0..100 {
        group.replicas.values_mut().for_each(Replica::tick);
        group.run(|from, to| to <= 3 && (from == 2 || to == 2));
    }
    assert!(group.replicas[&2].is_leader());
}
