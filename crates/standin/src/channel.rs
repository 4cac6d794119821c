//! Command channel of an emulator over TCP: each line holds one JSON command or one JSON answer.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use displaydoc::Display;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader as AsyncBufReader},
    net::{TcpListener, TcpStream as AsyncTcpStream},
};
use tokio_util::sync::CancellationToken;

/// Timeout for the connection and for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// connection to the emulator at {0} failed: {1}
    Connect(SocketAddr, std::io::Error),
    /// no answer from the emulator at {0}: {1}
    Io(SocketAddr, std::io::Error),
    /// command for the emulator at {0} can't be encoded, or its answer can't be decoded: {1}
    Answer(SocketAddr, serde_json::Error),
}

impl std::error::Error for Error {}

/// Sends one command and blocks the thread until the answer arrives.
///
/// # Errors
///
/// Returns the step that failed, with the emulator's address.
pub fn ask<C: Serialize, A: DeserializeOwned>(
    address: SocketAddr,
    command: &C,
) -> Result<A, Error> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT);
    let mut stream = stream.map_err(|e| Error::Connect(address, e))?;
    let io = |e| Error::Io(address, e);
    stream.set_read_timeout(Some(TIMEOUT)).map_err(io)?;
    let mut line = serde_json::to_string(command).map_err(|e| Error::Answer(address, e))?;
    line.push('\n');
    stream.write_all(line.as_bytes()).map_err(io)?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(io)?;
    serde_json::from_str(&answer).map_err(|e| Error::Answer(address, e))
}

/// Serves commands until the token is cancelled. A line that can't be decoded ends its connection.
pub async fn serve<C, A>(
    listener: TcpListener,
    token: CancellationToken,
    answer: impl Fn(C) -> A + Clone + 'static,
) where
    C: DeserializeOwned + 'static,
    A: Serialize + 'static,
{
    loop {
        let stream = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        tokio::task::spawn_local(serve_one(stream, answer.clone()));
    }
}

async fn serve_one<C: DeserializeOwned, A: Serialize>(
    stream: AsyncTcpStream,
    answer: impl Fn(C) -> A,
) {
    let (read, mut write) = stream.into_split();
    let mut lines = AsyncBufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let Ok(command) = serde_json::from_str(&line) else {
            log::warn!(target: "channel", "a command can't be decoded; closing the connection: {line}");
            return;
        };
        let Ok(mut text) = serde_json::to_string(&answer(command)) else {
            return;
        };
        text.push('\n');
        if write.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
