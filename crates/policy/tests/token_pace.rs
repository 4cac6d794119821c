//! What a slow link carries of bursts, and what waits for how long.

mod token_support;

use policy::{time::Instant, token::pace::Pacer};
use token_support::at;

/// A full packet with what goes before it, in bytes.
const FULL: usize = 1_240;

/// Sends what waits until nothing does; returns when each packet went, in microseconds.
fn drain<T>(pacer: &mut Pacer<T>, now: Instant) -> Vec<(u64, T)> {
    let mut sent = Vec::new();
    let mut now = now;
    loop {
        while let Some(packet) = pacer.pop(now) {
            sent.push((now.0, packet));
        }
        match pacer.next_send_at() {
            Some(next) => now = next,
            None => return sent,
        }
    }
}

#[test]
fn a_burst_leaves_at_the_rate_of_the_link() {
    let mut pacer = Pacer::new(2.0);
    let mut at_once = 0;
    for number in 0..16 {
        match pacer.try_reserve(at(0), FULL) {
            true => at_once += 1,
            false => pacer.push(FULL, number).unwrap(),
        }
    }
    assert!(at_once <= 3, "{at_once} at once");
    let sent = drain(&mut pacer, at(0));
    assert_eq!(sent.len(), 16 - at_once);
    // 16 packets of 1,268 bytes on the link take 81 ms at 2 Mbit/s.
    let last_ms = sent.last().map_or(0, |(us, _)| us / 1_000);
    assert!((70..110).contains(&last_ms), "{last_ms} ms");
}

#[test]
fn small_packets_go_before_large_ones_and_in_order() {
    let mut pacer = Pacer::new(2.0);
    while pacer.try_reserve(at(0), FULL) {}
    for (bytes, name) in [
        (FULL, "large 1"),
        (60, "small 1"),
        (FULL, "large 2"),
        (60, "small 2"),
    ] {
        pacer.push(bytes, name).unwrap();
    }
    let order: Vec<&str> = drain(&mut pacer, at(0))
        .into_iter()
        .map(|(_, n)| n)
        .collect();
    assert_eq!(order, ["small 1", "small 2", "large 1", "large 2"]);
}

#[test]
fn what_would_wait_until_it_is_repeated_is_given_back() {
    let mut pacer = Pacer::new(2.0);
    while pacer.try_reserve(at(0), FULL) {}
    let taken = (0..100)
        .take_while(|n| pacer.push(FULL, *n).is_ok())
        .count();
    assert!((25..45).contains(&taken), "{taken} packets");
    let sent = drain(&mut pacer, at(0));
    assert_eq!(sent.len(), taken);
    assert!(sent.iter().all(|(us, _)| *us < 200_000));
}

#[test]
fn a_fast_link_holds_nothing_up() {
    let mut pacer: Pacer<()> = Pacer::new(1_000.0);
    for ms in 0..100 {
        for _ in 0..50 {
            assert!(pacer.try_reserve(at(ms), FULL));
        }
    }
}
