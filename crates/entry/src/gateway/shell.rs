//! The state of an entry VM on the platform, and the packets that it passes on.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io::ErrorKind,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant as Clock},
};

use log::{info, warn};
use model::routing::{ProbeOutcome, ProbeReport};
use platform::packet;
use policy::{
    time::Instant,
    token::{
        decision::{Action, Decision, MAX_HOLD_MS, Reason},
        gateway::{Gateway, Settings},
        health::Probe,
        pace::Pacer,
        segment::Segment,
    },
};
use settings::gateway::Entry;
use tokio::{
    net::UdpSocket,
    sync::{Notify, broadcast},
};

use super::journal::Journal;

mod learn;

/// Packets that are held at a time; the oldest gives way.
const MAX_HELD: usize = 256;

/// Findings that a stream to a control VM may have waiting.
const MAX_FOUND: usize = 256;

/// Time after which a plan that was asked for is asked for again.
const PLAN_WAIT: Duration = Duration::from_millis(600);

/// What this VM found out about an upstream, on its way to a control VM.
#[derive(Debug, Clone)]
pub struct Found {
    finding: ProbeReport,
    at: Clock,
}

impl Found {
    /// The finding, with its age now.
    #[must_use]
    pub fn finding(&self) -> ProbeReport {
        let waited_ms = u64::try_from(self.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        ProbeReport {
            age_ms: self.finding.age_ms.saturating_add(waited_ms),
            ..self.finding
        }
    }

    /// Identity of the upstream, where it was found down.
    #[must_use]
    pub fn down(&self) -> Option<u64> {
        let is_down = self.finding.probed != ProbeOutcome::Accepted;
        is_down.then_some(self.finding.upstream.id)
    }
}

/// The shell; clones share it.
#[derive(Debug, Clone)]
pub struct Shell {
    state: Rc<RefCell<State>>,
    socket: Rc<UdpSocket>,
    /// Told when the control VMs that are known have changed.
    pub controls_changed: Rc<Notify>,
    /// Told when datagrams may have begun to wait for the link.
    pub paced_changed: Rc<Notify>,
    /// Told when a probe may be due sooner than was known.
    pub probes_changed: Rc<Notify>,
    /// What this VM found out about upstreams, for the streams to control VMs.
    findings: broadcast::Sender<Found>,
}

#[derive(Debug)]
struct State {
    gateway: Gateway,
    started: Clock,
    buffer: Vec<u8>,
    packet_at: Clock,
    journal: Journal,
    /// Version of the plan that was asked for last, and when.
    asked: Option<(u64, Clock)>,
    /// Port at which clients take packets.
    client_port: u16,
    /// Packets that are decided on again when more is known, with when they came.
    held: VecDeque<(Instant, Vec<u8>)>,
    /// Datagrams that wait for the link, with where they go.
    paced: Pacer<(Vec<u8>, SocketAddr)>,
}

impl Shell {
    /// A shell that forwards through `socket`.
    #[must_use]
    pub fn new(settings: &Entry, socket: UdpSocket) -> Self {
        let started = Clock::now();
        let state = State {
            gateway: Gateway::new(Settings {
                vm: settings.name.as_str().into(),
                domain: settings.domain.clone(),
                seed: settings.seed.unwrap_or_else(daemon::process::fresh_random),
            }),
            started,
            buffer: vec![0; packet::ENVELOPE + packet::MAX_LEN + 1],
            packet_at: started,
            journal: Journal::default(),
            asked: None,
            client_port: settings.fabric_listen.port(),
            held: VecDeque::new(),
            paced: Pacer::new(settings.link_mbps),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            socket: Rc::new(socket),
            controls_changed: Rc::default(),
            paced_changed: Rc::default(),
            probes_changed: Rc::default(),
            findings: broadcast::Sender::new(MAX_FOUND),
        }
    }

    /// The socket of the fabric.
    #[must_use]
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Reads up to `limit` packets and passes each on.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be read any longer.
    pub fn take_packets(&self, limit: usize) -> Result<(), String> {
        let mut state = self.state.borrow_mut();
        self.waking(&mut state, |state| self.take_some(state, limit))
    }

    /// Does something that may send packets. Wakes the one that sends what waits for the link where
    /// that leaves the first packet waiting, and the one that probes where it makes a probe due.
    fn waking<T>(&self, state: &mut State, act: impl FnOnce(&mut State) -> T) -> T {
        let was_waiting = state.paced.next_send_at().is_some();
        let probe_before = state.gateway.next_probe();
        let outcome = act(state);
        if !was_waiting && state.paced.next_send_at().is_some() {
            self.paced_changed.notify_one();
        }
        if state.gateway.next_probe() != probe_before {
            self.probes_changed.notify_one();
        }
        outcome
    }

    /// Sends the datagrams that waited and may go now. Returns the time until the next one may.
    pub fn send_paced(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        while let Some((datagram, to)) = state.paced.pop(now) {
            state.send_now(&datagram, to, &self.socket);
        }
        let next = state.paced.next_send_at()?;
        Some(next.since(now))
    }

    fn take_some(&self, state: &mut State, limit: usize) -> Result<(), String> {
        for _ in 0..limit {
            let place = &mut state.buffer[packet::ENVELOPE..];
            match self.socket.try_recv_from(place) {
                Ok((length, _)) => state.take_packet(length, &self.socket),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The kernel reports here that an earlier datagram found no receiver.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(e) => return Err(format!("reading packets of the fabric failed: {e}")),
            }
        }
        Ok(())
    }

    /// Upstreams that are to be probed now.
    #[must_use]
    pub fn due_probes(&self) -> Vec<Probe> {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let probes = state.gateway.due_probes(now);
        for probe in &probes {
            metrics::counter!("oriole_probes_total", "ground" => probe.reason.as_str())
                .increment(1);
        }
        probes
    }

    /// Time until the next probe may be due; none where none is.
    #[must_use]
    pub fn until_probe(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let next = state.gateway.next_probe()?;
        Some(next.since(state.now()))
    }

    /// Takes the outcome of a probe.
    pub fn probed(&self, id: u64, outcome: ProbeOutcome) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        if state.gateway.record_probe(now, id, outcome) && state.journal.may_log(now) {
            let is_down = state.gateway.is_down(id);
            info!(
                target: "upstreams",
                "event=probe upstream={id:x} outcome={outcome:?} down={is_down}"
            );
        }
        state.refuse_waiting(&self.socket);
        for finding in state.gateway.take_probe_reports(now) {
            let at = Clock::now();
            // Without a stream there is nobody to tell.
            drop(self.findings.send(Found { finding, at }));
        }
        // There is room for another.
        self.probes_changed.notify_one();
    }

    /// Lets time pass.
    pub fn tick(&self) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.gateway.tick(now);
        for verdict in state.gateway.outlier_changes(now) {
            if state.journal.may_log(now) {
                info!(
                    target: "upstreams",
                    "event=verdict upstream={:x} failing={} requests={:.1} failed={:.1}",
                    verdict.id, verdict.is_failing, verdict.requests, verdict.failed
                );
            }
        }
        let flows = state.gateway.flows();
        state.journal.publish(flows);
    }

    /// Whether the fabric should send packets here.
    ///
    /// # Errors
    ///
    /// Says what is missing.
    pub fn health(&self) -> Result<(), String> {
        let state = self.state.borrow();
        state
            .gateway
            .is_ready(state.now())
            .map_err(ToOwned::to_owned)
    }

    /// The state as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let (open, complete) = state.gateway.directory().control_stream_counts();
        let upstreams = state.gateway.directory().all().map(|u| {
            let announced = &u.announced;
            serde_json::json!({
                "id": format!("{:x}", announced.incarnation.id),
                "started_ms": announced.incarnation.started_ms,
                "service": &*announced.service,
                "address": announced.address,
                "domain": announced.domain.as_str(),
                "phase": format!("{:?}", announced.phase),
                "takes_flows": u.accepts_flows(state.now()),
            })
        });
        serde_json::json!({
            "uptime_ms": state.started.elapsed().as_millis().to_string(),
            "plan_version": state.gateway.plan_version(),
            "agreed_index": state.gateway.agreed().index,
            "domains_out": state.gateway.agreed().domains_out,
            "controls": state.gateway.agreed().controls,
            "streams_open": open,
            "streams_complete": complete,
            "flows": state.gateway.flows(),
            "upstreams": upstreams.collect::<Vec<_>>(),
        })
    }

    /// Notes that this VM is about to stop.
    pub fn stop(&self) {
        self.state.borrow_mut().gateway.stop();
    }

    /// Time since the last packet.
    #[must_use]
    pub fn quiet_for(&self) -> Duration {
        self.state.borrow().packet_at.elapsed()
    }

    /// Watches what this VM finds out about upstreams.
    #[must_use]
    pub fn findings(&self) -> broadcast::Receiver<Found> {
        self.findings.subscribe()
    }

    /// Whether `source` is the control VM that is told what this VM finds out.
    #[must_use]
    pub fn reports_to(&self, source: SocketAddr) -> bool {
        self.state.borrow().gateway.reports_to(source)
    }

    /// Where control VMs are known to take streams.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.state.borrow().gateway.agreed().controls.clone()
    }

    /// Notes that the stream to `source` has opened.
    pub fn add_control_stream(&self, source: SocketAddr) {
        info!(target: "sources", "event=control-gained control={source}");
        self.state.borrow_mut().gateway.add_control_stream(source);
    }

    /// Notes that the stream to `source` has ended.
    pub fn remove_control_stream(&self, source: SocketAddr, reason: &str) {
        warn!(target: "sources", "event=control-lost control={source} reason=\"{reason}\"");
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.gateway.remove_control_stream(now, source);
    }
}

impl State {
    fn now(&self) -> Instant {
        let micros = self.started.elapsed().as_micros();
        Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Decides again on the packets that are held.
    fn release_held(&mut self, socket: &UdpSocket) {
        let now = self.now();
        for (came, bytes) in std::mem::take(&mut self.held) {
            if now.ms_since(came) >= MAX_HOLD_MS {
                continue;
            }
            let end = packet::ENVELOPE + bytes.len();
            if let Some(place) = self.buffer.get_mut(packet::ENVELOPE..end) {
                place.copy_from_slice(&bytes);
                self.decide(bytes.len(), came, socket);
            }
        }
    }

    fn take_packet(&mut self, length: usize, socket: &UdpSocket) {
        self.packet_at = Clock::now();
        let now = self.now();
        self.decide(length, now, socket);
    }

    /// Decides on the packet in the buffer, which came at `came`, and does what was decided.
    fn decide(&mut self, length: usize, came: Instant, socket: &UdpSocket) {
        let end = packet::ENVELOPE + length;
        let segment = match packet::decode(&self.buffer[packet::ENVELOPE..end]) {
            Ok(segment) => segment,
            Err(fault) => {
                let now = self.now();
                return self.journal.malformed(now, fault);
            }
        };
        let now = self.now();
        let decision = self.gateway.decide(now, &segment);
        match decision.action {
            Action::Forward { id, to, token } => {
                packet::address_to(&mut self.buffer[..end], id, token);
                self.send(end, SocketAddr::V4(to), socket);
            }
            Action::Reset => self.refuse(&segment, socket),
            Action::Hold => {
                if self.held.len() >= MAX_HELD {
                    self.held.pop_front();
                }
                let bytes = self.buffer[packet::ENVELOPE..end].to_vec();
                self.held.push_back((came, bytes));
            }
            Action::Drop => {}
        }
        self.journal.decided(now, &segment, decision, &self.gateway);
    }

    /// Tells clients that wait for upstreams which were found down.
    fn refuse_waiting(&mut self, socket: &UdpSocket) {
        for segment in self.gateway.take_pending_resets() {
            self.refuse(&segment, socket);
            let now = self.now();
            let decision = Decision::new(Action::Reset, Reason::Down);
            self.journal.decided(now, &segment, decision, &self.gateway);
        }
    }

    /// Tells the client of a packet that its flow is over.
    fn refuse(&mut self, segment: &Segment, socket: &UdpSocket) {
        let client = SocketAddrV4::new(*segment.key.client.ip(), self.client_port);
        self.send_now(&packet::reset(segment), SocketAddr::V4(client), socket);
    }

    /// Sends the first `length` bytes of the buffer as soon as the link carries them.
    fn send(&mut self, length: usize, to: SocketAddr, socket: &UdpSocket) {
        let now = self.now();
        if self.paced.try_reserve(now, length) {
            let sent = socket.try_send_to(&self.buffer[..length], to);
            return self.note_sent(to, sent);
        }
        let datagram = self.buffer[..length].to_vec();
        if self.paced.push(length, (datagram, to)).is_err() {
            self.journal.unsent(now, to, &"the link is full");
        }
    }

    fn send_now(&mut self, datagram: &[u8], to: SocketAddr, socket: &UdpSocket) {
        let sent = socket.try_send_to(datagram, to);
        self.note_sent(to, sent);
    }

    fn note_sent(&mut self, to: SocketAddr, sent: std::io::Result<usize>) {
        if let Err(error) = sent {
            let now = self.now();
            self.journal.unsent(now, to, &error);
        }
    }
}
