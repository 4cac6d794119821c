//! Runs a schedule of faults while callers keep sending, and records the results.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicBool, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use standin::{
    experiment::process::{Process, Signal},
    platform::{
        client::{Client, ClientOutcome},
        system::{Ports, Size, System},
        upstream::{Profile, Upstream},
        wire::call,
    },
};

use crate::{
    callers::{self, SharedState},
    check::{self, Violation},
    control_proxy,
    fault::{self, Fault, PlannedFault},
    record::{AcknowledgedPlan, ClosedPeriod, Disturbance, FlowOpening, PlanRead, Record},
    upstream_proxy::{Mode, Proxy},
};

/// Number of upstream slots; even slots are in domain `north`, odd slots in `south`.
pub const UPSTREAM_SLOTS: u8 = 5;

/// Number of callers.
const CALLER_COUNT: u8 = 3;

/// Time in which the system must become ready after the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last fault in which the system must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Interval of the main loop of the run.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of bytes on a delayed link to a control VM.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Bytes that a torn write leaves: less than the header of a record.
const TORN_WRITE: [u8; 11] = [40, 0, 0, 0, 7, 7, 7, 7, 1, 2, 3];

/// Clock offsets that upstreams get in turn, in milliseconds; positive means ahead.
const CLOCK_OFFSETS_MS: [i64; 4] = [0, 4_000, -9_000, 1_000];

/// Interval of the fabric's health checks of entry VMs, in milliseconds.
const HEALTH_CHECK_INTERVAL_MS: u64 = 500;

/// Interval of reads of the plan, in milliseconds.
const PLAN_READ_INTERVAL_MS: u64 = 700;

/// Time after which a domain that was taken out must get no new flows, in milliseconds.
const DOMAIN_OUT_LIMIT_MS: u64 = 5_000;

/// Time after which an upstream that announced its stop must get no new flows, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 3_000;

/// Number of requests sent after all faults have ended.
const FINAL_REQUESTS: u64 = 40;

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Length of the fault schedule, in milliseconds.
    pub length_ms: u64,
    /// Numbers of control VMs and entry VMs.
    pub size: Size,
    /// Third byte of all IP addresses.
    pub net: u8,
}

/// Slot for one upstream at a time, behind a proxy that stays.
#[derive(Debug)]
struct UpstreamSlot {
    proxy: Proxy,
    upstream: Option<Upstream>,
    number: u64,
}

/// A run in progress.
struct SoakRun {
    system: System,
    /// Proxy in front of each control VM.
    control_proxies: Vec<control_proxy::Proxy>,
    slots: Vec<UpstreamSlot>,
    shared: Arc<SharedState>,
    record: Record,
    version: u64,
    /// Slots by upstream number, for all upstreams so far.
    slots_by_number: BTreeMap<u64, u8>,
    next_number: u64,
    /// Time when the control VMs acknowledged that the domain is out, in milliseconds.
    domain_out_ms: Option<u64>,
    last_health_check_ms: u64,
    last_plan_read_ms: u64,
}

/// Runs the programs in the folder `programs` and returns the violations.
///
/// # Errors
///
/// Returns an error if the system can't be started or a fault can't be injected.
pub fn run(settings: Settings, programs: &Path) -> io::Result<Vec<Violation>> {
    let system = System::start(programs, settings.net, settings.size, Ports::Forwarded)?;
    let control_proxies = start_control_proxies(&system, settings.size)?;
    let shared = Arc::new(SharedState {
        rotation: Mutex::default(),
        is_over: AtomicBool::new(false),
        started: Instant::now(),
    });
    let mut soak_run = SoakRun {
        system,
        control_proxies,
        slots: Vec::new(),
        shared,
        record: Record::default(),
        version: 0,
        slots_by_number: BTreeMap::new(),
        next_number: 0,
        domain_out_ms: None,
        last_health_check_ms: 0,
        last_plan_read_ms: 0,
    };
    soak_run.start_upstreams()?;
    soak_run.wait_until_ready()?;
    let callers = soak_run.start_callers()?;
    soak_run.run_schedule(settings)?;
    soak_run.check_recovery()?;
    soak_run.shared.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let request_outcomes = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        soak_run.record.request_outcomes.extend(request_outcomes);
    }
    soak_run.stop_upstreams();
    let slots_by_number = soak_run.slots_by_number;
    let slot_of = |number| slots_by_number.get(&number).copied().unwrap_or(u8::MAX);
    let violations = check::check(&soak_run.record, slot_of);
    if !violations.is_empty() {
        let kept = soak_run.system.keep();
        println!(
            "seed {}: violations found; logs kept in {}",
            settings.seed,
            kept.display()
        );
    }
    Ok(violations)
}

fn start_control_proxies(system: &System, size: Size) -> io::Result<Vec<control_proxy::Proxy>> {
    let start = |number| {
        let routes = system.forwarded(number).into_iter();
        control_proxy::Proxy::start(routes.map(|(public_address, bound_address)| {
            control_proxy::Route {
                public_address,
                bound_address,
            }
        }))
    };
    (0..size.controls).map(start).collect()
}

impl SoakRun {
    fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    fn start_upstreams(&mut self) -> io::Result<()> {
        for slot in 0..UPSTREAM_SLOTS {
            let proxy_address = self.system.upstream(slot, 1);
            let own_address = self.system.upstream(slot, 4);
            let proxy = Proxy::start(proxy_address, own_address)?;
            self.slots.push(UpstreamSlot {
                proxy,
                upstream: None,
                number: 0,
            });
            self.start_upstream(slot)?;
        }
        Ok(())
    }

    /// Starts an upstream with a new identity in a slot.
    fn start_upstream(&mut self, slot: u8) -> io::Result<()> {
        self.next_number += 1;
        let number = self.next_number;
        let domain = match slot % 2 {
            0 => "north",
            _ => "south",
        };
        let own_address = self.system.upstream(slot, 4);
        let announced = self.system.upstream(slot, 1);
        let clock = usize::try_from(number).unwrap_or_default() % CLOCK_OFFSETS_MS.len();
        let upstream = Upstream::start(Profile {
            announced,
            clock_ms: CLOCK_OFFSETS_MS[clock],
            ..self.system.profile(number, domain, own_address)
        })?;
        self.slots_by_number.insert(number, slot);
        let slot = &mut self.slots[usize::from(slot)];
        slot.upstream = Some(upstream);
        slot.number = number;
        Ok(())
    }

    /// Stops the upstream in a slot and records its flow openings and drain.
    fn stop_upstream(&mut self, slot: u8) {
        let now_ms = self.now_ms();
        let started = self.shared.started;
        let slot = &mut self.slots[usize::from(slot)];
        let Some(upstream) = slot.upstream.take() else {
            return;
        };
        let ms_since_start = |at: Instant| {
            let span = at.saturating_duration_since(started);
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        };
        let opened = upstream.opened().into_iter().map(|at| FlowOpening {
            upstream: slot.number,
            at_ms: ms_since_start(at),
        });
        self.record.flow_openings.extend(opened);
        if let Some(at) = upstream.drain_acknowledged() {
            self.record.closed_periods.push(ClosedPeriod {
                upstream: slot.number,
                from_ms: ms_since_start(at),
                to_ms: now_ms,
                allowed_ms: DRAIN_LIMIT_MS,
            });
        }
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            self.put_plan();
            let entries = u8::try_from(self.system.entries.len()).unwrap_or(u8::MAX);
            let upstreams = usize::from(UPSTREAM_SLOTS);
            if self.version > 0 && (0..entries).all(|n| self.system.is_ready(n, upstreams)) {
                self.update_rotation();
                return Ok(());
            }
            thread::sleep(STEP_INTERVAL);
        }
        Err(io::Error::other(
            "system not ready within 30 s of its start",
        ))
    }

    fn start_callers(
        &self,
    ) -> io::Result<Vec<thread::JoinHandle<Vec<crate::record::RequestOutcome>>>> {
        let start = |number: u8| {
            let client = Client::start(self.system.client(number))?;
            let (service, shared) = (self.system.service, Arc::clone(&self.shared));
            Ok(thread::spawn(move || {
                callers::run(&client, service, u64::from(number) + 1, &shared)
            }))
        };
        (0..CALLER_COUNT).map(start).collect()
    }

    fn run_schedule(&mut self, settings: Settings) -> io::Result<()> {
        let schedule = fault::schedule(
            settings.seed,
            settings.size,
            UPSTREAM_SLOTS,
            settings.length_ms,
        );
        let schedule_start_ms = self.now_ms();
        let mut pending = schedule.into_iter().peekable();
        let mut active: Vec<(PlannedFault, u64)> = Vec::new();
        while pending.peek().is_some() || !active.is_empty() {
            let now_ms = self.now_ms() - schedule_start_ms;
            while let Some(fault) = pending.next_if(|p| p.at_ms <= now_ms) {
                let from_ms = self.now_ms();
                self.start_fault(fault.kind)?;
                active.push((fault, from_ms));
            }
            let (ended, ongoing): (Vec<_>, Vec<_>) =
                active.into_iter().partition(|(p, _)| p.until_ms <= now_ms);
            active = ongoing;
            for (fault, from_ms) in ended {
                self.end_fault(fault.kind)?;
                self.record.disturbances.push(Disturbance {
                    kind: fault.kind,
                    from_ms,
                    to_ms: self.now_ms(),
                });
            }
            let active_kinds: Vec<Fault> = active.iter().map(|(p, _)| p.kind).collect();
            self.observe(&active_kinds);
            thread::sleep(STEP_INTERVAL);
        }
        Ok(())
    }

    fn start_fault(&mut self, kind: Fault) -> io::Result<()> {
        match kind {
            Fault::KillEntry(n) => self.system.entries[usize::from(n)].kill(),
            Fault::StopEntry(n) => self.system.entries[usize::from(n)].signal(Signal::Terminate)?,
            Fault::FreezeEntry(n) => self.system.entries[usize::from(n)].signal(Signal::Stop)?,
            Fault::KillControl(n) => self.system.controls[usize::from(n)].kill(),
            Fault::StopControl(n) => {
                self.system.controls[usize::from(n)].signal(Signal::Terminate)?;
            }
            Fault::FreezeControl(n) => self.system.controls[usize::from(n)].signal(Signal::Stop)?,
            Fault::EmptyDisk(n) => {
                self.system.controls[usize::from(n)].kill();
                fs::remove_dir_all(self.system.data_folder(n))?;
                self.system.write_control_settings(n, false)?;
            }
            Fault::TornWrite(n) => {
                self.system.controls[usize::from(n)].kill();
                append_torn_write(&self.system.data_folder(n))?;
            }
            Fault::DelayLinks(n) => {
                self.set_control_proxy(n, control_proxy::Mode::Delay(LINK_DELAY))
            }
            Fault::SilenceLinks(n) => self.set_control_proxy(n, control_proxy::Mode::Silence),
            Fault::OneWayLinks(n) => self.set_control_proxy(n, control_proxy::Mode::OneWay),
            Fault::ResetLinks(n) => self.set_control_proxy(n, control_proxy::Mode::Reset),
            Fault::KillAll => self.daemons().for_each(Process::kill),
            Fault::HangUp => {
                for process in self.daemons() {
                    // Signalling a process that another fault has stopped fails.
                    drop(process.signal(Signal::HangUp));
                }
            }
            Fault::Crash(n) => self.stop_upstream(n),
            Fault::Drain(n) => {
                if let Some(upstream) = &self.slots[usize::from(n)].upstream {
                    upstream.drain();
                }
            }
            Fault::Silence(n) => self.slots[usize::from(n)].proxy.set(Mode::Silence),
            Fault::Refuse(n) => self.slots[usize::from(n)].proxy.set(Mode::Refuse),
            Fault::Delay(n) => {
                let wait = Duration::from_millis(30);
                self.slots[usize::from(n)].proxy.set(Mode::Delay(wait));
            }
            Fault::DomainOut => self.set_domain_out(true),
            Fault::Plan => self.put_plan(),
        }
        Ok(())
    }

    fn end_fault(&mut self, kind: Fault) -> io::Result<()> {
        match kind {
            Fault::KillEntry(n) | Fault::StopEntry(n) => {
                restart(&mut self.system.entries[usize::from(n)])?;
            }
            Fault::FreezeEntry(n) => {
                self.system.entries[usize::from(n)].signal(Signal::Continue)?;
            }
            Fault::KillControl(n)
            | Fault::StopControl(n)
            | Fault::EmptyDisk(n)
            | Fault::TornWrite(n) => {
                restart(&mut self.system.controls[usize::from(n)])?;
            }
            Fault::FreezeControl(n) => {
                self.system.controls[usize::from(n)].signal(Signal::Continue)?;
            }
            Fault::DelayLinks(n)
            | Fault::SilenceLinks(n)
            | Fault::OneWayLinks(n)
            | Fault::ResetLinks(n) => self.set_control_proxy(n, control_proxy::Mode::Pass),
            Fault::KillAll => {
                for process in self.daemons() {
                    restart(process)?;
                }
            }
            Fault::Crash(n) => self.start_upstream(n)?,
            Fault::Drain(n) => {
                // The upstream serves a little longer than required.
                thread::sleep(Duration::from_millis(DRAIN_LIMIT_MS));
                self.stop_upstream(n);
                self.start_upstream(n)?;
            }
            Fault::Silence(n) | Fault::Refuse(n) | Fault::Delay(n) => {
                self.slots[usize::from(n)].proxy.set(Mode::Pass);
            }
            Fault::DomainOut => self.set_domain_out(false),
            Fault::Plan | Fault::HangUp => {}
        }
        Ok(())
    }

    fn set_control_proxy(&self, control: u8, mode: control_proxy::Mode) {
        self.control_proxies[usize::from(control)].set(mode);
    }

    fn daemons(&mut self) -> impl Iterator<Item = &mut Process> {
        let system = &mut self.system;
        system.controls.iter_mut().chain(&mut system.entries)
    }

    fn put_plan(&mut self) {
        let version = self.version + 1;
        let text = self.system.plan(version);
        let is_definite = |status| status < 500;
        let answer = self.system.call("PUT", "/api/config", &text, is_definite);
        if answer.is_some_and(|(status, _)| status == 200) {
            self.version = version;
            let at_ms = self.now_ms();
            self.record
                .acknowledged_plans
                .push(AcknowledgedPlan { version, at_ms });
        }
    }

    fn set_domain_out(&mut self, is_out: bool) {
        let method = match is_out {
            true => "POST",
            false => "DELETE",
        };
        let before_ms = self.now_ms();
        let path = "/api/evacuations/south";
        let answer = self.system.call(method, path, "", |status| status == 200);
        let now_ms = self.now_ms();
        match (is_out, answer) {
            (true, Some(_)) => self.domain_out_ms = Some(now_ms),
            (true, None) => {}
            (false, _) => {
                let Some(from_ms) = self.domain_out_ms.take() else {
                    return;
                };
                for slot in self.slots.iter().skip(1).step_by(2) {
                    self.record.closed_periods.push(ClosedPeriod {
                        upstream: slot.number,
                        from_ms,
                        to_ms: before_ms,
                        allowed_ms: DOMAIN_OUT_LIMIT_MS,
                    });
                }
            }
        }
    }

    /// Updates the fabric's rotation, records unexpected exits and reads the plan, when each is due.
    fn observe(&mut self, active: &[Fault]) {
        let now_ms = self.now_ms();
        if now_ms >= self.last_health_check_ms + HEALTH_CHECK_INTERVAL_MS {
            self.last_health_check_ms = now_ms;
            self.update_rotation();
            self.record_unexpected_exits(active);
        }
        if now_ms >= self.last_plan_read_ms + PLAN_READ_INTERVAL_MS {
            self.last_plan_read_ms = now_ms;
            self.read_plan();
        }
    }

    fn update_rotation(&self) {
        let entries = u8::try_from(self.system.entries.len()).unwrap_or(u8::MAX);
        let is_ready = |n: &u8| {
            let health = call(self.system.health(*n), "GET", "/health", "");
            matches!(health, Ok((200, _)))
        };
        let ready: Vec<u8> = (0..entries).filter(is_ready).collect();
        // The fabric sends to all entry VMs when fewer than half are ready.
        let targets: Vec<u8> = match ready.len() * 2 < usize::from(entries) {
            true => (0..entries).collect(),
            false => ready,
        };
        let mut rotation = self
            .shared
            .rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *rotation = targets.into_iter().map(|n| self.system.entry(n)).collect();
    }

    /// Records processes that have exited, unless an active fault keeps daemons down.
    fn record_unexpected_exits(&mut self, active: &[Fault]) {
        if active.iter().any(|kind| kind.keeps_daemons_down()) {
            return;
        }
        let ended = self.daemons().filter_map(|p| {
            let is_over = !p.is_running();
            is_over.then(|| p.name().to_owned())
        });
        let ended: Vec<String> = ended.collect();
        self.record.unexpected_exits.extend(ended);
    }

    fn read_plan(&mut self) {
        let sent_ms = self.now_ms();
        let answer = self
            .system
            .call("GET", "/api/config", "", |status| status == 200);
        let version = answer.and_then(|(_, body)| {
            let number = body.split("\"version\":").nth(1)?.split(',').next()?;
            number.parse().ok()
        });
        if let Some(version) = version {
            self.record.plan_reads.push(PlanRead { version, sent_ms });
        }
    }

    /// Waits for `RECOVERY_TIME`, then sends requests on new flows and counts the answers.
    fn check_recovery(&mut self) -> io::Result<()> {
        let until = Instant::now() + RECOVERY_TIME;
        while Instant::now() < until {
            self.observe(&[]);
            thread::sleep(STEP_INTERVAL);
        }
        let client = Client::start(self.system.client(CALLER_COUNT))?;
        let rotation = self
            .shared
            .rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for entry in rotation
            .iter()
            .cycle()
            .take(usize::try_from(FINAL_REQUESTS).unwrap_or(1))
        {
            self.record.answered_and_sent.1 += 1;
            let (mut flow, opened) = client.open(*entry, self.system.service);
            let deadline = Duration::from_millis(800);
            if matches!(opened, ClientOutcome::Answer(_))
                && matches!(
                    client.ask(*entry, &mut flow, deadline),
                    ClientOutcome::Answer(_)
                )
            {
                self.record.answered_and_sent.0 += 1;
            }
        }
        self.read_plan();
        Ok(())
    }

    fn stop_upstreams(&mut self) {
        for slot in 0..UPSTREAM_SLOTS {
            self.stop_upstream(slot);
        }
    }
}

/// Appends the bytes of a torn write to the newest log in `folder`.
fn append_torn_write(folder: &Path) -> io::Result<()> {
    let mut logs = Vec::new();
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name.and_then(|name| name.strip_prefix("log-")?.parse::<u64>().ok());
        logs.extend(number.map(|number| (number, path)));
    }
    // A control VM that was killed before its first write has no log.
    let Some((_, newest)) = logs.into_iter().max() else {
        return Ok(());
    };
    let mut log = fs::File::options().append(true).open(newest)?;
    log.write_all(&TORN_WRITE)
}

/// Restarts a process that was killed or got SIGTERM; kills the process if it is still running.
fn restart(process: &mut Process) -> io::Result<()> {
    // The platform also gives a process 6 s to exit after SIGTERM.
    if process.wait(Duration::from_secs(6)).is_none() {
        process.kill();
    }
    process.restart()
}
