//! The sending side: one task and one connection for each peer.

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

/// Time for a frame to be taken by the peer.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a connection to be made. A VM without power answers nothing, and the kernel repeats
/// the first packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time between two tries to connect.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection ended.
#[derive(Debug, Display)]
enum Error {
    /// connecting to {0} failed: {1}
    Connect(SocketAddr, String),
    /// sending to {0} failed: {1}
    Send(SocketAddr, String),
}

/// Sends to all peers. Dropping it ends its connections.
#[derive(Debug)]
pub struct Client {
    runtime: tokio::runtime::Handle,
    token: CancellationToken,
    queues: BTreeMap<String, mpsc::Sender<Arc<Envelope>>>,
}

impl Client {
    /// A client whose tasks run on `runtime` and end with `token`.
    #[must_use]
    pub fn new(runtime: tokio::runtime::Handle, token: CancellationToken) -> Self {
        Self {
            runtime,
            token,
            queues: BTreeMap::new(),
        }
    }

    /// Sends a message, or drops it when the peer's queue is full.
    pub fn send(&mut self, address: &str, envelope: Envelope) {
        if !self.queues.contains_key(address) {
            let Ok(socket) = address.parse() else {
                log::warn!("peer: address {address:?} is invalid: correct the settings of that VM");
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

/// Keeps one peer connected until `token` ends.
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
            // All senders are gone.
            Ok(()) => return,
            Err(error) if was_connected => log::info!("peer: {error}; trying again"),
            Err(error) => log::debug!("peer: {error}; trying again"),
        }
        was_connected = false;
        // What waited while there was no connection is out of date.
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
        () = wait_for_ping_timeout(pings) => Err(Error::Send(address, "peer answers no ping".to_owned())),
        ended = connection => Err(Error::Send(address, match ended {
            Ok(()) => "connection was closed".to_owned(),
            Err(e) => e.to_string(),
        })),
    }
}

/// Returns when the peer doesn't answer a ping in time.
///
/// After a network partition TCP alone may wait as long again before it resends.
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
        sent.map_err(|_| "peer takes nothing".to_owned())
            .and_then(|outcome| outcome)
            .map_err(|e| Error::Send(address, e))?;
    }
    Ok(())
}

/// Sends a frame as the peer's window allows.
async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), String> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = match capacity {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(e.to_string()),
            None => return Err("stream was closed".to_owned()),
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
        log::warn!("peer: message of {length} bytes is too large and is dropped");
        return None;
    }
    let mut frame = BytesMut::with_capacity(HEADER_LEN + body.len());
    frame.put_u32(length);
    frame.put_slice(&body);
    Some(frame.freeze())
}
