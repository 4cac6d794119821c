//! The machines of this VM with what they act on: sockets, the clock and the control stream.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::ErrorKind,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Instant as Clock,
};

use log::{debug, info, warn};
use metrics::{Counter, counter};
use model::{
    delivery::{Heartbeat, Hello, ToControl},
    name::Name,
};
use policy::{
    io::{self, Action, Event},
    node::{Node, Settings},
    time::Instant,
};
use tokio::sync::mpsc;
use wire::{coap, frame};

/// Sockets that the engine sends by. The tasks of [`crate::sockets`] read the same ones.
#[derive(Debug)]
pub struct Outlets {
    /// Encapsulated packets to upstreams.
    pub fabric: UdpSocket,
    /// Answers to callers.
    pub requests: UdpSocket,
    /// Requests to upstreams.
    pub upstreams: UdpSocket,
    /// Messages to other entry VMs.
    pub peers: UdpSocket,
}

/// The engine of this VM; clones share it. It lives on one thread.
#[derive(Debug, Clone)]
pub struct Engine {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    started: Clock,
    outlets: Outlets,
    control: mpsc::Sender<ToControl>,
    identity: Hello,
    /// Room for actions, kept between events.
    actions: Vec<Action>,
    meters: Meters,
    stopping: bool,
    /// Message id of the last answer that acknowledged nothing.
    next_id: u16,
    /// When the fabric last handed over anything.
    last_packet: Instant,
}

#[derive(Debug)]
struct Meters {
    send_failed: Counter,
    peer_messages: Counter,
    /// Bytes to other entry VMs by what they are spent on.
    peer_bytes: BTreeMap<&'static str, Counter>,
    report_dropped: Counter,
    /// What the machines count; each metric is looked up by its name once, not for each packet.
    counted: BTreeMap<io::Counter, Counter>,
}

impl Meters {
    fn sent(&mut self, purpose: &'static str, bytes: u64) {
        self.peer_bytes
            .entry(purpose)
            .or_insert_with(|| counter!("oriole_peer_bytes_sent_total", "purpose" => purpose))
            .increment(bytes);
    }

    fn count(&mut self, counter: io::Counter) {
        self.counted
            .entry(counter)
            .or_insert_with(|| counter!(counter.name()))
            .increment(1);
    }
}

impl Engine {
    /// Starts the machines.
    #[must_use]
    pub fn new(
        settings: Settings,
        http_address: SocketAddr,
        outlets: Outlets,
        control: mpsc::Sender<ToControl>,
    ) -> Self {
        let identity = Hello {
            vm: settings.name.clone(),
            domain: settings.domain.clone(),
            incarnation: settings.incarnation,
            peer_address: settings.address,
            http_address,
            cluster: 0,
            index: 0,
        };
        let inner = Inner {
            node: Node::new(settings, Instant::ZERO),
            started: Clock::now(),
            outlets,
            control,
            identity,
            actions: Vec::new(),
            meters: Meters {
                send_failed: counter!("oriole_sends_failed_total"),
                peer_messages: counter!("oriole_peer_messages_sent_total"),
                peer_bytes: BTreeMap::new(),
                report_dropped: counter!("oriole_reports_dropped_total"),
                counted: BTreeMap::new(),
            },
            stopping: false,
            next_id: 0,
            last_packet: Instant::ZERO,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Handles an event and performs what comes of it.
    pub fn handle(&self, event: Event) {
        self.inner.borrow_mut().handle(event);
    }

    /// Low bytes of the cluster's identity, as datagrams carry them.
    #[must_use]
    pub fn cluster(&self) -> u16 {
        self.inner.borrow().cluster()
    }

    /// Who this VM is, for the control stream.
    #[must_use]
    pub fn hello(&self) -> Hello {
        let inner = self.inner.borrow();
        Hello {
            cluster: inner.node.config().cluster,
            index: inner.node.config().index,
            ..inner.identity.clone()
        }
    }

    /// What is in force here, for the control stream.
    #[must_use]
    pub fn beat(&self) -> Heartbeat {
        let inner = self.inner.borrow();
        Heartbeat {
            index: inner.node.config().index,
            needed: inner.node.needed(inner.now()),
        }
    }

    /// Starts a graceful stop.
    pub fn stop(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.stopping = true;
        inner.handle(Event::Stop);
    }

    /// Tells the others that this process ends.
    pub fn end(&self) {
        self.handle(Event::End);
    }

    /// Whether a graceful stop is complete: everything is handed over and answered, and the
    /// fabric has handed over nothing for `quiet_ms`.
    #[must_use]
    pub fn is_finished(&self, quiet_ms: u64) -> bool {
        let inner = self.inner.borrow();
        let quiet = inner.now().ms_since(inner.last_packet) >= quiet_ms;
        quiet && inner.node.is_finished()
    }

    /// Whether this VM is in service; the reason where it isn't.
    ///
    /// # Errors
    ///
    /// The reason.
    pub fn health(&self) -> Result<(), String> {
        let inner = self.inner.borrow();
        if inner.stopping {
            return Err("stopping".to_owned());
        }
        if inner.node.config().index == 0 {
            return Err("no configuration yet: is a control VM reachable?".to_owned());
        }
        // Operators wait for this before they stop the next VM: two VMs that both can't vouch for
        // the past leave requests with an unknown outcome.
        if !inner.node.has_complete_history(inner.now()) {
            return Err("started lately: requests from before may be under way".to_owned());
        }
        Ok(())
    }

    /// The whole state as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let inner = self.inner.borrow();
        let node = serde_json::to_value(inner.node.dump(inner.now()));
        serde_json::json!({
            "vm": inner.identity.vm,
            "domain": inner.identity.domain,
            "incarnation": inner.identity.incarnation,
            "uptime_ms": inner.now().0 / 1_000,
            "stopping": inner.stopping,
            "node": node.unwrap_or_else(|e| e.to_string().into()),
        })
    }
}

impl Inner {
    fn now(&self) -> Instant {
        let micros = self.started.elapsed().as_micros();
        Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn cluster(&self) -> u16 {
        let [low, high, ..] = self.node.config().cluster.to_le_bytes();
        u16::from_le_bytes([low, high])
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        if matches!(event, Event::Packet(_) | Event::Request { .. }) {
            self.last_packet = now;
        }
        let index = self.node.config().index;
        let view = self.node.view().number;
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.tell_changes(index, view);
    }

    /// Logs a new configuration or view, and tells the control VM of the former at once.
    fn tell_changes(&mut self, index: u64, view: u64) {
        let config = self.node.config();
        if config.index != index {
            info!(target: "config", "index {} is in force", config.index);
            let beat = Heartbeat {
                index: config.index,
                needed: self.node.needed(self.now()),
            };
            self.report(ToControl::Heartbeat(beat));
        }
        if self.node.view().number != view {
            let names: Vec<&str> = self.node.view().vms.keys().map(Name::as_str).collect();
            info!(target: "membership", "{} VMs are live: {}", names.len(), names.join(" "));
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => match frame::encode(self.cluster(), &message) {
                Ok(bytes) => {
                    self.meters.peer_messages.increment(1);
                    self.meters.sent(message.purpose(), bytes.len() as u64);
                    self.send(&self.outlets.peers, &bytes, to);
                }
                Err(error) => warn!(target: "peer", "message to {to} can't be sent: {error}"),
            },
            Action::Forward { to, bytes } => self.send(&self.outlets.fabric, &bytes.0, to),
            Action::Dispatch { to, request } => {
                self.send_coap(&self.outlets.upstreams, coap::request(&request), to);
            }
            Action::Cancel { to, message_id } => {
                self.send_coap(&self.outlets.upstreams, coap::reset(message_id), to);
            }
            Action::Answer {
                caller,
                response,
                acknowledges,
            } => {
                let kind = acknowledges.map_or_else(|| self.own_id(), coap::Kind::Acknowledges);
                let bytes = coap::response(&response, kind);
                self.send_coap(&self.outlets.requests, bytes, caller);
            }
            Action::Report(announcement) => self.report(ToControl::Announced(announcement)),
            Action::Count(counter) => self.meters.count(counter),
        }
    }

    /// The message id of the next answer that acknowledges nothing.
    fn own_id(&mut self) -> coap::Kind {
        self.next_id = self.next_id.wrapping_add(1);
        coap::Kind::Own(self.next_id)
    }

    fn report(&self, message: ToControl) {
        // The stream is down for long or the control VM is slow; beats repeat what counts.
        if self.control.try_send(message).is_err() {
            self.meters.report_dropped.increment(1);
        }
    }

    fn send_coap(&self, socket: &UdpSocket, bytes: Result<Vec<u8>, coap::Error>, to: SocketAddr) {
        match bytes {
            Ok(bytes) => self.send(socket, &bytes, to),
            Err(error) => warn!(target: "request", "message to {to} can't be sent: {error}"),
        }
    }

    /// Sends a datagram, or drops and counts it: nothing here may wait for a slow network.
    fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = socket.send_to(bytes, to) {
            self.meters.send_failed.increment(1);
            if error.kind() != ErrorKind::WouldBlock {
                debug!(target: "peer", "datagram to {to} was not sent: {error}");
            }
        }
    }
}
