//! Packets, resets and HTTP calls, as PROTOCOL.md describes them.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

pub const SYN: u8 = 1;
pub const RST: u8 = 2;
pub const ACK: u8 = 4;
pub const FIN: u8 = 64;
const BOUNCED: u8 = 32;

const HEADER_BYTES: usize = 32;

/// Key of the checksum that clients and servers share. The load balancer does not know it.
const CHECKSUM_KEY: u32 = 0x5eed_c0de;

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub dst: SocketAddrV4,
    pub src: SocketAddrV4,
    pub data: Vec<u8>,
}

/// Where a received packet comes from, by its checksum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The other end of the flow.
    Peer,
    /// The load balancer: a reset without data whose checksum is 0.
    Balancer,
    /// Neither: the packet was changed on its way, or forged.
    Unknown,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.header(0);
        let sum = checksum(&bytes, &self.data);
        bytes[28..32].copy_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    fn header(&self, sum: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        for word in [self.seq, self.ack, self.echo] {
            bytes.extend_from_slice(&word.to_le_bytes());
        }
        bytes.extend_from_slice(&[self.flags, 0]);
        for end in [self.dst, self.src] {
            bytes.extend_from_slice(&u32::from(*end.ip()).to_le_bytes());
            bytes.extend_from_slice(&end.port().to_le_bytes());
        }
        bytes.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<(Self, Origin)> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        let packet = Self {
            seq: word(0),
            ack: word(4),
            echo: word(8),
            flags: bytes[12],
            dst: end(14),
            src: end(20),
            data: bytes[HEADER_BYTES..].to_vec(),
        };
        if usize::from(half(26)) != packet.data.len() {
            return None;
        }
        let origin = match word(28) {
            0 if packet.flags == RST && packet.data.is_empty() => Origin::Balancer,
            sum if sum == checksum(bytes, &packet.data) => Origin::Peer,
            _ => Origin::Unknown,
        };
        Some((packet, origin))
    }
}

/// A keyed sum over all fields except the echo, the padding and BOUNCED; never 0.
fn checksum(header: &[u8], data: &[u8]) -> u32 {
    let mut sum = CHECKSUM_KEY;
    let mut add = |byte: u8| sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    for (at, byte) in header[..28].iter().enumerate() {
        match at {
            8..=11 | 13 => {}
            12 => add(byte & !BOUNCED),
            _ => add(*byte),
        }
    }
    data.iter().for_each(|byte| add(*byte));
    sum.max(1)
}

/// Makes an HTTP call that has to be answered within `timeout`. Returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time"));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut part)? {
            0 => break,
            length => answer.extend_from_slice(&part[..length]),
        }
    }
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no HTTP status"))?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}
