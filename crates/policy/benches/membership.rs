//! Bytes that membership costs a VM, quiet and while one VM is restarted, by number of VMs.
//!
//! `cargo bench -p policy --bench membership` prints the table from one seeded run. Time is the
//! network's own, so the figures don't depend on the machine; the last column is this machine's
//! processor time for one VM and one second.

#![expect(clippy::unwrap_used, reason = "a bench may panic")]

#[expect(dead_code, reason = "the bench cuts and freezes nothing")]
#[path = "../tests/membership_support/mod.rs"]
mod membership_support;

use std::time::Instant;

use membership_support::{Network, address};

/// Measured span, in seconds: the time between two restarts at the size of the plan.
const SPAN_S: u64 = 54;

/// Time after the start of all VMs at once until news of it has spread, in milliseconds.
const SETTLE_MS: u64 = 120_000;

fn main() {
    println!("VMs  quiet B/s/VM  1 restart a minute B/s/VM  detection ms  CPU us/s/VM");
    for vms in [9, 36, 100, 200] {
        let mut network = Network::new(vms, 1);
        network.run(SETTLE_MS);
        reset(&mut network);
        let started = Instant::now();
        network.run(SPAN_S * 1_000);
        let cpu = started.elapsed().as_micros() as f64 / (SPAN_S as f64 * f64::from(vms));
        let quiet = worst(&network);
        reset(&mut network);
        network.start(vms / 2, 2);
        network.run(SPAN_S * 1_000);
        let busy = worst(&network);
        let detection = detection_ms(&mut network, vms - 1);
        println!("{vms:>3}  {quiet:>12}  {busy:>25}  {detection:>12}  {cpu:>11.0}");
    }
}

fn reset(network: &mut Network) {
    for peer in network.peers.values_mut() {
        peer.sent_bytes = 0;
    }
}

/// Bytes a second of the VM that sent most.
fn worst(network: &Network) -> u64 {
    let most = network.peers.values().map(|peer| peer.sent_bytes).max();
    most.unwrap_or_default() as u64 / SPAN_S
}

/// Time from the kill of a VM until no VM counts it as live.
fn detection_ms(network: &mut Network, victim: u16) -> u64 {
    network.peers.get_mut(&address(victim)).unwrap().up = false;
    let name = network.peers[&address(victim)].vm.name.clone();
    let mut waited = 0;
    while network
        .peers
        .values()
        .any(|p| p.up && p.view.get(&name).is_some())
    {
        network.run(50);
        waited += 50;
    }
    waited
}
