//! Tests how the gateway driver holds packets, decides on them again, sends them at the rate of
//! the link, and requests missing terms of a plan.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daemon::http::{PlaceFault, PlaceRequest};
use entry::gateway::driver::GatewayDriver;
use model::{
    plan::{Plan, Route, Service, Target, Terms},
    routing::{Agreed, Announced, Incarnation, Phase, ProbeOutcome, ToEntry},
};
use settings::gateway::Entry;
use tokio::net::UdpSocket;

/// Longest wait for an event that should come at once.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

const ROUTE: &str = "198.18.0.1:443";

fn settings(link_mbps: f64) -> Entry {
    Entry {
        name: "entry-1".to_owned(),
        domain: "a".parse().unwrap(),
        fabric_listen: "127.0.0.1:9".parse().unwrap(),
        health_listen: "127.0.0.1:9".parse().unwrap(),
        first_port: 9,
        seeds: vec!["127.0.0.1:9".parse().unwrap()],
        link_mbps,
        place_by_shared_work: true,
        announce_ms: 1_000,
        log: settings::log::Level::default(),
        seed: Some(1),
    }
}

/// Builds a packet from client port `port` with `data` bytes, in the layout of the platform's
/// documentation.
fn packet(port: u16, flags: u8, token: u32, data: u16) -> Vec<u8> {
    let mut bytes = vec![0; 32 + usize::from(data)];
    bytes[8..12].copy_from_slice(&token.to_le_bytes());
    bytes[12] = flags;
    bytes[14..18].copy_from_slice(&u32::from_be_bytes([198, 18, 0, 1]).to_le_bytes());
    bytes[18..20].copy_from_slice(&443_u16.to_le_bytes());
    bytes[20..24].copy_from_slice(&u32::from_be_bytes([127, 0, 0, 1]).to_le_bytes());
    bytes[24..26].copy_from_slice(&port.to_le_bytes());
    bytes[26..28].copy_from_slice(&data.to_le_bytes());
    bytes
}

/// Gives the driver a plan and upstream 5 at `upstream`.
fn configure(driver: &GatewayDriver, upstream: SocketAddr) {
    let control: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let plan = Plan {
        version: 1,
        routes: vec![Route {
            name: "r".into(),
            address: ROUTE.parse().unwrap(),
            deadline_ms: 1,
            targets: vec![Target {
                service: "s".into(),
                weight: 1,
            }],
        }],
        services: vec![Service { name: "s".into() }],
        idle_ms: 15_000,
        text: "".into(),
    };
    let announced = Announced {
        incarnation: Incarnation {
            id: 5,
            started_ms: 1,
        },
        service: "s".into(),
        address: upstream.to_string().parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 2,
        phase: Phase::Ready,
        cold_ms: 0,
        sequence: 1,
    };
    let agreed = Agreed {
        index: 1,
        plan: Some(1),
        domains_out: Vec::new(),
        controls: vec![control],
    };
    driver.add_control_stream(control);
    assert_eq!(
        driver.handle_message(control, ToEntry::Agreed(agreed)),
        Some(1)
    );
    assert_eq!(
        driver.handle_message(control, ToEntry::Plan(Arc::new(plan))),
        None
    );
    driver.handle_message(control, ToEntry::Announced(vec![(announced, 0)]));
    driver.handle_message(control, ToEntry::Complete);
}

/// Sends `packets` as the fabric does, and lets the driver receive them.
async fn deliver(driver: &GatewayDriver, packets: &[Vec<u8>]) {
    let fabric = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let to = driver.socket().local_addr().unwrap();
    for packet in packets {
        fabric.send_to(packet, to).await.unwrap();
        driver.socket().readable().await.unwrap();
        driver.receive_packets(8).unwrap();
    }
}

async fn driver(link_mbps: f64) -> GatewayDriver {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    GatewayDriver::new(&settings(link_mbps), socket)
}

/// Receives `count` datagrams at an upstream, while the driver sends at the rate of the link.
async fn receive(driver: &GatewayDriver, upstream: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut received = Vec::new();
    let mut buffer = [0; 2_048];
    let all = async {
        while received.len() < count {
            let wait = driver.send_paced().unwrap_or(Duration::from_millis(5));
            let next = tokio::time::timeout(wait, upstream.recv(&mut buffer)).await;
            if let Ok(length) = next {
                received.push(buffer[..length.unwrap()].to_vec());
            }
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, all).await.unwrap();
    received
}

#[test]
fn held_packets_that_exceed_the_link_rate_wake_the_paced_sender() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let driver = driver(2.0).await;
        let upstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        // The driver has no plan yet, so all packets are held.
        let packets: Vec<Vec<u8>> = (0..12).map(|port| packet(port, 4, 5, 1_200)).collect();
        deliver(&driver, &packets).await;
        configure(&driver, upstream.local_addr().unwrap());
        // The paced sender must be notified that packets wait for the link.
        let notified = tokio::time::timeout(EVENT_TIMEOUT, driver.paced_changed.notified()).await;
        notified.unwrap();
        let received = receive(&driver, &upstream, packets.len()).await;
        assert_eq!(received[0][..8], 5_u64.to_be_bytes());
        assert_eq!(received[0][8..], packets[0]);
    });
}

#[test]
fn a_packet_for_a_known_upstream_is_forwarded_with_the_upstreams_token() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let driver = driver(1_000.0).await;
        let upstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        configure(&driver, upstream.local_addr().unwrap());
        let opening = packet(7, 1, 0, 0);
        deliver(&driver, std::slice::from_ref(&opening)).await;
        let mut received = receive(&driver, &upstream, 1).await.remove(0);
        assert_eq!(received[16..20], 5_u32.to_le_bytes());
        received[16..20].fill(0);
        assert_eq!(received[8..], opening);
    });
}

/// Guards against a second upstream that answers because the first answer was lost, and against a client
/// that waits for the next copy although the probe has ended.
#[test]
fn a_copy_of_an_opening_packet_is_sent_as_soon_as_a_probe_is_accepted() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let driver = driver(1_000.0).await;
        let upstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        configure(&driver, upstream.local_addr().unwrap());
        let [opening, copy] = [0_u32, 1].map(|copy| {
            let mut bytes = packet(7, 1, 0, 0);
            bytes[4..8].copy_from_slice(&copy.to_le_bytes());
            bytes
        });
        deliver(&driver, &[opening, copy]).await;
        let first = receive(&driver, &upstream, 1).await.remove(0);
        assert_eq!(first[12..16], 0_u32.to_le_bytes());
        let probes = driver.due_probes();
        assert_eq!(probes.iter().map(|p| p.id).collect::<Vec<_>>(), [5]);
        let unsent = upstream.try_recv(&mut [0; 64]).unwrap_err();
        assert_eq!(unsent.kind(), std::io::ErrorKind::WouldBlock);
        driver.record_probe_outcome(5, ProbeOutcome::Accepted);
        let second = receive(&driver, &upstream, 1).await.remove(0);
        assert_eq!(second[12..16], 1_u32.to_le_bytes());
    });
}

/// Guards against a plan that stays without its priorities and limits because it came from a control
/// VM of the build before, which sends no terms.
#[test]
fn missing_terms_are_requested_once_from_each_control_vm_until_they_arrive() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let driver = driver(1_000.0).await;
        assert_eq!(driver.terms_to_request(None), None, "there is no plan");
        let control: SocketAddr = "127.0.0.1:7".parse().unwrap();
        let plan = Plan {
            version: 4,
            ..Plan::default()
        };
        driver.handle_message(control, ToEntry::Plan(Arc::new(plan)));
        assert_eq!(driver.terms_to_request(None), Some(4));
        assert_eq!(
            driver.terms_to_request(None),
            None,
            "they may be on the way"
        );
        // The interval after which a plan is requested again.
        tokio::time::sleep(Duration::from_millis(650)).await;
        assert_eq!(driver.terms_to_request(Some(4)), None, "asked already");
        assert_eq!(driver.terms_to_request(Some(3)), Some(4));
        let terms = Terms {
            version: 4,
            ..Terms::default()
        };
        driver.handle_message(control, ToEntry::Terms(Arc::new(terms)));
        tokio::time::sleep(Duration::from_millis(650)).await;
        assert_eq!(driver.terms_to_request(None), None);
    });
}

/// Guards against a state dump from which operators can't tell whether flows are refused.
#[tokio::test]
async fn dump_has_the_state_of_admission() {
    let driver = driver(1_000.0).await;
    configure(&driver, "127.0.0.1:9".parse().unwrap());
    driver.tick();
    let admission = &driver.dump()["admission"];
    assert_eq!(admission["services"], serde_json::json!([]));
    assert_eq!(admission["upstreams_at_cap"], 0);
}

/// Guards against an explanation that lacks what operators are shown, and against an empty one before
/// the plan arrives.
#[test]
fn explanation_names_the_choice_or_the_reason_for_its_absence() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let driver = driver(100.0).await;
        let request = PlaceRequest::parse(&format!("to={ROUTE}&from=10.0.0.9")).unwrap();
        let fault = driver.explain(request).unwrap_err();
        let PlaceFault::CannotSay(reason) = fault else {
            panic!("{fault:?}");
        };
        assert!(reason.contains("has not received a plan"), "{reason}");
        let upstream: SocketAddr = "127.0.0.1:9".parse().unwrap();
        configure(&driver, upstream);
        let explained = driver.explain(request).unwrap();
        assert_eq!(explained["route"], "r");
        let service = &explained["services"][0];
        assert_eq!(service["choice"]["id"], "5");
        assert_eq!(service["choice"]["probability"], 1.0);
        assert_eq!(service["basis"], "own-sight");
        assert_eq!(service["admission"]["admitted_share"], 1.0);
        let candidate = &service["candidates"][0];
        assert_eq!(candidate["address"], "127.0.0.1:9");
        assert_eq!(
            (candidate["excluded"].is_null(), candidate["view"].is_null()),
            (true, true)
        );
        assert_eq!(candidate["own"]["flows"], 0);
    });
}
