//! Clients, which send again what is not answered.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use super::wire::{ACK, Packet, RST, SYN};

/// Time after which a client sends again.
const AGAIN: Duration = Duration::from_millis(200);

/// What a client got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    /// An answer, with the number of the upstream that gave it; 0 for the answer to an opening.
    Answer(u64),
    /// A reset.
    Reset,
    /// Nothing in time.
    Nothing,
}

/// A client VM with one socket for all its flows.
#[derive(Debug)]
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next_port: AtomicU16,
}

/// A flow of a client.
#[derive(Debug, Clone)]
pub struct Flow {
    client: SocketAddrV4,
    service: SocketAddrV4,
    token: u32,
    sequence: u32,
    acknowledgement: u32,
}

impl Flow {
    /// Its id in the logs of entry VMs.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{}>{}", self.client, self.service)
    }
}

impl Client {
    /// A client at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
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

    /// Opens a flow through `entry`, with copies of the opening packet after 200 and 600 ms.
    pub fn open(&self, entry: SocketAddr, service: SocketAddrV4) -> (Flow, Got) {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let mut flow = Flow {
            client: SocketAddrV4::new(self.ip, port),
            service,
            token: 0,
            sequence: 100,
            acknowledgement: 0,
        };
        for (copy, wait) in [(0, AGAIN), (1, 2 * AGAIN), (2, 4 * AGAIN)] {
            let mut opening = packet(&flow, SYN, b"");
            opening.acknowledgement = copy;
            self.send(entry, &opening);
            let Some(answer) = self.receive(&flow, wait, |p| p.flags & (SYN | RST) != 0) else {
                continue;
            };
            if answer.flags & RST != 0 {
                return (flow, Got::Reset);
            }
            flow.token = answer.token;
            flow.sequence += 1;
            flow.acknowledgement = answer.sequence.wrapping_add(1);
            self.send(entry, &packet(&flow, ACK, b""));
            return (flow, Got::Answer(0));
        }
        (flow, Got::Nothing)
    }

    /// Asks for something on a flow, and sends again as time passes, through `entry`.
    pub fn ask(&self, entry: SocketAddr, flow: &mut Flow, deadline: Duration) -> Got {
        let started = Instant::now();
        let mut wait = AGAIN;
        let question = packet(flow, ACK, b"question");
        while started.elapsed() < deadline {
            self.send(entry, &question);
            let is_answer = |p: &Packet| p.flags & RST != 0 || !p.data.is_empty();
            let left = deadline.saturating_sub(started.elapsed());
            if let Some(answer) = self.receive(flow, wait.min(left), is_answer) {
                if answer.flags & RST != 0 {
                    return Got::Reset;
                }
                flow.token = answer.token;
                flow.sequence += 8;
                flow.acknowledgement = answer.sequence.wrapping_add(8);
                self.send(entry, &packet(flow, ACK, b""));
                let number = answer.data.first_chunk().map(|n| u64::from_be_bytes(*n));
                return Got::Answer(number.unwrap_or_default());
            }
            wait *= 2;
        }
        Got::Nothing
    }

    fn send(&self, entry: SocketAddr, packet: &Packet) {
        // What is lost on the way is sent again.
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
