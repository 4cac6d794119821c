//! Three control VMs, two entry VMs and three upstreams on loopback addresses.

use std::{
    fs,
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use cli::explain::Line;
use standin::{
    experiment::build,
    platform::{
        client::{Client, ClientOutcome, Flow},
        system::{Ports, Size, System},
        upstream::Upstream,
    },
};

/// Longest wait for something that is to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// One system at a time: each is half a dozen processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Third byte of all addresses.
const NET: u8 = 77;

/// Time that a client waits for an answer on an open flow.
pub(crate) const DEADLINE: Duration = Duration::from_millis(800);

pub(crate) struct Whole {
    system: System,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) client: Client,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for Whole {
    type Target = System;

    fn deref(&self) -> &System {
        &self.system
    }
}

impl DerefMut for Whole {
    fn deref_mut(&mut self) -> &mut System {
        &mut self.system
    }
}

/// Waits for something that is to come.
pub(crate) fn eventually(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(
            started.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

impl Whole {
    /// Starts all, gives them a plan, and waits until the entry VMs are ready.
    pub(crate) fn start() -> Self {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
        let system = System::start(&programs, NET, Size::default(), Ports::Own).unwrap();
        let domains = [(1, "north"), (2, "north"), (3, "south")];
        let upstreams = domains.map(|(number, domain)| {
            let address = system.upstream(number, 1);
            Upstream::start(system.profile(number.into(), domain, address)).unwrap()
        });
        let whole = Self {
            client: Client::start(system.client(0)).unwrap(),
            upstreams: upstreams.into(),
            system,
            _guard: guard,
        };
        whole.put_plan(1);
        whole.wait_until_ready();
        whole
    }

    /// Has a plan acknowledged by any control VM.
    pub(crate) fn put_plan(&self, version: u64) {
        let text = self.plan(version);
        eventually("the plan is acknowledged", || self.put(&text) == Some(200));
    }

    /// Sends a plan to each control VM until one answers clearly; returns its status.
    pub(crate) fn put(&self, text: &str) -> Option<u16> {
        let is_clear = |status| status < 500;
        let answer = self.call("PUT", "/api/config", text, is_clear);
        answer.map(|(status, _)| status)
    }

    /// The plan that any control VM is sure of.
    pub(crate) fn read_plan(&self) -> Option<String> {
        let answer = self.call("GET", "/api/config", "", |status| status == 200);
        answer.map(|(_, body)| body)
    }

    /// Takes a failure domain out.
    pub(crate) fn domain_out(&self, domain: &str) {
        let path = format!("/api/evacuations/{domain}");
        eventually("the domain is out", || {
            self.call("POST", &path, "", |status| status == 200)
                .is_some()
        });
    }

    pub(crate) fn wait_until_ready(&self) {
        for number in 0..2 {
            let what = "the entry VM is ready and knows the upstreams";
            eventually(what, || self.is_ready(number, 3));
        }
    }

    /// Opens a flow and has one answer on it.
    pub(crate) fn serve_one(&self, number: u8) -> Flow {
        let (mut flow, got) = self.client.open(self.entry(number), self.service);
        assert_eq!(got, ClientOutcome::Answer(0));
        self.ask(number, &mut flow);
        flow
    }

    /// Has one answer on an open flow, through an entry VM; returns who gave it.
    pub(crate) fn ask(&self, number: u8, flow: &mut Flow) -> u64 {
        match self.client.ask(self.entry(number), flow, DEADLINE) {
            ClientOutcome::Answer(upstream) => upstream,
            other => panic!("{other:?} on {}", flow.id()),
        }
    }

    /// All lines of the entry VMs' and control VMs' logs.
    pub(crate) fn lines(&self) -> Vec<Line> {
        let processes = self.controls.iter().chain(&self.entries);
        let logs = processes.map(|p| (p.name().to_owned(), fs::read_to_string(p.log())));
        logs.flat_map(|(name, text)| {
            let text = text.unwrap_or_default();
            let lines = text.lines().filter_map(|l| Line::parse(&name, l));
            lines.collect::<Vec<_>>()
        })
        .collect()
    }
}
