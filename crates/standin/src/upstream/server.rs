//! Sockets of one upstream.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use model::announce::Announcement;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::UdpSocket,
    task::spawn_local,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{
    Error, Flows, RequestAction, Requests, Stats, Upstream, Warmth,
    flows::FlowAction,
    requests::{RequestKey, RunningRequest},
};
use crate::{run_log::RunLog, seed};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Time for which a collapsed upstream answers nothing, in milliseconds.
const COLLAPSE_MS: u64 = 1_000;

/// Time between two checks whether a frozen upstream may resume.
const FREEZE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Upper limit of the random part of a service time, as a multiple of its mean.
const MAX_DRAW_MEANS: f64 = 5.0;

/// One running upstream.
#[derive(Debug, Clone)]
pub struct Server {
    flow_socket: Rc<UdpSocket>,
    request_socket: Rc<UdpSocket>,
    state: Rc<RefCell<State>>,
}

/// Faults and values in the announcements of an upstream.
#[derive(Debug, Default)]
pub struct Health {
    /// Whether the upstream announces full warmth and no flows, regardless of its real state.
    pub lies: bool,
    /// Age of the announced values, as a number of announcements.
    pub lag: usize,
    /// Whether the upstream announces that it is about to stop.
    pub leaving: bool,
    /// Real values at the recent announcements, newest last: held flows and warmth in percent.
    recent_values: VecDeque<(u32, u8)>,
}

#[derive(Debug)]
struct State {
    settings: Upstream,
    incarnation: u64,
    flows: Flows,
    requests: Requests,
    warmth: Warmth,
    health: Health,
    frozen: bool,
    collapsed_until_ms: u64,
    stats: Stats,
    runs: Rc<RefCell<RunLog>>,
    random: Pcg64Mcg,
    started: Instant,
}

impl State {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn is_silent(&self) -> bool {
        self.now_ms() < self.collapsed_until_ms
    }

    /// Drops all running requests, answers nothing for [`COLLAPSE_MS`] and becomes cold.
    fn collapse(&mut self) {
        self.stats.collapses += 1;
        self.collapsed_until_ms = self.now_ms() + COLLAPSE_MS;
        self.requests.drop_running();
        self.warmth.reset();
        let name = &self.settings.name;
        log::warn!(target: "upstream", "upstream {name} exceeded its capacity and collapsed; no answers for a second, then a cold start.");
    }

    fn draw_service_time_ms(&mut self) -> u64 {
        let draw: f64 = self.random.random();
        let factor = (-(1.0 - draw).ln()).min(MAX_DRAW_MEANS);
        let mean = self.settings.service_mean_ms;
        let extra = Duration::from_millis(mean).mul_f64(factor);
        let extra = u64::try_from(extra.as_millis()).unwrap_or(mean);
        self.settings.service_min_ms + extra
    }
}

impl Server {
    /// Binds the sockets of an upstream.
    ///
    /// # Errors
    ///
    /// Returns the address that can't be bound.
    pub async fn bind(
        settings: Upstream,
        seed: u64,
        runs: Rc<RefCell<RunLog>>,
    ) -> Result<Self, Error> {
        let any_port = SocketAddr::new(settings.ip, 0);
        let bind = async || {
            let bound = UdpSocket::bind(any_port).await;
            bound.map(Rc::new).map_err(|e| Error::Bind(any_port, e))
        };
        let (service, name) = (settings.service.clone(), settings.name.clone());
        let state = State {
            incarnation: unix_time_ms(),
            flows: Flows::new(&settings),
            requests: Requests::new(service, name, settings.slots, settings.collapses),
            warmth: Warmth::new(settings.slots, settings.cold),
            health: Health::default(),
            frozen: false,
            collapsed_until_ms: 0,
            stats: Stats::default(),
            runs,
            random: seed::generator(seed, settings.name.as_str()),
            started: Instant::now(),
            settings,
        };
        Ok(Self {
            flow_socket: bind().await?,
            request_socket: bind().await?,
            state: Rc::new(RefCell::new(state)),
        })
    }

    /// Starts the tasks that read both sockets.
    pub fn start(&self, token: &CancellationToken) {
        spawn_local(
            token
                .clone()
                .run_until_cancelled_owned(self.clone().read_flows()),
        );
        spawn_local(
            token
                .clone()
                .run_until_cancelled_owned(self.clone().read_requests()),
        );
    }

    /// Returns the address at which the upstream receives packets of flows.
    ///
    /// # Errors
    ///
    /// Fails when the socket is gone.
    pub fn flow_address(&self) -> std::io::Result<SocketAddr> {
        self.flow_socket.local_addr()
    }

    /// Returns the address at which the upstream receives requests.
    ///
    /// # Errors
    ///
    /// Fails when the socket is gone.
    pub fn request_address(&self) -> std::io::Result<SocketAddr> {
        self.request_socket.local_addr()
    }

    /// Returns the RPC addresses of the entry VMs that receive the announcements.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.state.borrow().settings.entries.clone()
    }

    /// Reports whether the upstream is frozen or collapsed, and so sends no announcements.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        let state = self.state.borrow();
        state.frozen || state.is_silent()
    }

    /// Returns the next announcement of the upstream, with the announced values instead of the real
    /// ones while a fault is simulated.
    ///
    /// # Errors
    ///
    /// Fails when a socket is gone.
    pub fn announcement(&self) -> std::io::Result<Announcement> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let held = u32::try_from(state.flows.len()).unwrap_or(u32::MAX);
        let (held_flows, warmth_percent) =
            state.health.announced_values(held, state.warmth.percent());
        Ok(Announcement {
            service: state.settings.service.clone(),
            upstream: state.settings.name.clone(),
            domain: state.settings.domain.clone(),
            flow_address: self.flow_address()?,
            request_address: self.request_address()?,
            slots: state.settings.slots,
            connections: state.settings.connections,
            incarnation: state.incarnation,
            held_flows,
            warmth_percent,
            leaving: state.health.leaving,
        })
    }

    /// Turns the upstream cold; held flows continue. With `says_so`, the upstream announces the cold
    /// start by a new incarnation.
    pub fn turn_cold(&self, says_so: bool) {
        let mut state = self.state.borrow_mut();
        state.warmth.reset();
        if says_so {
            state.incarnation = unix_time_ms().max(state.incarnation + 1);
        }
    }

    /// Changes the faults in the announcements.
    pub fn update_health(&self, change: impl FnOnce(&mut Health)) {
        change(&mut self.state.borrow_mut().health);
    }

    /// Stops (`on`) or resumes the sockets and announcements. Datagrams stay in the socket buffers
    /// meanwhile.
    pub fn freeze(&self, on: bool) {
        self.state.borrow_mut().frozen = on;
    }

    /// Returns the counters of the upstream.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let state = self.state.borrow();
        Stats {
            service: state.settings.service.to_string(),
            domain: state.settings.domain.to_string(),
            flows_held: u64::try_from(state.flows.len()).unwrap_or(u64::MAX),
            ..state.stats.clone()
        }
    }

    async fn wait_while_frozen(&self) {
        while self.state.borrow().frozen {
            sleep(FREEZE_CHECK_INTERVAL).await;
        }
    }

    async fn read_flows(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = self.flow_socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.wait_while_frozen().await;
            if let FlowAction::Answer(to, bytes) = self.on_packet(&buffer[..len]) {
                // A failed send counts as a lost UDP datagram; the caller retransmits.
                let _ = self.flow_socket.send_to(&bytes, to).await;
            }
        }
    }

    fn on_packet(&self, bytes: &[u8]) -> FlowAction {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.is_silent() {
            return FlowAction::NoAnswer;
        }
        let now_ms = state.now_ms();
        let action = state
            .flows
            .on_packet(now_ms, bytes, &mut state.warmth, &mut state.stats);
        if action == FlowAction::Overload {
            state.collapse();
        }
        action
    }

    async fn read_requests(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, from)) = self.request_socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.wait_while_frozen().await;
            match self.on_datagram(from, &buffer[..len]) {
                RequestAction::Answer(bytes) => {
                    let _ = self.request_socket.send_to(&bytes, from).await;
                }
                RequestAction::Run(key, running) => {
                    spawn_local(self.clone().work(key, running));
                }
                RequestAction::NoAnswer | RequestAction::Overload => {}
            }
        }
    }

    fn on_datagram(&self, from: SocketAddr, bytes: &[u8]) -> RequestAction {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.is_silent() {
            return RequestAction::NoAnswer;
        }
        let mut runs = state.runs.borrow_mut();
        let action =
            state
                .requests
                .on_datagram(from, bytes, &state.warmth, &mut runs, &mut state.stats);
        drop(runs);
        if action == RequestAction::Overload {
            state.collapse();
        }
        action
    }

    /// Runs a request for its service time or until its deadline, then sends the answer.
    async fn work(self, key: RequestKey, running: RunningRequest) {
        let time_ms = self.state.borrow_mut().draw_service_time_ms();
        let deadline_ms = running.deadline_ms.map_or(u64::MAX, u64::from);
        let in_time = time_ms <= deadline_ms;
        sleep(Duration::from_millis(time_ms.min(deadline_ms))).await;
        self.wait_while_frozen().await;
        let Some(bytes) = self.finish(key, &running, in_time) else {
            return;
        };
        let _ = self.request_socket.send_to(&bytes, key.0).await;
    }

    fn finish(&self, key: RequestKey, running: &RunningRequest, in_time: bool) -> Option<Vec<u8>> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let bytes = state
            .requests
            .finish(key, running.number, in_time, &mut state.stats)?;
        if in_time {
            state.warmth.on_answer();
        }
        Some(bytes)
    }
}

impl Health {
    /// Records the real number of held flows and the real warmth in `percent`; returns the values to
    /// announce.
    fn announced_values(&mut self, held: u32, percent: u8) -> (u32, u8) {
        self.recent_values.push_back((held, percent));
        while self.recent_values.len() > self.lag + 1 {
            self.recent_values.pop_front();
        }
        match (self.lies, self.recent_values.front()) {
            (true, _) => (0, 100),
            (false, Some(values)) => *values,
            (false, None) => (held, percent),
        }
    }
}

/// Returns the system time in milliseconds, which grows from one start of a process to the next.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |t| u64::try_from(t.as_millis()).unwrap_or(1))
}
