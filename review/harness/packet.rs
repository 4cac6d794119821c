//! Packets of flows, as `PROTOCOL.md` lays them out.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const RST: u8 = 2;
pub const ACK: u8 = 4;
pub const FIN: u8 = 64;
pub const HEAD: usize = 32;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub dst: SocketAddrV4,
    pub src: SocketAddrV4,
    /// 0 in a reset of the system's own.
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(&self.ack.to_le_bytes());
        bytes.extend_from_slice(&self.echo.to_le_bytes());
        bytes.extend_from_slice(&[self.flags, 0]);
        for end in [self.dst, self.src] {
            bytes.extend_from_slice(&u32::from(*end.ip()).to_le_bytes());
            bytes.extend_from_slice(&end.port().to_le_bytes());
        }
        bytes.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.sum.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        Some(Self {
            seq: word(0),
            ack: word(4),
            echo: word(8),
            flags: bytes[12],
            dst: end(14),
            src: end(20),
            sum: word(28),
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// The sum of an end's own packets. The real key is not disclosed, and the system doesn't check
    /// the sum, so that any number other than 0 serves.
    pub const OWN_SUM: u32 = 0x5151_7273;
}
