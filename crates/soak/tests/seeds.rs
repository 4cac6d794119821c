//! A short run of fixed seeds. Seeds that failed once stay here, each with its cause.

use soak::run::{self, Settings};
use standin::{experiment::build, platform::system::Size};

fn play(seed: u64) {
    let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
    let settings = Settings {
        seed,
        length_ms: 8_000,
        size: Size {
            controls: 4,
            entries: 3,
        },
        net: 79,
    };
    let broken = run::run(settings, &programs).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(broken, [], "seed {seed}");
}

#[test]
fn promises_hold_under_the_faults_of_a_seed() {
    play(1);
}
