//! Parses and builds packets of flows. The packets use Generic UDP Encapsulation, variant 1, in
//! which the UDP payload starts with the IP header of the caller's packet
//! (draft-ietf-intarea-gue, section 4).

use std::net::{IpAddr, SocketAddr};

use displaydoc::Display;
use etherparse::{IpSlice, PacketBuilder, TcpSlice, ip_number};
use model::key;

/// Hop limit of the packets that [`build`] makes.
const HOP_LIMIT: u8 = 64;

/// TCP window of the packets that [`build`] makes, in bytes.
const WINDOW_BYTES: u16 = 65_535;

/// Flow and segment type of a packet, as parsed from its headers. The payload is not parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// Flow that the packet belongs to.
    pub flow: key::Flow,
    /// Effect of the packet on the flow.
    pub segment: Segment,
}

/// Effect of a packet on its flow, by the TCP flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Opens the flow: TCP SYN without ACK.
    Open,
    /// Belongs to an established flow.
    Later,
    /// Ends the flow: TCP FIN or RST.
    Close,
}

/// Reason why bytes can't be parsed as a packet of a flow.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// UDP payload is not an IPv4 or IPv6 packet
    NotIp,
    /// encapsulated packet is an IP fragment
    Fragment,
    /// encapsulated packet is not TCP
    NotTcp,
    /// TCP header is truncated or invalid
    BadTcp,
}

impl std::error::Error for Error {}

impl Packet {
    /// Parses the headers of an encapsulated packet.
    ///
    /// # Errors
    ///
    /// Fails when a header is invalid, or the packet is a fragment or not TCP.
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

/// Returns the TCP payload of an encapsulated packet. Only emulators of callers and upstreams use
/// the payload.
#[must_use]
pub fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let ip = IpSlice::from_slice(bytes).ok()?;
    let tcp = TcpSlice::from_slice(ip.payload().payload).ok()?;
    Some(tcp.payload())
}

/// Returns the TCP sequence number of an encapsulated packet. Only emulators of callers and
/// upstreams use the number.
#[must_use]
pub fn sequence(bytes: &[u8]) -> Option<u32> {
    let ip = IpSlice::from_slice(bytes).ok()?;
    let tcp = TcpSlice::from_slice(ip.payload().payload).ok()?;
    Some(tcp.sequence_number())
}

/// Builds an encapsulated packet of a flow. Both addresses should have the same IP version.
///
/// # Panics
///
/// Never panics: addresses of different IP versions yield an IPv6 packet with a mapped address.
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
    let tcp = ip.tcp(source.port(), destination.port(), sequence, WINDOW_BYTES);
    let tcp = match segment {
        Segment::Open => tcp.syn(),
        Segment::Later => tcp.ack(0),
        Segment::Close => tcp.ack(0).fin(),
    };
    let mut bytes = Vec::with_capacity(tcp.size(payload.len()));
    // Writing to a vector fails only if the payload is too large for an IP packet; the result is
    // empty then.
    if tcp.write(&mut bytes, payload).is_err() {
        bytes.clear();
    }
    bytes
}

/// Returns the octets of `ip` as an IPv6 address, mapped if `ip` is an IPv4 address.
fn octets_v6(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}
