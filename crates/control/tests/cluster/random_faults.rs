//! Faults at random times, derived from a seed.

use rand::Rng;

use crate::{fake, network::Network};

/// Starts or ends a random fault with a small probability. Disks are not emptied: the repair tests
/// do that.
pub(crate) fn inject(net: &mut Network) {
    let count = net.nodes.len();
    let node = net.rng.random_range(0..count);
    let other = net.rng.random_range(0..count);
    match net.rng.random_range(0..1_200) {
        0..3 => net.kill(node, true),
        3..5 => net.kill(node, false),
        // The process dies in the middle of a later disk operation.
        5..9 => {
            let operations = net.rng.random_range(0..12);
            net.nodes[node].disk.plan(operations, fake::Fault::Kill);
        }
        9..11 => net.nodes[node].disk.plan(0, fake::Fault::Full),
        11..14 => net.nodes[node].is_frozen = true,
        14..22 => net.nodes[node].is_frozen = false,
        22..25 => {
            net.cuts.insert((node, other));
        }
        25..27 => {
            let pairs = (0..count).flat_map(|i| [(node, i), (i, node)]);
            net.cuts.extend(pairs);
        }
        27..32 => net.cuts.clear(),
        32..45 if net.nodes[node].machine.is_none() => net.start(node),
        45..47 => net.link_quality.lost = net.rng.random_range(0..30),
        47..49 => net.link_quality.delayed = net.rng.random_range(0..30),
        49..51 => net.link_quality.repeated = net.rng.random_range(0..30),
        // An isolated leader, which may believe that it still leads, is the worst case.
        51..53 => {
            if let Some(leader) = net.leader() {
                let pairs = (0..count).flat_map(|i| [(leader, i), (i, leader)]);
                net.cuts.extend(pairs);
            }
        }
        _ => {}
    }
}
