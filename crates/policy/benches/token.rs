//! What an entry VM on the users' platform pays for a packet and for an announcement, by the number
//! of upstreams.
//!
//! `cargo bench -p policy --bench token` prints the table. Times are this machine's.

#![expect(clippy::unwrap_used, reason = "a bench may panic")]

#[path = "../tests/token_support/mod.rs"]
mod token_support;

use std::time::Instant;

use model::routing::{Announced, Incarnation};
use policy::token::gateway::Gateway;
use token_support::{
    SETTLED_MS, agreed_state, announcement, at, chosen_upstream, control_vm, data_packet,
    empty_gateway, opening_packet, plan,
};

/// Packets of each kind.
const PACKETS: u16 = 20_000;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

fn main() {
    println!("upstreams  opening us  data us  announced us  replaced us  repeated us");
    for count in [18, 150, 1_000, 6_500] {
        let mut gateway = empty_gateway();
        gateway.apply_plan(plan(1));
        gateway.agree(agreed_state(1, &[]));
        gateway.add_control_stream(control_vm(1));
        let told = micros(count, |n| tell(&mut gateway, n, n, 1_000));
        gateway.mark_control_stream_synced(at(0), control_vm(1));

        let opened = micros(PACKETS.into(), |n| {
            let port = u16::try_from(n).unwrap();
            let ms = SETTLED_MS + n / 40;
            chosen_upstream(gateway.decide(at(ms), &opening_packet(port, 0))).unwrap();
        });
        let passed = micros(PACKETS.into(), |n| {
            let port = u16::try_from(n).unwrap();
            let token = u32::try_from(1 + n % count).unwrap();
            let ms = SETTLED_MS + 1_000 + n / 400;
            gateway.decide(at(ms), &data_packet(port, token, 101, 50, 1));
        });
        // Others start at the same addresses, as after a failure domain has lost power.
        let replaced = micros(count, |n| tell(&mut gateway, count + n, n, 9_000));
        let repeated = micros(count, |n| tell(&mut gateway, count + n, n, 9_000));
        println!(
            "{count:>9}  {opened:>10.2}  {passed:>7.2}  {told:>12.2}  {replaced:>11.2}  \
             {repeated:>11.2}"
        );
    }
}

/// Announces upstream `id` at the address of number `place`.
fn tell(gateway: &mut Gateway, id: u64, place: u64, started_ms: u64) {
    let domain = DOMAINS[usize::try_from(place % 4).unwrap()];
    let news = Announced {
        incarnation: Incarnation {
            id: id + 1,
            started_ms,
        },
        address: announcement(place, domain).address,
        ..announcement(id + 1, domain)
    };
    gateway.announce(at(0), control_vm(1), news, 0);
}

/// Runs `act` for each number below `times`; returns the mean time in microseconds.
fn micros(times: u64, mut act: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    for number in 0..times {
        act(number);
    }
    // Counts are far below the precision of the type.
    #[expect(clippy::cast_precision_loss)]
    let mean = started.elapsed().as_secs_f64() * 1e6 / times as f64;
    mean
}
