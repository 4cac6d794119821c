//! Measures what the replicated configuration costs on this machine: the time of a command with its
//! disk syncs, of a start after 1,000 changes, and of the operations whose cost grows with the
//! configuration.
//!
//! `cargo run --release -p control --example replica_cost -- FOLDER`. FOLDER defaults to a folder
//! in the current one, since a temporary folder may be kept in memory, where syncs cost nothing.

use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    hint::black_box,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use control::replica::{Handle, Settings};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::{Config, Service},
    name::Name,
};
use tokio_util::sync::CancellationToken;

/// Number of changes before the measured start.
const CHANGES: usize = 1_000;

/// Numbers of services and upstreams of each measured configuration.
const SIZES: [(usize, usize); 4] = [(2, 18), (90, 650), (300, 2_200), (900, 6_500)];

/// Duration of each traffic measurement, in seconds.
const TRAFFIC_SECONDS: u64 = 15;

/// Number of repetitions of each measured operation.
const ROUNDS: u32 = 50;

type Outcome<T> = Result<T, Box<dyn Error>>;

struct Node {
    handle: Handle,
    token: CancellationToken,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Outcome<()> {
    let folder = std::env::args().nth(1);
    let folder = PathBuf::from(folder.unwrap_or_else(|| "replica_cost.tmp".to_owned()));
    for (services, upstreams) in SIZES {
        measure_config(services, upstreams)?;
    }
    measure_cluster(&folder).await?;
    fs::remove_dir_all(&folder)?;
    let recorder = PrometheusBuilder::new().install_recorder()?;
    for (services, upstreams) in &SIZES {
        measure_traffic(&folder, *services, *upstreams, &recorder).await?;
        fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

/// Measures the traffic of three replicas that hold a configuration of the given size: first idle,
/// then with one change per second.
async fn measure_traffic(
    folder: &Path,
    services: usize,
    upstreams: usize,
    recorder: &PrometheusHandle,
) -> Outcome<()> {
    let nodes = start(&settings(folder)?).await?;
    while nodes[0].handle.read_linearizable().await.is_err() {}
    for entry in entries(services, upstreams)? {
        nodes[0].handle.propose(entry).await?;
    }
    for changes in [0, 1] {
        let (bytes, cpu, begin) = (sent_bytes(recorder), cpu_ms()?, Instant::now());
        for second in 0..TRAFFIC_SECONDS {
            for number in 0..changes {
                let entry = domain(&format!("c{changes}-{second}-{number}"))?;
                nodes[0].handle.propose(entry).await?;
            }
            let next = Duration::from_secs(second + 1);
            tokio::time::sleep(next.saturating_sub(begin.elapsed())).await;
        }
        let seconds = begin.elapsed().as_secs_f64() * nodes.len() as f64;
        println!(
            "{services} services, {upstreams} upstreams, {changes} changes a second: {:.0} bytes/s and \
             {:.2}% of a core for each control VM; {} KiB for all {} in one process",
            (sent_bytes(recorder) - bytes) / seconds,
            (cpu_ms()? - cpu) / 10.0 / seconds,
            resident_kib()?,
            nodes.len(),
        );
    }
    stop(nodes).await;
    Ok(())
}

/// Returns the bytes of all frames sent to peers, without the overhead of HTTP/2 and TCP.
fn sent_bytes(recorder: &PrometheusHandle) -> f64 {
    let text = recorder.render();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("control_peer_sent_bytes_total "));
    line.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the processor time of this process, in milliseconds.
fn cpu_ms() -> Outcome<f64> {
    /// The kernel's unit of processor time, in milliseconds.
    const CLOCK_TICK_MS: f64 = 10.0;
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or("no name in stat")?;
    // User and system time are fields 14 and 15 of the line. The text after the bracket starts with
    // field 3.
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|t| t.parse::<f64>().ok()).sum();
    Ok(ticks * CLOCK_TICK_MS)
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> Outcome<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    Ok(number.ok_or("no VmRSS in status")?.parse()?)
}

/// Measures the operations on a configuration of the given size.
fn measure_config(services: usize, upstreams: usize) -> Outcome<()> {
    let mut config = configuration(services, upstreams)?;
    let encoded = wire::frame::encode_body(&config)?;
    let clone = mean_time(|| drop(black_box(config.clone())));
    let encode = mean_time(|| drop(black_box(wire::frame::encode_body(&config))));
    let decode = mean_time(|| {
        let decoded = wire::frame::decode_body::<Config, { 1 << 30 }>(&encoded);
        drop(black_box(decoded));
    });
    let mut number = 0;
    let command = mean_time(|| {
        number += 1;
        let admit = admission(0, 0, number).map(|entry| config.apply(config.index + 1, &entry));
        drop(black_box(admit));
    });
    println!(
        "{services} services, {upstreams} upstreams: {} bytes, clone {clone:?}, encode {encode:?}, \
         decode {decode:?}, command {command:?}",
        encoded.len()
    );
    Ok(())
}

/// Returns the mean time of an operation.
fn mean_time(mut step: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        step();
    }
    start.elapsed() / ROUNDS
}

fn configuration(services: usize, upstreams: usize) -> Outcome<Config> {
    let mut config = Config::default();
    for entry in entries(services, upstreams)? {
        config
            .apply(config.index + 1, &entry)
            .map_err(|r| r.to_string())?;
    }
    Ok(config)
}

/// Returns the commands that build a configuration of the given size.
fn entries(services: usize, upstreams: usize) -> Outcome<Vec<Entry>> {
    let mut entries = vec![domain("north")?];
    for service in 0..services {
        let port = 1_000 + u16::try_from(service)?;
        let command = Command::PutService {
            name: Name::new(format!("service-{service}"))?,
            service: Service::at(SocketAddr::from(([10, 0, 0, 1], port))),
        };
        entries.push(Entry::new("op", format!("s{service}"), None, command));
    }
    for upstream in 0..upstreams {
        entries.push(admission(upstream % services, upstream, 0)?);
    }
    Ok(entries)
}

fn domain(name: &str) -> Outcome<Entry> {
    let command = Command::PutDomain {
        name: Name::new(name)?,
    };
    Ok(Entry::new("op", format!("domain-{name}"), None, command))
}

fn admission(service: usize, upstream: usize, number: u32) -> Outcome<Entry> {
    let announcement = Announcement {
        service: Name::new(format!("service-{service}"))?,
        upstream: Name::new(format!("upstream-{upstream}"))?,
        domain: Name::new("north")?,
        flow_address: SocketAddr::from(([10, 1, 0, 1], 1)),
        request_address: SocketAddr::from(([10, 1, 0, 1], 2)),
        slots: 3,
        connections: 2_000 + number,
        incarnation: 1,
        held_flows: 0,
        warmth_percent: 100,
        leaving: false,
    };
    let command = Command::Admit {
        service: announcement.service.clone(),
        upstream: announcement.upstream.clone(),
        announced: announcement.admitted(),
    };
    let request = format!("admit-{service}-{upstream}-{number}");
    Ok(Entry::new("op", request, None, command))
}

/// Measures commands and restarts of three replicas over TCP with files in `folder`.
async fn measure_cluster(folder: &Path) -> Outcome<()> {
    let settings = settings(folder)?;
    let nodes = start(&settings).await?;
    while nodes[0].handle.read_linearizable().await.is_err() {}
    let leader = position(&nodes, true)?;
    let follower = position(&nodes, false)?;
    measure_commands(&nodes[leader], "leader", 0..CHANGES / 2).await?;
    measure_commands(&nodes[follower], "follower", CHANGES / 2..CHANGES).await?;
    let index = nodes[0].handle.read_linearizable().await?.index;
    stop(nodes).await;

    let begin = Instant::now();
    let nodes = start(&settings).await?;
    let mut config = nodes[0].handle.watch_config();
    config.wait_for(|c| c.index >= index).await?;
    println!(
        "start after {CHANGES} changes: known after {:?}",
        begin.elapsed()
    );
    while nodes[0].handle.read_linearizable().await.is_err() {}
    println!(
        "start after {CHANGES} changes: linearizable read after {:?}",
        begin.elapsed()
    );
    stop(nodes).await;
    Ok(())
}

async fn measure_commands(node: &Node, to: &str, numbers: std::ops::Range<usize>) -> Outcome<()> {
    let mut times = Vec::new();
    for number in numbers {
        let entry = domain(&format!("d{number}"))?;
        let begin = Instant::now();
        node.handle.propose(entry).await?;
        times.push(begin.elapsed());
    }
    times.sort_unstable();
    let (median, late) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("command through the {to}: median {median:?}, 99th percentile {late:?}");
    Ok(())
}

fn position(nodes: &[Node], is_leader: bool) -> Outcome<usize> {
    let found = nodes
        .iter()
        .position(|n| n.handle.status().is_leader == is_leader);
    found.ok_or_else(|| "no leader".into())
}

fn settings(folder: &Path) -> Outcome<Vec<Settings>> {
    let mut peers = BTreeMap::new();
    let mut bound = Vec::new();
    for name in ["c1", "c2", "c3"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        peers.insert(name.to_owned(), listener.local_addr()?);
        bound.push(listener);
    }
    let one = |(name, address): (&String, &SocketAddr)| Settings {
        name: name.clone(),
        folder: folder.join(name),
        address: *address,
        peers: peers.clone(),
        ..Settings::default()
    };
    Ok(peers.iter().map(one).collect())
}

async fn start(settings: &[Settings]) -> Outcome<Vec<Node>> {
    let mut nodes = Vec::new();
    for settings in settings {
        let token = CancellationToken::new();
        let handle = Handle::start(settings.clone(), token.clone()).await?;
        nodes.push(Node { handle, token });
    }
    Ok(nodes)
}

async fn stop(nodes: Vec<Node>) {
    for node in nodes {
        node.token.cancel();
        node.handle.wait_stopped().await;
    }
}
