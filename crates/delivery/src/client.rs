//! Keeps an entry VM's stream to some control VM.

use std::{net::SocketAddr, time::Duration};

use model::delivery::{Hello, ToControl, ToEntry};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{ENTRY_PATH, dial, pending::Pending, stream};

/// Time without an answer to a message after which another control VM is tried.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait before the first new try after all control VMs failed; doubles each round.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait before a new try.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Seed where none is given; differs between processes.
fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(0_u8)
}

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
    mut outgoing: mpsc::Receiver<ToControl>,
    incoming: mpsc::Sender<ToEntry>,
    token: CancellationToken,
) {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut controls = settings.controls.clone();
    controls.shuffle(&mut random);
    let mut pending = Pending::default();
    let mut failures = 0_usize;
    while let Some(control) = controls.get(failures % controls.len().max(1)).copied() {
        let session = session(
            control,
            &settings.hello,
            &mut outgoing,
            &incoming,
            &mut pending,
        );
        let end = tokio::select! {
            () = token.cancelled() => return,
            end = session => end,
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
        let wait = wait(failures, controls.len(), &mut random);
        tokio::select! {
            () = token.cancelled() => return,
            alive = absorb_until(Instant::now() + wait, &mut outgoing, &mut pending) => {
                if !alive {
                    return;
                }
            }
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

async fn session(
    control: SocketAddr,
    hello: &impl Fn() -> Hello,
    outgoing: &mut mpsc::Receiver<ToControl>,
    incoming: &mpsc::Sender<ToEntry>,
    pending: &mut Pending,
) -> End {
    let mut stream = match dial_while_absorbing(control, outgoing, pending).await {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => {
            log::debug!(target: "delivery", "no stream: {error}");
            return End::Lost { answered: false };
        }
        None => return End::Stopped,
    };
    let mut answered = false;
    match exchange(
        &mut stream,
        hello,
        outgoing,
        incoming,
        pending,
        &mut answered,
    )
    .await
    {
        Ok(()) => End::Stopped,
        Err(error) => {
            log::info!(target: "delivery", "leaves control VM {control}: {error}");
            metrics::counter!("delivery_streams_lost_total").increment(1);
            End::Lost { answered }
        }
    }
}

/// Opens a stream and keeps `outgoing` flowing meanwhile; `None` when it closes.
async fn dial_while_absorbing(
    control: SocketAddr,
    outgoing: &mut mpsc::Receiver<ToControl>,
    pending: &mut Pending,
) -> Option<Result<dial::Stream, dial::Error>> {
    let dial = dial::open(control, ENTRY_PATH);
    tokio::pin!(dial);
    loop {
        tokio::select! {
            opened = &mut dial => return Some(opened),
            message = outgoing.recv() => pending.absorb(message?),
        }
    }
}

/// Why a stream is given up.
#[derive(Debug, displaydoc::Display)]
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

/// Exchanges messages until the stream is lost; `Ok` when a channel closes.
async fn exchange(
    stream: &mut dial::Stream,
    hello: &impl Fn() -> Hello,
    outgoing: &mut mpsc::Receiver<ToControl>,
    incoming: &mpsc::Sender<ToEntry>,
    pending: &mut Pending,
    answered: &mut bool,
) -> Result<(), Loss> {
    stream.sender.send(&ToControl::Hello(hello())).await?;
    while let Some(message) = pending.pop() {
        stream.sender.send(&message).await?;
    }
    // When an answer is due; none is while nothing was said since the last one.
    let mut due = Some(Instant::now() + SILENCE);
    loop {
        let silent = sleep_until(due.unwrap_or_else(|| Instant::now() + SILENCE));
        tokio::select! {
            message = outgoing.recv() => {
                let Some(message) = message else { return Ok(()) };
                let last = message == ToControl::Goodbye;
                stream.sender.send(&message).await?;
                due = due.or(Some(Instant::now() + SILENCE));
                if last {
                    // The connection ends with the process, once the message is out.
                    due = None;
                }
            }
            message = stream.receiver.receive() => {
                let message: ToEntry = message?;
                due = None;
                if message == ToEntry::TryOther {
                    return Err(Loss::TryOther);
                }
                *answered = true;
                if incoming.send(message).await.is_err() {
                    return Ok(());
                }
            }
            () = silent, if due.is_some() => return Err(Loss::Silent),
        }
    }
}

/// Keeps `outgoing` flowing until `end`; false when it closes.
async fn absorb_until(
    end: Instant,
    outgoing: &mut mpsc::Receiver<ToControl>,
    pending: &mut Pending,
) -> bool {
    loop {
        tokio::select! {
            () = sleep_until(end) => return true,
            message = outgoing.recv() => {
                let Some(message) = message else { return false };
                pending.absorb(message);
            }
        }
    }
}

/// A jittered wait that grows once all control VMs have failed.
fn wait(failures: usize, controls: usize, random: &mut impl Rng) -> Duration {
    let rounds = failures / controls.max(1);
    if rounds == 0 {
        return Duration::ZERO;
    }
    let exponent = u32::try_from(rounds - 1).unwrap_or(u32::MAX).min(16);
    let longest = (FIRST_WAIT * 2_u32.pow(exponent)).min(MAX_WAIT);
    longest.mul_f64(random.random_range(0.5..1.0))
}
