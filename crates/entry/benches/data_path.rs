//! Compares the data path of an entry VM with a bare UDP relay, in one run.
//!
//! `cargo bench -p entry` sends packets of established flows through both, in turns. It prints the
//! packets a second with a bounded number of packets in flight, and the added latency at a fixed
//! rate.

#![expect(clippy::unwrap_used, reason = "a bench may panic")]

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use entry::{
    engine::Engine,
    sockets::{self, Addresses},
};
use hdrhistogram::Histogram;
use model::{
    announce::Announcement,
    command::{Command, Entry},
    config::{Config, Service},
    name::Name,
};
use policy::{
    io::{Action, Event, Packet, TICK_MS},
    node::{Node, Settings},
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::gue::{self, Segment};

/// Number of flows to which the packets belong.
const FLOWS: u16 = 200;

/// Highest number of packets in flight.
const MAX_IN_FLIGHT: u64 = 128;

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Number of measurements of the relay and of the entry VM each.
const ROUNDS: usize = 5;

/// Packets sent a second while latency is measured.
const PACED_RATE: u32 = 20_000;

/// Number of packets whose decision is timed.
const TIMED_DECISIONS: u64 = 1_000_000;

/// Payload of each packet, in bytes.
const PAYLOAD_LEN: usize = 200;

fn main() {
    let sink = UdpSocket::bind("127.0.0.1:0").unwrap();
    let upstream = sink.local_addr().unwrap();
    let received = Arc::new(AtomicU64::new(0));
    let latencies = Arc::new(std::sync::Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let epoch = Instant::now();
    start_sink(sink, epoch, received.clone(), latencies.clone());

    let relay = start_relay(upstream);
    let entry = start_entry(upstream);
    open_flows(entry);

    let mut rates = [Vec::new(), Vec::new()];
    let mut p99s = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        for (kind, to) in [relay, entry].into_iter().enumerate() {
            rates[kind].push(measure_rate(to, epoch, &received));
            latencies.lock().unwrap().reset();
            send_paced(to, epoch);
            p99s[kind].push(latencies.lock().unwrap().value_at_quantile(0.99));
        }
    }
    let [relay, entry] = rates.map(median);
    let [relay_p99, entry_p99] = p99s.map(median);
    println!("                  packets/s   p99 us at {PACED_RATE} packets/s");
    println!("bare relay     {relay:>12}   {relay_p99:>12}");
    println!("oriole-entry   {entry:>12}   {entry_p99:>12}");
    println!(
        "share of the relay's rate: {:.2} (target 0.80)",
        entry as f64 / relay as f64
    );
    println!(
        "decision for one direct packet: {} ns",
        measure_decision_ns()
    );
    println!("added p99: {} us", entry_p99.saturating_sub(relay_p99));
}

/// Measures the time that the node needs for a packet that is forwarded directly, in nanoseconds.
/// Copying and counting the packet are included, the socket is not.
fn measure_decision_ns() -> u64 {
    let upstream: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let settings = Settings::new(name("vm-1"), name("north"), upstream);
    let mut node = Node::new(settings, policy::time::Instant::ZERO);
    let mut out = Vec::new();
    let mut now_ms = 0;
    node.handle(
        policy::time::Instant::ZERO,
        Event::Config(Arc::new(config(upstream))),
        &mut out,
    );
    while now_ms < 10_000 {
        now_ms += TICK_MS;
        let now = policy::time::Instant::from_ms(now_ms);
        node.handle(now, Event::Announce(announcement(upstream)), &mut out);
        node.handle(now, Event::Tick, &mut out);
        for flow in 0..FLOWS {
            node.handle(now, event(&packet(flow, Segment::Open, 0)), &mut out);
        }
    }
    let packets: Vec<Vec<u8>> = (0..FLOWS)
        .map(|flow| packet(flow, Segment::Later, 0))
        .collect();
    let now = policy::time::Instant::from_ms(now_ms);
    let started = Instant::now();
    let mut forwarded = 0;
    for _ in 0..TIMED_DECISIONS / u64::from(FLOWS) {
        for bytes in &packets {
            out.clear();
            node.handle(now, event(bytes), &mut out);
            for action in &out {
                match action {
                    Action::Forward { .. } => forwarded += 1,
                    Action::Count(counter) => metrics::counter!(counter.name()).increment(1),
                    _ => {}
                }
            }
        }
    }
    let spent = u64::try_from(started.elapsed().as_nanos()).unwrap();
    assert_eq!(forwarded, TIMED_DECISIONS, "packets were not forwarded");
    spent / TIMED_DECISIONS
}

fn event(bytes: &[u8]) -> Event {
    let packet = gue::Packet::parse(bytes).unwrap();
    Event::Packet(Packet {
        flow: packet.flow,
        segment: packet.segment,
        bytes: wire::blob::Blob::from(bytes.to_vec()),
    })
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Starts a thread that counts the packets that arrive, and records their latencies.
fn start_sink(
    socket: UdpSocket,
    epoch: Instant,
    received: Arc<AtomicU64>,
    latencies: Arc<std::sync::Mutex<Histogram<u64>>>,
) {
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        loop {
            let length = socket.recv(&mut buffer).unwrap();
            received.fetch_add(1, Ordering::Relaxed);
            let payload = gue::payload(&buffer[..length]).unwrap_or_default();
            if let Some(sent) = payload.first_chunk::<8>() {
                let now = u64::try_from(epoch.elapsed().as_micros()).unwrap();
                let span = now.saturating_sub(u64::from_be_bytes(*sent));
                latencies.lock().unwrap().saturating_record(span);
            }
        }
    });
}

/// Starts a thread that relays datagrams to `upstream` without inspecting them.
fn start_relay(upstream: SocketAddr) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        loop {
            let length = socket.recv(&mut buffer).unwrap();
            // A datagram that can't be sent because the sink's buffer is full is lost, as in the
            // entry VM.
            let _ = socket.send_to(&buffer[..length], upstream);
        }
    });
    address
}

/// Starts a thread with an isolated entry VM, which has one service with one upstream.
fn start_entry(upstream: SocketAddr) -> SocketAddr {
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let system = ntex::rt::System::build()
            .name("entry")
            .build(ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
            let addresses = Addresses {
                fabric: any_port,
                requests: any_port,
                peers: any_port,
            };
            let (receive_sockets, send_sockets) = sockets::bind(addresses).unwrap();
            let fabric = send_sockets.fabric.local_addr().unwrap();
            let peers = send_sockets.peers.local_addr().unwrap();
            let (control, _kept) = mpsc::channel(16);
            let settings = Settings::new(name("vm-1"), name("north"), peers);
            let engine = Engine::new(settings, any_port, send_sockets, control);
            engine.handle(Event::Config(Arc::new(config(upstream))));
            for (kind, socket) in receive_sockets.sockets {
                let engine = engine.clone();
                ntex::rt::spawn(async move {
                    let token = CancellationToken::new();
                    sockets::read(kind, &socket, &engine, token).await.unwrap();
                });
            }
            address_sender.send(fabric).unwrap();
            let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
            loop {
                interval.tick().await;
                engine.handle(Event::Announce(announcement(upstream)));
                engine.handle(Event::Tick);
            }
        });
    });
    address_receiver.recv().unwrap()
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn service_address() -> SocketAddr {
    "10.9.0.1:443".parse().unwrap()
}

fn announcement(upstream: SocketAddr) -> Announcement {
    Announcement {
        service: name("stock"),
        upstream: name("up-1"),
        domain: name("north"),
        flow_address: upstream,
        request_address: upstream,
        slots: 3,
        connections: 100_000,
        incarnation: 1,
        held_flows: 0,
        warmth_percent: 100,
        leaving: false,
    }
}

fn config(upstream: SocketAddr) -> Config {
    let mut config = Config::default();
    let service = name("stock");
    let commands = [
        Command::Found { cluster: 1 },
        Command::PutDomain {
            name: name("north"),
        },
        Command::PutService {
            name: service.clone(),
            service: Service::at(service_address()),
        },
        Command::Admit {
            service: service.clone(),
            upstream: name("up-1"),
            announced: announcement(upstream).admitted(),
        },
        Command::Activate {
            service,
            generation: 1,
        },
    ];
    for (index, command) in (1..).zip(commands) {
        let entry = Entry::new("bench", index.to_string(), None, command);
        config.apply(index, &entry).unwrap();
    }
    config
}

fn packet(flow: u16, segment: Segment, sent_us: u64) -> Vec<u8> {
    let caller = SocketAddr::from(([10, 0, 0, 1], 10_000 + flow));
    let mut payload = [0; PAYLOAD_LEN];
    payload[..8].copy_from_slice(&sent_us.to_be_bytes());
    gue::build(caller, service_address(), segment, 1, &payload)
}

/// Opens each flow repeatedly, because an upstream in slow start accepts only a few flows at once.
fn open_flows(entry: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..50 {
        for flow in 0..FLOWS {
            socket
                .send_to(&packet(flow, Segment::Open, 0), entry)
                .unwrap();
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Measures the packets a second that arrive while at most [`MAX_IN_FLIGHT`] packets are in flight.
fn measure_rate(to: SocketAddr, epoch: Instant, received: &AtomicU64) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let packets: Vec<Vec<u8>> = (0..FLOWS)
        .map(|flow| packet(flow, Segment::Later, micros(epoch)))
        .collect();
    let start = received.load(Ordering::Relaxed);
    let started = Instant::now();
    let (mut sent, mut last_sent_at) = (0, Instant::now());
    while started.elapsed() < MEASUREMENT_TIME {
        let arrived = received.load(Ordering::Relaxed) - start;
        if sent - arrived.min(sent) >= MAX_IN_FLIGHT {
            // Packets that have not arrived after this time were dropped.
            if last_sent_at.elapsed() > Duration::from_millis(50) {
                sent = arrived;
            }
            std::hint::spin_loop();
            continue;
        }
        last_sent_at = Instant::now();
        let flow = usize::try_from(sent).unwrap() % packets.len();
        socket.send_to(&packets[flow], to).unwrap();
        sent += 1;
    }
    let arrived = received.load(Ordering::Relaxed) - start;
    (arrived as f64 / started.elapsed().as_secs_f64()) as u64
}

/// Sends [`PACED_RATE`] packets a second, each with the time at which it was sent.
fn send_paced(to: SocketAddr, epoch: Instant) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let started = Instant::now();
    let gap = Duration::from_secs(1) / PACED_RATE;
    let stop = AtomicBool::new(false);
    let mut number: u32 = 0;
    while !stop.load(Ordering::Relaxed) {
        while started.elapsed() < gap * number {
            std::hint::spin_loop();
        }
        let flow = u16::try_from(number % u32::from(FLOWS)).unwrap();
        socket
            .send_to(&packet(flow, Segment::Later, micros(epoch)), to)
            .unwrap();
        number += 1;
        stop.store(started.elapsed() > MEASUREMENT_TIME, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_millis(100));
}

fn micros(epoch: Instant) -> u64 {
    u64::try_from(epoch.elapsed().as_micros()).unwrap()
}
