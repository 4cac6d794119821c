//! Emulators of what surrounds the system on the users' platform: clients, upstreams and the
//! operator, as far as the platform's pages describe them. They speak the wire by themselves, so
//! that a mistake of the adapter isn't made here too.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SYN: u8 = 1;
const RST: u8 = 2;
const ACK: u8 = 4;
const FIN: u8 = 64;

/// Length of a packet's head, in bytes.
const HEAD: usize = 32;

/// Length of what goes before a packet to an upstream, in bytes.
const ENVELOPE: usize = 8;

/// Time after which a client sends again.
const AGAIN: Duration = Duration::from_millis(200);

/// Time that a call over HTTP may take.
const CALL_WAIT: Duration = Duration::from_secs(2);

/// Time between two announcements of an upstream.
pub const ANNOUNCE: Duration = Duration::from_millis(300);

/// A packet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Packet {
    sequence: u32,
    acknowledgement: u32,
    token: u32,
    flags: u8,
    to: SocketAddrV4,
    from: SocketAddrV4,
    data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
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

    fn decode(bytes: &[u8]) -> Option<Self> {
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

/// What an upstream does with packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Answers at once.
    Quick,
    /// Answers after a while.
    Slow(Duration),
}

/// What an upstream is told and has seen.
#[derive(Debug)]
struct Shared {
    mood: Mutex<Mood>,
    state: Mutex<&'static str>,
    is_over: AtomicBool,
    opened: AtomicU64,
    strays: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An upstream that announces itself; dropping it crashes it.
#[derive(Debug)]
pub struct Upstream {
    /// Its id, as in its announcements.
    pub id: String,
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// What an upstream is.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Number of its id.
    pub number: u64,
    /// Service that it serves.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it takes packets and connections.
    pub address: SocketAddr,
    /// Port at which clients take packets.
    pub client_port: u16,
    /// Control VMs to which it announces itself.
    pub controls: Vec<SocketAddr>,
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails when its address is taken.
    pub fn start(profile: Profile) -> io::Result<Self> {
        let socket = UdpSocket::bind(profile.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let listener = TcpListener::bind(profile.address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            mood: Mutex::new(Mood::Quick),
            state: Mutex::new("ready"),
            is_over: AtomicBool::new(false),
            opened: AtomicU64::new(0),
            strays: AtomicU64::new(0),
        });
        let id = format!("i-{:08x}", profile.number);
        let (one, other) = (Arc::clone(&shared), Arc::clone(&shared));
        let (number, client_port) = (profile.number, profile.client_port);
        let path = format!("/api/instances/{id}");
        let serving = thread::spawn(move || serve(&socket, &listener, number, client_port, &one));
        let announcing = thread::spawn(move || announce(&profile, &path, &other));
        Ok(Self {
            id,
            shared,
            threads: vec![serving, announcing],
        })
    }

    /// Changes how it answers.
    pub fn set_mood(&self, mood: Mood) {
        *lock(&self.shared.mood) = mood;
    }

    /// Announces from now on that it is about to stop.
    pub fn drain(&self) {
        *lock(&self.shared.state) = "draining";
    }

    /// Flows that were opened with it.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.shared.opened.load(Ordering::SeqCst)
    }

    /// Packets of flows that it does not hold.
    #[must_use]
    pub fn strays(&self) -> u64 {
        self.shared.strays.load(Ordering::SeqCst)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so.
            drop(thread.join());
        }
    }
}

fn announce(profile: &Profile, path: &str, shared: &Shared) {
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = started.map_or(1, |d| d.as_millis());
    let mut sequence = 0_usize;
    while !shared.is_over.load(Ordering::SeqCst) {
        sequence += 1;
        let state = *lock(&shared.state);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":2,
            "state":"{state}","sequence":{sequence},"born":{born}}}"#,
            profile.service, profile.address, profile.domain
        );
        let to = profile.controls.iter().cycle().skip(sequence);
        for control in to.take(profile.controls.len()) {
            if matches!(call(*control, "PUT", path, &body), Ok((200, _))) {
                break;
            }
        }
        thread::sleep(ANNOUNCE);
    }
}

fn serve(
    socket: &UdpSocket,
    listener: &TcpListener,
    number: u64,
    client_port: u16,
    shared: &Shared,
) {
    let mut flows: BTreeMap<SocketAddrV4, u32> = BTreeMap::new();
    let mut buffer = [0; 2_048];
    while !shared.is_over.load(Ordering::SeqCst) {
        // Probes only connect.
        while listener.accept().is_ok() {}
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let datagram = &buffer[..length];
        let Some(packet) = datagram.get(ENVELOPE..).and_then(Packet::decode) else {
            continue;
        };
        if datagram[..ENVELOPE] != number.to_be_bytes() {
            continue;
        }
        if let Some(answer) = respond(&packet, &mut flows, shared) {
            let client = SocketAddrV4::new(*packet.from.ip(), client_port);
            // The client's socket may be gone.
            drop(socket.send_to(&answer.encode(), client));
        }
    }
}

fn respond(
    packet: &Packet,
    flows: &mut BTreeMap<SocketAddrV4, u32>,
    shared: &Shared,
) -> Option<Packet> {
    let answer = |flags, sequence, data: &[u8]| Packet {
        sequence,
        acknowledgement: packet.sequence.wrapping_add(1),
        token: packet.token,
        flags,
        to: packet.from,
        from: packet.to,
        data: data.to_vec(),
    };
    if packet.flags & SYN != 0 {
        flows.insert(packet.from, 1_000);
        shared.opened.fetch_add(1, Ordering::SeqCst);
        return Some(answer(SYN | ACK, 1_000, b""));
    }
    let Some(sequence) = flows.get_mut(&packet.from) else {
        shared.strays.fetch_add(1, Ordering::SeqCst);
        return Some(answer(RST, 0, b""));
    };
    if packet.flags & (FIN | RST) != 0 {
        flows.remove(&packet.from);
        return None;
    }
    if packet.data.is_empty() {
        return None;
    }
    let mood = *lock(&shared.mood);
    if let Mood::Slow(wait) = mood {
        thread::sleep(wait);
    }
    *sequence += 10;
    Some(answer(ACK, *sequence, b"answer"))
}

/// What a client got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    /// What it asked for.
    Answer,
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
            return (flow, Got::Answer);
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
                flow.acknowledgement = answer.sequence.wrapping_add(6);
                self.send(entry, &packet(flow, ACK, b""));
                return Got::Answer;
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
