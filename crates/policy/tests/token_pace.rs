//! Pacing of bursts on a slow link: rate, order and waiting times of packets.

mod token_support;

use policy::{time::Instant, token::pace::Pacer};
use token_support::at;

/// Size of a full packet with its headers, in bytes.
const FULL_PACKET_BYTES: usize = 1_240;

/// Sends all queued packets. Returns the time when each packet was sent, in microseconds.
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
fn burst_is_sent_at_the_rate_of_the_link() {
    let mut pacer = Pacer::new(2.0);
    let mut at_once = 0;
    for number in 0..16 {
        match pacer.try_reserve(at(0), FULL_PACKET_BYTES) {
            true => at_once += 1,
            false => pacer.push(FULL_PACKET_BYTES, number).unwrap(),
        }
    }
    assert!(at_once <= 3, "{at_once} packets sent at once");
    let sent = drain(&mut pacer, at(0));
    assert_eq!(sent.len(), 16 - at_once);
    // 16 packets of 1,268 bytes on the link take 81 ms at 2 Mbit/s.
    let last_ms = sent.last().map_or(0, |(us, _)| us / 1_000);
    assert!(
        (70..110).contains(&last_ms),
        "last packet sent after {last_ms} ms"
    );
}

#[test]
fn small_packets_are_sent_before_large_ones_and_in_order() {
    let mut pacer = Pacer::new(2.0);
    while pacer.try_reserve(at(0), FULL_PACKET_BYTES) {}
    for (bytes, name) in [
        (FULL_PACKET_BYTES, "large 1"),
        (60, "small 1"),
        (FULL_PACKET_BYTES, "large 2"),
        (60, "small 2"),
    ] {
        pacer.push(bytes, name).unwrap();
    }
    let order: Vec<&str> = drain(&mut pacer, at(0))
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(order, ["small 1", "small 2", "large 1", "large 2"]);
}

#[test]
fn packet_that_would_wait_until_its_retransmission_is_rejected() {
    let mut pacer = Pacer::new(2.0);
    while pacer.try_reserve(at(0), FULL_PACKET_BYTES) {}
    let accepted = (0..100)
        .take_while(|n| pacer.push(FULL_PACKET_BYTES, *n).is_ok())
        .count();
    assert!((25..45).contains(&accepted), "{accepted} packets accepted");
    let sent = drain(&mut pacer, at(0));
    assert_eq!(sent.len(), accepted);
    assert!(sent.iter().all(|(us, _)| *us < 200_000));
}

#[test]
fn fast_link_delays_no_packet() {
    let mut pacer: Pacer<()> = Pacer::new(1_000.0);
    for ms in 0..100 {
        for _ in 0..50 {
            assert!(pacer.try_reserve(at(ms), FULL_PACKET_BYTES));
        }
    }
}
