//! Short soak runs with fixed seeds. Seeds that once failed stay here as regression tests, each with
//! the cause of the failure.

use soak::run::{self, Settings};
use standin::{experiment::build, platform::system::Size};

fn assert_guarantees_hold(settings: Settings) {
    let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
    let violations = run::run(settings, &programs).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(violations, [], "seed {}", settings.seed);
}

#[test]
fn guarantees_hold_under_the_faults_of_a_seed() {
    assert_guarantees_hold(Settings {
        seed: 1,
        length_ms: 8_000,
        size: Size {
            controls: 4,
            entries: 3,
        },
        net: 79,
    });
}

#[test]
fn sighup_during_start_does_not_end_a_daemon() {
    // A control VM restarts on an empty disk shortly before all daemons get SIGHUP. The signal used
    // to end a daemon that had not installed its SIGHUP handler yet.
    assert_guarantees_hold(Settings {
        seed: 15,
        length_ms: 15_000,
        size: Size {
            controls: 4,
            entries: 6,
        },
        net: 76,
    });
}
