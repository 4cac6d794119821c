//! A replica whose state is lost begins as a new one, without operators.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store::{Error, RecoveredState, Store};

use crate::{
    NAME, disk_after_workload, entry,
    fake::{Fault, Memory},
    open, ready,
};

fn open_or_rejoin(disk: &Memory, id: u64) -> Result<(Store<Memory>, RecoveredState), Error> {
    Store::open_or_rejoin(disk.clone(), NAME, id)
}

/// Changes a byte of a synced record.
fn damage(disk: &Memory, name: &str) {
    let mut contents = disk.contents(name);
    contents[20] ^= 1;
    disk.put_synced(name, contents);
}

/// Returns a disk whose log is damaged before its synced length.
fn damaged_disk() -> Memory {
    let disk = disk_after_workload();
    damage(&disk, "log-3");
    disk
}

/// Guards against a process that ends at each start for ever, and against a new replica that keeps
/// the id of the lost one and so can vote twice.
#[test]
fn lost_state_is_set_aside() {
    for name in ["log-3", "snapshot", "identity"] {
        for is_removed in [false, true] {
            let disk = disk_after_workload();
            match is_removed {
                true => disk.remove_permanently(name),
                false => damage(&disk, name),
            }
            disk.put_synced("hints", vec![1]);
            let left = disk.contents(name);
            assert!(open(&disk).unwrap_err().is_lost_state(), "{name}");
            let (store, opened) = open_or_rejoin(&disk, 77).unwrap();
            assert_eq!((store.id(), store.is_successor()), (77, true), "{name}");
            assert!(opened.has_rejoined);
            assert_eq!(opened.stored, consensus::PersistentState::default());
            assert_eq!(opened.notices.len(), 1);
            assert!(opened.notices[0].contains(name), "{}", opened.notices[0]);
            assert_eq!(disk.contents(&format!("lost-{name}")), left);
            assert_eq!(
                disk.contents("hints"),
                [1],
                "a file of another part was moved"
            );
            // Later starts are those of the new replica.
            let (store, opened) = open(&disk).unwrap();
            assert_eq!((store.id(), store.is_successor()), (77, true), "{name}");
            assert!(!opened.has_rejoined);
        }
    }
}

/// Guards against a rejoin that a kill or power loss leaves half done: the old id must not come
/// back once the new one is chosen, and later starts must succeed.
#[test]
fn kill_or_power_loss_during_a_rejoin_is_survived() {
    for seed in 0..50 {
        for loses_power in [false, true] {
            for operation in 0.. {
                let mut rng = Pcg64Mcg::seed_from_u64(seed);
                let disk = damaged_disk();
                disk.plan(operation, Fault::Kill);
                let is_done = open_or_rejoin(&disk, 77).is_ok();
                match loses_power {
                    true => disk.crash(&mut rng),
                    false => disk.kill(),
                }
                let what = format!("seed {seed}, operation {operation}");
                let (mut store, _) =
                    open_or_rejoin(&disk, 78).unwrap_or_else(|e| panic!("{what}: {e}"));
                let id = store.id();
                assert!([77, 78].contains(&id), "{what}: {id}");
                assert!(store.is_successor(), "{what}");
                store.save(&ready(vec![entry(1, 1)], 1, id)).unwrap();
                disk.crash(&mut rng);
                let (store, opened) = open(&disk).unwrap_or_else(|e| panic!("{what}: {e}"));
                assert_eq!(store.id(), id, "{what}");
                assert_eq!(opened.stored.entries, [entry(1, 1)], "{what}");
                if is_done {
                    assert_eq!(id, 77, "{what}");
                    break;
                }
            }
        }
    }
}

/// Guards against a second rejoin of the same process, whose id may have voted already.
#[test]
fn id_of_the_lost_replica_is_not_used_again() {
    let disk = damaged_disk();
    assert!(matches!(
        open_or_rejoin(&disk, 42).unwrap_err(),
        Error::Corrupt { .. }
    ));
    let (mut store, _) = open_or_rejoin(&disk, 77).unwrap();
    store.save(&ready(vec![entry(1, 1)], 1, 77)).unwrap();
    damage(&disk, "log-1");
    assert!(open_or_rejoin(&disk, 77).unwrap_err().is_lost_state());
    let (store, _) = open_or_rejoin(&disk, 78).unwrap();
    assert_eq!(store.id(), 78);
}

/// Guards against faults of the disk, the settings or another process that cost a replica its
/// state.
#[test]
fn state_is_kept_when_it_is_not_lost() {
    let disk = disk_after_workload();
    let (store, opened) = open_or_rejoin(&disk, 77).unwrap();
    assert_eq!((store.id(), opened.has_rejoined), (42, false));
    let other = Store::open_or_rejoin(disk.clone(), "control-2", 77).unwrap_err();
    assert!(matches!(other, Error::ReplicaNameMismatch { .. }));
    disk.plan(0, Fault::Full);
    let full = open_or_rejoin(&disk, 77).unwrap_err();
    assert!(matches!(full, Error::Full { .. }));
    assert_eq!(open(&disk).unwrap().0.id(), 42);
}

/// Guards against a rejoin in the folder of another replica, whose files would be set aside.
#[test]
fn folder_of_another_replica_is_kept_when_its_successor_file_is_damaged() {
    let disk = damaged_disk();
    open_or_rejoin(&disk, 77).unwrap();
    damage(&disk, "successor");
    let names = disk.names();
    let error = Store::open_or_rejoin(disk.clone(), "control-2", 78).unwrap_err();
    assert!(
        matches!(error, Error::ReplicaNameMismatch { .. }),
        "{error}"
    );
    assert_eq!(disk.names(), names);
}
