//! The store on a disk that loses what wasn't synced, fails, or is damaged.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod fake;
#[path = "fake/files.rs"]
mod files;

use consensus::{Entry, HardState, Membership, Payload, PersistentState, Ready, Snapshot};
use fake::{Fault, Memory};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store::{Error, Opened, Store};

const NAME: &str = "control-1";

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(vec![index as u8; 20 + index as usize].into());
    Entry {
        index,
        term,
        payload,
    }
}

fn ready(entries: Vec<Entry>, term: u64, vote: u64) -> Ready {
    let hard_state = Some(HardState {
        term,
        vote: Some(vote),
        commit: 0,
    });
    Ready {
        entries,
        hard_state,
        must_sync: true,
        ..Ready::default()
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: Membership::default(),
        data: vec![7; 100].into(),
    }
}

/// One step of the workload, with what the store must hold after it.
type Step = (fn(&mut Store<Memory>) -> Result<(), Error>, PersistentState);

fn stored(
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    term: u64,
    vote: u64,
) -> PersistentState {
    let hard_state = HardState {
        term,
        vote: Some(vote),
        commit: 0,
    };
    PersistentState {
        hard_state,
        snapshot,
        entries,
    }
}

/// Appends, an overwritten tail, a snapshot of its own, and one from a leader.
fn workload() -> Vec<Step> {
    let span = |from: u64, to: u64, term| (from..=to).map(|i| entry(i, term)).collect::<Vec<_>>();
    let overwritten = [span(1, 2, 1), span(3, 4, 2)].concat();
    vec![
        (
            |s| s.save(&ready((1..=3).map(|i| entry(i, 1)).collect(), 1, 5)),
            stored(None, span(1, 3, 1), 1, 5),
        ),
        (
            |s| s.save(&ready(vec![entry(3, 2), entry(4, 2)], 2, 6)),
            stored(None, overwritten, 2, 6),
        ),
        (
            |s| s.compact(&snapshot(2, 1), &[entry(3, 2), entry(4, 2)]),
            stored(Some(snapshot(2, 1)), span(3, 4, 2), 2, 6),
        ),
        (
            |s| s.save(&ready(vec![entry(5, 2)], 3, 7)),
            stored(Some(snapshot(2, 1)), span(3, 5, 2), 3, 7),
        ),
        (
            |s| {
                let install = Ready {
                    snapshot: Some(snapshot(9, 4)),
                    ..ready(vec![entry(10, 4)], 4, 8)
                };
                s.save(&install)
            },
            stored(Some(snapshot(9, 4)), vec![entry(10, 4)], 4, 8),
        ),
    ]
}

fn open(disk: &Memory) -> Result<(Store<Memory>, Opened), Error> {
    Store::open(disk.clone(), NAME, 42)
}

/// Runs the workload until it fails; says how many steps were acknowledged, and the error.
fn run(disk: &Memory) -> (usize, Option<Error>) {
    let mut store = match open(disk) {
        Ok((store, _)) => store,
        Err(error) => return (0, Some(error)),
    };
    for (done, (step, _)) in workload().iter().enumerate() {
        if let Err(error) = step(&mut store) {
            assert_eq!(store.save(&ready(vec![], 99, 99)), Err(Error::Failed));
            return (done, Some(error));
        }
    }
    (workload().len(), None)
}

fn full_disk() -> Memory {
    let disk = Memory::default();
    assert_eq!(run(&disk), (workload().len(), None));
    disk
}

/// Whether `found` is what the workload had stored after `done` steps, or one on its way to the
/// next: entries of that one may be there in part.
fn is_sound(found: &PersistentState, done: usize) -> bool {
    let steps = workload();
    let before = match done {
        0 => PersistentState::default(),
        _ => steps[done - 1].1.clone(),
    };
    let Some((_, after)) = steps.get(done) else {
        return *found == before;
    };
    if *found == before || found == after {
        return true;
    }
    let is_either = |h: HardState| h == before.hard_state || h == after.hard_state;
    let known = |e: &Entry| before.entries.contains(e) || after.entries.contains(e);
    // What was acknowledged is there unless the step replaces it.
    let kept = before.entries.iter().all(|e| {
        let replaced = after
            .entries
            .iter()
            .any(|a| a.index <= e.index && a.term > e.term);
        let included = found.snapshot.as_ref().is_some_and(|s| s.index >= e.index);
        replaced || included || found.entries.contains(e)
    });
    let snapshots = [&before.snapshot, &after.snapshot];
    is_either(found.hard_state)
        && kept
        && found.entries.iter().all(known)
        && snapshots.contains(&&found.snapshot)
}

#[test]
fn a_kill_or_power_cut_at_any_step_loses_nothing_acknowledged() {
    for loses_power in [false, true] {
        for at in 0.. {
            let mut rng = Pcg64Mcg::seed_from_u64(at);
            for _ in 0..8 {
                let disk = Memory::default();
                disk.plan(at, Fault::Kill);
                let (done, _) = run(&disk);
                match loses_power {
                    true => disk.crash(&mut rng),
                    false => disk.kill(),
                }
                let (_, opened) = open(&disk).unwrap_or_else(|e| panic!("step {at}: {e}"));
                assert!(is_sound(&opened.stored, done), "step {at}: {opened:?}");
                // What it found counts as synced, so a power cut right after it takes nothing.
                disk.crash(&mut rng);
                let (mut store, again) = open(&disk).unwrap();
                assert_eq!(again.stored, opened.stored, "step {at}");
                // It goes on from there.
                let mut stored = again.stored;
                let base = stored.snapshot.as_ref().map_or(0, |s| s.index);
                let next = entry(base + stored.entries.len() as u64 + 1, 50);
                store.save(&ready(vec![next.clone()], 50, 1)).unwrap();
                stored.entries.push(next);
                assert_eq!(open(&disk).unwrap().1.stored.entries, stored.entries);
            }
            let disk = Memory::default();
            disk.plan(at, Fault::Kill);
            if run(&disk).1.is_none() {
                break;
            }
        }
    }
}

#[test]
fn a_full_disk_at_any_step_is_said_and_loses_nothing_acknowledged() {
    for at in 0.. {
        let disk = Memory::default();
        disk.plan(at, Fault::Full);
        let (done, error) = run(&disk);
        let Some(error) = error else {
            break;
        };
        assert!(matches!(error, Error::Full { .. }), "step {at}: {error}");
        let (_, opened) = open(&disk).unwrap_or_else(|e| panic!("step {at}: {e}"));
        assert!(is_sound(&opened.stored, done), "step {at}: {opened:?}");
    }
}

/// Opens a damaged folder: an error, or all that was stored.
fn check_damaged(disk: &Memory, what: &str) {
    let all = workload().pop().unwrap().1;
    if let Ok((_, opened)) = open(disk) {
        assert_eq!(opened.stored, all, "{what} lost something silently");
    }
}

#[test]
fn a_changed_byte_anywhere_is_an_error_or_changes_nothing() {
    let whole = full_disk();
    for name in whole.names() {
        for place in 0..whole.contents(&name).len() {
            let disk = whole.copy();
            let mut contents = whole.contents(&name);
            contents[place] ^= 0x10;
            disk.put(&name, contents);
            check_damaged(&disk, &format!("byte {place} of {name}"));
        }
    }
}

#[test]
fn a_file_cut_short_anywhere_is_an_error_or_changes_nothing() {
    let whole = full_disk();
    for name in whole.names() {
        for length in 0..whole.contents(&name).len() {
            let disk = whole.copy();
            disk.put(&name, whole.contents(&name)[..length].to_vec());
            check_damaged(&disk, &format!("{name} cut to {length}"));
        }
    }
}

#[test]
fn a_missing_file_is_an_error_or_changes_nothing() {
    let whole = full_disk();
    for name in whole.names() {
        let disk = whole.copy();
        disk.drop_file(&name);
        check_damaged(&disk, &format!("missing {name}"));
        let is_error = open(&disk).is_err();
        assert_eq!(is_error, name != "mark", "{name}");
    }
}

#[test]
fn a_record_that_a_crash_cut_short_is_dropped_with_a_notice() {
    let whole = full_disk();
    let log = whole.names().into_iter().find(|n| n.starts_with("log-"));
    let log = log.unwrap();
    let contents = whole.contents(&log);
    // The start of another record, and a file that grew without its contents.
    for tail in [contents[..14].to_vec(), vec![0; 50]] {
        let disk = whole.copy();
        disk.put(&log, [contents.clone(), tail].concat());
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.stored, workload().pop().unwrap().1);
        assert!(opened.notices[0].contains("a crash cut short"));
        assert_eq!(disk.contents(&log), contents);
    }
}

#[test]
fn an_emptied_folder_is_a_new_replica_and_a_kept_one_is_the_old() {
    let disk = full_disk();
    assert_eq!(Store::open(disk, NAME, 43).unwrap().0.id(), 42);
    let emptied = Store::open(Memory::default(), NAME, 43).unwrap().0;
    assert_eq!(emptied.id(), 43);
}

#[test]
fn a_folder_of_another_replica_is_refused_by_name() {
    let error = Store::open(full_disk(), "control-2", 1).unwrap_err();
    let other = Error::OtherName {
        found: NAME.to_owned(),
        wanted: "control-2".to_owned(),
    };
    assert_eq!(error, other);
}

#[test]
fn any_bytes_as_a_log_are_read_without_panic() {
    let whole = full_disk();
    let log = whole.names().into_iter().find(|n| n.starts_with("log-"));
    let log = log.unwrap();
    bolero::check!().for_each(|bytes: &[u8]| {
        let disk = whole.copy();
        disk.put(&log, bytes.to_vec());
        let _ = open(&disk);
    });
}

#[test]
fn a_disk_that_lies_about_syncing_is_seen_by_these_checks() {
    let is_seen = |seed: u64| {
        let disk = Memory::default();
        disk.set_ignores_syncs(true);
        let (done, _) = run(&disk);
        disk.crash(&mut Pcg64Mcg::seed_from_u64(seed));
        open(&disk).map_or(true, |(_, opened)| !is_sound(&opened.stored, done))
    };
    assert!((0..8).any(is_seen));
}
