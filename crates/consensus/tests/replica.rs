//! Raft replicas without a network: each test decides which messages arrive, and when.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::collections::{BTreeMap, VecDeque};

use consensus::{
    Body, ChangeRefusal, Entry, Error, HardState, Member, Membership, MembershipChange, Message,
    Payload, PersistentState, Replica, ReplicaId, Settings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn member(id: ReplicaId) -> Member {
    Member {
        name: format!("c{id}"),
        address: id.to_string(),
    }
}

fn membership(voters: &[ReplicaId]) -> Membership {
    Membership {
        voters: voters.iter().map(|id| (*id, member(*id))).collect(),
        ..Membership::default()
    }
}

/// A group of replicas, and the undelivered messages with their senders and receivers.
struct Group {
    replicas: BTreeMap<ReplicaId, Replica>,
    queue: Vec<(ReplicaId, ReplicaId, Message)>,
}

impl Group {
    /// Returns replicas 1 to `count` with replica 1 as the leader.
    fn with_leader(count: u64, settings: &Settings) -> Self {
        let ids: Vec<ReplicaId> = (1..=count).collect();
        let stored = PersistentState::for_new_cluster(membership(&ids));
        let replica = |id: ReplicaId| {
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
            group.deliver_all(|_, _| true);
        }
        group
    }

    fn leader(&mut self) -> &mut Replica {
        self.replicas.get_mut(&1).unwrap()
    }

    fn collect_messages(&mut self) {
        for (id, replica) in &mut self.replicas {
            let ready = replica.ready();
            replica.mark_persisted();
            let sent = ready.messages.into_iter().map(|(to, m)| (*id, to, m));
            self.queue.extend(sent);
        }
    }

    /// Delivers messages until none are left; drops those for which `is_delivered` is false.
    fn deliver_all(&mut self, is_delivered: impl Fn(ReplicaId, ReplicaId) -> bool) {
        self.collect_messages();
        while !self.queue.is_empty() {
            self.deliver_queue(&is_delivered);
            self.collect_messages();
        }
    }

    /// Delivers the collected messages; drops those for which `is_delivered` is false.
    fn deliver_queue(&mut self, is_delivered: impl Fn(ReplicaId, ReplicaId) -> bool) {
        for (from, to, message) in std::mem::take(&mut self.queue) {
            if let Some(replica) = self
                .replicas
                .get_mut(&to)
                .filter(|_| is_delivered(from, to))
            {
                replica.step(from, message).unwrap();
            }
        }
    }
}

fn command(size: usize) -> std::sync::Arc<[u8]> {
    vec![1; size].into()
}

#[test]
fn late_append_reply_is_answered_with_commit_index() {
    let mut group = Group::with_leader(3, &Settings::default());
    let (index, _) = group.leader().propose(command(1)).unwrap();
    group.collect_messages();
    // Replica 3 receives the entry and replies after replica 2, so the entry is committed by then.
    let (late, rest): (Vec<_>, Vec<_>) = group.queue.drain(..).partition(|(_, to, _)| *to == 3);
    group.queue = rest;
    group.deliver_all(|_, _| true);
    assert_eq!(group.leader().commit_index(), index);
    group.queue = late;
    group.deliver_all(|_, _| true);
    assert_eq!(group.replicas[&3].commit_index(), index);
}

#[test]
fn lagging_learner_is_not_promoted_and_learner_does_not_count_for_commit() {
    let mut group = Group::with_leader(3, &Settings::default());
    let settings = Settings {
        id: 4,
        ..Settings::default()
    };
    let learner = Replica::new(settings, PersistentState::default()).unwrap();
    group
        .leader()
        .propose_membership_change(&MembershipChange::AddLearner(4, member(4)))
        .unwrap();
    group.deliver_all(|_, _| true);
    let behind = group
        .leader()
        .propose_membership_change(&MembershipChange::Promote(4));
    assert_eq!(behind, Err(Error::Refused(ChangeRefusal::NotCaughtUp(4))));
    group.replicas.insert(4, learner);
    // The leader and the learner alone are no quorum of the three voters.
    let (index, _) = group.leader().propose(command(1)).unwrap();
    for _ in 0..9 {
        group.leader().tick();
        group.deliver_all(|from, to| [from, to].iter().all(|id| [1, 4].contains(id)));
    }
    assert_eq!(group.leader().match_index(4), Some(index));
    assert!(group.leader().commit_index() < index);
    group.leader().tick();
    group.deliver_all(|_, _| true);
}

#[test]
fn second_membership_change_is_refused_until_first_is_committed() {
    let mut group = Group::with_leader(3, &Settings::default());
    group
        .leader()
        .propose_membership_change(&MembershipChange::AddLearner(4, member(4)))
        .unwrap();
    let second = group
        .leader()
        .propose_membership_change(&MembershipChange::AddLearner(5, member(5)));
    assert_eq!(second, Err(Error::Refused(ChangeRefusal::ChangeInProgress)));
}

#[test]
fn last_voter_is_not_removed_and_removed_leader_steps_down() {
    let mut group = Group::with_leader(1, &Settings::default());
    let refused = group
        .leader()
        .propose_membership_change(&MembershipChange::Remove(1));
    assert_eq!(refused, Err(Error::Refused(ChangeRefusal::LastVoter(1))));
    let mut group = Group::with_leader(3, &Settings::default());
    group
        .leader()
        .propose_membership_change(&MembershipChange::Remove(1))
        .unwrap();
    group.deliver_all(|_, _| true);
    assert!(!group.leader().is_leader());
    assert!(!group.replicas[&2].membership().contains(1));
}

#[test]
fn command_size_message_size_and_uncommitted_log_are_bounded() {
    let settings = Settings {
        max_message_entries: 4,
        max_message_bytes: 100,
        max_uncommitted_entries: 20,
        max_command_bytes: 50,
        ..Settings::default()
    };
    let mut group = Group::with_leader(3, &settings);
    assert_eq!(
        group.leader().propose(command(51)),
        Err(Error::TooLarge(51))
    );
    let accepted = (0..30).take_while(|_| group.leader().propose(command(40)).is_ok());
    assert!(accepted.count() <= 20);
    assert_eq!(group.leader().propose(command(1)), Err(Error::Busy));
    group.collect_messages();
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
        group.collect_messages();
    }
    let last = group.leader().last_index();
    assert_eq!(group.replicas[&3].commit_index(), last);
}

#[test]
fn leader_without_quorum_steps_down_and_fails_its_reads() {
    let mut group = Group::with_leader(3, &Settings::default());
    group.leader().request_read_index(7).unwrap();
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
fn read_is_confirmed_only_by_heartbeat_round_sent_after_it() {
    let mut group = Group::with_leader(3, &Settings::default());
    // A reply to a heartbeat that was sent before the read doesn't prove that no other leader was
    // elected since.
    for _ in 0..2 {
        group.leader().tick();
    }
    group.collect_messages();
    group.leader().request_read_index(1).unwrap();
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
fn entry_that_contradicts_committed_log_is_an_error() {
    let mut group = Group::with_leader(3, &Settings::default());
    group.leader().propose(command(1)).unwrap();
    group.deliver_all(|_, _| true);
    let index = group.replicas[&2].commit_index();
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
fn gap_in_stored_log_is_refused() {
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
fn vote_survives_restart_so_that_replica_votes_once_per_term() {
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
    assert!(ready.must_sync, "vote must be synced before it is sent");
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
fn arbitrary_messages_cause_no_panic() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut group = Group::with_leader(3, &Settings::default());
        for _ in 0..200 {
            let id = rng.random_range(1..=3);
            let replica = group.replicas.get_mut(&id).unwrap();
            let message = Message {
                term: rng.random_range(0..8),
                body: random_body(&mut rng),
            };
            // An error is allowed, because the message may contradict the committed log.
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

fn random_body(rng: &mut Pcg64Mcg) -> Body {
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
fn replica_that_has_known_no_leader_starts_pre_vote_sooner() {
    let ticks_until_pre_vote = |first_election_ticks| {
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
        let sends_pre_vote = |replica: &mut Replica| {
            let messages = replica.ready().messages;
            messages
                .iter()
                .any(|(_, m)| matches!(m.body, Body::PreVote { .. }))
        };
        (1..100).find(|_| {
            replica.tick();
            sends_pre_vote(&mut replica)
        })
    };
    assert!(ticks_until_pre_vote(3) < Some(6));
    assert!(ticks_until_pre_vote(12) >= Some(12));
}

/// Returns the ticks until one of two voters leads, if both start at the same time, the third voter is
/// down, and each message arrives `delay_ticks` after it was sent.
fn ticks_until_leader_elected(seed: u64, first_election_ticks: u32, delay_ticks: usize) -> u32 {
    let stored = PersistentState::for_new_cluster(membership(&[1, 2, 3]));
    let replica = |id: ReplicaId| {
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
    let mut in_transit = VecDeque::from(vec![Vec::new(); delay_ticks]);
    for ticks in 1.. {
        // Both replicas tick before any message is delivered.
        group.replicas.values_mut().for_each(Replica::tick);
        match in_transit.pop_front() {
            Some(due) => {
                group.queue = due;
                group.deliver_queue(|_, to| to != 3);
                group.collect_messages();
                in_transit.push_back(std::mem::take(&mut group.queue));
            }
            None => group.deliver_all(|_, to| to != 3),
        }
        if group.replicas.values().any(Replica::is_leader) {
            return ticks;
        }
    }
    unreachable!("one of two connected voters must be elected")
}

#[test]
fn simultaneous_pre_votes_elect_a_leader_at_once() {
    let late: Vec<(u64, u32)> = (0..200)
        .map(|seed| (seed, ticks_until_leader_elected(seed, 3, 0)))
        .filter(|(_, ticks)| *ticks > 5)
        .collect();
    assert_eq!(late, []);
}

/// Guards against two voters that each give up their pre-vote for the other's, so that none is elected
/// until the next timeout.
#[test]
fn pre_votes_that_cross_on_their_way_elect_a_leader_at_once() {
    let election_ticks = 12;
    for delay_ticks in 1..=2 {
        // The last first timeout, and two rounds of messages.
        let bound = u32::try_from(2 * election_ticks - 1 + 4 * delay_ticks).unwrap();
        let first_election_ticks = u32::try_from(election_ticks).unwrap();
        let late: Vec<(u64, u32)> = (0..200)
            .map(|seed| {
                let ticks = ticks_until_leader_elected(seed, first_election_ticks, delay_ticks);
                (seed, ticks)
            })
            .filter(|(_, ticks)| *ticks > bound)
            .collect();
        assert_eq!(late, [], "{delay_ticks} ticks");
    }
}

#[test]
fn voter_that_reaches_no_quorum_does_not_block_election_of_another() {
    // Three of five voters are up, and only voter 2 reaches both others. Voter 1, which reaches no
    // quorum, has precedence over voter 2 when both start a pre-vote at the same time.
    let stored = PersistentState::for_new_cluster(membership(&[1, 2, 3, 4, 5]));
    let replica = |id: ReplicaId| {
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
        group.deliver_all(|from, to| to <= 3 && (from == 2 || to == 2));
    }
    assert!(group.replicas[&2].is_leader());
}
