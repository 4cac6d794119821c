//! Opens a stream to a control VM.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use http::{Method, Request, StatusCode};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::{
    CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES,
    stream::{Receiver, Sender},
};

/// Maximum time to open a stream, connection included.
pub const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a stream could not be opened.
#[derive(Debug, Display)]
pub enum Error {
    /// can't connect to {0}: {1}
    Connect(SocketAddr, std::io::Error),
    /// {0} did not open a stream within 1 s
    Timeout(SocketAddr),
    /// HTTP/2 handshake with {0} failed: {1}
    Handshake(SocketAddr, h2::Error),
    /// {0} refused the stream with status {1}
    Refused(SocketAddr, StatusCode),
    /// invalid path {0:?}
    Path(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Reports whether the control VM is reachable but does not serve this path.
    #[must_use]
    pub fn is_unknown_path(&self) -> bool {
        matches!(self, Self::Refused(_, StatusCode::NOT_FOUND))
    }
}

/// An open stream. Dropping the stream closes its connection.
#[derive(Debug)]
pub struct Stream {
    /// The sending half.
    pub sender: Sender,
    /// The receiving half.
    pub receiver: Receiver,
    connection: JoinHandle<()>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Opens a stream with `path` to the control VM at `peer`.
///
/// # Errors
///
/// Says which step failed.
pub async fn open(peer: SocketAddr, path: &str) -> Result<Stream, Error> {
    timeout(DIAL_TIMEOUT, open_unbounded(peer, path))
        .await
        .map_err(|_| Error::Timeout(peer))?
}

async fn open_unbounded(peer: SocketAddr, path: &str) -> Result<Stream, Error> {
    let tcp = TcpStream::connect(peer)
        .await
        .map_err(|e| Error::Connect(peer, e))?;
    tcp.set_nodelay(true).map_err(|e| Error::Connect(peer, e))?;
    let (mut requests, connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(tcp)
        .await
        .map_err(|e| Error::Handshake(peer, e))?;
    let connection = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "delivery", "connection to {peer} ended: {error}");
        }
    });
    // If a later step fails, the guard aborts the connection's task.
    let guard = AbortOnDrop(Some(connection));
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}{path}"))
        .body(())
        .map_err(|_| Error::Path(path.to_owned()))?;
    let (response, sender) = requests
        .send_request(request, false)
        .map_err(|e| Error::Handshake(peer, e))?;
    let response = response.await.map_err(|e| Error::Handshake(peer, e))?;
    if response.status() != StatusCode::OK {
        return Err(Error::Refused(peer, response.status()));
    }
    Ok(Stream {
        sender: Sender::new(sender),
        receiver: Receiver::new(response.into_body()),
        connection: guard.into_inner(),
    })
}

/// Aborts a task on drop, unless the task was taken out.
struct AbortOnDrop(Option<JoinHandle<()>>);

impl AbortOnDrop {
    fn into_inner(mut self) -> JoinHandle<()> {
        match self.0.take() {
            Some(task) => task,
            None => unreachable!("only this method takes the task, and it consumes the guard"),
        }
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}
