//! Tests the sums of what entry VMs have placed, and what is sent of them.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::sync::Arc;

use control::work_table::{Member, Round, Table};
use model::{
    name::Name,
    work::{Digest, Entry, Fault},
};

fn domain(name: &str) -> Name {
    name.parse().unwrap()
}

fn open(table: &mut Table, vm: &str, name: &str) -> Member {
    table.open(&Arc::from(vm), &domain(name))
}

fn entry(token: u32, flows: u16, demand_milli: u32) -> Entry {
    Entry {
        token,
        flows,
        demand_milli,
        ..Entry::default()
    }
}

fn digest(sequence: u64, entries: &[Entry]) -> Digest {
    Digest {
        sequence,
        entries: entries.to_vec(),
    }
}

fn changes(round: &Round, name: &str) -> Vec<Entry> {
    round.changes[&domain(name)].to_vec()
}

/// Guards against changes that are lost between the full state of a new stream and the next round,
/// and against rounds that repeat what is known.
#[test]
fn sums_are_sent_once() {
    let mut table = Table::default();
    let (a, b) = (open(&mut table, "a1", "a"), open(&mut table, "b1", "b"));
    table.apply(0, &a, &digest(1, &[entry(5, 3, 400)]));
    let (full, number) = table.full_state(10, &domain("a"));
    assert_eq!((full, number), (vec![entry(5, 3, 400)], 0));
    table.apply(100, &b, &digest(1, &[entry(5, 4, 300), entry(6, 4, 300)]));
    let round = table.next_round(1_000);
    assert_eq!((round.number, round.reporters), (1, 2));
    assert_eq!(changes(&round, "a")[0], entry(5, 7, 700));
    let later: Vec<Entry> = (2..=5)
        .flat_map(|second| {
            table.apply(second * 1_000, &a, &digest(second, &[]));
            table.apply(second * 1_000, &b, &digest(second, &[]));
            changes(&table.next_round(second * 1_000), "a")
        })
        .collect();
    // No entry VM of domain a has flows there, so that it is considered every fourth round only.
    assert!(later.len() <= 1, "{later:?}");
    let (mut full, _) = table.full_state(5_000, &domain("a"));
    full.sort_by_key(|e| e.token);
    assert_eq!(full, [entry(5, 7, 700), entry(6, 4, 300)]);
}

/// Failure "an entry VM restarts or its stream ends": guards against flows that are counted twice or
/// for ever.
#[test]
fn end_or_restart_of_a_stream_replaces_what_it_reported() {
    let mut table = Table::default();
    let old = open(&mut table, "a1", "a");
    table.full_state(0, &domain("a"));
    table.apply(0, &old, &digest(1, &[entry(5, 10, 1_000)]));
    table.next_round(1_000);
    // The VM was restarted, and the end of the old stream has not been noticed yet.
    let new = open(&mut table, "a1", "a");
    table.apply(1_100, &new, &digest(1, &[entry(5, 2, 100)]));
    let late = table.apply(1_200, &old, &digest(2, &[entry(5, 11, 1_000)]));
    assert_eq!(late.refused, 1);
    assert_eq!(changes(&table.next_round(2_000), "a"), [entry(5, 2, 100)]);
    table.close(&old);
    assert_eq!(table.reporters(), 1);
    table.close(&new);
    assert_eq!(table.reporters(), 0);
    let rounds = (3..=6).map(|second| changes(&table.next_round(second * 1_000), "a"));
    assert_eq!(rounds.flatten().collect::<Vec<_>>(), [entry(5, 0, 0)]);
}

/// Failure "a digest is lost or late": guards against the flows of a frozen entry VM that stay in the
/// sums, and that are missing after it goes on.
#[test]
fn silent_reporter_expires_and_counts_again_with_its_next_digest() {
    let mut table = Table::default();
    let a = open(&mut table, "a1", "a");
    table.full_state(0, &domain("a"));
    table.apply(0, &a, &digest(1, &[entry(5, 10, 1_000)]));
    assert_eq!(table.next_round(2_900).expired, 0);
    let round = table.next_round(3_900);
    assert_eq!((round.expired, round.reporters), (1, 0));
    table.apply(5_000, &a, &digest(2, &[entry(6, 3, 200)]));
    let (mut full, mut seen) = (Vec::new(), 0);
    for second in 5..=9 {
        table.apply(second * 1_000, &a, &digest(second, &[]));
        seen = table.next_round(second * 1_000).number;
        full = table.full_state(second * 1_000, &domain("a")).0;
    }
    assert_eq!(full, [entry(5, 10, 1_000), entry(6, 3, 200)]);
    assert_eq!(seen, 7);
}

/// Failure "a value is impossible": guards against one faulty entry VM that spoils the sums.
#[test]
fn impossible_values_and_messages_are_refused_and_counted() {
    let mut table = Table::default();
    let a = open(&mut table, "a1", "a");
    let unfounded = table.apply(0, &a, &digest(4, &[entry(5, 1, 0)]));
    assert_eq!(unfounded.fault, Some(Fault::Sequence(4, 0)));
    table.apply(0, &a, &digest(1, &[entry(5, 1, 0), entry(0, 1, 0)]));
    table.apply(0, &a, &digest(2, &[entry(5, 1, 1_000_001)]));
    let backwards = table.apply(0, &a, &digest(2, &[entry(5, 9, 0)]));
    assert_eq!(backwards.fault, Some(Fault::Sequence(2, 2)));
    let long = table.apply(0, &a, &digest(3, &[entry(5, 9, 0); 65]));
    assert_eq!((long.refused, long.fault), (65, Some(Fault::TooLong(65))));
    let round = table.next_round(1_000);
    assert_eq!(round.refused, 1 + 1 + 1 + 1 + 65);
    let (full, _) = table.full_state(1_000, &domain("a"));
    assert_eq!(full, [entry(5, 1, 0)]);
}

/// Guards against messages that grow with the number of upstreams: at 6,500 upstreams that all change,
/// an entry VM gets 40 entries a second, and 14 from a control VM that a third of the entry VMs report
/// to. Only what was saved up may come on top.
#[test]
fn rounds_are_bounded() {
    let mut table = Table::default();
    let members: Vec<Member> = (0..90)
        .map(|n| open(&mut table, &format!("vm{n}"), "a"))
        .collect();
    table.full_state(0, &domain("a"));
    for member in &members[..30] {
        for sequence in 1..=101 {
            let first = 64 * u32::try_from(sequence - 1).unwrap() + 1;
            let entries: Vec<Entry> = (first..first + 64).map(|t| entry(t, 2, 500)).collect();
            table.apply(0, member, &digest(sequence, &entries));
        }
    }
    let rounds = (1..=6).map(|second| {
        for member in &members[..30] {
            table.apply(second * 1_000, member, &digest(101 + second, &[]));
        }
        changes(&table.next_round(second * 1_000), "a").len()
    });
    assert_eq!(rounds.collect::<Vec<_>>(), [64, 64, 40, 14, 14, 14]);
}
