//! Drives [`Gateway`] with I/O: receives and forwards packets, sends resets, and holds the state
//! that the tasks of an entry VM on the platform share.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io::ErrorKind,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant as Clock, SystemTime, UNIX_EPOCH},
};

use daemon::http::{PlaceFault, PlaceRequest};
use log::{info, warn};
use model::{
    routing::{ProbeOutcome, ProbeReport},
    work::Digest,
};
use platform::packet;
use policy::{
    time::Instant,
    token::{
        decision::{Action, Decision, MAX_HOLD_MS, Reason},
        gateway::{Gateway, Settings},
        health::Probe,
        pace::Pacer,
        plan_request,
        segment::Segment,
    },
};
use settings::gateway::Entry;
use tokio::{
    net::UdpSocket,
    sync::{Notify, broadcast},
};

use super::{admission_log, decision_log::DecisionLog, place};

mod control_messages;

/// Packets that are held at a time; the oldest is dropped when another one comes.
const MAX_HELD_PACKETS: usize = 256;

/// Probe reports that may wait for a stream to a control VM.
const MAX_QUEUED_REPORTS: usize = 256;

/// The result of a probe, queued for the streams to control VMs, with the time of queueing.
#[derive(Debug, Clone)]
pub struct TimedReport {
    report: ProbeReport,
    queued_at: Clock,
}

impl TimedReport {
    /// Returns the report with its age brought up to now.
    #[must_use]
    pub fn aged_report(&self) -> ProbeReport {
        let waited_ms = u64::try_from(self.queued_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        ProbeReport {
            age_ms: self.report.age_ms.saturating_add(waited_ms),
            ..self.report
        }
    }

    /// Returns the identity of the upstream if the probe found it down.
    #[must_use]
    pub fn down_upstream_id(&self) -> Option<u64> {
        let is_down = self.report.probed != ProbeOutcome::Accepted;
        is_down.then_some(self.report.upstream.id)
    }
}

/// Drives the gateway of this VM. Clones share one state.
#[derive(Debug, Clone)]
pub struct GatewayDriver {
    state: Rc<RefCell<State>>,
    socket: Rc<UdpSocket>,
    /// Notified when the set of known control VMs has changed.
    pub controls_changed: Rc<Notify>,
    /// Notified when datagrams have begun to wait for the link.
    pub paced_changed: Rc<Notify>,
    /// Notified when a probe may be due sooner than at the last call of `time_until_probe`.
    pub probes_changed: Rc<Notify>,
    /// Sends probe reports to the tasks of the streams to control VMs.
    reports: broadcast::Sender<TimedReport>,
}

#[derive(Debug)]
struct State {
    gateway: Gateway,
    started: Clock,
    buffer: Vec<u8>,
    last_packet_at: Clock,
    decision_log: DecisionLog,
    plan_requests: plan_request::Pacer,
    /// Port at which clients receive packets.
    client_port: u16,
    /// Packets that are decided on again after the next message of a control VM, with the time at
    /// which each was received.
    held: VecDeque<(Instant, Vec<u8>)>,
    /// Datagrams that wait for the link, with their destinations.
    paced: Pacer<(Vec<u8>, SocketAddr)>,
}

impl GatewayDriver {
    /// Creates a driver that receives and forwards packets through `socket`.
    #[must_use]
    pub fn new(settings: &Entry, socket: UdpSocket) -> Self {
        let started = Clock::now();
        let mut gateway = Gateway::new(Settings {
            vm: settings.name.as_str().into(),
            domain: settings.domain.clone(),
            seed: settings
                .seed
                .unwrap_or_else(daemon::process::random_nonzero),
        });
        let wall_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall_time.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or_default());
        gateway.admission_mut().set_clock_offset_ms(wall_ms);
        gateway.set_places_by_view(settings.place_by_shared_work);
        gateway.set_announce_ms(settings.announce_ms);
        let state = State {
            gateway,
            started,
            buffer: vec![0; packet::ENVELOPE_LEN + packet::MAX_LEN + 1],
            last_packet_at: started,
            decision_log: DecisionLog::default(),
            plan_requests: plan_request::Pacer::default(),
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
            reports: broadcast::Sender::new(MAX_QUEUED_REPORTS),
        }
    }

    /// Returns the socket for packets of the fabric.
    #[must_use]
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Reads up to `limit` packets and performs the gateway's decision on each.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be read any longer.
    pub fn receive_packets(&self, limit: usize) -> Result<(), String> {
        let mut state = self.state.borrow_mut();
        self.with_wakeups(&mut state, |state| self.receive_batch(state, limit))
    }

    /// Performs `act` on the state. Then wakes the paced sender if `act` queued a datagram while
    /// none was waiting, and the task that probes if `act` changed the time of the next probe.
    fn with_wakeups<T>(&self, state: &mut State, act: impl FnOnce(&mut State) -> T) -> T {
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

    /// Sends the queued datagrams that the link has capacity for now. Returns the time until the
    /// next one may be sent, or `None` if no datagram waits.
    pub fn send_paced(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        while let Some((datagram, to)) = state.paced.pop(now) {
            state.send_now(&datagram, to, &self.socket);
        }
        let next = state.paced.next_send_at()?;
        Some(next.since(now))
    }

    fn receive_batch(&self, state: &mut State, limit: usize) -> Result<(), String> {
        for _ in 0..limit {
            let space = &mut state.buffer[packet::ENVELOPE_LEN..];
            match self.socket.try_recv_from(space) {
                Ok((length, _)) => state.handle_packet(length, &self.socket),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The kernel reports on this call that an earlier datagram found no receiver.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(e) => return Err(format!("can't read packets of the fabric: {e}")),
            }
        }
        Ok(())
    }

    /// Returns the upstreams to probe now, and counts the probes by reason.
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

    /// Returns the time until the next probe is due, or `None` if no probe is planned.
    #[must_use]
    pub fn time_until_probe(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let next = state.gateway.next_probe()?;
        Some(next.since(state.now()))
    }

    /// Records the outcome of a probe, sends resets for packets that waited for an upstream found
    /// down, and queues the resulting reports for control VMs.
    pub fn record_probe_outcome(&self, id: u64, outcome: ProbeOutcome) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        if state.gateway.record_probe(now, id, outcome) && state.decision_log.may_log(now) {
            let is_down = state.gateway.is_down(id);
            info!(
                target: "upstreams",
                "event=probe upstream={id:x} outcome={outcome:?} down={is_down}"
            );
        }
        state.send_pending_resets(&self.socket);
        self.with_wakeups(&mut state, |state| state.retry_held(&self.socket));
        for report in state.gateway.take_probe_reports(now) {
            let queued_at = Clock::now();
            // Sending fails if no stream to a control VM is open; the report is then dropped.
            drop(self.reports.send(TimedReport { report, queued_at }));
        }
        // A probe has ended, so another one may start.
        self.probes_changed.notify_one();
    }

    /// Decides again on the packets that wait, because a probe takes long.
    pub fn retry_held(&self) {
        let mut state = self.state.borrow_mut();
        self.with_wakeups(&mut state, |state| state.retry_held(&self.socket));
    }

    /// Handles what changes only with time, logs outlier changes and publishes the metrics.
    pub fn tick(&self) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.gateway.tick(now);
        for change in state.gateway.outlier_changes(now) {
            if state.decision_log.may_log(now) {
                info!(
                    target: "upstreams",
                    "event=verdict upstream={:x} failing={} requests={:.1} failed={:.1}",
                    change.id, change.is_failing, change.requests, change.failed
                );
            }
        }
        let State {
            gateway,
            decision_log,
            ..
        } = &mut *state;
        admission_log::publish(now, gateway, decision_log);
        decision_log.publish_metrics(gateway.flows());
        publish_control_metrics(gateway);
    }

    /// Reports whether the fabric should send packets to this VM.
    ///
    /// # Errors
    ///
    /// Fails with the reason if this VM isn't ready.
    pub fn health(&self) -> Result<(), String> {
        let state = self.state.borrow();
        state
            .gateway
            .is_ready(state.now())
            .map_err(ToOwned::to_owned)
    }

    /// Returns the state as JSON.
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
            "controls": state.gateway.control_addresses(),
            "controls_version": state.gateway.controls_version(),
            "streams_open": open,
            "streams_complete": complete,
            "flows": state.gateway.flows(),
            "work": work_dump(&state.gateway, state.now()),
            "admission": admission_log::dump(&state.gateway),
            "upstreams": upstreams.collect::<Vec<_>>(),
        })
    }

    /// Explains where a new flow would go, as JSON; see [`Gateway::explain`].
    ///
    /// # Errors
    ///
    /// Fails with the reason if this VM can't say.
    pub fn explain(&self, request: PlaceRequest) -> Result<serde_json::Value, PlaceFault> {
        let state = self.state.borrow();
        let explained = state.gateway.explain(state.now(), request.to, request.from);
        explained
            .map(|explanation| place::render(&explanation))
            .map_err(|fault| PlaceFault::CannotSay(fault.to_string()))
    }

    /// Marks this VM as stopping, so that its health check fails.
    pub fn stop(&self) {
        self.state.borrow_mut().gateway.stop();
    }

    /// Returns the time since the last packet was received.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.state.borrow().last_packet_at.elapsed()
    }

    /// Subscribes to the probe reports of this VM.
    #[must_use]
    pub fn subscribe_reports(&self) -> broadcast::Receiver<TimedReport> {
        self.reports.subscribe()
    }

    /// Reports whether this VM sends its probe reports to the control VM at `control`.
    #[must_use]
    pub fn reports_to(&self, control: SocketAddr) -> bool {
        self.state.borrow().gateway.reports_to(control)
    }

    /// Returns the digest of work for the control VM at `control`, if this VM reports to it; see
    /// [`Gateway::take_digest`].
    #[must_use]
    pub fn take_digest(&self, control: SocketAddr, previous: u64) -> Option<Digest> {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let is_receiver = state.gateway.reports_to(control);
        let digest = is_receiver.then(|| state.gateway.take_digest(now, control, previous))?;
        metrics::counter!("oriole_work_digests_total").increment(1);
        Some(digest)
    }

    /// Returns the known addresses at which control VMs accept streams.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().gateway.control_addresses().to_vec()
    }

    /// Records and logs that the stream to `control` has opened.
    pub fn add_control_stream(&self, control: SocketAddr) {
        info!(target: "sources", "event=control-gained control={control}");
        self.state.borrow_mut().gateway.add_control_stream(control);
    }

    /// Records and logs that the stream to `control` has ended.
    pub fn remove_control_stream(&self, control: SocketAddr, reason: &str) {
        warn!(target: "sources", "event=control-lost control={control} reason=\"{reason}\"");
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.gateway.remove_control_stream(now, control);
        metrics::gauge!("oriole_upstreams_claimed", "control" => control.to_string()).set(0);
    }
}

impl State {
    fn now(&self) -> Instant {
        let micros = self.started.elapsed().as_micros();
        Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Decides again on the held packets and drops those that were held for [`MAX_HOLD_MS`].
    fn retry_held(&mut self, socket: &UdpSocket) {
        let now = self.now();
        for (received_at, bytes) in std::mem::take(&mut self.held) {
            if now.ms_since(received_at) >= MAX_HOLD_MS {
                continue;
            }
            let end = packet::ENVELOPE_LEN + bytes.len();
            if let Some(space) = self.buffer.get_mut(packet::ENVELOPE_LEN..end) {
                space.copy_from_slice(&bytes);
                self.decide(bytes.len(), received_at, socket);
            }
        }
    }

    fn handle_packet(&mut self, length: usize, socket: &UdpSocket) {
        self.last_packet_at = Clock::now();
        let now = self.now();
        self.decide(length, now, socket);
    }

    /// Decides on the packet in the buffer, which was received at `received_at`, and performs the
    /// decision.
    fn decide(&mut self, length: usize, received_at: Instant, socket: &UdpSocket) {
        let end = packet::ENVELOPE_LEN + length;
        let segment = match packet::decode(&self.buffer[packet::ENVELOPE_LEN..end]) {
            Ok(segment) => segment,
            Err(fault) => {
                let now = self.now();
                return self.decision_log.record_malformed(now, fault);
            }
        };
        let now = self.now();
        let decision = self.gateway.decide(now, &segment);
        match decision.action {
            Action::Forward { id, to, token } => {
                packet::encapsulate(&mut self.buffer[..end], id, token);
                self.send(end, SocketAddr::V4(to), socket);
            }
            Action::Reset => self.send_reset(&segment, socket),
            Action::Hold => {
                if self.held.len() >= MAX_HELD_PACKETS {
                    self.held.pop_front();
                }
                let bytes = self.buffer[packet::ENVELOPE_LEN..end].to_vec();
                self.held.push_back((received_at, bytes));
            }
            Action::Drop => {}
        }
        self.decision_log
            .record_decision(now, &segment, decision, &self.gateway);
    }

    /// Sends resets to clients whose packets waited for an upstream that was found down.
    fn send_pending_resets(&mut self, socket: &UdpSocket) {
        for segment in self.gateway.take_pending_resets() {
            self.send_reset(&segment, socket);
            let now = self.now();
            let decision = Decision::new(Action::Reset, Reason::Down);
            self.decision_log
                .record_decision(now, &segment, decision, &self.gateway);
        }
    }

    /// Sends a reset to the client of a packet.
    fn send_reset(&mut self, segment: &Segment, socket: &UdpSocket) {
        let client = SocketAddrV4::new(*segment.key.client.ip(), self.client_port);
        self.send_now(
            &packet::build_reset(segment),
            SocketAddr::V4(client),
            socket,
        );
    }

    /// Sends the first `length` bytes of the buffer, or queues them if the link has no capacity
    /// now.
    fn send(&mut self, length: usize, to: SocketAddr, socket: &UdpSocket) {
        let now = self.now();
        if self.paced.try_reserve(now, length) {
            let sent = socket.try_send_to(&self.buffer[..length], to);
            return self.record_send_result(to, sent);
        }
        let datagram = self.buffer[..length].to_vec();
        if self.paced.push(length, (datagram, to)).is_err() {
            self.decision_log
                .record_unsent(now, to, &"queue for the link is full");
        }
    }

    fn send_now(&mut self, datagram: &[u8], to: SocketAddr, socket: &UdpSocket) {
        let sent = socket.try_send_to(datagram, to);
        self.record_send_result(to, sent);
    }

    fn record_send_result(&mut self, to: SocketAddr, sent: std::io::Result<usize>) {
        if let Err(error) = sent {
            let now = self.now();
            self.decision_log.record_unsent(now, to, &error);
        }
    }
}

/// Returns the state of the shared view of work as JSON.
fn work_dump(gateway: &Gateway, now: Instant) -> serde_json::Value {
    let sources = gateway.view().sources(now);
    let sources = sources.map(|(control, age_ms, sequence, reporters)| {
        serde_json::json!({
            "control": control,
            "age_ms": age_ms,
            "sequence": sequence,
            "reporters": reporters,
        })
    });
    let loads = gateway.directory().all().filter_map(|u| {
        let load = gateway.view().load(now, u.token)?;
        Some(serde_json::json!({
            "id": format!("{:x}", u.announced.incarnation.id),
            "flows": load.flows,
            "demand": load.demand,
            "slowness": load.slowness,
            "refused_share": load.refused_share,
            "age_ms": load.age_ms,
        }))
    });
    serde_json::json!({
        "sources": sources.collect::<Vec<_>>(),
        "upstreams": loads.collect::<Vec<_>>(),
    })
}

/// Publishes the number of control VMs that are known and connected, and the number of upstreams that
/// each connected control VM has announced.
fn publish_control_metrics(gateway: &Gateway) {
    let gauge = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let (open, _) = gateway.directory().control_stream_counts();
    metrics::gauge!("oriole_controls_known").set(gauge(gateway.control_addresses().len()));
    metrics::gauge!("oriole_controls_connected").set(gauge(open));
    for (control, count) in gateway.directory().claim_counts() {
        metrics::gauge!("oriole_upstreams_claimed", "control" => control.to_string())
            .set(gauge(count));
    }
}
