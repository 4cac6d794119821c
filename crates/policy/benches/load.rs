//! Requests under load: the dispatchers against two baseline balancers, in one seeded run.
//!
//! `cargo bench -p policy --bench load` prints a table for the sizes of each firm.

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Net, Shape, baseline::Rule, callers::Request, upstream::Excess};
use wire::coap;

/// Seed of all runs.
const SEED: u64 = 20_261_204;

/// Time before the load starts, in milliseconds.
const HISTORY_COMPLETE_MS: u64 = 6_000;

/// Time under load before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Duration of the measurement, in milliseconds.
const MEASURE_MS: u64 = 10_000;

/// What happens to one upstream at the start of the measurement.
#[derive(Debug, Clone, Copy)]
enum Event {
    Nothing,
    /// The upstream restarts cold and announces it.
    ColdStart,
    /// The upstream turns cold without announcing it.
    ColdSilently,
}

/// Load and event of one row of the table.
struct Case {
    name: &'static str,
    /// Load as a fraction of the capacity.
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
    // Measured first, before the process has freed memory that it could reuse.
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
            print_row(shape, case, None);
            print_row(shape, case, Some(Rule::RoundRobin));
            print_row(shape, case, Some(Rule::LeastConnections));
        }
        println!();
    }
    for (method, post_share) in [("GET", 0.0), ("POST", 1.0)] {
        println!(
            "{:.0} bytes between entry VMs for a {method} of 8 bytes, the caller's copy included",
            bytes_per_request(post_share)
        );
    }
    println!("{per_record:.0} bytes of memory for an answered POST, at its primary");
    println!(
        "over: requests that arrived at an upstream with all slots busy. overC: requests that"
    );
    println!(
        "arrived above the capacity of a cold upstream. goodput: requests answered within the"
    );
    println!(
        "deadline, as a fraction of the warm capacity. imbal: max/mean of busy slots over all"
    );
    println!(
        "upstreams; imbalW: without the upstream of the event. none: requests without an answer."
    );
}

fn print_row(shape: Shape, case: &Case, rule: Option<Rule>) {
    let mut net = Net::new(shape, SEED);
    if let Some(rule) = rule {
        net.use_baseline(rule);
    }
    net.run_ms(HISTORY_COMPLETE_MS);
    for upstream in &mut net.upstreams {
        upstream.excess = case.excess;
    }
    let slots = shape.upstreams as f64 * f64::from(shape.slots);
    let capacity = slots / (shape.service_us as f64 / 1e6);
    net.callers.repeats = false;
    // The warm-up load is low enough that no request is refused.
    net.start_arrivals(capacity * case.load.min(0.7), 0.5, WARM_UP_MS);
    net.run_ms(WARM_UP_MS + 200);
    net.callers.start_measuring();
    let before: Vec<(u64, u32, u32)> = net
        .upstreams
        .iter()
        .map(|u| (u.busy_us, u.arrived_over_slots, u.arrived_over_capacity))
        .collect();
    match case.event {
        Event::Nothing => {}
        Event::ColdStart => net.restart_upstream(0),
        Event::ColdSilently => net.upstreams[0].turn_cold(),
    }
    net.start_arrivals(capacity * case.load, 0.5, MEASURE_MS);
    net.run_ms(MEASURE_MS);
    let busy: Vec<f64> = net
        .upstreams
        .iter()
        .zip(&before)
        .map(|(u, (busy_us, ..))| (u.busy_us - busy_us) as f64)
        .collect();
    net.run_ms(2_000);
    let over_slots: u32 = sum(&net, &before, |u, b| u.arrived_over_slots - b.1);
    let arrived_over_capacity: u32 = sum(&net, &before, |u, b| u.arrived_over_capacity - b.2);
    let requests: Vec<&Request> = net.callers.measured().collect();
    let mut times: Vec<u64> = requests
        .iter()
        .filter_map(|r| time_to_good_answer_us(r))
        .collect();
    times.sort_unstable();
    let seconds = MEASURE_MS as f64 / 1e3;
    let goodput = times.len() as f64 / seconds / capacity;
    let share = |code| {
        let with = requests
            .iter()
            .filter(|r| r.answers.first().is_some_and(|a| a.code == code));
        with.count() as f64 / requests.len() as f64
    };
    let unanswered =
        requests.iter().filter(|r| r.answers.is_empty()).count() as f64 / requests.len() as f64;
    println!(
        "{:24} {:17} {:>6} {:>6} {:>8.3} {:>8.3} {:>8.3} {:>7.3} {:>7.3} {:>7.3} {:>8.1} {:>8.1}",
        case.name,
        rule.map_or("dispatchers".to_owned(), |r| format!("{r:?}")),
        over_slots,
        arrived_over_capacity,
        goodput,
        share(coap::UNAVAILABLE),
        share(coap::TIMEOUT),
        unanswered,
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

/// Returns the bytes that entry VMs send each other per request, less those of an idle deployment.
fn bytes_per_request(post_share: f64) -> f64 {
    let run = |per_second: f64| {
        let mut net = Net::new(Shape::LYSGARD, SEED);
        net.run_ms(HISTORY_COMPLETE_MS);
        net.sent_bytes = Some(0);
        net.start_arrivals(per_second, post_share, MEASURE_MS);
        net.run_ms(MEASURE_MS + 1_000);
        (
            net.sent_bytes.unwrap_or_default(),
            net.callers.requests.len(),
        )
    };
    let (idle_bytes, idle_requests) = run(1.0);
    let (bytes, requests) = run(500.0);
    (bytes - idle_bytes) as f64 / (requests - idle_requests) as f64
}

/// Returns the resident memory per record of an answered request, on a single VM.
fn memory_per_record() -> f64 {
    let shape = Shape {
        domains: 1,
        vms: 1,
        ..Shape::LYSGARD
    };
    let mut net = Net::new(shape, SEED);
    net.run_ms(HISTORY_COMPLETE_MS);
    let before = resident_bytes();
    for _ in 0..10 {
        net.start_arrivals(1_000.0, 1.0, 2_000);
        net.run_ms(2_500);
        // Memory that the simulated callers and upstreams use is not counted.
        net.callers.forget_requests();
        net.upstreams.iter_mut().for_each(|u| u.forget_requests());
    }
    let records: usize = net
        .vms
        .values()
        .map(|e| e.requests.record_count_and_bytes().0)
        .sum();
    (resident_bytes() - before) as f64 / records as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
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

/// Returns the time to a good answer within the deadline, in microseconds.
fn time_to_good_answer_us(request: &Request) -> Option<u64> {
    let answer = request
        .answers
        .first()
        .filter(|a| a.code == coap::CHANGED)?;
    let at = *request.answer_times.first()?;
    let in_time = at <= request.deadline && answer.code == coap::CHANGED;
    in_time.then(|| at.0 - request.sent.0)
}

fn imbalance(busy: &[f64]) -> f64 {
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    busy.iter().copied().fold(0.0, f64::max) / mean
}

/// Returns a percentile, in milliseconds.
fn percentile(sorted_us: &[u64], part: f64) -> f64 {
    let place = ((sorted_us.len() as f64 - 1.0) * part).max(0.0) as usize;
    sorted_us.get(place).copied().unwrap_or_default() as f64 / 1e3
}
