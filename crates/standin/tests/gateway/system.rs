//! Three control VMs, two entry VMs and three upstreams on loopback addresses.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use cli::explain::Line;
use standin::{
    experiment::{build, process::Process},
    platform::{ANNOUNCE, Client, Flow, Got, Profile, Upstream, call},
};
use tempfile::TempDir;

/// Longest wait for something that is to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// One system at a time: each is half a dozen processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Time that a client waits for an answer on an open flow.
pub(crate) const DEADLINE: Duration = Duration::from_millis(800);

pub(crate) struct System {
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) client: Client,
    pub(crate) service: SocketAddrV4,
    port: u16,
    folder: TempDir,
    _guard: MutexGuard<'static, ()>,
}

/// Address `number` of this system on loopback.
fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 77, number)
}

fn socket(number: u8, port: u16) -> SocketAddr {
    SocketAddr::from((ip(number), port))
}

/// The first of a few ports that are free.
fn free_port() -> u16 {
    let probe = UdpSocket::bind(socket(200, 0)).unwrap();
    // Ports in a row, clear of the range that the kernel hands out first.
    12_000 + probe.local_addr().unwrap().port() % 8_000
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

impl System {
    /// Starts all, gives them a plan, and waits until the entry VMs are ready.
    pub(crate) fn start() -> Self {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let port = free_port();
        let mut system = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            upstreams: Vec::new(),
            client: Client::start(socket(31, port)).unwrap(),
            service: "198.18.0.1:443".parse().unwrap(),
            port,
            folder: tempfile::tempdir().unwrap(),
            _guard: guard,
        };
        let programs = build::programs().unwrap_or_else(|e| panic!("{e}"));
        for number in 0..3 {
            system.start_control(&programs, number);
        }
        for number in 0..2 {
            system.start_entry(&programs, number);
        }
        for (number, domain) in [(1, "north"), (2, "north"), (3, "south")] {
            system.start_upstream(number, domain);
        }
        system.put_plan(1);
        system.wait_until_ready();
        system
    }

    fn seeds(&self) -> String {
        let quoted = (0..3).map(|number| format!("\"{}\"", self.desk(number)));
        quoted.collect::<Vec<_>>().join(", ")
    }

    /// Where control VM `number` takes calls.
    pub(crate) fn desk(&self, number: u8) -> SocketAddr {
        socket(11 + number, self.port + 2)
    }

    fn health(&self, number: u8) -> SocketAddr {
        socket(21 + number, self.port + 3)
    }

    /// Where entry VM `number` takes packets.
    pub(crate) fn entry(&self, number: u8) -> SocketAddr {
        socket(21 + number, self.port)
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn start_control(&mut self, programs: &std::path::Path, number: u8) {
        let name = format!("control-{number}");
        let settings = format!(
            "name: {name}\ndomain: north\ndata_folder: {}\ndesk_listen: \"{}\"\nfirst_port: {}\n\
             seeds: [{}]\nfound: true\nannounce_ms: {}\ntolerated: 1\n",
            self.path(&format!("{name}-data")).display(),
            self.desk(number),
            self.port + 10,
            self.seeds(),
            ANNOUNCE.as_millis(),
        );
        let process = self.start_process(programs, &name, "oriole-control", &settings);
        self.controls.push(process);
    }

    fn start_entry(&mut self, programs: &std::path::Path, number: u8) {
        let name = format!("entry-{number}");
        let settings = format!(
            "name: {name}\ndomain: north\nfabric_listen: \"{}\"\nhealth_listen: \"{}\"\n\
             first_port: {}\nseeds: [{}]\nseed: {number}\n",
            self.entry(number),
            self.health(number),
            self.port + 10,
            self.seeds(),
        );
        let process = self.start_process(programs, &name, "oriole-entry", &settings);
        self.entries.push(process);
    }

    fn start_process(
        &self,
        programs: &std::path::Path,
        name: &str,
        program: &str,
        settings: &str,
    ) -> Process {
        let file = self.path(&format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let arguments = ["--gateway", "--settings"].map(ToOwned::to_owned);
        let arguments = arguments.into_iter().chain([file.display().to_string()]);
        let log = self.path(&format!("{name}.log"));
        Process::start(name, &programs.join(program), arguments.collect(), log).unwrap()
    }

    fn start_upstream(&mut self, number: u8, domain: &str) {
        let profile = Profile {
            number: u64::from(number),
            service: "booking".to_owned(),
            domain: domain.to_owned(),
            address: socket(40 + number, self.port + 1),
            client_port: self.port,
            controls: (0..3).map(|n| self.desk(n)).collect(),
        };
        self.upstreams.push(Upstream::start(profile).unwrap());
    }

    /// Has a plan acknowledged by any control VM.
    pub(crate) fn put_plan(&self, version: u64) {
        let text = plan(version, self.service);
        eventually("the plan is acknowledged", || self.put(&text) == Some(200));
    }

    /// Sends a plan to each control VM until one answers; returns its status.
    pub(crate) fn put(&self, text: &str) -> Option<u16> {
        let mut answers =
            (0..3).filter_map(|n| call(self.desk(n), "PUT", "/api/config", text).ok());
        answers.next().map(|(status, _)| status)
    }

    /// The plan that any control VM is sure of.
    pub(crate) fn read_plan(&self) -> Option<String> {
        let answers = (0..3).filter_map(|n| call(self.desk(n), "GET", "/api/config", "").ok());
        let mut good = answers.filter(|(status, _)| *status == 200);
        good.next().map(|(_, body)| body)
    }

    pub(crate) fn wait_until_ready(&self) {
        for number in 0..2 {
            eventually("the entry VM is ready", || {
                matches!(
                    call(self.health(number), "GET", "/health", ""),
                    Ok((200, _))
                )
            });
        }
        // Each VM has heard of all upstreams.
        for number in 0..2 {
            eventually("the entry VM knows the upstreams", || {
                let dump = call(self.health(number), "GET", "/dump", "");
                dump.is_ok_and(|(_, text)| text.matches("\"takes_flows\":true").count() == 3)
            });
        }
    }

    /// The entry VM's own state.
    pub(crate) fn dump(&self, number: u8) -> String {
        let dump = call(self.health(number), "GET", "/dump", "");
        dump.map(|(_, text)| text).unwrap_or_default()
    }

    /// Opens a flow and has one answer on it.
    pub(crate) fn serve_one(&self, number: u8) -> Flow {
        let (mut flow, got) = self.client.open(self.entry(number), self.service);
        assert_eq!(got, Got::Answer);
        let got = self.client.ask(self.entry(number), &mut flow, DEADLINE);
        assert_eq!(got, Got::Answer);
        flow
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

/// A plan with one route.
pub(crate) fn plan(version: u64, service: SocketAddrV4) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"{}","prefix":"/{}/",
        "timeoutMs":800,"service":"booking"}}],"services":[{{"name":"booking"}}],
        "limits":{{"idleTimeoutMs":15000}}}}"#,
        service.ip(),
        service.port()
    )
}
