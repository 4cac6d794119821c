//! Tests the costs of requests, the digest of what an entry VM has placed, and the view of what all
//! have placed.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::net::{SocketAddr, SocketAddrV4};

use model::work::{Digest, Entry, Fault, Summary};
use policy::token::{
    cost::Table,
    gateway::Gateway,
    segment::Kind,
    work::{Ledger, OpenFlow, Response, View},
};
use token_support::{
    ROUTE, SETTLED_MS, at, chosen_upstream, control_vm, data_packet, gateway, opening_packet,
};

fn route() -> SocketAddrV4 {
    ROUTE.parse().unwrap()
}

fn entry(token: u32, flows: u16, demand_milli: u32) -> Entry {
    Entry {
        token,
        flows,
        demand_milli,
        ..Entry::default()
    }
}

fn summary(sequence: u64, entries: &[Entry]) -> Summary {
    Summary {
        sequence,
        reporters: 3,
        entries: entries.to_vec(),
    }
}

fn flows(count: usize, token: u32, demand: f32) -> Vec<OpenFlow> {
    vec![OpenFlow { token, demand }; count]
}

fn take(ledger: &mut Ledger, receiver: u8, previous: u64, flows: Vec<OpenFlow>) -> Digest {
    ledger.take_digest(at(5_000), control_vm(receiver), previous, flows, 150)
}

/// Guards against a cost that ignores the tail: of requests of 15 ms, three of a hundred take 105 ms,
/// so that one which has lasted 20 ms is likely to last much longer.
#[test]
fn request_that_has_lasted_long_is_expected_to_last_longer() {
    let mut table = Table::default();
    for number in 0..500_u64 {
        let took_ms = if number % 33 == 0 { 105 } else { 15 };
        table.record(at(number * 10), route(), took_ms);
    }
    assert!((16.0..20.0).contains(&table.mean_ms(route())));
    let (young, old) = (
        table.remaining_ms(route(), 5),
        table.remaining_ms(route(), 20),
    );
    assert!(young < 15.0 && old > 70.0, "{young} and {old}");
    // Beyond all samples a request is expected to take as long again.
    assert!(table.remaining_ms(route(), 2_000) >= 1_000.0);
}

/// Guards against demand that misses open feeds, or counts flows of one request as if they went on.
#[test]
fn demand_covers_the_work_that_open_flows_still_ask_for() {
    let mut table = Table::default();
    for number in 0..400_u64 {
        table.record(at(number * 20), route(), 40);
        // A feed of a minute with a request every two seconds.
        table.record_request(at(number * 20), route(), 2_000, 1);
        if number % 30 == 0 {
            table.record_flow(at(number * 20), route());
        }
    }
    let feed = table.flow_demand(route());
    assert!((0.017..0.022).contains(&feed), "{feed}");
    let mut table = Table::default();
    for number in 0..400_u64 {
        table.record(at(number * 20), route(), 52);
        table.record_flow(at(number * 20), route());
        table.record_request(at(number * 20), route(), 60, 1);
    }
    // The sum over the open time and the request is the cost.
    let single = table.flow_demand(route()) * 60.0 + table.request_demand(route()) * 2_000.0;
    assert!((45.0..56.0).contains(&single), "{single}");
}

/// Guards against costs that grow in an overload until waits seem usual, and against costs that never
/// follow requests which have become slower for good.
#[test]
fn samples_under_load_are_taken_only_now_and_then() {
    let mut table = Table::default();
    assert!(table.needs_sample(at(0), route()));
    for number in 0..20 {
        table.record(at(number), route(), 40);
    }
    assert!(!table.needs_sample(at(1_000), route()));
    assert!(table.needs_sample(at(3_000), route()));
}

/// Guards against a first digest without the full state, and against digests that repeat it.
#[test]
fn first_digest_is_full_and_later_ones_contain_changes() {
    let mut ledger = Ledger::new(1);
    let all: Vec<OpenFlow> = (1..=40).flat_map(|t| flows(3, t, 0.2)).collect();
    let first = take(&mut ledger, 1, 0, all.clone());
    assert_eq!((first.sequence, first.entries.len()), (1, 40));
    let second = take(&mut ledger, 1, 1, all.clone());
    assert_eq!((second.sequence, second.entries.len()), (2, 0));
    let third = take(&mut ledger, 1, 2, all[3..].to_vec());
    assert_eq!(third.entries, [entry(1, 0, 0)]);
    // Another control VM has no state yet.
    let moved = take(&mut ledger, 2, 7, all[3..].to_vec());
    assert_eq!((moved.sequence, moved.entries.len()), (1, 39));
}

/// Guards against digests that grow with the load, and against small changes that are never sent.
#[test]
fn digest_is_bounded_and_every_change_is_sent_in_time() {
    let mut ledger = Ledger::new(1);
    let before: Vec<OpenFlow> = (1..=150).flat_map(|t| flows(1, t, 0.1)).collect();
    let mut sequence = 0;
    let mut known = std::collections::BTreeMap::new();
    for _ in 0..3 {
        let digest = take(&mut ledger, 1, sequence, before.clone());
        sequence = digest.sequence;
        assert!(digest.entries.len() <= model::work::MAX_ENTRIES);
        known.extend(digest.entries.iter().map(|e| (e.token, e.flows)));
    }
    assert_eq!(known.len(), 150);
    let after: Vec<OpenFlow> = (1..=150).flat_map(|t| flows(2, t, 0.1)).collect();
    let mut sent = 0;
    for _ in 0..12 {
        let digest = take(&mut ledger, 1, sequence, after.clone());
        sequence = digest.sequence;
        assert!(digest.entries.len() <= model::work::MAX_ENTRIES);
        sent += digest.entries.len();
        known.extend(digest.entries.iter().map(|e| (e.token, e.flows)));
    }
    assert!(known.values().all(|flows| *flows == 2), "{known:?}");
    // What was saved up, and 13 for each digest.
    assert!(sent <= 10 * 13 + 12 * 13, "{sent}");
}

/// Guards against a bias of the sums: each VM rounds the demand, and 90 errors in one direction would
/// amount to several slots.
#[test]
fn rounded_demand_of_many_vms_has_the_right_sum() {
    let mut sum_milli = 0;
    for vm in 0..90 {
        let mut ledger = Ledger::new(vm);
        let digest = take(&mut ledger, 1, 0, flows(1, 77, 0.02));
        sum_milli += digest.entries[0].demand_milli;
    }
    assert!((1_400..2_200).contains(&sum_milli), "{sum_milli}");
}

/// Guards against refusals that count as fast responses.
#[test]
fn refusal_replaces_the_response_that_was_recorded_for_it() {
    let mut ledger = Ledger::new(1);
    let response = |waited_ms| Response {
        waited_ms,
        usual_ms: 40.0,
    };
    ledger.record_response(9, response(50.0));
    ledger.record_response(9, response(200.0));
    ledger.record_refusal(9, Some(response(200.0)));
    let digest = take(&mut ledger, 1, 0, Vec::new());
    let expected = Entry {
        token: 9,
        requests: 2,
        refused: 1,
        waited_ms: 50,
        usual_ms: 40,
        ..Entry::default()
    };
    assert_eq!(digest.entries, [expected]);
}

/// Guards against placements that are unknown between two digests.
#[test]
fn flows_since_the_last_digest_are_known() {
    let mut ledger = Ledger::new(1);
    ledger.record_placed(OpenFlow {
        token: 9,
        demand: 0.5,
    });
    assert_eq!(ledger.placed_since_digest(9), (1, 0.5));
    take(&mut ledger, 1, 0, flows(1, 9, 0.5));
    assert_eq!(ledger.placed_since_digest(9), (0, 0.0));
}

/// Guards against a view that forgets part of the sources.
#[test]
fn view_adds_up_control_vms() {
    let mut view = View::default();
    assert_eq!(view.load(at(0), 5), None);
    let slow = Entry {
        requests: 20,
        waited_ms: 2_400,
        usual_ms: 800,
        refused: 5,
        ..entry(5, 10, 700)
    };
    view.apply_summary(at(0), control_vm(1), summary(1, &[slow]));
    view.apply_summary(at(500), control_vm(2), summary(1, &[entry(5, 4, 300)]));
    let load = view.load(at(1_000), 5).unwrap();
    assert_eq!((load.flows, load.demand, load.age_ms), (14, 1.0, 1_000));
    assert!((2.5..3.0).contains(&load.slowness), "{load:?}");
    assert!((0.15..0.25).contains(&load.refused_share), "{load:?}");
    // Nothing is known of an upstream that no control VM names: it may be out of the reach of the
    // VMs that report.
    assert_eq!(view.load(at(1_000), 6), None);
}

/// Guards against a slow upstream that counts as slow for long after it has recovered.
#[test]
fn slowness_decays() {
    let mut view = View::default();
    let slow = Entry {
        requests: 5,
        waited_ms: 600,
        usual_ms: 200,
        ..entry(5, 1, 0)
    };
    view.apply_summary(at(0), control_vm(1), summary(1, &[slow]));
    let slowness = |view: &View, ms| view.load(at(ms), 5).unwrap().slowness;
    assert!(slowness(&view, 0) > 2.5);
    for second in 1..=9 {
        view.apply_summary(at(second * 1_000), control_vm(1), summary(second + 1, &[]));
    }
    assert!(slowness(&view, 9_000) < 1.3);
}

/// Failure "a digest or summary is lost or late": guards against values that seem fresh although
/// their changes may be lost.
#[test]
fn values_expire_after_silence_and_after_a_gap() {
    let mut view = View::default();
    let both = [entry(5, 1, 0), entry(6, 1, 0)];
    view.apply_summary(at(0), control_vm(1), summary(1, &both));
    assert_eq!(view.load(at(2_999), 5).unwrap().age_ms, 2_999);
    assert_eq!(view.load(at(3_000), 5), None);
    view.apply_summary(at(1_000), control_vm(1), summary(2, &[]));
    assert_eq!(view.load(at(3_500), 5).unwrap().age_ms, 2_500);
    // Summary 3 is lost. It may have contained a change of either upstream.
    view.apply_summary(at(3_000), control_vm(1), summary(4, &[entry(6, 2, 0)]));
    view.apply_summary(at(4_000), control_vm(1), summary(5, &[]));
    assert_eq!(view.load(at(4_000), 5), None);
    assert_eq!(view.load(at(4_000), 6).unwrap().age_ms, 0);
}

/// Failure "a control VM is lost": guards against values that outlive it, and against a loss that
/// affects the values of the others.
#[test]
fn values_of_a_lost_control_vm_expire_and_a_new_stream_replaces_them() {
    let mut view = View::default();
    view.apply_summary(at(0), control_vm(1), summary(1, &[entry(5, 10, 0)]));
    view.apply_summary(at(0), control_vm(2), summary(1, &[entry(5, 3, 0)]));
    for second in 1..=4 {
        view.apply_summary(at(second * 1_000), control_vm(2), summary(second + 1, &[]));
    }
    assert_eq!(view.load(at(4_000), 5).unwrap().flows, 3);
    view.apply_summary(at(4_000), control_vm(1), summary(1, &[entry(6, 1, 0)]));
    assert_eq!(view.load(at(4_000), 5).unwrap().flows, 3);
    view.remove_source(control_vm(2));
    assert_eq!(view.load(at(4_000), 5), None);
}

/// Failure "a value is impossible": guards against values that steer all flows away from an upstream
/// or towards it.
#[test]
fn impossible_values_and_messages_are_refused() {
    let mut view = View::default();
    let impossible = [
        entry(0, 1, 0),
        entry(5, 1, 1_000_001),
        Entry {
            refused: 1,
            ..entry(5, 1, 0)
        },
        Entry {
            requests: 1,
            waited_ms: 60_001,
            ..entry(5, 1, 0)
        },
    ];
    let applied = view.apply_summary(at(0), control_vm(1), summary(1, &impossible));
    assert_eq!((applied.entries, applied.refused), (0, 4));
    assert_eq!(view.upstreams(), 0);
    view.apply_summary(at(0), control_vm(1), summary(2, &[entry(5, 2, 0)]));
    for (sequence, fault) in [(2, Fault::Sequence(2, 2)), (0, Fault::Sequence(0, 2))] {
        let applied =
            view.apply_summary(at(0), control_vm(1), summary(sequence, &[entry(5, 9, 0)]));
        assert_eq!((applied.fault, applied.refused), (Some(fault), 1));
    }
    let applied = view.apply_summary(at(0), control_vm(1), summary(3, &[entry(5, 9, 0); 65]));
    assert_eq!(applied.fault, Some(Fault::TooLong(65)));
    assert_eq!(view.load(at(0), 5).unwrap().flows, 2);
    // Changes without the state that they change.
    let applied = view.apply_summary(at(0), control_vm(2), summary(4, &[entry(5, 9, 0)]));
    assert_eq!(applied.fault, Some(Fault::Sequence(4, 0)));
}

fn digest(gateway: &mut Gateway, ms: u64, previous: u64) -> Digest {
    let receiver: SocketAddr = control_vm(1);
    gateway.take_digest(at(ms), receiver, previous)
}

/// Failure "a value is impossible": an upstream that this VM doesn't know.
#[test]
fn entries_for_unknown_upstreams_are_refused() {
    let mut gateway = gateway(&[(1, "a")]);
    let both = summary(1, &[entry(1, 3, 0), entry(2, 3, 0)]);
    let applied = gateway.apply_work(at(SETTLED_MS), control_vm(1), both);
    assert_eq!((applied.entries, applied.refused), (1, 1));
    assert_eq!(gateway.view().upstreams(), 1);
}

/// Guards against flows that are counted twice, not at all, or for ever: a flow may be discovered
/// half-way on this VM, and may end without a packet.
#[test]
fn flows_are_counted_from_the_packets_of_this_vm() {
    let mut gateway = gateway(&[(1, "a"), (2, "a")]);
    let ms = SETTLED_MS;
    let id = chosen_upstream(gateway.decide(at(ms), &opening_packet(1, 0))).unwrap();
    let token = u32::try_from(id).unwrap();
    gateway.decide(at(ms), &opening_packet(1, 1));
    gateway.decide(at(ms + 10), &data_packet(1, token, 101, 0, 1));
    // A flow that another VM placed.
    gateway.decide(at(ms + 10), &data_packet(2, token, 101, 50, 1));
    let first = digest(&mut gateway, ms + 1_000, 0);
    let flows: Vec<_> = first.entries.iter().map(|e| (e.token, e.flows)).collect();
    assert_eq!(flows, [(token, 2)]);
    let mut end = data_packet(1, token, 101, 0, 1);
    end.kind = Kind::Finish;
    gateway.decide(at(ms + 1_100), &end);
    let second = digest(&mut gateway, ms + 2_000, 1);
    assert_eq!(second.entries[0].flows, 1);
    // The other client sends nothing more. After the idle time of the plan its flow is not counted.
    gateway.announce(
        at(ms + 16_000),
        control_vm(1),
        token_support::announcement(1, "a"),
        0,
    );
    gateway.tick(at(ms + 16_000));
    let third = digest(&mut gateway, ms + 16_000, 2);
    assert_eq!(third.entries[0].flows, 0);
}

/// Sends a request on the flow of `port` and its answer of `bytes` after `waited_ms`.
fn exchange(gateway: &mut Gateway, port: u16, ms: u64, waited_ms: u64, bytes: u32) {
    let id = chosen_upstream(gateway.decide(at(ms), &opening_packet(port, 0))).unwrap();
    let token = u32::try_from(id).unwrap();
    gateway.decide(at(ms + 1), &data_packet(port, token, 101, 0, 1));
    gateway.decide(at(ms + 1), &data_packet(port, token, 101, 50, 1));
    let mut end = data_packet(port, token, 151, 0, 1 + bytes);
    end.kind = Kind::Finish;
    gateway.decide(at(ms + 1 + waited_ms), &end);
}

/// Guards against refusals that go unnoticed, and against errors without load that count as refusals.
#[test]
fn short_response_of_a_loaded_upstream_is_a_refusal() {
    let mut gateway = gateway(&[(1, "a")]);
    let mut ms = SETTLED_MS;
    let mut port = 1;
    let mut run = |gateway: &mut Gateway, count, waited_ms, bytes| {
        for _ in 0..count {
            exchange(gateway, port, ms, waited_ms, bytes);
            port += 1;
            ms += 400;
        }
        ms
    };
    let now_ms = run(&mut gateway, 20, 40, 780);
    let usual = digest(&mut gateway, now_ms, 0).entries[0];
    assert_eq!((usual.requests, usual.refused), (20, 0));
    let now_ms = run(&mut gateway, 3, 200, 90);
    let refused = digest(&mut gateway, now_ms, 1).entries[0];
    assert_eq!(
        (refused.requests, refused.refused, refused.waited_ms),
        (3, 3, 0)
    );
    let idle = summary(1, &[entry(1, 0, 0)]);
    gateway.apply_work(at(now_ms), control_vm(1), idle);
    let now_ms = run(&mut gateway, 3, 1, 90);
    let errors = digest(&mut gateway, now_ms, 2).entries[0];
    assert_eq!((errors.requests, errors.refused), (3, 0));
}
