//! The shell around the decisions: what is held, released and paced.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use entry::gateway::shell::Shell;
use model::{
    plan::{Plan, Route, Service, Target},
    routing::{Agreed, Announced, Incarnation, Phase, ToEntry},
};
use settings::gateway::Entry;
use tokio::net::UdpSocket;

/// Longest wait for what is to come at once.
const PATIENCE: Duration = Duration::from_secs(20);

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
        log: settings::log::Level::default(),
        seed: Some(1),
    }
}

/// A packet from client port `port` with `data` bytes, as the platform's pages lay it out.
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

/// Tells the shell of a plan and of upstream 5 at `upstream`.
fn tell(shell: &Shell, upstream: SocketAddr) {
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
    shell.add_control_stream(control);
    assert_eq!(shell.take(control, ToEntry::Agreed(agreed)), Some(1));
    assert_eq!(shell.take(control, ToEntry::Plan(Arc::new(plan))), None);
    shell.take(control, ToEntry::Announced(vec![(announced, 0)]));
    shell.take(control, ToEntry::Complete);
}

/// Has the fabric send `packets`, and the shell take them.
async fn deliver(shell: &Shell, packets: &[Vec<u8>]) {
    let fabric = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let to = shell.socket().local_addr().unwrap();
    for packet in packets {
        fabric.send_to(packet, to).await.unwrap();
        shell.socket().readable().await.unwrap();
        shell.take_packets(8).unwrap();
    }
}

async fn shell(link_mbps: f64) -> Shell {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    Shell::new(&settings(link_mbps), socket)
}

/// Receives `count` datagrams at an upstream, while the shell sends what the link lets it.
async fn receive(shell: &Shell, upstream: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut received = Vec::new();
    let mut buffer = [0; 2_048];
    let all = async {
        while received.len() < count {
            let wait = shell.send_paced().unwrap_or(Duration::from_millis(5));
            let next = tokio::time::timeout(wait, upstream.recv(&mut buffer)).await;
            if let Ok(length) = next {
                received.push(buffer[..length.unwrap()].to_vec());
            }
        }
    };
    tokio::time::timeout(PATIENCE, all).await.unwrap();
    received
}

#[test]
fn held_packets_that_overfill_the_link_wake_the_one_that_sends_them() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let shell = shell(2.0).await;
        let upstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        // Nothing is known yet, so all of them are held.
        let packets: Vec<Vec<u8>> = (0..12).map(|port| packet(port, 4, 5, 1_200)).collect();
        deliver(&shell, &packets).await;
        tell(&shell, upstream.local_addr().unwrap());
        // Whoever sends what waits for the link has to learn of it.
        let told = tokio::time::timeout(PATIENCE, shell.paced_changed.notified()).await;
        told.unwrap();
        let received = receive(&shell, &upstream, packets.len()).await;
        assert_eq!(received[0][..8], 5_u64.to_be_bytes());
        assert_eq!(received[0][8..], packets[0]);
    });
}

#[test]
fn a_packet_for_a_known_upstream_is_passed_on_with_its_token() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let shell = shell(1_000.0).await;
        let upstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        tell(&shell, upstream.local_addr().unwrap());
        let opening = packet(7, 1, 0, 0);
        deliver(&shell, std::slice::from_ref(&opening)).await;
        let mut received = receive(&shell, &upstream, 1).await.remove(0);
        assert_eq!(received[16..20], 5_u32.to_le_bytes());
        received[16..20].fill(0);
        assert_eq!(received[8..], opening);
    });
}
