//! Short runs of fixed seeds. Seeds that failed once stay here, each with its cause.

use soak::run::{self, Settings};
use standin::{experiment::build, platform::system::Size};

fn play(settings: Settings) {
    let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
    let broken = run::run(settings, &programs).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(broken, [], "seed {}", settings.seed);
}

#[test]
fn promises_hold_under_the_faults_of_a_seed() {
    play(Settings {
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
fn sighup_that_meets_a_start_ends_no_daemon() {
    // A control VM starts again on an empty disk shortly before all daemons get SIGHUP, which ended
    // those that did not listen for it yet.
    play(Settings {
        seed: 15,
        length_ms: 15_000,
        size: Size {
            controls: 4,
            entries: 6,
        },
        net: 76,
    });
}
