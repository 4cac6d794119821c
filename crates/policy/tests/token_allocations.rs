//! Number of heap allocations per packet, so that the packet path stays free of them.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

use policy::token::{gateway::Gateway, segment::Segment};
use token_support::{
    SETTLED_MS, agreed_state, announcement, at, chosen_upstream, control_vm, data_packet,
    empty_gateway, opening_packet, plan,
};

/// System allocator that counts the allocations of each thread.
struct CountingAllocator;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: Every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.with(|count| count.set(count.get() + 1));
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: `pointer` was returned by `alloc` for this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the number of allocations while `gateway` decides on `packets`, one packet every 10 ms.
fn count_allocations(gateway: &mut Gateway, packets: &[Segment]) -> u64 {
    let before = COUNT.with(Cell::get);
    for (ms, packet) in (SETTLED_MS..).step_by(10).zip(packets) {
        gateway.decide(at(ms), packet);
    }
    COUNT.with(Cell::get) - before
}

fn settled_gateway(upstreams: u64) -> Gateway {
    let mut gateway = empty_gateway();
    gateway.apply_plan(plan(1));
    gateway.update_agreed(agreed_state(1, &[]));
    gateway.add_control_stream(control_vm(1));
    for id in 1..=upstreams {
        let domain = ["a", "b"][usize::try_from(id % 2).unwrap()];
        gateway.announce(at(0), control_vm(1), announcement(id, domain), 0);
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    gateway
}

#[test]
fn data_packet_of_open_flow_allocates_nothing() {
    let mut gateway = settled_gateway(18);
    let id = chosen_upstream(gateway.decide(at(SETTLED_MS), &opening_packet(1, 0))).unwrap();
    let token = u32::try_from(id).unwrap();
    // Requests of 50 bytes; every second request is answered by the time the next one is sent.
    let packets: Vec<Segment> = (0..1_000)
        .map(|n| data_packet(1, token, 101 + 50 * n, 50, 1 + 100 * (n / 2)))
        .collect();
    // The first answer allocates the statistics of its upstream.
    let (first, rest) = packets.split_at(10);
    count_allocations(&mut gateway, first);
    assert_eq!(count_allocations(&mut gateway, rest), 0);
}

#[test]
fn opening_packet_allocates_at_most_twice() {
    let mut gateway = settled_gateway(18);
    let packets: Vec<Segment> = (0..1_000).map(|port| opening_packet(port, 0)).collect();
    let count = count_allocations(&mut gateway, &packets);
    assert!(count <= 2_000, "{count} allocations for 1000 packets");
}
