//! Measures what the streams of entry VMs cost one control VM, by their number: `cargo build
//! --release -p control && cargo run --release -p control --example entry_streams`.
//!
//! Starts one `oriole-control` process for each number of streams, opens the streams from this
//! process, and reads the control VM's processor time and memory from /proc and its traffic from
//! its metrics.

use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use delivery::client;
use model::{
    delivery::{HEARTBEAT_INTERVAL_MS, Heartbeat, Hello, ToControl, ToEntry},
    name::Name,
};
use rpc::{client::Client, schema};
use settings::control::Settings;
use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;

/// Measured numbers of streams.
const SIZES: [u32; 4] = [10, 100, 400, 760];

/// Number of services in the configuration.
const SERVICES: u32 = 100;

/// Duration of each measurement.
const MEASURING_TIME: Duration = Duration::from_secs(10);

/// Unit of processor time in /proc/PID/stat: 100 clock ticks per second on all current Linux
/// platforms.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// A control VM's process, which is killed on drop.
struct Control(Child);

impl Drop for Control {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Resources that a control VM has used since its start.
#[derive(Clone, Copy)]
struct Usage {
    seconds: f64,
    resident_kib: f64,
    received: f64,
    sent: f64,
}

fn main() -> Outcome<()> {
    let system = ntex::rt::System::build()
        .name("entry-streams")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        println!("streams  changes/s  core %  MiB  received B/s a stream  sent B/s a stream");
        for size in SIZES {
            measure(size).await?;
        }
        Ok(())
    })
}

async fn measure(size: u32) -> Outcome<()> {
    let folder = tempfile::tempdir()?;
    let settings = settings(&folder.path().join("data"))?;
    let file = folder.path().join("control.yaml");
    fs::write(&file, serde_norway::to_string(&settings)?)?;
    let program = sibling_program("oriole-control")?;
    let process = Command::new(program).arg("--settings").arg(file).spawn()?;
    let process = Control(process);
    let rpc = connect(settings.rpc_listen).await?;
    for number in 0..SERVICES {
        put_service(&rpc, number, 0).await?;
    }
    let token = CancellationToken::new();
    for number in 0..size {
        tokio::spawn(run_entry_vm(
            number,
            settings.delivery_listen,
            token.clone(),
        ));
    }
    sleep(Duration::from_secs(5)).await;
    for changes in [0, 1] {
        let before = usage(&process, settings.http_listen).await?;
        for second in 1..=MEASURING_TIME.as_secs() {
            if changes > 0 {
                put_service(&rpc, 0, second).await?;
            }
            sleep(Duration::from_secs(1)).await;
        }
        let after = usage(&process, settings.http_listen).await?;
        print(size, changes, before, after);
    }
    token.cancel();
    Ok(())
}

fn print(size: u32, changes: u32, before: Usage, after: Usage) {
    let span = MEASURING_TIME.as_secs_f64();
    let streams = f64::from(size);
    println!(
        "{size:7}  {changes:9}  {:6.2}  {:3.0}  {:21.0}  {:17.0}",
        (after.seconds - before.seconds) / span * 100.0,
        after.resident_kib / 1024.0,
        (after.received - before.received) / span / streams,
        (after.sent - before.sent) / span / streams,
    );
}

/// Runs the stream of one entry VM: stores the index of each received configuration and sends
/// heartbeats.
async fn run_entry_vm(number: u32, control: SocketAddr, token: CancellationToken) {
    let (to_control, outgoing) = mpsc::channel(8);
    let (incoming, mut updates) = mpsc::channel(8);
    let index = Arc::new(AtomicU64::new(0));
    let hello_index = index.clone();
    let Ok(vm) = Name::new(format!("entry-{number}")) else {
        return;
    };
    let hello = move || Hello {
        vm: vm.clone(),
        domain: vm.clone(),
        incarnation: 1,
        peer_address: control,
        http_address: control,
        cluster: 0,
        index: hello_index.load(Ordering::Relaxed),
    };
    let settings = client::Settings::new([control], hello);
    tokio::spawn(client::run(settings, outgoing, incoming, token));
    let mut heartbeats = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    loop {
        tokio::select! {
            _ = heartbeats.tick() => {}
            update = updates.recv() => match update {
                Some(ToEntry::Config(config)) => index.store(config.index, Ordering::Relaxed),
                Some(_) => continue,
                None => return,
            },
        }
        let heartbeat = Heartbeat {
            index: index.load(Ordering::Relaxed),
            needed: BTreeMap::new(),
        };
        drop(to_control.try_send(ToControl::Heartbeat(heartbeat)));
    }
}

async fn put_service(rpc: &Client, number: u32, round: u64) -> Outcome<()> {
    let [_, _, high, low] = number.to_be_bytes();
    let service = schema::PutService {
        name: format!("service-{number}").into(),
        address: format!("10.9.{high}.{low}:443").into(),
        deadline_ms: 1_000 + u32::try_from(round)?,
        idle_ms: 0,
    };
    let request = schema::ApplyRequest {
        operator: "measure".into(),
        request_id: format!("{number}-{round}").into(),
        expected_version: None,
        command: Some(schema::apply_request::Command::PutService(service)),
    };
    rpc.apply(&request).await?;
    Ok(())
}

async fn connect(address: SocketAddr) -> Outcome<Client> {
    loop {
        sleep(Duration::from_millis(100)).await;
        let Ok(client) = Client::connect(address, Duration::from_secs(5)).await else {
            continue;
        };
        let status = client.status(&schema::ReadRequest::default()).await?;
        if status.freshness.linearizable {
            return Ok(client);
        }
    }
}

async fn usage(process: &Control, http: SocketAddr) -> Outcome<Usage> {
    let id = process.0.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |at: usize| -> Outcome<f64> {
        let field = after_name.split_whitespace().nth(at);
        Ok(field.unwrap_or_default().parse()?)
    };
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let metrics = ntex::client::Client::new().await;
    let request = metrics.get(format!("http://{http}/metrics"));
    let response = request.send().await.map_err(|e| e.to_string())?;
    let body = response.body().limit(1 << 20);
    let body = body.await.map_err(|e| e.to_string())?;
    let body = String::from_utf8_lossy(&body);
    Ok(Usage {
        seconds: (ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_SECOND,
        resident_kib: metric_value(&status, "VmRSS:"),
        received: metric_value(&body, "oriole_delivery_bytes_received_total "),
        sent: metric_value(&body, "oriole_delivery_bytes_sent_total "),
    })
}

/// Returns the number that follows `key` at the start of a line.
fn metric_value(text: &str, key: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the path of a program built beside this example.
fn sibling_program(name: &str) -> Outcome<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    folder.pop();
    Ok(folder.join(name))
}

fn settings(data_folder: &std::path::Path) -> Outcome<Settings> {
    let free = || -> Outcome<SocketAddr> { Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?) };
    let name = Name::new("control-1")?;
    let peer_listen = free()?;
    Ok(Settings {
        domain: name.clone(),
        data_folder: data_folder.to_owned(),
        rpc_listen: free()?,
        delivery_listen: free()?,
        peer_listen,
        http_listen: free()?,
        replicas: BTreeMap::from([(name.clone(), peer_listen)]),
        found: true,
        controls: Vec::new(),
        log: settings::log::Level::Warn,
        seed: None,
        name,
    })
}
