//! Simulation of a load with four ways to know what other entry VMs place, without a network.
//!
//! 90 entry VMs in three failure domains stand in front of 150 upstreams with two slots and a queue of
//! eight requests. A tenth of the upstreams is three times as slow and doesn't say so. The load is 0.7
//! of the capacity, and 1.3 times as much for three seconds. The table in docs/design/load.md comes from
//! `cargo test -p policy --test token_shared_work -- --nocapture --include-ignored`.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

/// The table of a control VM, from its source: the crate `control` has many dependencies, and this
/// module needs none of them.
#[path = "../../control/src"]
#[allow(dead_code, reason = "the simulation uses a part")]
#[allow(unreachable_pub, reason = "the module is public in its crate")]
mod control {
    pub mod work_table;
}

#[path = "shared_work/mod.rs"]
mod shared_work;

use shared_work::{Fault, Simulation, Way};

/// Faults of the table, after the run without any.
const FAULTS: [Option<Fault>; 5] = [
    None,
    Some(Fault::Partition),
    Some(Fault::FrozenVm),
    Some(Fault::LostControl),
    Some(Fault::NewVms),
];

/// Runs one way without and with each fault, and prints a line of the table.
fn run(way: Way) -> shared_work::Results {
    let [plain, faulty @ ..] = std::thread::scope(|scope| {
        let runs = FAULTS.map(|fault| scope.spawn(move || Simulation::new(way, fault).run()));
        runs.map(|run| run.join().unwrap())
    });
    let shares = faulty.map(|results| format!("{:.3}", results.in_time_share()));
    eprintln!(
        "| {way:?} | {:.3} | {} | {:.2} | {:.0} | {:.0} | {:.3} | {} |",
        plain.in_time_share(),
        plain.refused,
        plain.busiest,
        plain.bytes_per_s,
        plain.age_ms,
        plain.herd,
        shares.join(" | ")
    );
    plain
}

/// Guards against a shared view that costs more than its budget of 0.5 KB/s for each entry VM.
#[test]
fn shared_view_stays_within_its_budget() {
    let results = Simulation::new(Way::Digests, None).run();
    assert!(results.bytes_per_s < 512.0, "{results:?}");
}

/// Guards against a shared view that steers worse than what each VM sees.
#[test]
fn digests_serve_more_requests_than_what_each_vm_sees() {
    let [today, digests] = std::thread::scope(|scope| {
        let runs = [Way::Today, Way::Digests]
            .map(|way| scope.spawn(move || Simulation::new(way, None).run()));
        runs.map(|run| run.join().unwrap())
    });
    assert!(digests.refused < today.refused, "{digests:?}");
    assert!(
        digests.in_time_share() > today.in_time_share(),
        "{digests:?}"
    );
}

/// Prints the table of docs/design/load.md.
#[test]
#[ignore = "takes 45 s and checks nothing beyond the test above"]
fn table_of_four_ways() {
    for way in [Way::Today, Way::Digests, Way::Probes, Way::Subsets] {
        run(way);
    }
}
