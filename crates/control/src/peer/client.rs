//! The sending side: one task and one connection per peer.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use delivery::backoff::{Backoff, random_seed};
use displaydoc::Display;
use h2::SendStream;
use http::Request;
use tokio::{
    net::TcpStream,
    sync::mpsc::{self, error::TrySendError},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use super::{Envelope, HEADER_LEN, MAX_BODY_BYTES, MAX_QUEUED_MESSAGES, WINDOW_BYTES};

/// Maximum time for a handshake, a ping, or the transmission of one frame.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to connect. A VM without power does not answer, and the kernel repeats the first
/// packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum wait between two connection attempts.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Interval between two pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a connection ended.
#[derive(Debug, Display)]
enum Error {
    /// can't connect to {0}: {1}
    Connect(SocketAddr, String),
    /// can't send to {0}: {1}
    Send(SocketAddr, String),
}

/// Sends messages to all peers. Dropping the client closes its connections.
#[derive(Debug)]
pub struct Client {
    runtime: tokio::runtime::Handle,
    token: CancellationToken,
    queues: BTreeMap<String, mpsc::Sender<Arc<Envelope>>>,
}

impl Client {
    /// Returns a client whose tasks run on `runtime` until `token` is cancelled.
    #[must_use]
    pub fn new(runtime: tokio::runtime::Handle, token: CancellationToken) -> Self {
        Self {
            runtime,
            token,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message for the peer at `address`, or drops it when the queue of that peer is full.
    pub fn send(&mut self, address: &str, envelope: Envelope) {
        if !self.queues.contains_key(address) {
            let Ok(socket) = address.parse() else {
                log::warn!(
                    "peer: address {address:?} is invalid, no messages are sent there: correct the settings of that VM"
                );
                return;
            };
            let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
            self.queues.insert(address.to_owned(), sender);
            let task = maintain_connection(socket, queue, self.token.clone());
            self.runtime.spawn(task);
        }
        let Some(queue) = self.queues.get(address) else {
            return;
        };
        match queue.try_send(Arc::new(envelope)) {
            Ok(()) => metrics::counter!("control_peer_sent_total").increment(1),
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                metrics::counter!("control_peer_dropped_total").increment(1);
            }
        }
    }
}

/// Keeps a connection to one peer open until `token` is cancelled.
async fn maintain_connection(
    address: SocketAddr,
    mut queue: mpsc::Receiver<Arc<Envelope>>,
    token: CancellationToken,
) {
    let mut was_connected = true;
    let mut backoff = Backoff::new(MAX_RETRY_WAIT, MAX_RETRY_WAIT, random_seed());
    loop {
        let outcome = tokio::select! {
            () = token.cancelled() => return,
            outcome = connect_and_send(address, &mut queue, &mut was_connected) => outcome,
        };
        match outcome {
            // All senders of the queue are dropped.
            Ok(()) => return,
            Err(error) if was_connected => log::info!("peer: {error}; reconnecting"),
            Err(error) => log::debug!("peer: {error}; reconnecting"),
        }
        was_connected = false;
        // Messages queued while there was no connection are out of date.
        while queue.try_recv().is_ok() {}
        tokio::time::sleep(backoff.wait(0)).await;
    }
}

async fn connect_and_send(
    address: SocketAddr,
    queue: &mut mpsc::Receiver<Arc<Envelope>>,
    was_connected: &mut bool,
) -> Result<(), Error> {
    let failed = |e: String| Error::Connect(address, e);
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = socket.map_err(|e| failed(e.to_string()))?;
    let socket = socket.map_err(|e| failed(e.to_string()))?;
    socket
        .set_nodelay(true)
        .map_err(|e| failed(e.to_string()))?;
    let handshake = timeout(IO_TIMEOUT, h2::client::handshake(socket)).await;
    let handshake = handshake.map_err(|e| failed(e.to_string()))?;
    let (client, mut connection) = handshake.map_err(|e| failed(e.to_string()))?;
    let pings = connection.ping_pong();
    let stream = async {
        let mut client = client.ready().await.map_err(|e| failed(e.to_string()))?;
        let request = Request::post(format!("http://{address}/peer"))
            .body(())
            .map_err(|e| failed(e.to_string()))?;
        let (_response, stream) = client
            .send_request(request, false)
            .map_err(|e| failed(e.to_string()))?;
        *was_connected = true;
        send_all(address, queue, stream).await
    };
    tokio::select! {
        outcome = stream => outcome,
        () = wait_for_ping_timeout(pings) => Err(Error::Send(address, "no answer to a ping within 2 s".to_owned())),
        ended = connection => Err(Error::Send(address, match ended {
            Ok(()) => "the peer closed the connection".to_owned(),
            Err(e) => e.to_string(),
        })),
    }
}

/// Returns when the peer does not answer a ping in time.
///
/// After a network partition, TCP alone may wait as long again as the partition lasted before it
/// resends.
async fn wait_for_ping_timeout(pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else {
        return;
    };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let pong = timeout(IO_TIMEOUT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return;
        }
    }
}

async fn send_all(
    address: SocketAddr,
    queue: &mut mpsc::Receiver<Arc<Envelope>>,
    mut stream: SendStream<Bytes>,
) -> Result<(), Error> {
    while let Some(envelope) = queue.recv().await {
        let Some(frame) = encode_frame(&envelope) else {
            continue;
        };
        metrics::counter!("control_peer_sent_bytes_total").increment(frame.len() as u64);
        let sent = timeout(IO_TIMEOUT, send_frame(&mut stream, frame)).await;
        sent.map_err(|_| "the peer accepted no data for 2 s".to_owned())
            .and_then(|outcome| outcome)
            .map_err(|e| Error::Send(address, e))?;
    }
    Ok(())
}

/// Sends a frame in parts as the peer's flow-control window allows.
async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), String> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = match capacity {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(e.to_string()),
            None => return Err("the stream is closed".to_owned()),
        };
        let part = frame.split_to(capacity.min(frame.len()));
        stream.send_data(part, false).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn encode_frame(envelope: &Envelope) -> Option<Bytes> {
    let body = wire::frame::encode_body(envelope).ok()?;
    let length = u32::try_from(body.len()).ok()?;
    if body.len() > MAX_BODY_BYTES || body.len() as u64 > u64::from(WINDOW_BYTES) {
        log::warn!(
            "peer: dropping a message of {length} bytes, which exceeds the maximum frame size"
        );
        return None;
    }
    let mut frame = BytesMut::with_capacity(HEADER_LEN + body.len());
    frame.put_u32(length);
    frame.put_slice(&body);
    Some(frame.freeze())
}
