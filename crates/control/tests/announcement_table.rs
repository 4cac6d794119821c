//! The announcement table, the updates that entry VMs receive from it, and the announcement cache
//! on disk.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::fs;

use control::{
    announcement_cache,
    announcement_table::{AnnouncementTable, AnnouncementUpdates, Outcome},
};
use model::routing::{Announced, Incarnation, Phase};

/// Interval between two announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

fn announced(id: u64, started_ms: u64, sequence: u64) -> Announced {
    Announced {
        incarnation: Incarnation { id, started_ms },
        service: "booking".into(),
        address: "10.0.0.1:8080".parse().unwrap(),
        domain: "vejle".parse().unwrap(),
        slots: 3,
        phase: Phase::Ready,
        cold_ms: 0,
        sequence,
    }
}

fn draining(sequence: u64) -> Announced {
    Announced {
        phase: Phase::Draining,
        ..announced(1, 10, sequence)
    }
}

/// Returns the updates since `revision`, and advances `revision`.
fn updates(table: &AnnouncementTable, now_ms: u64, revision: &mut u64) -> AnnouncementUpdates {
    let (updates, new_revision) = table.updates_since(now_ms, *revision);
    *revision = new_revision;
    updates
}

#[test]
fn updates_contain_only_new_announcements() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    let mut revision = 0;
    assert_eq!(table.record(0, announced(1, 10, 1)), Outcome::New);
    assert_eq!(updates(&table, 5, &mut revision).announced[0].1, 5);
    assert_eq!(table.record(1_000, announced(1, 10, 2)), Outcome::Repeated);
    assert_eq!(
        updates(&table, 1_000, &mut revision),
        AnnouncementUpdates::default()
    );
    assert_eq!(table.record(2_000, draining(3)), Outcome::New);
    let received = updates(&table, 2_000, &mut revision);
    assert_eq!(received.announced, [(draining(3), 0)]);
    // An entry VM that connects now receives everything at once.
    assert_eq!(updates(&table, 2_000, &mut 0), received);
}

#[test]
fn late_announcements_change_nothing() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    table.record(0, draining(5));
    assert_eq!(table.record(1, announced(1, 10, 4)), Outcome::Stale);
    assert_eq!(table.record(1, announced(1, 10, 5)), Outcome::Stale);
    assert_eq!(table.record(1, announced(1, 9, 99)), Outcome::Stale);
    assert_eq!(table.active().next().unwrap().phase, Phase::Draining);
    // Sequence numbers start again with each start of an upstream.
    assert_eq!(table.record(2, announced(1, 11, 1)), Outcome::New);
}

#[test]
fn a_stop_is_final_until_the_next_start() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    table.record(0, announced(1, 10, 1));
    assert_eq!(table.record_stop(1, announced(1, 10, 1)), Outcome::New);
    assert_eq!(table.record_stop(1, announced(1, 10, 1)), Outcome::Repeated);
    assert_eq!(table.record(2, announced(1, 10, 2)), Outcome::Stale);
    assert_eq!(table.active().count(), 0);
    assert_eq!(table.record(3, announced(1, 20, 1)), Outcome::New);
}

/// Guards against a stop without an incarnation, which entry VMs would apply to a later one.
#[test]
fn the_stop_of_an_upstream_that_another_control_vm_hears_names_its_incarnation() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    assert_eq!(table.record_stop(0, announced(7, 10, 3)), Outcome::New);
    let received = updates(&table, 0, &mut 0).announced;
    assert_eq!(received[0].0.phase, Phase::Gone);
    assert_eq!(
        received[0].0.incarnation,
        Incarnation {
            id: 7,
            started_ms: 10
        }
    );
    // A late announcement of the stopped incarnation doesn't revive it.
    assert_eq!(table.record(1, announced(7, 10, 4)), Outcome::Stale);
    assert_eq!(table.active().count(), 0);
}

/// Guards against a stop that reaches a control VM after the next start and ends the new incarnation.
#[test]
fn a_stop_ends_neither_a_later_nor_a_former_incarnation() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    table.record(0, announced(1, 20, 1));
    assert_eq!(table.record_stop(1, announced(1, 10, 9)), Outcome::Stale);
    assert_eq!(table.active_upstream(1).unwrap().incarnation.started_ms, 20);
    // The upstream started again at another control VM and stops here.
    assert_eq!(table.record_stop(2, announced(1, 30, 1)), Outcome::New);
    assert_eq!(table.active_upstream(1), None);
    let received = updates(&table, 2, &mut 0).announced;
    assert_eq!(received.len(), 1, "one change for each upstream");
    assert_eq!(received[0].0.incarnation.started_ms, 30);
    assert_eq!(table.record(3, announced(1, 40, 1)), Outcome::New);
}

/// Guards against a stop that entry VMs receive as mere silence.
#[test]
fn the_stop_of_a_silent_upstream_is_passed_on_as_a_stop() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    table.record(0, announced(1, 10, 1));
    assert_eq!(table.expire_silent(4_000), 1);
    assert_eq!(table.active_upstream(1), None);
    assert_eq!(table.record_stop(5_000, announced(1, 10, 1)), Outcome::New);
    let received = updates(&table, 5_000, &mut 0);
    assert_eq!(received.silent, []);
    assert_eq!(received.announced[0].0.phase, Phase::Gone);
}

#[test]
fn a_silent_upstream_is_reported_once_and_returns_with_its_next_announcement() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    let mut revision = 0;
    table.record(0, announced(1, 10, 1));
    updates(&table, 0, &mut revision);
    assert_eq!(table.expire_silent(3_900), 0);
    assert_eq!(table.expire_silent(4_000), 1);
    assert_eq!(table.expire_silent(4_500), 0);
    let received = updates(&table, 4_500, &mut revision);
    assert_eq!(
        received.silent,
        [Incarnation {
            id: 1,
            started_ms: 10
        }]
    );
    assert_eq!(table.record(5_000, announced(1, 10, 2)), Outcome::New);
    assert_eq!(updates(&table, 5_000, &mut revision).announced.len(), 1);
}

#[test]
fn upstreams_silent_for_long_are_removed() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS);
    table.record(0, announced(1, 10, 1));
    table.expire_silent(10_000);
    table.expire_silent(200_000);
    assert_eq!(
        updates(&table, 200_000, &mut 0),
        AnnouncementUpdates::default()
    );
}

#[test]
fn recalled_upstreams_exclude_those_that_announced_again() {
    let mut table = AnnouncementTable::new(ANNOUNCE_INTERVAL_MS)
        .with_recalled(vec![announced(1, 10, 9), announced(2, 10, 9)]);
    table.record(0, announced(1, 10, 10));
    let recalled = table.recalled();
    assert_eq!(recalled, [announced(2, 10, 9)]);
    table.expire_silent(60_000);
    assert_eq!(table.recalled(), []);
}

#[test]
fn the_cache_is_read_back_and_a_damaged_file_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(announcement_cache::read(folder.path()), []);
    let heard = vec![announced(1, 10, 1), draining(2)];
    let bytes = announcement_cache::encode(&heard).unwrap();
    let file = folder.path().join("hints");
    fs::write(&file, &bytes).unwrap();
    assert_eq!(announcement_cache::read(folder.path()), heard);
    for end in 0..bytes.len() {
        fs::write(&file, &bytes[..end]).unwrap();
        assert_eq!(announcement_cache::read(folder.path()), [], "cut at {end}");
    }
    let mut flipped = bytes.clone();
    flipped[9] ^= 1;
    assert!(announcement_cache::decode(&flipped).is_err());
}

#[test]
fn arbitrary_cache_bytes_are_decoded_or_refused() {
    bolero::check!().for_each(|bytes: &[u8]| drop(announcement_cache::decode(bytes)));
}
