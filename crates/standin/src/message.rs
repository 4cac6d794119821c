//! Messages between callers and upstreams, encoded with `bincode` in the payload of packets and in
//! the body of requests. The load balancer never reads these messages.

use model::name::Name;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wire::frame;

/// Largest message, in bytes.
const MAX_LEN: usize = 16 << 10;

/// Message of a caller in a packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Opens the flow.
    Open {
        /// Service that the caller wants to reach.
        service: Name,
        /// Number of the flow, chosen by the caller; unique in a run.
        flow: u64,
    },
    /// Asks a feed for its state.
    Poll {
        /// Number of the flow.
        flow: u64,
        /// Number of the poll, from 1.
        number: u32,
    },
    /// One chunk of an upload.
    Chunk {
        /// Number of the flow.
        flow: u64,
        /// Number of the chunk, from 1.
        number: u32,
        /// Content.
        data: Vec<u8>,
    },
    /// Ends an upload after all chunks were acknowledged.
    Finish {
        /// Number of the flow.
        flow: u64,
        /// Chunks sent.
        chunks: u32,
        /// [`digest`] over the chunks in order.
        digest: u64,
    },
    /// Ends the flow.
    Close {
        /// Number of the flow.
        flow: u64,
    },
}

impl Call {
    /// Returns the number of the flow.
    #[must_use]
    pub fn flow(&self) -> u64 {
        match self {
            Self::Open { flow, .. }
            | Self::Poll { flow, .. }
            | Self::Chunk { flow, .. }
            | Self::Finish { flow, .. }
            | Self::Close { flow } => *flow,
        }
    }
}

/// Answer of an upstream in a packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the flow.
    pub flow: u64,
    /// Service of the upstream.
    pub service: Name,
    /// Name of the upstream.
    pub upstream: Name,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Content of the answer.
    pub content: Content,
}

/// Content of a [`Reply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The flow is open.
    Opened,
    /// The upstream acknowledges the poll or chunk with this number; 0 acknowledges the close.
    Acknowledged(u32),
    /// The upload has ended; the value tells whether all chunks arrived with the right digest.
    Finished(bool),
    /// The upstream holds its maximum number of flows.
    Refused,
    /// The upstream knows no such flow.
    Unknown,
}

/// Body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Number of the request, chosen by the caller; unique in a run.
    pub id: u64,
    /// Service that the caller wants to reach.
    pub service: Name,
    /// Whether the request is idempotent: a further run has no further effect.
    pub idempotent: bool,
}

/// Body of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Number of the request.
    pub id: u64,
    /// Service of the upstream.
    pub service: Name,
    /// Name of the upstream.
    pub upstream: Name,
    /// Number of runs of the request, including the run that gave this answer.
    pub run: u32,
}

/// Encodes a message; returns no bytes when the message can't be encoded.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    frame::encode_body(message).unwrap_or_default()
}

/// Decodes a message; returns `None` when the bytes are malformed or too long.
#[must_use]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    frame::decode_body::<T, MAX_LEN>(bytes).ok()
}

/// Returns the digest over the chunks of an upload, in order.
#[must_use]
pub fn digest<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    chunks.into_iter().fold(0, model::key::hash)
}
