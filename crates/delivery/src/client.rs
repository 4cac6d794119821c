//! Keeps an entry VM's stream to some control VM.

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
    pending::Pending,
    stream,
};

/// Time without an answer to a message after which another control VM is tried.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait before the first new try after all control VMs failed; doubles each round.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait before a new try.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// How an entry VM reaches the control VMs.
#[derive(Debug, Clone)]
pub struct Settings<H> {
    /// `delivery_listen` of the control VMs.
    pub controls: Vec<SocketAddr>,
    /// Makes the greeting of each new stream, with the index of the moment.
    pub hello: H,
    /// Seed of the order in which control VMs are tried, and of the waits.
    pub seed: u64,
}

impl<H: Fn() -> Hello> Settings<H> {
    /// Settings with a random seed.
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
/// Messages of `outgoing` that find no stream wait in their newest form. Send to it with
/// `try_send`. A full `incoming` slows the stream down, so read it steadily.
pub async fn run<H: Fn() -> Hello>(
    settings: Settings<H>,
    outgoing: mpsc::Receiver<ToControl>,
    incoming: mpsc::Sender<ToEntry>,
    token: CancellationToken,
) {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut controls = settings.controls;
    controls.shuffle(&mut random);
    let mut link = Link {
        hello: settings.hello,
        outgoing,
        incoming,
        pending: Pending::default(),
        base: Base::default(),
    };
    let mut backoff = Backoff::new(FIRST_WAIT, MAX_WAIT, random.random());
    let mut failures = 0_usize;
    while let Some(control) = controls.get(failures % controls.len().max(1)).copied() {
        let end = tokio::select! {
            () = token.cancelled() => return,
            end = link.session(control) => end,
        };
        match end {
            End::Stopped => return,
            End::Lost { answered: true } => {
                // Starts over at the control VM after the lost one.
                let at = failures % controls.len();
                controls.rotate_left(at);
                failures = 1;
            }
            End::Lost { answered: false } => failures += 1,
        }
        // Once all control VMs have failed; longer with each further round.
        let wait = match failures / controls.len() {
            0 => Duration::ZERO,
            rounds => backoff.wait(rounds - 1),
        };
        let is_alive = tokio::select! {
            () = token.cancelled() => return,
            is_alive = link.absorb_until(Instant::now() + wait) => is_alive,
        };
        if !is_alive {
            return;
        }
    }
    log::error!(target: "delivery", "no control VM is set: this VM gets no configuration from any");
}

/// Why a session ended.
enum End {
    /// The other side of a channel is gone.
    Stopped,
    /// The stream ended.
    Lost {
        /// Whether the control VM had answered anything of use.
        answered: bool,
    },
}

/// Why a stream is given up.
#[derive(Debug, Display)]
enum Loss {
    /// {0}
    Stream(stream::Error),
    /// no answer for 1.5 s
    Silent,
    /// it can't answer for the cluster
    TryOther,
}

impl From<stream::Error> for Loss {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// The last configuration that came, to which deltas apply.
#[derive(Debug, Default)]
struct Base {
    config: Arc<Config>,
    /// Whether a whole configuration was asked for and has not come.
    awaits_whole: bool,
}

impl Base {
    /// Turns what stands on the stream into what the daemon gets.
    fn take_in(&mut self, update: Update) -> Result<ToEntry, Mismatch> {
        match update {
            Update::Whole(config) => {
                self.config = config;
                self.awaits_whole = false;
            }
            Update::Delta(delta) => self.config = Arc::new(delta.apply(&self.config)?),
            Update::Current { index } => return Ok(ToEntry::Current { index }),
            Update::TryOther => return Ok(ToEntry::TryOther),
        }
        Ok(ToEntry::Config(self.config.clone()))
    }
}

/// What outlives a stream.
struct Link<H> {
    hello: H,
    outgoing: mpsc::Receiver<ToControl>,
    incoming: mpsc::Sender<ToEntry>,
    pending: Pending,
    base: Base,
}

impl<H: Fn() -> Hello> Link<H> {
    /// Opens a stream to `control` and uses it until it is lost.
    async fn session(&mut self, control: SocketAddr) -> End {
        let mut stream = match self.dial(control).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                log::debug!(target: "delivery", "no stream: {error}");
                return End::Lost { answered: false };
            }
            None => return End::Stopped,
        };
        let mut answered = false;
        let Err(loss) = self.exchange(&mut stream, &mut answered).await else {
            return End::Stopped;
        };
        log::info!(target: "delivery", "leaves control VM {control}: {loss}");
        metrics::counter!("oriole_delivery_streams_lost_total").increment(1);
        End::Lost { answered }
    }

    /// Opens a stream and keeps `outgoing` flowing meanwhile; `None` when that closes.
    async fn dial(&mut self, control: SocketAddr) -> Option<Result<dial::Stream, dial::Error>> {
        let dial = dial::open(control, ENTRY_PATH);
        tokio::pin!(dial);
        loop {
            tokio::select! {
                opened = &mut dial => return Some(opened),
                message = self.outgoing.recv() => self.pending.absorb(message?),
            }
        }
    }

    /// Exchanges messages until the stream is lost; `Ok` when a channel closes.
    async fn exchange(
        &mut self,
        stream: &mut dial::Stream,
        answered: &mut bool,
    ) -> Result<(), Loss> {
        stream
            .sender
            .send(&ToControl::Hello((self.hello)()))
            .await?;
        while let Some(message) = self.pending.pop() {
            stream.sender.send(&message).await?;
        }
        self.base.awaits_whole = false;
        // When an answer is due; none is while nothing was said since the last one.
        let mut due = Some(Instant::now() + SILENCE);
        loop {
            let silent = sleep_until(due.unwrap_or_else(|| Instant::now() + SILENCE));
            tokio::select! {
                message = self.outgoing.recv() => {
                    let Some(message) = message else { return Ok(()) };
                    let is_last = message == ToControl::Leave;
                    stream.sender.send(&message).await?;
                    // Nothing answers a goodbye; the stream ends with the process.
                    due = due.or(Some(Instant::now() + SILENCE)).filter(|_| !is_last);
                }
                update = stream.receiver.receive() => {
                    due = None;
                    let Some(message) = self.take_in(stream, update?).await? else { continue };
                    *answered = true;
                    if self.incoming.send(message).await.is_err() {
                        return Ok(());
                    }
                }
                () = silent, if due.is_some() => return Err(Loss::Silent),
            }
        }
    }

    /// Turns an update into what the daemon gets; `None` where a whole configuration has to come
    /// first, which is asked for once.
    async fn take_in(
        &mut self,
        stream: &mut dial::Stream,
        update: Update,
    ) -> Result<Option<ToEntry>, Loss> {
        match self.base.take_in(update) {
            Ok(ToEntry::TryOther) => Err(Loss::TryOther),
            Ok(message) => Ok(Some(message)),
            Err(_) if self.base.awaits_whole => Ok(None),
            Err(mismatch) => {
                log::info!(target: "delivery", "asks for a whole configuration: {mismatch}");
                self.base.awaits_whole = true;
                stream.sender.send(&ToControl::Whole).await?;
                Ok(None)
            }
        }
    }

    /// Keeps `outgoing` flowing until `end`; false when it closes.
    async fn absorb_until(&mut self, end: Instant) -> bool {
        loop {
            tokio::select! {
                () = sleep_until(end) => return true,
                message = self.outgoing.recv() => {
                    let Some(message) = message else { return false };
                    self.pending.absorb(message);
                }
            }
        }
    }
}
