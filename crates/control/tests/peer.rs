//! The transport between control VMs: reconnection after a silent network partition, and decoding
//! of arbitrary bytes.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use control::peer::{self, Body, Client, Envelope, MAX_BODY_BYTES, Sender};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Maximum wait for anything that must happen eventually.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn envelope(context: u64) -> Envelope {
    Envelope {
        from: Sender {
            id: 1,
            name: "c1".to_owned(),
            address: "127.0.0.1:1".to_owned(),
        },
        to: 2,
        body: Body::ReadIndex { context },
    }
}

/// Forwards bytes in both directions until `is_partitioned`, and discards them from then on.
async fn proxy_bytes(near: TcpStream, far: SocketAddr, is_partitioned: Arc<AtomicBool>) {
    let far = TcpStream::connect(far).await.unwrap();
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let half = |mut from: tokio::net::tcp::OwnedReadHalf,
                mut to: tokio::net::tcp::OwnedWriteHalf| {
        let is_partitioned = is_partitioned.clone();
        async move {
            let mut buffer = vec![0; 4_096];
            while let Ok(length) = from.read(&mut buffer).await {
                if length == 0 {
                    return;
                }
                if !is_partitioned.load(Ordering::Relaxed)
                    && to.write_all(&buffer[..length]).await.is_err()
                {
                    return;
                }
            }
        }
    };
    tokio::join!(half(near_in, far_out), half(far_in, near_out));
}

#[tokio::test]
async fn a_connection_lost_to_a_silent_partition_is_replaced() {
    let token = CancellationToken::new();
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let far = server.local_addr().unwrap();
    let (received, mut messages) = mpsc::unbounded_channel();
    let deliver = move |envelope| drop(received.send(envelope));
    tokio::spawn(peer::serve(server, deliver, token.clone()));

    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = proxy.local_addr().unwrap().to_string();
    let (accepted, mut connections) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (near, _) = proxy.accept().await.unwrap();
            let is_partitioned = Arc::<AtomicBool>::default();
            tokio::spawn(proxy_bytes(near, far, is_partitioned.clone()));
            accepted.send(is_partitioned).unwrap();
        }
    });

    let mut client = Client::new(tokio::runtime::Handle::current(), token.clone());
    let mut next = 0;
    for _ in 0..2 {
        let connection = timeout(TEST_TIMEOUT, connections.recv());
        // Messages queued without a connection are dropped, so only messages from `first_new` on
        // count.
        client.send(&address, envelope(next));
        let is_partitioned = connection.await.unwrap().unwrap();
        let first_new = next;
        let arrived = async {
            loop {
                next += 1;
                client.send(&address, envelope(next));
                let message = timeout(Duration::from_millis(100), messages.recv()).await;
                if let Ok(Some(Envelope {
                    body: Body::ReadIndex { context },
                    ..
                })) = message
                    && context >= first_new
                {
                    return;
                }
            }
        };
        timeout(TEST_TIMEOUT, arrived).await.unwrap();
        is_partitioned.store(true, Ordering::Relaxed);
        while messages.try_recv().is_ok() {}
    }
    token.cancel();
}

#[test]
fn arbitrary_bytes_are_decoded_without_a_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = wire::frame::decode_body::<Envelope, { 8 * MAX_BODY_BYTES }>(bytes);
    });
}

#[test]
fn a_message_arrives_as_it_was_sent() {
    let sent = envelope(7);
    let bytes = wire::frame::encode_body(&sent).unwrap();
    let read = wire::frame::decode_body::<Envelope, { 8 * MAX_BODY_BYTES }>(&bytes);
    assert_eq!(read, Ok(sent));
}
