//! Folders of a newer build, whose records have valid checksums but can't be decoded.

use store::{Error, Store};

use crate::{
    NAME, disk_after_workload,
    fake::Memory,
    open,
    power_loss::{disk_with_log_end, log_name},
};

/// Encodes a record with the given body.
fn record(body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_le_bytes();
    let checksums = [crc32fast::hash(&length), crc32fast::hash(body)];
    let checksums = checksums.map(u32::to_le_bytes).concat();
    [length.to_vec(), checksums, body.to_vec()].concat()
}

/// Returns records of formats that this build doesn't know: an enum variant or a field that is
/// missing here, and a body that ends early.
fn unknown_records() -> [Vec<u8>; 3] {
    // Each format of this build is shorter than the second body and longer than the third one.
    [record(&[250; 40]), record(&[0; 600]), record(&[])]
}

/// Asserts that a start of either kind refuses the folder because of `name`, and changes nothing.
fn assert_refused_unchanged(disk: &Memory, name: &str, what: &str) {
    let files = |disk: &Memory| {
        let names = disk.names().into_iter();
        names
            .map(|n| (n.clone(), disk.contents(&n)))
            .collect::<Vec<_>>()
    };
    let before = files(disk);
    let refusals = [
        open(disk).map(|_| ()),
        Store::open_or_rejoin(disk.clone(), NAME, 77).map(|_| ()),
    ];
    let [with_operators, without_operators] = refusals.map(Result::unwrap_err);
    assert!(
        matches!(&without_operators, Error::UnknownFormat { file, .. } if file == name),
        "{what}: {without_operators}"
    );
    assert!(!without_operators.is_lost_state(), "{what}");
    let text = without_operators.to_string();
    assert!(text.ends_with("start a newer build"), "{what}: {text}");
    assert_eq!(with_operators, without_operators, "{what}");
    assert_eq!(files(disk), before, "{what}");
}

/// Guards against a rollback to an older build that drops newer records, or makes each replica give
/// up its state, which would lose the quorum.
#[test]
fn log_record_of_a_newer_build_is_refused() {
    let (intact, _) = disk_with_log_end(100);
    let log = log_name(&intact);
    let synced = intact.contents(&log);
    let file_start = 12 + u32::from_le_bytes(synced[..4].try_into().unwrap()) as usize;
    for (number, unknown) in unknown_records().into_iter().enumerate() {
        for offset in [0, file_start, synced.len()] {
            for length_file in ["", "synced-0", "synced-1"] {
                let disk = intact.deep_copy();
                disk.remove_permanently(length_file);
                let contents = [&synced[..offset], &unknown, &synced[offset..]].concat();
                disk.put_synced(&log, contents);
                let what = format!("record {number} at byte {offset} without {length_file:?}");
                assert_refused_unchanged(&disk, &log, &what);
                let error = open(&disk).unwrap_err();
                let found =
                    matches!(error, Error::UnknownFormat { offset: o, .. } if o == offset as u64);
                assert!(found, "{what}: {error}");
            }
        }
    }
}

/// Guards against a rollback that takes a newer format of a file with one record for damage.
#[test]
fn file_of_a_newer_build_is_refused() {
    let intact = disk_after_workload();
    let files = [
        "identity",
        "snapshot",
        "successor",
        "synced-0",
        "synced-1",
        "mark",
    ];
    for name in files {
        for (number, unknown) in unknown_records().into_iter().enumerate() {
            let disk = intact.deep_copy();
            disk.put_synced(name, unknown);
            let what = format!("record {number} as {name}");
            assert_refused_unchanged(&disk, name, &what);
        }
    }
}

/// Guards against a rejoin because of damage in one file that gives up or overwrites another file
/// of a newer build.
#[test]
fn damage_beside_a_file_of_a_newer_build_leads_to_no_rejoin() {
    let intact = disk_after_workload();
    let log = log_name(&intact);
    let files = ["identity", "snapshot", "successor", "synced-0", &log];
    for name in files {
        for damaged in ["identity", "snapshot", &log] {
            if name == damaged {
                continue;
            }
            for is_removed in [false, true] {
                let disk = intact.deep_copy();
                let mut contents = disk.contents(damaged);
                contents[20] ^= 1;
                match is_removed {
                    true => disk.remove_permanently(damaged),
                    false => disk.put_synced(damaged, contents),
                }
                let [unknown, ..] = unknown_records();
                disk.put_synced(name, unknown);
                let what = format!("{name} beside {damaged}, removed: {is_removed}");
                assert_refused_unchanged(&disk, name, &what);
            }
        }
    }
}
