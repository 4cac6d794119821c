//! The fields of a packet that decisions depend on.

use std::net::SocketAddrV4;

/// The two ends of a flow, as seen by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Address and port of the client.
    pub client: SocketAddrV4,
    /// Address and port that the client opened the flow to.
    pub service: SocketAddrV4,
}

/// Kind of a packet, by its effect on the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The packet opens the flow.
    Open {
        /// Number of copies of the opening packet that the client sent before.
        copy: u32,
    },
    /// The packet carries data or an acknowledgement.
    Data,
    /// The packet ends the direction from client to upstream.
    Finish,
    /// The packet ends the flow immediately.
    Reset,
}

impl Kind {
    /// Returns the kind as a word for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open { .. } => "open",
            Self::Data => "data",
            Self::Finish => "finish",
            Self::Reset => "reset",
        }
    }
}

/// The header fields of a client's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow of the packet.
    pub key: Key,
    /// Kind of the packet.
    pub kind: Kind,
    /// Last token that the client received on the flow; 0 if none.
    pub token: u32,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Sequence number of the next byte that the client expects from the upstream.
    pub acknowledged: u32,
    /// Number of data bytes.
    pub length: u16,
}
