//! Packets and HTTP calls, as the platform's pages describe them.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

pub(super) const SYN: u8 = 1;
pub(super) const RST: u8 = 2;
pub(super) const ACK: u8 = 4;
pub(super) const FIN: u8 = 64;

/// Length of a packet's header, in bytes.
const HEADER_BYTES: usize = 32;

/// Length of the upstream number that precedes a packet to an upstream, in bytes.
pub(super) const ENVELOPE_BYTES: usize = 8;

/// Timeout of the connection, and of each read, of an HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A packet between a client and an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Packet {
    pub(super) sequence: u32,
    pub(super) acknowledgement: u32,
    pub(super) token: u32,
    pub(super) flags: u8,
    pub(super) to: SocketAddrV4,
    pub(super) from: SocketAddrV4,
    pub(super) data: Vec<u8>,
}

impl Packet {
    /// Returns the sequence number after the packet's bytes; the opening of a flow counts as one.
    pub(super) fn end(&self) -> u32 {
        let bytes = match self.flags & SYN {
            0 => u32::try_from(self.data.len()).unwrap_or(u32::MAX),
            _ => 1,
        };
        self.sequence.wrapping_add(bytes)
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        for word in [self.sequence, self.acknowledgement, self.token] {
            bytes.extend_from_slice(&word.to_le_bytes());
        }
        bytes.extend_from_slice(&[self.flags, 0]);
        for end in [self.to, self.from] {
            bytes.extend_from_slice(&u32::from(*end.ip()).to_le_bytes());
            bytes.extend_from_slice(&end.port().to_le_bytes());
        }
        let length = u16::try_from(self.data.len()).unwrap_or(u16::MAX);
        bytes.extend_from_slice(&length.to_le_bytes());
        // The emulators do not know the key of the checksum; any value is accepted here.
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let word = |at: usize| {
            let part = bytes.get(at..at + 4)?.try_into().ok()?;
            Some(u32::from_le_bytes(part))
        };
        let end = |at: usize| {
            let port = bytes.get(at + 4..at + 6)?.try_into().ok()?;
            let ip = Ipv4Addr::from(word(at)?);
            Some(SocketAddrV4::new(ip, u16::from_le_bytes(port)))
        };
        Some(Self {
            sequence: word(0)?,
            acknowledgement: word(4)?,
            token: word(8)?,
            flags: *bytes.get(12)?,
            to: end(14)?,
            from: end(20)?,
            data: bytes.get(HEADER_BYTES..)?.to_vec(),
        })
    }
}

/// Makes an HTTP call and returns the status and the body.
///
/// # Errors
///
/// Fails when the connection fails or times out, or when the response has no status.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status =
        status.ok_or_else(|| io::Error::other("HTTP response has no valid status code"))?;
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    Ok((status, body.to_owned()))
}
