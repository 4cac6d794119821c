//! The receiving side, which accepts any number of connections.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use h2::RecvStream;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{Envelope, HEADER_LEN, MAX_BODY_BYTES, WINDOW_BYTES};

/// Reason why a connection ended.
#[derive(Debug, Display)]
enum Error {
    /// HTTP/2 handshake failed: {0}
    Handshake(h2::Error),
    /// receiving failed: {0}
    Receive(h2::Error),
    /// frame of {0} bytes exceeds the maximum frame size
    TooLarge(usize),
    /// frame can't be decoded: {0}
    Frame(wire::frame::Error),
}

/// Accepts connections of peers and passes each message to `deliver`, until `token` is cancelled.
pub async fn serve(
    listener: TcpListener,
    deliver: impl Fn(Envelope) + Clone + Send + 'static,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, address)) = accepted else {
            // Accepting fails, for example, when no file descriptors are left; other connections
            // may close meanwhile.
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        let deliver = deliver.clone();
        let token = token.clone();
        tokio::spawn(async move {
            let outcome = tokio::select! {
                () = token.cancelled() => return,
                outcome = receive(socket, deliver) => outcome,
            };
            if let Err(error) = outcome {
                log::debug!("peer: connection from {address} ended: {error}");
            }
        });
    }
}

async fn receive(socket: TcpStream, deliver: impl Fn(Envelope) + Clone) -> Result<(), Error> {
    // Without TCP_NODELAY, ping answers and window updates would be delayed.
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES);
    builder.initial_connection_window_size(WINDOW_BYTES);
    let mut connection = builder
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(Error::Handshake)?;
    // A peer opens one stream; the connection must be polled while the stream is read.
    let Some(first) = connection.accept().await else {
        return Ok(());
    };
    let (request, _respond) = first.map_err(Error::Receive)?;
    let stream = request.into_body();
    tokio::select! {
        outcome = read_frames(stream, deliver) => outcome,
        ended = connection.accept() => match ended {
            Some(Err(e)) => Err(Error::Receive(e)),
            Some(Ok(_)) | None => Ok(()),
        },
    }
}

async fn read_frames(mut stream: RecvStream, deliver: impl Fn(Envelope)) -> Result<(), Error> {
    let mut buffer = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data.map_err(Error::Receive)?;
        stream
            .flow_control()
            .release_capacity(data.len())
            .map_err(Error::Receive)?;
        buffer.extend_from_slice(&data);
        while let Some(envelope) = take_frame(&mut buffer)? {
            deliver(envelope);
        }
    }
    Ok(())
}

/// Removes one whole frame from the front of `buffer`; returns `None` while the frame is
/// incomplete.
fn take_frame(buffer: &mut BytesMut) -> Result<Option<Envelope>, Error> {
    let Some(header) = buffer.first_chunk::<HEADER_LEN>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*header) as usize;
    if length > MAX_BODY_BYTES {
        return Err(Error::TooLarge(length));
    }
    if buffer.len() < HEADER_LEN + length {
        return Ok(None);
    }
    buffer.advance(HEADER_LEN);
    let body = buffer.split_to(length);
    // Decoded commands take more memory than their encoded bytes, hence the factor of 8.
    let envelope = wire::frame::decode_body::<_, { 8 * MAX_BODY_BYTES }>(&body);
    envelope.map(Some).map_err(Error::Frame)
}
