//! What callers and upstreams say to each other inside packets and bodies, which the system never
//! reads. `bincode` bodies.

use model::name::Name;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wire::frame;

/// Largest message, in bytes.
const MAX_LEN: usize = 16 << 10;

/// What a caller says in a packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Opens the flow.
    Open {
        /// Service that the caller means.
        service: Name,
        /// Number that the caller gave the flow; unique in a run.
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
    /// Every chunk of an upload was acknowledged.
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
    /// Number of the flow.
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

/// What an upstream answers in a packet of a flow.
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
    /// What it says.
    pub content: Content,
}

/// Content of a [`Reply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The flow is open.
    Opened,
    /// Answers the poll or chunk with this number.
    Acknowledged(u32),
    /// The upload is complete; whether its digest was right.
    Finished(bool),
    /// The upstream holds as many flows as it bears.
    Refused,
    /// The upstream knows no such flow.
    Unknown,
}

/// Body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Number that the caller gave the request; unique in a run.
    pub id: u64,
    /// Service that the caller means.
    pub service: Name,
    /// Whether running it again changes nothing.
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
    /// How often the request had run when the answer was made, from 1.
    pub run: u32,
}

/// Encodes a message; a message that can't be encoded yields no bytes.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    frame::encode_body(message).unwrap_or_default()
}

/// Decodes a message.
#[must_use]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    frame::decode_body::<T, MAX_LEN>(bytes).ok()
}

/// Digest over the chunks of an upload, in order.
#[must_use]
pub fn digest<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    chunks.into_iter().fold(0, model::key::hash)
}
