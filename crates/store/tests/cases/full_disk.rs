//! A disk that refuses writes for a while, from each operation on, and whose files can be read
//! meanwhile. Guards against a store that a failed write leaves unusable, or that takes the remains of
//! such a write for lost state and begins as a new replica.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store::{Error, RecoveredState, Store};

use super::{NAME, Step, fake::Memory, is_valid_recovery, ready, workload};

/// Id of the replica, and the first of the ids for later starts, of which none may be taken.
const ID: u64 = 42;
const OTHER_IDS: u64 = 1_000;

/// Number of operations for which the disk is full. The longest spans several attempts to open the
/// folder, each of which reaches another operation.
const SPANS: [u64; 5] = [1, 2, 3, 5, 40];

/// What happens to the process once a write has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    Never,
    Killed,
    PowerLoss,
}

/// Opens the folder as the daemon does, again and again until the disk has room.
fn open_when_possible(disk: &Memory, restarts: &mut u64) -> (Store<Memory>, RecoveredState) {
    loop {
        *restarts += 1;
        match Store::open_or_rejoin(disk.clone(), NAME, OTHER_IDS + *restarts) {
            Ok(opened) => return opened,
            Err(error) => {
                assert!(matches!(error, Error::Full { .. }), "{error}");
                assert!(!error.is_permanent());
                assert!(*restarts < 200, "the folder is never opened: {error}");
            }
        }
    }
}

/// Runs the workload; a failed step is repeated after the folder was opened again. Returns the last
/// store.
fn run(disk: &Memory, restart: Restart, rng: &mut Pcg64Mcg) -> Store<Memory> {
    let first = loop {
        match Store::open_or_rejoin(disk.clone(), NAME, ID) {
            Ok((store, _)) => break store,
            Err(error) => assert!(matches!(error, Error::Full { .. }), "{error}"),
        }
    };
    let mut store = first;
    let mut restarts = 0;
    for (done, (step, _)) in workload().into_iter().enumerate() {
        while let Err(error) = attempt(&mut store, step) {
            assert!(matches!(error, Error::Full { .. }), "step {done}: {error}");
            match restart {
                Restart::Never => {}
                Restart::Killed => disk.kill(),
                Restart::PowerLoss => disk.crash(rng),
            }
            let opened;
            (store, opened) = open_when_possible(disk, &mut restarts);
            assert!(!opened.has_rejoined, "{:?}", opened.notices);
            assert!(
                is_valid_recovery(&opened.stored, done),
                "step {done}: {:?}",
                opened.stored
            );
        }
    }
    store
}

fn attempt(
    store: &mut Store<Memory>,
    step: fn(&mut Store<Memory>) -> Result<(), Error>,
) -> Result<(), Error> {
    let outcome = step(store);
    if outcome.is_err() {
        let later = store.save(&ready(vec![], 99, 99));
        assert_eq!(later, Err(Error::EarlierWriteFailed));
    }
    outcome
}

/// Returns the number of operations of the workload on a disk with room.
fn operations() -> u64 {
    (1..)
        .find(|operations| {
            let disk = Memory::default();
            disk.plan_full(*operations, 1);
            let steps: Vec<Step> = workload();
            let (mut store, _) = match Store::open_or_rejoin(disk.clone(), NAME, ID) {
                Ok(opened) => opened,
                Err(_) => return false,
            };
            steps.iter().all(|(step, _)| step(&mut store).is_ok())
        })
        .unwrap_or_default()
}

#[test]
fn store_is_usable_again_whichever_operation_found_the_disk_full() {
    let operations = operations();
    assert!(operations > 40, "{operations}");
    for restart in [Restart::Never, Restart::Killed, Restart::PowerLoss] {
        for (first, span) in (0..operations).flat_map(|first| SPANS.map(|span| (first, span))) {
            let mut rng = Pcg64Mcg::seed_from_u64(first);
            let disk = Memory::default();
            disk.plan_full(first, span);
            let store = run(&disk, restart, &mut rng);
            assert_eq!(store.id(), ID, "{restart:?}, {first}, {span}");
            drop(store);
            disk.crash(&mut rng);
            let (store, opened) = Store::open_or_rejoin(disk, NAME, OTHER_IDS).unwrap();
            let wanted = workload().pop().unwrap().1;
            assert_eq!(opened.stored, wanted, "{restart:?}, {first}, {span}");
            assert_eq!(store.id(), ID);
        }
    }
}

/// The disk is full twice, the second time while the remains of the first are repaired.
#[test]
fn store_is_usable_again_after_the_disk_was_full_twice() {
    for first in 0..operations() {
        for pause in 0..12 {
            let mut rng = Pcg64Mcg::seed_from_u64(first);
            let disk = Memory::default();
            disk.plan_full(first, 1);
            let Ok((mut store, _)) = Store::open_or_rejoin(disk.clone(), NAME, ID) else {
                continue;
            };
            let steps = workload();
            let failed = steps.iter().position(|(step, _)| step(&mut store).is_err());
            disk.plan_full(pause, 2);
            let Some(failed) = failed else { continue };
            let mut restarts = 0;
            let (mut store, opened) = open_when_possible(&disk, &mut restarts);
            assert!(
                !opened.has_rejoined,
                "{first}, {pause}: {:?}",
                opened.notices
            );
            assert!(is_valid_recovery(&opened.stored, failed));
            for (step, _) in &steps[failed..] {
                while step(&mut store).is_err() {
                    let (reopened, opened) = open_when_possible(&disk, &mut restarts);
                    assert!(
                        !opened.has_rejoined,
                        "{first}, {pause}: {:?}",
                        opened.notices
                    );
                    store = reopened;
                }
            }
            disk.crash(&mut rng);
            let (_, opened) = Store::open_or_rejoin(disk, NAME, OTHER_IDS).unwrap();
            assert_eq!(opened.stored, steps.last().unwrap().1, "{first}, {pause}");
        }
    }
}

#[test]
fn folder_is_refused_as_full_until_the_disk_has_room() {
    let disk = super::disk_after_workload();
    disk.set_full(true);
    for _ in 0..10 {
        let error = Store::open_or_rejoin(disk.clone(), NAME, OTHER_IDS).unwrap_err();
        assert!(matches!(error, Error::Full { .. }), "{error}");
    }
    disk.set_full(false);
    let (store, opened) = Store::open_or_rejoin(disk, NAME, OTHER_IDS).unwrap();
    assert_eq!(store.id(), ID);
    assert_eq!(opened.stored, workload().pop().unwrap().1);
}
