//! Packets and calls, as the platform's pages describe them.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

pub(super) const SYN: u8 = 1;
pub(super) const RST: u8 = 2;
pub(super) const ACK: u8 = 4;
pub(super) const FIN: u8 = 64;

/// Length of a packet's head, in bytes.
const HEAD: usize = 32;

/// Length of what goes before a packet to an upstream, in bytes.
pub(super) const ENVELOPE: usize = 8;

/// Time that a call over HTTP may take.
const CALL_WAIT: Duration = Duration::from_secs(2);

/// A packet.
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
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
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
        // The key of the checksum is not known; any value will do here.
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
            data: bytes.get(HEAD..)?.to_vec(),
        })
    }
}

/// Makes a call over HTTP; returns the status and the body.
///
/// # Errors
///
/// As the network says.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_WAIT)?;
    stream.set_read_timeout(Some(CALL_WAIT))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    Ok((status, body.to_owned()))
}
