//! Clients, which retransmit packets that get no answer.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use super::wire::{ACK, Packet, RST, SYN};

/// Wait for an answer before the first retransmission.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of opening a flow or of a request on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// An answer, with the number of the upstream that sent the answer; 0 for an opened flow.
    Answer(u64),
    /// A reset.
    Reset,
    /// No answer before the deadline.
    Nothing,
}

/// A client VM, which uses one socket for all its flows.
#[derive(Debug)]
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next_port: AtomicU16,
}

/// State of one flow of a client.
#[derive(Debug, Clone)]
pub struct Flow {
    client: SocketAddrV4,
    service: SocketAddrV4,
    token: u32,
    sequence: u32,
    acknowledgement: u32,
    /// Number of the upstream that sent the last answer; none before the first one.
    upstream: Option<u64>,
}

impl Flow {
    /// Returns the id of the flow in the logs of entry VMs.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{}>{}", self.client, self.service)
    }

    /// Reports whether `packet` has an answer other than one that the client already has. An answer of
    /// another upstream is new, so that callers see that the flow was moved.
    fn is_new_answer(&self, packet: &Packet) -> bool {
        let is_repeated = packet.sequence != self.acknowledgement
            && self.upstream == Some(upstream_number(packet));
        !packet.data.is_empty() && !is_repeated
    }
}

impl Client {
    /// Starts a client at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or is not an IPv4 address.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip,
            IpAddr::V6(_) => return Err(io::Error::other("clients have IPv4 addresses")),
        };
        Ok(Self {
            socket,
            ip,
            next_port: AtomicU16::new(1_024),
        })
    }

    /// Opens a flow through `entry`; retransmits the opening packet after 200 and 600 ms.
    pub fn open(&self, entry: SocketAddr, service: SocketAddrV4) -> (Flow, ClientOutcome) {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let mut flow = Flow {
            client: SocketAddrV4::new(self.ip, port),
            service,
            token: 0,
            sequence: 100,
            acknowledgement: 0,
            upstream: None,
        };
        for (copy, wait) in [
            (0, RETRANSMIT_TIMEOUT),
            (1, 2 * RETRANSMIT_TIMEOUT),
            (2, 4 * RETRANSMIT_TIMEOUT),
        ] {
            let mut opening = packet(&flow, SYN, b"");
            opening.acknowledgement = copy;
            self.send(entry, &opening);
            let Some(answer) = self.receive(&flow, wait, |p| p.flags & (SYN | RST) != 0) else {
                continue;
            };
            if answer.flags & RST != 0 {
                return (flow, ClientOutcome::Reset);
            }
            flow.token = answer.token;
            flow.sequence += 1;
            flow.acknowledgement = answer.end();
            self.send(entry, &packet(&flow, ACK, b""));
            return (flow, ClientOutcome::Answer(0));
        }
        (flow, ClientOutcome::Nothing)
    }

    /// Sends a request on a flow through `entry`, and retransmits until `deadline` has passed.
    /// The wait doubles with each retransmission.
    pub fn ask(&self, entry: SocketAddr, flow: &mut Flow, deadline: Duration) -> ClientOutcome {
        let started = Instant::now();
        let mut wait = RETRANSMIT_TIMEOUT;
        let question = packet(flow, ACK, b"question");
        while started.elapsed() < deadline {
            self.send(entry, &question);
            let is_answer = |p: &Packet| p.flags & RST != 0 || flow.is_new_answer(p);
            let left = deadline.saturating_sub(started.elapsed());
            if let Some(answer) = self.receive(flow, wait.min(left), is_answer) {
                if answer.flags & RST != 0 {
                    return ClientOutcome::Reset;
                }
                flow.token = answer.token;
                flow.sequence = question.end();
                flow.acknowledgement = answer.end();
                self.send(entry, &packet(flow, ACK, b""));
                flow.upstream = Some(upstream_number(&answer));
                return ClientOutcome::Answer(upstream_number(&answer));
            }
            wait *= 2;
        }
        ClientOutcome::Nothing
    }

    fn send(&self, entry: SocketAddr, packet: &Packet) {
        // The caller retransmits, so a failed send counts as a lost packet.
        drop(self.socket.send_to(&packet.encode(), entry));
    }

    fn receive(
        &self,
        flow: &Flow,
        wait: Duration,
        is_wanted: impl Fn(&Packet) -> bool,
    ) -> Option<Packet> {
        let started = Instant::now();
        let mut buffer = [0; 2_048];
        while started.elapsed() < wait {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let packet = Packet::decode(&buffer[..length]);
            let packet = packet.filter(|p| p.to == flow.client && is_wanted(p));
            if packet.is_some() {
                return packet;
            }
        }
        None
    }
}

/// Returns the number of the upstream that sent an answer.
fn upstream_number(answer: &Packet) -> u64 {
    let number = answer.data.first_chunk();
    number.map_or(0, |number| u64::from_be_bytes(*number))
}

fn packet(flow: &Flow, flags: u8, data: &[u8]) -> Packet {
    Packet {
        sequence: flow.sequence,
        acknowledgement: flow.acknowledgement,
        token: flow.token,
        flags,
        to: flow.service,
        from: flow.client,
        data: data.to_vec(),
    }
}
