//! What a start makes of a log whose last write was torn by a power loss, and of damage that a
//! power loss can't explain.

use consensus::{Entry, HardState, Payload, PersistentState, Ready};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use store::{Error, Store};

use crate::{
    fake::{Fault, Memory},
    open, snapshot,
};

/// Size of the unit that a disk writes whole, in bytes.
const SECTOR_BYTES: usize = 512;

pub(crate) fn entry(index: u64, term: u64, length: usize) -> Entry {
    let payload = Payload::Command(vec![index as u8; length].into());
    Entry {
        index,
        term,
        payload,
    }
}

pub(crate) fn ready(entries: Vec<Entry>, term: u64, must_sync: bool) -> Ready {
    let hard_state = Some(HardState {
        term,
        vote: Some(5),
        commit: 0,
    });
    Ready {
        entries,
        hard_state,
        must_sync,
        ..Ready::default()
    }
}

pub(crate) fn log_name(disk: &Memory) -> String {
    let mut names = disk.names().into_iter();
    names.find(|n| n.starts_with("log-")).unwrap()
}

/// Returns a disk whose synced log ends at byte `shift` of a sector, and its state.
pub(crate) fn disk_with_log_end(shift: usize) -> (Memory, PersistentState) {
    let length_with = |filler: usize| {
        let disk = Memory::default();
        let (mut store, _) = open(&disk).unwrap();
        store
            .save(&ready(vec![entry(1, 1, filler)], 1, true))
            .unwrap();
        (store.log_len() as usize, disk)
    };
    let (least, _) = length_with(300);
    let filler = 300 + (shift + SECTOR_BYTES - least % SECTOR_BYTES) % SECTOR_BYTES;
    let (length, disk) = length_with(filler);
    assert_eq!(length % SECTOR_BYTES, shift);
    let stored = open(&disk).unwrap().1.stored;
    (disk, stored)
}

/// Content of a sector that a power loss left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sector {
    New,
    /// Records of an earlier file that used the same place of the disk.
    Old,
    Zero,
    Garbage,
}

const SECTORS: [Sector; 4] = [Sector::New, Sector::Old, Sector::Zero, Sector::Garbage];

/// Returns the part of `contents` behind `synced` with its sectors in the given states.
fn tear(contents: &[u8], synced: usize, sectors: &[Sector], rng: &mut Pcg64Mcg) -> Vec<u8> {
    let mut torn = contents.to_vec();
    let mut from = synced;
    let mut sectors = sectors.iter();
    while from < torn.len() {
        let to = torn.len().min((from / SECTOR_BYTES + 1) * SECTOR_BYTES);
        match sectors.next().unwrap() {
            Sector::New => {}
            Sector::Old => torn[from..to].copy_from_slice(&contents[..to - from]),
            Sector::Zero => torn[from..to].fill(0),
            Sector::Garbage => rng.fill(&mut torn[from..to]),
        }
        from = to;
    }
    torn
}

/// Guards against a start that is refused forever because of a write that was never acknowledged, and
/// against one that drops acknowledged records with it.
#[test]
fn torn_unsynced_write_is_dropped_at_each_byte_of_a_sector() {
    for shift in 0..SECTOR_BYTES {
        let (intact, stored) = disk_with_log_end(shift);
        let log = log_name(&intact);
        let synced = intact.contents(&log);
        // The write holds three records, of which a later one may be whole while the first is not.
        let next = ready(vec![entry(2, 1, 700), entry(3, 1, 20)], 2, true);
        let whole = {
            let disk = intact.deep_copy();
            open(&disk).unwrap().0.save(&next).unwrap();
            disk.contents(&log)
        };
        let count = whole.len().div_ceil(SECTOR_BYTES) - synced.len() / SECTOR_BYTES;
        let mut rng = Pcg64Mcg::seed_from_u64(shift as u64);
        for case in 0..SECTORS.len().pow(count as u32) {
            let states: Vec<Sector> = (0..count as u32)
                .map(|i| SECTORS[case / SECTORS.len().pow(i) % SECTORS.len()])
                .collect();
            let disk = intact.deep_copy();
            let torn = tear(&whole, synced.len(), &states, &mut rng);
            disk.put_synced(&log, torn.clone());
            let what = format!("shift {shift}, sectors {states:?}");
            let (_, opened) = open(&disk).unwrap_or_else(|e| panic!("{what}: {e}"));
            assert!(
                opened.stored.entries.starts_with(&stored.entries),
                "{what}: lost an acknowledged entry"
            );
            assert!(opened.stored.hard_state.term >= stored.hard_state.term);
            // A sector whose new bytes are zeros may be whole although it was not written.
            if torn == whole {
                assert_eq!(opened.stored.entries.len(), 3, "{what}");
            } else {
                assert!(opened.notices[0].contains("dropped"), "{what}");
            }
        }
    }
}

/// Guards against a start that takes bit rot in acknowledged records for a torn write, also when
/// the power was lost right after the last acknowledgement.
#[test]
fn damaged_byte_of_a_synced_record_is_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (intact, _) = disk_with_log_end(100);
    let log = log_name(&intact);
    for term in 2..=3 {
        let (mut store, _) = open(&intact).unwrap();
        store
            .save(&ready(vec![entry(term, 1, 40)], term, true))
            .unwrap();
    }
    intact.crash(&mut rng);
    for offset in 0..intact.contents(&log).len() {
        let disk = intact.deep_copy();
        let mut contents = intact.contents(&log);
        contents[offset] ^= 0x10;
        disk.put_synced(&log, contents);
        let error = open(&disk).unwrap_err();
        assert!(
            matches!(error, Error::Corrupt { .. }),
            "byte {offset}: {error}"
        );
    }
}

/// Guards against a start that is refused, or loses acknowledged records, when several writes
/// were not synced and each is present, missing or torn.
#[test]
fn several_unsynced_writes_are_kept_or_lost_independently() {
    for seed in 0..4_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (disk, stored) = disk_with_log_end(rng.random_range(0..SECTOR_BYTES));
        let (mut store, _) = open(&disk).unwrap();
        for index in 2..=6 {
            let length = rng.random_range(1..900);
            store
                .save(&ready(vec![entry(index, 1, length)], index, false))
                .unwrap();
        }
        disk.crash(&mut rng);
        let (_, opened) = open(&disk).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let entries = &opened.stored.entries;
        assert!(entries.starts_with(&stored.entries), "seed {seed}");
    }
}

/// Guards against a repair that a second power loss turns into a refused start or a loss.
#[test]
fn second_power_loss_during_the_repair_loses_nothing() {
    let next = ready(vec![entry(2, 1, 900), entry(3, 1, 20)], 2, true);
    for seed in 0..400 {
        for operation in 0.. {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let (disk, stored) = disk_with_log_end(rng.random_range(0..SECTOR_BYTES));
            let (mut store, _) = open(&disk).unwrap();
            // The append succeeds and its sync doesn't.
            disk.plan(1, Fault::Kill);
            store.save(&next).unwrap_err();
            disk.crash(&mut rng);
            disk.plan(operation, Fault::Kill);
            let is_repaired = open(&disk).is_ok();
            disk.crash(&mut rng);
            let what = format!("seed {seed}, operation {operation}");
            let (mut store, opened) = open(&disk).unwrap_or_else(|e| panic!("{what}: {e}"));
            let entries = &opened.stored.entries;
            assert!(entries.starts_with(&stored.entries), "{what}");
            let index = entries.len() as u64 + 1;
            store
                .save(&ready(vec![entry(index, 1, 30)], 3, true))
                .unwrap();
            disk.crash(&mut rng);
            let kept = open(&disk).unwrap().1.stored;
            assert_eq!(kept.entries.len() as u64, index, "{what}");
            assert_eq!(kept.hard_state.term, 3, "{what}");
            if is_repaired {
                break;
            }
        }
    }
}

/// Guards against a torn first write to a new log file that is taken for damage of the file.
#[test]
fn torn_write_right_after_a_snapshot_is_dropped() {
    for seed in 0..1_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (disk, _) = disk_with_log_end(0);
        let (mut store, opened) = open(&disk).unwrap();
        store.compact(&snapshot(1, 1), &[]).unwrap();
        disk.plan(1, Fault::Kill);
        store
            .save(&ready(vec![entry(2, 1, 1_200)], 2, true))
            .unwrap_err();
        disk.crash(&mut rng);
        let found = open(&disk).unwrap_or_else(|e| panic!("seed {seed}: {e}")).1;
        assert_eq!(found.stored.snapshot, Some(snapshot(1, 1)), "seed {seed}");
        assert!(found.stored.hard_state.term >= opened.stored.hard_state.term);
    }
}

/// Guards against a new log file whose damage is dropped although the whole file was synced. Its
/// synced length is not stored yet.
#[test]
fn damage_of_a_log_file_that_was_just_created_is_refused() {
    let (disk, _) = disk_with_log_end(0);
    let (mut store, _) = open(&disk).unwrap();
    // The steps of a snapshot up to the stored length of the new log: four for each file.
    disk.plan(8, Fault::Kill);
    store
        .compact(&snapshot(1, 1), &[entry(2, 1, 30)])
        .unwrap_err();
    disk.kill();
    let log = "log-2";
    for offset in 0..disk.contents(log).len() {
        let damaged = disk.deep_copy();
        let mut contents = disk.contents(log);
        contents[offset] ^= 1;
        damaged.put_synced(log, contents);
        let error = open(&damaged).unwrap_err();
        assert!(
            matches!(error, Error::Corrupt { .. }),
            "byte {offset}: {error}"
        );
    }
    open(&disk).unwrap();
}

/// Guards against a stale vote or entry that sectors of an earlier file bring back.
#[test]
fn records_that_contradict_those_before_are_not_taken() {
    let terms = |term: u64, vote: u64| HardState {
        term,
        vote: Some(vote),
        commit: 0,
    };
    let stale = [
        Ready {
            hard_state: Some(terms(1, 5)),
            ..Ready::default()
        },
        Ready {
            hard_state: Some(terms(4, 6)),
            ..Ready::default()
        },
        Ready {
            entries: vec![entry(3, 1, 10)],
            ..Ready::default()
        },
    ];
    for ready_stale in stale {
        let (disk, _) = disk_with_log_end(0);
        let (mut store, _) = open(&disk).unwrap();
        store.save(&ready(vec![entry(2, 4, 30)], 4, true)).unwrap();
        let expected = open(&disk).unwrap().1.stored;
        let (mut store, _): (Store<Memory>, _) = open(&disk).unwrap();
        store.save(&ready_stale).unwrap();
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.stored, expected, "{ready_stale:?}");
        assert!(opened.dropped_bytes > 0);
    }
}

/// Guards against a start that trusts the older of the two synced lengths: bytes behind it may
/// have been acknowledged.
#[test]
fn damage_is_refused_while_a_synced_length_is_unreadable() {
    let (intact, stored) = disk_with_log_end(100);
    for slot in ["synced-0", "synced-1"] {
        for is_removed in [false, true] {
            let disk = intact.deep_copy();
            match is_removed {
                true => disk.remove_permanently(slot),
                false => disk.put_synced(slot, vec![3; 28]),
            }
            let damaged = disk.deep_copy();
            let log = log_name(&disk);
            damaged.put_synced(&log, [disk.contents(&log), vec![9; 40]].concat());
            let error = open(&damaged).unwrap_err();
            assert!(matches!(error, Error::Doubtful { .. }), "{slot}: {error}");
            // Without damage the length is written anew.
            let (_, opened) = open(&disk).unwrap();
            assert_eq!(opened.stored, stored);
            assert!(opened.notices[0].contains(slot), "{:?}", opened.notices);
            assert!(open(&disk).unwrap().1.notices.is_empty());
        }
    }
}

/// Guards against a start that overwrites the only readable synced length first, so that a power
/// loss leaves none and a shortened log goes unnoticed.
#[test]
fn one_synced_length_stays_readable_through_a_second_power_loss() {
    for seed in 0..200 {
        for slot in ["synced-0", "synced-1"] {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let (disk, _) = disk_with_log_end(100);
            // The next start stores a new length.
            let (mut store, _) = open(&disk).unwrap();
            store.save(&ready(vec![entry(2, 1, 30)], 2, false)).unwrap();
            disk.put_synced(slot, vec![3; 28]);
            // The start syncs the log and the folder, overwrites a length, and is cut off before
            // that is synced.
            disk.plan(3, Fault::Kill);
            open(&disk).unwrap_err();
            disk.crash(&mut rng);
            let log = log_name(&disk);
            let contents = disk.contents(&log);
            disk.put_synced(&log, contents[..40].to_vec());
            let error = open(&disk).unwrap_err();
            assert!(
                matches!(error, Error::SyncedDataLost { .. }),
                "seed {seed}, {slot}: {error}"
            );
        }
    }
}
