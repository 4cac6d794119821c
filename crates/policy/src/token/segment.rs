//! What a packet of a flow says, as far as decisions need it.

use std::net::SocketAddrV4;

/// Both ends of a flow, as the client sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The client's end.
    pub client: SocketAddrV4,
    /// Address and port that the client opened the flow to.
    pub service: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Opens the flow.
    Open {
        /// How many copies of the opening packet went before it.
        copy: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the client's direction.
    Finish,
    /// Ends the flow at once.
    Reset,
}

impl Kind {
    /// A word for logs.
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

/// A client's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow that it belongs to.
    pub key: Key,
    /// What it does.
    pub kind: Kind,
    /// Token that the client received last on the flow; 0 where it received none.
    pub token: u32,
    /// Number of the first byte that it carries.
    pub sequence: u32,
    /// Next byte that the client expects from the upstream.
    pub acknowledged: u32,
    /// Bytes of data that it carries.
    pub length: u16,
}
