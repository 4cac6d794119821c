//! Random waits before a retry: their range, and that they differ between peers.

use std::{collections::BTreeSet, time::Duration};

use delivery::backoff::Backoff;

const FIRST: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_millis(800);

#[test]
fn waits_double_up_to_the_maximum_and_stay_between_half_and_full_length() {
    let mut backoff = Backoff::new(FIRST, MAX, 1);
    for (failures, max_ms) in [
        (0, 100),
        (1, 200),
        (2, 400),
        (3, 800),
        (4, 800),
        (9_999, 800),
    ] {
        let max = Duration::from_millis(max_ms);
        for _ in 0..100 {
            let wait = backoff.wait(failures);
            assert!(wait >= max / 2 && wait <= max, "{wait:?} of {max:?}");
        }
    }
}

#[test]
fn peers_that_lost_the_same_control_vm_reconnect_at_different_times() {
    let waits: BTreeSet<Duration> = (0..300)
        .map(|seed| Backoff::new(FIRST, MAX, seed).wait(0))
        .collect();
    assert!(waits.len() > 290, "only {} different waits", waits.len());
}
