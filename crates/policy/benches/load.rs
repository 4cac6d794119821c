//! Requests under load: the stewards against two balancers that decide alone, in one seeded run.
//!
//! `cargo bench -p policy --bench load` prints a table for each firm's sizes.

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Net, Shape, baseline::Rule, callers::Request, upstream::Excess};
use wire::coap;

/// Seed of all runs.
const SEED: u64 = 20_261_204;

/// Time before the load, in milliseconds.
const SETTLE_MS: u64 = 6_000;

/// Time under load before it is measured, in milliseconds.
const WARM_MS: u64 = 3_000;

/// Time that is measured, in milliseconds.
const MEASURE_MS: u64 = 10_000;

/// What happens to one upstream at the start of the measured time.
#[derive(Debug, Clone, Copy)]
enum Event {
    Nothing,
    /// It restarts cold and announces it.
    ColdStart,
    /// It turns cold without a word.
    ColdSilently,
}

/// One row's circumstances.
struct Case {
    name: &'static str,
    /// Load as a part of the capacity.
    load: f64,
    event: Event,
    excess: Excess,
}

const CASES: [Case; 5] = [
    Case {
        name: "0.7 of capacity",
        load: 0.7,
        event: Event::Nothing,
        excess: Excess::Shed,
    },
    Case {
        name: "0.7, one restarts cold",
        load: 0.7,
        event: Event::ColdStart,
        excess: Excess::Collapse,
    },
    Case {
        name: "0.7, one cold silently",
        load: 0.7,
        event: Event::ColdSilently,
        excess: Excess::Collapse,
    },
    Case {
        name: "2x overload, sheds",
        load: 2.0,
        event: Event::Nothing,
        excess: Excess::Shed,
    },
    Case {
        name: "2x overload, collapses",
        load: 2.0,
        event: Event::Nothing,
        excess: Excess::Collapse,
    },
];

fn main() {
    // First, while the process has no freed memory to use again.
    let per_record = memory_per_record();
    let shapes = [
        (
            "Lysgard: 14 upstreams of 3 slots in 4 domains",
            Shape::LYSGARD,
        ),
        (
            "Blue Mahoe: 14 upstreams of 2 slots in 3 domains",
            Shape::BLUE_MAHOE,
        ),
    ];
    for (title, shape) in shapes {
        println!("{title}, 9 entry VMs, service time 10 to 30 ms, seed {SEED}");
        println!(
            "{:24} {:17} {:>6} {:>6} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8}",
            "case",
            "rule",
            "over",
            "overC",
            "goodput",
            "refused",
            "unknown",
            "none",
            "imbal",
            "imbalW",
            "p50 ms",
            "p99 ms"
        );
        for case in &CASES {
            row(shape, case, None);
            row(shape, case, Some(Rule::RoundRobin));
            row(shape, case, Some(Rule::LeastConnections));
        }
        println!();
    }
    for (method, post_share) in [("GET", 0.0), ("POST", 1.0)] {
        println!(
            "{:.0} bytes between entry VMs for a {method} of 8 bytes, the caller's copy included",
            bytes_per_request(post_share)
        );
    }
    println!("{per_record:.0} bytes of memory for an answered POST, at its home");
    println!("over: requests at an upstream whose slots were all busy; overC: at a cold one that");
    println!("bore no more. goodput: answered within the deadline, as a part of what all warm");
    println!("upstreams could do. imbal: max/mean of busy slots over all upstreams; imbalW: over");
    println!("those that nothing happened to. none: no answer by the deadline.");
}

fn row(shape: Shape, case: &Case, rule: Option<Rule>) {
    let mut net = Net::new(shape, SEED);
    if let Some(rule) = rule {
        net.compare_with(rule);
    }
    net.run_ms(SETTLE_MS);
    for upstream in &mut net.upstreams {
        upstream.excess = case.excess;
    }
    let slots = shape.upstreams as f64 * f64::from(shape.slots);
    let capacity = slots / (shape.service_us as f64 / 1e6);
    net.callers.repeats = false;
    // The warm-up is at a load that nobody refuses.
    net.arrivals(capacity * case.load.min(0.7), 0.5, WARM_MS);
    net.run_ms(WARM_MS + 200);
    net.callers.mark();
    let before: Vec<(u64, u32, u32)> = net
        .upstreams
        .iter()
        .map(|u| (u.busy_us, u.over_slots, u.over_cold))
        .collect();
    match case.event {
        Event::Nothing => {}
        Event::ColdStart => net.restart_upstream(0),
        Event::ColdSilently => net.upstreams[0].chill(),
    }
    net.arrivals(capacity * case.load, 0.5, MEASURE_MS);
    net.run_ms(MEASURE_MS);
    let busy: Vec<f64> = net
        .upstreams
        .iter()
        .zip(&before)
        .map(|(u, (busy_us, ..))| (u.busy_us - busy_us) as f64)
        .collect();
    net.run_ms(2_000);
    let over: u32 = sum(&net, &before, |u, b| u.over_slots - b.1);
    let over_cold: u32 = sum(&net, &before, |u, b| u.over_cold - b.2);
    let asked: Vec<&Request> = net.callers.marked().collect();
    let mut times: Vec<u64> = asked.iter().filter_map(|r| good_time(r)).collect();
    times.sort_unstable();
    let seconds = MEASURE_MS as f64 / 1e3;
    let goodput = times.len() as f64 / seconds / capacity;
    let share = |code| {
        let with = asked
            .iter()
            .filter(|r| r.answers.first().is_some_and(|a| a.code == code));
        with.count() as f64 / asked.len() as f64
    };
    let none = asked.iter().filter(|r| r.answers.is_empty()).count() as f64 / asked.len() as f64;
    println!(
        "{:24} {:17} {:>6} {:>6} {:>8.3} {:>8.3} {:>8.3} {:>7.3} {:>7.3} {:>7.3} {:>8.1} {:>8.1}",
        case.name,
        rule.map_or("stewards".to_owned(), |r| format!("{r:?}")),
        over,
        over_cold,
        goodput,
        share(coap::UNAVAILABLE),
        share(coap::TIMEOUT),
        none,
        imbalance(&busy),
        imbalance(if matches!(case.event, Event::Nothing) {
            &busy
        } else {
            &busy[1..]
        }),
        percentile(&times, 0.50),
        percentile(&times, 0.99),
    );
}

/// Bytes that entry VMs send each other for one request, by the difference to a net at rest.
fn bytes_per_request(post_share: f64) -> f64 {
    let run = |per_second: f64| {
        let mut net = Net::new(Shape::LYSGARD, SEED);
        net.run_ms(SETTLE_MS);
        net.bytes = Some(0);
        net.arrivals(per_second, post_share, MEASURE_MS);
        net.run_ms(MEASURE_MS + 1_000);
        (net.bytes.unwrap_or_default(), net.callers.requests.len())
    };
    let (rest_bytes, rest) = run(1.0);
    let (bytes, asked) = run(500.0);
    (bytes - rest_bytes) as f64 / (asked - rest) as f64
}

/// Resident memory that one record of an answered request takes, on a VM alone.
fn memory_per_record() -> f64 {
    let shape = Shape {
        domains: 1,
        vms: 1,
        ..Shape::LYSGARD
    };
    let mut net = Net::new(shape, SEED);
    net.run_ms(SETTLE_MS);
    let before = resident();
    for _ in 0..10 {
        net.arrivals(1_000.0, 1.0, 2_000);
        net.run_ms(2_500);
        // What the callers and the upstreams of the bench keep doesn't count.
        net.callers.forget();
        net.upstreams.iter_mut().for_each(|u| u.forget());
    }
    let records: usize = net.vms.values().map(|e| e.requests.size().0).sum();
    (resident() - before) as f64 / records as f64
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}

fn sum(
    net: &Net,
    before: &[(u64, u32, u32)],
    part: impl Fn(&support::upstream::Upstream, &(u64, u32, u32)) -> u32,
) -> u32 {
    net.upstreams
        .iter()
        .zip(before)
        .map(|(u, b)| part(u, b))
        .sum()
}

/// Time to a good answer within the deadline, in microseconds.
fn good_time(request: &Request) -> Option<u64> {
    let answer = request
        .answers
        .first()
        .filter(|a| a.code == coap::CHANGED)?;
    let at = *request.times.first()?;
    let in_time = at <= request.deadline && answer.code == coap::CHANGED;
    in_time.then(|| at.0 - request.sent.0)
}

fn imbalance(busy: &[f64]) -> f64 {
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    busy.iter().copied().fold(0.0, f64::max) / mean
}

/// A percentile in milliseconds.
fn percentile(sorted_us: &[u64], part: f64) -> f64 {
    let place = ((sorted_us.len() as f64 - 1.0) * part).max(0.0) as usize;
    sorted_us.get(place).copied().unwrap_or_default() as f64 / 1e3
}
