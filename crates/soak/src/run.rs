//! Plays a schedule of faults while callers go on, and records what happens.

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
    callers::{self, Shared},
    check::{self, Broken},
    fault::{self, Kind, Planned},
    link,
    proxy::{Mode, Proxy},
    record::{Acknowledged, Closed, Disturbance, Opened, Read, Record},
};

/// Places for upstreams; the even ones are in domain `north`.
pub const UPSTREAMS: u8 = 5;

/// Callers.
const CALLERS: u8 = 3;

/// Time until the system serves at first.
const START_WAIT: Duration = Duration::from_secs(30);

/// Time after the last fault in which service has to be back.
const RECOVER: Duration = Duration::from_secs(12);

/// Time between two steps of the run.
const STEP: Duration = Duration::from_millis(20);

/// Time that bytes on a slow link to a control VM take longer.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// What is left of a write that was cut off: less than the header of a record.
const TORN: [u8; 11] = [40, 0, 0, 0, 7, 7, 7, 7, 1, 2, 3];

/// How far the clocks of upstreams are ahead, by turns, in milliseconds.
const CLOCKS_MS: [i64; 4] = [0, 4_000, -9_000, 1_000];

/// Time between two looks of the fabric at the entry VMs.
const LOOK_EVERY_MS: u64 = 500;

/// Time between two reads of the plan.
const READ_EVERY_MS: u64 = 700;

/// Time in which a domain that is out may still get flows, in milliseconds.
const DOMAIN_MS: u64 = 5_000;

/// The same for an upstream that announced its stop.
const DRAIN_MS: u64 = 3_000;

/// Requests after all faults.
const LAST_REQUESTS: u64 = 40;

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Seed of the schedule.
    pub seed: u64,
    /// Time for which faults go on, in milliseconds.
    pub length_ms: u64,
    /// Control VMs and entry VMs.
    pub size: Size,
    /// Third byte of all addresses.
    pub net: u8,
}

/// An upstream in its place.
#[derive(Debug)]
struct Place {
    proxy: Proxy,
    upstream: Option<Upstream>,
    number: u64,
}

/// A run in progress.
struct World {
    system: System,
    /// Before each control VM.
    links: Vec<link::Proxy>,
    places: Vec<Place>,
    shared: Arc<Shared>,
    record: Record,
    version: u64,
    /// Numbers of all upstreams so far, with their places.
    numbers: BTreeMap<u64, u8>,
    next_number: u64,
    domain_out_ms: Option<u64>,
    looked_ms: u64,
    read_ms: u64,
}

/// Runs the programs in `programs`; returns the promises that were broken.
///
/// # Errors
///
/// Fails when the system can't be started.
pub fn run(settings: Settings, programs: &Path) -> io::Result<Vec<Broken>> {
    let system = System::start(programs, settings.net, settings.size, Ports::Forwarded)?;
    let links = start_links(&system, settings.size)?;
    let shared = Arc::new(Shared {
        rotation: Mutex::default(),
        is_over: AtomicBool::new(false),
        started: Instant::now(),
    });
    let mut world = World {
        system,
        links,
        places: Vec::new(),
        shared,
        record: Record::default(),
        version: 0,
        numbers: BTreeMap::new(),
        next_number: 0,
        domain_out_ms: None,
        looked_ms: 0,
        read_ms: 0,
    };
    world.start_upstreams()?;
    world.wait_until_ready()?;
    let callers = world.start_callers()?;
    world.play(settings)?;
    world.recover()?;
    world.shared.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let asks = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        world.record.asks.extend(asks);
    }
    world.finish();
    let numbers = world.numbers;
    let place_of = |number| numbers.get(&number).copied().unwrap_or(u8::MAX);
    let broken = check::check(&world.record, place_of);
    if !broken.is_empty() {
        let kept = world.system.keep();
        println!(
            "seed {}: logs are kept in {}",
            settings.seed,
            kept.display()
        );
    }
    Ok(broken)
}

fn start_links(system: &System, size: Size) -> io::Result<Vec<link::Proxy>> {
    let start = |number| {
        let routes = system.forwarded(number).into_iter();
        link::Proxy::start(routes.map(|(reached, bound)| link::Route { reached, bound }))
    };
    (0..size.controls).map(start).collect()
}

impl World {
    fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    fn start_upstreams(&mut self) -> io::Result<()> {
        for place in 0..UPSTREAMS {
            let proxied = self.system.upstream(place, 1);
            let own = self.system.upstream(place, 4);
            let proxy = Proxy::start(proxied, own)?;
            self.places.push(Place {
                proxy,
                upstream: None,
                number: 0,
            });
            self.start_upstream(place)?;
        }
        Ok(())
    }

    /// Starts an upstream of its own identity in a place.
    fn start_upstream(&mut self, place: u8) -> io::Result<()> {
        self.next_number += 1;
        let number = self.next_number;
        let domain = match place % 2 {
            0 => "north",
            _ => "south",
        };
        let own = self.system.upstream(place, 4);
        let announced = self.system.upstream(place, 1);
        let turn = usize::try_from(number).unwrap_or_default() % CLOCKS_MS.len();
        let upstream = Upstream::start(Profile {
            announced,
            clock_ms: CLOCKS_MS[turn],
            ..self.system.profile(number, domain, own)
        })?;
        self.numbers.insert(number, place);
        let place = &mut self.places[usize::from(place)];
        place.upstream = Some(upstream);
        place.number = number;
        Ok(())
    }

    /// Takes an upstream away; what it has seen is recorded.
    fn end_upstream(&mut self, place: u8) {
        let now_ms = self.now_ms();
        let started = self.shared.started;
        let place = &mut self.places[usize::from(place)];
        let Some(upstream) = place.upstream.take() else {
            return;
        };
        let ms = |at: Instant| {
            let span = at.saturating_duration_since(started);
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        };
        let opened = upstream.opened().into_iter().map(|at| Opened {
            upstream: place.number,
            at_ms: ms(at),
        });
        self.record.opened.extend(opened);
        if let Some(at) = upstream.drain_acknowledged() {
            self.record.closed.push(Closed {
                upstream: place.number,
                from_ms: ms(at),
                to_ms: now_ms,
                allowed_ms: DRAIN_MS,
            });
        }
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_WAIT {
            self.put_plan();
            let entries = u8::try_from(self.system.entries.len()).unwrap_or(u8::MAX);
            let upstreams = usize::from(UPSTREAMS);
            if self.version > 0 && (0..entries).all(|n| self.system.is_ready(n, upstreams)) {
                self.look();
                return Ok(());
            }
            thread::sleep(STEP);
        }
        Err(io::Error::other("the system did not get ready"))
    }

    fn start_callers(&self) -> io::Result<Vec<thread::JoinHandle<Vec<crate::record::Ask>>>> {
        let start = |number: u8| {
            let client = Client::start(self.system.client(number))?;
            let (service, shared) = (self.system.service, Arc::clone(&self.shared));
            Ok(thread::spawn(move || {
                callers::run(&client, service, u64::from(number) + 1, &shared)
            }))
        };
        (0..CALLERS).map(start).collect()
    }

    fn play(&mut self, settings: Settings) -> io::Result<()> {
        let schedule = fault::schedule(settings.seed, settings.size, UPSTREAMS, settings.length_ms);
        let began_ms = self.now_ms();
        let mut waiting = schedule.into_iter().peekable();
        let mut active: Vec<(Planned, u64)> = Vec::new();
        while waiting.peek().is_some() || !active.is_empty() {
            let now_ms = self.now_ms() - began_ms;
            while let Some(planned) = waiting.next_if(|p| p.at_ms <= now_ms) {
                let from_ms = self.now_ms();
                self.begin(planned.kind)?;
                active.push((planned, from_ms));
            }
            let (over, still): (Vec<_>, Vec<_>) =
                active.into_iter().partition(|(p, _)| p.until_ms <= now_ms);
            active = still;
            for (planned, from_ms) in over {
                self.end(planned.kind)?;
                self.record.disturbances.push(Disturbance {
                    kind: planned.kind,
                    from_ms,
                    to_ms: self.now_ms(),
                });
            }
            let down: Vec<Kind> = active.iter().map(|(p, _)| p.kind).collect();
            self.look_around(&down);
            thread::sleep(STEP);
        }
        Ok(())
    }

    fn begin(&mut self, kind: Kind) -> io::Result<()> {
        match kind {
            Kind::KillEntry(n) => self.system.entries[usize::from(n)].kill(),
            Kind::StopEntry(n) => self.system.entries[usize::from(n)].signal(Signal::Terminate)?,
            Kind::FreezeEntry(n) => self.system.entries[usize::from(n)].signal(Signal::Stop)?,
            Kind::KillControl(n) => self.system.controls[usize::from(n)].kill(),
            Kind::StopControl(n) => {
                self.system.controls[usize::from(n)].signal(Signal::Terminate)?;
            }
            Kind::FreezeControl(n) => self.system.controls[usize::from(n)].signal(Signal::Stop)?,
            Kind::EmptyDisk(n) => {
                self.system.controls[usize::from(n)].kill();
                fs::remove_dir_all(self.system.data_folder(n))?;
                self.system.write_control_settings(n, false)?;
            }
            Kind::TornWrite(n) => {
                self.system.controls[usize::from(n)].kill();
                tear_log(&self.system.data_folder(n))?;
            }
            Kind::DelayLinks(n) => self.set_links(n, link::Mode::Delay(LINK_DELAY)),
            Kind::SilenceLinks(n) => self.set_links(n, link::Mode::Silence),
            Kind::OneWayLinks(n) => self.set_links(n, link::Mode::OneWay),
            Kind::ResetLinks(n) => self.set_links(n, link::Mode::Reset),
            Kind::KillAll => self.daemons().for_each(Process::kill),
            Kind::HangUp => {
                for process in self.daemons() {
                    // One that another fault holds down hears nothing.
                    drop(process.signal(Signal::HangUp));
                }
            }
            Kind::Crash(n) => self.end_upstream(n),
            Kind::Drain(n) => {
                if let Some(upstream) = &self.places[usize::from(n)].upstream {
                    upstream.drain();
                }
            }
            Kind::Silence(n) => self.places[usize::from(n)].proxy.set(Mode::Silence),
            Kind::Refuse(n) => self.places[usize::from(n)].proxy.set(Mode::Refuse),
            Kind::Delay(n) => {
                let wait = Duration::from_millis(30);
                self.places[usize::from(n)].proxy.set(Mode::Delay(wait));
            }
            Kind::DomainOut => self.move_domain(true),
            Kind::Plan => self.put_plan(),
        }
        Ok(())
    }

    fn end(&mut self, kind: Kind) -> io::Result<()> {
        match kind {
            Kind::KillEntry(n) | Kind::StopEntry(n) => {
                restart(&mut self.system.entries[usize::from(n)])?;
            }
            Kind::FreezeEntry(n) => {
                self.system.entries[usize::from(n)].signal(Signal::Continue)?;
            }
            Kind::KillControl(n)
            | Kind::StopControl(n)
            | Kind::EmptyDisk(n)
            | Kind::TornWrite(n) => {
                restart(&mut self.system.controls[usize::from(n)])?;
            }
            Kind::FreezeControl(n) => {
                self.system.controls[usize::from(n)].signal(Signal::Continue)?;
            }
            Kind::DelayLinks(n)
            | Kind::SilenceLinks(n)
            | Kind::OneWayLinks(n)
            | Kind::ResetLinks(n) => self.set_links(n, link::Mode::Pass),
            Kind::KillAll => {
                for process in self.daemons() {
                    restart(process)?;
                }
            }
            Kind::Crash(n) => self.start_upstream(n)?,
            Kind::Drain(n) => {
                // It serves a little longer than it has to.
                thread::sleep(Duration::from_millis(DRAIN_MS));
                self.end_upstream(n);
                self.start_upstream(n)?;
            }
            Kind::Silence(n) | Kind::Refuse(n) | Kind::Delay(n) => {
                self.places[usize::from(n)].proxy.set(Mode::Pass);
            }
            Kind::DomainOut => self.move_domain(false),
            Kind::Plan | Kind::HangUp => {}
        }
        Ok(())
    }

    fn set_links(&self, control: u8, mode: link::Mode) {
        self.links[usize::from(control)].set(mode);
    }

    fn daemons(&mut self) -> impl Iterator<Item = &mut Process> {
        let system = &mut self.system;
        system.controls.iter_mut().chain(&mut system.entries)
    }

    fn put_plan(&mut self) {
        let version = self.version + 1;
        let text = self.system.plan(version);
        let is_clear = |status| status < 500;
        let answer = self.system.call("PUT", "/api/config", &text, is_clear);
        if answer.is_some_and(|(status, _)| status == 200) {
            self.version = version;
            let at_ms = self.now_ms();
            self.record
                .acknowledged
                .push(Acknowledged { version, at_ms });
        }
    }

    fn move_domain(&mut self, is_out: bool) {
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
                for place in self.places.iter().skip(1).step_by(2) {
                    self.record.closed.push(Closed {
                        upstream: place.number,
                        from_ms,
                        to_ms: before_ms,
                        allowed_ms: DOMAIN_MS,
                    });
                }
            }
        }
    }

    /// What goes on beside the faults: the fabric looks at the entry VMs, and an operator reads.
    fn look_around(&mut self, active: &[Kind]) {
        let now_ms = self.now_ms();
        if now_ms >= self.looked_ms + LOOK_EVERY_MS {
            self.looked_ms = now_ms;
            self.look();
            self.note_exits(active);
        }
        if now_ms >= self.read_ms + READ_EVERY_MS {
            self.read_ms = now_ms;
            self.read_plan();
        }
    }

    fn look(&self) {
        let entries = u8::try_from(self.system.entries.len()).unwrap_or(u8::MAX);
        let is_ready = |n: &u8| {
            let health = call(self.system.health(*n), "GET", "/health", "");
            matches!(health, Ok((200, _)))
        };
        let ready: Vec<u8> = (0..entries).filter(is_ready).collect();
        // Where fewer than half are ready, the fabric sends to all.
        let all: Vec<u8> = match ready.len() * 2 < usize::from(entries) {
            true => (0..entries).collect(),
            false => ready,
        };
        let mut rotation = self
            .shared
            .rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *rotation = all.into_iter().map(|n| self.system.entry(n)).collect();
    }

    /// Notes processes that have ended though no fault holds them down.
    fn note_exits(&mut self, active: &[Kind]) {
        if active.iter().any(|kind| kind.holds_daemons_down()) {
            return;
        }
        let ended = self.daemons().filter_map(|p| {
            let is_over = !p.is_running();
            is_over.then(|| p.name().to_owned())
        });
        let ended: Vec<String> = ended.collect();
        self.record.early_exits.extend(ended);
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
            self.record.reads.push(Read { version, sent_ms });
        }
    }

    /// Waits as long as recovery may take, then asks anew.
    fn recover(&mut self) -> io::Result<()> {
        let until = Instant::now() + RECOVER;
        while Instant::now() < until {
            self.look_around(&[]);
            thread::sleep(STEP);
        }
        let client = Client::start(self.system.client(CALLERS))?;
        let rotation = self
            .shared
            .rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for entry in rotation
            .iter()
            .cycle()
            .take(usize::try_from(LAST_REQUESTS).unwrap_or(1))
        {
            self.record.served_after.1 += 1;
            let (mut flow, opened) = client.open(*entry, self.system.service);
            let deadline = Duration::from_millis(800);
            if matches!(opened, ClientOutcome::Answer(_))
                && matches!(
                    client.ask(*entry, &mut flow, deadline),
                    ClientOutcome::Answer(_)
                )
            {
                self.record.served_after.0 += 1;
            }
        }
        self.read_plan();
        Ok(())
    }

    fn finish(&mut self) {
        for place in 0..UPSTREAMS {
            self.end_upstream(place);
        }
    }
}

/// Adds to the newest log in `folder` what a write leaves that was cut off.
fn tear_log(folder: &Path) -> io::Result<()> {
    let mut logs = Vec::new();
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name.and_then(|name| name.strip_prefix("log-")?.parse::<u64>().ok());
        logs.extend(number.map(|number| (number, path)));
    }
    // One that was killed before its first write has none.
    let Some((_, newest)) = logs.into_iter().max() else {
        return Ok(());
    };
    let mut log = fs::File::options().append(true).open(newest)?;
    log.write_all(&TORN)
}

/// Starts a process again that was killed, or asked to stop, and has to be over by now.
fn restart(process: &mut Process) -> io::Result<()> {
    // One that is asked to stop gets 6 s, as on the platform.
    if process.wait(Duration::from_secs(6)).is_none() {
        process.kill();
    }
    process.restart()
}
