//! The store on a disk that loses unsynced data, fails, or is damaged.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

#[path = "cases/earlier_build.rs"]
mod earlier_build;
mod fake;
#[path = "fake/files.rs"]
mod files;
#[path = "cases/full_disk.rs"]
mod full_disk;
#[path = "cases/newer_build.rs"]
mod newer_build;
#[path = "cases/power_loss.rs"]
mod power_loss;
#[path = "cases/rejoin.rs"]
mod rejoin;

use consensus::{Entry, HardState, Membership, Payload, PersistentState, Ready, Snapshot};
use fake::{Fault, Memory};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store::{Error, RecoveredState, Store};

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

/// One step of the workload, and the state that the store must hold after this step.
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

/// Returns the steps of the workload: appends, an overwritten tail, a compaction with a local
/// snapshot, and a snapshot from a leader.
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

fn open(disk: &Memory) -> Result<(Store<Memory>, RecoveredState), Error> {
    Store::open(disk.clone(), NAME, 42)
}

/// Runs the workload up to the first error; returns the number of acknowledged steps and the
/// error.
fn run_workload(disk: &Memory) -> (usize, Option<Error>) {
    let mut store = match open(disk) {
        Ok((store, _)) => store,
        Err(error) => return (0, Some(error)),
    };
    for (acknowledged, (step, _)) in workload().iter().enumerate() {
        if let Err(error) = step(&mut store) {
            assert_eq!(
                store.save(&ready(vec![], 99, 99)),
                Err(Error::EarlierWriteFailed)
            );
            return (acknowledged, Some(error));
        }
    }
    (workload().len(), None)
}

fn disk_after_workload() -> Memory {
    let disk = Memory::default();
    assert_eq!(run_workload(&disk), (workload().len(), None));
    disk
}

/// Reports whether `found` is the state after `acknowledged` steps of the workload, or an
/// intermediate state of the next step, whose entries may be stored in part.
fn is_valid_recovery(found: &PersistentState, acknowledged: usize) -> bool {
    let steps = workload();
    let before = match acknowledged {
        0 => PersistentState::default(),
        _ => steps[acknowledged - 1].1.clone(),
    };
    let Some((_, after)) = steps.get(acknowledged) else {
        return *found == before;
    };
    if *found == before || found == after {
        return true;
    }
    let is_either = |h: HardState| h == before.hard_state || h == after.hard_state;
    let known = |e: &Entry| before.entries.contains(e) || after.entries.contains(e);
    // Acknowledged entries are present unless the next step replaces them.
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
fn kill_or_power_loss_at_any_operation_keeps_acknowledged_data() {
    for loses_power in [false, true] {
        for operation in 0.. {
            let mut rng = Pcg64Mcg::seed_from_u64(operation);
            for _ in 0..8 {
                let disk = Memory::default();
                disk.plan(operation, Fault::Kill);
                let (acknowledged, _) = run_workload(&disk);
                match loses_power {
                    true => disk.crash(&mut rng),
                    false => disk.kill(),
                }
                let (_, opened) =
                    open(&disk).unwrap_or_else(|e| panic!("operation {operation}: {e}"));
                assert!(
                    is_valid_recovery(&opened.stored, acknowledged),
                    "operation {operation}: {opened:?}"
                );
                // The store syncs the recovered data, so a power loss right after opening loses
                // nothing.
                disk.crash(&mut rng);
                let (mut store, reopened) = open(&disk).unwrap();
                assert_eq!(reopened.stored, opened.stored, "operation {operation}");
                // The recovered store accepts new entries.
                let mut stored = reopened.stored;
                let base = stored.snapshot.as_ref().map_or(0, |s| s.index);
                let next = entry(base + stored.entries.len() as u64 + 1, 50);
                store.save(&ready(vec![next.clone()], 50, 1)).unwrap();
                stored.entries.push(next);
                assert_eq!(open(&disk).unwrap().1.stored.entries, stored.entries);
            }
            let disk = Memory::default();
            disk.plan(operation, Fault::Kill);
            if run_workload(&disk).1.is_none() {
                break;
            }
        }
    }
}

#[test]
fn full_disk_at_any_operation_is_reported_and_keeps_acknowledged_data() {
    for operation in 0.. {
        let disk = Memory::default();
        disk.plan(operation, Fault::Full);
        let (acknowledged, error) = run_workload(&disk);
        let Some(error) = error else {
            break;
        };
        assert!(
            matches!(error, Error::Full { .. }),
            "operation {operation}: {error}"
        );
        let (_, opened) = open(&disk).unwrap_or_else(|e| panic!("operation {operation}: {e}"));
        assert!(
            is_valid_recovery(&opened.stored, acknowledged),
            "operation {operation}: {opened:?}"
        );
    }
}

/// Asserts that opening a damaged folder fails, or recovers the whole stored state.
fn assert_error_or_intact(disk: &Memory, what: &str) {
    let all = workload().pop().unwrap().1;
    if let Ok((_, opened)) = open(disk) {
        assert_eq!(opened.stored, all, "{what}: data lost without an error");
    }
}

#[test]
fn changed_byte_is_an_error_or_harmless() {
    let intact = disk_after_workload();
    for name in intact.names() {
        for offset in 0..intact.contents(&name).len() {
            let disk = intact.deep_copy();
            let mut contents = intact.contents(&name);
            contents[offset] ^= 0x10;
            disk.put_synced(&name, contents);
            assert_error_or_intact(&disk, &format!("byte {offset} of {name}"));
        }
    }
}

#[test]
fn truncated_file_is_an_error_or_harmless() {
    let intact = disk_after_workload();
    for name in intact.names() {
        for length in 0..intact.contents(&name).len() {
            let disk = intact.deep_copy();
            disk.put_synced(&name, intact.contents(&name)[..length].to_vec());
            assert_error_or_intact(&disk, &format!("{name} truncated to {length} bytes"));
        }
    }
}

#[test]
fn missing_file_is_an_error_or_harmless() {
    let intact = disk_after_workload();
    for name in intact.names() {
        let disk = intact.deep_copy();
        disk.remove_permanently(&name);
        assert_error_or_intact(&disk, &format!("missing {name}"));
        let is_error = open(&disk).is_err();
        assert_eq!(is_error, !name.starts_with("synced-"), "{name}");
    }
}

#[test]
fn torn_record_at_end_of_log_is_dropped_with_notice() {
    let intact = disk_after_workload();
    let log = intact.names().into_iter().find(|n| n.starts_with("log-"));
    let log = log.unwrap();
    let contents = intact.contents(&log);
    // The start of another record, and zeros of a file that was extended without its data.
    for tail in [contents[..14].to_vec(), vec![0; 50]] {
        let disk = intact.deep_copy();
        disk.put_synced(&log, [contents.clone(), tail].concat());
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.stored, workload().pop().unwrap().1);
        assert!(opened.notices[0].contains("a crash cut short"));
        assert_eq!(disk.contents(&log), contents);
    }
}

#[test]
fn emptied_folder_gets_new_id_and_kept_folder_keeps_its_id() {
    let disk = disk_after_workload();
    assert_eq!(Store::open(disk, NAME, 43).unwrap().0.id(), 42);
    let emptied = Store::open(Memory::default(), NAME, 43).unwrap().0;
    assert_eq!(emptied.id(), 43);
}

#[test]
fn folder_of_another_replica_is_refused() {
    let error = Store::open(disk_after_workload(), "control-2", 1).unwrap_err();
    let other = Error::ReplicaNameMismatch {
        found: NAME.to_owned(),
        wanted: "control-2".to_owned(),
    };
    assert_eq!(error, other);
}

#[test]
fn any_bytes_as_a_log_are_read_without_panic() {
    let intact = disk_after_workload();
    let log = intact.names().into_iter().find(|n| n.starts_with("log-"));
    let log = log.unwrap();
    bolero::check!().for_each(|bytes: &[u8]| {
        let disk = intact.deep_copy();
        disk.put_synced(&log, bytes.to_vec());
        let _ = open(&disk);
    });
}

#[test]
fn disk_that_ignores_syncs_fails_these_checks() {
    let is_detected = |seed: u64| {
        let disk = Memory::default();
        disk.set_ignores_syncs(true);
        let (acknowledged, _) = run_workload(&disk);
        disk.crash(&mut Pcg64Mcg::seed_from_u64(seed));
        open(&disk).map_or(true, |(_, opened)| {
            !is_valid_recovery(&opened.stored, acknowledged)
        })
    };
    assert!((0..8).any(is_detected));
}

/// Guards against a message that sends the operator to look for a file that is there.
#[test]
fn snapshot_older_than_the_log_is_reported_as_such() {
    let disk = disk_after_workload();
    let older = Memory::default();
    let (mut store, _) = open(&older).unwrap();
    store
        .save(&ready((1..=3).map(|i| entry(i, 1)).collect(), 1, 5))
        .unwrap();
    store.compact(&snapshot(2, 1), &[entry(3, 1)]).unwrap();
    disk.put_synced("snapshot", older.contents("snapshot"));
    let error = open(&disk).unwrap_err().to_string();
    assert!(error.contains("ends with entry 2"), "{error}");
    assert!(error.contains("begins after entry 9"), "{error}");
}
