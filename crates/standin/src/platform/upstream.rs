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

use super::wire::{ACK, ENVELOPE, FIN, Packet, RST, SYN, call};

/// Time between two announcements of an upstream.
pub const ANNOUNCE: Duration = Duration::from_millis(300);

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
    /// When each flow was opened, since the emulator's own start.
    opened: Mutex<Vec<Instant>>,
    strays: AtomicU64,
    /// When a control VM first acknowledged that it is about to stop.
    drain_acknowledged: Mutex<Option<Instant>>,
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
    /// Address that it announces.
    pub announced: SocketAddr,
    /// Port at which clients take packets.
    pub client_port: u16,
    /// Control VMs to which it announces itself.
    pub controls: Vec<SocketAddr>,
    /// How far its clock is ahead, in milliseconds.
    pub clock_ms: i64,
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
            opened: Mutex::default(),
            strays: AtomicU64::new(0),
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

    /// Changes how it answers.
    pub fn set_mood(&self, mood: Mood) {
        *lock(&self.shared.mood) = mood;
    }

    /// Announces from now on that it is about to stop.
    pub fn drain(&self) {
        *lock(&self.shared.state) = "draining";
    }

    /// When each opening packet reached it.
    #[must_use]
    pub fn opened(&self) -> Vec<Instant> {
        lock(&self.shared.opened).clone()
    }

    /// When a control VM first acknowledged that it is about to stop.
    #[must_use]
    pub fn drain_acknowledged(&self) -> Option<Instant> {
        *lock(&self.shared.drain_acknowledged)
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
    let by_true_clock = started.map_or(1, |d| i64::try_from(d.as_millis()).unwrap_or(i64::MAX));
    let born = by_true_clock.saturating_add(profile.clock_ms).max(1);
    let mut sequence = 0_usize;
    while !shared.is_over.load(Ordering::SeqCst) {
        sequence += 1;
        let state = *lock(&shared.state);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":2,
            "state":"{state}","sequence":{sequence},"born":{born}}}"#,
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
        if let Some(answer) = respond(&packet, number, &mut flows, shared) {
            let client = SocketAddrV4::new(*packet.from.ip(), client_port);
            // The client's socket may be gone.
            drop(socket.send_to(&answer.encode(), client));
        }
    }
}

fn respond(
    packet: &Packet,
    number: u64,
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
        lock(&shared.opened).push(Instant::now());
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
    Some(answer(ACK, *sequence, &number.to_be_bytes()))
}
