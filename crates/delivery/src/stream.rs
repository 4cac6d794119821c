//! Typed messages over one `h2` stream.

use std::{future::poll_fn, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use h2::{RecvStream, SendStream};
use model::delivery::MAX_MESSAGE;
use serde::{Serialize, de::DeserializeOwned};
use wire::frame;

/// Length of the length field before each message, in bytes.
const LENGTH_FIELD_LEN: usize = 4;

/// Maximum time for the peer to grant capacity for the next bytes of a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a stream has ended.
#[derive(Debug, Display)]
pub enum Error {
    /// the peer closed the stream
    Closed,
    /// the peer accepted no data for 2 s
    Stalled,
    /// HTTP/2 error: {0}
    Broken(h2::Error),
    /// invalid message: {0}
    Frame(frame::Error),
}

impl std::error::Error for Error {}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::Broken(error)
    }
}

impl From<frame::Error> for Error {
    fn from(error: frame::Error) -> Self {
        Self::Frame(error)
    }
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct Sender(SendStream<Bytes>);

impl Sender {
    /// Wraps the sending half of an `h2` stream.
    #[must_use]
    pub fn new(stream: SendStream<Bytes>) -> Self {
        Self(stream)
    }

    /// Sends one message; waits while the peer's flow-control window is full.
    ///
    /// The future must run to completion: dropping it may leave part of a message on the stream,
    /// which makes the stream unusable.
    ///
    /// # Errors
    ///
    /// Fails when the stream has ended, or the peer grants no capacity in time.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Error> {
        let mut bytes = encode(message)?;
        metrics::counter!("oriole_delivery_bytes_sent_total").increment(bytes.len() as u64);
        while !bytes.is_empty() {
            let capacity = self.wait_for_capacity(bytes.len()).await?;
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            self.0.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Ends the stream.
    pub fn close(&mut self) {
        // Errors are ignored: a broken stream is closed already.
        drop(self.0.send_data(Bytes::new(), true));
    }

    async fn wait_for_capacity(&mut self, requested: usize) -> Result<usize, Error> {
        self.0.reserve_capacity(requested);
        if self.0.capacity() > 0 {
            return Ok(self.0.capacity());
        }
        let granted = poll_fn(|context| self.0.poll_capacity(context));
        match tokio::time::timeout(SEND_TIMEOUT, granted).await {
            Ok(Some(capacity)) => Ok(capacity?),
            Ok(None) => Err(Error::Closed),
            Err(_) => Err(Error::Stalled),
        }
    }
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    stream: RecvStream,
    buffer: ReceiveBuffer,
}

impl Receiver {
    /// Wraps the receiving half of an `h2` stream.
    #[must_use]
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: ReceiveBuffer::default(),
        }
    }

    /// Receives one message. Cancel-safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// Fails when the stream has ended, or the message is malformed or too large.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, Error> {
        loop {
            if let Some(message) = self.buffer.pop()? {
                return Ok(message);
            }
            let Some(chunk) = self.stream.data().await else {
                return Err(Error::Closed);
            };
            let chunk = chunk?;
            self.stream.flow_control().release_capacity(chunk.len())?;
            let length = chunk.len() as u64;
            metrics::counter!("oriole_delivery_bytes_received_total").increment(length);
            self.buffer.push(&chunk);
        }
    }
}

/// Received bytes that are not decoded yet.
#[derive(Debug, Default)]
pub struct ReceiveBuffer(BytesMut);

impl ReceiveBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.0.extend_from_slice(chunk);
    }

    /// Removes and decodes the next message, if it has arrived completely.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed, or longer than [`MAX_MESSAGE`].
    pub fn pop<T: DeserializeOwned>(&mut self) -> Result<Option<T>, frame::Error> {
        let Some(mut length_field) = self.0.get(..LENGTH_FIELD_LEN) else {
            return Ok(None);
        };
        let length = usize::try_from(length_field.get_u32()).unwrap_or(usize::MAX);
        if length > MAX_MESSAGE {
            return Err(frame::Error::TooLarge(length));
        }
        if self.0.len() < LENGTH_FIELD_LEN + length {
            return Ok(None);
        }
        self.0.advance(LENGTH_FIELD_LEN);
        let body = self.0.split_to(length);
        frame::decode_body::<T, MAX_MESSAGE>(&body).map(Some)
    }
}

/// Encodes one message, preceded by its length.
///
/// # Errors
///
/// Fails when the message can't be encoded, or is longer than [`MAX_MESSAGE`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, frame::Error> {
    let body = frame::encode_body(message)?;
    if body.len() > MAX_MESSAGE {
        return Err(frame::Error::TooLarge(body.len()));
    }
    let length = u32::try_from(body.len()).map_err(|_| frame::Error::TooLarge(body.len()))?;
    let mut bytes = Vec::with_capacity(LENGTH_FIELD_LEN + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes.into())
}
