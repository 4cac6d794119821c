//! Runs control VMs and entry VMs as processes on loopback addresses, and gives the addresses of
//! emulated clients and upstreams.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
};

use tempfile::TempDir;

use super::{
    upstream::{ANNOUNCE_INTERVAL, Profile},
    wire::call,
};
use crate::experiment::process::Process;

/// Number of ports that one system uses on each of its addresses.
const PORTS_PER_SYSTEM: u16 = 16;

/// First port of the traffic between daemons, as an offset from the system's first port.
const FIRST_PORT_OFFSET: u16 = 8;

/// First port that control VMs bind with [`Ports::Forwarded`], as an offset from the system's first
/// port.
const BIND_PORT_OFFSET: u16 = 12;

/// Number of VMs of a system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of control VMs; the first three found the cluster.
    pub controls: u8,
    /// Number of entry VMs.
    pub entries: u8,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            controls: 3,
            entries: 2,
        }
    }
}

/// Ports on which control VMs accept the connections of other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ports {
    /// The ports to which the other daemons connect.
    Own,
    /// Different ports, so that a test can put a proxy in between; see [`System::forwarded`].
    Forwarded,
}

/// A running system: its processes, addresses and files.
#[derive(Debug)]
pub struct System {
    /// Processes of the control VMs.
    pub controls: Vec<Process>,
    /// Processes of the entry VMs.
    pub entries: Vec<Process>,
    /// Address to which clients open flows.
    pub service: SocketAddrV4,
    size: Size,
    ports: Ports,
    /// Third byte of all addresses of the system.
    net: u8,
    port: u16,
    programs: PathBuf,
    folder: TempDir,
}

impl System {
    /// Starts the daemons on addresses `127.0.net.*`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or a program can't be started.
    pub fn start(programs: &Path, net: u8, size: Size, ports: Ports) -> io::Result<Self> {
        let mut system = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
            size,
            ports,
            net,
            port: free_port(net)?,
            programs: programs.to_owned(),
            folder: tempfile::tempdir()?,
        };
        for number in 0..size.controls {
            let process = system.start_control(number)?;
            system.controls.push(process);
        }
        for number in 0..size.entries {
            let process = system.start_entry(number)?;
            system.entries.push(process);
        }
        Ok(system)
    }

    fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 0, self.net, number), self.port + port))
    }

    /// Returns the address of the HTTP API of control VM `number`.
    #[must_use]
    pub fn api_address(&self, number: u8) -> SocketAddr {
        self.address(11 + number, 2)
    }

    /// Returns two pairs of addresses of control VM `number`, for [`Ports::Forwarded`]: the address
    /// to which daemons connect and the address that the control VM binds. The first pair is for
    /// streams of entry VMs, the second for messages of other control VMs.
    #[must_use]
    pub fn forwarded(&self, number: u8) -> [(SocketAddr, SocketAddr); 2] {
        let address = |port| self.address(11 + number, port);
        [0, 1].map(|step| {
            (
                address(FIRST_PORT_OFFSET + step),
                address(BIND_PORT_OFFSET + step),
            )
        })
    }

    /// Returns the addresses of the HTTP API of all control VMs.
    #[must_use]
    pub fn api_addresses(&self) -> Vec<SocketAddr> {
        (0..self.size.controls)
            .map(|n| self.api_address(n))
            .collect()
    }

    /// Returns the address at which entry VM `number` serves its health and state dump.
    #[must_use]
    pub fn health(&self, number: u8) -> SocketAddr {
        self.address(31 + number, 3)
    }

    /// Returns the address at which entry VM `number` receives packets.
    #[must_use]
    pub fn entry(&self, number: u8) -> SocketAddr {
        self.address(31 + number, 0)
    }

    /// Returns the address of client VM `number`.
    #[must_use]
    pub fn client(&self, number: u8) -> SocketAddr {
        self.address(101 + number, 0)
    }

    /// Returns the address at which upstream `number` receives packets and connections. `port` is an
    /// offset of 1 or more.
    #[must_use]
    pub fn upstream(&self, number: u8, port: u16) -> SocketAddr {
        self.address(151 + number, port)
    }

    /// Keeps the settings, data and logs of all processes on disk after the system is dropped.
    /// Returns their folder.
    pub fn keep(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// Returns the path of a file or folder of the system.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the data folder of control VM `number`.
    #[must_use]
    pub fn data_folder(&self, number: u8) -> PathBuf {
        self.path(&format!("control-{number}-data"))
    }

    fn seeds(&self) -> String {
        let quoted = (0..3).map(|number| format!("\"{}\"", self.api_address(number)));
        quoted.collect::<Vec<_>>().join(", ")
    }

    /// Writes the settings file of control VM `number`; `found` is true for the first start of a
    /// cluster.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write_control_settings(&self, number: u8, found: bool) -> io::Result<()> {
        let bind = match self.ports {
            Ports::Own => String::new(),
            Ports::Forwarded => format!("bind_port: {}\n", self.port + BIND_PORT_OFFSET),
        };
        let settings = format!(
            "name: control-{number}\ndomain: north\ndata_folder: {}\ndesk_listen: \"{}\"\n\
             first_port: {}\n{bind}seeds: [{}]\nfound: {found}\nannounce_ms: {}\ntolerated: 1\n",
            self.data_folder(number).display(),
            self.api_address(number),
            self.port + FIRST_PORT_OFFSET,
            self.seeds(),
            ANNOUNCE_INTERVAL.as_millis(),
        );
        fs::write(self.path(&format!("control-{number}.yaml")), settings)
    }

    fn start_control(&self, number: u8) -> io::Result<Process> {
        self.write_control_settings(number, true)?;
        self.start_process(&format!("control-{number}"), "oriole-control")
    }

    fn start_entry(&self, number: u8) -> io::Result<Process> {
        let settings = format!(
            "name: entry-{number}\ndomain: north\nfabric_listen: \"{}\"\nhealth_listen: \"{}\"\n\
             first_port: {}\nseeds: [{}]\nseed: {number}\n",
            self.entry(number),
            self.health(number),
            self.port + FIRST_PORT_OFFSET,
            self.seeds(),
        );
        fs::write(self.path(&format!("entry-{number}.yaml")), settings)?;
        self.start_process(&format!("entry-{number}"), "oriole-entry")
    }

    fn start_process(&self, name: &str, program: &str) -> io::Result<Process> {
        let settings = self.path(&format!("{name}.yaml")).display().to_string();
        let arguments = ["--gateway".to_owned(), "--settings".to_owned(), settings];
        let log = self.path(&format!("{name}.log"));
        Process::start(name, &self.programs.join(program), arguments.into(), log)
    }

    /// Returns the profile of an upstream of service `booking` that receives packets at `address` and
    /// announces that address.
    #[must_use]
    pub fn profile(&self, number: u64, domain: &str, address: SocketAddr) -> Profile {
        Profile {
            number,
            service: "booking".to_owned(),
            domain: domain.to_owned(),
            address,
            announced: address,
            client_port: self.port,
            controls: self.api_addresses(),
            clock_ms: 0,
        }
    }

    /// Sends a call to one control VM after the other, until one answers with a status for which
    /// `is_clear` returns true.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        is_clear: impl Fn(u16) -> bool,
    ) -> Option<(u16, String)> {
        let api_addresses = self.api_addresses().into_iter();
        let mut answers =
            api_addresses.filter_map(|api_address| call(api_address, method, path, body).ok());
        answers.find(|(status, _)| is_clear(*status))
    }

    /// Returns a plan with one route to service `booking`, in the platform's format.
    #[must_use]
    pub fn plan(&self, version: u64) -> String {
        plan(version, self.service)
    }

    /// Reports whether entry VM `number` is ready and sends new flows to at least `upstreams`
    /// upstreams.
    #[must_use]
    pub fn is_ready(&self, number: u8, upstreams: usize) -> bool {
        let is_ready = matches!(
            call(self.health(number), "GET", "/health", ""),
            Ok((200, _))
        );
        let known = self.dump(number).matches("\"takes_flows\":true").count();
        is_ready && known >= upstreams
    }

    /// Returns the state dump of entry VM `number` as JSON; empty when the call fails.
    #[must_use]
    pub fn dump(&self, number: u8) -> String {
        let dump = call(self.health(number), "GET", "/dump", "");
        dump.map(|(_, text)| text).unwrap_or_default()
    }
}

/// Returns a plan with one route from address `service` to service `booking`, in the platform's
/// format.
#[must_use]
pub fn plan(version: u64, service: SocketAddrV4) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"{}","prefix":"/{}/",
        "timeoutMs":800,"service":"booking"}}],"services":[{{"name":"booking"}}],
        "limits":{{"idleTimeoutMs":15000}}}}"#,
        service.ip(),
        service.port()
    )
}

/// Returns the first of [`PORTS_PER_SYSTEM`] ports that are likely free on all addresses of the
/// system.
fn free_port(net: u8) -> io::Result<u16> {
    let probe = UdpSocket::bind((Ipv4Addr::new(127, 0, net, 250), 0))?;
    // Stays below the range of ephemeral ports of the kernel.
    Ok(12_000 + probe.local_addr()?.port() % 1_000 * PORTS_PER_SYSTEM)
}
