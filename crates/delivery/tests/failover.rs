//! The entry VM's client with test control VMs that answer, stay silent, or refer the client to
//! another control VM.

use std::{net::SocketAddr, time::Duration};

use delivery::{client, delta::Update, server};
use model::{
    delivery::{Heartbeat, Hello, ToControl, ToEntry},
    name::Name,
};
use tokio::{net::TcpListener, sync::mpsc, time::timeout};
use tokio_util::sync::CancellationToken;

/// Maximum wait for anything that must happen eventually.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Behaviour of a test control VM.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers each message with the given index.
    AnswersWith(u64),
    /// Accepts the stream and never answers.
    NeverAnswers,
    /// Refers each entry VM to another control VM.
    RefersAway,
}

/// Starts a test control VM, which passes received messages to `received`.
async fn control(
    behaviour: Behaviour,
    received: mpsc::UnboundedSender<ToControl>,
    token: &CancellationToken,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let serve = move |mut stream: server::Stream| {
        let received = received.clone();
        async move {
            while let Ok(message) = stream.receiver.receive::<ToControl>().await {
                drop(received.send(message));
                let answer = match behaviour {
                    Behaviour::AnswersWith(index) => Update::Current { index },
                    Behaviour::RefersAway => Update::TryOther,
                    Behaviour::NeverAnswers => continue,
                };
                drop(stream.sender.send(&answer).await);
            }
        }
    };
    tokio::spawn(server::run(listener, serve, token.child_token()));
    address
}

fn hello() -> Hello {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Hello {
        vm: Name::new("entry-1").expect("a name"),
        domain: Name::new("vejle").expect("a name"),
        incarnation: 1,
        peer_address: address,
        http_address: address,
        cluster: 0,
        index: 0,
    }
}

fn heartbeat(index: u64) -> ToControl {
    ToControl::Heartbeat(Heartbeat {
        index,
        ..Heartbeat::default()
    })
}

/// Runs a client with the given control VMs and returns the first answer that arrives.
async fn first_answer(controls: Vec<SocketAddr>, seed: u64) -> ToEntry {
    let (to_control, outgoing) = mpsc::channel(8);
    let (incoming, mut answers) = mpsc::channel(8);
    let token = CancellationToken::new();
    let settings = client::Settings {
        seed,
        ..client::Settings::new(controls, hello)
    };
    let running = tokio::spawn(client::run(settings, outgoing, incoming, token.clone()));
    to_control
        .try_send(heartbeat(0))
        .expect("room for one heartbeat");
    let answer = timeout(TEST_TIMEOUT, answers.recv()).await;
    token.cancel();
    drop(running.await);
    answer
        .expect("an answer in time")
        .expect("a running client")
}

#[tokio::test]
async fn the_client_switches_from_an_unusable_control_vm_to_one_that_answers() {
    let token = CancellationToken::new();
    let (received, _received) = mpsc::unbounded_channel();
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let controls = vec![
        dead,
        control(Behaviour::NeverAnswers, received.clone(), &token).await,
        control(Behaviour::RefersAway, received.clone(), &token).await,
        control(Behaviour::AnswersWith(7), received, &token).await,
    ];
    // The seed determines which control VM is tried first.
    for seed in 0..4 {
        let answer = first_answer(controls.clone(), seed).await;
        assert_eq!(answer, ToEntry::Current { index: 7 });
    }
    token.cancel();
}

#[tokio::test]
async fn after_reconnecting_only_the_newest_heartbeat_is_sent() {
    let (to_control, outgoing) = mpsc::channel(8);
    let (incoming, _answers) = mpsc::channel(8);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let token = CancellationToken::new();
    let settings = client::Settings::new([address], hello);
    tokio::spawn(client::run(settings, outgoing, incoming, token.clone()));
    for index in 1..=5 {
        to_control
            .send(heartbeat(index))
            .await
            .expect("a running client");
    }
    // No control VM has listened so far. Once the client has drained its channel, it keeps only the
    // newest of the five heartbeats.
    timeout(TEST_TIMEOUT, async {
        while to_control.capacity() < 8 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the client drains its channel");
    let listener = TcpListener::bind(address).await.expect("the same port");
    let (received, mut messages) = mpsc::unbounded_channel();
    let serve = move |mut stream: server::Stream| {
        let received = received.clone();
        async move {
            while let Ok(message) = stream.receiver.receive::<ToControl>().await {
                drop(received.send(message));
            }
        }
    };
    tokio::spawn(server::run(listener, serve, token.child_token()));
    let next = timeout(TEST_TIMEOUT, async {
        (messages.recv().await, messages.recv().await)
    });
    let (first, second) = next.await.expect("a stream in time");
    assert_eq!(first, Some(ToControl::Hello(hello())));
    assert_eq!(second, Some(heartbeat(5)));
    token.cancel();
}

#[tokio::test]
async fn a_peer_without_http2_or_with_an_unknown_path_is_refused() {
    let token = CancellationToken::new();
    let (received, mut messages) = mpsc::unbounded_channel();
    let address = control(Behaviour::AnswersWith(1), received, &token).await;
    let refused = delivery::dial::open(address, "/other").await;
    assert!(refused.is_err());
    let mut tcp = tokio::net::TcpStream::connect(address)
        .await
        .expect("a connection");
    tokio::io::AsyncWriteExt::write_all(&mut tcp, &[0xff; 100])
        .await
        .expect("some bytes");
    assert!(
        delivery::dial::open(address, delivery::ENTRY_PATH)
            .await
            .is_ok()
    );
    assert!(messages.try_recv().is_err());
    token.cancel();
}
