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
    Error, Flows, Requests, Stats, Step, Upstream, Warmth,
    flows::Outcome,
    requests::{Job, Key},
};
use crate::{run_log::RunLog, seed};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Time for which an upstream that collapsed answers nothing, in milliseconds.
const COLLAPSE_MS: u64 = 1_000;

/// Time between two looks whether a frozen upstream goes on.
const FREEZE_CHECK: Duration = Duration::from_millis(10);

/// Longest time that is drawn for a request, in means.
const LONGEST_DRAW: f64 = 5.0;

/// One running upstream.
#[derive(Debug, Clone)]
pub struct Server {
    flow_socket: Rc<UdpSocket>,
    request_socket: Rc<UdpSocket>,
    state: Rc<RefCell<State>>,
}

/// What the upstream says of its health.
#[derive(Debug, Default)]
pub struct Health {
    /// Whether it says full warmth and no flows, whatever is true.
    pub lies: bool,
    /// How old the values are that it says, in announcements.
    pub lag: usize,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Values of earlier announcements, newest last: held flows and warmth in percent.
    earlier: VecDeque<(u32, u8)>,
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

    /// Falls over: drops what runs and answers nothing for a while; the cold start begins anew.
    fn collapse(&mut self) {
        self.stats.collapses += 1;
        self.collapsed_until_ms = self.now_ms() + COLLAPSE_MS;
        self.requests.abort();
        self.warmth.reset();
        let name = &self.settings.name;
        log::warn!(target: "upstream", "{name} got more than it bears and collapsed.");
    }

    fn draw_service_time(&mut self) -> u64 {
        let draw: f64 = self.random.random();
        let factor = (-(1.0 - draw).ln()).min(LONGEST_DRAW);
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
    /// Names the address that can't be bound.
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
            incarnation: clock_ms(),
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

    /// Starts to read both sockets.
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

    /// Where it takes packets of flows.
    ///
    /// # Errors
    ///
    /// Fails when the socket is gone.
    pub fn flow_address(&self) -> std::io::Result<SocketAddr> {
        self.flow_socket.local_addr()
    }

    /// Where it takes requests.
    ///
    /// # Errors
    ///
    /// Fails when the socket is gone.
    pub fn request_address(&self) -> std::io::Result<SocketAddr> {
        self.request_socket.local_addr()
    }

    /// RPC addresses of the entry VMs to which it announces itself.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.state.borrow().settings.entries.clone()
    }

    /// Whether it announces nothing now.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let state = self.state.borrow();
        state.frozen || state.is_silent()
    }

    /// What it announces of itself now.
    ///
    /// # Errors
    ///
    /// Fails when a socket is gone.
    pub fn announcement(&self) -> std::io::Result<Announcement> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let held = u32::try_from(state.flows.len()).unwrap_or(u32::MAX);
        let (held_flows, warmth_percent) = state.health.say(held, state.warmth.percent());
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

    /// Turns cold. A new incarnation says so; held flows go on either way.
    pub fn turn_cold(&self, says_so: bool) {
        let mut state = self.state.borrow_mut();
        state.warmth.reset();
        if says_so {
            state.incarnation = clock_ms().max(state.incarnation + 1);
        }
    }

    /// Changes what it says of its health.
    pub fn health(&self, change: impl FnOnce(&mut Health)) {
        change(&mut self.state.borrow_mut().health);
    }

    /// Stops the sockets and announcements, or lets them go on; datagrams wait meanwhile.
    pub fn freeze(&self, on: bool) {
        self.state.borrow_mut().frozen = on;
    }

    /// What it saw on its own sockets.
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

    async fn thaw(&self) {
        while self.state.borrow().frozen {
            sleep(FREEZE_CHECK).await;
        }
    }

    async fn read_flows(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = self.flow_socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.thaw().await;
            if let Outcome::Answer(to, bytes) = self.on_packet(&buffer[..len]) {
                // A lost answer is what UDP allows; the caller asks again.
                let _ = self.flow_socket.send_to(&bytes, to).await;
            }
        }
    }

    fn on_packet(&self, bytes: &[u8]) -> Outcome {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.is_silent() {
            return Outcome::Silence;
        }
        let now_ms = state.now_ms();
        let outcome = state
            .flows
            .on_packet(now_ms, bytes, &mut state.warmth, &mut state.stats);
        if outcome == Outcome::Overload {
            state.collapse();
        }
        outcome
    }

    async fn read_requests(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, from)) = self.request_socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.thaw().await;
            match self.on_datagram(from, &buffer[..len]) {
                Step::Answer(bytes) => {
                    let _ = self.request_socket.send_to(&bytes, from).await;
                }
                Step::Run(key, job) => {
                    spawn_local(self.clone().work(key, job));
                }
                Step::Silence | Step::Overload => {}
            }
        }
    }

    fn on_datagram(&self, from: SocketAddr, bytes: &[u8]) -> Step {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.is_silent() {
            return Step::Silence;
        }
        let mut runs = state.runs.borrow_mut();
        let step =
            state
                .requests
                .on_datagram(from, bytes, &state.warmth, &mut runs, &mut state.stats);
        drop(runs);
        if step == Step::Overload {
            state.collapse();
        }
        step
    }

    /// Works on a request for its time, or until its deadline.
    async fn work(self, key: Key, job: Job) {
        let time_ms = self.state.borrow_mut().draw_service_time();
        let deadline_ms = job.deadline_ms.map_or(u64::MAX, u64::from);
        let in_time = time_ms <= deadline_ms;
        sleep(Duration::from_millis(time_ms.min(deadline_ms))).await;
        self.thaw().await;
        let Some(bytes) = self.finish(key, &job, in_time) else {
            return;
        };
        let _ = self.request_socket.send_to(&bytes, key.0).await;
    }

    fn finish(&self, key: Key, job: &Job, in_time: bool) -> Option<Vec<u8>> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let bytes = state
            .requests
            .finish(key, job.number, in_time, &mut state.stats)?;
        if in_time {
            state.warmth.on_answer();
        }
        Some(bytes)
    }
}

impl Health {
    /// What it says where `held` flows and `percent` of warmth are true.
    fn say(&mut self, held: u32, percent: u8) -> (u32, u8) {
        self.earlier.push_back((held, percent));
        while self.earlier.len() > self.lag + 1 {
            self.earlier.pop_front();
        }
        match (self.lies, self.earlier.front()) {
            (true, _) => (0, 100),
            (false, Some(values)) => *values,
            (false, None) => (held, percent),
        }
    }
}

/// The clock of the machine, in milliseconds; grows from start to start of a process.
fn clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |t| u64::try_from(t.as_millis()).unwrap_or(1))
}
