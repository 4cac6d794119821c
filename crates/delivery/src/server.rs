//! Accepts streams of entry VMs and of other control VMs.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES,
    stream::{Receiver, Sender},
};

/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2_048;

/// Maximum number of concurrent streams of one connection.
const MAX_STREAMS: u32 = 4;

/// Paths that a control VM serves.
const PATHS: [&str; 6] = [
    crate::ENTRY_PATH,
    crate::CONTROL_PATH,
    crate::ROUTING_PATH,
    crate::SECOND_ROUTING_PATH,
    crate::THIRD_ROUTING_PATH,
    crate::FOURTH_ROUTING_PATH,
];

/// Maximum time for the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, for example because of too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A stream that a peer opened.
#[derive(Debug)]
pub struct Stream {
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Requested path, such as [`crate::ENTRY_PATH`].
    pub path: String,
    /// The sending half.
    pub sender: Sender,
    /// The receiving half.
    pub receiver: Receiver,
    /// Cancelled when the server stops.
    pub token: CancellationToken,
}

/// Accepts streams at `listener` and passes each to `serve`, until `token` is cancelled.
pub async fn run<F>(
    listener: TcpListener,
    serve: impl Fn(Stream) -> F + Send + Sync + 'static,
    token: CancellationToken,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let serve = Arc::new(serve);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (tcp, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "delivery", "can't accept a connection: {error}; retrying in 0.1 s");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            metrics::counter!("oriole_delivery_connections_refused_total").increment(1);
            continue;
        };
        let serve = serve.clone();
        let token = token.child_token();
        tokio::spawn(async move {
            let ended = token.clone();
            tokio::select! {
                () = ended.cancelled() => {}
                () = serve_connection(tcp, peer, &*serve, token) => {}
            }
            drop(permit);
        });
    }
}

async fn serve_connection<F>(
    tcp: TcpStream,
    peer: SocketAddr,
    serve: &(impl Fn(Stream) -> F + Send + Sync),
    token: CancellationToken,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // If this fails, small messages are only delayed.
    drop(tcp.set_nodelay(true));
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(tcp));
    let Ok(Ok(mut streams)) = handshake.await else {
        metrics::counter!("oriole_delivery_handshakes_failed_total").increment(1);
        log::debug!(target: "delivery", "closing the connection from {peer}: the HTTP/2 handshake failed");
        return;
    };
    while let Some(accepted) = streams.accept().await {
        let Ok((request, respond)) = accepted else {
            return;
        };
        let stream = accept_stream(peer, request, respond, token.clone());
        if let Some(stream) = stream {
            tokio::spawn(serve(stream));
        }
    }
}

fn accept_stream(
    peer: SocketAddr,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    token: CancellationToken,
) -> Option<Stream> {
    let path = request.uri().path().to_owned();
    let known = PATHS.contains(&&*path);
    let mut response = Response::new(());
    if !known {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    // If the peer has disconnected already, sending the first message fails.
    let sender = respond.send_response(response, !known).ok()?;
    known.then(|| Stream {
        peer,
        path,
        sender: Sender::new(sender),
        receiver: Receiver::new(request.into_body()),
        token,
    })
}
