//! Starts and stops a system of real processes on loopback addresses, and writes its settings files.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread::sleep,
    time::{Duration, Instant},
};

use displaydoc::Display;
use model::name::Name;
use serde::Serialize;
use settings::{control, entry};

use super::{
    ctl::{self, Ctl},
    http,
    plan::Plan,
    process::{Exit, Process, Signal},
};
use crate::{caller, channel, fabric, ports::Ports, upstream};

/// Timeout for a process to be in service, and for a change to be in force.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks whether a process is in service.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Idle timeout of flows in experiments, in milliseconds; short enough for old generations to retire.
const IDLE_MS: u32 = 10_000;

mod files;

/// Reason why a system can't be started or controlled.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}: {1}
    Io(String, std::io::Error),
    /// settings of {0} can't be written: {1}
    Settings(String, serde_norway::Error),
    /// {name} ended or was not in service within 20 s; last lines of its log {log}: {tail}
    NotInService {
        /// Name of the process.
        name: String,
        /// Path of the log file.
        log: String,
        /// Last lines of the log.
        tail: String,
    },
    /// {0}
    Ctl(ctl::Error),
    /// {0}
    Channel(channel::Error),
    /// {0} gave no answer or an answer of the wrong type
    Answer(&'static str),
}

impl std::error::Error for Error {}

impl From<ctl::Error> for Error {
    fn from(error: ctl::Error) -> Self {
        Self::Ctl(error)
    }
}

impl From<channel::Error> for Error {
    fn from(error: channel::Error) -> Self {
        Self::Channel(error)
    }
}

/// Folders of an experiment.
#[derive(Debug, Clone)]
pub struct Place {
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Folder of the settings, logs and data.
    pub folder: PathBuf,
}

/// A running system.
#[derive(Debug)]
pub struct Cluster {
    /// Plan from which the system was started.
    pub plan: Plan,
    /// Runner of operator commands.
    pub ctl: Ctl,
    /// Processes of the entry VMs, in the plan's order.
    pub entries: Vec<Process>,
    /// Processes of the control VMs, in the plan's order.
    pub controls: Vec<Process>,
    /// Settings of entry VMs by name.
    pub entry_settings: BTreeMap<Name, entry::Settings>,
    /// Address of the command channel of the upstreams.
    pub upstream_channel: SocketAddr,
    /// Address of the command channel of the callers.
    pub caller_channel: SocketAddr,
    upstreams: Option<Process>,
    callers: Option<Process>,
    caller_settings: caller::Settings,
    place: Place,
}

impl Cluster {
    /// Starts the system and its upstreams, creates the failure domains and services, and admits the
    /// upstreams. [`Cluster::start_callers`] starts the traffic.
    ///
    /// # Errors
    ///
    /// Returns which process or command failed.
    pub fn start(plan: Plan, seed: u64, place: Place) -> Result<Self, Error> {
        fs::create_dir_all(&place.folder)
            .map_err(|e| Error::Io(place.folder.display().to_string(), e))?;
        let ports = &mut Ports::default();
        let controls = files::control_settings(&plan, ports, &place.folder, seed)?;
        let entries = files::entry_settings(&plan, ports, &controls, seed)?;
        let rpc = controls.values().map(|c| c.rpc_listen).collect();
        let channel = |ports: &mut Ports| files::free_address(ports, files::ip(4, 0, 0));
        let (upstream_channel, caller_channel) = (channel(ports)?, channel(ports)?);
        let mut cluster = Self {
            ctl: Ctl::new(place.programs.join("oriolectl"), rpc),
            entries: Vec::new(),
            controls: Vec::new(),
            upstreams: None,
            callers: None,
            caller_settings: files::caller_settings(&plan, &entries, caller_channel, seed),
            entry_settings: entries,
            upstream_channel,
            caller_channel,
            plan,
            place,
        };
        cluster.start_controls(&controls)?;
        cluster.start_entries()?;
        cluster.start_upstreams(seed)?;
        cluster.configure()?;
        Ok(cluster)
    }

    /// Starts only the upstreams, and makes the fabric send packets and requests directly to the
    /// upstreams.
    ///
    /// # Errors
    ///
    /// Returns which process failed.
    pub fn start_without_system(plan: Plan, seed: u64, place: Place) -> Result<Self, Error> {
        let ports = &mut Ports::default();
        let channel = |ports: &mut Ports| files::free_address(ports, files::ip(4, 0, 0));
        let (upstream_channel, caller_channel) = (channel(ports)?, channel(ports)?);
        let no_entries = BTreeMap::new();
        let mut cluster = Self {
            ctl: Ctl::new(place.programs.join("oriolectl"), Vec::new()),
            entries: Vec::new(),
            controls: Vec::new(),
            upstreams: None,
            callers: None,
            caller_settings: files::caller_settings(&plan, &no_entries, caller_channel, seed),
            entry_settings: no_entries,
            upstream_channel,
            caller_channel,
            plan,
            place,
        };
        cluster.start_upstreams(seed)?;
        cluster.caller_settings.entries = cluster.direct_entries()?;
        Ok(cluster)
    }

    /// Returns the upstreams as destinations of the fabric, for a run without the system.
    fn direct_entries(&self) -> Result<Vec<fabric::Entry>, Error> {
        let start = Instant::now();
        let addresses = loop {
            match self.upstream(&upstream::Command::Addresses) {
                Ok(upstream::Answer::Addresses(addresses)) => break addresses,
                Ok(_) => return Err(Error::Answer("upstreams")),
                Err(error) if start.elapsed() > START_TIMEOUT => return Err(error),
                Err(_) => sleep(POLL_INTERVAL),
            }
        };
        let mut entries = Vec::new();
        for service in &self.plan.services {
            for vm in service.upstreams.iter().chain([&service.spare]) {
                let Some((flows, requests)) = addresses.get(&vm.name) else {
                    continue;
                };
                entries.push(fabric::Entry {
                    name: vm.name.clone(),
                    domain: vm.domain.clone(),
                    fabric_address: *flows,
                    request_address: *requests,
                    http_address: None,
                    service: Some(service.name.clone()),
                });
            }
        }
        Ok(entries)
    }

    fn start_controls(&mut self, all: &BTreeMap<Name, control::Settings>) -> Result<(), Error> {
        for (name, settings) in all {
            let process = self.spawn(name.as_str(), "oriole-control", &[], settings)?;
            self.controls.push(process);
        }
        for (process, settings) in self.controls.iter_mut().zip(all.values()) {
            wait_until_healthy(process, settings.http_listen)?;
        }
        Ok(())
    }

    fn start_entries(&mut self) -> Result<(), Error> {
        for vm in &self.plan.entries {
            let settings = &self.entry_settings[&vm.name];
            let process = self.spawn(vm.name.as_str(), "oriole-entry", &[], settings)?;
            self.entries.push(process);
        }
        Ok(())
    }

    fn start_upstreams(&mut self, seed: u64) -> Result<(), Error> {
        let settings = upstream::Settings {
            control: self.upstream_channel,
            seed,
            upstreams: self
                .plan
                .services
                .iter()
                .flat_map(|service| {
                    let all = service.upstreams.iter().chain([&service.spare]);
                    all.map(|vm| files::upstream_settings(service, vm, &self.entry_settings))
                })
                .collect(),
        };
        let process = self.spawn("upstreams", "oriole-standin", &["upstream"], &settings)?;
        self.upstreams = Some(process);
        Ok(())
    }

    /// Creates failure domains and services, admits the upstreams, and waits until the changes are in
    /// force at every entry VM.
    fn configure(&mut self) -> Result<(), Error> {
        for domain in &self.plan.domains {
            self.ctl
                .retry(&["domain", "put", domain.as_str()], START_TIMEOUT)?;
        }
        for service in &self.plan.services {
            let address = service.address.to_string();
            let idle = IDLE_MS.to_string();
            let name = service.name.as_str();
            let put = ["service", "put", name, &address, "--idle-ms", &idle];
            self.ctl.retry(&put, START_TIMEOUT)?;
        }
        for service in &self.plan.services {
            for upstream in &service.upstreams {
                let (service, upstream) = (service.name.as_str(), upstream.name.as_str());
                let admit = ["upstream", "admit", service, upstream, "--wait"];
                self.ctl.retry(&admit, START_TIMEOUT)?;
            }
        }
        for (process, vm) in self.entries.iter_mut().zip(&self.plan.entries) {
            wait_until_healthy(process, self.entry_settings[&vm.name].http_listen)?;
        }
        Ok(())
    }

    /// Starts the callers, which begin with their traffic.
    ///
    /// # Errors
    ///
    /// Fails when the program is missing or the callers don't answer in time.
    pub fn start_callers(&mut self) -> Result<(), Error> {
        let settings = &self.caller_settings;
        let process = self.spawn("callers", "oriole-standin", &["caller"], settings)?;
        self.callers = Some(process);
        let start = Instant::now();
        while self.send_to_callers(&caller::Command::Report).is_err() {
            if start.elapsed() > START_TIMEOUT {
                return Err(Error::Answer("callers"));
            }
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a command to the upstreams and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub fn upstream(&self, command: &upstream::Command) -> Result<upstream::Answer, Error> {
        Ok(channel::ask(self.upstream_channel, command)?)
    }

    /// Sends a command to the callers and returns their report.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub fn send_to_callers(&self, command: &caller::Command) -> Result<caller::Report, Error> {
        Ok(channel::ask(self.caller_channel, command)?)
    }

    /// Stops an entry VM gracefully and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Fails when the entry VM does not come into service again.
    pub fn restart_entry(&mut self, index: usize) -> Result<Exit, Error> {
        let exit = self.entries[index].stop(STOP_TIMEOUT);
        self.start_entry(index)?;
        Ok(exit)
    }

    /// Starts a stopped entry VM again and waits until the VM is in service.
    ///
    /// # Errors
    ///
    /// Fails when the entry VM does not come into service again.
    pub fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let process = &mut self.entries[index];
        restart(process)?;
        let name = &self.plan.entries[index].name;
        wait_until_healthy(process, self.entry_settings[name].http_listen)
    }

    /// Suspends the process of an entry VM for `time`, like a freeze of the VM.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn freeze_entry(&mut self, index: usize, time: Duration) -> Result<(), Error> {
        let process = &mut self.entries[index];
        let io = |e| Error::Io(process_name(index), e);
        process.signal(Signal::Stop).map_err(io)?;
        sleep(time);
        process.signal(Signal::Continue).map_err(io)
    }

    /// Kills a control VM and starts it again after `pause`.
    ///
    /// # Errors
    ///
    /// Fails when the control VM can't be started again.
    pub fn kill_control(&mut self, index: usize, pause: Duration) -> Result<(), Error> {
        let process = &mut self.controls[index];
        process.kill();
        sleep(pause);
        restart(process)
    }

    /// Stops all processes gracefully, emulators last; returns how each process of the system ended.
    pub fn stop(mut self) -> BTreeMap<String, Exit> {
        let mut exits = BTreeMap::new();
        for process in self.entries.iter_mut().chain(&mut self.controls) {
            exits.insert(process.name().to_owned(), process.stop(STOP_TIMEOUT));
        }
        for process in [&mut self.callers, &mut self.upstreams]
            .into_iter()
            .flatten()
        {
            process.stop(STOP_TIMEOUT);
        }
        exits
    }

    fn spawn(
        &self,
        name: &str,
        program: &str,
        arguments: &[&str],
        settings: &impl Serialize,
    ) -> Result<Process, Error> {
        let file = self.place.folder.join(format!("{name}.yaml"));
        let text = serde_norway::to_string(settings);
        let text = text.map_err(|e| Error::Settings(name.to_owned(), e))?;
        fs::write(&file, text).map_err(|e| Error::Io(file.display().to_string(), e))?;
        let mut all: Vec<String> = arguments.iter().map(|&a| a.to_owned()).collect();
        all.extend(["--settings".to_owned(), file.display().to_string()]);
        let log = self.place.folder.join(format!("{name}.log"));
        let program = self.place.programs.join(program);
        let shown = program.display().to_string();
        Process::start(name, &program, all, log).map_err(|e| Error::Io(shown, e))
    }
}

fn restart(process: &mut Process) -> Result<(), Error> {
    let name = process.name().to_owned();
    process.restart().map_err(|e| Error::Io(name, e))
}

fn process_name(index: usize) -> String {
    format!("entry VM {}", index + 1)
}

fn wait_until_healthy(process: &mut Process, address: SocketAddr) -> Result<(), Error> {
    let start = Instant::now();
    while !http::is_healthy(address) {
        if start.elapsed() > START_TIMEOUT || !process.is_running() {
            return Err(Error::NotInService {
                name: process.name().to_owned(),
                log: process.log().display().to_string(),
                tail: tail(process.log()),
            });
        }
        sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the last five lines of a log.
fn tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(5)..].join(" | ")
}
