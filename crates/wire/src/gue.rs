//! Packets of flows: Generic UDP Encapsulation, variant 1, in which the UDP payload starts with
//! the caller's IP header (draft-ietf-intarea-gue, section 4).

use std::net::{IpAddr, SocketAddr};

use displaydoc::Display;
use etherparse::{IpSlice, PacketBuilder, TcpSlice, ip_number};
use model::key;

/// Hop limit of the packets that [`build`] makes.
const HOP_LIMIT: u8 = 64;

/// Window of the packets that [`build`] makes, in bytes.
const WINDOW: u16 = 65_535;

/// A packet of a flow, as read from its headers. The payload stays opaque.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The flow that it belongs to.
    pub flow: key::Flow,
    /// What it means for the flow.
    pub segment: Segment,
}

/// What a packet means for its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// It opens the flow: TCP SYN.
    Open,
    /// It belongs to an established flow.
    Later,
    /// It ends the flow: TCP FIN or RST.
    Close,
}

/// Why bytes are no packet of a flow.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// payload is no IPv4 or IPv6 packet
    NotIp,
    /// packet is a fragment
    Fragment,
    /// packet is not TCP
    NotTcp,
    /// TCP header is cut off or wrong
    BadTcp,
}

impl std::error::Error for Error {}

impl Packet {
    /// Reads the headers of an encapsulated packet.
    ///
    /// # Errors
    ///
    /// Says which header can't be read.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let ip = IpSlice::from_slice(bytes).map_err(|_| Error::NotIp)?;
        if ip.is_fragmenting_payload() {
            return Err(Error::Fragment);
        }
        let payload = ip.payload();
        if payload.ip_number != ip_number::TCP {
            return Err(Error::NotTcp);
        }
        let tcp = TcpSlice::from_slice(payload.payload).map_err(|_| Error::BadTcp)?;
        let segment = match (tcp.syn() && !tcp.ack(), tcp.fin() || tcp.rst()) {
            (_, true) => Segment::Close,
            (true, false) => Segment::Open,
            (false, false) => Segment::Later,
        };
        Ok(Self {
            flow: key::Flow {
                caller: SocketAddr::new(ip.source_addr(), tcp.source_port()),
                service: SocketAddr::new(ip.destination_addr(), tcp.destination_port()),
            },
            segment,
        })
    }
}

/// The TCP payload of an encapsulated packet, as a stand-in reads it.
#[must_use]
pub fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let ip = IpSlice::from_slice(bytes).ok()?;
    let tcp = TcpSlice::from_slice(ip.payload().payload).ok()?;
    Some(tcp.payload())
}

/// The TCP sequence number of an encapsulated packet, as a stand-in reads it.
#[must_use]
pub fn sequence(bytes: &[u8]) -> Option<u32> {
    let ip = IpSlice::from_slice(bytes).ok()?;
    let tcp = TcpSlice::from_slice(ip.payload().payload).ok()?;
    Some(tcp.sequence_number())
}

/// Builds the encapsulated packet of a flow; both addresses must be of one IP version.
///
/// # Panics
///
/// Never on addresses of one IP version; mixed ones yield an IPv6 packet with a mapped address.
#[must_use]
pub fn build(
    source: SocketAddr,
    destination: SocketAddr,
    segment: Segment,
    sequence: u32,
    payload: &[u8],
) -> Vec<u8> {
    let ip = match (source.ip(), destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (from, to) => PacketBuilder::ipv6(octets_v6(from), octets_v6(to), HOP_LIMIT),
    };
    let tcp = ip.tcp(source.port(), destination.port(), sequence, WINDOW);
    let tcp = match segment {
        Segment::Open => tcp.syn(),
        Segment::Later => tcp.ack(0),
        Segment::Close => tcp.ack(0).fin(),
    };
    let mut bytes = Vec::with_capacity(tcp.size(payload.len()));
    // Writing to a vector fails only for payloads that no IP packet holds; those yield nothing.
    if tcp.write(&mut bytes, payload).is_err() {
        bytes.clear();
    }
    bytes
}

fn octets_v6(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}
