//! Control VMs, entry VMs and upstreams as real processes and threads on loopback addresses.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
};

use tempfile::TempDir;

use super::{
    upstream::{ANNOUNCE, Profile},
    wire::call,
};
use crate::experiment::process::Process;

/// Ports that one system uses on each of its addresses.
const PORTS: u16 = 16;

/// First port of the traffic between daemons, from the first of the system.
const FIRST_PORT: u16 = 8;

/// The same where control VMs bind others than the daemons reach.
const BIND_PORT: u16 = 12;

/// How large a system is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Control VMs; the first three found the cluster.
    pub controls: u8,
    /// Entry VMs.
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

/// Where control VMs take the connections of other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ports {
    /// Where the others reach them.
    Own,
    /// Elsewhere, so that something can stand between; see [`System::forwarded`].
    Forwarded,
}

/// The processes, and where everything is.
#[derive(Debug)]
pub struct System {
    /// Control VMs.
    pub controls: Vec<Process>,
    /// Entry VMs.
    pub entries: Vec<Process>,
    /// Address that clients open flows to.
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

    /// Where control VM `number` takes calls.
    #[must_use]
    pub fn desk(&self, number: u8) -> SocketAddr {
        self.address(11 + number, 2)
    }

    /// Where other daemons reach control VM `number`, each with where it then takes them, if the
    /// ports are forwarded: streams of entry VMs, and messages of other control VMs.
    #[must_use]
    pub fn forwarded(&self, number: u8) -> [(SocketAddr, SocketAddr); 2] {
        let address = |port| self.address(11 + number, port);
        [0, 1].map(|step| (address(FIRST_PORT + step), address(BIND_PORT + step)))
    }

    /// Where all control VMs take calls.
    #[must_use]
    pub fn desks(&self) -> Vec<SocketAddr> {
        (0..self.size.controls).map(|n| self.desk(n)).collect()
    }

    /// Where entry VM `number` serves its health and state.
    #[must_use]
    pub fn health(&self, number: u8) -> SocketAddr {
        self.address(31 + number, 3)
    }

    /// Where entry VM `number` takes packets.
    #[must_use]
    pub fn entry(&self, number: u8) -> SocketAddr {
        self.address(31 + number, 0)
    }

    /// Address of client VM `number`.
    #[must_use]
    pub fn client(&self, number: u8) -> SocketAddr {
        self.address(101 + number, 0)
    }

    /// Where upstream `number` takes packets and connections; `port` is 1 or more.
    #[must_use]
    pub fn upstream(&self, number: u8, port: u16) -> SocketAddr {
        self.address(151 + number, port)
    }

    /// Leaves the settings, data and logs of all processes on disk after this. Returns where.
    pub fn keep(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// A file or folder of the system.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Folder of the files of control VM `number`.
    #[must_use]
    pub fn data_folder(&self, number: u8) -> PathBuf {
        self.path(&format!("control-{number}-data"))
    }

    fn seeds(&self) -> String {
        let quoted = (0..3).map(|number| format!("\"{}\"", self.desk(number)));
        quoted.collect::<Vec<_>>().join(", ")
    }

    /// Writes the settings of a control VM; `found` as at the very first start.
    ///
    /// # Errors
    ///
    /// As the file system says.
    pub fn write_control(&self, number: u8, found: bool) -> io::Result<()> {
        let bind = match self.ports {
            Ports::Own => String::new(),
            Ports::Forwarded => format!("bind_port: {}\n", self.port + BIND_PORT),
        };
        let settings = format!(
            "name: control-{number}\ndomain: north\ndata_folder: {}\ndesk_listen: \"{}\"\n\
             first_port: {}\n{bind}seeds: [{}]\nfound: {found}\nannounce_ms: {}\ntolerated: 1\n",
            self.data_folder(number).display(),
            self.desk(number),
            self.port + FIRST_PORT,
            self.seeds(),
            ANNOUNCE.as_millis(),
        );
        fs::write(self.path(&format!("control-{number}.yaml")), settings)
    }

    fn start_control(&self, number: u8) -> io::Result<Process> {
        self.write_control(number, true)?;
        self.start_process(&format!("control-{number}"), "oriole-control")
    }

    fn start_entry(&self, number: u8) -> io::Result<Process> {
        let settings = format!(
            "name: entry-{number}\ndomain: north\nfabric_listen: \"{}\"\nhealth_listen: \"{}\"\n\
             first_port: {}\nseeds: [{}]\nseed: {number}\n",
            self.entry(number),
            self.health(number),
            self.port + FIRST_PORT,
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

    /// An upstream of service `booking` that takes packets at `address`, and announces that.
    #[must_use]
    pub fn profile(&self, number: u64, domain: &str, address: SocketAddr) -> Profile {
        Profile {
            number,
            service: "booking".to_owned(),
            domain: domain.to_owned(),
            address,
            announced: address,
            client_port: self.port,
            controls: self.desks(),
            clock_ms: 0,
        }
    }

    /// Sends a call to each control VM until one answers with a status for which `is_clear` holds.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        is_clear: impl Fn(u16) -> bool,
    ) -> Option<(u16, String)> {
        let desks = self.desks().into_iter();
        let mut answers = desks.filter_map(|desk| call(desk, method, path, body).ok());
        answers.find(|(status, _)| is_clear(*status))
    }

    /// The plan with one route, in the platform's form.
    #[must_use]
    pub fn plan(&self, version: u64) -> String {
        plan(version, self.service)
    }

    /// Whether entry VM `number` is ready and sends new flows to at least `upstreams`.
    #[must_use]
    pub fn is_ready(&self, number: u8, upstreams: usize) -> bool {
        let is_ready = matches!(
            call(self.health(number), "GET", "/health", ""),
            Ok((200, _))
        );
        let known = self.dump(number).matches("\"takes_flows\":true").count();
        is_ready && known >= upstreams
    }

    /// State of entry VM `number` as JSON; empty where it gives none.
    #[must_use]
    pub fn dump(&self, number: u8) -> String {
        let dump = call(self.health(number), "GET", "/dump", "");
        dump.map(|(_, text)| text).unwrap_or_default()
    }
}

/// A plan with one route from `service` to the service `booking`, in the platform's form.
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

/// The first of a few ports that are likely free on all addresses of the system.
fn free_port(net: u8) -> io::Result<u16> {
    let probe = UdpSocket::bind((Ipv4Addr::new(127, 0, net, 250), 0))?;
    // Below the range that the kernel hands out.
    Ok(12_000 + probe.local_addr()?.port() % 1_000 * PORTS)
}
