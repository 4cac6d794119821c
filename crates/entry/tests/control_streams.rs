//! Tests the stream of an entry VM to a control VM of the previous build.
//!
//! Guards against an entry VM that gets no stream during an upgrade: the previous build serves only
//! the first version of the path and answers 404 to the second.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{net::SocketAddr, time::Duration};

use delivery::{
    ROUTING_PATH,
    stream::{Receiver, Sender},
};
use entry::gateway::{control_streams::ControlStreams, driver::GatewayDriver};
use http::{Response, StatusCode};
use model::routing::{ToControl, ToEntry};
use settings::gateway::Entry;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Longest wait for an event that should come at once.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

fn settings(control: SocketAddr) -> Entry {
    Entry {
        name: "entry-1".to_owned(),
        domain: "a".parse().unwrap(),
        fabric_listen: "127.0.0.1:9".parse().unwrap(),
        health_listen: "127.0.0.1:9".parse().unwrap(),
        first_port: control.port(),
        seeds: vec![control],
        link_mbps: 1_000.0,
        log: settings::log::Level::default(),
        seed: Some(1),
    }
}

/// Serves connections as a control VM of the previous build, and sends the path and the first
/// message of each stream to `first_messages`.
async fn serve_previous_build(
    listener: TcpListener,
    first_messages: mpsc::Sender<(String, ToControl)>,
) {
    loop {
        let (tcp, _) = listener.accept().await.unwrap();
        ntex::rt::spawn(serve_connection(tcp, first_messages.clone()));
    }
}

async fn serve_connection(tcp: TcpStream, first_messages: mpsc::Sender<(String, ToControl)>) {
    let mut connection = h2::server::handshake(tcp).await.unwrap();
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let path = request.uri().path().to_owned();
        let mut response = Response::new(());
        if path != ROUTING_PATH {
            *response.status_mut() = StatusCode::NOT_FOUND;
            respond.send_response(response, true).unwrap();
            continue;
        }
        let sender = respond.send_response(response, false).unwrap();
        let first_messages = first_messages.clone();
        ntex::rt::spawn(async move {
            let mut receiver = Receiver::new(request.into_body());
            let first: ToControl = receiver.receive().await.unwrap();
            let mut sender: Sender = Sender::new(sender);
            sender.send(&ToEntry::Complete).await.unwrap();
            first_messages.send((path, first)).await.unwrap();
            // Keeps the stream open until the entry VM sends again or closes the stream.
            drop(receiver.receive::<ToControl>().await);
        });
    }
}

#[test]
fn a_control_vm_of_the_previous_build_gets_a_stream_of_the_first_version() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = listener.local_addr().unwrap();
        let (first_messages, mut received) = mpsc::channel(4);
        ntex::rt::spawn(serve_previous_build(listener, first_messages));
        let settings = settings(control);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let driver = GatewayDriver::new(&settings, socket);
        let token = CancellationToken::new();
        let control_streams = ControlStreams::new(settings, driver.clone(), token.clone());
        control_streams.start_missing_streams();
        let (path, first) = timeout(EVENT_TIMEOUT, received.recv())
            .await
            .unwrap()
            .unwrap();
        let vm = "entry-1".into();
        assert_eq!((&*path, first), (ROUTING_PATH, ToControl::Hello { vm }));
        let mut attempts = 0;
        while driver.dump()["streams_complete"] != 1 {
            attempts += 1;
            assert!(attempts < 2_000, "the stream was not synced");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        token.cancel();
    });
}
