//! Test system of three control VMs, two entry VMs and three upstreams on loopback addresses.

use std::{
    fs,
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use cli::explain::{Line, explain};
use standin::{
    experiment::build,
    platform::{
        client::{Client, ClientOutcome, Flow},
        system::{Ports, Size, System},
        upstream::Upstream,
    },
};

/// Timeout of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a decision is in the log.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// Lock that lets one system run at a time, because each system has half a dozen processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Third byte of all loopback addresses of the system.
const ADDRESS_THIRD_BYTE: u8 = 77;

/// Deadline of a client's request on an open flow.
pub(crate) const DEADLINE: Duration = Duration::from_millis(800);

pub(crate) struct TestSystem {
    system: System,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) client: Client,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for TestSystem {
    type Target = System;

    fn deref(&self) -> &System {
        &self.system
    }
}

impl DerefMut for TestSystem {
    fn deref_mut(&mut self) -> &mut System {
        &mut self.system
    }
}

/// Waits until `condition` returns true; panics with `what` after [`WAIT_TIMEOUT`].
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

impl TestSystem {
    /// Starts the system, sets a plan, and waits until the entry VMs are ready.
    pub(crate) fn start() -> Self {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
        let system =
            System::start(&programs, ADDRESS_THIRD_BYTE, Size::default(), Ports::Own).unwrap();
        let domains = [(1, "north"), (2, "north"), (3, "south")];
        let upstreams = domains.map(|(number, domain)| {
            let address = system.upstream(number, 1);
            Upstream::start(system.profile(number.into(), domain, address)).unwrap()
        });
        let system_under_test = Self {
            client: Client::start(system.client(0)).unwrap(),
            upstreams: upstreams.into(),
            system,
            _guard: guard,
        };
        system_under_test.put_plan(1);
        system_under_test.wait_until_ready();
        system_under_test
    }

    /// Sends a plan until a control VM acknowledges it.
    pub(crate) fn put_plan(&self, version: u64) {
        let text = self.plan(version);
        wait_for("the plan is acknowledged", || self.put(&text) == Some(200));
    }

    /// Sends a plan to the control VMs until one answers with a status below 500; returns the status.
    pub(crate) fn put(&self, text: &str) -> Option<u16> {
        let is_clear = |status| status < 500;
        let answer = self.call("PUT", "/api/config", text, is_clear);
        answer.map(|(status, _)| status)
    }

    /// Returns the plan from the first control VM that answers with status 200.
    pub(crate) fn read_plan(&self) -> Option<String> {
        let answer = self.call("GET", "/api/config", "", |status| status == 200);
        answer.map(|(_, body)| body)
    }

    /// Takes a failure domain out and waits for the acknowledgement.
    pub(crate) fn domain_out(&self, domain: &str) {
        let path = format!("/api/evacuations/{domain}");
        wait_for("the domain is out", || {
            self.call("POST", &path, "", |status| status == 200)
                .is_some()
        });
    }

    pub(crate) fn wait_until_ready(&self) {
        for number in 0..2 {
            let what = "the entry VM is ready and knows the upstreams";
            wait_for(what, || self.is_ready(number, 3));
        }
    }

    /// Opens a flow and checks that a request on the flow is answered.
    pub(crate) fn serve_one(&self, number: u8) -> Flow {
        let (mut flow, got) = self.client.open(self.entry(number), self.service);
        if got != ClientOutcome::Answer(0) {
            panic!("{got:?}, entry VM {number}:{}", self.explain(&flow));
        }
        self.ask(number, &mut flow);
        flow
    }

    /// Sends a request on an open flow through entry VM `number`; returns the number of the upstream
    /// that answered.
    pub(crate) fn ask(&self, number: u8, flow: &mut Flow) -> u64 {
        match self.client.ask(self.entry(number), flow, DEADLINE) {
            ClientOutcome::Answer(upstream) => upstream,
            other => panic!("{other:?}, entry VM {number}:{}", self.explain(flow)),
        }
    }

    /// Returns the lines of the logs that explain a flow.
    fn explain(&self, flow: &Flow) -> String {
        // Entry VMs write their lines some time after the decisions.
        sleep(LOG_DELAY);
        let lines = explain(&flow.id(), self.lines()).into_iter();
        let lines = lines.map(|l| format!("{} {} {}", l.time, l.log, l.text));
        lines.fold(flow.id(), |text, line| format!("{text}\n{line}"))
    }

    /// Returns all lines of the logs of entry VMs and control VMs.
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
