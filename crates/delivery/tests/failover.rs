//! An entry VM's client against small control VMs that answer, fall silent, or send it away.

use std::{net::SocketAddr, time::Duration};

use delivery::{client, delta::Update, server};
use model::{
    delivery::{Heartbeat, Hello, ToControl, ToEntry},
    name::Name,
};
use tokio::{net::TcpListener, sync::mpsc, time::timeout};
use tokio_util::sync::CancellationToken;

/// Longest wait for anything that must happen in the end.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a small control VM behaves.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers each message with this index.
    Answers(u64),
    /// Takes the stream and says nothing.
    Silent,
    /// Sends each entry VM away.
    SendsAway,
}

/// Starts a small control VM; what it hears goes to `heard`.
async fn control(
    behaviour: Behaviour,
    heard: mpsc::UnboundedSender<ToControl>,
    token: &CancellationToken,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let serve = move |mut stream: server::Stream| {
        let heard = heard.clone();
        async move {
            while let Ok(message) = stream.receiver.receive::<ToControl>().await {
                drop(heard.send(message));
                let answer = match behaviour {
                    Behaviour::Answers(index) => Update::Current { index },
                    Behaviour::SendsAway => Update::TryOther,
                    Behaviour::Silent => continue,
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

fn beat(index: u64) -> ToControl {
    ToControl::Heartbeat(Heartbeat {
        index,
        ..Heartbeat::default()
    })
}

/// Runs a client over `controls` and returns the first answer that it gets.
async fn first_answer(controls: Vec<SocketAddr>, seed: u64) -> ToEntry {
    let (to_control, outgoing) = mpsc::channel(8);
    let (incoming, mut answers) = mpsc::channel(8);
    let token = CancellationToken::new();
    let settings = client::Settings {
        seed,
        ..client::Settings::new(controls, hello)
    };
    let running = tokio::spawn(client::run(settings, outgoing, incoming, token.clone()));
    to_control.try_send(beat(0)).expect("room for one beat");
    let answer = timeout(PATIENCE, answers.recv()).await;
    token.cancel();
    drop(running.await);
    answer
        .expect("an answer in the end")
        .expect("a running client")
}

#[tokio::test]
async fn a_silent_or_useless_control_vm_is_left_for_one_that_answers() {
    let token = CancellationToken::new();
    let (heard, _unheard) = mpsc::unbounded_channel();
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let controls = vec![
        dead,
        control(Behaviour::Silent, heard.clone(), &token).await,
        control(Behaviour::SendsAway, heard.clone(), &token).await,
        control(Behaviour::Answers(7), heard, &token).await,
    ];
    // Whichever is tried first.
    for seed in 0..4 {
        let answer = first_answer(controls.clone(), seed).await;
        assert_eq!(answer, ToEntry::Current { index: 7 });
    }
    token.cancel();
}

#[tokio::test]
async fn what_finds_no_stream_is_said_later_in_its_newest_form() {
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
            .send(beat(index))
            .await
            .expect("a running client");
    }
    // Until here nobody listened; the queue is taken in, so that five beats became one.
    timeout(PATIENCE, async {
        while to_control.capacity() < 8 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the queue is never stuck");
    let listener = TcpListener::bind(address).await.expect("the same port");
    let (heard, mut said) = mpsc::unbounded_channel();
    let serve = move |mut stream: server::Stream| {
        let heard = heard.clone();
        async move {
            while let Ok(message) = stream.receiver.receive::<ToControl>().await {
                drop(heard.send(message));
            }
        }
    };
    tokio::spawn(server::run(listener, serve, token.child_token()));
    let next = timeout(PATIENCE, async { (said.recv().await, said.recv().await) });
    let (first, second) = next.await.expect("a stream in the end");
    assert_eq!(first, Some(ToControl::Hello(hello())));
    assert_eq!(second, Some(beat(5)));
    token.cancel();
}

#[tokio::test]
async fn a_peer_that_speaks_no_http2_or_asks_for_another_path_is_refused() {
    let token = CancellationToken::new();
    let (heard, mut said) = mpsc::unbounded_channel();
    let address = control(Behaviour::Answers(1), heard, &token).await;
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
    assert!(said.try_recv().is_err());
    token.cancel();
}
