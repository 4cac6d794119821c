//! The programs of the deploy file as processes on loopback addresses, the routers in front of the
//! entry VMs, and the operator.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::record;
use crate::wire::call;

/// Time between two heartbeats of a server, as the settings of the deployment have it.
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// Time that a caller of a control VM waits for an answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ids of the processes that were started and not waited for yet.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all processes that are still running.
pub fn kill_all() {
    for id in running().iter() {
        // SAFETY: `kill` has no memory effects; the process was started here and was not waited for.
        unsafe { kill(*id as i32, SIGKILL) };
    }
}

/// One of our machines with its process.
#[derive(Debug)]
struct Machine {
    name: String,
    program: &'static str,
    settings: PathBuf,
    process: Option<Child>,
}

impl Machine {
    fn start(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(format!("target/release/{}", self.program))
            .arg("--gateway")
            .arg("--settings")
            .arg(&self.settings)
            .env("ORIOLENOTCH_CONFIG", &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record::line(&format!("start {} pid={}", self.name, child.id()));
        running().insert(child.id());
        self.process = Some(child);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.process {
            // SAFETY: `kill` has no memory effects; the process was started here and was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            running().remove(&child.id());
        }
    }

    /// Waits until the process has ended by itself.
    fn wait(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.wait();
            running().remove(&child.id());
        }
    }
}

/// Zones of the control VMs and of the entry VMs.
pub struct Layout<'a> {
    pub controls: &'a [&'a str],
    pub entries: &'a [&'a str],
}

/// A running system.
pub struct System {
    controls: Vec<Machine>,
    entries: Vec<Machine>,
    pub routers: Arc<Routers>,
    folder: PathBuf,
    net: u8,
    port: u16,
    stop: Arc<AtomicBool>,
}

static SYSTEMS: AtomicUsize = AtomicUsize::new(0);

impl System {
    /// Starts control and entry VMs. `programs` are taken from `target/release`.
    pub fn start(layout: &Layout<'_>) -> io::Result<Self> {
        let number = SYSTEMS.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("oriole-review-{pid}-{number}"));
        fs::create_dir_all(&folder)?;
        let net = 20 + (pid % 200) as u8;
        let port = free_port(net)?;
        let stop = Arc::new(AtomicBool::new(false));
        let entry_ips = (0..layout.entries.len()).map(|n| entry_ip(net, n));
        let routers = Routers::new(entry_ips.collect(), layout.entries, port, Arc::clone(&stop));
        let mut system = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            routers,
            folder,
            net,
            port,
            stop,
        };
        for (number, zone) in layout.controls.iter().enumerate() {
            let machine = system.prepare_control(number, zone)?;
            system.controls.push(machine);
        }
        for (number, zone) in layout.entries.iter().enumerate() {
            let machine = system.prepare_entry(number, zone)?;
            system.entries.push(machine);
        }
        for machine in system.controls.iter_mut().chain(&mut system.entries) {
            machine.start()?;
        }
        // `bootstrap` holds for the first start only.
        thread::sleep(Duration::from_millis(500));
        for machine in &system.controls {
            let text = fs::read_to_string(&machine.settings)?;
            fs::write(
                &machine.settings,
                text.replace("found: true", "found: false"),
            )?;
        }
        Routers::watch(&system.routers);
        Ok(system)
    }

    fn prepare_control(&self, number: usize, zone: &str) -> io::Result<Machine> {
        let name = format!("core-{zone}-{number}");
        let data = self.folder.join(format!("{name}-data"));
        fs::create_dir_all(&data)?;
        let text = format!(
            "name: \"{name}\"\ndomain: \"{zone}\"\ndata_folder: \"{}\"\ndesk_listen: \"{}\"\n\
             first_port: {}\nseeds: [{}]\nfound: true\nannounce_ms: {}\ntolerated: 1\n",
            data.display(),
            self.control(number),
            self.port + 4,
            self.seeds(),
            HEARTBEAT.as_millis(),
        );
        self.machine(name, "oriole-control", &text)
    }

    fn prepare_entry(&self, number: usize, zone: &str) -> io::Result<Machine> {
        let name = format!("edge-{zone}-{number}");
        let ip = entry_ip(self.net, number);
        let text = format!(
            "name: \"{name}\"\ndomain: \"{zone}\"\nfabric_listen: \"{ip}:{}\"\n\
             health_listen: \"{ip}:{}\"\nfirst_port: {}\nseeds: [{}]\nlink_mbps: 1000.0\n",
            self.port,
            self.port + 1,
            self.port + 4,
            self.seeds(),
        );
        self.machine(name, "oriole-entry", &text)
    }

    fn machine(&self, name: String, program: &'static str, text: &str) -> io::Result<Machine> {
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        Ok(Machine {
            name,
            program,
            settings,
            process: None,
        })
    }

    fn seeds(&self) -> String {
        let quoted = (0..3).map(|number| format!("\"{}\"", self.control(number)));
        quoted.collect::<Vec<_>>().join(", ")
    }

    /// Returns the address at which control VM `number` is called.
    pub fn control(&self, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, 0, 11 + number as u8);
        SocketAddr::from((ip, self.port + 2))
    }

    /// Returns the addresses at which all control VMs are called.
    pub fn control_list(&self) -> Vec<SocketAddr> {
        (0..self.controls.len()).map(|n| self.control(n)).collect()
    }

    /// Returns the address of the server with the given number.
    pub fn server(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.net, 2, 1 + number as u8),
            self.port + 3,
        )
    }

    /// Returns the address of the client with the given number.
    pub fn client(&self, number: usize) -> SocketAddrV4 {
        let (high, low) = (number / 200, number % 200);
        let ip = Ipv4Addr::new(127, self.net, 100 + high as u8, 1 + low as u8);
        SocketAddrV4::new(ip, self.port)
    }

    /// Returns the port at which clients receive packets.
    pub fn client_port(&self) -> u16 {
        self.port
    }

    /// Starts a control VM again once its process has ended.
    pub fn start_control(&mut self, number: usize) -> io::Result<()> {
        self.controls[number].wait();
        self.controls[number].start()
    }

    /// Stops an entry VM by SIGTERM and starts it again once it has ended.
    pub fn restart_entry(&mut self, number: usize) -> io::Result<()> {
        let machine = &mut self.entries[number];
        record::show(&format!(
            "planned work: {} gets SIGTERM and starts again",
            machine.name
        ));
        machine.signal(SIGTERM);
        machine.wait();
        thread::sleep(Duration::from_millis(200));
        machine.start()
    }

    /// Sends SIGTERM to a control VM.
    pub fn terminate_control(&mut self, number: usize) {
        let machine = &mut self.controls[number];
        record::show(&format!("planned work: {} gets SIGTERM", machine.name));
        machine.signal(SIGTERM);
    }

    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Sends an order of the operator to the control VMs in `order` until one acknowledges or refuses
    /// it, as the operator does. Returns the status.
    pub fn order(&self, method: &str, path: &str, body: &str, order: &[usize]) -> Option<u16> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut wait = Duration::from_millis(50);
        while Instant::now() < deadline {
            for number in order {
                let answer = call(self.control(*number), method, path, body, CALL_TIMEOUT);
                let status = answer.as_ref().map(|(status, _)| *status).ok();
                record::line(&format!(
                    "operator: {method} {path} to core {number}: {status:?}"
                ));
                if let Some(status) = status.filter(|s| *s < 500) {
                    return Some(status);
                }
            }
            thread::sleep(wait);
            wait = (wait * 2).min(Duration::from_secs(1));
        }
        None
    }

    /// Waits until each entry VM is ready and its state dump contains `wanted`.
    pub fn wait_for_entries(&self, wanted: &[String]) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let known = (0..self.entries.len()).all(|number| {
                let address = SocketAddr::from((entry_ip(self.net, number), self.port + 1));
                let ready = call(address, "GET", "/health", "", CALL_TIMEOUT);
                let dump = call(address, "GET", "/dump", "", CALL_TIMEOUT);
                let text = dump.map(|(_, text)| text).unwrap_or_default();
                matches!(ready, Ok((200, _))) && wanted.iter().all(|w| text.contains(w))
            });
            if known {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies the logs of the processes to `folder`.
    pub fn keep_logs(&self, folder: &Path) {
        for machine in self.controls.iter().chain(&self.entries) {
            let log = machine.settings.with_extension("log");
            let _ = fs::copy(&log, folder.join(format!("{}.log", machine.name)));
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        for machine in self.controls.iter_mut().chain(&mut self.entries) {
            machine.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn entry_ip(net: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 0, 31 + number as u8)
}

/// Returns the first of a few ports that are free now, below the ephemeral ports.
fn free_port(net: u8) -> io::Result<u16> {
    let probe = UdpSocket::bind((Ipv4Addr::new(127, net, 0, 250), 0))?;
    Ok(12_000 + probe.local_addr()?.port() % 1_200 * 16)
}

/// The provider's routers: they send a client's packets to the entry VMs of the client's zone that
/// are in rotation, by a hash of the addresses and ports (`mod`).
pub struct Routers {
    entries: Vec<(Ipv4Addr, String)>,
    port: u16,
    in_rotation: Mutex<Vec<bool>>,
    stop: Arc<AtomicBool>,
}

impl Routers {
    fn new(ips: Vec<Ipv4Addr>, zones: &[&str], port: u16, stop: Arc<AtomicBool>) -> Arc<Self> {
        let zones = zones.iter().map(|zone| (*zone).to_owned());
        let entries: Vec<_> = ips.into_iter().zip(zones).collect();
        Arc::new(Self {
            in_rotation: Mutex::new(vec![false; entries.len()]),
            entries,
            port,
            stop,
        })
    }

    /// Calls the ready address of each entry VM twice a second; two misses take it out of rotation.
    fn watch(routers: &Arc<Self>) {
        for number in 0..routers.entries.len() {
            let routers = Arc::clone(routers);
            thread::spawn(move || {
                let address = SocketAddr::from((routers.entries[number].0, routers.port + 1));
                let mut misses = 2;
                while !routers.stop.load(Ordering::SeqCst) {
                    let wait = Duration::from_millis(400);
                    let answer = call(address, "GET", "/health", "", wait);
                    misses = match answer {
                        Ok((200, _)) => 0,
                        _ => misses + 1,
                    };
                    routers.in_rotation.lock().unwrap()[number] = misses < 2;
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    }

    /// Returns the address of the entry VM to which the routers send a packet of a client in `zone`.
    pub fn pick(&self, zone: &str, src: SocketAddrV4, dst: SocketAddrV4) -> SocketAddrV4 {
        let rotation = self.in_rotation.lock().unwrap().clone();
        let all = 0..self.entries.len();
        let own: Vec<usize> = all.clone().filter(|n| self.entries[*n].1 == zone).collect();
        let ready: Vec<usize> = own.iter().copied().filter(|n| rotation[*n]).collect();
        let others: Vec<usize> = all.filter(|n| rotation[*n]).collect();
        let nodes = match ready.len() {
            0 if !others.is_empty() => others,
            count if 2 * count < own.len() => own,
            _ => ready,
        };
        let words = [
            u32::from(*src.ip()),
            src.port().into(),
            u32::from(*dst.ip()),
            dst.port().into(),
        ];
        let hash = words.into_iter().fold(0x811c_9dc5_u32, |hash, word| {
            let mixed = (hash ^ word).wrapping_mul(0x0100_0193);
            mixed ^ (mixed >> 15)
        });
        let node = nodes.get(hash as usize % nodes.len().max(1)).copied();
        SocketAddrV4::new(self.entries[node.unwrap_or_default()].0, self.port)
    }
}
