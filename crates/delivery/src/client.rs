//! Keeps a stream from an entry VM to one of the control VMs open.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use model::{
    config::Config,
    delivery::{Hello, ToControl, ToEntry},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    ENTRY_PATH,
    backoff::{Backoff, random_seed},
    delta::{Mismatch, Update},
    dial,
    pending_messages::PendingMessages,
    stream,
};

/// Time without an answer to a message after which another control VM is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum wait before the first retry after all control VMs failed; doubles with each round.
const INITIAL_WAIT: Duration = Duration::from_millis(100);

/// Maximum wait before any retry.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Settings of the client.
#[derive(Debug, Clone)]
pub struct Settings<H> {
    /// Addresses at which the control VMs accept streams (their `delivery_listen`).
    pub controls: Vec<SocketAddr>,
    /// Returns the hello for a new stream, with the current configuration index.
    pub hello: H,
    /// Seed of the order in which control VMs are tried, and of the waits.
    pub seed: u64,
}

impl<H: Fn() -> Hello> Settings<H> {
    /// Returns settings with a random seed.
    pub fn new(controls: impl IntoIterator<Item = SocketAddr>, hello: H) -> Self {
        Self {
            controls: controls.into_iter().collect(),
            hello,
            seed: random_seed(),
        }
    }
}

/// Runs until `token` is cancelled or `outgoing` closes, and reconnects whenever the stream ends.
///
/// While there is no stream, only the newest message of each kind in `outgoing` is kept. Send to
/// `outgoing` with `try_send`. A full `incoming` blocks the stream, so its receiver must read
/// continuously.
pub async fn run<H: Fn() -> Hello>(
    settings: Settings<H>,
    outgoing: mpsc::Receiver<ToControl>,
    incoming: mpsc::Sender<ToEntry>,
    token: CancellationToken,
) {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut controls = settings.controls;
    controls.shuffle(&mut random);
    let mut connector = Connector {
        hello: settings.hello,
        outgoing,
        incoming,
        pending: PendingMessages::default(),
        received: ReceivedConfig::default(),
    };
    let mut backoff = Backoff::new(INITIAL_WAIT, MAX_WAIT, random.random());
    let mut failures = 0_usize;
    while let Some(control) = controls.get(failures % controls.len().max(1)).copied() {
        let end = tokio::select! {
            () = token.cancelled() => return,
            end = connector.run_stream(control) => end,
        };
        match end {
            End::Stopped => return,
            End::Lost { has_answered: true } => {
                // The next attempt goes to the control VM after the lost one.
                let at = failures % controls.len();
                controls.rotate_left(at);
                failures = 1;
            }
            End::Lost {
                has_answered: false,
            } => failures += 1,
        }
        // The wait is zero until all control VMs have failed, and grows with each further round.
        let wait = match failures / controls.len() {
            0 => Duration::ZERO,
            rounds => backoff.wait(rounds - 1),
        };
        let is_alive = tokio::select! {
            () = token.cancelled() => return,
            is_alive = connector.queue_until(Instant::now() + wait) => is_alive,
        };
        if !is_alive {
            return;
        }
    }
    log::error!(target: "delivery", "the settings name no control VM: this VM receives no configuration");
}

/// Reason why a stream ended.
enum End {
    /// The other end of a channel was dropped.
    Stopped,
    /// The stream was lost or never opened.
    Lost {
        /// Whether the control VM had sent a usable answer.
        has_answered: bool,
    },
}

/// Reason why the client abandons a stream.
#[derive(Debug, Display)]
enum Loss {
    /// {0}
    Stream(stream::Error),
    /// no answer for 1.5 s
    NoAnswer,
    /// the control VM can't answer for the cluster
    TryOther,
}

impl From<stream::Error> for Loss {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// The last received configuration, to which deltas apply.
#[derive(Debug, Default)]
struct ReceivedConfig {
    config: Arc<Config>,
    /// Whether a full configuration was requested and has not arrived yet.
    awaits_full_config: bool,
}

impl ReceivedConfig {
    /// Converts an update from the stream into a message for the daemon.
    fn apply_update(&mut self, update: Update) -> Result<ToEntry, Mismatch> {
        match update {
            Update::Whole(config) => {
                self.config = config;
                self.awaits_full_config = false;
            }
            Update::Delta(delta) => self.config = Arc::new(delta.apply(&self.config)?),
            Update::Current { index } => return Ok(ToEntry::Current { index }),
            Update::TryOther => return Ok(ToEntry::TryOther),
        }
        Ok(ToEntry::Config(self.config.clone()))
    }
}

/// State that is kept from one stream to the next.
struct Connector<H> {
    hello: H,
    outgoing: mpsc::Receiver<ToControl>,
    incoming: mpsc::Sender<ToEntry>,
    pending: PendingMessages,
    received: ReceivedConfig,
}

impl<H: Fn() -> Hello> Connector<H> {
    /// Opens a stream to `control` and uses it until it is lost.
    async fn run_stream(&mut self, control: SocketAddr) -> End {
        let mut stream = match self.dial(control).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                log::debug!(target: "delivery", "can't open a stream: {error}; trying the next control VM");
                return End::Lost {
                    has_answered: false,
                };
            }
            None => return End::Stopped,
        };
        let mut has_answered = false;
        let Err(loss) = self.exchange(&mut stream, &mut has_answered).await else {
            return End::Stopped;
        };
        log::info!(target: "delivery", "lost the stream to control VM {control}: {loss}; trying another");
        metrics::counter!("oriole_delivery_streams_lost_total").increment(1);
        End::Lost { has_answered }
    }

    /// Opens a stream and queues messages of `outgoing` meanwhile. Returns `None` when `outgoing`
    /// closes.
    async fn dial(&mut self, control: SocketAddr) -> Option<Result<dial::Stream, dial::Error>> {
        let dial = dial::open(control, ENTRY_PATH);
        tokio::pin!(dial);
        loop {
            tokio::select! {
                opened = &mut dial => return Some(opened),
                message = self.outgoing.recv() => self.pending.queue(message?),
            }
        }
    }

    /// Exchanges messages until the stream is lost. Returns `Ok` when a channel closes.
    async fn exchange(
        &mut self,
        stream: &mut dial::Stream,
        has_answered: &mut bool,
    ) -> Result<(), Loss> {
        stream
            .sender
            .send(&ToControl::Hello((self.hello)()))
            .await?;
        while let Some(message) = self.pending.pop() {
            stream.sender.send(&message).await?;
        }
        self.received.awaits_full_config = false;
        // Time at which an answer is due; `None` when every message has been answered.
        let mut answer_due = Some(Instant::now() + ANSWER_TIMEOUT);
        loop {
            let timed_out =
                sleep_until(answer_due.unwrap_or_else(|| Instant::now() + ANSWER_TIMEOUT));
            tokio::select! {
                message = self.outgoing.recv() => {
                    let Some(message) = message else { return Ok(()) };
                    let is_leave = message == ToControl::Leave;
                    stream.sender.send(&message).await?;
                    // A leave message gets no answer; the process ends soon after it.
                    answer_due = answer_due.or(Some(Instant::now() + ANSWER_TIMEOUT)).filter(|_| !is_leave);
                }
                update = stream.receiver.receive() => {
                    answer_due = None;
                    let Some(message) = self.apply_update(stream, update?).await? else { continue };
                    *has_answered = true;
                    if self.incoming.send(message).await.is_err() {
                        return Ok(());
                    }
                }
                () = timed_out, if answer_due.is_some() => return Err(Loss::NoAnswer),
            }
        }
    }

    /// Converts an update into a message for the daemon. Returns `None` while a full configuration
    /// is needed first, and requests one.
    async fn apply_update(
        &mut self,
        stream: &mut dial::Stream,
        update: Update,
    ) -> Result<Option<ToEntry>, Loss> {
        match self.received.apply_update(update) {
            Ok(ToEntry::TryOther) => Err(Loss::TryOther),
            Ok(message) => Ok(Some(message)),
            Err(_) if self.received.awaits_full_config => Ok(None),
            Err(mismatch) => {
                log::info!(target: "delivery", "can't apply a delta: {mismatch}; requesting the full configuration");
                self.received.awaits_full_config = true;
                stream.sender.send(&ToControl::Whole).await?;
                Ok(None)
            }
        }
    }

    /// Queues messages of `outgoing` until `end`. Returns false when `outgoing` closes.
    async fn queue_until(&mut self, end: Instant) -> bool {
        loop {
            tokio::select! {
                () = sleep_until(end) => return true,
                message = self.outgoing.recv() => {
                    let Some(message) = message else { return false };
                    self.pending.queue(message);
                }
            }
        }
    }
}
