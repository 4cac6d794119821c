//! Streams to all control VMs.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use delivery::{
    backoff::{Backoff, random_seed},
    dial, routing_path, stream,
};
use displaydoc::Display;
use log::info;
use model::routing::{ALIVE_MS, SILENCE_MS, ToControl, ToEntry, Version};
use settings::gateway::Entry;
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::shell::{Found, Shell};

/// Wait before a new try after a stream was lost.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between two tries.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(800);

/// Time that the first try to open a stream may take; doubles with each further one. A VM without
/// power answers nothing, and the kernel repeats the first packet only after a second.
const DIAL_WAIT: Duration = Duration::from_millis(300);

/// Longest time that a try may take.
const MAX_DIAL_WAIT: Duration = Duration::from_millis(1_200);

/// Time in which findings are gathered before a control VM is told.
const GATHER: Duration = Duration::from_millis(10);

/// Why there is no stream.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Dial(dial::Error),
    /// it did not open a stream within {0:?}
    DialTimeout(Duration),
    /// {0}
    Stream(stream::Error),
    /// it said nothing for 2.5 s
    Silent,
}

impl End {
    /// Whether the control VM is of the build before, which serves no such stream.
    fn is_older_build(&self) -> bool {
        matches!(self, Self::Dial(error) if error.is_unknown_path())
    }
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// Keeps the streams; clones share them.
#[derive(Debug, Clone)]
pub struct Sources {
    vm: Arc<str>,
    settings: Rc<RefCell<Entry>>,
    running: Rc<RefCell<BTreeSet<SocketAddr>>>,
    shell: Shell,
    token: CancellationToken,
}

impl Sources {
    /// No streams yet; they end with `token`.
    #[must_use]
    pub fn new(settings: Entry, shell: Shell, token: CancellationToken) -> Self {
        Self {
            vm: settings.name.as_str().into(),
            settings: Rc::new(RefCell::new(settings)),
            running: Rc::default(),
            shell,
            token,
        }
    }

    /// Takes the seeds of changed settings.
    pub fn set_seeds(&self, settings: &Entry) {
        self.settings.borrow_mut().seeds.clone_from(&settings.seeds);
    }

    /// Waits until other control VMs are known.
    pub async fn changed(&self) {
        self.shell.controls_changed.notified().await;
    }

    /// Starts a task for each control VM that has none.
    pub fn start_missing(&self) {
        for control in self.wanted() {
            if self.running.borrow_mut().insert(control) {
                ntex::rt::spawn(self.clone().keep(control));
            }
        }
    }

    fn wanted(&self) -> BTreeSet<SocketAddr> {
        let settings = self.settings.borrow();
        let ips = settings.seeds.iter().map(SocketAddr::ip);
        let seeds = ips.map(|ip: IpAddr| settings.delivery(ip));
        seeds.chain(self.shell.controls()).collect()
    }

    /// Keeps a stream to `control` open as long as it is wanted.
    async fn keep(self, control: SocketAddr) {
        let mut backoff = Backoff::new(RETRY_WAIT, MAX_RETRY_WAIT, random_seed());
        let mut version = Version::Second;
        let mut failures = 0;
        let mut was_up = true;
        loop {
            let mut is_open = false;
            let dial_wait = (DIAL_WAIT * 2_u32.pow(failures.min(2))).min(MAX_DIAL_WAIT);
            let end = tokio::select! {
                () = self.token.cancelled() => return,
                end = self.follow(control, version, dial_wait, &mut is_open) => end,
            };
            let Err(end) = end;
            if version == Version::Second && end.is_older_build() {
                info!(target: "sources", "event=older-build control={control} reason=\"{end}\"");
                version = Version::First;
                continue;
            }
            // It may have been upgraded meanwhile.
            version = Version::Second;
            // Only the first of a row of failures is news.
            if is_open || was_up {
                self.shell.remove_control_stream(control, &end.to_string());
            }
            was_up = false;
            failures = match is_open {
                true => 0,
                false => failures.saturating_add(1),
            };
            tokio::select! {
                () = self.token.cancelled() => return,
                () = sleep(backoff.wait(failures as usize)) => {}
            }
            if !self.wanted().contains(&control) {
                self.running.borrow_mut().remove(&control);
                return;
            }
        }
    }

    fn greeting(&self, version: Version) -> ToControl {
        let vm = Arc::clone(&self.vm);
        match version {
            Version::First => ToControl::Hello { vm },
            Version::Second => ToControl::Join {
                vm,
                domain: self.settings.borrow().domain.clone(),
            },
        }
    }

    async fn follow(
        &self,
        control: SocketAddr,
        version: Version,
        dial_wait: Duration,
        is_open: &mut bool,
    ) -> Result<std::convert::Infallible, End> {
        let opened = timeout(dial_wait, dial::open(control, routing_path(version))).await;
        let opened = opened.map_err(|_| End::DialTimeout(dial_wait))?;
        let mut stream = opened.map_err(End::Dial)?;
        stream.sender.send(&self.greeting(version)).await?;
        self.shell.add_control_stream(control);
        *is_open = true;
        let mut findings = self.shell.findings();
        let mut said_at = Instant::now();
        let mut heard_at = Instant::now();
        loop {
            let silent_at = heard_at + Duration::from_millis(SILENCE_MS);
            let received = tokio::select! {
                received = timeout_at(silent_at, stream.receiver.receive()) => received,
                first = findings.recv() => {
                    sleep(GATHER).await;
                    let gathered = gather(first, &mut findings);
                    if self.shell.reports_to(control) {
                        report(&mut stream.sender, version, &gathered).await?;
                    }
                    continue;
                }
            };
            let message: ToEntry = received.map_err(|_| End::Silent)??;
            heard_at = Instant::now();
            if let Some(version) = self.shell.take(control, message) {
                stream.sender.send(&ToControl::Want { version }).await?;
                said_at = Instant::now();
            }
            // The control VM says something each second, so this comes often enough.
            if said_at.elapsed() >= Duration::from_millis(ALIVE_MS - ALIVE_MS / 10) {
                stream.sender.send(&ToControl::Alive).await?;
                said_at = Instant::now();
            }
        }
    }
}

/// All findings that wait.
fn gather(first: Result<Found, RecvError>, findings: &mut Receiver<Found>) -> Vec<Found> {
    // What a stream misses that lags behind, other VMs find by themselves.
    let mut gathered: Vec<Found> = first.into_iter().collect();
    while let Ok(found) = findings.try_recv() {
        gathered.push(found);
    }
    gathered
}

/// Tells a control VM what this VM found out.
async fn report(
    sender: &mut stream::Sender,
    version: Version,
    found: &[Found],
) -> Result<(), stream::Error> {
    match version {
        Version::Second => {
            let findings = found.iter().map(Found::finding).collect();
            sender.send(&ToControl::ProbeReports(findings)).await
        }
        Version::First => {
            for id in found.iter().filter_map(Found::down) {
                sender.send(&ToControl::Down { id }).await?;
            }
            Ok(())
        }
    }
}
