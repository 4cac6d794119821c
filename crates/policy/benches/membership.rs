//! Measures the bytes that membership sends per VM, idle and while one VM restarts, by number of
//! VMs.
//!
//! `cargo bench -p policy --bench membership` prints the table from one seeded run. Time is
//! simulated, so the figures do not depend on the machine, except the last column: the processor
//! time that the simulation of one VM takes per simulated second.

#![expect(clippy::unwrap_used, reason = "a bench may panic")]

#[expect(dead_code, reason = "the bench uses no cuts or freezes")]
#[path = "../tests/membership_support/mod.rs"]
mod membership_support;

use std::time::Instant;

use membership_support::{Network, address};

/// Measured time, in seconds: the time between two restarts of VMs in a planned deployment.
const MEASURED_S: u64 = 54;

/// Time after the simultaneous start of all VMs until the updates have spread, in milliseconds.
const SETTLE_MS: u64 = 120_000;

fn main() {
    println!("VMs   idle B/s/VM  1 restart a minute B/s/VM  detection ms  CPU us/s/VM");
    for vms in [9, 36, 100, 200] {
        let mut network = Network::new(vms, 1);
        network.run(SETTLE_MS);
        reset_sent_bytes(&mut network);
        let started = Instant::now();
        network.run(MEASURED_S * 1_000);
        let cpu = started.elapsed().as_micros() as f64 / (MEASURED_S as f64 * f64::from(vms));
        let idle = max_bytes_per_second(&network);
        reset_sent_bytes(&mut network);
        network.start(vms / 2, 2);
        network.run(MEASURED_S * 1_000);
        let restarting = max_bytes_per_second(&network);
        let detection = detection_ms(&mut network, vms - 1);
        println!("{vms:>3}  {idle:>12}  {restarting:>25}  {detection:>12}  {cpu:>11.0}");
    }
}

fn reset_sent_bytes(network: &mut Network) {
    for peer in network.peers.values_mut() {
        peer.sent_bytes = 0;
    }
}

/// Returns the bytes per second of the VM that sent the most.
fn max_bytes_per_second(network: &Network) -> u64 {
    let most = network.peers.values().map(|peer| peer.sent_bytes).max();
    most.unwrap_or_default() as u64 / MEASURED_S
}

/// Kills a VM and returns the time until no other VM considers it live, in milliseconds.
fn detection_ms(network: &mut Network, killed: u16) -> u64 {
    network.peers.get_mut(&address(killed)).unwrap().up = false;
    let name = network.peers[&address(killed)].vm.name.clone();
    let mut waited_ms = 0;
    while network
        .peers
        .values()
        .any(|p| p.up && p.view.get(&name).is_some())
    {
        network.run(50);
        waited_ms += 50;
    }
    waited_ms
}
