//! A server: it answers packets and health checks, announces itself, and leaves as PROTOCOL.md says.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record;
use crate::system::{CALL_TIMEOUT, HEARTBEAT};
use crate::wire::{ACK, FIN, Origin, Packet, RST, SYN, call};

/// Wait before the first retransmission; it doubles with each one.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// Retransmissions after which a server gives up.
const MAX_RETRANSMISSIONS: u32 = 8;

/// Longest wait of a server whose heartbeats no control VM answers.
const MAX_BACKOFF: Duration = Duration::from_millis(8 * 770);

/// Length of the server's id before each packet.
const ENVELOPE_BYTES: usize = 8;

/// What a server is and how it behaves.
#[derive(Debug, Clone)]
pub struct Profile {
    pub number: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    /// Port at which clients receive packets.
    pub client_port: u16,
    /// Control VMs in the order in which the server calls them. It stays with one as long as that one
    /// answers.
    pub controls: Vec<SocketAddr>,
    /// Time that a request takes.
    pub work: Duration,
    /// Number of flows that the server holds.
    pub max_flows: usize,
    /// Clients to which the next SYN+ACK is lost in the network; shared by all servers.
    pub lost_to: Arc<Mutex<BTreeSet<SocketAddrV4>>>,
}

impl Profile {
    pub fn id(&self) -> String {
        format!("i-{:08x}", self.number)
    }

    fn path(&self) -> String {
        format!("/api/instances/{}", self.id())
    }
}

/// What a server saw of an opening packet that it took.
#[derive(Debug, Clone)]
pub struct Opening {
    pub client: SocketAddrV4,
    /// Number of the copy that the server took.
    pub copy: u32,
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    draining: bool,
    /// Whether the server sends no more heartbeats, since it is about to exit.
    is_silent: bool,
    /// Whether the server is cut off from all machines of the system; connections are refused.
    is_cut: bool,
    /// Time until which the server is cold.
    cold_until: Option<Instant>,
    sequence: u64,
    control: usize,
    max_flows: usize,
    openings: Vec<Opening>,
    runs: Vec<(String, Instant)>,
    open_flows: usize,
}

/// A running server. Dropping it ends it like a crash.
pub struct Server {
    pub profile: Profile,
    pub born: u64,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts the server. `cold` is the time for which it stays cold.
    pub fn start(profile: Profile, cold: Duration) -> io::Result<Self> {
        let socket = UdpSocket::bind(profile.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let listener = TcpListener::bind(profile.address)?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = born.as_millis() as u64;
        let state = State {
            cold_until: (!cold.is_zero()).then(|| Instant::now() + cold),
            max_flows: profile.max_flows,
            ..State::default()
        };
        let state = Arc::new(Mutex::new(state));
        let stop = Arc::new(AtomicBool::new(false));
        record::line(&format!(
            "server {} starts: born={born} address={} service={}",
            profile.id(),
            profile.address,
            profile.service
        ));
        let packets = {
            let (profile, state, stop) = (profile.clone(), Arc::clone(&state), Arc::clone(&stop));
            thread::spawn(move || serve(&socket, &profile, &state, &stop))
        };
        let health = {
            let (id, stop) = (profile.id(), Arc::clone(&stop));
            let (address, state) = (profile.address, Arc::clone(&state));
            thread::spawn(move || answer_health(listener, address, &id, &state, &stop))
        };
        let beats = {
            let (profile, state, stop) = (profile.clone(), Arc::clone(&state), Arc::clone(&stop));
            thread::spawn(move || send_beats(&profile, born, &state, &stop))
        };
        Ok(Self {
            profile,
            born,
            state,
            stop,
            threads: vec![packets, health, beats],
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Reports `draining` until a control VM has acknowledged that. Returns the time of the
    /// acknowledgement.
    pub fn drain(&self) -> Instant {
        record::show(&format!(
            "planned work: server {} is to leave",
            self.profile.id()
        ));
        self.state().draining = true;
        while !beat(&self.profile, self.born, &self.state, &self.stop) {}
        record::show(&format!(
            "server {}: draining is acknowledged",
            self.profile.id()
        ));
        Instant::now()
    }

    /// Tells the control VMs that the server stops, and ends it.
    pub fn leave(self) {
        self.state().is_silent = true;
        for _ in 0..self.profile.controls.len() {
            if self.call_current("DELETE", "") {
                break;
            }
        }
        record::show(&format!("server {} exits", self.profile.id()));
    }

    fn call_current(&self, method: &str, body: &str) -> bool {
        call_control(&self.profile, &self.state, method, body)
    }

    /// Makes the server cold for `time`, as when it comes back from an evacuation.
    pub fn turn_cold(&self, time: Duration) {
        record::line(&format!(
            "server {} is cold for {time:?}",
            self.profile.id()
        ));
        self.state().cold_until = Some(Instant::now() + time);
    }

    /// Cuts the server off from all machines of the system, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        record::line(&format!("server {}: cut off: {is_cut}", self.profile.id()));
        self.state().is_cut = is_cut;
    }

    pub fn openings(&self) -> Vec<Opening> {
        self.state().openings.clone()
    }

    pub fn runs(&self) -> Vec<(String, Instant)> {
        self.state().runs.clone()
    }

    pub fn open_flows(&self) -> usize {
        self.state().open_flows
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a heartbeat. Returns whether it was acknowledged; if not, the next call goes to another
/// control VM.
fn beat(profile: &Profile, born: u64, state: &Mutex<State>, stop: &AtomicBool) -> bool {
    if stop.load(Ordering::SeqCst) || lock(state).is_silent {
        return true;
    }
    let body = {
        let mut state = lock(state);
        state.sequence += 1;
        let cold = state
            .cold_until
            .map(|at| at.saturating_duration_since(Instant::now()));
        let phase = if state.draining { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":3,"state":"{phase}","warmupRemainingMs":{},"sequence":{},"born":{born}}}"#,
            profile.service,
            profile.address,
            profile.zone,
            cold.unwrap_or_default().as_millis(),
            state.sequence,
        )
    };
    call_control(profile, state, "PUT", &body)
}

fn call_control(profile: &Profile, state: &Mutex<State>, method: &str, body: &str) -> bool {
    let number = lock(state).control;
    let control = profile.controls[number % profile.controls.len()];
    let status = match lock(state).is_cut {
        true => None,
        false => Some(call(control, method, &profile.path(), body, CALL_TIMEOUT)),
    };
    let status = status
        .and_then(|answer| answer.ok())
        .map(|(status, _)| status);
    let acknowledged = status.is_some_and(|s| (200..300).contains(&s));
    if method != "PUT" || !acknowledged {
        record::line(&format!(
            "server {}: {method} to {control}: {status:?}",
            profile.id()
        ));
    }
    if !acknowledged {
        lock(state).control = number + 1;
    }
    acknowledged
}

/// Sends a heartbeat every [`HEARTBEAT`]. If no control VM answers, the wait doubles.
fn send_beats(profile: &Profile, born: u64, state: &Mutex<State>, stop: &AtomicBool) {
    let mut wait = HEARTBEAT;
    while !stop.load(Ordering::SeqCst) {
        let started = Instant::now();
        let is_acknowledged = (0..profile.controls.len()).any(|_| beat(profile, born, state, stop));
        wait = match is_acknowledged {
            true => HEARTBEAT,
            false => (wait * 2).min(MAX_BACKOFF),
        };
        while started.elapsed() < wait && !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn answer_health(
    listener: TcpListener,
    address: SocketAddrV4,
    id: &str,
    state: &Mutex<State>,
    stop: &AtomicBool,
) {
    let mut listener = Some(listener);
    while !stop.load(Ordering::SeqCst) {
        if lock(state).is_cut {
            // Without a listener, connections are refused.
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
            }
        }
        let accepted = listener
            .as_ref()
            .and_then(|listener| listener.accept().ok());
        let Some((mut stream, _)) = accepted else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let id = id.to_owned();
        thread::spawn(move || {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let mut request = [0; 1_024];
            // A probe of the load balancer opens a connection and sends nothing.
            if stream.read(&mut request).is_ok_and(|length| length > 0) {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(answer.as_bytes());
            }
        });
    }
}

/// A flow at a server.
struct Flow {
    client: SocketAddrV4,
    route: SocketAddrV4,
    echo: u32,
    is_open: bool,
    /// Sequence number of the server's next byte.
    seq: u32,
    /// Sequence number that the server expects from the client.
    expected: u32,
    /// Request at work, with the time when it is done.
    working: Option<(String, Instant)>,
    /// Last answer, sent again if the client repeats its request.
    answer: Option<Packet>,
    /// SYN+ACK packets sent without an acknowledgement, and the time of the next one.
    repeats: u32,
    repeat_at: Instant,
}

impl Flow {
    /// Returns the SYN+ACK of the flow.
    fn handshake(&self) -> Packet {
        let mut packet = self.packet(SYN | ACK, b"");
        packet.seq = self.seq.wrapping_sub(1);
        packet
    }

    fn packet(&self, flags: u8, data: &[u8]) -> Packet {
        Packet {
            seq: self.seq,
            ack: self.expected,
            echo: self.echo,
            flags,
            dst: self.client,
            src: self.route,
            data: data.to_vec(),
        }
    }
}

fn serve(socket: &UdpSocket, profile: &Profile, state: &Mutex<State>, stop: &AtomicBool) {
    let mut flows: BTreeMap<(SocketAddrV4, SocketAddrV4), Flow> = BTreeMap::new();
    let mut buffer = [0; 2_048];
    while !stop.load(Ordering::SeqCst) {
        send_due_answers(socket, profile, state, &mut flows);
        lock(state).open_flows = flows.len();
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if lock(state).is_cut {
            continue;
        }
        let datagram = &buffer[..length];
        let id = datagram
            .first_chunk::<ENVELOPE_BYTES>()
            .map(|b| u64::from_be_bytes(*b));
        if id != Some(profile.number) && id != Some(0) {
            continue;
        }
        let decoded = Packet::decode(&datagram[ENVELOPE_BYTES..]);
        let Some((packet, Origin::Peer)) = decoded else {
            record::line(&format!(
                "server {} got a packet that no client wrote so",
                profile.id()
            ));
            continue;
        };
        if let Some(reply) = respond(packet, profile, state, &mut flows) {
            let is_lost = || lock(&profile.lost_to).remove(&reply.dst);
            if reply.flags == SYN | ACK && is_lost() {
                record::show(&format!(
                    "disruption: a datagram is lost: the SYN+ACK of server {} to {}",
                    profile.id(),
                    reply.dst
                ));
                continue;
            }
            send(socket, profile, &reply);
        }
    }
}

fn send(socket: &UdpSocket, profile: &Profile, packet: &Packet) {
    let to = SocketAddrV4::new(*packet.dst.ip(), profile.client_port);
    let _ = socket.send_to(&packet.encode(), to);
}

fn send_due_answers(
    socket: &UdpSocket,
    profile: &Profile,
    state: &Mutex<State>,
    flows: &mut BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
) {
    let now = Instant::now();
    let mut closed = Vec::new();
    for (key, flow) in flows.iter_mut() {
        let Some((attempt, _)) = flow.working.take_if(|(_, due)| *due <= now) else {
            continue;
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nServer-Signature: {}-{attempt}\r\nContent-Length: 0\r\n\r\n",
            profile.id()
        );
        let is_last = lock(state).draining;
        let flags = if is_last { ACK | FIN } else { ACK };
        let answer = flow.packet(flags, text.as_bytes());
        flow.seq = flow.seq.wrapping_add(text.len() as u32);
        send(socket, profile, &answer);
        record::line(&format!("server {} answered {attempt}", profile.id()));
        flow.answer = Some(answer);
        if is_last {
            closed.push(*key);
        }
    }
    for key in closed {
        flows.remove(&key);
    }
    for flow in flows
        .values_mut()
        .filter(|flow| !flow.is_open && flow.repeat_at <= now)
    {
        flow.repeats += 1;
        let wait = RETRANSMIT * 2_u32.pow(flow.repeats.min(3));
        flow.repeat_at = now + wait;
        record::line(&format!(
            "server {} repeats its SYN+ACK to {}",
            profile.id(),
            flow.client
        ));
        send(socket, profile, &flow.handshake());
    }
    flows.retain(|_, flow| flow.is_open || flow.repeats < MAX_RETRANSMISSIONS);
}

fn respond(
    packet: Packet,
    profile: &Profile,
    state: &Mutex<State>,
    flows: &mut BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
) -> Option<Packet> {
    let key = (packet.src, packet.dst);
    if packet.flags & SYN != 0 {
        return open(packet, profile, state, flows);
    }
    let Some(flow) = flows.get_mut(&key) else {
        if packet.flags & RST != 0 {
            return None;
        }
        let flags = if packet.flags & FIN != 0 { ACK } else { RST };
        record::line(&format!(
            "server {} holds no flow of {}: answers with flags {flags}",
            profile.id(),
            packet.src
        ));
        return Some(Packet {
            seq: packet.ack,
            ack: packet.seq,
            echo: packet.echo,
            flags,
            dst: packet.src,
            src: packet.dst,
            data: Vec::new(),
        });
    };
    flow.echo = packet.echo;
    if packet.flags & RST != 0 {
        flows.remove(&key);
        return None;
    }
    if !flow.is_open {
        if packet.ack != flow.seq {
            // The client has opened the flow at another server: this server holds no such flow.
            record::line(&format!(
                "server {} gets a packet of {} that acknowledges another server: RST",
                profile.id(),
                packet.src
            ));
            return Some(Packet {
                seq: packet.ack,
                ack: packet.seq,
                echo: packet.echo,
                flags: RST,
                dst: packet.src,
                src: packet.dst,
                data: Vec::new(),
            });
        }
        flow.is_open = true;
        record::line(&format!(
            "server {}: the flow of {} is open",
            profile.id(),
            packet.src
        ));
    }
    if packet.flags & FIN != 0 {
        flow.expected = packet.seq.wrapping_add(1);
        let reply = flow.packet(ACK, b"");
        flows.remove(&key);
        return Some(reply);
    }
    if packet.data.is_empty() {
        return None;
    }
    if packet.seq != flow.expected {
        return flow.answer.clone();
    }
    flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
    let text = String::from_utf8_lossy(&packet.data).into_owned();
    let attempt = text.lines().find_map(|l| l.strip_prefix("Attempt-Id: "));
    let attempt = attempt.unwrap_or("?").to_owned();
    record::line(&format!(
        "server {} ({}) runs {attempt} for {}",
        profile.id(),
        profile.service,
        packet.src
    ));
    let now = Instant::now();
    lock(state).runs.push((attempt.clone(), now));
    flow.working = Some((attempt, now + profile.work));
    None
}

fn open(
    packet: Packet,
    profile: &Profile,
    state: &Mutex<State>,
    flows: &mut BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
) -> Option<Packet> {
    let key = (packet.src, packet.dst);
    let mut state = lock(state);
    if packet.flags & ACK != 0 {
        record::line(&format!("server {} got a SYN+ACK", profile.id()));
        return None;
    }
    if !flows.contains_key(&key) {
        if flows.len() >= state.max_flows {
            record::line(&format!(
                "server {} is full: no answer to the SYN of {} (copy {})",
                profile.id(),
                packet.src,
                packet.ack
            ));
            return None;
        }
        state.openings.push(Opening {
            client: packet.src,
            copy: packet.ack,
            at: Instant::now(),
        });
        let first = packet.seq.rotate_left(7) ^ (profile.number as u32).wrapping_mul(0x9e37_79b9);
        let flow = Flow {
            client: packet.src,
            route: packet.dst,
            echo: packet.echo,
            is_open: false,
            seq: first.wrapping_add(1),
            expected: packet.seq.wrapping_add(1),
            working: None,
            answer: None,
            repeats: 0,
            repeat_at: Instant::now() + RETRANSMIT,
        };
        flows.insert(key, flow);
    }
    let flow = flows.get_mut(&key)?;
    flow.echo = packet.echo;
    Some(flow.handshake())
}
