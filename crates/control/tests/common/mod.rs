//! Starts real `oriole-control` processes on loopback addresses.

#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "each test file uses a part of it, and a test fails by its panic"
)]

pub mod entry;
pub mod upstream;

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    future::Future,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use model::name::Name;
use rpc::{
    client::Client,
    schema::{self, apply_request, apply_response::Outcome},
};
use settings::control::Settings;
use tempfile::TempDir;
use upstream::name;

/// Maximum wait for anything that must happen eventually.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A cluster of control VMs. Dropping it kills the processes that it started.
pub struct Cluster {
    pub folder: TempDir,
    pub settings: Vec<Settings>,
    children: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts `size` control VMs, named control-1 and so on.
    pub fn start(size: usize) -> Self {
        let mut cluster = Self::prepare(size);
        for number in 0..size {
            cluster.run(number);
        }
        cluster
    }

    /// Prepares the settings of `size` control VMs without starting any.
    pub fn prepare(size: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        Self {
            settings: settings(size, &folder),
            folder,
            children: (0..size).map(|_| None).collect(),
        }
    }

    /// Starts a control VM that is not running.
    pub fn run(&mut self, number: usize) {
        let child = self.command(number).stdout(Stdio::null()).spawn();
        self.children[number] = Some(child.unwrap());
    }

    /// Writes the settings of a control VM to disk and returns the command that starts it.
    pub fn command(&self, number: usize) -> Command {
        let path = self.path(number);
        let settings = serde_norway::to_string(&self.settings[number]).unwrap();
        fs::write(&path, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_oriole-control"));
        command.arg("--settings").arg(path);
        command
    }

    /// Reports whether a control VM's process is running.
    pub fn is_running(&mut self, number: usize) -> bool {
        let child = self.children[number].as_mut();
        child.is_some_and(|c| c.try_wait().unwrap().is_none())
    }

    pub fn path(&self, number: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("control-{}.yaml", number + 1))
    }

    /// Sends a signal such as "STOP" to a control VM's process.
    pub fn signal(&self, number: usize, signal: &str) {
        let id = self.children[number].as_ref().unwrap().id();
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status();
        assert!(sent.unwrap().success());
    }

    /// Kills a control VM's process.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.children[number].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Stops a control VM's process gracefully and returns whether its exit code was 0.
    pub fn stop(&mut self, number: usize) -> bool {
        self.signal(number, "TERM");
        let mut child = self.children[number].take().unwrap();
        child.wait().unwrap().success()
    }

    /// Connects to a control VM, waiting until it answers.
    pub async fn client(&self, number: usize) -> Client {
        let address = self.settings[number].rpc_listen;
        eventually(async || Client::connect(address, Duration::from_secs(6)).await.ok()).await
    }

    /// Applies a command through any running control VM, and repeats it until a leader has answered
    /// it.
    pub async fn apply(&self, request: &schema::ApplyRequest) -> Outcome {
        let running: Vec<usize> = self.running();
        eventually(async || {
            for number in &running {
                let outcome = self.client(*number).await.apply(request).await;
                let outcome = outcome.ok().and_then(|response| response.outcome);
                match outcome {
                    Some(Outcome::Refused(r)) if r.kind == schema::RefusalKind::NoLeader => {}
                    Some(Outcome::Unknown(_)) | None => {}
                    outcome => return outcome,
                }
            }
            None
        })
        .await
    }

    fn running(&self) -> Vec<usize> {
        let runs = |number: &usize| self.children[*number].is_some();
        (0..self.children.len()).filter(runs).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Runs a test on the runtime that the RPC client needs.
pub fn block_on<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::build()
        .name("test")
        .build(ntex::rt::DefaultRuntime)
        .block_on(test);
}

/// Polls until there is a result, and fails the test after [`TEST_TIMEOUT`].
pub async fn eventually<T>(poll: impl AsyncFn() -> Option<T>) -> T {
    let asked = async {
        loop {
            if let Some(answer) = poll().await {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, asked)
        .await
        .expect("the expected result did not arrive in time")
}

/// Returns a request of operator "anna" for a command.
pub fn request(id: &str, command: apply_request::Command) -> schema::ApplyRequest {
    schema::ApplyRequest {
        operator: "anna".into(),
        request_id: id.into(),
        expected_version: None,
        command: Some(command),
    }
}

pub fn put_domain(name: &str) -> apply_request::Command {
    apply_request::Command::PutDomain(schema::PutDomain { name: name.into() })
}

pub fn put_service(name: &str, address: &str) -> apply_request::Command {
    apply_request::Command::PutService(schema::PutService {
        name: name.into(),
        address: address.into(),
        ..schema::PutService::default()
    })
}

/// Returns the accepted response, or fails the test.
pub fn accepted(outcome: Outcome) -> schema::Accepted {
    match outcome {
        Outcome::Accepted(accepted) => accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Returns the refusal, or fails the test.
pub fn refused(outcome: Outcome) -> schema::Refused {
    match outcome {
        Outcome::Refused(refused) => refused,
        other => panic!("not refused: {other:?}"),
    }
}

fn settings(size: usize, folder: &TempDir) -> Vec<Settings> {
    let mut ports = free_ports(4 * size).into_iter();
    let mut next = || ports.next().unwrap();
    let mut all: Vec<Settings> = (1..=size)
        .map(|number| Settings {
            name: name(&format!("control-{number}")),
            domain: name("vejle"),
            data_folder: folder.path().join(format!("data-{number}")),
            rpc_listen: next(),
            delivery_listen: next(),
            peer_listen: next(),
            http_listen: next(),
            replicas: BTreeMap::new(),
            found: true,
            controls: Vec::new(),
            log: settings::log::Level::Warn,
            seed: None,
        })
        .collect();
    let replicas: BTreeMap<Name, SocketAddr> = all
        .iter()
        .map(|settings| (settings.name.clone(), settings.peer_listen))
        .collect();
    let controls: Vec<SocketAddr> = all.iter().map(|s| s.delivery_listen).collect();
    for settings in &mut all {
        settings.replicas = replicas.clone();
        settings.controls = controls.clone();
    }
    all
}

/// Returns loopback addresses whose ports are all free at the same time.
///
/// The ports lie below the range of ephemeral ports. For each port, a second port stays bound until
/// this process ends, so that concurrent test processes choose other ports.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    use std::sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    };
    const FIRST: u16 = 12_000;
    const SPAN: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let start = u16::try_from(std::process::id() % u32::from(SPAN)).unwrap();
    let mut ports = BTreeSet::new();
    while ports.len() < count {
        let port = FIRST + (start + NEXT.fetch_add(1, Ordering::Relaxed) % SPAN) % SPAN;
        let [address, reservation] =
            [port, port + SPAN].map(|p| SocketAddr::from(([127, 0, 0, 1], p)));
        let Ok(reservation) = TcpListener::bind(reservation) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            RESERVATIONS.lock().unwrap().push(reservation);
            ports.insert(address);
        }
    }
    ports.into_iter().collect()
}
