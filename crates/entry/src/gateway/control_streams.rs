//! Keeps a stream open to each control VM: receives its messages and sends it probe reports.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, btree_map::Entry as MapEntry},
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
use model::{
    routing::{ALIVE_MS, SILENCE_MS, ToControl, ToEntry, Version},
    work,
};
use settings::gateway::Entry;
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::driver::{GatewayDriver, TimedReport};

/// Shortest delay before a lost stream is opened again.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two attempts to open a stream.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Timeout of the first attempt to open a stream; doubles with each failure in a row. The timeout
/// is needed because a VM without power answers nothing, and the kernel repeats the first packet of
/// a connection only after a second.
const INITIAL_DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest timeout of an attempt to open a stream.
const MAX_DIAL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time in which further probe reports are collected, so that one message carries them all.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(10);

/// The reason why a stream could not be opened or has ended.
#[derive(Debug, Display)]
enum StreamEnd {
    /// {0}
    Dial(dial::Error),
    /// control VM did not open a stream within {0:?}
    DialTimeout(Duration),
    /// {0}
    Stream(stream::Error),
    /// control VM sent no message for 2.5 s
    Silent,
}

impl StreamEnd {
    /// Reports whether the control VM runs the previous build, which does not know the path of the
    /// stream.
    fn is_older_build(&self) -> bool {
        matches!(self, Self::Dial(error) if error.is_unknown_path())
    }
}

impl From<stream::Error> for StreamEnd {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// Keeps the streams open. Clones share them.
#[derive(Debug, Clone)]
pub struct ControlStreams {
    vm: Arc<str>,
    settings: Rc<RefCell<Entry>>,
    /// Control VMs whose streams are kept open, each with the token that ends its task.
    running: Rc<RefCell<BTreeMap<SocketAddr, CancellationToken>>>,
    driver: GatewayDriver,
    token: CancellationToken,
}

impl ControlStreams {
    /// Creates the state without opening a stream. All streams end when `token` is cancelled.
    #[must_use]
    pub fn new(settings: Entry, driver: GatewayDriver, token: CancellationToken) -> Self {
        Self {
            vm: settings.name.as_str().into(),
            settings: Rc::new(RefCell::new(settings)),
            running: Rc::default(),
            driver,
            token,
        }
    }

    /// Replaces the seed addresses by those of changed settings.
    pub fn set_seeds(&self, settings: &Entry) {
        self.settings.borrow_mut().seeds.clone_from(&settings.seeds);
    }

    /// Waits until the set of known control VMs changes.
    pub async fn wait_for_change(&self) {
        self.driver.controls_changed.notified().await;
    }

    /// Starts a task for each known control VM that has no task yet, and ends the tasks of control
    /// VMs that are no longer known.
    pub fn update_streams(&self) {
        let targets = self.target_controls();
        self.running.borrow_mut().retain(|control, token| {
            let is_target = targets.contains(control);
            if !is_target {
                token.cancel();
            }
            is_target
        });
        for control in targets {
            let token = self.token.child_token();
            if let MapEntry::Vacant(vacant) = self.running.borrow_mut().entry(control) {
                vacant.insert(token.clone());
                ntex::rt::spawn(self.clone().maintain_stream(control, token));
            }
        }
    }

    /// Returns the addresses to keep a stream to. Seeds are always among them: if all control VMs of
    /// the list are lost, only the seeds of changed settings lead to others.
    fn target_controls(&self) -> BTreeSet<SocketAddr> {
        let settings = self.settings.borrow();
        let ips = settings.seeds.iter().map(SocketAddr::ip);
        let seeds = ips.map(|ip: IpAddr| settings.delivery(ip));
        seeds.chain(self.driver.control_addresses()).collect()
    }

    /// Keeps a stream to `control` open until `token` is cancelled.
    async fn maintain_stream(self, control: SocketAddr, token: CancellationToken) {
        let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random_seed());
        let mut version = Version::Fourth;
        let mut failures = 0;
        let mut was_up = true;
        loop {
            let mut is_open = false;
            let dial_timeout =
                (INITIAL_DIAL_TIMEOUT * 2_u32.pow(failures.min(2))).min(MAX_DIAL_TIMEOUT);
            let end = tokio::select! {
                () = token.cancelled() => {
                    if is_open {
                        self.driver.remove_control_stream(control, "control VM left the cluster");
                    }
                    return;
                }
                end = self.run_stream(control, version, dial_timeout, &mut is_open) => end,
            };
            let Err(end) = end;
            if let Some(older) = version.older().filter(|_| end.is_older_build()) {
                info!(
                    target: "sources",
                    "event=older-build control={control} version={older:?} reason=\"{end}\""
                );
                version = older;
                continue;
            }
            // The control VM may have been upgraded meanwhile.
            version = Version::Fourth;
            // Only the first of several failures in a row is reported.
            if is_open || was_up {
                self.driver.remove_control_stream(control, &end.to_string());
            }
            was_up = false;
            failures = match is_open {
                true => 0,
                false => failures.saturating_add(1),
            };
            tokio::select! {
                () = token.cancelled() => return,
                () = sleep(backoff.wait(failures as usize)) => {}
            }
        }
    }

    fn first_message(&self, version: Version) -> ToControl {
        let vm = Arc::clone(&self.vm);
        match version {
            Version::First => ToControl::Hello { vm },
            Version::Second | Version::Third | Version::Fourth => ToControl::Join {
                vm,
                domain: self.settings.borrow().domain.clone(),
            },
        }
    }

    async fn run_stream(
        &self,
        control: SocketAddr,
        version: Version,
        dial_timeout: Duration,
        is_open: &mut bool,
    ) -> Result<std::convert::Infallible, StreamEnd> {
        let opened = timeout(dial_timeout, dial::open(control, routing_path(version))).await;
        let opened = opened.map_err(|_| StreamEnd::DialTimeout(dial_timeout))?;
        let mut stream = opened.map_err(StreamEnd::Dial)?;
        stream.sender.send(&self.first_message(version)).await?;
        self.driver.add_control_stream(control);
        *is_open = true;
        let mut reports = self.driver.subscribe_reports();
        // Version of the plan whose terms were requested on this stream.
        let mut terms_requested = None;
        let mut sent_at = Instant::now();
        let mut received_at = Instant::now();
        let mut digest_sequence = 0;
        let mut digest_at = Instant::now() + digest_interval();
        loop {
            let silence_deadline = received_at + Duration::from_millis(SILENCE_MS);
            let received = tokio::select! {
                received = timeout_at(silence_deadline, stream.receiver.receive()) => received,
                first = reports.recv() => {
                    sleep(REPORT_BATCH_DELAY).await;
                    let batch = drain_reports(first, &mut reports);
                    if self.driver.reports_to(control) {
                        send_reports(&mut stream.sender, version, &batch).await?;
                    }
                    continue;
                }
                () = sleep_until(digest_at), if version >= Version::Third => {
                    digest_at = Instant::now() + digest_interval();
                    if let Some(digest) = self.driver.take_digest(control, digest_sequence) {
                        digest_sequence = digest.sequence;
                        stream.sender.send(&ToControl::Work(digest)).await?;
                        sent_at = Instant::now();
                    }
                    continue;
                }
            };
            let message: ToEntry = received.map_err(|_| StreamEnd::Silent)??;
            received_at = Instant::now();
            if let ToEntry::FindUpstream { id } = message {
                let announced = self.driver.announcement(id);
                stream
                    .sender
                    .send(&ToControl::FoundUpstream { id, announced })
                    .await?;
                sent_at = received_at;
                continue;
            }
            let mut wanted = self.driver.handle_message(control, message);
            // The plan may have come from a control VM of an older build, which sends no terms.
            if wanted.is_none() && version >= Version::Third {
                wanted = self.driver.terms_to_request(terms_requested);
                terms_requested = wanted.or(terms_requested);
            }
            if let Some(version) = wanted {
                stream.sender.send(&ToControl::Want { version }).await?;
                sent_at = Instant::now();
            }
            // The control VM sends a message each second, so this check runs often enough.
            if sent_at.elapsed() >= Duration::from_millis(ALIVE_MS - ALIVE_MS / 10) {
                stream.sender.send(&ToControl::Alive).await?;
                sent_at = Instant::now();
            }
        }
    }
}

/// Returns the time until the next digest of work, with jitter, so that the digests of all entry VMs
/// are spread.
fn digest_interval() -> Duration {
    let jitter_ms = work::INTERVAL_MS / 10;
    let random_ms = random_seed() % (2 * jitter_ms + 1);
    Duration::from_millis(work::INTERVAL_MS - jitter_ms + random_ms)
}

/// Returns `first` and all further reports that wait.
fn drain_reports(
    first: Result<TimedReport, RecvError>,
    reports: &mut Receiver<TimedReport>,
) -> Vec<TimedReport> {
    // A stream that lags behind may miss reports; other VMs then find out with probes of their own.
    let mut batch: Vec<TimedReport> = first.into_iter().collect();
    while let Ok(report) = reports.try_recv() {
        batch.push(report);
    }
    batch
}

/// Sends probe reports to a control VM, in the form that its version of the stream understands.
async fn send_reports(
    sender: &mut stream::Sender,
    version: Version,
    batch: &[TimedReport],
) -> Result<(), stream::Error> {
    match version {
        Version::Second | Version::Third | Version::Fourth => {
            let reports = batch.iter().map(TimedReport::aged_report).collect();
            sender.send(&ToControl::ProbeReports(reports)).await
        }
        Version::First => {
            for id in batch.iter().filter_map(TimedReport::down_upstream_id) {
                sender.send(&ToControl::Down { id }).await?;
            }
            Ok(())
        }
    }
}
