//! Faults at random times, from a seed.

use rand::Rng;

use crate::{fake, network::Network};

/// Lets a fault begin or end now and then. No disk is emptied: that is for repairs.
pub(crate) fn inject(net: &mut Network) {
    let count = net.nodes.len();
    let node = net.rng.random_range(0..count);
    let other = net.rng.random_range(0..count);
    match net.rng.random_range(0..1_200) {
        0..3 => net.kill(node, true),
        3..5 => net.kill(node, false),
        // It dies in the middle of a write that is to come.
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
        45..47 => net.quality.lost = net.rng.random_range(0..30),
        47..49 => net.quality.delayed = net.rng.random_range(0..30),
        49..51 => net.quality.repeated = net.rng.random_range(0..30),
        // A leader that is alone with its view is the worst case.
        51..53 => {
            if let Some(leader) = net.leader() {
                let pairs = (0..count).flat_map(|i| [(leader, i), (i, leader)]);
                net.cuts.extend(pairs);
            }
        }
        _ => {}
    }
}
