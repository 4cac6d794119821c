//! Drives the state machines of this VM ([`Node`]) with sockets, the clock and the control stream.

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

/// Sockets through which the engine sends. The tasks of [`crate::sockets`] read from the same
/// sockets.
#[derive(Debug)]
pub struct SendSockets {
    /// Encapsulated packets to upstreams.
    pub fabric: UdpSocket,
    /// Answers to callers.
    pub requests: UdpSocket,
    /// Requests to upstreams.
    pub upstreams: UdpSocket,
    /// Messages to other entry VMs.
    pub peers: UdpSocket,
}

/// The engine of this VM. Clones share one state, and all of them stay on one thread.
#[derive(Debug, Clone)]
pub struct Engine {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    started: Clock,
    send_sockets: SendSockets,
    control: mpsc::Sender<ToControl>,
    identity: Hello,
    /// Buffer for the actions of an event, reused for the next event.
    actions: Vec<Action>,
    meters: Meters,
    stopping: bool,
    /// Message id of the last answer that was sent separately from an acknowledgement.
    last_message_id: u16,
    /// Time of the last packet or request from the fabric.
    last_input_at: Instant,
}

#[derive(Debug)]
struct Meters {
    send_failed: Counter,
    peer_messages: Counter,
    /// Bytes sent to other entry VMs, by purpose.
    peer_bytes: BTreeMap<&'static str, Counter>,
    report_dropped: Counter,
    /// Metrics of the node's counters. Each metric is looked up by its name once, not for each
    /// packet.
    by_counter: BTreeMap<io::Counter, Counter>,
}

impl Meters {
    fn count_peer_bytes(&mut self, purpose: &'static str, bytes: u64) {
        self.peer_bytes
            .entry(purpose)
            .or_insert_with(|| counter!("oriole_peer_bytes_sent_total", "purpose" => purpose))
            .increment(bytes);
    }

    fn count(&mut self, counter: io::Counter) {
        self.by_counter
            .entry(counter)
            .or_insert_with(|| counter!(counter.name()))
            .increment(1);
    }
}

impl Engine {
    /// Creates the engine and the node. Messages for the control VM go to `control`.
    #[must_use]
    pub fn new(
        settings: Settings,
        http_address: SocketAddr,
        send_sockets: SendSockets,
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
            send_sockets,
            control,
            identity,
            actions: Vec::new(),
            meters: Meters {
                send_failed: counter!("oriole_sends_failed_total"),
                peer_messages: counter!("oriole_peer_messages_sent_total"),
                peer_bytes: BTreeMap::new(),
                report_dropped: counter!("oriole_reports_dropped_total"),
                by_counter: BTreeMap::new(),
            },
            stopping: false,
            last_message_id: 0,
            last_input_at: Instant::ZERO,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Handles an event and performs the resulting actions.
    pub fn handle(&self, event: Event) {
        self.inner.borrow_mut().handle(event);
    }

    /// Returns the low two bytes of the cluster's identity, which datagrams between entry VMs
    /// carry.
    #[must_use]
    pub fn cluster(&self) -> u16 {
        self.inner.borrow().cluster()
    }

    /// Returns the first message to a control VM: identity and addresses of this VM, and the index
    /// of its configuration.
    #[must_use]
    pub fn hello(&self) -> Hello {
        let inner = self.inner.borrow();
        Hello {
            cluster: inner.node.config().cluster,
            index: inner.node.config().index,
            ..inner.identity.clone()
        }
    }

    /// Returns a heartbeat for the control VM: the index of this VM's configuration and, for each
    /// service, the oldest generation that a flow known here still needs.
    #[must_use]
    pub fn heartbeat(&self) -> Heartbeat {
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

    /// Tells the other entry VMs that this process ends.
    pub fn notify_exit(&self) {
        self.handle(Event::End);
    }

    /// Reports whether a graceful stop is complete: all work is handed over or answered, and the
    /// fabric has sent no packet or request for `idle_ms`.
    #[must_use]
    pub fn is_finished(&self, idle_ms: u64) -> bool {
        let inner = self.inner.borrow();
        let is_idle = inner.now().ms_since(inner.last_input_at) >= idle_ms;
        is_idle && inner.node.is_finished()
    }

    /// Reports whether this VM is in service.
    ///
    /// # Errors
    ///
    /// Fails with the reason if this VM isn't in service.
    pub fn health(&self) -> Result<(), String> {
        let inner = self.inner.borrow();
        if inner.stopping {
            return Err("this entry VM is stopping".to_owned());
        }
        if inner.node.config().index == 0 {
            return Err("no configuration received yet; is a control VM reachable?".to_owned());
        }
        // Operators wait for this check before they stop the next VM. If two VMs lack complete
        // history at the same time, neither can rule out that a request it doesn't know has run, so
        // requests end with an unknown outcome.
        if !inner.node.has_complete_history(inner.now()) {
            return Err("started recently; earlier requests may still be running".to_owned());
        }
        Ok(())
    }

    /// Returns the whole state as JSON.
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
            self.last_input_at = now;
        }
        let index = self.node.config().index;
        let view = self.node.view().number;
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.report_changes(index, view);
    }

    /// Logs a new configuration or membership view. Sends a heartbeat at once for a new
    /// configuration.
    fn report_changes(&mut self, index: u64, view: u64) {
        let config = self.node.config();
        if config.index != index {
            info!(target: "config", "configuration with index {} is in force", config.index);
            let heartbeat = Heartbeat {
                index: config.index,
                needed: self.node.needed(self.now()),
            };
            self.report(ToControl::Heartbeat(heartbeat));
        }
        if self.node.view().number != view {
            let names: Vec<&str> = self.node.view().vms.keys().map(Name::as_str).collect();
            info!(target: "membership", "{} entry VMs are live: {}", names.len(), names.join(" "));
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => match frame::encode(self.cluster(), &message) {
                Ok(bytes) => {
                    self.meters.peer_messages.increment(1);
                    self.meters
                        .count_peer_bytes(message.purpose(), bytes.len() as u64);
                    self.send(&self.send_sockets.peers, &bytes, to);
                }
                Err(error) => {
                    warn!(target: "peer", "can't encode message to {to}, dropped: {error}")
                }
            },
            Action::Forward { to, bytes } => self.send(&self.send_sockets.fabric, &bytes.0, to),
            Action::Dispatch { to, request } => {
                self.send_coap(&self.send_sockets.upstreams, coap::request(&request), to);
            }
            Action::Cancel { to, message_id } => {
                self.send_coap(&self.send_sockets.upstreams, coap::reset(message_id), to);
            }
            Action::Answer {
                caller,
                response,
                acknowledges,
            } => {
                let kind = acknowledges
                    .map_or_else(|| self.separate_response_kind(), coap::Kind::Acknowledges);
                let bytes = coap::response(&response, kind);
                self.send_coap(&self.send_sockets.requests, bytes, caller);
            }
            Action::Report(announcement) => self.report(ToControl::Announced(announcement)),
            Action::Count(counter) => self.meters.count(counter),
        }
    }

    /// Returns the kind of an answer that is sent separately from an acknowledgement, with the next
    /// message id.
    fn separate_response_kind(&mut self) -> coap::Kind {
        self.last_message_id = self.last_message_id.wrapping_add(1);
        coap::Kind::Own(self.last_message_id)
    }

    fn report(&self, message: ToControl) {
        // The queue is full while the stream is down for long or the control VM is slow. The
        // message may be dropped, because heartbeats repeat the essential state.
        if self.control.try_send(message).is_err() {
            self.meters.report_dropped.increment(1);
        }
    }

    fn send_coap(&self, socket: &UdpSocket, bytes: Result<Vec<u8>, coap::Error>, to: SocketAddr) {
        match bytes {
            Ok(bytes) => self.send(socket, &bytes, to),
            Err(error) => {
                warn!(target: "request", "can't encode message to {to}, dropped: {error}")
            }
        }
    }

    /// Sends a datagram, or drops and counts it: nothing here may wait for a slow network.
    fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = socket.send_to(bytes, to) {
            self.meters.send_failed.increment(1);
            if error.kind() != ErrorKind::WouldBlock {
                debug!(target: "peer", "can't send a datagram to {to}, dropped it: {error}");
            }
        }
    }
}
