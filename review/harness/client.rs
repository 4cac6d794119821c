//! A stand-in for the clients of one address, as `PROTOCOL.md` describes clients.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{channel, Receiver, RecvTimeoutError, Sender},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fabric::Fabric,
    packet::{Packet, ACK, FIN, RST, SYN},
    record::Record,
};

/// Times after the first opening packet at which copies are sent, and at which the attempt ends.
const COPIES_MS: [u64; 2] = [200, 600];
const OPEN_LIMIT_MS: u64 = 1_400;

/// Distance of a valid reset from the client's last acknowledgement.
pub const RESET_WINDOW: u32 = 76_800;

type Queues = Arc<Mutex<BTreeMap<u16, Sender<Packet>>>>;

pub struct Client {
    socket: Arc<UdpSocket>,
    address: std::net::Ipv4Addr,
    record: Record,
    queues: Queues,
    ports: AtomicU32,
    requests: AtomicU32,
    is_alive: Arc<AtomicBool>,
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Answered,
    /// A reset by the system itself: its `sum` is 0.
    SystemReset,
    ServerReset,
    Deadline,
}

pub struct Flow {
    pub source: SocketAddrV4,
    pub route: SocketAddrV4,
    seq: u32,
    pub ack: u32,
    echo: u32,
    /// `seq` of the server, which identifies the server that holds the flow.
    pub server_seq: u32,
    queue: Receiver<Packet>,
}

impl Client {
    pub fn start(at: SocketAddrV4, record: Record) -> Result<Self, String> {
        let socket = UdpSocket::bind(at).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(Duration::from_millis(20))).map_err(|e| e.to_string())?;
        let socket = Arc::new(socket);
        let queues: Queues = Arc::default();
        let is_alive = Arc::new(AtomicBool::new(true));
        let (receiver, filled, alive) = (socket.clone(), queues.clone(), is_alive.clone());
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while alive.load(Ordering::SeqCst) {
                let Ok((length, _)) = receiver.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(packet) = Packet::decode(&buffer[..length]) else {
                    continue;
                };
                if let Some(queue) = filled.lock().unwrap().get(&packet.dst.port()) {
                    let _ = queue.send(packet);
                }
            }
        });
        Ok(Self {
            socket,
            address: *at.ip(),
            record,
            queues,
            ports: AtomicU32::new(30_000),
            requests: AtomicU32::new(0),
            is_alive,
        })
    }

    fn send(&self, edge: SocketAddr, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), edge);
    }

    /// Opens a flow to `route` through `edge`.
    pub fn open(&self, edge: SocketAddr, route: SocketAddrV4) -> Result<Flow, &'static str> {
        let port = self.ports.fetch_add(1, Ordering::SeqCst) as u16;
        let source = SocketAddrV4::new(self.address, port);
        let (sender, queue) = channel();
        self.queues.lock().unwrap().insert(port, sender);
        let first = u32::from(port) * 65_537;
        let start = Instant::now();
        let mut copies = 0;
        self.send_syn(edge, source, route, first, 0);
        loop {
            let next = COPIES_MS.get(copies).copied().unwrap_or(OPEN_LIMIT_MS);
            let wait = Duration::from_millis(next).saturating_sub(start.elapsed());
            match queue.recv_timeout(wait) {
                Ok(packet) if packet.flags & RST != 0 => return Err("reset"),
                Ok(packet) if packet.flags & (SYN | ACK) == SYN | ACK => {
                    let flow = Flow {
                        source,
                        route,
                        seq: first.wrapping_add(1),
                        ack: packet.seq.wrapping_add(1),
                        echo: packet.echo,
                        server_seq: packet.seq,
                        queue,
                    };
                    self.send(edge, &flow.packet(ACK, Vec::new()));
                    return Ok(flow);
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) if copies < COPIES_MS.len() => {
                    copies += 1;
                    self.send_syn(edge, source, route, first, copies as u32);
                }
                Err(_) => return Err("no answer"),
            }
        }
    }

    fn send_syn(&self, edge: SocketAddr, src: SocketAddrV4, dst: SocketAddrV4, seq: u32, copies: u32) {
        let packet = Packet {
            seq,
            ack: copies,
            echo: 0,
            flags: SYN,
            dst,
            src,
            sum: Packet::OWN_SUM,
            data: Vec::new(),
        };
        self.send(edge, &packet);
    }

    /// Sends a request through the edge `by`, which wants `length` bytes, and receives the answer.
    /// `acks` carries the packets after the request's first one.
    pub fn request(
        &self,
        flow: &mut Flow,
        by: SocketAddr,
        acks: SocketAddr,
        length: u32,
        deadline_ms: u64,
    ) -> End {
        let number = self.requests.fetch_add(1, Ordering::SeqCst) + 1;
        let mut data = number.to_le_bytes().to_vec();
        data.extend_from_slice(&length.to_le_bytes());
        let packet = flow.packet(ACK, data.clone());
        self.record.line(&format!("client {} sends request {number} for {length} bytes", flow.source));
        self.send(by, &packet);
        flow.seq = flow.seq.wrapping_add(data.len() as u32);
        let end = flow.ack.wrapping_add(length);
        let start = Instant::now();
        let deadline = Duration::from_millis(deadline_ms);
        let mut repeat = Duration::from_millis(200);
        let mut sent_at = Instant::now();
        let mut unacked = 0;
        loop {
            if flow.ack == end {
                self.record.line(&format!("client {} has the answer to {number}", flow.source));
                return End::Answered;
            }
            if start.elapsed() >= deadline {
                self.record.line(&format!("client {} gives up request {number}", flow.source));
                return End::Deadline;
            }
            let wait = repeat.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
            match flow.queue.recv_timeout(wait) {
                Ok(packet) if packet.flags & RST != 0 => return self.note_reset(flow, &packet),
                Ok(packet) if packet.flags & SYN != 0 => {}
                Ok(packet) if packet.seq == flow.ack && !packet.data.is_empty() => {
                    flow.echo = packet.echo;
                    flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
                    unacked += 1;
                    if unacked == 2 || flow.ack == end {
                        unacked = 0;
                        self.send(acks, &flow.packet(ACK, Vec::new()));
                    }
                    sent_at = Instant::now();
                }
                Ok(packet) if !packet.data.is_empty() => {
                    self.send(acks, &flow.packet(ACK, Vec::new()));
                }
                Ok(_) => {}
                Err(_) => {
                    let has_answer = flow.ack != end.wrapping_sub(length);
                    if !has_answer && sent_at.elapsed() >= repeat {
                        self.send(acks, &packet);
                    }
                    if sent_at.elapsed() >= repeat {
                        sent_at = Instant::now();
                        repeat = (repeat * 2).min(Duration::from_millis(1_600));
                    }
                }
            }
        }
    }

    /// Opens a flow through the routers and sends `requests` requests of 600 bytes, one after the other
    /// with a pause of `pause_ms`. All packets carry the last `echo` that was received on the flow. Returns
    /// how the last request ended, and `seq` of the flow's server; none if the flow didn't open.
    pub fn run_flow(
        &self,
        fabric: &Fabric,
        route: SocketAddrV4,
        requests: usize,
        pause_ms: u64,
        deadline_ms: u64,
    ) -> Option<(SocketAddrV4, u32, End)> {
        let port = self.ports.fetch_add(1, Ordering::SeqCst) as u16;
        let source = SocketAddrV4::new(self.address, port);
        let (sender, queue) = channel();
        self.queues.lock().unwrap().insert(port, sender);
        let ended = self.run_queue(fabric, (source, route), queue, requests, (pause_ms, deadline_ms));
        self.queues.lock().unwrap().remove(&port);
        ended
    }

    fn run_queue(
        &self,
        fabric: &Fabric,
        (source, route): (SocketAddrV4, SocketAddrV4),
        queue: Receiver<Packet>,
        requests: usize,
        (pause_ms, deadline_ms): (u64, u64),
    ) -> Option<(SocketAddrV4, u32, End)> {
        let edge = || fabric.node(source, route);
        let first = u32::from(source.port()) * 65_537;
        let start = Instant::now();
        let mut copies = 0;
        let opener = edge()?;
        self.send_syn(opener, source, route, first, 0);
        let answer = loop {
            let next = COPIES_MS.get(copies).copied().unwrap_or(OPEN_LIMIT_MS);
            match queue.recv_timeout(Duration::from_millis(next).saturating_sub(start.elapsed())) {
                Ok(packet) if packet.flags & RST != 0 => return None,
                Ok(packet) if packet.flags & (SYN | ACK) == SYN | ACK => break packet,
                Ok(_) => {}
                Err(_) if copies < COPIES_MS.len() => {
                    copies += 1;
                    let other = edge()?;
                    self.record.line(&format!(
                        "client {source} sends copy {copies} of its SYN, through {} node",
                        if other == opener { "the same" } else { "another" }
                    ));
                    self.send_syn(other, source, route, first, copies as u32);
                }
                Err(_) => return None,
            }
        };
        let mut flow = Flow {
            source,
            route,
            seq: first.wrapping_add(1),
            ack: answer.seq.wrapping_add(1),
            echo: answer.echo,
            server_seq: answer.seq,
            queue,
        };
        self.send(edge()?, &flow.packet(ACK, Vec::new()));
        let mut end = End::Answered;
        for n in 0..requests {
            if n > 0 {
                end = self.pause(&mut flow, Duration::from_millis(pause_ms));
            }
            if end == End::Answered {
                end = self.ask(&mut flow, &edge, deadline_ms);
            }
            if end != End::Answered {
                break;
            }
        }
        if end == End::Answered {
            self.send(edge()?, &flow.packet(FIN | ACK, Vec::new()));
        }
        Some((source, flow.server_seq, end))
    }

    /// Receives packets during a pause.
    fn pause(&self, flow: &mut Flow, time: Duration) -> End {
        let start = Instant::now();
        while let Ok(packet) = flow.queue.recv_timeout(time.saturating_sub(start.elapsed())) {
            if packet.flags & RST != 0 {
                return self.note_reset(flow, &packet);
            }
            flow.echo = packet.echo;
        }
        End::Answered
    }

    /// Sends a request and receives the answer.
    fn ask(&self, flow: &mut Flow, edge: &impl Fn() -> Option<SocketAddr>, deadline_ms: u64) -> End {
        const LENGTH: u32 = 600;
        let number = self.requests.fetch_add(1, Ordering::SeqCst) + 1;
        let data = [number.to_le_bytes(), LENGTH.to_le_bytes()].concat();
        let sequence = flow.seq;
        flow.seq = flow.seq.wrapping_add(data.len() as u32);
        let end = flow.ack.wrapping_add(LENGTH);
        let start = Instant::now();
        let mut repeat = Duration::from_millis(200);
        let mut sent_at: Option<Instant> = None;
        while start.elapsed() < Duration::from_millis(deadline_ms) {
            if sent_at.is_none_or(|at| at.elapsed() >= repeat) {
                if sent_at.is_some() {
                    repeat = (repeat * 2).min(Duration::from_millis(1_600));
                }
                sent_at = Some(Instant::now());
                let packet = Packet {
                    seq: sequence,
                    ..flow.packet(ACK, data.clone())
                };
                if let Some(edge) = edge() {
                    self.send(edge, &packet);
                }
            }
            let wait = sent_at.map_or(repeat, |at| repeat.saturating_sub(at.elapsed()));
            match flow.queue.recv_timeout(wait) {
                Ok(packet) if packet.flags & RST != 0 => return self.note_reset(flow, &packet),
                Ok(packet) => {
                    flow.echo = packet.echo;
                    if packet.flags & SYN == 0 && packet.seq == flow.ack {
                        flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
                    }
                    if flow.ack == end {
                        if let Some(edge) = edge() {
                            self.send(edge, &flow.packet(ACK, Vec::new()));
                        }
                        return End::Answered;
                    }
                }
                Err(_) => {}
            }
        }
        self.record.line(&format!("client {} gives up request {number}", flow.source));
        End::Deadline
    }

    /// Waits for a reset on an idle flow.
    pub fn watch(&self, flow: &mut Flow, limit: Duration) -> Option<Packet> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(packet) = flow.queue.recv_timeout(limit.saturating_sub(start.elapsed())) {
                if packet.flags & RST != 0 {
                    self.note_reset(flow, &packet);
                    return Some(packet);
                }
            }
        }
        None
    }

    fn note_reset(&self, flow: &Flow, packet: &Packet) -> End {
        let by = if packet.sum == 0 { "system" } else { "server" };
        self.record.line(&format!(
            "client {} gets a reset by the {by}: seq={} last ack={} distance={}",
            flow.source,
            packet.seq,
            flow.ack,
            flow.distance(packet.seq)
        ));
        match packet.sum {
            0 => End::SystemReset,
            _ => End::ServerReset,
        }
    }

    /// Ends a flow.
    pub fn close(&self, flow: Flow, edge: SocketAddr) {
        self.send(edge, &flow.packet(FIN | ACK, Vec::new()));
        self.queues.lock().unwrap().remove(&flow.source.port());
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.is_alive.store(false, Ordering::SeqCst);
    }
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            seq: self.seq,
            ack: self.ack,
            echo: self.echo,
            flags,
            dst: self.route,
            src: self.source,
            sum: Packet::OWN_SUM,
            data,
        }
    }

    /// Distance of a sequence number from the client's last acknowledgement.
    pub fn distance(&self, seq: u32) -> u32 {
        let ahead = seq.wrapping_sub(self.ack);
        ahead.min(ahead.wrapping_neg())
    }
}
