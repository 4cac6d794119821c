//! Upstreams that announce themselves and answer clients directly.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::wire::{ACK, ENVELOPE_BYTES, FIN, Packet, RST, SYN, call};

/// Time between two announcements of an upstream to a control VM.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Sequence number with which an upstream opens each flow.
const FIRST_SEQUENCE: u32 = 1_000;

/// Time that an upstream waits before an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseDelay {
    /// No wait.
    Immediate,
    /// A wait of the given time; the upstream receives no other packets meanwhile.
    Delayed(Duration),
}

/// State that the handle of an upstream shares with the threads of the upstream.
#[derive(Debug)]
struct Shared {
    response_delay: Mutex<ResponseDelay>,
    state: Mutex<&'static str>,
    is_stopped: AtomicBool,
    /// Times at which opening packets arrived, copies included.
    opened: Mutex<Vec<Instant>>,
    unmatched_packets: AtomicU64,
    /// Time at which a control VM first acknowledged an announcement with state `draining`.
    drain_acknowledged: Mutex<Option<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An upstream that announces itself. Dropping the handle stops the upstream without notice to the
/// control VMs, like a crash.
#[derive(Debug)]
pub struct Upstream {
    /// Id of the upstream in its announcements.
    pub id: String,
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Identity, addresses and clock of an upstream.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Number from which the id is made.
    pub number: u64,
    /// Service that the upstream serves.
    pub service: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Address at which the upstream receives packets and connections.
    pub address: SocketAddr,
    /// Address that the upstream announces.
    pub announced: SocketAddr,
    /// Port at which clients receive packets.
    pub client_port: u16,
    /// API addresses of the control VMs that receive the announcements.
    pub controls: Vec<SocketAddr>,
    /// Offset of the upstream's clock from the true time, in milliseconds; positive when ahead.
    pub clock_ms: i64,
}

impl Upstream {
    /// Starts the threads that answer packets and send announcements.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn start(profile: Profile) -> io::Result<Self> {
        let socket = UdpSocket::bind(profile.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let listener = TcpListener::bind(profile.address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            response_delay: Mutex::new(ResponseDelay::Immediate),
            state: Mutex::new("ready"),
            is_stopped: AtomicBool::new(false),
            opened: Mutex::default(),
            unmatched_packets: AtomicU64::new(0),
            drain_acknowledged: Mutex::default(),
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

    /// Sets the wait before each further answer.
    pub fn set_response_delay(&self, response_delay: ResponseDelay) {
        *lock(&self.shared.response_delay) = response_delay;
    }

    /// Announces state `draining` from the next announcement on.
    pub fn drain(&self) {
        *lock(&self.shared.state) = "draining";
    }

    /// Returns the times at which opening packets arrived, copies included.
    #[must_use]
    pub fn opened(&self) -> Vec<Instant> {
        lock(&self.shared.opened).clone()
    }

    /// Returns the time at which a control VM first acknowledged an announcement with state
    /// `draining`.
    #[must_use]
    pub fn drain_acknowledged(&self) -> Option<Instant> {
        *lock(&self.shared.drain_acknowledged)
    }

    /// Returns the number of packets that belonged to no open flow.
    #[must_use]
    pub fn unmatched_packets(&self) -> u64 {
        self.shared.unmatched_packets.load(Ordering::SeqCst)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A thread that panicked has already printed its panic message.
            drop(thread.join());
        }
    }
}

fn announce(profile: &Profile, path: &str, shared: &Shared) {
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let unix_time_ms = started.map_or(1, |d| i64::try_from(d.as_millis()).unwrap_or(i64::MAX));
    let born = unix_time_ms.saturating_add(profile.clock_ms).max(1);
    let mut sequence = 0_usize;
    while !shared.is_stopped.load(Ordering::SeqCst) {
        sequence += 1;
        let state = *lock(&shared.state);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":2,
            "state":"{state}","warmupRemainingMs":0,"sequence":{sequence},"born":{born}}}"#,
            profile.service, profile.announced, profile.domain
        );
        let to = profile.controls.iter().cycle().skip(sequence);
        for control in to.take(profile.controls.len()) {
            if matches!(call(*control, "PUT", path, &body), Ok((200, _))) {
                if state == "draining" {
                    lock(&shared.drain_acknowledged).get_or_insert_with(Instant::now);
                }
                break;
            }
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn serve(
    socket: &UdpSocket,
    listener: &TcpListener,
    number: u64,
    client_port: u16,
    shared: &Shared,
) {
    let mut connections = BTreeMap::new();
    let mut buffer = [0; 2_048];
    while !shared.is_stopped.load(Ordering::SeqCst) {
        // A probe only opens a connection and sends no data.
        while listener.accept().is_ok() {}
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let datagram = &buffer[..length];
        let Some(packet) = datagram.get(ENVELOPE_BYTES..).and_then(Packet::decode) else {
            continue;
        };
        if datagram[..ENVELOPE_BYTES] != number.to_be_bytes() {
            continue;
        }
        if let Some(answer) = respond(&packet, number, &mut connections, shared) {
            let client = SocketAddrV4::new(*packet.from.ip(), client_port);
            // The client's socket may be closed already.
            drop(socket.send_to(&answer.encode(), client));
        }
    }
}

/// An upstream's end of a flow.
#[derive(Debug, Clone)]
struct Connection {
    /// Sequence number of the next byte from the client.
    expected: u32,
    /// Sequence number of the next byte of this upstream.
    sequence: u32,
    /// Sequence number of the last answer; none before the first one.
    answered: Option<u32>,
}

impl Connection {
    fn opened_by(packet: &Packet) -> Self {
        Self {
            expected: packet.end(),
            sequence: FIRST_SEQUENCE.wrapping_add(1),
            answered: None,
        }
    }

    /// Returns the sequence number of the answer to a question of the client. A repeated question gets
    /// the same answer again.
    fn answer(&mut self, question: &Packet, answer_bytes: u32) -> u32 {
        if let Some(answered) = self.answered
            && question.end() == self.expected
        {
            return answered;
        }
        let answered = self.sequence;
        self.expected = question.end();
        self.sequence = answered.wrapping_add(answer_bytes);
        self.answered = Some(answered);
        answered
    }
}

fn respond(
    packet: &Packet,
    number: u64,
    connections: &mut BTreeMap<SocketAddrV4, Connection>,
    shared: &Shared,
) -> Option<Packet> {
    let answer = |flags, sequence, data: &[u8]| Packet {
        sequence,
        acknowledgement: packet.end(),
        token: packet.token,
        flags,
        to: packet.from,
        from: packet.to,
        data: data.to_vec(),
    };
    if packet.flags & SYN != 0 {
        let is_copy = packet.acknowledgement > 0;
        if !is_copy || !connections.contains_key(&packet.from) {
            connections.insert(packet.from, Connection::opened_by(packet));
        }
        lock(&shared.opened).push(Instant::now());
        return Some(answer(SYN | ACK, FIRST_SEQUENCE, b""));
    }
    let Some(connection) = connections.get_mut(&packet.from) else {
        shared.unmatched_packets.fetch_add(1, Ordering::SeqCst);
        return Some(answer(RST, 0, b""));
    };
    if packet.flags & (FIN | RST) != 0 {
        connections.remove(&packet.from);
        return None;
    }
    if packet.data.is_empty() {
        return None;
    }
    let response_delay = *lock(&shared.response_delay);
    if let ResponseDelay::Delayed(wait) = response_delay {
        thread::sleep(wait);
    }
    let data = number.to_be_bytes();
    let answer_bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
    let sequence = connection.answer(packet, answer_bytes);
    Some(answer(ACK, sequence, &data))
}
