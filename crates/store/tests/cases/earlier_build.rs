//! Folders of earlier builds, which kept an unsynced synced length in `mark`, read by this build,
//! and the reverse.

use store::{Error, Store};

use crate::{
    disk_after_workload,
    fake::Memory,
    open,
    power_loss::{disk_with_log_end, log_name},
    workload,
};

/// Returns the contents of `mark` as earlier builds wrote it.
fn mark(sequence: u64, length: u64) -> Vec<u8> {
    let body = [sequence.to_le_bytes(), length.to_le_bytes()].concat();
    let length = (body.len() as u32).to_le_bytes();
    let checksums = [crc32fast::hash(&length), crc32fast::hash(&body)];
    let checksums = checksums.map(u32::to_le_bytes).concat();
    [length.to_vec(), checksums, body].concat()
}

/// Turns a folder into one that an earlier build wrote, with the given length in `mark`.
fn into_earlier(disk: &Memory, length: Option<usize>) {
    disk.remove_permanently("synced-0");
    disk.remove_permanently("synced-1");
    let log = log_name(disk);
    let sequence = log.strip_prefix("log-").unwrap().parse().unwrap();
    if let Some(length) = length {
        disk.put_synced("mark", mark(sequence, length as u64));
    }
}

/// Guards against an upgrade that refuses or changes an intact folder.
#[test]
fn folder_of_an_earlier_build_is_taken_over() {
    let intact = disk_after_workload();
    let length = intact.contents(&log_name(&intact)).len();
    for marked in [None, Some(length), Some(length - 10)] {
        let disk = intact.deep_copy();
        into_earlier(&disk, marked);
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.stored, workload().pop().unwrap().1);
        let names = disk.names();
        assert!(!names.contains(&"mark".to_owned()), "{names:?}");
        assert!(open(&disk).unwrap().1.notices.is_empty());
    }
}

/// Guards against damage in a folder of an earlier build that is dropped although its bytes may
/// have been acknowledged, and against a cut-short write that is refused.
#[test]
fn damage_in_a_folder_of_an_earlier_build() {
    let (intact, stored) = disk_with_log_end(100);
    let log = log_name(&intact);
    let synced = intact.contents(&log);
    let with_tail = |tail: &[u8], marked: Option<usize>| {
        let disk = intact.deep_copy();
        disk.put_synced(&log, [&synced, tail].concat());
        into_earlier(&disk, marked);
        open(&disk)
    };
    for marked in [None, Some(40), Some(synced.len())] {
        for tail in [&synced[..14], &[0; 50]] {
            let (_, opened): (Store<Memory>, _) = with_tail(tail, marked).unwrap();
            assert_eq!(opened.stored, stored);
            assert!(opened.notices[0].contains("a crash cut short"));
        }
        let error = with_tail(&[7; 50], marked).unwrap_err();
        assert!(matches!(error, Error::Doubtful { .. }), "{error}");
    }
    let error = with_tail(&[7; 50], Some(synced.len() + 50)).unwrap_err();
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
    let error = with_tail(&[], Some(synced.len() + 50)).unwrap_err();
    assert!(matches!(error, Error::SyncedDataLost { .. }), "{error}");
}

/// Guards against a start that trusts its own synced lengths after an earlier build has written to
/// the folder, as in a downgrade.
#[test]
fn damage_after_a_downgrade_is_refused() {
    let (disk, _) = disk_with_log_end(100);
    let log = log_name(&disk);
    let synced = disk.contents(&log);
    disk.put_synced("mark", mark(1, synced.len() as u64));
    disk.put_synced(&log, [synced, vec![7; 50]].concat());
    let error = open(&disk).unwrap_err();
    assert!(matches!(error, Error::Doubtful { .. }), "{error}");
}

/// Guards against files that the previous build can't read. Lengths and checksums are those of the
/// files that it wrote for the same workload; it ignores the other files.
#[test]
fn files_are_those_of_the_previous_build() {
    let disk = disk_after_workload();
    let expected = [
        ("identity", 23, 0xb1c1_eec9),
        ("log-3", 79, 0x5114_3b1d),
        ("snapshot", 117, 0x948d_7a6a),
    ];
    for (name, length, checksum) in expected {
        let contents = disk.contents(name);
        assert_eq!(contents.len(), length, "{name}");
        assert_eq!(crc32fast::hash(&contents), checksum, "{name}");
    }
    let expected = ["identity", "log-3", "snapshot", "synced-0", "synced-1"];
    assert_eq!(disk.names(), expected);
}
