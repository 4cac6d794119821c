//! A client with one flow: opens it, sends requests, and retransmits what is not answered.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record;
use crate::system::Routers;
use crate::wire::{ACK, FIN, Origin, Packet, RST, SYN};

/// Wait before the first retransmission.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// Longest wait between two retransmissions.
const MAX_RETRANSMIT: Duration = Duration::from_millis(1_600);

/// Times of the copies of a SYN after the first one, and the end of the attempt.
const SYN_TIMES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// How an attempt to open a flow, or a request, ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Opened,
    /// An answer, with its signature.
    Answer(String),
    /// A reset of the load balancer.
    BalancerReset,
    /// A reset that a server sent.
    ServerReset,
    Nothing,
    /// A packet that its sender did not write so.
    Forged,
}

pub struct Client {
    pub address: SocketAddrV4,
    pub route: SocketAddrV4,
    socket: UdpSocket,
    routers: Arc<Routers>,
    /// Zone of the client, whose entry VMs get its packets.
    zone: String,
    echo: u32,
    seq: u32,
    ack: u32,
    pub is_open: bool,
    /// When each copy of the SYN was sent.
    pub syn_times: Vec<Instant>,
}

impl Client {
    /// Creates a client that has `address` and sends from `port` of it.
    pub fn new(
        address: SocketAddrV4,
        port: u16,
        route: SocketAddrV4,
        routers: &Arc<Routers>,
        zone: &str,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        let seq = u32::from(*address.ip()).wrapping_mul(2_654_435_761) ^ u32::from(port);
        Ok(Self {
            address: SocketAddrV4::new(*address.ip(), port),
            route,
            socket,
            routers: Arc::clone(routers),
            zone: zone.to_owned(),
            echo: 0,
            seq,
            ack: 0,
            is_open: false,
            syn_times: Vec::new(),
        })
    }

    fn send(&self, flags: u8, ack: u32, data: &[u8]) {
        let packet = Packet {
            seq: self.seq,
            ack,
            echo: self.echo,
            flags,
            dst: self.route,
            src: self.address,
            data: data.to_vec(),
        };
        let to = self.routers.pick(&self.zone, self.address, self.route);
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn receive(&self, until: Instant) -> Option<(Packet, Origin)> {
        let mut buffer = [0; 2_048];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self
                .socket
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let decoded = Packet::decode(&buffer[..length]);
            if let Some((packet, origin)) = decoded.filter(|(p, _)| p.dst == self.address) {
                return Some((packet, origin));
            }
        }
    }

    /// Opens the flow: a SYN and two copies, as long as nothing answers.
    pub fn open(&mut self) -> Outcome {
        let started = Instant::now();
        for (copy, end) in SYN_TIMES.into_iter().enumerate() {
            self.syn_times.push(Instant::now());
            self.send(SYN, copy as u32, b"");
            while let Some((packet, origin)) = self.receive(started + end) {
                match origin {
                    Origin::Unknown => return Outcome::Forged,
                    Origin::Balancer => return Outcome::BalancerReset,
                    Origin::Peer if packet.flags & RST != 0 => return Outcome::ServerReset,
                    Origin::Peer if packet.flags & SYN == 0 => continue,
                    Origin::Peer => {}
                }
                self.echo = packet.echo;
                self.seq = self.seq.wrapping_add(1);
                self.ack = packet.seq.wrapping_add(1);
                self.is_open = true;
                self.send(ACK, self.ack, b"");
                return Outcome::Opened;
            }
        }
        Outcome::Nothing
    }

    /// Waits for `time` and takes what arrives meanwhile. The echo of the last packet counts.
    pub fn pause(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while let Some((packet, origin)) = self.receive(until) {
            if origin == Origin::Peer && packet.flags & RST == 0 {
                self.echo = packet.echo;
            }
        }
    }

    /// Sends a request on the open flow and waits for its answer.
    pub fn request(&mut self, attempt: &str, deadline: Duration) -> Outcome {
        let data = format!(
            "POST /work HTTP/1.1\r\nHost: booking\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        );
        let end = Instant::now() + deadline;
        let mut wait = RETRANSMIT;
        let outcome = loop {
            if Instant::now() >= end {
                break Outcome::Nothing;
            }
            self.send(ACK, self.ack, data.as_bytes());
            match self.answer(end.min(Instant::now() + wait)) {
                Outcome::Nothing => wait = (wait * 2).min(MAX_RETRANSMIT),
                outcome => break outcome,
            }
        };
        if let Outcome::Answer(_) = outcome {
            self.seq = self.seq.wrapping_add(data.len() as u32);
            self.send(ACK, self.ack, b"");
        } else {
            self.is_open = false;
        }
        record::line(&format!("client {}: {attempt}: {outcome:?}", self.address));
        outcome
    }

    fn answer(&mut self, until: Instant) -> Outcome {
        while let Some((packet, origin)) = self.receive(until) {
            match origin {
                Origin::Unknown => return Outcome::Forged,
                Origin::Balancer => return Outcome::BalancerReset,
                Origin::Peer if packet.flags & RST != 0 => return Outcome::ServerReset,
                Origin::Peer => {}
            }
            self.echo = packet.echo;
            if packet.data.is_empty() || packet.seq != self.ack {
                continue;
            }
            self.ack = self.ack.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let signature = text
                .lines()
                .find_map(|l| l.strip_prefix("Server-Signature: "));
            return Outcome::Answer(signature.unwrap_or_default().to_owned());
        }
        Outcome::Nothing
    }

    /// Closes the flow.
    pub fn close(&mut self) {
        if self.is_open {
            self.send(ACK | FIN, self.ack, b"");
            self.is_open = false;
        }
    }
}
