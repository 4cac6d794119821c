//! Tests the streams of an entry VM to control VMs.
//!
//! Guards against an entry VM that gets no stream during an upgrade (a control VM of an older build
//! serves only older versions of the path and answers 404 to others), and against one that misses a
//! control VM which joined the cluster, or keeps the stream to one which left, while the
//! configuration doesn't change.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use delivery::{
    FOURTH_ROUTING_PATH, ROUTING_PATH,
    stream::{Receiver, Sender},
};
use entry::gateway::{control_streams::ControlStreams, driver::GatewayDriver};
use http::{Response, StatusCode};
use model::routing::{Announced, ControlList, Group, Incarnation, Phase, ToControl, ToEntry};
use settings::gateway::Entry;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{mpsc, watch},
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
        place_by_shared_work: true,
        announce_ms: 1_000,
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

/// Serves streams of the current version: sends the lists that arrive in `lists` on every stream
/// that is open then, and counts open streams in `open`.
async fn serve_lists(
    listener: TcpListener,
    lists: watch::Receiver<Option<ControlList>>,
    open: Rc<Cell<usize>>,
) {
    loop {
        let (tcp, _) = listener.accept().await.unwrap();
        let (lists, open) = (lists.clone(), Rc::clone(&open));
        ntex::rt::spawn(async move {
            let mut connection = h2::server::handshake(tcp).await.unwrap();
            while let Some(Ok((request, mut respond))) = connection.accept().await {
                assert_eq!(request.uri().path(), FOURTH_ROUTING_PATH);
                let sender = respond.send_response(Response::new(()), false).unwrap();
                let (lists, open) = (lists.clone(), Rc::clone(&open));
                ntex::rt::spawn(async move {
                    let mut receiver = Receiver::new(request.into_body());
                    let mut sender = Sender::new(sender);
                    open.set(open.get() + 1);
                    let end = send_lists(&mut sender, lists);
                    tokio::select! {
                        () = end => {}
                        () = async { while receiver.receive::<ToControl>().await.is_ok() {} } => {}
                    }
                    open.set(open.get() - 1);
                });
            }
        });
    }
}

async fn send_lists(sender: &mut Sender, mut lists: watch::Receiver<Option<ControlList>>) {
    loop {
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list
            && sender.send(&ToEntry::Controls(list)).await.is_err()
        {
            return;
        }
        if lists.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Waits until `condition` holds.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen");
}

#[test]
fn streams_follow_the_list_of_control_vms_without_a_change_of_the_configuration() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let (lists, receiver) = watch::channel(None);
        let mut controls = Vec::new();
        let mut open = Vec::new();
        for _ in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            controls.push(listener.local_addr().unwrap());
            let count = Rc::new(Cell::new(0));
            open.push(Rc::clone(&count));
            ntex::rt::spawn(serve_lists(listener, receiver.clone(), count));
        }
        let settings = settings(controls[0]);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let driver = GatewayDriver::new(&settings, socket);
        let token = CancellationToken::new();
        let streams = ControlStreams::new(settings, driver.clone(), token.clone());
        ntex::rt::spawn({
            let streams = streams.clone();
            async move {
                loop {
                    streams.update_streams();
                    streams.wait_for_change().await;
                }
            }
        });
        let counts = || open.iter().map(|count| count.get()).collect::<Vec<_>>();
        wait_until("the stream to the seed", || counts() == [1, 0, 0]).await;

        let list = |version, addresses: &[SocketAddr]| {
            let addresses = addresses.to_vec();
            Some(ControlList { version, addresses })
        };
        lists.send_replace(list(5, &controls[..2]));
        wait_until("the stream to a VM that joined", || counts() == [1, 1, 0]).await;
        lists.send_replace(list(6, &[controls[0], controls[2]]));
        wait_until("the exchange of a VM", || counts() == [1, 0, 1]).await;
        // Neither an older list nor an invalid one changes the streams.
        lists.send_replace(list(5, &controls[..2]));
        lists.send_replace(list(9, &[]));
        lists.send_replace(list(7, &[controls[0], controls[2], controls[1]]));
        wait_until("the stream to a VM that came back", || {
            counts() == [1, 1, 1]
        })
        .await;
        token.cancel();
    });
}

/// Sends `messages` on the first stream, and then gives what the entry VM sends to `received`.
async fn exchange(
    listener: TcpListener,
    messages: Vec<ToEntry>,
    received: mpsc::UnboundedSender<ToControl>,
) {
    let (tcp, _) = listener.accept().await.unwrap();
    let mut connection = h2::server::handshake(tcp).await.unwrap();
    let (request, mut respond) = connection.accept().await.unwrap().unwrap();
    let sender = respond.send_response(Response::new(()), false).unwrap();
    ntex::rt::spawn(async move {
        let mut receiver = Receiver::new(request.into_body());
        let mut sender = Sender::new(sender);
        for message in messages {
            sender.send(&message).await.unwrap();
        }
        while let Ok(message) = receiver.receive().await {
            if received.send(message).is_err() {
                return;
            }
        }
    });
    while connection.accept().await.is_some() {}
}

/// Guards against a stop whose incarnation no VM can tell: the control VM that gets the stop may never
/// have heard of the upstream, and entry VMs have.
#[test]
fn an_entry_vm_tells_which_incarnation_of_an_upstream_it_knows() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = settings(listener.local_addr().unwrap());
        let announced = Announced {
            incarnation: Incarnation {
                id: 7,
                started_ms: 100,
            },
            service: "booking".into(),
            address: "10.0.0.7:8080".parse().unwrap(),
            domain: "a".parse().unwrap(),
            slots: 2,
            phase: Phase::Draining,
            cold_ms: 0,
            sequence: 9,
        };
        let messages = vec![
            ToEntry::AnnouncedGroups(Group::all_of(vec![(announced.clone(), 0)])),
            ToEntry::FindUpstream { id: 7 },
            ToEntry::FindUpstream { id: 8 },
        ];
        let (sender, mut received) = mpsc::unbounded_channel();
        ntex::rt::spawn(exchange(listener, messages, sender));
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let driver = GatewayDriver::new(&settings, socket);
        let token = CancellationToken::new();
        ControlStreams::new(settings, driver, token.clone()).update_streams();
        let mut found = Vec::new();
        while found.len() < 2 {
            let message = timeout(EVENT_TIMEOUT, received.recv()).await.unwrap();
            if let ToControl::FoundUpstream { id, announced } = message.unwrap() {
                found.push((id, announced));
            }
        }
        assert_eq!(found, [(7, Some(announced)), (8, None)]);
        token.cancel();
    });
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
        control_streams.update_streams();
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
