//! Streams of an entry VM to a control VM of the build before.

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

/// Longest wait for what is to come at once.
const PATIENCE: Duration = Duration::from_secs(20);

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

/// Serves connections as a control VM of the build before did, and reports what entry VMs say
/// first.
async fn serve_as_before(listener: TcpListener, said: mpsc::Sender<(String, ToControl)>) {
    loop {
        let (tcp, _) = listener.accept().await.unwrap();
        ntex::rt::spawn(serve_connection(tcp, said.clone()));
    }
}

async fn serve_connection(tcp: TcpStream, said: mpsc::Sender<(String, ToControl)>) {
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
        let said = said.clone();
        ntex::rt::spawn(async move {
            let mut receiver = Receiver::new(request.into_body());
            let first: ToControl = receiver.receive().await.unwrap();
            let mut sender: Sender = Sender::new(sender);
            sender.send(&ToEntry::Complete).await.unwrap();
            said.send((path, first)).await.unwrap();
            // Keeps the stream open.
            drop(receiver.receive::<ToControl>().await);
        });
    }
}

#[test]
fn a_control_vm_of_the_build_before_is_spoken_to_as_it_understands() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = listener.local_addr().unwrap();
        let (said, mut heard) = mpsc::channel(4);
        ntex::rt::spawn(serve_as_before(listener, said));
        let settings = settings(control);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let driver = GatewayDriver::new(&settings, socket);
        let token = CancellationToken::new();
        let control_streams = ControlStreams::new(settings, driver.clone(), token.clone());
        control_streams.start_missing_streams();
        let (path, first) = timeout(PATIENCE, heard.recv()).await.unwrap().unwrap();
        let vm = "entry-1".into();
        assert_eq!((&*path, first), (ROUTING_PATH, ToControl::Hello { vm }));
        let mut tries = 0;
        while driver.dump()["streams_complete"] != 1 {
            tries += 1;
            assert!(tries < 2_000, "the stream was not taken");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        token.cancel();
    });
}
